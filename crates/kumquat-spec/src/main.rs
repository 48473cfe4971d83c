//! Specification of the core protocol, explored exhaustively.

fn main() {}
