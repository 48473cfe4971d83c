//! The `network` module provides the network between the VMs of a local deployment.
//!
//! Each pair of dispatch processes has a forwarder of its own. The entries reach the dispatch process of another VM
//! through one forwarder per dispatch process, because a ledger member has one address for all entries.

use std::net::SocketAddr;

use eyre::Result;

use kumquat_state::ident::Vm;

use crate::switch::{Mode, Switch};

/// Forwarders between the VMs.
#[derive(Debug, Default)]
pub struct Network {
    // The first of a pair has the lower name and therefore connects.
    pairs: Vec<(usize, usize, Switch)>,
    inbound: Vec<Switch>,
}

impl Network {
    /// Starts the forwarders between processes at these addresses, which are sorted by VM.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn open(vms: &[(Vm, SocketAddr)]) -> Result<Self> {
        let mut network = Self::default();
        for (second, (_, address)) in vms.iter().enumerate() {
            network.inbound.push(Switch::open(*address).await?);
            for first in 0..second {
                let switch = Switch::open(*address).await?;
                network.pairs.push((first, second, switch));
            }
        }
        Ok(network)
    }

    /// Returns the addresses under which VM `number` reaches the others.
    #[must_use]
    pub fn peers(&self, number: usize, vms: &[(Vm, SocketAddr)]) -> Vec<(Vm, SocketAddr)> {
        let reach = |other: usize, direct: SocketAddr| {
            let pair =
                |(first, second, _): &&(usize, usize, Switch)| *first == number && *second == other;
            let switch = self.pairs.iter().find(pair);
            switch.map_or(direct, |(_, _, switch)| switch.address())
        };
        vms.iter()
            .enumerate()
            .map(|(other, (vm, direct))| (vm.clone(), reach(other, *direct)))
            .collect()
    }

    /// Returns the address under which entries reach VM `number`, if the deployment has forwarders.
    #[must_use]
    pub fn advertised(&self, number: usize) -> Option<SocketAddr> {
        self.inbound.get(number).map(Switch::address)
    }

    /// Changes the links between the VMs in `group` and all others, and those of entries to the VMs in `group`.
    pub fn set_around(&self, group: &[usize], mode: Mode) {
        for (first, second, switch) in &self.pairs {
            if group.contains(first) != group.contains(second) {
                switch.set(mode);
            }
        }
        for (number, switch) in self.inbound.iter().enumerate() {
            if group.contains(&number) {
                switch.set(mode);
            }
        }
    }

    /// Changes the link between two dispatch processes.
    pub fn set_pair(&self, one: usize, other: usize, mode: Mode) {
        let wanted = (one.min(other), one.max(other));
        for (first, second, switch) in &self.pairs {
            if (*first, *second) == wanted {
                switch.set(mode);
            }
        }
    }
}
