//! Guards the invariants of a dispatch group over long random event sequences: slot and cold limits, at most one attempt
//! for non-idempotent requests that may have run, one final result per request, true refusals, and urgent first.

use std::time::Duration;

use kumquat_coordination::dispatch::{
    Action, Arrival, Execution, Group, Options, Outcome, RefusalReason, Upstream,
};
use kumquat_state::bundle::{Class, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult, Testable};

const SEEDS: [u64; 4] = [1, 7, 42, 20_261_204];
const SEQUENCES_PER_SEED: u64 = 150;
const LONGEST_SEQUENCE: usize = 900;

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
enum End {
    Running,
    NotRun,
    MayHaveRun,
}

#[derive(Debug)]
struct Attempt {
    id: u64,
    request: usize,
    upstream: usize,
    /// Cold starts of the upstream at the time of sending.
    cold_starts: u32,
    end: End,
}

#[derive(Debug)]
struct Request {
    class: Class,
    idempotent: bool,
    deadline: Instant,
    target: Option<usize>,
    sent: u32,
    results: u32,
}

#[derive(Debug)]
struct Server {
    is_cold: bool,
    cold_starts: u32,
    completed: u32,
    takes_work: bool,
}

/// A second, simple record of what the group was told and what it asked for.
struct Model {
    group: Group,
    kind: ServiceKind,
    now: Instant,
    out: Vec<Action>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    servers: Vec<Server>,
}

