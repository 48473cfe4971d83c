//! The `hotkey` module provides a counter that finds the hottest keys in bounded memory.
//!
//! It is the space-saving algorithm with exponential decay: a fixed number of counters, of which a new key takes over
//! the lowest one together with its count. All counts decay by the same factor, which keeps the error bounds of the
//! algorithm.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Decay steps per half-life; more of them follow the exponential curve more closely and cost more passes.
const STEPS: u32 = 8;

/// Factor of one decay step, `2^(-1 / STEPS)`.
const STEP_FACTOR: f64 = 0.917_004_043_204_671_2;

/// Steps after which nothing that matters is left of a count.
const STEPS_MAX: u32 = 40 * STEPS;

/// Size and memory of a [`Counter`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of keys that are counted at a time, at least one; no estimate is off by more than the total rate divided
    /// by this number.
    pub capacity: usize,
    /// Time after which a request counts half.
    pub half_life: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            capacity: 1_024,
            half_life: Duration::from_secs(5),
        }
    }
}

/// A key with its estimated rate; the true rate lies between `rate - error` and `rate`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HotKey {
    /// Hash of the key.
    pub key: u64,
    /// Upper bound of the decayed mean rate, in requests per second.
    pub rate: f64,
    /// Largest amount by which `rate` is too high.
    pub error: f64,
}

/// Counts requests per key.
#[derive(Clone, Debug)]
pub struct Counter {
    options: Options,
    /// Sorted by key.
    entries: Vec<Entry>,
    /// Start of the present decay step.
    step_start: Instant,
    /// Decayed length of the time before the present step, in seconds.
    seconds: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: u64,
    count: f64,
    /// Count that the entry took over from another key.
    error: f64,
}

impl Counter {
    /// Creates a counter that has seen nothing.
    #[must_use]
    pub fn new(options: Options, now: Instant) -> Self {
        let options = Options {
            capacity: options.capacity.max(1),
            half_life: options.half_life.max(Duration::from_millis(1)),
        };
        Self {
            entries: Vec::with_capacity(options.capacity),
            options,
            step_start: now,
            seconds: 0.0,
        }
    }

    /// Counts one request for the key.
    pub fn observe(&mut self, now: Instant, key: u64) {
        self.decay(now);
        let place = self.entries.binary_search_by_key(&key, |entry| entry.key);
        let index = match place {
            Ok(index) => {
                self.entries[index].count += 1.0;
                return;
            }
            Err(index) => index,
        };
        if self.entries.len() < self.options.capacity {
            let entry = Entry {
                key,
                count: 1.0,
                error: 0.0,
            };
            self.entries.insert(index, entry);
            return;
        }

        // The new key may have been counted before and lost its entry, with a count of at most the lowest one.
        let lowest = (0..self.entries.len())
            .min_by(|a, b| self.entries[*a].count.total_cmp(&self.entries[*b].count));
        let Some(lowest) = lowest else { return };
        let taken = self.entries[lowest].count;
        let entry = Entry {
            key,
            count: taken + 1.0,
            error: taken,
        };
        // Only the entries between the two places move.
        if lowest < index {
            self.entries[lowest..index].rotate_left(1);
            self.entries[index - 1] = entry;
        } else {
            self.entries[index..=lowest].rotate_right(1);
            self.entries[index] = entry;
        }
    }

    /// Returns the keys with the highest rates, hottest first, at most `limit`.
    #[must_use]
    pub fn hottest(&mut self, now: Instant, limit: usize) -> Vec<HotKey> {
        self.decay(now);
        let seconds = self.seconds + now.saturating_since(self.step_start).as_secs_f64();
        if seconds <= 0.0 {
            return Vec::new();
        }
        let mut entries = self.entries.clone();
        entries.sort_by(|a, b| b.count.total_cmp(&a.count).then(a.key.cmp(&b.key)));
        entries
            .iter()
            .take(limit)
            .map(|entry| HotKey {
                key: entry.key,
                rate: entry.count / seconds,
                error: entry.error / seconds,
            })
            .collect()
    }

    /// Returns the number of keys that are counted at present.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key is counted at present.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn decay(&mut self, now: Instant) {
        let step = self.options.half_life / STEPS;
        let mut passed = now.saturating_since(self.step_start);
        let mut steps = 0;
        while passed >= step && steps < STEPS_MAX {
            passed -= step;
            steps += 1;
            self.step_start = self.step_start + step;
            self.seconds = (self.seconds + step.as_secs_f64()) * STEP_FACTOR;
        }
        if steps == 0 {
            return;
        }
        if steps == STEPS_MAX {
            // After a long silence nothing is left, and the remaining steps would change nothing.
            self.entries.clear();
            self.step_start = now;
            return;
        }
        let factor = STEP_FACTOR.powi(i32::try_from(steps).unwrap_or(i32::MAX));
        for entry in &mut self.entries {
            entry.count *= factor;
            entry.error *= factor;
        }
    }
}
