//! The `ownership` module provides the coordinator that decides which upstream owns which keys of a service.
//!
//! The ownership map is kept in the store and changes only by conditional writes of the VM that holds the coordinator's
//! lease. A range's new owner is written first, together with the previous owners that may still hold its keys. The new
//! owner is granted the keys only once each previous owner has released them, is known to be dead, or its last grant
//! has expired. Grants are sent only while the lease is valid, and a new coordinator assumes that its predecessor sent
//! grants of the longest duration up to the new coordinator's start. So no two upstreams hold a key at the same time.
//! Grant and release requests to upstreams are called orders. See `docs/platform.md`.

use std::cmp::Ordering;
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use kumquat_state::clock::Instant;

mod era;
mod holder;
mod orders;
mod plan;
mod timing;

pub use era::Era;
pub use holder::GrantId;
use holder::HolderState;
pub use timing::OwnershipTiming;

/// Fraction by which an upstream's clock may run slow while it measures a grant's duration.
const MAX_CLOCK_DRIFT_FRACTION: f64 = 0.02;

/// Time added to a grant's expiry for the delay between sending the request and its arrival at the upstream.
const GRANT_DELIVERY_MARGIN: Duration = Duration::from_millis(400);

/// Consecutive failed grants of a range after which its owner is treated as lost and its keys are reassigned.
///
/// Grants that were not carried out at the upstream's wish, or not sent, don't count.
const MAX_CONSECUTIVE_GRANT_FAILURES: u32 = 4;

/// Time for which an upstream that was treated as lost or has seen a higher fencing token is assigned no keys.
///
/// It doubles each time in a row, up to [`MAX_SUSPECT_DURATION`]: keys that go to an upstream that does not answer have no
/// owner until its grants have expired.
const SUSPECT_DURATION: Duration = Duration::from_secs(3);

/// Longest time for which a suspect upstream is assigned no keys.
const MAX_SUSPECT_DURATION: Duration = Duration::from_secs(12);

/// An inclusive range of a service's keys, which are numbered from 0 to 65 535.
pub type KeyRange = RangeInclusive<u16>;

/// One incarnation of an upstream, which may own keys; a restarted upstream is another holder.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Holder {
    /// Name of the upstream, the same for all incarnations.
    pub name: Arc<str>,
    /// Incarnation; a later start under the same name has a higher number.
    pub incarnation: u64,
}

/// A contiguous range of keys with one owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnedRange {
    /// First key of the range.
    pub first: u16,
    /// Last key of the range, inclusive.
    pub last: u16,
    /// Upstream that is granted the keys once no previous owner can hold them.
    pub owner: Holder,
    /// Fencing token of the owner's grants, unique to this range and owner.
    pub fencing_token: u64,
    /// Previous owners that may still hold some of the keys; empty once the handover is complete.
    pub previous_owners: Vec<Holder>,
}

impl OwnedRange {
    /// Returns the keys from `first` to `last`.
    #[must_use]
    pub const fn keys(&self) -> KeyRange {
        self.first..=self.last
    }
}

/// The owners of all keys of a service, as kept in the store.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipMap {
    /// Ranges in ascending order; they cover all keys without gap or overlap, or there are none yet.
    pub ranges: Vec<OwnedRange>,
    /// Next unused fencing token; each changed range takes one, so it also orders the versions of the map.
    pub next_fencing_token: u64,
}

impl OwnershipMap {
    /// Returns the range that contains a key, or none if the keys are not yet assigned.
    #[must_use]
    pub fn range(&self, key: u16) -> Option<&OwnedRange> {
        let position = self.ranges.partition_point(|range| range.last < key);
        self.ranges.get(position)
    }

