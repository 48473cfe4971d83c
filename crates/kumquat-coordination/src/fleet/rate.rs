//! The `rate` module provides rate limits that hold over all VMs of a fleet together: those of teams and of upstreams.
//!
//! VMs report to each other how many requests each limit applied to and how many tokens they consumed. From that, each
//! VM keeps its copy of one token bucket that it shares with all peers that it hears, which are those with a recent
//! report. While the bucket has tokens, a VM takes from it without asking a peer, up to an allowance that it may consume
//! before its next report. Beyond the allowance, it admits the fraction of its requests that the rate covers. The equal
//! shares of VMs that it doesn't hear stay unused: a VM that hears no peer has exactly its equal share, which all others
//! leave to it. See `docs/platform.md`.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{TokenBucket, reports};

/// Time constants of the two moving averages of the demand; the higher average is used.
///
/// The short one reacts to a sudden rise, the long one spans the time in which other VMs are not heard.
const DEMAND_TIME_CONSTANTS_S: [f64; 2] = [0.2, 0.5];

/// Full report intervals without a report after which a peer is silent and its share is left unused.
///
/// It is short enough that one lost report suffices, because that may be the first of many. A VM's share is small and is
/// used again after its next report.
const SILENCE_TIMEOUT_INTERVALS: f64 = 1.5;

/// Fraction of a rate that the VMs use; the rest covers the time in which their copies of the bucket differ.
const USABLE_RATE_FRACTION: f64 = 0.96;

/// Fraction of a burst that the VMs use, for the same reason.
const USABLE_BURST_FRACTION: f64 = 0.9;

/// Fraction of the shared tokens that all VMs together may consume before they report again.
///
/// With three VMs or fewer, the fraction is 1 divided by their number, which is larger.
const UNREPORTED_TOKENS_FRACTION: f64 = 0.3;

/// Tokens of a limit that must be consumed since the last report before an admission makes the next one due early.
const EARLY_REPORT_MIN_TOKENS: f64 = 3.0;

/// Initial sampling credit: half a request, because a VM's first request is as likely to exceed the rate as not.
const INITIAL_SAMPLING_CREDIT: f64 = 0.5;

/// Largest expected number of other requests until a report reaches the peers at which a token of a low rate is used
/// without sampling.
const MAX_CONCURRENT_REQUESTS: f64 = 1.0;

/// Largest number of tokens per full report interval of a rate whose single requests are admitted and reported early.
const MAX_LOW_RATE_TOKENS: f64 = 3.0;

/// Time added to the observation time of a new demand estimate, so that a first request doesn't look like a surge.
const ASSUMED_OBSERVATION_S: f64 = 0.1;

/// Debt of the bucket at which sampling admits nothing from the rate, as the time in which the rate repays it.
const MAX_DEBT_S: f64 = 0.5;

/// Time after its last report at which a peer's counts are dropped.
///
/// A restarted process reports under a new incarnation number, so its old entry would never be used again.
const PEER_EXPIRY: Duration = Duration::from_secs(10);

/// Interval at which this VM checks which peers it hears and sets the limits of the shared buckets accordingly.
const LIMITS_UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a request is within a rate limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateDecision {
    /// The request may be sent; a token was consumed for it unless there is no limit.
    Allowed,
    /// The request exceeds the rate and must be refused.
    Exhausted {
        /// Seconds until this VM's copy of the bucket has a token, 0 if it has one now.
        wait_s: f64,
    },
}

/// Counts of one VM for one limit, as peers report them to each other.
///
/// The totals are since the VM's process started or the limit was added, and wrap around. The recent counts are those
/// since the report before last, for a receiver that has no earlier totals to subtract.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateUsage {
    /// Identifies the limit, as in [`RateLimiter::set_limits`].
    pub limit_id: u32,
    /// Requests that asked for a token, both admitted and refused.
    pub requested: u32,
    /// Tokens consumed by admitted requests and by retries, minus refunds.
    pub consumed: u32,
    /// Part of `requested` since the report before last.
    pub recent_requested: u32,
    /// Part of `consumed` since the report before last; wraps below zero if refunds prevail.
    pub recent_consumed: u32,
}

