//! Checks the owners of keys when the store comes back from an older copy of its data.

use std::time::Duration;

use kumquat_coordination::fleet::{
    Action, Coordinator, Era, Holder, KeyRange, Member, OrderFailure, OwnershipMap,
    OwnershipTiming, max_hold_time,
};
use kumquat_state::clock::Instant;

const STEP: Duration = Duration::from_millis(40);
const MAX_GRANT_DURATION: Duration = Duration::from_secs(5);

fn timing() -> OwnershipTiming {
    OwnershipTiming::for_upstreams(2, MAX_GRANT_DURATION)
}

fn members(owners: &[&str]) -> Vec<Member> {
    let members = owners.iter().map(|name| Member {
        holder: Holder {
            name: (*name).into(),
            incarnation: 1,
        },
        may_own: true,
        is_warm: true,
        capacity: 1.0,
        max_requests_per_s: None,
    });
    members.collect()
}

/// A grant that an upstream has accepted.
#[derive(Clone, Debug)]
struct Accepted {
    upstream: String,
    keys: KeyRange,
    fencing_token: u64,
    sent_at: Instant,
    expires_at: Instant,
}

/// Upstreams that accept all grants and answer no release.
#[derive(Debug, Default)]
struct Upstreams(Vec<Accepted>);

impl Upstreams {
    /// Runs a coordinator until `end`; all its writes succeed.
    fn run(
        &mut self,
        coordinator: &mut Coordinator,
        start: Instant,
        end: Instant,
        owners: &[&str],
    ) {
        let mut now = start;
        while now < end {
            coordinator.set_members(now, members(owners));
            let mut actions = Vec::new();
            coordinator.tick(now, &mut actions);
            for action in actions {
                match action {
                    Action::Commit(map) => coordinator.on_committed(&map),
                    Action::Release { holder, .. } => {
                        coordinator.on_release_failed(now, &holder, OrderFailure::NoResponse);
                    }
                    Action::LogClearance { .. } => {}
                    Action::Grant {
                        holder,
                        keys,
                        id,
                        duration,
                        ..
                    } => {
                        coordinator.on_granted(now, &holder, id);
                        self.0.push(Accepted {
                            upstream: holder.name.to_string(),
                            keys,
                            fencing_token: id.fencing_token,
                            sent_at: now,
                            expires_at: now + duration,
                        });
                    }
                }
            }
            now = now + STEP;
        }
    }

    /// Returns the grants that were sent from a time on.
    fn sent_since(&self, time: Instant) -> Vec<Accepted> {
        let sent = self.0.iter().filter(|grant| grant.sent_at >= time);
        sent.cloned().collect()
    }

    /// Asserts that no two upstreams hold a key at once, and that tokens of a key rise from owner to owner.
    fn assert_exclusive(&self) {
        for (index, later) in self.0.iter().enumerate() {
            for earlier in &self.0[..index] {
                let is_other = earlier.upstream != later.upstream;
                let overlaps = earlier.keys.start() <= later.keys.end()
                    && later.keys.start() <= earlier.keys.end();
                if is_other && overlaps {
                    assert!(earlier.expires_at < later.sent_at, "{earlier:?} {later:?}");
                    assert!(
                        earlier.fencing_token < later.fencing_token,
                        "{earlier:?} {later:?}"
                    );
                }
            }
        }
    }
}

/// A coordinator whose keys went from `u1` to `u2` in the seconds that the store then loses.
struct LostMove {
    copy: OwnershipMap,
    coordinator: Coordinator,
    upstreams: Upstreams,
    restored_at: Instant,
}

fn lost_move() -> LostMove {
    let mut upstreams = Upstreams::default();
    let start = Instant::from_millis(100_000);
    let mut coordinator = Coordinator::new(start, timing(), OwnershipMap::default());
    let moved_at = start + Duration::from_secs(10);
    upstreams.run(&mut coordinator, start, moved_at, &["u1"]);
    let copy = coordinator.map().clone();
    let restored_at = moved_at + Duration::from_secs(10);
    upstreams.run(&mut coordinator, moved_at, restored_at, &["u2"]);
    LostMove {
        copy,
        coordinator,
        upstreams,
        restored_at,
    }
}

