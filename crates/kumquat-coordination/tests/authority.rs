//! Tests the authority protocol, whose faults would let two VMs act for one role, or none.

#[path = "fixture/cell.rs"]
mod fixture;

use std::time::Duration;

use fixture::{all_links_up, at_ms, cell, first_vm_lost, holder, membership, run_cell};
use kumquat_coordination::authority::{
    Action, Authority, Echo, FenceReply, FenceRequest, Heartbeat, Message, Options, Verdict,
};
use kumquat_state::ident::{Incarnation, Revision, Version};
use kumquat_state::ledger::Holder;

fn heartbeat(from: Holder, sequence: u64, echo: Option<u64>) -> Heartbeat {
    Heartbeat {
        from,
        sequence,
        echo: echo.map(|sequence| Echo {
            incarnation: Incarnation(1),
            sequence,
        }),
        membership: Version(1),
        bundle: Version(0),
        ledger: Revision(0),
        pledges: Vec::new(),
    }
}

fn fence_request(from: Holder, target: Holder, binding: bool) -> FenceRequest {
    FenceRequest {
        from,
        target,
        membership: Version(1),
        binding,
    }
}

fn agreeing_reply(from: Holder, target: Holder, binding: bool) -> FenceReply {
    FenceReply {
        from,
        target,
        membership: Version(1),
        binding,
        verdict: Verdict::Agreed {
            remaining: Duration::from_millis(200),
        },
    }
}

fn verdict(actions: &[Action]) -> Option<Verdict> {
    actions.iter().find_map(|action| match action {
        Action::Send {
            message: Message::FenceReply(reply),
            ..
        } => Some(reply.verdict),
        _ => None,
    })
}

/// Guards against a promise that counts from the arrival of its echo: it would outlast the voter's own count.
#[test]
fn promise_counts_from_sending_despite_late_or_duplicate_echo() {
    let mut machine = cell(3).swap_remove(0);
    machine.tick(at_ms(0));
    machine.tick(at_ms(200));

    machine.on_heartbeat(at_ms(700), &heartbeat(holder(1, 1), 1, Some(1)));
    let first = machine.valid_until();
    machine.on_heartbeat(at_ms(900), &heartbeat(holder(1, 1), 2, Some(1)));

    assert_eq!(first, Some(at_ms(990)));
    assert_eq!(
        machine.valid_until(),
        first,
        "a duplicate echo extended the promise"
    );
    assert!(machine.may_act(at_ms(989)) && !machine.may_act(at_ms(990)));
}

/// Guards against a new incarnation that uses promises given to its predecessor, and against echoes of heartbeats that
/// were never sent.
#[test]
fn echoes_of_other_incarnation_or_unsent_heartbeat_are_ignored() {
    let mut machine = Authority::new(holder(0, 2), Options::default(), at_ms(0));
    machine.set_membership(
        at_ms(0),
        &membership(1, &[holder(0, 2), holder(1, 1), holder(2, 1)]),
    );
    machine.tick(at_ms(0));

    machine.on_heartbeat(at_ms(1), &heartbeat(holder(1, 1), 1, Some(1)));
    let mut echo_of_unsent = heartbeat(holder(2, 1), 1, Some(7));
    echo_of_unsent.echo = Some(Echo {
        incarnation: Incarnation(2),
        sequence: 7,
    });
    machine.on_heartbeat(at_ms(1), &echo_of_unsent);

    assert_eq!(machine.valid_until(), None);
    assert_eq!(machine.counters().mismatched_echoes, 1);
    assert_eq!(machine.counters().invalid_echoes, 1);
}

/// Guards against votes of a restarted VM, which no longer knows the promises that it gave before.
#[test]
fn restarted_vm_neither_votes_nor_acts_until_it_is_a_member() {
    let mut machine = Authority::new(holder(0, 2), Options::default(), at_ms(0));
    let old = membership(1, &[holder(0, 1), holder(1, 1), holder(2, 1)]);
    machine.set_membership(at_ms(0), &old);
    machine.on_heartbeat(at_ms(0), &heartbeat(holder(1, 1), 1, None));

    let sent = machine.tick(at_ms(0));
    let reply = machine.on_fence_request(
        at_ms(5000),
        &fence_request(holder(1, 1), holder(2, 1), true),
    );

    let echoed = sent.iter().any(|action| {
        matches!(action, Action::Send { message: Message::Heartbeat(sent), .. } if sent.echo.is_some())
    });
    assert!(!echoed);
    assert_eq!(verdict(&reply), Some(Verdict::Refused));
    assert!(!machine.may_act(at_ms(5000)));
}

