//! Tests the rules for acting and for holder list changes: two VMs that act for one role would both own its keys.

#[path = "fixture/cell.rs"]
mod fixture;

use std::slice::from_ref;

use fixture::{
    all_links_up, at_ms, cell, first_vm_lost, holder, home_role, membership, role, run_cell,
};
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

fn release_at(holder: Holder, revision: u64) -> Release {
    Release {
        holder,
        revision: Revision(revision),
    }
}

/// Guards against a successor that acts before its predecessor is fenced, or that does not act after the fence.
#[test]
fn successor_acts_with_higher_token_once_predecessor_is_fenced() {
    let mut machines = cell(3);
    let ledger = ledger(5, &[holder(0, 1), holder(1, 1)]);
    let released = Released::default();
    run_cell(&mut machines, &all_links_up, 0..1000, &[]);
    let acting_at = |machine: &Authority, time| {
        acting(
            &ledger,
            machine.me(),
            &home_role(),
            machine,
            &released,
            at_ms(time),
        )
    };
    let first = acting_at(&machines[0], 1000).expect("the first holder acts");
    assert_eq!(
        (first.rank, first.fencing_token),
        (0, FencingToken(3 * 256))
    );
    assert_eq!(acting_at(&machines[1], 1000), None);

    let campaigns = [(1, holder(0, 1))];
    run_cell(&mut machines, &first_vm_lost, 1000..2500, &campaigns);

    let second = acting_at(&machines[1], 2500).expect("the successor acts");
    assert_eq!(
        (second.rank, second.fencing_token),
        (1, FencingToken(3 * 256 + 1))
    );
    assert_eq!(acting_at(&machines[0], 2500), None);
}

/// Guards against a holder that acts again at or below the revision at which it released the role.
#[test]
fn released_role_is_acted_for_again_only_at_higher_revision() {
    let mut machines = cell(3);
    run_cell(&mut machines, &all_links_up, 0..1000, &[]);
    let mut released = Released::default();
    released.release(&home_role(), Revision(5));

    let acting_at = |revision| {
        let ledger = ledger(revision, &[holder(0, 1)]);
        let machine = &machines[0];
        acting(
            &ledger,
            machine.me(),
            &home_role(),
            machine,
            &released,
            at_ms(1000),
        )
    };

    assert_eq!(acting_at(4), None);
    assert_eq!(acting_at(5), None);
    assert!(acting_at(6).is_some());
}

/// Guards against list changes after which an old and a new holder act at once: removal, reordering, a repeated holder
/// or a repeated epoch.
#[test]
fn holder_list_change_requires_fence_or_release() {
    let [a, b, c] = [holder(0, 1), holder(1, 1), holder(2, 1)];
    let old = role(3, &[a.clone(), b.clone()]);
    let check = |holders: &[Holder], fenced: &[Holder], released: &[Release]| {
        may_replace(&old, &role(4, holders), Revision(5), fenced, released)
    };
    let pair = |holders: [&Holder; 2]| holders.map(Clone::clone);

    assert_eq!(check(&[a.clone(), b.clone(), c.clone()], &[], &[]), Ok(()));
    assert_eq!(
        check(&[c.clone(), a.clone(), b.clone()], &[], &[]),
        Err(Error::UnsafeDemotion(a.clone()))
    );
    assert_eq!(
        check(&pair([&b, &a]), &[], &[]),
        Err(Error::UnsafeDemotion(a.clone()))
    );
    assert_eq!(
        check(&pair([&b, &a]), &[], &[release_at(a.clone(), 5)]),
        Ok(())
    );
    assert_eq!(
        check(&pair([&b, &a]), &[], &[release_at(a.clone(), 4)]),
        Err(Error::UnsafeDemotion(a.clone())),
        "a release at an earlier revision does not count"
    );
    assert_eq!(
        check(from_ref(&b), &[], &[]),
        Err(Error::UnsafeRemoval(a.clone()))
    );
    assert_eq!(check(from_ref(&b), from_ref(&a), &[]), Ok(()));
    assert_eq!(
        check(from_ref(&a), &[], &[]),
        Err(Error::UnsafeRemoval(b.clone()))
    );
    assert_eq!(
        check(&pair([&a, &a]), from_ref(&b), &[]),
        Err(Error::DuplicateHolder(a.clone()))
    );
    assert_eq!(
        may_replace(&old, &role(3, &[a, b, c]), Revision(5), &[], &[]),
        Err(Error::EpochNotRaised {
            old: Epoch(3),
            new: Epoch(3)
        }),
        "tokens of both lists would be equal"
    );
}
