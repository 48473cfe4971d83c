//! The `rate` module provides the teams' rates, which hold over all VMs together.
//!
//! VMs report to each other how much of each rate was asked for and used, so that each one keeps the level of one token
//! bucket for all those that it hears. While the level is high, a VM takes from it without asking anyone, up to a part
//! that it may use before its next report. Beyond that, it admits the part of its requests for which the rate suffices.
//! The equal parts of VMs that it doesn't hear stay unused: a VM that hears nobody has exactly its equal part, which
//! everyone else leaves to it. See `docs/platform.md`.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{TokenBucket, reports};

/// Time constants of the two estimates of what is asked for; the higher one counts.
///
/// The short one notices a flood, the long one bridges the time in which other VMs are not heard.
const DEMAND_WINDOWS_S: [f64; 2] = [0.2, 0.5];

/// Intervals of full reports after which the part of a VM that was not heard is left to it.
///
/// A single lost report counts, as it may be the first one of many; its part is small and comes back with the next.
const SILENT_INTERVALS: f64 = 1.5;

/// Part of a team's rate that the VMs use; the rest covers the time in which their views differ.
const RATE_USED: f64 = 0.96;

/// Part of a team's burst that the VMs use, for the same reason.
const BURST_USED: f64 = 0.9;

/// Part of the common level that all of many VMs together may use before they report again.
const LEVEL_USED: f64 = 0.3;

/// Requests of a team since the last report below which no report is sent early.
const LEAST_NEWS: f64 = 3.0;

/// First state of the thinning: half a request, because a VM's first request is as likely to be one too many as not.
const FIRST_CARRY: f64 = 0.5;

/// Time that a new estimate counts as observed before it began, so that a first request doesn't look like a flood.
const OBSERVED_BEFORE_S: f64 = 0.1;

/// Debt in seconds of the rate at which nothing more is admitted.
const DEBT_LIMIT_S: f64 = 0.5;

/// Time after which a VM that was not heard is forgotten; a process that restarts reports under a new number.
const MEMORY: Duration = Duration::from_secs(10);

/// Interval at which the parts of the VMs are looked at anew.
const DIVIDE_INTERVAL: Duration = Duration::from_millis(100);

/// Whether a request may use its team's rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateDecision {
    /// It may.
    Allowed,
    /// The team's rate is used up for this many seconds.
    Exhausted {
        /// Seconds until the team has a token again.
        wait_s: f64,
    },
}

/// What one VM has asked for and used of a team's rate since it started.
///
/// Counts wrap around. The increments are those since the report before last, for a receiver that has not heard the
/// counts before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TeamUsage {
    /// Short id of the team.
    pub team_id: u32,
    /// Requests that asked.
    pub requested: u32,
    /// Requests that were admitted.
    pub consumed: u32,
    /// Recent part of `asked`.
    pub recent_requested: u32,
    /// Recent part of `used`.
    pub recent_consumed: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Count {
    asked: u32,
    used: u32,
}

impl Count {
    fn since(self, before: Self) -> Self {
        Self {
            asked: self.asked.wrapping_sub(before.asked),
            used: self.used.wrapping_sub(before.used),
        }
    }

    /// Returns the used requests; requests that were put back can make it negative.
    fn used(self) -> f64 {
        f64::from(i32::from_ne_bytes(self.used.to_ne_bytes()))
    }
}

#[derive(Clone, Debug)]
struct Team {
    id: u32,
    rate: f64,
    burst: f64,
    /// Requests a second asked for at all VMs that are heard, by time constant.
    demands: [f64; 2],
    counted: Instant,
    /// Since when demand is observed.
    observed: Instant,
    /// Level common to the VMs that are heard.
    level: TokenBucket,
    /// Requests that the VMs that are heard have used lately, fading over the time in which silence is noticed.
    lately: f64,
    faded: Instant,
    /// Part of a request that thinning has carried over.
    carry: f64,
    /// Own counts now, at the last report and at the one before.
    counts: [Count; 3],
    /// Counts of the other VMs, sorted by VM.
    peers: Vec<(u64, Count)>,
}

/// The teams with a rate.
#[derive(Clone, Debug, Default)]
pub struct TeamRateLimiter {
    teams: Vec<Team>,
    vms: usize,
    /// VMs with the time of their last report, sorted by VM.
    heard: Vec<(u64, Instant)>,
    divided: Instant,
    /// Part of the VMs that was heard when the parts were last looked at.
    part: f64,
    is_early_report_due: bool,
}

impl TeamRateLimiter {
    /// Sets the teams as id, rate and burst; a rate of zero means no limit.
    pub fn set_teams(&mut self, now: Instant, limits: &[(u32, f64, f64)]) {
        let mut teams: Vec<Team> = limits
            .iter()
            .filter(|(_, rate, _)| *rate > 0.0)
            .map(|&(id, rate, burst)| match self.position(id) {
                Some(position) => Team {
                    rate,
                    burst,
                    ..self.teams[position].clone()
                },
                None => Team::new(now, id, rate, burst),
            })
            .collect();
        teams.sort_by_key(|team| team.id);
        teams.dedup_by_key(|team| team.id);
        self.teams = teams;
        self.divide(now);
    }

