//! The `ownership` module provides which upstream of a group owns a key, and the grants that back it.

use std::time::Duration;

use kumquat_coordination::dispatch::Outcome;
use kumquat_coordination::grant::{
    Grantor, Grants, KeyGrant, Options, Order, Reply, SlotRange, Target,
};
use kumquat_protocol::wire;
use kumquat_state::bundle::{Bundle, Service, ServiceKind};
use kumquat_state::clock::{self, Instant};
use kumquat_state::hash;
use kumquat_state::ident::{self, FencingToken, Request, Revision, Slot};
use kumquat_state::ledger::Ledger;
use kumquat_state::slots::{Owner as Owned, SlotTable};

use super::Context;
use super::attempt::Ended;
use super::failing::{Failing, Patience};
use super::upstreams::Upstreams;
use crate::hot::{Load, Rates};
use crate::permit::Permit;

/// Time between two reports to the coordinator while nothing changes.
const REPORT_EVERY: Duration = Duration::from_millis(500);

/// Time between two reports while a move is under way; a planned move waits for them.
const REPORT_FAST: Duration = Duration::from_millis(10);

/// Time without a reply after which an upstream counts as unreachable.
///
/// Two renewals fit into it, so that a single lost one does not start a move.
const UNREACHABLE: Duration = Duration::from_millis(600);

/// Time that an upstream may take to answer an order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(200);

/// What an upstream has to be shown with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pass {
    /// Fencing token of the acting holder.
    pub fence: FencingToken,
}

/// State of a group's upstreams for the coordinator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Status {
    /// The group's service.
    pub service: ident::Service,
    /// The group's data centre.
    pub data_centre: ident::DataCentre,
    /// Ledger revision on which the report rests.
    pub revision: Revision,
    /// Upstreams that have not replied for a while.
    pub unreachable: Vec<ident::Upstream>,
    /// Slots without an owner that an upstream of the group may still hold.
    pub held_slots: Vec<Slot>,
    /// Placed keys without an owner that an upstream of the group may still hold.
    pub held_keys: Vec<u64>,
    /// Load by slot and key, once per period.
    pub rates: Rates,
}

impl Status {
    /// Returns the report as it travels to the coordinator.
    #[must_use]
    pub fn into_report(self) -> wire::Report {
        let mut held_slots: Vec<(u32, u32)> = Vec::new();
        for slot in self.held_slots {
            match held_slots.last_mut() {
                Some((_, last)) if *last + 1 == slot.0 => *last = slot.0,
                _ => held_slots.push((slot.0, slot.0)),
            }
        }
        wire::Report {
            service: self.service,
            data_centre: self.data_centre,
            revision: self.revision.0,
            unreachable: self.unreachable,
            held_slots,
            held_keys: self.held_keys,
            hot_keys: self.rates.keys,
            loads: self.rates.slots,
        }
    }
}

/// Ownership within one group.
#[derive(Debug)]
pub struct Ownership {
    service: ident::Service,
    kind: ServiceKind,
    longest_request: Duration,
    table: Option<SlotTable>,
    revision: Revision,
    // Sorted by upstream.
    owners: Vec<Owner>,
    // Sorted by attempt, with the time of sending.
    attempts: Vec<(u64, ident::Upstream, Instant)>,
    next_report: Instant,
    started: Instant,
    load: Load,
}

#[derive(Debug)]
struct Owner {
    upstream: ident::Upstream,
    checks_grants: bool,
    grantor: Grantor,
    wanted: Grants,
    known_since: Instant,
    failing: Failing,
}

impl Ownership {
    /// Creates the ownership of a group without upstreams.
    #[must_use]
    pub fn new(service: &Service) -> Self {
        let now = clock::now();
        Self {
            service: service.name.clone(),
            kind: service.kind,
            longest_request: service.deadline,
            table: None,
            revision: Revision(0),
            owners: Vec::new(),
            attempts: Vec::new(),
            next_report: now,
            started: now,
            load: Load::new(now),
        }
    }

    /// Takes bundle and ledger; grants of known upstreams go on.
    pub fn configure(&mut self, bundle: &Bundle, ledger: &Ledger, centre: &ident::DataCentre) {
        self.revision = ledger.revision;
        self.next_report = self.next_report.min(clock::now());
        if self.kind != ServiceKind::Keyed {
            return;
        }
        self.table = ledger.table(&self.service).cloned();
        let mut owners = Vec::new();
        for upstream in &bundle.upstreams {
            if upstream.service != self.service || upstream.data_centre != *centre {
                continue;
            }
            let mut owner = self.take_owner(&upstream.name, upstream.checks_grants);
            owner.wanted = self
                .table
                .as_ref()
                .map(|table| grants(table, &upstream.name))
                .unwrap_or_default();
            owners.push(owner);
        }
        // An upstream that left the bundle keeps its grantor until its grants have lapsed.
        for mut owner in self.owners.drain(..) {
            let lapses = owner.grantor.expires_at();
            if lapses.is_some_and(|lapses| clock::now() < lapses) {
                owner.wanted = Grants::default();
                owners.push(owner);
            }
        }
        owners.sort_by(|a, b| a.upstream.cmp(&b.upstream));
        self.owners = owners;
    }

