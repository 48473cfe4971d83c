//! Guards the heavy-hitter counter: an undetected hot key overloads its upstream.

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

/// Returns a counter with capacity for every key of the test, which decays in the same way and never replaces an entry.
fn exact_counter() -> Counter {
    let options = Options {
        capacity: 20_000,
        ..OPTIONS
    };
    Counter::new(options, Instant::ORIGIN)
}

/// Draws one of 10,000 keys from a skewed distribution; each `shift` has other hot keys.
fn draw_key(rng: &mut StdRng, shift: u64) -> u64 {
    let uniform: f64 = rng.random_range(0.000_1..1.0);
    let rank = (1..=10_000).find(|rank| f64::from(*rank) * uniform >= 1.0);
    u64::from(rank.unwrap_or(0_u32)) + shift * 10_000
}

fn rate_by_key(hot: &[HotKey]) -> BTreeMap<u64, f64> {
    hot.iter().map(|hot| (hot.key, hot.rate)).collect()
}

/// Guards against estimates outside of their error bounds and against missing hot keys while the hot keys change.
#[test]
fn estimates_stay_within_their_error_bounds() {
    fn property(seed: u64) -> bool {
        println!("seed {seed}");
        let mut rng = StdRng::seed_from_u64(seed);
        let mut counter = Counter::new(OPTIONS, Instant::ORIGIN);
        let mut exact = exact_counter();
        let mut now = Instant::ORIGIN;
        for step in 0..8_000 {
            now = now + Duration::from_micros(rng.random_range(0..2_000));
            let key = draw_key(&mut rng, step / 2_000);
            counter.observe(now, key);
            exact.observe(now, key);
            assert!(counter.len() <= OPTIONS.capacity);
        }

        let true_rates = rate_by_key(&exact.hottest(now, usize::MAX));
        let total: f64 = true_rates.values().sum();
        let estimates = counter.hottest(now, usize::MAX);
        for hot in &estimates {
            let true_rate = true_rates.get(&hot.key).copied().unwrap_or(0.0);
            assert!(hot.rate >= true_rate - 1e-6, "{hot:?}, true {true_rate}");
            assert!(
                hot.rate - hot.error <= true_rate + 1e-6,
                "{hot:?}, true {true_rate}"
            );
            assert!(hot.error <= total / 64.0 + 1e-6, "{hot:?}, total {total}");
        }
        let estimates = rate_by_key(&estimates);
        true_rates
            .iter()
            .filter(|(_, rate)| **rate > total / 64.0)
            .all(|(key, _)| estimates.contains_key(key))
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 17))
        .tests(20)
        .quickcheck(property as fn(u64) -> bool);
}

/// Guards against rates that are biased by the short time since the start or by the decay.
#[test]
fn steady_rate_is_accurate_after_the_first_second() {
    let mut counter = Counter::new(OPTIONS, Instant::ORIGIN);
    let mut estimated_rates = Vec::new();

    for millis in 1..=20_000 {
        let now = Instant::from_millis(millis);
        counter.observe(now, 7);
        if millis % 1_000 == 0 {
            estimated_rates.push(counter.hottest(now, 1)[0].rate);
        }
    }

    assert!(
        estimated_rates
            .iter()
            .all(|rate| (990.0..=1_010.0).contains(rate)),
        "{estimated_rates:?}"
    );
}

/// Guards against keys that are still reported as the hottest after their requests have stopped.
#[test]
fn idle_key_ranks_below_an_active_one_after_two_half_lives() {
    let mut counter = Counter::new(OPTIONS, Instant::ORIGIN);
    for millis in 1..=10_000 {
        counter.observe(Instant::from_millis(millis), 7);
    }

    for millis in (10_000..=12_000).step_by(2) {
        counter.observe(Instant::from_millis(millis), 8);
    }
    let hot = counter.hottest(Instant::from_millis(12_000), 2);
    let after_an_hour = counter.hottest(Instant::from_millis(12_000) + Duration::from_hours(1), 2);

    assert_eq!(
        hot.iter().map(|hot| hot.key).collect::<Vec<_>>(),
        vec![8, 7]
    );
    assert_eq!(after_an_hour, vec![]);
}
