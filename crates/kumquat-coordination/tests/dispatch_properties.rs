//! Guards the invariants of a dispatch group over long random event sequences.
//!
//! The invariants are: limits of warm and cold upstreams, no second attempt of a non-idempotent request that may have
//! run, exactly one final result per request, no request reported as not run that may have run, and urgent requests
//! first.

use std::time::Duration;

use kumquat_coordination::dispatch::{
    Action, Arrival, Execution, Group, Options, Outcome, RefusalReason, Upstream,
};
use kumquat_state::bundle::{PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};

const SEEDS: [u64; 4] = [1, 7, 42, 20_261_204];
const SEQUENCES_PER_SEED: u64 = 150;
const MAX_SEQUENCE_STEPS: usize = 900;

fn upstream_name(number: usize) -> ident::Upstream {
    format!("upstream-{number}").parse().expect("a valid name")
}

fn team(number: u16) -> ident::Team {
    format!("team-{}", number % 4)
        .parse()
        .expect("a valid name")
}

fn upstreams(count: usize, draining: Option<usize>) -> Vec<Upstream> {
    (0..count)
        .map(|number| Upstream {
            name: upstream_name(number),
            slots: 3,
            cold_slots: 1,
            cold_step: 4,
            takes_work: draining != Some(number),
        })
        .collect()
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptState {
    InFlight,
    NotRun,
    MayHaveRun,
}

#[derive(Debug)]
struct Attempt {
    id: u64,
    request: usize,
    upstream: usize,
    /// Number of cold starts of the upstream when the attempt was sent.
    cold_starts: u32,
    state: AttemptState,
}

#[derive(Debug)]
struct Request {
    class: PriorityClass,
    idempotent: bool,
    deadline: Instant,
    target: Option<usize>,
    sent_attempts: u32,
    results: u32,
}

#[derive(Debug)]
struct UpstreamModel {
    is_cold: bool,
    cold_starts: u32,
    completions: u32,
    takes_work: bool,
}

/// Reference model of a group, which checks each action against the inputs so far.
struct GroupModel {
    group: Group,
    kind: ServiceKind,
    now: Instant,
    out: Vec<Action>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    upstreams: Vec<UpstreamModel>,
}

impl GroupModel {
    fn new(kind: ServiceKind, count: usize, seed: u64) -> Self {
        let mut group = Group::new(kind, Options::default(), seed);
        let mut out = Vec::new();
        let now = Instant::from_millis(1);
        group.set_upstreams(now, &upstreams(count, None), &mut out);
        group.set_weights(&[(team(0), 4), (team(1), 2)]);
        let upstreams = (0..count)
            .map(|_| UpstreamModel {
                is_cold: true,
                cold_starts: 0,
                completions: 0,
                takes_work: true,
            })
            .collect();
        Self {
            group,
            kind,
            now,
            out,
            requests: Vec::new(),
            attempts: Vec::new(),
            upstreams,
        }
    }

    fn step(&mut self, kind: u8, parameter: u16) {
        let selector = usize::from(parameter);
        match kind % 16 {
            0..=5 => self.arrive(parameter),
            6..=10 => self.end_random_attempt(selector, parameter),
            11 => self.cancel(selector),
            12 => self.start_random_response(selector),
            13 if parameter.is_multiple_of(16) => {
                let number = selector / 16 % self.upstreams.len();
                let boot = u64::from(parameter / 256);
                let name = upstream_name(number);
                self.group.set_boot_id(self.now, &name, boot, &mut self.out);
            }
            13 if parameter % 16 == 1 => {
                let draining = Some(selector / 16 % (self.upstreams.len() + 1));
                for (number, upstream) in self.upstreams.iter_mut().enumerate() {
                    upstream.takes_work = draining != Some(number);
                }
                let configs = upstreams(self.upstreams.len(), draining);
                self.group.set_upstreams(self.now, &configs, &mut self.out);
            }
            13 if parameter % 16 == 2 => {
                let removed = selector / 16 % self.upstreams.len();
                let mut configs = upstreams(self.upstreams.len(), None);
                configs.remove(removed);
                for (number, upstream) in self.upstreams.iter_mut().enumerate() {
                    upstream.takes_work = removed != number;
                }
                self.group.set_upstreams(self.now, &configs, &mut self.out);
                self.restart_if_idle(removed);
            }
            _ => {
                let elapsed = Duration::from_micros(u64::from(parameter % 4_000));
                self.now = self.now + elapsed;
                self.group.tick(self.now, &mut self.out);
            }
        }
        self.check();
    }

    /// Marks a removed upstream without attempts as cold, because the group drops its state and treats it as new later.
    fn restart_if_idle(&mut self, number: usize) {
        self.check();
        let has_attempts = self
            .attempts
            .iter()
            .any(|attempt| attempt.upstream == number && attempt.state == AttemptState::InFlight);
        if !has_attempts {
            let upstream = &mut self.upstreams[number];
            upstream.is_cold = true;
            upstream.cold_starts += 1;
            upstream.completions = 0;
        }
    }

    fn arrive(&mut self, parameter: u16) {
        let class = match parameter % 3 {
            0 => PriorityClass::Urgent,
            _ => PriorityClass::Ordinary,
        };
        let target = (self.kind == ServiceKind::Keyed)
            .then(|| usize::from(parameter / 8) % self.upstreams.len());
        let deadline = self.now + Duration::from_millis(u64::from(parameter % 97));
        let id = self.requests.len();
        self.requests.push(Request {
            class,
            idempotent: parameter.is_multiple_of(2),
            deadline,
            target,
            sent_attempts: 0,
            results: 0,
        });
        let arrival = Arrival {
            id: id as u64,
            team: team(parameter / 16),
            class,
            idempotent: parameter.is_multiple_of(2),
            deadline,
            target: target.map(upstream_name),
        };
        self.group.on_arrival(self.now, arrival, &mut self.out);
    }

    fn in_flight_attempts(&self) -> Vec<usize> {
        (0..self.attempts.len())
            .filter(|index| self.attempts[*index].state == AttemptState::InFlight)
            .collect()
    }

    fn end_random_attempt(&mut self, selector: usize, parameter: u16) {
        let in_flight = self.in_flight_attempts();
        if in_flight.is_empty() {
            return;
        }
        let index = in_flight[selector % in_flight.len()];
        let outcome = match parameter / 64 % 12 {
            0 => Outcome::Shed,
            1 => Outcome::NotConnected,
            2 => Outcome::Broken,
            3 => Outcome::TimedOut,
            _ => Outcome::Completed { status_class: 2 },
        };
        self.end_attempt(index, outcome);
    }

    fn end_attempt(&mut self, index: usize, outcome: Outcome) {
        let attempt = &mut self.attempts[index];
        attempt.state = if outcome.is_not_run() {
            AttemptState::NotRun
        } else {
            AttemptState::MayHaveRun
        };
        let upstream = &mut self.upstreams[attempt.upstream];
        if matches!(outcome, Outcome::Completed { .. })
            && attempt.cold_starts == upstream.cold_starts
        {
            upstream.completions += 1;
        }
        let id = attempt.id;
        self.group
            .on_attempt_ended(self.now, id, outcome, &mut self.out);
    }

    fn start_random_response(&mut self, selector: usize) {
        let in_flight = self.in_flight_attempts();
        if !in_flight.is_empty() {
            let id = self.attempts[in_flight[selector % in_flight.len()]].id;
            self.group.on_response_started(self.now, id, &mut self.out);
        }
    }

    fn cancel(&mut self, selector: usize) {
        if !self.requests.is_empty() {
            let id = (selector % self.requests.len()) as u64;
            self.group.cancel(self.now, id, &mut self.out);
        }
    }

    fn check(&mut self) {
        for action in std::mem::take(&mut self.out) {
            match action {
                Action::Send {
                    id,
                    attempt,
                    upstream,
                    ..
                } => self.check_send(id, attempt, &upstream),
                Action::Deliver { id, attempt } => {
                    let delivered = self.attempts.iter().find(|entry| entry.id == attempt);
                    assert_eq!(delivered.map(|entry| entry.request as u64), Some(id));
                    self.record_result(id);
                }
                Action::Refuse { id, execution, .. } => {
                    let may_have_run = self.attempts.iter().any(|entry| {
                        entry.request as u64 == id && entry.state != AttemptState::NotRun
                    });
                    if execution == Execution::NotRun {
                        assert!(!may_have_run, "request {id} is reported as not run");
                    }
                    self.record_result(id);
                }
                Action::TurnedCold { upstream } | Action::Reinstated { upstream } => {
                    let upstream = self.upstream_mut(&upstream);
                    upstream.is_cold = true;
                    upstream.cold_starts += 1;
                    upstream.completions = 0;
                }
                Action::TurnedWarm { upstream } => self.upstream_mut(&upstream).is_cold = false,
                Action::Abort { .. } | Action::Ejected { .. } => {}
            }
        }
    }

    fn check_send(&mut self, id: u64, attempt: u64, upstream: &ident::Upstream) {
        let number = usize::try_from(id).expect("a small id");
        let target = self.number(upstream);
        let request = &self.requests[number];
        let earlier_may_have_run = self
            .attempts
            .iter()
            .any(|entry| entry.request == number && entry.state != AttemptState::NotRun);
        assert!(
            request.idempotent || !earlier_may_have_run,
            "non-idempotent request {id} is sent again"
        );
        assert_eq!(request.results, 0, "request {id} is sent after its result");
        assert!(self.now < request.deadline, "request {id} is sent too late");
        assert!(request.target.is_none_or(|expected| expected == target));
        if request.class == PriorityClass::Ordinary && request.sent_attempts == 0 {
            let overtaken_urgent = self.requests.iter().position(|other| {
                other.class == PriorityClass::Urgent
                    && other.sent_attempts == 0
                    && other.results == 0
                    && other.target == request.target
            });
            assert_eq!(
                overtaken_urgent, None,
                "an urgent request waits while {id} is sent"
            );
        }
        self.requests[number].sent_attempts += 1;
        let state = &self.upstreams[target];
        assert!(state.takes_work, "{upstream} accepts no requests");
        let limit = if state.is_cold {
            3.min(1 + state.completions / 4)
        } else {
            3
        };
        let cold_starts = state.cold_starts;
        self.attempts.push(Attempt {
            id: attempt,
            request: number,
            upstream: target,
            cold_starts,
            state: AttemptState::InFlight,
        });
        let in_flight = self
            .attempts
            .iter()
            .filter(|entry| entry.upstream == target && entry.state == AttemptState::InFlight)
            .count();
        assert!(
            in_flight <= limit as usize,
            "{in_flight} attempts are in flight at {upstream}, limit {limit}"
        );
    }

    fn record_result(&mut self, id: u64) {
        let request = &mut self.requests[usize::try_from(id).expect("a small id")];
        request.results += 1;
        assert_eq!(request.results, 1, "request {id} has a second result");
    }

    fn number(&self, upstream: &ident::Upstream) -> usize {
        (0..self.upstreams.len())
            .find(|number| upstream_name(*number) == *upstream)
            .expect("a known upstream")
    }

    fn upstream_mut(&mut self, upstream: &ident::Upstream) -> &mut UpstreamModel {
        let number = self.number(upstream);
        &mut self.upstreams[number]
    }

    /// Completes all attempts and lets all timers expire, then checks that every request has exactly one result.
    fn run_to_completion(&mut self) {
        for _ in 0..10_000 {
            for index in self.in_flight_attempts() {
                self.end_attempt(index, Outcome::Completed { status_class: 2 });
                self.check();
            }
            let Some(next) = self.group.next_wakeup() else {
                break;
            };
            self.now = self.now.max(next);
            self.group.tick(self.now, &mut self.out);
            self.check();
        }
        let unfinished = self
            .requests
            .iter()
            .position(|request| request.results != 1);
        assert_eq!(unfinished, None, "a request without a result");
        assert!(self.group.is_idle());
    }
}

fn run(kind: ServiceKind, count: usize, seed: u64, steps: &[(u8, u16)]) {
    let mut model = GroupModel::new(kind, count, seed);
    for (kind, parameter) in steps {
        model.step(*kind, *parameter);
    }
    model.run_to_completion();
}

/// Property that fails if an assertion does, and then shrinks the sequence of steps to a smallest failing one.
#[derive(Clone)]
struct Property(fn(&[(u8, u16)]));

impl Testable for Property {
    fn result(&self, generator: &mut Gen) -> TestResult {
        let check = self.0;
        let steps = Vec::<(u8, u16)>::arbitrary(generator);
        let run = move |steps: &[(u8, u16)]| std::panic::catch_unwind(|| check(steps)).is_ok();
        if run(&steps) {
            return TestResult::passed();
        }
        let mut smallest = steps;
        while let Some(smaller) = smallest.shrink().find(|steps| !run(steps)) {
            smallest = smaller;
        }
        TestResult::error(format!("smallest failing sequence: {smallest:?}"))
    }
}

fn check_random_sequences(check: fn(&[(u8, u16)])) {
    for seed in SEEDS {
        println!("seed {seed}");
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(MAX_SEQUENCE_STEPS, seed))
            .tests(SEQUENCES_PER_SEED)
            .quickcheck(Property(check));
    }
}

