//! Tests which connections a VM closes, and which requests it rejects, to stay within its memory and descriptors.

use kumquat_coordination::fleet::intake::{Activity, Bounds, Capacity, Eviction, Intake, Listener};
use kumquat_state::clock::Instant;

const LISTENERS: [Listener; 4] = [
    Listener::Callers,
    Listener::Peers,
    Listener::Admin,
    Listener::Readiness,
];

/// Budget of the tests; an eighth of it is kept for small holdings.
const BUDGET: usize = 800_000;

/// Returns an intake with connections, which have these activities since 0 ms, 1 ms and so on and hold these bytes.
fn intake(max_connections: usize, connections: &[(Activity, usize)]) -> Intake {
    let mut intake = Intake::new(Bounds {
        budget_bytes: BUDGET,
        max_budget_bytes: usize::MAX,
        max_connections,
    });
    for (millis, (activity, bytes)) in (0..).zip(connections) {
        let (id, _) = intake.open(at(millis)).expect("room");
        intake.grow(id, *bytes);
        intake.set_activity(id, *activity, at(millis));
    }
    intake
}

fn at(millis: u64) -> Instant {
    Instant::from_millis(millis)
}

fn ids(evictions: &[Eviction]) -> Vec<u64> {
    evictions
        .iter()
        .map(|eviction| eviction.connection)
        .collect()
}

/// Returns the capacity of a VM.
fn capacity(memory_mb: usize, descriptors: usize) -> Capacity {
    Capacity {
        memory_bytes: Some(memory_mb << 20),
        descriptors: Some(descriptors),
    }
}

/// Guards against bounds that leave too little memory or too few descriptors for anything but callers.
#[test]
fn bounds_follow_from_memory_and_descriptors() {
    let stated = capacity(120, 4_100).bounds(Listener::Callers);
    let unstated = Capacity::default().bounds(Listener::Callers);

    assert_eq!(
        (stated.budget_bytes, stated.max_connections),
        (30 << 20, 2_340)
    );
    assert_eq!(
        (unstated.budget_bytes, unstated.max_connections),
        (64 << 20, 4_096)
    );
}

/// Guards against listeners that together take what the upstreams and the tables of a VM need.
#[test]
fn all_listeners_together_leave_memory_and_descriptors() {
    for (memory_mb, descriptors) in [(24, 320), (120, 3_075), (160, 4_100), (512, 8_192)] {
        let capacity = capacity(memory_mb, descriptors);
        let (mut bytes, mut connections) = (0, 0);
        for listener in LISTENERS {
            let bounds = capacity.bounds(listener);
            bytes += bounds.budget_bytes;
            // An eighth more may be closing.
            connections += bounds.max_connections + bounds.max_connections / 8;
        }

        assert!(
            bytes <= (memory_mb << 20) * 3 / 5,
            "{bytes} of {memory_mb} MB"
        );
        let available = descriptors - 200;
        assert!(
            connections <= available * 9 / 10,
            "{connections} of {available}"
        );
    }
}

/// Guards against connections that are not accepted yet and leave more input in the kernel than the VM has memory.
#[test]
fn input_of_connections_that_wait_to_be_accepted_takes_a_part_of_the_memory() {
    for memory_mb in [60, 120, 160, 512, 4_096] {
        let capacity = capacity(memory_mb, 4_100);

        let backlogs = LISTENERS.map(|listener| capacity.backlog(listener));

        let buffered_mb = backlogs.iter().sum::<usize>() * 128 / 1024;
        assert!(
            buffered_mb <= memory_mb * 9 / 20,
            "{backlogs:?} of {memory_mb} MB"
        );
        assert!(
            backlogs
                .iter()
                .all(|backlog| (32..=1_024).contains(backlog))
        );
    }
    assert_eq!(capacity(512, 4_100).backlog(Listener::Callers), 1_024);
}

/// Guards against a VM on which the largest legal request is never served.
#[test]
fn the_largest_request_fits_whatever_the_memory() {
    let mut intake = Intake::new(capacity(1, 4_100).bounds(Listener::Callers));
    intake.set_largest_request(3_000_000);
    let (id, _) = intake.open(at(0)).expect("room");

    assert!(intake.grow(id, 3_000_000).is_granted);
}

/// Guards against stalled requests that stay, while requests that arrive quickly are evicted for them.
#[test]
fn the_oldest_incomplete_requests_are_evicted_first() {
    use Activity::{Idle, Receiving, Responding, Serving};
    let mut intake = intake(
        9,
        &[
            (Responding, 100_000),
            (Serving, 100_000),
            (Receiving, 250_000),
            (Receiving, 200_000),
            (Idle, 0),
        ],
    );

    let growth = intake.grow(4, 400_000);

    assert!(growth.is_granted);
    assert_eq!(ids(&growth.evictions), [2, 3]);
    assert_eq!((intake.held_bytes(), intake.connections()), (600_000, 3));
}

