//! The `metrics` module provides the entry's counters; `docs/OPERATIONS.md` explains each.

use prometheus::{
    Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 14] = [
    0.000_25, 0.000_5, 0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0,
];

/// Counters of one entry process; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Requests by service and outcome.
    pub requests: IntCounterVec,
    /// Refusals by reason.
    pub refusals: IntCounterVec,
    /// Requests whose caller key is unknown, withdrawn or malformed.
    pub rejected_keys: IntCounter,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Connections of callers that the entry closed because of a limit, by kind.
    pub closed_connections: IntCounterVec,
    /// Connections to dispatch processes that were closed because nothing arrived on them.
    pub silent_links: IntCounter,
    /// Answers that broke off before they were complete.
    pub broken_answers: IntCounter,
    /// Tries beyond the first.
    pub retries: IntCounter,
    /// Messages for streams that had ended.
    pub late_messages: IntCounter,
    /// Requests that callers gave up.
    pub hung_up: IntCounter,
    /// Requests that are running.
    pub running: IntGauge,
    /// Version of the bundle in force.
    pub bundle_version: IntGauge,
    /// Revision of the ledger in force.
    pub ledger_revision: IntGauge,
    /// Time from a request's arrival to its answer's head.
    pub latency: Histogram,
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates the counters in a registry of their own.
    ///
    /// # Panics
    ///
    /// Panics if two counters have the same name, which the tests would show.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let latency = HistogramOpts::new(
            "kumquat_entry_answer_seconds",
            "Time from a request's arrival to its answer's head.",
        )
        .buckets(LATENCY_BUCKETS.to_vec());
        let metrics = Self {
            requests: vector(
                "kumquat_entry_requests_total",
                "Requests by service and outcome.",
                &["service", "outcome"],
            ),
            refusals: vector(
                "kumquat_entry_refusals_total",
                "Refusals by reason.",
                &["reason"],
            ),
            rejected_keys: counter(
                "kumquat_entry_rejected_keys_total",
                "Requests with an unknown, withdrawn or malformed caller key.",
            ),
            connections: gauge("kumquat_entry_connections", "Open connections of callers."),
            closed_connections: vector(
                "kumquat_entry_closed_connections_total",
                "Connections of callers that the entry closed because of a limit, by kind.",
                &["kind"],
            ),
            silent_links: counter(
                "kumquat_entry_silent_links_total",
                "Connections to dispatch processes that were closed because nothing arrived on them.",
            ),
            broken_answers: counter(
                "kumquat_entry_broken_answers_total",
                "Answers that broke off before they were complete.",
            ),
            retries: counter("kumquat_entry_retries_total", "Tries beyond the first."),
            late_messages: counter(
                "kumquat_entry_late_messages_total",
                "Messages for streams that had ended.",
            ),
            hung_up: counter(
                "kumquat_entry_hung_up_total",
                "Requests whose caller closed the connection before the answer.",
            ),
            running: gauge(
                "kumquat_entry_running_requests",
                "Requests that are running.",
            ),
            bundle_version: gauge(
                "kumquat_entry_bundle_version",
                "Version of the bundle in force.",
            ),
            ledger_revision: gauge(
                "kumquat_entry_ledger_revision",
                "Revision of the ledger in force.",
            ),
            latency: Histogram::with_opts(latency).expect("valid metric options"),
            registry,
        };
        metrics.register();
        metrics
    }

    /// Returns all counters in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }

    fn register(&self) {
        let collectors: [Box<dyn prometheus::core::Collector>; 14] = [
            Box::new(self.requests.clone()),
            Box::new(self.refusals.clone()),
            Box::new(self.rejected_keys.clone()),
            Box::new(self.connections.clone()),
            Box::new(self.closed_connections.clone()),
            Box::new(self.silent_links.clone()),
            Box::new(self.broken_answers.clone()),
            Box::new(self.retries.clone()),
            Box::new(self.late_messages.clone()),
            Box::new(self.hung_up.clone()),
            Box::new(self.running.clone()),
            Box::new(self.bundle_version.clone()),
            Box::new(self.ledger_revision.clone()),
            Box::new(self.latency.clone()),
        ];
        for collector in collectors {
            self.registry
                .register(collector)
                .expect("metric names are unique");
        }
    }
}

fn counter(name: &str, help: &str) -> IntCounter {
    IntCounter::new(name, help).expect("valid metric options")
}

fn gauge(name: &str, help: &str) -> IntGauge {
    IntGauge::new(name, help).expect("valid metric options")
}

fn vector(name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric options")
}
