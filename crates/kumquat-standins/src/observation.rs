//! The `observation` module provides the ledger in which all upstreams of a deployment record what they saw, and from
//! which violations of the invariants in `docs/design.md`, section 1.2, are counted.
//!
//! All methods that depend on time take it as an argument. The upstreams pass [`clock::now`].

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kumquat_state::clock;

use crate::net::lock;

mod load;
mod ownership;

pub use ownership::{Area, Hold};

/// Most violations that are kept in words; the counters go on.
const DETAIL_LIMIT: usize = 32;

/// Rate and burst of one team, as the test expects them to be enforced.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rate {
    /// Name of the team.
    pub team: String,
    /// Requests per second over all VMs.
    pub rate: u32,
    /// Requests that may come at once over all VMs.
    pub burst: u32,
}

/// One attempt of a request that an upstream starts to run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Service of the upstream.
    pub service: String,
    /// Name of the upstream.
    pub upstream: String,
    /// Id of the request.
    pub request: u128,
    /// Team for which it runs.
    pub team: String,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Hash and slot of the routing key, for keyed services.
    pub key: Option<(u64, u32)>,
    /// Area and epoch of the grant under which it runs, if the upstream checks grants.
    pub grant: Option<(Area, u64)>,
}

/// Counted violations, with the figures that they relate to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Attempts that ran.
    pub runs: u64,
    /// Distinct requests that ran.
    pub requests: u64,
    /// Attempts of a non-idempotent request after its first.
    pub ran_twice: u64,
    /// Runs for a key of which another upstream was an owner at that time or at a later epoch.
    pub wrong_owner: u64,
    /// Requests that ran although the caller was told that they did not.
    pub false_not_run: u64,
    /// Requests above `burst + rate * time` of their team.
    pub over_rate: u64,
    /// Texts in which a caller key was seen.
    pub key_leaks: u64,
    /// Requests above what an upstream could bear during its cold start.
    pub cold_overload: u64,
    /// The part of `cold_overload` that arrived before the cold upstream had answered anything, so that no caller
    /// could have known of the cold start from its answers.
    pub cold_overload_unshown: u64,
    /// The first violations in words.
    pub details: Vec<String>,
}

impl Report {
    /// Returns whether no violation was counted.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        self.ran_twice == 0
            && self.wrong_owner == 0
            && self.false_not_run == 0
            && self.over_rate == 0
            && self.key_leaks == 0
            && self.cold_overload == 0
    }
}

/// The shared ledger of observations; clones refer to the same one.
#[derive(Clone, Debug)]
pub struct Ledger(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    start: clock::Instant,
    report: Report,
    /// Attempts by request id.
    ran: HashMap<u128, u64>,
    refused: HashSet<u128>,
    teams: HashMap<String, Allowance>,
    secrets: Vec<Vec<u8>>,
    ownership: ownership::Owners,
    load: load::Loads,
}

#[derive(Debug)]
struct Allowance {
    rate: u32,
    /// What the team was allowed until `since`, including the burst.
    allowed: f64,
    since: clock::Instant,
    requests: u64,
}

impl Default for Ledger {
    fn default() -> Self {
        Self::new(clock::now())
    }
}

impl Ledger {
    /// Creates an empty ledger; rates count from `start`.
    #[must_use]
    pub fn new(start: clock::Instant) -> Self {
        Self(Arc::new(Mutex::new(State {
            start,
            report: Report::default(),
            ran: HashMap::new(),
            refused: HashSet::new(),
            teams: HashMap::new(),
            secrets: Vec::new(),
            ownership: ownership::Owners::default(),
            load: load::Loads::default(),
        })))
    }

    /// Sets the rates that the teams' requests are held against from `now` on.
    ///
    /// A team without a rate is not checked. Changing a rate keeps what the team was allowed before.
    pub fn set_rates(&self, rates: &[Rate], now: clock::Instant) {
        let mut state = lock(&self.0);
        let start = state.start;
        for rate in rates {
            let allowance = state
                .teams
                .entry(rate.team.clone())
                .or_insert_with(|| Allowance {
                    rate: rate.rate,
                    allowed: f64::from(rate.burst),
                    since: start,
                    requests: 0,
                });
            allowance.allowed = allowance.at(now);
            allowance.since = now;
            allowance.rate = rate.rate;
        }
    }

    /// Registers the text of a caller key, which no upstream may ever see.
    pub fn register_secret(&self, text: &str) {
        if !text.is_empty() {
            lock(&self.0).secrets.push(text.as_bytes().to_vec());
        }
    }

    /// Reports that a caller was told that the request did not run.
    pub fn report_refusal(&self, request: u128) {
        let mut state = lock(&self.0);
        if state.refused.insert(request) && state.ran.contains_key(&request) {
            state.report.false_not_run += 1;
            state.note(|| format!("request {request:032x} ran and was then refused as not run"));
        }
    }

