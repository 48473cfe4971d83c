//! The `model` module enforces a team's rate over 9 VMs in three ways, in virtual time.
//!
//! `kumquat-bench` judges the same runs, so that both have one copy. A request counts as refused within rate if an exact
//! bucket that sees all requests without delay would have admitted it.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use kumquat_coordination::limit::{Action, Ask, Credit, CreditCache, Issuer, Options, Verdict};
use kumquat_state::clock::Instant;
use kumquat_state::ident::Incarnation;
use kumquat_state::ledger::Holder;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const VMS: usize = 9;
const STEP_MICROS: u64 = 100;
const DELAY_MICROS: u64 = 500;
/// Time at the beginning of a run whose requests are not judged.
const WARM_UP: Duration = Duration::from_secs(2);

/// Traffic of one team.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    /// Requests per second.
    pub rate: u32,
    /// Requests at once.
    pub burst: u32,
    /// Offered load relative to the rate.
    pub factor: f64,
    /// Time after which the traffic moves to other VMs.
    moves_every: Duration,
}

/// What a run counted after its warm-up; messages are counted from the beginning.
#[derive(Debug, Default)]
pub struct Tally {
    /// Requests.
    pub offered: u64,
    /// Requests that the exact bucket admits.
    pub within: u64,
    /// Requests that were admitted.
    pub admitted: u64,
    /// Requests that only the exact bucket admits.
    pub refused_within: u64,
    /// Requests that had to wait for an answer of the home.
    pub waited: u64,
    /// Messages between entries and home.
    pub messages: u64,
    /// Length of the run.
    pub seconds: f64,
}

/// An exact bucket in parts of a millionth.
struct Bucket {
    rate: u64,
    burst: u64,
    level: u64,
    at: u64,
}

impl Bucket {
    fn new(rate: u64, burst: u64) -> Self {
        Self {
            rate,
            burst,
            level: 0,
            at: 0,
        }
    }

    fn take(&mut self, micros: u64) -> bool {
        self.level = (self.level + (micros - self.at) * self.rate).min(self.burst * 1_000_000);
        self.at = micros;
        let admitted = self.level >= 1_000_000;
        if admitted {
            self.level -= 1_000_000;
        }
        admitted
    }
}

fn micros_of(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

/// Produces the same arrivals for each way that is compared: the VM of each request, per step.
pub fn arrivals(load: Load, seed: u64, length: Duration) -> Vec<(u64, usize)> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut weights = [1.0; VMS];
    let mut next_move = 0;
    let mut micros = 0_u64;
    let end = micros_of(WARM_UP + length);
    let mut arrivals = Vec::new();
    loop {
        let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
        let gap = -uniform.ln() / (f64::from(load.rate) * load.factor) * 1e6;
        micros += micros_of(Duration::from_secs_f64(gap / 1e6));
        if micros >= end {
            return arrivals;
        }
        if micros >= next_move {
            // Most of the traffic comes to one or two VMs, which change.
            next_move += micros_of(load.moves_every);
            weights = [0.1; VMS];
            weights[rng.random_range(0..VMS)] += 4.0;
            weights[rng.random_range(0..VMS)] += 2.0;
        }
        let mut point = rng.random_range(0.0..weights.iter().sum::<f64>());
        let vm = weights
            .iter()
            .position(|weight| {
                point -= weight;
                point < 0.0
            })
            .unwrap_or(0);
        arrivals.push((micros, vm));
    }
}

fn judge(
    load: Load,
    arrivals: &[(u64, usize)],
    admitted: &BTreeSet<usize>,
    messages: u64,
) -> Tally {
    let mut ideal = Bucket::new(u64::from(load.rate), u64::from(load.burst));
    let mut tally = Tally {
        messages,
        seconds: Duration::from_micros(arrivals.last().map_or(0, |last| last.0)).as_secs_f64(),
        ..Tally::default()
    };
    for (index, (micros, _)) in arrivals.iter().enumerate() {
        let within = ideal.take(*micros);
        if u128::from(*micros) < WARM_UP.as_micros() {
            continue;
        }
        tally.offered += 1;
        tally.within += u64::from(within);
        tally.admitted += u64::from(admitted.contains(&index));
        tally.refused_within += u64::from(within && !admitted.contains(&index));
    }
    tally
}

/// Gives each VM the same part of the rate.
pub fn run_static(load: Load, arrivals: &[(u64, usize)]) -> Tally {
    let vms = VMS as u64;
    let mut buckets: Vec<Bucket> = (0..VMS)
        .map(|_| {
            Bucket::new(
                u64::from(load.rate) / vms,
                (u64::from(load.burst) / vms).max(1),
            )
        })
        .collect();
    let mut admitted = BTreeSet::new();
    for (index, (micros, vm)) in arrivals.iter().enumerate() {
        if buckets[*vm].take(*micros) {
            admitted.insert(index);
        }
    }
    judge(load, arrivals, &admitted, 0)
}

