//! The `sim` module provides one deterministic discrete-event loop over the real state machines of entries and dispatch
//! groups, and over two simpler policies that serve as baselines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use kumquat_coordination::balance::{Candidate, GroupBalancer, Load};
use kumquat_coordination::dispatch::{Action, Arrival, Group, Outcome, Upstream};
use kumquat_state::bundle::{Class, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::baseline::{LEASE_PERIOD, Lease};
use super::event::{Event, NEAR, Request, Sent, one_way};
use super::model::{
    CENTRES, ENTRIES, Job, Policy, Reception, Report, Server, Setup, WEIGHTS, exponential, length,
};

/// All state of a run.
pub struct World<'a> {
    pub setup: &'a Setup,
    pub now: u64,
    pub events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub sequence: u64,
    pub rng: SmallRng,
    pub requests: Vec<Request>,
    pub servers: Vec<Server>,
    pub names: Vec<ident::Upstream>,
    pub teams: Vec<ident::Team>,
    pub centres: Vec<ident::DataCentre>,
    pub groups: Vec<Group>,
    /// Running attempts per group, or per entry for the baselines.
    pub sent: Vec<Vec<Sent>>,
    pub wakes: Vec<u64>,
    pub balances: Vec<GroupBalancer>,
    pub loads: Vec<Load>,
    pub out: Vec<Action>,
    pub next_token: u64,
    /// Running requests per entry and upstream, for [`Policy::LocalCounts`].
    pub local: Vec<Vec<u32>>,
    pub leases: Vec<Lease>,
    /// Waiting requests per entry, urgent ones in front, for [`Policy::Leases`].
    pub waiting: Vec<Vec<usize>>,
    pub report: Report,
}

