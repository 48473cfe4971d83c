//! Compares the slot table with rendezvous hashing and jump hashing: keys moved and imbalance, with fixed seeds.
//!
//! Run with `cargo run --release -p kumquat-coordination --example slot_balance`. Each run starts with 15 upstreams and
//! goes through the same random leaves and joins. The traffic has a skew: the rate of the k-th hottest key is
//! proportional to `k^-0.9`. All three ways assign slots, so that they differ only in how they choose the owner.

use kumquat_coordination::coordinator::balance::SlotAssignment;
use kumquat_state::hash;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

const SLOTS: u32 = 1_024;
const KEYS: u32 = 100_000;
const EVENTS: usize = 40;
const START: u64 = 15;

/// Steps of relief after each event: at 16 slots a step, enough for one upstream to fill up.
const RELIEF_STEPS: usize = 40;

/// Mean and maximum over a run.
#[derive(Default)]
struct Tally {
    moved: u64,
    minimum: f64,
    imbalance: Vec<f64>,
}

/// Returns the load of each slot, in thousandths of a request per second, and the rate of each key in the same unit.
fn loads(rng: &mut StdRng, skew: f64) -> Vec<u64> {
    let mut loads = vec![0; SLOTS as usize];
    for rank in 1..=KEYS {
        let key = hash::key(&rng.random_range(0..u64::MAX).to_le_bytes());
        let rate = 1e7 / f64::from(rank).powf(skew);
        loads[hash::slot(key, SLOTS).0 as usize] += as_units(rate);
    }
    loads
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are positive and far below the limit"
)]
fn as_units(rate: f64) -> u64 {
    rate as u64
}

#[expect(clippy::cast_precision_loss, reason = "loads are far below 2^52")]
fn as_float(value: u64) -> f64 {
    value as f64
}

fn mix(slot: u32, upstream: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(1, 2);
    hasher.write_u32(slot);
    hasher.write_u64(upstream);
    hasher.finish()
}

fn rendezvous(slot: u32, upstreams: &[u64]) -> u64 {
    let highest = upstreams
        .iter()
        .max_by_key(|upstream| mix(slot, **upstream));
    *highest.expect("an upstream")
}

/// Jump consistent hashing chooses an index, so that a leave in the middle renumbers the upstreams after it.
fn jump(slot: u32, upstreams: &[u64]) -> u64 {
    let mut key = mix(slot, 0);
    let mut index = 0;
    let mut next = 0;
    while next < upstreams.len() {
        index = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let part = f64::from(1_u32 << 31) / as_float((key >> 33) + 1);
        let jump = as_units(as_float(index as u64 + 1) * part);
        next = usize::try_from(jump).unwrap_or(usize::MAX);
    }
    upstreams[index]
}

/// Keeps the present owners and moves as little as possible, as the coordinator does.
fn table(owners: &[u64], upstreams: &[u64], loads: &[u64]) -> Vec<u64> {
    let index_of = |name: &u64| upstreams.iter().position(|upstream| upstream == name);
    let mut problem = SlotAssignment {
        weights: vec![1; upstreams.len()],
        placed_loads: Vec::new(),
        slot_loads: loads.to_vec(),
        owners: owners.iter().map(index_of).collect(),
    };
    let free: Vec<u32> = (0..SLOTS)
        .filter(|slot| problem.owners[*slot as usize].is_none())
        .collect();
    problem.assign_free_slots(&free);
    for _ in 0..RELIEF_STEPS {
        let chosen = problem.select_slots_to_move(SLOTS as usize / 64);
        for slot in &chosen {
            problem.owners[*slot as usize] = None;
        }
        problem.assign_free_slots(&chosen);
    }
    problem
        .owners
        .iter()
        .map(|owner| upstreams[owner.expect("an owner")])
        .collect()
}

fn imbalance(owners: &[u64], upstreams: &[u64], loads: &[u64]) -> f64 {
    let totals = upstreams.iter().map(|upstream| {
        let own = owners
            .iter()
            .zip(loads)
            .filter(|(owner, _)| *owner == upstream);
        own.map(|(_, load)| load).sum::<u64>()
    });
    let total: u64 = loads.iter().sum();
    as_float(totals.max().unwrap_or(0)) * as_float(upstreams.len() as u64) / as_float(total)
}

/// Runs the events with one way to choose owners.
fn run(seed: u64, loads: &[u64], choose: impl Fn(&[u64], &[u64], &[u64]) -> Vec<u64>) -> Tally {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut upstreams: Vec<u64> = (1..=START).collect();
    let mut next = START + 1;
    let mut owners = choose(&vec![0; SLOTS as usize], &upstreams, loads);
    let mut tally = Tally::default();
    tally.imbalance.push(imbalance(&owners, &upstreams, loads));
    for event in 0..EVENTS {
        let minimum = if event.is_multiple_of(2) {
            // A leave has to move what the upstream owned, a join one fair share.
            let gone = upstreams.remove(rng.random_range(0..upstreams.len()));
            owners.iter().filter(|owner| **owner == gone).count() as u64
        } else {
            upstreams.push(next);
            next += 1;
            u64::from(SLOTS) / upstreams.len() as u64
        };
        let after = choose(&owners, &upstreams, loads);
        let moved = owners.iter().zip(&after).filter(|(a, b)| a != b).count();
        tally.moved += moved as u64;
        tally.minimum += as_float(minimum);
        owners = after;
        tally.imbalance.push(imbalance(&owners, &upstreams, loads));
    }
    tally
}

fn print(name: &str, tally: &Tally) {
    let count = as_float(tally.imbalance.len() as u64);
    let mean = tally.imbalance.iter().sum::<f64>() / count;
    let highest = tally.imbalance.iter().copied().fold(0.0, f64::max);
    println!(
        "  {name:<11} churn {:>5.2} times the minimum, imbalance mean {mean:.2}, highest {highest:.2}",
        as_float(tally.moved) / tally.minimum,
    );
}

fn main() {
    for (seed, skew) in [(1, 0.0), (2, 0.6), (3, 0.9)] {
        println!(
            "{KEYS} keys, rate of the k-th key ~ k^-{skew}, {SLOTS} slots, {EVENTS} leaves and joins, seed {seed}"
        );
        let loads = loads(&mut StdRng::seed_from_u64(seed), skew);
        let by = |choose: fn(u32, &[u64]) -> u64| {
            run(seed, &loads, move |_, upstreams, _| {
                (0..SLOTS).map(|slot| choose(slot, upstreams)).collect()
            })
        };
        print("slot table", &run(seed, &loads, table));
        print("rendezvous", &by(rendezvous));
        print("jump", &by(jump));
    }
}
