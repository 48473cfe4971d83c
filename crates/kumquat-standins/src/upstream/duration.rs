//! The `duration` module provides the distributions of service times.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::SmallRng;

/// Longest service time; it keeps a wide distribution from blocking a test.
const LIMIT: Duration = Duration::from_mins(1);

/// Distribution of the service time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceTime {
    /// Always the same time.
    Fixed(Duration),
    /// Exponentially distributed with this mean.
    Exponential(Duration),
    /// Log-normally distributed.
    LogNormal {
        /// Median of the distribution.
        median: Duration,
        /// Standard deviation of the logarithm.
        sigma: f64,
    },
}

impl ServiceTime {
    /// Draws one service time.
    pub fn draw(&self, rng: &mut SmallRng) -> Duration {
        let time = match *self {
            Self::Fixed(time) => return time,
            Self::Exponential(mean) => mean.as_secs_f64() * -uniform(rng).ln(),
            Self::LogNormal { median, sigma } => {
                // Box-Muller transform of two uniform numbers into a normal one.
                let radius = (-2.0 * uniform(rng).ln()).sqrt();
                let normal = radius * (std::f64::consts::TAU * uniform(rng)).cos();
                median.as_secs_f64() * (sigma * normal).exp()
            }
        };
        Duration::from_secs_f64(time.clamp(0.0, LIMIT.as_secs_f64()))
    }
}

/// Draws from (0, 1], whose logarithm is finite.
fn uniform(rng: &mut SmallRng) -> f64 {
    1.0 - rng.random::<f64>()
}
