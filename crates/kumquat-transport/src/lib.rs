//! The `kumquat-transport` crate holds the connections of kumquatpond: links between its processes, streams over them,
//! and the clients for upstreams and the platform's store.

pub mod budget;
pub mod errors;
pub mod link;
pub mod list;
pub mod store;
pub mod stream;
pub mod upstream;

pub use errors::{Error, Result};
