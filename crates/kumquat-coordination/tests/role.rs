//! Guards the acting rule and the change rule: two VMs acting for one role would own keys twice.

#[path = "fixture/cell.rs"]
mod fixture;

use std::slice::from_ref;

use fixture::{cell, connected, holder, home, membership, millis, role, run, without_first};
use kumquat_coordination::authority::Authority;
use kumquat_coordination::role::{Error, Release, Released, acting, may_replace};
use kumquat_state::ident::{Epoch, FencingToken, Revision};
use kumquat_state::ledger::{Holder, Ledger};

fn ledger(revision: u64, holders: &[Holder]) -> Ledger {
    Ledger {
        revision: Revision(revision),
        membership: membership(1, &[holder(0, 1), holder(1, 1), holder(2, 1)]),
        roles: vec![role(3, holders)],
        ..Ledger::default()
    }
}

fn release(holder: Holder, revision: u64) -> Release {
    Release {
        holder,
        revision: Revision(revision),
    }
}

/// Guards against a successor that acts before its predecessor is fenced, or not at all afterwards.
#[test]
fn a_successor_acts_after_the_fence_with_a_higher_token() {
    let mut machines = cell(3);
    let ledger = ledger(5, &[holder(0, 1), holder(1, 1)]);
    let released = Released::default();
    run(&mut machines, &connected, 0..1000, &[]);
    let act = |machine: &Authority, time| {
        acting(
            &ledger,
            machine.me(),
            &home(),
            machine,
            &released,
            millis(time),
        )
    };
    let first = act(&machines[0], 1000).expect("the first holder acts");
    assert_eq!((first.rank, first.fence), (0, FencingToken(3 * 256)));
    assert_eq!(act(&machines[1], 1000), None);

    let seekers = [(1, holder(0, 1))];
    run(&mut machines, &without_first, 1000..2500, &seekers);

    let second = act(&machines[1], 2500).expect("the successor acts");
    assert_eq!((second.rank, second.fence), (1, FencingToken(3 * 256 + 1)));
    assert_eq!(act(&machines[0], 2500), None);
}

/// Guards against a holder that acts again at the revision at which it has released.
#[test]
fn a_released_role_is_resumed_only_at_a_higher_revision() {
    let mut machines = cell(3);
    run(&mut machines, &connected, 0..1000, &[]);
    let mut released = Released::default();
    released.release(&home(), Revision(5));

    let act = |revision| {
        let ledger = ledger(revision, &[holder(0, 1)]);
        let machine = &machines[0];
        acting(
            &ledger,
            machine.me(),
            &home(),
            machine,
            &released,
            millis(1000),
        )
    };

    assert_eq!(act(4), None);
    assert_eq!(act(5), None);
    assert!(act(6).is_some());
}

/// Guards against every way in which a changed list could let an old and a new holder act together.
#[test]
fn a_list_changes_only_as_the_change_rule_allows() {
    let [a, b, c] = [holder(0, 1), holder(1, 1), holder(2, 1)];
    let old = role(3, &[a.clone(), b.clone()]);
    let check = |holders: &[Holder], fenced: &[Holder], released: &[Release]| {
        may_replace(&old, &role(4, holders), Revision(5), fenced, released)
    };
    let list = |holders: [&Holder; 2]| holders.map(Clone::clone);

    assert_eq!(check(&[a.clone(), b.clone(), c.clone()], &[], &[]), Ok(()));
    assert_eq!(
        check(&[c.clone(), a.clone(), b.clone()], &[], &[]),
        Err(Error::MovedBack(a.clone()))
    );
    assert_eq!(
        check(&list([&b, &a]), &[], &[]),
        Err(Error::MovedBack(a.clone()))
    );
    assert_eq!(
        check(&list([&b, &a]), &[], &[release(a.clone(), 5)]),
        Ok(())
    );
    assert_eq!(
        check(&list([&b, &a]), &[], &[release(a.clone(), 4)]),
        Err(Error::MovedBack(a.clone())),
        "a release at an earlier revision does not count"
    );
    assert_eq!(
        check(from_ref(&b), &[], &[]),
        Err(Error::Removed(a.clone()))
    );
    assert_eq!(check(from_ref(&b), from_ref(&a), &[]), Ok(()));
    assert_eq!(
        check(from_ref(&a), &[], &[]),
        Err(Error::Removed(b.clone()))
    );
    assert_eq!(
        check(&list([&a, &a]), from_ref(&b), &[]),
        Err(Error::Duplicate(a.clone()))
    );
    assert_eq!(
        may_replace(&old, &role(3, &[a, b, c]), Revision(5), &[], &[]),
        Err(Error::Epoch {
            old: Epoch(3),
            new: Epoch(3)
        }),
        "tokens of both lists would be equal"
    );
}
