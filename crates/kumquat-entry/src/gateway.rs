//! The `gateway` module provides the HTTP endpoint for callers: checks, admission and the answer.

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use poem::http::{HeaderValue, Method, StatusCode};
use poem::{Endpoint, Request, Response};

use kumquat_state::bundle::{Bundle, Kind, Route, Service};
use kumquat_state::clock;
use kumquat_state::hash;
use kumquat_state::secret::Pepper;

use crate::admission::Admission;
use crate::answer::{REQUEST_HEADER, Refusal};
use crate::body::{CallerBody, Problem};
use crate::caller::{self, Side};
use crate::config::Config;
use crate::metrics::Metrics;
use crate::router::{Call, CallHead, Router};

/// When callers are told to come back while this entry has no configuration yet.
const STARTING_RETRY: Duration = Duration::from_secs(1);

/// When callers are told to come back if too many requests are running.
const BUSY_RETRY: Duration = Duration::from_millis(100);

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
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            body: 16 * 1024 * 1024,
            headers: 16 * 1024,
            target: 4 * 1024,
            running: 20_000,
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
    pub const fn new(shared: Arc<Shared>, side: Side) -> Self {
        Self { shared, side }
    }

    async fn answer(&self, request: Request, id: u128) -> Result<Response, Refusal> {
        let shared = &*self.shared;
        if shared.running.load(Ordering::Acquire) > shared.limits.running {
            return Err(Refusal::later(
                "busy",
                "too many requests are running",
                BUSY_RETRY,
            ));
        }
        self.check_size(&request)?;
        let bundle = shared
            .config
            .bundle()
            .ok_or_else(|| starting("no configuration yet"))?;
        let (route, service) = find_route(&bundle, request.uri().path())?;

        let arrival = clock::now();
        let call = self
            .call(&bundle, (route, service), arrival, request, id)
            .await?;
        shared
            .admission
            .admit(&call.head.team)
            .await
            .map_err(Refusal::over_rate)?;

        let name = call.head.service.name.clone();
        let result = shared.router.route(call).await;
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
        id: u128,
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
        .inspect_err(|_| shared.metrics.rejected_keys.inc())?;

        let key = match service.kind {
            Kind::Pool => None,
            Kind::Keyed => Some(
                caller::routing_key(route, &parts.headers, parts.uri.path())
                    .map(hash::key)
                    .ok_or_else(no_routing_key)?,
            ),
        };
        let body = CallerBody::read(body, shared.limits.body)
            .await
            .map_err(refuse_body)?;
        let head = CallHead {
            id: id.to_be_bytes(),
            service: service.clone(),
            team,
            key,
            class: route.class,
            idempotent: route.idempotent || is_safe(&parts.method),
            deadline: arrival + service.deadline,
            method: parts.method.as_str().to_owned(),
            path: target.to_owned(),
            headers: caller::forwarded(&parts.headers),
        };
        Ok(Call { head, body })
    }

    fn check_size(&self, request: &Request) -> Result<(), Refusal> {
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
        if body > limits.body {
            return Err(refuse_body(Problem::TooLarge));
        }
        Ok(())
    }
}

impl Endpoint for Gateway {
    type Output = Response;

    async fn call(&self, req: Request) -> poem::Result<Response> {
        let mut running = Running::new(&self.shared);
        let id: u128 = rand::random();
        let result = self.answer(req, id).await;
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

const fn refuse_body(problem: Problem) -> Refusal {
    match problem {
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
    }
}
