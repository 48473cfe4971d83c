//! The `latency` module provides cheap latency estimates: a running mean and a decaying histogram.

/// Weight of a new sample in the mean once enough samples are known.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;

/// Lower bound of the first histogram bucket, in seconds.
const FIRST_BUCKET: f64 = 50e-6;

/// Histogram buckets per doubling of the latency; the error of a quantile is at most 19 %.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Histogram buckets; together they reach from 50 µs to 3.2 s.
const BUCKETS: usize = 64;

/// Samples after which all counts are halved, so that the histogram follows changes.
const HALVE_AFTER: u32 = 1_024;

/// Samples between two computations of the quantiles.
const REFRESH: u32 = 16;

/// Exponentially weighted mean, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Mean {
    value: f64,
    samples: u32,
}

impl Mean {
    pub(crate) fn new(initial: f64) -> Self {
        Self {
            value: initial,
            samples: 0,
        }
    }

    /// Creates a mean that counts as the result of this many samples.
    pub(crate) fn known(value: f64, samples: u32) -> Self {
        Self { value, samples }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        self.add_slowly(sample, MEAN_WEIGHT);
    }

    /// Adds a sample with a weight of its own; the first samples are averaged evenly, so that the initial guess does
    /// not linger.
    pub(crate) fn add_slowly(&mut self, sample: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(weight);
        self.value += (sample - self.value) * weight;
    }

    pub(crate) fn value(self) -> f64 {
        self.value
    }

    pub(crate) fn samples(self) -> u32 {
        self.samples
    }
}

/// Decaying histogram with cached median and 95th percentile, in seconds.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    counts: [u32; BUCKETS],
    total: u32,
    since_refresh: u32,
    quantiles: [f64; 2],
}

impl Histogram {
    pub(crate) fn new(initial: f64) -> Self {
        Self {
            counts: [0; BUCKETS],
            total: 0,
            since_refresh: 0,
            quantiles: [initial, initial * 3.0],
        }
    }

    pub(crate) fn add(&mut self, sample: f64) {
        let position = (sample / FIRST_BUCKET).max(1.0).log2() * BUCKETS_PER_DOUBLING;
        let mut upper = 1.0;
        let mut bucket = 0;
        while upper <= position && bucket + 1 < BUCKETS {
            upper += 1.0;
            bucket += 1;
        }
        self.counts[bucket] += 1;
        self.total += 1;
        self.since_refresh += 1;
        if self.total >= HALVE_AFTER {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
        if self.since_refresh >= REFRESH {
            self.since_refresh = 0;
            self.quantiles = [self.quantile(0.50), self.quantile(0.95)];
        }
    }

    pub(crate) fn median(&self) -> f64 {
        self.quantiles[0]
    }

    pub(crate) fn p95(&self) -> f64 {
        self.quantiles[1]
    }

    fn quantile(&self, share: f64) -> f64 {
        let wanted = f64::from(self.total) * share;
        let mut seen = 0.0;
        let mut upper = FIRST_BUCKET;
        let factor = (1.0 / BUCKETS_PER_DOUBLING).exp2();
        for count in &self.counts {
            upper *= factor;
            seen += f64::from(*count);
            if seen >= wanted {
                break;
            }
        }
        upper
    }
}
