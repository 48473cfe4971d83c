//! The `gateway` module provides the proxying of requests: admission, choice of an upstream, retries and the response.

use std::cell::{Cell, OnceCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::response::refusal_status;
use kumquat_coordination::fleet::{Cost, Fingerprint, RateDecision, deadline_during_shutdown};
use kumquat_state::clock::{self, Instant};

use crate::access_log::AccessLogEntry;
use crate::config::{Config, Route};
use crate::http::{Body, Framing, Headers, RequestHead};
use crate::vm::{QueueParams, SlotError, SlotPermit, Target, Vm};

mod attempt;
mod explain;
mod fingerprint;
mod forward;
mod stream;

pub(crate) use explain::explain;
pub use stream::ResponseStream;

/// Fraction of a route's mean latency that must remain until the deadline for a request to be sent.
const MIN_REMAINING_FRACTION: f64 = 0.6;

/// Longest expected queue wait with which a request is admitted, as a fraction of its route's latency target.
///
/// A longer queue does not raise throughput under overload; it only makes every response late.
const MAX_QUEUE_WAIT_FRACTION: f64 = 0.4;

/// Minimum time that must remain until the deadline for a request to be sent, whatever its route.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);

/// Maximum number of upstreams tried for one request, including those to which the connection failed.
///
/// A failed connect delivers nothing to an upstream and doesn't count towards the route's `max_attempts`.
const MAX_UPSTREAMS_TRIED: usize = 4;

/// Delay before the owner of a key is looked up again after an upstream reported that it doesn't hold the key.
const OWNER_LOOKUP_DELAY: Duration = Duration::from_millis(20);

/// Maximum number of misdirected responses (status 421) after which a request is still retried.
const MAX_MISDIRECTED_RESPONSES: u32 = 2;

/// Shortest `Retry-After`; a response and a new connection take as long.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Longest `Retry-After` where it is an estimate of when there is room.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(2);

/// `Retry-After` while the VM has no desired state, or no upstream is eligible, such as when a key's owner is unknown.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(150);

/// Reason of the refusal of a request whose content has ended the upstreams that executed it.
const QUARANTINED: &str = "such requests have ended their upstreams";

/// Reason of the refusal of a request above its team's rate.
const ABOVE_TEAM_RATE: &str = "above the team's rate";

/// A request whose head and body have been received completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Request line and header fields.
    pub head: RequestHead,
    /// Decoded body, without transfer coding; empty if there is none.
    pub body: Body,
    /// Time at which the head arrived; the deadline counts from it.
    pub arrived_at: Instant,
}

/// Flags shared between the task of a caller's connection and the task that serves the request.
#[derive(Debug, Default)]
pub struct RequestFlags {
    /// Set by the connection's task when the caller has closed the connection; no retry is started any more.
    pub is_caller_gone: Cell<bool>,
    /// Set while an upstream may be executing a non-idempotent request, which must not be aborted.
    pub must_finish: Cell<bool>,
    /// Whether another VM, which has no path to the upstreams, has forwarded the request to this one.
    pub is_forwarded: bool,
}

/// The body of a response to a caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body, held in memory.
    Buffered(Vec<u8>),
    /// A body that is relayed as it arrives from the upstream.
    Streamed(Box<ResponseStream>),
}

/// A response to a caller.
#[derive(Debug)]
pub struct Response {
    /// HTTP status code.
    pub status: u16,
    /// End-to-end header fields; the connection adds the hop-by-hop fields and the framing.
    pub headers: Headers,
    /// Payload, without transfer coding.
    pub body: ResponseBody,
}

impl Response {
    /// Returns a plain-text response that the router generates itself.
    #[must_use]
    pub fn local(status: u16, reason: &str) -> Self {
        let mut headers = Headers::default();
        headers.append("Content-Type", "text/plain");
        Self {
            status,
            headers,
            body: ResponseBody::Buffered(format!("{reason}\n").into_bytes()),
        }
    }

