//! The `scenario` module provides the setups that the figures in the commit log stand for.

use std::time::Duration;

use kumquat_state::bundle::ServiceKind;

use super::model::{Policy, Report, SimConfig, UpstreamChange, percentile_us, to_f64};
use super::sim;

/// Seeds of the runs.
pub const SEEDS: [u64; 3] = [1, 7, 42];

/// Upstreams that become stragglers: the first is in the largest data centre, the second in another one.
const STRAGGLERS: [usize; 2] = [0, 1];

/// Two upstreams of the same data centre that become stragglers: all that it has in Port Louis, two of three in Dar.
const NEIGHBOURS: [usize; 2] = [1, 4];

/// When upstreams change, within the measured time.
const CHANGE: Duration = Duration::from_secs(4);

/// A config in which some upstreams become ten times slower.
pub fn with_stragglers(config: SimConfig, upstreams: &[usize]) -> SimConfig {
    let stragglers = upstreams
        .iter()
        .map(|upstream| UpstreamChange {
            upstream: *upstream,
            at: CHANGE,
        })
        .collect();
    SimConfig {
        stragglers,
        ..config
    }
}

/// A config in which one upstream turns cold.
pub fn with_cold_start(config: SimConfig, cold_start_is_announced: bool) -> SimConfig {
    let cold_starts = vec![UpstreamChange {
        upstream: 0,
        at: CHANGE,
    }];
    SimConfig {
        cold_starts,
        cold_start_is_announced,
        ..config
    }
}

/// A config at another load.
pub fn with_load(config: SimConfig, load: f64) -> SimConfig {
    SimConfig { load, ..config }
}

/// A config in which one team sends five times its rate.
pub fn with_flood(config: SimConfig) -> SimConfig {
    SimConfig {
        flood_factor: 5.0,
        ..config
    }
}

/// A config with another policy.
pub fn with_policy(config: SimConfig, policy: Policy) -> SimConfig {
    SimConfig { policy, ..config }
}

/// The same config for a keyed service of 15 upstreams.
pub fn for_keyed_service(config: SimConfig) -> SimConfig {
    SimConfig {
        kind: ServiceKind::Keyed,
        upstreams: 15,
        ..config
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
    /// One line for people.
    pub fn line(&self) -> String {
        let sign = if self.is_upper { "at most" } else { "at least" };
        let verdict = if self.is_met() { "met" } else { "MISSED" };
        format!(
            "{verdict:<7} {:<52} {:.4} ({sign} {})",
            self.name, self.value, self.bound
        )
    }

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
pub fn deployments(seed: u64) -> [(&'static str, SimConfig); 2] {
    [
        ("port-louis", SimConfig::port_louis(seed)),
        ("dar", SimConfig::dar_es_salaam(seed)),
    ]
}

/// Collects the targets of one firm's runs.
struct Suite<'a> {
    firm: &'static str,
    visit: &'a mut dyn FnMut(&str, &Report),
    targets: Vec<Target>,
}

impl Suite<'_> {
    fn run(&mut self, name: &str, config: &SimConfig) -> Report {
        let report = sim::run(config);
        (self.visit)(&format!("{} {name}", self.firm), &report);
        report
    }

    fn add(&mut self, name: &str, value: f64, bound: f64, is_upper: bool) {
        self.targets.push(Target {
            name: format!("{} {name}", self.firm),
            value,
            bound,
            is_upper,
        });
    }
}

/// A group of scenarios.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Upstreams that become slower.
    Stragglers,
    /// Upstreams that stop answering, and cold starts.
    Losses,
    /// One team that floods, and overload by all teams.
    Floods,
}

/// All parts.
pub const PARTS: [Part; 3] = [Part::Stragglers, Part::Losses, Part::Floods];

/// Runs the scenarios of a part that have a stated target, with a visitor for the reports.
///
/// The short form leaves out the variants of load, service time and idempotence.
pub fn targets(
    seed: u64,
    part: Part,
    is_short: bool,
    visit: &mut dyn FnMut(&str, &Report),
) -> Vec<Target> {
    let mut targets = Vec::new();
    for (firm, quiet) in deployments(seed) {
        let mut suite = Suite {
            firm,
            visit,
            targets: Vec::new(),
        };
        match part {
            Part::Stragglers => straggler_targets(&mut suite, &quiet, is_short),
            Part::Losses => {
                loss_targets(&mut suite, &quiet);
                cold_targets(&mut suite, &quiet);
            }
            Part::Floods => flood_targets(&mut suite, &quiet),
        }
        targets.append(&mut suite.targets);
    }
    targets
}

fn straggler_targets(suite: &mut Suite<'_>, quiet: &SimConfig, is_short: bool) {
    let changed = [
        ("", quiet.clone()),
        (
            " sigma 0.3",
            SimConfig {
                service_time_sigma: 0.3,
                ..quiet.clone()
            },
        ),
        (
            " not idempotent",
            SimConfig {
                idempotent_fraction: 0.0,
                ..quiet.clone()
            },
        ),
    ];
    let loads: &[f64] = if is_short { &[0.5] } else { &[0.1, 0.5, 0.6] };
    let changed = if is_short { &changed[..1] } else { &changed };
    let runs = loads
        .iter()
        .flat_map(|at| changed.iter().map(move |changed| (*at, changed)));
    for (at, (variant, base)) in runs {
        let base = with_load(base.clone(), at);
        let normal = suite.run(&format!("quiet {at}{variant}"), &base);
        for (number, upstreams) in [
            ("1", &STRAGGLERS[..1]),
            ("2", &STRAGGLERS),
            ("2 neighbours", &NEIGHBOURS),
        ] {
            let name = format!("straggler {number} at {at}{variant}");
            let slow = suite.run(&name, &with_stragglers(base.clone(), upstreams));
            let urgent = ratio(&slow.urgent_latencies_us, &normal.urgent_latencies_us);
            suite.add(&format!("{name}: urgent p99 ratio"), urgent, 1.5, true);
            let all = ratio(&slow.all_latencies_us, &normal.all_latencies_us);
            suite.add(&format!("{name}: p99 ratio"), all, 2.0, true);
            suite.add(&format!("{name}: hedged"), slow.hedge_ratio(), 0.05, true);
        }
        suite.add(
            &format!("quiet {at}{variant}: hedged"),
            normal.hedge_ratio(),
            0.05,
            true,
        );
    }
}

