//! Guards the heavy-hitter counter: a hot key that is missed overloads its upstream.

use std::collections::BTreeMap;
use std::time::Duration;

use kumquat_coordination::hotkey::{Counter, HotKey, Options};
use kumquat_state::clock::Instant;
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const OPTIONS: Options = Options {
    capacity: 64,
    half_life: Duration::from_secs(1),
};

/// A counter with room for every key that occurs, which decays in the same way and takes no entry over.
fn exact() -> Counter {
    let options = Options {
        capacity: 20_000,
        ..OPTIONS
    };
    Counter::new(options, Instant::ORIGIN)
}

/// Draws a key of 10,000 with a skew; `shift` changes which keys are hot.
fn draw(rng: &mut StdRng, shift: u64) -> u64 {
    let uniform: f64 = rng.random_range(0.000_1..1.0);
    let rank = (1..=10_000).find(|rank| f64::from(*rank) * uniform >= 1.0);
    u64::from(rank.unwrap_or(0_u32)) + shift * 10_000
}

fn rates(hot: &[HotKey]) -> BTreeMap<u64, f64> {
    hot.iter().map(|hot| (hot.key, hot.rate)).collect()
}

/// Guards against estimates outside their bounds, and against hot keys that are left out, while the hot keys change.
#[test]
fn estimates_keep_their_bounds() {
    fn property(seed: u64) -> bool {
        println!("seed {seed}");
        let mut rng = StdRng::seed_from_u64(seed);
        let mut counter = Counter::new(OPTIONS, Instant::ORIGIN);
        let mut exact = exact();
        let mut now = Instant::ORIGIN;
        for step in 0..8_000 {
            now = now + Duration::from_micros(rng.random_range(0..2_000));
            let key = draw(&mut rng, step / 2_000);
            counter.observe(now, key);
            exact.observe(now, key);
            assert!(counter.len() <= OPTIONS.capacity);
        }

        let truth = rates(&exact.hottest(now, usize::MAX));
        let total: f64 = truth.values().sum();
        let found = counter.hottest(now, usize::MAX);
        for hot in &found {
            let true_rate = truth.get(&hot.key).copied().unwrap_or(0.0);
            assert!(hot.rate >= true_rate - 1e-6, "{hot:?}, true {true_rate}");
            assert!(
                hot.rate - hot.error <= true_rate + 1e-6,
                "{hot:?}, true {true_rate}"
            );
            assert!(hot.error <= total / 64.0 + 1e-6, "{hot:?}, total {total}");
        }
        let found = rates(&found);
        truth
            .iter()
            .filter(|(_, rate)| **rate > total / 64.0)
            .all(|(key, _)| found.contains_key(key))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 17))
        .tests(20)
        .quickcheck(property as fn(u64) -> bool);
}

/// Guards against rates that are wrong by the start-up or by the decay.
#[test]
fn steady_rate_is_estimated_from_the_first_second_on() {
    let mut counter = Counter::new(OPTIONS, Instant::ORIGIN);
    let mut seen = Vec::new();

    for millis in 1..=20_000 {
        let now = Instant::from_millis(millis);
        counter.observe(now, 7);
        if millis % 1_000 == 0 {
            seen.push(counter.hottest(now, 1)[0].rate);
        }
    }

    assert!(
        seen.iter().all(|rate| (990.0..=1_010.0).contains(rate)),
        "{seen:?}"
    );
}

/// Guards against yesterday's hot keys that stay on top.
#[test]
fn cooled_key_falls_behind_within_a_few_half_lives() {
    let mut counter = Counter::new(OPTIONS, Instant::ORIGIN);
    for millis in 1..=10_000 {
        counter.observe(Instant::from_millis(millis), 7);
    }

    for millis in (10_000..=12_000).step_by(2) {
        counter.observe(Instant::from_millis(millis), 8);
    }
    let hot = counter.hottest(Instant::from_millis(12_000), 2);
    let silent = counter.hottest(Instant::from_millis(12_000) + Duration::from_hours(1), 2);

    assert_eq!(
        hot.iter().map(|hot| hot.key).collect::<Vec<_>>(),
        vec![8, 7]
    );
    assert_eq!(silent, vec![]);
}