/// Guards against fencing a live VM because a single link to it fails.
#[test]
fn voter_that_hears_target_refuses_to_fence_it() {
    let mut machines = cell(3);
    run_cell(&mut machines, &all_links_up, 0..1000, &[]);

    // Only the link between VMs 0 and 1 is down; VM 2 hears both.
    let link_up = |from, to| from == 2 || to == 2 || from == to;
    let campaigns = [(0, holder(1, 1))];
    run_cell(&mut machines, &link_up, 1000..4000, &campaigns);

    assert!(!machines[1].is_evicted());
    assert!(machines[1].may_act(at_ms(4000)));
    assert!(!machines[0].is_fenced(&holder(1, 1)));
}

/// Guards against a fence while the target may still act, and against one later than section 3 of the design aims for.
#[test]
fn lost_vm_is_fenced_within_1100_ms_but_not_before_its_authority_expires() {
    let mut machines = cell(5);
    run_cell(&mut machines, &all_links_up, 0..1050, &[]);
    let until = machines[0].valid_until().expect("authority");

    let campaigns = [(1, holder(0, 1))];
    let fenced_at = (1050..3000)
        .step_by(50)
        .find(|time| {
            let range = *time..time + 50;
            let actions = run_cell(&mut machines, &first_vm_lost, range, &campaigns);
            actions.contains(&(1, Action::Fenced(holder(0, 1))))
        })
        .map(at_ms)
        .expect("a fence");

    assert!(fenced_at >= until, "fenced while the target may still act");
    let delay = fenced_at.saturating_since(at_ms(1000));
    assert!(delay <= Duration::from_millis(1100), "{delay:?}");
}

/// Guards against a pledge that is lost or withdrawn: the fenced VM could get promises from a majority again.
#[test]
fn pledge_is_permanent_and_reply_carries_remaining_promise() {
    let mut machine = cell(3).swap_remove(0);
    machine.on_heartbeat(at_ms(0), &heartbeat(holder(1, 1), 1, None));
    machine.tick(at_ms(400));
    machine.tick(at_ms(700));

    let reply =
        machine.on_fence_request(at_ms(700), &fence_request(holder(2, 1), holder(1, 1), true));
    machine.on_heartbeat(at_ms(750), &heartbeat(holder(1, 1), 2, None));
    let sent = machine.tick(at_ms(1000));

    let remaining = Duration::from_millis(310);
    assert_eq!(verdict(&reply), Some(Verdict::Agreed { remaining }));
    let heartbeats: Vec<&Heartbeat> = sent
        .iter()
        .filter_map(|action| match action {
            Action::Send {
                message: Message::Heartbeat(heartbeat),
                ..
            } => Some(heartbeat),
            _ => None,
        })
        .collect();
    assert_eq!(heartbeats.len(), 2);
    assert!(
        heartbeats
            .iter()
            .all(|heartbeat| heartbeat.echo.is_none() && heartbeat.pledges == [holder(1, 1)])
    );
}

/// Guards against disjoint majorities that are formed under different membership versions.
#[test]
fn sender_with_outdated_membership_gets_neither_echo_nor_pledge() {
    let mut machine = cell(3).swap_remove(0);
    machine.on_heartbeat(at_ms(0), &heartbeat(holder(1, 1), 1, None));
    machine.set_membership(
        at_ms(0),
        &membership(2, &[holder(0, 1), holder(1, 1), holder(2, 1), holder(3, 1)]),
    );

    let sent = machine.tick(at_ms(300));
    machine.tick(at_ms(700));
    let reply =
        machine.on_fence_request(at_ms(700), &fence_request(holder(1, 1), holder(2, 1), true));

    assert!(sent.iter().all(|action| !matches!(
        action,
        Action::Send { message: Message::Heartbeat(heartbeat), .. } if heartbeat.echo.is_some()
    )));
    assert_eq!(verdict(&reply), Some(Verdict::Refused));
}

/// Guards against a VM that tries to fence others because it was itself paused and missed their heartbeats.
#[test]
fn vm_suspects_nobody_right_after_its_own_pause() {
    let mut machines = cell(3);
    run_cell(&mut machines, &all_links_up, 0..1000, &[]);

    machines[0].tick(at_ms(9000));

    assert!(machines[0].suspects(at_ms(9000)).is_empty());
}

