//! Tests the expected work of requests, the outstanding work at upstreams, and routing by them.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    AttemptOutcome, CostModel, RequestKind, RequestWork, Selection, UpstreamInstance,
    UpstreamTable, observed_work_s, slot_wait_s,
};
use kumquat_state::clock::Instant;
use kumquat_state::hash;

const SERVICE: &str = "bench";
const ROUTE: &str = "route";
const SLOTS: u32 = 2;

fn service() -> Arc<str> {
    Arc::from(SERVICE)
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn name(index: usize) -> String {
    format!("u{index}")
}

/// Returns the table of one of `vms` VMs with this many upstreams.
fn table(vms: usize, upstreams: usize) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_vms(at(0), vms, 0);
    for index in 0..upstreams {
        let upstream = UpstreamInstance {
            name: Arc::from(name(index)),
            incarnation: 1,
            service: service(),
            data_centre: Arc::from("dc-a"),
            address: "127.0.0.1:1".parse().expect("an address"),
            slots: SLOTS,
            is_draining: false,
            warmup_remaining: Duration::ZERO,
        };
        table.upsert(at(0), upstream, f64::INFINITY);
    }
    table
}

fn select(table: &mut UpstreamTable, now: Instant, id: u64, work_s: f64) -> Option<String> {
    let work = Some(RequestWork { id, work_s });
    match table.select_with_work(now, SERVICE, &[], work, || 0.0) {
        Selection::Selected(upstream) => Some(upstream.name.to_string()),
        Selection::Busy | Selection::NoneEligible | Selection::OverLimit { .. } => None,
    }
}

/// Returns a model with this many samples of each path and its work.
fn model(samples: usize, works: &[(&str, f64)]) -> CostModel {
    let mut model = CostModel::default();
    for _ in 0..samples {
        for (path, work_s) in works {
            model.record(&service(), RequestKind::new(ROUTE, path, 0), *work_s);
        }
    }
    model
}

fn cost_s(model: &CostModel, path: &str, body_bytes: usize) -> f64 {
    let kind = RequestKind::new(ROUTE, path, body_bytes);
    model.cost(kind, 7.0).work_s
}

/// Guards against estimates that mix kinds of requests, and against kinds without samples that get a useless estimate.
#[test]
fn a_kind_without_samples_has_the_estimate_of_the_next_broader_kind() {
    let mut model = model(20, &[("cheap", 0.01), ("expensive", 1.0)]);
    for _ in 0..10 {
        model.record(&service(), RequestKind::new(ROUTE, "cheap", 5_000), 0.3);
    }

    let known = [cost_s(&model, "cheap", 0), cost_s(&model, "expensive", 0)];
    let by_length = [cost_s(&model, "other", 0), cost_s(&model, "other", 6_000)];
    let by_route = cost_s(&model, "other", 100);
    let unknown = CostModel::default().cost(RequestKind::new(ROUTE, "cheap", 0), 7.0);

    assert!(
        (known[0] - 0.01).abs() < 1e-6 && (known[1] - 1.0).abs() < 1e-6,
        "{known:?}"
    );
    assert!((0.4..0.6).contains(&by_length[0]), "{by_length:?}");
    assert!((by_length[1] - 0.3).abs() < 1e-6, "{by_length:?}");
    assert!((0.3..0.6).contains(&by_route), "{by_route}");
    assert!((unknown.work_s - 7.0).abs() < 1e-6, "{unknown:?}");
}

/// Guards against a wrong estimate that stays; the half-life is 50 samples.
#[test]
fn an_estimate_has_a_half_life_of_fifty_samples() {
    let mut model = model(1_000, &[("a", 1.0)]);

    for _ in 0..50 {
        model.record(&service(), RequestKind::new(ROUTE, "a", 0), 0.0);
    }

    let estimate = cost_s(&model, "a", 0);
    assert!((0.49..0.51).contains(&estimate), "{estimate}");
}

