//! The `authority` module provides the time-limited permission of a VM to act, and the fencing of lost VMs.
//!
//! The members of a cell exchange heartbeats. By echoing a heartbeat, a member gives its sender a promise of
//! limited duration, and a VM has authority while it holds promises from a majority. A pledge is a member's vote to
//! fence an incarnation, after which it never echoes that incarnation again. An incarnation is fenced once a majority
//! has pledged against it and their last promises to it have expired. Promises are kept in memory only, so that
//! authority depends neither on the store nor on any durable state. See `docs/design.md`, section 3.

mod campaign;
mod canonical;
mod membership;
mod message;
mod peer;

use std::collections::VecDeque;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::{Revision, Version, Vm};
use kumquat_state::ledger::{Holder, Membership};

use campaign::Campaign;
pub use message::{Action, Echo, FenceReply, FenceRequest, Heartbeat, Message, Verdict};
pub use peer::{Peer, Pledge};

/// Maximum number of pledges in one heartbeat: twice the size of the largest cell, to have room for pledges against
/// former members.
pub const MAX_PLEDGES: usize = 30;

/// Maximum number of incarnations of other VMs that are tracked; a cell has at most 15 members.
const MAX_PEERS: usize = 128;

/// Number of promise durations after which a silent incarnation outside the membership is removed.
const PEER_RETENTION_PROMISES: u32 = 10;

/// Number of heartbeat intervals without any event after which this VM assumes that it was paused.
const PAUSE_HEARTBEATS: u32 = 2;

/// Timing of the authority protocol; all VMs of a cell must use the same values.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Interval between heartbeat rounds, and the longest interval between calls of [`Authority::tick`].
    pub heartbeat_interval: Duration,
    /// Duration of a promise, from the sending of the echoed heartbeat and before the allowance for clock drift.
    pub promise_duration: Duration,
    /// Time without a heartbeat after which a member is suspected and may be fenced.
    pub suspicion_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            heartbeat_interval: Duration::from_millis(200),
            promise_duration: Duration::from_secs(1),
            suspicion_timeout: Duration::from_millis(600),
        }
    }
}

/// Numbers of inputs that were ignored in whole or in part, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that name this VM as their sender, and fence replies that name it as the target.
    pub misrouted_messages: u64,
    /// Heartbeats that are duplicates or arrived after a later one.
    pub stale_heartbeats: u64,
    /// Echoes of heartbeats from another incarnation of this VM.
    pub mismatched_echoes: u64,
    /// Echoes of heartbeats that were sent longer ago than a promise lasts.
    pub expired_echoes: u64,
    /// Echoes of heartbeats that were never sent.
    pub invalid_echoes: u64,
    /// Heartbeats with more than [`MAX_PLEDGES`] pledges, of which only the first ones are processed.
    pub oversized_heartbeats: u64,
    /// Heartbeats of non-members that were dropped because the maximum number of incarnations was tracked.
    pub untracked_heartbeats: u64,
    /// Fence requests with a lower membership version than that of this VM.
    pub outdated_requests: u64,
    /// Fence requests from incarnations that are not members.
    pub non_member_requests: u64,
    /// Fence replies from incarnations that are not members.
    pub non_member_replies: u64,
    /// Memberships that are older than the applied one, unsorted, or different at the same version.
    pub invalid_memberships: u64,
    /// Events with a time before that of an earlier event, which are processed at the earlier event's time.
    pub clock_regressions: u64,
}