/// Asks one bucket for each request.
pub fn run_central(load: Load, arrivals: &[(u64, usize)]) -> Tally {
    let mut bucket = Bucket::new(u64::from(load.rate), u64::from(load.burst));
    let mut admitted = BTreeSet::new();
    for (index, (micros, _)) in arrivals.iter().enumerate() {
        if bucket.take(*micros + DELAY_MICROS) {
            admitted.insert(index);
        }
    }
    judge(load, arrivals, &admitted, 2 * arrivals.len() as u64)
}

enum Message {
    Ask(usize, Ask),
    Credit(usize, Credit),
}

/// Lets the home lend credits that follow the demand: the product.
pub fn run_leased(load: Load, arrivals: &[(u64, usize)]) -> Tally {
    let holder = |vm: usize| Holder {
        vm: format!("vm-{vm}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
    };
    let holders: Vec<Holder> = (0..VMS).map(holder).collect();
    let mut issuer = Issuer::new(load.rate, load.burst, Instant::ORIGIN);
    let mut shares: Vec<CreditCache> = (0..VMS)
        .map(|_| CreditCache::new(Options::default(), Instant::ORIGIN))
        .collect();
    let mut network: VecDeque<(u64, Message)> = VecDeque::new();
    let mut waiting = Vec::new();
    let mut admitted = BTreeSet::new();
    let mut messages = 0;
    let mut waited = 0;
    let mut next = 0;

    let end = arrivals.last().map_or(0, |last| last.0) + 200_000;
    for step in 0..end / STEP_MICROS {
        let micros = step * STEP_MICROS;
        let now = Instant::from_micros(micros);
        let mut actions: Vec<(usize, Action)> = Vec::new();
        while network.front().is_some_and(|(due, _)| *due <= micros) {
            match network.pop_front() {
                Some((_, Message::Ask(vm, ask))) => {
                    let credit = issuer.request(now, &holders[vm], &ask);
                    network.push_back((micros + DELAY_MICROS, Message::Credit(vm, credit)));
                    messages += 1;
                }
                Some((_, Message::Credit(vm, credit))) => {
                    let more = shares[vm].on_credit(now, &credit);
                    actions.extend(more.into_iter().map(|action| (vm, action)));
                }
                None => {}
            }
        }
        while arrivals.get(next).is_some_and(|(at, _)| *at <= micros) {
            let vm = arrivals[next].1;
            match shares[vm].spend(now) {
                Verdict::Spent => {
                    admitted.insert(next);
                }
                Verdict::Wait(ticket) => {
                    waited += u64::from(u128::from(arrivals[next].0) >= WARM_UP.as_micros());
                    waiting.push((vm, ticket, next));
                }
                Verdict::Refuse { .. } => {}
            }
            next += 1;
        }
        for (vm, share) in shares.iter_mut().enumerate() {
            actions.extend(share.tick(now).into_iter().map(|action| (vm, action)));
        }
        for (vm, action) in actions {
            match action {
                Action::Ask(ask) => {
                    network.push_back((micros + DELAY_MICROS, Message::Ask(vm, ask)));
                    messages += 1;
                }
                Action::Admit(ticket) => {
                    let found = waiting
                        .iter()
                        .position(|(at, other, _)| (*at, *other) == (vm, ticket));
                    let (_, _, index) = waiting.swap_remove(found.expect("a waiting request"));
                    admitted.insert(index);
                }
                Action::Refuse { ticket, .. } => {
                    waiting.retain(|(at, other, _)| (*at, *other) != (vm, ticket));
                }
            }
        }
    }
    Tally {
        waited,
        ..judge(load, arrivals, &admitted, messages)
    }
}

/// The loads that are compared.
pub fn loads() -> [(&'static str, Load); 6] {
    let load = |rate, burst, factor| Load {
        rate,
        burst,
        factor,
        moves_every: Duration::from_secs(1),
    };
    [
        ("large team, 0.6 of its rate", load(2_000, 400, 0.6)),
        ("large team, 0.9 of its rate", load(2_000, 400, 0.9)),
        ("large team at its rate", load(2_000, 400, 1.0)),
        ("small team, 0.6 of its rate", load(50, 25, 0.6)),
        ("small team, 0.9 of its rate", load(50, 25, 0.9)),
        ("large team, 5 times its rate", load(2_000, 400, 5.0)),
    ]
}
