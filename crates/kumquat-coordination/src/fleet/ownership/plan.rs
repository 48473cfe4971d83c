//! The `plan` module provides the next map of owners: keys of lost or leaving upstreams, keys for new ones, and balance.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{Coordinator, Holder, Member, OwnedRange, OwnershipMap};

/// Part of the mean load by which an upstream has to exceed it before keys are moved from it.
const OVERLOAD: f64 = 0.2;

/// Standard deviations of a count of requests by which an upstream has to exceed the mean; less may be chance.
const SIGNIFICANCE: f64 = 2.5;

/// Time after which the map is written again only to drop earlier owners; the VMs are told sooner by reports.
const SETTLE_DELAY: Duration = Duration::from_secs(2);

/// Moves that one change of the map may contain in a small fleet; each has a short gap for its keys.
const MOVES_AT_ONCE: usize = 6;

/// Upstreams of a large fleet per move that one change of the map may contain.
const UPSTREAMS_PER_MOVE: usize = 10;

/// Time for which the upstreams have to stay the same before all keys are divided for the first time.
///
/// At the start of a whole deployment they register one after the other.
const COVER_DELAY: Duration = Duration::from_millis(300);

/// Ranges per upstream above which neighbouring ranges of one owner are joined.
const RANGES_PER_OWNER: usize = 4;

/// Load that each key counts for besides its requests, so that ranges without requests are spread evenly.
const HEAT_PER_KEY: f64 = 0.0005;

impl Coordinator {
    /// Returns the map that should be written next, if it differs from the present one.
    pub(super) fn next_map(&mut self, now: Instant) -> Option<OwnershipMap> {
        let mut map = self.map.clone();
        map.next_fencing_token = map.next_fencing_token.max(1);
        self.settle(&mut map);
        if map.ranges.is_empty() {
            if now.saturating_since(self.members_changed_at) >= COVER_DELAY {
                self.cover(&mut map);
            }
        } else {
            let is_settled = map
                .ranges
                .iter()
                .all(|range| range.previous_owners.is_empty());
            self.reassign(now, &mut map);
            let is_due = now.saturating_since(self.rebalanced_at) >= self.timing.rebalance_interval;
            if is_settled && is_due {
                self.rebalanced_at = now;
                self.balance(now, &mut map);
                self.join(&mut map);
            }
        }
        debug_assert!(map.is_valid(), "the planned map does not cover all keys");
        if map == self.map {
            self.cleanup_pending_since = None;
            return None;
        }
        let since = *self.cleanup_pending_since.get_or_insert(now);
        let is_due = map.next_fencing_token != self.map.next_fencing_token
            || now.saturating_since(since) >= SETTLE_DELAY;
        if is_due {
            self.cleanup_pending_since = None;
        }
        is_due.then_some(map)
    }

    /// Removes earlier owners that hold nothing any more, once the new owner has its grant.
    fn settle(&self, map: &mut OwnershipMap) {
        for range in &mut map.ranges {
            // A grant is sent only after the earlier owners are free.
            if self.is_granted(range.fencing_token) {
                range.previous_owners.clear();
            }
        }
    }

    fn may_own(&self, now: Instant, holder: &Holder) -> bool {
        let is_suspect = self
            .holders
            .binary_search_by(|state| state.holder.cmp(holder))
            .is_ok_and(|position| {
                let state = &self.holders[position];
                state.is_dead || state.suspect_until > now
            });
        let member = self
            .members
            .binary_search_by(|member| member.holder.cmp(holder));
        !is_suspect && member.is_ok_and(|position| self.members[position].may_own)
    }

