//! The `plan` module provides the next ownership map: it assigns the keys at first, reassigns those of lost or leaving
//! upstreams, and rebalances the load, which also gives keys to new upstreams.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{
    Coordinator, Holder, LOAD_DECAY_FACTOR, LOAD_DECAY_INTERVAL, Member, OwnedRange, OwnershipMap,
};

/// Fraction of the mean load by which an upstream's load has to differ from it before keys are moved.
const MIN_IMBALANCE_FRACTION: f64 = 0.2;

/// Standard deviations of a request count by which an upstream's load has to differ from the mean; less may be chance.
const MIN_IMBALANCE_STD_DEVS: f64 = 2.5;

/// Delay before the map is written only to drop previous owners; the coordinator's reports tell the VMs sooner.
const CLEANUP_DELAY: Duration = Duration::from_secs(2);

/// Ranges that may change their owner at the same time for balance in a small fleet; the keys of each move have no owner
/// for a short time.
const SMALL_FLEET_CONCURRENT_MOVES: usize = 6;

/// Upstreams per concurrent move in a large fleet.
///
/// After the return of a data centre, a third of the upstreams has no keys. With three upstreams per move and a second per
/// handover, all of them have keys again after some two seconds.
const UPSTREAMS_PER_CONCURRENT_MOVE: usize = 3;

/// Time for which the number of upstreams has to stay the same before the keys are assigned for the first time.
///
/// When a whole deployment starts, its upstreams register one after the other.
const INITIAL_ASSIGNMENT_DELAY: Duration = Duration::from_millis(300);

/// Mean number of ranges per upstream above which adjacent ranges of one owner are merged.
const MAX_RANGES_PER_UPSTREAM: usize = 4;

/// Load in decayed requests that each key has besides its measured load, so that idle ranges are spread evenly.
const BASE_LOAD_PER_KEY: f64 = 0.0005;

impl Coordinator {
    /// Returns the map to write next, or none if nothing changes or a mere cleanup isn't due yet.
    pub(super) fn next_map(&mut self, now: Instant) -> Option<OwnershipMap> {
        if self.awaits_lost_grants(now, &self.map) {
            return None;
        }
        let mut map = self.map.clone();
        self.renew_fencing_tokens(&mut map);
        self.clear_previous_owners(&mut map);
        if map.ranges.is_empty() {
            if now.saturating_since(self.members_changed_at) >= INITIAL_ASSIGNMENT_DELAY {
                self.assign_all_keys(&mut map);
            }
        } else {
            self.reassign(now, &mut map);
            let is_due = now.saturating_since(self.rebalanced_at) >= self.timing.rebalance_interval;
            // An owner that does not answer can hold up a handover for seconds, and must not hold up the others.
            let max_moves = self
                .max_concurrent_moves()
                .saturating_sub(moving_count(&map));
            if is_due && max_moves > 0 {
                self.rebalanced_at = now;
                self.rebalance(now, &mut map, max_moves);
                self.merge_adjacent_ranges(&mut map);
            }
        }
        debug_assert!(map.is_valid(), "the planned map does not cover all keys");
        if map == self.map {
            self.cleanup_pending_since = None;
            return None;
        }
        let pending_since = *self.cleanup_pending_since.get_or_insert(now);
        let is_due = map.next_fencing_token != self.map.next_fencing_token
            || now.saturating_since(pending_since) >= CLEANUP_DELAY;
        if is_due {
            self.cleanup_pending_since = None;
        }
        is_due.then_some(map)
    }

    /// Removes the previous owners of each range whose owner has its grant.
    fn clear_previous_owners(&self, map: &mut OwnershipMap) {
        for range in &mut map.ranges {
            // A grant is sent only when no previous owner can hold the keys any more.
            if self.is_granted(range.fencing_token) {
                range.previous_owners.clear();
            }
        }
    }

    /// Returns whether a holder is registered, allowed to own keys, and neither dead nor suspect.
    fn may_own(&self, now: Instant, holder: &Holder) -> bool {
        let is_suspect = self
            .holders
            .binary_search_by(|state| state.holder.cmp(holder))
            .is_ok_and(|position| {
                let state = &self.holders[position];
                state.is_dead || state.is_suspect(now)
            });
        let member = self
            .members
            .binary_search_by(|member| member.holder.cmp(holder));
        !is_suspect && member.is_ok_and(|position| self.members[position].may_own)
    }

