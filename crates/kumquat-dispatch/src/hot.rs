//! The `hot` module provides the load of a keyed group by slot and by key.

use std::time::Duration;

use kumquat_coordination::hotkey::{Counter, Options};
use kumquat_state::clock::Instant;

/// Time over which requests are counted before they are reported.
///
/// Hot keys have to be moved within minutes; counting for ten seconds keeps short bursts from
/// causing moves.
const PERIOD: Duration = Duration::from_secs(10);

/// Hottest keys of a group that are reported at most; 130 change within minutes over all groups.
const KEYS: usize = 32;

/// Counts requests by slot and key.
#[derive(Debug)]
pub struct Load {
    slots: Vec<u32>,
    keys: Counter,
    since: Instant,
}

/// Requests per second by slot and by key.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rates {
    /// Slots with at least one request.
    pub slots: Vec<(u32, u32)>,
    /// Hottest keys.
    pub keys: Vec<(u64, u32)>,
}

impl Load {
    /// Starts to count.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            slots: Vec::new(),
            keys: Counter::new(Options::default(), now),
            since: now,
        }
    }

    /// Counts a request; `is_placed` tells that the key does not follow its slot.
    pub fn count(&mut self, now: Instant, slot: u32, key: u64, is_placed: bool) {
        self.keys.observe(now, key);
        let index = slot as usize;
        if self.slots.len() <= index {
            self.slots.resize(index + 1, 0);
        }
        if !is_placed {
            self.slots[index] = self.slots[index].saturating_add(1);
        }
    }

    /// Returns the rates once per period, and nothing in between.
    pub fn take(&mut self, now: Instant) -> Option<Rates> {
        let elapsed = now.saturating_since(self.since);
        if elapsed < PERIOD {
            return None;
        }
        self.since = now;
        let rate = |count: u32| (f64::from(count) / elapsed.as_secs_f64()).round();
        let slots = (0u32..)
            .zip(self.slots.drain(..))
            .filter(|(_, count)| *count > 0)
            .map(|(slot, count)| (slot, clamp(rate(count))))
            .collect();
        let keys = self
            .keys
            .hottest(now, KEYS)
            .into_iter()
            // The lower bound: a key must not be moved for requests that may have been another one's.
            .map(|hot| (hot.key, clamp((hot.rate - hot.error).round())))
            .filter(|(_, rate)| *rate > 0)
            .collect();
        Some(Rates { slots, keys })
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "rates are non-negative and far below the limit of the type"
)]
fn clamp(rate: f64) -> u32 {
    rate.clamp(0.0, f64::from(u32::MAX)) as u32
}
