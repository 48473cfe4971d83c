//! The `tables` module compares the slot table with static ranges, rendezvous hashing and jump hashing.

use kumquat_coordination::coordinator::balance::SlotAssignment;
use kumquat_state::hash;
use kumquat_state::ident::{Epoch, Slot};
use kumquat_state::slots::{Owner, SlotTable};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::cpu::nanos_of;
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{float, float_len, ratio};

const SLOTS: usize = 1_024;
const KEYS: u32 = 100_000;

/// Exponent of the key popularity; with it the hottest key stays below the fair share of an upstream.
const SKEW: f64 = 0.8;

/// Slots that one step may move, as in the coordinator.
const STEP: usize = SLOTS / 64;

/// Most steps until the load has to be spread.
const STEPS: usize = 200;

/// Calls for the measurement of a cost.
const CALLS: u32 = 1_000_000;

/// Reports churn, imbalance and costs for the keyed services of both deployments.
pub fn run(settings: &Settings, report: &mut Report) {
    for (firm, upstreams) in [("port-louis", 15), ("dar", 13)] {
        let loads = loads(settings.seed);
        let scenario = format!("{firm}, {upstreams} upstreams, skewed load");
        slot_table(&scenario, upstreams, &loads, report);
        let ranges = |upstreams: usize, slot: usize| slot * upstreams / SLOTS;
        hashed(
            &scenario,
            "static table",
            upstreams,
            &loads,
            &ranges,
            report,
        );
        hashed(
            &scenario,
            "rendezvous",
            upstreams,
            &loads,
            &rendezvous,
            report,
        );
        let by_jump = |upstreams, slot| jump(mixed(slot as u64), upstreams);
        hashed(&scenario, "jump", upstreams, &loads, &by_jump, report);
    }
    costs(settings, report);
    report.note(format!(
        "slot loads: {KEYS} keys with popularity 1 / rank^{SKEW}, hashed to {SLOTS} slots"
    ));
    report.note("churn counts slots; the minimum is the fair number of slots of the upstream that comes or goes");
}

/// Draws the load of each slot.
fn loads(seed: u64) -> Vec<u64> {
    let mut random = SmallRng::seed_from_u64(seed);
    let offset: u64 = random.random();
    let mut loads = vec![0; SLOTS];
    for rank in 1..=KEYS {
        let key = hash::key(&(offset ^ u64::from(rank)).to_le_bytes());
        let slot = hash::slot(key, u32::try_from(SLOTS).unwrap_or(u32::MAX));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "the weight lies between 0 and 1,000,000"
        )]
        let weight = (1e6 / f64::from(rank).powf(SKEW)) as u64;
        loads[slot.0 as usize] += weight;
    }
    loads
}

fn slot_table(scenario: &str, upstreams: usize, loads: &[u64], report: &mut Report) {
    let place = (scenario, "slot table");
    let mut problem = SlotAssignment {
        weights: vec![1; upstreams],
        placed_loads: vec![0; upstreams],
        slot_loads: loads.to_vec(),
        owners: vec![None; SLOTS],
    };
    let all: Vec<u32> = (0..).take(SLOTS).collect();
    problem.assign_free_slots(&all);
    settle(&mut problem);
    add_imbalance(place, float(problem.imbalance_permille()) / 1_000.0, report);

    // An upstream joins: slots move to it until the load is even.
    let mut joined = problem.clone();
    joined.weights.push(1);
    joined.placed_loads.push(0);
    let moved = settle(&mut joined);
    let least = float_len(SLOTS) / float_len(upstreams + 1);
    add_churn(place, "one joins", float_len(moved) / least, report);
    let value = float(joined.imbalance_permille()) / 1_000.0;
    report.add(place, "imbalance after the join", (value, "x"), None);

    // An upstream leaves: only its slots have to move. The last one leaves, so that the indexes of the others stay.
    let leaver = upstreams - 1;
    let mut left = problem;
    let owned: Vec<u32> = (0u32..)
        .zip(&left.owners)
        .filter(|(_, owner)| **owner == Some(leaver))
        .map(|(slot, _)| slot)
        .collect();
    left.weights.pop();
    left.placed_loads.pop();
    for slot in &owned {
        left.owners[*slot as usize] = None;
    }
    left.assign_free_slots(&owned);
    let moved = owned.len() + settle(&mut left);
    let churn = ratio(float_len(moved), float_len(owned.len()));
    add_churn(place, "one leaves", churn, report);
    let value = float(left.imbalance_permille()) / 1_000.0;
    report.add(place, "imbalance after the leave", (value, "x"), None);
}

