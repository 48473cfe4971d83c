//! The `kumquat-standins` crate holds small stand-ins of the outside systems that kumquatpond talks to: the platform's
//! key-value store, its list of VMs, and upstreams.
//!
//! Each stand-in binds a loopback address, returns a running handle, and takes its faults through that handle. The
//! stand-ins are for tests, the demonstration and the benchmarks; the product uses none of them.

pub mod list;
pub mod net;
pub mod observation;
pub mod store;
pub mod upstream;

/// Failure to start a stand-in.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address could not be bound.
    #[error("cannot bind {address}: {source}")]
    Bind {
        /// Requested address.
        address: std::net::SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
}

impl Error {
    pub(crate) fn bind(address: std::net::SocketAddr, source: std::io::Error) -> Self {
        Self::Bind { address, source }
    }
}