/// Guards against paths with an id that push the recurring ones out of the bounded list.
#[test]
fn paths_that_occur_once_displace_no_recurring_path() {
    let mut model = model(20, &[("cheap", 0.01), ("expensive", 1.0)]);

    for number in 0..20_000 {
        let path = format!("orders/{number}");
        model.record(&service(), RequestKind::new(ROUTE, &path, 0), 0.2);
    }

    let estimates = [cost_s(&model, "cheap", 0), cost_s(&model, "expensive", 0)];
    assert!((estimates[0] - 0.01).abs() < 1e-6, "{estimates:?}");
    assert!((estimates[1] - 1.0).abs() < 1e-6, "{estimates:?}");
}

/// Guards against a list of paths that grows without bound, or that drops paths in use instead of unused ones.
#[test]
fn the_least_recently_used_paths_are_evicted() {
    let mut model = model(20, &[("unused", 1.0)]);

    for number in 0..6_000 {
        for path in [format!("recurring/{number}"), "used".to_owned()] {
            for _ in 0..2 {
                model.record(&service(), RequestKind::new(ROUTE, &path, 0), 0.01);
            }
        }
    }

    let estimates = [cost_s(&model, "unused", 0), cost_s(&model, "used", 0)];
    model.record(&service(), RequestKind::new(ROUTE, "used", 0), 1.0);
    let used = cost_s(&model, "used", 0);
    assert!(estimates[0] < 0.02, "{estimates:?}");
    assert!((0.02..0.03).contains(&used), "{used}");
}

/// Guards against a service of equal requests that is routed by noisy estimates, and one of unequal requests that is not
/// routed by cost.
#[test]
fn only_work_that_varies_enables_the_automatic_mode_and_only_with_enough_samples() {
    let equal = model(150, &[("a", 0.05), ("b", 0.06)]);
    let few = model(99, &[("a", 0.01), ("b", 1.0)]);
    let unequal = model(100, &[("a", 0.01), ("b", 1.0)]);

    let varied = [&equal, &few, &unequal].map(|model| model.is_varied(SERVICE));

    assert_eq!(varied, [false, false, true]);
}

/// Guards against time in the upstream's queue or on a slow upstream that counts as work of the request.
#[test]
fn queue_time_and_slowness_are_not_work() {
    let works = [
        observed_work_s(0.3, 0.2, 1.0),
        observed_work_s(0.3, 0.0, 3.0),
        observed_work_s(0.3, 9.0, 1.0),
    ];

    let expected = [0.1, 0.1, 0.03];
    for (work, expected) in works.iter().zip(expected) {
        assert!((work - expected).abs() < 1e-9, "{works:?}");
    }
}

/// Guards against a wait that is the sum of all work, although slots free up one by one.
#[test]
fn the_wait_for_a_slot_ends_with_the_first_request_that_leaves_one_free() {
    let waits = [
        slot_wait_s(2, &[5.0]),
        slot_wait_s(2, &[5.0, 0.05]),
        slot_wait_s(2, &[5.0, 0.05, 0.1]),
        slot_wait_s(1, &[5.0, 0.05]),
    ];

    let expected = [0.0, 0.05, 0.15, 5.05];
    for (wait, expected) in waits.iter().zip(expected) {
        assert!((wait - expected).abs() < 1e-9, "{waits:?}");
    }
}

/// Guards against an upstream with few long requests that is preferred to one with as many short ones, whether they are
/// this VM's own or a peer's.
#[test]
fn an_upstream_with_less_outstanding_work_is_selected() {
    for is_of_peer in [false, true] {
        let mut table = table(2, 2);
        table.set_mean_work(&service(), Some(0.05));
        let ids = [0, 1].map(|index| table.upstream_id(&name(index)).expect("an upstream"));
        if is_of_peer {
            table.record_peer_report(at(0), 7, &[(ids[0], 2), (ids[1], 2)]);
            table.record_peer_work(7, &[(ids[0], 10_000), (ids[1], 100)]);
        } else {
            for (id, work_s) in [(1, 5.0), (2, 0.05), (3, 0.05), (4, 5.0)] {
                let tried = if matches!(id, 1 | 4) {
                    name(1)
                } else {
                    name(0)
                };
                let work = Some(RequestWork { id, work_s });
                let tried = [Arc::from(tried)];
                let selection = table.select_with_work(at(0), SERVICE, &tried, work, || 0.0);
                assert!(matches!(selection, Selection::Selected(_)));
            }
        }

        let selected = select(&mut table, at(1), 9, 0.05);

        assert_eq!(selected, Some(name(1)), "of a peer: {is_of_peer}");
    }
}

