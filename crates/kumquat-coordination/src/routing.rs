//! The `routing` module provides the decision whether a request that failed is tried again.
//!
//! A non-idempotent request is tried again only if the failed try provably did not run. Retries of idempotent requests
//! that may have run draw on a budget, so that a failing service does not get a multiple of its load. See
//! `docs/design.md`, section 5.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// First wait before a request is tried again after its owner or holder moved.
const BACKOFF_FIRST: Duration = Duration::from_millis(2);

/// Longest wait between two tries; a takeover takes about a second, so that longer waits would show in the tail.
const BACKOFF_LAST: Duration = Duration::from_millis(50);

/// Time that a try needs at least; with less left, a try can only waste an upstream's slot.
const LEAST_TIME: Duration = Duration::from_millis(2);

/// What a caller is told to wait when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retries per request that the budget allows in the long run.
const BUDGET_RATIO: f64 = 0.1;

/// Retries that the budget allows at once.
const BUDGET_BURST: f64 = 20.0;

/// Why a try failed, as far as it matters for the next one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The holder or owner is another one or is changing; another try finds it.
    Moved,
    /// The group can't take the request in time; another group may.
    Busy,
    /// The try broke off.
    Interrupted,
    /// The caller has to change something first, or the request's time is over.
    NotRetryable,
}

/// A failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Why it failed.
    pub cause: FailureCause,
    /// Whether it may have run.
    pub may_have_run: bool,
    /// When the refusing side can take a request again, if it knows.
    pub retry_after: Option<Duration>,
}

/// What to do after a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after the wait.
    Retry {
        /// Time to wait.
        after: Duration,
    },
    /// Tell the caller now.
    GiveUp {
        /// Whether any of the tries may have run.
        may_have_run: bool,
        /// When the caller may try again.
        retry_after: Duration,
    },
}

/// The tries of one request.
#[derive(Clone, Debug)]
pub struct Attempts {
    idempotent: bool,
    deadline: Instant,
    alternatives: u32,
    may_have_run: bool,
    backoff: Duration,
}

/// Bounds the retries of an entry relative to its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    level: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self {
            level: BUDGET_BURST,
        }
    }
}

impl RetryBudget {
    /// Counts a request, which earns a fraction of a retry.
    pub fn deposit(&mut self) {
        self.level = (self.level + BUDGET_RATIO).min(BUDGET_BURST);
    }

    fn withdraw(&mut self) -> bool {
        let allowed = self.level >= 1.0;
        if allowed {
            self.level -= 1.0;
        }
        allowed
    }
}

impl Attempts {
    /// Starts the tries of a request that `alternatives` other groups could answer as well.
    #[must_use]
    pub const fn new(idempotent: bool, deadline: Instant, alternatives: u32) -> Self {
        Self {
            idempotent,
            deadline,
            alternatives,
            may_have_run: false,
            backoff: BACKOFF_FIRST,
        }
    }

    /// Decides what follows a failed try; `is_replayable` tells whether the body can be sent again.
    pub fn on_failure(
        &mut self,
        now: Instant,
        failure: Failure,
        is_replayable: bool,
        budget: &mut RetryBudget,
    ) -> RetryDecision {
        self.may_have_run |= failure.may_have_run;
        let retry_after = failure.retry_after.unwrap_or(RETRY_AFTER);
        let give_up = RetryDecision::GiveUp {
            may_have_run: self.may_have_run,
            retry_after,
        };

        // A non-idempotent request that may have run must not run again, and neither must half a body.
        if !is_replayable || (self.may_have_run && !self.idempotent) {
            return give_up;
        }
        let after = match failure.cause {
            FailureCause::Busy if self.alternatives > 0 => {
                self.alternatives -= 1;
                Duration::ZERO
            }
            FailureCause::Busy | FailureCause::NotRetryable => return give_up,
            // A try that may have run costs an upstream's time again, one that did not run costs nothing.
            FailureCause::Interrupted if failure.may_have_run && !budget.withdraw() => {
                return give_up;
            }
            FailureCause::Moved | FailureCause::Interrupted => self.next_backoff(),
        };

        if now + after + LEAST_TIME < self.deadline {
            RetryDecision::Retry { after }
        } else {
            give_up
        }
    }

    fn next_backoff(&mut self) -> Duration {
        let backoff = self.backoff;
        self.backoff = (self.backoff * 2).min(BACKOFF_LAST);
        backoff
    }
}
