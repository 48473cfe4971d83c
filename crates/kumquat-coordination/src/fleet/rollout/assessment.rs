//! The `assessment` module provides the comparison of a new version's responses with those of the old versions.

use super::{Counts, RouteCounts};

/// Failures or slow responses from which a version can be called faulty.
///
/// A crash of one upstream, which is no fault of the version, takes the few requests in flight there with it.
const MIN_FAULTS: u32 = 6;

/// How far a count has to exceed the tolerated rate.
#[derive(Clone, Copy, Debug)]
struct Limits {
    /// Standard deviations from which a version is faulty.
    fault_deviations: f64,
    /// Failures or slow responses from which a version is in doubt, so that its share does not rise.
    min_doubts: u32,
    /// Standard deviations from which it is in doubt.
    doubt_deviations: f64,
    /// Measured latencies from which a higher mean is a fault.
    min_timed: u32,
    /// Measured latencies from which it is a doubt.
    min_timed_doubts: u32,
}

/// Limits for the responses on all routes together.
const LIMITS: Limits = Limits {
    fault_deviations: 3.0,
    min_doubts: 3,
    doubt_deviations: 1.5,
    min_timed: 30,
    min_timed_doubts: 20,
};

/// Limits for the responses on one route; with many routes, one of them exceeds lower limits by chance.
///
/// With means of 15 latencies, 4 of 40 rollouts of a sound version with 40 routes and uneven requests were rolled back.
const ROUTE_LIMITS: Limits = Limits {
    fault_deviations: 4.0,
    min_doubts: 4,
    doubt_deviations: 2.5,
    min_timed: 60,
    min_timed_doubts: 30,
};

/// Factor between the old versions' rate and the rate that is tolerated.
const RATE_FACTOR: f64 = 2.0;

/// Tolerated rate of failures beyond that.
const FAILURE_TOLERANCE: f64 = 0.01;

/// Tolerated rate of slow responses beyond that; a slow upstream is often slow for a time only.
const SLOW_TOLERANCE: f64 = 0.05;

/// Factor between the mean latencies of the new and the old versions from which the new one is too slow.
const MEAN_FACTOR: f64 = 2.2;

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
        (*counts, *usual, failures, slow, ROUTE_LIMITS)
    });
    let all = std::iter::once((whole, whole_usual, Fault::Failures, Fault::Slow, LIMITS));
    for (counts, usual, failures, slow, limits) in all.chain(routes) {
        for (level, fault) in [
            (
                failure_level(&counts, [&usual, &whole_usual], limits),
                failures,
            ),
            (slow_level(&counts, [&usual, &whole_usual], limits), slow),
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

fn failure_level(counts: &RouteCounts, usual: [&RouteCounts; 2], limits: Limits) -> Level {
    let rate = |counts: &RouteCounts| rate(counts.old.failures, counts.old.requests);
    let tolerated = RATE_FACTOR * highest(counts, usual, rate) + FAILURE_TOLERANCE;
    excess_level(counts.new.failures, counts.new.requests, tolerated, limits)
}

fn slow_level(counts: &RouteCounts, usual: [&RouteCounts; 2], limits: Limits) -> Level {
    let rate = |counts: &RouteCounts| rate(counts.old.slow, counts.old.timed);
    let tolerated = RATE_FACTOR * highest(counts, usual, rate) + SLOW_TOLERANCE;
    let by_rate = excess_level(counts.new.slow, counts.new.timed, tolerated, limits);
    let old_mean = highest(counts, usual, |counts| mean(&counts.old));
    let is_slower = old_mean > 0.0 && mean(&counts.new) > MEAN_FACTOR * old_mean;
    let by_mean = match counts.new.timed {
        timed if is_slower && timed >= limits.min_timed => Level::Certain,
        timed if is_slower && timed >= limits.min_timed_doubts => Level::Doubt,
        _ => Level::None,
    };
    by_rate.max(by_mean)
}

/// Returns the highest rate or mean of the old versions: in these counts, usually on the route, or usually on all routes.
///
/// The rate of a single route is that of few responses and can be too low by chance.
fn highest(
    counts: &RouteCounts,
    usual: [&RouteCounts; 2],
    rate: impl Fn(&RouteCounts) -> f64,
) -> f64 {
    usual.into_iter().map(&rate).fold(rate(counts), f64::max)
}

/// Returns whether a count exceeds what a tolerated rate leads one to expect.
fn excess_level(count: u32, of: u32, tolerated: f64, limits: Limits) -> Level {
    let expected = f64::from(of) * tolerated;
    let exceeds = |deviations: f64| f64::from(count) > expected + deviations * expected.sqrt();
    match count {
        MIN_FAULTS.. if exceeds(limits.fault_deviations) => Level::Certain,
        _ if count >= limits.min_doubts && exceeds(limits.doubt_deviations) => Level::Doubt,
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
