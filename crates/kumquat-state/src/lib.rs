//! The `kumquat-state` crate holds the values that the other layers work on: identifiers, monotonic time, the
//! operators' bundle, the assignment ledger and slot tables.
//!
//! Nothing here does I/O, apart from [`clock::now`], which reads the system clock. See `docs/design.md`, section 2.1.

pub mod audit;
pub mod bundle;
pub mod clock;
mod codec;
pub mod document;
pub mod hash;
pub mod ident;
pub mod ledger;
pub mod secret;
pub mod slots;
