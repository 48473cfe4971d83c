//! Specification of the core protocol, explored exhaustively.
//!
//! Each specification is a small state space whose transitions call the production state machines. All reachable
//! states within stated bounds are checked against the safety rules of `docs/design.md`.

pub mod authority;
pub mod check;
pub mod ledger;
pub mod moves;
pub mod mutation;
pub mod operators;
pub mod suite;