    /// Returns the upstream that owns the request's key and may run it now.
    pub fn target(&mut self, now: Instant, request: &wire::Request) -> Option<ident::Upstream> {
        let key = request.key?;
        let table = self.table.as_ref()?;
        let target = target(table, key);
        let is_placed = table
            .placements
            .binary_search_by_key(&key, |placement| placement.key)
            .is_ok();
        let owner = self.find(&table.owner(key)?.upstream)?;
        // Its grant may last a little longer, but a request would wait there for nothing.
        if self.is_unreachable(owner, now) {
            return None;
        }
        owner.grantor.authorise(now, target)?;
        let upstream = owner.upstream.clone();
        self.load.count(now, target.slot.0, key, is_placed);
        Some(upstream)
    }

    /// Registers an attempt and returns what the upstream has to be shown; none if it may not be sent now.
    pub fn begin(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        attempt: u64,
        request: &wire::Request,
        deadline: Instant,
    ) -> Option<Pass> {
        let target = target(self.table.as_ref()?, request.key?);
        let index = self.position(upstream).ok()?;
        let owner = &mut self.owners[index];
        let (_, fence) = owner.grantor.authorise(now, target)?;
        let ends = now + clock::lengthened(now.until(deadline));
        owner
            .grantor
            .begin_request(Request(u128::from(attempt)), target, ends);

        let place = self
            .attempts
            .partition_point(|(number, ..)| *number < attempt);
        self.attempts
            .insert(place, (attempt, upstream.clone(), now));
        Some(Pass { fence })
    }

    /// Takes note that an attempt has ended.
    pub fn attempt_ended(&mut self, now: Instant, attempt: u64, outcome: Outcome) {
        let found = self
            .attempts
            .binary_search_by_key(&attempt, |(number, ..)| *number);
        let Ok(place) = found else { return };
        let (_, upstream, sent) = self.attempts.remove(place);
        let Ok(index) = self.position(&upstream) else {
            return;
        };
        let patience = Patience {
            connection: UNREACHABLE,
            answer: self.longest_request * 2,
        };
        let owner = &mut self.owners[index];
        let ran = now.saturating_since(sent);
        owner.failing.note(now, outcome, ran, patience);
        // An upstream without grants may go on with a request whose connection is gone, until its deadline.
        let is_over = !matches!(outcome, Outcome::Broken | Outcome::TimedOut);
        if is_over || owner.checks_grants {
            owner.grantor.end_request(Request(u128::from(attempt)));
        }
    }

    /// Handles the end of an order and returns the boot id that the upstream stated.
    pub fn order_ended(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        (sequence, reply): (u64, Option<Reply>),
    ) -> Option<u64> {
        let index = self.position(upstream).ok()?;
        let grantor = &mut self.owners[index].grantor;
        let Some(reply) = reply else {
            grantor.on_failure(now, sequence);
            return None;
        };
        grantor.on_reply(now, &reply);
        Some(reply.boot_id.0)
    }

    /// Sends the orders that are due.
    pub fn tick(&mut self, now: Instant, permit: &Permit, upstreams: &Upstreams) {
        let slots = self.table.as_ref().map_or(1, |table| table.slots);
        for owner in &mut self.owners {
            let order = owner
                .grantor
                .tick(now, permit.until(), permit.fence(), &owner.wanted);
            if let Some(order) = order {
                send(owner.upstream.clone(), order, slots, upstreams);
            }
        }
    }

    /// Returns the report for the coordinator if it is due.
    pub fn status(&mut self, now: Instant, context: &Context) -> Option<Status> {
        if now < self.next_report {
            return None;
        }
        let (held_slots, held_keys, moving) = self.held();
        self.next_report = now + if moving { REPORT_FAST } else { REPORT_EVERY };
        Some(Status {
            service: context.service.name.clone(),
            data_centre: context.data_centre.clone(),
            revision: self.revision,
            unreachable: self.unreachable(now),
            held_slots,
            held_keys,
            rates: self.load.take(now).unwrap_or_default(),
        })
    }

