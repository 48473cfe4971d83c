//! The `membership` module provides the other VMs of the fleet, by whose number rates, budgets and limits are divided.
//!
//! It answers outages of the store in which the leases of all registrations run out. VMs that read an empty registry and
//! divide by one would together use as many times what they may as there are VMs.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_state::clock::Instant;

/// Time after its last report at which a VM without a registration no longer counts.
///
/// It spans several full reports, any of which may be lost. A VM that is gone leaves its share unused for as long.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Another VM of the fleet, as the store lists it or has listed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the VM; the order of names fixes each VM's rank in the upstream table.
    pub name: String,
    /// Number that distinguishes its process from earlier ones of the VM.
    pub incarnation: u64,
    /// Data centre of the VM; a peer there may forward reports to it.
    pub data_centre: String,
    /// UDP address on which it receives reports.
    pub address: SocketAddr,
}

#[derive(Clone, Debug)]
struct Member {
    peer: Peer,
    is_registered: bool,
}

/// The VMs that are registered, and those that no longer are but still report.
#[derive(Clone, Debug, Default)]
pub struct Membership {
    /// Sorted by name.
    members: Vec<Member>,
    /// Incarnations with the time of their last report, sorted.
    last_reports: Vec<(u64, Instant)>,
}

impl Membership {
    /// Sets the VMs that are registered; a member whose registration is gone stays while it reports.
    pub fn set_registered(&mut self, now: Instant, registered: Vec<Peer>) {
        let before = std::mem::take(&mut self.members);
        self.members = registered
            .into_iter()
            .map(|peer| Member {
                peer,
                is_registered: true,
            })
            .collect();
        self.members
            .sort_by(|one, other| one.peer.name.cmp(&other.peer.name));
        for mut member in before {
            // A process that was restarted has a registration under the name of the one before it.
            if let Err(position) = self.position(&member.peer.name)
                && self.is_heard(now, member.peer.incarnation)
            {
                member.is_registered = false;
                self.members.insert(position, member);
            }
        }
    }

    /// Records a report of the process with this incarnation number.
    pub fn record_report(&mut self, now: Instant, incarnation: u64) {
        if let Ok(position) = self.report_position(incarnation) {
            self.last_reports[position].1 = now;
            return;
        }
        self.last_reports
            .retain(|(_, at)| now.saturating_since(*at) < SILENCE_TIMEOUT);
        let (Ok(position) | Err(position)) = self.report_position(incarnation);
        self.last_reports.insert(position, (incarnation, now));
    }

    /// Removes the members that are neither registered nor heard.
    pub fn remove_silent(&mut self, now: Instant) {
        let mut members = std::mem::take(&mut self.members);
        members
            .retain(|member| member.is_registered || self.is_heard(now, member.peer.incarnation));
        self.members = members;
    }

    /// Returns the members, sorted by name.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.members.iter().map(|member| &member.peer)
    }

    /// Returns the names of the members without a registration.
    pub fn unregistered(&self) -> impl Iterator<Item = &str> {
        let unregistered = self.members.iter().filter(|member| !member.is_registered);
        unregistered.map(|member| &*member.peer.name)
    }

    fn is_heard(&self, now: Instant, incarnation: u64) -> bool {
        let position = self.report_position(incarnation);
        position.is_ok_and(|position| {
            now.saturating_since(self.last_reports[position].1) < SILENCE_TIMEOUT
        })
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.members
            .binary_search_by(|member| (*member.peer.name).cmp(name))
    }

    fn report_position(&self, incarnation: u64) -> Result<usize, usize> {
        self.last_reports
            .binary_search_by_key(&incarnation, |(other, _)| *other)
    }
}
