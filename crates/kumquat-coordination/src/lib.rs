//! Pure coordination state machines of kumquatpond: membership, ownership, limits and dispatch.

pub mod coordinator;
pub mod grant;
pub mod hotkey;
pub mod limit;
