//! The `gateway` module provides the way of one request from its caller to an upstream and back.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::RateDecision;
use kumquat_state::clock::{self, Instant};

use crate::access_log::AccessLogEntry;
use crate::config::{Config, Route};
use crate::http::{Framing, Headers, RequestHead};
use crate::vm::{QueueParams, SlotError, SlotPermit, Target, Vm};

mod attempt;
mod stream;

pub use stream::ResponseStream;

/// Part of a route's usual time that must be left for a request to be worth sending.
const LEAST_OF_MEAN: f64 = 0.6;

/// Longest expected wait that a request is admitted with, in parts of its route's aim.
///
/// Under overload a longer queue serves no more requests, it only serves all of them late.
const MAX_WAIT_OF_AIM: f64 = 0.4;

/// Time that must be left for a request to be worth sending, whatever its route.
const LEAST_TIME: Duration = Duration::from_millis(5);

/// Tries to connect to upstreams for one request; nothing reaches an upstream by them.
const CONNECT_LIMIT: usize = 4;

/// Time after which the owner of a key is looked up again when an upstream did not hold the key.
const OWNER_PAUSE: Duration = Duration::from_millis(20);

/// Sends of a request that its key's owner may turn away before the request is refused.
const MISDIRECTED_LIMIT: u32 = 2;

/// Shortest time that a refused caller is told to wait; an answer and a new connection take as long.
const RETRY_FIRST: Duration = Duration::from_millis(20);

/// Longest time that a refused caller is told to wait.
const RETRY_LAST: Duration = Duration::from_secs(2);

/// Time that a caller is told to wait when the VM or the owner of a key is not known yet.
const RETRY_UNKNOWN: Duration = Duration::from_millis(150);

/// A request that has arrived whole.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Head.
    pub head: RequestHead,
    /// Body.
    pub body: Vec<u8>,
    /// When its head arrived.
    pub arrived_at: Instant,
}

/// What the caller's side and the request's task tell each other.
#[derive(Debug, Default)]
pub struct RequestFlags {
    /// Whether the caller has left.
    pub is_caller_gone: Cell<bool>,
    /// Whether an upstream may be at work on a request that must not run twice.
    pub must_finish: Cell<bool>,
}

/// The body of an answer for the caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// The whole body.
    Buffered(Vec<u8>),
    /// A body that is passed on as it arrives.
    Streamed(Box<ResponseStream>),
}

/// An answer for the caller.
#[derive(Debug)]
pub struct Response {
    /// Status code.
    pub status: u16,
    /// Header fields other than those of the connection.
    pub headers: Headers,
    /// Body.
    pub body: ResponseBody,
}

impl Response {
    /// Returns an answer of the router's own.
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

    fn refused(status: u16, reason: &str, after: Duration) -> Self {
        let mut reply = Self::local(status, reason);
        let after = after.clamp(RETRY_FIRST, RETRY_LAST).as_secs_f64();
        reply.headers.append("Retry-After", &format!("{after:.3}"));
        reply
    }
}

/// A request whose route, team and service are known.
struct Request<'a> {
    vm: &'a Rc<Vm>,
    route: &'a Route,
    team: Option<&'a str>,
    rank: u32,
    target: Target,
    incoming: &'a ReceivedRequest,
    id: &'a str,
    deadline: Instant,
    signals: &'a RequestFlags,
}

/// What happened to a request on its way.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<Arc<str>>,
    sends: u32,
    misdirected: u32,
    may_have_run: bool,
    waited: Duration,
}

/// Why a request ends without an upstream's answer.
struct Refusal {
    status: u16,
    reason: &'static str,
    after: Duration,
}

/// Returns whether a request that stands behind others on its connection can be started before these are answered.
///
/// Only work that may be repeated is, because a connection that breaks leaves the effect of all of it unknown.
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

