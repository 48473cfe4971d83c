//! The `sim` module provides a deterministic discrete-event simulation of the state machines of entries and dispatch
//! groups, and of two simpler policies that serve as baselines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::Duration;

use kumquat_coordination::balance::{Candidate, GroupBalancer, Load};
use kumquat_coordination::dispatch::{Action, Arrival, Group, Outcome, Upstream};
use kumquat_state::bundle::{PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::baseline::{LEASE_PERIOD_US, Lease};
use super::event::{Event, LOCAL_ONE_WAY_US, Request, SentAttempt, one_way_us};
use super::model::{
    DATA_CENTRES, ENTRIES, Job, Policy, Received, Report, SimConfig, SimUpstream, TEAM_WEIGHTS,
    duration_us, sample_exponential_us,
};

/// State of a run.
pub struct Simulation<'a> {
    pub config: &'a SimConfig,
    pub now_us: u64,
    pub events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    pub next_sequence: u64,
    pub rng: SmallRng,
    pub requests: Vec<Request>,
    pub upstreams: Vec<SimUpstream>,
    pub upstream_names: Vec<ident::Upstream>,
    pub teams: Vec<ident::Team>,
    pub data_centres: Vec<ident::DataCentre>,
    pub groups: Vec<Group>,
    /// Attempts in flight per group, or per entry for the baselines.
    pub sent_attempts: Vec<Vec<SentAttempt>>,
    pub next_wakeups_us: Vec<u64>,
    pub balancers: Vec<GroupBalancer>,
    pub loads: Vec<Load>,
    pub actions: Vec<Action>,
    pub next_job_id: u64,
    /// Requests in flight per entry and upstream, for [`Policy::TwoChoices`].
    pub in_flight_counts: Vec<Vec<u32>>,
    pub leases: Vec<Lease>,
    /// Queued requests per entry, urgent ones first, for [`Policy::SlotLeases`].
    pub queued: Vec<Vec<usize>>,
    pub report: Report,
}

/// Simulates a run and returns its measurements.
pub fn run(config: &SimConfig) -> Report {
    let mut simulation = Simulation::new(config);
    let end_us = duration_us(config.duration);
    simulation.schedule(1, Event::RequestArrived);
    simulation.schedule(LEASE_PERIOD_US, Event::RebalanceLeases);
    for change in &config.stragglers {
        let upstream = change.upstream;
        simulation.schedule(duration_us(change.at), Event::Slow { upstream });
    }
    for change in &config.lost_upstreams {
        let upstream = change.upstream;
        simulation.schedule(duration_us(change.at), Event::LoseUpstream { upstream });
    }
    for change in &config.cold_starts {
        let upstream = change.upstream;
        simulation.schedule(duration_us(change.at), Event::RestartUpstream { upstream });
    }
    while let Some(Reverse((at_us, _, event))) = simulation.events.pop() {
        if at_us > end_us {
            break;
        }
        simulation.now_us = at_us;
        simulation.handle(event);
    }
    simulation.into_report()
}

