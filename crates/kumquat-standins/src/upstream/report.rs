//! The `report` module provides what the health and load endpoints show, which lags behind the true state or lies.

use std::collections::VecDeque;
use std::time::Duration;

use kumquat_state::clock;
use serde::{Deserialize, Serialize};

/// State of an upstream, as its endpoints show it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Whether it is cold.
    pub cold: bool,
    /// Whether it is draining.
    pub draining: bool,
}

/// Past states within the lag.
#[derive(Debug)]
pub(super) struct History {
    lag: Duration,
    past: VecDeque<(clock::Instant, Status)>,
}

impl History {
    pub(super) fn new(lag: Duration) -> Self {
        Self {
            lag,
            past: VecDeque::new(),
        }
    }

    /// Records a change of state.
    pub(super) fn push(&mut self, status: Status, now: clock::Instant) {
        if self.lag.is_zero() {
            return;
        }
        self.past.push_back((now, status));
        // The newest state that is older than the lag is still needed.
        while let Some((next, _)) = self.past.get(1)
            && now.saturating_since(*next) >= self.lag
        {
            self.past.pop_front();
        }
    }

    /// Returns the state before the lag; before any record, it is the initial one.
    pub(super) fn lagging(&self, now: clock::Instant) -> Option<Status> {
        self.past
            .iter()
            .rev()
            .find(|(at, _)| now.saturating_since(*at) >= self.lag)
            .map(|(_, status)| *status)
    }
}