    /// Returns whether this version of the map is newer than another one.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        // Each change uses fencing tokens, except one that only drops previous owners.
        match self.next_fencing_token.cmp(&other.next_fencing_token) {
            Ordering::Less => false,
            Ordering::Equal => previous_owner_count(self) < previous_owner_count(other),
            Ordering::Greater => true,
        }
    }

    /// Returns whether the ranges are in order, cover all keys without overlap and use only tokens below the next one.
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
    /// Name and incarnation of the upstream.
    pub holder: Holder,
    /// Whether it may own keys; if not, the keys that it owns are reassigned.
    pub may_own: bool,
    /// Whether it is warmed up; a cold upstream keeps its keys but gets no more while another is warm.
    pub is_warm: bool,
    /// Capacity relative to the other upstreams; keys and load are divided in proportion.
    pub capacity: f64,
    /// Requests per second that it accepts at most, if it has announced a limit; greater than zero.
    pub max_requests_per_s: Option<f64>,
}

/// An action that the caller of [`Coordinator::tick`] has to take.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Write the map to the store, provided that the store still holds the last known one.
    Commit(OwnershipMap),
    /// Send a grant of keys to an upstream, or renew it.
    Grant {
        /// Upstream that gets the grant.
        holder: Holder,
        /// Keys to grant.
        keys: KeyRange,
        /// Identifies this sending when its result is reported.
        id: GrantId,
        /// Time for which the upstream holds the keys, counted from the arrival of the grant.
        duration: Duration,
        /// State that the previous owner returned with its release; only in a range's first grant, if there is any.
        handover: Option<String>,
    },
    /// Log why no previous owner of a range can hold its keys any more; the owner's first grant follows.
    LogClearance {
        /// Keys of the range.
        keys: KeyRange,
        /// Fencing token of the new owner.
        fencing_token: u64,
        /// Previous owners, each with the evidence for it.
        evidence: Vec<(Holder, Clearance)>,
    },
    /// Ask an upstream to release keys.
    Release {
        /// Upstream that may hold the keys.
        holder: Holder,
        /// Keys to release.
        keys: KeyRange,
        /// Fencing token of the next owner, so that the holder rejects earlier grants that arrive late.
        fencing_token: u64,
    },
}

/// The evidence that a previous owner holds none of a range's keys any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Clearance {
    /// It, or a later incarnation in its place, is the range's owner again.
    OwnerAgain,
    /// It has released the keys.
    Released,
    /// Another process answers at its address.
    Dead,
    /// The last grant that it may have got has expired.
    Expired,
}

impl Clearance {
    /// Returns the name of the evidence in logs.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OwnerAgain => "owner-again",
            Self::Released => "released",
            Self::Dead => "dead",
            Self::Expired => "expired",
        }
    }
}

/// Why a grant or a release failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderFailure {
    /// The upstream's address refused the connection, so the order took no effect.
    ///
    /// A network partition can refuse connections as well as the host of a crashed upstream, so this doesn't prove that
    /// the upstream is dead.
    ConnectionRefused,
    /// Another process answers at the address, which proves that the holder is dead.
    Dead,
    /// No valid answer arrived; the order may have taken effect or may still do so.
    NoResponse,
    /// The holder rejected the order because it has seen a higher fencing token.
    StaleFencingToken,
    /// The upstream asked to be sent nothing for a time, so the order took no effect.
    BackedOff,
    /// Another incarnation is registered under the holder's name, so the grant was not sent.
    Superseded,
}

/// Progress of the grant for one range of the written map.
#[derive(Clone, Debug)]
struct Grant {
    fencing_token: u64,
    // When the last accepted grant was sent.
    renewed_at: Option<Instant>,
    // When the last grant without a success was sent.
    sent_at: Option<Instant>,
    duration: Duration,
    consecutive_failures: u32,
    // Those of them that got no answer.
    consecutive_unanswered: u32,
}

/// Progress of the release of a range by one previous owner.
#[derive(Clone, Debug)]
struct Recall {
    holder: Holder,
    keys: KeyRange,
    fencing_token: u64,
    sent_at: Option<Instant>,
    is_released: bool,
    handover: Option<String>,
}

