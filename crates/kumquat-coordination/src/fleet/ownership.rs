//! The `ownership` module provides the coordinator that decides which upstream owns which keys of a service.
//!
//! The map of owners lies in the store and changes only by conditional writes of the VM that holds the coordinator's
//! lease. A range's new owner is written first, together with those that may still hold its keys. The new owner is granted
//! the keys only when each of these has released them, is known to be dead, or its last grant has run out. Grants are sent
//! only while the lease is valid, and a successor counts the longest possible grant from its own start, so that at no time
//! two upstreams hold a key. See `docs/platform.md`.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use kumquat_state::clock::Instant;

mod plan;
mod timing;

pub use timing::OwnershipTiming;

/// Part by which an upstream's clock may be slow when it measures a grant.
const CLOCK_SLOWNESS: f64 = 0.02;

/// Added to the end of a grant before it counts as run out: the time between a call's sending and its arrival.
const ARRIVAL_SLACK: Duration = Duration::from_millis(400);

/// Time between two sendings of the same order.
const ORDER_RETRY: Duration = Duration::from_millis(150);

/// Time after which a release is repeated; its answer waits for the work on the keys to end.
const RELEASE_RETRY: Duration = Duration::from_millis(600);

/// Unanswered grants in a row after which an owner counts as lost and its keys are given to others.
const LOST_AFTER: u32 = 4;

/// Time for which an owner that did not answer is given no keys.
const SUSPECT_FOR: Duration = Duration::from_secs(3);

/// A range of keys.
pub type KeyRange = RangeInclusive<u16>;

/// One life of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Name of the upstream.
    pub name: Arc<str>,
    /// Start of this life.
    pub incarnation: u64,
}

/// Keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// First key.
    pub first: u16,
    /// Last key.
    pub last: u16,
    /// Owner of the keys.
    pub owner: Holder,
    /// Fencing token of the owner's grants.
    pub fencing_token: u64,
    /// Earlier owners that may still hold the keys.
    pub previous_owners: Vec<Holder>,
}

impl OwnedRange {
    /// Returns the keys.
    #[must_use]
    pub const fn keys(&self) -> KeyRange {
        self.first..=self.last
    }
}

/// The owners of all keys of a service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipMap {
    /// Ranges in order of their keys; together they cover all keys, or there are none.
    pub ranges: Vec<OwnedRange>,
    /// Fencing token that the next change uses.
    pub next_fencing_token: u64,
}

impl OwnershipMap {
    /// Returns the range that contains a key.
    #[must_use]
    pub fn range(&self, key: u16) -> Option<&OwnedRange> {
        let position = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(position)
    }

    /// Returns whether the ranges are in order and cover all keys without overlap.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        let mut next = 0_u32;
        for range in &self.ranges {
            if u32::from(range.first) != next || range.last < range.first {
                return false;
            }
            if range.fencing_token >= self.next_fencing_token {
                return false;
            }
            next = u32::from(range.last) + 1;
        }
        self.ranges.is_empty() || next == u32::from(u16::MAX) + 1
    }
}

/// An upstream that may own keys.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The life of the upstream.
    pub holder: Holder,
    /// Whether it may be given keys and keep them.
    pub may_own: bool,
    /// Whether it is warm, so that it can be given keys without need.
    pub is_warm: bool,
    /// What it can run, relative to the others.
    pub capacity: f64,
}

/// What the driver has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the map to the store, if the last known one is still there.
    Commit(OwnershipMap),
    /// Grant keys.
    Grant {
        /// Who gets them.
        holder: Holder,
        /// The keys.
        keys: KeyRange,
        /// Fencing token.
        fencing_token: u64,
        /// How long they are held.
        duration: Duration,
        /// State that the last holder left behind.
        handover: Option<String>,
    },
    /// Take keys back.
    Release {
        /// Who holds them.
        holder: Holder,
        /// The keys.
        keys: KeyRange,
        /// Fencing token of the next owner.
        fencing_token: u64,
    },
}

/// Why an order failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// The address refuses connections, so that nothing took effect.
    ///
    /// A partition can refuse them as well as a crashed upstream's host, so that this is no proof of its death.
    ConnectionRefused,
    /// Another process has the address: the holder is dead.
    Dead,
    /// No answer; the order may take effect later.
    NoResponse,
    /// The holder has seen a higher fencing token.
    StaleFencingToken,
    /// The upstream wants nothing for a time, so that nothing took effect.
    BackedOff,
}

