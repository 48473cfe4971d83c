//! Guards the recovery of a lost cell: after a premature one, two memberships could act at the same time.

use kumquat_coordination::coordinator::reform;
use kumquat_state::ident::{Epoch, Incarnation, Revision, Version};
use kumquat_state::ledger::{Holder, Ledger, Member, Membership, Role, RoleName};

fn member(number: usize, incarnation: u64) -> Member {
    Member {
        vm: format!("vm-{number}").parse().expect("a valid name"),
        incarnation: Incarnation(incarnation),
        data_centre: "a".parse().expect("a valid name"),
        address: "127.0.0.1:7000".parse().expect("an address"),
    }
}

fn holder(member: &Member) -> Holder {
    Holder {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    }
}

/// Returns a ledger of five members that are all holders of one role.
fn ledger() -> Ledger {
    let members: Vec<Member> = (1..=5).map(|number| member(number, 1)).collect();
    Ledger {
        revision: Revision(7),
        roles: vec![Role {
            name: RoleName::Home {
                team: "pilots".parse().expect("a valid name"),
            },
            epoch: Epoch(3),
            holders: members.iter().map(holder).collect(),
        }],
        membership: Membership {
            version: Version(4),
            members,
        },
        ..Ledger::default()
    }
}

/// Guards against a new membership while a majority of the old one may still act.
#[test]
fn restarted_minority_does_not_reform_the_cell() {
    let live = [member(1, 2), member(2, 2), member(3, 1), member(6, 1)];

    let next = reform(&ledger(), &live);

    assert_eq!(next, None);
}

/// Guards against members without heartbeats that are counted as ended.
#[test]
fn silent_members_do_not_count_as_restarted() {
    let live = [member(1, 2), member(2, 2)];

    let next = reform(&ledger(), &live);

    assert_eq!(next, None);
}

/// Guards against ended incarnations that keep their membership or a role.
#[test]
fn restarted_majority_replaces_its_old_incarnations() {
    let live = [member(1, 2), member(2, 2), member(3, 2), member(4, 1)];

    let next = reform(&ledger(), &live).expect("the cell is lost");

    assert_eq!(next.revision, Revision(8));
    assert_eq!(next.membership.version, Version(5));
    assert_eq!(next.membership.members, live);
    assert_eq!(next.roles[0].holders, [holder(&member(4, 1))]);
    assert_eq!(next.roles[0].epoch, Epoch(8));
}