/// Decides the key owners of one service while this VM holds the coordinator's lease.
///
/// It does no input or output: [`Self::tick`] returns the actions, and the caller reports their results.
#[derive(Clone, Debug)]
pub struct Coordinator {
    timing: OwnershipTiming,
    started_at: Instant,
    map: OwnershipMap,
    pending_commit: Option<OwnershipMap>,
    grants: Vec<Grant>,
    recalls: Vec<Recall>,
    holders: Vec<HolderState>,
    members: Vec<Member>,
    // Decayed number of requests by key.
    key_load: Vec<f32>,
    load_decayed_at: Instant,
    rebalanced_at: Instant,
    // When the number of upstreams last changed; the first assignment of the keys waits for it to be stable.
    members_changed_at: Instant,
    is_store_unreachable: bool,
    era: Era,
    // When the last grant of an earlier era expires that this coordinator may not know of.
    lost_grants_expire_at: Option<Instant>,
    // Since when a planned map that only drops previous owners has been waiting to be written.
    cleanup_pending_since: Option<Instant>,
}

/// Interval at which the measured load of the keys decays.
const LOAD_DECAY_INTERVAL: Duration = Duration::from_millis(500);

/// Fraction of the measured load that remains after each decay interval.
const LOAD_DECAY_FACTOR: f32 = 0.7;

impl Coordinator {
    /// Creates a coordinator at the start of a lease, with the map that the store holds, which may be empty.
    ///
    /// Until the longest grant since `now` has expired, any upstream may hold keys that a predecessor granted.
    #[must_use]
    pub fn new(now: Instant, timing: OwnershipTiming, map: OwnershipMap) -> Self {
        Self {
            timing,
            started_at: now,
            map,
            pending_commit: None,
            grants: Vec::new(),
            recalls: Vec::new(),
            holders: Vec::new(),
            members: Vec::new(),
            key_load: vec![0.0; usize::from(u16::MAX) + 1],
            load_decayed_at: now,
            rebalanced_at: now,
            members_changed_at: now,
            is_store_unreachable: false,
            era: Era::default(),
            lost_grants_expire_at: None,
            cleanup_pending_since: None,
        }
    }

    /// Replaces the timing, which depends on the number of upstreams; grants already sent keep their duration.
    pub const fn set_timing(&mut self, timing: OwnershipTiming) {
        self.timing = timing;
    }

    /// Returns the newest map that is known to be in the store.
    #[must_use]
    pub const fn map(&self) -> &OwnershipMap {
        &self.map
    }

    /// Replaces the list of the service's registered upstreams, in any order.
    pub fn set_members(&mut self, now: Instant, mut members: Vec<Member>) {
        if members.len() != self.members.len() {
            self.members_changed_at = now;
        }
        members.sort_by(|a, b| a.holder.cmp(&b.holder));
        self.members = members;
    }

    /// Sets whether the store is unreachable; grants then get the longest duration, to outlast the outage.
    pub const fn set_store_unreachable(&mut self, is_store_unreachable: bool) {
        self.is_store_unreachable = is_store_unreachable;
    }

    /// Adds one request to the measured load of each given key; a key may occur several times.
    pub fn record_requests(&mut self, keys: &[u16]) {
        for key in keys {
            self.key_load[usize::from(*key)] += 1.0;
        }
    }

    /// Reports that the store accepted a map.
    pub fn on_committed(&mut self, map: &OwnershipMap) {
        if self.pending_commit.as_ref() == Some(map) {
            self.pending_commit = None;
        }
        self.on_map_observed(map);
    }

    /// Reports that writing a map failed or has an unknown result; the next tick plans again, unless it was an earlier map.
    pub fn on_commit_failed(&mut self, map: &OwnershipMap) {
        if self.pending_commit.as_ref() == Some(map) {
            self.pending_commit = None;
        }
    }

    /// Reports a map that was read from the store; it is adopted if it is newer than the known one.
    pub fn on_map_observed(&mut self, map: &OwnershipMap) {
        if map.supersedes(&self.map) {
            self.map = map.clone();
        }
    }

