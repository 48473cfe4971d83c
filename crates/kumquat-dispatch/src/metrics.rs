//! The `metrics` module provides the counters of a dispatch process; `docs/OPERATIONS.md` explains each.

use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder};

/// Counters of one dispatch process; clones share them.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Attempts by service and outcome.
    pub attempts: IntCounterVec,
    /// Refusals by service and reason.
    pub refusals: IntCounterVec,
    /// Changes of an upstream's state by kind.
    pub upstream_changes: IntCounterVec,
    /// Requests in the queue by service.
    pub queued: IntGaugeVec,
    /// Attempts that were not sent because permission had lapsed.
    pub withheld: IntCounter,
    /// Messages by kind that were dropped because they made no sense.
    pub rejected_messages: IntCounterVec,
    /// Control messages sent to peers.
    pub control_messages: IntCounter,
    /// Bytes of control messages sent to peers, without the overhead of the transport.
    pub control_bytes: IntCounter,
    /// Calls to the store by kind and result.
    pub store_calls: IntCounterVec,
    /// 1 while this VM has authority.
    pub authority: IntGauge,
    /// 1 while this VM is the coordinator.
    pub coordinator: IntGauge,
    /// Roles for which this VM acts.
    pub acting: IntGauge,
    /// Version of the bundle in force.
    pub bundle_version: IntGauge,
    /// Revision of the ledger in force.
    pub ledger_revision: IntGauge,
    /// Version of the membership in force.
    pub membership_version: IntGauge,
    /// Audit entries that were dropped before the store could take them.
    pub audit_dropped: IntGauge,
    /// Incarnations fenced by this VM.
    pub fenced: IntCounter,
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
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counter =
                IntCounterVec::new(Opts::new(name, help), labels).expect("valid metric options");
            register(&registry, Box::new(counter.clone()));
            counter
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help).expect("valid metric options");
            register(&registry, Box::new(counter.clone()));
            counter
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help).expect("valid metric options");
            register(&registry, Box::new(gauge.clone()));
            gauge
        };
        let queued = IntGaugeVec::new(
            Opts::new("kumquat_dispatch_queued_requests", "Requests in the queue."),
            &["service"],
        )
        .expect("valid metric options");
        register(&registry, Box::new(queued.clone()));

        Self {
            attempts: counters(
                "kumquat_dispatch_attempts_total",
                "Attempts by service and outcome.",
                &["service", "outcome"],
            ),
            refusals: counters(
                "kumquat_dispatch_refusals_total",
                "Refusals by service and reason.",
                &["service", "reason"],
            ),
            upstream_changes: counters(
                "kumquat_dispatch_upstream_changes_total",
                "Changes of an upstream's state by kind.",
                &["upstream", "change"],
            ),
            queued,
            withheld: counter(
                "kumquat_dispatch_withheld_attempts_total",
                "Attempts that were not sent because permission had lapsed.",
            ),
            rejected_messages: counters(
                "kumquat_dispatch_rejected_messages_total",
                "Messages that were dropped because they made no sense.",
                &["kind"],
            ),
            control_messages: counter(
                "kumquat_dispatch_control_messages_total",
                "Control messages sent to peers.",
            ),
            control_bytes: counter(
                "kumquat_dispatch_control_bytes_total",
                "Bytes of control messages sent to peers, without the overhead of the transport.",
            ),
            store_calls: counters(
                "kumquat_dispatch_store_calls_total",
                "Calls to the store by kind and result.",
                &["call", "result"],
            ),
            authority: gauge(
                "kumquat_dispatch_authority",
                "1 while this VM has authority.",
            ),
            coordinator: gauge(
                "kumquat_dispatch_coordinator",
                "1 while this VM is the coordinator.",
            ),
            acting: gauge(
                "kumquat_dispatch_acting_roles",
                "Roles for which this VM acts.",
            ),
            bundle_version: gauge(
                "kumquat_dispatch_bundle_version",
                "Version of the bundle in force.",
            ),
            ledger_revision: gauge(
                "kumquat_dispatch_ledger_revision",
                "Revision of the ledger in force.",
            ),
            membership_version: gauge(
                "kumquat_dispatch_membership_version",
                "Version of the membership in force.",
            ),
            audit_dropped: gauge(
                "kumquat_dispatch_audit_dropped_entries",
                "Audit entries that were dropped before the store could take them.",
            ),
            fenced: counter(
                "kumquat_dispatch_fenced_total",
                "Incarnations fenced by this VM.",
            ),
            registry,
        }
    }

    /// Returns all counters in the text format of Prometheus.
    #[must_use]
    pub fn render(&self) -> String {
        TextEncoder::new()
            .encode_to_string(&self.registry.gather())
            .unwrap_or_default()
    }
}

fn register(registry: &Registry, collector: Box<dyn prometheus::core::Collector>) {
    registry
        .register(collector)
        .expect("metric names are unique");
}
