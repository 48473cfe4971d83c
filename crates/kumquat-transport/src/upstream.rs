//! The `upstream` module provides the HTTP client of one upstream: pooled connections, streamed bodies, and failures
//! that tell whether a request may have run.
//!
//! Dropping a call or its answer closes the connection, which cancels the request at the upstream. See
//! `docs/design.md`, section 5.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, TryStreamExt};
use kumquat_coordination::grant::{Order, Reply};
use kumquat_state::ident;
use reqwest::header::{CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING};
use reqwest::{Method, StatusCode};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::Instant;

mod failure;
mod grant;
mod target;

pub(crate) use failure::chain;
pub use failure::{Error, Failure};
pub use grant::{Grant, GrantError, Granted, Key, Span};
pub use target::is_plain;

/// Headers that concern one connection only and are never passed on (RFC 9110, section 7.6.1).
const CONNECTION_HEADERS: [&str; 8] = [
    "connection",
    "host",
    "keep-alive",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Prefix of the headers that only the router sets.
const OWN_PREFIX: &str = "kumquat-";

/// Properties of a client.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Most connections at once; calls above it wait.
    pub connections: u32,
    /// Longest time to establish a connection.
    pub connect_timeout: Duration,
    /// Time after which an unused connection is closed.
    pub idle_timeout: Duration,
}

impl Options {
    /// Returns the usual properties for an upstream.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            connections: 50,
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(30),
        }
    }
}

/// Body of a request.
#[derive(Debug, Default)]
pub struct Body {
    inner: reqwest::Body,
    is_streamed: bool,
}

impl Body {
    /// Creates a body that is sent as the stream yields it; an error of the stream breaks off the request.
    pub fn stream<S, E>(stream: S) -> Self
    where
        S: Stream<Item = Result<Bytes, E>> + Send + 'static,
        E: Into<Box<dyn std::error::Error + Send + Sync>> + 'static,
    {
        let stream = stream.map_err(Into::<Box<dyn std::error::Error + Send + Sync>>::into);
        Self {
            inner: reqwest::Body::wrap_stream(stream),
            is_streamed: true,
        }
    }
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self {
            inner: bytes.into(),
            is_streamed: false,
        }
    }
}

/// One attempt of a request.
#[derive(Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path with query, starting with `/`.
    pub path: String,
    /// Headers of the caller; those of the connection and the router's own are left out.
    pub headers: HeaderMap,
    /// Body.
    pub body: Body,
    /// Id of the request.
    pub request: ident::Request,
    /// Team for which it runs.
    pub team: Option<ident::Team>,
    /// Hash of the routing key, for keyed services.
    pub key: Option<u64>,
    /// Fencing token of the dispatching VM.
    pub fence: ident::FencingToken,
    /// Number of the attempt, from 0.
    pub attempt: u32,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// Time left for the whole call, the body of the answer included.
    pub time_left: Duration,
}

impl Call {
    /// Creates a call without body.
    #[must_use]
    pub fn new(method: Method, path: &str, request: ident::Request, time_left: Duration) -> Self {
        Self {
            method,
            path: path.to_owned(),
            headers: HeaderMap::new(),
            body: Body::default(),
            request,
            team: None,
            key: None,
            fence: ident::FencingToken(0),
            attempt: 0,
            idempotent: false,
            time_left,
        }
    }

    /// Returns the headers to send when `left` of the call's time is left.
    fn headers(&mut self, left: Duration) -> HeaderMap {
        let mut headers = std::mem::take(&mut self.headers);
        let own = headers
            .keys()
            .filter(|name| name.as_str().starts_with(OWN_PREFIX))
            .cloned()
            .collect::<Vec<_>>();
        for name in own {
            headers.remove(name);
        }
        for name in CONNECTION_HEADERS {
            headers.remove(name);
        }

        // Without this header, hyper leaves out the streamed body of a GET request.
        if self.body.is_streamed && !headers.contains_key(CONTENT_LENGTH) {
            headers.insert(TRANSFER_ENCODING, HeaderValue::from_static("chunked"));
        }

        // All values consist of digits and the characters of names, which are valid in headers.
        let mut set = |name: &'static str, value: String| {
            if let Ok(value) = HeaderValue::try_from(value) {
                headers.insert(HeaderName::from_static(name), value);
            }
        };
        set("kumquat-request", format!("{:032x}", self.request.0));
        if let Some(team) = &self.team {
            set("kumquat-team", team.to_string());
        }
        if let Some(key) = self.key {
            set("kumquat-key", format!("{key:016x}"));
        }
        set("kumquat-fence", self.fence.to_string());
        set("kumquat-deadline-ms", left.as_millis().to_string());
        set("kumquat-attempt", self.attempt.to_string());
        set("kumquat-idempotent", self.idempotent.to_string());
        headers
    }
}