    /// Divides all keys among the upstreams for the first time.
    fn cover(&self, map: &mut OwnershipMap) {
        let owners: Vec<&Member> = self
            .members
            .iter()
            .filter(|member| member.may_own)
            .collect();
        let total: f64 = owners.iter().map(|member| member.capacity).sum();
        if owners.is_empty() || total <= 0.0 {
            return;
        }
        let keys = f64::from(u16::MAX) + 1.0;
        let mut first = 0_u32;
        let mut used = 0.0;
        for (index, member) in owners.iter().enumerate() {
            used += member.capacity;
            let end = if index + 1 == owners.len() {
                u32::from(u16::MAX) + 1
            } else {
                key_number(keys * used / total)
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

    /// Gives the keys of owners that are lost, leave or may not be used to others.
    fn reassign(&self, now: Instant, map: &mut OwnershipMap) {
        let mut loads = self.loads(now, map);
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
            // A range is cut where it is too large for one upstream, so that a loss is spread over all others.
            let heat = self.heat_of(&range);
            let mean = loads.iter().map(|load| load.heat).sum::<f64>() / number(loads.len());
            let pieces = (heat / (mean / 3.0).max(0.1)).ceil().clamp(1.0, 4.0);
            let cuts = self.cuts(&range, pieces);
            let mut rest = range.clone();
            map.ranges.remove(index);
            for cut in cuts {
                let (piece, after) = (
                    OwnedRange {
                        last: cut,
                        ..rest.clone()
                    },
                    cut + 1,
                );
                self.place(piece, &mut loads, map, &mut index);
                rest.first = after;
            }
            self.place(rest, &mut loads, map, &mut index);
        }
    }

    fn place(
        &self,
        mut range: OwnedRange,
        loads: &mut [OwnerLoad],
        map: &mut OwnershipMap,
        index: &mut usize,
    ) {
        let heat = self.heat_of(&range);
        if let Some(least) = loads
            .iter_mut()
            .min_by(|a, b| a.relative().total_cmp(&b.relative()))
        {
            least.heat += heat;
            hand_over(&mut range, &least.holder, &mut map.next_fencing_token);
        }
        map.ranges.insert(*index, range);
        *index += 1;
    }

    /// Moves keys from upstreams with more load than others, the new ones without any included.
    fn balance(&self, now: Instant, map: &mut OwnershipMap) {
        let mut loads = self.loads(now, map);
        let total: f64 = loads.iter().map(|load| load.heat).sum();
        let capacity: f64 = loads.iter().map(|load| load.capacity).sum();
        if loads.len() < 2 {
            return;
        }
        let mean = total / capacity;
        let keys = f64::from(u16::MAX) + 1.0;
        for _ in 0..MOVES_AT_ONCE.max(loads.len() / UPSTREAMS_PER_MOVE) {
            loads.sort_by(|a, b| a.relative().total_cmp(&b.relative()));
            let (Some(low), Some(high)) = (loads.first(), loads.last()) else {
                return;
            };
            // What both have in excess of and below the mean bounds what is worth moving.
            let excess = high.heat - mean * high.capacity;
            let room = mean * low.capacity - low.heat;
            let wanted = if excess >= significant(mean, keys * HEAT_PER_KEY / capacity, high) {
                excess.min(room)
            } else if room >= significant(mean, keys * HEAT_PER_KEY / capacity, low) {
                // An upstream with little to do, such as a new one, takes from the busiest.
                room.min((high.relative() - low.relative()) / 2.0 * low.capacity)
            } else {
                return;
            };
            let (from, to) = (high.holder.clone(), low.holder.clone());
            let Some(moved) = self.split_off(map, &from, &to, wanted) else {
                return;
            };
            for load in &mut loads {
                if load.holder == from {
                    load.heat -= moved;
                } else if load.holder == to {
                    load.heat += moved;
                }
            }
        }
    }

    /// Moves about `wanted` load from one owner to another; returns how much, or nothing if no cut fits.
    fn split_off(
        &self,
        map: &mut OwnershipMap,
        from: &Holder,
        to: &Holder,
        wanted: f64,
    ) -> Option<f64> {
        let mut best: Option<(f64, usize, u16, f64)> = None;
        for (index, range) in map.ranges.iter().enumerate() {
            if range.owner != *from || !range.previous_owners.is_empty() {
                continue;
            }
            let mut heat = 0.0;
            for key in range.keys() {
                let next = heat + self.heat_of_key(key);
                // The cut nearest to what is wanted is before or after the key that crosses it.
                if next >= wanted || key == range.last {
                    let candidates = [(heat, key.checked_sub(1)), (next, Some(key))];
                    for (moved, last) in candidates {
                        let Some(last) = last.filter(|last| *last >= range.first) else {
                            continue;
                        };
                        let error = (moved - wanted).abs();
                        if moved > 0.0
                            && moved < wanted * 2.0
                            && best.is_none_or(|(least, ..)| error < least)
                        {
                            best = Some((error, index, last, moved));
                        }
                    }
                    break;
                }
                heat = next;
            }
        }
        let (_, index, last, moved) = best?;
        if moved < wanted * 0.2 {
            return None;
        }
        let range = map.ranges[index].clone();
        let mut piece = OwnedRange {
            last,
            ..range.clone()
        };
        hand_over(&mut piece, to, &mut map.next_fencing_token);
        if last == range.last {
            map.ranges[index] = piece;
        } else {
            // The rest keeps its owner under a new token, because its grant covers fewer keys from now on.
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

    /// Joins neighbouring ranges of one owner when there are many, because each costs a renewal.
    fn join(&self, map: &mut OwnershipMap) {
        if map.ranges.len() <= self.members.len() * RANGES_PER_OWNER {
            return;
        }
        let mut joined: Vec<OwnedRange> = Vec::with_capacity(map.ranges.len());
        for range in std::mem::take(&mut map.ranges) {
            match joined.last_mut() {
                Some(last)
                    if last.owner == range.owner
                        && last.previous_owners.is_empty()
                        && range.previous_owners.is_empty() =>
                {
                    last.last = range.last;
                    last.fencing_token = map.next_fencing_token;
                    map.next_fencing_token += 1;
                }
                _ => joined.push(range),
            }
        }
        map.ranges = joined;
    }

    fn loads(&self, now: Instant, map: &OwnershipMap) -> Vec<OwnerLoad> {
        let owners = self
            .members
            .iter()
            .filter(|member| self.may_own(now, &member.holder) && member.capacity > 0.0);
        let is_any_warm = owners.clone().any(|member| member.is_warm);
        // A cold upstream keeps what it has, but gets more only if there is no warm one.
        owners
            .filter(|member| member.is_warm || !is_any_warm)
            .map(|member| {
                let own = map
                    .ranges
                    .iter()
                    .filter(|range| range.owner == member.holder);
                OwnerLoad {
                    holder: member.holder.clone(),
                    capacity: member.capacity,
                    heat: own.map(|range| self.heat_of(range)).sum(),
                }
            })
            .collect()
    }

    fn heat_of_key(&self, key: u16) -> f64 {
        f64::from(self.key_load[usize::from(key)]) + HEAT_PER_KEY
    }

    fn heat_of(&self, range: &OwnedRange) -> f64 {
        range.keys().map(|key| self.heat_of_key(key)).sum()
    }

    /// Returns the last keys of all pieces but the last when a range is cut into pieces of like load.
    fn cuts(&self, range: &OwnedRange, pieces: f64) -> Vec<u16> {
        let piece = self.heat_of(range) / pieces;
        let mut cuts = Vec::new();
        let mut heat = 0.0;
        for key in range.keys() {
            heat += self.heat_of_key(key);
            if heat >= piece && key < range.last && number(cuts.len()) + 1.0 < pieces {
                cuts.push(key);
                heat = 0.0;
            }
        }
        cuts
    }
}

/// Returns the least difference from the mean load of an upstream that is worth a move.
fn significant(mean: f64, unmeasured: f64, load: &OwnerLoad) -> f64 {
    let fair = mean * load.capacity;
    // Only requests vary by chance, the constant weight of keys does not.
    let deviation = (fair - unmeasured * load.capacity).max(0.0).sqrt();
    (fair * OVERLOAD).max(SIGNIFICANCE * deviation)
}

/// The load of an upstream that may be given keys.
#[derive(Clone, Debug)]
struct OwnerLoad {
    holder: Holder,
    capacity: f64,
    heat: f64,
}

impl OwnerLoad {
    fn relative(&self) -> f64 {
        self.heat / self.capacity
    }
}

/// Makes `to` the owner of a range under a new token and remembers who may still hold it.
fn hand_over(range: &mut OwnedRange, to: &Holder, next_fencing_token: &mut u64) {
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
fn number(count: usize) -> f64 {
    count as f64
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value lies between zero and the number of keys"
)]
fn key_number(value: f64) -> u32 {
    value.clamp(0.0, f64::from(u16::MAX) + 1.0) as u32
}

fn to_key(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
