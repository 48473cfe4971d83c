//! The `kumquat-entry` crate holds the entry daemon, which takes callers' HTTP requests and sends them to the dispatch
//! processes that act for their upstreams.
//!
//! [`server::Entry::bind`] starts it within a process; the binary adds settings, logs and signals. See
//! `docs/design.md`, section 5.

pub mod admin;
pub mod admission;
pub mod answer;
pub mod balance;
pub mod body;
pub mod caller;
pub mod config;
pub mod documents;
pub mod failures;
pub mod gateway;
pub mod links;
pub mod listener;
pub mod metrics;
pub mod router;
pub mod server;
pub mod streaming;
pub mod target;
