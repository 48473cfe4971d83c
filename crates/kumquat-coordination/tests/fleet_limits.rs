//! Simulates VMs that send to upstreams with an announced request limit, and checks what reaches the upstreams.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Announcement, AttemptOutcome, RateUsage, ReportedLimit, Selection, UpstreamInstance,
    UpstreamTable, reports,
};
use kumquat_state::clock::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

const SERVICE: &str = "ledger";

/// Time from a request to its response, in milliseconds.
const RESPONSE_MS: u64 = 30;

/// Time from the sending of a report to its receipt, in milliseconds.
const REPORT_MS: u64 = 5;

/// Window in which an upstream's requests are bounded, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time from the announcement from which the bound holds, in milliseconds.
const CONVERGENCE_MS: u64 = 3_000;

/// Limit that an upstream announces at a time in milliseconds, in requests per second.
type Limit = fn(u64) -> Option<f64>;

/// Whether the first VM gets the report that the second one sends at a time in milliseconds.
type Hears = fn(usize, usize, u64) -> bool;

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn upstream(name: &str) -> UpstreamInstance {
    UpstreamInstance {
        name: Arc::from(name),
        incarnation: 1,
        service: Arc::from(SERVICE),
        version: Arc::from(""),
        data_centre: Arc::from("dc-a"),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots: 200,
        is_draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

fn table(vm: usize, vm_count: usize, upstreams: &[UpstreamInstance]) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_limit_seed(u64::try_from(vm).expect("a small number") + 1);
    table.set_vms(at(0), vm_count, vm);
    for upstream in upstreams {
        table.upsert(at(0), upstream.clone(), f64::INFINITY);
    }
    table
}

/// Traffic to one upstream with a limit, which all VMs send to as the owner of their requests' keys.
struct Scenario {
    vm_count: usize,
    limit: Limit,
    /// Requests per second from the callers of all VMs.
    demand_per_s: f64,
    /// Part of the demand at the first VM; the others share the rest equally.
    first_vm_fraction: f64,
    hears: Hears,
    /// Whether a VM restarts at a time in milliseconds and forgets everything.
    restarts: fn(usize, u64) -> bool,
    seconds: u64,
}

impl Default for Scenario {
    fn default() -> Self {
        Self {
            vm_count: 9,
            limit: |_| Some(3.0),
            demand_per_s: 30.0,
            first_vm_fraction: 0.5,
            hears: |_, _, _| true,
            restarts: |_, _| false,
            seconds: 20,
        }
    }
}

/// A report on its way to all other VMs.
struct Report {
    sent_ms: u64,
    sender: usize,
    limits: Vec<ReportedLimit>,
    usages: Vec<RateUsage>,
}

/// One VM of a simulation.
struct Vm {
    table: UpstreamTable,
    next_tick_ms: u64,
    last_report_ms: u64,
}

/// What reached the upstream.
struct Outcome {
    /// Times of the requests in milliseconds.
    arrivals_ms: Vec<u64>,
    /// Number of requests from callers.
    requested: usize,
}

impl Outcome {
    /// Returns the largest number of requests in any window that starts after the limit's convergence.
    fn max_in_window(&self) -> usize {
        let counts = self.arrivals_ms.iter().enumerate();
        let counts = counts.filter(|(_, start)| **start >= CONVERGENCE_MS);
        let counts = counts.map(|(index, start)| {
            let later = self.arrivals_ms[index..].iter();
            later.take_while(|time| **time < start + WINDOW_MS).count()
        });
        counts.max().unwrap_or(0)
    }
}

impl Scenario {
    fn run(&self, seed: u64) -> Outcome {
        let mut rng = SmallRng::seed_from_u64(seed);
        let target = upstream("limited");
        let new_table = |vm| table(vm, self.vm_count, std::slice::from_ref(&target));
        let interval = reports::min_report_interval(self.vm_count);
        let interval_ms = u64::try_from(interval.as_millis()).expect("a short interval");
        let mut vms: Vec<Vm> = (0..self.vm_count)
            .map(|vm| Vm {
                table: new_table(vm),
                next_tick_ms: rng.random_range(0..interval_ms),
                last_report_ms: 0,
            })
            .collect();
        let mut on_the_way: Vec<Report> = Vec::new();
        let mut in_process: Vec<(u64, usize)> = Vec::new();
        let mut outcome = Outcome {
            arrivals_ms: Vec::new(),
            requested: 0,
        };
        for millis in 0..self.seconds * 1_000 {
            let now = at(millis);
            on_the_way.retain(|report| {
                if report.sent_ms + REPORT_MS > millis {
                    return true;
                }
                for (receiver, vm) in vms.iter_mut().enumerate() {
                    if receiver != report.sender
                        && (self.hears)(receiver, report.sender, report.sent_ms)
                    {
                        let sender = u64::try_from(report.sender).expect("a small number");
                        vm.table
                            .apply_limit_report(now, sender, &report.limits, &report.usages);
                    }
                }
                false
            });
            in_process.retain(|(sent_ms, vm)| {
                if sent_ms + RESPONSE_MS > millis {
                    return true;
                }
                let announcement =
                    (self.limit)(millis).map_or(Announcement::Absent, Announcement::from_rate);
                let table = &mut vms[*vm].table;
                table.record_announcement(now, &target, announcement);
                let completed = AttemptOutcome::Completed {
                    relative_latency: 1.0,
                };
                table.record_outcome(now, "limited", 1, completed, None);
                false
            });
            for (number, vm) in vms.iter_mut().enumerate() {
                if (self.restarts)(number, millis) {
                    vm.table = new_table(number);
                }
                if vm.next_tick_ms <= millis {
                    vm.next_tick_ms += interval_ms;
                    let elapsed = Duration::from_millis(millis - vm.last_report_ms);
                    let is_due = reports::is_full_report_due(self.vm_count, elapsed);
                    if is_due || vm.table.is_early_report_due() {
                        vm.last_report_ms = millis;
                        on_the_way.push(Report {
                            sent_ms: millis,
                            sender: number,
                            limits: vm.table.limit_report(now),
                            usages: vm.table.next_limit_usages(),
                        });
                    }
                }
                let probability = self.demand_at(number) / 1_000.0;
                if rng.random_bool(probability.min(1.0)) {
                    outcome.requested += 1;
                    let selection = vm.table.select_owner(now, "limited", 1);
                    if matches!(selection, Selection::Selected(_)) {
                        outcome.arrivals_ms.push(millis);
                        in_process.push((millis, number));
                    }
                }
            }
        }
        outcome
    }

    /// Returns the requests per second from the callers of a VM.
    fn demand_at(&self, vm: usize) -> f64 {
        let others = f64::from(u32::try_from(self.vm_count - 1).expect("few VMs"));
        if vm == 0 {
            self.demand_per_s * self.first_vm_fraction
        } else {
            self.demand_per_s * (1.0 - self.first_vm_fraction) / others
        }
    }
}

/// Returns the most requests that a deployment allows in a window at a limit.
fn allowed_in_window(limit_per_s: f64) -> f64 {
    1.5 * limit_per_s * 4.0 + 5.0
}

fn assert_within(outcome: &Outcome, limit_per_s: f64, case: &str) {
    let most = outcome.max_in_window();
    let most_f64 = f64::from(u32::try_from(most).expect("few requests"));
    assert!(
        most_f64 <= allowed_in_window(limit_per_s),
        "{case}: {most} requests in a window at a limit of {limit_per_s}"
    );
}

/// Guards against shares of a limit that add up to more than it over many VMs or under unequal load.
#[test]
fn requests_stay_within_the_limit_for_any_number_of_vms_and_spread_of_load() {
    let limits: [(f64, Limit); 4] = [
        (0.3, |_| Some(0.3)),
        (1.0, |_| Some(1.0)),
        (3.0, |_| Some(3.0)),
        (20.0, |_| Some(20.0)),
    ];
    for vm_count in [2, 9, 30, 95] {
        for (limit_per_s, limit) in limits {
            for first_vm_fraction in [0.02, 0.5, 1.0] {
                for seed in 0..2 {
                    let scenario = Scenario {
                        vm_count,
                        limit,
                        demand_per_s: 60.0,
                        first_vm_fraction,
                        seconds: 12,
                        ..Scenario::default()
                    };

                    let outcome = scenario.run(seed);

                    let case = format!("{vm_count} VMs, {first_vm_fraction} at one, seed {seed}");
                    assert_within(&outcome, limit_per_s, &case);
                }
            }
        }
    }
}

/// Guards against an equal division of the limit, of which VMs with little load would leave their parts unused.
#[test]
fn a_limit_is_used_under_unequal_load() {
    for first_vm_fraction in [0.02, 0.5, 1.0] {
        let scenario = Scenario {
            first_vm_fraction,
            seconds: 40,
            ..Scenario::default()
        };

        let outcome = scenario.run(3);

        let served = outcome.arrivals_ms.len();
        assert!(served >= 96, "{served} of 120 requests were sent");
    }
}

/// Guards against refusals while the demand stays below the limit.
#[test]
fn load_below_the_limit_is_hardly_refused() {
    let scenario = Scenario {
        limit: |_| Some(20.0),
        demand_per_s: 14.0,
        seconds: 60,
        ..Scenario::default()
    };

    let outcome = scenario.run(4);

    let (served, requested) = (outcome.arrivals_ms.len(), outcome.requested);
    assert!(served * 20 >= requested * 19, "{served} of {requested}");
}

/// Guards against VMs that don't hear each other and each use the whole limit, or lose count when they do again.
#[test]
fn requests_stay_within_the_limit_during_partitions_and_lost_reports() {
    let cases: [(&str, Hears); 4] = [
        ("no VM hears another", |_, _, _| false),
        ("two groups", |to, from, _| (to < 4) == (from < 4)),
        ("a partition of a second", |_, _, millis| {
            millis / 1_000 % 3 != 2
        }),
        ("every third report is lost", |to, from, millis| {
            (u64::try_from(to * 7 + from).expect("a small number") + millis) % 3 != 0
        }),
    ];
    for (case, hears) in cases {
        for seed in 0..4 {
            let scenario = Scenario {
                hears,
                ..Scenario::default()
            };

            let outcome = scenario.run(seed);

            assert_within(&outcome, 3.0, case);
        }
    }
}

/// Guards against restarted VMs that send without regard to a limit that the others know.
#[test]
fn requests_stay_within_the_limit_when_vms_restart() {
    for seed in 0..4 {
        let scenario = Scenario {
            restarts: |vm, millis| millis > 4_000 && millis % 2_000 == 0 && vm % 3 == 0,
            ..Scenario::default()
        };

        let outcome = scenario.run(seed);

        assert_within(&outcome, 3.0, "restarts");
    }
}

/// Guards against a limit of zero that is taken for none, or that is never found to have ended.
#[test]
fn a_limit_of_zero_leaves_only_occasional_requests_and_ends() {
    let scenario = Scenario {
        limit: |millis| (millis < 20_000).then_some(0.0),
        seconds: 32,
        ..Scenario::default()
    };

    let outcome = scenario.run(5);

    let during = outcome.arrivals_ms.iter();
    let during = during.filter(|time| (CONVERGENCE_MS..20_000).contains(*time));
    let during = during.count();
    let after = outcome.arrivals_ms.iter();
    let after = after.filter(|time| **time > 28_000).count();
    assert!((1..=8).contains(&during), "{during} requests in 17 s");
    assert!(after >= 80, "{after} requests in 4 s without a limit");
}

/// Guards against a burst when a limit falls while VMs have tokens left.
#[test]
fn requests_stay_within_a_limit_that_falls() {
    for seed in 0..4 {
        let scenario = Scenario {
            limit: |millis| Some(if millis < 8_000 { 20.0 } else { 1.0 }),
            ..Scenario::default()
        };

        let mut outcome = scenario.run(seed);

        outcome
            .arrivals_ms
            .retain(|time| *time >= 8_000 + CONVERGENCE_MS);
        assert_within(&outcome, 1.0, "fallen limit");
    }
}

/// Guards against requests that are refused although another upstream may serve them.
#[test]
fn requests_above_a_limit_go_to_other_upstreams() {
    let upstreams = [upstream("limited"), upstream("unlimited")];
    let mut table = table(0, 1, &upstreams);
    table.record_announcement(at(0), &upstreams[0], Announcement::from_rate(1.0));

    let mut selected = [0, 0];
    for millis in 0..10_000 {
        if let Selection::Selected(chosen) = table.select(at(millis), SERVICE, &[], || 0.5) {
            selected[usize::from(chosen == upstreams[1])] += 1;
            let completed = AttemptOutcome::Completed {
                relative_latency: 1.0,
            };
            table.record_outcome(at(millis), &chosen.name, 1, completed, None);
        }
    }

    assert!(selected[0] <= 15, "{selected:?}");
    assert_eq!(selected[0] + selected[1], 10_000);
}

/// Guards against waiting for a slot when only a limit stands in the way, and against a time to return that is too early.
#[test]
fn a_request_above_all_limits_is_refused_with_the_time_until_the_next_one() {
    let limited = upstream("limited");
    let mut table = table(0, 1, std::slice::from_ref(&limited));
    table.record_announcement(at(0), &limited, Announcement::from_rate(2.0));

    let shared = table.select(at(1), SERVICE, &[], || 0.5);
    let owned = table.select_owner(at(1), "limited", 1);

    for selection in [shared, owned] {
        let Selection::OverLimit { wait, .. } = selection else {
            panic!("{selection:?}");
        };
        assert!(
            wait >= Duration::from_millis(400) && wait <= Duration::from_secs(1),
            "{wait:?}"
        );
    }
}

/// Guards against a limit that outlives its upstream's incarnation.
#[test]
fn a_restarted_upstream_has_no_limit() {
    let limited = upstream("limited");
    let mut table = table(0, 1, std::slice::from_ref(&limited));
    table.record_announcement(at(0), &limited, Announcement::from_rate(0.0));

    let restarted = UpstreamInstance {
        incarnation: 2,
        ..limited.clone()
    };
    table.upsert(at(10), restarted.clone(), f64::INFINITY);

    assert_eq!(table.request_limit(&restarted), None);
    assert_eq!(table.request_limit(&limited), None);
    let selection = table.select(at(11), SERVICE, &[], || 0.5);
    assert_eq!(selection, Selection::Selected(restarted));
}

/// Guards against the wait estimate that takes a limited upstream, which is nearly idle, for a free one.
#[test]
fn a_limited_upstream_counts_with_the_slots_that_its_limit_can_use() {
    let upstreams = [upstream("limited"), upstream("unlimited")];
    let mut table = table(0, 1, &upstreams);

    let before = table.total_slots(SERVICE, Duration::from_millis(100));
    table.record_announcement(at(0), &upstreams[0], Announcement::from_rate(5.0));
    let after = table.total_slots(SERVICE, Duration::from_millis(100));

    assert!((before - 400.0).abs() < 1e-9, "{before}");
    assert!((after - 200.5).abs() < 1e-9, "{after}");
    assert!(table.limit_wait(&upstreams[0], 5) >= Duration::from_secs(1));
}