/// Returns the name in a `Host` field, without a port.
fn host_name(field: &[u8]) -> String {
    let host = String::from_utf8_lossy(field).to_ascii_lowercase();
    match host.rsplit_once(':') {
        Some((name, _)) => name.to_owned(),
        None => host,
    }
}

/// Serves a request; the line about it is logged.
pub async fn serve(vm: &Rc<Vm>, incoming: &ReceivedRequest, signals: &RequestFlags) -> Response {
    let mut progress = Progress::default();
    let mut line = AccessLogEntry::default();
    let config = vm.config();
    let reply = if let Some(config) = &config {
        line.version = config.version;
        admit(vm, config, incoming, signals, &mut progress, &mut line).await
    } else {
        line.reason = "no desired state yet";
        Response::refused(503, line.reason, RETRY_UNKNOWN)
    };
    let took = clock::now().saturating_since(incoming.arrived_at);
    line.id = incoming
        .head
        .headers
        .get_str(vm.dialect.attempt_id_header)
        .unwrap_or_default();
    line.status = reply.status;
    line.took_ms = millis(took);
    line.waited_ms = millis(progress.waited);
    line.upstreams = progress.tried.join(",");
    line.waiting = vm.queue_length();
    vm.request_log.write(&line);
    vm.metrics.responses.with_label_values(&[line.reason]).inc();
    vm.metrics.request_duration.observe(took.as_secs_f64());
    vm.metrics.queue_wait.observe(progress.waited.as_secs_f64());
    reply
}

/// Finds out what a request is and whether it may run, and runs it.
async fn admit<'a>(
    vm: &Rc<Vm>,
    config: &'a Config,
    incoming: &ReceivedRequest,
    signals: &RequestFlags,
    progress: &mut Progress,
    line: &mut AccessLogEntry<'a>,
) -> Response {
    let headers = &incoming.head.headers;
    let mut refuse = |status, reason| {
        line.reason = reason;
        Response::local(status, reason)
    };
    let mut hosts = headers.get_all("host");
    let (Some(host), None) = (hosts.next(), hosts.next()) else {
        return refuse(400, "not exactly one Host");
    };
    let Some(id) = headers.get_str(vm.dialect.attempt_id_header) else {
        return refuse(400, "no id");
    };
    let Some(route) = config.route(&host_name(host), incoming.head.path()) else {
        return refuse(404, "no route");
    };
    let team = headers
        .get_str("authorization")
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case(vm.dialect.auth_scheme))
        .and_then(|(_, key)| config.team_by_key(key.trim()));
    if team.is_none() && !route.allows_anonymous && !config.teams.is_empty() {
        return refuse(401, "unknown caller key");
    }

    line.route = &route.name;
    line.team = team.map_or("", |team| &team.name);
    let waits = headers
        .get_str(vm.dialect.deadline_header)
        .and_then(|value| value.trim().parse().ok())
        .map_or(route.timeout, Duration::from_millis);
    let waits = waits.min(route.timeout);
    line.deadline_ms = millis(waits);
    if let Some(team) = team
        && let RateDecision::Exhausted { wait_s } = vm.try_acquire_team_token(&team.name)
    {
        line.reason = "above the team's rate";
        return Response::refused(429, line.reason, seconds(wait_s));
    }
    let Some(service) = vm.choose_service(route) else {
        return refuse(503, "the route has no service");
    };
    let is_keyed = config
        .service(&service)
        .is_some_and(|service| service.is_keyed);
    let key = headers
        .get_str(vm.dialect.key_number_header)
        .and_then(|key| key.trim().parse().ok());
    if is_keyed && key.is_none() {
        return refuse(400, "no key number");
    }
    let request = Request {
        vm,
        route,
        team: team.map(|team| team.name.as_str()),
        rank: team
            .and_then(|team| team.priority)
            .unwrap_or(route.priority),
        target: Target {
            service,
            key: key.filter(|_| is_keyed),
        },
        incoming,
        id,
        deadline: incoming.arrived_at + waits,
        signals,
    };
    line.service = request.target.service.to_string();
    line.key = request.target.key;
    vm.record_request(&request.target);
    match request.run(progress).await {
        Ok(reply) => {
            line.reason = "answered";
            reply
        }
        Err(refusal) => {
            // A request that no upstream has seen is not counted against its team.
            if let (0, Some(team)) = (progress.sends, request.team) {
                vm.refund_team_token(team);
            }
            line.reason = refusal.reason;
            match refusal.status {
                503 => Response::refused(503, refusal.reason, refusal.after),
                status => Response::local(status, refusal.reason),
            }
        }
    }
}

