//! The `stats` module provides quantiles and the fit of straight lines.

use hdrhistogram::Histogram;

/// Highest latency that is told apart, in microseconds.
const HIGHEST: u64 = 120_000_000;

/// Creates a histogram of microseconds with three significant digits.
///
/// # Panics
///
/// Never, since the bounds are valid.
#[must_use]
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HIGHEST, 3).expect("valid histogram bounds")
}

/// Collects values in microseconds.
pub fn collect(values: impl IntoIterator<Item = u64>) -> Histogram<u64> {
    let mut histogram = histogram();
    for value in values {
        histogram.saturating_record(value);
    }
    histogram
}

/// Returns a quantile in milliseconds; not a number if nothing was recorded.
#[must_use]
pub fn millis(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    if histogram.is_empty() {
        return f64::NAN;
    }
    float(histogram.value_at_quantile(quantile)) / 1_000.0
}

/// Returns the curve of a histogram: percentile and milliseconds.
#[must_use]
pub fn curve(histogram: &Histogram<u64>) -> Vec<(f64, f64)> {
    let points = (1..=99).map(f64::from).chain([99.5, 99.9]);
    points
        .map(|percent| (percent, millis(histogram, percent / 100.0)))
        .filter(|(_, value)| value.is_finite())
        .collect()
}

/// Returns a part relative to the whole; not a number if the whole is zero.
#[must_use]
pub fn ratio(part: f64, whole: f64) -> f64 {
    if whole == 0.0 { f64::NAN } else { part / whole }
}

/// Converts a count.
#[must_use]
#[expect(
    clippy::cast_precision_loss,
    reason = "the counts of a run are far below 2^52"
)]
pub const fn float(count: u64) -> f64 {
    count as f64
}

/// Converts a count of items in memory.
#[must_use]
pub const fn float_len(count: usize) -> f64 {
    float(count as u64)
}

/// A straight line.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Change of the value per unit.
    pub slope: f64,
    /// Value at zero.
    pub intercept: f64,
}

impl Line {
    /// Returns the value at a point, which may lie outside the measured ones.
    #[must_use]
    pub fn at(&self, x: f64) -> f64 {
        self.slope.mul_add(x, self.intercept)
    }
}

/// Fits a straight line by least squares; none if there are fewer than two different points.
#[must_use]
pub fn fit(points: &[(f64, f64)]) -> Option<Line> {
    let count = float_len(points.len());
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || spread == 0.0 {
        return None;
    }
    let common: f64 = points
        .iter()
        .map(|(x, y)| (x - mean_x) * (y - mean_y))
        .sum();
    let slope = common / spread;
    Some(Line {
        slope,
        intercept: slope.mul_add(-mean_x, mean_y),
    })
}