impl<'a> Simulation<'a> {
    fn new(config: &'a SimConfig) -> Self {
        let name = |kind: &str, number: usize| format!("{kind}-{number}");
        let upstream_names: Vec<ident::Upstream> = (0..config.upstreams)
            .map(|number| name("upstream", number).parse().expect("a valid name"))
            .collect();
        let data_centres: Vec<ident::DataCentre> = (0..DATA_CENTRES)
            .map(|number| name("centre", number).parse().expect("a valid name"))
            .collect();
        let teams: Vec<ident::Team> = (0..TEAM_WEIGHTS.len())
            .map(|number| name("team", number).parse().expect("a valid name"))
            .collect();
        let weights: Vec<_> = teams.iter().cloned().zip(TEAM_WEIGHTS).collect();
        let mut actions = Vec::new();
        let groups = (0..DATA_CENTRES)
            .map(|data_centre| {
                let mut group = Group::new(
                    config.kind,
                    config.group_options,
                    config.seed + data_centre as u64,
                );
                let upstreams: Vec<Upstream> = (data_centre..config.upstreams)
                    .step_by(DATA_CENTRES)
                    .map(|number| Upstream {
                        name: upstream_names[number].clone(),
                        slots: config.slots,
                        cold_slots: 1,
                        cold_step: 8,
                        takes_work: true,
                    })
                    .collect();
                group.set_upstreams(Instant::ORIGIN, &upstreams, &mut actions);
                group.set_weights(&weights);
                for upstream in &upstreams {
                    group.set_boot_id(Instant::ORIGIN, &upstream.name, 1, &mut actions);
                }
                group
            })
            .collect();
        let balancers = (0..ENTRIES)
            .map(|entry| {
                let own_data_centre = entry % DATA_CENTRES;
                let seed = config.seed + 100 + entry as u64;
                let mut balancer = GroupBalancer::new(
                    data_centres[own_data_centre].clone(),
                    config.balance_options,
                    seed,
                );
                let candidates: Vec<Candidate> = (0..DATA_CENTRES)
                    .map(|data_centre| Candidate {
                        data_centre: data_centres[data_centre].clone(),
                        round_trip: Duration::from_micros(
                            2 * one_way_us(config, own_data_centre, data_centre),
                        ),
                    })
                    .collect();
                balancer.set_groups(&candidates);
                balancer
            })
            .collect();
        let leases = (0..config.upstreams * config.slots as usize)
            .map(|number| Lease {
                upstream: number % config.upstreams,
                entry: number % ENTRIES,
                is_busy: false,
            })
            .collect();
        Self {
            config,
            now_us: 0,
            events: BinaryHeap::new(),
            next_sequence: 0,
            rng: SmallRng::seed_from_u64(config.seed),
            requests: Vec::new(),
            upstreams: (0..config.upstreams)
                .map(|_| SimUpstream::new(config.slots))
                .collect(),
            upstream_names,
            teams,
            data_centres,
            groups,
            sent_attempts: vec![Vec::new(); ENTRIES],
            next_wakeups_us: vec![u64::MAX; DATA_CENTRES],
            balancers,
            loads: Vec::new(),
            actions,
            next_job_id: 0,
            in_flight_counts: vec![vec![0; config.upstreams]; ENTRIES],
            leases,
            queued: vec![Vec::new(); ENTRIES],
            report: Report::default(),
        }
    }