/// State machine that holds the authority of one VM and fences others.
#[derive(Clone, Debug)]
pub struct Authority {
    me: Holder,
    options: Options,
    membership: Membership,
    membership_applied_at: Instant,
    bundle_version: Version,
    ledger_revision: Revision,
    /// Configured VMs, which get heartbeats even if they are not members; sorted.
    configured_peers: Vec<Vm>,
    last_event: Instant,
    /// Time at which this VM started or last resumed after a pause.
    resumed_at: Instant,
    next_heartbeat: Instant,
    /// Number of the latest heartbeat round.
    sequence: u64,
    /// Rounds whose echoes can still extend a promise, with their send times; sorted.
    sent_heartbeats: VecDeque<(u64, Instant)>,
    /// Sorted by holder.
    peers: Vec<Peer>,
    /// Pledges of this VM, sorted by target.
    pledges: Vec<Pledge>,
    campaigns: Vec<Campaign>,
    /// Incarnations that this VM has established to be fenced, sorted.
    fenced: Vec<Holder>,
    evicted: bool,
    /// Authority as last reported to the caller.
    is_authorised: bool,
    counters: Counters,
}

impl Authority {
    /// Creates the state of a VM that has just started. Until it is a member, it neither votes nor has authority.
    #[must_use]
    pub fn new(me: Holder, options: Options, now: Instant) -> Self {
        Self {
            me,
            options,
            membership: Membership::default(),
            membership_applied_at: now,
            bundle_version: Version(0),
            ledger_revision: Revision(0),
            configured_peers: Vec::new(),
            last_event: now,
            resumed_at: now,
            next_heartbeat: now,
            sequence: 0,
            sent_heartbeats: VecDeque::new(),
            peers: Vec::new(),
            pledges: Vec::new(),
            campaigns: Vec::new(),
            fenced: Vec::new(),
            evicted: false,
            is_authorised: false,
            counters: Counters::default(),
        }
    }

    /// Sets the versions that heartbeats announce; values lower than before are ignored.
    pub fn set_versions(&mut self, bundle: Version, ledger: Revision) {
        self.bundle_version = self.bundle_version.max(bundle);
        self.ledger_revision = self.ledger_revision.max(ledger);
    }

    /// Sets the VMs that get heartbeats in addition to the members, so that the cell learns of a new VM.
    pub fn set_configured_peers(&mut self, vms: &[Vm]) {
        self.configured_peers = vms.to_vec();
        self.configured_peers.sort_unstable();
        self.configured_peers.dedup();
    }