/// Wrapping totals, or the difference of two of them.
#[derive(Clone, Copy, Debug, Default)]
struct UsageCounts {
    requested: u32,
    consumed: u32,
}

impl UsageCounts {
    fn since(self, before: Self) -> Self {
        Self {
            requested: self.requested.wrapping_sub(before.requested),
            consumed: self.consumed.wrapping_sub(before.consumed),
        }
    }

    /// Returns the consumed tokens; refunds can make the number negative.
    fn net_consumed(self) -> f64 {
        f64::from(i32::from_ne_bytes(self.consumed.to_ne_bytes()))
    }
}

#[derive(Clone, Debug)]
struct SharedLimit {
    id: u32,
    /// Requests per second over all VMs.
    rate: f64,
    /// Requests over all VMs.
    burst: f64,
    /// Moving averages of the requests per second at this VM and the peers that it hears, by time constant.
    demand_averages: [f64; 2],
    demand_updated_at: Instant,
    /// Start of the demand averages.
    observed_since: Instant,
    /// This VM's copy of the bucket that it shares with the peers that it hears.
    bucket: TokenBucket,
    /// Tokens that this VM and the peers that it hears consumed, decaying with the silence timeout as time constant.
    recent_consumption: f64,
    consumption_decayed_at: Instant,
    /// Fraction of a request that sampling carries over to the next one.
    sampling_credit: f64,
    /// This VM's counts now, at the last report and at the one before.
    own_counts: [UsageCounts; 3],
    /// Last reported counts of the peers, sorted by incarnation number.
    peer_counts: Vec<(u64, UsageCounts)>,
}

/// Limits request rates at one VM, which shares them with the other VMs.
///
/// Requests to which no limit applies are allowed.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    /// Sorted by id.
    limits: Vec<SharedLimit>,
    vm_count: usize,
    /// Peers with the time of their last report, sorted by incarnation number.
    last_reports: Vec<(u64, Instant)>,
    limits_updated_at: Instant,
    /// Fraction of the VMs that was heard at the last update of the limits.
    heard_fraction: f64,
    is_early_report_due: bool,
    /// Seed of the initial sampling credits of a limiter for low rates.
    low_rate_seed: Option<u64>,
}

impl RateLimiter {
    /// Creates a limiter for rates that are low compared to the number of VMs, so that a VM may admit less than one
    /// request per report.
    ///
    /// It admits single requests without sampling as long as concurrent ones at other VMs are unlikely, and reports each
    /// of them early. `seed` has to differ between VMs.
    #[must_use]
    pub fn for_low_rates(seed: u64) -> Self {
        Self {
            low_rate_seed: Some(seed),
            ..Self::default()
        }
    }

    /// Sets the limits as id, requests per second and burst, both over all VMs; a rate of zero means no limit.
    ///
    /// Limits that were set before keep their counts and tokens.
    pub fn set_limits(&mut self, now: Instant, limits: &[(u32, f64, f64)]) {
        let mut limits: Vec<SharedLimit> = limits
            .iter()
            .filter(|(_, rate, _)| *rate > 0.0)
            .map(|&(id, rate, burst)| match self.limit_index(id) {
                Some(index) => SharedLimit {
                    rate,
                    burst,
                    ..self.limits[index].clone()
                },
                None => SharedLimit {
                    sampling_credit: self.initial_credit(id),
                    ..SharedLimit::new(now, id, rate, burst)
                },
            })
            .collect();
        limits.sort_by_key(|limit| limit.id);
        limits.dedup_by_key(|limit| limit.id);
        self.limits = limits;
        self.update_limits(now);
    }

    /// Sets the number of VMs that share the rates, this one included.
    pub fn set_vm_count(&mut self, now: Instant, vm_count: usize) {
        if self.vm_count != vm_count {
            self.vm_count = vm_count;
            self.update_limits(now);
        }
    }

