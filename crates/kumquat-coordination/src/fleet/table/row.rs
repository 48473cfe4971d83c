//! The `row` module provides what a VM knows of one upstream: its registration, its measured latency and failure rate,
//! and the limits that apply to it at present.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{AttemptOutcome, UpstreamInstance, UpstreamLoad};
use crate::fleet::TokenBucket;
use crate::fleet::work::{Reservation, slot_wait_s};

/// Age at which an upstream's reported load is ignored; its figures change many times a second.
pub(super) const LOAD_TTL: Duration = Duration::from_millis(150);

/// Weight of a new latency in the short-term moving average.
const LATENCY_EWMA_WEIGHT: f64 = 0.2;

/// Half-life with which measured latency and failure rate decay towards their defaults.
///
/// An upstream that performed badly gets no requests that could show its recovery, so that only the decay makes it
/// eligible again.
const DECAY_HALF_LIFE_S: f64 = 2.0;

/// Weight of a new outcome in the moving average of the failure rate.
const FAILURE_EWMA_WEIGHT: f64 = 0.2;

/// Weight of the failure rate in the cost: at a rate of 1, the cost is multiplied by 1 plus this value.
const FAILURE_COST_WEIGHT: f64 = 6.0;

/// Weight of a new latency in the long-term moving average of an upstream's latency.
pub(super) const LATENCY_FACTOR_EWMA_WEIGHT: f64 = 0.02;

/// First period for which an unreachable upstream is ejected; each further one doubles it up to `MAX_EJECTION`,
/// until a response or a timeout resets it.
const MIN_EJECTION: Duration = Duration::from_millis(300);
const MAX_EJECTION: Duration = Duration::from_secs(2);

/// Consecutive malformed responses after which an upstream is ejected like one that is unreachable.
const MAX_MALFORMED: u32 = 3;

/// Requests that a VM may send at once to an upstream during its warm-up.
const WARMUP_BURST: f64 = 1.0;

/// Maximum number of VMs that send to the same upstream during its warm-up.
///
/// The token bucket of each VM starts with one token, so that more VMs would exceed the upstream's limit by their first
/// requests alone.
pub(super) const MAX_WARMUP_VMS: u32 = 9;

/// An upstream with the statistics of the requests that this VM has sent to it.
#[derive(Clone, Debug)]
pub(super) struct Row {
    pub(super) upstream: UpstreamInstance,
    // Short id of the incarnation; see `instance_id`.
    pub(super) id: u32,
    // Requests that this VM has in flight at the upstream.
    pub(super) own_in_flight: u32,
    // Work of those among them whose cost is known, in the order of their selection.
    pub(super) reservations: Vec<Reservation>,
    // Short-term moving average of the latency relative to the route's mean; 1.0 is the mean.
    pub(super) relative_latency: f64,
    pub(super) latency_updated: Instant,
    // Long-term mean of the latency relative to the route's mean, corrected by the service time factor that the
    // upstream reports, so that it excludes temporary slowness.
    pub(super) latency_factor: f64,
    pub(super) failure_rate: f64,
    pub(super) failure_rate_updated: Instant,
    // Load that the upstream last reported, with the time of receipt.
    pub(super) load: Option<(UpstreamLoad, Instant)>,
    // Number of consecutive malformed responses.
    pub(super) malformed: u32,
    pub(super) ejected_until: Instant,
    pub(super) next_ejection: Duration,
    // End of the back-off that the upstream has asked this VM for.
    pub(super) backoff_until: Instant,
    // Whether the upstream has announced its shutdown in a response, which can precede the registry's draining state.
    pub(super) is_drain_announced: bool,
    // When this VM or a peer last got a response from the upstream, and whether this VM has yet to report its own.
    pub(super) responded_at: Instant,
    pub(super) has_unreported_response: bool,
    pub(super) warmup_until: Instant,
    // Requests per second from all VMs together during the warm-up.
    warmup_rate_per_s: f64,
    pub(super) warmup_bucket: TokenBucket,
}

impl Row {
    pub(super) fn new(
        now: Instant,
        upstream: UpstreamInstance,
        id: u32,
        warmup_rate_per_s: f64,
        vms: u32,
    ) -> Self {
        Self {
            upstream,
            id,
            own_in_flight: 0,
            reservations: Vec::new(),
            relative_latency: 1.0,
            latency_updated: now,
            latency_factor: 1.0,
            failure_rate: 0.0,
            failure_rate_updated: now,
            load: None,
            malformed: 0,
            ejected_until: Instant::ORIGIN,
            next_ejection: MIN_EJECTION,
            backoff_until: Instant::ORIGIN,
            is_drain_announced: false,
            responded_at: Instant::ORIGIN,
            has_unreported_response: false,
            warmup_until: Instant::ORIGIN,
            warmup_rate_per_s,
            warmup_bucket: warmup_bucket(now, warmup_rate_per_s, vms),
        }
    }

    /// Sets the limit of the next warm-up, in requests per second from all VMs together.
    pub(super) fn set_warmup_rate(&mut self, now: Instant, rate_per_s: f64, vms: u32) {
        self.warmup_rate_per_s = rate_per_s;
        self.warmup_bucket = warmup_bucket(now, rate_per_s, vms);
    }

    /// Changes this VM's share of the warm-up limit to that of one of `vms` VMs.
    pub(super) fn share_warmup_rate(&mut self, now: Instant, vms: u32) {
        let share = warmup_share(self.warmup_rate_per_s, vms);
        self.warmup_bucket.set_limits(now, share, WARMUP_BURST);
    }

    pub(super) fn is_warming_up(&self, now: Instant) -> bool {
        now < self.warmup_until
    }

