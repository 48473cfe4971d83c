//! The `failing` module provides the judgement of upstreams that take no orders, from the ends of requests alone.

use std::time::Duration;

use kumquat_coordination::dispatch::Outcome;
use kumquat_state::clock::Instant;

/// Time for which an upstream counts as lost at first; it doubles with each further loss.
const HOLD_FIRST: Duration = Duration::from_secs(5);

/// Longest time for which an upstream counts as lost before its keys may return to it.
const HOLD_LAST: Duration = Duration::from_mins(5);

/// Unanswered requests in a row after which an upstream may count as lost.
///
/// One or two can be requests that take longer than their deadline, or whose callers hang up.
const UNANSWERED: u32 = 3;

/// How long an upstream may fail before it counts as lost.
#[derive(Clone, Copy, Debug)]
pub struct Patience {
    /// Time without any connection.
    pub connection: Duration,
    /// Running time of requests in a row that got no answer.
    ///
    /// Behind a frozen upstream most requests wait for a slot and run only for the rest of their time, so that no single
    /// one shows the loss.
    pub answer: Duration,
}

/// Connections and requests to an upstream that fail one after the other.
#[derive(Debug)]
pub struct Failing {
    since: Option<Instant>,
    // Number of unanswered requests in a row, and the time for which they ran in total.
    unanswered: (u32, Duration),
    lost_until: Option<Instant>,
    hold: Duration,
}

impl Default for Failing {
    fn default() -> Self {
        Self {
            since: None,
            unanswered: (0, Duration::ZERO),
            lost_until: None,
            hold: HOLD_FIRST,
        }
    }
}

impl Failing {
    /// Takes note of how a request ended that ran for this long.
    ///
    /// An upstream that takes no connections is lost, and so is one that takes them but has stopped to answer.
    pub fn note(&mut self, now: Instant, outcome: Outcome, ran: Duration, patience: Patience) {
        match outcome {
            Outcome::Completed { .. } | Outcome::Shed => {
                self.since = None;
                self.unanswered = (0, Duration::ZERO);
                self.lost_until = None;
                if matches!(outcome, Outcome::Completed { .. }) {
                    self.hold = HOLD_FIRST;
                }
            }
            // Requests that were sent before the loss are no reason to extend it.
            _ if self.is_lost(now) => {}
            Outcome::NotConnected => {
                let since = *self.since.get_or_insert(now);
                if now.saturating_since(since) >= patience.connection {
                    self.lose(now);
                }
            }
            Outcome::Broken | Outcome::TimedOut => {
                self.since = None;
                let (number, total) = self.unanswered;
                self.unanswered = (number + 1, total + ran);
                if number + 1 >= UNANSWERED && total + ran >= patience.answer {
                    self.lose(now);
                }
            }
        }
    }

    fn lose(&mut self, now: Instant) {
        self.since = None;
        self.unanswered = (0, Duration::ZERO);
        // Nothing is sent to a lost upstream, so only time can bring it back.
        self.lost_until = Some(now + self.hold);
        self.hold = (self.hold * 2).min(HOLD_LAST);
    }

    /// Returns whether the upstream counts as lost.
    #[must_use]
    pub fn is_lost(&self, now: Instant) -> bool {
        self.lost_until.is_some_and(|until| now < until)
    }
}
