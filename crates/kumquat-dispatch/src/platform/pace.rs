//! The `pace` module provides the budget of store calls of one VM.
//!
//! A store that recovers must not be hit by all VMs at once: each VM has a small budget of calls, and failed calls are
//! repeated after a jittered, exponentially growing wait.

use std::sync::{Arc, Mutex, PoisonError};

use kumquat_state::clock;
use kumquat_transport::budget::Budget;
use kumquat_transport::store::Failure;

use crate::metrics::Metrics;

/// Calls per second of one VM in the long run.
///
/// A coordinator needs about 3 for its lease and two watches, and 3 for each ledger write. After a data centre was taken
/// out it makes some twenty writes in a row; at 20 calls per second that took 5 s and held up other moves.
const RATE: u32 = 50;

/// Calls of one VM at once: a document of many chunks.
const BURST: u32 = 100;

/// Paces and counts the calls of one VM.
#[derive(Clone, Debug)]
pub struct Pace {
    budget: Arc<Mutex<Budget>>,
    metrics: Metrics,
}

impl Pace {
    /// Creates a full budget.
    #[must_use]
    pub fn new(metrics: Metrics) -> Self {
        Self {
            budget: Arc::new(Mutex::new(Budget::new(RATE, BURST, clock::now()))),
            metrics,
        }
    }

    /// Makes a call once the budget allows it and counts its result.
    ///
    /// # Errors
    ///
    /// Returns the failure of the call.
    pub async fn call<T>(
        &self,
        name: &str,
        call: impl Future<Output = Result<T, Failure>>,
    ) -> Result<T, Failure> {
        while let Some(wait) = self.wait() {
            tokio::time::sleep(wait).await;
        }
        let result = call.await;
        let label = match &result {
            Ok(_) => "ok",
            Err(Failure::Conflict { .. } | Failure::Held { .. }) => "conflict",
            Err(Failure::Unknown { .. }) => "unknown",
            Err(_) => "unavailable",
        };
        self.metrics
            .store_calls
            .with_label_values(&[name, label])
            .inc();
        result
    }

    fn wait(&self) -> Option<std::time::Duration> {
        let mut budget = self.budget.lock().unwrap_or_else(PoisonError::into_inner);
        let now = clock::now();
        if budget.take(now) {
            return None;
        }
        budget.wait(now)
    }
}
