//! Tests membership changes: a restarted VM must be able to rejoin, and a joining VM must not trust a minority.

#[path = "fixture/cell.rs"]
mod fixture;

use fixture::{at_ms, cell, holder, membership, run_cell};
use kumquat_coordination::authority::{Authority, Heartbeat, Options};
use kumquat_coordination::coordinator::{Coordinator, Step, View};
use kumquat_state::bundle::Bundle;
use kumquat_state::clock::Instant;
use kumquat_state::ident::{Revision, Version};
use kumquat_state::ledger::{Holder, Ledger, Member};

/// Link state after the loss of VM 2.
fn last_vm_lost(from: usize, to: usize) -> bool {
    from != 2 && to != 2
}

fn members(holders: &[Holder]) -> Vec<Member> {
    membership(0, holders).members
}

/// Returns the next ledger that a coordinator on `machine` would write, if it plans a change.
fn plan_next_ledger(
    machine: &Authority,
    ledger: &Ledger,
    live: &[Member],
    now: Instant,
) -> Option<Ledger> {
    let view = View {
        ledger,
        bundle: &Bundle::default(),
        live,
        leaving: &[],
        is_fenced: &|holder| machine.is_fenced(holder),
        may_change_membership: &|next| machine.may_change_membership(now, next),
        group_reports: &[],
        confirmations: &[],
        release_acks: &[],
        service_loads: &[],
    };
    match Coordinator::new().plan(now, &view) {
        Some(Step::Write { ledger, .. }) => Some(*ledger),
        Some(Step::Release { .. }) | None => None,
    }
}

/// Guards against a coordinator that plans to replace an incarnation in one write: the membership rules refuse that, so
/// the new incarnation would never join.
#[test]
fn replaced_member_of_three_is_removed_before_new_incarnation_joins() {
    let mut machines = cell(3);
    let (lost, successor) = (holder(2, 1), holder(2, 2));
    let campaigns = [(0, lost.clone()), (1, lost.clone())];
    run_cell(&mut machines, &last_vm_lost, 0..5_000, &campaigns);
    assert!(machines[0].is_fenced(&lost));
    let live = members(&[holder(0, 1), holder(1, 1), successor.clone()]);
    let mut ledger = Ledger {
        revision: Revision(1),
        membership: membership(1, &[holder(0, 1), holder(1, 1), lost.clone()]),
        ..Ledger::default()
    };

    let mut memberships = Vec::new();
    for round in 1..=2 {
        let time_ms = 5_000 * round;
        ledger = plan_next_ledger(&machines[0], &ledger, &live, at_ms(time_ms)).expect("a change");
        for machine in machines.iter_mut().take(2) {
            machine.set_membership(at_ms(time_ms), &ledger.membership);
        }
        run_cell(&mut machines, &last_vm_lost, time_ms..time_ms + 5_000, &[]);
        memberships.push(ledger.membership.clone());
    }

    assert_eq!(memberships[0], membership(2, &[holder(0, 1), holder(1, 1)]));
    let restored = [holder(0, 1), holder(1, 1), successor];
    assert_eq!(memberships[1], membership(3, &restored));
}

/// Guards against removing a lost VM from a cell of three although no VM is waiting to join in its place.
#[test]
fn lost_member_of_three_stays_until_its_new_incarnation_is_live() {
    let mut machines = cell(3);
    let lost = holder(2, 1);
    let campaigns = [(0, lost.clone()), (1, lost.clone())];
    run_cell(&mut machines, &last_vm_lost, 0..5_000, &campaigns);
    let ledger = Ledger {
        revision: Revision(1),
        membership: membership(1, &[holder(0, 1), holder(1, 1), lost]),
        ..Ledger::default()
    };

    let live = members(&[holder(0, 1), holder(1, 1)]);
    let next = plan_next_ledger(&machines[0], &ledger, &live, at_ms(5_000));

    assert_eq!(next.map(|next| next.membership), None);
}

/// Guards against a joining VM that takes the versions in force from a single member.
#[test]
fn joining_vm_requires_heartbeats_from_majority_of_members() {
    let members_of_cell = [holder(0, 1), holder(1, 1), holder(2, 1)];
    let mut joining = Authority::new(holder(3, 1), Options::default(), at_ms(0));
    joining.set_membership(at_ms(0), &membership(1, &members_of_cell));
    let mut majority_after_heartbeat = |number: usize, time_ms: u64| {
        let heartbeat = Heartbeat {
            from: holder(number, 1),
            sequence: 1,
            echo: None,
            membership: Version(1),
            bundle: Version(0),
            ledger: Revision(0),
            pledges: Vec::new(),
        };
        joining.on_heartbeat(at_ms(time_ms), &heartbeat);
        joining.majority_heard_since()
    };

    let heard = [
        majority_after_heartbeat(0, 100),
        majority_after_heartbeat(1, 200),
        majority_after_heartbeat(2, 300),
    ];

    // A majority of three is two, so the result is the second latest of the heartbeats.
    assert_eq!(heard, [None, Some(at_ms(100)), Some(at_ms(200))]);
}