    /// Returns a generated response with a `Retry-After` field, in seconds with three decimals.
    pub(crate) fn with_retry_after(status: u16, reason: &str, retry_after: Duration) -> Self {
        let mut response = Self::local(status, reason);
        let after = retry_after.max(MIN_RETRY_AFTER).as_secs_f64();
        response
            .headers
            .append("Retry-After", &format!("{after:.3}"));
        response
    }
}

/// A request that has been resolved to its route, team and service.
struct ResolvedRequest<'a> {
    vm: &'a Rc<Vm>,
    route: &'a Route,
    team: Option<&'a str>,
    /// Lower values are served first.
    priority: u32,
    target: Target,
    /// Expected cost, if costs are learned.
    cost: Option<Cost>,
    received: &'a ReceivedRequest,
    /// Id that the caller gave this attempt.
    attempt_id: &'a str,
    deadline: Instant,
    flags: &'a RequestFlags,
    /// Calculated when it is first needed.
    fingerprint: OnceCell<Fingerprint>,
}

/// State of a request across its attempts.
#[derive(Debug, Default)]
struct RequestProgress {
    /// Names of the upstreams of all attempts, in order; some were not reached.
    tried_upstreams: Vec<Arc<str>>,
    /// Addresses to which the request was sent; two upstreams can have the same.
    sent_to: Vec<SocketAddr>,
    /// Attempts that were sent over an established connection.
    sent_count: u32,
    /// Responses with status 421.
    misdirected_count: u32,
    /// Whether an upstream may have executed the request.
    may_have_executed: bool,
    /// Whether the last upstream shed the request although it had a free slot.
    was_shed_with_room: bool,
    /// Status of the last response to an attempt, also one that the caller doesn't get.
    upstream_status: Option<u16>,
    /// Address of the VM to which the request was forwarded last.
    forwarded_to: Option<SocketAddr>,
    /// Total time in the queue.
    queue_wait: Duration,
}

/// The reason for which a request ends without a response from an upstream.
struct Refusal {
    status: u16,
    reason: &'static str,
    /// Time after which the caller may try again.
    retry_after: Duration,
    /// Upstream whose request limit is the reason, if one is.
    limited_by: Option<Arc<str>>,
    /// Whether the VM that has forwarded the request may try another one.
    is_declined: bool,
}

impl Refusal {
    /// Returns the response for the caller, and completes the line of the access log.
    fn into_response(self, entry: &mut AccessLogEntry<'_>) -> Response {
        entry.limited_by = self.limited_by;
        let mut response = match self.status {
            503 => Response::with_retry_after(503, self.reason, self.retry_after),
            status => Response::local(status, self.reason),
        };
        if self.is_declined {
            response.headers.append(forward::DECLINED_HEADER, "1");
        }
        response
    }
}

/// Returns whether a pipelined request can start before the earlier requests on its connection are answered.
///
/// Only idempotent requests can, because a connection that breaks leaves the outcome of all started requests unknown.
#[must_use]
pub fn is_pipelinable(vm: &Vm, head: &RequestHead) -> bool {
    let is_plain = matches!(&*head.method, "GET" | "HEAD") && !head.is_http_1_0;
    if !is_plain || !matches!(head.framing(), Ok(Framing::Empty)) {
        return false;
    }
    let (Some(config), Some(host)) = (vm.config(), head.headers.get_str("host")) else {
        return false;
    };
    let route = config.route(&host_name(host.as_bytes()), head.path());
    route.is_some_and(|route| route.is_idempotent)
}

/// Returns the lower-case host name of a `Host` field, without the port.
fn host_name(field: &[u8]) -> String {
    let host = String::from_utf8_lossy(field).to_ascii_lowercase();
    match host.rsplit_once(':') {
        // The colons of an IPv6 address stand within brackets.
        Some((name, port)) if !port.ends_with(']') => name.to_owned(),
        _ => host,
    }
}