    /// Returns the slots and keys without an owner that are still held, and whether any is moving at all.
    fn held(&self) -> (Vec<Slot>, Vec<u64>, bool) {
        let Some(table) = &self.table else {
            return (Vec::new(), Vec::new(), false);
        };
        let moving: Vec<Slot> = table
            .spans()
            .filter(|(_, _, owner)| owner.is_none())
            .flat_map(|(first, last, _)| (first.0..=last.0).map(Slot))
            .collect();
        let keys: Vec<u64> = table
            .placements
            .iter()
            .filter(|placement| placement.owner.is_none())
            .map(|placement| placement.key)
            .collect();
        let is_moving = !moving.is_empty() || !keys.is_empty();
        let held_slots = moving
            .into_iter()
            .filter(|slot| {
                self.owners
                    .iter()
                    .any(|owner| owner.grantor.may_hold_slot(*slot))
            })
            .collect();
        let held_keys = keys
            .into_iter()
            .filter(|key| {
                let target = target(table, *key);
                self.owners
                    .iter()
                    .any(|owner| owner.grantor.may_hold_key(target))
            })
            .collect();
        (held_slots, held_keys, is_moving)
    }

    /// Returns the upstreams that have not replied to orders for a while.
    ///
    /// Their grants lapse, so that requests which still run on them can be given up.
    pub fn silent(&self, now: Instant) -> Vec<ident::Upstream> {
        self.names(|owner| self.is_silent(owner, now))
    }

    fn unreachable(&self, now: Instant) -> Vec<ident::Upstream> {
        self.names(|owner| self.is_unreachable(owner, now))
    }

    fn names(&self, matches: impl Fn(&Owner) -> bool) -> Vec<ident::Upstream> {
        let owners = self.owners.iter().filter(|owner| matches(owner));
        owners.map(|owner| owner.upstream.clone()).collect()
    }

    fn is_unreachable(&self, owner: &Owner, now: Instant) -> bool {
        self.is_silent(owner, now) || (!owner.checks_grants && owner.failing.is_lost(now))
    }

    fn is_silent(&self, owner: &Owner, now: Instant) -> bool {
        let since = owner.grantor.last_reply_at().unwrap_or(owner.known_since);
        // A new holder has heard nobody yet.
        now.saturating_since(self.started) >= UNREACHABLE
            && owner.checks_grants
            && now.saturating_since(since) > UNREACHABLE
    }

    fn take_owner(&mut self, name: &ident::Upstream, checks_grants: bool) -> Owner {
        match self.position(name) {
            Ok(index) if self.owners[index].checks_grants == checks_grants => {
                self.owners.remove(index)
            }
            _ => Owner {
                upstream: name.clone(),
                checks_grants,
                grantor: Grantor::new(Options {
                    checks_grants,
                    max_request_duration: self.longest_request,
                }),
                wanted: Grants::default(),
                known_since: clock::now(),
                failing: Failing::default(),
            },
        }
    }

    fn find(&self, name: &ident::Upstream) -> Option<&Owner> {
        self.position(name).ok().map(|index| &self.owners[index])
    }

    fn position(&self, name: &ident::Upstream) -> Result<usize, usize> {
        self.owners
            .binary_search_by(|owner| owner.upstream.cmp(name))
    }
}

/// Sends an order from a task of its own, so that a slow upstream holds up no other.
fn send(upstream: ident::Upstream, order: Order, slots: u32, upstreams: &Upstreams) {
    let Some(client) = upstreams.client(&upstream).cloned() else {
        return;
    };
    let ended = upstreams.ended().clone();
    tokio::spawn(async move {
        let sequence = order.sequence;
        let reply = client.order(&order, slots, ORDER_TIMEOUT).await.ok();
        let event = Ended::Order {
            upstream,
            reply: (sequence, reply),
        };
        // The group may have ended meanwhile; then nobody needs the reply.
        drop(ended.send(event));
    });
}

/// Returns what the table gives to one upstream.
fn grants(table: &SlotTable, upstream: &ident::Upstream) -> Grants {
    let owns = |owner: &Owned| owner.upstream == *upstream;
    let slot_ranges: Vec<SlotRange> = table
        .spans()
        .filter_map(|(first, last, owner)| {
            let owner = owner.filter(|owner| owns(owner))?;
            Some(SlotRange {
                first,
                last,
                epoch: owner.epoch,
            })
        })
        .collect();
    let mut grants = Grants {
        slot_ranges,
        ..Grants::default()
    };
    for placement in &table.placements {
        if let Some(owner) = placement.owner.as_ref().filter(|owner| owns(owner)) {
            grants.keys.push(KeyGrant {
                hash: placement.key,
                epoch: owner.epoch,
            });
        } else if grants.has_slot(hash::slot(placement.key, table.slots)) {
            grants.excluded_keys.push(placement.key);
        }
    }
    grants
}

fn target(table: &SlotTable, key: u64) -> Target {
    Target {
        slot: hash::slot(key, table.slots),
        key,
    }
}
