//! Connections of kumquatpond: peer links, upstream client and platform client.

pub mod budget;
pub mod store;
pub mod upstream;