    /// Assigns all keys for the first time, in proportion to the upstreams' capacities.
    fn assign_all_keys(&self, map: &mut OwnershipMap) {
        let owners: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| member.may_own)
            .collect();
        let total: f64 = owners.iter().map(|member| member.capacity).sum();
        if owners.is_empty() || total <= 0.0 {
            return;
        }
        let key_count = f64::from(u16::MAX) + 1.0;
        let mut first = 0_u32;
        let mut assigned_capacity = 0.0;
        for (index, member) in owners.iter().enumerate() {
            assigned_capacity += member.capacity;
            let end = if index + 1 == owners.len() {
                u32::from(u16::MAX) + 1
            } else {
                to_key_bound(key_count * assigned_capacity / total)
            };
            if end > first {
                map.ranges.push(OwnedRange {
                    first: to_key(first),
                    last: to_key(end - 1),
                    owner: member.holder.clone(),
                    fencing_token: map.next_fencing_token,
                    previous_owners: Vec::new(),
                });
                map.next_fencing_token += 1;
                first = end;
            }
        }
    }

    /// Reassigns the ranges of owners that are lost, suspect, leaving or not allowed to own keys.
    fn reassign(&self, now: Instant, map: &mut OwnershipMap) {
        let mut loads = self.owner_loads(now, map);
        if loads.is_empty() {
            return;
        }
        let mut index = 0;
        while index < map.ranges.len() {
            let range = map.ranges[index].clone();
            if self.may_own(now, &range.owner) {
                index += 1;
                continue;
            }
            // A range with too much load for one upstream is split, so that the load of a lost owner is spread over all
            // others.
            let load = self.load_of_range(&range);
            let mean =
                loads.iter().map(|owner| owner.load).sum::<f64>() / count_to_f64(loads.len());
            let pieces = (load / (mean / 3.0).max(0.1)).ceil().clamp(1.0, 4.0);
            let cut_points = self.cut_points(&range, pieces);
            let mut rest = range.clone();
            map.ranges.remove(index);
            for cut in cut_points {
                let (piece, after) = (
                    OwnedRange {
                        last: cut,
                        ..rest.clone()
                    },
                    cut + 1,
                );
                self.assign_to_least_loaded(piece, &mut loads, map, &mut index);
                rest.first = after;
            }
            self.assign_to_least_loaded(rest, &mut loads, map, &mut index);
        }
    }

    /// Inserts a range at `index` under the upstream with the lowest utilization with it, and advances the index.
    fn assign_to_least_loaded(
        &self,
        mut range: OwnedRange,
        loads: &mut [OwnerLoad],
        map: &mut OwnershipMap,
        index: &mut usize,
    ) {
        let load = self.load_of_range(&range);
        if let Some(least) = loads.iter_mut().min_by(|a, b| {
            a.utilization_with(load)
                .total_cmp(&b.utilization_with(load))
        }) {
            least.load += load;
            change_owner(&mut range, &least.holder, &mut map.next_fencing_token);
        }
        map.ranges.insert(*index, range);
        *index += 1;
    }

    /// Returns the number of ranges that may be moving at the same time for balance.
    fn max_concurrent_moves(&self) -> usize {
        SMALL_FLEET_CONCURRENT_MOVES.max(self.members.len() / UPSTREAMS_PER_CONCURRENT_MOVE)
    }

    /// Makes up to `max_moves` moves from the most loaded to the least loaded upstreams; new upstreams without keys are among
    /// the latter.
    fn rebalance(&self, now: Instant, map: &mut OwnershipMap, max_moves: usize) {
        let mut loads = self.owner_loads(now, map);
        let total: f64 = loads.iter().map(|owner| owner.load).sum();
        let capacity: f64 = loads.iter().map(|owner| owner.capacity).sum();
        if loads.len() < 2 {
            return;
        }
        let mean = total / capacity;
        let key_count = f64::from(u16::MAX) + 1.0;
        // Owners whose load can't be split further, such as one whose only busy key exceeds its capacity.
        let mut unsplittable: Vec<Holder> = Vec::new();
        let mut remaining_moves = max_moves;
        while remaining_moves > 0 {
            loads.sort_by(|a, b| a.utilization().total_cmp(&b.utilization()));
            let mut by_load = loads.iter().rev();
            let most_loaded = by_load.find(|owner| !unsplittable.contains(&owner.holder));
            let (Some(least_loaded), Some(most_loaded)) = (loads.first(), most_loaded) else {
                return;
            };
            // The excess of one and the deficit of the other, both from the mean, bound the load to move.
            let excess = most_loaded.load - mean * most_loaded.capacity;
            let deficit = mean * least_loaded.capacity - least_loaded.load;
            let target = if excess
                >= min_imbalance(mean, key_count * BASE_LOAD_PER_KEY / capacity, most_loaded)
            {
                excess.min(deficit)
            } else if deficit
                >= min_imbalance(mean, key_count * BASE_LOAD_PER_KEY / capacity, least_loaded)
            {
                // A lightly loaded upstream, such as a new one, takes load from the most loaded one.
                deficit.min(
                    (most_loaded.utilization() - least_loaded.utilization()) / 2.0
                        * least_loaded.capacity,
                )
            } else {
                return;
            };
            let (from, to) = (most_loaded.holder.clone(), least_loaded.holder.clone());
            let Some(moved) = self.move_load(map, &from, &to, target) else {
                unsplittable.push(from);
                continue;
            };
            remaining_moves -= 1;
            for owner in &mut loads {
                if owner.holder == from {
                    owner.load -= moved;
                } else if owner.holder == to {
                    owner.load += moved;
                }
            }
        }
    }

    /// Moves about `target` load from one owner to another by splitting one range.
    ///
    /// Returns the load that was moved, or none if no split comes close enough. Ranges in handover are not split.
    fn move_load(
        &self,
        map: &mut OwnershipMap,
        from: &Holder,
        to: &Holder,
        target: f64,
    ) -> Option<f64> {
        let mut best: Option<(f64, usize, u16, f64)> = None;
        for (index, range) in map.ranges.iter().enumerate() {
            if range.owner != *from || !range.previous_owners.is_empty() {
                continue;
            }
            let mut load = 0.0;
            for key in range.keys() {
                let next = load + self.load_of_key(key);
                // The best split is just before or just after the key at which the load reaches the target.
                if next >= target || key == range.last {
                    let candidates = [(load, key.checked_sub(1)), (next, Some(key))];
                    for (moved, last) in candidates {
                        let Some(last) = last.filter(|last| *last >= range.first) else {
                            continue;
                        };
                        let error = (moved - target).abs();
                        if moved > 0.0
                            && moved < target * 2.0
                            && best.is_none_or(|(least, ..)| error < least)
                        {
                            best = Some((error, index, last, moved));
                        }
                    }
                    break;
                }
                load = next;
            }
        }
        let (_, index, last, moved) = best?;
        if moved < target * 0.2 {
            return None;
        }
        let range = map.ranges[index].clone();
        let mut piece = OwnedRange {
            last,
            ..range.clone()
        };
        change_owner(&mut piece, to, &mut map.next_fencing_token);
        if last == range.last {
            map.ranges[index] = piece;
        } else {
            // The rest keeps its owner but gets a new fencing token, because its grant now covers fewer keys.
            let rest = OwnedRange {
                first: last + 1,
                fencing_token: map.next_fencing_token,
                ..range
            };
            map.next_fencing_token += 1;
            map.ranges[index] = rest;
            map.ranges.insert(index, piece);
        }
        Some(moved)
    }

    /// Merges adjacent ranges of one owner when there are many, because each range is renewed separately.
    fn merge_adjacent_ranges(&self, map: &mut OwnershipMap) {
        if map.ranges.len() <= self.members.len() * MAX_RANGES_PER_UPSTREAM {
            return;
        }
        let mut merged: Vec<OwnedRange> = Vec::with_capacity(map.ranges.len());
        for range in std::mem::take(&mut map.ranges) {
            match merged.last_mut() {
                Some(last)
                    if last.owner == range.owner
                        && last.previous_owners.is_empty()
                        && range.previous_owners.is_empty() =>
                {
                    last.last = range.last;
                    last.fencing_token = map.next_fencing_token;
                    map.next_fencing_token += 1;
                }
                _ => merged.push(range),
            }
        }
        map.ranges = merged;
    }

    /// Returns the load of each upstream that may be assigned more keys.
    fn owner_loads(&self, now: Instant, map: &OwnershipMap) -> Vec<OwnerLoad> {
        let owners = self
            .members
            .iter()
            .filter(|member| self.may_own(now, &member.holder) && member.capacity > 0.0);
        let is_any_warm = owners.clone().any(|member| member.is_warm);
        // A cold upstream keeps its keys, but gets more only while no upstream is warm.
        let mut loads: Vec<OwnerLoad> = owners
            .filter(|member| member.is_warm || !is_any_warm)
            .map(|member| {
                let own = map
                    .ranges
                    .iter()
                    .filter(|range| range.owner == member.holder);
                OwnerLoad {
                    holder: member.holder.clone(),
                    capacity: member.capacity,
                    load: own.map(|range| self.load_of_range(range)).sum(),
                    max_load: member.max_requests_per_s.map(load_of_rate),
                }
            })
            .collect();
        limit_capacities(&mut loads);
        loads
    }

    fn load_of_key(&self, key: u16) -> f64 {
        f64::from(self.key_load[usize::from(key)]) + BASE_LOAD_PER_KEY
    }

    fn load_of_range(&self, range: &OwnedRange) -> f64 {
        range.keys().map(|key| self.load_of_key(key)).sum()
    }

    /// Returns the last key of each piece except the final one, when a range is split into pieces of similar load.
    fn cut_points(&self, range: &OwnedRange, pieces: f64) -> Vec<u16> {
        let piece = self.load_of_range(range) / pieces;
        let mut cut_points = Vec::new();
        let mut load = 0.0;
        for key in range.keys() {
            load += self.load_of_key(key);
            if load >= piece && key < range.last && count_to_f64(cut_points.len()) + 1.0 < pieces {
                cut_points.push(key);
                load = 0.0;
            }
        }
        cut_points
    }
}

