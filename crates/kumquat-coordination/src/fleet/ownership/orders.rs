//! The `orders` module provides the grants and releases that follow from the written ownership map.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::holder::HolderState;
use super::{
    Action, Clearance, Coordinator, Grant, GrantId, Holder, KeyRange, OwnedRange, Recall,
    max_hold_time,
};

/// Interval at which a failed grant is sent again; it doubles with each one in a row that got no answer, because an
/// overloaded upstream may be busy with the last ones.
const GRANT_RETRY_INTERVAL: Duration = Duration::from_millis(150);

/// Most unanswered grants in a row that double the interval, which leaves two tries within the shortest grant.
const MAX_RETRY_DOUBLINGS: u32 = 2;

/// Duration of grants to a new owner and to one that left the last grant unanswered; a longer one follows an accepted one.
///
/// An owner that does not answer may hold the keys for this time all the same, so that a short one lets them go to another
/// upstream sooner.
const UNCONFIRMED_GRANT_DURATION: Duration = Duration::from_millis(1_200);

/// Interval at which a release is sent again; an upstream answers only when its requests for the keys have ended.
const RELEASE_RETRY_INTERVAL: Duration = Duration::from_millis(600);

impl Coordinator {
    /// Returns the evidence that a holder can't hold these keys any more, whichever of its orders arrived.
    ///
    /// A later incarnation under the same name is no evidence: until it registers, it accepts grants that are meant for
    /// the earlier one, because orders name the upstream only.
    fn clearance(&mut self, now: Instant, holder: &Holder, keys: &KeyRange) -> Option<Clearance> {
        let state = self.holder_state(holder);
        if state.is_dead {
            Some(Clearance::Dead)
        } else {
            state.has_expired(now, keys).then_some(Clearance::Expired)
        }
    }

    pub(super) fn holder_state(&mut self, holder: &Holder) -> &mut HolderState {
        let position = match self
            .holders
            .binary_search_by(|state| state.holder.cmp(holder))
        {
            Ok(position) => position,
            Err(position) => {
                // A predecessor may have sent grants until this coordinator started.
                let predecessor_expiry =
                    self.started_at + max_hold_time(self.timing.max_grant_duration);
                let state = HolderState::new(holder.clone(), predecessor_expiry);
                self.holders.insert(position, state);
                position
            }
        };
        &mut self.holders[position]
    }

    /// Appends the grants and releases that follow from the written map, and forgets those of ranges that are gone.
    pub(super) fn push_orders(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
            if self.is_of_earlier_era(range) {
                continue;
            }
            if let Some(evidence) = self.push_releases(now, range, actions) {
                self.push_clearance(range, evidence, actions);
                self.push_grant(now, range, actions);
            }
        }
    }

    /// Appends the evidence by which the keys of a range are free, before the first grant to its owner.
    fn push_clearance(
        &self,
        range: &OwnedRange,
        evidence: Vec<(Holder, Clearance)>,
        actions: &mut Vec<Action>,
    ) {
        let mut grants = self.grants.iter();
        let is_granted = grants.any(|grant| grant.fencing_token == range.fencing_token);
        if !evidence.is_empty() && !is_granted {
            actions.push(Action::LogClearance {
                keys: range.keys(),
                fencing_token: range.fencing_token,
                evidence,
            });
        }
    }

    /// Appends the due releases to previous owners of a range.
    ///
    /// Returns the evidence for each of them that it can't hold keys of the range any more, or `None` if one still may.
    fn push_releases(
        &mut self,
        now: Instant,
        range: &OwnedRange,
        actions: &mut Vec<Action>,
    ) -> Option<Vec<(Holder, Clearance)>> {
        let mut is_released_by_all = true;
        let mut evidence = Vec::with_capacity(range.previous_owners.len());
        for holder in &range.previous_owners {
            if holder.name == range.owner.name {
                evidence.push((holder.clone(), Clearance::OwnerAgain));
                continue;
            }
            let keys = range.keys();
            if let Some(clearance) = self.clearance(now, holder, &keys) {
                evidence.push((holder.clone(), clearance));
                continue;
            }
            let state = self.holder_state(holder);
            let (has_unanswered_grant, has_in_flight_grant) =
                (state.has_unanswered(now, &keys), state.has_in_flight(&keys));
            let found = self.recalls.iter().position(|recall| {
                recall.fencing_token == range.fencing_token && recall.holder == *holder
            });
            let position = found.unwrap_or_else(|| {
                self.recalls.push(Recall {
                    holder: holder.clone(),
                    keys,
                    fencing_token: range.fencing_token,
                    sent_at: None,
                    is_released: false,
                    handover: None,
                });
                self.recalls.len() - 1
            });
            let recall = &mut self.recalls[position];
            if recall.is_released {
                // An unanswered grant may still take effect after the release, until it expires.
                is_released_by_all &= !has_unanswered_grant;
                evidence.push((holder.clone(), Clearance::Released));
                continue;
            }
            is_released_by_all = false;
            let is_due = recall
                .sent_at
                .is_none_or(|sent_at| now.saturating_since(sent_at) >= RELEASE_RETRY_INTERVAL);
            // A grant that is still in flight could arrive after the release.
            if is_due && !has_in_flight_grant {
                recall.sent_at = Some(now);
                actions.push(Action::Release {
                    holder: holder.clone(),
                    keys: recall.keys.clone(),
                    fencing_token: range.fencing_token,
                });
            }
        }
        is_released_by_all.then_some(evidence)
    }

    fn push_grant(&mut self, now: Instant, range: &OwnedRange, actions: &mut Vec<Action>) {
        let full_duration = if self.is_store_unreachable {
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
                renewed_at: None,
                sent_at: None,
                duration: Duration::ZERO,
                consecutive_failures: 0,
                consecutive_unanswered: 0,
            });
            self.grants.len() - 1
        });
        let grant = &mut self.grants[position];
        let is_confirmed = grant.renewed_at.is_some() && grant.consecutive_failures == 0;
        let is_new_owner = grant.renewed_at.is_none() && !range.previous_owners.is_empty();
        let duration = if is_new_owner || (!is_confirmed && grant.sent_at.is_some()) {
            full_duration.min(UNCONFIRMED_GRANT_DURATION)
        } else {
            full_duration
        };
        let retry_interval =
            GRANT_RETRY_INTERVAL * 2_u32.pow(grant.consecutive_unanswered.min(MAX_RETRY_DOUBLINGS));
        let may_send = grant
            .sent_at
            .is_none_or(|sent_at| now.saturating_since(sent_at) >= retry_interval);
        let is_due = grant.renewed_at.is_none_or(|renewed_at| {
            let is_too_short = duration > grant.duration;
            is_too_short || now.saturating_since(renewed_at) >= self.timing.renewal_interval
        });
        if !may_send || !is_due {
            return;
        }
        grant.sent_at = Some(now);
        grant.duration = duration;
        // Only the first grant carries the state that the previous owner handed over.
        let is_first = grant.renewed_at.is_none();
        let mut recalls = self.recalls.iter().filter(|_| is_first);
        let handover = recalls.find_map(|recall| {
            let handover = recall.handover.as_ref()?;
            (recall.fencing_token == range.fencing_token).then(|| handover.clone())
        });
        let id = GrantId {
            fencing_token: range.fencing_token,
            sent_at: now,
        };
        let expiry = now + max_hold_time(duration);
        self.holder_state(&range.owner)
            .record_sent(now, &range.keys(), id, expiry);
        actions.push(Action::Grant {
            holder: range.owner.clone(),
            keys: range.keys(),
            id,
            duration,
            handover,
        });
    }
}
