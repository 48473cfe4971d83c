//! The `slots` module provides the slot table of a keyed service, which assigns each key to the upstream that owns it.
//!
//! Ranges of slots keep the table small for any number of keys; placements override them for single keys, such as hot
//! ones. See `docs/design.md`, section 4.

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::ident;

/// The upstream that owns a range of slots or a single key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The only upstream that may serve the keys.
    pub upstream: ident::Upstream,
    /// Epoch in which the upstream became the owner; it increases with each change of owner.
    pub epoch: ident::Epoch,
}

/// A range of slots with the same owner; it extends to the first slot of the next range, or to the last slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotRange {
    /// First slot of the range, inclusive.
    pub first: ident::Slot,
    /// Owner of the range, or none before the first assignment and while ownership is being transferred.
    pub owner: Option<Owner>,
}

/// Assigns a single key to an owner regardless of the key's slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Hash of the key, see [`hash::key`].
    pub key: u64,
    /// Owner of the key, or none while ownership is being transferred.
    pub owner: Option<Owner>,
}

/// Slot table of a keyed service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotTable {
    /// Service whose keys the table assigns.
    pub service: ident::Service,
    /// Number of slots, which are numbered from 0.
    pub slots: u32,
    /// Ranges, sorted by first slot without duplicates; the first one starts at slot 0, so that they cover all slots.
    pub ranges: Vec<SlotRange>,
    /// Placements, sorted by key hash without duplicates; they take precedence over the ranges.
    pub placements: Vec<Placement>,
}

impl SlotTable {
    /// Creates a table of `slots` slots without owners.
    #[must_use]
    pub fn new(service: ident::Service, slots: u32) -> Self {
        let ranges = vec![SlotRange {
            first: ident::Slot(0),
            owner: None,
        }];
        Self {
            service,
            slots,
            ranges,
            placements: Vec::new(),
        }
    }

    /// Returns the owner of the key with hash `key_hash`: that of its placement, or else that of its slot.
    #[must_use]
    pub fn owner(&self, key_hash: u64) -> Option<&Owner> {
        if let Ok(index) = self
            .placements
            .binary_search_by_key(&key_hash, |placement| placement.key)
        {
            return self.placements[index].owner.as_ref();
        }
        self.slot_owner(hash::slot(key_hash, self.slots))
    }

    /// Returns the owner of a slot, which applies to all its keys without a placement.
    #[must_use]
    pub fn slot_owner(&self, slot: ident::Slot) -> Option<&Owner> {
        let next_range = self.ranges.partition_point(|range| range.first <= slot);
        self.ranges.get(next_range.checked_sub(1)?)?.owner.as_ref()
    }

    /// Sets the owner of a slot, splitting its range as needed and merging adjacent ranges with the same owner.
    ///
    /// Does nothing if the slot is outside of the table.
    pub fn set_slot(&mut self, slot: ident::Slot, owner: Option<Owner>) {
        if slot.0 >= self.slots {
            return;
        }

        // Splits the range that contains the slot, so that the slot has a range of its own.
        let previous_owner = self.slot_owner(slot).cloned();
        let index = self.ranges.partition_point(|range| range.first < slot);
        if self
            .ranges
            .get(index)
            .is_none_or(|range| range.first != slot)
        {
            self.ranges.insert(
                index,
                SlotRange {
                    first: slot,
                    owner: previous_owner.clone(),
                },
            );
        }
        let following = ident::Slot(slot.0 + 1);
        if following.0 < self.slots
            && self
                .ranges
                .get(index + 1)
                .is_none_or(|range| range.first != following)
        {
            self.ranges.insert(
                index + 1,
                SlotRange {
                    first: following,
                    owner: previous_owner,
                },
            );
        }
        self.ranges[index].owner = owner;

        self.ranges
            .dedup_by(|right, left| right.owner == left.owner);
    }

    /// Sets the owner of a single key, adding a placement if the key has none.
    pub fn set_placement(&mut self, key_hash: u64, owner: Option<Owner>) {
        match self
            .placements
            .binary_search_by_key(&key_hash, |placement| placement.key)
        {
            Ok(index) => self.placements[index].owner = owner,
            Err(index) => self.placements.insert(
                index,
                Placement {
                    key: key_hash,
                    owner,
                },
            ),
        }
    }

    /// Removes the placement of a key, if it has one; the key then belongs to the owner of its slot.
    pub fn clear_placement(&mut self, key_hash: u64) {
        if let Ok(index) = self
            .placements
            .binary_search_by_key(&key_hash, |placement| placement.key)
        {
            self.placements.remove(index);
        }
    }

    /// Returns the first slot, the last slot (inclusive) and the owner of each range, in order.
    pub fn spans(&self) -> impl Iterator<Item = (ident::Slot, ident::Slot, Option<&Owner>)> {
        self.ranges.iter().enumerate().map(|(index, range)| {
            let end = self
                .ranges
                .get(index + 1)
                .map_or(self.slots, |next| next.first.0);
            (
                range.first,
                ident::Slot(end.saturating_sub(1)),
                range.owner.as_ref(),
            )
        })
    }
}