/// Boot id and clock that an upstream states in each answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Clock {
    /// Boot id; it changes with each restart.
    pub boot: u64,
    /// Clock of the upstream in milliseconds.
    pub clock_ms: u64,
}

impl Clock {
    fn read(headers: &HeaderMap) -> Option<Self> {
        let number = |name: &str| headers.get(name)?.to_str().ok()?.parse().ok();
        Some(Self {
            boot: number("kumquat-boot")?,
            clock_ms: number("kumquat-clock-ms")?,
        })
    }
}

/// An answer whose body is still to be read. Dropping it before the end closes the connection.
#[derive(Debug)]
pub struct Answer {
    response: reqwest::Response,
    deadline: Instant,
    /// Kept until the body has been read, because the connection is in use until then.
    _permit: OwnedSemaphorePermit,
}

impl Answer {
    /// Returns the status.
    #[must_use]
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// Returns the headers.
    #[must_use]
    pub fn headers(&self) -> &HeaderMap {
        self.response.headers()
    }

    /// Returns boot id and clock, if the upstream states them.
    #[must_use]
    pub fn clock(&self) -> Option<Clock> {
        Clock::read(self.headers())
    }

    /// Returns the next piece of the body, or none at its end.
    ///
    /// # Errors
    ///
    /// Returns [`Failure::Broken`] if the connection ends before the body does, and [`Failure::TimedOut`] if the time
    /// of the call has run out.
    pub async fn chunk(&mut self) -> Result<Option<Bytes>, Failure> {
        tokio::time::timeout_at(self.deadline, self.response.chunk())
            .await
            .map_err(|_elapsed| Failure::timed_out("the body"))?
            .map_err(|error| Failure::broken(&error))
    }

    /// Returns the whole body, if it is at most `limit` bytes long.
    ///
    /// # Errors
    ///
    /// As for [`Answer::chunk`]; a longer body is [`Failure::Broken`].
    pub async fn bytes(mut self, limit: usize) -> Result<Bytes, Failure> {
        let mut body = Vec::new();
        while let Some(chunk) = self.chunk().await? {
            if body.len() + chunk.len() > limit {
                return Err(Failure::too_long(limit));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.into())
    }
}

/// Client of one upstream.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    address: SocketAddr,
    permits: Arc<Semaphore>,
}

impl Client {
    /// Opens a client; connections are established when they are needed.
    ///
    /// # Errors
    ///
    /// Returns [`Error`] if the HTTP client can't be set up.
    pub fn open(options: &Options) -> Result<Self, Error> {
        let connections = usize::try_from(options.connections.max(1)).unwrap_or(usize::MAX);
        let http = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .tcp_nodelay(true)
            .redirect(reqwest::redirect::Policy::none())
            // Only the dispatcher knows whether a request may be sent again.
            .retry(reqwest::retry::never())
            .connect_timeout(options.connect_timeout)
            .pool_idle_timeout(options.idle_timeout)
            .pool_max_idle_per_host(connections)
            .build()
            .map_err(Error::open)?;
        Ok(Self {
            http,
            address: options.address,
            permits: Arc::new(Semaphore::new(connections)),
        })
    }