/// Serves a request, and records it in the access log and the metrics.
pub async fn serve(vm: &Rc<Vm>, received: &ReceivedRequest, flags: &RequestFlags) -> Response {
    let mut progress = RequestProgress::default();
    let mut entry = AccessLogEntry::default();
    let config = vm.config();
    let response = if let Some(config) = &config {
        entry.version = config.version;
        admit(vm, config, received, flags, &mut progress, &mut entry).await
    } else {
        entry.reason = "no desired state yet";
        Response::with_retry_after(503, entry.reason, DEFAULT_RETRY_AFTER)
    };
    let duration = clock::now().saturating_since(received.arrived_at);
    entry.id = received
        .head
        .headers
        .get_str(vm.dialect.attempt_id_header)
        .unwrap_or_default();
    entry.status = response.status;
    entry.took_ms = saturating_millis(duration);
    entry.waited_ms = saturating_millis(progress.queue_wait);
    entry.upstreams = progress.tried_upstreams.join(",");
    entry.upstream_status = progress.upstream_status;
    entry.waiting = vm.queue_length();
    vm.request_log.write(&entry);
    vm.metrics
        .responses
        .with_label_values(&[entry.reason])
        .inc();
    vm.metrics.request_duration.observe(duration.as_secs_f64());
    vm.metrics
        .queue_wait
        .observe(progress.queue_wait.as_secs_f64());
    response
}

/// Validates and authenticates a request, and returns it with its route, team, service and key, but without its cost.
///
/// Changes no state but `entry`, whose fields it fills in as far as they are known when the request ends.
///
/// # Errors
///
/// Returns the response to a request that can't be sent.
fn resolve<'a>(
    vm: &'a Rc<Vm>,
    config: &'a Config,
    received: &'a ReceivedRequest,
    flags: &'a RequestFlags,
    entry: &mut AccessLogEntry<'a>,
) -> Result<ResolvedRequest<'a>, Response> {
    let headers = &received.head.headers;
    let mut reject = |status, reason| {
        entry.reason = reason;
        Err(Response::local(status, reason))
    };
    let mut hosts = headers.get_all("host");
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return reject(400, "not exactly one Host");
    };
    let Some(attempt_id) = headers.get_str(vm.dialect.attempt_id_header) else {
        return reject(400, "no id");
    };
    let Some(route) = config.route(&host_name(host), received.head.path()) else {
        return reject(404, "no route");
    };
    let team = headers
        .get_str("authorization")
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(vm.dialect.auth_scheme))
        .and_then(|(_, key)| config.team_by_key(key.trim()));
    if team.is_none() && !route.allows_anonymous && !config.teams.is_empty() {
        return reject(401, "unknown caller key");
    }

    entry.route = &route.name;
    entry.team = team.map_or("", |team| &team.name);
    let Some(deadline) = request_deadline(vm, route, received) else {
        entry.reason = "the VM stops before the request could end";
        return Err(Response::with_retry_after(
            503,
            entry.reason,
            MIN_RETRY_AFTER,
        ));
    };
    entry.deadline_ms = saturating_millis(received.arrived_at.until(deadline));
    let Some(service) = vm.next_service(route) else {
        return reject(503, "the route has no service");
    };
    let is_keyed = config
        .service(&service)
        .is_some_and(|service| service.is_keyed);
    let key = headers
        .get_str(vm.dialect.key_number_header)
        .and_then(|key| key.trim().parse().ok());
    if is_keyed && key.is_none() {
        return reject(400, "no key number");
    }
    entry.service = service.to_string();
    entry.key = key.filter(|_| is_keyed);
    Ok(ResolvedRequest {
        vm,
        route,
        team: team.map(|team| team.name.as_str()),
        priority: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        target: Target {
            service,
            key: key.filter(|_| is_keyed),
        },
        cost: None,
        received,
        attempt_id,
        deadline,
        flags,
        fingerprint: OnceCell::new(),
    })
}