/// Returns the smallest difference between an upstream's load and its fair share that is worth a move.
///
/// `mean` is the mean load per unit of capacity.
fn min_imbalance(mean: f64, base_load_per_capacity: f64, owner: &OwnerLoad) -> f64 {
    let fair_share = mean * owner.capacity;
    // Only the measured requests vary by chance; the constant base load of the keys does not.
    let deviation = (fair_share - base_load_per_capacity * owner.capacity)
        .max(0.0)
        .sqrt();
    (fair_share * MIN_IMBALANCE_FRACTION).max(MIN_IMBALANCE_STD_DEVS * deviation)
}

/// Load of an upstream that may be assigned more keys.
#[derive(Clone, Debug)]
struct OwnerLoad {
    holder: Holder,
    capacity: f64,
    load: f64,
    /// Load at the request limit of the upstream, if it has one.
    max_load: Option<f64>,
}

impl OwnerLoad {
    /// Returns the load per unit of capacity.
    fn utilization(&self) -> f64 {
        self.utilization_with(0.0)
    }

    /// Returns the load per unit of capacity with further load.
    fn utilization_with(&self, load: f64) -> f64 {
        (self.load + load) / self.capacity
    }
}

/// Lowers the capacities of upstreams whose fair share of the load would exceed their limit, so that it equals the limit.
///
/// If all upstreams are limited, their capacities are proportional to their limits.
fn limit_capacities(loads: &mut [OwnerLoad]) {
    let total: f64 = loads.iter().map(|owner| owner.load).sum();
    let mut is_limited = vec![false; loads.len()];
    // Each limited upstream leaves more load to the others, which may exceed their limits then.
    let mean = loop {
        let (mut free_load, mut free_capacity) = (total, 0.0);
        for (owner, is_limited) in loads.iter().zip(&is_limited) {
            match owner.max_load.filter(|_| *is_limited) {
                Some(max_load) => free_load -= max_load,
                None => free_capacity += owner.capacity,
            }
        }
        if free_load <= 0.0 || free_capacity <= 0.0 {
            break 1.0;
        }
        let mean = free_load / free_capacity;
        let mut has_changed = false;
        for (owner, is_limited) in loads.iter().zip(&mut is_limited) {
            let exceeds = |max_load: f64| owner.capacity * mean > max_load;
            if !*is_limited && owner.max_load.is_some_and(exceeds) {
                *is_limited = true;
                has_changed = true;
            }
        }
        if !has_changed {
            break mean;
        }
    };
    for (owner, is_limited) in loads.iter_mut().zip(is_limited) {
        if let Some(max_load) = owner.max_load.filter(|_| is_limited) {
            owner.capacity = max_load / mean;
        }
    }
}

