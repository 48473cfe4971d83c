//! Guards the authority protocol: a wrong rule lets two VMs act for one role, or none.

#[path = "fixture/cell.rs"]
mod fixture;

use std::time::Duration;

use fixture::{cell, connected, holder, membership, millis, run, without_first};
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

fn request(from: Holder, target: Holder, binding: bool) -> FenceRequest {
    FenceRequest {
        from,
        target,
        membership: Version(1),
        binding,
    }
}

fn agreement(from: Holder, target: Holder, binding: bool) -> FenceReply {
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

/// Guards against a promise that counts from the arrival of its echo: the voter counted from an earlier time.
#[test]
fn late_and_duplicated_echoes_count_from_the_time_of_sending() {
    let mut machine = cell(3).swap_remove(0);
    machine.tick(millis(0));
    machine.tick(millis(200));

    machine.on_heartbeat(millis(700), &heartbeat(holder(1, 1), 1, Some(1)));
    let first = machine.valid_until();
    machine.on_heartbeat(millis(900), &heartbeat(holder(1, 1), 2, Some(1)));

    assert_eq!(first, Some(millis(990)));
    assert_eq!(machine.valid_until(), first, "a duplicate extends nothing");
    assert!(machine.may_act(millis(989)) && !machine.may_act(millis(990)));
}

/// Guards against a new incarnation that lives on the promises given to the old one.
#[test]
fn echoes_of_another_incarnation_or_of_unsent_heartbeats_are_counted_and_ignored() {
    let mut machine = Authority::new(holder(0, 2), Options::default(), millis(0));
    machine.set_membership(
        millis(0),
        &membership(1, &[holder(0, 2), holder(1, 1), holder(2, 1)]),
    );
    machine.tick(millis(0));

    machine.on_heartbeat(millis(1), &heartbeat(holder(1, 1), 1, Some(1)));
    let mut unsent = heartbeat(holder(2, 1), 1, Some(7));
    unsent.echo = Some(Echo {
        incarnation: Incarnation(2),
        sequence: 7,
    });
    machine.on_heartbeat(millis(1), &unsent);

    assert_eq!(machine.valid_until(), None);
    assert_eq!(machine.counters().mismatched_echoes, 1);
    assert_eq!(machine.counters().invalid_echoes, 1);
}

/// Guards against votes of a VM that has forgotten its promises in a restart.
#[test]
fn a_restarted_vm_neither_votes_nor_acts_before_it_is_listed() {
    let mut machine = Authority::new(holder(0, 2), Options::default(), millis(0));
    let old = membership(1, &[holder(0, 1), holder(1, 1), holder(2, 1)]);
    machine.set_membership(millis(0), &old);
    machine.on_heartbeat(millis(0), &heartbeat(holder(1, 1), 1, None));

    let sent = machine.tick(millis(0));
    let reply = machine.on_fence_request(millis(5000), &request(holder(1, 1), holder(2, 1), true));

    let echoed = sent.iter().any(|action| {
        matches!(action, Action::Send { message: Message::Heartbeat(sent), .. } if sent.echo.is_some())
    });
    assert!(!echoed);
    assert_eq!(verdict(&reply), Some(Verdict::Refused));
    assert!(!machine.may_act(millis(5000)));
}

/// Guards against the loss of a live VM to one slow link.
#[test]
fn a_voter_that_hears_the_target_refuses() {
    let mut machines = cell(3);
    run(&mut machines, &connected, 0..1000, &[]);

    // Only the link between 0 and 1 is cut: 2 hears both.
    let open = |from, to| from == 2 || to == 2 || from == to;
    let seekers = [(0, holder(1, 1))];
    run(&mut machines, &open, 1000..4000, &seekers);

    assert!(!machines[1].is_evicted());
    assert!(machines[1].may_act(millis(4000)));
    assert!(!machines[0].is_fenced(&holder(1, 1)));
}

/// Guards against a takeover that is too early for safety or too late for the aim of section 3.
#[test]
fn a_lost_vm_is_fenced_between_1000_and_1100_ms_after_its_last_heartbeat() {
    let mut machines = cell(5);
    run(&mut machines, &connected, 0..1050, &[]);
    let until = machines[0].valid_until().expect("authority");

    let seekers = [(1, holder(0, 1))];
    let fenced_at = (1050..3000)
        .step_by(50)
        .find(|time| {
            let range = *time..time + 50;
            let actions = run(&mut machines, &without_first, range, &seekers);
            actions.contains(&(1, Action::Fenced(holder(0, 1))))
        })
        .map(millis)
        .expect("a fence");

    assert!(fenced_at >= until, "fenced while the target may act");
    let after = fenced_at.saturating_since(millis(1000));
    assert!(after <= Duration::from_millis(1100), "{after:?}");
}

/// Guards against a pledge that is forgotten or taken back: the fenced VM would obtain a majority again.
#[test]
fn a_pledge_is_permanent_and_carries_the_time_left() {
    let mut machine = cell(3).swap_remove(0);
    machine.on_heartbeat(millis(0), &heartbeat(holder(1, 1), 1, None));
    machine.tick(millis(400));
    machine.tick(millis(700));

    let reply = machine.on_fence_request(millis(700), &request(holder(2, 1), holder(1, 1), true));
    machine.on_heartbeat(millis(750), &heartbeat(holder(1, 1), 2, None));
    let sent = machine.tick(millis(1000));

    let remaining = Duration::from_millis(310);
    assert_eq!(verdict(&reply), Some(Verdict::Agreed { remaining }));
    let beats: Vec<&Heartbeat> = sent
        .iter()
        .filter_map(|action| match action {
            Action::Send {
                message: Message::Heartbeat(beat),
                ..
            } => Some(beat),
            _ => None,
        })
        .collect();
    assert_eq!(beats.len(), 2);
    assert!(
        beats
            .iter()
            .all(|beat| beat.echo.is_none() && beat.pledges == [holder(1, 1)])
    );
}

/// Guards against two majorities that do not intersect, formed under two membership versions.
#[test]
fn senders_with_an_outdated_membership_get_neither_echo_nor_pledge() {
    let mut machine = cell(3).swap_remove(0);
    machine.on_heartbeat(millis(0), &heartbeat(holder(1, 1), 1, None));
    machine.set_membership(
        millis(0),
        &membership(2, &[holder(0, 1), holder(1, 1), holder(2, 1), holder(3, 1)]),
    );

    let sent = machine.tick(millis(300));
    machine.tick(millis(700));
    let reply = machine.on_fence_request(millis(700), &request(holder(1, 1), holder(2, 1), true));

    assert!(sent.iter().all(|action| !matches!(
        action,
        Action::Send { message: Message::Heartbeat(beat), .. } if beat.echo.is_some()
    )));
    assert_eq!(verdict(&reply), Some(Verdict::Refused));
}

/// Guards against a VM that votes others out because it was itself paused.
#[test]
fn a_vm_that_was_paused_suspects_nobody_at_once() {
    let mut machines = cell(3);
    run(&mut machines, &connected, 0..1000, &[]);

    machines[0].tick(millis(9000));

    assert!(machines[0].suspects(millis(9000)).is_empty());
}

/// Guards against a membership change that breaks the intersection of majorities or revives a fenced VM.
#[test]
fn the_membership_changes_by_one_after_confirmation() {
    let mut machines = cell(3);
    let old = [holder(0, 1), holder(1, 1), holder(2, 1)];
    let joined = membership(2, &[&old[..], &[holder(3, 1)]].concat());
    let swapped = membership(2, &[holder(0, 2), holder(1, 1), holder(2, 1)]);
    let left = membership(2, &old[1..]);

    run(&mut machines, &connected, 0..1000, &[]);
    let early = machines[1].may_change_membership(millis(1000), &joined);
    run(&mut machines, &connected, 1000..1200, &[]);
    assert!(!early);
    assert!(machines[1].may_change_membership(millis(1200), &joined));
    assert!(!machines[1].may_change_membership(millis(1200), &swapped));

    // A single pledge against VM 0: it must leave before anybody joins.
    let mut beat = heartbeat(holder(2, 1), 1000, None);
    beat.pledges = vec![holder(0, 1)];
    machines[1].on_heartbeat(millis(1200), &beat);
    assert!(!machines[1].may_change_membership(millis(1200), &joined));
    assert!(machines[1].may_change_membership(millis(1200), &left));
}

/// Guards against a VM that goes on as if nothing had happened after others have given it up.
#[test]
fn a_vm_learns_of_a_pledge_against_itself_once() {
    let mut machine = cell(3).swap_remove(0);
    let mut beat = heartbeat(holder(1, 1), 1, None);
    beat.pledges = vec![holder(0, 1)];

    let first = machine.on_heartbeat(millis(0), &beat);
    beat.sequence = 2;
    let second = machine.on_heartbeat(millis(200), &beat);

    assert_eq!(first, [Action::Evicted]);
    assert!(second.is_empty() && machine.is_evicted());
}

/// Guards against a takeover that is late because a pledge was first seen in a heartbeat, which assumes a whole promise.
#[test]
fn a_pledge_seen_in_a_heartbeat_is_still_asked_for() {
    let mut machine = cell(3).swap_remove(0);
    machine.on_heartbeat(millis(0), &heartbeat(holder(2, 1), 1, None));
    machine.tick(millis(400));
    machine.on_heartbeat(millis(600), &heartbeat(holder(1, 1), 1, None));
    machine.seek_fence(millis(700), &holder(2, 1));
    machine.on_fence_reply(millis(700), &agreement(holder(1, 1), holder(2, 1), false));

    let mut beat = heartbeat(holder(1, 1), 2, None);
    beat.pledges = vec![holder(2, 1)];
    machine.on_heartbeat(millis(710), &beat);
    let asked = machine.tick(millis(800));
    machine.on_fence_reply(millis(800), &agreement(holder(1, 1), holder(2, 1), true));
    let fenced = machine.tick(millis(1010));

    assert!(asked.iter().any(|action| matches!(
        action,
        Action::Send { message: Message::FenceRequest(request), .. } if request.binding
    )));
    assert!(fenced.contains(&Action::Fenced(holder(2, 1))));
}

/// Guards against a fenced coordinator that removes the members that have pledged against it, and acts again.
#[test]
fn a_coordinator_counts_pledges_against_itself() {
    let mut machines = cell(3);
    run(&mut machines, &connected, 0..1200, &[]);
    let left = membership(2, &[holder(0, 1), holder(1, 1)]);
    let before = machines[0].may_change_membership(millis(1200), &left);

    let mut by_request = machines[0].clone();
    by_request.on_fence_request(millis(1200), &request(holder(2, 1), holder(0, 1), true));
    let mut by_heartbeat = machines[0].clone();
    let mut beat = heartbeat(holder(2, 1), 1000, None);
    beat.pledges = vec![holder(0, 1)];
    by_heartbeat.on_heartbeat(millis(1200), &beat);

    assert!(before);
    assert!(!by_request.may_change_membership(millis(1200), &left));
    assert!(!by_heartbeat.may_change_membership(millis(1200), &left));
}
