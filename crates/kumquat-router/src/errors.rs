//! The `errors` module provides the errors of connections and messages.

use std::io;

/// What is wrong with a connection or a message on it.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The peer closed the connection between two messages.
    #[error("the connection was closed")]
    Closed,
    /// The peer closed the connection within a message.
    #[error("the connection was closed within a message")]
    Truncated,
    /// The message breaks the protocol.
    #[error("malformed message: {0}")]
    Malformed(&'static str),
    /// The message did not arrive in time.
    #[error("the message did not arrive in time")]
    TimedOut,
    /// The message is larger than allowed.
    #[error("the {0} is larger than allowed")]
    TooLarge(&'static str),
    /// This side has given the connection up.
    #[error("given up: {0}")]
    Aborted(&'static str),
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] io::Error),
}

/// Result of this layer.
pub type Result<T> = std::result::Result<T, Error>;
