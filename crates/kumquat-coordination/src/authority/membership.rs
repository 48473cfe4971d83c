//! The `membership` module provides the rules under which the cell membership changes.

use kumquat_state::clock::{self, Instant};
use kumquat_state::ledger::{Holder, Member, Membership};

use super::message::Action;
use super::{Authority, Peer};

impl Authority {
    /// Applies the membership of a newer ledger revision.
    pub fn set_membership(&mut self, now: Instant, membership: &Membership) -> Vec<Action> {
        let now = self.observe(now);
        let mut actions = Vec::new();
        if membership.version <= self.membership.version {
            if *membership != self.membership {
                self.counters.invalid_memberships += 1;
            }
            return actions;
        }
        if !is_sorted(membership) {
            self.counters.invalid_memberships += 1;
            return actions;
        }

        let member = self.is_member();
        self.membership = membership.clone();
        self.applied = now;
        if member && !self.is_member() {
            self.evict(&mut actions);
        }
        // Silence of a member that has never been heard counts from here.
        for member in &membership.members {
            let holder = holder(member);
            if holder.vm == self.me.vm {
                continue;
            }
            if let Err(index) = self.peer_index(&holder) {
                self.peers.insert(index, Peer::new(holder, now));
            }
        }
        self.settle(now, &mut actions);
        actions
    }

    /// Returns whether a majority has confirmed the membership for longer than a promise lasts.
    ///
    /// From then on, no VM with an earlier membership version can hold a majority of promises or collect pledges.
    #[must_use]
    pub fn is_membership_confirmed(&self, now: Instant) -> bool {
        let wait = clock::lengthened(self.options.promise_duration);
        let version = self.membership.version;
        let own = self.is_member() && now.saturating_since(self.applied) > wait;
        let others = self
            .peers
            .iter()
            .filter(|peer| self.is_listed(&peer.holder))
            .filter(|peer| {
                peer.membership >= version && now.saturating_since(peer.membership_since) > wait
            })
            .count();
        others + usize::from(own) >= self.membership.majority()
    }

    /// Returns whether the coordinator may write `next` as the membership after the applied one.
    ///
    /// One incarnation joins or leaves at a time. Replacing an incarnation in one step would be two changes: with three
    /// members, a majority of the old and one of the new membership could then be disjoint. The first membership of a
    /// cell is exempt, because nobody has given a promise yet.
    #[must_use]
    pub fn may_change_membership(&self, now: Instant, next: &Membership) -> bool {
        if next.version.0 != self.membership.version.0 + 1 || !is_sorted(next) {
            return false;
        }
        if self.membership.members.is_empty() {
            return self.membership.version.0 == 0;
        }
        let joining = difference(next, &self.membership);
        let leaving = difference(&self.membership, next);
        if joining.len() + leaving.len() != 1 || next.members.is_empty() {
            return false;
        }

        // An incarnation that was pledged against never joins again.
        let tainted = joining.iter().any(|holder| self.is_pledged_against(holder));
        !tainted && self.is_membership_confirmed(now) && self.keeps_fences(next)
    }

    /// Returns whether no member of `next` that may be fenced could obtain a majority of `next` again.
    fn keeps_fences(&self, next: &Membership) -> bool {
        next.members.iter().all(|member| {
            let target = holder(member);
            let open = next
                .members
                .iter()
                .filter(|voter| !self.knows_pledge(&holder(voter), &target))
                .count();
            !self.is_pledged_against(&target) || open < next.majority()
        })
    }

    /// Returns whether any pledge against the incarnation is known.
    fn is_pledged_against(&self, target: &Holder) -> bool {
        self.has_pledged_against(target)
            || self.peers.iter().any(|peer| peer.pledge(target).is_some())
    }

    fn knows_pledge(&self, voter: &Holder, target: &Holder) -> bool {
        if *voter == self.me {
            return self.has_pledged_against(target);
        }
        self.peer(voter)
            .is_some_and(|peer| peer.pledge(target).is_some())
    }
}

fn is_sorted(membership: &Membership) -> bool {
    membership
        .members
        .is_sorted_by(|left, right| left.vm < right.vm)
}

/// Returns the incarnations in `left` that are not in `right`.
fn difference(left: &Membership, right: &Membership) -> Vec<Holder> {
    left.members
        .iter()
        .filter(|member| !right.contains(&member.vm, member.incarnation))
        .map(holder)
        .collect()
}

fn holder(member: &Member) -> Holder {
    Holder {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    }
}
