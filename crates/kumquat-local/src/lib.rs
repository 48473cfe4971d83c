//! The `kumquat-local` crate holds a whole deployment in one process on loopback: the daemons of several VMs, and
//! stand-ins for the platform's store and the upstreams.
//!
//! It serves the demonstration, the measurements and the tests of failures. It drives the real daemons over real
//! connections; it simulates nothing.

pub mod client;
pub mod deployment;
pub mod host;
pub mod load;
pub mod network;
pub mod operator;
pub mod shape;
pub mod switch;
pub mod vm;

pub use deployment::Deployment;
pub use shape::Shape;
