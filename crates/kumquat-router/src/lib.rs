//! The `kumquat-router` crate provides the HTTP reverse proxy that runs on each VM.
//!
//! It forwards callers' requests to upstreams that all VMs share. While it holds the coordinator lease it also assigns
//! the keys of keyed services to upstreams.
//!
//! Connections are handled here on top of an HTTP parser rather than by an HTTP library: a VM holds about a thousand
//! mostly idle connections and has little memory, so an idle connection must not hold a buffer. See `docs/platform.md`.

pub mod access_log;
pub mod caller;
pub mod config;
pub mod coordination;
pub mod dialect;
pub mod errors;
pub mod explain;
pub mod gateway;
pub mod http;
pub mod input;
pub mod intake;
pub mod metrics;
pub mod peers;
pub mod pool;
pub mod record;
mod sorted;
pub mod upstream;
pub mod vm;
