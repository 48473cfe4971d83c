//! The `cold` module provides the concurrency limit of one upstream and its cold start (slow start).
//!
//! See "Cold start" in `docs/design.md`, section 5.

use super::Outcome;
use super::latency::LatencyMean;

/// Rise of the recent latency above the upstream's own baseline that counts as a cold start.
const SHARP_RISE: f64 = 3.0;

/// Latency, relative to the baseline, up to which an upstream counts as warm again.
const NORMAL: f64 = 2.0;

/// Ramp lengths for which the last slot of an upstream that stays slow is withheld after the ramp.
///
/// An upstream that turns cold again at the end of its ramp looks like one that is slow by nature; only the former bears
/// less than its slots, and no longer than a ramp.
const WITHHOLDING: u32 = 2;

/// Samples that a baseline needs before a rise against it counts.
const BASELINE_SAMPLES: u32 = 16;

/// Weight of a new sample in the baseline; it follows slow changes but not a cold start.
const BASELINE_WEIGHT: f64 = 1.0 / 64.0;

/// Failures among the last eight attempts that count as a cold start.
///
/// A single shed or broken connection has other causes too. A refused connection counts alone, because nothing listens
/// while an upstream restarts.
const FAILURES: u32 = 2;

/// Ramp lengths after which a still slow upstream is taken as it is: its latency is the new baseline.
const PATIENCE: u32 = 8;

/// Concurrency limit of one upstream.
#[derive(Clone, Debug)]
pub(crate) struct Ramp {
    pub(crate) slots: u32,
    pub(crate) cold_slots: u32,
    pub(crate) cold_step: u32,
    cold: bool,
    completed: u32,
    /// Grows with each cold start, so that completions of earlier attempts don't count.
    period: u32,
    baseline: LatencyMean,
    /// Latency since the ramp has reached the slots.
    confirmation: LatencyMean,
    /// Outcomes of the last eight attempts, one bit each, set for a failure.
    failures: u8,
}

impl Ramp {
    /// Creates the limit of a cold upstream.
    pub(crate) fn new(slots: u32, cold_slots: u32, cold_step: u32) -> Self {
        Self {
            slots,
            cold_slots,
            cold_step: cold_step.max(1),
            cold: true,
            completed: 0,
            period: 0,
            baseline: LatencyMean::new(0.0),
            confirmation: LatencyMean::new(0.0),
            failures: 0,
        }
    }

    pub(crate) fn is_cold(&self) -> bool {
        self.cold
    }

    pub(crate) fn period(&self) -> u32 {
        self.period
    }

    /// Returns how many requests may run at once.
    pub(crate) fn limit(&self) -> u32 {
        if !self.cold {
            return self.slots;
        }
        let ramp = self.ramp();
        let is_withheld = ramp >= self.slots && self.completed < self.patience(WITHHOLDING);
        if is_withheld {
            let least = self.cold_slots.clamp(1, self.slots.max(1));
            self.slots.saturating_sub(1).max(least)
        } else {
            ramp
        }
    }

    /// Returns what the upstream bears by its completed requests.
    fn ramp(&self) -> u32 {
        // A limit of zero would keep the upstream cold for ever.
        self.cold_slots
            .max(1)
            .saturating_add(self.completed / self.cold_step)
            .min(self.slots)
    }

    /// Returns the completed requests after this many ramp lengths.
    fn patience(&self, ramps: u32) -> u32 {
        self.cold_step
            .saturating_mul(self.slots.max(1))
            .saturating_mul(ramps)
    }

    /// Returns whether the upstream has completed its ramp or was never in one.
    pub(crate) fn has_ramped(&self) -> bool {
        !self.cold || self.ramp() >= self.slots
    }

    /// Starts a cold start.
    pub(crate) fn chill(&mut self) {
        self.cold = true;
        self.completed = 0;
        self.period += 1;
        self.confirmation = LatencyMean::new(0.0);
        self.failures = 0;
    }

    /// Counts a completed attempt that was sent in `period`; returns whether the upstream has become warm.
    ///
    /// `usual` is the usual latency of the group, which counts until the upstream has a baseline of its own.
    pub(crate) fn complete(&mut self, period: u32, latency: f64, usual: f64) -> bool {
        self.failures <<= 1;
        if !self.cold || period != self.period {
            return false;
        }
        let had_ramped = self.has_ramped();
        self.completed = self.completed.saturating_add(1);
        if !had_ramped {
            return false;
        }
        self.confirmation.add(latency);
        let is_patient = self.completed >= self.patience(PATIENCE);
        if is_patient {
            self.baseline =
                LatencyMean::from_samples(self.confirmation.value_s(), BASELINE_SAMPLES);
        }
        // As many answers as one step of the ramp takes; the mean of fewer says little where service times vary.
        let is_normal = self.confirmation.sample_count() >= self.cold_step
            && self.confirmation.value_s() <= self.reference(usual) * NORMAL;
        if is_patient || is_normal {
            self.cold = false;
            return true;
        }
        false
    }

    /// Adds a latency sample to the baseline; returns whether the recent latency shows a cold start.
    pub(crate) fn is_sharp(&mut self, sample: f64, recent: LatencyMean, usual: f64) -> bool {
        if self.cold {
            return false;
        }
        if recent.value_s() > self.reference(usual) * SHARP_RISE {
            return true;
        }
        self.baseline.add_weighted(sample, BASELINE_WEIGHT);
        false
    }

    /// Returns the latency of a warm upstream: its own, or the group's until enough of its own is known.
    fn reference(&self, usual: f64) -> f64 {
        self.baseline().unwrap_or(usual)
    }

    /// Counts a shed, refused or broken attempt; returns whether the failures show a cold start.
    pub(crate) fn fail(&mut self, outcome: Outcome) -> bool {
        self.failures = (self.failures << 1) | 1;
        let shows = outcome == Outcome::NotConnected || self.failures.count_ones() >= FAILURES;
        // An upstream that is at its cold limit already has nothing to lose.
        shows && (!self.cold || self.limit() > self.cold_slots.max(1))
    }

    /// Returns the baseline if it rests on enough samples.
    pub(crate) fn baseline(&self) -> Option<f64> {
        (self.baseline.sample_count() >= BASELINE_SAMPLES).then(|| self.baseline.value_s())
    }
}
