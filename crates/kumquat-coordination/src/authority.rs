//! The `authority` module provides the permission of a VM to act in the next second, and the fencing of lost VMs.
//!
//! Permission is a set of volatile promises of the other members of the cell, so that it depends neither on the store
//! nor on any durable state. See `docs/design.md`, section 3.

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

/// Most pledges in one heartbeat; it covers the largest cell twice, so that pledges against former members fit too.
pub const MAX_PLEDGES: usize = 30;

/// Most incarnations of other VMs that are remembered; a cell has at most 15 members.
const PEER_LIMIT: usize = 128;

/// Number of promise durations after which an unheard incarnation outside the membership is forgotten.
const RETENTION: u32 = 10;

/// Number of heartbeat intervals without any event after which this VM takes itself to have been paused.
const PAUSE: u32 = 2;

/// Times of the authority protocol; all VMs of a cell use the same ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Options {
    /// Interval between heartbeats.
    pub heartbeat_interval: Duration,
    /// Duration of a promise, before the allowance for drift.
    pub promise_duration: Duration,
    /// Silence after which a VM is suspected.
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

/// Input that was ignored, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Messages that claim to come from this VM, or replies about it.
    pub misrouted_messages: u64,
    /// Heartbeats that are duplicated or were overtaken.
    pub stale_heartbeats: u64,
    /// Echoes of another incarnation of this VM.
    pub mismatched_echoes: u64,
    /// Echoes of heartbeats that are older than a promise.
    pub expired_echoes: u64,
    /// Echoes of heartbeats that were never sent.
    pub invalid_echoes: u64,
    /// Heartbeats with more than [`MAX_PLEDGES`] pledges.
    pub oversized_heartbeats: u64,
    /// Heartbeats of incarnations for which there was no room.
    pub untracked_heartbeats: u64,
    /// Fence requests with an outdated membership.
    pub outdated_requests: u64,
    /// Fence requests of VMs that are not members.
    pub non_member_requests: u64,
    /// Fence replies of VMs that are not members.
    pub non_member_replies: u64,
    /// Memberships that are older than the applied one, not sorted, or differ at the same version.
    pub invalid_memberships: u64,
    /// Events with a time before that of an earlier event.
    pub clock_regressions: u64,
}

/// The authority of one VM.
#[derive(Clone, Debug)]
pub struct Authority {
    me: Holder,
    options: Options,
    membership: Membership,
    /// Time at which the membership was applied.
    applied: Instant,
    bundle: Version,
    ledger: Revision,
    /// VMs outside the membership that also get heartbeats, sorted.
    contacts: Vec<Vm>,
    /// Time of the latest event.
    latest: Instant,
    /// Time at which this VM started, or resumed after a pause.
    resumed: Instant,
    /// Time of the next heartbeat round.
    next: Instant,
    sequence: u64,
    /// Rounds whose echoes still matter, with their send times.
    sent: VecDeque<(u64, Instant)>,
    /// Sorted by holder.
    peers: Vec<Peer>,
    /// Own pledges, sorted by target.
    pledges: Vec<Pledge>,
    campaigns: Vec<Campaign>,
    /// Incarnations fenced as established by this VM, sorted.
    fenced: Vec<Holder>,
    evicted: bool,
    acting: bool,
    counters: Counters,
}

impl Authority {
    /// Creates the authority of a VM that has just started: it knows no membership and neither votes nor acts.
    #[must_use]
    pub fn new(me: Holder, options: Options, now: Instant) -> Self {
        Self {
            me,
            options,
            membership: Membership::default(),
            applied: now,
            bundle: Version(0),
            ledger: Revision(0),
            contacts: Vec::new(),
            latest: now,
            resumed: now,
            next: now,
            sequence: 0,
            sent: VecDeque::new(),
            peers: Vec::new(),
            pledges: Vec::new(),
            campaigns: Vec::new(),
            fenced: Vec::new(),
            evicted: false,
            acting: false,
            counters: Counters::default(),
        }
    }