/// Runs a setup to its end.
pub fn run(setup: &Setup) -> Report {
    let mut world = World::new(setup);
    let end = length(setup.length);
    world.at(1, Event::Arrive);
    world.at(LEASE_PERIOD, Event::MoveLeases);
    for change in &setup.stragglers {
        let upstream = change.upstream;
        world.at(length(change.at), Event::Slow { upstream });
    }
    for change in &setup.lost {
        let upstream = change.upstream;
        world.at(length(change.at), Event::Lose { upstream });
    }
    for change in &setup.cold {
        let upstream = change.upstream;
        world.at(length(change.at), Event::Chill { upstream });
    }
    while let Some(Reverse((at, _, event))) = world.events.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.finish()
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup) -> Self {
        let name = |kind: &str, number: usize| format!("{kind}-{number}");
        let names: Vec<ident::Upstream> = (0..setup.upstreams)
            .map(|number| name("upstream", number).parse().expect("a valid name"))
            .collect();
        let centres: Vec<ident::DataCentre> = (0..CENTRES)
            .map(|number| name("centre", number).parse().expect("a valid name"))
            .collect();
        let teams: Vec<ident::Team> = (0..WEIGHTS.len())
            .map(|number| name("team", number).parse().expect("a valid name"))
            .collect();
        let weights: Vec<_> = teams.iter().cloned().zip(WEIGHTS).collect();
        let mut out = Vec::new();
        let groups = (0..CENTRES)
            .map(|centre| {
                let mut group = Group::new(setup.kind, setup.group, setup.seed + centre as u64);
                let upstreams: Vec<Upstream> = (centre..setup.upstreams)
                    .step_by(CENTRES)
                    .map(|number| Upstream {
                        name: names[number].clone(),
                        slots: setup.slots,
                        cold_slots: 1,
                        cold_step: 8,
                        takes_work: true,
                    })
                    .collect();
                group.set_upstreams(Instant::ORIGIN, &upstreams, &mut out);
                group.set_weights(&weights);
                for upstream in &upstreams {
                    group.set_boot(Instant::ORIGIN, &upstream.name, 1, &mut out);
                }
                group
            })
            .collect();
        let balances = (0..ENTRIES)
            .map(|entry| {
                let own = entry % CENTRES;
                let seed = setup.seed + 100 + entry as u64;
                let mut balance = GroupBalancer::new(centres[own].clone(), setup.balance, seed);
                let candidates: Vec<Candidate> = (0..CENTRES)
                    .map(|centre| Candidate {
                        data_centre: centres[centre].clone(),
                        round_trip: Duration::from_micros(2 * one_way(setup, own, centre)),
                    })
                    .collect();
                balance.set_groups(&candidates);
                balance
            })
            .collect();
        let leases = (0..setup.upstreams * setup.slots as usize)
            .map(|number| Lease {
                upstream: number % setup.upstreams,
                entry: number % ENTRIES,
                busy: false,
            })
            .collect();
        Self {
            setup,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(setup.seed),
            requests: Vec::new(),
            servers: (0..setup.upstreams)
                .map(|_| Server::new(setup.slots))
                .collect(),
            names,
            teams,
            centres,
            groups,
            sent: vec![Vec::new(); ENTRIES],
            wakes: vec![u64::MAX; CENTRES],
            balances,
            loads: Vec::new(),
            out,
            next_token: 0,
            local: vec![vec![0; setup.upstreams]; ENTRIES],
            leases,
            waiting: vec![Vec::new(); ENTRIES],
            report: Report::default(),
        }
    }

    pub fn at(&mut self, time: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((time, self.sequence, event)));
    }

    fn instant(&self) -> Instant {
        Instant::from_micros(self.now)
    }

    pub fn is_measured(&self, request: usize) -> bool {
        self.requests[request].arrived >= length(self.setup.measured_from)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::AtGroup { request, group } => self.at_group(request, group),
            Event::Wake { group } => {
                if self.wakes[group] <= self.now {
                    self.wakes[group] = u64::MAX;
                }
                let now = self.instant();
                self.groups[group].tick(now, &mut self.out);
                self.act(group);
            }
            Event::AtUpstream {
                upstream,
                group,
                attempt,
            } => self.at_upstream(upstream, group, attempt),
            Event::Served { upstream, token } => self.served(upstream, token),
            Event::Cancelled {
                upstream,
                group,
                attempt,
            } => {
                if self.servers[upstream].cancel(group, attempt) {
                    self.advance(upstream);
                    self.at(
                        self.now + NEAR,
                        Event::Ended {
                            group,
                            attempt,
                            outcome: 2,
                        },
                    );
                }
            }
            Event::Ended {
                group,
                attempt,
                outcome,
            } => self.ended(group, attempt, outcome),
            Event::AtEntry {
                request,
                group,
                answered,
                load,
            } => self.at_entry(request, group, answered, load),
            Event::Slow { upstream } => self.servers[upstream].slowness = self.setup.slowness,
            Event::Lose { upstream } => self.servers[upstream].is_lost = true,
            Event::Chill { upstream } => {
                let now = self.now;
                for job in self.servers[upstream].chill(now) {
                    let (group, attempt) = (job.group, job.attempt);
                    let event = Event::Ended {
                        group,
                        attempt,
                        outcome: 2,
                    };
                    self.at(now + NEAR, event);
                }
                if self.setup.cold_is_announced && self.setup.policy == Policy::Groups {
                    let group = upstream % CENTRES;
                    let (now, boot) = (self.instant(), self.servers[upstream].boot);
                    let name = self.names[upstream].clone();
                    self.groups[group].set_boot(now, &name, boot, &mut self.out);
                    self.act(group);
                }
            }
            Event::MoveLeases => self.move_leases(),
        }
    }

    fn arrive(&mut self) {
        let total: u32 = WEIGHTS.iter().sum();
        let last = f64::from(WEIGHTS[WEIGHTS.len() - 1]);
        let sum = f64::from(total) + last * (self.setup.flood - 1.0);
        let rate = self.setup.load * self.setup.capacity() * sum / f64::from(total);
        let gap = exponential(&mut self.rng, rate);
        self.at(self.now + gap, Event::Arrive);

        let mut choice = self.rng.random_range(0.0..sum);
        let mut team = 0;
        while team + 1 < WEIGHTS.len() && choice >= f64::from(WEIGHTS[team]) {
            choice -= f64::from(WEIGHTS[team]);
            team += 1;
        }
        let urgent = if team + 1 == WEIGHTS.len() {
            self.setup.last_urgent
        } else {
            self.setup.urgent
        };
        let is_urgent = self.rng.random_bool(urgent);
        let class = if is_urgent {
            Class::Urgent
        } else {
            Class::Ordinary
        };
        let entry = self.rng.random_range(0..ENTRIES);
        let deadline = self.now + length(self.setup.deadlines[usize::from(!is_urgent)]);
        let request = self.requests.len();
        let target = self.rng.random_range(0..self.setup.upstreams);
        self.requests.push(Request {
            arrived: self.now,
            deadline,
            class,
            team,
            idempotent: self.rng.random_bool(self.setup.idempotent),
            entry,
            target,
        });
        if self.is_measured(request) {
            self.report.arrivals += 1;
            self.report.urgent_arrivals += u64::from(is_urgent);
            self.report.others_arrivals += u64::from(team + 1 < WEIGHTS.len());
        }
        match (self.setup.policy, self.setup.kind) {
            (Policy::Groups, ServiceKind::Keyed) => self.forward(request, target % CENTRES),
            (Policy::Groups, ServiceKind::Pool) => {
                let now = self.instant();
                let chosen = self.balances[entry].choose(now, class).expect("a group");
                let group = self
                    .centres
                    .binary_search(&chosen)
                    .expect("a known data centre");
                self.forward(request, group);
            }
            (Policy::LocalCounts, _) => self.send_by_count(request),
            (Policy::Leases, _) => {
                let waiting = &mut self.waiting[entry];
                let position = if is_urgent {
                    let requests = &self.requests;
                    waiting.partition_point(|other| requests[*other].class == Class::Urgent)
                } else {
                    waiting.len()
                };
                waiting.insert(position, request);
                self.use_leases(entry);
            }
        }
    }

    fn forward(&mut self, request: usize, group: usize) {
        let way = one_way(self.setup, self.requests[request].entry % CENTRES, group);
        self.at(self.now + way, Event::AtGroup { request, group });
    }

    fn at_group(&mut self, request: usize, group: usize) {
        let known = &self.requests[request];
        let arrival = Arrival {
            id: request as u64,
            team: self.teams[known.team].clone(),
            class: known.class,
            idempotent: known.idempotent,
            deadline: Instant::from_micros(known.deadline),
            target: (self.setup.kind == ServiceKind::Keyed)
                .then(|| self.names[known.target].clone()),
        };
        let now = self.instant();
        self.groups[group].arrive(now, arrival, &mut self.out);
        self.act(group);
    }

    fn act(&mut self, group: usize) {
        for action in std::mem::take(&mut self.out) {
            match action {
                Action::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } => {
                    let request = usize::try_from(id).expect("a small id");
                    let upstream = self.names.iter().position(|name| *name == upstream);
                    let upstream = upstream.expect("a known upstream");
                    self.report.attempts += u64::from(self.is_measured(request));
                    self.sent[group].push(Sent {
                        attempt,
                        request,
                        upstream,
                        at: self.now,
                    });
                    self.at(
                        self.now + NEAR,
                        Event::AtUpstream {
                            upstream,
                            group,
                            attempt,
                        },
                    );
                }
                Action::Abort { attempt } => {
                    let sent = self.sent[group]
                        .iter()
                        .find(|sent| sent.attempt == attempt)
                        .expect("a known attempt");
                    let upstream = sent.upstream;
                    let event = Event::Cancelled {
                        upstream,
                        group,
                        attempt,
                    };
                    self.at(self.now + NEAR, event);
                }
                Action::Deliver { id, .. } => self.answer(id, group, true),
                Action::Refuse { id, .. } => self.answer(id, group, false),
                Action::Ejected { .. } => {
                    self.report.ejections += 1;
                    self.report.first_ejection.get_or_insert(self.now);
                }
                Action::TurnedCold { .. } => self.report.cold_turns += 1,
                Action::Reinstated { .. } | Action::Warm { .. } => {}
            }
        }
        if let Some(next) = self.groups[group].next_wakeup() {
            let next = next.as_micros().max(self.now);
            if next < self.wakes[group] {
                self.wakes[group] = next;
                self.at(next, Event::Wake { group });
            }
        }
    }

    fn answer(&mut self, id: u64, group: usize, answered: bool) {
        let request = usize::try_from(id).expect("a small id");
        let way = one_way(self.setup, self.requests[request].entry % CENTRES, group);
        let load = self.loads.len();
        self.loads.push(self.groups[group].load(self.instant()));
        let event = Event::AtEntry {
            request,
            group,
            answered,
            load,
        };
        self.at(self.now + way, event);
    }

    pub fn at_entry(&mut self, request: usize, group: usize, answered: bool, load: usize) {
        let known = self.requests[request].clone();
        let now = self.instant();
        if self.setup.policy == Policy::Groups {
            let load = self.loads[load];
            self.balances[known.entry].on_response(
                now,
                &self.centres[group],
                known.class,
                Some(load),
            );
        }
        if !self.is_measured(request) {
            return;
        }
        if answered {
            let is_last_team = known.team + 1 == WEIGHTS.len();
            let in_time = self.now <= known.deadline;
            let latency = self.now - known.arrived;
            self.report.add(known.class, is_last_team, latency, in_time);
        } else {
            self.report.refused += 1;
        }
    }

    fn at_upstream(&mut self, upstream: usize, group: usize, attempt: u64) {
        self.next_token += 1;
        let sent = self.sent[group]
            .iter()
            .find(|sent| sent.attempt == attempt)
            .expect("a known attempt");
        let job = Job {
            group,
            attempt,
            token: self.next_token,
            sent: sent.at,
            deadline: self.requests[sent.request].deadline,
        };
        let token = job.token;
        match self.servers[upstream].receive(self.now, job, self.setup, &mut self.rng) {
            Reception::Runs(until) => self.at(until, Event::Served { upstream, token }),
            Reception::Waits => {}
            Reception::Sheds => self.fail(group, attempt, 1),
            Reception::Refuses => self.fail(group, attempt, 3),
        }
    }

    fn fail(&mut self, group: usize, attempt: u64, outcome: u8) {
        let event = Event::Ended {
            group,
            attempt,
            outcome,
        };
        self.at(self.now + NEAR, event);
    }

    fn served(&mut self, upstream: usize, token: u64) {
        let Some(job) = self.servers[upstream].complete(token) else {
            return;
        };
        let (group, attempt) = (job.group, job.attempt);
        self.at(
            self.now + NEAR,
            Event::Ended {
                group,
                attempt,
                outcome: 0,
            },
        );
        self.advance(upstream);
    }

    fn advance(&mut self, upstream: usize) {
        let next = self.servers[upstream].advance(self.now, self.setup, &mut self.rng);
        if let Some((token, until)) = next {
            self.at(until, Event::Served { upstream, token });
        }
    }

    fn ended(&mut self, group: usize, attempt: u64, outcome: u8) {
        let position = self.sent[group]
            .iter()
            .position(|sent| sent.attempt == attempt)
            .expect("a known attempt");
        let sent = self.sent[group].swap_remove(position);
        match self.setup.policy {
            Policy::Groups => {
                let outcome = match outcome {
                    0 => Outcome::Completed { status_class: 2 },
                    1 => Outcome::Shed,
                    3 => Outcome::NotConnected,
                    _ => Outcome::Broken,
                };
                let now = self.instant();
                self.groups[group].on_answer(now, attempt, outcome, &mut self.out);
                self.act(group);
            }
            Policy::LocalCounts => {
                // The baselines have no groups; the number is that of the entry.
                self.local[group][sent.upstream] -= 1;
                self.baseline_answer(sent.request, outcome == 0);
            }
            Policy::Leases => {
                let lease = self.leases.iter_mut().find(|lease| {
                    lease.entry == group && lease.upstream == sent.upstream && lease.busy
                });
                lease.expect("a busy lease").busy = false;
                self.baseline_answer(sent.request, outcome == 0);
                self.use_leases(group);
            }
        }
    }

    fn finish(mut self) -> Report {
        let setup = self.setup;
        self.report.seconds = setup
            .length
            .saturating_sub(setup.measured_from)
            .as_secs_f64();
        self.report.capacity = setup.capacity();
        for group in &self.groups {
            self.report.hedges += group.counters().hedges;
            self.report.retries += group.counters().retries;
        }
        for server in &self.servers {
            self.report.overloads += server.overloads;
            self.report.overtaken += server.overtaken;
            self.report.most_at_upstream = self.report.most_at_upstream.max(server.most);
        }
        self.report
    }
}
