//! The `scenario` module provides the scenarios and targets of the simulation, whose figures the commit log quotes.

use std::time::Duration;

use kumquat_state::bundle::ServiceKind;

use super::model::{Policy, Report, SimConfig, UpstreamChange, percentile_us, to_f64};
use super::sim;

/// Seeds of the runs.
pub const SEEDS: [u64; 3] = [1, 7, 42];

/// Upstreams that become stragglers: one in the data centre with the most upstreams and one in another data centre.
const STRAGGLERS: [usize; 2] = [0, 1];

/// Upstreams of one data centre that become stragglers: two of two in Port Louis, and two of three in Dar es Salaam.
const SAME_DATA_CENTRE_STRAGGLERS: [usize; 2] = [1, 4];

/// Virtual time at which upstreams change, after the start of the measurement.
const CHANGE_AT: Duration = Duration::from_secs(4);

/// Makes upstreams stragglers at [`CHANGE_AT`], ten times slower by default.
pub fn with_stragglers(config: SimConfig, upstreams: &[usize]) -> SimConfig {
    let stragglers = upstreams
        .iter()
        .map(|upstream| UpstreamChange {
            upstream: *upstream,
            at: CHANGE_AT,
        })
        .collect();
    SimConfig {
        stragglers,
        ..config
    }
}

/// Restarts one upstream at [`CHANGE_AT`], which turns it cold.
pub fn with_cold_start(config: SimConfig, cold_start_is_announced: bool) -> SimConfig {
    let cold_starts = vec![UpstreamChange {
        upstream: 0,
        at: CHANGE_AT,
    }];
    SimConfig {
        cold_starts,
        cold_start_is_announced,
        ..config
    }
}

/// Sets the load, relative to the capacity.
pub fn with_load(config: SimConfig, load: f64) -> SimConfig {
    SimConfig { load, ..config }
}

/// Lets the last team send requests at five times its rate.
pub fn with_flood(config: SimConfig) -> SimConfig {
    SimConfig {
        flood_factor: 5.0,
        ..config
    }
}

/// Sets the policy.
pub fn with_policy(config: SimConfig, policy: Policy) -> SimConfig {
    SimConfig { policy, ..config }
}

/// Turns the service into a keyed one with 15 upstreams.
pub fn for_keyed_service(config: SimConfig) -> SimConfig {
    SimConfig {
        kind: ServiceKind::Keyed,
        upstreams: 15,
        ..config
    }
}

/// A measured value and its target in section 1.3 of `docs/design.md`.
#[derive(Clone, Debug)]
pub struct Target {
    /// Deployment, scenario and measured quantity.
    pub name: String,
    /// Measured value, in the unit of the bound.
    pub value: f64,
    /// Inclusive bound on the value.
    pub bound: f64,
    /// Whether the bound is an upper bound rather than a lower one.
    pub is_upper: bool,
}

impl Target {
    /// Formats the target as one line of the output.
    pub fn line(&self) -> String {
        let sign = if self.is_upper { "at most" } else { "at least" };
        let verdict = if self.is_met() { "met" } else { "MISSED" };
        format!(
            "{verdict:<7} {:<52} {:.4} ({sign} {})",
            self.name, self.value, self.bound
        )
    }

    /// Returns whether the value is within the bound.
    pub fn is_met(&self) -> bool {
        if self.is_upper {
            self.value <= self.bound
        } else {
            self.value >= self.bound
        }
    }
}

/// Returns the configurations without faults of both deployments.
pub fn deployments(seed: u64) -> [(&'static str, SimConfig); 2] {
    [
        ("port-louis", SimConfig::port_louis(seed)),
        ("dar", SimConfig::dar_es_salaam(seed)),
    ]
}

/// Runs the scenarios of one deployment and collects their targets.
struct Suite<'a> {
    deployment: &'static str,
    on_report: &'a mut dyn FnMut(&str, &Report),
    targets: Vec<Target>,
}

