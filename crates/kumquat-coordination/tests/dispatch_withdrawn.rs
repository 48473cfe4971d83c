//! Guards requests at a group whose data centre is taken out: the reason of their refusal has to send them to another
//! group.

use std::time::Duration;

use kumquat_coordination::dispatch::{Action, Arrival, Group, Options, RefusalReason, Upstream};
use kumquat_state::bundle::{PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;

fn now() -> Instant {
    Instant::from_millis(1)
}

fn upstream(takes_work: bool) -> Upstream {
    Upstream {
        name: "upstream-0".parse().expect("a valid name"),
        slots: 1,
        cold_slots: 1,
        cold_step: 8,
        takes_work,
    }
}

fn arrival(id: u64) -> Arrival {
    Arrival {
        id,
        team: "pilots".parse().expect("a valid name"),
        class: PriorityClass::Ordinary,
        idempotent: true,
        deadline: now() + Duration::from_secs(2),
        target: None,
    }
}

fn refusals(actions: &[Action]) -> Vec<(u64, RefusalReason)> {
    let refusal = |action: &Action| match action {
        Action::Refuse { id, reason, .. } => Some((*id, *reason)),
        _ => None,
    };
    actions.iter().filter_map(refusal).collect()
}

/// Guards against a queued or arriving request that is refused as if the group had no capacity.
///
/// The entry would then give up after as many tries as there are data centres, all of them at the withdrawn group.
#[test]
fn requests_of_a_withdrawn_group_are_refused_as_withdrawn() {
    let mut group = Group::new(ServiceKind::Pool, Options::default(), 1);
    let mut actions = Vec::new();
    group.set_upstreams(now(), &[upstream(true)], &mut actions);
    group.on_arrival(now(), arrival(1), &mut actions);
    group.on_arrival(now(), arrival(2), &mut actions);
    actions.clear();

    group.set_upstreams(now(), &[upstream(false)], &mut actions);
    group.on_arrival(now(), arrival(3), &mut actions);

    // The attempt of the first request stays in flight.
    let expected = vec![(2, RefusalReason::Withdrawn), (3, RefusalReason::Withdrawn)];
    assert_eq!(refusals(&actions), expected);
}
