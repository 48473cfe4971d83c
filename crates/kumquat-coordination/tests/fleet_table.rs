//! Guards the choice of upstreams by VMs that share them, and the order of waiting requests.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    AttemptOutcome, QueuedRequest, Selection, UpstreamInstance, UpstreamLoad, UpstreamTable,
    WaitQueue,
};
use kumquat_state::clock::Instant;

const SERVICE: &str = "bench";

fn at(millis: u64) -> Instant {
    Instant::from_millis(100_000 + millis)
}

fn server(name: &str, data_centre: &str) -> UpstreamInstance {
    UpstreamInstance {
        name: Arc::from(name),
        incarnation: 1,
        service: Arc::from(SERVICE),
        data_centre: Arc::from(data_centre),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots: 2,
        is_draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

/// Returns a table of one of `vms` VMs with these upstreams, which bear 11 requests a second while cold.
fn table(vms: usize, servers: &[UpstreamInstance]) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_vms(vms, 0);
    table.set_local_data_centre("dc-a");
    for server in servers {
        table.upsert(at(0), server.clone(), 11.0);
    }
    table
}

fn choose(table: &mut UpstreamTable, now: Instant) -> Option<String> {
    match table.select(now, SERVICE, &[], || 0.0) {
        Selection::Selected(server) => Some(server.name.to_string()),
        Selection::Busy | Selection::NoneEligible => None,
    }
}

fn id(name: &str) -> u32 {
    let table = table(1, &[server(name, "dc-a")]);
    table.upstream_id(name).expect("it is in the table")
}

/// Guards against VMs that all send to the same upstream because each knows only its own requests.
#[test]
fn requests_of_other_vms_count() {
    let mut table = table(2, &[server("one", "dc-a"), server("two", "dc-a")]);
    table.record_peer_report(at(0), 7, &[(id("one"), 3)]);

    let chosen = choose(&mut table, at(1));

    assert_eq!(chosen.as_deref(), Some("two"));
}

/// Guards against an upstream that stays avoided because of a VM that has died.
#[test]
fn reports_of_a_silent_vm_are_forgotten() {
    let mut table = table(2, &[server("one", "dc-a")]);
    table.record_peer_report(at(0), 7, &[(id("one"), 9)]);

    let early = choose(&mut table, at(500));
    let late = choose(&mut table, at(1_100));

    assert_eq!((early, late.as_deref()), (None, Some("one")));
}

/// Guards against more requests in a second than a cold upstream bears, from all VMs together.
#[test]
fn a_cold_upstream_gets_what_it_bears_from_all_vms() {
    let mut cold = server("one", "dc-a");
    cold.warmup_remaining = Duration::from_secs(10);
    for vms in [1, 3, 9, 86] {
        let tables = (0..vms).map(|rank| {
            let mut table = table(vms, &[cold.clone()]);
            table.set_vms(vms, rank);
            table
        });
        let mut tables: Vec<UpstreamTable> = tables.collect();
        let mut sent = Vec::new();

        for step in 0..400 {
            let now = at(step * 10);
            let mut count = 0;
            for table in &mut tables {
                while let Selection::Selected(server) = table.select(now, SERVICE, &[], || 0.0) {
                    let ended = AttemptOutcome::Completed {
                        relative_latency: 1.0,
                    };
                    table.record_outcome(now, &server.name, server.incarnation, ended, None);
                    count += 1;
                }
            }
            sent.push(count);
        }

        // The bound is 11 times 1.5, and 5.
        let most = sent
            .windows(100)
            .map(|second| second.iter().sum::<u32>())
            .max();
        assert!(most <= Some(21), "{vms} VMs: {most:?} in one second");
        assert!(
            sent.iter().sum::<u32>() >= 36,
            "{vms} VMs: {} in all",
            sent.iter().sum::<u32>()
        );
    }
}

/// Guards against upstreams that come back from a closed data centre cold and get full load.
#[test]
fn upstreams_of_a_reopened_data_centre_count_as_cold() {
    let mut table = table(1, &[server("one", "dc-a"), server("two", "dc-b")]);
    let closed: Vec<Arc<str>> = vec![Arc::from("dc-a")];

    table.set_closed_data_centres(at(0), &closed, Duration::from_secs(3));
    let while_closed = choose(&mut table, at(1));
    table.set_closed_data_centres(at(10), &[], Duration::from_secs(3));

    assert_eq!(while_closed.as_deref(), Some("two"));
    assert_eq!(table.warmup_until("one"), at(3_010));
    assert!(table.warmup_until("two") <= at(0));
}

/// Guards against requests to an upstream that drains, or has another life than the owner of the keys.
#[test]
fn upstreams_that_may_not_run_a_request_are_not_chosen() {
    let mut draining = server("one", "dc-a");
    draining.is_draining = true;
    let mut table = table(1, &[draining, server("two", "dc-a")]);

    assert_eq!(choose(&mut table, at(1)).as_deref(), Some("two"));
    assert_eq!(table.select_owner(at(1), "one", 1), Selection::NoneEligible);
    assert_eq!(table.select_owner(at(1), "two", 2), Selection::NoneEligible);
    assert!(matches!(
        table.select_owner(at(1), "two", 1),
        Selection::Selected(_)
    ));
}

/// Guards against an upstream that takes no connections being tried with each request.
#[test]
fn an_unreachable_upstream_is_avoided_and_tried_again() {
    let mut table = table(1, &[server("one", "dc-a")]);
    choose(&mut table, at(0));
    table.record_outcome(at(0), "one", 1, AttemptOutcome::Unreachable, None);

    let early = choose(&mut table, at(100));
    let later = choose(&mut table, at(400));

    assert_eq!((early, later.as_deref()), (None, Some("one")));
}

/// Guards against an upstream that fails fast being preferred because it looks idle, or never being tried again.
#[test]
fn an_upstream_that_fails_requests_is_chosen_less() {
    let mut table = table(1, &[server("grey", "dc-a"), server("sound", "dc-a")]);
    let varied = std::cell::Cell::new(0.0);
    let noise = || {
        varied.set((varied.get() + 0.37) % 1.0);
        varied.get()
    };
    let mut grey = 0;

    for step in 0..1_000 {
        let now = at(step * 20);
        if let Selection::Selected(server) = table.select(now, SERVICE, &[], noise) {
            let is_grey = &*server.name == "grey";
            grey += u32::from(is_grey);
            let ended = if is_grey {
                AttemptOutcome::Shed
            } else {
                AttemptOutcome::Completed {
                    relative_latency: 1.0,
                }
            };
            table.record_outcome(now, &server.name, 1, ended, None);
        }
    }

    assert!(grey < 100, "{grey} of 1,000 went to the failing upstream");
    assert!(grey >= 2, "the failing upstream is never tried again");
}

/// Guards against a straggler that gets as much as the others.
#[test]
fn a_slow_upstream_is_chosen_less() {
    let mut table = table(1, &[server("slow", "dc-a"), server("usual", "dc-a")]);
    let mut slow = 0;

    for step in 0..200 {
        let now = at(step * 20);
        if let Selection::Selected(server) = table.select(now, SERVICE, &[], || 0.0) {
            let is_slow = &*server.name == "slow";
            slow += u32::from(is_slow);
            let relative_latency = if is_slow { 6.0 } else { 1.0 };
            table.record_outcome(
                now,
                &server.name,
                1,
                AttemptOutcome::Completed { relative_latency },
                None,
            );
        }
    }

    assert!(slow < 20, "{slow} of 200 went to the slow upstream");
}

/// Guards against an upstream's own figures being ignored when the VMs' reports are missing.
#[test]
fn a_fresh_load_of_the_upstream_counts() {
    let mut table = table(1, &[server("one", "dc-a"), server("two", "dc-a")]);
    choose(&mut table, at(0));
    let load = UpstreamLoad {
        running: 2,
        waiting: 2,
        slots: 2,
        service_time_factor: 1.0,
    };
    table.record_outcome(
        at(0),
        "one",
        1,
        AttemptOutcome::Completed {
            relative_latency: 1.0,
        },
        Some(load),
    );

    let fresh = choose(&mut table, at(10));

    assert_eq!(fresh.as_deref(), Some("two"));
}

fn entry(id: u64, priority: u32, on_time_deadline: u64, send_deadline: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        service: Arc::from(SERVICE),
        priority,
        on_time_deadline: at(on_time_deadline),
        send_deadline: at(send_deadline),
    }
}

