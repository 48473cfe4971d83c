//! The `campaign` module provides the two-phase vote by which a VM collects pledges against one incarnation.
//!
//! A pre-vote commits nobody. Only if a majority agrees in it does the VM pledge and ask the others for their pledges.

use std::cmp::Reverse;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use kumquat_state::ledger::Holder;

use super::message::{Action, FenceReply, FenceRequest, Message, Verdict};
use super::{Authority, MAX_PEERS, MAX_PLEDGES, Pledge};

/// Campaign of this VM to fence one incarnation.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Campaign {
    pub(super) target: Holder,
    /// Whether a majority agreed in the pre-vote, so that the requests now ask for pledges.
    pub(super) binding: bool,
    /// Voters that agreed in the pre-vote, sorted.
    pre_votes: Vec<Holder>,
    /// Time at which an undecided pre-vote is abandoned.
    pre_vote_expiry: Instant,
    /// Time of the next requests to voters that have not agreed yet.
    next_request: Instant,
}

impl Authority {
    /// Starts a campaign to fence `target` if it is suspected or not a member.
    ///
    /// It has no effect on a campaign that is already running, or if this VM is not a member itself.
    pub fn seek_fence(&mut self, now: Instant, target: &Holder) -> Vec<Action> {
        let now = self.advance_clock(now);
        let mut actions = Vec::new();
        let eligible = self.is_member()
            && *target != self.me
            && !self.is_fenced(target)
            && (self.is_suspected(now, target) || !self.membership_contains(target));
        let running = self.campaigns.iter().any(|other| other.target == *target);
        if eligible && !running && self.campaigns.len() < MAX_PEERS {
            self.campaigns.push(Campaign {
                target: target.clone(),
                binding: false,
                pre_votes: Vec::new(),
                pre_vote_expiry: now + self.options.promise_duration,
                next_request: now,
            });
            self.run_campaigns(now, &mut actions);
        }
        self.update_fences_and_authority(now, &mut actions);
        actions
    }

    /// Answers the request of another VM to fence an incarnation; an agreement to a binding request is a pledge.
    pub fn on_fence_request(&mut self, now: Instant, request: &FenceRequest) -> Vec<Action> {
        let now = self.advance_clock(now);
        let mut actions = Vec::new();
        if request.from.vm == self.me.vm {
            self.counters.misrouted_messages += 1;
            return actions;
        }

        // A binding request proves that its sender has pledged, because it does so before it asks others.
        if request.target == self.me && request.binding {
            self.mark_evicted(&mut actions);
            self.record_pledge(now, &request.from, &request.target, None);
        }
        let verdict = self.decide_request(now, request);
        if verdict != Verdict::Refused && request.binding {
            self.record_own_pledge(now, &request.target);
        }
        actions.push(Action::Send {
            to: request.from.vm.clone(),
            message: Message::FenceReply(FenceReply {
                from: self.me.clone(),
                target: request.target.clone(),
                membership: self.membership.version,
                binding: request.binding,
                verdict,
            }),
        });
        self.update_fences_and_authority(now, &mut actions);
        actions
    }

    /// Processes a voter's reply to a request of this VM.
    pub fn on_fence_reply(&mut self, now: Instant, reply: &FenceReply) -> Vec<Action> {
        let now = self.advance_clock(now);
        let mut actions = Vec::new();
        if reply.from.vm == self.me.vm || reply.target == self.me {
            self.counters.misrouted_messages += 1;
            return actions;
        }
        if !self.membership_contains(&reply.from) {
            self.counters.non_member_replies += 1;
            return actions;
        }
        let Verdict::Agreed { remaining } = reply.verdict else {
            return actions;
        };

        if reply.binding {
            // An upper bound: the promise expires earlier by the time for which the reply was in transit.
            let remaining = remaining.min(clock::lengthened(self.options.promise_duration));
            let promise_expiry = now + clock::lengthened(remaining);
            let counts_for_fence = reply.membership <= self.membership.version;
            self.record_pledge(
                now,
                &reply.from,
                &reply.target,
                counts_for_fence.then_some(promise_expiry),
            );
        } else if let Some(campaign) = self
            .campaigns
            .iter_mut()
            .find(|campaign| campaign.target == reply.target)
            && let Err(index) = campaign.pre_votes.binary_search(&reply.from)
        {
            campaign.pre_votes.insert(index, reply.from.clone());
        }
        self.run_campaigns(now, &mut actions);
        self.update_fences_and_authority(now, &mut actions);
        actions
    }

