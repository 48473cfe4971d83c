//! Dispatch daemon of kumquatpond: membership, coordinating roles and dispatch to upstreams.

fn main() {}
