//! The `timer` module provides the wake-ups of a group: a heap whose outdated entries are skipped when they are due.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use kumquat_state::clock::Instant;

/// What is due.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Due {
    /// The deadline of a request.
    Deadline(u64),
    /// The last moment at which a waiting request can still be sent.
    LastChance(u64),
    /// The delay before a retry of a request is over.
    Retry(u64),
    /// An attempt has run for so long that a hedge is worthwhile.
    Hedge(u64),
    /// An attempt has run for so long that its upstream counts as slow, although it has not answered.
    Overdue(u64),
}

/// Timers in order of time.
#[derive(Clone, Debug, Default)]
pub(crate) struct Timers(BinaryHeap<Reverse<(Instant, Due)>>);

impl Timers {
    pub(crate) fn add(&mut self, at: Instant, due: Due) {
        self.0.push(Reverse((at, due)));
    }

    pub(crate) fn next(&self) -> Option<Instant> {
        self.0.peek().map(|Reverse((at, _))| *at)
    }

    pub(crate) fn pop(&mut self, now: Instant) -> Option<Due> {
        if self.next()? > now {
            return None;
        }
        self.0.pop().map(|Reverse((_, due))| due)
    }
}
