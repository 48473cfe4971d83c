//! The `kumquat-protocol` crate holds the messages between the processes of kumquatpond, their codec and the handshake
//! that authenticates a peer.
//!
//! Nothing here does I/O. See `docs/design.md`, sections 5 and 8.

mod convert;
pub mod document;
pub mod errors;
pub mod frame;
pub mod handshake;
pub mod wire;

pub use errors::{Error, Result};
