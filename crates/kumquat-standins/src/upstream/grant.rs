//! The `grant` module provides the ownership that an upstream holds by grant, per slot and per key.
//!
//! Times are milliseconds of the upstream's own clock. See `docs/design.md`, section 4.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::observation::Area;

/// A range of slots with the epoch at which their ownership began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// First slot.
    pub first: u32,
    /// Last slot.
    pub last: u32,
    /// Epoch; absent in a release.
    #[serde(default)]
    pub epoch: u64,
}

/// A single key with the epoch at which its ownership began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Hash of the key in 16 hexadecimal digits.
    pub key: String,
    /// Epoch; absent in a release.
    #[serde(default)]
    pub epoch: u64,
}

impl Key {
    /// Creates the wire form of a key's hash.
    pub(super) fn new(hash: u64) -> Self {
        Self {
            key: format!("{hash:016x}"),
            epoch: 0,
        }
    }
}

/// Body of `POST /grant`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Fencing token of the granter.
    pub fence: u64,
    /// Boot id that the granter knows; absent in a first call, which only learns it.
    #[serde(default)]
    pub boot: Option<u64>,
    /// Grows with each order under one fencing token; an order that was overtaken is rejected. Absent in orders that are
    /// not whole.
    #[serde(default)]
    pub sequence: u64,
    /// Whether the order names everything that the upstream owns, so that it gives up the rest.
    ///
    /// The answer to such an order comes at once and tells what is still being given up.
    #[serde(default)]
    pub whole: bool,
    /// Expiry in the clock of the upstream.
    #[serde(default)]
    pub until_ms: u64,
    /// Granted slots; slots that were granted before and are not listed keep their expiry.
    #[serde(default)]
    pub spans: Vec<Span>,
    /// Slots to give up; the answer comes after their requests have finished.
    #[serde(default)]
    pub release: Vec<Span>,
    /// Granted keys, whatever the owner of their slots.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// Keys to give up.
    #[serde(default)]
    pub release_keys: Vec<Key>,
    /// Keys in granted slots that other upstreams own; the list replaces the earlier one, and its absence keeps it.
    #[serde(default)]
    pub without: Option<Vec<Key>>,
}

/// Answer to `POST /grant`, also when it is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Granted {
    /// Boot id of the upstream.
    pub boot: u64,
    /// Clock of the upstream.
    pub clock_ms: u64,
    /// Highest fencing token that it has accepted.
    pub fence: u64,
    /// Slots that it holds.
    pub held: Vec<Span>,
    /// Why the order was rejected, if it was.
    #[serde(default)]
    pub rejection: Option<Refused>,
    /// Keys of requests that still run although their slot or key is being given up.
    #[serde(default)]
    pub finishing: Vec<Key>,
}

/// Why an order was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refused {
    /// The order is meant for another run of the upstream.
    ForeignBoot,
    /// A higher fencing token has been seen.
    LowerFence,
    /// A later order under the same fencing token has arrived before.
    Overtaken,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Stage {
    #[default]
    Granted,
    /// No request starts any more, and the running ones may finish until the expiry.
    Releasing,
    /// A grant of this epoch or an earlier one was overtaken by the release and has no effect.
    Released,
}

#[derive(Clone, Copy, Debug, Default)]
struct Held {
    epoch: u64,
    until_ms: u64,
    stage: Stage,
}

impl Held {
    /// Returns whether requests may start.
    fn is_open(&self, now_ms: u64) -> bool {
        self.stage == Stage::Granted && now_ms < self.until_ms
    }
}

/// The grants that an upstream holds.
#[derive(Debug, Default)]
pub(super) struct Grants {
    areas: BTreeMap<Area, Held>,
    without: Vec<u64>,
}

impl Grants {
    /// Grants an area and returns its expiry, unless the grant is outdated.
    ///
    /// A renewal during a release only gives the running requests more time to finish.
    pub(super) fn grant(&mut self, area: Area, epoch: u64, until_ms: u64) -> Option<u64> {
        let held = self.areas.entry(area).or_default();
        if epoch < held.epoch || (held.stage == Stage::Released && epoch == held.epoch) {
            return None;
        }
        if epoch > held.epoch {
            held.stage = Stage::Granted;
        }
        held.epoch = epoch;
        held.until_ms = held.until_ms.max(until_ms);
        Some(held.until_ms)
    }

    /// Begins to give up an area.
    pub(super) fn release(&mut self, area: Area) {
        let held = self.areas.entry(area).or_default();
        if held.stage == Stage::Granted {
            held.stage = Stage::Releasing;
        }
    }

    /// Returns the areas that are granted now, expired or not.
    pub(super) fn granted(&self) -> Vec<Area> {
        self.areas
            .iter()
            .filter(|(_, held)| held.stage == Stage::Granted)
            .map(|(area, _)| *area)
            .collect()
    }

    /// Gives up an area whose requests have finished and returns true, unless it has been granted again.
    pub(super) fn finish_release(&mut self, area: Area) -> bool {
        let held = self.areas.entry(area).or_default();
        if held.stage == Stage::Granted {
            return false;
        }
        held.stage = Stage::Released;
        held.until_ms = 0;
        true
    }

    pub(super) fn set_without(&mut self, mut keys: Vec<u64>) {
        keys.sort_unstable();
        self.without = keys;
    }

    /// Ends all grants, whose epochs stay known.
    pub(super) fn expire(&mut self) {
        for held in self.areas.values_mut() {
            held.until_ms = 0;
        }
    }

    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns under which unexpired grant a key may run, and its epoch.
    pub(super) fn covering(&self, key: u64, slot: u32, now_ms: u64) -> Option<(Area, u64)> {
        let valid = |area: Area| {
            let held = self.areas.get(&area)?;
            held.is_open(now_ms).then_some((area, held.epoch))
        };
        valid(Area::Key(key)).or_else(|| {
            if self.without.binary_search(&key).is_ok() {
                return None;
            }
            valid(Area::Slot(slot))
        })
    }

    /// Returns whether a run in the area may still take effect.
    pub(super) fn covers_end(&self, area: Area, now_ms: u64) -> bool {
        self.areas
            .get(&area)
            .is_some_and(|held| now_ms < held.until_ms)
    }

    /// Returns the held slots as spans of one epoch each.
    pub(super) fn held(&self, now_ms: u64) -> Vec<Span> {
        let mut spans = Vec::<Span>::new();
        for (area, held) in &self.areas {
            let Area::Slot(slot) = *area else { continue };
            if !held.is_open(now_ms) {
                continue;
            }
            match spans.last_mut() {
                Some(span)
                    if span.last.checked_add(1) == Some(slot) && span.epoch == held.epoch =>
                {
                    span.last = slot;
                }
                _ => spans.push(Span {
                    first: slot,
                    last: slot,
                    epoch: held.epoch,
                }),
            }
        }
        spans
    }
}

/// Reads a key hash of 16 hexadecimal digits.
pub(super) fn key_hash(text: &str) -> Option<u64> {
    if text.len() != 16 {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}
