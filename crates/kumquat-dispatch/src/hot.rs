//! The `hot` module provides the load of a keyed group by slot and by key.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Time over which requests are counted before they are reported.
///
/// Hot keys have to be moved within minutes; counting for ten seconds keeps short bursts from
/// causing moves.
const PERIOD: Duration = Duration::from_secs(10);

/// Counts requests by slot and key.
#[derive(Debug)]
pub struct Load {
    slots: Vec<u32>,
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
            since: now,
        }
    }

    /// Counts a request; `is_placed` tells that the key does not follow its slot.
    pub fn count(&mut self, slot: u32, is_placed: bool) {
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
        let keys = Vec::new();
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