#[derive(Clone, Debug)]
struct Grant {
    fencing_token: u64,
    renewed: Option<Instant>,
    sent: Option<Instant>,
    duration: Duration,
    failures: u32,
}

#[derive(Clone, Debug)]
struct Recall {
    holder: Holder,
    keys: KeyRange,
    fencing_token: u64,
    sent: Option<Instant>,
    is_done: bool,
    handover: Option<String>,
}

#[derive(Clone, Debug)]
struct Held {
    holder: Holder,
    // Until when a grant may hold that it may have got.
    until: Instant,
    // Until when a grant may hold that got no answer and may take effect late.
    unanswered_until: Instant,
    suspect_until: Instant,
    // Grants on their way, by fencing token, and until when each may hold.
    pending: Vec<(u64, Instant)>,
    is_dead: bool,
}

impl Held {
    /// Takes a grant that is no longer on its way; returns until when it may hold.
    fn take_pending(&mut self, fencing_token: u64) -> Instant {
        let position = self
            .pending
            .iter()
            .position(|(other, _)| *other == fencing_token);
        position.map_or(Instant::ORIGIN, |position| self.pending.remove(position).1)
    }

    /// Returns whether no grant can hold any more.
    fn is_over(&self, now: Instant) -> bool {
        self.until < now && self.pending.iter().all(|(_, until)| *until < now)
    }
}

/// The coordinator of one service, while this VM holds the lease.
#[derive(Clone, Debug)]
pub struct Coordinator {
    timing: OwnershipTiming,
    started: Instant,
    map: OwnershipMap,
    committing: Option<OwnershipMap>,
    grants: Vec<Grant>,
    recalls: Vec<Recall>,
    held: Vec<Held>,
    members: Vec<Member>,
    heat: Vec<f32>,
    cooled: Instant,
    balanced: Instant,
    // When the number of upstreams last changed.
    joined: Instant,
    is_store_unreachable: bool,
    // Since when owners have their grants although the map still names earlier ones.
    unsettled: Option<Instant>,
}

/// Interval at which the measured load of the keys fades.
const COOL_INTERVAL: Duration = Duration::from_millis(500);

/// Part of the measured load that is left after each interval.
const COOL_FACTOR: f32 = 0.7;

impl Coordinator {
    /// Starts with the map that the store holds.
    #[must_use]
    pub fn new(now: Instant, timing: OwnershipTiming, map: OwnershipMap) -> Self {
        Self {
            timing,
            started: now,
            map,
            committing: None,
            grants: Vec::new(),
            recalls: Vec::new(),
            held: Vec::new(),
            members: Vec::new(),
            heat: vec![0.0; usize::from(u16::MAX) + 1],
            cooled: now,
            balanced: now,
            joined: now,
            is_store_unreachable: false,
            unsettled: None,
        }
    }

    /// Sets the timing, which follows the number of upstreams.
    pub const fn set_timing(&mut self, timing: OwnershipTiming) {
        self.timing = timing;
    }

    /// Returns the map as last written.
    #[must_use]
    pub const fn map(&self) -> &OwnershipMap {
        &self.map
    }

    /// Sets the upstreams of the service.
    pub fn set_members(&mut self, now: Instant, mut members: Vec<Member>) {
        if members.len() != self.members.len() {
            self.joined = now;
        }
        members.sort_by(|a, b| a.holder.cmp(&b.holder));
        self.members = members;
    }

    /// Sets whether the store can't be reached, so that grants have to last for as long as they may.
    pub const fn set_store_unreachable(&mut self, is_store_unreachable: bool) {
        self.is_store_unreachable = is_store_unreachable;
    }

    /// Counts requests by key.
    pub fn record_requests(&mut self, keys: &[u16]) {
        for key in keys {
            self.heat[usize::from(*key)] += 1.0;
        }
    }

    /// Reports that a map was written.
    pub fn on_committed(&mut self, map: &OwnershipMap) {
        if self.committing.as_ref() == Some(map) {
            self.committing = None;
        }
        self.on_map_observed(map);
    }

    /// Reports that the map could not be written, or that it is not known whether it was.
    pub fn on_commit_failed(&mut self) {
        self.committing = None;
    }

