//! The `probe` module derives the unavailable time of keys from the samples of a load.

use std::time::Duration;

use crate::load::{Sample, Samples};

/// Returns the longest time for which a caller of this key would have had to wait for an answer, retries included.
///
/// For each planned sending, it is the time until the first answer to a request that was planned then or later. Infinite
/// time is returned as none: no later request was answered.
#[must_use]
pub fn longest_wait(samples: &Samples, key: usize, from: Duration) -> Option<Duration> {
    let mut of_key: Vec<&Sample> = samples.all.iter().filter(|one| one.tag == key).collect();
    of_key.sort_by_key(|sample| sample.at);
    let mut earliest_end: Option<Duration> = None;
    let mut longest = Duration::ZERO;
    for sample in of_key.iter().rev() {
        if sample.is_answered() {
            let end = sample.at + sample.latency;
            earliest_end = Some(earliest_end.map_or(end, |other| other.min(end)));
        }
        if sample.at < from {
            break;
        }
        longest = longest.max(earliest_end?.saturating_sub(sample.at));
    }
    (!of_key.is_empty()).then_some(longest)
}
