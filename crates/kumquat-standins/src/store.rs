//! The `store` module provides the stand-in of the platform's key-value store: compare-and-swap, leases and watches.
//!
//! Revisions count per key and go on over a deletion, so that a writer with an old revision never succeeds by chance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::Error;
use crate::net::{Answer, Gate, Running, lock, peer};

mod state;

pub use state::{Calls, Faults, Listed};
use state::{Kind, Lost, State};

/// Largest value in bytes.
pub const VALUE_LIMIT: usize = 1 << 20;
/// Longest key in bytes.
pub const KEY_LIMIT: usize = 256;
/// Longest time for which a watch waits.
pub const WATCH_LIMIT: Duration = Duration::from_mins(1);

/// Limits of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Reads per second; lists and watches count as one read each.
    pub reads: u32,
    /// Reads that may come at once.
    pub read_burst: u32,
    /// Writes per second; lease calls count as writes.
    pub writes: u32,
    /// Writes that may come at once.
    pub write_burst: u32,
}

impl Default for Options {
    fn default() -> Self {
        // The platform takes about two thousand reads and several hundred writes per second (docs/design.md, 1.4).
        Self {
            reads: 2_000,
            read_burst: 2_000,
            writes: 500,
            write_burst: 500,
        }
    }
}

/// A running store.
#[derive(Debug)]
pub struct Store {
    running: Running,
    core: Arc<Core>,
}

#[derive(Debug)]
struct Core {
    state: Mutex<State>,
    /// Changes with each write and each change of the faults; watches wait on it.
    changed: watch::Sender<u64>,
}

/// Binds a store to `address`.
///
/// # Errors
///
/// Returns [`Error::Bind`] if the address can't be bound.
pub async fn bind(address: SocketAddr, options: Options) -> Result<Store, Error> {
    let core = Arc::new(Core {
        state: Mutex::new(State::new(options, Instant::now())),
        changed: watch::Sender::new(0),
    });
    let serving = Arc::clone(&core);
    let running = Running::bind(address, |gate| {
        let gate = gate.clone();
        Box::new(move |request| -> Answer {
            let core = Arc::clone(&serving);
            let gate = gate.clone();
            let is_read = request.method() == Method::GET;
            let answer = async move { core.answer(request, &gate).await };
            if is_read {
                return Box::pin(answer);
            }
            // A write takes effect even if its caller has hung up meanwhile, since a real store would not notice.
            let write = tokio::spawn(answer);
            Box::pin(async {
                let failed = |_panic| status(StatusCode::INTERNAL_SERVER_ERROR);
                write.await.unwrap_or_else(failed)
            })
        })
    })
    .await?;
    Ok(Store { running, core })
}

impl Store {
    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.running.address)
    }

    /// Changes the faults; waiting watches notice at once.
    pub fn set_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.core.state).faults);
        self.core.changed.send_modify(|count| *count += 1);
    }

    /// Returns the calls of all clients together.
    #[must_use]
    pub fn calls(&self) -> Calls {
        lock(&self.core.state).calls()
    }

    /// Returns the calls of one client, by the name in its `x-client` header.
    #[must_use]
    pub fn calls_of(&self, client: &str) -> Calls {
        lock(&self.core.state).calls_of(client)
    }

    /// Lets a lease lapse now, as if its time had passed.
    pub fn expire_lease(&self, name: &str) {
        lock(&self.core.state).expire_lease(name);
    }

    /// Returns a value with its revision, past all faults and limits.
    #[must_use]
    pub fn peek(&self, key: &str) -> Option<(Bytes, u64)> {
        lock(&self.core.state).get(key, false)
    }

    /// Writes a value past all faults and limits, whatever its present revision.
    pub fn set(&self, key: &str, value: impl Into<Bytes>) {
        _ = lock(&self.core.state).put(key, Some(value.into()), None);
        self.core.changed.send_modify(|count| *count += 1);
    }

    /// Returns the switches of the connections.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.running.gate
    }

    /// Stops the store and closes its connections; its content is lost.
    pub async fn stop(self) {
        self.running.stop().await;
    }
}

/// Body of a lease acquisition.
#[derive(Debug, Deserialize)]
struct Acquire {
    name: String,
    holder: String,
    ttl_ms: u64,
}

/// Body of a lease renewal or release.
#[derive(Debug, Deserialize)]
struct Renew {
    holder: String,
    epoch: u64,
    #[serde(default)]
    ttl_ms: u64,
}

/// Answer of a watch.
#[derive(Debug, Serialize)]
struct Watched {
    generation: u64,
    keys: Vec<Listed>,
}

impl Core {
    async fn answer(&self, request: Request, gate: &Gate) -> Response {
        let client = request.header("x-client").unwrap_or_default().to_owned();
        let caller = peer(&request);
        let kind = if request.method() == Method::GET {
            Kind::Read
        } else {
            Kind::Write
        };
        let admitted = {
            let mut state = lock(&self.state);
            let admitted = state.admit(&client, kind, Instant::now());
            admitted.map(|()| state.faults.delay)
        };
        let delay = match admitted {
            Ok(delay) => delay,
            Err(status) => return refusal(status),
        };
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }

