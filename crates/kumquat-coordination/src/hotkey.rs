//! The `hotkey` module provides a counter that finds the hottest keys in bounded memory.
//!
//! It uses the Space-Saving algorithm with exponential decay: the number of counters is fixed, and a new key replaces
//! the one with the lowest count and inherits that count. All counts decay by the same factor, which preserves the
//! error bounds of the algorithm.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Decay steps per half-life; more of them approximate the exponential more closely and need more passes.
const DECAY_STEPS_PER_HALF_LIFE: u32 = 8;

/// Factor by which counts decay in one step, `2^(-1 / DECAY_STEPS_PER_HALF_LIFE)`.
const DECAY_STEP_FACTOR: f64 = 0.917_004_043_204_671_2;

/// Decay steps, 40 half-lives, after which a count is negligible.
const MAX_DECAY_STEPS: u32 = 40 * DECAY_STEPS_PER_HALF_LIFE;

/// Options of a [`Counter`].
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Maximum number of keys with a counter, at least one; the error of an estimate is at most the total rate divided
    /// by this number.
    pub capacity: usize,
    /// Time after which a request counts half, at least one millisecond.
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

/// Estimates the request rates of the hottest keys.
#[derive(Clone, Debug)]
pub struct Counter {
    options: Options,
    /// Counters, sorted by key.
    entries: Vec<Entry>,
    /// Start of the current decay step.
    step_start: Instant,
    /// Length of the time before the current step in seconds, decayed like the counts, by which they are divided.
    decayed_seconds: f64,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    key: u64,
    count: f64,
    /// Count that the entry inherited from the key that it replaced.
    error: f64,
}

impl Counter {
    /// Creates an empty counter; options below their minimum are raised to it.
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
            decayed_seconds: 0.0,
        }
    }

    /// Counts one request for the key, given by its hash.
    pub fn observe(&mut self, now: Instant, key: u64) {
        self.decay(now);
        let position = self.entries.binary_search_by_key(&key, |entry| entry.key);
        let index = match position {
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

        // The key may have had an entry before that was replaced, with a count of at most the lowest one now.
        let lowest = (0..self.entries.len())
            .min_by(|a, b| self.entries[*a].count.total_cmp(&self.entries[*b].count));
        let Some(lowest) = lowest else { return };
        let replaced_count = self.entries[lowest].count;
        let entry = Entry {
            key,
            count: replaced_count + 1.0,
            error: replaced_count,
        };
        // Only the entries between the two positions move.
        if lowest < index {
            self.entries[lowest..index].rotate_left(1);
            self.entries[index - 1] = entry;
        } else {
            self.entries[index..=lowest].rotate_right(1);
            self.entries[index] = entry;
        }
    }

    /// Returns at most `limit` keys in descending order of rate; none before any time has passed.
    #[must_use]
    pub fn hottest(&mut self, now: Instant, limit: usize) -> Vec<HotKey> {
        self.decay(now);
        let seconds = self.decayed_seconds + now.saturating_since(self.step_start).as_secs_f64();
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

    /// Returns the number of keys that have a counter, at most the capacity.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no key has a counter; decay removes all counters only after 40 half-lives without calls.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn decay(&mut self, now: Instant) {
        let step = self.options.half_life / DECAY_STEPS_PER_HALF_LIFE;
        let mut elapsed = now.saturating_since(self.step_start);
        let mut steps = 0;
        while elapsed >= step && steps < MAX_DECAY_STEPS {
            elapsed -= step;
            steps += 1;
            self.step_start = self.step_start + step;
            self.decayed_seconds = (self.decayed_seconds + step.as_secs_f64()) * DECAY_STEP_FACTOR;
        }
        if steps == 0 {
            return;
        }
        if steps == MAX_DECAY_STEPS {
            // After such a long pause all counts are negligible, and further steps would have no effect.
            self.entries.clear();
            self.step_start = now;
            return;
        }
        let factor = DECAY_STEP_FACTOR.powi(i32::try_from(steps).unwrap_or(i32::MAX));
        for entry in &mut self.entries {
            entry.count *= factor;
            entry.error *= factor;
        }
    }
}