    /// Sets the versions that heartbeats announce; lower versions than before are ignored.
    pub fn set_versions(&mut self, bundle: Version, ledger: Revision) {
        self.bundle = self.bundle.max(bundle);
        self.ledger = self.ledger.max(ledger);
    }

    /// Sets the VMs outside the membership that also get heartbeats, so that a new VM becomes known.
    pub fn set_configured_peers(&mut self, vms: &[Vm]) {
        self.contacts = vms.to_vec();
        self.contacts.sort_unstable();
        self.contacts.dedup();
    }

    /// Does what is due; to be called at least once per heartbeat interval.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let now = self.observe(now);
        let mut actions = Vec::new();
        if now >= self.next {
            // The schedule is fixed, so that delays do not add up; rounds missed during a pause are not made up for.
            self.next = self.next + self.options.heartbeat_interval;
            if self.next <= now {
                self.next = now + self.options.heartbeat_interval;
            }
            self.send_heartbeats(now, &mut actions);
        }
        self.forget(now);
        self.run_campaigns(now, &mut actions);
        self.settle(now, &mut actions);
        actions
    }

    /// Takes a heartbeat of another VM.
    pub fn on_heartbeat(&mut self, now: Instant, heartbeat: &Heartbeat) -> Vec<Action> {
        let now = self.observe(now);
        let mut actions = Vec::new();
        if heartbeat.from.vm == self.me.vm {
            self.counters.misrouted_messages += 1;
            return actions;
        }
        let Some(index) = self.peer_index_or_insert(now, &heartbeat.from) else {
            self.counters.untracked_heartbeats += 1;
            return actions;
        };

        // A duplicate says nothing about the present, so it counts neither as a sign of life nor as a promise.
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
        // A listed pledge does not carry the time left on the voter's promise, so a whole promise is assumed.
        let promise = clock::lengthened(self.options.promise_duration);
        let countable = heartbeat.membership <= self.membership.version;
        let promise_expiry = countable.then_some(now + clock::lengthened(promise));
        for target in heartbeat.pledges.iter().take(MAX_PLEDGES) {
            if *target == self.me {
                self.evict(&mut actions);
            }
            self.learn_pledge(now, &heartbeat.from, target, promise_expiry);
        }
        self.cancel_pre_vote(&heartbeat.from);
        self.settle(now, &mut actions);
        actions
    }

    /// Returns the time until which this VM holds valid promises from a majority of the membership, itself counted.
    #[must_use]
    pub fn valid_until(&self) -> Option<Instant> {
        if !self.is_member() {
            return None;
        }
        let Some(others) = self.membership.majority().checked_sub(2) else {
            // The only member of a cell needs no promise.
            return Some(Instant::from_micros(u64::MAX));
        };
        let mut promises: Vec<Instant> = self
            .peers
            .iter()
            .filter(|peer| self.is_listed(&peer.holder))
            .filter_map(|peer| peer.promised_until)
            .collect();
        promises.sort_unstable_by(|left, right| right.cmp(left));
        promises.get(others).copied()
    }

    /// Returns since when a majority of the membership, this VM included if it is a member, has been heard.
    ///
    /// A VM that is not a member yet has no authority, but it hears what the cell has in force.
    #[must_use]
    pub fn majority_heard_since(&self) -> Option<Instant> {
        let own = usize::from(self.is_member());
        let needed = self.membership.majority().saturating_sub(own);
        let mut heard: Vec<Instant> = self
            .peers
            .iter()
            .filter(|peer| self.is_listed(&peer.holder))
            .filter_map(|peer| peer.last_heard)
            .collect();
        heard.sort_unstable_by(|left, right| right.cmp(left));
        heard.get(needed.checked_sub(1)?).copied()
    }

    /// Returns whether this VM has authority; to be checked at the moment of acting.
    #[must_use]
    pub fn may_act(&self, now: Instant) -> bool {
        self.valid_until().is_some_and(|until| now < until)
    }

    /// Returns whether this VM has established that the incarnation is fenced; that is permanent.
    #[must_use]
    pub fn is_fenced(&self, holder: &Holder) -> bool {
        self.fenced.binary_search(holder).is_ok()
    }

    /// Returns the members that this VM has not heard for the suspicion time.
    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<Holder> {
        self.peers
            .iter()
            .map(|peer| &peer.holder)
            .filter(|holder| self.is_listed(holder) && self.is_suspected(now, holder))
            .cloned()
            .collect()
    }

    /// Returns what is known of other VMs, sorted by holder.
    #[must_use]
    pub fn peers(&self) -> &[Peer] {
        &self.peers
    }

    /// Returns the record of one incarnation.
    #[must_use]
    pub fn peer(&self, holder: &Holder) -> Option<&Peer> {
        self.peer_index(holder).ok().map(|index| &self.peers[index])
    }

    /// Returns whether a member has pledged against this VM or the membership has dropped it.
    #[must_use]
    pub const fn is_evicted(&self) -> bool {
        self.evicted
    }

    /// Returns this VM and its incarnation.
    #[must_use]
    pub const fn me(&self) -> &Holder {
        &self.me
    }

    /// Returns the applied membership.
    #[must_use]
    pub const fn membership(&self) -> &Membership {
        &self.membership
    }

    /// Returns how much input was ignored.
    #[must_use]
    pub const fn counters(&self) -> &Counters {
        &self.counters
    }

    /// Returns whether this VM's incarnation is a member.
    #[must_use]
    pub fn is_member(&self) -> bool {
        self.is_listed(&self.me)
    }

    /// Returns whether this VM has pledged against the incarnation.
    #[must_use]
    pub fn has_pledged_against(&self, target: &Holder) -> bool {
        self.pledges
            .binary_search_by(|pledge| pledge.target.cmp(target))
            .is_ok()
    }

    fn is_listed(&self, holder: &Holder) -> bool {
        self.membership.contains(&holder.vm, holder.incarnation)
    }

    /// Notes the time of an event and detects a pause of this VM.
    fn observe(&mut self, now: Instant) -> Instant {
        if now < self.latest {
            self.counters.clock_regressions += 1;
            return self.latest;
        }
        // After a pause, silence says nothing about the others: their messages may still wait in the sockets.
        if now.saturating_since(self.latest) > self.options.heartbeat_interval * PAUSE {
            self.resumed = now;
        }
        self.latest = now;
        now
    }

    fn is_suspected(&self, now: Instant, holder: &Holder) -> bool {
        self.peer(holder).is_some_and(|peer| {
            let silent = peer.last_heard.unwrap_or(peer.learned_at).max(self.resumed);
            now.saturating_since(silent) >= self.options.suspicion_timeout
        })
    }

    fn send_heartbeats(&mut self, now: Instant, actions: &mut Vec<Action>) {
        self.sequence += 1;
        self.sent.push_back((self.sequence, now));
        let oldest = now - self.options.promise_duration;
        self.sent.retain(|(_, time)| *time >= oldest);

        let pledges = self.announced_pledges();
        let members = self.membership.members.iter().map(|member| &member.vm);
        let mut receivers: Vec<&Vm> = members.chain(&self.contacts).collect();
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
                bundle: self.bundle,
                ledger: self.ledger,
                pledges: pledges.clone(),
            };
            actions.push(Action::Send {
                to: vm.clone(),
                message: Message::Heartbeat(heartbeat),
            });
        }
    }

    /// Returns the promise to the latest incarnation of a VM, if it is due one.
    fn echo(&self, vm: &Vm) -> Option<Echo> {
        let peer = self
            .peers
            .iter()
            .filter(|peer| peer.holder.vm == *vm)
            .max_by_key(|peer| peer.last_heard)?;
        // Only a member votes: a restarted VM has forgotten which promises and pledges it has given.
        let due = self.is_member()
            && peer.last_heard.is_some()
            && peer.membership >= self.membership.version
            && !self.has_pledged_against(&peer.holder);
        due.then_some(Echo {
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
        // The promise counts from the time of sending, however late its echo arrives.
        let Ok(position) = self
            .sent
            .binary_search_by_key(&echo.sequence, |(sequence, _)| *sequence)
        else {
            self.counters.expired_echoes += 1;
            return;
        };
        let until = self.sent[position].1 + clock::shortened(self.options.promise_duration);
        let promise = &mut self.peers[index].promised_until;
        *promise = (*promise).max(Some(until));
    }

    fn peer_index(&self, holder: &Holder) -> Result<usize, usize> {
        self.peers.binary_search_by(|peer| peer.holder.cmp(holder))
    }

    fn peer_index_or_insert(&mut self, now: Instant, holder: &Holder) -> Option<usize> {
        match self.peer_index(holder) {
            Ok(index) => Some(index),
            Err(_) if self.peers.len() >= PEER_LIMIT && !self.is_listed(holder) => None,
            Err(index) => {
                self.peers.insert(index, Peer::new(holder.clone(), now));
                Some(index)
            }
        }
    }

    /// Forgets incarnations outside the membership whose promises have run out long ago.
    fn forget(&mut self, now: Instant) {
        let retention = self.options.promise_duration * RETENTION;
        let membership = &self.membership;
        self.peers.retain(|peer| {
            let last = peer.last_heard.unwrap_or(peer.learned_at);
            membership.contains(&peer.holder.vm, peer.holder.incarnation)
                || now.saturating_since(last) < retention
        });
    }

    fn learn_pledge(
        &mut self,
        now: Instant,
        voter: &Holder,
        target: &Holder,
        promise_expiry: Option<Instant>,
    ) {
        if let Some(index) = self.peer_index_or_insert(now, voter) {
            self.peers[index].record(target, promise_expiry);
        }
    }

    /// Returns whether the voter has pledged and its last promise to `target` has run out.
    fn is_lapsed(&self, now: Instant, voter: &Holder, target: &Holder) -> bool {
        self.peer(voter)
            .and_then(|peer| peer.pledge(target))
            .and_then(|pledge| pledge.promise_expiry)
            .is_some_and(|expiry| expiry <= now)
    }

    fn evict(&mut self, actions: &mut Vec<Action>) {
        if !self.evicted {
            self.evicted = true;
            actions.push(Action::Evicted);
        }
    }

    /// Establishes fences that have become certain and reports changes of authority.
    fn settle(&mut self, now: Instant, actions: &mut Vec<Action>) {
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
            .filter(|target| self.is_majority_lapsed(now, target))
            .cloned()
            .collect();
        for holder in fenced {
            if let Err(index) = self.fenced.binary_search(&holder) {
                self.fenced.insert(index, holder.clone());
            }
            self.cancel_campaign(&holder);
            actions.push(Action::Fenced(holder));
        }

        let acting = self.may_act(now);
        debug_assert!(!acting || self.is_member(), "authority without membership");
        debug_assert!(!self.is_fenced(&self.me), "fenced by itself");
        if acting != self.acting {
            self.acting = acting;
            actions.push(if acting {
                Action::AuthorityGained
            } else {
                Action::AuthorityLost
            });
        }
    }

    /// Returns whether a majority has pledged against `target` and each of its promises to `target` has run out.
    fn is_majority_lapsed(&self, now: Instant, target: &Holder) -> bool {
        let own = self.pledges.iter().filter(|_| self.is_member());
        let others = self
            .peers
            .iter()
            .filter(|peer| self.is_listed(&peer.holder))
            .flat_map(|peer| &peer.pledges);
        let lapsed = own
            .chain(others)
            .filter(|pledge| pledge.target == *target)
            .filter(|pledge| pledge.promise_expiry.is_some_and(|expiry| expiry <= now))
            .count();
        lapsed >= self.membership.majority()
    }

    fn cancel_campaign(&mut self, target: &Holder) {
        self.campaigns.retain(|campaign| campaign.target != *target);
    }
}
