//! The `clock` module provides monotonic time as the state machines see it.
//!
//! State machines take the time as an argument, so that tests, the model checker and the daemons run the same code. See
//! `docs/design.md`, section 3, for the rules that rely on the drift bound.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Largest difference in rate between two VMs' monotonic clocks, in percent.
///
/// Commodity oscillators stay below 0.1 %; the rest covers clock slewing by time synchronisation.
pub const DRIFT_PERCENT: u32 = 1;

/// A point in monotonic time, in microseconds since an arbitrary origin of this VM.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// The origin of this VM's clock.
    pub const ORIGIN: Self = Self(0);

    /// Creates an instant from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds since the origin.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * 1_000)
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time that has passed since `earlier`, or zero if `earlier` is later.
    #[must_use]
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time left until `later`, or zero if it has passed.
    #[must_use]
    pub const fn until(self, later: Self) -> Duration {
        later.saturating_since(self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(micros(rhs)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(micros(rhs)))
    }
}

/// Returns the current time of the clock that also advances while the VM is suspended.
///
/// `CLOCK_MONOTONIC` stops during a suspension, so a holder that wakes up would take its lapsed lease for a valid one.
#[must_use]
pub fn now() -> Instant {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(time.tv_nsec).unwrap_or(0);
    Instant(seconds * 1_000_000 + nanos / 1_000)
}

/// Returns the shortest time that another VM's clock may show for `duration` of this one: the holder's side of a lease.
#[must_use]
pub fn shortened(duration: Duration) -> Duration {
    duration * (100 - DRIFT_PERCENT) / 100
}

/// Returns the longest time that another VM's clock may show for `duration` of this one: the grantor's side of a lease.
#[must_use]
pub fn lengthened(duration: Duration) -> Duration {
    duration * (100 + DRIFT_PERCENT) / 100
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
