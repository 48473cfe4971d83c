//! The `response` module provides what becomes of an upstream's response, by what it states about the execution of the
//! request.
//!
//! The statuses 408, 421, 429 and 503 tell a caller that its request was not executed and never will be. It then sends
//! the request again, even if that is not idempotent. See `docs/decisions.md`, section 9.

/// What the head of an upstream's response states.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement {
    /// HTTP status code.
    pub status: u16,
    /// Whether the upstream states that it did not execute the request.
    pub is_not_executed: bool,
    /// Whether the response bears the upstream's signature.
    pub is_signed: bool,
}

/// What becomes of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream did not execute the request, which may be sent to another one.
    NotExecuted,
    /// The response is not the upstream's own, so that it is unknown whether the request was executed.
    NotGenuine,
    /// The response is passed on.
    Answer,
    /// The upstream failed; the response is passed on unless the request is retried.
    Failure,
    /// The upstream failed with a status that would tell the caller that its request was not executed.
    ///
    /// The caller gets another status, and nothing of the response.
    Replaced,
}

impl Statement {
    /// Returns what becomes of the response to a request that is idempotent or not.
    #[must_use]
    pub const fn verdict(&self, is_idempotent: bool) -> Verdict {
        if self.is_not_executed {
            Verdict::NotExecuted
        } else if !self.is_signed {
            Verdict::NotGenuine
        } else if !is_idempotent && denies_execution(self.status) {
            Verdict::Replaced
        } else if self.status >= 500 || denies_execution(self.status) {
            Verdict::Failure
        } else {
            Verdict::Answer
        }
    }

    /// Returns whether a response that has come through another VM may be passed on to the caller.
    ///
    /// A VM of an older version passes on what [`Verdict::Replaced`] is for. What an upstream has not signed is the other
    /// VM's own, which knows whether it sent the request.
    #[must_use]
    pub const fn is_relayable(&self, is_idempotent: bool) -> bool {
        !matches!(self.verdict(is_idempotent), Verdict::Replaced)
    }
}

/// Returns the status of a response that the router generates for a request that has no response to pass on.
///
/// `may_have_executed` tells whether an upstream may have executed it, `has_time_left` whether its deadline is ahead.
#[must_use]
pub const fn refusal_status(may_have_executed: bool, has_time_left: bool) -> u16 {
    match (may_have_executed, has_time_left) {
        (false, _) => 503,
        (true, true) => 502,
        (true, false) => 504,
    }
}

/// Returns whether a status tells the caller that its request was not executed and never will be.
const fn denies_execution(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}
