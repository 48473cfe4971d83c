//! Demonstration of kumquatpond on loopback.

fn main() {}
