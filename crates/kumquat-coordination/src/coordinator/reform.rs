//! The `reform` module provides the recovery of a cell after a simultaneous restart of a majority of its members.
//!
//! Restarted VMs have lost their promises and don't vote, so that such a cell has no majority left that could change
//! its membership. See `docs/design.md`, section 3.

use kumquat_state::ident::{Epoch, Revision, Version};
use kumquat_state::ledger::{Holder, Ledger, Member};

/// Returns the ledger with which a lost cell continues, or none if the cell is not lost.
///
/// The cell is lost if a majority of its members has restarted under new incarnations: the old ones have ended, so
/// that no VM can obtain promises from a majority any more. The caller must ensure that this condition has held for
/// longer than the lifetime of a promise, so that all promises have expired. The function relies on the platform never
/// resuming a majority of the VMs that it has replaced.
#[must_use]
pub fn reform(ledger: &Ledger, live: &[Member]) -> Option<Ledger> {
    let membership = &ledger.membership;
    let successor = |member: &Member| {
        live.iter()
            .find(|other| other.vm == member.vm && other.incarnation != member.incarnation)
    };
    let restarted = membership
        .members
        .iter()
        .filter(|member| successor(member).is_some())
        .count();
    if membership.members.is_empty() || restarted < membership.majority() {
        return None;
    }

    // Members that are neither alive nor restarted can't be told from paused ones; they have to join again.
    let mut next = ledger.clone();
    next.revision = Revision(ledger.revision.0 + 1);
    next.membership.version = Version(membership.version.0 + 1);
    next.membership.members = membership
        .members
        .iter()
        .filter_map(|member| {
            let unchanged = live
                .iter()
                .find(|other| other.vm == member.vm && other.incarnation == member.incarnation);
            unchanged.or_else(|| successor(member)).cloned()
        })
        .collect();

    // The next plan replaces the removed holders, because their roles have too few.
    let is_member = |holder: &Holder| next.membership.contains(&holder.vm, holder.incarnation);
    let epoch = Epoch(next.revision.0);
    for role in &mut next.roles {
        let old_len = role.holders.len();
        role.holders.retain(is_member);
        if role.holders.len() != old_len {
            role.epoch = epoch;
        }
    }
    Some(next)
}
