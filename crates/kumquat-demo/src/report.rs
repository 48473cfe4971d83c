//! The `report` module provides the closing table and the JSON line.

use std::time::Duration;

use eyre::Result;
use hdrhistogram::Histogram;
use kumquat_standins::observation;
use serde::Serialize;

use crate::load::Tally;
use crate::script::Times;

/// Time after which a withdrawn caller key has to be refused everywhere.
const WITHDRAWAL_LIMIT: Duration = Duration::from_secs(3);

/// Result of the demonstration.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    requests: u64,
    answered: u64,
    refused: u64,
    refused_within_rate: u64,
    unknown: u64,
    broken: u64,
    wrong_owner: u64,
    ran_twice: u64,
    false_not_run: u64,
    over_rate: u64,
    key_leaks: u64,
    cold_overload: u64,
    p50_ms: f64,
    p99_ms: f64,
    urgent_p99_ms: f64,
    data_centre_out_ms: f64,
    data_centre_back_ms: f64,
    hot_key_moved_ms: f64,
    key_withdrawn_ms: f64,
    reasons: Vec<(String, u64)>,
    #[serde(skip)]
    details: Vec<String>,
}

impl Report {
    /// Combines what the load got with what the upstreams saw.
    #[must_use]
    pub fn new(tally: &Tally, seen: &observation::Report, times: &Times) -> Self {
        Self {
            requests: tally.requests,
            answered: tally.answered,
            refused: tally.refused,
            // The load stays far below every team's rate, so that no refusal is due to the rate.
            refused_within_rate: tally.refused - tally.unknown,
            unknown: tally.unknown,
            broken: tally.broken,
            wrong_owner: seen.wrong_owner,
            ran_twice: seen.ran_twice,
            false_not_run: seen.false_not_run,
            over_rate: seen.over_rate,
            key_leaks: seen.key_leaks,
            cold_overload: seen.cold_overload,
            p50_ms: quantile(&tally.latency, 0.5),
            p99_ms: quantile(&tally.latency, 0.99),
            urgent_p99_ms: quantile(&tally.urgent, 0.99),
            data_centre_out_ms: millis(times.centre_out),
            data_centre_back_ms: millis(times.centre_back),
            hot_key_moved_ms: millis(times.key_moved),
            key_withdrawn_ms: millis(times.key_withdrawn),
            reasons: tally.reasons.clone(),
            details: seen.details.clone(),
        }
    }

    /// Returns whether every promise was kept.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        let violations = self.wrong_owner
            + self.ran_twice
            + self.false_not_run
            + self.over_rate
            + self.key_leaks
            + self.cold_overload;
        violations == 0 && self.answered > 0 && self.key_withdrawn_ms <= millis(WITHDRAWAL_LIMIT)
    }

    /// Prints the table and, as the last line, the JSON object.
    ///
    /// # Errors
    ///
    /// Returns an error if the report can't be encoded.
    pub fn print(&self) -> Result<()> {
        let value = serde_json::to_value(self)?;
        println!();
        for (name, value) in value.as_object().into_iter().flatten() {
            println!("{name:<22} {value}");
        }
        for detail in &self.details {
            println!("violation: {detail}");
        }
        println!();
        println!("{}", serde_json::to_string(self)?);
        Ok(())
    }
}

fn quantile(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    millis(Duration::from_micros(histogram.value_at_quantile(quantile)))
}

fn millis(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1_000_000.0).round() / 1_000.0
}
