//! The `balance` module provides the distribution of slots over the upstreams of one service.
//!
//! A table that is changed as little as possible moves fewer keys than a hash function over the list of upstreams, and
//! it can follow the load. `examples/slot_balance.rs` compares them.

use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Highest load relative to the fair share that is left alone, in thousandths; the aim for maximum over mean is 1,150.
const HIGH: u128 = 1_100;

/// Lowest load relative to the fair share that is left alone, in thousandths.
const LOW: u128 = 850;

/// Load at which relief stops, in thousandths: well inside the bounds, so that noise does not start it again at once.
const SETTLED: (u128, u128) = (950, 1_050);

/// Pieces into which the free slots are cut for each upstream; more of them balance better, fewer keep the table small.
const PIECES: usize = 16;

/// Slots of one service, upstreams by index.
#[derive(Clone, Debug, Default)]
pub struct SlotAssignment {
    /// Capacity of each upstream that may own slots.
    pub weights: Vec<u64>,
    /// Load of each upstream that does not come from slots, such as that of placed keys.
    pub placed_loads: Vec<u64>,
    /// Load of each slot.
    pub slot_loads: Vec<u64>,
    /// Owner of each slot; none if it is free, or owned by an upstream that may not own slots.
    pub owners: Vec<Option<usize>>,
}

impl SlotAssignment {
    /// Returns the load of each upstream.
    #[must_use]
    pub fn upstream_loads(&self) -> Vec<u64> {
        let mut totals = self.placed_loads.clone();
        totals.resize(self.weights.len(), 0);
        for (slot, owner) in self.owners.iter().enumerate() {
            if let Some(owner) = owner {
                totals[*owner] += self.slot_loads[slot];
            }
        }
        totals
    }

    /// Returns the highest load relative to the fair share, in thousandths.
    #[must_use]
    pub fn imbalance_permille(&self) -> u64 {
        let totals = self.upstream_loads();
        let scale = Scale::new(self, &totals);
        let highest = (0..totals.len())
            .map(|upstream| scale.ratio(upstream, totals[upstream]))
            .max();
        u64::try_from(highest.unwrap_or(0)).unwrap_or(u64::MAX)
    }

    /// Gives the free slots to the upstreams with the lowest load; no other slot moves.
    pub fn assign_free_slots(&mut self, free: &[u32]) {
        if self.weights.is_empty() {
            return;
        }
        let mut totals = self.upstream_loads();

        // The heaviest pieces go first, so that the light ones even out the rest.
        let size = (free.len() / (PIECES * self.weights.len())).max(1);
        let mut pieces: Vec<(u64, &[u32])> = free
            .chunks(size)
            .map(|piece| {
                let load = piece
                    .iter()
                    .map(|slot| self.slot_loads[*slot as usize])
                    .sum();
                (load, piece)
            })
            .collect();
        pieces.sort_by_key(|(load, piece)| (Reverse(*load), piece[0]));
        for (load, piece) in pieces {
            let lowest = (0..totals.len()).min_by(|a, b| {
                let of = |upstream: usize, other: usize| {
                    u128::from(totals[upstream] + load) * u128::from(self.weights[other])
                };
                of(*a, *b).cmp(&of(*b, *a))
            });
            let Some(lowest) = lowest else { return };
            totals[lowest] += load;
            for slot in piece {
                self.owners[*slot as usize] = Some(lowest);
            }
        }
    }

    /// Chooses at most `limit` slots that should leave their owner, if the load is spread too unevenly.
    ///
    /// Heavy slots go first, so that few have to move.
    #[must_use]
    pub fn select_slots_to_move(&self, limit: usize) -> Vec<u32> {
        let mut totals = self.upstream_loads();
        let scale = Scale::new(self, &totals);
        let ratios: Vec<u128> = (0..totals.len())
            .map(|upstream| scale.ratio(upstream, totals[upstream]))
            .collect();
        if ratios.iter().all(|ratio| (LOW..=HIGH).contains(ratio)) {
            return Vec::new();
        }

        let mut slots: Vec<BTreeSet<(u64, Reverse<usize>)>> = vec![BTreeSet::new(); totals.len()];
        for (slot, owner) in self.owners.iter().enumerate() {
            if let Some(owner) = owner {
                slots[*owner].insert((self.slot_loads[slot], Reverse(slot)));
            }
        }
        let mut exhausted = vec![false; totals.len()];
        let mut chosen = Vec::new();
        while chosen.len() < limit {
            let ratio = |upstream: &usize| scale.ratio(*upstream, totals[*upstream]);
            let donor = (0..totals.len())
                .filter(|upstream| !exhausted[*upstream])
                .max_by_key(ratio);
            let taker = (0..totals.len()).min_by_key(ratio);
            let (Some(donor), Some(taker)) = (donor, taker) else {
                break;
            };
            let is_settled = ratio(&donor) <= SETTLED.1 && ratio(&taker) >= SETTLED.0;
            if donor == taker || ratio(&donor) <= 1_000 || is_settled {
                break;
            }

            // A slot that would turn the donor into a taker, or the taker into a donor, does not help.
            let excess = totals[donor].saturating_sub(scale.share(donor));
            let lack = scale.share(taker).saturating_sub(totals[taker]);
            let cap = (excess + scale.share(donor) / 20).min(lack + scale.share(taker) / 20);
            let slot = slots[donor]
                .range(..=(cap, Reverse(0)))
                .next_back()
                .copied();
            match slot {
                Some((load, slot)) if load > 0 => {
                    slots[donor].remove(&(load, slot));
                    totals[donor] -= load;
                    totals[taker] += load;
                    chosen.push(u32::try_from(slot.0).unwrap_or(u32::MAX));
                }
                _ => exhausted[donor] = true,
            }
        }
        chosen.sort_unstable();
        chosen
    }
}

/// Fair shares of the total load.
struct Scale {
    total: u128,
    weight: u128,
    weights: Vec<u64>,
}

impl Scale {
    fn new(problem: &SlotAssignment, totals: &[u64]) -> Self {
        Self {
            total: totals.iter().map(|load| u128::from(*load)).sum(),
            weight: problem.weights.iter().map(|load| u128::from(*load)).sum(),
            weights: problem.weights.clone(),
        }
    }

    fn share(&self, upstream: usize) -> u64 {
        let share = self.total * u128::from(self.weights[upstream]) / self.weight.max(1);
        u64::try_from(share).unwrap_or(u64::MAX)
    }

    /// Returns the load relative to the fair share, in thousandths.
    fn ratio(&self, upstream: usize, load: u64) -> u128 {
        let fair = self.total * u128::from(self.weights[upstream]);
        u128::from(load) * self.weight * 1_000 / fair.max(1)
    }
}
