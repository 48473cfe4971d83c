//! Connections of kumquatpond: peer links, upstream client and platform client.

pub mod upstream;
