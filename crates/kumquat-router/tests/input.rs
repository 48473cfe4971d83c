//! Tests that turns for large input pass on whatever becomes of the connections that have them or wait for them.

mod fixture {
    pub mod router;
}

use std::rc::Rc;
use std::time::Duration;

use fixture::router::run_local_test;
use kumquat_coordination::fleet::input::{FREE_WORK, TURN_WORK};
use kumquat_router::input::{Meter, Schedule};
use kumquat_router::metrics::Metrics;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// Time by which a turn that is free has begun.
const LIMIT: Duration = Duration::from_secs(5);

fn schedule() -> Rc<Schedule> {
    Schedule::new(Metrics::new().expect("metrics"))
}

/// Returns the meter of a connection whose request needs turns.
fn busy_meter(schedule: &Rc<Schedule>) -> Meter {
    let mut meter = schedule.meter();
    meter.count(FREE_WORK);
    meter
}

/// Guards against input that waits for ever for a connection that is closed or evicted.
#[test]
fn a_turn_passes_on_when_its_connection_or_a_wait_is_dropped() {
    run_local_test(async {
        let schedule = schedule();
        let mut first = busy_meter(&schedule);
        first.admit().await;
        let mut evicted = busy_meter(&schedule);
        let waited = timeout(Duration::from_millis(20), evicted.admit()).await;
        let mut last = busy_meter(&schedule);
        let last = spawn_local(async move { last.admit().await });
        tokio::task::yield_now().await;

        drop(first);

        assert!(waited.is_err(), "two connections have a turn");
        timeout(LIMIT, last)
            .await
            .expect("a turn")
            .expect("no panic");
        timeout(LIMIT, evicted.admit()).await.expect("a turn");
    });
}

/// Guards against a connection that keeps its turn while it has input, and against small requests that wait.
#[test]
fn a_turn_ends_after_its_work_and_small_requests_need_none() {
    run_local_test(async {
        let schedule = schedule();
        let mut first = busy_meter(&schedule);
        first.admit().await;
        let mut second = busy_meter(&schedule);
        let second = spawn_local(async move {
            second.admit().await;
            second
        });
        tokio::task::yield_now().await;
        timeout(LIMIT, schedule.meter().admit())
            .await
            .expect("a small request does not wait");

        first.count(TURN_WORK);
        let waited = timeout(Duration::from_millis(20), first.admit()).await;

        assert!(waited.is_err(), "the turn did not end");
        let second = timeout(LIMIT, second)
            .await
            .expect("a turn")
            .expect("no panic");
        drop(second);
        timeout(LIMIT, first.admit()).await.expect("a turn");
    });
}
