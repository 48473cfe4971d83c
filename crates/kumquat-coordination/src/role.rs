//! The `role` module provides which VM acts for a role, and how the list of a role's holders may change.
//!
//! Both rules together keep two VMs from acting for one role, whatever ledger revisions they have. See
//! `docs/design.md`, section 4.

use kumquat_state::clock::Instant;
use kumquat_state::ident::{Epoch, FencingToken, Revision};
use kumquat_state::ledger::{HOLDER_LIMIT, Holder, Ledger, Role, RoleName};

use crate::authority::Authority;

/// Permission to act for a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Acting {
    /// Place in the order of succession.
    pub rank: usize,
    /// Fencing token for upstreams.
    pub fence: FencingToken,
    /// End of the permission, in this VM's clock; it moves on with each renewed promise.
    pub until: Instant,
}

/// A holder's acknowledgement that it does not act for a role at this ledger revision or an earlier one.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Release {
    /// Holder that has stopped acting.
    pub holder: Holder,
    /// Highest ledger revision to which the release applies.
    pub revision: Revision,
}

/// The roles that this VM has released.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Released {
    /// Sorted by role.
    entries: Vec<(RoleName, Revision)>,
}

/// A change of a holder list that could let two VMs act for one role.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The roles have different names.
    #[error("the change replaces a role by another one")]
    Name,
    /// The epoch does not tell the two lists apart.
    #[error("epoch {new} after {old} does not grow with the holder list")]
    Epoch {
        /// Epoch before the change.
        old: Epoch,
        /// Epoch after the change.
        new: Epoch,
    },
    /// A holder is listed twice.
    #[error("{} is listed more than once", .0.vm)]
    Duplicate(Holder),
    /// The list is longer than a fencing token can express.
    #[error("{0} holders are listed, at most {HOLDER_LIMIT} are possible")]
    Length(usize),
    /// A removed holder may still act.
    #[error("{} is removed, but neither fenced nor released", .0.vm)]
    Removed(Holder),
    /// A holder behind a new predecessor may still act.
    #[error("{} moves back, but is neither fenced nor released", .0.vm)]
    MovedBack(Holder),
}

impl Released {
    /// Records that this VM has stopped acting for a role at `revision`; to be called before the acknowledgement.
    pub fn release(&mut self, name: &RoleName, revision: Revision) {
        match self.find(name) {
            Ok(index) => {
                let known = &mut self.entries[index].1;
                *known = (*known).max(revision);
            }
            Err(index) => self.entries.insert(index, (name.clone(), revision)),
        }
    }

    /// Returns whether the role is released at a ledger revision.
    #[must_use]
    pub fn covers(&self, name: &RoleName, revision: Revision) -> bool {
        self.find(name)
            .is_ok_and(|index| revision <= self.entries[index].1)
    }

    /// Returns the highest revision to which the release of a role applies.
    #[must_use]
    pub fn revision(&self, name: &RoleName) -> Option<Revision> {
        self.find(name).ok().map(|index| self.entries[index].1)
    }

    fn find(&self, name: &RoleName) -> Result<usize, usize> {
        self.entries.binary_search_by(|entry| entry.0.cmp(name))
    }
}

/// Returns the permission of `me` to act for a role, if it has one now.
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
    let until = authority.valid_until().filter(|until| now < *until)?;
    let role = ledger.role(name)?;
    let rank = role.holders.iter().position(|holder| holder == me)?;

    // Each VM relies on fences that it has established itself: another VM's word may come from another membership.
    let first = role.holders[..rank]
        .iter()
        .all(|holder| authority.is_fenced(holder));
    let free = !released.covers(name, ledger.revision);
    (first && free).then(|| Acting {
        rank,
        fence: role.fencing_token(rank),
        until,
    })
}

/// Checks whether a ledger that follows revision `base` may have `new` in place of `old`.
///
/// A release counts only if it applies to `base`: a holder that released at an earlier revision may act again at `base`.
///
/// # Errors
///
/// Returns the first reason for which two VMs could act for the role at the same time.
pub fn may_replace(
    old: &Role,
    new: &Role,
    base: Revision,
    fenced: &[Holder],
    released: &[Release],
) -> Result<(), Error> {
    if old.name != new.name {
        return Err(Error::Name);
    }
    if new.holders.len() > HOLDER_LIMIT {
        return Err(Error::Length(new.holders.len()));
    }
    let changed = old.holders != new.holders;
    if new.epoch < old.epoch || (changed && new.epoch == old.epoch) {
        return Err(Error::Epoch {
            old: old.epoch,
            new: new.epoch,
        });
    }
    for (index, holder) in new.holders.iter().enumerate() {
        if new.holders[..index].contains(holder) {
            return Err(Error::Duplicate(holder.clone()));
        }
    }

    let idle = |holder: &Holder| {
        fenced.contains(holder)
            || released
                .iter()
                .any(|release| release.holder == *holder && release.revision >= base)
    };
    for (rank, holder) in old.holders.iter().enumerate() {
        if idle(holder) {
            continue;
        }
        let Some(place) = new.holders.iter().position(|other| other == holder) else {
            return Err(Error::Removed(holder.clone()));
        };
        // A holder that does not know of a new predecessor would not wait for its fence.
        let before = &old.holders[..rank];
        if new.holders[..place]
            .iter()
            .any(|other| !before.contains(other))
        {
            return Err(Error::MovedBack(holder.clone()));
        }
    }
    Ok(())
}