impl Model {
    fn new(kind: ServiceKind, count: usize, seed: u64) -> Self {
        let mut group = Group::new(kind, Options::default(), seed);
        let mut out = Vec::new();
        let now = Instant::from_millis(1);
        group.set_upstreams(now, &upstreams(count, None), &mut out);
        group.set_weights(&[(team(0), 4), (team(1), 2)]);
        let servers = (0..count)
            .map(|_| Server {
                is_cold: true,
                cold_starts: 0,
                completed: 0,
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
            servers,
        }
    }

    fn step(&mut self, kind: u8, choice: u16) {
        let pick = usize::from(choice);
        match kind % 16 {
            0..=5 => self.arrive(choice),
            6..=10 => self.answer(pick, choice),
            11 => self.cancel(pick),
            12 => self.start(pick),
            13 if choice.is_multiple_of(16) => {
                let number = pick / 16 % self.servers.len();
                let boot = u64::from(choice / 256);
                let name = upstream_name(number);
                self.group.set_boot_id(self.now, &name, boot, &mut self.out);
            }
            13 if choice % 16 == 1 => {
                let draining = Some(pick / 16 % (self.servers.len() + 1));
                for (number, server) in self.servers.iter_mut().enumerate() {
                    server.takes_work = draining != Some(number);
                }
                let list = upstreams(self.servers.len(), draining);
                self.group.set_upstreams(self.now, &list, &mut self.out);
            }
            13 if choice % 16 == 2 => {
                let removed = pick / 16 % self.servers.len();
                let mut list = upstreams(self.servers.len(), None);
                list.remove(removed);
                for (number, server) in self.servers.iter_mut().enumerate() {
                    server.takes_work = removed != number;
                }
                self.group.set_upstreams(self.now, &list, &mut self.out);
                self.forget_if_idle(removed);
            }
            _ => {
                let passed = Duration::from_micros(u64::from(choice % 4_000));
                self.now = self.now + passed;
                self.group.tick(self.now, &mut self.out);
            }
        }
        self.check();
    }

    /// A removed upstream without attempts is forgotten, so that it is a new, cold one when it comes back.
    fn forget_if_idle(&mut self, number: usize) {
        self.check();
        let is_running = self
            .attempts
            .iter()
            .any(|attempt| attempt.upstream == number && attempt.end == End::Running);
        if !is_running {
            let server = &mut self.servers[number];
            server.is_cold = true;
            server.cold_starts += 1;
            server.completed = 0;
        }
    }

    fn arrive(&mut self, choice: u16) {
        let class = match choice % 3 {
            0 => Class::Urgent,
            _ => Class::Ordinary,
        };
        let target =
            (self.kind == ServiceKind::Keyed).then(|| usize::from(choice / 8) % self.servers.len());
        let deadline = self.now + Duration::from_millis(u64::from(choice % 97));
        let id = self.requests.len();
        self.requests.push(Request {
            class,
            idempotent: choice.is_multiple_of(2),
            deadline,
            target,
            sent: 0,
            results: 0,
        });
        let arrival = Arrival {
            id: id as u64,
            team: team(choice / 16),
            class,
            idempotent: choice.is_multiple_of(2),
            deadline,
            target: target.map(upstream_name),
        };
        self.group.on_arrival(self.now, arrival, &mut self.out);
    }

    fn running(&self) -> Vec<usize> {
        (0..self.attempts.len())
            .filter(|index| self.attempts[*index].end == End::Running)
            .collect()
    }

    fn answer(&mut self, pick: usize, choice: u16) {
        let running = self.running();
        if running.is_empty() {
            return;
        }
        let index = running[pick % running.len()];
        let outcome = match choice / 64 % 12 {
            0 => Outcome::Shed,
            1 => Outcome::NotConnected,
            2 => Outcome::Broken,
            3 => Outcome::TimedOut,
            _ => Outcome::Completed { status_class: 2 },
        };
        self.end(index, outcome);
    }

    fn end(&mut self, index: usize, outcome: Outcome) {
        let attempt = &mut self.attempts[index];
        attempt.end = if outcome.is_not_run() {
            End::NotRun
        } else {
            End::MayHaveRun
        };
        let server = &mut self.servers[attempt.upstream];
        if matches!(outcome, Outcome::Completed { .. }) && attempt.cold_starts == server.cold_starts
        {
            server.completed += 1;
        }
        let id = attempt.id;
        self.group
            .on_attempt_ended(self.now, id, outcome, &mut self.out);
    }

    fn start(&mut self, pick: usize) {
        let running = self.running();
        if !running.is_empty() {
            let id = self.attempts[running[pick % running.len()]].id;
            self.group.on_response_started(self.now, id, &mut self.out);
        }
    }

    fn cancel(&mut self, pick: usize) {
        if !self.requests.is_empty() {
            let id = (pick % self.requests.len()) as u64;
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
                    let owner = self.attempts.iter().find(|entry| entry.id == attempt);
                    assert_eq!(owner.map(|entry| entry.request as u64), Some(id));
                    self.result(id);
                }
                Action::Refuse { id, execution, .. } => {
                    let may_have_run = self
                        .attempts
                        .iter()
                        .any(|entry| entry.request as u64 == id && entry.end != End::NotRun);
                    if execution == Execution::NotRun {
                        assert!(!may_have_run, "request {id} is called not run");
                    }
                    self.result(id);
                }
                Action::TurnedCold { upstream } | Action::Reinstated { upstream } => {
                    let server = self.server(&upstream);
                    server.is_cold = true;
                    server.cold_starts += 1;
                    server.completed = 0;
                }
                Action::TurnedWarm { upstream } => self.server(&upstream).is_cold = false,
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
            .any(|entry| entry.request == number && entry.end != End::NotRun);
        assert!(
            request.idempotent || !earlier_may_have_run,
            "non-idempotent request {id} is sent again"
        );
        assert_eq!(request.results, 0, "request {id} is sent after its result");
        assert!(self.now < request.deadline, "request {id} is sent too late");
        assert!(request.target.is_none_or(|expected| expected == target));
        if request.class == Class::Ordinary && request.sent == 0 {
            let overtaken = self.requests.iter().position(|other| {
                other.class == Class::Urgent
                    && other.sent == 0
                    && other.results == 0
                    && other.target == request.target
            });
            assert_eq!(overtaken, None, "urgent waits while {id} is sent");
        }
        self.requests[number].sent += 1;
        let server = &self.servers[target];
        assert!(server.takes_work, "{upstream} takes no work");
        let limit = if server.is_cold {
            3.min(1 + server.completed / 4)
        } else {
            3
        };
        let cold_starts = server.cold_starts;
        self.attempts.push(Attempt {
            id: attempt,
            request: number,
            upstream: target,
            cold_starts,
            end: End::Running,
        });
        let running = self
            .attempts
            .iter()
            .filter(|entry| entry.upstream == target && entry.end == End::Running)
            .count();
        assert!(
            running <= limit as usize,
            "{running} attempts run on {upstream}, limit {limit}"
        );
    }

    fn result(&mut self, id: u64) {
        let request = &mut self.requests[usize::try_from(id).expect("a small id")];
        request.results += 1;
        assert_eq!(request.results, 1, "request {id} has a second result");
    }

    fn number(&self, upstream: &ident::Upstream) -> usize {
        (0..self.servers.len())
            .find(|number| upstream_name(*number) == *upstream)
            .expect("a known upstream")
    }

    fn server(&mut self, upstream: &ident::Upstream) -> &mut Server {
        let number = self.number(upstream);
        &mut self.servers[number]
    }

    /// Lets everything end, so that every request has its result.
    fn finish(&mut self) {
        for _ in 0..10_000 {
            for index in self.running() {
                self.end(index, Outcome::Completed { status_class: 2 });
                self.check();
            }
            let Some(next) = self.group.next_wakeup() else {
                break;
            };
            self.now = self.now.max(next);
            self.group.tick(self.now, &mut self.out);
            self.check();
        }
        let open = self
            .requests
            .iter()
            .position(|request| request.results != 1);
        assert_eq!(open, None, "a request without a result");
        assert!(self.group.is_idle());
    }
}

fn run(kind: ServiceKind, count: usize, seed: u64, steps: &[(u8, u16)]) {
    let mut model = Model::new(kind, count, seed);
    for (kind, choice) in steps {
        model.step(*kind, *choice);
    }
    model.finish();
}

/// Runs random sequences; a failed assertion is a failed property, which quickcheck then shrinks.
#[derive(Clone)]
struct Property(fn(&[(u8, u16)]));

impl Testable for Property {
    fn result(&self, random: &mut Gen) -> TestResult {
        let check = self.0;
        let steps = Vec::<(u8, u16)>::arbitrary(random);
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

fn check_all(check: fn(&[(u8, u16)])) {
    for seed in SEEDS {
        println!("seed {seed}");
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(LONGEST_SEQUENCE, seed))
            .tests(SEQUENCES_PER_SEED)
            .quickcheck(Property(check));
    }
}

/// Guards against overfilled upstreams, repeated runs, lost results and false refusals in pool services.
#[test]
fn pool_group_keeps_its_invariants() {
    check_all(|steps| run(ServiceKind::Pool, 3, 11, steps));
}

/// Guards against the same faults in keyed services, and against a request that reaches another upstream.
#[test]
fn keyed_group_keeps_its_invariants() {
    check_all(|steps| run(ServiceKind::Keyed, 3, 12, steps));
}

/// Guards against a stop that cuts off admitted requests or admits new ones.
#[test]
fn stopped_group_refuses_new_requests_and_completes_old_ones() {
    let mut model = Model::new(ServiceKind::Pool, 2, 13);
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
    model.finish();

    assert!(refused);
    assert!(model.requests[..4].iter().all(|request| request.sent == 1));
}
