//! The `budget` module provides this VM's part of a service's retry budget.

use std::collections::VecDeque;
use std::time::Duration;

use kumquat_state::clock::Instant;

/// Part of the allowed ratio that is used; the rest absorbs requests that are counted in another window elsewhere.
const RATIO_USED: f64 = 0.8;

/// Part of the fixed allowance that all VMs together use.
const SLACK_USED: f64 = 0.75;

/// Bounds repeated sends to a service by the requests of a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    ratio: f64,
    slack: f64,
    requests: VecDeque<Instant>,
    repeats: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates the part of one of `vm_count` VMs in a budget of `ratio` repeats a request plus `slack`, in each `window`.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64, vm_count: usize) -> Self {
        let mut budget = Self {
            window,
            ratio: ratio * RATIO_USED,
            slack: 0.0,
            requests: VecDeque::new(),
            repeats: VecDeque::new(),
        };
        budget.set_slack(slack, vm_count);
        budget
    }

    /// Divides the fixed allowance among the VMs anew.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a fleet has far fewer than 2^52 VMs"
    )]
    pub fn set_slack(&mut self, slack: f64, vm_count: usize) {
        self.slack = slack * SLACK_USED / vm_count.max(1) as f64;
    }

    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes a repeat from the budget, if it has one left.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a window has far fewer than 2^52 requests"
    )]
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.expire(now);
        let allowed = self.requests.len() as f64 * self.ratio + self.slack;
        let is_taken = (self.repeats.len() + 1) as f64 <= allowed;
        if is_taken {
            self.repeats.push_back(now);
        }
        is_taken
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times
                .front()
                .is_some_and(|time| now.saturating_since(*time) > self.window)
            {
                times.pop_front();
            }
        }
    }
}
