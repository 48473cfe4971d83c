//! The `slot` module provides the state of one upstream: its exact slot count, its limit and its estimates.

use kumquat_state::clock::Instant;
use kumquat_state::ident;

use super::cold::SlowStart;
use super::latency::LatencyMean;
use super::outlier::OutlierDetector;
use crate::queue::Queue;

/// One upstream of the group.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) name: ident::Upstream,
    /// Attempts whose end is not known yet, aborted ones included.
    pub(crate) running: u32,
    pub(crate) takes_work: bool,
    /// Whether the bundle no longer lists it; it is kept until its attempts have ended.
    pub(crate) is_removed: bool,
    pub(crate) boot: Option<u64>,
    pub(crate) slow_start: SlowStart,
    pub(crate) outlier: OutlierDetector,
    /// Recent latency, in seconds.
    pub(crate) recent: LatencyMean,
    /// Requests that wait for this upstream; used by keyed services only.
    pub(crate) queue: Queue,
}

impl Server {
    /// Returns whether the upstream may get requests at all.
    pub(crate) fn is_usable(&self) -> bool {
        self.takes_work && !self.outlier.is_ejected()
    }

    /// Returns how many attempts may run at once now.
    pub(crate) fn limit(&self) -> u32 {
        let limit = self.slow_start.limit();
        if self.outlier.is_suspect() {
            limit.min(1)
        } else {
            limit
        }
    }

    /// Returns how many more attempts may be sent now.
    pub(crate) fn free(&self) -> u32 {
        if self.is_usable() {
            self.limit().saturating_sub(self.running)
        } else {
            0
        }
    }

    /// Returns the requests per second that the upstream completes when it is busy.
    pub(crate) fn rate(&self) -> f64 {
        f64::from(self.limit()) / self.recent.value_s()
    }
}

/// One attempt to run a request on an upstream.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub(crate) id: u64,
    /// Handle of the request, until the request has its final result or this attempt is aborted.
    pub(crate) request: Option<u32>,
    pub(crate) server: usize,
    pub(crate) sent: Instant,
    /// Cold start period of the upstream in which the attempt was sent.
    pub(crate) generation: u32,
    pub(crate) aborted: bool,
    /// How often its latency has entered the estimates before its end, because it was overdue.
    pub(crate) counted: u8,
}
