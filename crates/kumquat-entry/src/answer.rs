//! The `answer` module provides the answers that the entry itself gives, above all refusals.
//!
//! Each refusal says why, whether the request may have run, and when the caller may try again. See `docs/design.md`,
//! section 5.

use std::time::Duration;

use poem::Response;
use poem::http::StatusCode;

use kumquat_protocol::wire::{Outcome, Reason};

use crate::caller::Rejection;

/// Header that names the request, so that a caller and an operator can speak of the same one.
pub const REQUEST_HEADER: &str = "kumquat-request";

/// Header that says whether a refused request may have run.
pub const OUTCOME_HEADER: &str = "kumquat-outcome";

/// Reason of refusals for too many failed caller keys; they also close the connection.
const KEY_FAILURES: &str = "caller-key-failures";

/// A refusal by the entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Short reason, the same as in the metrics.
    pub reason: &'static str,
    /// What the caller can do about it.
    pub message: &'static str,
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// When the caller may try again, where trying again can help.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal of a request that the caller has to change before trying again.
    #[must_use]
    pub const fn invalid(status: StatusCode, reason: &'static str, message: &'static str) -> Self {
        Self {
            status,
            reason,
            message,
            outcome: Outcome::NotRun,
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may be tried again later.
    #[must_use]
    pub const fn later(reason: &'static str, message: &'static str, retry_after: Duration) -> Self {
        Self {
            status: StatusCode::SERVICE_UNAVAILABLE,
            reason,
            message,
            outcome: Outcome::NotRun,
            retry_after: Some(retry_after),
        }
    }

    /// Creates the refusal for a team above its rate.
    #[must_use]
    pub const fn over_rate(retry_after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            ..Self::later("over-rate", "the team is above its rate", retry_after)
        }
    }

    /// Creates the refusal for an address with too many failed caller keys.
    #[must_use]
    pub const fn key_failures(retry_after: Duration) -> Self {
        Self {
            status: StatusCode::TOO_MANY_REQUESTS,
            ..Self::later(
                KEY_FAILURES,
                "too many requests of this address had no valid caller key",
                retry_after,
            )
        }
    }

    /// Creates the refusal that follows from the last failed try.
    #[must_use]
    pub fn from_try(reason: Reason, may_have_run: bool, retry_after: Duration) -> Self {
        let outcome = if may_have_run {
            Outcome::Unknown
        } else {
            Outcome::NotRun
        };
        let (status, reason, message) = describe(reason, outcome);
        Self {
            status,
            reason,
            message,
            outcome,
            retry_after: Some(retry_after),
        }
    }

    /// Creates the response for the caller.
    #[must_use]
    pub fn into_response(self) -> Response {
        let outcome = match self.outcome {
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        };
        let retry_after_ms = self.retry_after.map(|after| after.as_millis());
        let retry = retry_after_ms.map_or_else(|| "null".to_owned(), |millis| millis.to_string());
        let body = format!(
            "{{\"error\":\"{}\",\"message\":\"{}\",\"outcome\":\"{outcome}\",\"retry_after_ms\":{retry}}}\n",
            self.reason, self.message,
        );

        let mut response = Response::builder()
            .status(self.status)
            .content_type("application/json")
            .header(OUTCOME_HEADER, outcome);
        if let Some(millis) = retry_after_ms {
            // The header counts whole seconds, the body is exact.
            response = response.header("retry-after", millis.div_ceil(1_000).to_string());
        }
        if self.reason == KEY_FAILURES {
            response = response.header("connection", "close");
        }
        response.body(body)
    }
}

impl From<Rejection> for Refusal {
    fn from(rejection: Rejection) -> Self {
        match rejection {
            Rejection::Key => Self::invalid(
                StatusCode::UNAUTHORIZED,
                "caller-key",
                "a valid caller key is required as bearer token",
            ),
            Rejection::Exposed => Self::invalid(
                StatusCode::BAD_REQUEST,
                "caller-key-exposed",
                "the caller key may stand in the authorization header only",
            ),
            Rejection::Team => Self::invalid(
                StatusCode::BAD_REQUEST,
                "team",
                "the kumquat-team header has to name a known team",
            ),
            Rejection::Hidden => {
                Self::invalid(StatusCode::NOT_FOUND, "route", "no route matches the path")
            }
        }
    }
}

fn describe(reason: Reason, outcome: Outcome) -> (StatusCode, &'static str, &'static str) {
    let unavailable = StatusCode::SERVICE_UNAVAILABLE;
    match (reason, outcome) {
        (Reason::Deadline, Outcome::NotRun) => (
            unavailable,
            "deadline",
            "the request could not be answered in time",
        ),
        (Reason::Deadline, Outcome::Unknown) => (
            StatusCode::GATEWAY_TIMEOUT,
            "deadline",
            "the upstream did not answer in time",
        ),
        (Reason::QueueFull, _) => (unavailable, "queue-full", "too many requests are waiting"),
        (Reason::NoOwner | Reason::NotActing, _) => {
            (unavailable, "no-owner", "the key's owner is changing")
        }
        (Reason::Draining, _) => (unavailable, "draining", "the process is shutting down"),
        (Reason::OverRate, _) => (
            StatusCode::TOO_MANY_REQUESTS,
            "over-rate",
            "the team is above its rate",
        ),
        (Reason::Unavailable, Outcome::NotRun) => {
            (unavailable, "unavailable", "no upstream took the request")
        }
        (Reason::Unavailable | Reason::Broken | Reason::PeerLost, _) => (
            StatusCode::BAD_GATEWAY,
            "broken",
            "the answer broke off before it was complete",
        ),
    }
}
