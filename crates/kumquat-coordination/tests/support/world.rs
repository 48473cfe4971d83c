//! A cell in miniature for the coordinator: VMs with outdated ledgers, upstreams that hold what they were granted.

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

pub const SLOTS: u32 = 64;
pub const CENTRES: usize = 3;

pub fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

pub fn centre(number: usize) -> ident::DataCentre {
    name(&format!("dc-{}", number % CENTRES))
}

pub fn service() -> ident::Service {
    name("catalogue")
}

pub fn keys() -> [u64; 3] {
    [b"pump", b"reel", b"seal"].map(|key| hash::key(key))
}

pub struct Vm {
    pub member: Member,
    pub is_up: bool,
    pub is_paused: bool,
    /// Learns of new ledgers late.
    pub is_slow: bool,
    pub ledger: Ledger,
    /// Groups for which it says that it acts or has acted.
    pub acted: Vec<RoleName>,
}

/// What an upstream holds, and whether it can be reached.
#[derive(Default)]
pub struct Held {
    pub centre: usize,
    pub slots: BTreeSet<u32>,
    pub keys: BTreeSet<u64>,
    pub is_cut: bool,
}

pub struct World {
    pub rng: StdRng,
    pub micros: u64,
    pub ledger: Ledger,
    pub bundle: Bundle,
    pub coordinator: Coordinator,
    pub vms: Vec<Vm>,
    pub fenced: BTreeSet<Holder>,
    pub released: Vec<ReleaseAck>,
    pub reports: Vec<GroupReport>,
    pub upstreams: BTreeMap<ident::Upstream, Held>,
    pub loads: Vec<ServiceLoad>,
    pub leaving: Vec<ident::Vm>,
    /// Writes, slots given, and releases of the run.
    pub writes: u32,
    pub given: u32,
    pub releases: u32,
}

