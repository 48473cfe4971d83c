//! The `holder` module provides what the coordinator knows about the grants that an upstream may hold.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{Holder, KeyRange, MAX_SUSPECT_DURATION, SUSPECT_DURATION};

/// Time since an upstream's last response to a request for which failed grants do not show that it is lost.
const RESPONSE_TTL: Duration = Duration::from_secs(1);

/// Identifies one sending of a grant, which is sent again before the result of the last one is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantId {
    /// Fencing token of the range.
    pub fencing_token: u64,
    /// When it was sent; grants with one fencing token are sent at different times.
    pub sent_at: Instant,
}

/// The grants of one range that were sent to a holder.
#[derive(Clone, Debug)]
struct SentGrant {
    fencing_token: u64,
    keys: KeyRange,
    // Latest expiry of the grants that the holder has acknowledged or may have got.
    latest_expiry: Instant,
    // Latest expiry of those without an answer, which may still take effect after a release.
    unanswered_expiry: Instant,
    // Grants without a result yet, with their latest expiry.
    in_flight: Vec<(GrantId, Instant)>,
}

impl SentGrant {
    fn overlaps(&self, keys: &KeyRange) -> bool {
        self.keys.start() <= keys.end() && keys.start() <= self.keys.end()
    }

    /// Returns when the holder can't hold the keys any more, whichever of the grants arrived.
    fn expiry(&self) -> Instant {
        let in_flight = self.in_flight.iter().map(|(_, expiry)| *expiry);
        in_flight.fold(self.latest_expiry, Instant::max)
    }
}

/// What the coordinator knows about the grants of one holder.
///
/// Grants are kept by range: one that got no answer holds up the handover of its own keys only.
#[derive(Clone, Debug)]
pub(super) struct HolderState {
    pub(super) holder: Holder,
    pub(super) is_dead: bool,
    // When the last grant of a predecessor expires, which may be for any keys.
    predecessor_expiry: Instant,
    // Sorted by fencing token.
    grants: Vec<SentGrant>,
    // Until when the holder is assigned no keys because its grants failed.
    suspect_until: Instant,
    // For how long it is suspect when its grants fail the next time.
    next_suspect_duration: Duration,
    // When a VM last got a response to a request from it.
    responded_at: Instant,
}

impl HolderState {
    pub(super) const fn new(holder: Holder, predecessor_expiry: Instant) -> Self {
        Self {
            holder,
            is_dead: false,
            predecessor_expiry,
            grants: Vec::new(),
            suspect_until: Instant::ORIGIN,
            next_suspect_duration: SUSPECT_DURATION,
            responded_at: Instant::ORIGIN,
        }
    }

    /// Records that a grant is being sent, which expires at `expiry` at the latest.
    pub(super) fn record_sent(
        &mut self,
        now: Instant,
        keys: &KeyRange,
        id: GrantId,
        expiry: Instant,
    ) {
        self.grants
            .retain(|grant| grant.expiry() >= now || !grant.in_flight.is_empty());
        let position = match self.position(id.fencing_token) {
            Ok(position) => position,
            Err(position) => {
                let grant = SentGrant {
                    fencing_token: id.fencing_token,
                    keys: keys.clone(),
                    latest_expiry: Instant::ORIGIN,
                    unanswered_expiry: Instant::ORIGIN,
                    in_flight: Vec::new(),
                };
                self.grants.insert(position, grant);
                position
            }
        };
        self.grants[position].in_flight.push((id, expiry));
    }

    /// Records that the holder accepted a grant.
    pub(super) fn record_accepted(&mut self, id: GrantId) {
        self.suspect_until = Instant::ORIGIN;
        self.next_suspect_duration = SUSPECT_DURATION;
        if let Some((grant, expiry)) = self.take_in_flight(id) {
            grant.latest_expiry = grant.latest_expiry.max(expiry);
        }
    }

    /// Records that a grant got no answer, so that it may take effect until it expires.
    pub(super) fn record_unanswered(&mut self, id: GrantId) {
        if let Some((grant, expiry)) = self.take_in_flight(id) {
            grant.latest_expiry = grant.latest_expiry.max(expiry);
            grant.unanswered_expiry = grant.unanswered_expiry.max(expiry);
        }
    }

    /// Records that a grant took no effect.
    pub(super) fn record_ineffective(&mut self, id: GrantId) {
        self.take_in_flight(id);
    }

    /// Removes a grant from those without a result, and returns it with its latest expiry.
    fn take_in_flight(&mut self, id: GrantId) -> Option<(&mut SentGrant, Instant)> {
        let position = self.position(id.fencing_token).ok()?;
        let grant = &mut self.grants[position];
        let mut in_flight = grant.in_flight.iter();
        let index = in_flight.position(|(other, _)| *other == id)?;
        let (_, expiry) = grant.in_flight.remove(index);
        Some((grant, expiry))
    }

    /// Returns whether all grants of these keys have expired, those in flight included.
    pub(super) fn has_expired(&self, now: Instant, keys: &KeyRange) -> bool {
        self.predecessor_expiry < now && self.overlapping(keys).all(|grant| grant.expiry() < now)
    }

    /// Returns whether a grant of these keys has no result yet.
    pub(super) fn has_in_flight(&self, keys: &KeyRange) -> bool {
        self.overlapping(keys)
            .any(|grant| !grant.in_flight.is_empty())
    }

    /// Returns whether a grant of these keys that got no answer may still take effect.
    pub(super) fn has_unanswered(&self, now: Instant, keys: &KeyRange) -> bool {
        self.overlapping(keys)
            .any(|grant| grant.unanswered_expiry >= now)
    }

    fn overlapping<'a>(&'a self, keys: &'a KeyRange) -> impl Iterator<Item = &'a SentGrant> {
        self.grants.iter().filter(|grant| grant.overlaps(keys))
    }

    fn position(&self, fencing_token: u64) -> Result<usize, usize> {
        self.grants
            .binary_search_by_key(&fencing_token, |grant| grant.fencing_token)
    }

    /// Returns whether the holder is assigned no keys for now.
    pub(super) fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until > now
    }

    /// Excludes the holder from the assignment of keys for a time; further failures meanwhile do not extend it.
    pub(super) fn suspect(&mut self, now: Instant) {
        if !self.is_suspect(now) {
            self.suspect_until = now + self.next_suspect_duration;
            self.next_suspect_duration = (self.next_suspect_duration * 2).min(MAX_SUSPECT_DURATION);
        }
    }

    pub(super) fn record_response(&mut self, at: Instant) {
        self.responded_at = self.responded_at.max(at);
    }

    /// Returns whether the holder has responded to requests recently, so that it is busy rather than lost.
    pub(super) fn is_responding(&self, now: Instant) -> bool {
        self.responded_at > Instant::ORIGIN
            && now.saturating_since(self.responded_at) < RESPONSE_TTL
    }
}
