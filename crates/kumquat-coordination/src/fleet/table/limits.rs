//! The `limits` module provides the request limits of upstreams, which hold over the requests of all VMs together.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{UpstreamInstance, UpstreamTable};
use crate::fleet::{Announcement, LimitChange, RateDecision, RateUsage, ReportedLimit};

/// Lowest rate at which requests are sent to a limited upstream; its responses show when the limit has ended.
const MIN_REQUESTS_PER_S: f64 = 0.2;

/// Requests that may be sent at once after a pause, in addition to those of [`BURST_TIME_S`].
const BURST_REQUESTS: f64 = 2.0;

/// Time for which requests that were not sent may be sent later at once.
const BURST_TIME_S: f64 = 0.5;

/// Time for which a limit has to be in force before keys are moved because of it.
const MIN_PLACEMENT_DURATION: Duration = Duration::from_secs(1);

impl UpstreamTable {
    /// Sets the seed of the random choices by which the VMs divide the limits; it has to differ between VMs.
    pub fn set_limit_seed(&mut self, seed: u64) {
        self.request_limiter = crate::fleet::RateLimiter::for_low_rates(seed);
    }

    /// Records what a response of an upstream to a request says about its limit; returns what changed, if anything.
    ///
    /// Responses of earlier incarnations are ignored.
    pub fn record_announcement(
        &mut self,
        now: Instant,
        upstream: &UpstreamInstance,
        announcement: Announcement,
    ) -> Option<LimitChange> {
        let id = self.incarnation_id(upstream)?;
        let change = self.announced_limits.record(now, id, announcement);
        self.update_request_limits(now);
        change
    }

    /// Applies a peer's observations of limits and its use of them; returns what changed, by the upstreams' short ids.
    ///
    /// The limits apply to upstreams that are not yet registered too.
    pub fn apply_limit_report(
        &mut self,
        now: Instant,
        peer: u64,
        limits: &[ReportedLimit],
        usages: &[RateUsage],
    ) -> Vec<(u32, LimitChange)> {
        let changes = limits.iter().filter_map(|limit| {
            let change = self.announced_limits.apply_report(now, limit)?;
            Some((limit.id, change))
        });
        let changes = changes.collect();
        self.update_request_limits(now);
        self.request_limiter.apply_report(now, peer, usages);
        changes
    }

    /// Returns this VM's observations of limits for the report to the peers.
    #[must_use]
    pub fn limit_report(&self, now: Instant) -> Vec<ReportedLimit> {
        self.announced_limits.report(now)
    }

    /// Returns this VM's use of the limits for the next full report, and starts a new reporting interval.
    #[must_use]
    pub fn next_limit_usages(&mut self) -> Vec<RateUsage> {
        self.request_limiter.next_report()
    }

    /// Returns whether this VM's use of the limits must reach the peers before the next full report is due.
    #[must_use]
    pub const fn is_early_report_due(&self) -> bool {
        self.request_limiter.is_early_report_due()
    }

    /// Counts a request or order that is sent to an upstream; returns whether a limit is in force there.
    pub fn record_limited_send(&mut self, upstream: &UpstreamInstance) -> bool {
        let id = self.incarnation_id(upstream);
        id.is_some_and(|id| self.announced_limits.record_send(id))
    }

    /// Returns an upstream's limit in requests per second from all VMs together, if one is in force.
    #[must_use]
    pub fn request_limit(&self, upstream: &UpstreamInstance) -> Option<f64> {
        self.announced_limits
            .rate_per_s(self.incarnation_id(upstream)?)
    }

    /// Returns an upstream's limit if it has been in force for long enough that moving keys is worth it.
    #[must_use]
    pub fn placement_limit(&self, now: Instant, upstream: &UpstreamInstance) -> Option<f64> {
        let id = self.incarnation_id(upstream)?;
        let limit = self
            .announced_limits
            .sustained_rate_per_s(now, id, MIN_PLACEMENT_DURATION)?;
        Some(limit.max(MIN_REQUESTS_PER_S))
    }

    /// Returns the expected wait until an upstream's limit allows a request behind `ahead` others of this VM.
    #[must_use]
    pub fn limit_wait(&self, upstream: &UpstreamInstance, ahead: u32) -> Duration {
        let Some(id) = self.incarnation_id(upstream) else {
            return Duration::ZERO;
        };
        let Some(limit) = self.announced_limits.rate_per_s(id) else {
            return Duration::ZERO;
        };
        let wait_s = self.request_limiter.wait_s(id) + f64::from(ahead) / rate(limit);
        Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX)
    }

    /// Returns the number of requests that an upstream can process at once, given its limit and its mean latency.
    pub(super) fn usable_slots(&self, id: u32, slots: u32, mean_latency: Duration) -> f64 {
        let slots = f64::from(slots);
        let limit = self.announced_limits.rate_per_s(id);
        limit.map_or(slots, |limit| {
            slots.min(rate(limit) * mean_latency.as_secs_f64())
        })
    }

    /// Takes a request from the limit of the upstream at `index`, if it has one.
    ///
    /// # Errors
    ///
    /// Returns the time until the limit allows another request if it allows none now.
    pub(super) fn try_acquire_request(
        &mut self,
        now: Instant,
        index: usize,
    ) -> Result<(), Duration> {
        let id = self.rows[index].id;
        let Some(limit) = self.announced_limits.rate_per_s(id) else {
            return Ok(());
        };
        match self.request_limiter.try_acquire(now, id) {
            RateDecision::Allowed => Ok(()),
            RateDecision::Exhausted { wait_s } => {
                // With tokens left, the request was refused in favour of those of other VMs.
                let wait_s = wait_s.max(1.0 / rate(limit));
                Err(Duration::try_from_secs_f64(wait_s).unwrap_or(Duration::MAX))
            }
        }
    }

    /// Applies the announced limits to the requests of this VM if any has changed.
    fn update_request_limits(&mut self, now: Instant) {
        let Some(limits) = self.announced_limits.take_changed() else {
            return;
        };
        let limits: Vec<(u32, f64, f64)> = limits
            .into_iter()
            .map(|(id, limit)| (id, rate(limit), rate(limit) * BURST_TIME_S + BURST_REQUESTS))
            .collect();
        self.request_limiter.set_limits(now, &limits);
    }
}

/// Returns the rate at which requests are sent to an upstream with this limit.
fn rate(limit_per_s: f64) -> f64 {
    limit_per_s.max(MIN_REQUESTS_PER_S)
}
