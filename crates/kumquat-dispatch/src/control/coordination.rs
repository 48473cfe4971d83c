//! The `coordination` module provides the coordinator's part of the control loop: it plans ledger changes while this VM
//! holds the coordinator's lease.
//!
//! Safety rests on the compare-and-swap of the ledger and on the rules of the planner, never on the lease. See
//! `docs/design.md`, section 4.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::coordinator::{
    self, Confirmation, Coordinator, GroupReport, ReleaseAck, ServiceLoad, Step, View,
};
use kumquat_protocol::handshake::{Identity, Program};
use kumquat_protocol::wire::{Confirmed, Message, Release, Report};
use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::{Epoch, Operation, Revision, Service, Slot, Vm};
use kumquat_state::ledger::{Holder, Ledger, Member, RoleName};

use kumquat_transport::list;

use super::Control;
use crate::group::Status;
use crate::platform::{self, InForce, Outcome, Written};

/// Longest time between two plans while nothing is reported.
const PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which a new coordinator waits for the other VMs before it writes the first ledger.
///
/// Members that are listed at once need not be added one by one.
const FORMATION: Duration = Duration::from_secs(1);

/// Time without a heartbeat from a coordinator after which other VMs try to obtain the lease.
///
/// It is longer than the lease's time to live, so that the first attempt usually succeeds.
const SILENCE: Duration = Duration::from_millis(2_200);

/// Time for which a majority has to be seen restarted before the cell is formed anew; all promises end within 1.01 s.
const REFORM_AFTER: Duration = Duration::from_secs(3);

/// Time after which an unanswered request for a release is repeated.
const RELEASE_REPEAT: Duration = Duration::from_millis(300);

/// A request for a release that has not been answered.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Asked {
    role: RoleName,
    holder: Holder,
    revision: Revision,
    at: Instant,
}

/// What this VM knows as the coordinator, or needs to know to become it.
#[derive(Debug)]
pub struct Coordination {
    platform: platform::Handle,
    lease: Option<(Epoch, Instant)>,
    planner: Coordinator,
    groups: Vec<GroupReport>,
    released: Vec<ReleaseAck>,
    loads: Vec<ServiceLoad>,
    leaving: Vec<Vm>,
    /// VMs that leave according to the platform's list.
    listed_leaving: Vec<Vm>,
    other: Option<(Vm, Epoch, Instant)>,
    /// What the members have in force, the latest confirmation of each, sorted by holder.
    confirmed: Vec<Confirmation>,
    /// Since when a majority of the members has been restarted, as far as this VM can hear.
    lost_since: Option<Instant>,
    writing: Option<Operation>,
    next_plan: Instant,
    asked: Vec<Asked>,
}

impl Coordination {
    /// Creates the state of a VM that is not the coordinator.
    #[must_use]
    pub fn new(platform: platform::Handle) -> Self {
        Self {
            platform,
            lease: None,
            planner: Coordinator::new(),
            groups: Vec::new(),
            released: Vec::new(),
            loads: Vec::new(),
            leaving: Vec::new(),
            listed_leaving: Vec::new(),
            other: None,
            confirmed: Vec::new(),
            lost_since: None,
            writing: None,
            next_plan: Instant::ORIGIN,
            asked: Vec::new(),
        }
    }

    /// Returns whether this VM holds the coordinator's lease, as far as it knows.
    #[must_use]
    pub const fn is_coordinator(&self) -> bool {
        self.lease.is_some()
    }

    /// Records that a holder has stopped acting for a role.
    pub fn note_released(&mut self, role: RoleName, holder: Holder, revision: Revision) {
        self.released
            .retain(|old| old.role != role || old.holder != holder);
        self.asked
            .retain(|asked| asked.role != role || asked.holder != holder);
        self.released.push(ReleaseAck {
            role,
            holder,
            revision,
        });
        self.next_plan = Instant::ORIGIN;
    }

    /// Records whether a VM is about to stop and wants to hand over its roles.
    pub fn note_leaving(&mut self, vm: &Vm, is_leaving: bool) {
        match (self.leaving.binary_search(vm), is_leaving) {
            (Err(index), true) => self.leaving.insert(index, vm.clone()),
            (Ok(index), false) => drop(self.leaving.remove(index)),
            _ => {}
        }
    }

    /// Records that a VM says it holds the coordinator's lease.
    pub fn note_coordinator(&mut self, now: Instant, vm: &Vm, epoch: Epoch) {
        let newer = self
            .other
            .as_ref()
            .is_none_or(|(_, known, _)| *known <= epoch);
        if newer {
            self.other = Some((vm.clone(), epoch, now));
        }
    }

    /// Returns the epoch of this VM's lease, if it holds it.
    #[must_use]
    pub fn epoch(&self) -> Option<Epoch> {
        self.lease.map(|(epoch, _)| epoch)
    }