/// Guards against an unread response that keeps the memory when no incomplete request is left.
#[test]
fn the_longest_unread_response_is_evicted_after_incomplete_requests() {
    use Activity::{Idle, Responding, Serving};
    let mut intake = intake(
        9,
        &[
            (Serving, 300_000),
            (Responding, 90_000),
            (Responding, 300_000),
            (Idle, 0),
        ],
    );
    intake.set_activity(1, Responding, at(9));

    let growth = intake.grow(3, 50_000);

    assert!(growth.is_granted);
    assert_eq!(ids(&growth.evictions), [2]);
}

/// Guards against the loss of a request that an upstream may be executing.
#[test]
fn a_request_is_rejected_if_all_others_are_being_served() {
    let mut intake = intake(9, &[(Activity::Serving, 690_000), (Activity::Idle, 0)]);

    let growth = intake.grow(1, 50_000);

    assert!(!growth.is_granted && growth.evictions.is_empty());
    assert_eq!(intake.held_bytes(), 690_000);
}

/// Guards against large requests that keep all small ones from being served.
#[test]
fn a_small_request_is_served_beside_large_ones() {
    let mut intake = intake(9, &[(Activity::Serving, 699_000), (Activity::Idle, 0)]);

    assert!(intake.grow(1, 4_000).is_granted);
}

/// Guards against a request that evicts others although it is the oldest itself.
#[test]
fn a_request_that_is_the_oldest_is_evicted_itself() {
    let mut intake = intake(
        9,
        &[
            (Activity::Receiving, 400_000),
            (Activity::Receiving, 290_000),
        ],
    );

    let growth = intake.grow(0, 100_000);

    assert!(!growth.is_granted);
    assert_eq!(ids(&growth.evictions), [0]);
    assert!(!intake.grow(0, 1).is_granted, "an evicted connection grows");
}

/// Guards against sums that drift when bytes are released late, after the eviction of their connection.
#[test]
fn evicted_and_closed_connections_are_no_longer_counted() {
    let mut intake = intake(9, &[(Activity::Receiving, 600_000), (Activity::Idle, 0)]);
    intake.grow(1, 300_000);

    intake.shrink(0, 600_000);
    intake.close(0);
    intake.shrink(1, 100_000);

    assert_eq!((intake.held_bytes(), intake.connections()), (200_000, 1));
    intake.close(1);
    assert_eq!((intake.held_bytes(), intake.connections()), (0, 0));
}

/// Guards against responses that can't be rejected and are left out of the count, or evict nobody.
#[test]
fn a_response_is_counted_even_if_it_exceeds_the_budget() {
    let mut intake = intake(
        9,
        &[(Activity::Serving, 690_000), (Activity::Receiving, 5_000)],
    );

    let evictions = intake.grow_response(0, 200_000);

    assert_eq!(ids(&evictions), [1]);
    assert_eq!(intake.held_bytes(), 890_000);
    assert!(
        !intake.grow_if_free(0, 1),
        "further requests of the connection are started"
    );
}

/// Guards against callers that occupy all descriptors with connections on which nothing is served.
#[test]
fn the_longest_unused_connection_makes_room_for_a_new_one() {
    use Activity::{Idle, Receiving, Serving};
    let mut intake = intake(3, &[(Serving, 10), (Receiving, 10), (Idle, 0)]);

    let (_, eviction) = intake.open(at(10)).expect("room");

    assert_eq!(eviction.map(|eviction| eviction.connection), Some(1));
    assert_eq!(intake.connections(), 3);
}

/// Guards against descriptors that run out because evicted connections take time to close.
#[test]
fn a_connection_is_refused_while_others_are_being_closed_or_served() {
    let mut closing = intake(2, &[(Activity::Idle, 0), (Activity::Idle, 0)]);
    let mut serving = intake(1, &[(Activity::Serving, 0)]);

    assert!(closing.open(at(5)).is_some());
    assert!(closing.open(at(6)).is_none());
    assert!(serving.open(at(7)).is_none());
}

/// Guards against callers that come back at once and are refused because evicted connections still have their descriptors.
#[test]
fn connections_that_have_been_closing_the_longest_make_room() {
    use Activity::{Closing, Idle, Receiving};
    let mut intake = intake(8, &[(Receiving, 10); 8]);
    let mut aborted = Vec::new();
    for millis in 10..12 {
        let (id, evicted) = intake.open(at(millis)).expect("room");
        intake.set_activity(id, Idle, at(millis));
        let evicted = evicted.expect("an evicted connection").connection;
        intake.set_activity(evicted, Closing, at(30 - millis));
        aborted.extend(intake.abort_excess());
    }

    assert_eq!(aborted, [1], "the connection that began to close first");
    intake.close(1);
    intake.set_activity(5, Closing, at(40));
    let (_, evicted) = intake.open(at(41)).expect("room");
    let evicted = evicted.map(|eviction| (eviction.connection, eviction.activity));
    assert_eq!(
        evicted,
        Some((5, Closing)),
        "before those that may still send"
    );
    assert_eq!(intake.abort_excess(), Some(0));
    assert_eq!(intake.abort_excess(), None, "each is aborted once");
}
