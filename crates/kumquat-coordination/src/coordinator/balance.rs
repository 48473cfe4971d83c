//! The `balance` module provides the distribution of slots over the upstreams of one service.
//!
//! A table that changes as little as possible moves fewer keys than hashing over the list of upstreams, and it can
//! adapt to the load. `examples/slot_balance.rs` compares them.

use std::cmp::Reverse;
use std::collections::BTreeSet;

/// Load relative to the fair share above which slots move, in thousandths; the target for maximum over mean is 1,150.
const MAX_RATIO_PERMILLE: u128 = 1_100;

/// Load relative to the fair share below which slots move, in thousandths.
const MIN_RATIO_PERMILLE: u128 = 850;

/// Range of loads relative to the fair share within which moves stop, in thousandths.
///
/// It lies well inside the bounds that start moves, so that noise does not start them again at once.
const SETTLED_RATIO_PERMILLE: (u128, u128) = (950, 1_050);

/// Chunks of adjacent free slots per upstream; more of them balance better, fewer keep the table small.
const CHUNKS_PER_UPSTREAM: usize = 16;

/// Assignment of the slots of one service to upstreams, which are numbered from 0.
///
/// All loads have the same unit, which the caller chooses.
#[derive(Clone, Debug, Default)]
pub struct SlotAssignment {
    /// Capacity of each eligible upstream, relative to the others.
    pub weights: Vec<u64>,
    /// Load of each upstream that does not come from its slots, such as that of placed keys.
    pub placed_loads: Vec<u64>,
    /// Load by slot number.
    pub slot_loads: Vec<u64>,
    /// Owner by slot number; none if the slot is free or its owner is not eligible.
    pub owners: Vec<Option<usize>>,
}

impl SlotAssignment {
    /// Returns the load of each upstream, from its slots and its placed keys.
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

    /// Returns the highest load of an upstream relative to its fair share, in thousandths.
    #[must_use]
    pub fn imbalance_permille(&self) -> u64 {
        let totals = self.upstream_loads();
        let shares = FairShares::new(self, &totals);
        let highest = (0..totals.len())
            .map(|upstream| shares.ratio_permille(upstream, totals[upstream]))
            .max();
        u64::try_from(highest.unwrap_or(0)).unwrap_or(u64::MAX)
    }

    /// Assigns the given slots, which must be free, to the upstreams with the lowest load; no other slot moves.
    pub fn assign_free_slots(&mut self, free: &[u32]) {
        if self.weights.is_empty() {
            return;
        }
        let mut totals = self.upstream_loads();

        // The chunks with the highest load are assigned first, so that the others can even out the differences.
        let chunk_size = (free.len() / (CHUNKS_PER_UPSTREAM * self.weights.len())).max(1);
        let mut chunks: Vec<(u64, &[u32])> = free
            .chunks(chunk_size)
            .map(|chunk| {
                let load = chunk
                    .iter()
                    .map(|slot| self.slot_loads[*slot as usize])
                    .sum();
                (load, chunk)
            })
            .collect();
        chunks.sort_by_key(|(load, chunk)| (Reverse(*load), chunk[0]));
        for (load, chunk) in chunks {
            let lowest = (0..totals.len()).min_by(|a, b| {
                let scaled_load = |upstream: usize, other: usize| {
                    u128::from(totals[upstream] + load) * u128::from(self.weights[other])
                };
                scaled_load(*a, *b).cmp(&scaled_load(*b, *a))
            });
            let Some(lowest) = lowest else { return };
            totals[lowest] += load;
            for slot in chunk {
                self.owners[*slot as usize] = Some(lowest);
            }
        }
    }

    /// Returns at most `limit` slots that should leave their owner, sorted, or none if the load is even enough.
    ///
    /// Slots with a high load come first, so that few have to move.
    #[must_use]
    pub fn select_slots_to_move(&self, limit: usize) -> Vec<u32> {
        let mut totals = self.upstream_loads();
        let shares = FairShares::new(self, &totals);
        let ratios: Vec<u128> = (0..totals.len())
            .map(|upstream| shares.ratio_permille(upstream, totals[upstream]))
            .collect();
        if ratios
            .iter()
            .all(|ratio| (MIN_RATIO_PERMILLE..=MAX_RATIO_PERMILLE).contains(ratio))
        {
            return Vec::new();
        }

        let mut slots_by_load: Vec<BTreeSet<(u64, Reverse<usize>)>> =
            vec![BTreeSet::new(); totals.len()];
        for (slot, owner) in self.owners.iter().enumerate() {
            if let Some(owner) = owner {
                slots_by_load[*owner].insert((self.slot_loads[slot], Reverse(slot)));
            }
        }
        let mut exhausted = vec![false; totals.len()];
        let mut chosen = Vec::new();
        while chosen.len() < limit {
            let ratio = |upstream: &usize| shares.ratio_permille(*upstream, totals[*upstream]);
            let donor = (0..totals.len())
                .filter(|upstream| !exhausted[*upstream])
                .max_by_key(ratio);
            let receiver = (0..totals.len()).min_by_key(ratio);
            let (Some(donor), Some(receiver)) = (donor, receiver) else {
                break;
            };
            let is_settled = ratio(&donor) <= SETTLED_RATIO_PERMILLE.1
                && ratio(&receiver) >= SETTLED_RATIO_PERMILLE.0;
            if donor == receiver || ratio(&donor) <= 1_000 || is_settled {
                break;
            }

            // A slot whose move takes the donor or the receiver more than 5 % past its fair share does not help.
            let excess = totals[donor].saturating_sub(shares.share(donor));
            let deficit = shares.share(receiver).saturating_sub(totals[receiver]);
            let max_load =
                (excess + shares.share(donor) / 20).min(deficit + shares.share(receiver) / 20);
            let slot = slots_by_load[donor]
                .range(..=(max_load, Reverse(0)))
                .next_back()
                .copied();
            match slot {
                Some((load, slot)) if load > 0 => {
                    slots_by_load[donor].remove(&(load, slot));
                    totals[donor] -= load;
                    totals[receiver] += load;
                    chosen.push(u32::try_from(slot.0).unwrap_or(u32::MAX));
                }
                _ => exhausted[donor] = true,
            }
        }
        chosen.sort_unstable();
        chosen
    }
}

/// Shares of the total load in proportion to the upstreams' weights.
struct FairShares {
    total_load: u128,
    total_weight: u128,
    weights: Vec<u64>,
}

impl FairShares {
    fn new(assignment: &SlotAssignment, totals: &[u64]) -> Self {
        Self {
            total_load: totals.iter().map(|load| u128::from(*load)).sum(),
            total_weight: assignment
                .weights
                .iter()
                .map(|weight| u128::from(*weight))
                .sum(),
            weights: assignment.weights.clone(),
        }
    }

    fn share(&self, upstream: usize) -> u64 {
        let share = self.total_load * u128::from(self.weights[upstream]) / self.total_weight.max(1);
        u64::try_from(share).unwrap_or(u64::MAX)
    }

    /// Returns the load relative to the fair share, in thousandths.
    fn ratio_permille(&self, upstream: usize, load: u64) -> u128 {
        let weighted_total = self.total_load * u128::from(self.weights[upstream]);
        u128::from(load) * self.total_weight * 1_000 / weighted_total.max(1)
    }
}