/// What follows from one try at an upstream.
enum Next {
    Respond(Response),
    Retry(&'static str),
    GiveUp(&'static str),
}

impl Request<'_> {
    /// Sends the request to upstreams until one has answered or it has to be given up.
    async fn run(&self, progress: &mut Progress) -> Result<Response, Refusal> {
        loop {
            let placed = self.place(progress).await?;
            let next = self.attempt(placed, progress).await;
            let reason = match next {
                Next::Respond(reply) => return Ok(reply),
                Next::GiveUp(reason) => return Err(self.refusal(progress, reason, Duration::ZERO)),
                Next::Retry(reason) => reason,
            };
            let is_spent = progress.sends >= self.route.max_attempts.max(1);
            if progress.may_have_run && !self.route.is_idempotent {
                return Err(self.refusal(progress, reason, Duration::ZERO));
            }
            if progress.tried.len() >= CONNECT_LIMIT
                || is_spent
                || self.signals.is_caller_gone.get()
            {
                return Err(self.refusal(progress, reason, self.vm.mean_latency(self.route)));
            }
            if progress.misdirected > 0 {
                tokio::time::sleep(OWNER_PAUSE).await;
            }
            // An upstream that was not reached has cost nobody anything.
            if progress.sends > 0 && !self.vm.try_acquire_retry(&self.target.service) {
                return Err(self.refusal(progress, reason, self.vm.mean_latency(self.route)));
            }
            if let (true, Some(team)) = (progress.may_have_run, self.team) {
                self.vm.record_team_retry(team);
            }
        }
    }

    async fn place(&self, progress: &mut Progress) -> Result<SlotPermit, Refusal> {
        let mean = self.vm.mean_latency(self.route);
        let least = mean.mul_f64(LEAST_OF_MEAN).max(LEAST_TIME);
        let latest = self.deadline - least.min(self.route.timeout / 2);
        let started = clock::now();
        if started > latest {
            return Err(self.refusal(progress, "too little time left", mean));
        }
        let aim = self.incoming.arrived_at + self.route.latency_target;
        let urgency = QueueParams {
            priority: self.rank,
            on_time_deadline: aim - mean,
            max_wait: self.route.latency_target.mul_f64(MAX_WAIT_OF_AIM),
            send_deadline: latest,
            mean_latency: mean,
        };
        let tried = if self.target.key.is_some() {
            &[]
        } else {
            &*progress.tried
        };
        let placed = self.vm.acquire_slot(&self.target, tried, urgency).await;
        progress.waited += clock::now().saturating_since(started);
        placed.map_err(|unplaced| match unplaced {
            SlotError::NoUpstream => self.refusal(progress, "no upstream", RETRY_UNKNOWN),
            SlotError::Busy { wait_s } => {
                self.refusal(progress, "no room in time", seconds(wait_s))
            }
        })
    }

    fn refusal(&self, progress: &Progress, reason: &'static str, after: Duration) -> Refusal {
        // Statuses 429 and 503 promise that the request has not run and never will.
        let status = match (progress.may_have_run, clock::now() < self.deadline) {
            (false, _) => 503,
            (true, true) => 502,
            (true, false) => 504,
        };
        Refusal {
            status,
            reason,
            after,
        }
    }
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(RETRY_LAST)
}
