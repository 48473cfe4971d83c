//! Guards changes of the membership: a VM that can't come back, or that is taken for a member too early, harms a cell.

#[path = "fixture/cell.rs"]
mod fixture;

use fixture::{cell, holder, membership, millis, run};
use kumquat_coordination::authority::{Authority, Heartbeat, Options};
use kumquat_coordination::coordinator::{Coordinator, Step, View};
use kumquat_state::bundle::Bundle;
use kumquat_state::clock::Instant;
use kumquat_state::ident::{Revision, Version};
use kumquat_state::ledger::{Holder, Ledger, Member};

/// VM 2 of three is lost.
fn without_last(from: usize, to: usize) -> bool {
    from != 2 && to != 2
}

fn members(holders: &[Holder]) -> Vec<Member> {
    membership(0, holders).members
}

/// Returns the ledger that VM 0 would write next.
fn plan(machine: &Authority, ledger: &Ledger, live: &[Member], now: Instant) -> Option<Ledger> {
    let view = View {
        ledger,
        bundle: &Bundle::default(),
        live,
        leaving: &[],
        is_fenced: &|holder| machine.is_fenced(holder),
        may_change_membership: &|next| machine.may_change(now, next),
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

/// Guards against a planner that proposes only what the rules of the membership refuse: both halves in one write.
#[test]
fn a_replaced_member_of_three_leaves_first_and_joins_then() {
    let mut machines = cell(3);
    let (lost, successor) = (holder(2, 1), holder(2, 2));
    let seekers = [(0, lost.clone()), (1, lost.clone())];
    run(&mut machines, &without_last, 0..5_000, &seekers);
    assert!(machines[0].is_fenced(&lost));
    let live = members(&[holder(0, 1), holder(1, 1), successor.clone()]);
    let mut ledger = Ledger {
        revision: Revision(1),
        membership: membership(1, &[holder(0, 1), holder(1, 1), lost.clone()]),
        ..Ledger::default()
    };

    let mut versions = Vec::new();
    for round in 1..=2 {
        let time = 5_000 * round;
        ledger = plan(&machines[0], &ledger, &live, millis(time)).expect("a change");
        for machine in machines.iter_mut().take(2) {
            machine.set_membership(millis(time), &ledger.membership);
        }
        run(&mut machines, &without_last, time..time + 5_000, &[]);
        versions.push(ledger.membership.clone());
    }

    assert_eq!(versions[0], membership(2, &[holder(0, 1), holder(1, 1)]));
    let complete = [holder(0, 1), holder(1, 1), successor];
    assert_eq!(versions[1], membership(3, &complete));
}

/// Guards against a lost VM that shrinks a cell of three although nobody waits for its place.
#[test]
fn a_lost_member_of_three_stays_until_another_run_of_it_is_live() {
    let mut machines = cell(3);
    let lost = holder(2, 1);
    let seekers = [(0, lost.clone()), (1, lost.clone())];
    run(&mut machines, &without_last, 0..5_000, &seekers);
    let ledger = Ledger {
        revision: Revision(1),
        membership: membership(1, &[holder(0, 1), holder(1, 1), lost]),
        ..Ledger::default()
    };

    let live = members(&[holder(0, 1), holder(1, 1)]);
    let next = plan(&machines[0], &ledger, &live, millis(5_000));

    assert_eq!(next.map(|next| next.membership), None);
}

/// Guards against a joining VM that relies on one member for what the cell has in force.
#[test]
fn a_joining_vm_counts_a_majority_of_the_members() {
    let all = [holder(0, 1), holder(1, 1), holder(2, 1)];
    let mut joining = Authority::new(holder(3, 1), Options::default(), millis(0));
    joining.set_membership(millis(0), &membership(1, &all));
    let mut hear = |number: usize, time: u64| {
        let heartbeat = Heartbeat {
            from: holder(number, 1),
            sequence: 1,
            echo: None,
            membership: Version(1),
            bundle: Version(0),
            ledger: Revision(0),
            pledges: Vec::new(),
        };
        joining.on_heartbeat(millis(time), &heartbeat);
        joining.majority_heard()
    };

    let heard = [hear(0, 100), hear(1, 200), hear(2, 300)];

    // With all three heard, the older of the two latest is what a majority has said at least since then.
    assert_eq!(heard, [None, Some(millis(100)), Some(millis(200))]);
}
