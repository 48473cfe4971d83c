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
    pub(crate) typical: f64,
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
        server: Option<usize>,
    ) -> Forecast {
        let (queue, free, rate, typical, tail) = if let Some(index) = server {
            let server = &self.servers[index];
            let mean = server.recent.value();
            // Keyed upstreams differ, so the group's spread is scaled to the latency of this one.
            let spread = self.latency.p95() / self.latency.median();
            let typical = mean.min(self.latency.median().max(mean * 0.5));
            (
                &server.queue,
                server.free(),
                server.rate(),
                typical,
                typical * spread,
            )
        } else {
            let (free, rate) = self.capacity();
            (
                &self.queue,
                free,
                rate,
                self.latency.median(),
                self.latency.p95(),
            )
        };
        let wait = if queue.is_empty() && free > 0 {
            0.0
        } else {
            self.wait(now, queue, team, class, rate)
        };
        Forecast {
            wait,
            typical,
            tail,
        }
    }

    fn wait(
        &self,
        now: Instant,
        queue: &Queue,
        team: &ident::Team,
        class: Class,
        rate: f64,
    ) -> f64 {
        let ahead = f64::from(queue.ahead(team, class) + 1);
        let rate = match class {
            Class::Urgent => rate,
            Class::Ordinary => {
                // Urgent requests that arrive later overtake a waiting ordinary one.
                let urgent = match self.kind {
                    ServiceKind::Pool => self.urgent.value(now),
                    ServiceKind::Keyed => 0.0,
                };
                (rate - urgent).max(rate * ORDINARY_FLOOR)
            }
        };
        if rate > 0.0 {
            ahead / rate
        } else {
            f64::INFINITY
        }
    }

    /// Returns the free slots of the group and the requests per second that it completes when it is busy.
    pub(crate) fn capacity(&self) -> (u32, f64) {
        let mut free = 0;
        let mut rate = 0.0;
        for server in &self.servers {
            if server.is_usable() {
                free += server.free();
                rate += server.rate();
            }
        }
        (free, rate)
    }

    /// Returns whether a request with this forecast can be answered in time.
    pub(crate) fn is_in_time(&self, now: Instant, deadline: Instant, forecast: Forecast) -> bool {
        let left = now.until(deadline).as_secs_f64();
        if forecast.wait <= 0.0 {
            forecast.typical < left
        } else {
            forecast.wait * self.options.wait_margin + forecast.tail < left
        }
    }

    /// Returns the time after which a refused caller may retry, spread so that callers don't return together.
    pub(crate) fn retry_after(&mut self, wait: f64) -> Duration {
        let longest = self.options.longest_retry_after;
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
        let mut rate = 0.0;
        for server in &self.servers {
            load.running += server.running;
            if server.is_usable() {
                load.slots += server.limit();
                rate += server.rate();
            }
        }
        let waiting = |class| match self.kind {
            ServiceKind::Pool => self.queue.capped_len_of(class),
            ServiceKind::Keyed => self
                .servers
                .iter()
                .map(|server| server.queue.len_of(class))
                .sum(),
        };
        load.urgent = waiting(Class::Urgent);
        load.ordinary = waiting(Class::Ordinary);
        if rate > 0.0 {
            load.service_time =
                Duration::try_from_secs_f64(f64::from(load.slots) / rate).unwrap_or(Duration::MAX);
        }
        load
    }
}
