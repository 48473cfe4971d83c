//! The `cost` module measures the decisions of the state machines in nanoseconds.

use std::time::Duration;

use kumquat_coordination::balance::{self, Candidate, GroupBalancer};
use kumquat_coordination::coordinator::{self, Confirmation, Coordinator, Step, View};
use kumquat_coordination::dispatch::{self, Action, Arrival, Group, Outcome, Upstream};
use kumquat_coordination::limit::{Ask, CreditCache, Issuer};
use kumquat_state::bundle::{self, Bundle, PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::hash;
use kumquat_state::ident::{Epoch, Slot};
use kumquat_state::ledger::{Holder, Ledger, Member, Membership};
use kumquat_state::slots::{Owner, SlotRange, SlotTable};

use super::cells;
use crate::cpu::nanos_of;
use crate::report::Report;
use crate::settings::Settings;
use crate::stats::{fit, float_len};

/// Sizes of the table; the largest is the size expected in two years.
const SIZES: [usize; 4] = [9, 50, 200, 1_700];

/// Most members of a cell.
const CELL: usize = 15;

/// Key slots per VM, so that 1,700 VMs have about the 1,048,576 slots of a service at the expected size.
const SLOTS_PER_VM: usize = 617;

/// Most ledger writes until a plan for an empty ledger has settled.
const WRITES: usize = 2_000;

/// A decision whose cost is measured at each size.
type Decision = (&'static str, fn(usize, u32) -> f64);

/// Reports the cost of each decision at each size.
pub fn run(settings: &Settings, report: &mut Report) {
    let calls = if settings.quick { 20_000 } else { 200_000 };
    let decisions: [Decision; 8] = [
        ("authority tick", authority_tick),
        ("coordinator plan", coordinator_plan),
        ("limit spend", limit_spend),
        ("limit request", limit_request),
        ("dispatch arrive and answer", dispatch_round),
        ("slot lookup", slot_lookup),
        ("balance choose", balance_choose),
        ("balance on answer", balance_answer),
    ];
    for (name, decision) in decisions {
        let mut points = Vec::new();
        for size in SIZES {
            let nanos = decision(size, calls);
            report.add(
                ("decision cost", "router"),
                &format!("{name}, size {size}"),
                (nanos, "ns"),
                None,
            );
            points.push((float_len(size), nanos));
        }
        if let Some(line) = fit(&points) {
            let place = ("decision cost", "router");
            report.add(place, &format!("{name}, slope"), (line.slope, "ns"), None);
            report.add(
                place,
                &format!("{name}, intercept"),
                (line.intercept, "ns"),
                None,
            );
        }
    }
    report.note(format!(
        "decision cost, what the size stands for: members of the cell (at most {CELL}) for the authority, upstreams in a \
         cell of at most {CELL} VMs for the plan, entries for limits, upstreams of one group for dispatch, VMs with \
         {SLOTS_PER_VM} slots each for the lookup, data centres for balance; the cost of counting hot keys is not \
         measured"
    ));
}

fn at(number: u32) -> Instant {
    Instant::from_micros(u64::from(number) * 100)
}

fn members(size: usize) -> Vec<Member> {
    let members = (0..size).map(|number| cells::member(number).expect("a valid name"));
    members.collect()
}

/// A tick that sends heartbeats to the whole cell.
fn authority_tick(size: usize, calls: u32) -> f64 {
    let members = members(size.min(CELL));
    let mut machine = cells::machine(&members[0]);
    let membership = Membership {
        version: kumquat_state::ident::Version(1),
        members,
    };
    machine.set_membership(Instant::ORIGIN, &membership);
    nanos_of(calls / 10, |number| {
        machine.tick(Instant::from_millis(u64::from(number) * 200))
    })
}

/// A plan that finds nothing to do, which is what the coordinator does nearly always.
fn coordinator_plan(size: usize, calls: u32) -> f64 {
    let bundle = bundle_of(size);
    let live = members(size.min(CELL));
    let mut ledger = Ledger::default();
    let mut coordinator = Coordinator::new();
    for write in 0..WRITES {
        let now = Instant::from_millis(write as u64 * 10);
        match plan(&mut coordinator, now, &bundle, &live, &ledger) {
            Some(Step::Write { ledger: next, .. }) => ledger = *next,
            Some(Step::Release { .. }) => {}
            None => break,
        }
    }
    let now = Instant::from_millis(1_000_000);
    nanos_of(calls / 1_000, |_| {
        plan(&mut coordinator, now, &bundle, &live, &ledger)
    })
}

fn plan(
    coordinator: &mut Coordinator,
    now: Instant,
    bundle: &Bundle,
    live: &[Member],
    ledger: &Ledger,
) -> Option<Step> {
    let holder = |member: &Member| Holder {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    };
    let confirmations: Vec<Confirmation> = live
        .iter()
        .map(|member| Confirmation {
            holder: holder(member),
            revision: ledger.revision,
            acting: Vec::new(),
        })
        .collect();
    let acting = ledger.roles.iter();
    let groups: Vec<coordinator::GroupReport> = acting
        .filter_map(|role| {
            Some(coordinator::GroupReport {
                role: role.name.clone(),
                holder: role.holders.first()?.clone(),
                revision: ledger.revision,
                held_slots: Vec::new(),
                held_keys: Vec::new(),
                unreachable: Vec::new(),
            })
        })
        .collect();
    let view = View {
        ledger,
        bundle,
        live,
        leaving: &[],
        is_fenced: &|_| false,
        may_change_membership: &|_| true,
        group_reports: &groups,
        confirmations: &confirmations,
        release_acks: &[],
        service_loads: &[],
    };
    coordinator.plan(now, &view)
}

fn bundle_of(upstreams: usize) -> Bundle {
    let name = |number: usize| format!("dc-{number}").parse().expect("a valid name");
    let mut bundle = Bundle {
        data_centres: (0..3)
            .map(|number| bundle::DataCentre {
                name: name(number),
                active: true,
            })
            .collect(),
        services: vec![bundle::Service {
            name: "catalogue".parse().expect("a valid name"),
            kind: ServiceKind::Keyed,
            slots: u32::try_from(upstreams * SLOTS_PER_VM).unwrap_or(u32::MAX),
            deadline: Duration::from_secs(1),
            data_centres: (0..3).map(name).collect(),
        }],
        ..Bundle::default()
    };
    bundle.upstreams = (0..upstreams)
        .map(|number| bundle::Upstream {
            name: upstream(number).name,
            address: kumquat_local::vm::loopback(),
            service: bundle.services[0].name.clone(),
            data_centre: name(number % 3),
            slots: 2,
            cold_slots: 1,
            cold_step: 8,
            connections: 50,
            checks_grants: true,
            state: bundle::UpstreamState::Active,
        })
        .collect();
    bundle.sort();
    bundle
}

fn limit_spend(_size: usize, calls: u32) -> f64 {
    let mut issuer = Issuer::new(1_000_000, 1_000_000, Instant::ORIGIN);
    let mut share = CreditCache::new(
        kumquat_coordination::limit::Options::default(),
        Instant::ORIGIN,
    );
    let holder = holder(0);
    nanos_of(calls, |number| {
        let now = at(number + 100_000);
        let verdict = share.spend(now);
        // The home answers at once, so that the figure holds its part of each batch.
        for action in share.tick(now) {
            if let kumquat_coordination::limit::Action::Ask(ask) = action {
                let credit = issuer.request(now, &holder, &ask);
                share.on_credit(now, &credit);
            }
        }
        verdict
    })
}

/// Requests of as many entries in turn.
fn limit_request(size: usize, calls: u32) -> f64 {
    let mut issuer = Issuer::new(1_000_000, 1_000_000, Instant::ORIGIN);
    let holders: Vec<Holder> = (0..size).map(holder).collect();
    nanos_of(calls, |number| {
        let ask = Ask {
            sequence: u64::from(number) + 1,
            need: 1,
            want: 2,
            reports: Vec::new(),
        };
        issuer.request(at(number), &holders[number as usize % size], &ask)
    })
}

fn holder(number: usize) -> Holder {
    let member = cells::member(number).expect("a valid name");
    Holder {
        vm: member.vm,
        incarnation: member.incarnation,
    }
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        name: format!("catalogue-{number:04}")
            .parse()
            .expect("a valid name"),
        slots: 2,
        cold_slots: 2,
        cold_step: 1,
        takes_work: true,
    }
}

/// A request that is sent and answered at once.
fn dispatch_round(size: usize, calls: u32) -> f64 {
    let mut group = Group::new(ServiceKind::Pool, dispatch::Options::default(), 1);
    let upstreams: Vec<Upstream> = (0..size).map(upstream).collect();
    let mut out = Vec::new();
    group.set_upstreams(Instant::ORIGIN, &upstreams, &mut out);
    let team: kumquat_state::ident::Team = "pilots".parse().expect("a valid name");
    nanos_of(calls, |number| {
        let now = at(number);
        out.clear();
        let arrival = Arrival {
            id: u64::from(number),
            team: team.clone(),
            class: PriorityClass::Ordinary,
            idempotent: true,
            deadline: now + Duration::from_secs(1),
            target: None,
        };
        group.on_arrival(now, arrival, &mut out);
        let sent = out.iter().find_map(|action| match action {
            Action::Send { attempt, .. } => Some(*attempt),
            _ => None,
        });
        if let Some(attempt) = sent {
            let outcome = Outcome::Completed { status_class: 2 };
            group.on_attempt_ended(now, attempt, outcome, &mut out);
        }
        sent
    })
}

/// Lookups in a table whose owners alternate, so that it has a range for each eight slots.
fn slot_lookup(size: usize, calls: u32) -> f64 {
    let slots = u32::try_from(size * SLOTS_PER_VM).unwrap_or(u32::MAX);
    let service = "catalogue".parse().expect("a valid name");
    let mut table = SlotTable::new(service, slots);
    table.ranges = (0..slots)
        .step_by(8)
        .map(|first| SlotRange {
            first: Slot(first),
            owner: Some(Owner {
                upstream: upstream(first as usize / 8 % size).name,
                epoch: Epoch(1),
            }),
        })
        .collect();
    nanos_of(calls, |number| {
        table.owner(hash::key(&number.to_le_bytes())).is_some()
    })
}

fn balance(size: usize) -> GroupBalancer {
    let names = (0..size).map(|number| format!("dc-{number:04}").parse().expect("a valid name"));
    let candidates: Vec<Candidate> = names
        .map(|data_centre| Candidate {
            data_centre,
            round_trip: Duration::from_micros(500),
        })
        .collect();
    let own = candidates[0].data_centre.clone();
    let mut balance = GroupBalancer::new(own, balance::Options::default(), 1);
    balance.set_groups(&candidates);
    balance
}

fn balance_choose(size: usize, calls: u32) -> f64 {
    let mut balance = balance(size);
    nanos_of(calls / 10, |number| {
        balance.choose(at(number), PriorityClass::Ordinary)
    })
}

fn balance_answer(size: usize, calls: u32) -> f64 {
    let mut balance = balance(size);
    let group = "dc-0001".parse().expect("a valid name");
    let load = balance::Load {
        slots: 4,
        service_time: Duration::from_millis(4),
        ..balance::Load::default()
    };
    nanos_of(calls / 10, |number| {
        balance.on_response(at(number), &group, PriorityClass::Ordinary, Some(load));
    })
}
