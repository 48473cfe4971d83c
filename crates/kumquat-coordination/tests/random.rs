//! Tests the authority protocol with random faults, to cover orders of events that the other tests don't list.

#[path = "fixture"]
mod fixture {
    pub mod cell;
    pub mod network;
}

use std::env;
use std::sync::Mutex;

use fixture::network::{Faults, Network, Statistics};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Seed of the generator that draws the seed of each run.
const GENERATOR_SEED: u64 = 20_260;

/// Events per run; about 20 s of virtual time.
const STEPS_PER_RUN: u64 = 10_000;

/// Number of runs unless the environment sets another one; a million events in total.
const DEFAULT_RUNS: u64 = 100;

/// Environment variable that sets the number of runs.
const RUNS_ENV: &str = "KUMQUAT_RANDOM_RUNS";

/// Time within which a successor must act after the loss of a holder, in microseconds.
const TAKEOVER_LIMIT_US: u64 = 1_300_000;

/// Seed of one run. It has no shrinking, because a smaller seed doesn't give a simpler run.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn runs() -> u64 {
    env::var(RUNS_ENV).map_or(DEFAULT_RUNS, |text| text.parse().expect("a number of runs"))
}

fn check_property(runs: u64, property: fn(Seed) -> TestResult) {
    println!("generator seed {GENERATOR_SEED}, {runs} runs");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, GENERATOR_SEED))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property);
}

fn cell_size(seed: Seed) -> usize {
    5 + usize::try_from(seed.0 % 5).expect("a small number")
}

/// Guards against two VMs that act for one role at the same time, under the faults of section 1.4 of the design.
#[test]
fn at_most_one_vm_acts_under_random_faults() {
    static TOTAL: Mutex<Statistics> = Mutex::new(Statistics::ZERO);

    fn property(seed: Seed) -> TestResult {
        let mut network = Network::new(cell_size(seed), seed.0, Faults::Many);
        for _ in 0..STEPS_PER_RUN {
            if let Err(message) = network.step() {
                return TestResult::error(format!("seed {}: {message}", seed.0));
            }
        }
        TOTAL.lock().expect("a lock").add(&network.statistics);
        TestResult::passed()
    }

    check_property(runs(), property);

    // The property also holds for runs without events, so the numbers of events are checked.
    let total = *TOTAL.lock().expect("a lock");
    println!("{total:?}");
    assert_eq!(total.steps, runs() * STEPS_PER_RUN);
    for count in [
        total.fences,
        total.takeovers,
        total.restarts,
        total.membership_changes,
        total.role_changes,
    ] {
        assert!(count >= runs(), "too few events: {total:?}");
    }
}

/// Guards against a role for which no VM acts: a successor must take over while a majority of the cell is alive.
#[test]
fn successor_takes_over_within_1300_ms_while_majority_is_alive() {
    fn property(seed: Seed) -> TestResult {
        let cell_size = cell_size(seed);
        let mut network = Network::new(cell_size, seed.0, Faults::Few);
        let start_us = 3_000_000 + seed.0 % 1_000_000;
        while network.time_us < start_us {
            network.step().expect("one acting VM");
        }
        let acting_node = network.acting_node().expect("the first holder acts");

        // One or two of the three holders are lost, and enough other VMs that the lost VMs are the largest minority.
        let minority = (cell_size - 1) / 2;
        let lost_holders = 1 + usize::try_from(seed.0 / 7 % 2).expect("a small number");
        network.stop(acting_node);
        (1..lost_holders).for_each(|node| network.stop(node));
        (cell_size - (minority - lost_holders)..cell_size).for_each(|node| network.stop(node));
        let lost_at_us = network.time_us;

        while network.acting_node().is_none_or(|node| node < lost_holders) {
            network.step().expect("one acting VM");
            if network.time_us > lost_at_us + TAKEOVER_LIMIT_US {
                return TestResult::error(format!(
                    "seed {}, cell of {cell_size}: no VM acts after the loss of {minority} VMs at {lost_at_us} us, \
                     of them {lost_holders} holders with VM {acting_node}\n{}",
                    seed.0,
                    network.describe_nodes()
                ));
            }
        }
        TestResult::passed()
    }

    check_property(runs(), property);
}
