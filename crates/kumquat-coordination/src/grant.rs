//! The `grant` module provides the time-bounded grants of slots from a dispatching VM to one upstream.
//!
//! A [`Grantor`] runs on the dispatching VM for each upstream, a [`HeldGrants`] in the upstream. See `docs/design.md`,
//! section 4, "Grants".

mod grantor;
mod held;

use std::time::Duration;

use kumquat_state::clock::Instant;
use kumquat_state::ident::{Epoch, FencingToken, Slot};

pub use grantor::{Grantor, Options};
pub use held::{HeldGrants, Rejection};

/// Time for which a grant lasts, in the upstream's clock and from the clock value of its last reply.
pub const LIFETIME: Duration = Duration::from_millis(800);

/// Time after which a grant is renewed; three renewals may be lost before the grant expires.
pub const RENEW_INTERVAL: Duration = Duration::from_millis(250);

/// Identifies one run of an upstream process; a restarted upstream has another boot id and no grants.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootId(pub u64);

/// A range of slots, both ends included.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SlotRange {
    /// First slot.
    pub first: Slot,
    /// Last slot.
    pub last: Slot,
    /// Epoch at which the ownership began.
    pub epoch: Epoch,
}

/// A single key with the epoch at which its ownership began.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyGrant {
    /// Hash of the key.
    pub hash: u64,
    /// Epoch at which the ownership began.
    pub epoch: Epoch,
}

/// Slot and key that a request needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Target {
    /// Slot of the key.
    pub slot: Slot,
    /// Hash of the key.
    pub key: u64,
}

/// Slots and keys that an upstream owns, or that one order grants.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Grants {
    /// Slots, sorted and without overlap.
    pub slot_ranges: Vec<SlotRange>,
    /// Single keys that are placed on this upstream, sorted by hash.
    pub keys: Vec<KeyGrant>,
    /// Single keys that are placed elsewhere or are being moved, although their slot is in `slot_ranges`; sorted.
    pub excluded_keys: Vec<u64>,
}

/// Message that states all slots and keys of an upstream and replaces those of earlier orders.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Increases with each order under the same fencing token.
    pub sequence: u64,
    /// Fencing token of the acting holder.
    pub fencing_token: FencingToken,
    /// Run of the upstream for which the order is meant; none while it is unknown, and then nothing is granted.
    pub boot_id: Option<BootId>,
    /// What the upstream owns until `expires`.
    pub grants: Grants,
    /// Expiry in the upstream's own clock, so that an order delivered late is already expired.
    pub expires: Instant,
}

/// Answer of an upstream to an [`Order`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// Sequence number of the order.
    pub sequence: u64,
    /// Run of the upstream.
    pub boot_id: BootId,
    /// The upstream's own clock when it handled the order.
    pub clock: Instant,
    /// Highest fencing token that the upstream has seen.
    pub fencing_token: FencingToken,
    /// Why the order was rejected, if it was.
    pub rejection: Option<Rejection>,
    /// Targets that are no longer granted but still have running requests, sorted.
    pub finishing: Vec<Target>,
}

impl SlotRange {
    /// Returns whether the range contains the slot.
    #[must_use]
    pub fn contains(&self, slot: Slot) -> bool {
        (self.first..=self.last).contains(&slot)
    }
}

impl Grants {
    /// Returns whether nothing is granted.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.slot_ranges.is_empty() && self.keys.is_empty()
    }

    /// Returns whether the slot is granted, placed keys aside.
    #[must_use]
    pub fn has_slot(&self, slot: Slot) -> bool {
        let next = self
            .slot_ranges
            .partition_point(|range| range.first <= slot);
        next.checked_sub(1)
            .is_some_and(|index| self.slot_ranges[index].contains(slot))
    }

    /// Returns whether requests for the target are covered.
    #[must_use]
    pub fn covers(&self, target: Target) -> bool {
        self.keys
            .binary_search_by_key(&target.key, |key| key.hash)
            .is_ok()
            || (self.has_slot(target.slot)
                && self.excluded_keys.binary_search(&target.key).is_err())
    }
}
