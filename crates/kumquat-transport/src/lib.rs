//! Connections of kumquatpond: peer links, upstream client and platform client.
