//! Measurements of kumquatpond.

fn main() {}
