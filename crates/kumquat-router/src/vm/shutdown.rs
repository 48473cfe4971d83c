//! The `shutdown` module provides the course of a VM's graceful shutdown.

use kumquat_state::clock::{self, Instant};

use super::{ANSWER_GRACE_FRACTION, Vm};

impl Vm {
    /// Returns whether a graceful shutdown has begun; it can't be undone.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.shutdown_started_at.borrow().is_some()
    }

    /// Returns when this VM gives its last answers, if a graceful shutdown has begun.
    #[must_use]
    pub fn last_answers_at(&self) -> Option<Instant> {
        let started_at = *self.shutdown_started_at.borrow();
        started_at.map(|started_at| self.answers_end(started_at))
    }

    /// Returns when a VM whose shutdown started at `started_at` gives its last answers.
    pub(super) fn answers_end(&self, started_at: Instant) -> Instant {
        started_at + self.bounds.shutdown_grace.mul_f64(ANSWER_GRACE_FRACTION)
    }

    /// Waits until a graceful shutdown has come to its last answers.
    pub async fn last_answers_due(&self) {
        let due_at = self.answers_end(self.shutdown_started().await);
        tokio::time::sleep(clock::now().until(due_at)).await;
    }

    /// Waits until a graceful shutdown begins, and returns when that was; at once if it has begun before.
    pub async fn shutdown_started(&self) -> Instant {
        let mut started_at = self.shutdown_started_at.subscribe();
        loop {
            let current = *started_at.borrow_and_update();
            if let Some(started_at) = current {
                return started_at;
            }
            // The sender lives as long as `self`, so the wait can't fail.
            _ = started_at.changed().await;
        }
    }

    /// Begins a graceful shutdown and wakes the tasks that wait for [`Vm::shutdown_started`].
    pub fn begin_shutdown(&self) {
        self.shutdown_started_at.send_if_modified(|started_at| {
            let begins = started_at.is_none();
            started_at.get_or_insert_with(clock::now);
            begins
        });
    }
}
