//! The `kumquat-coordination` crate provides the coordination protocols of kumquatpond as state machines without I/O or
//! clocks.
//!
//! Each state machine takes events with the monotonic time and returns typed actions, so that the daemons, the model
//! checker, the randomised tests and the benchmarks run the same code. See `docs/design.md`, section 2.2.

pub mod authority;
pub mod backoff;
pub mod balance;
pub mod coordinator;
pub mod dispatch;
pub mod fleet;
pub mod grant;
pub mod hotkey;
pub mod limit;
pub mod queue;
pub mod role;
pub mod routing;
pub mod transfer;