    /// Sets the number of VMs that use the rates, this one included.
    pub fn set_vm_count(&mut self, now: Instant, vms: usize) {
        if self.vms != vms {
            self.vms = vms;
            self.divide(now);
        }
    }

    /// Takes a peer's report of what it has used.
    pub fn apply_report(&mut self, now: Instant, peer: u64, usages: &[TeamUsage]) {
        let is_silent = match self.heard.binary_search_by_key(&peer, |heard| heard.0) {
            Ok(position) => {
                let last = std::mem::replace(&mut self.heard[position].1, now);
                now.saturating_since(last) >= self.silence()
            }
            Err(position) => {
                self.heard.insert(position, (peer, now));
                true
            }
        };
        if is_silent {
            // What it used meanwhile came from its own part, which was left to it.
            for team in &mut self.teams {
                team.forget(peer);
            }
            self.divide(now);
        }
        for usage in usages {
            if let Some(position) = self.position(usage.team_id) {
                self.teams[position].report(now, peer, usage);
            }
        }
    }

    /// Returns what this VM has used, for the report to its peers.
    ///
    /// Teams without requests since the report before last are left out.
    pub fn next_report(&mut self) -> Vec<TeamUsage> {
        self.is_early_report_due = false;
        let usages = self.teams.iter_mut().filter_map(Team::usage);
        usages.collect()
    }

    /// Returns whether the peers should know before the next report is due: this VM has used much of a team's level, or
    /// has refused a request although some is left.
    #[must_use]
    pub const fn is_early_report_due(&self) -> bool {
        self.is_early_report_due
    }

    /// Takes a request of a team from its rate.
    pub fn try_acquire(&mut self, now: Instant, id: u32) -> RateDecision {
        if now.saturating_since(self.divided) >= DIVIDE_INTERVAL {
            self.divide(now);
        }
        let part = self.part(now);
        let Some(position) = self.position(id) else {
            return RateDecision::Allowed;
        };
        let team = &mut self.teams[position];
        team.ask(now);
        let level = team.level.tokens(now);
        let usable = level * LEVEL_USED.max(1.0 / as_f64(self.vms));
        let fair = usable / as_f64(self.vms);
        let interval = reports::max_full_interval(self.vms).as_secs_f64();
        let more = usable.max(0.0) / interval;
        if team.thin(level, part, more) || team.unreported() + 1.0 <= fair {
            team.use_one(now);
            self.is_early_report_due |= level >= 1.0 && team.unreported() >= fair.max(LEAST_NEWS);
            return RateDecision::Allowed;
        }
        self.is_early_report_due |= level >= 1.0;
        RateDecision::Exhausted {
            wait_s: team.level.wait_s(),
        }
    }

    /// Counts a repeated send of a request, which the upstreams see as one more.
    pub fn record_retry(&mut self, now: Instant, id: u32) {
        if let Some(position) = self.position(id) {
            self.teams[position].use_one(now);
        }
    }

    /// Returns what a request took that was never sent.
    pub fn refund(&mut self, id: u32) {
        if let Some(position) = self.position(id) {
            let team = &mut self.teams[position];
            team.level.refund();
            team.counts[0].used = team.counts[0].used.wrapping_sub(1);
        }
    }

    fn position(&self, id: u32) -> Option<usize> {
        self.teams.binary_search_by_key(&id, |team| team.id).ok()
    }

    /// Returns the time without a report after which a VM's part is left to it.
    fn silence(&self) -> Duration {
        reports::max_full_interval(self.vms).mul_f64(SILENT_INTERVALS)
    }

    /// Returns the part of the VMs that this one hears, itself included.
    fn part(&self, now: Instant) -> f64 {
        let silence = self.silence();
        let heard = self.heard.iter();
        let heard = heard.filter(|(_, at)| now.saturating_since(*at) < silence);
        (as_f64(heard.count() + 1) / as_f64(self.vms)).min(1.0)
    }

    fn divide(&mut self, now: Instant) {
        self.divided = now;
        let is_kept = |at: Instant| now.saturating_since(at) < MEMORY;
        for (peer, _) in self.heard.iter().filter(|(_, at)| !is_kept(*at)) {
            for team in &mut self.teams {
                team.forget(*peer);
            }
        }
        self.heard.retain(|(_, at)| is_kept(*at));
        let part = self.part(now);
        let lost = (self.part - part).max(0.0);
        self.part = part;
        let silence = self.silence();
        for team in &mut self.teams {
            let rate = team.rate * part * RATE_USED;
            team.level
                .set_limits(now, rate, team.burst * part * BURST_USED);
            // Until the silence was noticed, the others used the same level without being seen.
            let unseen = lost * team.lately(now, silence);
            team.level.debit(now, unseen);
        }
    }
}