/// Guards against a request that runs longer than expected and is taken for one that is about to end.
#[test]
fn the_remaining_work_of_an_overdue_request_grows_with_its_age() {
    let mut table = table(1, 1);
    table.set_mean_work(&service(), Some(0.1));
    select(&mut table, at(0), 1, 0.1);

    let work = [0, 50, 200, 2_000].map(|millis| table.own_work_ms(at(millis), 9)[0].1);
    let finished = table.finish_work("u0", 1, 1);

    assert_eq!(work, [100, 50, 100, 1_000]);
    assert!(finished.is_some() && table.finish_work("u0", 1, 1).is_none());
}

/// Guards against decisions by work for a service that is routed by count, and against work of a silent peer that lasts.
#[test]
fn counts_decide_without_the_part_and_work_of_silent_peers_expires() {
    let mut by_count = table(2, 2);
    let mut by_work = table(2, 2);
    by_work.set_mean_work(&service(), Some(0.05));
    let ids = [0, 1].map(|index| by_work.upstream_id(&name(index)).expect("an upstream"));
    for table in [&mut by_count, &mut by_work] {
        table.record_peer_report(at(0), 7, &[(ids[0], 2), (ids[1], 3)]);
        table.record_peer_work(7, &[(ids[0], 10_000), (ids[1], 150)]);
    }

    let selected = [&mut by_count, &mut by_work].map(|table| select(table, at(1), 9, 0.05));
    let waits = [&by_count, &by_work].map(|table| table.slot_wait(at(1), "u0"));
    let after_expiry = {
        by_work.select_with_work(at(1_001), SERVICE, &[Arc::from("u1")], None, || 0.0);
        by_work.slot_wait(at(1_001), "u0")
    };

    assert_eq!(selected, [Some(name(0)), Some(name(1))]);
    assert_eq!(waits, [None, Some(Duration::from_secs(5))]);
    assert_eq!(after_expiry, Some(Duration::ZERO));
}

/// A request at an upstream or waiting for one.
#[derive(Clone, Copy)]
struct Job {
    id: u64,
    arrived: u64,
    sent: u64,
    work_us: u64,
    kind: RequestKind,
}

/// Returns numbers from 0 to 1 that depend on the seed only.
fn random_numbers(seed: String) -> impl FnMut() -> f64 {
    let mut draws = 0_u64;
    move || {
        draws += 1;
        let hash = hash::key(format!("{seed}/{draws}").as_bytes());
        f64::from(u32::try_from(hash >> 32).expect("32 bits")) / f64::from(u32::MAX)
    }
}

