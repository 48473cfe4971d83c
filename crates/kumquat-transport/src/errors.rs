//! The `errors` module provides the error type of links and streams.

use std::io;
use std::net::SocketAddr;

use kumquat_protocol as protocol;

/// Result of links and streams.
pub type Result<T> = std::result::Result<T, Error>;

/// What went wrong on a link.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The address could not be bound.
    #[error("can't listen on {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// The connection could not be established.
    #[error("can't connect: {0}")]
    Connect(String),
    /// The peer did not finish the handshake in time.
    #[error("handshake timed out")]
    HandshakeTimeout,
    /// The peer sent something that can't be used.
    #[error(transparent)]
    Protocol(#[from] protocol::Error),
    /// The connection ended.
    #[error("connection closed")]
    Closed,
    /// The peer closed or cancelled the stream.
    #[error("stream cancelled by the peer")]
    Cancelled,
    /// The peer sent more than the stream's window allows.
    #[error("peer exceeded the stream's window")]
    WindowExceeded,
}

impl Error {
    /// Creates the error for an address that can't be bound.
    #[must_use]
    pub const fn bind(address: SocketAddr, source: io::Error) -> Self {
        Self::Bind { address, source }
    }

    /// Creates the error for a connection that could not be established.
    #[must_use]
    pub fn connect(reason: impl std::fmt::Display) -> Self {
        Self::Connect(reason.to_string())
    }
}