/// Resolves a request, applies its team's rate limit and forwards it.
///
/// Fills in the fields of `entry` as far as they are known when the request ends.
async fn admit<'a>(
    vm: &'a Rc<Vm>,
    config: &'a Config,
    received: &'a ReceivedRequest,
    flags: &'a RequestFlags,
    progress: &mut RequestProgress,
    entry: &mut AccessLogEntry<'a>,
) -> Response {
    let mut request = match resolve(vm, config, received, flags, entry) {
        Ok(request) => request,
        Err(response) => return response,
    };
    let (route, service) = (request.route, &request.target.service);
    request.cost = vm.request_cost(route, service, received.head.path(), received.body.len());
    if let Some(wait) = vm.quarantine_wait(|| request.fingerprint()) {
        entry.reason = QUARANTINED;
        return Response::with_retry_after(503, entry.reason, wait);
    }
    // A forwarded request takes its token and counts as a request at the VM that serves it.
    let result = if request.should_forward(progress) {
        request.forward(progress).await
    } else {
        // Comes after all other checks, so that a request that can't be sent takes no token.
        if let Some(team) = request.team
            && let RateDecision::Exhausted { wait_s } = vm.try_acquire_team_token(team)
        {
            entry.reason = ABOVE_TEAM_RATE;
            return Response::with_retry_after(429, entry.reason, retry_delay(wait_s));
        }
        vm.advance_split(route);
        vm.record_request(&request.target);
        request.run_with_token(progress).await
    };
    entry.forwarded_to = progress.forwarded_to;
    match result {
        Ok(response) => {
            entry.reason = "answered";
            response
        }
        Err(refusal) => {
            entry.reason = refusal.reason;
            refusal.into_response(entry)
        }
    }
}

/// Returns the deadline of a request, or `None` if the VM stops before the request could be expected to end.
fn request_deadline(vm: &Vm, route: &Route, received: &ReceivedRequest) -> Option<Instant> {
    let time_limit = received
        .head
        .headers
        .get_str(vm.dialect.deadline_header)
        .and_then(|value| value.trim().parse().ok())
        .map_or(route.timeout, Duration::from_millis);
    let deadline = received.arrived_at + time_limit.min(route.timeout);
    let Some(answers_end) = vm.last_answers_at() else {
        return Some(deadline);
    };
    let expected = vm.peak_latency(route);
    deadline_during_shutdown(clock::now(), answers_end, deadline, expected)
}

