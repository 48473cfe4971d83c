//! Tests the reasons for which upstreams can't take a request, and that a preview changes nothing.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Announcement, AttemptOutcome, Candidate, Obstacle, Selection, UpstreamInstance, UpstreamTable,
};
use kumquat_state::clock::Instant;

const SERVICE: &str = "bench";

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
        slots: 2,
        is_draining: false,
        warmup_remaining: Duration::ZERO,
    }
}

/// Returns the table of a single VM with one upstream, which takes 10 requests per second during warm-up.
fn table(upstream: UpstreamInstance) -> UpstreamTable {
    let mut table = UpstreamTable::default();
    table.set_vms(at(0), 1, 0);
    table.upsert(at(0), upstream, 10.0);
    table
}

fn candidate(table: &UpstreamTable, now: Instant) -> Candidate {
    let mut candidates = table.candidates(now, SERVICE, None, None);
    assert_eq!(candidates.len(), 1);
    candidates.remove(0)
}

/// Guards against a reason that is not the one for which the selection passes an upstream over.
#[test]
fn each_obstacle_is_named_and_keeps_the_upstream_from_being_selected() {
    let draining = UpstreamInstance {
        is_draining: true,
        ..upstream("a")
    };
    let cold = UpstreamInstance {
        warmup_remaining: Duration::from_secs(5),
        ..upstream("a")
    };
    let mut closed = table(upstream("a"));
    closed.set_closed_data_centres(at(0), &[Arc::from("dc-a")], Duration::ZERO);
    let mut ejected = table(upstream("a"));
    ejected.record_outcome(at(0), "a", 1, AttemptOutcome::Unreachable, None);
    let mut paused = table(upstream("a"));
    paused.set_backoff("a", 1, at(700));
    let mut full = table(upstream("a"));
    for _ in 0..4 {
        full.select(at(0), SERVICE, &[], || 0.0);
    }
    let mut cold = table(cold);
    cold.select(at(0), SERVICE, &[], || 0.0);
    let mut limited = table(upstream("a"));
    limited.record_announcement(at(0), &upstream("a"), Announcement::Limit(1.0));
    let ms = Duration::from_millis;
    let cases = [
        (table(draining), Obstacle::Draining),
        (closed, Obstacle::ClosedDataCentre),
        (ejected, Obstacle::Ejected { wait: ms(300) }),
        (paused, Obstacle::BackingOff { wait: ms(700) }),
        (full, Obstacle::Full),
        (cold, Obstacle::WarmupLimit { wait: ms(100) }),
    ];

    for (mut table, expected) in cases {
        let obstacle = candidate(&table, at(0)).obstacle;
        let selection = table.select(at(0), SERVICE, &[], || 0.0);

        assert_eq!(obstacle, Some(expected));
        assert!(!matches!(selection, Selection::Selected(_)), "{expected:?}");
    }
    let explained = candidate(&limited, at(0)).obstacle;
    let Selection::OverLimit { wait, .. } = limited.select(at(0), SERVICE, &[], || 0.0) else {
        panic!("the limit is reached");
    };
    assert_eq!(explained, Some(Obstacle::RequestLimit { wait }));
}

/// Guards against a preview that takes a slot or a token, or that differs from the selection.
#[test]
fn a_preview_selects_what_the_selection_does_and_changes_nothing() {
    let mut table = table(upstream("a"));
    table.upsert(at(0), upstream("b"), 10.0);
    let mut selected = Vec::new();
    let mut previewed = Vec::new();

    for _ in 0..9 {
        let before = format!("{table:?}");
        previewed.push(table.preview(at(1), SERVICE, None));
        let candidates = table.candidates(at(1), SERVICE, None, previewed.last());
        assert_eq!(candidates.len(), 2);
        assert_eq!(format!("{table:?}"), before);
        selected.push(table.select(at(1), SERVICE, &[], || 0.0));
    }

    assert_eq!(previewed, selected);
    assert_eq!(selected[8], Selection::Busy);
}