    /// Returns the other VM that was last heard to hold the lease.
    fn coordinator(&self, now: Instant) -> Option<&Vm> {
        self.other
            .as_ref()
            .filter(|(_, _, heard)| now.saturating_since(*heard) < SILENCE)
            .map(|(vm, _, _)| vm)
    }

    /// Records what a member has in force.
    pub fn note_confirmed(&mut self, confirmation: Confirmation) {
        let found = self
            .confirmed
            .binary_search_by(|known| known.holder.cmp(&confirmation.holder));
        match found {
            Ok(index) if self.confirmed[index] == confirmation => return,
            Ok(index) => self.confirmed[index] = confirmation,
            Err(index) => self.confirmed.insert(index, confirmation),
        }
        self.next_plan = Instant::ORIGIN;
    }

    fn note_group(&mut self, group: GroupReport) {
        let old = self
            .groups
            .iter()
            .position(|old| old.role == group.role && old.holder == group.holder);
        match old {
            Some(index) => self.groups[index] = group,
            None => self.groups.push(group),
        }
        self.next_plan = Instant::ORIGIN;
    }

    /// Merges the loads of one group into those of its service.
    fn note_load(
        &mut self,
        service: &Service,
        slots: u32,
        loads: &[(u32, u32)],
        keys: &[(u64, u32)],
    ) {
        if !self.loads.iter().any(|load| load.service == *service) {
            self.loads.push(ServiceLoad {
                service: service.clone(),
                slot_rates: Vec::new(),
                key_rates: Vec::new(),
            });
        }
        let Some(load) = self.loads.iter_mut().find(|load| load.service == *service) else {
            return;
        };
        load.slot_rates.resize(slots as usize, 0.0);
        for (slot, rate) in loads {
            if let Some(place) = load.slot_rates.get_mut(*slot as usize) {
                *place = f64::from(*rate);
            }
        }
        for (key, rate) in keys {
            let rate = f64::from(*rate);
            match load.key_rates.iter_mut().find(|(known, _)| known == key) {
                Some(known) => known.1 = rate,
                None => load.key_rates.push((*key, rate)),
            }
        }
    }
}

impl Control {
    /// Records that this VM has got or lost the coordinator's lease.
    pub(super) fn lease(&mut self, epoch: Option<Epoch>) {
        let now = clock::now();
        let coordination = &mut self.coordination;
        let was = coordination.lease.map(|(epoch, _)| epoch);
        if was == epoch {
            return;
        }
        coordination.lease = epoch.map(|epoch| (epoch, now));
        coordination.planner = Coordinator::new();
        coordination.writing = None;
        coordination.asked.clear();
        coordination.confirmed.clear();
        self.metrics.coordinator.set(i64::from(epoch.is_some()));
        match epoch {
            Some(epoch) => {
                slog::info!(self.log, "coordinator lease obtained"; "epoch" => epoch.0);
                self.trail.coordinator(&self.me, epoch);
            }
            None => slog::info!(self.log, "coordinator lease lost"),
        }
    }

    /// Records how a write of the ledger ended; the stored ledger itself arrives as a document.
    pub(super) fn written(&mut self, written: Written) {
        if self.coordination.writing != Some(written.operation) {
            return;
        }
        self.coordination.writing = None;
        self.coordination.next_plan = Instant::ORIGIN;
        if let Outcome::Stored(changes) = written.outcome {
            let revision = self.documents.ledger_revision();
            slog::info!(self.log, "ledger stored"; "revision" => revision.0, "changes" => changes.len(), "first" => changes.first().map(|change| format!("{change:?}")));
            self.trail.ledger_changed(&changes, revision);
        }
    }

    /// Takes the report of a local group and hands it to whoever may be the coordinator.
    pub(super) fn status(&mut self, status: Status) {
        let me = self.me.clone();
        let report = status.into_report();
        self.note_report(me, &report);
        if self.coordination.is_coordinator() {
            return;
        }
        let message = Message::Report(Box::new(report));
        if let Some(vm) = self.coordination.coordinator(clock::now()) {
            self.peers.send(vm, message);
        }
    }

    /// Tells the coordinator which ledger is in force here; moves wait for the confirmations of all holders.
    ///
    /// The groups are those that have been opened under this or an earlier ledger and not closed since.
    pub(super) fn confirm_ledger(&mut self) {
        let revision = self.documents.ledger_revision();
        let acting = self.roles.groups();
        if self.coordination.is_coordinator() {
            return self.coordination.note_confirmed(Confirmation {
                holder: self.me.clone(),
                revision,
                acting,
            });
        }
        if let Some(vm) = self.coordination.coordinator(clock::now()) {
            let confirmed = Confirmed {
                revision: revision.0,
                acting,
            };
            self.peers.send(vm, Message::Confirmed(confirmed));
        }
    }

