//! The `gateway` module provides the HTTP endpoint for callers: checks, admission and the answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use poem::http::{HeaderValue, Method, StatusCode};
use poem::{Endpoint, Request, Response};
use tokio::time::timeout;

use kumquat_protocol::wire::Outcome;
use kumquat_state::bundle::{Bundle, Route, Service, ServiceKind};
use kumquat_state::clock;
use kumquat_state::hash;
use kumquat_state::secret::Pepper;
use kumquat_transport::upstream::is_plain;

use crate::admission::Admission;
use crate::answer::{REQUEST_HEADER, Refusal};
use crate::body::{CallerBody, Problem};
use crate::caller::{self, Rejection, Side};
use crate::config::Config;
use crate::failures::Failures;
use crate::listener::{self, Answering, Caller, Connections};
use crate::metrics::Metrics;
use crate::router::{Call, CallHead, Router};

/// When callers are told to come back while this entry has no configuration yet.
const STARTING_RETRY: Duration = Duration::from_secs(1);

/// When callers are told to come back if too many requests are running.
const BUSY_RETRY: Duration = Duration::from_millis(100);

/// Bytes of a head beyond those of its target and its headers: method, version, separators and line ends.
const HEAD_OVERHEAD: usize = 1024;

/// Bounds on what callers may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body in bytes.
    pub body: usize,
    /// Largest sum of header names and values in bytes.
    pub headers: usize,
    /// Longest path and query in bytes.
    pub target: usize,
    /// Most requests that run at once.
    pub running: i64,
    /// Most connections that are open at once on one listener.
    pub connections: usize,
    /// Longest time that a head may take from its first byte on.
    pub head_time: Duration,
    /// Longest pause within the body of a request or of an answer.
    pub body_pause: Duration,
    /// Longest time between two requests on a connection.
    pub idle_time: Duration,
}

impl Limits {
    /// Returns the bounds that concern connections.
    #[must_use]
    pub const fn connections(&self) -> listener::Limits {
        listener::Limits {
            connections: self.connections,
            head: self.headers + self.target + HEAD_OVERHEAD,
            head_time: self.head_time,
            idle_time: self.idle_time,
            write_time: self.body_pause,
        }
    }
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 16 * 1024 * 1024,
            headers: 16 * 1024,
            target: 4 * 1024,
            running: 20_000,
            connections: 20_000,
            head_time: Duration::from_secs(5),
            body_pause: Duration::from_secs(5),
            idle_time: Duration::from_mins(1),
        }
    }
}

/// What the endpoints of both listeners share.
#[derive(Debug)]
pub struct Shared {
    /// Bundle and ledger in force.
    pub config: Arc<Config>,
    /// Rate limits.
    pub admission: Admission,
    /// Way to the upstreams.
    pub router: Router,
    /// Digests caller keys.
    pub pepper: Pepper,
    /// Bounds.
    pub limits: Limits,
    /// Failed caller keys by address.
    pub failures: Failures,
    /// Counters.
    pub metrics: Metrics,
    /// Requests that are running.
    pub running: AtomicI64,
}

/// Endpoint of one listener.
#[derive(Clone, Debug)]
pub struct Gateway {
    shared: Arc<Shared>,
    side: Side,
    connections: Arc<Connections>,
}

/// Counts a running request for as long as it lives; it also notices callers that hang up.
struct Running<'a> {
    shared: &'a Shared,
    answered: bool,
}

impl<'a> Running<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.running.fetch_add(1, Ordering::AcqRel);
        shared.metrics.running.inc();
        Self {
            shared,
            answered: false,
        }
    }
}

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.shared.running.fetch_sub(1, Ordering::AcqRel);
        self.shared.metrics.running.dec();
        if !self.answered {
            self.shared.metrics.hung_up.inc();
        }
    }
}