fn ids(entries: &[&QueuedRequest]) -> Vec<u64> {
    entries.iter().map(|entry| entry.id).collect()
}

/// Guards against urgent work behind other work, and against late requests that make all others late.
#[test]
fn urgent_requests_go_first_and_late_ones_last_within_their_rank() {
    let mut waiting = WaitQueue::default();
    waiting.push(entry(1, 2, 500, 900));
    waiting.push(entry(2, 1, 50, 900));
    waiting.push(entry(3, 1, 500, 900));
    waiting.push(entry(4, 0, 10, 900));

    let ordered = ids(&waiting.dispatch_order(at(100)));

    assert_eq!(ordered, [4, 3, 2, 1]);
}

/// Guards against requests that wait until their callers have given up.
#[test]
fn requests_that_are_too_late_leave_the_queue() {
    let mut waiting = WaitQueue::default();
    waiting.push(entry(1, 1, 50, 100));
    waiting.push(entry(2, 1, 50, 300));

    let expired = waiting.remove_expired(at(200));

    assert_eq!(ids(&expired.iter().collect::<Vec<_>>()), [1]);
    assert_eq!(waiting.count_ahead(SERVICE, 1), 1);
    assert_eq!(waiting.count_ahead(SERVICE, 0), 0);
}

/// Guards against VMs of a large fleet that all choose the same upstream by the same old reports.
#[test]
fn large_fleets_spread_their_requests() {
    let servers: Vec<UpstreamInstance> = (0..40)
        .map(|number| server(&format!("u{number}"), "dc-a"))
        .collect();
    let varied = std::cell::Cell::new(0.0);
    let noise = || {
        varied.set((varied.get() + 0.618_034) % 1.0);
        varied.get()
    };
    let mut counts = vec![0; 40];

    // Each VM sends one request before any report has come.
    for rank in 0..86 {
        let mut table = table(86, &servers);
        table.set_vms(86, rank);
        if let Selection::Selected(server) = table.select(at(0), SERVICE, &[], noise) {
            let number: usize = server.name[1..].parse().expect("a number");
            counts[number] += 1;
        }
    }

    let most = counts.iter().max();
    assert!(most <= Some(&8), "{counts:?}");
}

