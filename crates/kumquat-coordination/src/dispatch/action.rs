//! The `action` module provides the events that a group is told of and the actions that it asks for.

use std::time::Duration;

use kumquat_state::bundle::Class;
use kumquat_state::clock::Instant;
use kumquat_state::ident;

/// An upstream as the bundle describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: ident::Upstream,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Requests that it bears at once when cold.
    pub cold_slots: u32,
    /// Completed requests after which it bears one more at once.
    pub cold_step: u32,
    /// Whether it may get new requests.
    pub takes_work: bool,
}

/// A request that arrives at the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id that the driver uses for this request; ids in use must differ.
    pub id: u64,
    /// Team for which the request runs.
    pub team: ident::Team,
    /// Urgency.
    pub class: Class,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time by which the caller needs the answer.
    pub deadline: Instant,
    /// The only upstream that may run the request; set for keyed services.
    pub target: Option<ident::Upstream>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered in full.
    Completed {
        /// First digit of the HTTP status.
        status_class: u8,
    },
    /// The upstream refused with an explicit "not run".
    Shed,
    /// The connection was not established, so nothing was sent.
    NotConnected,
    /// The connection broke; the request may have run.
    Broken,
    /// No answer came in time; the request may have run.
    TimedOut,
}

impl Outcome {
    /// Returns whether the attempt provably did not run.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Shed | Self::NotConnected)
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// It could not be answered in time.
    Overload,
    /// The team's part of the queue was full.
    QueueFull,
    /// No upstream takes it.
    NoUpstream,
    /// The upstreams of the group were all taken out of service; another group may take it.
    Withdrawn,
    /// The group takes no new requests, because this VM is about to stop acting for it.
    Stopping,
    /// Its deadline passed.
    Deadline,
    /// The upstream shed it.
    Shed,
    /// No connection to an upstream was established.
    NotConnected,
    /// The connection to the upstream broke.
    Broken,
    /// The caller gave it up.
    Cancelled,
}

/// What is known about a refused request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to an upstream.
    Send {
        /// The request.
        id: u64,
        /// Attempt whose end the driver has to report.
        attempt: u64,
        /// Where to send it.
        upstream: ident::Upstream,
        /// Deadline to pass on.
        deadline: Instant,
    },
    /// Cancel a running attempt and report its end with [`super::Group::on_attempt_ended`].
    Abort {
        /// The attempt.
        attempt: u64,
    },
    /// Pass the answer of this attempt to the caller; this is the request's final result.
    Deliver {
        /// The request.
        id: u64,
        /// The attempt whose answer counts.
        attempt: u64,
    },
    /// Tell the caller that the request is refused; this is the request's final result.
    Refuse {
        /// The request.
        id: u64,
        /// Why.
        reason: RefusalReason,
        /// Whether it may have run.
        execution: Execution,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// An upstream gets no requests for a while.
    Ejected {
        /// The upstream.
        upstream: ident::Upstream,
        /// Time at which it is reinstated.
        until: Instant,
    },
    /// An ejected upstream gets requests again, by slow start.
    Reinstated {
        /// The upstream.
        upstream: ident::Upstream,
    },
    /// An upstream has turned cold.
    TurnedCold {
        /// The upstream.
        upstream: ident::Upstream,
    },
    /// An upstream has become warm.
    TurnedWarm {
        /// The upstream.
        upstream: ident::Upstream,
    },
}
