//! The `scenario` module provides the setups that the figures in the commit log stand for.

use std::time::Duration;

use kumquat_state::bundle::Kind;

use super::model::{Change, Policy, Report, Setup, quantile, whole};
use super::sim;

/// Seeds of the runs.
pub const SEEDS: [u64; 3] = [1, 7, 42];

/// Upstreams that become stragglers: the first is in the largest data centre, the second in another one.
const STRAGGLERS: [usize; 2] = [0, 1];

/// When upstreams change, within the measured time.
const CHANGE: Duration = Duration::from_secs(4);

/// A setup in which the first upstreams become ten times slower.
pub fn stragglers(setup: Setup, number: usize) -> Setup {
    let stragglers = STRAGGLERS[..number]
        .iter()
        .map(|upstream| Change {
            upstream: *upstream,
            at: CHANGE,
        })
        .collect();
    Setup {
        stragglers,
        ..setup
    }
}

/// A setup in which one upstream turns cold.
pub fn cold(setup: Setup, cold_is_announced: bool) -> Setup {
    let cold = vec![Change {
        upstream: 0,
        at: CHANGE,
    }];
    Setup {
        cold,
        cold_is_announced,
        ..setup
    }
}

/// A setup at another load.
pub fn load(setup: Setup, load: f64) -> Setup {
    Setup { load, ..setup }
}

/// A setup in which one team sends five times its rate.
pub fn flood(setup: Setup) -> Setup {
    Setup {
        flood: 5.0,
        ..setup
    }
}

/// A setup with another policy.
pub fn policy(setup: Setup, policy: Policy) -> Setup {
    Setup { policy, ..setup }
}

/// The same setup for a keyed service of 15 upstreams.
pub fn keyed(setup: Setup) -> Setup {
    Setup {
        kind: Kind::Keyed,
        upstreams: 15,
        ..setup
    }
}

/// A measured value and the bound that section 1.3 of the design page states for it.
#[derive(Clone, Debug)]
pub struct Target {
    /// What was measured.
    pub name: String,
    /// The value.
    pub value: f64,
    /// The bound.
    pub bound: f64,
    /// Whether the bound is an upper one.
    pub is_upper: bool,
}

impl Target {
    /// Returns whether the value keeps to the bound.
    pub fn is_met(&self) -> bool {
        if self.is_upper {
            self.value <= self.bound
        } else {
            self.value >= self.bound
        }
    }
}

/// The quiet setups of both firms.
pub fn firms(seed: u64) -> [(&'static str, Setup); 2] {
    [
        ("port-louis", Setup::quiet(seed)),
        ("dar", Setup::quiet_far(seed)),
    ]
}

/// Runs all scenarios that have a stated target, with a visitor for the reports.
pub fn targets(seed: u64, mut visit: impl FnMut(&str, &Report)) -> Vec<Target> {
    let mut targets = Vec::new();
    for (firm, quiet) in firms(seed) {
        let mut run = |name: &str, setup: Setup| {
            let report = sim::run(&setup);
            visit(&format!("{firm} {name}"), &report);
            report
        };
        let mut add = |name: &str, value: f64, bound: f64, is_upper: bool| {
            targets.push(Target {
                name: format!("{firm} {name}"),
                value,
                bound,
                is_upper,
            });
        };
        for at in [0.5, 0.6] {
            let base = load(quiet.clone(), at);
            let normal = run(&format!("quiet {at}"), base.clone());
            for number in 1..=2 {
                let name = format!("straggler {number} at {at}");
                let slow = run(&name, stragglers(base.clone(), number));
                let urgent = ratio(&slow.urgent, &normal.urgent);
                add(&format!("{name}: urgent p99 ratio"), urgent, 1.5, true);
                let all = ratio(&slow.all, &normal.all);
                add(&format!("{name}: p99 ratio"), all, 2.0, true);
                add(&format!("{name}: hedged"), slow.hedge_share(), 0.05, true);
            }
            add(
                &format!("quiet {at}: hedged"),
                normal.hedge_share(),
                0.05,
                true,
            );
        }
        for (kind, base) in [("pool", quiet.clone()), ("keyed", keyed(quiet.clone()))] {
            // At 0.8, the flood takes the total above the capacity. Its urgent part then goes before the ordinary requests
            // of all teams by rule, so floods with and without an urgent part are told apart.
            for (at, last_urgent) in [(0.5, 0.3), (0.8, 0.0), (0.8, 0.3)] {
                let base = Setup {
                    last_urgent,
                    ..load(base.clone(), at)
                };
                let name = format!("{kind} flood {last_urgent} urgent at {at}");
                let normal = run(&format!("{name}: quiet"), base.clone());
                let flooded = run(&name, flood(base));
                let others = ratio(&flooded.others, &normal.others);
                add(&format!("{name}: others' p99 ratio"), others, 1.2, true);
                let served =
                    |report: &Report| whole(report.others_in_time) / whole(report.others_arrivals);
                let goodput = served(&flooded) / served(&normal);
                add(
                    &format!("{name}: others' goodput ratio"),
                    goodput,
                    0.98,
                    false,
                );
            }
            let name = format!("{kind} overload");
            let over = run(&name, load(base, 1.5));
            add(&format!("{name}: goodput"), over.goodput(), 0.95, false);
            let urgent = whole(over.urgent_in_time) / whole(over.urgent_arrivals);
            add(&format!("{name}: urgent in time"), urgent, 0.999, false);
            let most = whole(over.most_at_upstream);
            add(
                &format!("{name}: at once"),
                most,
                f64::from(quiet.slots),
                true,
            );
        }
        for at in [0.5, 0.8] {
            let base = load(quiet.clone(), at);
            let announced = run(&format!("cold announced {at}"), cold(base.clone(), true));
            let name = format!("cold announced {at}: above what it bears");
            add(&name, whole(announced.overloads), 0.0, true);
            run(&format!("cold unannounced {at}"), cold(base, false));
        }
    }
    targets
}

fn ratio(values: &[u64], base: &[u64]) -> f64 {
    whole(quantile(values, 99)) / whole(quantile(base, 99))
}

/// Runs the baselines next to the product.
pub fn baselines(seed: u64, mut visit: impl FnMut(&str, &Report)) {
    for (firm, quiet) in firms(seed) {
        for (name, kind) in [
            ("groups", Policy::Groups),
            ("local counts", Policy::LocalCounts),
            ("leases", Policy::Leases),
        ] {
            let base = policy(quiet.clone(), kind);
            let mut run = |scenario: &str, setup: Setup| {
                visit(&format!("{firm} {name} {scenario}"), &sim::run(&setup));
            };
            run("quiet", base.clone());
            run("straggler 1", stragglers(base.clone(), 1));
            run("flood 0.8", flood(load(base.clone(), 0.8)));
            run("overload", load(base.clone(), 1.5));
            run("cold", cold(base, false));
        }
    }
}
