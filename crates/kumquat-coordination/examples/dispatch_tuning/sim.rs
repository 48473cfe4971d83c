//! The `sim` module provides one deterministic discrete-event loop over the real state machines of entries and dispatch
//! groups, and over two simpler policies that serve as baselines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use kumquat_coordination::balance::{Balance, Candidate, Load};
use kumquat_coordination::dispatch::{Action, Arrival, Group, Outcome, Upstream};
use kumquat_state::bundle::{Class, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::baseline::{LEASE_PERIOD_US, Lease};
use super::event::{Event, LOCAL_ONE_WAY_US, Request, SentAttempt, one_way_us};
use super::model::{
    DATA_CENTRE_COUNT, ENTRY_COUNT, Job, Policy, ReceiveResult, Report, SimConfig, SimUpstream,
    TEAM_WEIGHTS, duration_us, sample_exponential_us,
};

/// All state of a run.
pub struct World<'a> {
    pub config: &'a SimConfig,
    pub now: u64,
    pub events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub sequence: u64,
    pub rng: SmallRng,
    pub requests: Vec<Request>,
    pub upstreams: Vec<SimUpstream>,
    pub names: Vec<ident::Upstream>,
    pub teams: Vec<ident::Team>,
    pub centres: Vec<ident::DataCentre>,
    pub groups: Vec<Group>,
    /// Running attempts per group, or per entry for the baselines.
    pub sent: Vec<Vec<SentAttempt>>,
    pub wakes: Vec<u64>,
    pub balances: Vec<Balance>,
    pub loads: Vec<Load>,
    pub out: Vec<Action>,
    pub next_job_id: u64,
    /// Running requests per entry and upstream, for [`Policy::TwoChoices`].
    pub local: Vec<Vec<u32>>,
    pub leases: Vec<Lease>,
    /// Waiting requests per entry, urgent ones in front, for [`Policy::SlotLeases`].
    pub waiting: Vec<Vec<usize>>,
    pub report: Report,
}