        if kind == Kind::Read {
            return self.read(&request, &client).await;
        }
        let key = key_of(request.uri().path(), "/v1/kv/").map(str::to_owned);
        let response = self.write(request).await;
        // The answer is lost only after the write has taken effect; refused writes are answered.
        let lost = response.status().is_success()
            && lock(&self.state).lose_answer(key.as_deref()) == Lost::Yes;
        if lost && let Some(caller) = caller {
            gate.cut(caller);
        }
        response
    }

    async fn read(&self, request: &Request, client: &str) -> Response {
        let uri = request.uri();
        let query = uri.query().unwrap_or_default();
        if let Some(key) = key_of(uri.path(), "/v1/kv/") {
            let state = lock(&self.state);
            return match state.get(key, state.faults.stale_reads) {
                Some((value, revision)) => Response::builder()
                    .header("x-revision", revision)
                    .body(value),
                None => status(StatusCode::NOT_FOUND),
            };
        }
        // A slash may come percent-encoded, which is the only encoding that a valid prefix needs.
        let prefix = parameter(query, "prefix")
            .unwrap_or_default()
            .replace("%2F", "/");
        let prefix = prefix.as_str();
        match uri.path() {
            "/v1/list" => json(StatusCode::OK, &lock(&self.state).list(prefix)),
            "/v1/watch" => {
                let after = parameter(query, "after").map_or(Ok(0), str::parse);
                let timeout = parameter(query, "timeout_ms").map_or(Ok(0), str::parse);
                match (after, timeout) {
                    (Ok(after), Ok(timeout)) => {
                        let timeout = Duration::from_millis(timeout).min(WATCH_LIMIT);
                        self.watch(prefix, after, timeout, client).await
                    }
                    _ => status(StatusCode::BAD_REQUEST),
                }
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn watch(&self, prefix: &str, after: u64, timeout: Duration, client: &str) -> Response {
        let end = Instant::now() + timeout;
        // The subscription starts before the first look, so that no change in between is missed.
        let mut changed = self.changed.subscribe();
        loop {
            changed.mark_unchanged();
            {
                let state = lock(&self.state);
                if state.is_out(client) {
                    return refusal(StatusCode::SERVICE_UNAVAILABLE);
                }
                let keys = state.changes(prefix, after);
                let generation = state.generation();
                if !keys.is_empty() || Instant::now() >= end {
                    return json(StatusCode::OK, &Watched { generation, keys });
                }
            }
            // Both the end of the wait and a change lead to another look.
            _ = tokio::time::timeout_at(end, changed.changed()).await;
        }
    }

    async fn write(&self, request: Request) -> Response {
        let (parts, body) = request.into_parts();
        let Ok(body) = poem::Body::into_bytes_limit(body, VALUE_LIMIT).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let path = parts.uri.path();
        let response = if let Some(key) = key_of(path, "/v1/kv/") {
            let expected = match parts.headers.get("x-expected-revision") {
                None => None,
                Some(text) => match text.to_str().ok().and_then(|text| text.parse().ok()) {
                    Some(expected) => Some(expected),
                    None => return status(StatusCode::BAD_REQUEST),
                },
            };
            let value = match parts.method {
                Method::PUT => Some(body),
                Method::DELETE => None,
                _ => return status(StatusCode::METHOD_NOT_ALLOWED),
            };
            let (code, revision) = match lock(&self.state).put(key, value, expected) {
                Ok(revision) => (StatusCode::OK, revision),
                Err(revision) => (StatusCode::CONFLICT, revision),
            };
            Response::builder()
                .status(code)
                .header("x-revision", revision)
                .finish()
        } else {
            self.lease(&parts.method, path, &body)
        };
        self.changed.send_modify(|count| *count += 1);
        response
    }

    fn lease(&self, method: &Method, path: &str, body: &[u8]) -> Response {
        let now = Instant::now();
        let mut state = lock(&self.state);
        let answer = if *method == Method::POST && path == "/v1/leases" {
            let Ok(call) = serde_json::from_slice::<Acquire>(body) else {
                return status(StatusCode::BAD_REQUEST);
            };
            state.acquire(&call.name, &call.holder, call.ttl_ms, now)
        } else {
            let Some(name) = key_of(path, "/v1/leases/") else {
                return status(StatusCode::NOT_FOUND);
            };
            let Ok(call) = serde_json::from_slice::<Renew>(body) else {
                return status(StatusCode::BAD_REQUEST);
            };
            match *method {
                Method::PUT => state.renew(name, &call.holder, call.epoch, call.ttl_ms, now),
                Method::DELETE => state.release(name, &call.holder, call.epoch, now),
                _ => return status(StatusCode::METHOD_NOT_ALLOWED),
            }
        };
        match answer {
            Ok(held) => json(StatusCode::OK, &held),
            Err(other) => json(StatusCode::CONFLICT, &other),
        }
    }
}

/// Returns the key after `prefix`, if it consists of letters, digits, `-`, `.`, `_` and `/` only.
fn key_of<'a>(path: &'a str, prefix: &str) -> Option<&'a str> {
    let key = path.strip_prefix(prefix)?;
    let valid = (1..=KEY_LIMIT).contains(&key.len())
        && key
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-._/".contains(&byte));
    valid.then_some(key)
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    })
}

fn status(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}

fn refusal(code: StatusCode) -> Response {
    Response::builder()
        .status(code)
        .header("kumquat-outcome", "not-run")
        .finish()
}

fn json(code: StatusCode, body: &impl Serialize) -> Response {
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::builder()
        .status(code)
        .content_type("application/json")
        .body(body)
}