/// Returns the sorted latencies in microseconds of requests of which one in five takes ten times as long as the others,
/// with 70 % of the capacity of four upstreams in use.
fn latencies_us(seed: u64, by_work: bool) -> Vec<u64> {
    // The arrivals don't depend on how the requests are routed.
    let mut random = random_numbers(format!("arrivals/{seed}"));
    let mut noise = random_numbers(format!("noise/{seed}"));
    let mut table = table(1, 4);
    let mut model = CostModel::default();
    let mut mean_latency_s = 0.1;
    let mut running: Vec<(u64, usize, Job)> = Vec::new();
    let mut queues: Vec<VecDeque<Job>> = vec![VecDeque::new(); 4];
    let mut waiting: VecDeque<Job> = VecDeque::new();
    let mut latencies = Vec::new();
    let mut next_arrival = 0;
    let mut id = 0;
    while latencies.len() < 20_000 {
        running.sort_unstable_by_key(|(end, _, job)| (*end, job.id));
        let next_end = running.first().map_or(u64::MAX, |first| first.0);
        let now = next_end.min(next_arrival);
        if now == next_arrival {
            let is_expensive = random() < 0.2;
            let (path, mean_us) = if is_expensive {
                ("report", 2e5)
            } else {
                ("list", 2e4)
            };
            id += 1;
            waiting.push_back(Job {
                id,
                arrived: now,
                sent: 0,
                work_us: micros(mean_us * (0.5 + random())),
                kind: RequestKind::new(ROUTE, path, 0),
            });
            // The mean work is 56 ms, and there are eight slots.
            next_arrival += micros(-random().max(1e-9).ln() * 56_000.0 / 8.0 / 0.7);
        } else {
            let (_, index, job) = running.remove(0);
            let latency_s = seconds(now - job.sent);
            let mut usual_s = mean_latency_s;
            if by_work && let Some(route_mean_s) = model.route_mean_s(job.kind) {
                usual_s *= model.cost(job.kind, route_mean_s).work_s / route_mean_s;
            }
            mean_latency_s += 0.05 * (latency_s - mean_latency_s);
            let completed = AttemptOutcome::Completed {
                relative_latency: latency_s / usual_s,
            };
            table.record_outcome(instant(now), &name(index), 1, completed, None);
            if let Some(finished) = table.finish_work(&name(index), 1, job.id) {
                let work_s = observed_work_s(latency_s, finished.queue_s, finished.latency_factor);
                model.record(&service(), job.kind, work_s);
            }
            latencies.push(now - job.arrived);
            if let Some(next) = queues[index].pop_front() {
                running.push((now + next.work_us, index, next));
            }
        }
        table.set_mean_work(
            &service(),
            model.service_mean_s(SERVICE).filter(|_| by_work),
        );
        while let Some(mut job) = waiting.pop_front() {
            let work_s = model.cost(job.kind, 0.1).work_s;
            let work = Some(RequestWork { id: job.id, work_s });
            let draw = noise();
            let selection = table.select_with_work(instant(now), SERVICE, &[], work, || draw);
            let Selection::Selected(upstream) = selection else {
                waiting.push_front(job);
                break;
            };
            job.sent = now;
            let index = (0..4).find(|index| name(*index) == *upstream.name);
            let index = index.expect("an upstream");
            if running.iter().filter(|entry| entry.1 == index).count() < 2 {
                running.push((now + job.work_us, index, job));
            } else {
                queues[index].push_back(job);
            }
        }
    }
    latencies.sort_unstable();
    latencies
}

fn instant(micros: u64) -> Instant {
    Instant::from_micros(at(0).as_micros() + micros)
}

fn seconds(micros: u64) -> f64 {
    Duration::from_micros(micros).as_secs_f64()
}

fn micros(value: f64) -> u64 {
    u64::try_from(Duration::from_secs_f64(value / 1e6).as_micros()).expect("a short time")
}

/// Guards against routing by cost that makes cheap requests wait for expensive ones as much as routing by count does.
#[test]
fn routing_by_work_lowers_the_mean_and_the_highest_latencies() {
    for seed in [1, 2, 3, 4, 5] {
        let [by_count, by_work] = [false, true].map(|by_work| {
            let latencies = latencies_us(seed, by_work);
            let count = u64::try_from(latencies.len()).expect("a small number");
            let mean = latencies.iter().sum::<u64>() / count;
            (mean, latencies[latencies.len() * 99 / 100])
        });

        println!(
            "seed {seed}: mean and 99th percentile in us, by count {by_count:?}, by work {by_work:?}"
        );
        assert!(
            by_work.0 < by_count.0,
            "seed {seed}: {by_count:?}, {by_work:?}"
        );
        assert!(
            by_work.1 < by_count.1,
            "seed {seed}: {by_count:?}, {by_work:?}"
        );
    }
}
