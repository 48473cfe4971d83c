//! The `slots` module provides the table that maps a service's key space to owning upstreams.
//!
//! Ranges of slots keep the table small at any number of keys; single hot keys are exceptions on top. See
//! `docs/design.md`, section 4.

use serde::{Deserialize, Serialize};

use crate::hash;
use crate::ident;

/// Owner of a range of slots or of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Owning upstream.
    pub upstream: ident::Upstream,
    /// Epoch at which the ownership began.
    pub epoch: ident::Epoch,
}

/// A range of slots with one owner; it ends where the next range starts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Range {
    /// First slot of the range.
    pub first: ident::Slot,
    /// Owner of the range, or none while a move is under way.
    pub owner: Option<Owner>,
}

/// A single key with an owner of its own.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Hash of the key.
    pub key: u64,
    /// Owner of the key, or none while a move is under way.
    pub owner: Option<Owner>,
}

/// Slot table of one keyed service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Service of the key space.
    pub service: ident::Service,
    /// Number of slots.
    pub slots: u32,
    /// Ranges sorted by first slot; the first range starts at slot 0.
    pub ranges: Vec<Range>,
    /// Placed keys, sorted by hash.
    pub placements: Vec<Placement>,
}

impl Table {
    /// Creates a table in which no slot has an owner.
    #[must_use]
    pub fn new(service: ident::Service, slots: u32) -> Self {
        let ranges = vec![Range {
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

    /// Returns the owner of the key with hash `key`.
    #[must_use]
    pub fn owner(&self, key: u64) -> Option<&Owner> {
        if let Ok(index) = self
            .placements
            .binary_search_by_key(&key, |placement| placement.key)
        {
            return self.placements[index].owner.as_ref();
        }
        self.slot_owner(hash::slot(key, self.slots))
    }

    /// Returns the owner of a slot, placed keys aside.
    #[must_use]
    pub fn slot_owner(&self, slot: ident::Slot) -> Option<&Owner> {
        let next = self.ranges.partition_point(|range| range.first <= slot);
        self.ranges.get(next.checked_sub(1)?)?.owner.as_ref()
    }

    /// Sets the owner of a single slot and merges neighbouring ranges of the same owner.
    pub fn set_slot(&mut self, slot: ident::Slot, owner: Option<Owner>) {
        if slot.0 >= self.slots {
            return;
        }

        // Cuts the range so that the slot stands alone.
        let before = self.slot_owner(slot).cloned();
        let start = self.ranges.partition_point(|range| range.first < slot);
        if self
            .ranges
            .get(start)
            .is_none_or(|range| range.first != slot)
        {
            self.ranges.insert(
                start,
                Range {
                    first: slot,
                    owner: before.clone(),
                },
            );
        }
        let after = ident::Slot(slot.0 + 1);
        if after.0 < self.slots
            && self
                .ranges
                .get(start + 1)
                .is_none_or(|range| range.first != after)
        {
            self.ranges.insert(
                start + 1,
                Range {
                    first: after,
                    owner: before,
                },
            );
        }
        self.ranges[start].owner = owner;

        self.ranges
            .dedup_by(|right, left| right.owner == left.owner);
    }

    /// Sets the owner of one key.
    pub fn set_placement(&mut self, key: u64, owner: Option<Owner>) {
        match self
            .placements
            .binary_search_by_key(&key, |placement| placement.key)
        {
            Ok(index) => self.placements[index].owner = owner,
            Err(index) => self.placements.insert(index, Placement { key, owner }),
        }
    }

    /// Removes the exception for one key, which falls back to the owner of its slot.
    pub fn clear_placement(&mut self, key: u64) {
        if let Ok(index) = self
            .placements
            .binary_search_by_key(&key, |placement| placement.key)
        {
            self.placements.remove(index);
        }
    }

    /// Returns the ranges with their last slot, in order.
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