    /// Applies a report from the peer with the incarnation number `peer`.
    ///
    /// A report without usages still counts as hearing the peer.
    pub fn apply_report(&mut self, now: Instant, peer: u64, usages: &[RateUsage]) {
        let was_silent = match self
            .last_reports
            .binary_search_by_key(&peer, |entry| entry.0)
        {
            Ok(index) => {
                let last = std::mem::replace(&mut self.last_reports[index].1, now);
                now.saturating_since(last) >= self.silence_timeout()
            }
            Err(index) => {
                self.last_reports.insert(index, (peer, now));
                true
            }
        };
        if was_silent {
            // While silent, the peer consumed its own share, which was left to it, so the old totals don't apply.
            for limit in &mut self.limits {
                limit.remove_peer(peer);
            }
            self.update_limits(now);
        }
        for usage in usages {
            if let Some(index) = self.limit_index(usage.limit_id) {
                self.limits[index].apply_usage(now, peer, usage);
            }
        }
    }

    /// Returns this VM's counts for the next report to its peers, and starts the counts for the report after it.
    ///
    /// Limits without changes since the report before last are left out.
    pub fn next_report(&mut self) -> Vec<RateUsage> {
        self.is_early_report_due = false;
        let usages = self.limits.iter_mut().filter_map(SharedLimit::next_usage);
        usages.collect()
    }

    /// Returns whether a report should be sent before the regular one.
    ///
    /// That is so when this VM has consumed its allowance of a limit's tokens or a token of a low rate, or has refused a
    /// request although the bucket has tokens left.
    #[must_use]
    pub const fn is_early_report_due(&self) -> bool {
        self.is_early_report_due
    }

    /// Takes a token for a request to which the limit `id` applies, if its rate allows the request.
    ///
    /// Without such a limit the request is allowed.
    pub fn try_acquire(&mut self, now: Instant, id: u32) -> RateDecision {
        if now.saturating_since(self.limits_updated_at) >= LIMITS_UPDATE_INTERVAL {
            self.update_limits(now);
        }
        let heard_fraction = self.heard_fraction(now);
        let Some(index) = self.limit_index(id) else {
            return RateDecision::Allowed;
        };
        let limit = &mut self.limits[index];
        limit.record_request(now);
        let tokens = limit.bucket.tokens(now);
        let fleet_allowance = tokens * UNREPORTED_TOKENS_FRACTION.max(1.0 / as_f64(self.vm_count));
        let vm_allowance = fleet_allowance / as_f64(self.vm_count);
        let interval_s = reports::max_full_report_interval(self.vm_count).as_secs_f64();
        let extra_rate = fleet_allowance.max(0.0) / interval_s;
        let is_low_rate =
            self.low_rate_seed.is_some() && limit.rate * interval_s <= MAX_LOW_RATE_TOKENS;
        if limit.sample(tokens, heard_fraction, extra_rate)
            || limit.unreported() + 1.0 <= vm_allowance
            || (is_low_rate && tokens >= 1.0 && limit.is_uncontended(self.vm_count))
        {
            limit.consume(now);
            self.is_early_report_due |= is_low_rate
                || (tokens >= 1.0
                    && limit.unreported() >= vm_allowance.max(EARLY_REPORT_MIN_TOKENS));
            return RateDecision::Allowed;
        }
        self.is_early_report_due |= tokens >= 1.0;
        RateDecision::Exhausted {
            wait_s: limit.bucket.wait_s(),
        }
    }

    /// Returns the seconds until the bucket of the limit `id` has a token at this VM; zero if there is no such limit.
    #[must_use]
    pub fn wait_s(&self, id: u32) -> f64 {
        self.limit_index(id)
            .map_or(0.0, |index| self.limits[index].bucket.wait_s())
    }

    /// Consumes a token for a retry, which upstreams see as one more request; it may leave the bucket in debt.
    pub fn record_retry(&mut self, now: Instant, id: u32) {
        if let Some(index) = self.limit_index(id) {
            self.limits[index].consume(now);
        }
    }

    /// Returns the token of an admitted request that was never sent.
    pub fn refund(&mut self, id: u32) {
        if let Some(index) = self.limit_index(id) {
            let limit = &mut self.limits[index];
            limit.bucket.refund();
            limit.own_counts[0].consumed = limit.own_counts[0].consumed.wrapping_sub(1);
        }
    }

    fn limit_index(&self, id: u32) -> Option<usize> {
        self.limits.binary_search_by_key(&id, |limit| limit.id).ok()
    }

