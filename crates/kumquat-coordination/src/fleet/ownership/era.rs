//! The `era` module provides what changes for the owners of keys when the store comes back from an older copy.
//!
//! The maps written since the copy are lost, and with them the fencing tokens in use and the names of upstreams that
//! hold keys. See `docs/platform.md`.

use kumquat_state::clock::Instant;

use super::{Coordinator, OwnedRange, OwnershipMap};

/// Bits of a fencing token that count within an era.
///
/// Tokens stay below 2^53, which JSON decoders may read as floating point, for the first two million eras.
const TOKEN_BITS_IN_ERA: u32 = 32;

/// Largest era that fencing tokens can express.
const MAX_ERA: u64 = u64::MAX >> TOKEN_BITS_IN_ERA;

/// The number of times that the store has come back from an older copy of its data.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Era(pub u64);

impl Era {
    /// Returns the lowest fencing token of this era, which is above all tokens of earlier eras, the lost ones too.
    #[must_use]
    pub fn first_fencing_token(self) -> u64 {
        (self.0.min(MAX_ERA) << TOKEN_BITS_IN_ERA).max(1)
    }
}

impl Coordinator {
    /// Goes on in another era of the store.
    ///
    /// Until `lost_grants_expire_at`, any upstream may hold any key by a grant of the earlier era. `None` states that
    /// this coordinator held the lease until that era ended, so that it knows all grants of that era.
    pub fn begin_era(&mut self, era: Era, lost_grants_expire_at: Option<Instant>) {
        let mut ranges = self.map.ranges.iter();
        let is_confirmed =
            !self.map.ranges.is_empty() && ranges.all(|range| !self.is_of_earlier_era(range));
        // Until it has confirmed the map, this coordinator still waits for grants that were lost before.
        if lost_grants_expire_at.is_some() || is_confirmed {
            self.lost_grants_expire_at = lost_grants_expire_at;
        }
        self.era = era;
        self.pending_commit = None;
    }

    /// Returns whether a range has not been assigned or confirmed in the present era, so that it gets no orders.
    pub(super) fn is_of_earlier_era(&self, range: &OwnedRange) -> bool {
        range.fencing_token < self.era.first_fencing_token()
    }

    /// Returns whether keys of this map may be held by upstreams that it does not name.
    pub(super) fn awaits_lost_grants(&self, now: Instant, map: &OwnershipMap) -> bool {
        let is_waiting = self
            .lost_grants_expire_at
            .is_some_and(|expire_at| now <= expire_at);
        let mut ranges = map.ranges.iter();
        is_waiting && (map.ranges.is_empty() || ranges.any(|range| self.is_of_earlier_era(range)))
    }

    /// Gives the ranges of earlier eras fencing tokens of the present one.
    pub(super) fn renew_fencing_tokens(&self, map: &mut OwnershipMap) {
        let first_token = self.era.first_fencing_token();
        map.next_fencing_token = map.next_fencing_token.max(first_token);
        for range in &mut map.ranges {
            if range.fencing_token >= first_token {
                continue;
            }
            range.fencing_token = map.next_fencing_token;
            map.next_fencing_token += 1;
            // After the wait for lost grants, no earlier owner holds a key.
            if self.lost_grants_expire_at.is_some() {
                range.previous_owners.clear();
            }
        }
    }
}
