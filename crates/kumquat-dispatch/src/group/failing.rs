//! The `failing` module provides the judgement of upstreams that take no orders, from the ends of requests alone.

use std::time::Duration;

use kumquat_coordination::dispatch::Outcome;
use kumquat_state::clock::Instant;

/// Time for which an upstream counts as lost at first; it doubles with each further loss.
const HOLD_FIRST: Duration = Duration::from_secs(5);

/// Longest time for which an upstream counts as lost before its keys may return to it.
const HOLD_LAST: Duration = Duration::from_mins(5);

/// Connections to an upstream that fail one after the other.
#[derive(Debug)]
pub struct Failing {
    since: Option<Instant>,
    lost_until: Option<Instant>,
    hold: Duration,
}

impl Default for Failing {
    fn default() -> Self {
        Self {
            since: None,
            lost_until: None,
            hold: HOLD_FIRST,
        }
    }
}

impl Failing {
    /// Takes note of how a request ended; no connection for as long as `patience` means that the upstream is lost.
    pub fn note(&mut self, now: Instant, outcome: Outcome, patience: Duration) {
        if outcome != Outcome::NotConnected {
            self.since = None;
            self.lost_until = None;
            if matches!(outcome, Outcome::Completed { .. }) {
                self.hold = HOLD_FIRST;
            }
            return;
        }
        if self.is_lost(now) {
            return;
        }
        self.lost_until = None;
        let since = *self.since.get_or_insert(now);
        if now.saturating_since(since) >= patience {
            // Nothing is sent to a lost upstream, so only time can bring it back.
            self.lost_until = Some(now + self.hold);
            self.hold = (self.hold * 2).min(HOLD_LAST);
            self.since = None;
        }
    }

    /// Returns whether the upstream counts as lost.
    #[must_use]
    pub fn is_lost(&self, now: Instant) -> bool {
        self.lost_until.is_some_and(|until| now < until)
    }
}
