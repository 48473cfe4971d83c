//! The `kumquat-bench` crate measures the daemons and the state machines against the aims of `docs/design.md`, 1.3.
//!
//! All processes of a deployment run in this process on loopback, with the stand-ins for the store and the upstreams.
//! Loopback adds no distance between data centres; only the runs in virtual time model it.

pub mod cpu;
pub mod load;
pub mod ownership;
pub mod path;
pub mod policy;
pub mod report;
pub mod rollout;
pub mod scale;
pub mod settings;
pub mod stats;
