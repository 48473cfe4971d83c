//! Tests the detection of a lost path to the upstreams and the choice of a VM that helps.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_coordination::fleet::{HelperOffer, HelperTable, PathChange, PathMonitor, PathState};
use kumquat_state::clock::Instant;

const MAX_AGE: Duration = Duration::from_millis(800);

fn at(millis: u64) -> Instant {
    Instant::from_millis(1_000_000 + millis)
}

/// Returns a monitor whose path has just been lost.
fn lost() -> PathMonitor {
    let mut monitor = PathMonitor::default();
    monitor.record_failure(at(0), 1);
    assert!(monitor.record_failure(at(10), 2));
    assert_eq!(monitor.record_probes(at(20), 0, 3), None);
    let change = monitor.record_probes(at(160), 0, 6);
    assert_eq!(change, Some(PathChange::Lost { failed: 2 }));
    monitor
}

fn offer(port: u16, lost_services: &[u32]) -> HelperOffer {
    HelperOffer {
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        lost_services: lost_services.to_vec(),
    }
}

/// Guards against a VM that gives up its path because of one upstream that has ended.
#[test]
fn failures_of_one_upstream_do_not_make_a_path_suspected() {
    let mut monitor = PathMonitor::default();

    let is_suspected = (0..50).any(|millis| monitor.record_failure(at(millis), 7));

    assert!(!is_suspected);
    assert_eq!(monitor.state(), PathState::Intact);
}

/// Guards against a VM that gives up its path while upstreams answer it.
#[test]
fn an_answer_between_failures_keeps_the_path() {
    let mut monitor = PathMonitor::default();
    for upstream in 0..50 {
        assert!(!monitor.record_failure(at(u64::from(upstream)), upstream));
        monitor.record_success();
    }

    assert_eq!(monitor.state(), PathState::Intact);
}

/// Guards against a path that counts as lost although an upstream accepts connections, as when many are overloaded.
#[test]
fn a_reached_probe_refutes_a_suspicion() {
    let mut monitor = PathMonitor::default();
    monitor.record_failure(at(0), 1);
    assert!(monitor.record_failure(at(10), 2));

    let change = monitor.record_probes(at(20), 1, 3);

    assert_eq!((change, monitor.state()), (None, PathState::Intact));
    // Upstreams that are down must not cause a round of probes for each request.
    monitor.record_failure(at(30), 1);
    assert!(!monitor.record_failure(at(40), 2));
    assert!(monitor.record_failure(at(400), 3));
}

/// Guards against a path that counts as lost because the first probes met upstreams that are down.
#[test]
fn a_second_round_of_probes_confirms_a_loss() {
    let mut monitor = PathMonitor::default();
    monitor.record_failure(at(0), 1);
    monitor.record_failure(at(10), 2);

    let first = monitor.record_probes(at(20), 0, 3);
    let count = monitor.probe_count();
    let second = monitor.record_probes(at(30), 2, count);

    assert_eq!((first, count, second), (None, 6, None));
    assert_eq!(monitor.state(), PathState::Intact);
}

/// Guards against a path that is given up because the probes of before an answer failed.
#[test]
fn an_answer_during_the_probes_keeps_the_path() {
    let mut monitor = PathMonitor::default();
    monitor.record_failure(at(0), 1);
    monitor.record_failure(at(10), 2);
    monitor.record_success();

    assert_eq!(monitor.record_probes(at(160), 0, 3), None);
    assert_eq!(monitor.state(), PathState::Intact);
}

/// Guards against a VM that returns to a path that is back for one upstream only.
#[test]
fn a_lost_path_is_back_when_most_probes_are_reached() {
    let mut monitor = lost();

    assert_eq!(
        monitor.probe_wait(at(160)),
        Some(Duration::from_millis(250))
    );
    assert_eq!(monitor.record_probes(at(410), 1, 3), None);
    assert!(monitor.is_partial());
    let regained = monitor.record_probes(at(660), 2, 3);

    let duration = Duration::from_millis(500);
    assert_eq!(regained, Some(PathChange::Regained { duration }));
    assert_eq!(monitor.probe_wait(at(660)), None);
}

/// Guards against a VM that keeps to the one upstream that a partition has spared, while others reach them all.
#[test]
fn a_path_to_hardly_any_upstream_is_lost() {
    let mut monitor = PathMonitor::default();
    monitor.record_failure(at(0), 1);
    monitor.record_failure(at(10), 2);
    monitor.record_probes(at(20), 0, 3);

    let change = monitor.record_probes(at(30), 1, 6);

    assert_eq!(change, Some(PathChange::Lost { failed: 2 }));
    assert!(monitor.is_partial());
}

/// Guards against requests that are forwarded to a VM that has lost its path too, has stopped or is heard no more.
#[test]
fn only_vms_with_a_path_that_were_heard_lately_help() {
    let mut helpers = HelperTable::default();
    helpers.record_offer(at(0), 1, Some(offer(1, &[5])));
    helpers.record_offer(at(0), 2, Some(offer(2, &[])));
    helpers.record_offer(at(0), 3, Some(offer(3, &[])));
    helpers.record_offer(at(10), 3, None);

    let chosen = helpers.select(at(20), 5, MAX_AGE, &[], || 0.0);
    let next = helpers.select(at(20), 5, MAX_AGE, &[2], || 0.0);

    assert_eq!(chosen.map(|helper| helper.vm), Some(2));
    assert_eq!(next, None);
    assert!(helpers.has_helper(at(20), 5, MAX_AGE));
    assert!(!helpers.has_helper(at(900), 5, MAX_AGE));
}

/// Guards against one helper that gets all requests, and against one that can't be reached and is chosen again.
#[test]
fn requests_are_spread_and_unreachable_helpers_avoided() {
    let mut helpers = HelperTable::default();
    for vm in 0..4 {
        helpers.record_offer(
            at(0),
            vm,
            Some(offer(u16::try_from(vm).expect("small"), &[])),
        );
    }
    helpers.eject(at(0), 3);
    let noise = std::cell::Cell::new(0.0);
    let next_noise = || {
        noise.set((noise.get() + 0.37) % 1.0);
        noise.get()
    };

    let mut counts = [0; 4];
    for _ in 0..300 {
        let helper = helpers.select(at(10), 1, MAX_AGE, &[], next_noise);
        let vm = usize::try_from(helper.expect("a helper").vm).expect("small");
        counts[vm] += 1;
    }

    assert_eq!(counts[3], 0);
    assert!(
        counts[..3].iter().all(|count| (90..=110).contains(count)),
        "{counts:?}"
    );
    assert!(
        helpers
            .select(at(600), 1, MAX_AGE, &[0, 1, 2], next_noise)
            .is_some()
    );
}
