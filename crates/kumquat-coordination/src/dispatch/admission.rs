//! The `admission` module provides the admission control of a group: whether a request can be answered before its
//! deadline, how long it is expected to wait, and the load report.
//!
//! See `docs/design.md`, section 5, step 5.

use std::time::Duration;

use kumquat_state::bundle::{PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use rand::RngExt;

use super::Group;
use crate::balance::Load;
use crate::queue::Queue;

/// Fraction of the capacity that is assumed to remain for ordinary requests when urgent ones use nearly all of it.
const MIN_ORDINARY_FRACTION: f64 = 0.05;

/// Time constant of the decay of the arrival rate.
const URGENT_WINDOW_S: f64 = 0.2;

/// Shortest time after which a caller is told to retry; after a shorter one it would meet the same queue.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(10);

/// Arrival rate, averaged with exponential decay over [`URGENT_WINDOW_S`].
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ArrivalRate {
    per_second: f64,
    updated_at: Instant,
}

impl ArrivalRate {
    pub(crate) fn record(&mut self, now: Instant) {
        self.per_second = self.per_second_at(now) + 1.0 / URGENT_WINDOW_S;
        self.updated_at = now;
    }

    fn per_second_at(self, now: Instant) -> f64 {
        let elapsed_s = now.saturating_since(self.updated_at).as_secs_f64();
        self.per_second * (-elapsed_s / URGENT_WINDOW_S).exp()
    }
}

/// Expected wait and latency of a request if it is admitted, all in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Expected time in the queue; infinite if no upstream is usable.
    pub(crate) wait: f64,
    /// Typical latency of the upstream; for pool services the median of the group.
    pub(crate) typical_latency: f64,
    /// 95th percentile of the latency of the upstream.
    pub(crate) tail_latency: f64,
}

impl Group {
    /// Returns the forecast for a request in the group or, for keyed services, at its upstream.
    pub(crate) fn forecast(
        &self,
        now: Instant,
        team: &ident::Team,
        class: PriorityClass,
        upstream_index: Option<usize>,
    ) -> Forecast {
        let (queue, free_slots, completions_per_s, typical_latency_s, tail_latency_s) =
            if let Some(index) = upstream_index {
                let upstream = &self.upstreams[index];
                let mean_s = upstream.recent_latency.value_s();
                // The upstreams of a keyed service differ in latency, so the group's ratio of tail to median is
                // applied to the latency of this upstream.
                let tail_ratio = self.latency.p95_s() / self.latency.median_s();
                let typical_latency_s = mean_s.min(self.latency.median_s().max(mean_s * 0.5));
                (
                    &upstream.queue,
                    upstream.free_slots(),
                    upstream.completions_per_s(),
                    typical_latency_s,
                    typical_latency_s * tail_ratio,
                )
            } else {
                let (free_slots, completions_per_s) = self.capacity();
                (
                    &self.queue,
                    free_slots,
                    completions_per_s,
                    self.latency.median_s(),
                    self.latency.p95_s(),
                )
            };
        let wait_s = if queue.is_empty() && free_slots > 0 {
            0.0
        } else {
            self.expected_wait_s(now, queue, team, class, completions_per_s)
        };
        Forecast {
            wait: wait_s,
            typical_latency: typical_latency_s,
            tail_latency: tail_latency_s,
        }
    }

    fn expected_wait_s(
        &self,
        now: Instant,
        queue: &Queue,
        team: &ident::Team,
        class: PriorityClass,
        completions_per_s: f64,
    ) -> f64 {
        let queued_ahead = f64::from(queue.ahead(team, class) + 1);
        let completions_per_s = match class {
            PriorityClass::Urgent => completions_per_s,
            PriorityClass::Ordinary => {
                // Urgent requests that arrive later overtake a queued ordinary one.
                let urgent_per_s = match self.kind {
                    ServiceKind::Pool => self.urgent_arrivals.per_second_at(now),
                    ServiceKind::Keyed => 0.0,
                };
                (completions_per_s - urgent_per_s).max(completions_per_s * MIN_ORDINARY_FRACTION)
            }
        };
        if completions_per_s > 0.0 {
            queued_ahead / completions_per_s
        } else {
            f64::INFINITY
        }
    }

    /// Returns the free slots of the group and the requests per second that it completes when all slots are in use.
    pub(crate) fn capacity(&self) -> (u32, f64) {
        let mut free_slots = 0;
        let mut completions_per_s = 0.0;
        for upstream in &self.upstreams {
            if upstream.is_usable() {
                free_slots += upstream.free_slots();
                completions_per_s += upstream.completions_per_s();
            }
        }
        (free_slots, completions_per_s)
    }

    /// Returns whether a request with this forecast can be answered before its deadline.
    pub(crate) fn meets_deadline(
        &self,
        now: Instant,
        deadline: Instant,
        forecast: Forecast,
    ) -> bool {
        let remaining_s = now.until(deadline).as_secs_f64();
        if forecast.wait <= 0.0 {
            forecast.typical_latency < remaining_s
        } else {
            forecast.wait * self.options.wait_safety_factor + forecast.tail_latency < remaining_s
        }
    }

    /// Returns the time after which a refused caller may retry, with jitter so that callers don't retry together.
    pub(crate) fn retry_after(&mut self, expected_wait_s: f64) -> Duration {
        let max_retry_after = self.options.max_retry_after;
        let retry_after = if expected_wait_s.is_finite() {
            Duration::try_from_secs_f64(expected_wait_s).unwrap_or(max_retry_after)
        } else {
            max_retry_after
        };
        retry_after
            .clamp(MIN_RETRY_AFTER, max_retry_after)
            .mul_f64(self.rng.random_range(1.0..1.5))
    }

    /// Returns the load report that is sent to the entries with each response and refusal.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let mut load = Load {
            reported_at: now,
            ..Load::default()
        };
        let mut completions_per_s = 0.0;
        for upstream in &self.upstreams {
            load.running += upstream.in_flight;
            if upstream.is_usable() {
                load.slots += upstream.limit();
                completions_per_s += upstream.completions_per_s();
            }
        }
        let queued = |class| match self.kind {
            ServiceKind::Pool => self.queue.capped_len_of(class),
            ServiceKind::Keyed => self
                .upstreams
                .iter()
                .map(|upstream| upstream.queue.len_of(class))
                .sum(),
        };
        load.urgent = queued(PriorityClass::Urgent);
        load.ordinary = queued(PriorityClass::Ordinary);
        if completions_per_s > 0.0 {
            load.service_time =
                Duration::try_from_secs_f64(f64::from(load.slots) / completions_per_s)
                    .unwrap_or(Duration::MAX);
        }
        load
    }
}