    /// Takes over a map that the store holds, if it is newer than the known one.
    pub fn on_map_observed(&mut self, map: &OwnershipMap) {
        // Each change uses up tokens, but for one that only drops earlier owners.
        let is_newer = map.next_fencing_token > self.map.next_fencing_token;
        let is_settled = map.next_fencing_token == self.map.next_fencing_token
            && held_by_earlier(map) < held_by_earlier(&self.map);
        if is_newer || is_settled {
            self.map = map.clone();
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        while now.saturating_since(self.cooled) >= COOL_INTERVAL {
            self.cooled = self.cooled + COOL_INTERVAL;
            self.heat.iter_mut().for_each(|heat| *heat *= COOL_FACTOR);
        }
        if self.committing.is_none()
            && let Some(map) = self.next_map(now)
        {
            self.committing = Some(map.clone());
            out.push(Action::Commit(map));
        }
        self.order(now, out);
    }

    /// Reports that a holder took a grant.
    pub fn on_granted(&mut self, now: Instant, holder: &Holder, fencing_token: u64) {
        if let Some(grant) = self
            .grants
            .iter_mut()
            .find(|grant| grant.fencing_token == fencing_token)
        {
            grant.renewed = grant.sent.or(grant.renewed);
            grant.sent = None;
            grant.failures = 0;
        }
        let held = self.held(now, holder);
        held.suspect_until = Instant::ORIGIN;
        held.until = held.until.max(held.take_pending(fencing_token));
    }

    /// Reports that a grant failed.
    pub fn on_grant_failed(
        &mut self,
        now: Instant,
        holder: &Holder,
        fencing_token: u64,
        failure: OrderFailure,
    ) {
        let mut is_lost = false;
        let grant = self
            .grants
            .iter_mut()
            .find(|grant| grant.fencing_token == fencing_token);
        if let (Some(grant), true) = (grant, failure != OrderFailure::BackedOff) {
            grant.failures += 1;
            is_lost = grant.failures >= LOST_AFTER;
        }
        self.note_failure(now, holder, failure);
        let held = self.held(now, holder);
        let until = held.take_pending(fencing_token);
        if failure == OrderFailure::NoResponse {
            held.until = held.until.max(until);
            held.unanswered_until = held.until;
        }
        if is_lost || failure == OrderFailure::StaleFencingToken {
            held.suspect_until = now + SUSPECT_FOR;
        }
    }

    fn note_failure(&mut self, now: Instant, holder: &Holder, failure: OrderFailure) {
        if failure == OrderFailure::Dead {
            self.held(now, holder).is_dead = true;
        }
    }

    /// Returns the fencing tokens of ranges whose new owner has its grant although the written map does not say so yet.
    #[must_use]
    pub fn handed_over_tokens(&self) -> Vec<u64> {
        let moving = self
            .map
            .ranges
            .iter()
            .filter(|range| !range.previous_owners.is_empty());
        let fencing_tokens = moving.map(|range| range.fencing_token);
        fencing_tokens
            .filter(|fencing_token| self.is_granted(*fencing_token))
            .collect()
    }

    fn is_granted(&self, fencing_token: u64) -> bool {
        let grants = self.grants.iter();
        let mut found = grants.filter(|grant| grant.fencing_token == fencing_token);
        found.any(|grant| grant.renewed.is_some())
    }

    /// Reports that a holder gave keys back, with the state that it leaves to the next one.
    pub fn on_released(&mut self, holder: &Holder, fencing_token: u64, handover: Option<&str>) {
        for recall in &mut self.recalls {
            if recall.fencing_token == fencing_token && recall.holder == *holder {
                recall.is_done = true;
                recall.handover = handover.map(str::to_owned);
            }
        }
    }

    /// Reports that keys could not be taken back.
    pub fn on_release_failed(&mut self, now: Instant, holder: &Holder, failure: OrderFailure) {
        self.note_failure(now, holder, failure);
    }

    /// Returns whether a holder can't hold keys any more, whatever reached it.
    fn is_free(&mut self, now: Instant, holder: &Holder) -> bool {
        // A later life of the upstream at the same name holds nothing of before.
        let is_reborn = self.members.iter().any(|member| {
            member.holder.name == holder.name && member.holder.incarnation > holder.incarnation
        });
        let held = self.held(now, holder);
        is_reborn || held.is_dead || held.is_over(now)
    }

    fn held(&mut self, _now: Instant, holder: &Holder) -> &mut Held {
        let position = match self.held.binary_search_by(|held| held.holder.cmp(holder)) {
            Ok(position) => position,
            Err(position) => {
                // An earlier coordinator may have granted up to the moment at which this one started.
                let until = self.started + lengthened(self.timing.max_grant_duration);
                let held = Held {
                    holder: holder.clone(),
                    until,
                    unanswered_until: Instant::ORIGIN,
                    suspect_until: Instant::ORIGIN,
                    pending: Vec::new(),
                    is_dead: false,
                };
                self.held.insert(position, held);
                position
            }
        };
        &mut self.held[position]
    }

    /// Sends the orders that follow from the written map.
    fn order(&mut self, now: Instant, out: &mut Vec<Action>) {
        let ranges = self.map.ranges.clone();
        self.grants.retain(|grant| {
            let is_current = |range: &OwnedRange| range.fencing_token == grant.fencing_token;
            ranges.iter().any(is_current)
        });
        self.recalls.retain(|recall| {
            let is_current = |range: &OwnedRange| {
                range.fencing_token == recall.fencing_token
                    && range.previous_owners.contains(&recall.holder)
            };
            ranges.iter().any(is_current)
        });
        for range in &ranges {
            if self.recall(now, range, out) {
                self.grant(now, range, out);
            }
        }
    }

    /// Takes a range back from earlier owners; returns whether none of them holds it any more.
    fn recall(&mut self, now: Instant, range: &OwnedRange, out: &mut Vec<Action>) -> bool {
        let mut is_free = true;
        for holder in &range.previous_owners {
            if *holder == range.owner || self.is_free(now, holder) {
                continue;
            }
            let held = self.held(now, holder);
            let (unanswered, is_pending) = (held.unanswered_until, !held.pending.is_empty());
            let found = self.recalls.iter().position(|recall| {
                recall.fencing_token == range.fencing_token && recall.holder == *holder
            });
            let position = found.unwrap_or_else(|| {
                self.recalls.push(Recall {
                    holder: holder.clone(),
                    keys: range.keys(),
                    fencing_token: range.fencing_token,
                    sent: None,
                    is_done: false,
                    handover: None,
                });
                self.recalls.len() - 1
            });
            let recall = &mut self.recalls[position];
            if recall.is_done {
                // A grant without an answer may take effect after the release.
                is_free &= unanswered < now;
                continue;
            }
            is_free = false;
            let is_due = recall
                .sent
                .is_none_or(|sent| now.saturating_since(sent) >= RELEASE_RETRY);
            // A grant that is on its way could overtake the release.
            if is_due && !is_pending {
                recall.sent = Some(now);
                out.push(Action::Release {
                    holder: holder.clone(),
                    keys: recall.keys.clone(),
                    fencing_token: range.fencing_token,
                });
            }
        }
        is_free
    }

    fn grant(&mut self, now: Instant, range: &OwnedRange, out: &mut Vec<Action>) {
        let duration = if self.is_store_unreachable {
            self.timing.max_grant_duration
        } else {
            self.timing.grant_duration
        };
        let found = self
            .grants
            .iter()
            .position(|grant| grant.fencing_token == range.fencing_token);
        let position = found.unwrap_or_else(|| {
            self.grants.push(Grant {
                fencing_token: range.fencing_token,
                renewed: None,
                sent: None,
                duration,
                failures: 0,
            });
            self.grants.len() - 1
        });
        let grant = &mut self.grants[position];
        let is_answered = grant
            .sent
            .is_none_or(|sent| now.saturating_since(sent) >= ORDER_RETRY);
        let is_due = grant.renewed.is_none_or(|renewed| {
            let is_short = duration > grant.duration;
            is_short || now.saturating_since(renewed) >= self.timing.renewal_interval
        });
        if !is_answered || !is_due {
            return;
        }
        grant.sent = Some(now);
        grant.duration = duration;
        // Only the first grant takes over what the last holder left.
        let is_first = grant.renewed.is_none();
        let mut recalls = self.recalls.iter().filter(|_| is_first);
        let handover = recalls.find_map(|recall| {
            let handover = recall.handover.as_ref()?;
            (recall.fencing_token == range.fencing_token).then(|| handover.clone())
        });
        let owner = self.held(now, &range.owner);
        owner
            .pending
            .push((range.fencing_token, now + lengthened(duration)));
        out.push(Action::Grant {
            holder: range.owner.clone(),
            keys: range.keys(),
            fencing_token: range.fencing_token,
            duration,
            handover,
        });
    }
}

fn lengthened(duration: Duration) -> Duration {
    duration.mul_f64(1.0 + CLOCK_SLOWNESS) + ARRIVAL_SLACK
}

fn held_by_earlier(map: &OwnershipMap) -> usize {
    map.ranges
        .iter()
        .map(|range| range.previous_owners.len())
        .sum()
}
