//! Simulated cluster for the tests of the coordinator, in which VMs have outdated ledgers and upstreams hold grants.

use std::collections::{BTreeMap, BTreeSet};

use kumquat_coordination::coordinator::{
    Confirmation, Coordinator, GroupReport, ReleaseAck, ServiceLoad, Step, View,
};
use kumquat_state::bundle::{
    Bundle, DataCentre, Placement, Service, ServiceKind, Team, Upstream, UpstreamState,
};
use kumquat_state::clock::Instant;
use kumquat_state::hash;
use kumquat_state::ident::{self, Incarnation, Slot};
use kumquat_state::ledger::{Holder, Ledger, Member, Membership, Role, RoleName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

pub const SLOT_COUNT: u32 = 64;
pub const DATA_CENTRE_COUNT: usize = 3;

pub fn parse<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

pub fn data_centre(number: usize) -> ident::DataCentre {
    parse(&format!("dc-{}", number % DATA_CENTRE_COUNT))
}

pub fn service() -> ident::Service {
    parse("catalogue")
}

pub fn key_hashes() -> [u64; 3] {
    [b"pump", b"reel", b"seal"].map(|key| hash::key(key))
}

pub struct Vm {
    pub member: Member,
    pub is_up: bool,
    pub is_paused: bool,
    /// Learns of new ledgers with 30 times the delay of other VMs.
    pub learns_late: bool,
    pub ledger: Ledger,
    /// Groups for which the VM reports that it acts or has acted.
    pub reported_groups: Vec<RoleName>,
}

/// Slots and keys that an upstream holds, and whether it is reachable.
#[derive(Default)]
pub struct UpstreamHoldings {
    pub data_centre: usize,
    pub slots: BTreeSet<u32>,
    pub keys: BTreeSet<u64>,
    pub is_unreachable: bool,
}

pub struct SimulatedCluster {
    pub rng: StdRng,
    pub now_us: u64,
    pub ledger: Ledger,
    pub bundle: Bundle,
    pub coordinator: Coordinator,
    pub vms: Vec<Vm>,
    pub fenced: BTreeSet<Holder>,
    pub released: Vec<ReleaseAck>,
    pub reports: Vec<GroupReport>,
    pub upstreams: BTreeMap<ident::Upstream, UpstreamHoldings>,
    pub loads: Vec<ServiceLoad>,
    pub leaving: Vec<ident::Vm>,
    /// Ledger writes, slots assigned to an upstream, and roles released so far.
    pub ledger_writes: u32,
    pub assigned_slots: u32,
    pub releases: u32,
}

pub fn upstream(number: usize) -> Upstream {
    Upstream {
        name: parse(&format!("shelf-{number:02}")),
        address: "127.0.0.1:9000".parse().expect("an address"),
        service: service(),
        data_centre: data_centre(number),
        slots: 3,
        cold_slots: 1,
        cold_step: 8,
        connections: 50,
        checks_grants: true,
        state: UpstreamState::Active,
    }
}

pub fn team(number: usize) -> Team {
    Team {
        name: parse(&format!("team-{number}")),
        rate: 100,
        burst: 50,
        weight: 1,
    }
}

pub fn bundle(upstreams: usize, teams: usize) -> Bundle {
    let mut bundle = Bundle {
        teams: (0..teams).map(team).collect(),
        services: vec![Service {
            name: service(),
            kind: ServiceKind::Keyed,
            slots: SLOT_COUNT,
            deadline: std::time::Duration::from_secs(1),
            data_centres: (0..DATA_CENTRE_COUNT).map(data_centre).collect(),
        }],
        upstreams: (0..upstreams).map(upstream).collect(),
        data_centres: (0..DATA_CENTRE_COUNT)
            .map(|number| DataCentre {
                name: data_centre(number),
                active: true,
            })
            .collect(),
        ..Bundle::default()
    };
    bundle.sort();
    bundle
}

pub fn holder(member: &Member) -> Holder {
    Holder {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    }
}

impl SimulatedCluster {
    pub fn new(seed: u64, vms: usize, upstreams: usize, teams: usize) -> Self {
        let vms = (0..vms)
            .map(|number| Vm {
                member: Member {
                    vm: parse(&format!("vm-{number}")),
                    incarnation: Incarnation(1),
                    data_centre: data_centre(number),
                    address: "127.0.0.1:7000".parse().expect("an address"),
                },
                is_up: true,
                is_paused: false,
                learns_late: false,
                ledger: Ledger::default(),
                reported_groups: Vec::new(),
            })
            .collect();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            now_us: 0,
            ledger: Ledger::default(),
            bundle: bundle(upstreams, teams),
            coordinator: Coordinator::new(),
            vms,
            fenced: BTreeSet::new(),
            released: Vec::new(),
            reports: Vec::new(),
            upstreams: BTreeMap::new(),
            loads: Vec::new(),
            leaving: Vec::new(),
            ledger_writes: 0,
            assigned_slots: 0,
            releases: 0,
        };
        for number in 0..upstreams {
            world.add_upstream(number);
        }
        world
    }

    pub fn add_upstream(&mut self, number: usize) {
        let upstream = upstream(number);
        let held = self.upstreams.entry(upstream.name.clone()).or_default();
        held.data_centre = number % DATA_CENTRE_COUNT;
        let is_known = |other: &Upstream| other.name == upstream.name;
        if !self.bundle.upstreams.iter().any(is_known) {
            self.bundle.upstreams.push(upstream);
            self.bundle.sort();
        }
    }

    pub fn one_in(&mut self, probability_denominator: u32) -> bool {
        self.rng.random_range(0..probability_denominator) == 0
    }

    /// Returns the VM that acts for the role according to its own, possibly outdated ledger.
    ///
    /// Panics if there are two, which the rules for ledger changes exclude.
    fn acting_vm(&self, role: &RoleName) -> Option<usize> {
        let acting_vms: Vec<usize> = (0..self.vms.len())
            .filter(|index| self.is_acting(*index, role))
            .collect();
        assert!(
            acting_vms.len() <= 1,
            "several VMs act for {role:?} at revision {}",
            self.ledger.revision
        );
        acting_vms.first().copied()
    }

    fn is_acting(&self, index: usize, role: &RoleName) -> bool {
        let vm = &self.vms[index];
        let own_holder = holder(&vm.member);
        let is_member = vm
            .ledger
            .membership
            .contains(&own_holder.vm, own_holder.incarnation);
        if !vm.is_up || !is_member || self.fenced.contains(&own_holder) {
            return false;
        }
        let has_released = self.released.iter().any(|released| {
            released.role == *role
                && released.holder == own_holder
                && released.revision >= vm.ledger.revision
        });
        !has_released
            && vm.ledger.role(role).is_some_and(|role| {
                let first = role
                    .holders
                    .iter()
                    .find(|holder| !self.fenced.contains(holder));
                first == Some(&own_holder)
            })
    }

    /// Propagates ledgers to VMs, grants to upstreams and reports to the coordinator.
    ///
    /// A VM learns of the ledger, and a slot or key is released, with a chance of one in `mean_delay` per call.
    pub fn propagate(&mut self, mean_delay: u32) {
        for index in 0..self.vms.len() {
            let delay_factor = if self.vms[index].learns_late { 30 } else { 1 };
            let vm = &self.vms[index];
            if vm.is_up && !vm.is_paused && self.one_in(mean_delay * delay_factor) {
                self.vms[index].ledger = self.ledger.clone();
            }
        }
        let mut roles: Vec<RoleName> = Vec::new();
        for ledger in self.vms.iter().map(|vm| &vm.ledger).chain([&self.ledger]) {
            roles.extend(ledger.roles.iter().map(|role| role.name.clone()));
        }
        roles.sort();
        roles.dedup();
        for role in roles {
            let acting_vm = self.acting_vm(&role);
            if let RoleName::Group { data_centre, .. } = &role
                && let Some(acting_vm) = acting_vm
                && !self.vms[acting_vm].is_paused
            {
                self.apply_grants(acting_vm, data_centre, mean_delay);
                self.report_holdings(acting_vm, &role, data_centre);
            }
        }
        // Grants of unreachable upstreams expire.
        for held in self.upstreams.values_mut() {
            if held.is_unreachable && self.rng.random_range(0..20) == 0 {
                held.slots.clear();
                held.keys.clear();
            }
        }
    }

    fn apply_grants(&mut self, acting_vm: usize, data_centre: &ident::DataCentre, mean_delay: u32) {
        let Some(table) = self.vms[acting_vm].ledger.table(&service()).cloned() else {
            return;
        };
        for (name, held) in &mut self.upstreams {
            if self::data_centre(held.data_centre) != *data_centre || held.is_unreachable {
                continue;
            }
            for slot in 0..table.slots {
                let owner = table.slot_owner(Slot(slot));
                if owner.is_some_and(|owner| owner.upstream == *name) {
                    held.slots.insert(slot);
                } else if self.rng.random_range(0..mean_delay) == 0 {
                    // Requests in flight may delay the release of a slot.
                    held.slots.remove(&slot);
                }
            }
            for key in key_hashes() {
                let owner = table.owner(key);
                if owner.is_some_and(|owner| owner.upstream == *name) {
                    held.keys.insert(key);
                } else if self.rng.random_range(0..mean_delay) == 0 {
                    held.keys.remove(&key);
                }
            }
        }
    }

    fn report_holdings(
        &mut self,
        acting_vm: usize,
        role: &RoleName,
        data_centre: &ident::DataCentre,
    ) {
        let vm = &self.vms[acting_vm];
        let group: Vec<(&ident::Upstream, &UpstreamHoldings)> = self
            .upstreams
            .iter()
            .filter(|(_, held)| self::data_centre(held.data_centre) == *data_centre)
            .collect();
        let keys: BTreeSet<u64> = group
            .iter()
            .flat_map(|(_, held)| held.keys.iter().copied())
            .collect();
        // A request in flight for a key that its upstream no longer owns delays the release of the whole slot.
        let table = vm.ledger.table(&service());
        let keys_in_use = group.iter().flat_map(|(name, held)| {
            held.keys.iter().copied().filter(move |key| {
                let owner = table.and_then(|table| table.owner(*key));
                owner.is_none_or(|owner| owner.upstream != **name)
            })
        });
        let slots: BTreeSet<u32> = group
            .iter()
            .flat_map(|(_, held)| held.slots.iter().copied())
            .chain(keys_in_use.map(|key| hash::slot(key, SLOT_COUNT).0))
            .collect();
        let report = GroupReport {
            role: role.clone(),
            holder: holder(&vm.member),
            revision: vm.ledger.revision,
            held_slots: slots
                .iter()
                .map(|slot| (Slot(*slot), Slot(*slot)))
                .collect(),
            held_keys: keys.into_iter().collect(),
            unreachable: group
                .iter()
                .filter(|(_, held)| held.is_unreachable)
                .map(|(name, _)| (*name).clone())
                .collect(),
        };
        self.reports
            .retain(|other| other.role != *role || other.holder != report.holder);
        self.reports.push(report);
    }

    /// Lets the coordinator plan its next step and carries it out; returns whether there was one.
    pub fn run_coordinator(&mut self) -> bool {
        self.now_us += 20_000;
        let live: Vec<Member> = self
            .vms
            .iter()
            .filter(|vm| vm.is_up && !vm.is_paused)
            .map(|vm| vm.member.clone())
            .collect();
        let confirmations: Vec<Confirmation> = self
            .vms
            .iter()
            .filter(|vm| vm.is_up)
            .map(|vm| Confirmation {
                holder: holder(&vm.member),
                revision: vm.ledger.revision,
                acting: vm.reported_groups.clone(),
            })
            .collect();
        let may_change = |candidate: &Membership| {
            let live_members = candidate
                .members
                .iter()
                .filter(|member| live.contains(member))
                .count();
            live_members >= candidate.majority()
        };
        let step = self.coordinator.plan(
            Instant::from_micros(self.now_us),
            &View {
                ledger: &self.ledger,
                bundle: &self.bundle,
                live: &live,
                leaving: &self.leaving,
                is_fenced: &|holder| self.fenced.contains(holder),
                may_change_membership: &may_change,
                group_reports: &self.reports,
                confirmations: &confirmations,
                release_acks: &self.released,
                service_loads: &self.loads,
            },
        );
        match step {
            Some(Step::Write { ledger, changes }) => {
                assert!(!changes.is_empty(), "a write without changes");
                self.assert_write_is_valid(&ledger);
                self.ledger = *ledger;
                self.ledger_writes += 1;
                true
            }
            Some(Step::Release {
                role,
                holder: requested_holder,
            }) => {
                let vm = self
                    .vms
                    .iter()
                    .find(|vm| holder(&vm.member) == requested_holder && vm.is_up && !vm.is_paused);
                let revision = vm.map(|vm| vm.ledger.revision);
                if let Some(revision) = revision {
                    self.releases += 1;
                    self.released.push(ReleaseAck {
                        role,
                        holder: requested_holder,
                        revision,
                    });
                }
                true
            }
            None => false,
        }
    }

    /// Asserts that a write follows the rules of `docs/design.md`, independently of the planner.
    fn assert_write_is_valid(&mut self, next: &Ledger) {
        let previous = &self.ledger;
        assert_eq!(next.revision.0, previous.revision.0 + 1);

        let vms = |ledger: &Ledger| -> BTreeSet<(ident::Vm, Incarnation)> {
            let members = &ledger.membership.members;
            members
                .iter()
                .map(|member| (member.vm.clone(), member.incarnation))
                .collect()
        };
        let (old, new) = (vms(previous), vms(next));
        let changed_vms: BTreeSet<&ident::Vm> =
            old.symmetric_difference(&new).map(|(vm, _)| vm).collect();
        assert!(
            changed_vms.len() <= 1 || old.is_empty(),
            "more than one member changes"
        );
        let version_increase = u64::from(!changed_vms.is_empty());
        assert_eq!(
            next.membership.version.0,
            previous.membership.version.0 + version_increase
        );
        for (vm, incarnation) in old.difference(&new) {
            let removed_holder = Holder {
                vm: vm.clone(),
                incarnation: *incarnation,
            };
            assert!(
                self.fenced.contains(&removed_holder),
                "{removed_holder:?} is not fenced"
            );
        }

        for role in &previous.roles {
            let new_role = next.role(&role.name);
            self.assert_holders_change_safely(
                role,
                new_role.map_or(&[], |new_role| &new_role.holders),
            );
            if let Some(new_role) = new_role {
                assert!(new_role.epoch >= role.epoch);
                assert!(new_role.holders == role.holders || new_role.epoch > role.epoch);
            }
        }
        if let (Some(old_table), Some(new_table)) =
            (previous.table(&service()), next.table(&service()))
        {
            for slot in 0..SLOT_COUNT {
                let (from, to) = (
                    old_table.slot_owner(Slot(slot)),
                    new_table.slot_owner(Slot(slot)),
                );
                if from == to {
                    continue;
                }
                assert!(
                    from.is_none() || to.is_none(),
                    "slot {slot} moves without a revision in which it has no owner"
                );
                if let Some(to) = to {
                    assert!(to.epoch.0 > previous.revision.0);
                    self.assigned_slots += 1;
                    let held: Vec<_> = self
                        .upstreams
                        .iter()
                        .filter(|(_, held)| held.slots.contains(&slot))
                        .collect();
                    assert!(
                        held.is_empty(),
                        "slot {slot} is assigned while another upstream holds it"
                    );
                }
            }
        }
    }

    fn assert_holders_change_safely(&self, role: &Role, new_holders: &[Holder]) {
        for (rank, holder) in role.holders.iter().enumerate() {
            let may_change = self.fenced.contains(holder)
                || self.released.iter().any(|released| {
                    released.role == role.name
                        && released.holder == *holder
                        && released.revision >= self.ledger.revision
                });
            let ahead = &role.holders[..rank];
            let keeps_order = new_holders
                .iter()
                .position(|other| other == holder)
                .is_some_and(|position| {
                    new_holders[..position]
                        .iter()
                        .all(|other| ahead.contains(other))
                });
            assert!(
                keeps_order || may_change,
                "{holder:?} of {:?} leaves or moves back without a release",
                role.name
            );
        }
    }

    /// Asserts that no role, slot or key has two owners.
    pub fn assert_single_owners(&self) {
        let roles: BTreeSet<&RoleName> = self.ledger.roles.iter().map(|role| &role.name).collect();
        for role in roles {
            self.acting_vm(role);
        }
        let mut slots = BTreeSet::new();
        let mut owned_keys = BTreeSet::new();
        for (name, held) in &self.upstreams {
            for slot in &held.slots {
                assert!(
                    slots.insert(*slot),
                    "{name} is not the only owner of slot {slot}"
                );
            }
            for key in &held.keys {
                assert!(
                    owned_keys.insert(*key),
                    "{name} is not the only owner of key {key}"
                );
            }
        }
    }

    /// Injects one random event: a VM or an upstream that is lost, paused or returns, a change of the bundle, or a
    /// restart of the coordinator.
    pub fn inject_random_event(&mut self) {
        let vm = self.rng.random_range(0..self.vms.len());
        let number = self.rng.random_range(0..self.upstreams.len() + 2).min(11);
        let live_count = self
            .vms
            .iter()
            .filter(|vm| vm.is_up && !vm.is_paused)
            .count();
        self.vms[vm].learns_late = !self.vms[vm].learns_late;
        match self.rng.random_range(0..15) {
            0 | 12 | 13 if live_count > self.vms.len() / 2 + 1 => self.vms[vm].is_up = false,
            1 if live_count > self.vms.len() / 2 + 1 => self.vms[vm].is_paused = true,
            2 | 3 | 14 => self.restart(vm),
            4 => self.add_upstream(number),
            5 if self.bundle.upstreams.len() > 2 => {
                let index = self.rng.random_range(0..self.bundle.upstreams.len());
                self.bundle.upstreams.remove(index);
            }
            6 if !self.bundle.upstreams.is_empty() => {
                let index = self.rng.random_range(0..self.bundle.upstreams.len());
                let state = &mut self.bundle.upstreams[index].state;
                *state = match state {
                    UpstreamState::Active => UpstreamState::Draining,
                    UpstreamState::Draining => UpstreamState::Active,
                };
            }
            7 => {
                let index = self.rng.random_range(0..DATA_CENTRE_COUNT);
                let data_centre = &mut self.bundle.data_centres[index];
                data_centre.active = !data_centre.active;
            }
            8 => {
                if let Some(held) = self.upstreams.values_mut().nth(number) {
                    held.is_unreachable = !held.is_unreachable;
                }
            }
            9 => {
                let teams = self.rng.random_range(0..6);
                self.bundle.teams = (0..teams).map(team).collect();
            }
            10 => {
                let key = key_hashes()[self.rng.random_range(0..3)];
                self.bundle.placements.retain(|other| other.key != key);
                if self.rng.random_range(0..2) == 0 {
                    self.bundle.placements.push(Placement {
                        service: service(),
                        key,
                        upstream: upstream(number).name,
                    });
                }
                self.bundle.sort();
            }
            _ => self.coordinator = Coordinator::new(),
        }
    }

    /// Brings a VM back: with the same incarnation after a pause, with a new one otherwise.
    fn restart(&mut self, index: usize) {
        let vm = &mut self.vms[index];
        let is_fenced = self.fenced.contains(&holder(&vm.member));
        if vm.is_up && !is_fenced {
            vm.is_paused = false;
            return;
        }
        vm.member.incarnation.0 += 1;
        vm.is_up = true;
        vm.is_paused = false;
        vm.ledger = Ledger::default();
    }

    /// Fences members that are lost or paused, as the majority would.
    pub fn fence_lost_members(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &self.vms[index];
            if (!vm.is_up || vm.is_paused) && self.one_in(2) {
                let lost_holder = holder(&self.vms[index].member);
                self.fenced.insert(lost_holder);
            }
        }
        // An incarnation that no longer runs sends no heartbeats and is fenced as well.
        for member in &self.ledger.membership.members {
            let is_running = self.vms.iter().any(|vm| vm.member == *member);
            if !is_running {
                self.fenced.insert(holder(member));
            }
        }
    }
}
