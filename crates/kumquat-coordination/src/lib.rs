//! The `kumquat-coordination` crate holds the decisions of kumquatpond as state machines without I/O or clocks.
//!
//! Each takes events and the monotonic time and returns typed actions, so that the daemons, the model checker, the
//! randomised runs and the benchmarks run the same code. See `docs/design.md`, section 2.2.

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
