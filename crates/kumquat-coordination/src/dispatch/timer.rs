//! The `timer` module provides the timers of a dispatch group.
//!
//! Timers are never cancelled: the handler of an event ignores it if the request or attempt has ended meanwhile.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kumquat_state::clock::Instant;

/// Event of an expired timer, with the id of the request or attempt that it concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum TimerEvent {
    /// Deadline of a request.
    Deadline(u64),
    /// Latest time at which a queued request can be sent and still be answered before its deadline.
    LatestSend(u64),
    /// End of the delay before a retry of a request.
    Retry(u64),
    /// An attempt has exceeded the 95th percentile of the latency, so that a hedged request may be sent.
    Hedge(u64),
    /// An attempt has run for so long without a response that it counts as a latency sample of its upstream.
    Overdue(u64),
}

/// Min-heap of timers by expiry.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Instant, TimerEvent)>>);

impl Timers {
    pub(crate) fn schedule(&mut self, expiry: Instant, event: TimerEvent) {
        self.0.push(Reverse((expiry, event)));
    }

    pub(crate) fn next_expiry(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((expiry, _))| *expiry)
    }

    pub(crate) fn pop_expired(&mut self, now: Instant) -> Option<TimerEvent> {
        if self.next_expiry()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, event))| event)
    }
}
