//! The `routing` module provides the decision whether a failed request is retried.
//!
//! A non-idempotent request is retried only if the failed attempt provably did not run. Retries of idempotent requests
//! that may have run are limited by a token bucket, so that a failing service does not get a multiple of its load. See
//! `docs/design.md`, section 5.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Delay before the first retry of a request whose owner or holder has changed.
const INITIAL_BACKOFF: Duration = Duration::from_millis(2);

/// Maximum delay between two attempts; a takeover takes about a second, so that longer delays would raise tail latency.
const MAX_BACKOFF: Duration = Duration::from_millis(50);

/// Minimum time for an attempt; one with less time before the deadline would only waste upstream capacity.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(2);

/// Retry delay for the caller if the failure does not give one.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Tokens that each request adds to the retry budget, the long-term limit of retries per request.
const BUDGET_RETRIES_PER_REQUEST: f64 = 0.1;

/// Maximum number of tokens in the retry budget.
const BUDGET_BURST_RETRIES: f64 = 20.0;

/// Cause of a failed attempt, which determines how it is retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The holder or owner has changed or is changing; a retry finds the new one.
    Moved,
    /// The group can't serve the request before its deadline; another group may.
    Busy,
    /// The attempt was interrupted before its response was complete.
    Interrupted,
    /// A retry would fail again, or the request's deadline has passed.
    NotRetryable,
}

/// A failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Cause of the failure.
    pub cause: FailureCause,
    /// Whether the upstream may have executed the request.
    pub may_have_run: bool,
    /// Time after which the refusing side expects to accept requests again, if it is known.
    pub retry_after: Option<Duration>,
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Start another attempt after a delay.
    Retry {
        /// Delay before the attempt, zero for another group.
        after: Duration,
    },
    /// Return the failure to the caller.
    GiveUp {
        /// Whether the upstream may have executed any of the attempts.
        may_have_run: bool,
        /// Time after which the caller may send the request again.
        retry_after: Duration,
    },
}

/// Attempts of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    is_idempotent: bool,
    deadline: Instant,
    alternative_groups: u32,
    may_have_run: bool,
    backoff: Duration,
}

/// Token bucket that limits the retries of an entry relative to its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            tokens: BUDGET_BURST_RETRIES,
        }
    }
}

impl RetryBudget {
    /// Adds the tokens of one request; the caller does so once per request, not per attempt.
    pub fn deposit(&mut self) {
        self.tokens = (self.tokens + BUDGET_RETRIES_PER_REQUEST).min(BUDGET_BURST_RETRIES);
    }

    fn withdraw(&mut self) -> bool {
        let is_allowed = self.tokens >= 1.0;
        if is_allowed {
            self.tokens -= 1.0;
        }
        is_allowed
    }
}

impl Attempts {
    /// Creates the state of a request that `alternative_groups` further groups could serve.
    #[must_use]
    pub const fn new(is_idempotent: bool, deadline: Instant, alternative_groups: u32) -> Self {
        Self {
            is_idempotent,
            deadline,
            alternative_groups,
            may_have_run: false,
            backoff: INITIAL_BACKOFF,
        }
    }

    /// Decides what follows a failed attempt; `is_replayable` states whether the request body can be sent again.
    pub fn on_failure(
        &mut self,
        now: Instant,
        failure: Failure,
        is_replayable: bool,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.may_have_run |= failure.may_have_run;
        let retry_after = failure.retry_after.unwrap_or(DEFAULT_RETRY_AFTER);
        let give_up = RetryDecision::GiveUp {
            may_have_run: self.may_have_run,
            retry_after,
        };

        // A non-idempotent request that may have run must not run again, and a partly consumed body can't be sent
        // again.
        if !is_replayable || (self.may_have_run && !self.is_idempotent) {
            return give_up;
        }
        let after = match failure.cause {
            FailureCause::Busy if self.alternative_groups > 0 => {
                self.alternative_groups -= 1;
                Duration::ZERO
            }
            FailureCause::Busy | FailureCause::NotRetryable => return give_up,
            // Repeating an attempt that may have run takes upstream capacity again; one that did not run took none.
            FailureCause::Interrupted if failure.may_have_run && !budget.withdraw() => {
                return give_up;
            }
            FailureCause::Moved | FailureCause::Interrupted => self.next_backoff(),
        };

        if now + after + MIN_ATTEMPT_TIME < self.deadline {
            RetryDecision::Retry { after }
        } else {
            give_up
        }
    }

    fn next_backoff(&mut self) -> Duration {
        let backoff = self.backoff;
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        backoff
    }
}
