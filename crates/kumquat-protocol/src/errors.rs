//! The `errors` module provides the error type of the protocol layer.

use kumquat_state::ident;

/// Result of the protocol layer.
pub type Result<T> = std::result::Result<T, Error>;

/// What is wrong with the bytes or the peer at the other end.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer speaks another version of the protocol.
    #[error("peer speaks protocol version {peer}, expected {expected}")]
    Version {
        /// Version that the peer announced.
        peer: u16,
        /// Version that this process speaks.
        expected: u16,
    },
    /// The bytes do not decode to a message.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The frame is larger than the limit.
    #[error("frame of {size} bytes exceeds the limit of {limit} bytes")]
    Oversized {
        /// Size of the frame in bytes.
        size: usize,
        /// Limit in bytes.
        limit: usize,
    },
    /// The peer could not prove that it knows the cell's secret, or a frame was altered or replayed.
    #[error("authentication failed: {0}")]
    Authentication(&'static str),
}

impl Error {
    /// Creates the error for bytes that do not decode to a message.
    #[must_use]
    pub fn malformed(reason: impl Into<String>) -> Self {
        Self::Malformed(reason.into())
    }

    /// Creates the error for a frame above the size limit.
    #[must_use]
    pub const fn oversized(size: usize, limit: usize) -> Self {
        Self::Oversized { size, limit }
    }

    /// Creates the error for a failed proof or frame digest.
    #[must_use]
    pub const fn authentication(reason: &'static str) -> Self {
        Self::Authentication(reason)
    }
}

impl From<ident::NameError> for Error {
    fn from(error: ident::NameError) -> Self {
        Self::Malformed(error.to_string())
    }
}