impl Gateway {
    /// Creates the endpoint of one listener.
    #[must_use]
    pub const fn new(shared: Arc<Shared>, side: Side, connections: Arc<Connections>) -> Self {
        Self {
            shared,
            side,
            connections,
        }
    }

    async fn answer(
        &self,
        request: Request,
        id: u128,
        caller: Option<&Arc<Caller>>,
        answering: Option<Answering>,
    ) -> Result<Response, Refusal> {
        let shared = &*self.shared;
        if shared.running.load(Ordering::Acquire) > shared.limits.running {
            return Err(Refusal::later(
                "busy",
                "too many requests are running",
                BUSY_RETRY,
            ));
        }
        self.check(&request)?;
        let bundle = shared
            .config
            .bundle()
            .ok_or_else(|| starting("no configuration yet"))?;
        let (route, service) = find_route(&bundle, request.uri().path())?;

        let arrival = clock::now();
        let call = self
            .call(&bundle, (route, service), arrival, request, (id, caller))
            .await?;
        shared.admission.admit(&call.head.team).await?;

        let name = call.head.service.name.clone();
        let result = shared.router.route(call, caller, answering).await;
        let outcome = if result.is_ok() {
            "answered"
        } else {
            "refused"
        };
        shared
            .metrics
            .requests
            .with_label_values(&[name.as_str(), outcome])
            .inc();
        let elapsed = clock::now().saturating_since(arrival);
        shared.metrics.latency.observe(elapsed.as_secs_f64());
        result
    }

    /// Authenticates a request and turns it into what the router sends.
    async fn call(
        &self,
        bundle: &Bundle,
        (route, service): (&Route, &Service),
        arrival: clock::Instant,
        request: Request,
        (id, caller): (u128, Option<&Arc<Caller>>),
    ) -> Result<Call, Refusal> {
        let shared = &*self.shared;
        // Without word from the cell, a withdrawn caller key could not be told from a valid one.
        if !shared.config.is_fresh() {
            return Err(starting("the configuration is out of date"));
        }
        let (parts, body) = request.into_parts();
        let target = parts
            .uri
            .path_and_query()
            .map_or("/", |target| target.as_str());
        let team = caller::team(
            bundle,
            &shared.pepper,
            route,
            self.side,
            &parts.headers,
            target,
        )
        .map_err(|rejection| self.reject(rejection, caller))?;

        let key = match service.kind {
            ServiceKind::Pool => None,
            ServiceKind::Keyed => Some(
                caller::routing_key(route, &parts.headers, parts.uri.path())
                    .map(hash::key)
                    .ok_or_else(no_routing_key)?,
            ),
        };
        let deadline = arrival + service.deadline;
        let limits = &shared.limits;
        // A caller that sends a little now and then must not hold its request longer than its answer may take.
        let reading = CallerBody::read(body, limits.body, limits.body_pause);
        let body = timeout(clock::now().until(deadline), reading)
            .await
            .unwrap_or(Err(Problem::Slow))
            .map_err(|problem| refuse_body(problem, Outcome::NotRun))?;
        let head = CallHead {
            id: id.to_be_bytes(),
            service: service.clone(),
            team,
            key,
            class: route.class,
            idempotent: route.idempotent || is_safe(&parts.method),
            deadline,
            method: parts.method.as_str().to_owned(),
            path: target.to_owned(),
            headers: caller::forwarded(&parts.headers),
        };
        Ok(Call { head, body })
    }

    /// Counts a rejected caller and bounds the failed keys of its address.
    fn reject(&self, rejection: Rejection, caller: Option<&Arc<Caller>>) -> Refusal {
        let shared = &*self.shared;
        shared.metrics.rejected_keys.inc();
        let is_guess = rejection == Rejection::Key;
        let Some(caller) = caller.filter(|_| is_guess) else {
            return rejection.into();
        };
        shared
            .failures
            .count(clock::now(), caller.ip())
            .map_or_else(Refusal::key_failures, |()| rejection.into())
    }