pub fn upstream(number: usize) -> Upstream {
    Upstream {
        name: name(&format!("shelf-{number:02}")),
        address: "127.0.0.1:9000".parse().expect("an address"),
        service: service(),
        data_centre: centre(number),
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
        name: name(&format!("team-{number}")),
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
            slots: SLOTS,
            deadline: std::time::Duration::from_secs(1),
            data_centres: (0..CENTRES).map(centre).collect(),
        }],
        upstreams: (0..upstreams).map(upstream).collect(),
        data_centres: (0..CENTRES)
            .map(|number| DataCentre {
                name: centre(number),
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

impl World {
    pub fn new(seed: u64, vms: usize, upstreams: usize, teams: usize) -> Self {
        let vms = (0..vms)
            .map(|number| Vm {
                member: Member {
                    vm: name(&format!("vm-{number}")),
                    incarnation: Incarnation(1),
                    data_centre: centre(number),
                    address: "127.0.0.1:7000".parse().expect("an address"),
                },
                is_up: true,
                is_paused: false,
                is_slow: false,
                ledger: Ledger::default(),
                acted: Vec::new(),
            })
            .collect();
        let mut world = Self {
            rng: StdRng::seed_from_u64(seed),
            micros: 0,
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
            writes: 0,
            given: 0,
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
        held.centre = number % CENTRES;
        let is_known = |other: &Upstream| other.name == upstream.name;
        if !self.bundle.upstreams.iter().any(is_known) {
            self.bundle.upstreams.push(upstream);
            self.bundle.sort();
        }
    }

    pub fn chance(&mut self, one_in: u32) -> bool {
        self.rng.random_range(0..one_in) == 0
    }

    /// Returns the VM that acts for the role by its own, perhaps outdated ledger; never two, or the change rule is
    /// broken.
    fn actor(&self, role: &RoleName) -> Option<usize> {
        let actors: Vec<usize> = (0..self.vms.len())
            .filter(|index| self.acts(*index, role))
            .collect();
        assert!(
            actors.len() <= 1,
            "several VMs act for {role:?} at revision {}",
            self.ledger.revision
        );
        actors.first().copied()
    }

    fn acts(&self, index: usize, role: &RoleName) -> bool {
        let vm = &self.vms[index];
        let me = holder(&vm.member);
        let is_member = vm.ledger.membership.contains(&me.vm, me.incarnation);
        if !vm.is_up || !is_member || self.fenced.contains(&me) {
            return false;
        }
        let has_released = self.released.iter().any(|released| {
            released.role == *role
                && released.holder == me
                && released.revision >= vm.ledger.revision
        });
        !has_released
            && vm.ledger.role(role).is_some_and(|role| {
                let first = role
                    .holders
                    .iter()
                    .find(|holder| !self.fenced.contains(holder));
                first == Some(&me)
            })
    }

    /// Lets VMs learn of ledgers, upstreams take over grants, and holders report.
    pub fn communicate(&mut self, lag: u32) {
        for index in 0..self.vms.len() {
            let slowness = if self.vms[index].is_slow { 30 } else { 1 };
            let vm = &self.vms[index];
            if vm.is_up && !vm.is_paused && self.chance(lag * slowness) {
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
            let actor = self.actor(&role);
            if let RoleName::Group { data_centre, .. } = &role
                && let Some(actor) = actor
                && !self.vms[actor].is_paused
            {
                self.grant(actor, data_centre, lag);
                self.report(actor, &role, data_centre);
            }
        }
        // Grants to upstreams that are cut off lapse.
        for held in self.upstreams.values_mut() {
            if held.is_cut && self.rng.random_range(0..20) == 0 {
                held.slots.clear();
                held.keys.clear();
            }
        }
    }

    fn grant(&mut self, actor: usize, centre: &ident::DataCentre, lag: u32) {
        let Some(table) = self.vms[actor].ledger.table(&service()).cloned() else {
            return;
        };
        for (name, held) in &mut self.upstreams {
            if self::centre(held.centre) != *centre || held.is_cut {
                continue;
            }
            for slot in 0..table.slots {
                let owner = table.slot_owner(Slot(slot));
                if owner.is_some_and(|owner| owner.upstream == *name) {
                    held.slots.insert(slot);
                } else if self.rng.random_range(0..lag) == 0 {
                    // Running requests may keep a slot for a while.
                    held.slots.remove(&slot);
                }
            }
            for key in keys() {
                let owner = table.owner(key);
                if owner.is_some_and(|owner| owner.upstream == *name) {
                    held.keys.insert(key);
                } else if self.rng.random_range(0..lag) == 0 {
                    held.keys.remove(&key);
                }
            }
        }
    }

    fn report(&mut self, actor: usize, role: &RoleName, centre: &ident::DataCentre) {
        let vm = &self.vms[actor];
        let group: Vec<(&ident::Upstream, &Held)> = self
            .upstreams
            .iter()
            .filter(|(_, held)| self::centre(held.centre) == *centre)
            .collect();
        let keys: BTreeSet<u64> = group
            .iter()
            .flat_map(|(_, held)| held.keys.iter().copied())
            .collect();
        // A running request for a key that its upstream no longer owns keeps the whole slot.
        let table = vm.ledger.table(&service());
        let finishing = group.iter().flat_map(|(name, held)| {
            held.keys.iter().copied().filter(move |key| {
                let owner = table.and_then(|table| table.owner(*key));
                owner.is_none_or(|owner| owner.upstream != **name)
            })
        });
        let slots: BTreeSet<u32> = group
            .iter()
            .flat_map(|(_, held)| held.slots.iter().copied())
            .chain(finishing.map(|key| hash::slot(key, SLOTS).0))
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
                .filter(|(_, held)| held.is_cut)
                .map(|(name, _)| (*name).clone())
                .collect(),
        };
        self.reports
            .retain(|other| other.role != *role || other.holder != report.holder);
        self.reports.push(report);
    }

    /// Lets the coordinator plan and carries out the step; returns whether there was one.
    pub fn coordinate(&mut self) -> bool {
        self.micros += 20_000;
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
                acting: vm.acted.clone(),
            })
            .collect();
        let may_change = |candidate: &Membership| {
            let alive = candidate
                .members
                .iter()
                .filter(|member| live.contains(member))
                .count();
            alive >= candidate.majority()
        };
        let step = self.coordinator.plan(
            Instant::from_micros(self.micros),
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
                self.check_write(&ledger);
                self.ledger = *ledger;
                self.writes += 1;
                true
            }
            Some(Step::Release {
                role,
                holder: asked,
            }) => {
                let vm = self
                    .vms
                    .iter()
                    .find(|vm| holder(&vm.member) == asked && vm.is_up && !vm.is_paused);
                let revision = vm.map(|vm| vm.ledger.revision);
                if let Some(revision) = revision {
                    self.releases += 1;
                    self.released.push(ReleaseAck {
                        role,
                        holder: asked,
                        revision,
                    });
                }
                true
            }
            None => false,
        }
    }

    /// Checks a write against the rules of the design page, independently of the planner.
    fn check_write(&mut self, next: &Ledger) {
        let before = &self.ledger;
        assert_eq!(next.revision.0, before.revision.0 + 1);

        let vms = |ledger: &Ledger| -> BTreeSet<(ident::Vm, Incarnation)> {
            let members = &ledger.membership.members;
            members
                .iter()
                .map(|member| (member.vm.clone(), member.incarnation))
                .collect()
        };
        let (old, new) = (vms(before), vms(next));
        let names: BTreeSet<&ident::Vm> =
            old.symmetric_difference(&new).map(|(vm, _)| vm).collect();
        assert!(
            names.len() <= 1 || old.is_empty(),
            "more than one member changes"
        );
        let steps = u64::from(!names.is_empty());
        assert_eq!(
            next.membership.version.0,
            before.membership.version.0 + steps
        );
        for (vm, incarnation) in old.difference(&new) {
            let gone = Holder {
                vm: vm.clone(),
                incarnation: *incarnation,
            };
            assert!(self.fenced.contains(&gone), "{gone:?} is not fenced");
        }

        for role in &before.roles {
            let to = next.role(&role.name);
            self.check_holders(role, to.map_or(&[], |to| &to.holders));
            if let Some(to) = to {
                assert!(to.epoch >= role.epoch);
                assert!(to.holders == role.holders || to.epoch > role.epoch);
            }
        }
        if let (Some(from), Some(to)) = (before.table(&service()), next.table(&service())) {
            for slot in 0..SLOTS {
                let (from, to) = (from.slot_owner(Slot(slot)), to.slot_owner(Slot(slot)));
                if from == to {
                    continue;
                }
                assert!(from.is_none() || to.is_none(), "slot {slot} moves at once");
                if let Some(to) = to {
                    assert!(to.epoch.0 > before.revision.0);
                    self.given += 1;
                    let held: Vec<_> = self
                        .upstreams
                        .iter()
                        .filter(|(_, held)| held.slots.contains(&slot))
                        .collect();
                    assert!(held.is_empty(), "slot {slot} is given while held");
                }
            }
        }
    }

    fn check_holders(&self, role: &Role, to: &[Holder]) {
        for (rank, holder) in role.holders.iter().enumerate() {
            let is_free = self.fenced.contains(holder)
                || self.released.iter().any(|released| {
                    released.role == role.name
                        && released.holder == *holder
                        && released.revision >= self.ledger.revision
                });
            let ahead = &role.holders[..rank];
            let stays = to
                .iter()
                .position(|other| other == holder)
                .is_some_and(|place| to[..place].iter().all(|other| ahead.contains(other)));
            assert!(
                stays || is_free,
                "{holder:?} of {:?} leaves or moves back without a release",
                role.name
            );
        }
    }

    /// Checks that no slot and no key has two owners.
    pub fn check(&self) {
        let roles: BTreeSet<&RoleName> = self.ledger.roles.iter().map(|role| &role.name).collect();
        for role in roles {
            self.actor(role);
        }
        let mut slots = BTreeSet::new();
        let mut owned = BTreeSet::new();
        for (name, held) in &self.upstreams {
            for slot in &held.slots {
                assert!(
                    slots.insert(*slot),
                    "{name} is not the only one with {slot}"
                );
            }
            for key in &held.keys {
                assert!(
                    owned.insert(*key),
                    "{name} is not the only one with key {key}"
                );
            }
        }
    }

    /// One random event: VMs and upstreams that are lost, paused or return, and changes of the bundle.
    pub fn disturb(&mut self) {
        let vm = self.rng.random_range(0..self.vms.len());
        let number = self.rng.random_range(0..self.upstreams.len() + 2).min(11);
        let up = self
            .vms
            .iter()
            .filter(|vm| vm.is_up && !vm.is_paused)
            .count();
        self.vms[vm].is_slow = !self.vms[vm].is_slow;
        match self.rng.random_range(0..15) {
            0 | 12 | 13 if up > self.vms.len() / 2 + 1 => self.vms[vm].is_up = false,
            1 if up > self.vms.len() / 2 + 1 => self.vms[vm].is_paused = true,
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
                let index = self.rng.random_range(0..CENTRES);
                let centre = &mut self.bundle.data_centres[index];
                centre.active = !centre.active;
            }
            8 => {
                if let Some(held) = self.upstreams.values_mut().nth(number) {
                    held.is_cut = !held.is_cut;
                }
            }
            9 => {
                let teams = self.rng.random_range(0..6);
                self.bundle.teams = (0..teams).map(team).collect();
            }
            10 => {
                let key = keys()[self.rng.random_range(0..3)];
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

    /// A VM returns: as the same incarnation after a pause, as a new one otherwise.
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

    /// The majority fences members that are lost or paused.
    pub fn fence(&mut self) {
        for index in 0..self.vms.len() {
            let vm = &self.vms[index];
            if (!vm.is_up || vm.is_paused) && self.chance(2) {
                let lost = holder(&self.vms[index].member);
                self.fenced.insert(lost);
            }
        }
        // An incarnation that is no longer running is silent and gets fenced as well.
        for member in &self.ledger.membership.members {
            let is_running = self.vms.iter().any(|vm| vm.member == *member);
            if !is_running {
                self.fenced.insert(holder(member));
            }
        }
    }
}