/// Guards against exceeded limits, forbidden retries, missing results and wrong refusals in pool services.
#[test]
fn pool_group_keeps_its_invariants_in_random_sequences() {
    check_random_sequences(|steps| run(ServiceKind::Pool, 3, 11, steps));
}

/// Guards against the same failures in keyed services, and against a request that is sent to another upstream.
#[test]
fn keyed_group_keeps_its_invariants_in_random_sequences() {
    check_random_sequences(|steps| run(ServiceKind::Keyed, 3, 12, steps));
}

/// Guards against a stopped admission that ends admitted requests or admits new ones.
#[test]
fn stopped_group_refuses_new_requests_and_completes_admitted_ones() {
    let mut model = GroupModel::new(ServiceKind::Pool, 2, 13);
    for _ in 0..4 {
        model.arrive(96);
    }
    model.check();

    model.group.stop_admission();
    model.arrive(96);
    let refused = model.out.iter().any(|action| {
        matches!(
            action,
            Action::Refuse {
                id: 4,
                reason: RefusalReason::Stopping,
                execution: Execution::NotRun,
                ..
            }
        )
    });
    model.run_to_completion();

    assert!(refused);
    assert!(
        model.requests[..4]
            .iter()
            .all(|request| request.sent_attempts == 1)
    );
}
