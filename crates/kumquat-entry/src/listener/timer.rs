//! The `timer` module provides a time limit that is cheap to move.

use std::pin::Pin;
use std::task::Context;

use tokio::time::{Instant, Sleep, sleep_until};

/// A time limit; the system's timer is set again only when it fires or has to fire earlier.
#[derive(Debug, Default)]
pub struct Timer {
    due: Option<Instant>,
    sleep: Option<Pin<Box<Sleep>>>,
}

impl Timer {
    /// Sets the limit.
    pub const fn start(&mut self, due: Instant) {
        self.due = Some(due);
    }

    /// Lifts the limit.
    pub const fn stop(&mut self) {
        self.due = None;
    }

    /// Returns whether there is a limit.
    #[must_use]
    pub const fn is_started(&self) -> bool {
        self.due.is_some()
    }

    /// Returns whether the limit has passed; otherwise the task is woken when it does.
    pub fn poll_due(&mut self, context: &mut Context<'_>) -> bool {
        let Some(due) = self.due else { return false };
        let sleep = self.sleep.get_or_insert_with(|| Box::pin(sleep_until(due)));
        if sleep.deadline() > due {
            sleep.as_mut().reset(due);
        }
        while sleep.as_mut().poll(context).is_ready() {
            if Instant::now() >= due {
                return true;
            }
            sleep.as_mut().reset(due);
        }
        false
    }
}