    /// Returns the counts so far.
    #[must_use]
    pub fn report(&self) -> Report {
        let state = lock(&self.0);
        let mut report = state.report.clone();
        report.requests = u64::try_from(state.ran.len()).unwrap_or(u64::MAX);
        let pending = state.load.pending();
        report.cold_overload += pending.all;
        report.cold_overload_unshown += pending.unshown;
        report
    }

    /// Returns how many attempts of a request ran.
    #[must_use]
    pub fn attempts(&self, request: u128) -> u64 {
        lock(&self.0).ran.get(&request).copied().unwrap_or(0)
    }

    /// Returns the length of the longest registered caller key.
    pub(crate) fn longest_secret(&self) -> usize {
        let state = lock(&self.0);
        state.secrets.iter().map(Vec::len).max().unwrap_or(0)
    }

    /// Searches a text that an upstream received for registered caller keys.
    pub fn inspect(&self, place: &str, text: &[u8]) {
        let mut state = lock(&self.0);
        let leaks = state
            .secrets
            .iter()
            .filter(|secret| {
                text.windows(secret.len())
                    .any(|window| window == secret.as_slice())
            })
            .count();
        if leaks > 0 {
            state.report.key_leaks += u64::try_from(leaks).unwrap_or(u64::MAX);
            state.note(|| format!("caller key seen in {place}"));
        }
    }

    /// Records the start of a run.
    pub fn started(&self, run: &Run, now: clock::Instant) {
        let mut state = lock(&self.0);
        state.report.runs += 1;
        let attempts = state.ran.entry(run.request).or_default();
        *attempts += 1;
        let first = *attempts == 1;

        if !first && !run.idempotent {
            state.report.ran_twice += 1;
            state.note(|| format!("request {:032x} ran again", run.request));
        }
        if first && state.refused.contains(&run.request) {
            state.report.false_not_run += 1;
            state.note(|| format!("request {:032x} ran after its refusal", run.request));
        }
        if first
            && let Some(team) = state.teams.get_mut(&run.team)
            && team.count(now)
        {
            state.report.over_rate += 1;
            state.note(|| format!("team {} is above its rate", run.team));
        }
        if let Some(other) = state.ownership.start(run, now) {
            state.report.wrong_owner += 1;
            state.note(|| format!("{}: {other}", run.upstream));
        }
    }

    /// Records the end of a run that [`Ledger::started`] recorded.
    pub fn ended(&self, run: &Run) {
        lock(&self.0).ownership.end(run);
    }

    /// Records what an upstream holds after a grant; expiry is in the time of `now`.
    pub fn granted(&self, service: &str, upstream: &str, holds: &[Hold]) {
        lock(&self.0).ownership.grant(service, upstream, holds);
    }

    /// Records that an upstream has released an area and finished its runs.
    pub fn released(&self, service: &str, upstream: &str, area: Area) {
        lock(&self.0).ownership.release(service, upstream, area);
    }

    /// Records the keys in granted slots that an upstream leaves to other upstreams.
    pub fn excluded(&self, service: &str, upstream: &str, keys: &[u64]) {
        lock(&self.0).ownership.exclude(service, upstream, keys);
    }

    /// Records that an upstream has lost its state and thereby all that it held.
    pub fn reset(&self, service: &str, upstream: &str) {
        lock(&self.0).ownership.reset(service, upstream);
    }

    /// Records the arrival of a request at an upstream that is cold and bears `limit` requests at once.
    pub(crate) fn cold_arrival(&self, arrival: &load::Arrival<'_>, now: clock::Instant) {
        let mut state = lock(&self.0);
        if let Some(text) = state.load.arrive(arrival, now) {
            state.note(|| text);
        }
    }

    /// Records that a request has ended at its upstream.
    pub(crate) fn cold_end(&self, serial: u64, end: load::End, now: clock::Instant) {
        let mut state = lock(&self.0);
        let decided = state.load.end(serial, end, now);
        state.report.cold_overload += decided.all;
        state.report.cold_overload_unshown += decided.unshown;
    }
}

pub(crate) use load::{Arrival, End};

impl State {
    fn note(&mut self, text: impl FnOnce() -> String) {
        if self.report.details.len() < DETAIL_LIMIT {
            self.report.details.push(text());
        }
    }
}

impl Allowance {
    fn at(&self, now: clock::Instant) -> f64 {
        self.allowed + f64::from(self.rate) * seconds(now.saturating_since(self.since))
    }

    /// Counts a request and returns whether it is above the allowance.
    #[expect(
        clippy::cast_precision_loss,
        reason = "request counts stay far below 2^52"
    )]
    fn count(&mut self, now: clock::Instant) -> bool {
        let allowed = self.at(now);
        let above = (self.requests + 1) as f64 > allowed;
        // A request above the rate is counted once; it does not use up the allowance of later ones.
        if !above {
            self.requests += 1;
        }
        above
    }
}

fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}