    /// Sends due heartbeats and fence requests, and checks for expired promises.
    ///
    /// It must be called at least once per heartbeat interval: after two intervals without any event, this VM assumes that
    /// it was paused and restarts its suspicion timeouts.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let now = self.advance_clock(now);
        let mut actions = Vec::new();
        if now >= self.next_heartbeat {
            // The interval counts from the scheduled time, so that delays don't add up; missed rounds are skipped.
            self.next_heartbeat = self.next_heartbeat + self.options.heartbeat_interval;
            if self.next_heartbeat <= now {
                self.next_heartbeat = now + self.options.heartbeat_interval;
            }
            self.send_heartbeats(now, &mut actions);
        }
        self.remove_expired_peers(now);
        self.run_campaigns(now, &mut actions);
        self.update_fences_and_authority(now, &mut actions);
        actions
    }

    /// Processes a heartbeat of another VM: its echo, versions and pledges.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> Vec<Action> {
        let now = self.advance_clock(now);
        let mut actions = Vec::new();
        if heartbeat.from.vm == self.me.vm {
            self.counters.misrouted_messages += 1;
            return actions;
        }
        let Some(index) = self.peer_index_or_insert(now, &heartbeat.from) else {
            self.counters.untracked_heartbeats += 1;
            return actions;
        };

        // A duplicate doesn't show that the sender is alive now, so it refreshes neither liveness nor the promise.
        let peer = &mut self.peers[index];
        if peer.last_heard.is_some() && heartbeat.sequence <= peer.sequence {
            self.counters.stale_heartbeats += 1;
            return actions;
        }
        peer.sequence = heartbeat.sequence;
        peer.last_heard = Some(now);
        if heartbeat.membership > peer.membership {
            peer.membership = heartbeat.membership;
            peer.membership_since = now;
        }
        peer.bundle = peer.bundle.max(heartbeat.bundle);
        peer.ledger = peer.ledger.max(heartbeat.ledger);

        if let Some(echo) = heartbeat.echo {
            self.accept_echo(index, echo);
        }
        if heartbeat.pledges.len() > MAX_PLEDGES {
            self.counters.oversized_heartbeats += 1;
        }
        // A heartbeat doesn't carry the time left on the voter's promise to the target, so a full promise is assumed.
        let max_remaining = clock::lengthened(self.options.promise_duration);
        let counts_for_fence = heartbeat.membership <= self.membership.version;
        let promise_expiry = counts_for_fence.then_some(now + clock::lengthened(max_remaining));
        for target in heartbeat.pledges.iter().take(MAX_PLEDGES) {
            if *target == self.me {
                self.mark_evicted(&mut actions);
            }
            self.record_pledge(now, &heartbeat.from, target, promise_expiry);
        }
        self.cancel_pre_vote(&heartbeat.from);
        self.update_fences_and_authority(now, &mut actions);
        actions
    }

    /// Returns the time until which this VM holds promises from a majority of the membership, itself included.
    ///
    /// It is absent if this VM is not a member or too few members have given it a promise. It may be in the past.
    #[must_use]
    pub fn valid_until(&self) -> Option<Instant> {
        if !self.is_member() {
            return None;
        }
        let Some(last_needed) = self.membership.majority().checked_sub(2) else {
            // The only member of a cell needs no promises.
            return Some(Instant::from_micros(u64::MAX));
        };
        let mut promises: Vec<Instant> = self
            .peers
            .iter()
            .filter(|peer| self.membership_contains(&peer.holder))
            .filter_map(|peer| peer.promised_until)
            .collect();
        promises.sort_unstable_by(|left, right| right.cmp(left));
        promises.get(last_needed).copied()
    }

    /// Returns the time since which a majority of the membership has been heard, this VM included if it is a member.
    ///
    /// It is also meaningful for a VM that is not a member yet, which learns the versions in force from heartbeats.
    #[must_use]
    pub fn majority_heard_since(&self) -> Option<Instant> {
        let own_count = usize::from(self.is_member());
        let needed = self.membership.majority().saturating_sub(own_count);
        let mut heard: Vec<Instant> = self
            .peers
            .iter()
            .filter(|peer| self.membership_contains(&peer.holder))
            .filter_map(|peer| peer.last_heard)
            .collect();
        heard.sort_unstable_by(|left, right| right.cmp(left));
        heard.get(needed.checked_sub(1)?).copied()
    }

    /// Returns whether this VM has authority at `now`; must be checked at the moment of acting.
    #[must_use]
    pub fn may_act(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// Returns whether this VM has established that the incarnation is fenced; once true, it stays true.
    #[must_use]
    pub fn is_fenced(&self, holder: &Holder) -> bool {
        self.fenced.binary_search(holder).is_ok()
    }

    /// Returns the other members that have been silent for the suspicion timeout.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<Holder> {
        self.peers
            .iter()
            .map(|peer| &peer.holder)
            .filter(|holder| self.membership_contains(holder) && self.is_suspected(now, holder))
            .cloned()
            .collect()
    }

    /// Returns the records of the other VMs' incarnations, sorted by holder.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the record of one incarnation of another VM, if it is tracked.
    #[must_use]
    pub fn peer(&self, holder: &Holder) -> Option<&Peer> {
        self.peer_index(holder).ok().map(|index| &self.peers[index])
    }

    /// Returns whether a VM has pledged against this incarnation or the membership no longer contains it.
    ///
    /// It never becomes false again: the VM has to rejoin as a new incarnation.
    #[must_use]
    pub const fn is_evicted(&self) -> bool {
        self.evicted
    }

    /// Returns this VM and its incarnation.
    #[must_use]
    pub const fn me(&self) -> &Holder {
        &self.me
    }

    /// Returns the applied membership; its version is 0 until the first one is set.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns the numbers of ignored inputs since the start of this incarnation.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns whether the applied membership contains this incarnation of the VM.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.membership_contains(&self.me)
    }

    /// Returns whether this VM has pledged against the incarnation; pledges are never withdrawn.
    #[must_use]
    pub fn has_pledged_against(&self, target: &Holder) -> bool {
        self.pledges
            .binary_search_by(|pledge| pledge.target.cmp(target))
            .is_ok()
    }

    fn membership_contains(&self, holder: &Holder) -> bool {
        self.membership.contains(&holder.vm, holder.incarnation)
    }

    /// Records the time of an event, detects a pause of this VM, and returns a time that never decreases.
    fn advance_clock(&mut self, now: Instant) -> Instant {
        if now < self.last_event {
            self.counters.clock_regressions += 1;
            return self.last_event;
        }
        // After a pause, silence is no evidence against others: their messages may still wait in the sockets.
        if now.saturating_since(self.last_event)
            > self.options.heartbeat_interval * PAUSE_HEARTBEATS
        {
            self.resumed_at = now;
        }
        self.last_event = now;
        now
    }

    fn is_suspected(&self, now: Instant, holder: &Holder) -> bool {
        self.peer(holder).is_some_and(|peer| {
            let silent_since = peer
                .last_heard
                .unwrap_or(peer.learned_at)
                .max(self.resumed_at);
            now.saturating_since(silent_since) >= self.options.suspicion_timeout
        })
    }

    fn send_heartbeats(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.sequence += 1;
        self.sent_heartbeats.push_back((self.sequence, now));
        let oldest = now - self.options.promise_duration;
        self.sent_heartbeats.retain(|(_, time)| *time >= oldest);

        let pledges = self.announced_pledges();
        let members = self.membership.members.iter().map(|member| &member.vm);
        let mut receivers: Vec<&Vm> = members.chain(&self.configured_peers).collect();
        receivers.sort_unstable();
        receivers.dedup();
        for vm in receivers {
            if *vm == self.me.vm {
                continue;
            }
            let heartbeat = Heartbeat {
                from: self.me.clone(),
                sequence: self.sequence,
                echo: self.echo(vm),
                membership: self.membership.version,
                bundle: self.bundle_version,
                ledger: self.ledger_revision,
                pledges: pledges.clone(),
            };
            actions.push(Action::Send {
                to: vm.clone(),
                message: Message::Heartbeat(heartbeat),
            });
        }
    }

    /// Returns the echo that renews the promise to the latest incarnation of a VM, if this VM may give one.
    fn echo(&self, vm: &Vm) -> Option<Echo> {
        let peer = self
            .peers
            .iter()
            .filter(|peer| peer.holder.vm == *vm)
            .max_by_key(|peer| peer.last_heard)?;
        // Only members vote: a restarted VM no longer knows which promises and pledges it has given.
        let may_promise = self.is_member()
            && peer.last_heard.is_some()
            && peer.membership >= self.membership.version
            && !self.has_pledged_against(&peer.holder);
        may_promise.then_some(Echo {
            incarnation: peer.holder.incarnation,
            sequence: peer.sequence,
        })
    }

    fn accept_echo(&mut self, index: usize, echo: Echo) {
        if echo.incarnation != self.me.incarnation {
            self.counters.mismatched_echoes += 1;
            return;
        }
        if echo.sequence > self.sequence {
            self.counters.invalid_echoes += 1;
            return;
        }
        // The promise counts from the sending of the heartbeat, which is before the voter's own count starts, however
        // late the echo arrives.
        let Ok(position) = self
            .sent_heartbeats
            .binary_search_by_key(&echo.sequence, |(sequence, _)| *sequence)
        else {
            self.counters.expired_echoes += 1;
            return;
        };
        let until =
            self.sent_heartbeats[position].1 + clock::shortened(self.options.promise_duration);
        let promise = &mut self.peers[index].promised_until;
        *promise = (*promise).max(Some(until));
    }

    fn peer_index(&self, holder: &Holder) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.holder.cmp(holder))
    }

    fn peer_index_or_insert(&mut self, now: Instant, holder: &Holder) -> Option<usize> {
        match self.peer_index(holder) {
            Ok(index) => Some(index),
            Err(_) if self.peers.len() >= MAX_PEERS && !self.membership_contains(holder) => None,
            Err(index) => {
                self.peers.insert(index, Peer::new(holder.clone(), now));
                Some(index)
            }
        }
    }

    /// Removes incarnations outside the membership whose promises expired long ago.
    fn remove_expired_peers(&mut self, now: Instant) {
        let retention = self.options.promise_duration * PEER_RETENTION_PROMISES;
        let membership = &self.membership;
        self.peers.retain(|peer| {
            let last_seen = peer.last_heard.unwrap_or(peer.learned_at);
            membership.contains(&peer.holder.vm, peer.holder.incarnation)
                || now.saturating_since(last_seen) < retention
        });
    }

    fn record_pledge(
        &mut self,
        now: Instant,
        voter: &Holder,
        target: &Holder,
        promise_expiry: Option<Instant>,
    ) {
        if let Some(index) = self.peer_index_or_insert(now, voter) {
            self.peers[index].record_pledge(target, promise_expiry);
        }
    }

    /// Returns whether the voter has pledged against `target` and its last promise to `target` has expired.
    fn is_promise_expired(&self, now: Instant, voter: &Holder, target: &Holder) -> bool {
        self.peer(voter)
            .and_then(|peer| peer.pledge(target))
            .and_then(|pledge| pledge.promise_expiry)
            .is_some_and(|expiry| expiry <= now)
    }

    fn mark_evicted(&mut self, actions: &mut Vec<Action>) {
        if !self.evicted {
            self.evicted = true;
            actions.push(Action::Evicted);
        }
    }

    /// Records and reports fences that are established at `now`, and reports whether authority was gained or lost.
    fn update_fences_and_authority(&mut self, now: Instant, actions: &mut Vec<Action>) {
        let mut targets: Vec<&Holder> = self
            .peers
            .iter()
            .flat_map(|peer| &peer.pledges)
            .chain(&self.pledges)
            .map(|pledge| &pledge.target)
            .filter(|target| **target != self.me && !self.is_fenced(target))
            .collect();
        targets.sort_unstable();
        targets.dedup();
        let fenced: Vec<Holder> = targets
            .into_iter()
            .filter(|target| self.has_expired_majority(now, target))
            .cloned()
            .collect();
        for holder in fenced {
            if let Err(index) = self.fenced.binary_search(&holder) {
                self.fenced.insert(index, holder.clone());
            }
            self.cancel_campaign(&holder);
            actions.push(Action::Fenced(holder));
        }

        let is_authorised = self.may_act(now);
        debug_assert!(
            !is_authorised || self.is_member(),
            "authority without membership"
        );
        debug_assert!(!self.is_fenced(&self.me), "fenced by itself");
        if is_authorised != self.is_authorised {
            self.is_authorised = is_authorised;
            actions.push(if is_authorised {
                Action::AuthorityGained
            } else {
                Action::AuthorityLost
            });
        }
    }

    /// Returns whether a majority has pledged against `target` and the last promise of each of them has expired.
    fn has_expired_majority(&self, now: Instant, target: &Holder) -> bool {
        let own_pledges = self.pledges.iter().filter(|_| self.is_member());
        let peer_pledges = self
            .peers
            .iter()
            .filter(|peer| self.membership_contains(&peer.holder))
            .flat_map(|peer| &peer.pledges);
        let expired = own_pledges
            .chain(peer_pledges)
            .filter(|pledge| pledge.target == *target)
            .filter(|pledge| pledge.promise_expiry.is_some_and(|expiry| expiry <= now))
            .count();
        expired >= self.membership.majority()
    }

    fn cancel_campaign(&mut self, target: &Holder) {
        self.campaigns.retain(|campaign| campaign.target != *target);
    }
}
