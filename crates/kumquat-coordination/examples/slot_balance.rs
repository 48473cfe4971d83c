//! Compares the slot table with rendezvous hashing and jump hashing: keys moved and imbalance, with fixed seeds.
//!
//! Run with `cargo run --release -p kumquat-coordination --example slot_balance`. Each run starts with 15 upstreams
//! and goes through the same random leaves and joins. The rate of the k-th hottest key is proportional to `k^-s`, with
//! a skew `s` of 0, 0.6 and 0.9. All three methods assign slots and differ only in the choice of the owner.

use kumquat_coordination::coordinator::balance::SlotAssignment;
use kumquat_state::hash;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use siphasher::sip::SipHasher13;
use std::hash::Hasher;

const SLOTS: u32 = 1_024;
const KEYS: u32 = 100_000;
const MEMBERSHIP_CHANGES: usize = 40;
const INITIAL_UPSTREAMS: u64 = 15;

/// Rebalancing steps after each leave or join, of 16 slots each, which suffice to give a new upstream its share.
const REBALANCE_STEPS: usize = 40;

/// Results of a run: slots moved, the minimum that had to move, and the imbalance after each leave or join.
#[derive(Default)]
struct RunStats {
    moved_slots: u64,
    min_moved_slots: f64,
    imbalances: Vec<f64>,
}

/// Returns the load of each slot in thousandths of a request per second.
fn slot_loads(rng: &mut StdRng, skew: f64) -> Vec<u64> {
    let mut loads = vec![0; SLOTS as usize];
    for rank in 1..=KEYS {
        let key = hash::key(&rng.random_range(0..u64::MAX).to_le_bytes());
        let rate = 1e7 / f64::from(rank).powf(skew);
        loads[hash::slot(key, SLOTS).0 as usize] += truncate(rate);
    }
    loads
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are positive and far below the limit"
)]
fn truncate(rate: f64) -> u64 {
    rate as u64
}

#[expect(clippy::cast_precision_loss, reason = "loads are far below 2^52")]
fn as_float(value: u64) -> f64 {
    value as f64
}

fn hash_pair(slot: u32, upstream: u64) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(1, 2);
    hasher.write_u32(slot);
    hasher.write_u64(upstream);
    hasher.finish()
}

fn rendezvous(slot: u32, upstreams: &[u64]) -> u64 {
    let highest = upstreams
        .iter()
        .max_by_key(|upstream| hash_pair(slot, **upstream));
    *highest.expect("an upstream")
}

/// Chooses an upstream by jump consistent hashing, whose index changes for all upstreams after one that leaves.
fn jump(slot: u32, upstreams: &[u64]) -> u64 {
    let mut key = hash_pair(slot, 0);
    let mut index = 0;
    let mut next = 0;
    while next < upstreams.len() {
        index = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let ratio = f64::from(1_u32 << 31) / as_float((key >> 33) + 1);
        let jump = truncate(as_float(index as u64 + 1) * ratio);
        next = usize::try_from(jump).unwrap_or(usize::MAX);
    }
    upstreams[index]
}

/// Keeps the current owners and moves as few slots as possible, as the coordinator does.
fn slot_table(owners: &[u64], upstreams: &[u64], loads: &[u64]) -> Vec<u64> {
    let index_of = |name: &u64| upstreams.iter().position(|upstream| upstream == name);
    let mut assignment = SlotAssignment {
        weights: vec![1; upstreams.len()],
        placed_loads: Vec::new(),
        slot_loads: loads.to_vec(),
        owners: owners.iter().map(index_of).collect(),
    };
    let free: Vec<u32> = (0..SLOTS)
        .filter(|slot| assignment.owners[*slot as usize].is_none())
        .collect();
    assignment.assign_free_slots(&free);
    for _ in 0..REBALANCE_STEPS {
        let chosen = assignment.select_slots_to_move(SLOTS as usize / 64);
        for slot in &chosen {
            assignment.owners[*slot as usize] = None;
        }
        assignment.assign_free_slots(&chosen);
    }
    assignment
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

/// Runs the leaves and joins of `seed` with one method to choose owners.
fn run(seed: u64, loads: &[u64], choose: impl Fn(&[u64], &[u64], &[u64]) -> Vec<u64>) -> RunStats {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut upstreams: Vec<u64> = (1..=INITIAL_UPSTREAMS).collect();
    let mut next_upstream = INITIAL_UPSTREAMS + 1;
    let mut owners = choose(&vec![0; SLOTS as usize], &upstreams, loads);
    let mut stats = RunStats::default();
    stats.imbalances.push(imbalance(&owners, &upstreams, loads));
    for change in 0..MEMBERSHIP_CHANGES {
        let min_moved = if change.is_multiple_of(2) {
            // A leave has to move the slots that the upstream owned, a join one fair share.
            let removed = upstreams.remove(rng.random_range(0..upstreams.len()));
            owners.iter().filter(|owner| **owner == removed).count() as u64
        } else {
            upstreams.push(next_upstream);
            next_upstream += 1;
            u64::from(SLOTS) / upstreams.len() as u64
        };
        let after = choose(&owners, &upstreams, loads);
        let moved = owners.iter().zip(&after).filter(|(a, b)| a != b).count();
        stats.moved_slots += moved as u64;
        stats.min_moved_slots += as_float(min_moved);
        owners = after;
        stats.imbalances.push(imbalance(&owners, &upstreams, loads));
    }
    stats
}

fn print_stats(name: &str, stats: &RunStats) {
    let count = as_float(stats.imbalances.len() as u64);
    let mean = stats.imbalances.iter().sum::<f64>() / count;
    let highest = stats.imbalances.iter().copied().fold(0.0, f64::max);
    println!(
        "  {name:<11} churn {:>5.2} times the minimum, imbalance mean {mean:.2}, highest {highest:.2}",
        as_float(stats.moved_slots) / stats.min_moved_slots,
    );
}

fn main() {
    for (seed, skew) in [(1, 0.0), (2, 0.6), (3, 0.9)] {
        println!(
            "{KEYS} keys, rate of the k-th key ~ k^-{skew}, {SLOTS} slots, {MEMBERSHIP_CHANGES} leaves and joins, seed {seed}"
        );
        let loads = slot_loads(&mut StdRng::seed_from_u64(seed), skew);
        let run_hashing = |choose: fn(u32, &[u64]) -> u64| {
            run(seed, &loads, move |_, upstreams, _| {
                (0..SLOTS).map(|slot| choose(slot, upstreams)).collect()
            })
        };
        print_stats("slot table", &run(seed, &loads, slot_table));
        print_stats("rendezvous", &run_hashing(rendezvous));
        print_stats("jump", &run_hashing(jump));
    }
}
