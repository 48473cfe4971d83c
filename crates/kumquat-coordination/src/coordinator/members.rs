//! Membership of the cell, which changes by one VM at a time.

use kumquat_state::ident::{Version, Vm};
use kumquat_state::ledger::{Holder, Member, Membership};

use super::{Cause, Draft, Subject, View};

/// Minimum number of members of a cell; a smaller one has no majority after the loss of a member.
const MIN_MEMBERS: usize = 3;

/// Maximum number of members of a cell, because each sends heartbeats to all others.
const MAX_MEMBERS: usize = 15;

/// Changes the membership by at most one VM.
pub(super) fn plan_membership(draft: &mut Draft<'_>) {
    if draft.view.ledger.membership.members.is_empty() {
        form_cell(draft);
        return;
    }
    let view = draft.view;
    let members = &view.ledger.membership.members;
    for member in members.iter().filter(|member| is_fenced(view, member)) {
        let is_replaced = view
            .live
            .iter()
            .any(|live| live.vm == member.vm && live.incarnation > member.incarnation);
        // A fenced member counts towards the minimum size of the cell until a later incarnation of the VM waits to
        // join. It leaves in a write of its own, because the membership never changes by more than one incarnation at
        // a time.
        if !is_replaced && members.len() <= MIN_MEMBERS {
            continue;
        }
        let cause = if is_replaced {
            Cause::Replaced
        } else {
            Cause::Fenced
        };
        if change_member(draft, &member.vm, None, cause) {
            return;
        }
    }
    if members.len() >= MAX_MEMBERS {
        return;
    }
    for live in view.live {
        let is_new = view.ledger.membership.member(&live.vm).is_none();
        if is_new
            && !view.leaving.contains(&live.vm)
            && !is_fenced(view, live)
            && change_member(draft, &live.vm, Some(live), Cause::Joined)
        {
            return;
        }
    }
}

/// Forms the cell from all live VMs; no roles, slots or keys are assigned yet.
fn form_cell(draft: &mut Draft<'_>) {
    let mut members: Vec<Member> = draft.view.live.to_vec();
    members.sort_by(|a, b| (&a.vm, b.incarnation).cmp(&(&b.vm, a.incarnation)));
    members.dedup_by(|later, earlier| later.vm == earlier.vm);
    members.truncate(MAX_MEMBERS);
    if members.len() < MIN_MEMBERS {
        return;
    }
    let version = draft.view.ledger.membership.version;
    for member in &members {
        let subject = Subject::Member {
            vm: member.vm.clone(),
            from: None,
            to: Some(member.incarnation),
        };
        draft.record_change(subject, Cause::Formed);
    }
    draft.ledger.membership = Membership {
        version: Version(version.0 + 1),
        members,
    };
}

/// Replaces the member named `vm` by `to`, or removes it, and returns whether the membership may change so now.
///
/// A fenced incarnation leaves all holder lists in the same write, see [`super::holders::repair`].
fn change_member(draft: &mut Draft<'_>, vm: &Vm, to: Option<&Member>, cause: Cause) -> bool {
    let mut candidate = draft.view.ledger.membership.clone();
    let from = candidate.member(vm).map(|member| member.incarnation);
    candidate.version = Version(candidate.version.0 + 1);
    candidate.members.retain(|member| member.vm != *vm);
    if let Some(to) = to {
        let index = candidate.members.partition_point(|member| member.vm < *vm);
        candidate.members.insert(index, to.clone());
    }
    if !(draft.view.may_change_membership)(&candidate) {
        return false;
    }
    draft.ledger.membership = candidate;
    let subject = Subject::Member {
        vm: vm.clone(),
        from,
        to: to.map(|member| member.incarnation),
    };
    draft.record_change(subject, cause);
    true
}

fn is_fenced(view: &View<'_>, member: &Member) -> bool {
    (view.is_fenced)(&Holder {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    })
}
