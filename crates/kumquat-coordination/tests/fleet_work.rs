//! Tests the expected work of requests, the outstanding work at upstreams, and routing by them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    AttemptOutcome, CostModel, RequestKind, RequestWork, Selection, UpstreamInstance,
    UpstreamTable, observed_work_s, slot_wait_s,
};
use kumquat_state::{clock::Instant, hash};

const SERVICE: &str = "bench";
const COMPLETED: AttemptOutcome = AttemptOutcome::Completed {
    relative_latency: 1.0,
};

fn service() -> Arc<str> {
    Arc::from(SERVICE)
}

fn at(micros: u64) -> Instant {
    Instant::from_micros(100_000_000 + micros)
}

/// Returns the table of one of two VMs with four upstreams of two slots, by work if a mean is given.
fn table(mean_s: Option<f64>) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_vms(at(0), 2, 0);
    for index in 0..4 {
        let upstream = UpstreamInstance {
            name: Arc::from(format!("{index}")),
            incarnation: 1,
            version: Arc::from(""),
            service: service(),
            data_centre: Arc::from("dc-a"),
            address: "127.0.0.1:1".parse().expect("an address"),
            slots: 2,
            is_draining: false,
            warmup_remaining: Duration::ZERO,
        };
        table.upsert(at(0), upstream, f64::INFINITY);
    }
    table.set_mean_work(&service(), mean_s);
    table
}

/// Returns the number of the upstream that is selected for a request with this id and work.
fn select(
    table: &mut UpstreamTable,
    micros: u64,
    work: Option<(u64, f64)>,
    noise: f64,
) -> Option<usize> {
    let work = work.map(|(id, work_s)| RequestWork { id, work_s });
    match table.select_with_work(at(micros), SERVICE, &[], work, || noise) {
        Selection::Selected(upstream) => upstream.name.parse().ok(),
        Selection::Busy | Selection::NoneEligible | Selection::OverLimit { .. } => None,
    }
}

fn record(model: &mut CostModel, samples: usize, path: &str, body_bytes: usize, work_s: f64) {
    let kind = RequestKind::new("route", path, body_bytes);
    for _ in 0..samples {
        model.record(&service(), kind, work_s);
    }
}

fn cost_s(model: &CostModel, path: &str, body_bytes: usize) -> f64 {
    let kind = RequestKind::new("route", path, body_bytes);
    model.cost(kind, 7.0).work_s
}

fn assert_close(values: &[f64], expected: &[f64]) {
    let pairs = values.iter().zip(expected);
    let is_close = pairs.fold(true, |all, (a, b)| all && (a - b).abs() < 0.005);
    assert!(is_close, "{values:?}, expected {expected:?}");
}

/// Guards against estimates that mix kinds of requests, and kinds without samples that get a useless estimate.
#[test]
fn a_kind_without_samples_has_the_estimate_of_the_next_broader_kind() {
    let mut model = CostModel::default();
    let unknown = cost_s(&model, "cheap", 0);
    record(&mut model, 9, "cheap", 0, 0.01);
    record(&mut model, 9, "expensive", 0, 1.0);
    record(&mut model, 18, "cheap", 5_000, 0.3);

    let known = [("cheap", 0), ("expensive", 0), ("other", 6_000)];
    let known = known.map(|(path, body_bytes)| cost_s(&model, path, body_bytes));
    let by_route = cost_s(&model, "other", 100);

    assert_close(&[unknown], &[7.0]);
    assert_close(&known, &[0.01, 1.0, 0.3]);
    assert!((0.3..0.5).contains(&by_route), "{by_route}");
}

/// Guards against a wrong estimate that stays; the half-life is 50 samples.
#[test]
fn an_estimate_has_a_half_life_of_fifty_samples() {
    let mut model = CostModel::default();
    record(&mut model, 1_000, "a", 0, 1.0);

    record(&mut model, 50, "a", 0, 0.0);

    assert_close(&[cost_s(&model, "a", 0)], &[0.5]);
}

/// Guards against a list of paths that grows without bound, and one from which paths in use are evicted.
#[test]
fn new_paths_displace_only_the_least_recently_used_ones() {
    let mut model = CostModel::default();
    record(&mut model, 20, "used", 0, 1.0);
    record(&mut model, 20, "unused", 0, 1.0);

    for number in 0..6_000 {
        record(&mut model, 1, &format!("once/{number}"), 0, 0.01);
    }
    let after_single = cost_s(&model, "unused", 0);
    for number in 0..6_000 {
        record(&mut model, 2, &format!("recurring/{number}"), 0, 0.01);
        record(&mut model, 1, "used", 0, 1.0);
    }
    record(&mut model, 400, "other", 0, 0.01);

    let after_recurring = [cost_s(&model, "used", 0), cost_s(&model, "unused", 0)];
    assert_close(&[after_single], &[1.0]);
    assert_close(&after_recurring[..1], &[1.0]);
    assert!(after_recurring[1] < 0.1, "{after_recurring:?}");
}

