//! The `clock` module provides the monotonic time that the state machines are driven with.
//!
//! State machines take the current time as an argument, so that tests, the model checker and the daemons run the same
//! code. `docs/design.md`, section 3, lists the lease rules that rely on the drift bound.

use std::ops::{Add, Sub};
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Maximum relative drift between the monotonic clocks of two VMs, in percent.
///
/// Commodity oscillators drift by less than 0.1 %; the remainder covers slewing by time synchronisation.
pub const DRIFT_PERCENT: u32 = 1;

/// A point in monotonic time, in microseconds since an arbitrary origin.
///
/// Instants of different VMs have different origins and can't be compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(u64);

impl Instant {
    /// Zero on the clock of this VM.
    pub const ORIGIN: Self = Self(0);

    /// Creates an instant from microseconds since the origin.
    #[must_use]
    pub const fn from_micros(micros: u64) -> Self {
        Self(micros)
    }

    /// Creates an instant from milliseconds since the origin; a number beyond the range gives the latest instant.
    #[must_use]
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is after `self`.
    #[must_use]
    pub const fn saturating_since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time remaining until `later`, or zero if `later` has passed.
    #[must_use]
    pub const fn until(self, later: Self) -> Duration {
        later.saturating_since(self)
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(saturating_micros(rhs)))
    }
}

impl Sub<Duration> for Instant {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(saturating_micros(rhs)))
    }
}

/// Returns the current time of `CLOCK_BOOTTIME`, which also advances while the VM is suspended.
///
/// `CLOCK_MONOTONIC` stops during suspension, so a lease holder that resumes would treat an expired lease as valid.
#[must_use]
pub fn now() -> Instant {
    let timespec = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(timespec.tv_sec).unwrap_or(0);
    let nanos = u64::try_from(timespec.tv_nsec).unwrap_or(0);
    Instant(seconds * 1_000_000 + nanos / 1_000)
}

/// Returns the shortest time that another VM's clock may measure while this clock measures `duration`.
///
/// Lease holders use it, so that they stop before the lease expires on the grantor's clock.
#[must_use]
pub fn shortened(duration: Duration) -> Duration {
    duration * (100 - DRIFT_PERCENT) / 100
}

/// Returns the longest time that another VM's clock may measure while this clock measures `duration`.
///
/// Lease grantors use it, so that they wait until the lease has expired on the holder's clock.
#[must_use]
pub fn lengthened(duration: Duration) -> Duration {
    duration * (100 + DRIFT_PERCENT) / 100
}

fn saturating_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}
