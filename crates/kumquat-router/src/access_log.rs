//! The `access_log` module provides the access log of a VM, with a limited rate of lines.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;

use kumquat_coordination::fleet::TokenBucket;
use kumquat_state::clock;
use slog::{Logger, info};

use crate::metrics::Metrics;

/// Maximum rate of lines for requests that were refused or failed.
const FAILURE_LINES_PER_S: f64 = 40.0;

/// Maximum rate of lines for successful requests, which are omitted first.
const SUCCESS_LINES_PER_S: f64 = 4.0;

/// Maximum rate of lines for exchanges with upstreams that ended without an answer.
const BROKEN_EXCHANGE_LINES_PER_S: f64 = 10.0;

/// The access log's record of a request, written when its response is known.
#[derive(Clone, Debug, Default)]
pub struct AccessLogEntry<'a> {
    /// Attempt id of the caller; empty if the request has none.
    pub id: &'a str,
    /// Name of the route; empty if none matches.
    pub route: &'a str,
    /// Name of the team; empty for anonymous requests and those that end before authentication.
    pub team: &'a str,
    /// Name of the service; empty if the request ends before one is chosen.
    pub service: String,
    /// Key of the request, if the service is keyed.
    pub key: Option<u16>,
    /// HTTP status of the response to the caller.
    pub status: u16,
    /// Reason for the status.
    pub reason: &'a str,
    /// Names of the upstreams that were tried, in order, separated by commas.
    pub upstreams: String,
    /// HTTP status of the last response of an upstream, or of the VM to which the request was forwarded; it differs from
    /// `status` if the caller could not get that response.
    pub upstream_status: Option<u16>,
    /// Upstream whose request limit led to the refusal, if one did.
    pub limited_by: Option<Arc<str>>,
    /// Address of the VM to which the request was forwarded, if it was.
    pub forwarded_to: Option<SocketAddr>,
    /// Time from the arrival of the request to its response.
    pub took_ms: u64,
    /// Time in the queue for an upstream.
    pub waited_ms: u64,
    /// Time from the arrival of the request to its deadline.
    pub deadline_ms: u64,
    /// Version of the desired state in force; zero if there is none.
    pub version: u64,
    /// Requests in the queue of this VM.
    pub waiting: usize,
}

/// The access log, with separate rate limits for successful and failed requests.
#[derive(Debug)]
pub struct AccessLog {
    log: Logger,
    metrics: Metrics,
    // Token buckets for failed and for successful requests.
    rate_limits: RefCell<(TokenBucket, TokenBucket)>,
    broken_exchange_limit: RefCell<TokenBucket>,
}

impl AccessLog {
    /// Creates an access log that writes to `log`, and counts omitted lines in `metrics`.
    #[must_use]
    pub fn new(log: Logger, metrics: Metrics) -> Self {
        let now = clock::now();
        let failures = TokenBucket::new(now, FAILURE_LINES_PER_S, FAILURE_LINES_PER_S);
        let successes = TokenBucket::new(now, SUCCESS_LINES_PER_S, SUCCESS_LINES_PER_S);
        let broken_exchanges = TokenBucket::new(
            now,
            BROKEN_EXCHANGE_LINES_PER_S,
            BROKEN_EXCHANGE_LINES_PER_S,
        );
        Self {
            log,
            metrics,
            rate_limits: RefCell::new((failures, successes)),
            broken_exchange_limit: RefCell::new(broken_exchanges),
        }
    }

    /// Returns whether a line for an exchange that ended without an answer may be written, and counts it as omitted
    /// otherwise.
    pub fn allows_broken_exchange(&self) -> bool {
        let is_allowed = self
            .broken_exchange_limit
            .borrow_mut()
            .try_acquire(clock::now());
        if !is_allowed {
            self.metrics
                .omitted_log_lines
                .with_label_values(&["exchange"])
                .inc();
        }
        is_allowed
    }

    /// Writes the line of a request, or counts it as omitted if it exceeds the rate limit.
    pub fn write(&self, entry: &AccessLogEntry<'_>) {
        let is_success = entry.status < 400;
        let now = clock::now();
        let mut rate_limits = self.rate_limits.borrow_mut();
        let rate_limit = if is_success {
            &mut rate_limits.1
        } else {
            &mut rate_limits.0
        };
        if !rate_limit.try_acquire(now) {
            let kind = if is_success { "answer" } else { "failure" };
            self.metrics
                .omitted_log_lines
                .with_label_values(&[kind])
                .inc();
            return;
        }
        info!(self.log, "request";
            "id" => entry.id, "route" => entry.route, "team" => entry.team, "service" => &entry.service,
            "key" => entry.key,
            "status" => entry.status, "reason" => entry.reason, "upstreams" => &entry.upstreams,
            "upstream_status" => entry.upstream_status, "limited_by" => entry.limited_by.as_deref(),
            "forwarded_to" => entry.forwarded_to.map(|address| address.to_string()),
            "took_ms" => entry.took_ms, "waited_ms" => entry.waited_ms, "deadline_ms" => entry.deadline_ms,
            "version" => entry.version, "waiting" => entry.waiting);
    }
}
