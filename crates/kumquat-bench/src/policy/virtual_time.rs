//! The `virtual_time` module compares the dispatch group with its baselines in virtual time.

use std::time::Duration;

use super::harness::model::{Policy, Report as Run, SimConfig, percentile_us, to_f64};
use super::harness::{scenario, sim};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::ratio;

/// The product and the policies that it is compared with.
const POLICIES: [(&str, Policy); 3] = [
    ("groups", Policy::Groups),
    ("two choices", Policy::TwoChoices),
    ("slot leases", Policy::SlotLeases),
];

/// Runs `compare` for both firms and all policies.
fn each(settings: &Settings, mut compare: impl FnMut(&str, (&str, Policy), SimConfig)) {
    for (firm, mut quiet) in scenario::deployments(settings.seed) {
        if settings.quick {
            quiet.duration = Duration::from_secs(8);
        }
        for (name, policy) in POLICIES {
            compare(
                firm,
                (name, policy),
                scenario::with_policy(quiet.clone(), policy),
            );
        }
    }
}

/// Stragglers against a run without.
pub fn stragglers(settings: &Settings, report: &mut Report) {
    each(settings, |firm, (policy, kind), quiet| {
        let normal = sim::run(&quiet);
        for number in 1..=2 {
            let slow: Vec<usize> = (0..number).collect();
            let slow = sim::run(&scenario::with_stragglers(quiet.clone(), &slow));
            let scenario = format!("{firm} virtual, {number} stragglers");
            let place = (scenario.as_str(), policy);
            let bound = |value| bound_of_product(kind, Bound::AtMost(value));
            let urgent = p99_ratio(&slow.urgent_latencies_us, &normal.urgent_latencies_us);
            report.add(place, "urgent p99 against quiet", (urgent, "x"), bound(1.5));
            let all = p99_ratio(&slow.all_latencies_us, &normal.all_latencies_us);
            report.add(place, "p99 against quiet", (all, "x"), bound(2.0));
            let hedged = slow.hedge_ratio();
            report.add(place, "hedged share", (hedged, "part"), bound(0.05));
        }
    });
}

/// Load above the capacity.
pub fn overload(settings: &Settings, report: &mut Report) {
    each(settings, |firm, (policy, kind), quiet| {
        let over = sim::run(&scenario::with_load(quiet, 1.5));
        let scenario = format!("{firm} virtual, 1.5 of capacity");
        let place = (scenario.as_str(), policy);
        let bound = |value| bound_of_product(kind, Bound::AtLeast(value));
        let goodput = over.goodput();
        report.add(place, "goodput of capacity", (goodput, "part"), bound(0.95));
        let urgent = urgent_in_time(&over);
        report.add(place, "urgent in time", (urgent, "part"), bound(0.999));
    });
}

/// One upstream that turns cold at high load.
pub fn cold(settings: &Settings, report: &mut Report) {
    each(settings, |firm, (policy, kind), quiet| {
        let setup = scenario::with_cold_start(scenario::with_load(quiet, 0.8), true);
        let run = sim::run(&setup);
        let scenario = format!("{firm} virtual, one upstream turns cold");
        let bound = bound_of_product(kind, Bound::AtMost(0.0));
        let value = (to_f64(run.cold_overloads), "req");
        let place = (scenario.as_str(), policy);
        report.add(place, "above what the cold upstream bears", value, bound);
    });
}

/// One team at five times its share.
pub fn flood(settings: &Settings, report: &mut Report) {
    each(settings, |firm, (policy, kind), quiet| {
        let quiet = scenario::with_load(quiet, 0.8);
        let (normal, flooded) = (sim::run(&quiet), sim::run(&scenario::with_flood(quiet)));
        let scenario = format!("{firm} virtual, flood without rates");
        let place = (scenario.as_str(), policy);
        let p99 = p99_ratio(
            &flooded.other_teams_latencies_us,
            &normal.other_teams_latencies_us,
        );
        let bound = bound_of_product(kind, Bound::AtMost(1.2));
        report.add(place, "others' p99 against quiet", (p99, "x"), bound);
        let goodput = ratio(others_in_time(&flooded), others_in_time(&normal));
        let bound = bound_of_product(kind, Bound::AtLeast(0.98));
        report.add(
            place,
            "others' goodput against quiet",
            (goodput, "x"),
            bound,
        );
    });
}

/// The aims hold for the product; the baselines are shown without them.
fn bound_of_product(policy: Policy, bound: Bound) -> Option<Bound> {
    (policy == Policy::Groups).then_some(bound)
}

fn p99_ratio(values: &[u64], base: &[u64]) -> f64 {
    ratio(
        to_f64(percentile_us(values, 99)),
        to_f64(percentile_us(base, 99)),
    )
}

fn urgent_in_time(run: &Run) -> f64 {
    ratio(to_f64(run.urgent_in_time), to_f64(run.urgent_arrivals))
}

fn others_in_time(run: &Run) -> f64 {
    ratio(
        to_f64(run.other_teams_in_time),
        to_f64(run.other_teams_arrivals),
    )
}