    /// Checks all of a request that needs no configuration.
    fn check(&self, request: &Request) -> Result<(), Refusal> {
        let limits = &self.shared.limits;
        let headers: usize = request
            .headers()
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let target = request
            .uri()
            .path_and_query()
            .map_or(0, |target| target.as_str().len());
        let body = request
            .header("content-length")
            .and_then(|length| length.parse::<usize>().ok())
            .unwrap_or(0);

        if headers > limits.headers {
            let status = StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE;
            return Err(Refusal::invalid(
                status,
                "headers",
                "the headers are too large",
            ));
        }
        if target > limits.target {
            let status = StatusCode::URI_TOO_LONG;
            return Err(Refusal::invalid(
                status,
                "target",
                "the path and query are too long",
            ));
        }
        let path = request.uri().path();
        if !is_plain(path) {
            return Err(Refusal::invalid(
                StatusCode::BAD_REQUEST,
                "target-path",
                "the path may not contain dot segments or name the upstream's own endpoints",
            ));
        }
        if body > limits.body {
            return Err(refuse_body(Problem::TooLarge, Outcome::NotRun));
        }
        Ok(())
    }
}

impl Endpoint for Gateway {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let mut running = Running::new(&self.shared);
        let id: u128 = rand::random();
        let peer = req.remote_addr().as_socket_addr().copied();
        let caller = peer.and_then(|peer| self.connections.find(peer));
        let answering = caller.as_ref().map(Caller::begin);
        let answer = self.answer(req, id, caller.as_ref(), answering);
        let result = match &caller {
            None => answer.await,
            Some(caller) => tokio::select! {
                biased;
                result = answer => result,
                // Dropping the handler cancels the request; the connection takes no answer any more.
                () = caller.ended() => return Ok(Response::default()),
            },
        };
        running.answered = true;
        let mut response = result.unwrap_or_else(|refusal| {
            self.shared
                .metrics
                .refusals
                .with_label_values(&[refusal.reason])
                .inc();
            refusal.into_response()
        });
        if let Ok(id) = HeaderValue::try_from(format!("{id:032x}")) {
            response.headers_mut().insert(REQUEST_HEADER, id);
        }
        Ok(response)
    }
}

fn find_route<'a>(bundle: &'a Bundle, path: &str) -> Result<(&'a Route, &'a Service), Refusal> {
    bundle
        .route(path)
        .and_then(|route| Some((route, bundle.service(&route.service)?)))
        .ok_or_else(|| {
            Refusal::invalid(StatusCode::NOT_FOUND, "route", "no route matches the path")
        })
}

const fn is_safe(method: &Method) -> bool {
    matches!(*method, Method::GET | Method::HEAD | Method::OPTIONS)
}

const fn starting(message: &'static str) -> Refusal {
    Refusal::later("no-configuration", message, STARTING_RETRY)
}

const fn no_routing_key() -> Refusal {
    Refusal::invalid(
        StatusCode::BAD_REQUEST,
        "routing-key",
        "the path or the kumquat-routing-key header has to name the key",
    )
}

/// Creates the refusal of a request whose body can't be used.
pub(crate) const fn refuse_body(problem: Problem, outcome: Outcome) -> Refusal {
    let refusal = match problem {
        Problem::TooLarge => Refusal::invalid(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body-size",
            "the body is too large",
        ),
        Problem::Broken => Refusal::invalid(
            StatusCode::BAD_REQUEST,
            "body-broken",
            "the body ended early",
        ),
        Problem::Slow => Refusal::invalid(
            StatusCode::REQUEST_TIMEOUT,
            "body-slow",
            "the body came too slowly",
        ),
        Problem::NotTaken => Refusal::invalid(
            StatusCode::BAD_GATEWAY,
            "body-not-taken",
            "the upstream did not take the body",
        ),
    };
    Refusal { outcome, ..refusal }
}
