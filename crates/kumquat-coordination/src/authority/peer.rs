//! The `peer` module provides the record that an `Authority` keeps of one incarnation of another VM.

use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::{Revision, Version};
use kumquat_state::ledger::Holder;

/// Refusal of a voter ever to echo one incarnation again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pledge {
    /// Incarnation against which the voter has pledged.
    pub target: Holder,
    /// Time at which the voter's last promise to the target has surely run out.
    ///
    /// It is absent if the voter was seen only with a higher membership version than this VM's. Such a pledge counts
    /// for the rule on membership changes, but not for a fence, because its majority may belong to another membership.
    pub promise_expiry: Option<Instant>,
}

/// What is known of one incarnation of another VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// VM and incarnation.
    pub holder: Holder,
    /// Time at which this VM learned of the incarnation.
    pub learned_at: Instant,
    /// Arrival of its latest heartbeat.
    pub last_heard: Option<Instant>,
    /// Highest sequence number received.
    pub sequence: u64,
    /// Highest membership version that it has confirmed.
    pub membership: Version,
    /// Time at which that version was first seen.
    pub membership_since: Instant,
    /// Highest bundle version that it has confirmed.
    pub bundle: Version,
    /// Highest ledger revision that it has confirmed.
    pub ledger: Revision,
    /// Its pledges, sorted by target.
    pub pledges: Vec<Pledge>,
    /// Time until which its promise to this VM is valid, in this VM's clock.
    pub promised_until: Option<Instant>,
}

impl Peer {
    pub(super) fn new(holder: Holder, now: Instant) -> Self {
        Self {
            holder,
            learned_at: now,
            last_heard: None,
            sequence: 0,
            membership: Version(0),
            membership_since: now,
            bundle: Version(0),
            ledger: Revision(0),
            pledges: Vec::new(),
            promised_until: None,
        }
    }

    /// Returns the time left on this VM's last promise to the peer.
    pub(super) fn remaining(&self, now: Instant, promise: Duration) -> Duration {
        self.last_heard.map_or(Duration::ZERO, |heard| {
            now.until(heard + clock::lengthened(promise))
        })
    }

    /// Records a pledge of this peer; an earlier lapse replaces a later one, since each is an upper bound.
    pub(super) fn record(&mut self, target: &Holder, promise_expiry: Option<Instant>) {
        match self.find(target) {
            Ok(index) => {
                let known = &mut self.pledges[index].promise_expiry;
                *known = match (*known, promise_expiry) {
                    (Some(old), Some(new)) => Some(old.min(new)),
                    (old, new) => old.or(new),
                };
            }
            Err(index) => self.pledges.insert(
                index,
                Pledge {
                    target: target.clone(),
                    promise_expiry,
                },
            ),
        }
    }

    /// Returns the pledge of this peer against `target`.
    #[must_use]
    pub fn pledge(&self, target: &Holder) -> Option<&Pledge> {
        self.find(target).ok().map(|index| &self.pledges[index])
    }

    fn find(&self, target: &Holder) -> Result<usize, usize> {
        self.pledges
            .binary_search_by(|pledge| pledge.target.cmp(target))
    }
}
