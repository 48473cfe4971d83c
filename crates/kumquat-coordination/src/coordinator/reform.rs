//! The `reform` module provides the recovery of a cell of which a majority was restarted at once.
//!
//! Restarted VMs have forgotten their promises and don't vote, so that such a cell has no majority left that could
//! change its membership. See `docs/design.md`, section 3.

use kumquat_state::ident::{Epoch, Revision, Version};
use kumquat_state::ledger::{Holder, Ledger, Member};

/// Returns the ledger with which a lost cell goes on, or none if the cell is not lost.
///
/// The cell is lost if a majority of its members runs again under new incarnations: the old ones have ended, so that no
/// VM can obtain a majority's promises any more. The caller makes sure that this has been so for longer than a promise
/// lasts, so that no promise is left either. It relies on the platform never resuming a majority of VMs that it has
/// replaced.
#[must_use]
pub fn reform(ledger: &Ledger, live: &[Member]) -> Option<Ledger> {
    let membership = &ledger.membership;
    let successor = |member: &Member| {
        live.iter()
            .find(|other| other.vm == member.vm && other.incarnation != member.incarnation)
    };
    let superseded = membership
        .members
        .iter()
        .filter(|member| successor(member).is_some())
        .count();
    if membership.members.is_empty() || superseded < membership.majority() {
        return None;
    }

    // Members that are neither alive nor restarted can't be told from paused ones; they come back as new members.
    let mut next = ledger.clone();
    next.revision = Revision(ledger.revision.0 + 1);
    next.membership.version = Version(membership.version.0 + 1);
    next.membership.members = membership
        .members
        .iter()
        .filter_map(|member| {
            let same = live
                .iter()
                .find(|other| other.vm == member.vm && other.incarnation == member.incarnation);
            same.or_else(|| successor(member)).cloned()
        })
        .collect();

    // The places of ended incarnations are filled by the next plan, which sees roles with too few holders.
    let remaining = |holder: &Holder| next.membership.contains(&holder.vm, holder.incarnation);
    let epoch = Epoch(next.revision.0);
    for role in &mut next.roles {
        let before = role.holders.len();
        role.holders.retain(remaining);
        if role.holders.len() != before {
            role.epoch = epoch;
        }
    }
    Some(next)
}
