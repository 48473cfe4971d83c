//! The `ledger` module provides the assignment ledger: membership, roles and slot tables, stored as one document.
//!
//! Each change replaces the head of the whole document by compare-and-swap, so that readers never see a partial change.
//! See `docs/design.md`, section 4.

mod codec;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ident;
use crate::slots;

pub use codec::Error;

/// Format version of the stored ledger; [`Ledger::decode`] rejects all others.
pub const FORMAT_VERSION: u16 = 1;

/// The assignment ledger of a cell, the VMs that share a coordinator.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Format version, see [`FORMAT_VERSION`].
    pub format: u16,
    /// Revision of the ledger; each stored change increases it by one.
    pub revision: ident::Revision,
    /// Epoch of the coordinator that wrote this revision.
    pub coordinator: ident::Epoch,
    /// Id of the write that stored this revision, by which a writer whose response was lost recognises it.
    pub operation: ident::Operation,
    /// VMs of the cell.
    pub membership: Membership,
    /// Roles, sorted by name without duplicates.
    pub roles: Vec<Role>,
    /// Slot tables of the keyed services, sorted by service without duplicates.
    pub tables: Vec<slots::SlotTable>,
}

/// The VMs of the cell, which count towards a [majority](Membership::majority), each with its incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Version of the membership; each change increases it by one.
    pub version: ident::Version,
    /// Members, sorted by VM without duplicates.
    pub members: Vec<Member>,
}

/// A VM that belongs to the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM, unique in the membership.
    pub vm: ident::Vm,
    /// Incarnation that is the member; earlier and later runs of the same VM are not members.
    pub incarnation: ident::Incarnation,
    /// Data centre in which the VM runs.
    pub data_centre: ident::DataCentre,
    /// Address on which its dispatch process accepts connections from peers.
    pub address: SocketAddr,
}

/// Identifies a role by its duty.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RoleName {
    /// Dispatches requests to the upstreams of one service in one data centre.
    Group {
        /// Service whose requests are dispatched.
        service: ident::Service,
        /// Data centre of the upstreams.
        data_centre: ident::DataCentre,
    },
    /// Holds the token bucket of one team and issues rate credits from it.
    Home {
        /// Team whose rate the bucket limits.
        team: ident::Team,
    },
}

/// A role and the VMs that may perform it, in order of succession.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Role {
    /// Identifies the role.
    pub name: RoleName,
    /// Increases with each change of the holders; part of the fencing tokens.
    pub epoch: ident::Epoch,
    /// Holders in order of succession, at most [`HOLDER_LIMIT`]; the index of a holder is its rank.
    pub holders: Vec<Holder>,
}

/// A candidate for a role; only the named incarnation of the VM may perform it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// VM that may perform the role.
    pub vm: ident::Vm,
    /// Incarnation that may perform the role; other runs of the VM may not.
    pub incarnation: ident::Incarnation,
}

/// Maximum number of holders of a role; the rank occupies 8 bits of a fencing token.
pub const HOLDER_LIMIT: usize = 255;

impl Membership {
    /// Returns the member of a VM, in any incarnation.
    #[must_use]
    pub fn member(&self, vm: &ident::Vm) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.vm.cmp(vm))
            .ok()?;
        Some(&self.members[index])
    }

    /// Returns whether exactly this incarnation of the VM is a member.
    #[must_use]
    pub fn contains(&self, vm: &ident::Vm, incarnation: ident::Incarnation) -> bool {
        self.member(vm)
            .is_some_and(|member| member.incarnation == incarnation)
    }

    /// Returns the smallest number of members that is more than half of them.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

impl Ledger {
    /// Returns the role with this name, by binary search.
    #[must_use]
    pub fn role(&self, name: &RoleName) -> Option<&Role> {
        let index = self
            .roles
            .binary_search_by(|role| role.name.cmp(name))
            .ok()?;
        Some(&self.roles[index])
    }

    /// Returns the slot table of a service, by binary search; pool services have none.
    #[must_use]
    pub fn table(&self, service: &ident::Service) -> Option<&slots::SlotTable> {
        let index = self
            .tables
            .binary_search_by(|table| table.service.cmp(service))
            .ok()?;
        Some(&self.tables[index])
    }
}

impl Role {
    /// Returns the fencing token of the holder at `rank` in the order of succession.
    ///
    /// The rank is the low byte and the epoch the bits above it. A successor's token is thus higher than those of the
    /// holders before it, and all tokens of a later epoch are higher still.
    #[must_use]
    pub fn fencing_token(&self, rank: usize) -> ident::FencingToken {
        let rank = u64::try_from(rank.min(HOLDER_LIMIT)).unwrap_or(u64::MAX);
        ident::FencingToken((self.epoch.0 << 8) | rank)
    }
}
