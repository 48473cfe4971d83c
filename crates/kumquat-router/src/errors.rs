//! The `errors` module provides the errors of connections and messages.

use std::io;

/// An error of a connection or of an HTTP message on it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer closed the connection between two messages, which is a normal end.
    #[error("the connection was closed")]
    Closed,
    /// The peer closed the connection before the end of a message.
    #[error("the connection was closed within a message")]
    Truncated,
    /// The message violates HTTP/1.1; the value names the violation or the malformed part.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The deadline passed before the end of the message.
    #[error("the message did not arrive in time")]
    TimedOut,
    /// A part of the message, named by the value, exceeds its size limit.
    #[error("the {0} is larger than allowed")]
    TooLarge(&'static str),
    /// The memory for callers' requests is exhausted.
    #[error("no memory left for requests")]
    Exhausted,
    /// This side resets the connection, for the stated reason.
    #[error("given up: {0}")]
    Aborted(&'static str),
    /// An operation on the socket failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}

impl Error {
    /// Returns whether the peer ended the connection or it failed, as happens when the peer's process ends.
    #[must_use]
    pub const fn is_connection_end(&self) -> bool {
        matches!(self, Self::Closed | Self::Truncated | Self::Io(_))
    }
}

/// Result of an operation on a connection.
pub type Result<T> = std::result::Result<T, Error>;
