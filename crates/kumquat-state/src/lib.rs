//! The `kumquat-state` crate provides the data types that the other layers share: identifiers, monotonic time, the
//! operators' configuration bundle, the assignment ledger, slot tables and the audit log.
//!
//! The crate does no I/O except for [`clock::now`], which reads the system clock. See `docs/design.md`, section 2.1.

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