/// Guards against a service of equal requests, or one with few samples, that is routed by noisy estimates.
#[test]
fn only_work_that_varies_in_enough_samples_enables_the_automatic_mode() {
    let varied = [(100, 0.05), (99, 1.0), (100, 1.0)].map(|(samples, other_s)| {
        let mut model = CostModel::default();
        for _ in 0..samples {
            record(&mut model, 1, "a", 0, 0.04);
            record(&mut model, 1, "b", 0, other_s);
        }
        model.is_varied(SERVICE)
    });

    assert_eq!(varied, [false, false, true]);
}

/// Guards against time in a queue or on a slow upstream that counts as work, and against a wait that is the sum of all
/// work although slots become free one by one.
#[test]
fn work_excludes_the_queue_and_the_wait_ends_with_the_first_free_slot() {
    let latencies = [(0.3, 0.2, 1.0), (0.3, 0.0, 3.0), (0.3, 9.0, 1.0)];
    let works = latencies.map(|(latency_s, queue_s, speed_factor)| {
        observed_work_s(latency_s, queue_s, speed_factor)
    });
    let waits = [
        slot_wait_s(2, &[5.0]),
        slot_wait_s(2, &[5.0, 0.05]),
        slot_wait_s(2, &[5.0, 0.05, 0.1]),
        slot_wait_s(1, &[5.0, 0.05]),
    ];

    assert_close(&works, &[0.1, 0.1, 0.03]);
    assert_close(&waits, &[0.0, 0.05, 0.15, 5.05]);
}

/// Guards against a request that runs longer than expected and is taken for one that is about to end.
#[test]
fn the_remaining_work_of_an_overdue_request_grows_with_its_age() {
    let mut table = table(Some(0.1));
    select(&mut table, 0, Some((1, 0.1)), 0.0);

    let work = [0, 50, 200, 2_000].map(|millis| table.own_work_ms(at(millis * 1_000), 9)[0].1);
    let finished = [0, 0].map(|_| table.finish_work("0", 1, 1).is_some());

    assert_eq!((work, finished), ([100, 50, 100, 1_000], [true, false]));
}

/// Guards against work of silent peers that lasts, and against a report whose count makes a VM use all its memory.
#[test]
fn work_of_silent_peers_expires_and_huge_counts_are_bounded() {
    let mut table = table(Some(0.05));
    let id = table.upstream_id("0").expect("an upstream");
    table.record_peer_report(at(0), 7, &[(id, 2)]);
    table.record_peer_work(7, &[(id, 10_000)]);
    let reported = table.slot_wait(at(1), "0");

    select(&mut table, 1_000_001, None, 0.9);
    let expired = table.slot_wait(at(1_000_001), "0");
    table.record_peer_report(at(1_000_001), 7, &[(id, u32::MAX)]);
    let bounded = table.slot_wait(at(1_000_001), "0");

    let expected = [Some(Duration::from_secs(5)), Some(Duration::ZERO)];
    assert_eq!([reported, expired], expected);
    assert!(bounded > Some(Duration::ZERO));
}

/// Returns a number from 0 to 1 that depends on the arguments only.
fn random(seed: u64, draw: u64) -> f64 {
    let hash = hash::key(format!("{seed}/{draw}").as_bytes());
    f64::from(u32::try_from(hash >> 32).unwrap_or(0)) / f64::from(u32::MAX)
}

/// Guards against any effect of known work on a service that is routed by count.
#[test]
fn work_has_no_effect_on_a_service_that_is_routed_by_count() {
    let (mut without, mut with) = (table(None), table(None));
    let ids = [0, 1, 2, 3].map(|index| with.upstream_id(&index.to_string()).expect("its id"));
    let mut running = VecDeque::new();
    for step in 0..2_000 {
        let draw = random(1, step);
        let counts = ids.map(|id| (id, u32::from(draw < 0.5)));
        let now = step * 10_000;
        without.record_peer_report(at(now), 7, &counts);
        with.record_peer_report(at(now), 7, &counts);
        with.record_peer_work(7, &ids.map(|id| (id, id % 60_000)));

        let selected = select(&mut without, now, None, draw);
        let selected_with_work = select(&mut with, now, Some((step, draw * 9.0)), draw);

        assert_eq!(selected, selected_with_work, "step {step}");
        running.extend(selected.map(|index| (step, index.to_string())));
        if draw < 0.3 || running.len() > 6 {
            let (id, name) = running.pop_front().expect("a request");
            without.record_outcome(at(now), &name, 1, COMPLETED, None);
            with.record_outcome(at(now), &name, 1, COMPLETED, None);
            assert!(with.finish_work(&name, 1, id).is_some());
        }
    }
}

