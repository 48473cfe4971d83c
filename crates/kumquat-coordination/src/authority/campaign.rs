//! The `campaign` module provides the two-phase collection of pledges against one incarnation.

use std::cmp::Reverse;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use kumquat_state::ledger::Holder;

use super::message::{Action, FenceReply, FenceRequest, Message, Verdict};
use super::{Authority, MAX_PLEDGES, PEER_LIMIT, Pledge};

/// State of a campaign of this VM.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Campaign {
    pub(super) target: Holder,
    /// Whether a majority agreed in the pre-vote.
    pub(super) binding: bool,
    /// Voters that agreed in the pre-vote, sorted.
    votes: Vec<Holder>,
    /// Time at which an undecided pre-vote is given up.
    expiry: Instant,
    /// Time of the next requests to voters that have not agreed.
    next: Instant,
}

impl Authority {
    /// Starts to fence `target` if it is suspected or has left the membership; a running campaign goes on.
    pub fn seek_fence(&mut self, now: Instant, target: &Holder) -> Vec<Action> {
        let now = self.observe(now);
        let mut actions = Vec::new();
        let eligible = self.is_member()
            && *target != self.me
            && !self.is_fenced(target)
            && (self.is_suspected(now, target) || !self.is_listed(target));
        let running = self.campaigns.iter().any(|other| other.target == *target);
        if eligible && !running && self.campaigns.len() < PEER_LIMIT {
            self.campaigns.push(Campaign {
                target: target.clone(),
                binding: false,
                votes: Vec::new(),
                expiry: now + self.options.promise_duration,
                next: now,
            });
            self.run_campaigns(now, &mut actions);
        }
        self.settle(now, &mut actions);
        actions
    }

    /// Answers a request of another member to fence an incarnation.
    pub fn on_fence_request(&mut self, now: Instant, request: &FenceRequest) -> Vec<Action> {
        let now = self.observe(now);
        let mut actions = Vec::new();
        if request.from.vm == self.me.vm {
            self.counters.misrouted_messages += 1;
            return actions;
        }

        // A binding request proves a pledge against this VM, because the sender pledges before it asks others.
        if request.target == self.me && request.binding {
            self.evict(&mut actions);
            self.learn_pledge(now, &request.from, &request.target, None);
        }
        let verdict = self.judge(now, request);
        if verdict != Verdict::Refused && request.binding {
            self.pledge(now, &request.target);
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
        self.settle(now, &mut actions);
        actions
    }

    /// Takes the answer of a voter.
    pub fn on_fence_reply(&mut self, now: Instant, reply: &FenceReply) -> Vec<Action> {
        let now = self.observe(now);
        let mut actions = Vec::new();
        if reply.from.vm == self.me.vm || reply.target == self.me {
            self.counters.misrouted_messages += 1;
            return actions;
        }
        if !self.is_listed(&reply.from) {
            self.counters.non_member_replies += 1;
            return actions;
        }
        let Verdict::Agreed { remaining } = reply.verdict else {
            return actions;
        };

        if reply.binding {
            // The promise ends earlier than this, because the reply was on its way for some time.
            let remaining = remaining.min(clock::lengthened(self.options.promise_duration));
            let promise_expiry = now + clock::lengthened(remaining);
            let countable = reply.membership <= self.membership.version;
            self.learn_pledge(
                now,
                &reply.from,
                &reply.target,
                countable.then_some(promise_expiry),
            );
        } else if let Some(campaign) = self
            .campaigns
            .iter_mut()
            .find(|campaign| campaign.target == reply.target)
            && let Err(index) = campaign.votes.binary_search(&reply.from)
        {
            campaign.votes.insert(index, reply.from.clone());
        }
        self.run_campaigns(now, &mut actions);
        self.settle(now, &mut actions);
        actions
    }

    /// Decides on a request without recording anything.
    fn judge(&mut self, now: Instant, request: &FenceRequest) -> Verdict {
        let target = &request.target;
        if *target == self.me || !self.is_member() {
            return Verdict::Refused;
        }
        // A sender with an outdated membership could count a majority that does not intersect the current one.
        if request.membership < self.membership.version {
            self.counters.outdated_requests += 1;
            return Verdict::Refused;
        }
        let current = request.membership == self.membership.version;
        if current && !self.is_listed(&request.from) {
            self.counters.non_member_requests += 1;
            return Verdict::Refused;
        }

        // An incarnation that has left the membership needs no suspicion: it can't have authority under this version.
        let gone = current && !self.is_listed(target);
        if !gone && !self.has_pledged_against(target) && !self.is_suspected(now, target) {
            return Verdict::Refused;
        }
        Verdict::Agreed {
            remaining: self.remaining(now, target),
        }
    }

    /// Moves campaigns to the binding phase where a majority agreed, and sends the requests that are due.
    pub(super) fn run_campaigns(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut campaigns = std::mem::take(&mut self.campaigns);
        campaigns.retain(|campaign| {
            let overdue = !campaign.binding && now >= campaign.expiry;
            self.is_member() && !overdue && !self.is_fenced(&campaign.target)
        });
        for campaign in &mut campaigns {
            if !campaign.binding && self.is_supported(now, campaign) {
                campaign.binding = true;
                campaign.next = now;
                self.pledge(now, &campaign.target);
            }
            if now >= campaign.next {
                campaign.next = now + self.options.heartbeat_interval / 2;
                self.request(now, campaign, actions);
            }
        }
        self.campaigns = campaigns;
    }

    /// Ends the pre-vote against a VM that has been heard again.
    pub(super) fn cancel_pre_vote(&mut self, target: &Holder) {
        self.campaigns
            .retain(|campaign| campaign.binding || campaign.target != *target);
    }

    fn is_supported(&self, now: Instant, campaign: &Campaign) -> bool {
        let target = &campaign.target;
        if self.is_listed(target) && !self.is_suspected(now, target) {
            return false;
        }
        let votes = campaign
            .votes
            .iter()
            .filter(|voter| self.is_listed(voter))
            .count();
        votes + 1 >= self.membership.majority()
    }

    fn request(&self, now: Instant, campaign: &Campaign, actions: &mut Vec<Action>) {
        for member in &self.membership.members {
            let voter = Holder {
                vm: member.vm.clone(),
                incarnation: member.incarnation,
            };
            // A pledge seen in a heartbeat assumes a whole promise; the voter's own reply tells the time that is left.
            let agreed = if campaign.binding {
                self.is_lapsed(now, &voter, &campaign.target)
            } else {
                campaign.votes.binary_search(&voter).is_ok()
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

    /// Records this VM's own pledge; it is never taken back.
    fn pledge(&mut self, now: Instant, target: &Holder) {
        let promise_expiry = now + self.remaining(now, target);
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

    /// Returns the pledges to announce: all against members, then the latest others up to the limit.
    pub(super) fn announced_pledges(&self) -> Vec<Holder> {
        let (mut listed, mut others): (Vec<&Pledge>, Vec<&Pledge>) = self
            .pledges
            .iter()
            .partition(|pledge| self.is_listed(&pledge.target));
        others.sort_unstable_by_key(|pledge| Reverse(pledge.promise_expiry));
        let room = MAX_PLEDGES.saturating_sub(listed.len());
        listed.extend(others.into_iter().take(room));
        listed
            .into_iter()
            .map(|pledge| pledge.target.clone())
            .collect()
    }

    fn remaining(&self, now: Instant, target: &Holder) -> Duration {
        self.peer(target).map_or(Duration::ZERO, |peer| {
            peer.remaining(now, self.options.promise_duration)
        })
    }
}
