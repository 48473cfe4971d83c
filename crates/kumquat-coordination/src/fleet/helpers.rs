//! The `helpers` module provides the choice of a VM that serves the requests of one that has lost its path to upstreams.
//!
//! VMs offer their help in reports. A request is forwarded once at most, so that requests can't travel in circles.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_state::clock::Instant;

/// Time for which a helper that could not be reached is not chosen again.
const EJECTION: Duration = Duration::from_millis(500);

/// A VM's offer to serve requests of its peers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HelperOffer {
    /// Address at which it accepts their requests.
    pub address: SocketAddr,
    /// Short ids of the services to whose upstreams it has no path either.
    pub lost_services: Vec<u32>,
}

/// A VM that was chosen for a request, which counts as forwarded to it until [`HelperTable::release`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Helper {
    /// Incarnation of the VM's process.
    pub vm: u64,
    /// Address at which it accepts requests of its peers.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Row {
    vm: u64,
    offer: HelperOffer,
    heard_at: Instant,
    in_flight: u32,
    ejected_until: Instant,
}

/// The VMs that offer their help, with the requests that this VM has in flight at each.
#[derive(Clone, Debug, Default)]
pub struct HelperTable {
    // Sorted by VM.
    rows: Vec<Row>,
}

impl HelperTable {
    /// Records what a peer's latest full report offers; a peer that offers nothing is forgotten.
    pub fn record_offer(&mut self, now: Instant, vm: u64, offer: Option<HelperOffer>) {
        match (self.position(vm), offer) {
            (Ok(position), Some(offer)) => {
                let row = &mut self.rows[position];
                row.offer = offer;
                row.heard_at = now;
            }
            (Err(position), Some(offer)) => self.rows.insert(
                position,
                Row {
                    vm,
                    offer,
                    heard_at: now,
                    in_flight: 0,
                    ejected_until: Instant::ORIGIN,
                },
            ),
            (Ok(position), None) => {
                self.rows.remove(position);
            }
            (Err(_unknown), None) => {}
        }
    }

    /// Returns whether a VM heard within `max_age` has a path to a service.
    #[must_use]
    pub fn has_helper(&self, now: Instant, service: u32, max_age: Duration) -> bool {
        let mut rows = self.rows.iter();
        rows.any(|row| row.helps(now, service, max_age))
    }

    /// Chooses the less loaded of two random VMs that were heard within `max_age` and have a path to a service.
    ///
    /// `noise` returns random numbers from 0 to 1. VMs in `tried` are left out.
    pub fn select(
        &mut self,
        now: Instant,
        service: u32,
        max_age: Duration,
        tried: &[u64],
        noise: impl Fn() -> f64,
    ) -> Option<Helper> {
        // A process that has ended is heard no more.
        self.rows
            .retain(|row| row.in_flight > 0 || now.saturating_since(row.heard_at) < max_age);
        let usable = (0..self.rows.len()).filter(|position| {
            let row = &self.rows[*position];
            row.helps(now, service, max_age) && row.ejected_until <= now && !tried.contains(&row.vm)
        });
        let usable: Vec<usize> = usable.collect();
        if usable.is_empty() {
            return None;
        }
        let first = usable[super::random_index(noise(), usable.len())];
        let second = usable[super::random_index(noise(), usable.len())];
        let chosen = if self.rows[second].in_flight < self.rows[first].in_flight {
            second
        } else {
            first
        };
        let row = &mut self.rows[chosen];
        row.in_flight += 1;
        Some(Helper {
            vm: row.vm,
            address: row.offer.address,
        })
    }

    /// Records that a forwarded request has ended at a VM.
    pub fn release(&mut self, vm: u64) {
        if let Ok(position) = self.position(vm) {
            let row = &mut self.rows[position];
            row.in_flight = row.in_flight.saturating_sub(1);
        }
    }

    /// Records that a VM could not be reached, so that it is not chosen for a time.
    pub fn eject(&mut self, now: Instant, vm: u64) {
        if let Ok(position) = self.position(vm) {
            self.rows[position].ejected_until = now + EJECTION;
        }
    }

    fn position(&self, vm: u64) -> Result<usize, usize> {
        self.rows.binary_search_by_key(&vm, |row| row.vm)
    }
}

impl Row {
    fn helps(&self, now: Instant, service: u32, max_age: Duration) -> bool {
        now.saturating_since(self.heard_at) < max_age
            && !self.offer.lost_services.contains(&service)
    }
}
