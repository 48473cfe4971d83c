//! Tests the selection of upstreams by VMs that share them, and the order of waiting requests.

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

fn upstream(name: &str, data_centre: &str) -> UpstreamInstance {
    UpstreamInstance {
        name: Arc::from(name),
        incarnation: 1,
        service: Arc::from(SERVICE),
        version: Arc::from(""),
        data_centre: Arc::from(data_centre),
        address: "127.0.0.1:1".parse().expect("an address"),
        slots: 2,
        is_draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

/// Returns the table of the first of `vms` VMs with these upstreams, which take 11 requests per second during warm-up.
fn table(vms: usize, upstreams: &[UpstreamInstance]) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_vms(at(0), vms, 0);
    table.set_local_data_centre("dc-a");
    for upstream in upstreams {
        table.upsert(at(0), upstream.clone(), 11.0);
    }
    table
}

fn select(table: &mut UpstreamTable, now: Instant) -> Option<String> {
    match table.select(now, SERVICE, &[], || 0.0) {
        Selection::Selected(upstream) => Some(upstream.name.to_string()),
        Selection::Busy | Selection::NoneEligible | Selection::OverLimit { .. } => None,
    }
}

fn instance_id(name: &str) -> u32 {
    let table = table(1, &[upstream(name, "dc-a")]);
    table.upstream_id(name).expect("it is in the table")
}

/// Guards against VMs that all send to the same upstream because each considers only its own requests.
#[test]
fn in_flight_requests_of_other_vms_affect_selection() {
    let mut table = table(2, &[upstream("one", "dc-a"), upstream("two", "dc-a")]);
    table.record_peer_report(at(0), 7, &[(instance_id("one"), 3)]);

    let selected = select(&mut table, at(1));

    assert_eq!(selected.as_deref(), Some("two"));
}

/// Guards against a sum of reported requests that wraps around, after which a full upstream looks idle.
#[test]
fn reported_requests_beyond_any_number_leave_an_upstream_full() {
    let mut table = table(2, &[upstream("one", "dc-a")]);
    for peer in [7, 8] {
        table.record_peer_report(at(0), peer, &[(instance_id("one"), u32::MAX / 2 + 1)]);
    }

    let selected = select(&mut table, at(1));

    assert_eq!(selected, None);
}

/// Guards against a limit that wraps around for the largest number of slots, or ends the process.
#[test]
fn an_upstream_with_the_largest_number_of_slots_takes_requests() {
    let upstream = UpstreamInstance {
        slots: u32::MAX,
        ..upstream("one", "dc-a")
    };
    let mut table = table(1, &[upstream]);

    let selected: Vec<_> = (0..4).map(|_| select(&mut table, at(1))).collect();

    assert!(selected.iter().all(Option::is_some), "{selected:?}");
}

/// Guards against an upstream that stays excluded because of the last report of a VM that has died.
#[test]
fn reports_of_a_silent_vm_expire() {
    let mut table = table(2, &[upstream("one", "dc-a")]);
    table.record_peer_report(at(0), 7, &[(instance_id("one"), 9)]);

    let early = select(&mut table, at(500));
    let late = select(&mut table, at(1_100));

    assert_eq!((early, late.as_deref()), (None, Some("one")));
}

/// Sends as much as all VMs together may to the first upstream in four seconds; returns the number of requests in all,
/// and the largest number in a second.
fn flood(tables: &mut [UpstreamTable]) -> (u32, u32) {
    let mut sent_per_step = Vec::new();
    for step in 0..400 {
        let now = at(step * 10);
        let mut count = 0;
        for table in &mut *tables {
            while let Selection::Selected(upstream) = table.select(now, SERVICE, &[], || 0.0) {
                let outcome = AttemptOutcome::Completed {
                    relative_latency: 1.0,
                };
                table.record_outcome(now, &upstream.name, upstream.incarnation, outcome, None);
                count += 1;
            }
        }
        sent_per_step.push(count);
    }
    let seconds = sent_per_step.windows(100);
    let max_per_s = seconds.map(|second| second.iter().sum()).max();
    (sent_per_step.iter().sum(), max_per_s.unwrap_or(0))
}

/// Guards against more requests per second to an upstream in warm-up than its limit, added up over all VMs.
#[test]
fn all_vms_together_keep_to_the_warmup_limit() {
    let mut warming = upstream("one", "dc-a");
    warming.warmup_remaining = Duration::from_secs(10);
    for vms in [1, 3, 9, 86] {
        let tables = (0..vms).map(|position| {
            let mut table = table(vms, &[warming.clone()]);
            table.set_vms(at(0), vms, position);
            table
        });
        let mut tables: Vec<UpstreamTable> = tables.collect();

        let (sent, max_per_s) = flood(&mut tables);

        // The bound is the limit of 11 per second times 1.5, plus 5.
        assert!(max_per_s <= 21, "{vms} VMs: {max_per_s} in one second");
        assert!(sent >= 36, "{vms} VMs: {sent} in all");
    }
}

/// Guards against shares of the warm-up limit that are divided by the number of VMs as it was when the upstream
/// registered.
#[test]
fn the_warmup_limit_holds_when_vms_learn_of_each_other_after_the_upstream() {
    let mut warming = upstream("one", "dc-a");
    warming.warmup_remaining = Duration::from_secs(10);
    for vms in [3, 9] {
        let tables = (0..vms).map(|position| {
            let mut table = table(1, &[warming.clone()]);
            table.set_vms(at(0), vms, position);
            table
        });
        let mut tables: Vec<UpstreamTable> = tables.collect();

        let (_, max_per_s) = flood(&mut tables);

        assert!(max_per_s <= 21, "{vms} VMs: {max_per_s} in one second");
    }
}

/// Guards against full load on upstreams right after their data centre reopens, as they had no requests before.
#[test]
fn upstreams_of_a_reopened_data_centre_warm_up_again() {
    let mut table = table(1, &[upstream("one", "dc-a"), upstream("two", "dc-b")]);
    let closed: Vec<Arc<str>> = vec![Arc::from("dc-a")];

    table.set_closed_data_centres(at(0), &closed, Duration::from_secs(3));
    let while_closed = select(&mut table, at(1));
    table.set_closed_data_centres(at(10), &[], Duration::from_secs(3));

    assert_eq!(while_closed.as_deref(), Some("two"));
    assert_eq!(table.warmup_until("one"), at(3_010));
    assert!(table.warmup_until("two") <= at(0));
}

/// Guards against requests to an upstream that drains, or that has another incarnation than the owner of the keys.
#[test]
fn draining_upstreams_and_other_incarnations_are_not_selected() {
    let mut draining = upstream("one", "dc-a");
    draining.is_draining = true;
    let mut table = table(1, &[draining, upstream("two", "dc-a")]);

    assert_eq!(select(&mut table, at(1)).as_deref(), Some("two"));
    assert_eq!(table.select_owner(at(1), "one", 1), Selection::NoneEligible);
    assert_eq!(table.select_owner(at(1), "two", 2), Selection::NoneEligible);
    assert!(matches!(
        table.select_owner(at(1), "two", 1),
        Selection::Selected(_)
    ));
}

/// Guards against a connection attempt with each request to an upstream that accepts no connections.
#[test]
fn an_unreachable_upstream_is_ejected_and_retried() {
    let mut table = table(1, &[upstream("one", "dc-a")]);
    select(&mut table, at(0));
    table.record_outcome(at(0), "one", 1, AttemptOutcome::Unreachable, None);

    let early = select(&mut table, at(100));
    let later = select(&mut table, at(400));

    assert_eq!((early, later.as_deref()), (None, Some("one")));
}

/// Guards against an upstream that fails fast being preferred because it looks idle, and against it never being
/// retried.
#[test]
fn a_failing_upstream_is_selected_rarely_but_retried() {
    let mut table = table(1, &[upstream("grey", "dc-a"), upstream("sound", "dc-a")]);
    let noise_state = std::cell::Cell::new(0.0);
    let noise = || {
        noise_state.set((noise_state.get() + 0.37) % 1.0);
        noise_state.get()
    };
    let mut failing_count = 0;

    for step in 0..1_000 {
        let now = at(step * 20);
        if let Selection::Selected(upstream) = table.select(now, SERVICE, &[], noise) {
            let is_failing = &*upstream.name == "grey";
            failing_count += u32::from(is_failing);
            let outcome = if is_failing {
                AttemptOutcome::Shed
            } else {
                AttemptOutcome::Completed {
                    relative_latency: 1.0,
                }
            };
            table.record_outcome(now, &upstream.name, 1, outcome, None);
        }
    }

    assert!(
        failing_count < 100,
        "{failing_count} of 1,000 went to the failing upstream"
    );
    assert!(failing_count >= 2, "the failing upstream is never retried");
}

/// Guards against a slow upstream that gets as many requests as the others.
#[test]
fn a_slow_upstream_is_selected_less() {
    let mut table = table(1, &[upstream("slow", "dc-a"), upstream("usual", "dc-a")]);
    let mut slow_count = 0;

    for step in 0..200 {
        let now = at(step * 20);
        if let Selection::Selected(upstream) = table.select(now, SERVICE, &[], || 0.0) {
            let is_slow = &*upstream.name == "slow";
            slow_count += u32::from(is_slow);
            let relative_latency = if is_slow { 6.0 } else { 1.0 };
            table.record_outcome(
                now,
                &upstream.name,
                1,
                AttemptOutcome::Completed { relative_latency },
                None,
            );
        }
    }

    assert!(
        slow_count < 20,
        "{slow_count} of 200 went to the slow upstream"
    );
}

/// Guards against an upstream's own load report being ignored when the VMs' reports are missing.
#[test]
fn a_recently_reported_load_affects_selection() {
    let mut table = table(1, &[upstream("one", "dc-a"), upstream("two", "dc-a")]);
    select(&mut table, at(0));
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

    let selected = select(&mut table, at(10));

    assert_eq!(selected.as_deref(), Some("two"));
}

fn queued(id: u64, priority: u32, on_time_deadline: u64, send_deadline: u64) -> QueuedRequest {
    QueuedRequest {
        id,
        service: Arc::from(SERVICE),
        priority,
        on_time_deadline: at(on_time_deadline),
        send_deadline: at(send_deadline),
    }
}

fn ids(requests: &[&QueuedRequest]) -> Vec<u64> {
    requests.iter().map(|request| request.id).collect()
}

/// Guards against urgent requests behind others, and against late requests that make all others late.
#[test]
fn requests_are_ordered_by_priority_and_late_ones_last_within_it() {
    let mut queue = WaitQueue::default();
    queue.push(queued(1, 2, 500, 900));
    queue.push(queued(2, 1, 50, 900));
    queue.push(queued(3, 1, 500, 900));
    queue.push(queued(4, 0, 10, 900));

    let ordered = ids(&queue.dispatch_order(at(100)));

    assert_eq!(ordered, [4, 3, 2, 1]);
}

/// Guards against requests that wait until their callers have given up.
#[test]
fn requests_past_their_send_deadline_leave_the_queue() {
    let mut queue = WaitQueue::default();
    queue.push(queued(1, 1, 50, 100));
    queue.push(queued(2, 1, 50, 300));

    let expired = queue.remove_expired(at(200));

    assert_eq!(ids(&expired.iter().collect::<Vec<_>>()), [1]);
    assert_eq!(queue.count_ahead(SERVICE, 1), 1);
    assert_eq!(queue.count_ahead(SERVICE, 0), 0);
}

/// Guards against VMs of a large fleet that all select the same upstream by the same stale reports.
#[test]
fn a_large_fleet_without_reports_spreads_its_requests() {
    let upstreams: Vec<UpstreamInstance> = (0..40)
        .map(|number| upstream(&format!("u{number}"), "dc-a"))
        .collect();
    let noise_state = std::cell::Cell::new(0.0);
    let noise = || {
        noise_state.set((noise_state.get() + 0.618_034) % 1.0);
        noise_state.get()
    };
    let mut counts = vec![0; 40];

    // Each VM sends one request before it has received any report.
    for position in 0..86 {
        let mut table = table(86, &upstreams);
        table.set_vms(at(0), 86, position);
        if let Selection::Selected(upstream) = table.select(at(0), SERVICE, &[], noise) {
            let number: usize = upstream.name[1..].parse().expect("a number");
            counts[number] += 1;
        }
    }

    let most = counts.iter().max();
    assert!(most <= Some(&8), "{counts:?}");
}

/// Guards against further requests to an upstream that keeps sending bytes that are no HTTP response.
#[test]
fn consecutive_malformed_responses_eject_an_upstream() {
    let mut table = table(1, &[upstream("one", "dc-a")]);
    let attempt = |table: &mut UpstreamTable, outcome| {
        let selected = select(table, at(1));
        table.record_outcome(at(1), "one", 1, outcome, None);
        selected.is_some()
    };

    let not_consecutive = [
        attempt(&mut table, AttemptOutcome::MalformedResponse),
        attempt(&mut table, AttemptOutcome::MalformedResponse),
        attempt(
            &mut table,
            AttemptOutcome::Completed {
                relative_latency: 1.0,
            },
        ),
        attempt(&mut table, AttemptOutcome::MalformedResponse),
        attempt(&mut table, AttemptOutcome::MalformedResponse),
    ];
    let third_in_a_row = attempt(&mut table, AttemptOutcome::MalformedResponse);
    let while_ejected = select(&mut table, at(2));
    let later = select(&mut table, at(400));

    assert_eq!(not_consecutive, [true; 5]);
    assert!(third_in_a_row);
    assert_eq!(while_ejected, None);
    assert_eq!(later.as_deref(), Some("one"));
}

/// Guards against requests, with keys or without, to an upstream in back-off, and against a back-off that applies to
/// another incarnation or is shortened.
#[test]
fn an_upstream_in_backoff_gets_no_requests_until_its_end() {
    let mut table = table(1, &[upstream("one", "dc-a")]);
    table.set_backoff("one", 2, at(900));
    let with_other_incarnation_in_backoff = select(&mut table, at(0));
    table.set_backoff("one", 1, at(500));
    table.set_backoff("one", 1, at(300));

    let during = select(&mut table, at(499));
    let keyed = table.select_owner(at(499), "one", 1);
    let remaining = table.remaining_backoff(at(100), SERVICE);
    let after = select(&mut table, at(501));

    assert_eq!(with_other_incarnation_in_backoff.as_deref(), Some("one"));
    assert_eq!((during, keyed), (None, Selection::Busy));
    assert_eq!(remaining, Duration::from_millis(400));
    assert_eq!(after.as_deref(), Some("one"));
}

/// Guards against an expected wait, and so an immediate refusal, while another upstream of the service has capacity.
#[test]
fn one_upstream_outside_of_backoff_ends_the_wait() {
    let mut table = table(1, &[upstream("one", "dc-a"), upstream("two", "dc-a")]);
    table.set_backoff("one", 1, at(500));

    let selected = select(&mut table, at(1));

    assert_eq!(table.remaining_backoff(at(1), SERVICE), Duration::ZERO);
    assert_eq!(selected.as_deref(), Some("two"));
}

/// Guards against new requests to an upstream that has announced its shutdown, and against its next incarnation being
/// excluded as well.
#[test]
fn a_draining_upstream_gets_no_requests_until_its_next_incarnation() {
    let mut table = table(1, &[upstream("one", "dc-a")]);

    let is_new = table.mark_draining("one", 1);
    let is_new_again = table.mark_draining("one", 1);
    table.upsert(at(1), upstream("one", "dc-a"), 11.0);
    let while_draining = table.select(at(1), SERVICE, &[], || 0.0);
    let mut restarted = upstream("one", "dc-a");
    restarted.incarnation = 2;
    table.upsert(at(2), restarted, 11.0);
    let after_return = select(&mut table, at(2));

    assert_eq!((is_new, is_new_again), (true, false));
    assert_eq!(while_draining, Selection::NoneEligible);
    assert_eq!(after_return.as_deref(), Some("one"));
}

/// Guards against an upstream that has announced its shutdown being used again because its registry entry expired and
/// returned.
#[test]
fn a_draining_upstream_stays_excluded_when_its_entry_returns() {
    let mut table = table(1, &[upstream("one", "dc-a")]);
    table.mark_draining("one", 1);

    table.remove("one");
    table.upsert(at(1), upstream("one", "dc-a"), 11.0);
    let after_return = table.select(at(1), SERVICE, &[], || 0.0);

    assert_eq!(after_return, Selection::NoneEligible);
}

/// Guards against requests to an upstream that announced its shutdown while its entry was missing, and whose entry then
/// returned.
#[test]
fn a_shutdown_announced_without_a_registry_entry_is_remembered() {
    let mut table = table(1, &[upstream("one", "dc-a")]);
    table.remove("one");

    let is_new = table.mark_draining("one", 1);
    let is_new_again = table.mark_draining("one", 1);
    table.upsert(at(1), upstream("one", "dc-a"), 11.0);
    let after_return = table.select(at(1), SERVICE, &[], || 0.0);

    assert_eq!(after_return, Selection::NoneEligible);
    assert!(is_new && !is_new_again);
}
