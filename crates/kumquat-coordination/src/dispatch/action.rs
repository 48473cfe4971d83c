//! The `action` module provides the inputs of a group and the actions that it asks its driver for.

use std::time::Duration;

use kumquat_state::bundle::PriorityClass;
use kumquat_state::clock::Instant;
use kumquat_state::ident;

/// An upstream as the bundle describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Name, unique within the group.
    pub name: ident::Upstream,
    /// Largest number of attempts in flight when the upstream is warm.
    pub slots: u32,
    /// Largest number of attempts in flight right after a cold start.
    pub cold_slots: u32,
    /// Completed requests after which the limit of a cold upstream grows by one; zero counts as one.
    pub cold_step: u32,
    /// Whether the upstream may receive new requests.
    pub takes_work: bool,
}

/// A request that arrives at the group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Id chosen by the driver; it has to differ from the ids of all requests that have not ended.
    pub id: u64,
    /// Team that the request is accounted to.
    pub team: ident::Team,
    /// Priority class in the queue.
    pub class: PriorityClass,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Time by which the caller needs the response; the request is refused when it passes.
    pub deadline: Instant,
    /// Upstream that owns the key of the request; `None` for pool services.
    pub target: Option<ident::Upstream>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream sent a complete response.
    Completed {
        /// First digit of the HTTP status, 1 to 5.
        status_class: u8,
    },
    /// The upstream shed the request and stated that it did not run it.
    Shed,
    /// The connection was not established, so nothing was sent.
    NotConnected,
    /// The connection broke; the request may have run.
    Broken,
    /// The upstream did not respond in time; the request may have run.
    TimedOut,
}

impl Outcome {
    /// Returns whether it is certain that the upstream did not run the request, so that any request may be retried.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Shed | Self::NotConnected)
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusalReason {
    /// The request could not be answered before its deadline.
    Overload,
    /// The team's part of the queue, or the whole queue, was full.
    QueueFull,
    /// No upstream that may run the request receives requests.
    NoUpstream,
    /// No upstream of the group accepts new requests, as after its data centre was taken out; another group may
    /// accept the request.
    Withdrawn,
    /// The group admits no new requests, because this VM is about to stop acting for it.
    Stopping,
    /// The deadline of the request passed.
    Deadline,
    /// The upstream shed the request, and no retry was possible.
    Shed,
    /// No connection to an upstream was established, and no retry was possible.
    NotConnected,
    /// The connection to the upstream broke, and no retry was possible.
    Broken,
    /// The caller cancelled the request.
    Cancelled,
}

/// Whether a refused request may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Execution {
    /// No upstream ran the request; it is safe to send it again.
    NotRun,
    /// An upstream may have run the request.
    Unknown,
}

/// Action that the driver has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send a request to an upstream.
    Send {
        /// Id of the request.
        id: u64,
        /// Id of the attempt, whose end the driver has to report with [`super::Group::on_attempt_ended`].
        attempt: u64,
        /// Upstream to send it to.
        upstream: ident::Upstream,
        /// Deadline of the request, to be passed on to the upstream.
        deadline: Instant,
    },
    /// Cancel an attempt that is in flight and report its end with [`super::Group::on_attempt_ended`].
    Abort {
        /// Id of the attempt.
        attempt: u64,
    },
    /// Forward the response of this attempt to the caller; this is the request's final result.
    Deliver {
        /// Id of the request.
        id: u64,
        /// Id of the attempt whose response is forwarded.
        attempt: u64,
    },
    /// Refuse the request; this is its final result.
    Refuse {
        /// Id of the request.
        id: u64,
        /// Reason for the metrics and for the caller.
        reason: RefusalReason,
        /// Whether the request may have been executed.
        execution: Execution,
        /// Time after which the caller may retry, with jitter.
        retry_after: Duration,
    },
    /// Outlier detection has ejected an upstream, which receives no requests until it is reinstated.
    Ejected {
        /// Name of the upstream.
        upstream: ident::Upstream,
        /// Time at which it is reinstated.
        until: Instant,
    },
    /// An ejected upstream receives requests again, with a slow start.
    Reinstated {
        /// Name of the upstream.
        upstream: ident::Upstream,
    },
    /// An upstream has been put back to its cold limit, after a restart or a rise of its latency or failures.
    TurnedCold {
        /// Name of the upstream.
        upstream: ident::Upstream,
    },
    /// An upstream has become warm and receives requests in all its slots.
    TurnedWarm {
        /// Name of the upstream.
        upstream: ident::Upstream,
    },
}