/// Guards against an upstream that sends bytes that are no answer, again and again, and is sent more work each time.
#[test]
fn an_upstream_that_sends_no_answers_again_and_again_is_avoided() {
    let mut table = table(1, &[server("one", "dc-a")]);
    let garble = |table: &mut UpstreamTable, ended| {
        let chosen = choose(table, at(1));
        table.record_outcome(at(1), "one", 1, ended, None);
        chosen.is_some()
    };

    let broken_by_answer = [
        garble(&mut table, AttemptOutcome::MalformedResponse),
        garble(&mut table, AttemptOutcome::MalformedResponse),
        garble(
            &mut table,
            AttemptOutcome::Completed {
                relative_latency: 1.0,
            },
        ),
        garble(&mut table, AttemptOutcome::MalformedResponse),
        garble(&mut table, AttemptOutcome::MalformedResponse),
    ];
    let third = garble(&mut table, AttemptOutcome::MalformedResponse);
    let avoided = choose(&mut table, at(2));
    let later = choose(&mut table, at(400));

    assert_eq!(broken_by_answer, [true; 5]);
    assert!(third);
    assert_eq!(avoided, None);
    assert_eq!(later.as_deref(), Some("one"));
}

/// Guards against requests to an upstream that wants nothing for a time, with keys or without, and against a taint on others.
#[test]
fn an_upstream_that_wants_nothing_is_left_alone_until_then() {
    let mut table = table(1, &[server("one", "dc-a")]);
    table.set_backoff("one", 2, at(900));
    let of_another_life = choose(&mut table, at(0));
    table.set_backoff("one", 1, at(500));
    table.set_backoff("one", 1, at(300));

    let during = choose(&mut table, at(499));
    let keyed = table.select_owner(at(499), "one", 1);
    let left = table.remaining_backoff(at(100), SERVICE);
    let after = choose(&mut table, at(501));

    assert_eq!(of_another_life.as_deref(), Some("one"));
    assert_eq!((during, keyed), (None, Selection::Busy));
    assert_eq!(left, Duration::from_millis(400));
    assert_eq!(after.as_deref(), Some("one"));
}

/// Guards against a refusal at once while another upstream of the service has room.
#[test]
fn one_upstream_without_a_pause_is_enough() {
    let mut table = table(1, &[server("one", "dc-a"), server("two", "dc-a")]);
    table.set_backoff("one", 1, at(500));

    let chosen = choose(&mut table, at(1));

    assert_eq!(table.remaining_backoff(at(1), SERVICE), Duration::ZERO);
    assert_eq!(chosen.as_deref(), Some("two"));
}

/// Guards against new work for an upstream that leaves, and against its next life being shut out.
#[test]
fn an_upstream_that_leaves_gets_nothing_until_its_next_life() {
    let mut table = table(1, &[server("one", "dc-a")]);

    let is_news = table.mark_draining("one", 1);
    let is_news_again = table.mark_draining("one", 1);
    table.upsert(at(1), server("one", "dc-a"), 11.0);
    let gone = table.select(at(1), SERVICE, &[], || 0.0);
    let mut reborn = server("one", "dc-a");
    reborn.incarnation = 2;
    table.upsert(at(2), reborn, 11.0);
    let back = choose(&mut table, at(2));

    assert_eq!((is_news, is_news_again), (true, false));
    assert_eq!(gone, Selection::NoneEligible);
    assert_eq!(back.as_deref(), Some("one"));
}

/// Guards against an upstream that leaves being used again because its entry lapsed and came back.
#[test]
fn an_upstream_that_leaves_stays_unused_when_its_entry_comes_back() {
    let mut table = table(1, &[server("one", "dc-a")]);
    table.mark_draining("one", 1);

    table.remove("one");
    table.upsert(at(1), server("one", "dc-a"), 11.0);
    let back = table.select(at(1), SERVICE, &[], || 0.0);

    assert_eq!(back, Selection::NoneEligible);
}