impl Suite<'_> {
    fn run(&mut self, name: &str, config: &SimConfig) -> Report {
        let report = sim::run(config);
        (self.on_report)(&format!("{} {name}", self.deployment), &report);
        report
    }

    fn add_target(&mut self, name: &str, value: f64, bound: f64, is_upper: bool) {
        self.targets.push(Target {
            name: format!("{} {name}", self.deployment),
            value,
            bound,
            is_upper,
        });
    }
}

/// Group of scenarios that are run together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    /// Stragglers.
    Stragglers,
    /// Upstreams that stop responding, and cold starts.
    Losses,
    /// A team that floods, and overload by all teams.
    Floods,
}

/// All parts, in the order of the output.
pub const PARTS: [Part; 3] = [Part::Stragglers, Part::Losses, Part::Floods];

/// Runs the scenarios of a part and returns their targets; `on_report` receives the report of each run.
///
/// With `is_short`, the variants of load, service time and idempotence are left out.
pub fn targets(
    seed: u64,
    part: Part,
    is_short: bool,
    on_report: &mut dyn FnMut(&str, &Report),
) -> Vec<Target> {
    let mut targets = Vec::new();
    for (deployment, base_config) in deployments(seed) {
        let mut suite = Suite {
            deployment,
            on_report,
            targets: Vec::new(),
        };
        match part {
            Part::Stragglers => straggler_targets(&mut suite, &base_config, is_short),
            Part::Losses => {
                loss_targets(&mut suite, &base_config);
                cold_targets(&mut suite, &base_config);
            }
            Part::Floods => flood_targets(&mut suite, &base_config),
        }
        targets.append(&mut suite.targets);
    }
    targets
}

fn straggler_targets(suite: &mut Suite<'_>, base_config: &SimConfig, is_short: bool) {
    let variants = [
        ("", base_config.clone()),
        (
            " sigma 0.3",
            SimConfig {
                service_time_sigma: 0.3,
                ..base_config.clone()
            },
        ),
        (
            " not idempotent",
            SimConfig {
                idempotent_fraction: 0.0,
                ..base_config.clone()
            },
        ),
    ];
    let loads: &[f64] = if is_short { &[0.5] } else { &[0.1, 0.5, 0.6] };
    let variants = if is_short { &variants[..1] } else { &variants };
    let runs = loads
        .iter()
        .flat_map(|at| variants.iter().map(move |variant| (*at, variant)));
    for (at, (variant, base)) in runs {
        let base = with_load(base.clone(), at);
        let undisturbed = suite.run(&format!("quiet {at}{variant}"), &base);
        for (number, upstreams) in [
            ("1", &STRAGGLERS[..1]),
            ("2", &STRAGGLERS),
            ("2 neighbours", &SAME_DATA_CENTRE_STRAGGLERS),
        ] {
            let name = format!("straggler {number} at {at}{variant}");
            let slow = suite.run(&name, &with_stragglers(base.clone(), upstreams));
            let urgent_ratio =
                p99_ratio(&slow.urgent_latencies_us, &undisturbed.urgent_latencies_us);
            suite.add_target(
                &format!("{name}: urgent p99 ratio"),
                urgent_ratio,
                1.5,
                true,
            );
            let overall_ratio = p99_ratio(&slow.all_latencies_us, &undisturbed.all_latencies_us);
            suite.add_target(&format!("{name}: p99 ratio"), overall_ratio, 2.0, true);
            suite.add_target(&format!("{name}: hedged"), slow.hedge_ratio(), 0.05, true);
        }
        suite.add_target(
            &format!("quiet {at}{variant}: hedged"),
            undisturbed.hedge_ratio(),
            0.05,
            true,
        );
    }
}

