//! The `peer` module provides the record that an `Authority` keeps of each incarnation of another VM.

use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::{Revision, Version};
use kumquat_state::ledger::Holder;

/// Irrevocable vote to fence one incarnation: the voter never echoes it again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Pledge {
    /// Incarnation against which the voter has pledged.
    pub target: Holder,
    /// Time by which the voter's last promise to the target has certainly expired, on the clock of the recording VM.
    ///
    /// It is absent if the voter has reported the pledge only with a higher membership version than this VM's, or only
    /// by a binding request against this VM. Such a pledge counts for the rule on membership changes but not towards a
    /// fence, because its majority may belong to another membership.
    pub promise_expiry: Option<Instant>,
}

/// Liveness, versions and promises of one incarnation of another VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Peer {
    /// VM and incarnation that the record describes.
    pub holder: Holder,
    /// Time at which this VM learned of the incarnation; until it is heard, silence counts from here.
    pub learned_at: Instant,
    /// Arrival time of its latest heartbeat; absent if none has arrived.
    pub last_heard: Option<Instant>,
    /// Sequence number of its latest heartbeat; 0 if none has arrived.
    pub sequence: u64,
    /// Highest membership version that its heartbeats have announced.
    pub membership: Version,
    /// Time at which `membership` was first announced.
    pub membership_since: Instant,
    /// Highest bundle version that its heartbeats have announced.
    pub bundle: Version,
    /// Highest ledger revision that its heartbeats have announced.
    pub ledger: Revision,
    /// Pledges that it has reported, sorted by target.
    pub pledges: Vec<Pledge>,
    /// Time until which its promise to this VM is valid, on this VM's clock; absent if it has never promised.
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

    /// Returns an upper bound of the time left on this VM's last promise to the peer.
    pub(super) fn remaining_promise(&self, now: Instant, promise: Duration) -> Duration {
        self.last_heard.map_or(Duration::ZERO, |heard| {
            now.until(heard + clock::lengthened(promise))
        })
    }

    /// Records a pledge of this peer; the earlier of two expiries is kept, since both are upper bounds.
    pub(super) fn record_pledge(&mut self, target: &Holder, promise_expiry: Option<Instant>) {
        match self.search_pledge(target) {
            Ok(index) => {
                let recorded = &mut self.pledges[index].promise_expiry;
                *recorded = match (*recorded, promise_expiry) {
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

    /// Returns the pledge of this peer against `target`, if it has reported one.
    #[must_use]
    pub fn pledge(&self, target: &Holder) -> Option<&Pledge> {
        self.search_pledge(target)
            .ok()
            .map(|index| &self.pledges[index])
    }

    fn search_pledge(&self, target: &Holder) -> Result<usize, usize> {
        self.pledges
            .binary_search_by(|pledge| pledge.target.cmp(target))
    }
}
