//! The `metrics` module provides the Prometheus metrics of a VM.

use prometheus::{
    Encoder, GaugeVec, Histogram, HistogramOpts, IntCounter, IntCounterVec, IntGauge, IntGaugeVec,
    Opts, Registry, TextEncoder,
};

mod rollout;

pub use rollout::RolloutMetrics;

/// Upper bounds of the histogram buckets, spaced for deadlines between a tenth of a second and a few seconds.
const DURATION_BUCKETS_S: [f64; 12] = [
    0.01, 0.02, 0.04, 0.07, 0.1, 0.15, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0,
];

/// Upper bounds of the histogram buckets for ratios of observed to expected values.
const RATIO_BUCKETS: [f64; 9] = [0.1, 0.25, 0.5, 0.8, 1.25, 2.0, 4.0, 10.0, 50.0];

/// Metrics of a VM; clones share the same registry.
#[derive(Clone, Debug)]
pub struct Metrics {
    registry: Registry,
    /// Responses to callers, by reason.
    pub responses: IntCounterVec,
    /// Attempts at upstreams, by outcome.
    pub attempts: IntCounterVec,
    /// Calls that grant keys to upstreams or release them, by kind and outcome.
    pub orders: IntCounterVec,
    /// Requests and orders sent to upstreams while these announce a request limit, by kind.
    pub limited_upstream_sends: IntCounterVec,
    /// Calls to the store, by kind and outcome.
    pub store_calls: IntCounterVec,
    /// Times that the store came back from an older copy of its data.
    pub store_era_changes: IntCounter,
    /// Items in answers of the store that were left out because their key or revision can't be read, by kind of call.
    pub unreadable_store_items: IntCounterVec,
    /// Lines omitted from the access log because of its rate limits, by kind.
    pub omitted_log_lines: IntCounterVec,
    /// Exchanges during which an upstream ended.
    pub upstream_ends: IntCounter,
    /// Requests whose content is suspected of ending upstreams, by what became of them.
    pub suspect_requests: IntCounterVec,
    /// Contents in quarantine.
    pub quarantined_contents: IntGauge,
    /// Metrics of rollouts of services to other versions.
    pub rollout: RolloutMetrics,
    /// Services to whose upstreams this VM has no path.
    pub lost_paths: IntGauge,
    /// Requests that were forwarded to other VMs, by outcome.
    pub forwards: IntCounterVec,
    /// Requests that other VMs have forwarded to this one.
    pub helped_requests: IntCounter,
    /// Time from a request's arrival until its response head is known, in seconds.
    pub request_duration: Histogram,
    /// Total time of a request in the queue for an upstream, in seconds.
    pub queue_wait: Histogram,
    /// Requests in the queue for an upstream.
    pub queued_requests: IntGauge,
    /// Expected and outstanding work of requests.
    pub work: WorkMetrics,
    /// Open connections from callers.
    pub caller_connections: IntGauge,
    /// What callers take of the VM's memory and descriptors.
    pub intake: IntakeMetrics,
    /// Time by which timers of the event loop fire late, in seconds.
    pub event_loop_delay: Histogram,
}

impl Metrics {
    /// Creates the metrics in a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let registrar = Registrar(&registry);
        let counter = |name, help, labels| registrar.counter(name, help, labels);
        let histogram = |name, help| registrar.histogram(name, help, &DURATION_BUCKETS_S);
        let total = |name, help| registrar.total(name, help);
        let gauge = |name, help| registrar.gauge(name, help);
        Ok(Self {
            responses: counter(
                "kumquat_vm_answers_total",
                "Answers to callers.",
                &["outcome"],
            )?,
            attempts: counter(
                "kumquat_vm_attempts_total",
                "Ends of requests at upstreams.",
                &["outcome"],
            )?,
            orders: counter(
                "kumquat_vm_orders_total",
                "Grants and releases of keys.",
                &["kind", "outcome"],
            )?,
            limited_upstream_sends: counter(
                "kumquat_vm_limited_upstream_sends_total",
                "Requests and orders sent to upstreams that announce a request limit.",
                &["kind"],
            )?,
            store_calls: counter(
                "kumquat_vm_store_calls_total",
                "Calls to the store.",
                &["kind", "outcome"],
            )?,
            store_era_changes: total(
                "kumquat_vm_store_era_changes_total",
                "Times that the store came back from an older copy of its data.",
            )?,
            unreadable_store_items: counter(
                "kumquat_vm_unreadable_store_items_total",
                "Items in answers of the store without a readable key or revision.",
                &["kind"],
            )?,
            omitted_log_lines: counter(
                "kumquat_vm_log_lines_omitted_total",
                "Log lines that were left out to bound the volume.",
                &["kind"],
            )?,
            upstream_ends: total(
                "kumquat_vm_upstream_ends_total",
                "Exchanges during which an upstream ended.",
            )?,
            suspect_requests: counter(
                "kumquat_vm_suspect_requests_total",
                "Requests whose content is suspected of ending upstreams.",
                &["outcome"],
            )?,
            quarantined_contents: gauge(
                "kumquat_vm_quarantined_contents",
                "Request contents in quarantine.",
            )?,
            rollout: RolloutMetrics::register(&registrar)?,
            lost_paths: gauge(
                "kumquat_vm_lost_paths",
                "Services to whose upstreams this VM has no path.",
            )?,
            forwards: counter(
                "kumquat_vm_forwards_total",
                "Requests forwarded to other VMs for want of a path to the upstreams.",
                &["outcome"],
            )?,
            helped_requests: total(
                "kumquat_vm_helped_requests_total",
                "Requests that other VMs have forwarded to this one.",
            )?,
            request_duration: histogram(
                "kumquat_vm_request_seconds",
                "Time from a request's arrival to its answer.",
            )?,
            queue_wait: histogram(
                "kumquat_vm_wait_seconds",
                "Time for which a request waits for room at an upstream.",
            )?,
            queued_requests: gauge(
                "kumquat_vm_waiting_requests",
                "Requests that wait for room.",
            )?,
            work: WorkMetrics::new(&registrar)?,
            caller_connections: gauge(
                "kumquat_vm_caller_connections",
                "Open connections of callers.",
            )?,
            intake: IntakeMetrics::new(&registrar)?,
            event_loop_delay: histogram(
                "kumquat_vm_event_loop_delay_seconds",
                "Time by which timers of the event loop fire late.",
            )?,
            registry,
        })
    }

    /// Returns all metrics in the Prometheus text format, or a comment with the error if encoding fails.
    #[must_use]
    pub fn render(&self) -> Vec<u8> {
        let mut text = Vec::new();
        match TextEncoder::new().encode(&self.registry.gather(), &mut text) {
            Ok(()) => text,
            Err(error) => format!("# the metrics can't be shown: {error}\n").into_bytes(),
        }
    }
}