/// Runs scenarios in which an upstream freezes or is lost, and a start with all upstreams cold.
fn loss_targets(suite: &mut Suite<'_>, base_config: &SimConfig) {
    let change = UpstreamChange {
        upstream: 0,
        at: CHANGE_AT,
    };
    for at in [0.1, 0.5] {
        let base = with_load(base_config.clone(), at);
        let frozen = SimConfig {
            slowdown: 1e4,
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
            // While all upstreams are cold, the load exceeds their capacity, so refusals at a start are expected.
            if !config.measured_from.is_zero() {
                let refused_ratio = report.refused_ratio();
                suite.add_target(&format!("{name}: refused"), refused_ratio, 0.001, true);
            }
            let cold_overloads = to_f64(report.cold_overloads);
            suite.add_target(
                &format!("{name}: above what it bears"),
                cold_overloads,
                0.0,
                true,
            );
        }
    }
}

fn flood_targets(suite: &mut Suite<'_>, base_config: &SimConfig) {
    for (kind, base) in [
        ("pool", base_config.clone()),
        ("keyed", for_keyed_service(base_config.clone())),
    ] {
        // At load 0.8, the flood raises the total above the capacity. Urgent requests overtake the ordinary ones of all
        // teams, so floods with and without urgent requests are separate scenarios.
        for (at, last_team_urgent_fraction) in [(0.5, 0.3), (0.8, 0.0), (0.8, 0.3)] {
            let base = SimConfig {
                last_team_urgent_fraction,
                ..with_load(base.clone(), at)
            };
            let name = format!("{kind} flood {last_team_urgent_fraction} urgent at {at}");
            let undisturbed = suite.run(&format!("{name}: quiet"), &base);
            let flooded = suite.run(&name, &with_flood(base));
            let others_ratio = p99_ratio(
                &flooded.other_teams_latencies_us,
                &undisturbed.other_teams_latencies_us,
            );
            suite.add_target(
                &format!("{name}: others' p99 ratio"),
                others_ratio,
                1.2,
                true,
            );
            let in_time_fraction = |report: &Report| {
                to_f64(report.other_teams_in_time) / to_f64(report.other_teams_arrivals)
            };
            let goodput = in_time_fraction(&flooded) / in_time_fraction(&undisturbed);
            suite.add_target(
                &format!("{name}: others' goodput ratio"),
                goodput,
                0.98,
                false,
            );
        }
        let name = format!("{kind} overload");
        let overloaded = suite.run(&name, &with_load(base, 1.5));
        suite.add_target(
            &format!("{name}: goodput"),
            overloaded.goodput(),
            0.95,
            false,
        );
        let urgent_in_time = to_f64(overloaded.urgent_in_time) / to_f64(overloaded.urgent_arrivals);
        suite.add_target(
            &format!("{name}: urgent in time"),
            urgent_in_time,
            0.999,
            false,
        );
        let max_at_upstream = to_f64(overloaded.max_at_upstream);
        suite.add_target(
            &format!("{name}: at once"),
            max_at_upstream,
            f64::from(base_config.slots),
            true,
        );
    }
}

fn cold_targets(suite: &mut Suite<'_>, base_config: &SimConfig) {
    for at in [0.5, 0.8] {
        let base = with_load(base_config.clone(), at);
        let announced = suite.run(
            &format!("cold announced {at}"),
            &with_cold_start(base.clone(), true),
        );
        let name = format!("cold announced {at}: above what it bears");
        suite.add_target(&name, to_f64(announced.cold_overloads), 0.0, true);
        suite.run(
            &format!("cold unannounced {at}"),
            &with_cold_start(base, false),
        );
    }
}

fn p99_ratio(values: &[u64], base: &[u64]) -> f64 {
    to_f64(percentile_us(values, 99)) / to_f64(percentile_us(base, 99))
}

/// Runs the baselines and the dispatch group in the same scenarios.
pub fn baselines(seed: u64, mut on_report: impl FnMut(&str, &Report)) {
    for (deployment, base_config) in deployments(seed) {
        for (name, kind) in [
            ("groups", Policy::Groups),
            ("local counts", Policy::TwoChoices),
            ("leases", Policy::SlotLeases),
        ] {
            let base = with_policy(base_config.clone(), kind);
            let mut run = |scenario: &str, config: SimConfig| {
                on_report(
                    &format!("{deployment} {name} {scenario}"),
                    &sim::run(&config),
                );
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
