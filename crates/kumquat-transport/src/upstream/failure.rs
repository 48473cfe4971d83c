//! The `failure` module classifies failed calls by whether the request may have run.

use std::error::Error as _;

use reqwest::StatusCode;

use super::Clock;

/// Failure to open a client.
#[derive(Debug, thiserror::Error)]
#[error("cannot set up the HTTP client: {source}")]
pub struct Error {
    source: reqwest::Error,
}

impl Error {
    pub(crate) fn open(source: reqwest::Error) -> Self {
        Self { source }
    }
}

/// Failure of a call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No connection was established, so the request did not run.
    #[error("not connected: {reason}")]
    NotConnected {
        /// What prevented the connection.
        reason: String,
    },
    /// The upstream states that the request did not run.
    #[error("shed with status {status}")]
    Shed {
        /// Status of the answer.
        status: StatusCode,
        /// Boot id and clock of the upstream, if it states them.
        clock: Option<Clock>,
    },
    /// The connection or the answer was broken; the request may have run.
    #[error("broken: {reason}")]
    Broken {
        /// What was wrong.
        reason: String,
    },
    /// The time ran out; the request may have run.
    #[error("timed out while waiting for {stage}")]
    TimedOut {
        /// What was awaited.
        stage: &'static str,
    },
}

impl Failure {
    /// Returns whether the request provably did not run, so that it may be sent again.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        matches!(self, Self::NotConnected { .. } | Self::Shed { .. })
    }

    pub(super) fn not_connected(reason: &str) -> Self {
        Self::NotConnected {
            reason: reason.to_owned(),
        }
    }

    pub(super) fn timed_out(stage: &'static str) -> Self {
        Self::TimedOut { stage }
    }

    pub(super) fn too_long(limit: usize) -> Self {
        Self::Broken {
            reason: format!("the body is longer than {limit} bytes"),
        }
    }

    pub(super) fn unexpected(status: StatusCode) -> Self {
        Self::Broken {
            reason: format!("unexpected answer with status {status}"),
        }
    }

    pub(super) fn broken(error: &reqwest::Error) -> Self {
        Self::Broken {
            reason: chain(error),
        }
    }

    /// Classifies an error of the HTTP client before the headers of the answer have arrived.
    pub(super) fn of(error: &reqwest::Error) -> Self {
        // A connect error includes the connect timeout. A builder error concerns a request that can't be sent at all.
        if error.is_connect() || error.is_builder() {
            Self::NotConnected {
                reason: chain(error),
            }
        } else {
            Self::broken(error)
        }
    }
}

/// Joins the messages of an error and its causes, because reqwest's own message names only the URL.
pub(crate) fn chain(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