/// Metrics of what callers take of a VM's memory and descriptors.
#[derive(Clone, Debug)]
pub struct IntakeMetrics {
    /// Bytes that connections hold, by listener.
    pub held_bytes: IntGaugeVec,
    /// Connections that count towards the maximum of their listener, by listener.
    pub connections: IntGaugeVec,
    /// Connections closed to make room, by listener and reason.
    pub evictions: IntCounterVec,
    /// Requests and connections rejected for lack of room, by listener and reason.
    pub rejections: IntCounterVec,
    /// Connections that wait for their turn to process large input.
    pub waiting_connections: IntGauge,
    /// Turns in which connections processed large input.
    pub turns: IntCounter,
}

impl IntakeMetrics {
    fn new(registrar: &Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            held_bytes: registrar.gauges(
                "kumquat_vm_intake_held_bytes",
                "Bytes that connections hold.",
                &["listener"],
            )?,
            connections: registrar.gauges(
                "kumquat_vm_intake_connections",
                "Connections that count towards the maximum of their listener.",
                &["listener"],
            )?,
            evictions: registrar.counter(
                "kumquat_vm_intake_evictions_total",
                "Connections closed to make room.",
                &["listener", "reason"],
            )?,
            rejections: registrar.counter(
                "kumquat_vm_intake_rejections_total",
                "Requests and connections rejected for lack of room.",
                &["listener", "reason"],
            )?,
            waiting_connections: registrar.gauge(
                "kumquat_vm_input_waiting_connections",
                "Connections that wait for their turn to process large input.",
            )?,
            turns: registrar.total(
                "kumquat_vm_input_turns_total",
                "Turns in which connections processed large input.",
            )?,
        })
    }
}

/// Metrics of the expected work of requests.
#[derive(Clone, Debug)]
pub struct WorkMetrics {
    /// Observed work of completed requests relative to the expected work.
    pub ratio: Histogram,
    /// Expected remaining work of this VM's requests at upstreams in seconds, by service.
    pub outstanding: GaugeVec,
    /// Services whose requests are routed by their expected cost.
    pub cost_routed_services: IntGauge,
}

impl WorkMetrics {
    fn new(registrar: &Registrar<'_>) -> Result<Self, prometheus::Error> {
        Ok(Self {
            ratio: registrar.histogram(
                "kumquat_vm_work_ratio",
                "Observed work of a request relative to the expected work.",
                &RATIO_BUCKETS,
            )?,
            outstanding: registrar.float_gauge(
                "kumquat_vm_outstanding_work_seconds",
                "Expected remaining work of requests at upstreams.",
                &["service"],
            )?,
            cost_routed_services: registrar.gauge(
                "kumquat_vm_cost_routed_services",
                "Services whose requests are routed by their expected cost.",
            )?,
        })
    }
}

/// Creates metrics and registers them.
#[derive(Debug)]
struct Registrar<'a>(&'a Registry);

impl Registrar<'_> {
    fn counter(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntCounterVec, prometheus::Error> {
        let counter = IntCounterVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn histogram(
        &self,
        name: &str,
        help: &str,
        buckets: &[f64],
    ) -> Result<Histogram, prometheus::Error> {
        let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
        let histogram = Histogram::with_opts(options)?;
        self.0.register(Box::new(histogram.clone()))?;
        Ok(histogram)
    }

    fn total(&self, name: &str, help: &str) -> Result<IntCounter, prometheus::Error> {
        let counter = IntCounter::new(name, help)?;
        self.0.register(Box::new(counter.clone()))?;
        Ok(counter)
    }

    fn float_gauge(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<GaugeVec, prometheus::Error> {
        let gauge = GaugeVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauges(
        &self,
        name: &str,
        help: &str,
        labels: &[&str],
    ) -> Result<IntGaugeVec, prometheus::Error> {
        let gauge = IntGaugeVec::new(Opts::new(name, help), labels)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }

    fn gauge(&self, name: &str, help: &str) -> Result<IntGauge, prometheus::Error> {
        let gauge = IntGauge::new(name, help)?;
        self.0.register(Box::new(gauge.clone()))?;
        Ok(gauge)
    }
}
