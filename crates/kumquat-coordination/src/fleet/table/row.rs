//! The `row` module provides what a VM knows of one upstream.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{AttemptOutcome, UpstreamInstance, UpstreamLoad};
use crate::fleet::TokenBucket;

/// Age at which an upstream's own figures no longer count; they change many times a second.
pub(super) const LOAD_LIFE: Duration = Duration::from_millis(150);

/// Weight of a new latency in the mean.
const LATENCY_WEIGHT: f64 = 0.2;

/// Half-life of what is known of an upstream that gets no requests, after which it is tried again.
const MEMORY_S: f64 = 2.0;

/// Weight of a new result in the rate of failures.
const FAILURE_WEIGHT: f64 = 0.2;

/// How many times as slow an upstream counts that fails all its requests.
const FAILURE_COST: f64 = 6.0;

/// Weight of a new latency in the lasting speed of an upstream.
pub(super) const SPEED_WEIGHT: f64 = 0.02;

/// First time for which an upstream that takes no connections is avoided; it doubles up to the last.
const AVOID_FIRST: Duration = Duration::from_millis(300);
const AVOID_LAST: Duration = Duration::from_secs(2);

/// Answers in a row that were no answers after which an upstream is avoided like one that can't be reached.
const GARBLED_LIMIT: u32 = 3;

/// VMs that may send to the same cold upstream.
///
/// Each may send one request at once, so that more VMs would exceed the limit by their number alone.
pub(super) const COLD_VMS: u32 = 9;

/// An upstream with what its answers and failures have shown.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) server: UpstreamInstance,
    pub(super) id: u32,
    pub(super) own: u32,
    pub(super) latency: f64,
    pub(super) latency_at: Instant,
    // Mean latency relative to others without the passing slowness that the upstream reports.
    pub(super) slowness: f64,
    pub(super) failures: f64,
    pub(super) failures_at: Instant,
    pub(super) load: Option<(UpstreamLoad, Instant)>,
    // Answers in a row that were no answers.
    pub(super) garbled: u32,
    pub(super) avoided_until: Instant,
    pub(super) avoid_next: Duration,
    // Until when the upstream wants nothing from this VM.
    pub(super) held_off_until: Instant,
    // Whether the upstream has said that it is about to stop.
    pub(super) is_leaving: bool,
    pub(super) cold_until: Instant,
    pub(super) cold: TokenBucket,
}

impl Row {
    pub(super) fn new(
        now: Instant,
        server: UpstreamInstance,
        id: u32,
        cold_rate: f64,
        vms: u32,
    ) -> Self {
        Self {
            server,
            id,
            own: 0,
            latency: 1.0,
            latency_at: now,
            slowness: 1.0,
            failures: 0.0,
            failures_at: now,
            load: None,
            garbled: 0,
            avoided_until: Instant::ORIGIN,
            avoid_next: AVOID_FIRST,
            held_off_until: Instant::ORIGIN,
            is_leaving: false,
            cold_until: Instant::ORIGIN,
            cold: cold_bucket(now, cold_rate, vms),
        }
    }

    pub(super) fn is_cold(&self, now: Instant) -> bool {
        now < self.cold_until
    }

    /// Returns the expected time to an answer, relative to the route's mean.
    pub(super) fn cost(&self, now: Instant, busy: u32) -> f64 {
        let slots = f64::from(self.server.slots.max(1));
        let queued = f64::from((busy + 1).saturating_sub(self.server.slots));
        let service_time_factor = match self.load {
            Some((load, at)) if now.saturating_since(at) < LOAD_LIFE => {
                load.service_time_factor.max(0.1)
            }
            _ => 1.0,
        };
        let cold = if self.is_cold(now) { 2.0 } else { 1.0 };
        let latency = 1.0 + (self.latency - 1.0) * fading(now, self.latency_at);
        let failures = self.failures * fading(now, self.failures_at);
        // A free slot beside a busy one still shares the machine.
        let crowding = 1.0 + 0.1 * f64::from(busy) / slots;
        latency
            * service_time_factor
            * cold
            * crowding
            * (1.0 + queued / slots)
            * (1.0 + FAILURE_COST * failures)
    }

    pub(super) fn note(&mut self, now: Instant, ended: AttemptOutcome) {
        let failed = match ended {
            AttemptOutcome::Completed { .. } => 0.0,
            AttemptOutcome::Shed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Failed { .. }
            | AttemptOutcome::MalformedResponse => 1.0,
            AttemptOutcome::CallerDisconnected => return,
        };
        let failures = self.failures * fading(now, self.failures_at);
        self.failures = failures + FAILURE_WEIGHT * (failed - failures);
        self.failures_at = now;
        self.garbled = match ended {
            AttemptOutcome::MalformedResponse => self.garbled + 1,
            _ => 0,
        };
        match ended {
            AttemptOutcome::Completed { relative_latency }
            | AttemptOutcome::Failed {
                relative_latency: Some(relative_latency),
            } => {
                let latency = 1.0 + (self.latency - 1.0) * fading(now, self.latency_at);
                // Queueing and noise are no property of the upstream, so that one long answer must not rule it out.
                let relative_latency = relative_latency.clamp(0.2, 8.0);
                self.latency = latency + LATENCY_WEIGHT * (relative_latency - latency);
                self.latency_at = now;
                self.avoid_next = AVOID_FIRST;
            }
            AttemptOutcome::Unreachable => self.avoid(now),
            AttemptOutcome::MalformedResponse if self.garbled >= GARBLED_LIMIT => self.avoid(now),
            AttemptOutcome::Shed
            | AttemptOutcome::Failed {
                relative_latency: None,
            }
            | AttemptOutcome::MalformedResponse
            | AttemptOutcome::CallerDisconnected => {}
        }
    }

    fn avoid(&mut self, now: Instant) {
        self.avoided_until = now + self.avoid_next;
        self.avoid_next = (self.avoid_next * 2).min(AVOID_LAST);
    }
}

impl TokenBucket {
    pub(super) fn wait_at(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.wait_s()
    }
}

fn fading(now: Instant, since: Instant) -> f64 {
    let age = now.saturating_since(since).as_secs_f64();
    (-(age / MEMORY_S) * std::f64::consts::LN_2).exp()
}

pub(super) fn cold_bucket(now: Instant, rate: f64, vms: u32) -> TokenBucket {
    let vms = f64::from(vms.clamp(1, COLD_VMS));
    TokenBucket::new(now, rate / vms, 1.0)
}

/// Returns the short id of an upstream's life that reports carry.
pub(super) fn row_id(server: &UpstreamInstance) -> u32 {
    let text = format!("{}/{}", server.name, server.incarnation);
    let hash = kumquat_state::hash::key(text.as_bytes());
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