    /// Returns the address of the upstream.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a call and returns its answer once the headers have arrived.
    ///
    /// Dropping the future before it is ready closes the connection and thereby cancels the call.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] that tells whether the request may have run. An answer that says that the request did not
    /// run is [`Failure::Shed`].
    pub async fn send(&self, mut call: Call) -> Result<Answer, Failure> {
        // The entry refuses such targets; here they would reach another path than the one that was checked.
        if !is_plain(&call.path) {
            return Err(Failure::not_connected("the target would be altered"));
        }
        let deadline = Instant::now() + call.time_left;
        let permit = self.permit(deadline).await?;

        // The upstream gets the time that is left after the wait for a connection.
        let left = deadline.saturating_duration_since(Instant::now());
        let headers = call.headers(left);
        let url = format!("http://{}{}", self.address, call.path);
        let request = self
            .http
            .request(call.method, url)
            .headers(headers)
            .body(call.body.inner);
        let answer = receive(request, deadline, permit).await?;
        if is_not_run(&answer) {
            let clock = answer.clock();
            let status = answer.status();
            // Reading the rest of the short answer keeps the connection usable.
            _ = answer.bytes(REFUSAL_LIMIT).await;
            return Err(Failure::Shed { status, clock });
        }
        Ok(answer)
    }

    /// Sends a grant and returns what the upstream holds.
    ///
    /// # Errors
    ///
    /// Returns [`GrantError::Rejected`] with the upstream's boot id, clock and highest fencing token if it rejects the
    /// grant, and [`GrantError::Failed`] if there is no proper answer within `time_left`.
    pub async fn grant(&self, grant: &Grant, time_left: Duration) -> Result<Granted, GrantError> {
        let deadline = Instant::now() + time_left;
        let permit = self.permit(deadline).await?;
        let url = format!("http://{}/grant", self.address);
        let request = self.http.post(url).json(grant);
        let answer = receive(request, deadline, permit).await?;
        let status = answer.status();
        let body = answer.bytes(GRANTED_LIMIT).await?;
        let granted = serde_json::from_slice(&body).ok();
        match (status, granted) {
            (StatusCode::OK, Some(granted)) => Ok(granted),
            (StatusCode::CONFLICT, Some(granted)) => Err(GrantError::Rejected(granted)),
            _ => Err(Failure::unexpected(status).into()),
        }
    }

    /// Sends an order, which names everything that the upstream owns, and returns its reply.
    ///
    /// # Errors
    ///
    /// Returns a [`Failure`] if there is no proper answer within `time_left`; the order may have taken effect.
    pub async fn order(
        &self,
        order: &Order,
        slots: u32,
        time_left: Duration,
    ) -> Result<Reply, Failure> {
        let granted = match self.grant(&Grant::from(order), time_left).await {
            Ok(granted) | Err(GrantError::Rejected(granted)) => granted,
            Err(GrantError::Failed(failure)) => return Err(failure),
        };
        Ok(granted.into_reply(order.sequence, slots))
    }

    /// Waits for a connection to become free.
    async fn permit(&self, deadline: Instant) -> Result<OwnedSemaphorePermit, Failure> {
        let permit = Arc::clone(&self.permits).acquire_owned();
        match tokio::time::timeout_at(deadline, permit).await {
            Ok(Ok(permit)) => Ok(permit),
            _ => Err(Failure::not_connected("no connection became free in time")),
        }
    }
}

/// Longest body of a refusal that is read to keep the connection.
const REFUSAL_LIMIT: usize = 16 << 10;
/// Longest answer to a grant.
const GRANTED_LIMIT: usize = 1 << 20;

/// Sends a request and returns its answer once the headers have arrived.
async fn receive(
    request: reqwest::RequestBuilder,
    deadline: Instant,
    permit: OwnedSemaphorePermit,
) -> Result<Answer, Failure> {
    let response = tokio::time::timeout_at(deadline, request.send())
        .await
        .map_err(|_elapsed| Failure::timed_out("the answer"))?
        .map_err(|error| Failure::of(&error))?;
    Ok(Answer {
        response,
        deadline,
        _permit: permit,
    })
}

/// Returns whether the upstream states that the request did not run.
fn is_not_run(answer: &Answer) -> bool {
    let outcome = answer.headers().get("kumquat-outcome");
    outcome.is_some_and(|outcome| outcome == "not-run")
        || answer.status() == StatusCode::MISDIRECTED_REQUEST
}
