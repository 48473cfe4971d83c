//! The `ledger` module provides the assignment ledger: membership, roles and slot tables, stored as one document.
//!
//! The ledger is changed only by compare-and-swap of the whole document's head. See `docs/design.md`, section 4.

mod codec;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ident;
use crate::slots;

pub use codec::Error;

/// Format version of the stored ledger.
pub const FORMAT: u16 = 1;

/// The assignment ledger of one cell.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Format version, see [`FORMAT`].
    pub format: u16,
    /// Revision; grows by one with each stored change.
    pub revision: ident::Revision,
    /// Epoch of the coordinator that wrote this revision.
    pub coordinator: ident::Epoch,
    /// Id of the write that stored this revision.
    pub operation: ident::Operation,
    /// Cell membership.
    pub membership: Membership,
    /// Roles, sorted by name.
    pub roles: Vec<Role>,
    /// Slot tables, sorted by service.
    pub tables: Vec<slots::Table>,
}

/// The VMs whose promises count, all listed with their incarnation.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Version; grows by one with each change.
    pub version: ident::Version,
    /// Members, sorted by VM.
    pub members: Vec<Member>,
}

/// One member of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Name of the VM.
    pub vm: ident::Vm,
    /// The incarnation that is a member; any other run of the same VM is not.
    pub incarnation: ident::Incarnation,
    /// Data centre of the VM.
    pub data_centre: ident::DataCentre,
    /// Address on which its dispatch process takes peer links.
    pub address: SocketAddr,
}

/// What a role is for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Name {
    /// Dispatches to the upstreams of one service in one data centre.
    Group {
        /// Service of the group.
        service: ident::Service,
        /// Data centre of the group.
        data_centre: ident::DataCentre,
    },
    /// Issues the rate credits of one team.
    Home {
        /// Team of the bucket.
        team: ident::Team,
    },
}

/// A role with the ordered list of VMs that may act for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Role {
    /// What the role is for.
    pub name: Name,
    /// Grows with each change of the holder list.
    pub epoch: ident::Epoch,
    /// Holders in order of succession, each by VM and incarnation.
    pub holders: Vec<Holder>,
}

/// One place in a role's order of succession.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Holder {
    /// Name of the VM.
    pub vm: ident::Vm,
    /// Incarnation of the VM.
    pub incarnation: ident::Incarnation,
}

/// Most holders that a role lists; it bounds the rank within a fencing token.
pub const HOLDER_LIMIT: usize = 255;

impl Membership {
    /// Finds a member by VM.
    #[must_use]
    pub fn member(&self, vm: &ident::Vm) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by(|member| member.vm.cmp(vm))
            .ok()?;
        Some(&self.members[index])
    }

    /// Returns whether this incarnation of the VM is a member.
    #[must_use]
    pub fn contains(&self, vm: &ident::Vm, incarnation: ident::Incarnation) -> bool {
        self.member(vm)
            .is_some_and(|member| member.incarnation == incarnation)
    }

    /// Returns the number of members that is more than half.
    #[must_use]
    pub fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }
}

impl Ledger {
    /// Finds a role by name.
    #[must_use]
    pub fn role(&self, name: &Name) -> Option<&Role> {
        let index = self
            .roles
            .binary_search_by(|role| role.name.cmp(name))
            .ok()?;
        Some(&self.roles[index])
    }

    /// Finds the slot table of a service.
    #[must_use]
    pub fn table(&self, service: &ident::Service) -> Option<&slots::Table> {
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
    /// The rank stands in the low byte, so that a successor's token is higher than its predecessor's and any later epoch
    /// is higher than both.
    #[must_use]
    pub fn fence(&self, rank: usize) -> ident::FencingToken {
        let rank = u64::try_from(rank.min(HOLDER_LIMIT)).unwrap_or(u64::MAX);
        ident::FencingToken((self.epoch.0 << 8) | rank)
    }
}