/// What to do after an attempt.
enum Action {
    /// The response for the caller.
    Respond(Response),
    /// Retry if the limits allow it, otherwise end the request for this reason.
    Retry(&'static str),
    /// End the request with a refusal for this reason.
    Fail(&'static str),
}

impl ResolvedRequest<'_> {
    /// Runs a request that has taken a token of its team's rate, and returns the token if no upstream got the request.
    ///
    /// # Errors
    ///
    /// As for [`Self::run`].
    async fn run_with_token(&self, progress: &mut RequestProgress) -> Result<Response, Refusal> {
        let result = self.run(progress).await;
        let is_unused =
            progress.sent_count == 0 && (result.is_err() || progress.forwarded_to.is_some());
        if let (true, Some(team)) = (is_unused, self.team) {
            self.vm.refund_team_token(team);
        }
        result
    }

    /// Sends the request to upstreams until one responds or no further attempt is allowed.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream is available in time, or the limits on retries are reached.
    async fn run(&self, progress: &mut RequestProgress) -> Result<Response, Refusal> {
        loop {
            if self.should_forward(progress) {
                return self.forward(progress).await;
            }
            let placed = match self.acquire_upstream(progress).await {
                Ok(placed) => placed,
                // The path was lost while the request was queued.
                Err(_refusal) if self.should_forward(progress) => continue,
                Err(refusal) => return Err(refusal),
            };
            let trial = self.vm.admit_suspect(|| self.fingerprint());
            let trial = trial.map_err(|wait| Refusal {
                retry_after: wait,
                ..self.refusal(progress, QUARANTINED, wait)
            })?;
            let action = self.attempt(placed, progress).await;
            drop(trial);
            let reason = match action {
                Action::Respond(response) => return Ok(response),
                Action::Fail(reason) => return Err(self.refusal(progress, reason, Duration::ZERO)),
                Action::Retry(reason) => reason,
            };
            let is_out_of_attempts = progress.sent_count >= self.route.max_attempts.max(1);
            if progress.may_have_executed && !self.route.is_idempotent {
                return Err(self.refusal(progress, reason, Duration::ZERO));
            }
            if progress.tried_upstreams.len() >= MAX_UPSTREAMS_TRIED
                || is_out_of_attempts
                || self.flags.is_caller_gone.get()
            {
                return Err(self.refusal(progress, reason, self.retry_after_failure(progress)));
            }
            if progress.misdirected_count > 0 {
                tokio::time::sleep(OWNER_LOOKUP_DELAY).await;
            }
            // A failed connect costs the upstreams nothing, so it takes nothing from the retry budget.
            if progress.sent_count > 0 && !self.vm.try_acquire_retry(&self.target.service) {
                return Err(self.refusal(progress, reason, self.retry_after_failure(progress)));
            }
            if let (true, Some(team)) = (progress.may_have_executed, self.team) {
                self.vm.record_team_retry(team);
            }
        }
    }

    /// Returns the time after which a caller may try again whose request failed at the last upstream.
    fn retry_after_failure(&self, progress: &RequestProgress) -> Duration {
        // Such an upstream does not shed for want of room, so that waiting does not help.
        if progress.was_shed_with_room {
            MIN_RETRY_AFTER
        } else {
            self.vm.mean_latency(self.route)
        }
    }

    /// Reserves an upstream for the next attempt, waiting in the queue if that can help.
    async fn acquire_upstream(
        &self,
        progress: &mut RequestProgress,
    ) -> Result<SlotPermit, Refusal> {
        let urgency = self.queue_params();
        let started = clock::now();
        if started > urgency.send_deadline {
            return Err(self.lateness(progress, &urgency));
        }
        let excluded = if self.target.key.is_some() {
            &[]
        } else {
            &*progress.tried_upstreams
        };
        let placed = self.vm.acquire_slot(&self.target, excluded, urgency).await;
        progress.queue_wait += clock::now().saturating_since(started);
        placed.map_err(|unplaced| self.unplaced(progress, unplaced))
    }

    /// Returns the priority of the request and the limits on its wait.
    fn queue_params(&self) -> QueueParams {
        let mean = self.vm.mean_latency(self.route);
        let min_remaining = mean.mul_f64(MIN_REMAINING_FRACTION).max(MIN_REMAINING_TIME);
        let target_time = self.received.arrived_at + self.route.latency_target;
        QueueParams {
            priority: self.priority,
            on_time_deadline: target_time - mean,
            max_wait: self.route.latency_target.mul_f64(MAX_QUEUE_WAIT_FRACTION),
            send_deadline: self.deadline - min_remaining.min(self.route.timeout / 2),
            mean_latency: mean,
            cost: self.cost,
        }
    }

    /// Returns the refusal of a request that could no longer be answered in time.
    fn lateness(&self, progress: &RequestProgress, urgency: &QueueParams) -> Refusal {
        self.refusal(progress, "too little time left", urgency.mean_latency)
    }

    /// Returns the refusal of a request that gets no slot.
    fn unplaced(&self, progress: &RequestProgress, error: SlotError) -> Refusal {
        match error {
            SlotError::NoUpstream => self.refusal(progress, "no upstream", DEFAULT_RETRY_AFTER),
            SlotError::Busy { wait_s } => {
                self.refusal(progress, "no room in time", retry_delay(wait_s))
            }
            SlotError::OverLimit { upstream, wait } => Refusal {
                limited_by: Some(upstream),
                ..self.refusal(progress, "upstream at its request limit", wait)
            },
        }
    }

    /// Returns the refusal with the status that the progress of the request allows.
    fn refusal(
        &self,
        progress: &RequestProgress,
        reason: &'static str,
        retry_after: Duration,
    ) -> Refusal {
        let has_time_left = clock::now() < self.deadline;
        Refusal {
            status: refusal_status(progress.may_have_executed, has_time_left),
            reason,
            retry_after: retry_after.min(MAX_RETRY_AFTER),
            limited_by: None,
            is_declined: false,
        }
    }
}

/// Returns whole milliseconds, rounded down.
fn saturating_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Converts seconds to a delay; values that are no valid duration give the longest one.
fn retry_delay(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).map_or(MAX_RETRY_AFTER, |delay| delay.min(MAX_RETRY_AFTER))
}
