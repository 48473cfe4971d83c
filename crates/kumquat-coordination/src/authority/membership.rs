//! The `membership` module provides the rules for changing and applying the cell membership.

use kumquat_state::clock::{self, Instant};
use kumquat_state::ledger::{Holder, Member, Membership};

use super::message::Action;
use super::{Authority, Peer};

impl Authority {
    /// Applies the membership of a newer ledger revision; one that is older or not sorted by VM is counted and ignored.
    pub fn set_membership(&mut self, now: Instant, membership: &Membership) -> Vec<Action> {
        let now = self.advance_clock(now);
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

        let was_member = self.is_member();
        self.membership = membership.clone();
        self.membership_applied_at = now;
        if was_member && !self.is_member() {
            self.mark_evicted(&mut actions);
        }
        // The suspicion timeout of a member that has never been heard starts now.
        for member in &membership.members {
            let holder = holder_of(member);
            if holder.vm == self.me.vm {
                continue;
            }
            if let Err(index) = self.peer_index(&holder) {
                self.peers.insert(index, Peer::new(holder, now));
            }
        }
        self.update_fences_and_authority(now, &mut actions);
        actions
    }

    /// Returns whether a majority has applied the current membership version for longer than a promise lasts.
    ///
    /// From then on, no VM with an earlier version can hold promises, or collect new pledges, from a majority.
    #[must_use]
    pub fn is_membership_confirmed(&self, now: Instant) -> bool {
        let wait = clock::lengthened(self.options.promise_duration);
        let version = self.membership.version;
        let self_confirmed =
            self.is_member() && now.saturating_since(self.membership_applied_at) > wait;
        let peers_confirmed = self
            .peers
            .iter()
            .filter(|peer| self.membership_contains(&peer.holder))
            .filter(|peer| {
                peer.membership >= version && now.saturating_since(peer.membership_since) > wait
            })
            .count();
        peers_confirmed + usize::from(self_confirmed) >= self.membership.majority()
    }

    /// Returns whether the coordinator may write `next` as the successor of the applied membership.
    ///
    /// Only one incarnation may join or leave at a time. Replacing one in a single step would be two changes: with three
    /// members, a majority of the old membership and one of the new could then be disjoint. The first membership of a
    /// cell is exempt, because no promises exist yet.
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

        // An incarnation against which any VM has pledged must not join again.
        let joins_pledged = joining.iter().any(|holder| self.is_pledged_against(holder));
        !joins_pledged && self.is_membership_confirmed(now) && self.preserves_fences(next)
    }

    /// Returns whether no member of `next` with a pledge against it could still get promises from a majority of `next`.
    fn preserves_fences(&self, next: &Membership) -> bool {
        next.members.iter().all(|member| {
            let target = holder_of(member);
            let not_pledged = next
                .members
                .iter()
                .filter(|voter| !self.has_known_pledge(&holder_of(voter), &target))
                .count();
            !self.is_pledged_against(&target) || not_pledged < next.majority()
        })
    }

    /// Returns whether this VM knows of any pledge against the incarnation, its own included.
    fn is_pledged_against(&self, target: &Holder) -> bool {
        self.has_pledged_against(target)
            || self.peers.iter().any(|peer| peer.pledge(target).is_some())
    }

    fn has_known_pledge(&self, voter: &Holder, target: &Holder) -> bool {
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

/// Returns the incarnations that are members in `left` but not in `right`.
fn difference(left: &Membership, right: &Membership) -> Vec<Holder> {
    left.members
        .iter()
        .filter(|member| !right.contains(&member.vm, member.incarnation))
        .map(holder_of)
        .collect()
}

fn holder_of(member: &Member) -> Holder {
    Holder {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    }
}