/// Guards against a membership change after which majorities need not intersect, or a fenced VM regains a majority.
#[test]
fn membership_changes_by_one_incarnation_after_confirmation() {
    let mut machines = cell(3);
    let old = [holder(0, 1), holder(1, 1), holder(2, 1)];
    let with_one_added = membership(2, &[&old[..], &[holder(3, 1)]].concat());
    let replaced = membership(2, &[holder(0, 2), holder(1, 1), holder(2, 1)]);
    let with_one_removed = membership(2, &old[1..]);

    run_cell(&mut machines, &all_links_up, 0..1000, &[]);
    let before_confirmation = machines[1].may_change_membership(at_ms(1000), &with_one_added);
    run_cell(&mut machines, &all_links_up, 1000..1200, &[]);
    assert!(!before_confirmation);
    assert!(machines[1].may_change_membership(at_ms(1200), &with_one_added));
    assert!(!machines[1].may_change_membership(at_ms(1200), &replaced));

    // After a single pledge against VM 0, it must leave before another VM may join.
    let mut pledging_heartbeat = heartbeat(holder(2, 1), 1000, None);
    pledging_heartbeat.pledges = vec![holder(0, 1)];
    machines[1].on_heartbeat(at_ms(1200), &pledging_heartbeat);
    assert!(!machines[1].may_change_membership(at_ms(1200), &with_one_added));
    assert!(machines[1].may_change_membership(at_ms(1200), &with_one_removed));
}

/// Guards against a VM that keeps its incarnation after others have pledged against it, and against repeated reports.
#[test]
fn pledge_against_own_vm_is_reported_once() {
    let mut machine = cell(3).swap_remove(0);
    let mut pledging_heartbeat = heartbeat(holder(1, 1), 1, None);
    pledging_heartbeat.pledges = vec![holder(0, 1)];

    let first = machine.on_heartbeat(at_ms(0), &pledging_heartbeat);
    pledging_heartbeat.sequence = 2;
    let second = machine.on_heartbeat(at_ms(200), &pledging_heartbeat);

    assert_eq!(first, [Action::Evicted]);
    assert!(second.is_empty() && machine.is_evicted());
}

/// Guards against a late takeover: a pledge learned from a heartbeat assumes a full promise, so it must still be
/// requested for the time that is really left.
#[test]
fn pledge_from_heartbeat_is_still_requested_for_its_exact_expiry() {
    let mut machine = cell(3).swap_remove(0);
    machine.on_heartbeat(at_ms(0), &heartbeat(holder(2, 1), 1, None));
    machine.tick(at_ms(400));
    machine.on_heartbeat(at_ms(600), &heartbeat(holder(1, 1), 1, None));
    machine.seek_fence(at_ms(700), &holder(2, 1));
    machine.on_fence_reply(
        at_ms(700),
        &agreeing_reply(holder(1, 1), holder(2, 1), false),
    );

    let mut pledging_heartbeat = heartbeat(holder(1, 1), 2, None);
    pledging_heartbeat.pledges = vec![holder(2, 1)];
    machine.on_heartbeat(at_ms(710), &pledging_heartbeat);
    let sent = machine.tick(at_ms(800));
    machine.on_fence_reply(
        at_ms(800),
        &agreeing_reply(holder(1, 1), holder(2, 1), true),
    );
    let fenced = machine.tick(at_ms(1010));

    assert!(sent.iter().any(|action| matches!(
        action,
        Action::Send { message: Message::FenceRequest(request), .. } if request.binding
    )));
    assert!(fenced.contains(&Action::Fenced(holder(2, 1))));
}

/// Guards against a coordinator that removes the members that have pledged against it and so regains a majority.
#[test]
fn pledge_against_coordinator_prevents_removal_of_its_voter() {
    let mut machines = cell(3);
    run_cell(&mut machines, &all_links_up, 0..1200, &[]);
    let with_one_removed = membership(2, &[holder(0, 1), holder(1, 1)]);
    let allowed_before_pledge = machines[0].may_change_membership(at_ms(1200), &with_one_removed);

    let mut by_request = machines[0].clone();
    by_request.on_fence_request(
        at_ms(1200),
        &fence_request(holder(2, 1), holder(0, 1), true),
    );
    let mut by_heartbeat = machines[0].clone();
    let mut pledging_heartbeat = heartbeat(holder(2, 1), 1000, None);
    pledging_heartbeat.pledges = vec![holder(0, 1)];
    by_heartbeat.on_heartbeat(at_ms(1200), &pledging_heartbeat);

    assert!(allowed_before_pledge);
    assert!(!by_request.may_change_membership(at_ms(1200), &with_one_removed));
    assert!(!by_heartbeat.may_change_membership(at_ms(1200), &with_one_removed));
}
