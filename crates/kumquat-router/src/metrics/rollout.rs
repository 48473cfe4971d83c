//! The `rollout` module provides the metrics of rollouts of services to other versions.

use prometheus::{IntCounter, IntCounterVec};

use super::Registrar;

/// Metrics of rollouts.
#[derive(Clone, Debug)]
pub struct RolloutMetrics {
    /// Responses during rollouts, by side of the order and outcome.
    pub responses: IntCounterVec,
    /// Steps of rollouts that this VM has learned of, by state.
    pub steps: IntCounterVec,
    /// Times that this VM stopped sending to a new version because of responses of its own.
    pub stops: IntCounter,
}

impl RolloutMetrics {
    pub(super) fn register(registrar: &Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            responses: registrar.counter(
                "kumquat_vm_rollout_responses_total",
                "Responses of old and new versions during rollouts.",
                &["version", "outcome"],
            )?,
            steps: registrar.counter(
                "kumquat_vm_rollout_steps_total",
                "Steps of rollouts in force on this VM.",
                &["state"],
            )?,
            stops: registrar.total(
                "kumquat_vm_rollout_stops_total",
                "New versions that this VM stopped sending to on its own.",
            )?,
        })
    }
}
