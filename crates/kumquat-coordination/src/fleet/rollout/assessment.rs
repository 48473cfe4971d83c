//! The `assessment` module provides the comparison of a new version's responses with those of the old versions.

use super::{Counts, RouteCounts};

/// Failures or slow responses from which a version can be called faulty.
///
/// A crash of one upstream, which is no fault of the version, takes the few requests in flight there with it.
const MIN_FAULTS: u32 = 6;

/// Failures or slow responses from which a version is in doubt, so that its share does not rise.
const MIN_DOUBTS: u32 = 3;

/// Standard deviations by which a faulty version exceeds the tolerated rate, and one in doubt.
const FAULT_DEVIATIONS: f64 = 3.0;
const DOUBT_DEVIATIONS: f64 = 1.5;

/// Factor between the old versions' rate and the rate that is tolerated.
const RATE_FACTOR: f64 = 2.0;

/// Tolerated rate of failures beyond that.
const FAILURE_TOLERANCE: f64 = 0.01;

/// Tolerated rate of slow responses beyond that; a slow upstream is often slow for a time only.
const SLOW_TOLERANCE: f64 = 0.05;

/// Factor between the mean latencies of the new and the old versions from which the new one is too slow.
const MEAN_FACTOR: f64 = 2.2;

/// Measured latencies from which the means are compared, and from which they raise doubt.
const MIN_TIMED: u32 = 30;
const MIN_TIMED_DOUBTS: u32 = 6;

/// Requests to the old versions without a single response of the new one from which it counts as unanswered.
///
/// With fewer, the limited share may not have come to one request.
const MIN_OLD_REQUESTS: u32 = 200;

/// What is wrong with a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Too many failures on all routes together.
    Failures,
    /// Too many failures on the route with this short id.
    RouteFailures(u32),
    /// Responses that take several times as long, on all routes together.
    Slow,
    /// Responses that take several times as long on the route with this short id.
    RouteSlow(u32),
}

/// What the responses say of a new version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Assessment {
    /// Nothing speaks against it.
    Sound,
    /// It has not answered although there were many requests.
    Unanswered,
    /// There are more faults than usual, but too few for certainty.
    Doubtful(Fault),
    /// It is certainly worse.
    Faulty(Fault),
}

/// Assesses the new version by counts, overall and by route.
///
/// The old versions' rates are the higher ones of these counts and of `usual`, which may reach back further.
#[must_use]
pub fn assess(counts: &[RouteCounts], usual: &[RouteCounts]) -> Assessment {
    let sum = |routes: &[RouteCounts]| {
        let mut sum = RouteCounts::default();
        for route in routes {
            sum.old.add(&route.old);
            sum.new.add(&route.new);
        }
        sum
    };
    let whole = sum(counts);
    let whole_usual = sum(usual);
    if whole_usual.new.requests == 0 {
        return if whole_usual.old.requests >= MIN_OLD_REQUESTS {
            Assessment::Unanswered
        } else {
            Assessment::Sound
        };
    }
    let mut doubt = None;
    let routes = counts.iter().map(|counts| {
        let found = usual.binary_search_by_key(&counts.route, |other| other.route);
        let usual = found.map_or(counts, |at| &usual[at]);
        let (failures, slow) = (
            Fault::RouteFailures(counts.route),
            Fault::RouteSlow(counts.route),
        );
        (*counts, *usual, failures, slow)
    });
    let all = std::iter::once((whole, whole_usual, Fault::Failures, Fault::Slow));
    for (counts, usual, failures, slow) in all.chain(routes) {
        for (level, fault) in [
            (failure_level(&counts, &usual), failures),
            (slow_level(&counts, &usual), slow),
        ] {
            match level {
                Level::Certain => return Assessment::Faulty(fault),
                Level::Doubt => doubt = doubt.or(Some(fault)),
                Level::None => {}
            }
        }
    }
    doubt.map_or(Assessment::Sound, Assessment::Doubtful)
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    None,
    Doubt,
    Certain,
}

fn failure_level(counts: &RouteCounts, usual: &RouteCounts) -> Level {
    let rate = |counts: &Counts| rate(counts.failures, counts.requests);
    let tolerated = RATE_FACTOR * rate(&counts.old).max(rate(&usual.old)) + FAILURE_TOLERANCE;
    excess_level(counts.new.failures, counts.new.requests, tolerated)
}

fn slow_level(counts: &RouteCounts, usual: &RouteCounts) -> Level {
    let rate = |counts: &Counts| rate(counts.slow, counts.timed);
    let tolerated = RATE_FACTOR * rate(&counts.old).max(rate(&usual.old)) + SLOW_TOLERANCE;
    let by_rate = excess_level(counts.new.slow, counts.new.timed, tolerated);
    let old_mean = mean(&counts.old).max(mean(&usual.old));
    let is_slower = old_mean > 0.0 && mean(&counts.new) > MEAN_FACTOR * old_mean;
    let by_mean = match counts.new.timed {
        MIN_TIMED.. if is_slower => Level::Certain,
        MIN_TIMED_DOUBTS.. if is_slower => Level::Doubt,
        _ => Level::None,
    };
    by_rate.max(by_mean)
}

/// Returns whether a count exceeds what a tolerated rate leads one to expect.
fn excess_level(count: u32, of: u32, tolerated: f64) -> Level {
    let expected = f64::from(of) * tolerated;
    let exceeds = |deviations: f64| f64::from(count) > expected + deviations * expected.sqrt();
    match count {
        MIN_FAULTS.. if exceeds(FAULT_DEVIATIONS) => Level::Certain,
        MIN_DOUBTS.. if exceeds(DOUBT_DEVIATIONS) => Level::Doubt,
        _ => Level::None,
    }
}

/// Returns a rate, which is zero without requests.
fn rate(count: u32, of: u32) -> f64 {
    f64::from(count) / f64::from(of.max(1))
}

/// Returns the mean latency relative to the route's mean, or zero if none was measured.
fn mean(counts: &Counts) -> f64 {
    rate(counts.latency_percent, counts.timed) / 100.0
}