/// Runs a config to its end.
pub fn run(config: &SimConfig) -> Report {
    let mut world = World::new(config);
    let end = duration_us(config.duration);
    world.at(1, Event::RequestArrived);
    world.at(LEASE_PERIOD_US, Event::RebalanceLeases);
    for change in &config.stragglers {
        let upstream = change.upstream;
        world.at(duration_us(change.at), Event::SlowDown { upstream });
    }
    for change in &config.lost_upstreams {
        let upstream = change.upstream;
        world.at(duration_us(change.at), Event::LoseUpstream { upstream });
    }
    for change in &config.cold_starts {
        let upstream = change.upstream;
        world.at(duration_us(change.at), Event::RestartUpstream { upstream });
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
    fn new(config: &'a SimConfig) -> Self {
        let name = |kind: &str, number: usize| format!("{kind}-{number}");
        let names: Vec<ident::Upstream> = (0..config.upstreams)
            .map(|number| name("upstream", number).parse().expect("a valid name"))
            .collect();
        let centres: Vec<ident::DataCentre> = (0..DATA_CENTRE_COUNT)
            .map(|number| name("centre", number).parse().expect("a valid name"))
            .collect();
        let teams: Vec<ident::Team> = (0..TEAM_WEIGHTS.len())
            .map(|number| name("team", number).parse().expect("a valid name"))
            .collect();
        let weights: Vec<_> = teams.iter().cloned().zip(TEAM_WEIGHTS).collect();
        let mut out = Vec::new();
        let groups = (0..DATA_CENTRE_COUNT)
            .map(|centre| {
                let mut group = Group::new(
                    config.kind,
                    config.group_options,
                    config.seed + centre as u64,
                );
                let upstreams: Vec<Upstream> = (centre..config.upstreams)
                    .step_by(DATA_CENTRE_COUNT)
                    .map(|number| Upstream {
                        name: names[number].clone(),
                        slots: config.slots,
                        cold_slots: 1,
                        cold_step: 8,
                        takes_work: true,
                    })
                    .collect();
                group.set_upstreams(Instant::ORIGIN, &upstreams, &mut out);
                group.set_weights(&weights);
                for upstream in &upstreams {
                    group.set_boot_id(Instant::ORIGIN, &upstream.name, 1, &mut out);
                }
                group
            })
            .collect();
        let balances = (0..ENTRY_COUNT)
            .map(|entry| {
                let own = entry % DATA_CENTRE_COUNT;
                let seed = config.seed + 100 + entry as u64;
                let mut balance = Balance::new(centres[own].clone(), config.balance_options, seed);
                let candidates: Vec<Candidate> = (0..DATA_CENTRE_COUNT)
                    .map(|centre| Candidate {
                        data_centre: centres[centre].clone(),
                        distance: Duration::from_micros(2 * one_way_us(config, own, centre)),
                    })
                    .collect();
                balance.set_groups(&candidates);
                balance
            })
            .collect();
        let leases = (0..config.upstreams * config.slots as usize)
            .map(|number| Lease {
                upstream: number % config.upstreams,
                entry: number % ENTRY_COUNT,
                is_busy: false,
            })
            .collect();
        Self {
            config,
            now: 0,
            events: BinaryHeap::new(),
            sequence: 0,
            rng: SmallRng::seed_from_u64(config.seed),
            requests: Vec::new(),
            upstreams: (0..config.upstreams)
                .map(|_| SimUpstream::new(config.slots))
                .collect(),
            names,
            teams,
            centres,
            groups,
            sent: vec![Vec::new(); ENTRY_COUNT],
            wakes: vec![u64::MAX; DATA_CENTRE_COUNT],
            balances,
            loads: Vec::new(),
            out,
            next_job_id: 0,
            local: vec![vec![0; config.upstreams]; ENTRY_COUNT],
            leases,
            waiting: vec![Vec::new(); ENTRY_COUNT],
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
        self.requests[request].arrived_us >= duration_us(self.config.measured_from)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrived => self.arrive(),
            Event::RequestAtGroup { request, group } => self.at_group(request, group),
            Event::GroupTimer { group } => {
                if self.wakes[group] <= self.now {
                    self.wakes[group] = u64::MAX;
                }
                let now = self.instant();
                self.groups[group].tick(now, &mut self.out);
                self.act(group);
            }
            Event::AttemptAtUpstream {
                upstream,
                group,
                attempt,
            } => self.at_upstream(upstream, group, attempt),
            Event::JobDone { upstream, job_id } => self.served(upstream, job_id),
            Event::CancelAtUpstream {
                upstream,
                group,
                attempt,
            } => {
                if self.upstreams[upstream].cancel(group, attempt) {
                    self.advance(upstream);
                    self.at(
                        self.now + LOCAL_ONE_WAY_US,
                        Event::AttemptEnded {
                            group,
                            attempt,
                            outcome: 2,
                        },
                    );
                }
            }
            Event::AttemptEnded {
                group,
                attempt,
                outcome,
            } => self.ended(group, attempt, outcome),
            Event::ResultAtEntry {
                request,
                group,
                is_answered,
                load_index,
            } => self.at_entry(request, group, is_answered, load_index),
            Event::SlowDown { upstream } => {
                self.upstreams[upstream].slowdown = self.config.straggler_slowdown
            }
            Event::LoseUpstream { upstream } => self.upstreams[upstream].is_lost = true,
            Event::RestartUpstream { upstream } => {
                let now = self.now;
                for job in self.upstreams[upstream].restart(now) {
                    let (group, attempt) = (job.group, job.attempt);
                    let event = Event::AttemptEnded {
                        group,
                        attempt,
                        outcome: 2,
                    };
                    self.at(now + LOCAL_ONE_WAY_US, event);
                }
                if self.config.cold_start_is_announced && self.config.policy == Policy::Groups {
                    let group = upstream % DATA_CENTRE_COUNT;
                    let (now, boot) = (self.instant(), self.upstreams[upstream].boot_id);
                    let name = self.names[upstream].clone();
                    self.groups[group].set_boot_id(now, &name, boot, &mut self.out);
                    self.act(group);
                }
            }
            Event::RebalanceLeases => self.rebalance_leases(),
        }
    }

    fn arrive(&mut self) {
        let total: u32 = TEAM_WEIGHTS.iter().sum();
        let last = f64::from(TEAM_WEIGHTS[TEAM_WEIGHTS.len() - 1]);
        let sum = f64::from(total) + last * (self.config.flood_factor - 1.0);
        let rate = self.config.load * self.config.capacity_per_s() * sum / f64::from(total);
        let gap = sample_exponential_us(&mut self.rng, rate);
        self.at(self.now + gap, Event::RequestArrived);

        let mut choice = self.rng.random_range(0.0..sum);
        let mut team = 0;
        while team + 1 < TEAM_WEIGHTS.len() && choice >= f64::from(TEAM_WEIGHTS[team]) {
            choice -= f64::from(TEAM_WEIGHTS[team]);
            team += 1;
        }
        let urgent = if team + 1 == TEAM_WEIGHTS.len() {
            self.config.last_team_urgent_fraction
        } else {
            self.config.urgent_fraction
        };
        let is_urgent = self.rng.random_bool(urgent);
        let class = if is_urgent {
            Class::Urgent
        } else {
            Class::Ordinary
        };
        let entry = self.rng.random_range(0..ENTRY_COUNT);
        let deadline = self.now + duration_us(self.config.deadlines[usize::from(!is_urgent)]);
        let request = self.requests.len();
        let target = self.rng.random_range(0..self.config.upstreams);
        self.requests.push(Request {
            arrived_us: self.now,
            deadline_us: deadline,
            class,
            team,
            idempotent: self.rng.random_bool(self.config.idempotent_fraction),
            entry,
            target_upstream: target,
        });
        if self.is_measured(request) {
            self.report.arrivals += 1;
            self.report.urgent_arrivals += u64::from(is_urgent);
            self.report.other_teams_arrivals += u64::from(team + 1 < TEAM_WEIGHTS.len());
        }
        match (self.config.policy, self.config.kind) {
            (Policy::Groups, ServiceKind::Keyed) => {
                self.forward(request, target % DATA_CENTRE_COUNT)
            }
            (Policy::Groups, ServiceKind::Pool) => {
                let now = self.instant();
                let chosen = self.balances[entry].choose(now, class).expect("a group");
                let group = self
                    .centres
                    .binary_search(&chosen)
                    .expect("a known data centre");
                self.forward(request, group);
            }
            (Policy::TwoChoices, _) => self.send_with_two_choices(request),
            (Policy::SlotLeases, _) => {
                let waiting = &mut self.waiting[entry];
                let position = if is_urgent {
                    let requests = &self.requests;
                    waiting.partition_point(|other| requests[*other].class == Class::Urgent)
                } else {
                    waiting.len()
                };
                waiting.insert(position, request);
                self.send_with_leases(entry);
            }
        }
    }

    fn forward(&mut self, request: usize, group: usize) {
        let way = one_way_us(
            self.config,
            self.requests[request].entry % DATA_CENTRE_COUNT,
            group,
        );
        self.at(self.now + way, Event::RequestAtGroup { request, group });
    }

    fn at_group(&mut self, request: usize, group: usize) {
        let known = &self.requests[request];
        let arrival = Arrival {
            id: request as u64,
            team: self.teams[known.team].clone(),
            class: known.class,
            idempotent: known.idempotent,
            deadline: Instant::from_micros(known.deadline_us),
            target: (self.config.kind == ServiceKind::Keyed)
                .then(|| self.names[known.target_upstream].clone()),
        };
        let now = self.instant();
        self.groups[group].on_arrival(now, arrival, &mut self.out);
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
                    self.sent[group].push(SentAttempt {
                        attempt,
                        request,
                        upstream,
                        sent_at_us: self.now,
                    });
                    self.at(
                        self.now + LOCAL_ONE_WAY_US,
                        Event::AttemptAtUpstream {
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
                    let event = Event::CancelAtUpstream {
                        upstream,
                        group,
                        attempt,
                    };
                    self.at(self.now + LOCAL_ONE_WAY_US, event);
                }
                Action::Deliver { id, .. } => self.answer(id, group, true),
                Action::Refuse { id, .. } => self.answer(id, group, false),
                Action::Ejected { .. } => {
                    self.report.ejections += 1;
                    self.report.first_ejection_us.get_or_insert(self.now);
                }
                Action::TurnedCold { .. } => self.report.cold_starts += 1,
                Action::Reinstated { .. } | Action::TurnedWarm { .. } => {}
            }
        }
        if let Some(next) = self.groups[group].next_wakeup() {
            let next = next.as_micros().max(self.now);
            if next < self.wakes[group] {
                self.wakes[group] = next;
                self.at(next, Event::GroupTimer { group });
            }
        }
    }

    fn answer(&mut self, id: u64, group: usize, is_answered: bool) {
        let request = usize::try_from(id).expect("a small id");
        let way = one_way_us(
            self.config,
            self.requests[request].entry % DATA_CENTRE_COUNT,
            group,
        );
        let load_index = self.loads.len();
        self.loads.push(self.groups[group].load(self.instant()));
        let event = Event::ResultAtEntry {
            request,
            group,
            is_answered,
            load_index,
        };
        self.at(self.now + way, event);
    }

    pub fn at_entry(&mut self, request: usize, group: usize, is_answered: bool, load_index: usize) {
        let known = self.requests[request].clone();
        let now = self.instant();
        if self.config.policy == Policy::Groups {
            let load = self.loads[load_index];
            self.balances[known.entry].on_answer(
                now,
                &self.centres[group],
                known.class,
                Some(load),
            );
        }
        if !self.is_measured(request) {
            return;
        }
        if is_answered {
            let is_last_team = known.team + 1 == TEAM_WEIGHTS.len();
            let in_time = self.now <= known.deadline_us;
            let latency = self.now - known.arrived_us;
            self.report
                .record_response(known.class, is_last_team, latency, in_time);
        } else {
            self.report.refused += 1;
        }
    }

    fn at_upstream(&mut self, upstream: usize, group: usize, attempt: u64) {
        self.next_job_id += 1;
        let sent = self.sent[group]
            .iter()
            .find(|sent| sent.attempt == attempt)
            .expect("a known attempt");
        let job = Job {
            group,
            attempt,
            job_id: self.next_job_id,
            sent_at_us: sent.sent_at_us,
            deadline_us: self.requests[sent.request].deadline_us,
        };
        let job_id = job.job_id;
        match self.upstreams[upstream].receive(self.now, job, self.config, &mut self.rng) {
            ReceiveResult::Started(until) => self.at(until, Event::JobDone { upstream, job_id }),
            ReceiveResult::Queued => {}
            ReceiveResult::Shed => self.fail(group, attempt, 1),
            ReceiveResult::ConnectionRefused => self.fail(group, attempt, 3),
        }
    }

    fn fail(&mut self, group: usize, attempt: u64, outcome: u8) {
        let event = Event::AttemptEnded {
            group,
            attempt,
            outcome,
        };
        self.at(self.now + LOCAL_ONE_WAY_US, event);
    }

    fn served(&mut self, upstream: usize, job_id: u64) {
        let Some(job) = self.upstreams[upstream].complete(job_id) else {
            return;
        };
        let (group, attempt) = (job.group, job.attempt);
        self.at(
            self.now + LOCAL_ONE_WAY_US,
            Event::AttemptEnded {
                group,
                attempt,
                outcome: 0,
            },
        );
        self.advance(upstream);
    }

    fn advance(&mut self, upstream: usize) {
        let next = self.upstreams[upstream].start_next(self.now, self.config, &mut self.rng);
        if let Some((job_id, until)) = next {
            self.at(until, Event::JobDone { upstream, job_id });
        }
    }

    fn ended(&mut self, group: usize, attempt: u64, outcome: u8) {
        let position = self.sent[group]
            .iter()
            .position(|sent| sent.attempt == attempt)
            .expect("a known attempt");
        let sent = self.sent[group].swap_remove(position);
        match self.config.policy {
            Policy::Groups => {
                let outcome = match outcome {
                    0 => Outcome::Completed { status_class: 2 },
                    1 => Outcome::Shed,
                    3 => Outcome::NotConnected,
                    _ => Outcome::Broken,
                };
                let now = self.instant();
                self.groups[group].on_attempt_ended(now, attempt, outcome, &mut self.out);
                self.act(group);
            }
            Policy::TwoChoices => {
                // The baselines have no groups; the number is that of the entry.
                self.local[group][sent.upstream] -= 1;
                self.baseline_answer(sent.request, outcome == 0);
            }
            Policy::SlotLeases => {
                let lease = self.leases.iter_mut().find(|lease| {
                    lease.entry == group && lease.upstream == sent.upstream && lease.is_busy
                });
                lease.expect("a busy lease").is_busy = false;
                self.baseline_answer(sent.request, outcome == 0);
                self.send_with_leases(group);
            }
        }
    }

    fn finish(mut self) -> Report {
        let config = self.config;
        self.report.measured_s = config
            .duration
            .saturating_sub(config.measured_from)
            .as_secs_f64();
        self.report.capacity_per_s = config.capacity_per_s();
        for group in &self.groups {
            self.report.hedges += group.counters().hedges;
            self.report.retries += group.counters().retries;
        }
        for server in &self.upstreams {
            self.report.cold_overloads += server.cold_overloads;
            self.report.overloads_in_transit += server.overloads_in_transit;
            self.report.max_at_upstream = self.report.max_at_upstream.max(server.max_jobs);
        }
        self.report
    }
}