    /// Returns the expected response time relative to the route's mean, given the upstream's in-flight requests.
    pub(super) fn cost(&self, now: Instant, in_flight: u32) -> f64 {
        let slots = f64::from(self.upstream.slots.max(1));
        let queued = f64::from(
            in_flight
                .saturating_add(1)
                .saturating_sub(self.upstream.slots),
        );
        self.weighted_cost(now, f64::from(in_flight), queued / slots)
    }

    /// Returns the expected response time of a request relative to its work of `work_s`, given the remaining work of the
    /// requests in flight at the upstream, those in its queue last.
    pub(super) fn cost_by_work(&self, now: Instant, work_s: f64, remaining: &[f64]) -> f64 {
        // A request in another slot slows this one down only while both run.
        let concurrent: f64 = remaining.iter().map(|other| other.min(work_s)).sum();
        let wait_s = slot_wait_s(self.upstream.slots, remaining);
        self.weighted_cost(now, concurrent / work_s, wait_s / work_s)
    }

    /// Returns the expected response time relative to the usual service time, given the requests that run concurrently and
    /// the wait for a slot, relative to that time.
    fn weighted_cost(&self, now: Instant, concurrent: f64, relative_wait: f64) -> f64 {
        let slots = f64::from(self.upstream.slots.max(1));
        let service_time_factor = self.service_time_factor(now);
        let warmup_factor = if self.is_warming_up(now) { 2.0 } else { 1.0 };
        let latency = 1.0 + (self.relative_latency - 1.0) * decay(now, self.latency_updated);
        let failure_rate = self.failure_rate * decay(now, self.failure_rate_updated);
        // Requests in other slots slow down one in a free slot, as they share the upstream's machine.
        let contention = 1.0 + 0.1 * concurrent / slots;
        latency
            * service_time_factor
            * warmup_factor
            * contention
            * (1.0 + relative_wait)
            * (1.0 + FAILURE_COST_WEIGHT * failure_rate)
    }

    /// Returns the service time factor that the upstream reported last, or 1 if that is too long ago.
    pub(super) fn service_time_factor(&self, now: Instant) -> f64 {
        match self.load {
            Some((load, at)) if now.saturating_since(at) < LOAD_TTL => {
                load.service_time_factor.max(0.1)
            }
            _ => 1.0,
        }
    }

    pub(super) fn record_outcome(&mut self, now: Instant, outcome: AttemptOutcome) {
        let failed = match outcome {
            AttemptOutcome::Completed { .. } => 0.0,
            AttemptOutcome::Shed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::Failed { .. }
            | AttemptOutcome::MalformedResponse => 1.0,
            AttemptOutcome::CallerDisconnected => return,
        };
        if matches!(
            outcome,
            AttemptOutcome::Completed { .. } | AttemptOutcome::Shed
        ) {
            self.responded_at = now;
            self.has_unreported_response = true;
        }
        let failure_rate = self.failure_rate * decay(now, self.failure_rate_updated);
        self.failure_rate = failure_rate + FAILURE_EWMA_WEIGHT * (failed - failure_rate);
        self.failure_rate_updated = now;
        self.malformed = match outcome {
            AttemptOutcome::MalformedResponse => self.malformed + 1,
            _ => 0,
        };
        match outcome {
            AttemptOutcome::Completed { relative_latency }
            | AttemptOutcome::Failed {
                relative_latency: Some(relative_latency),
            } => {
                let latency =
                    1.0 + (self.relative_latency - 1.0) * decay(now, self.latency_updated);
                // A single response can be slow by queueing or noise, which must not exclude the upstream.
                let relative_latency = relative_latency.clamp(0.2, 8.0);
                self.relative_latency =
                    latency + LATENCY_EWMA_WEIGHT * (relative_latency - latency);
                self.latency_updated = now;
                self.next_ejection = MIN_EJECTION;
            }
            AttemptOutcome::Unreachable => self.eject(now),
            AttemptOutcome::MalformedResponse if self.malformed >= MAX_MALFORMED => self.eject(now),
            AttemptOutcome::Shed
            | AttemptOutcome::Failed {
                relative_latency: None,
            }
            | AttemptOutcome::MalformedResponse
            | AttemptOutcome::CallerDisconnected => {}
        }
    }

    fn eject(&mut self, now: Instant) {
        self.ejected_until = now + self.next_ejection;
        self.next_ejection = (self.next_ejection * 2).min(MAX_EJECTION);
    }
}

impl TokenBucket {
    /// Returns the seconds until a token is available, after refilling the bucket up to `now`.
    pub(super) fn wait_at(&mut self, now: Instant) -> f64 {
        self.refill(now);
        self.wait_s()
    }
}

/// Returns the remaining weight, from 1 down to 0, of a measurement taken at `since`.
fn decay(now: Instant, since: Instant) -> f64 {
    let age = now.saturating_since(since).as_secs_f64();
    (-(age / DECAY_HALF_LIFE_S) * std::f64::consts::LN_2).exp()
}

/// Returns a token bucket with this VM's share of the requests per second that an upstream takes during its warm-up.
fn warmup_bucket(now: Instant, rate_per_s: f64, vms: u32) -> TokenBucket {
    TokenBucket::new(now, warmup_share(rate_per_s, vms), WARMUP_BURST)
}

/// Returns the share of one of the VMs that may send to an upstream during its warm-up, in requests per second.
fn warmup_share(rate_per_s: f64, vms: u32) -> f64 {
    rate_per_s / f64::from(vms.clamp(1, MAX_WARMUP_VMS))
}

/// Returns the short id of an upstream's incarnation, which reports between VMs carry instead of its name.
pub(super) fn instance_id(name: &str, incarnation: u64) -> u32 {
    let text = format!("{name}/{incarnation}");
    let hash = kumquat_state::hash::key(text.as_bytes());
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