    /// Returns the sampling credit of a new limit: a random one for low rates, so that VMs don't admit requests in step.
    fn initial_credit(&self, id: u32) -> f64 {
        self.low_rate_seed.map_or(INITIAL_SAMPLING_CREDIT, |seed| {
            let mut bytes = seed.to_be_bytes().to_vec();
            bytes.extend_from_slice(&id.to_be_bytes());
            let random = u32::try_from(kumquat_state::hash::key(&bytes) >> 32);
            f64::from(random.unwrap_or(u32::MAX)) / f64::from(u32::MAX)
        })
    }

    /// Returns the time without a report after which a peer's share is left unused.
    fn silence_timeout(&self) -> Duration {
        reports::max_full_report_interval(self.vm_count).mul_f64(SILENCE_TIMEOUT_INTERVALS)
    }

    /// Returns the fraction of the VMs that this one hears, itself included.
    fn heard_fraction(&self, now: Instant) -> f64 {
        let timeout = self.silence_timeout();
        let heard = self.last_reports.iter();
        let heard = heard.filter(|(_, at)| now.saturating_since(*at) < timeout);
        (as_f64(heard.count() + 1) / as_f64(self.vm_count)).min(1.0)
    }

    /// Drops expired peers and sets the limits of the shared buckets to the shares of the VMs that are heard.
    fn update_limits(&mut self, now: Instant) {
        self.limits_updated_at = now;
        let is_kept = |at: Instant| now.saturating_since(at) < PEER_EXPIRY;
        for (peer, _) in self.last_reports.iter().filter(|(_, at)| !is_kept(*at)) {
            for limit in &mut self.limits {
                limit.remove_peer(*peer);
            }
        }
        self.last_reports.retain(|(_, at)| is_kept(*at));
        let heard_fraction = self.heard_fraction(now);
        let lost_fraction = (self.heard_fraction - heard_fraction).max(0.0);
        self.heard_fraction = heard_fraction;
        let timeout = self.silence_timeout();
        for limit in &mut self.limits {
            let rate = limit.rate * heard_fraction * USABLE_RATE_FRACTION;
            limit.bucket.set_limits(
                now,
                rate,
                limit.burst * heard_fraction * USABLE_BURST_FRACTION,
            );
            // Until the timeout, the silent VMs consumed tokens of the shared bucket that this VM did not see.
            let unseen = lost_fraction * limit.decay_consumption(now, timeout);
            limit.bucket.debit(now, unseen);
        }
    }
}

impl SharedLimit {
    fn new(now: Instant, id: u32, rate: f64, burst: f64) -> Self {
        Self {
            id,
            rate,
            burst,
            demand_averages: [0.0; 2],
            demand_updated_at: now,
            observed_since: now,
            // Starts empty, because the previous incarnation of this VM may have used up the burst.
            bucket: TokenBucket::new(now, 0.0, 0.0),
            recent_consumption: 0.0,
            consumption_decayed_at: now,
            sampling_credit: INITIAL_SAMPLING_CREDIT,
            own_counts: [UsageCounts::default(); 3],
            peer_counts: Vec::new(),
        }
    }

    fn decay_demand(&mut self, now: Instant) {
        let elapsed_s = now.saturating_since(self.demand_updated_at).as_secs_f64();
        if elapsed_s > 0.0 {
            for (average, time_constant) in
                self.demand_averages.iter_mut().zip(DEMAND_TIME_CONSTANTS_S)
            {
                *average *= (-elapsed_s / time_constant).exp();
            }
            self.demand_updated_at = now;
        }
    }

    fn add_demand(&mut self, now: Instant, requests: u32) {
        self.decay_demand(now);
        for (average, time_constant) in self.demand_averages.iter_mut().zip(DEMAND_TIME_CONSTANTS_S)
        {
            *average += f64::from(requests) / time_constant;
        }
    }

    fn record_request(&mut self, now: Instant) {
        self.add_demand(now, 1);
        self.own_counts[0].requested = self.own_counts[0].requested.wrapping_add(1);
    }

    /// Decays the recently consumed tokens up to `now` and returns them.
    fn decay_consumption(&mut self, now: Instant, time_constant: Duration) -> f64 {
        let elapsed_s = now
            .saturating_since(self.consumption_decayed_at)
            .as_secs_f64();
        self.recent_consumption *= (-elapsed_s / time_constant.as_secs_f64()).exp();
        self.consumption_decayed_at = now;
        self.recent_consumption
    }

