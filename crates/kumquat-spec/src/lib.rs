//! Specification of the core protocol, explored exhaustively.
