//! The `outlier` module provides the judgement whether one upstream is a straggler, and for how long it is ejected.
//!
//! See "Stragglers" in `docs/design.md`, section 5.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::latency::LatencyMean;

/// Latency, relative to the group's usual one, above which an upstream counts as a straggler.
pub(crate) const RATIO: f64 = 3.0;

/// Largest sample, relative to the group's usual one, that enters the mean.
///
/// Without it, a single very slow request of a heavy-tailed service would make its upstream an outlier.
pub(crate) const CLAMP: f64 = 6.0;

/// Samples that a judgement needs.
const LEAST_SAMPLES: u32 = 3;

/// Failed attempts in a row that eject an upstream.
const FAILURES: u32 = 5;

/// Time for which a suspect gets fewer requests before it is ejected.
const SUSPICION: Duration = Duration::from_millis(50);

/// First ejection time; it doubles with each further ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest ejection time, which bounds how long a recovered upstream stays unused.
const LONGEST_EJECTION: Duration = Duration::from_mins(1);

/// Time of good behaviour after which the ejection time starts over.
const FORGIVEN: Duration = Duration::from_mins(2);

/// Whether an upstream takes part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Takes requests as usual.
    Good,
    /// Gets fewer requests since this time.
    Suspect(Instant),
    /// Gets no request until this time.
    Ejected(Instant),
}

/// History of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Outlier {
    pub(crate) verdict: Verdict,
    failures: u32,
    ejections: u32,
    reinstated: Instant,
}

impl Outlier {
    pub(crate) fn new() -> Self {
        Self {
            verdict: Verdict::Good,
            failures: 0,
            ejections: 0,
            reinstated: Instant::ORIGIN,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.verdict, Verdict::Ejected(_))
    }

    pub(crate) fn is_suspect(&self) -> bool {
        matches!(self.verdict, Verdict::Suspect(_))
    }

    /// Judges the recent latency; returns whether the upstream should be ejected now.
    pub(crate) fn judge(&mut self, now: Instant, recent: LatencyMean, usual: f64) -> bool {
        if recent.sample_count() < LEAST_SAMPLES {
            return false;
        }
        let slow = recent.value_s() > usual * RATIO;
        match self.verdict {
            Verdict::Good if slow => {
                self.verdict = Verdict::Suspect(now);
                false
            }
            Verdict::Suspect(_) if !slow => {
                self.verdict = Verdict::Good;
                false
            }
            Verdict::Suspect(since) => now.saturating_since(since) >= SUSPICION,
            Verdict::Good | Verdict::Ejected(_) => false,
        }
    }

    /// Counts a failed attempt; returns whether the upstream should be ejected now.
    pub(crate) fn fail(&mut self) -> bool {
        self.failures = self.failures.saturating_add(1);
        self.failures >= FAILURES && !self.is_ejected()
    }

    pub(crate) fn succeed(&mut self) {
        self.failures = 0;
    }

    /// Ejects the upstream and returns the time at which it is reinstated.
    pub(crate) fn eject(&mut self, now: Instant) -> Instant {
        if now.saturating_since(self.reinstated) > FORGIVEN {
            self.ejections = 0;
        }
        let time = FIRST_EJECTION
            .saturating_mul(1 << self.ejections.min(6))
            .min(LONGEST_EJECTION);
        self.ejections += 1;
        self.failures = 0;
        let until = now + time;
        self.verdict = Verdict::Ejected(until);
        until
    }

    /// Returns whether the ejection has run out, and if so ends it.
    pub(crate) fn reinstate(&mut self, now: Instant) -> bool {
        let due = matches!(self.verdict, Verdict::Ejected(until) if until <= now);
        if due {
            self.verdict = Verdict::Good;
            self.reinstated = now;
        }
        due
    }
}