impl Team {
    fn new(now: Instant, id: u32, rate: f64, burst: f64) -> Self {
        Self {
            id,
            rate,
            burst,
            demands: [0.0; 2],
            counted: now,
            observed: now,
            // Empty at the start: the burst may have been used up by the VM that ran here before.
            level: TokenBucket::new(now, 0.0, 0.0),
            lately: 0.0,
            faded: now,
            carry: FIRST_CARRY,
            counts: [Count::default(); 3],
            peers: Vec::new(),
        }
    }

    fn decay(&mut self, now: Instant) {
        let passed = now.saturating_since(self.counted).as_secs_f64();
        if passed > 0.0 {
            for (demand, window) in self.demands.iter_mut().zip(DEMAND_WINDOWS_S) {
                *demand *= (-passed / window).exp();
            }
            self.counted = now;
        }
    }

    fn add_demand(&mut self, now: Instant, asked: u32) {
        self.decay(now);
        for (demand, window) in self.demands.iter_mut().zip(DEMAND_WINDOWS_S) {
            *demand += f64::from(asked) / window;
        }
    }

    fn ask(&mut self, now: Instant) {
        self.add_demand(now, 1);
        self.counts[0].asked = self.counts[0].asked.wrapping_add(1);
    }

    /// Returns the requests that were used lately.
    fn lately(&mut self, now: Instant, silence: Duration) -> f64 {
        let passed = now.saturating_since(self.faded).as_secs_f64();
        self.lately *= (-passed / silence.as_secs_f64()).exp();
        self.faded = now;
        self.lately
    }

    fn use_one(&mut self, now: Instant) {
        self.level.force_acquire(now);
        self.lately += 1.0;
        self.counts[0].used = self.counts[0].used.wrapping_add(1);
    }

    /// Returns the requests admitted since the last report.
    fn unreported(&self) -> f64 {
        let [now, reported, _] = self.counts;
        now.since(reported).used()
    }

    fn report(&mut self, now: Instant, peer: u64, usage: &TeamUsage) {
        let count = Count {
            asked: usage.requested,
            used: usage.consumed,
        };
        let recent = Count {
            asked: usage.recent_requested,
            used: usage.recent_consumed,
        };
        let more = match self.peers.binary_search_by_key(&peer, |entry| entry.0) {
            Ok(position) => {
                let before = std::mem::replace(&mut self.peers[position].1, count);
                let more = count.since(before);
                // Counts start anew when a desired state drops a team and a later one has it again.
                if more.asked > u32::MAX / 2 {
                    recent
                } else {
                    more
                }
            }
            Err(position) => {
                self.peers.insert(position, (peer, count));
                recent
            }
        };
        self.add_demand(now, more.asked);
        self.level.debit(now, more.used());
        self.lately += more.used().max(0.0);
    }

    fn forget(&mut self, peer: u64) {
        if let Ok(position) = self.peers.binary_search_by_key(&peer, |entry| entry.0) {
            self.peers.remove(position);
        }
    }

    fn usage(&mut self) -> Option<TeamUsage> {
        let [now, _, before_last] = self.counts;
        let recent = now.since(before_last);
        self.counts = [now, now, self.counts[1]];
        (recent.asked > 0 || recent.used > 0).then_some(TeamUsage {
            team_id: self.id,
            requested: now.asked,
            consumed: now.used,
            recent_requested: recent.asked,
            recent_consumed: recent.used,
        })
    }

    /// Returns the requests a second that are asked for, corrected for the time in which nothing was observed.
    fn demand(&self) -> f64 {
        let observed = self.counted.saturating_since(self.observed).as_secs_f64();
        let estimates = self.demands.iter().zip(DEMAND_WINDOWS_S);
        let estimates = estimates
            .map(|(demand, window)| demand / -(-(observed + OBSERVED_BEFORE_S) / window).exp_m1());
        estimates.fold(0.0, f64::max)
    }

    /// Returns whether a request is among the part of all requests for which the rate suffices, and `more` a second.
    ///
    /// The part shrinks while more was used than the rate allows, until that is made up for.
    fn thin(&mut self, level: f64, part: f64, more: f64) -> bool {
        let rate = self.rate * part * RATE_USED;
        let debt = (-level).max(0.0) / (rate * DEBT_LIMIT_S).max(1.0);
        let rate = rate * (1.0 - debt).max(0.0) + more;
        self.carry += (rate / self.demand()).min(1.0);
        let is_allowed = self.carry >= 1.0;
        if is_allowed {
            self.carry -= 1.0;
        }
        is_allowed
    }
}

#[expect(
    clippy::cast_precision_loss,
    reason = "a fleet has far fewer than 2^52 VMs"
)]
fn as_f64(vms: usize) -> f64 {
    vms.max(1) as f64
}
