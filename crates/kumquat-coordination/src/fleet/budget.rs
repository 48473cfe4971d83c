//! The `budget` module provides this VM's share of a service's retry budget.

use std::collections::VecDeque;
use std::time::Duration;

use kumquat_state::clock::Instant;

/// Fraction of the allowed ratio that is used; the rest covers requests that fall into another window where
/// they are counted elsewhere.
const USABLE_RATIO_FRACTION: f64 = 0.8;

/// Fraction of the slack that all VMs together use.
const USABLE_SLACK_FRACTION: f64 = 0.75;

/// Limits the retries to a service in proportion to its requests in a sliding window.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    window: Duration,
    /// Retries per request.
    ratio: f64,
    /// This VM's share of the retries per window that are allowed without requests.
    slack: f64,
    /// Times of the requests in the window.
    requests: VecDeque<Instant>,
    /// Times of the retries in the window.
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates the share of one of `vm_count` VMs in a budget.
    ///
    /// In each `window`, the budget of all VMs together allows `ratio` retries per request plus `slack`.
    #[must_use]
    pub fn new(window: Duration, ratio: f64, slack: f64, vm_count: usize) -> Self {
        let mut budget = Self {
            window,
            ratio: ratio * USABLE_RATIO_FRACTION,
            slack: 0.0,
            requests: VecDeque::new(),
            retries: VecDeque::new(),
        };
        budget.set_slack(slack, vm_count);
        budget
    }

    /// Sets the slack of all VMs together and the number of VMs that share it equally.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a fleet has far fewer than 2^52 VMs"
    )]
    pub fn set_slack(&mut self, slack: f64, vm_count: usize) {
        self.slack = slack * USABLE_SLACK_FRACTION / vm_count.max(1) as f64;
    }

    /// Counts a caller's request, without its retries.
    pub fn record_request(&mut self, now: Instant) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Counts a retry if the budget allows one, and returns whether it does.
    #[expect(
        clippy::cast_precision_loss,
        reason = "a window has far fewer than 2^52 requests"
    )]
    pub fn try_acquire(&mut self, now: Instant) -> bool {
        self.expire(now);
        let allowed = self.requests.len() as f64 * self.ratio + self.slack;
        let is_acquired = (self.retries.len() + 1) as f64 <= allowed;
        if is_acquired {
            self.retries.push_back(now);
        }
        is_acquired
    }

    fn expire(&mut self, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|time| now.saturating_since(*time) > self.window)
            {
                times.pop_front();
            }
        }
    }
}
