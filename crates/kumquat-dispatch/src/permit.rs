//! The `permit` module provides the permission to act for one role, shared between the control loop that renews it and
//! the tasks that check it at the moment of acting.

use std::sync::atomic::{AtomicU64, Ordering};

use kumquat_coordination::role::Acting;
use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::FencingToken;

/// Permission to act for one role until a certain time.
#[derive(Debug, Default)]
pub struct Permit {
    until: AtomicU64,
    fence: AtomicU64,
}

impl Permit {
    /// Renews or withdraws the permission.
    pub fn set(&self, acting: Option<Acting>) {
        if let Some(acting) = acting {
            // The token comes first: a task that sees the new time must not use the old token.
            self.fence.store(acting.fencing_token.0, Ordering::Release);
            self.until
                .store(acting.valid_until.as_micros(), Ordering::Release);
        } else {
            self.until.store(0, Ordering::Release);
        }
    }

    /// Returns the time until which acting is permitted, if it is now.
    #[must_use]
    pub fn until(&self) -> Option<Instant> {
        let until = Instant::from_micros(self.until.load(Ordering::Acquire));
        (clock::now() < until).then_some(until)
    }

    /// Returns the fencing token.
    #[must_use]
    pub fn fence(&self) -> FencingToken {
        FencingToken(self.fence.load(Ordering::Acquire))
    }
}
