//! The `kumquat-router` crate provides the router of one VM: it takes callers' requests, sends them to upstreams that it
//! shares with the other VMs, and takes its turn as coordinator of keyed services.
//!
//! It does its own connection handling on top of a parser, because a VM holds about a thousand mostly idle connections
//! and memory is what a small VM has least of. See `docs/platform.md`.

pub mod access_log;
pub mod caller;
pub mod config;
pub mod coordination;
pub mod dialect;
pub mod errors;
pub mod gateway;
pub mod http;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod record;
mod sorted;
pub mod upstream;
pub mod vm;
