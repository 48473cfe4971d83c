//! The `kumquatpond` crate is the entrance for projects that embed the coordination library: it re-exports the lower
//! four layers as modules.
//!
//! | module | cargo feature | content |
//! |---|---|---|
//! | [`state`] | always | identifiers, monotonic time, bundle, ledger, slot tables |
//! | `coordination` | `coordination` (default) | state machines without I/O or clocks |
//! | `protocol` | `protocol` | messages between processes and their codec |
//! | `transport` | `transport` | peer links, upstream client, store client; brings in tokio |
//!
//! `docs/embedding.md` explains the use, with the examples in `examples/`.

#[cfg(feature = "coordination")]
pub use kumquat_coordination as coordination;
#[cfg(feature = "protocol")]
pub use kumquat_protocol as protocol;
pub use kumquat_state as state;
#[cfg(feature = "transport")]
pub use kumquat_transport as transport;
