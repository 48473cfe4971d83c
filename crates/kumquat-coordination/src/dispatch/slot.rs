//! The `slot` module provides the state of one upstream: its attempts in flight, its concurrency limit and its latency
//! estimates.

use kumquat_state::clock::Instant;
use kumquat_state::ident;

use super::cold::SlowStart;
use super::latency::LatencyMean;
use super::outlier::OutlierDetector;
use crate::queue::Queue;

/// State of one upstream of the group.
#[derive(Clone, Debug)]
pub(crate) struct TrackedUpstream {
    pub(crate) name: ident::Upstream,
    /// Attempts whose end has not been reported yet, including aborted ones.
    pub(crate) in_flight: u32,
    pub(crate) takes_work: bool,
    /// Whether the bundle no longer lists the upstream; its state is kept until its attempts have ended.
    pub(crate) is_removed: bool,
    pub(crate) boot_id: Option<u64>,
    pub(crate) slow_start: SlowStart,
    pub(crate) outlier: OutlierDetector,
    /// Mean latency of recent attempts, overdue ones included.
    pub(crate) recent_latency: LatencyMean,
    /// Requests that are queued for this upstream; used by keyed services only.
    pub(crate) queue: Queue,
}

impl TrackedUpstream {
    /// Returns whether the upstream may receive requests at all.
    pub(crate) fn is_usable(&self) -> bool {
        self.takes_work && !self.outlier.is_ejected()
    }

    /// Returns the number of attempts that may be in flight, which is at most one while the upstream is a suspect.
    pub(crate) fn limit(&self) -> u32 {
        let limit = self.slow_start.limit();
        if self.outlier.is_suspect() {
            limit.min(1)
        } else {
            limit
        }
    }

    /// Returns the number of attempts that may be sent now.
    pub(crate) fn free_slots(&self) -> u32 {
        if self.is_usable() {
            self.limit().saturating_sub(self.in_flight)
        } else {
            0
        }
    }

    /// Returns the requests per second that the upstream completes when all its slots are in use.
    pub(crate) fn completions_per_s(&self) -> f64 {
        f64::from(self.limit()) / self.recent_latency.value_s()
    }
}

/// An attempt whose end has not been reported yet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: u64,
    /// Handle of the request; `None` once the request has its final result or this attempt is aborted.
    pub(crate) request_handle: Option<u32>,
    pub(crate) upstream_index: usize,
    pub(crate) sent_at: Instant,
    /// Generation of the upstream's [`SlowStart`] in which the attempt was sent.
    pub(crate) generation: u32,
    pub(crate) is_aborted: bool,
    /// Number of latency samples that were recorded before its end because it was overdue.
    pub(crate) overdue_samples: u8,
}
