//! Guards the authority protocol against orders of events that nobody thought of.

#[path = "fixture"]
mod fixture {
    pub mod cell;
    pub mod network;
}

use std::env;
use std::sync::Mutex;

use fixture::network::{Faults, Network, Statistics};
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

/// Seed of the generator from which the seeds of the runs are drawn.
const SEED: u64 = 20_260;

/// Steps per run; about 20 s of virtual time.
const STEPS: u64 = 10_000;

/// Number of runs, so that a million steps are made by default.
const RUNS: u64 = 100;

/// Variable that sets another number of runs.
const RUNS_VARIABLE: &str = "KUMQUAT_RANDOM_RUNS";

/// Time within which a role is taken over, in microseconds.
const TAKEOVER: u64 = 1_300_000;

/// Seed of one run; a smaller seed is no simpler run, so seeds don't shrink.
#[derive(Clone, Copy, Debug)]
struct Seed(u64);

impl Arbitrary for Seed {
    fn arbitrary(g: &mut Gen) -> Self {
        Self(u64::arbitrary(g))
    }
}

fn runs() -> u64 {
    env::var(RUNS_VARIABLE).map_or(RUNS, |text| text.parse().expect("a number of runs"))
}

fn check(runs: u64, property: fn(Seed) -> TestResult) {
    println!("generator seed {SEED}, {runs} runs");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(runs)
        .max_tests(runs)
        .quickcheck(property);
}

fn size(seed: Seed) -> usize {
    5 + usize::try_from(seed.0 % 5).expect("a small number")
}

/// Guards against two VMs acting for one role at the same time, under any faults of section 1.4 of the design.
#[test]
fn at_most_one_vm_acts_at_any_time() {
    static TOTAL: Mutex<Statistics> = Mutex::new(Statistics::NONE);

    fn property(seed: Seed) -> TestResult {
        let mut network = Network::new(size(seed), seed.0, Faults::Many);
        for _ in 0..STEPS {
            if let Err(message) = network.step() {
                return TestResult::error(format!("seed {}: {message}", seed.0));
            }
        }
        TOTAL.lock().expect("a lock").add(&network.statistics);
        TestResult::passed()
    }

    check(runs(), property);

    // Runs in which nothing happens would pass as well.
    let total = *TOTAL.lock().expect("a lock");
    println!("{total:?}");
    assert_eq!(total.steps, runs() * STEPS);
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

/// Guards against a role without a holder: the successors of lost VMs must take over while a majority lives.
#[test]
fn a_lost_role_is_taken_over_while_a_majority_lives() {
    fn property(seed: Seed) -> TestResult {
        let size = size(seed);
        let mut network = Network::new(size, seed.0, Faults::Few);
        let start = 3_000_000 + seed.0 % 1_000_000;
        while network.time < start {
            network.step().expect("one acting VM");
        }
        let first = network.acting_node().expect("the first holder acts");

        // The first one or two of the three holders are lost, and others up to a minority.
        let minority = (size - 1) / 2;
        let lost = 1 + usize::try_from(seed.0 / 7 % 2).expect("a small number");
        network.lose(first);
        (1..lost).for_each(|node| network.lose(node));
        (size - (minority - lost)..size).for_each(|node| network.lose(node));
        let lost_at = network.time;

        while network.acting_node().is_none_or(|node| node < lost) {
            network.step().expect("one acting VM");
            if network.time > lost_at + TAKEOVER {
                return TestResult::error(format!(
                    "seed {}, {size} VMs, lost {first} and {lost} {minority} at {lost_at}: no VM acts\n{}",
                    seed.0,
                    network.describe()
                ));
            }
        }
        TestResult::passed()
    }

    check(runs(), property);
}