    pub fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_sequence += 1;
        self.events
            .push(Reverse((at_us, self.next_sequence, event)));
    }

    fn now_instant(&self) -> Instant {
        Instant::from_micros(self.now_us)
    }

    pub fn is_measured(&self, request: usize) -> bool {
        self.requests[request].arrived_us >= duration_us(self.config.measured_from)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrived => self.on_arrival(),
            Event::RequestAtGroup { request, group } => self.on_request(request, group),
            Event::GroupTimer { group } => {
                if self.next_wakeups_us[group] <= self.now_us {
                    self.next_wakeups_us[group] = u64::MAX;
                }
                let now = self.now_instant();
                self.groups[group].tick(now, &mut self.actions);
                self.apply_actions(group);
            }
            Event::AttemptAtUpstream {
                upstream,
                group,
                attempt,
            } => self.on_attempt_at_upstream(upstream, group, attempt),
            Event::JobDone { upstream, job_id } => self.on_job_done(upstream, job_id),
            Event::CancelAtUpstream {
                upstream,
                group,
                attempt,
            } => {
                if self.upstreams[upstream].cancel(group, attempt) {
                    self.start_next_job(upstream);
                    self.schedule(
                        self.now_us + LOCAL_ONE_WAY_US,
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
            } => self.on_attempt_ended(group, attempt, outcome),
            Event::ResultAtEntry {
                request,
                group,
                is_answered,
                load_index,
            } => self.on_result(request, group, is_answered, load_index),
            Event::Slow { upstream } => self.upstreams[upstream].slowdown = self.config.slowdown,
            Event::LoseUpstream { upstream } => self.upstreams[upstream].is_lost = true,
            Event::RestartUpstream { upstream } => {
                let now_us = self.now_us;
                for job in self.upstreams[upstream].restart(now_us) {
                    let (group, attempt) = (job.group, job.attempt);
                    let event = Event::AttemptEnded {
                        group,
                        attempt,
                        outcome: 2,
                    };
                    self.schedule(now_us + LOCAL_ONE_WAY_US, event);
                }
                if self.config.cold_start_is_announced && self.config.policy == Policy::Groups {
                    let group = upstream % DATA_CENTRES;
                    let (now, boot_id) = (self.now_instant(), self.upstreams[upstream].boot_id);
                    let name = self.upstream_names[upstream].clone();
                    self.groups[group].set_boot_id(now, &name, boot_id, &mut self.actions);
                    self.apply_actions(group);
                }
            }
            Event::RebalanceLeases => self.rebalance_leases(),
        }
    }

    fn on_arrival(&mut self) {
        let total: u32 = TEAM_WEIGHTS.iter().sum();
        let last_weight = f64::from(TEAM_WEIGHTS[TEAM_WEIGHTS.len() - 1]);
        let weight_sum = f64::from(total) + last_weight * (self.config.flood_factor - 1.0);
        let rate_per_s =
            self.config.load * self.config.capacity_per_s() * weight_sum / f64::from(total);
        let interval_us = sample_exponential_us(&mut self.rng, rate_per_s);
        self.schedule(self.now_us + interval_us, Event::RequestArrived);

        let mut remaining_weight = self.rng.random_range(0.0..weight_sum);
        let mut team = 0;
        while team + 1 < TEAM_WEIGHTS.len() && remaining_weight >= f64::from(TEAM_WEIGHTS[team]) {
            remaining_weight -= f64::from(TEAM_WEIGHTS[team]);
            team += 1;
        }
        let urgent_fraction = if team + 1 == TEAM_WEIGHTS.len() {
            self.config.last_team_urgent_fraction
        } else {
            self.config.urgent_fraction
        };
        let is_urgent = self.rng.random_bool(urgent_fraction);
        let class = if is_urgent {
            PriorityClass::Urgent
        } else {
            PriorityClass::Ordinary
        };
        let entry = self.rng.random_range(0..ENTRIES);
        let deadline_us = self.now_us + duration_us(self.config.deadlines[usize::from(!is_urgent)]);
        let request = self.requests.len();
        let target = self.rng.random_range(0..self.config.upstreams);
        self.requests.push(Request {
            arrived_us: self.now_us,
            deadline_us,
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
            (Policy::Groups, ServiceKind::Keyed) => self.forward(request, target % DATA_CENTRES),
            (Policy::Groups, ServiceKind::Pool) => {
                let now = self.now_instant();
                let chosen = self.balancers[entry].choose(now, class).expect("a group");
                let group = self
                    .data_centres
                    .binary_search(&chosen)
                    .expect("a known data centre");
                self.forward(request, group);
            }
            (Policy::TwoChoices, _) => self.send_with_two_choices(request),
            (Policy::SlotLeases, _) => {
                let queued = &mut self.queued[entry];
                let position = if is_urgent {
                    let requests = &self.requests;
                    queued.partition_point(|other| requests[*other].class == PriorityClass::Urgent)
                } else {
                    queued.len()
                };
                queued.insert(position, request);
                self.send_with_leases(entry);
            }
        }
    }

    fn forward(&mut self, request: usize, group: usize) {
        let delay_us = one_way_us(
            self.config,
            self.requests[request].entry % DATA_CENTRES,
            group,
        );
        self.schedule(
            self.now_us + delay_us,
            Event::RequestAtGroup { request, group },
        );
    }

    fn on_request(&mut self, request: usize, group: usize) {
        let known = &self.requests[request];
        let arrival = Arrival {
            id: request as u64,
            team: self.teams[known.team].clone(),
            class: known.class,
            idempotent: known.idempotent,
            deadline: Instant::from_micros(known.deadline_us),
            target: (self.config.kind == ServiceKind::Keyed)
                .then(|| self.upstream_names[known.target_upstream].clone()),
        };
        let now = self.now_instant();
        self.groups[group].on_arrival(now, arrival, &mut self.actions);
        self.apply_actions(group);
    }

    fn apply_actions(&mut self, group: usize) {
        for action in std::mem::take(&mut self.actions) {
            match action {
                Action::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } => {
                    let request = usize::try_from(id).expect("a small id");
                    let upstream = self
                        .upstream_names
                        .iter()
                        .position(|name| *name == upstream);
                    let upstream = upstream.expect("a known upstream");
                    self.report.attempts += u64::from(self.is_measured(request));
                    self.sent_attempts[group].push(SentAttempt {
                        attempt,
                        request,
                        upstream,
                        sent_at_us: self.now_us,
                    });
                    self.schedule(
                        self.now_us + LOCAL_ONE_WAY_US,
                        Event::AttemptAtUpstream {
                            upstream,
                            group,
                            attempt,
                        },
                    );
                }
                Action::Abort { attempt } => {
                    let sent = self.sent_attempts[group]
                        .iter()
                        .find(|sent| sent.attempt == attempt)
                        .expect("a known attempt");
                    let upstream = sent.upstream;
                    let event = Event::CancelAtUpstream {
                        upstream,
                        group,
                        attempt,
                    };
                    self.schedule(self.now_us + LOCAL_ONE_WAY_US, event);
                }
                Action::Deliver { id, .. } => self.send_result_to_entry(id, group, true),
                Action::Refuse { id, .. } => self.send_result_to_entry(id, group, false),
                Action::Ejected { .. } => {
                    self.report.ejections += 1;
                    self.report.first_ejection_us.get_or_insert(self.now_us);
                }
                Action::TurnedCold { .. } => self.report.cold_starts += 1,
                Action::Reinstated { .. } | Action::TurnedWarm { .. } => {}
            }
        }
        if let Some(next) = self.groups[group].next_wakeup() {
            let next_us = next.as_micros().max(self.now_us);
            if next_us < self.next_wakeups_us[group] {
                self.next_wakeups_us[group] = next_us;
                self.schedule(next_us, Event::GroupTimer { group });
            }
        }
    }

    fn send_result_to_entry(&mut self, id: u64, group: usize, is_answered: bool) {
        let request = usize::try_from(id).expect("a small id");
        let delay_us = one_way_us(
            self.config,
            self.requests[request].entry % DATA_CENTRES,
            group,
        );
        let load_index = self.loads.len();
        self.loads.push(self.groups[group].load(self.now_instant()));
        let event = Event::ResultAtEntry {
            request,
            group,
            is_answered,
            load_index,
        };
        self.schedule(self.now_us + delay_us, event);
    }

    pub fn on_result(
        &mut self,
        request: usize,
        group: usize,
        is_answered: bool,
        load_index: usize,
    ) {
        let known = self.requests[request].clone();
        let now = self.now_instant();
        if self.config.policy == Policy::Groups {
            let load = self.loads[load_index];
            self.balancers[known.entry].on_response(
                now,
                &self.data_centres[group],
                known.class,
                Some(load),
            );
        }
        if !self.is_measured(request) {
            return;
        }
        if is_answered {
            let is_last_team = known.team + 1 == TEAM_WEIGHTS.len();
            let in_time = self.now_us <= known.deadline_us;
            let latency_us = self.now_us - known.arrived_us;
            self.report
                .record_response(known.class, is_last_team, latency_us, in_time);
        } else {
            self.report.refused += 1;
        }
    }

    fn on_attempt_at_upstream(&mut self, upstream: usize, group: usize, attempt: u64) {
        self.next_job_id += 1;
        let sent = self.sent_attempts[group]
            .iter()
            .find(|sent| sent.attempt == attempt)
            .expect("a known attempt");
        let job = Job {
            group,
            attempt,
            id: self.next_job_id,
            sent_at_us: sent.sent_at_us,
            deadline_us: self.requests[sent.request].deadline_us,
        };
        let job_id = job.id;
        match self.upstreams[upstream].receive(self.now_us, job, self.config, &mut self.rng) {
            Received::Started(end_us) => self.schedule(end_us, Event::JobDone { upstream, job_id }),
            Received::Queued => {}
            Received::Shed => self.report_failure(group, attempt, 1),
            Received::ConnectionRefused => self.report_failure(group, attempt, 3),
        }
    }

    fn report_failure(&mut self, group: usize, attempt: u64, outcome: u8) {
        let event = Event::AttemptEnded {
            group,
            attempt,
            outcome,
        };
        self.schedule(self.now_us + LOCAL_ONE_WAY_US, event);
    }

    fn on_job_done(&mut self, upstream: usize, job_id: u64) {
        let Some(job) = self.upstreams[upstream].complete(job_id) else {
            return;
        };
        let (group, attempt) = (job.group, job.attempt);
        self.schedule(
            self.now_us + LOCAL_ONE_WAY_US,
            Event::AttemptEnded {
                group,
                attempt,
                outcome: 0,
            },
        );
        self.start_next_job(upstream);
    }

    fn start_next_job(&mut self, upstream: usize) {
        let next = self.upstreams[upstream].start_next(self.now_us, self.config, &mut self.rng);
        if let Some((job_id, end_us)) = next {
            self.schedule(end_us, Event::JobDone { upstream, job_id });
        }
    }

    fn on_attempt_ended(&mut self, group: usize, attempt: u64, outcome: u8) {
        let position = self.sent_attempts[group]
            .iter()
            .position(|sent| sent.attempt == attempt)
            .expect("a known attempt");
        let sent = self.sent_attempts[group].swap_remove(position);
        match self.config.policy {
            Policy::Groups => {
                let outcome = match outcome {
                    0 => Outcome::Completed { status_class: 2 },
                    1 => Outcome::Shed,
                    3 => Outcome::NotConnected,
                    _ => Outcome::Broken,
                };
                let now = self.now_instant();
                self.groups[group].on_attempt_ended(now, attempt, outcome, &mut self.actions);
                self.apply_actions(group);
            }
            Policy::TwoChoices => {
                // For the baselines, the group is the index of the entry.
                self.in_flight_counts[group][sent.upstream] -= 1;
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

    fn into_report(mut self) -> Report {
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