    fn consume(&mut self, now: Instant) {
        self.bucket.force_acquire(now);
        self.recent_consumption += 1.0;
        self.own_counts[0].consumed = self.own_counts[0].consumed.wrapping_add(1);
    }

    /// Returns the tokens consumed since the last report.
    fn unreported(&self) -> f64 {
        let [current, reported, _] = self.own_counts;
        current.since(reported).net_consumed()
    }

    fn apply_usage(&mut self, now: Instant, peer: u64, usage: &RateUsage) {
        let counts = UsageCounts {
            requested: usage.requested,
            consumed: usage.consumed,
        };
        let recent = UsageCounts {
            requested: usage.recent_requested,
            consumed: usage.recent_consumed,
        };
        let added = match self
            .peer_counts
            .binary_search_by_key(&peer, |entry| entry.0)
        {
            Ok(index) => {
                let before = std::mem::replace(&mut self.peer_counts[index].1, counts);
                let added = counts.since(before);
                // A peer's counts restart at zero when its limit is dropped and added again.
                if added.requested > u32::MAX / 2 {
                    recent
                } else {
                    added
                }
            }
            Err(index) => {
                self.peer_counts.insert(index, (peer, counts));
                recent
            }
        };
        self.add_demand(now, added.requested);
        self.bucket.debit(now, added.net_consumed());
        self.recent_consumption += added.net_consumed().max(0.0);
    }

    fn remove_peer(&mut self, peer: u64) {
        if let Ok(index) = self
            .peer_counts
            .binary_search_by_key(&peer, |entry| entry.0)
        {
            self.peer_counts.remove(index);
        }
    }

    /// Returns the counts for the next report and shifts them by one report.
    fn next_usage(&mut self) -> Option<RateUsage> {
        let [current, _, before_last] = self.own_counts;
        let recent = current.since(before_last);
        self.own_counts = [current, current, self.own_counts[1]];
        (recent.requested > 0 || recent.consumed > 0).then_some(RateUsage {
            limit_id: self.id,
            requested: current.requested,
            consumed: current.consumed,
            recent_requested: recent.requested,
            recent_consumed: recent.consumed,
        })
    }

    /// Returns the demand in requests per second, corrected for the short observation time of a new estimate.
    fn demand(&self) -> f64 {
        let observed_s = self
            .demand_updated_at
            .saturating_since(self.observed_since)
            .as_secs_f64();
        let estimates = self.demand_averages.iter().zip(DEMAND_TIME_CONSTANTS_S);
        let estimates = estimates.map(|(average, time_constant)| {
            average / -(-(observed_s + ASSUMED_OBSERVATION_S) / time_constant).exp_m1()
        });
        estimates.fold(0.0, f64::max)
    }

    /// Returns whether few other requests are expected before an early report of this one reaches the peers.
    fn is_uncontended(&self, vm_count: usize) -> bool {
        let demand = self.demand_averages[DEMAND_TIME_CONSTANTS_S.len() - 1];
        demand * reports::min_report_interval(vm_count).as_secs_f64() <= MAX_CONCURRENT_REQUESTS
    }

    /// Admits requests in the proportion of the rate, plus `extra_rate` per second, to the demand.
    ///
    /// A debt of the bucket lowers the rate until it is repaid.
    fn sample(&mut self, tokens: f64, heard_fraction: f64, extra_rate: f64) -> bool {
        let rate = self.rate * heard_fraction * USABLE_RATE_FRACTION;
        let debt = (-tokens).max(0.0) / (rate * MAX_DEBT_S).max(1.0);
        let rate = rate * (1.0 - debt).max(0.0) + extra_rate;
        self.sampling_credit += (rate / self.demand()).min(1.0);
        let is_admitted = self.sampling_credit >= 1.0;
        if is_admitted {
            self.sampling_credit -= 1.0;
        }
        is_admitted
    }
}

/// Converts a number of VMs, which is at least one.
#[expect(
    clippy::cast_precision_loss,
    reason = "a fleet has far fewer than 2^52 VMs"
)]
fn as_f64(count: usize) -> f64 {
    count.max(1) as f64
}
