//! Operators' command of kumquatpond.

fn main() {}
