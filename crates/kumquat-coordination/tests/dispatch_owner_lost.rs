//! Guards the requests for a lost owner of keys: they must not wait for it, and must not be reported as not run if they
//! may have run.

use std::time::Duration;

use kumquat_coordination::dispatch::{
    Action, Arrival, Execution, Group, Options, RefusalReason, Upstream,
};
use kumquat_state::bundle::{PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;

fn upstream_name(number: usize) -> ident::Upstream {
    format!("upstream-{number}").parse().expect("a valid name")
}

fn group(count: usize) -> Group {
    let mut group = Group::new(ServiceKind::Keyed, Options::default(), 1);
    let upstreams: Vec<Upstream> = (0..count)
        .map(|number| Upstream {
            name: upstream_name(number),
            slots: 1,
            cold_slots: 1,
            cold_step: 8,
            takes_work: true,
        })
        .collect();
    group.set_upstreams(now(), &upstreams, &mut Vec::new());
    group
}

fn now() -> Instant {
    Instant::from_millis(1)
}

fn arrive(group: &mut Group, id: u64, target: usize) -> Vec<Action> {
    let arrival = Arrival {
        id,
        team: "pilots".parse().expect("a valid name"),
        class: PriorityClass::Ordinary,
        idempotent: true,
        deadline: now() + Duration::from_secs(2),
        target: Some(upstream_name(target)),
    };
    let mut actions = Vec::new();
    group.on_arrival(now(), arrival, &mut actions);
    actions
}

/// Guards against requests that wait until their deadline for an upstream that no longer responds.
#[test]
fn requests_for_a_lost_owner_are_refused_at_once() {
    let mut group = group(2);
    for (id, target) in [(1, 0), (2, 0), (3, 0), (4, 1)] {
        arrive(&mut group, id, target);
    }

    let mut actions = Vec::new();
    group.fail_requests_to(now(), &upstream_name(0), &mut actions);

    let refusals: Vec<_> = actions
        .iter()
        .filter_map(|action| match action {
            Action::Refuse {
                id,
                reason,
                execution,
                ..
            } => Some((*id, *reason, *execution)),
            _ => None,
        })
        .collect();
    // The attempt of the first request was in flight at the lost owner; the fourth request has another owner.
    let expected = [
        (1, RefusalReason::NoUpstream, Execution::Unknown),
        (2, RefusalReason::NoUpstream, Execution::NotRun),
        (3, RefusalReason::NoUpstream, Execution::NotRun),
    ];
    assert_eq!(refusals, expected);
    let is_abort = |action: &&Action| matches!(action, Action::Abort { .. });
    assert_eq!(actions.iter().filter(is_abort).count(), 1);
}
