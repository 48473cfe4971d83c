//! Tests rollouts of a service to another version, over 80 VMs that hear of each step up to 2.5 s late.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::rollout::{
    Assessment, Bounds, Counts, Decision, Evidence, Observation, Order, Phase, Record, Rollout,
    RouteCounts, Side, Situation, WHOLE, assess, withdraw,
};
use kumquat_coordination::fleet::{AttemptOutcome, Selection, UpstreamInstance, UpstreamTable};
use kumquat_state::clock::Instant;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const SERVICE: &str = "huvo11a";
const SERVICE_ID: u32 = 7;
const VMS: usize = 80;
const DURATION_MS: u64 = 12_000;
const ROUTES: u32 = 5;

/// Longest delay with which a VM hears of a step.
const MAX_STEP_DELAY_MS: u64 = 2_500;

/// Interval at which a VM reports its counts, and the delay of a report.
const REPORT_INTERVAL_MS: u64 = 220;
const REPORT_DELAY_MS: u64 = 50;

/// Interval at which the coordinator decides.
const TICK_MS: u64 = 100;

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn upstream(name: &str, version: &str) -> UpstreamInstance {
    UpstreamInstance {
        name: Arc::from(name),
        incarnation: 1,
        service: Arc::from(SERVICE),
        version: Arc::from(version),
        data_centre: Arc::from("dc-a"),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots: 400,
        is_draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

fn order(revision: u64, target: &str) -> Order {
    Order {
        revision,
        target: Arc::from(target),
        duration: Duration::from_millis(DURATION_MS),
    }
}

/// Returns the state of a rollout to `v2` with a share in thousandths.
fn running(share: u32) -> Record {
    Record {
        order: 5,
        target: Arc::from("v2"),
        phase: Phase::Running,
        share,
        elapsed: Duration::ZERO,
        barred: Vec::new(),
    }
}

/// Latency relative to the route's mean of a response that is sent at a time to a route, or `None` for a failure.
type Behaviour = fn(&mut StdRng, u64, u32) -> Option<f64>;

fn sound(random: &mut StdRng, _: u64, _: u32) -> Option<f64> {
    let is_failure = random.random_bool(0.002);
    let latency = random.random_range(0.5..1.5);
    let is_tail = random.random_bool(0.01);
    (!is_failure).then_some(if is_tail { 4.0 } else { latency })
}

fn failing(random: &mut StdRng, sent_at: u64, route: u32) -> Option<f64> {
    sound(random, sent_at, route).filter(|_| !random.random_bool(0.3))
}

fn failing_later(random: &mut StdRng, sent_at: u64, route: u32) -> Option<f64> {
    let answer = sound(random, sent_at, route);
    answer.filter(|_| sent_at < 4_000 || !random.random_bool(0.3))
}

fn failing_on_one_route(random: &mut StdRng, sent_at: u64, route: u32) -> Option<f64> {
    let answer = sound(random, sent_at, route);
    answer.filter(|_| route != 3 || !random.random_bool(0.6))
}

fn slow(random: &mut StdRng, sent_at: u64, route: u32) -> Option<f64> {
    sound(random, sent_at, route).map(|latency| 4.0 * latency)
}

fn slow_at_times(random: &mut StdRng, sent_at: u64, route: u32) -> Option<f64> {
    let is_slow = random.random_bool(0.3);
    sound(random, sent_at, route).map(|latency| if is_slow { 5.0 * latency } else { latency })
}

/// The course of a simulated rollout.
#[derive(Clone, Copy, Debug, Default)]
struct Course {
    requests: u32,
    new_requests: u32,
    bad_responses: u32,
    fiftieth_bad_at: Option<u64>,
    last_new_sent_at: u64,
    last_old_sent_at: u64,
    unserved: u32,
    verdict: Option<(u64, Phase)>,
}

struct Fleet {
    random: StdRng,
    tables: Vec<UpstreamTable>,
    evidence: Evidence,
    rollout: Option<Rollout>,
    stored: Option<Record>,
    // Steps and observations on their way, each with its time of arrival.
    steps: Vec<(u64, usize, Record)>,
    observations: Vec<(u64, u64, Observation)>,
    // Requests in flight: end, VM, upstream, route, outcome.
    in_flight: Vec<(u64, usize, UpstreamInstance, u32, AttemptOutcome)>,
    course: Course,
}

impl Fleet {
    /// Returns a fleet in which all VMs know the upstreams and the order; `versions` has one upstream each.
    fn new(seed: u64, versions: &[&str]) -> Self {
        let mut tables = Vec::new();
        for vm in 0..VMS {
            let mut table = UpstreamTable::default();
            table.set_vms(at(0), VMS, vm);
            let gates = table.gates_mut();
            gates.set_bounds(Bounds::default(), seed * 1_000 + vm as u64);
            for (position, version) in versions.iter().enumerate() {
                table.upsert(at(0), upstream(&format!("u{position}"), version), 11.0);
            }
            table.set_rollout_order(at(0), SERVICE, Some(order(5, "v2")));
            tables.push(table);
        }
        Self {
            random: StdRng::seed_from_u64(seed),
            tables,
            evidence: Evidence::default(),
            rollout: None,
            stored: None,
            steps: Vec::new(),
            observations: Vec::new(),
            in_flight: Vec::new(),
            course: Course::default(),
        }
    }

    /// Runs from the order to its end, with `rate` requests a millisecond; `is_deciding` tells when there is a
    /// coordinator that reaches the store.
    fn run(&mut self, rate: f64, new_version: Behaviour, is_deciding: fn(u64) -> bool) -> Course {
        for now in 0..DURATION_MS {
            self.deliver(now);
            if self.random.random_bool(rate) {
                self.send(now, new_version);
            }
            for vm in 0..VMS {
                if (now + vm as u64).is_multiple_of(REPORT_INTERVAL_MS) {
                    self.report(now, vm);
                }
            }
            if !is_deciding(now) {
                // The next coordinator starts with what the store holds.
                self.rollout = None;
                self.evidence = Evidence::default();
            } else if now.is_multiple_of(TICK_MS) {
                self.decide(now);
            }
        }
        self.course
    }

    fn deliver(&mut self, now: u64) {
        let due = self.steps.extract_if(.., |(due_at, ..)| *due_at <= now);
        for (_, vm, record) in due {
            self.tables[vm].gates_mut().set_record(SERVICE, record);
        }
        let due = self
            .observations
            .extract_if(.., |(due_at, ..)| *due_at <= now);
        for (_, sender, observation) in due {
            self.evidence.record(sender, observation);
        }
        let ended = self
            .in_flight
            .extract_if(.., |(ends_at, ..)| *ends_at <= now);
        for (_, vm, upstream, route, outcome) in ended {
            let table = &mut self.tables[vm];
            table.record_outcome(at(now), &upstream.name, 1, outcome, None);
            table.record_version_outcome(at(now), &upstream, route, outcome);
            let is_bad = match outcome {
                AttemptOutcome::Completed { relative_latency } => relative_latency > 3.0,
                _ => true,
            };
            if &*upstream.version == "v2" && is_bad {
                self.course.bad_responses += 1;
                if self.course.bad_responses == 50 {
                    self.course.fiftieth_bad_at = Some(now);
                }
            }
        }
    }

    fn send(&mut self, now: u64, new_version: Behaviour) {
        let vm = self.random.random_range(0..VMS);
        let route = self.random.random_range(0..ROUTES);
        self.course.requests += 1;
        let noise = self.random.random();
        let table = &mut self.tables[vm];
        let Selection::Selected(upstream) = table.select(at(now), SERVICE, &[], || noise) else {
            self.course.unserved += 1;
            return;
        };
        let answer = if &*upstream.version == "v2" {
            self.course.new_requests += 1;
            self.course.last_new_sent_at = now;
            new_version(&mut self.random, now, route)
        } else {
            self.course.last_old_sent_at = now;
            sound(&mut self.random, now, route)
        };
        let outcome = answer.map_or(
            AttemptOutcome::Failed {
                relative_latency: None,
            },
            |relative_latency| AttemptOutcome::Completed { relative_latency },
        );
        let latency = Duration::from_millis(40).mul_f64(answer.unwrap_or(1.0));
        let ends_at = now + u64::try_from(latency.as_millis()).expect("a short time");
        self.in_flight.push((ends_at, vm, upstream, route, outcome));
    }

    /// Sends a VM's counts to the coordinator; one report in ten is lost.
    fn report(&mut self, now: u64, vm: usize) {
        self.tables[vm].gates_mut().set_store_read(at(now));
        let observations = self.tables[vm].rollout_observations(at(now), |_| SERVICE_ID);
        let is_lost = self.random.random_bool(0.1);
        for observation in observations.into_iter().filter(|_| !is_lost) {
            let arrival = (now + REPORT_DELAY_MS, vm as u64, observation);
            self.observations.push(arrival);
        }
    }

    fn decide(&mut self, now: u64) {
        let order = order(5, "v2");
        let senders: Vec<u64> = (0..VMS as u64).collect();
        let evidence = &self.evidence;
        let (has_target, has_old) = self.tables[0].rollout_sides(SERVICE);
        let situation = Situation {
            has_target,
            has_old,
            is_settled: evidence.is_settled(SERVICE_ID, order.revision, WHOLE, &senders),
        };
        let totals = evidence.totals(SERVICE_ID, order.revision);
        let stored = self.stored.as_ref();
        let rollout = self
            .rollout
            .get_or_insert_with(|| Rollout::new(at(now), order, at(0), stored));
        let decision = rollout.decide(at(now), &Bounds::default(), stored, &totals, situation);
        let Some(Decision { record, .. }) = decision else {
            return;
        };
        if record.phase != Phase::Running {
            self.course.verdict = Some((now, record.phase));
        }
        for vm in 0..VMS {
            let delay = self.random.random_range(0..MAX_STEP_DELAY_MS);
            self.steps.push((now + delay, vm, record.clone()));
        }
        self.stored = Some(record);
    }
}

const fn always(_: u64) -> bool {
    true
}

/// Checks the bounds on what a bad version receives.
fn assert_rolled_back(course: &Course, case: &str) {
    let (_, phase) = course.verdict.expect(case);
    let allowed = 0.1 * f64::from(course.requests) + 50.0;
    let last_allowed = course
        .fiftieth_bad_at
        .map_or(DURATION_MS, |bad_at| bad_at + 5_000);
    assert_eq!(phase, Phase::RolledBack, "{case}: {course:?}");
    assert!(
        f64::from(course.new_requests) <= allowed,
        "{case}: {course:?}"
    );
    assert!(
        course.last_new_sent_at <= last_allowed,
        "{case}: {course:?}"
    );
    assert_eq!(course.unserved, 0, "{case}: {course:?}");
}

/// Guards against good versions that are not completed in time, and against completion while VMs still use old ones.
#[test]
fn a_good_version_is_completed_before_the_end() {
    for (seed, rate) in (0..6).zip([0.5, 0.1, 0.02].into_iter().cycle()) {
        let mut fleet = Fleet::new(seed, &["v1", "v1", "v2", "v2"]);

        let course = fleet.run(rate, sound, always);

        let (completed_at, phase) = course.verdict.expect("a verdict");
        assert_eq!(phase, Phase::Completed, "seed {seed}: {course:?}");
        assert!(
            completed_at <= DURATION_MS * 9 / 10,
            "seed {seed}: {course:?}"
        );
        assert!(
            course.last_old_sent_at <= completed_at,
            "seed {seed}: {course:?}"
        );
        assert_eq!(course.unserved, 0, "seed {seed}: {course:?}");
    }
}

/// Guards against bad versions that get more than their share, or are noticed too late or not at all.
#[test]
fn a_bad_version_is_rolled_back_within_the_bounds() {
    let cases: [(&str, Behaviour); 5] = [
        ("fails", failing),
        ("fails later", failing_later),
        ("fails on one route", failing_on_one_route),
        ("is slow", slow),
        ("is slow at times", slow_at_times),
    ];
    for (case, behaviour) in cases {
        for seed in 0..4 {
            let mut fleet = Fleet::new(seed, &["v1", "v1", "v2", "v2"]);

            let course = fleet.run(0.5, behaviour, always);

            assert_rolled_back(&course, &format!("{case}, seed {seed}"));
        }
    }
}

/// Guards against rollouts that stay in the middle of a step, or start anew, when the coordinator is lost.
#[test]
fn a_new_coordinator_continues() {
    fn is_deciding(now: u64) -> bool {
        !(2_000..4_500).contains(&now) && !(7_500..8_500).contains(&now)
    }
    let mut good = Fleet::new(1, &["v1", "v1", "v2", "v2"]);
    let mut bad = Fleet::new(2, &["v1", "v1", "v2", "v2"]);

    let good = good.run(0.5, sound, is_deciding);
    let bad = bad.run(0.5, failing_later, is_deciding);

    let (completed_at, phase) = good.verdict.expect("a verdict");
    assert_eq!(phase, Phase::Completed, "{good:?}");
    assert!(completed_at < DURATION_MS, "{good:?}");
    assert!(good.last_old_sent_at <= completed_at, "{good:?}");
    assert_rolled_back(&bad, "coordinator lost");
}

/// Guards against an order for a version without upstreams that interrupts the service or has no verdict.
#[test]
fn an_order_without_upstreams_is_rolled_back() {
    let mut fleet = Fleet::new(3, &["v1", "v1"]);

    let course = fleet.run(0.5, sound, always);

    assert_rolled_back(&course, "no upstreams");
    assert_eq!(course.new_requests, 0);
}

/// Guards against a service that ends with the rollback of its only version, however that answers.
#[test]
fn a_service_with_the_new_version_only_is_not_interrupted() {
    for behaviour in [sound, failing] {
        let mut fleet = Fleet::new(4, &["v2", "v2"]);

        let course = fleet.run(0.5, behaviour, always);

        let phase = course.verdict.map(|(_, phase)| phase);
        assert_eq!((phase, course.unserved), (Some(Phase::Completed), 0));
    }
}

/// Guards against a second order under which a version without a verdict gets a usual share of the requests.
#[test]
fn a_second_order_bars_the_version_of_the_first() {
    let first = running(20);
    let situation = Situation {
        has_target: true,
        has_old: true,
        is_settled: false,
    };
    let bounds = Bounds::default();
    let mut older = Rollout::new(at(0), order(5, "v2"), at(0), Some(&first));
    let mut newer = Rollout::new(at(0), order(9, "v3"), at(0), Some(&first));

    let decision = newer.decide(at(0), &bounds, Some(&first), &[], situation);
    let second = decision.expect("a step").record;
    let late = older.decide(at(10), &bounds, Some(&second), &[], situation);

    assert_eq!((second.order, &*second.target), (9, "v3"));
    assert_eq!(second.barred, [Arc::from("v2")]);
    assert_eq!(late, None);
}

/// Guards against VMs that send to a new version although they would not hear that it was rolled back.
#[test]
fn a_vm_that_does_not_read_the_store_stops() {
    let mut fleet = Fleet::new(5, &["v1", "v2"]);
    let record = running(500);
    let table = &mut fleet.tables[0];
    table.gates_mut().set_store_read(at(0));
    table.gates_mut().set_record(SERVICE, record);
    let mut count_new = |from: u64| {
        let versions = (from..from + 100).filter_map(|now| {
            match table.select(at(now), SERVICE, &[], || 0.0) {
                Selection::Selected(upstream) => Some(upstream.version),
                _ => None,
            }
        });
        versions.filter(|version| &**version == "v2").count()
    };

    let (fresh, stale) = (count_new(0), count_new(3_100));

    assert!(fresh >= 45, "{fresh}");
    assert_eq!(stale, 0);
}

/// Guards against VMs that wait for the coordinator while they see a version fail themselves.
#[test]
fn a_vm_stops_by_its_own_responses() {
    let mut fleet = Fleet::new(6, &["v1", "v2"]);
    let record = running(80);
    let table = &mut fleet.tables[0];
    table.gates_mut().set_store_read(at(0));
    table.gates_mut().set_record(SERVICE, record);
    let (old, new) = (upstream("u0", "v1"), upstream("u1", "v2"));
    let answered = AttemptOutcome::Completed {
        relative_latency: 1.0,
    };
    let failed = AttemptOutcome::Failed {
        relative_latency: None,
    };
    let share_before = table.gates().share(at(0), SERVICE);

    let usual = (0..100).filter_map(|_| table.record_version_outcome(at(0), &old, 1, answered));
    let usual = usual.count();
    let faults = (0..10).filter_map(|_| table.record_version_outcome(at(0), &new, 1, failed));
    let faults = faults.count();

    assert_eq!((share_before, usual, faults), (Some(80), 0, 1));
    assert_eq!(table.gates().share(at(0), SERVICE), Some(0));
}

/// Guards against changes without an order, apart from versions that were rolled back.
#[test]
fn without_an_order_only_versions_that_were_rolled_back_get_nothing() {
    let mut table = UpstreamTable::default();
    table.set_vms(at(0), 1, 0);
    for (name, version) in [("u0", ""), ("u1", "v1"), ("u2", "v2")] {
        table.upsert(at(0), upstream(name, version), 11.0);
    }

    let plan_before = table.gates().plan(at(0), SERVICE, false);
    let withdrawn = withdraw(&running(20)).expect("there was no verdict");
    table.gates_mut().set_record(SERVICE, withdrawn);
    let plan_after = table.gates().plan(at(0), SERVICE, false);
    let accepts: Vec<bool> = [("u0", ""), ("u1", "v1"), ("u2", "v2")]
        .map(|(name, version)| table.accepts_requests(&upstream(name, version)))
        .into();

    assert_eq!((plan_before, plan_after), (None, None));
    assert_eq!(accepts, [true, true, false]);
    assert_eq!(table.gates().side(SERVICE, "v2"), None::<Side>);
}

/// Guards against a limited share that is spread over all new upstreams, so that faults under load don't show.
#[test]
fn the_limited_share_goes_to_a_few_upstreams_at_a_time() {
    let mut table = UpstreamTable::default();
    table.set_vms(at(0), 1, 0);
    for number in 0..10 {
        table.upsert(at(0), upstream(&format!("a{number}"), "v1"), 11.0);
        table.upsert(at(0), upstream(&format!("b{number}"), "v2"), 11.0);
    }
    table.set_rollout_order(at(0), SERVICE, Some(order(5, "v2")));
    let record = running(100);
    table.gates_mut().set_record(SERVICE, record);
    let mut random = StdRng::seed_from_u64(7);
    let mut used_in = |from: u64| {
        table.gates_mut().set_store_read(at(from));
        let mut names = Vec::new();
        for now in from..from + 1_000 {
            let noise = random.random();
            let selection = table.select(at(now), SERVICE, &[], || noise);
            let Selection::Selected(upstream) = selection else {
                panic!("{selection:?}");
            };
            let outcome = AttemptOutcome::Completed {
                relative_latency: 1.0,
            };
            table.record_outcome(at(now), &upstream.name, 1, outcome, None);
            if &*upstream.version == "v2" {
                names.push(upstream.name);
            }
        }
        let requests = names.len();
        names.sort_unstable();
        names.dedup();
        (requests, names)
    };

    let (requests, first) = used_in(0);
    let (_, second) = used_in(2_000);

    assert!((95..=125).contains(&requests), "{requests}");
    assert_eq!((first.len(), second.len()), (2, 2));
    assert_ne!(first, second);
}

/// Returns counts of 40 routes with these responses of the old versions on each, and these of the new one on the last.
fn counts(old: Counts, new: Counts) -> Vec<RouteCounts> {
    let routes = 1..=40;
    let counts = routes.map(|route| RouteCounts {
        route,
        old,
        new: if route == 40 { new } else { Counts::default() },
    });
    counts.collect()
}

/// Guards against sound versions that are rolled back because a few requests of a route took much work or failed.
#[test]
fn a_few_uneven_responses_on_one_of_many_routes_are_no_doubt() {
    let old = Counts {
        requests: 150,
        failures: 3,
        timed: 147,
        slow: 4,
        latency_percent: 147 * 66,
    };
    let uneven = Counts {
        requests: 15,
        failures: 1,
        timed: 14,
        slow: 2,
        latency_percent: 12 * 50 + 2 * 600,
    };
    let slow = Counts {
        requests: 60,
        failures: 1,
        timed: 60,
        slow: 2,
        latency_percent: 60 * 200,
    };

    let (uneven, slow) = (counts(old, uneven), counts(old, slow));

    assert_eq!(assess(&uneven, &uneven), Assessment::Sound);
    assert!(matches!(assess(&slow, &slow), Assessment::Faulty(_)));
}
