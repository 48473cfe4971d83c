//! The `role` module provides the rules by which a VM acts for a role and by which a role's holder list may change.
//!
//! Together they ensure that at most one VM acts for a role, even if the VMs apply different ledger revisions. See
//! `docs/design.md`, section 4.

use kumquat_state::clock::Instant;
use kumquat_state::ident::{Epoch, FencingToken, Revision};
use kumquat_state::ledger::{HOLDER_LIMIT, Holder, Ledger, Role, RoleName};

use crate::authority::Authority;

/// Permission to act for a role, as returned by [`acting`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Acting {
    /// Position of the VM in the holder list; every holder before it is fenced.
    pub rank: usize,
    /// Token by which upstreams reject requests from holders that acted earlier.
    pub fencing_token: FencingToken,
    /// Time at which the permission expires on this VM's clock; renewed promises extend it.
    pub valid_until: Instant,
}

/// A holder's acknowledgement that it does not act for a role at this ledger revision or an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Release {
    /// Holder that has stopped acting for the role.
    pub holder: Holder,
    /// Highest ledger revision to which the release applies.
    pub revision: Revision,
}

/// Roles for which this VM has stopped acting, each with the ledger revision of its release.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Released {
    /// Sorted by role name; at most one entry per role.
    entries: Vec<(RoleName, Revision)>,
}

/// Reason why a change of a holder list could let two VMs act for one role.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The old and the new role have different names.
    #[error("the change replaces a role by another one")]
    NameChanged,
    /// The epoch decreases, or stays the same although the holder list changes, so that fencing tokens could repeat.
    #[error("epoch {new} after {old} does not grow with the holder list")]
    EpochNotRaised {
        /// Epoch before the change.
        old: Epoch,
        /// Epoch after the change.
        new: Epoch,
    },
    /// A holder is listed twice.
    #[error("{} is listed more than once", .0.vm)]
    DuplicateHolder(Holder),
    /// The list has more than [`HOLDER_LIMIT`] holders, so that a rank would not fit into a fencing token.
    #[error("{0} holders are listed, at most {HOLDER_LIMIT} are possible")]
    TooManyHolders(usize),
    /// A holder that may still act is removed.
    #[error("{} is removed, but neither fenced nor released", .0.vm)]
    UnsafeRemoval(Holder),
    /// A holder that may still act gets a new predecessor, for whose fence it would not wait.
    #[error("{} moves back, but is neither fenced nor released", .0.vm)]
    UnsafeDemotion(Holder),
}

impl Released {
    /// Records that this VM has stopped acting for a role at `revision`; a lower revision than before has no effect.
    ///
    /// It must be called before the release is acknowledged, or the VM could act again after the acknowledgement.
    pub fn release(&mut self, name: &RoleName, revision: Revision) {
        match self.search(name) {
            Ok(index) => {
                let recorded = &mut self.entries[index].1;
                *recorded = (*recorded).max(revision);
            }
            Err(index) => self.entries.insert(index, (name.clone(), revision)),
        }
    }

    /// Returns whether this VM must not act for the role at `revision`, because it released it at that or a later one.
    #[must_use]
    pub fn is_released(&self, name: &RoleName, revision: Revision) -> bool {
        self.search(name)
            .is_ok_and(|index| revision <= self.entries[index].1)
    }

    /// Returns the highest revision at which the role was released, or `None` if it never was.
    #[must_use]
    pub fn release_revision(&self, name: &RoleName) -> Option<Revision> {
        self.search(name).ok().map(|index| self.entries[index].1)
    }

    fn search(&self, name: &RoleName) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.0.cmp(name))
    }
}

/// Returns the permission of `me` to act for a role, if it has one at `now`.
///
/// A VM acts if its incarnation is a member and has authority, it is listed as a holder and has not released the role,
/// and it has itself established that all holders before it are fenced.
#[must_use]
pub fn acting(
    ledger: &Ledger,
    me: &Holder,
    name: &RoleName,
    authority: &Authority,
    released: &Released,
    now: Instant,
) -> Option<Acting> {
    if authority.me() != me || !ledger.membership.contains(&me.vm, me.incarnation) {
        return None;
    }
    let valid_until = authority.valid_until().filter(|until| now < *until)?;
    let role = ledger.role(name)?;
    let rank = role.holders.iter().position(|holder| holder == me)?;

    // Fences established by other VMs don't count, because they may rest on another membership version.
    let predecessors_fenced = role.holders[..rank]
        .iter()
        .all(|holder| authority.is_fenced(holder));
    let not_released = !released.is_released(name, ledger.revision);
    (predecessors_fenced && not_released).then(|| Acting {
        rank,
        fencing_token: role.fencing_token(rank),
        valid_until,
    })
}

/// Checks whether the ledger revision after `base` may replace the role `old` by `new`.
///
/// A release counts only if its revision is at least `base`: after an earlier one, the holder may act again at `base`.
///
/// # Errors
///
/// Returns the first reason found why two VMs could act for the role at the same time.
pub fn may_replace(
    old: &Role,
    new: &Role,
    base: Revision,
    fenced: &[Holder],
    released: &[Release],
) -> Result<(), Error> {
    if old.name != new.name {
        return Err(Error::NameChanged);
    }
    if new.holders.len() > HOLDER_LIMIT {
        return Err(Error::TooManyHolders(new.holders.len()));
    }
    let holders_changed = old.holders != new.holders;
    if new.epoch < old.epoch || (holders_changed && new.epoch == old.epoch) {
        return Err(Error::EpochNotRaised {
            old: old.epoch,
            new: new.epoch,
        });
    }
    for (index, holder) in new.holders.iter().enumerate() {
        if new.holders[..index].contains(holder) {
            return Err(Error::DuplicateHolder(holder.clone()));
        }
    }

    let cannot_act = |holder: &Holder| {
        fenced.contains(holder)
            || released
                .iter()
                .any(|release| release.holder == *holder && release.revision >= base)
    };
    for (rank, holder) in old.holders.iter().enumerate() {
        if cannot_act(holder) {
            continue;
        }
        let Some(new_rank) = new.holders.iter().position(|other| other == holder) else {
            return Err(Error::UnsafeRemoval(holder.clone()));
        };
        // A holder that still applies the old list does not wait until a new predecessor is fenced.
        let old_predecessors = &old.holders[..rank];
        if new.holders[..new_rank]
            .iter()
            .any(|other| !old_predecessors.contains(other))
        {
            return Err(Error::UnsafeDemotion(holder.clone()));
        }
    }
    Ok(())
}
