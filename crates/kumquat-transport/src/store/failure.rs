//! The `failure` module classifies failed calls to the store by whether they may have taken effect.

use std::time::Duration;

use kumquat_state::ident;
use reqwest::StatusCode;

use crate::upstream::chain;

/// Failure of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The key has another revision than expected; nothing was written.
    #[error("conflict: the key has revision {revision}")]
    Conflict {
        /// Present revision; 0 if the key does not exist.
        revision: ident::Revision,
    },
    /// The lease is held by another holder, or lost.
    #[error("the lease is held by {holder:?} at epoch {epoch}")]
    Held {
        /// Present holder; empty if there is none.
        holder: String,
        /// Epoch of the last holder.
        epoch: ident::Epoch,
    },
    /// The call did not run: the store can't be reached, refuses calls, or is above its call rate.
    #[error("store unavailable: {reason}")]
    Unavailable {
        /// What was wrong.
        reason: String,
    },
    /// The call may have taken effect, but its answer was lost.
    #[error("outcome unknown: {reason}")]
    Unknown {
        /// What was wrong.
        reason: String,
    },
    /// The call is not valid and did not run; sending it again is of no use.
    #[error("rejected: {reason}")]
    Rejected {
        /// What was wrong.
        reason: String,
    },
}

impl Failure {
    pub(super) fn unknown(reason: &str) -> Self {
        Self::Unknown {
            reason: reason.to_owned(),
        }
    }

    pub(super) fn rejected(reason: &str) -> Self {
        Self::Rejected {
            reason: reason.to_owned(),
        }
    }

    pub(super) fn unavailable(status: StatusCode) -> Self {
        Self::Unavailable {
            reason: format!("refused with status {status}"),
        }
    }

    pub(super) fn timed_out(time: Duration) -> Self {
        Self::Unknown {
            reason: format!("no answer within {} ms", time.as_millis()),
        }
    }

    /// Classifies an answer with an unexpected status.
    pub(super) fn status(status: StatusCode) -> Self {
        let reason = format!("answered with status {status}");
        if status.is_client_error() {
            Self::Rejected { reason }
        } else {
            Self::Unknown { reason }
        }
    }

    pub(super) fn of(error: &reqwest::Error) -> Self {
        let reason = chain(error);
        if error.is_connect() {
            Self::Unavailable { reason }
        } else if error.is_builder() {
            Self::Rejected { reason }
        } else {
            Self::Unknown { reason }
        }
    }
}
