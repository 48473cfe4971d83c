//! Pure coordination state machines of kumquatpond: membership, ownership, limits and dispatch.

pub mod balance;
pub mod dispatch;
pub mod queue;