    /// Decays the load, plans the next map and appends the actions that are due.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<Action>) {
        while now.saturating_since(self.load_decayed_at) >= LOAD_DECAY_INTERVAL {
            self.load_decayed_at = self.load_decayed_at + LOAD_DECAY_INTERVAL;
            self.key_load
                .iter_mut()
                .for_each(|load| *load *= LOAD_DECAY_FACTOR);
        }
        if self.pending_commit.is_none()
            && let Some(map) = self.next_map(now)
        {
            self.pending_commit = Some(map.clone());
            actions.push(Action::Commit(map));
        }
        self.push_orders(now, actions);
    }

    /// Reports that a holder accepted a grant; returns whether it is the first one of its range.
    pub fn on_granted(&mut self, _now: Instant, holder: &Holder, id: GrantId) -> bool {
        let mut is_first = false;
        if let Some(grant) = self
            .grants
            .iter_mut()
            .find(|grant| grant.fencing_token == id.fencing_token)
        {
            is_first = grant.renewed_at.is_none();
            grant.renewed_at = grant.renewed_at.max(Some(id.sent_at));
            grant.sent_at = None;
            grant.consecutive_failures = 0;
            grant.consecutive_unanswered = 0;
        }
        self.holder_state(holder).record_accepted(id);
        is_first
    }

    /// Reports that a VM got a response to a request from a holder at `at`.
    ///
    /// An overloaded upstream may leave grants unanswered while it serves requests. Treating it as lost would move its load
    /// to others, and its keys would have no owner until its grants have expired.
    pub fn record_response(&mut self, at: Instant, holder: &Holder) {
        let compare = |state: &HolderState| state.holder.cmp(holder);
        if let Ok(position) = self.holders.binary_search_by(compare) {
            self.holders[position].record_response(at);
        }
    }

    /// Reports that a grant failed; after several failures in a row the holder is assigned no keys for a time.
    pub fn on_grant_failed(
        &mut self,
        now: Instant,
        holder: &Holder,
        id: GrantId,
        failure: OrderFailure,
    ) {
        let mut is_lost = false;
        let grant = self
            .grants
            .iter_mut()
            .find(|grant| grant.fencing_token == id.fencing_token);
        let shows_loss = !matches!(failure, OrderFailure::BackedOff | OrderFailure::Superseded);
        if let (Some(grant), true) = (grant, shows_loss) {
            grant.consecutive_failures += 1;
            grant.consecutive_unanswered += u32::from(failure == OrderFailure::NoResponse);
            is_lost = grant.consecutive_failures >= MAX_CONSECUTIVE_GRANT_FAILURES;
        }
        self.record_failure(holder, failure);
        let state = self.holder_state(holder);
        if failure == OrderFailure::NoResponse {
            state.record_unanswered(id);
        } else {
            state.record_ineffective(id);
        }
        let is_lost = is_lost && !state.is_responding(now);
        if is_lost || failure == OrderFailure::StaleFencingToken {
            state.suspect(now);
        }
    }

    fn record_failure(&mut self, holder: &Holder, failure: OrderFailure) {
        if failure == OrderFailure::Dead {
            self.holder_state(holder).is_dead = true;
        }
    }

    /// Returns the fencing tokens of ranges whose owner has its grant while the map still lists previous owners.
    ///
    /// They are reported to the other VMs, which may send to these owners before the map is written again.
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
        found.any(|grant| grant.renewed_at.is_some())
    }

    /// Reports that a holder released the keys of a range, with the state to hand over to the next owner, if any.
    pub fn on_released(&mut self, holder: &Holder, fencing_token: u64, handover: Option<&str>) {
        for recall in &mut self.recalls {
            if recall.fencing_token == fencing_token && recall.holder == *holder {
                recall.is_released = true;
                recall.handover = handover.map(str::to_owned);
            }
        }
    }

    /// Reports that a release failed; it is sent again unless the holder is dead or its grants have expired.
    pub fn on_release_failed(&mut self, _now: Instant, holder: &Holder, failure: OrderFailure) {
        self.record_failure(holder, failure);
    }
}

/// Returns the longest time for which a grant of this duration may hold, from its sending on the coordinator's clock.
#[must_use]
pub fn max_hold_time(duration: Duration) -> Duration {
    duration.mul_f64(1.0 + MAX_CLOCK_DRIFT_FRACTION) + GRANT_DELIVERY_MARGIN
}

fn previous_owner_count(map: &OwnershipMap) -> usize {
    map.ranges
        .iter()
        .map(|range| range.previous_owners.len())
        .sum()
}