/// Returns the number of ranges whose previous owners may still hold keys.
fn moving_count(map: &OwnershipMap) -> usize {
    let ranges = map.ranges.iter();
    ranges
        .filter(|range| !range.previous_owners.is_empty())
        .count()
}

/// Returns the mean load that a constant rate of requests per second causes.
fn load_of_rate(rate_per_s: f64) -> f64 {
    let remaining = f64::from(LOAD_DECAY_FACTOR);
    let intervals = remaining / (1.0 - remaining) + 0.5;
    rate_per_s * LOAD_DECAY_INTERVAL.as_secs_f64() * intervals
}

/// Makes `to` the owner of a range under a new fencing token and records the old owner, which may still hold the keys.
fn change_owner(range: &mut OwnedRange, to: &Holder, next_fencing_token: &mut u64) {
    if !range.previous_owners.contains(&range.owner) {
        range.previous_owners.push(range.owner.clone());
    }
    range.owner = to.clone();
    range.fencing_token = *next_fencing_token;
    *next_fencing_token += 1;
}

#[expect(
    clippy::cast_precision_loss,
    reason = "there are far fewer than 2^52 upstreams"
)]
fn count_to_f64(count: usize) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value lies between zero and the number of keys"
)]
fn to_key_bound(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u16::MAX) + 1.0) as u32
}

fn to_key(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