    /// Returns this VM's decision on a request, without recording a pledge.
    fn decide_request(&mut self, now: Instant, request: &FenceRequest) -> Verdict {
        let target = &request.target;
        if *target == self.me || !self.is_member() {
            return Verdict::Refused;
        }
        // A majority of an outdated membership may not intersect a majority of the current one.
        if request.membership < self.membership.version {
            self.counters.outdated_requests += 1;
            return Verdict::Refused;
        }
        let same_version = request.membership == self.membership.version;
        if same_version && !self.membership_contains(&request.from) {
            self.counters.non_member_requests += 1;
            return Verdict::Refused;
        }

        // An incarnation outside the membership can't have authority under this version, so it need not be suspected.
        let has_left = same_version && !self.membership_contains(target);
        if !has_left && !self.has_pledged_against(target) && !self.is_suspected(now, target) {
            return Verdict::Refused;
        }
        Verdict::Agreed {
            remaining: self.remaining_promise(now, target),
        }
    }

    /// Ends obsolete campaigns, moves those with a majority of pre-votes to the binding phase, and sends due requests.
    pub(super) fn run_campaigns(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut campaigns = std::mem::take(&mut self.campaigns);
        campaigns.retain(|campaign| {
            let pre_vote_expired = !campaign.binding && now >= campaign.pre_vote_expiry;
            self.is_member() && !pre_vote_expired && !self.is_fenced(&campaign.target)
        });
        for campaign in &mut campaigns {
            if !campaign.binding && self.has_pre_vote_majority(now, campaign) {
                campaign.binding = true;
                campaign.next_request = now;
                self.record_own_pledge(now, &campaign.target);
            }
            if now >= campaign.next_request {
                campaign.next_request = now + self.options.heartbeat_interval / 2;
                self.send_requests(now, campaign, actions);
            }
        }
        self.campaigns = campaigns;
    }

    /// Cancels the pre-vote against an incarnation that has been heard again.
    pub(super) fn cancel_pre_vote(&mut self, target: &Holder) {
        self.campaigns
            .retain(|campaign| campaign.binding || campaign.target != *target);
    }

    fn has_pre_vote_majority(&self, now: Instant, campaign: &Campaign) -> bool {
        let target = &campaign.target;
        if self.membership_contains(target) && !self.is_suspected(now, target) {
            return false;
        }
        let votes = campaign
            .pre_votes
            .iter()
            .filter(|voter| self.membership_contains(voter))
            .count();
        votes + 1 >= self.membership.majority()
    }

    fn send_requests(&self, now: Instant, campaign: &Campaign, actions: &mut Vec<Action>) {
        for member in &self.membership.members {
            let voter = Holder {
                vm: member.vm.clone(),
                incarnation: member.incarnation,
            };
            // A pledge learned from a heartbeat assumes a full promise; a reply carries the time that is really left.
            let agreed = if campaign.binding {
                self.is_promise_expired(now, &voter, &campaign.target)
            } else {
                campaign.pre_votes.binary_search(&voter).is_ok()
            };
            if voter == self.me || agreed {
                continue;
            }
            actions.push(Action::Send {
                to: voter.vm,
                message: Message::FenceRequest(FenceRequest {
                    from: self.me.clone(),
                    target: campaign.target.clone(),
                    membership: self.membership.version,
                    binding: campaign.binding,
                }),
            });
        }
    }

    /// Records a pledge of this VM; it is never withdrawn.
    fn record_own_pledge(&mut self, now: Instant, target: &Holder) {
        let promise_expiry = now + self.remaining_promise(now, target);
        let found = self
            .pledges
            .binary_search_by(|pledge| pledge.target.cmp(target));
        if let Err(index) = found {
            self.pledges.insert(
                index,
                Pledge {
                    target: target.clone(),
                    promise_expiry: Some(promise_expiry),
                },
            );
        }
    }

    /// Returns the targets of the pledges to announce: all that are members, then others with the latest promise expiry
    /// up to [`MAX_PLEDGES`].
    pub(super) fn announced_pledges(&self) -> Vec<Holder> {
        let (mut against_members, mut against_others): (Vec<&Pledge>, Vec<&Pledge>) = self
            .pledges
            .iter()
            .partition(|pledge| self.membership_contains(&pledge.target));
        against_others.sort_unstable_by_key(|pledge| Reverse(pledge.promise_expiry));
        let room = MAX_PLEDGES.saturating_sub(against_members.len());
        against_members.extend(against_others.into_iter().take(room));
        against_members
            .into_iter()
            .map(|pledge| pledge.target.clone())
            .collect()
    }

    fn remaining_promise(&self, now: Instant, target: &Holder) -> Duration {
        self.peer(target).map_or(Duration::ZERO, |peer| {
            peer.remaining_promise(now, self.options.promise_duration)
        })
    }
}
