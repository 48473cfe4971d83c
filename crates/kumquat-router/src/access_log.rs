//! The `access_log` module provides the log lines of requests, with a bounded volume.

use std::cell::RefCell;

use kumquat_coordination::fleet::TokenBucket;
use kumquat_state::clock;
use slog::{Logger, info};

use crate::metrics::Metrics;

/// Lines a second for requests that were refused or failed.
const FAILURES_PER_S: f64 = 40.0;

/// Lines a second for answered requests; they are the first that are left out.
const ANSWERS_PER_S: f64 = 4.0;

/// What is logged about a request that has its answer.
#[derive(Clone, Debug, Default)]
pub struct AccessLogEntry<'a> {
    /// Id of the caller's try.
    pub id: &'a str,
    /// Route, if one was found.
    pub route: &'a str,
    /// Team, if the request has one.
    pub team: &'a str,
    /// Service that the request was for.
    pub service: String,
    /// Key number, if the service has owners of keys.
    pub key: Option<u16>,
    /// Status that the caller gets.
    pub status: u16,
    /// Why.
    pub reason: &'a str,
    /// Upstreams that it was sent to, in order.
    pub upstreams: String,
    /// Milliseconds from arrival to answer.
    pub took_ms: u64,
    /// Milliseconds for which it waited for room.
    pub waited_ms: u64,
    /// Milliseconds that the caller would have waited in all.
    pub deadline_ms: u64,
    /// Version of the desired state that was applied.
    pub version: u64,
    /// Requests that wait at this VM.
    pub waiting: usize,
}

/// Writes the lines of requests.
#[derive(Debug)]
pub struct AccessLog {
    log: Logger,
    metrics: Metrics,
    budgets: RefCell<(TokenBucket, TokenBucket)>,
}

impl AccessLog {
    /// Creates a journal that writes to `log`.
    #[must_use]
    pub fn new(log: Logger, metrics: Metrics) -> Self {
        let now = clock::now();
        let failures = TokenBucket::new(now, FAILURES_PER_S, FAILURES_PER_S);
        let answers = TokenBucket::new(now, ANSWERS_PER_S, ANSWERS_PER_S);
        Self {
            log,
            metrics,
            budgets: RefCell::new((failures, answers)),
        }
    }

    /// Writes the line of a request, unless too many were written already.
    pub fn write(&self, line: &AccessLogEntry<'_>) {
        let is_answer = line.status < 400;
        let now = clock::now();
        let mut budgets = self.budgets.borrow_mut();
        let budget = if is_answer {
            &mut budgets.1
        } else {
            &mut budgets.0
        };
        if !budget.try_acquire(now) {
            let kind = if is_answer { "answer" } else { "failure" };
            self.metrics
                .omitted_log_lines
                .with_label_values(&[kind])
                .inc();
            return;
        }
        info!(self.log, "request";
            "id" => line.id, "route" => line.route, "team" => line.team, "service" => &line.service,
            "key" => line.key,
            "status" => line.status, "reason" => line.reason, "upstreams" => &line.upstreams,
            "took_ms" => line.took_ms, "waited_ms" => line.waited_ms, "deadline_ms" => line.deadline_ms,
            "version" => line.version, "waiting" => line.waiting);
    }
}
