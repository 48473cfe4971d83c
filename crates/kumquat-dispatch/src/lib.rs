//! The `kumquat-dispatch` crate holds the dispatch daemon, which takes part in the cell, dispatches requests to upstreams
//! and issues rate credits.
//!
//! [`server::Dispatch::bind`] starts it within a process; the binary adds settings, logs and signals. See
//! `docs/design.md`, sections 3 to 6.

pub mod admin;
pub mod audit;
pub mod control;
pub mod entries;
pub mod group;
pub mod handshakes;
pub mod home;
pub mod hot;
pub mod metrics;
pub mod permit;
pub mod platform;
pub mod server;
pub mod streams;