    /// Takes the report of a peer's group.
    pub(super) fn report(&mut self, peer: &Identity, report: &Report) {
        let holder = Holder {
            vm: peer.vm.clone(),
            incarnation: peer.incarnation,
        };
        self.note_report(holder, report);
    }

    fn note_report(&mut self, holder: Holder, report: &Report) {
        let slots = self
            .documents
            .ledger()
            .and_then(|ledger| ledger.table(&report.service).map(|table| table.slots));
        if let Some(slots) = slots {
            self.coordination
                .note_load(&report.service, slots, &report.loads, &report.hot_keys);
        }
        self.coordination.note_group(GroupReport {
            role: RoleName::Group {
                service: report.service.clone(),
                data_centre: report.data_centre.clone(),
            },
            holder,
            revision: Revision(report.revision),
            held_slots: report
                .held_slots
                .iter()
                .map(|(first, last)| (Slot(*first), Slot(*last)))
                .collect(),
            held_keys: report.held_keys.clone(),
            unreachable: report.unreachable.clone(),
        });
    }

    /// Plans and starts the next step if this VM is the coordinator.
    pub(super) fn coordinate(&mut self, now: Instant) {
        let Some((epoch, since)) = self.coordination.lease else {
            return;
        };
        let idle = self.coordination.writing.is_none() && now >= self.coordination.next_plan;
        let Some(bundle) = self.documents.bundle().filter(|_| idle) else {
            return;
        };
        self.coordination.next_plan = now + PLAN_INTERVAL;
        let ledger = match self.documents.ledger() {
            Some(ledger) => ledger,
            None if now.saturating_since(since) >= FORMATION => Arc::default(),
            None => return,
        };

        // A new coordinator first makes its epoch known, which also gives all holders a new revision to report on.
        if ledger.revision > Revision(0) && ledger.coordinator != epoch {
            let mut next = Ledger::clone(&ledger);
            next.revision = Revision(next.revision.0 + 1);
            return self.write(next, epoch, Vec::new());
        }
        if let Some(next) = self.reformed(now, &ledger) {
            slog::warn!(self.log, "cell formed anew: a majority of its members was restarted";
                "membership" => next.membership.version.0);
            return self.write(next, epoch, Vec::new());
        }
        if let Some(step) = self.plan(now, &bundle, &ledger) {
            match step {
                Step::Write { ledger, changes } => self.write(*ledger, epoch, changes),
                Step::Release { role, holder } => self.ask_release(now, &role, &holder),
            }
        }
    }

    /// Returns the ledger of a cell that has been lost for long enough for all promises to have ended.
    fn reformed(&mut self, now: Instant, ledger: &Ledger) -> Option<Ledger> {
        let since = self.coordination.lost_since?;
        if now.saturating_since(since) < REFORM_AFTER {
            return None;
        }
        coordinator::reform(ledger, &self.live(now))
    }

    /// Notes since when a majority of the members has been restarted.
    fn watch_for_loss(&mut self, now: Instant) {
        let is_lost = !self.authority.may_act(now)
            && self
                .documents
                .ledger()
                .is_some_and(|ledger| coordinator::reform(&ledger, &self.live(now)).is_some());
        self.coordination.lost_since = if is_lost {
            self.coordination.lost_since.or(Some(now))
        } else {
            None
        };
    }

    fn plan(
        &mut self,
        now: Instant,
        bundle: &kumquat_state::bundle::Bundle,
        ledger: &Ledger,
    ) -> Option<Step> {
        let live = self.live(now);
        let authority = &self.authority;
        let coordination = &mut self.coordination;
        if self.leaving {
            coordination.note_leaving(&self.me.vm, true);
        }
        let mut leaving = coordination.leaving.clone();
        leaving.extend(coordination.listed_leaving.iter().cloned());
        leaving.sort_unstable();
        leaving.dedup();
        let view = View {
            ledger,
            bundle,
            live: &live,
            leaving: &leaving,
            is_fenced: &|holder| authority.is_fenced(holder),
            may_change_membership: &|membership| authority.may_change_membership(now, membership),
            group_reports: &coordination.groups,
            confirmations: &coordination.confirmed,
            release_acks: &coordination.released,
            service_loads: &coordination.loads,
        };
        coordination.planner.plan(now, &view)
    }

    fn write(&mut self, mut ledger: Ledger, epoch: Epoch, changes: Vec<coordinator::Change>) {
        let operation = Operation(rand::random());
        ledger.coordinator = epoch;
        ledger.operation = operation;
        // A queue that is full means that earlier writes still wait for the store.
        if self.coordination.platform.write(ledger, changes) {
            self.coordination.writing = Some(operation);
        }
    }