/// Guards against a grant of keys that an upstream holds by a grant that the restored store doesn't know.
#[test]
fn a_successor_in_a_restored_store_waits_for_lost_grants_and_uses_higher_tokens() {
    let LostMove {
        copy,
        mut upstreams,
        restored_at,
        ..
    } = lost_move();
    let expire_at = restored_at + max_hold_time(MAX_GRANT_DURATION);

    let mut successor = Coordinator::new(restored_at, timing(), copy);
    successor.begin_era(Era(2), Some(expire_at));
    let end = expire_at + Duration::from_secs(2);
    upstreams.run(&mut successor, restored_at, end, &["u1"]);

    upstreams.assert_exclusive();
    let sent = upstreams.sent_since(restored_at);
    assert!(
        sent.iter().all(|grant| grant.sent_at > expire_at),
        "{sent:?}"
    );
    assert!(!sent.is_empty(), "the keys are granted after the wait");
}

/// Guards against keys that lose their owners although the coordinator of before knows all grants.
#[test]
fn a_coordinator_that_stays_in_office_goes_on_at_once() {
    let LostMove {
        mut coordinator,
        mut upstreams,
        restored_at,
        ..
    } = lost_move();

    coordinator.begin_era(Era(2), None);
    let end = restored_at + Duration::from_secs(1);
    upstreams.run(&mut coordinator, restored_at, end, &["u2"]);

    upstreams.assert_exclusive();
    let sent = upstreams.sent_since(restored_at);
    let covered = sent
        .iter()
        .any(|grant| grant.fencing_token >= Era(2).first_fencing_token());
    assert!(covered, "{sent:?}");
}

/// Guards against a second restored store that ends the wait for the grants lost in the first one.
#[test]
fn a_second_restore_does_not_shorten_the_wait_for_lost_grants() {
    let LostMove {
        copy,
        mut upstreams,
        restored_at,
        ..
    } = lost_move();
    let expire_at = restored_at + max_hold_time(MAX_GRANT_DURATION);
    let mut successor = Coordinator::new(restored_at, timing(), copy);
    successor.begin_era(Era(2), Some(expire_at));
    let second = restored_at + Duration::from_secs(1);
    upstreams.run(&mut successor, restored_at, second, &["u1"]);

    successor.begin_era(Era(3), None);
    let end = expire_at + Duration::from_secs(2);
    upstreams.run(&mut successor, second, end, &["u1"]);

    upstreams.assert_exclusive();
    assert!(!upstreams.sent_since(expire_at).is_empty());
}

/// Guards against grants from an empty copy, after all VMs that knew the owners were lost.
#[test]
fn a_first_assignment_in_a_restored_store_waits_for_lost_grants() {
    let LostMove {
        mut upstreams,
        restored_at,
        ..
    } = lost_move();
    let expire_at = restored_at + max_hold_time(MAX_GRANT_DURATION);

    let mut successor = Coordinator::new(restored_at, timing(), OwnershipMap::default());
    successor.begin_era(Era(2), Some(expire_at));
    let end = expire_at + Duration::from_secs(2);
    upstreams.run(&mut successor, restored_at, end, &["u1", "u3"]);

    upstreams.assert_exclusive();
    assert!(!upstreams.sent_since(expire_at).is_empty());
}

/// Guards against two writes at once, whose maps use the same fencing tokens, after the write of an earlier era failed.
#[test]
fn one_write_of_the_map_is_outstanding_after_a_restore() {
    let LostMove {
        mut coordinator,
        restored_at,
        ..
    } = lost_move();
    let planned = |coordinator: &mut Coordinator, now, owners: &[&str]| {
        coordinator.set_members(now, members(owners));
        let mut actions = Vec::new();
        coordinator.tick(now, &mut actions);
        actions.into_iter().find_map(|action| match action {
            Action::Commit(map) => Some(map),
            _ => None,
        })
    };
    let earlier = planned(&mut coordinator, restored_at, &["u3"]).expect("a map");
    coordinator.begin_era(Era(2), None);
    let present = planned(&mut coordinator, restored_at + STEP, &["u3"]);
    coordinator.on_commit_failed(&earlier);
    let beside = planned(&mut coordinator, restored_at + STEP * 2, &["u1"]);

    assert!(present.is_some());
    assert_eq!(beside, None);
}