/// Runs in which upstreams stop answering, and a start with all upstreams cold.
fn loss_targets(suite: &mut Suite<'_>, quiet: &SimConfig) {
    let change = UpstreamChange {
        upstream: 0,
        at: CHANGE,
    };
    for at in [0.1, 0.5] {
        let base = with_load(quiet.clone(), at);
        let frozen = SimConfig {
            straggler_slowdown: 1e4,
            ..with_stragglers(base.clone(), &STRAGGLERS[..1])
        };
        let lost = SimConfig {
            lost_upstreams: vec![change],
            ..base.clone()
        };
        let start = SimConfig {
            measured_from: Duration::ZERO,
            duration: Duration::from_secs(5),
            ..base.clone()
        };
        for (name, config) in [("frozen", frozen), ("lost", lost), ("start", start)] {
            let name = format!("{name} at {at}");
            let report = suite.run(&name, &config);
            // While all upstreams are cold they can't bear this load, so that refusals at a start are due.
            if !config.measured_from.is_zero() {
                let refused = report.refused_ratio();
                suite.add(&format!("{name}: refused"), refused, 0.001, true);
            }
            let cold_overloads = to_f64(report.cold_overloads);
            suite.add(
                &format!("{name}: above what it bears"),
                cold_overloads,
                0.0,
                true,
            );
        }
    }
}

fn flood_targets(suite: &mut Suite<'_>, quiet: &SimConfig) {
    for (kind, base) in [
        ("pool", quiet.clone()),
        ("keyed", for_keyed_service(quiet.clone())),
    ] {
        // At 0.8, the flood takes the total above the capacity. Urgent requests go before the ordinary requests of all
        // teams, so floods with and without an urgent part are told apart.
        for (at, last_team_urgent_fraction) in [(0.5, 0.3), (0.8, 0.0), (0.8, 0.3)] {
            let base = SimConfig {
                last_team_urgent_fraction,
                ..with_load(base.clone(), at)
            };
            let name = format!("{kind} flood {last_team_urgent_fraction} urgent at {at}");
            let normal = suite.run(&format!("{name}: quiet"), &base);
            let flooded = suite.run(&name, &with_flood(base));
            let others = ratio(
                &flooded.other_teams_latencies_us,
                &normal.other_teams_latencies_us,
            );
            suite.add(&format!("{name}: others' p99 ratio"), others, 1.2, true);
            let served = |report: &Report| {
                to_f64(report.other_teams_in_time) / to_f64(report.other_teams_arrivals)
            };
            let goodput = served(&flooded) / served(&normal);
            suite.add(
                &format!("{name}: others' goodput ratio"),
                goodput,
                0.98,
                false,
            );
        }
        let name = format!("{kind} overload");
        let over = suite.run(&name, &with_load(base, 1.5));
        suite.add(&format!("{name}: goodput"), over.goodput(), 0.95, false);
        let urgent = to_f64(over.urgent_in_time) / to_f64(over.urgent_arrivals);
        suite.add(&format!("{name}: urgent in time"), urgent, 0.999, false);
        let most = to_f64(over.max_at_upstream);
        suite.add(
            &format!("{name}: at once"),
            most,
            f64::from(quiet.slots),
            true,
        );
    }
}

fn cold_targets(suite: &mut Suite<'_>, quiet: &SimConfig) {
    for at in [0.5, 0.8] {
        let base = with_load(quiet.clone(), at);
        let announced = suite.run(
            &format!("cold announced {at}"),
            &with_cold_start(base.clone(), true),
        );
        let name = format!("cold announced {at}: above what it bears");
        suite.add(&name, to_f64(announced.cold_overloads), 0.0, true);
        suite.run(
            &format!("cold unannounced {at}"),
            &with_cold_start(base, false),
        );
    }
}

fn ratio(values: &[u64], base: &[u64]) -> f64 {
    to_f64(percentile_us(values, 99)) / to_f64(percentile_us(base, 99))
}

/// Runs the baselines next to the product.
pub fn baselines(seed: u64, mut visit: impl FnMut(&str, &Report)) {
    for (firm, quiet) in deployments(seed) {
        for (name, kind) in [
            ("groups", Policy::Groups),
            ("local counts", Policy::TwoChoices),
            ("leases", Policy::SlotLeases),
        ] {
            let base = with_policy(quiet.clone(), kind);
            let mut run = |scenario: &str, config: SimConfig| {
                visit(&format!("{firm} {name} {scenario}"), &sim::run(&config));
            };
            run("quiet", base.clone());
            run(
                "straggler 1",
                with_stragglers(base.clone(), &STRAGGLERS[..1]),
            );
            run("flood 0.8", with_flood(with_load(base.clone(), 0.8)));
            run("overload", with_load(base.clone(), 1.5));
            run("cold", with_cold_start(base, false));
        }
    }
}
