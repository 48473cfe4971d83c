//! The `target` module provides the choice of the dispatch group and of the VM that acts for it.

use std::sync::{Mutex, MutexGuard, PoisonError};

use kumquat_state::bundle::{Bundle, Service, ServiceKind};
use kumquat_state::ident;
use kumquat_state::ledger::{Ledger, Member, RoleName};

/// Ranks at which the acting holders of roles were last found, sorted by role.
///
/// After a takeover the first holder in the ledger may be lost for a while; without this memory each request would try
/// it first.
#[derive(Debug, Default)]
pub struct Memory {
    ranks: Mutex<Vec<(RoleName, Found)>>,
}

#[derive(Clone, Copy, Debug)]
struct Found {
    epoch: ident::Epoch,
    rank: usize,
}

impl Memory {
    /// Returns the member that probably acts for a role, with its rank.
    #[must_use]
    pub fn holder<'a>(&self, ledger: &'a Ledger, name: &RoleName) -> Option<(usize, &'a Member)> {
        let role = ledger.role(name)?;
        let ranks = self.lock();
        let found = ranks
            .binary_search_by(|(other, _)| other.cmp(name))
            .ok()
            .map(|index| ranks[index].1)
            .filter(|found| found.epoch == role.epoch);
        let rank = found.map_or(0, |found| found.rank) % role.holders.len().max(1);
        let holder = role.holders.get(rank)?;
        let member = ledger.membership.member(&holder.vm)?;
        (member.incarnation == holder.incarnation).then_some((rank, member))
    }

    /// Notes that the holder at `rank` does not act or can't be reached, so that the next try goes to its successor.
    pub fn failed(&self, ledger: &Ledger, name: &RoleName, rank: usize) {
        let Some(role) = ledger.role(name) else {
            return;
        };
        let found = Found {
            epoch: role.epoch,
            rank: (rank + 1) % role.holders.len().max(1),
        };
        let mut ranks = self.lock();
        match ranks.binary_search_by(|(other, _)| other.cmp(name)) {
            Ok(index) => {
                // Of several requests that failed at the same rank only the first moves on.
                let current = &mut ranks[index].1;
                if current.epoch != role.epoch || current.rank == rank {
                    *current = found;
                }
            }
            Err(index) => ranks.insert(index, (name.clone(), found)),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<(RoleName, Found)>> {
        self.ranks.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns the data centres in which the service has upstreams that take work, in order.
#[must_use]
pub fn data_centres(bundle: &Bundle, service: &Service) -> Vec<ident::DataCentre> {
    service
        .data_centres
        .iter()
        .filter(|centre| {
            bundle.upstreams.iter().any(|upstream| {
                upstream.service == service.name
                    && upstream.data_centre == **centre
                    && bundle.takes_work(upstream)
            })
        })
        .cloned()
        .collect()
}

/// Returns the data centre of the upstream that owns a key.
#[must_use]
pub fn owner_data_centre(
    bundle: &Bundle,
    ledger: &Ledger,
    service: &Service,
    key: u64,
) -> Option<ident::DataCentre> {
    if service.kind != ServiceKind::Keyed {
        return None;
    }
    let owner = ledger.table(&service.name)?.owner(key)?;
    let upstream = bundle.upstream(&owner.upstream)?;
    Some(upstream.data_centre.clone())
}
