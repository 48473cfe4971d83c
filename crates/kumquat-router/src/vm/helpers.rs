//! The `helpers` module provides what VMs offer each other while one of them has lost its path to upstreams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::fleet::reports::max_full_report_interval;
use kumquat_coordination::fleet::{Helper, HelperOffer, PathState};
use kumquat_state::clock;
use rand::RngExt as _;

use super::{Vm, short_id};

/// Full reports of a peer that may be lost before its offer is no longer relied on.
const MAX_MISSED_REPORTS: u32 = 3;

/// A request that is forwarded to a peer; it counts as in flight there until it is dropped.
#[derive(Debug)]
pub struct HelperPermit {
    vm: Rc<Vm>,
    /// The peer.
    pub helper: Helper,
}

impl HelperPermit {
    /// Records that the peer could not be reached, so that it is not chosen for a time.
    pub fn eject(self) {
        let mut state = self.vm.state.borrow_mut();
        state.helpers.eject(clock::now(), self.helper.vm);
    }
}

impl Drop for HelperPermit {
    fn drop(&mut self) {
        let mut state = self.vm.state.borrow_mut();
        state.helpers.release(self.helper.vm);
    }
}

impl Vm {
    /// Sets the address at which this VM accepts requests of its peers, which its reports offer from now on.
    pub fn set_helper_address(&self, address: SocketAddr) {
        self.state.borrow_mut().helper_address = Some(address);
    }

    /// Returns what this VM offers its peers; `None` if it can't serve their requests.
    #[must_use]
    pub fn helper_offer(&self) -> Option<HelperOffer> {
        if !self.is_ready() {
            return None;
        }
        let state = self.state.borrow();
        let address = state.helper_address?;
        let lost = state.paths.iter();
        let lost = lost.filter(|(_, path)| path.state() == PathState::Lost);
        Some(HelperOffer {
            address,
            lost_services: lost.map(|(service, _)| short_id(service)).collect(),
        })
    }

    /// Records what a peer offers in a full report.
    pub fn record_helper_offer(&self, peer: u64, offer: Option<HelperOffer>) {
        let mut state = self.state.borrow_mut();
        state.helpers.record_offer(clock::now(), peer, offer);
    }

    /// Chooses a peer with a path to a service, except those in `tried`.
    #[must_use]
    pub fn acquire_helper(self: &Rc<Self>, service: &str, tried: &[u64]) -> Option<HelperPermit> {
        let mut state = self.state.borrow_mut();
        let max_age = max_offer_age(state.peers.len() + 1);
        let noise = || rand::rng().random();
        let helper =
            state
                .helpers
                .select(clock::now(), short_id(service), max_age, tried, noise)?;
        let vm = Rc::clone(self);
        Some(HelperPermit { vm, helper })
    }

    /// Returns whether another VM has a path to a service that this one has lost.
    #[must_use]
    pub fn is_cut_off_from(&self, service: &str) -> bool {
        if self.path_state(service) != PathState::Lost {
            return false;
        }
        let state = self.state.borrow();
        let max_age = max_offer_age(state.peers.len() + 1);
        state
            .helpers
            .has_helper(clock::now(), short_id(service), max_age)
    }

    /// Returns whether another VM can order the upstreams of a keyed service that this one can't reach.
    #[must_use]
    pub fn should_leave_coordination(&self) -> bool {
        let Some(config) = self.config() else {
            return false;
        };
        let mut keyed = config.services.iter().filter(|service| service.is_keyed);
        keyed.any(|service| self.is_cut_off_from(&service.name))
    }
}

/// Returns the age up to which an offer is relied on in a fleet of `vm_count` VMs.
pub(super) fn max_offer_age(vm_count: usize) -> Duration {
    max_full_report_interval(vm_count) * MAX_MISSED_REPORTS
}