    fn ask_release(&mut self, now: Instant, role: &RoleName, holder: &Holder) {
        let revision = self.documents.ledger_revision();
        let asked = &mut self.coordination.asked;
        // A release counts for one revision only, so a new revision needs a new one.
        asked.retain(|asked| {
            now.saturating_since(asked.at) < RELEASE_REPEAT && asked.revision == revision
        });
        if asked
            .iter()
            .any(|asked| asked.role == *role && asked.holder == *holder)
        {
            return;
        }
        asked.push(Asked {
            role: role.clone(),
            holder: holder.clone(),
            revision,
            at: now,
        });
        if *holder == self.me {
            return self.roles.release(role, revision);
        }
        let release = Release {
            role: role.clone(),
            revision: revision.0,
            done: false,
            bucket: None,
        };
        self.peers.send(&holder.vm, Message::Release(release));
    }

    /// Returns the VMs that are alive: this one and those whose heartbeats arrive.
    fn live(&self, now: Instant) -> Vec<Member> {
        let mut live = vec![self.member()];
        for identity in self.peers.identities() {
            let holder = Holder {
                vm: identity.vm.clone(),
                incarnation: identity.incarnation,
            };
            let heard = self
                .authority
                .peer(&holder)
                .and_then(|peer| peer.last_heard);
            let is_heard =
                heard.is_some_and(|heard| now.saturating_since(heard) < Duration::from_millis(600));
            if identity.program == Program::Dispatch && is_heard {
                live.push(Member {
                    vm: identity.vm.clone(),
                    incarnation: identity.incarnation,
                    data_centre: identity.data_centre.clone(),
                    address: identity.address,
                });
            }
        }
        live.sort_by(|a, b| a.vm.cmp(&b.vm));
        live
    }

    /// Tells the store tasks whether to hold the coordinator's lease and whether to watch the store.
    pub(super) fn direct_platform(&mut self, now: Instant) {
        self.watch_for_loss(now);
        let coordination = &self.coordination;
        // A coordinator that is cut off from the majority can plan nothing, but would keep the lease as long as it
        // reaches the store. Until there is a cell, nobody has authority.
        let is_formed = !self.authority.membership().members.is_empty();
        let campaign = !self.leaving
            && (!is_formed || self.authority.may_act(now) || coordination.lost_since.is_some())
            && (coordination.is_coordinator() || coordination.coordinator(now).is_none());
        // Few VMs watch the store: the coordinator, one per data centre, and those whom no majority keeps up to date.
        let relaxed = self.authority.may_act(now);
        let watch = coordination.is_coordinator() || !relaxed || self.is_deputy(now);
        coordination.platform.direct(campaign, watch, relaxed);
    }

    /// Takes the platform's list of VMs as a hint: unknown VMs are connected to, leaving ones hand over their roles.
    pub(super) fn listed(&mut self, vms: &[list::Vm]) {
        for listed in vms {
            self.peers.add_listed(&listed.vm, listed.address);
        }
        let leaving: Vec<Vm> = vms
            .iter()
            .filter(|listed| listed.state == list::State::Leaving)
            .map(|listed| listed.vm.clone())
            .collect();
        // A list that shows most of the cell as leaving is more likely to be wrong.
        let members = self.authority.membership().members.len();
        self.coordination.listed_leaving = if leaving.len() * 2 < members {
            leaving
        } else {
            Vec::new()
        };
    }

    /// Reports what the VMs of the cell have in force, if this VM is the coordinator.
    pub(super) fn report_status(&self, now: Instant) {
        let mut report = Vec::new();
        if self.coordination.is_coordinator() {
            report.push(InForce {
                vm: self.me.vm.clone(),
                version: self.documents.bundle_version().0,
                ledger: self.documents.ledger_revision().0,
            });
            let suspects = self.authority.suspects(now);
            let heard = self.authority.peers().iter().filter(|peer| {
                peer.last_heard.is_some()
                    && !suspects.contains(&peer.holder)
                    && self.is_connected(&peer.holder)
            });
            report.extend(heard.map(|peer| InForce {
                vm: peer.holder.vm.clone(),
                version: peer.bundle.0,
                ledger: peer.ledger.0,
            }));
            report.sort_by(|a, b| a.vm.cmp(&b.vm));
        }
        self.coordination.platform.set_status(report);
    }

    fn is_connected(&self, holder: &Holder) -> bool {
        self.peers
            .identities()
            .any(|identity| identity.vm == holder.vm && identity.incarnation == holder.incarnation)
    }

    /// Returns whether this VM has the lowest name of the live members in its data centre.
    fn is_deputy(&self, now: Instant) -> bool {
        let suspects = self.authority.suspects(now);
        self.authority
            .membership()
            .members
            .iter()
            .filter(|member| member.data_centre == self.data_centre)
            .find(|member| !suspects.iter().any(|suspect| suspect.vm == member.vm))
            .is_none_or(|member| member.vm == self.me.vm)
    }
}