/// Moves slots in steps, as the coordinator does, until the load is even; returns how many slots have moved.
fn settle(problem: &mut SlotAssignment) -> usize {
    let mut moved = 0;
    for _ in 0..STEPS {
        let chosen = problem.select_slots_to_move(STEP);
        if chosen.is_empty() {
            break;
        }
        let before: Vec<Option<usize>> = problem.owners.clone();
        for slot in &chosen {
            problem.owners[*slot as usize] = None;
        }
        problem.assign_free_slots(&chosen);
        let changed = chosen
            .iter()
            .filter(|slot| before[**slot as usize] != problem.owners[**slot as usize]);
        moved += changed.count();
    }
    moved
}

fn hashed(
    scenario: &str,
    policy: &str,
    upstreams: usize,
    loads: &[u64],
    owner: &dyn Fn(usize, usize) -> usize,
    report: &mut Report,
) {
    let place = (scenario, policy);
    let mut totals = vec![0; upstreams];
    for (slot, load) in loads.iter().enumerate() {
        totals[owner(upstreams, slot)] += load;
    }
    let highest = totals.iter().max().copied().unwrap_or(0);
    let mean = float(totals.iter().sum()) / float_len(upstreams);
    add_imbalance(place, float(highest) / mean, report);
    for (name, others) in [("one joins", upstreams + 1), ("one leaves", upstreams - 1)] {
        let moved = (0..SLOTS)
            .filter(|slot| owner(upstreams, *slot) != owner(others, *slot))
            .count();
        let least = float_len(SLOTS) / float_len(upstreams.max(others));
        add_churn(place, name, float_len(moved) / least, report);
    }
}

fn add_imbalance(place: (&str, &str), value: f64, report: &mut Report) {
    let bound = (place.1 == "slot table").then_some(Bound::AtMost(1.15));
    report.add(place, "imbalance, maximum over mean", (value, "x"), bound);
}

fn add_churn(place: (&str, &str), name: &str, value: f64, report: &mut Report) {
    let bound = (place.1 == "slot table").then_some(Bound::AtMost(1.1));
    let measure = format!("churn of the minimum, {name}");
    report.add(place, &measure, (value, "x"), bound);
}

fn rendezvous(upstreams: usize, slot: usize) -> usize {
    let score = |upstream: &usize| mixed((slot as u64) << 32 | *upstream as u64);
    (0..upstreams).max_by_key(score).unwrap_or(0)
}

fn mixed(value: u64) -> u64 {
    hash::key(&value.to_le_bytes())
}

/// Jump consistent hashing after Lamping and Veach (2014).
fn jump(mut key: u64, buckets: usize) -> usize {
    let mut bucket = 0;
    let mut next = 0;
    while next < buckets {
        bucket = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let draw = float((key >> 33) + 1) / float(1 << 31);
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a float cast saturates, and the value is not negative"
        )]
        let jumped = (float_len(bucket + 1) / draw) as usize;
        next = jumped;
    }
    bucket
}

fn costs(settings: &Settings, report: &mut Report) {
    let calls = if settings.quick { CALLS / 10 } else { CALLS };
    for slots in [1_024, 1_048_576] {
        let scenario = format!("cost at {slots} slots");
        let table = table(slots);
        let cost = nanos_of(calls, |number| {
            table.owner(mixed(u64::from(number))).is_some()
        });
        report.add((&scenario, "slot table"), "lookup", (cost, "ns"), None);
    }
    let cost = nanos_of(calls, |number| rendezvous(15, number as usize));
    report.add(
        ("cost at 15 upstreams", "rendezvous"),
        "lookup",
        (cost, "ns"),
        None,
    );
    let cost = nanos_of(calls, |number| jump(mixed(u64::from(number)), 15));
    report.add(
        ("cost at 15 upstreams", "jump"),
        "lookup",
        (cost, "ns"),
        None,
    );
    let mut problem = SlotAssignment {
        weights: vec![1; 15],
        placed_loads: vec![0; 15],
        slot_loads: loads(settings.seed),
        owners: (0..SLOTS).map(|slot| Some(slot * 15 / SLOTS)).collect(),
    };
    problem.weights.push(1);
    problem.placed_loads.push(0);
    let cost = nanos_of(calls / 1_000, |_| problem.select_slots_to_move(STEP));
    let place = ("cost at 16 upstreams", "slot table");
    report.add(place, "choice of one step", (cost, "ns"), None);
}

/// Creates a table with ranges of eight slots.
fn table(slots: u32) -> SlotTable {
    let service = "catalogue".parse().expect("a valid name");
    let mut table = SlotTable::new(service, slots);
    table.ranges = (0..slots)
        .step_by(8)
        .map(|first| kumquat_state::slots::SlotRange {
            first: Slot(first),
            owner: Some(Owner {
                upstream: format!("catalogue-{:02}", first / 8 % 15)
                    .parse()
                    .expect("a valid name"),
                epoch: Epoch(1),
            }),
        })
        .collect();
    table
}
