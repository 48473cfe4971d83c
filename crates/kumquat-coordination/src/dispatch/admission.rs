//! The `admission` module provides the decision whether a request can be answered in time, and the expected wait.
//!
//! See `docs/design.md`, section 5, step 5.

use std::time::Duration;

use kumquat_state::bundle::{Class, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use rand::RngExt;

use super::Group;
use crate::balance::Load;
use crate::queue::Queue;

/// Part of the capacity that ordinary work is expected to keep when urgent load comes close to it.
const ORDINARY_FLOOR: f64 = 0.05;

/// Time over which the rate of urgent requests is averaged, in seconds.
const URGENT_WINDOW: f64 = 0.2;

/// Shortest time after which a caller is told to retry; a shorter one would bring it back into the same queue.
const LEAST_RETRY: Duration = Duration::from_millis(10);

/// Rate of arrivals, averaged with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rate {
    per_second: f64,
    last: Instant,
}

impl Rate {
    pub(crate) fn count(&mut self, now: Instant) {
        self.per_second = self.value(now) + 1.0 / URGENT_WINDOW;
        self.last = now;
    }

    fn value(self, now: Instant) -> f64 {
        let passed = now.saturating_since(self.last).as_secs_f64();
        self.per_second * (-passed / URGENT_WINDOW).exp()
    }
}

/// What a request would meet if it were admitted.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Forecast {
    /// Expected time in the queue, in seconds; infinite if no upstream takes requests.
    pub(crate) wait: f64,
    /// Typical latency of the upstream, in seconds.
    pub(crate) typical_latency_s: f64,
    /// Latency that few requests exceed, in seconds.
    pub(crate) tail: f64,
}

impl Group {
    /// Returns what a request would meet in the group or, for keyed services, at its upstream.
    pub(crate) fn forecast(
        &self,
        now: Instant,
        team: &ident::Team,
        class: Class,
        upstream: Option<usize>,
    ) -> Forecast {
        let (queue, free_slots, completions_per_s, typical_latency_s, tail) =
            if let Some(index) = upstream {
                let upstream = &self.upstreams[index];
                let mean = upstream.recent_latency.value_s();
                // Keyed upstreams differ, so the group's spread is scaled to the latency of this one.
                let spread = self.latency.p95_s() / self.latency.median_s();
                let typical_latency_s = mean.min(self.latency.median_s().max(mean * 0.5));
                (
                    &upstream.queue,
                    upstream.free_slots(),
                    upstream.completions_per_s(),
                    typical_latency_s,
                    typical_latency_s * spread,
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
        let wait = if queue.is_empty() && free_slots > 0 {
            0.0
        } else {
            self.wait(now, queue, team, class, completions_per_s)
        };
        Forecast {
            wait,
            typical_latency_s,
            tail,
        }
    }

    fn wait(
        &self,
        now: Instant,
        queue: &Queue,
        team: &ident::Team,
        class: Class,
        completions_per_s: f64,
    ) -> f64 {
        let ahead = f64::from(queue.ahead(team, class) + 1);
        let completions_per_s = match class {
            Class::Urgent => completions_per_s,
            Class::Ordinary => {
                // Urgent requests that arrive later overtake a waiting ordinary one.
                let urgent = match self.kind {
                    ServiceKind::Pool => self.urgent.value(now),
                    ServiceKind::Keyed => 0.0,
                };
                (completions_per_s - urgent).max(completions_per_s * ORDINARY_FLOOR)
            }
        };
        if completions_per_s > 0.0 {
            ahead / completions_per_s
        } else {
            f64::INFINITY
        }
    }

    /// Returns the free slots of the group and the requests per second that it completes when it is busy.
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

    /// Returns whether a request with this forecast can be answered in time.
    pub(crate) fn is_in_time(&self, now: Instant, deadline: Instant, forecast: Forecast) -> bool {
        let left = now.until(deadline).as_secs_f64();
        if forecast.wait <= 0.0 {
            forecast.typical_latency_s < left
        } else {
            forecast.wait * self.options.wait_safety_factor + forecast.tail < left
        }
    }

    /// Returns the time after which a refused caller may retry, spread so that callers don't return together.
    pub(crate) fn retry_after(&mut self, wait: f64) -> Duration {
        let longest = self.options.max_retry_after;
        let base = if wait.is_finite() {
            Duration::try_from_secs_f64(wait).unwrap_or(longest)
        } else {
            longest
        };
        base.clamp(LEAST_RETRY, longest)
            .mul_f64(self.rng.random_range(1.0..1.5))
    }

    /// Returns the load report that travels back to the entries with each answer.
    #[must_use]
    pub fn load(&self, now: Instant) -> Load {
        let mut load = Load {
            at: now,
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
        let waiting = |class| match self.kind {
            ServiceKind::Pool => self.queue.even_len_of(class),
            ServiceKind::Keyed => self
                .upstreams
                .iter()
                .map(|upstream| upstream.queue.len_of(class))
                .sum(),
        };
        load.urgent = waiting(Class::Urgent);
        load.ordinary = waiting(Class::Ordinary);
        if completions_per_s > 0.0 {
            load.service_time =
                Duration::try_from_secs_f64(f64::from(load.slots) / completions_per_s)
                    .unwrap_or(Duration::MAX);
        }
        load
    }
}
