//! The `latency` module provides what a VM knows of the latencies of routes and upstreams.

use std::time::Duration;

use kumquat_coordination::fleet::{UpstreamInstance, UpstreamLoad};
use kumquat_state::clock::{self, Instant};

use super::Vm;
use crate::sorted;

/// Weight of a new sample in the moving average of a route's latency.
const LATENCY_EWMA_WEIGHT: f64 = 0.05;

/// Factor by which each sample lets the longest recent latency of a route decay, so that it reflects some 40 samples.
const PEAK_DECAY: f64 = 0.95;

/// Assumed mean latency of a route without samples, as a fraction of its latency target.
const INITIAL_MEAN_FRACTION: f64 = 0.35;

impl Vm {
    /// Returns the moving average of a route's latency at upstreams; before the first sample, a fraction of its target.
    #[must_use]
    pub fn mean_latency(&self, route: &crate::config::Route) -> Duration {
        let state = self.state.borrow();
        sorted::get(&state.mean_latencies_s, &route.name).map_or_else(
            || route.latency_target.mul_f64(INITIAL_MEAN_FRACTION),
            |mean| Duration::from_secs_f64(*mean),
        )
    }

    /// Adds a sample to the moving average of a route's latency.
    pub fn record_latency(&self, route: &crate::config::Route, took: Duration) {
        let initial = route.latency_target.as_secs_f64() * INITIAL_MEAN_FRACTION;
        let mut state = self.state.borrow_mut();
        let mean = sorted::get_or_insert_with(&mut state.mean_latencies_s, &route.name, || {
            (route.name.clone(), initial)
        });
        *mean += LATENCY_EWMA_WEIGHT * (took.as_secs_f64() - *mean);
        let peak = sorted::get_or_insert_with(&mut state.peak_latencies_s, &route.name, || {
            (route.name.clone(), 0.0)
        });
        *peak = took.as_secs_f64().max(*peak * PEAK_DECAY);
    }

    /// Returns the longest recent latency of a route at upstreams, or `None` before the first sample.
    #[must_use]
    pub fn peak_latency(&self, route: &crate::config::Route) -> Option<Duration> {
        let state = self.state.borrow();
        let peak = sorted::get(&state.peak_latencies_s, &route.name)?;
        Some(Duration::from_secs_f64(*peak))
    }

    /// Records a response's latency relative to its route's mean, divided by the service-time factor that the upstream
    /// reports, so that a temporary slowdown is not counted against it.
    ///
    /// Responses without a reported load, or from an upstream with all slots in use, are ignored.
    pub fn record_relative_latency(
        &self,
        upstream: &UpstreamInstance,
        relative_latency: f64,
        load: Option<UpstreamLoad>,
    ) {
        // The latency of a response that may have queued at the upstream measures its load rather than its speed.
        let Some(load) = load.filter(|load| load.waiting == 0 && load.running < load.slots) else {
            return;
        };
        let service_time_factor = load.service_time_factor.max(0.1);
        let mut state = self.state.borrow_mut();
        if let Some(id) = state.table.upstream_id(&upstream.name) {
            state
                .relative_latencies
                .push((id, relative_latency / service_time_factor));
        }
    }

    /// Returns and clears the relative latencies recorded since the last call, by the short id of the upstream.
    #[must_use]
    pub fn take_relative_latencies(&self) -> Vec<(u32, f64)> {
        std::mem::take(&mut self.state.borrow_mut().relative_latencies)
    }

    /// Applies relative latencies that this VM or a peer has recorded to the upstream table.
    pub fn apply_relative_latencies(&self, latencies: &[(u32, f64)]) {
        let mut state = self.state.borrow_mut();
        for (id, relative_latency) in latencies {
            state.table.record_latency(*id, *relative_latency);
        }
    }

    /// Returns the short ids of the upstreams from which this VM got a response since the last call.
    #[must_use]
    pub fn take_responded(&self) -> Vec<u32> {
        self.state.borrow_mut().table.take_responded()
    }

    /// Records that a peer has reported responses from the upstreams with these short ids.
    pub fn record_responses(&self, ids: &[u32]) {
        let now = clock::now();
        self.state.borrow_mut().table.record_responses(now, ids);
    }

    /// Returns when this VM or a peer last got a response from an upstream, or [`Instant::ORIGIN`] if none did.
    #[must_use]
    pub fn responded_at(&self, name: &str) -> Instant {
        self.state.borrow().table.responded_at(name)
    }

    /// Returns whether an upstream has a free slot by the reports, not counting one request of this VM.
    #[must_use]
    pub fn has_free_slot(&self, upstream: &UpstreamInstance) -> bool {
        let state = self.state.borrow();
        state.table.in_flight_at(clock::now(), &upstream.name) <= upstream.slots
    }

    /// Returns the long-term latency of an upstream relative to the others.
    #[must_use]
    pub fn latency_factor(&self, name: &str) -> f64 {
        self.state.borrow().table.latency_factor(name)
    }
}