/// A request of the simulation, with times in microseconds.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Job {
    id: u64,
    arrived: u64,
    sent: u64,
    duration: u64,
    is_expensive: bool,
}

impl Job {
    fn kind(self) -> RequestKind {
        let path = if self.is_expensive { "report" } else { "list" };
        RequestKind::new("route", path, 0)
    }
}

/// Returns the mean and the 99th percentile of the latencies in microseconds of 20,000 requests, of which one in five
/// takes ten times as long as the others, with 70 % of the capacity of four upstreams in use.
fn simulate(seed: u64, by_work: bool) -> (u64, u64) {
    let mut table = table(None);
    let mut model = CostModel::default();
    let mut mean_latency_s = 0.1;
    let mut running: Vec<(u64, usize, Job)> = Vec::new();
    let mut queues: Vec<VecDeque<Job>> = vec![VecDeque::new(); 4];
    let mut waiting: VecDeque<Job> = VecDeque::new();
    let mut latencies = Vec::new();
    let (mut next_arrival, mut id) = (0, 0);
    while latencies.len() < 20_000 {
        running.sort_unstable();
        let next_end = running.first().map_or(u64::MAX, |first| first.0);
        let now = next_end.min(next_arrival);
        if now == next_arrival {
            id += 1;
            // The arrivals don't depend on how the requests are routed.
            let draws = [0, 1, 2].map(|draw| random(seed, id * 4 + draw));
            let is_expensive = draws[0] < 0.2;
            let mean_us = if is_expensive { 200_000.0 } else { 20_000.0 };
            waiting.push_back(Job {
                id,
                arrived: now,
                sent: 0,
                duration: micros(mean_us * (0.5 + draws[1])),
                is_expensive,
            });
            // The mean work is 56 ms, and there are eight slots.
            next_arrival += micros(-draws[2].max(1e-9).ln() * 56_000.0 / 8.0 / 0.7);
        } else {
            let (_, index, job) = running.remove(0);
            let name = index.to_string();
            let latency_s = Duration::from_micros(now - job.sent).as_secs_f64();
            // As in the VM, latencies are relative to the route's mean, and by work in proportion to the expected work.
            let route_mean_s = model.route_mean_s(job.kind()).filter(|_| by_work);
            let expected =
                route_mean_s.map_or(1.0, |mean_s| model.cost(job.kind(), mean_s).work_s / mean_s);
            let relative_latency = latency_s / (mean_latency_s * expected);
            mean_latency_s += 0.05 * (latency_s - mean_latency_s);
            let outcome = AttemptOutcome::Completed { relative_latency };
            table.record_outcome(at(now), &name, 1, outcome, None);
            let finished = table.finish_work(&name, 1, job.id).expect("its work");
            let work_s = observed_work_s(latency_s, finished.queue_s, finished.speed_factor);
            model.record(&service(), job.kind(), work_s);
            let mean_s = model.service_mean_s(SERVICE).filter(|_| by_work);
            table.set_mean_work(&service(), mean_s);
            latencies.push(now - job.arrived);
            if let Some(next) = queues[index].pop_front() {
                running.push((now + next.duration, index, next));
            }
        }
        while let Some(mut job) = waiting.pop_front() {
            let work = Some((job.id, model.cost(job.kind(), 0.1).work_s));
            let noise = random(seed, job.id * 4 + 3);
            let Some(index) = select(&mut table, now, work, noise) else {
                waiting.push_front(job);
                break;
            };
            job.sent = now;
            if running.iter().filter(|other| other.1 == index).count() < 2 {
                running.push((now + job.duration, index, job));
            } else {
                queues[index].push_back(job);
            }
        }
    }
    latencies.sort_unstable();
    (latencies.iter().sum::<u64>() / 20_000, latencies[19_800])
}

fn micros(value: f64) -> u64 {
    u64::try_from(Duration::from_secs_f64(value / 1e6).as_micros()).expect("a short time")
}

/// Guards against routing by work that makes cheap requests wait for expensive ones as much as routing by count does.
#[test]
fn routing_by_work_lowers_the_mean_and_the_highest_latencies() {
    for seed in 1..=5 {
        let [by_count, by_work] = [false, true].map(|by_work| simulate(seed, by_work));

        println!(
            "seed {seed}: mean and 99th percentile in us {by_count:?} by count, {by_work:?} by work"
        );
        assert!(
            by_work.0 < by_count.0 && by_work.1 < by_count.1,
            "{by_count:?}, {by_work:?}"
        );
    }
}
