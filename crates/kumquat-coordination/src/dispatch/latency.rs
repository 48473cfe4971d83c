//! The `latency` module provides latency estimates of constant size: an exponentially weighted mean and a decaying
//! histogram.

/// Weight of a new sample in the mean; the first eight samples are averaged evenly.
const MEAN_WEIGHT: f64 = 1.0 / 8.0;

/// Lower bound of the first histogram bucket, in seconds.
const FIRST_BUCKET_S: f64 = 50e-6;

/// Histogram buckets per doubling of the latency; the error of a quantile is at most 19 %.
const BUCKETS_PER_DOUBLING: f64 = 4.0;

/// Number of histogram buckets; together they cover latencies from 50 µs to 3.2 s.
const BUCKET_COUNT: usize = 64;

/// Total count at which all buckets are halved, so that the histogram follows changes of the latency.
const HALVE_AFTER_SAMPLES: u32 = 1_024;

/// Samples between two computations of the cached quantiles.
const REFRESH_SAMPLES: u32 = 16;

/// Exponentially weighted moving average of latencies, in seconds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LatencyMean {
    mean_s: f64,
    samples: u32,
}

impl LatencyMean {
    pub(crate) fn new(initial_s: f64) -> Self {
        Self {
            mean_s: initial_s,
            samples: 0,
        }
    }

    /// Creates a mean that is treated as the result of `samples` samples.
    pub(crate) fn from_samples(mean_s: f64, samples: u32) -> Self {
        Self { mean_s, samples }
    }

    pub(crate) fn add(&mut self, sample_s: f64) {
        self.add_weighted(sample_s, MEAN_WEIGHT);
    }

    /// Adds a sample with at least the given weight.
    ///
    /// The first samples are averaged evenly, so that the initial estimate does not distort the mean.
    pub(crate) fn add_weighted(&mut self, sample_s: f64, weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(weight);
        self.mean_s += (sample_s - self.mean_s) * weight;
    }

    pub(crate) fn value_s(self) -> f64 {
        self.mean_s
    }

    pub(crate) fn sample_count(self) -> u32 {
        self.samples
    }
}

/// Decaying histogram with cached median and 95th percentile, in seconds.
#[derive(Clone, Debug)]
pub(crate) struct LatencyHistogram {
    counts: [u32; BUCKET_COUNT],
    total: u32,
    samples_since_refresh: u32,
    quantiles_s: [f64; 2],
}

impl LatencyHistogram {
    pub(crate) fn new(initial_s: f64) -> Self {
        Self {
            counts: [0; BUCKET_COUNT],
            total: 0,
            samples_since_refresh: 0,
            quantiles_s: [initial_s, initial_s * 3.0],
        }
    }

    pub(crate) fn add(&mut self, sample_s: f64) {
        let bucket_position = (sample_s / FIRST_BUCKET_S).max(1.0).log2() * BUCKETS_PER_DOUBLING;
        let mut next_bucket = 1.0;
        let mut bucket = 0;
        while next_bucket <= bucket_position && bucket + 1 < BUCKET_COUNT {
            next_bucket += 1.0;
            bucket += 1;
        }
        self.counts[bucket] += 1;
        self.total += 1;
        self.samples_since_refresh += 1;
        if self.total >= HALVE_AFTER_SAMPLES {
            for count in &mut self.counts {
                *count /= 2;
            }
            self.total = self.counts.iter().sum();
        }
        if self.samples_since_refresh >= REFRESH_SAMPLES {
            self.samples_since_refresh = 0;
            self.quantiles_s = [self.quantile_s(0.50), self.quantile_s(0.95)];
        }
    }

    pub(crate) fn median_s(&self) -> f64 {
        self.quantiles_s[0]
    }

    pub(crate) fn p95_s(&self) -> f64 {
        self.quantiles_s[1]
    }

    fn quantile_s(&self, fraction: f64) -> f64 {
        let target_count = f64::from(self.total) * fraction;
        let mut cumulative = 0.0;
        let mut upper_bound_s = FIRST_BUCKET_S;
        let growth = (1.0 / BUCKETS_PER_DOUBLING).exp2();
        for count in &self.counts {
            upper_bound_s *= growth;
            cumulative += f64::from(*count);
            if cumulative >= target_count {
                break;
            }
        }
        upper_bound_s
    }
}
