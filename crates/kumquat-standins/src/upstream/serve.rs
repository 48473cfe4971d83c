//! The `serve` module provides the handlers of an upstream.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use kumquat_state::{clock, hash};
use poem::http::{HeaderMap, Method, StatusCode, Uri};
use poem::{Body, Request, Response};
use serde::Serialize;
use tokio::sync::{Notify, Semaphore, watch};

use super::grant::{Grant, Granted, Refused, key_hash};
use super::state::State;
use super::{Mode, Options};
use crate::net::{Gate, lock, peer};
use crate::observation::{Area, Arrival, End, Hold, Ledger};

mod body;
mod work;

use work::Work;

/// What the handlers share.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) options: Options,
    pub(super) state: Mutex<State>,
    pub(super) permits: Arc<Semaphore>,
    /// Notified when a request ends.
    pub(super) ended: Notify,
    pub(super) frozen: watch::Sender<bool>,
    pub(super) ledger: Ledger,
}

/// The part of a request that the router set.
#[derive(Clone, Debug)]
pub(super) struct Call {
    request: u128,
    team: String,
    key: Option<(u64, u32)>,
    fence: u64,
    deadline: Option<tokio::time::Instant>,
    attempt: u32,
    idempotent: bool,
}

impl Call {
    fn read(headers: &HeaderMap, key_slots: u32) -> Self {
        let text = |name: &str| headers.get(name).and_then(|value| value.to_str().ok());
        let number = |name: &str| text(name).and_then(|text| text.parse::<u64>().ok());
        let deadline = number("kumquat-deadline-ms")
            .map(|left| tokio::time::Instant::now() + Duration::from_millis(left));
        let key = text("kumquat-key")
            .and_then(key_hash)
            .map(|key| (key, hash::slot(key, key_slots.max(1)).0));
        // A request without an id comes from a direct caller and gets an id of its own.
        let request = text("kumquat-request")
            .and_then(|text| u128::from_str_radix(text, 16).ok())
            .unwrap_or_else(rand::random);
        Self {
            request,
            team: text("kumquat-team").unwrap_or_default().to_owned(),
            key,
            fence: number("kumquat-fence").unwrap_or(0),
            deadline,
            attempt: number("kumquat-attempt").map_or(0, |n| u32::try_from(n).unwrap_or(0)),
            idempotent: text("kumquat-idempotent") == Some("true"),
        }
    }
}

/// Answer in the default mode.
#[derive(Debug, Serialize)]
struct Description<'a> {
    upstream: &'a str,
    request: String,
    team: &'a str,
    key: Option<String>,
    attempt: u32,
    method: &'a str,
    path: &'a str,
    /// Requests of this key so far, including this one.
    key_requests: u64,
    body_bytes: u64,
    /// The beginning of the body.
    body: String,
    padding: String,
}

/// Outcome of waiting for a point in time or for something else before it.
async fn within<T>(
    deadline: Option<tokio::time::Instant>,
    future: impl Future<Output = T>,
) -> Option<T> {
    match deadline {
        Some(deadline) => tokio::time::timeout_at(deadline, future).await.ok(),
        None => Some(future.await),
    }
}

impl Core {
    pub(super) fn clock_ms(&self) -> u64 {
        self.clock_of(clock::now())
    }

    fn clock_of(&self, now: clock::Instant) -> u64 {
        (now + self.options.clock_offset).as_micros() / 1_000
    }

    /// Converts a value of the upstream's clock to the time of the ledger of observations.
    fn instant_of(&self, clock_ms: u64) -> clock::Instant {
        clock::Instant::from_millis(clock_ms) - self.options.clock_offset
    }

    pub(super) async fn thawed(&self) {
        let mut frozen = self.frozen.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        _ = frozen.wait_for(|frozen| !frozen).await;
    }

    pub(super) async fn answer(self: Arc<Self>, request: Request, gate: &Gate) -> Response {
        let mut response = match request.uri().path() {
            "/health" | "/load" => self.report(),
            "/grant" if request.method() == Method::POST => Arc::clone(&self).grant(request).await,
            _ => self.serve(request, gate).await,
        };
        let clock = self.clock_ms();
        let mut state = lock(&self.state);
        state.show();
        let headers = response.headers_mut();
        headers.insert("kumquat-boot", state.boot.into());
        headers.insert("kumquat-clock-ms", clock.into());
        response
    }

    fn report(&self) -> Response {
        let state = lock(&self.state);
        let status = state.reported(clock::now(), self.options.report_lag);
        json(StatusCode::OK, &status)
    }

    async fn grant(self: Arc<Self>, request: Request) -> Response {
        let Ok(bytes) = request.into_body().into_bytes_limit(1 << 20).await else {
            return plain(StatusCode::PAYLOAD_TOO_LARGE);
        };
        let Ok(grant) = serde_json::from_slice::<Grant>(&bytes) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        let Some((keys, release_keys, without)) = parse_keys(&grant) else {
            return plain(StatusCode::BAD_REQUEST);
        };
        self.thawed().await;

        let released = {
            let mut state = lock(&self.state);
            // Upstreams that don't check who gives them orders accept them all.
            let refused = refusal(&grant, &state).filter(|_| self.options.checks_grants);
            if refused.is_some() {
                return json(StatusCode::CONFLICT, &self.granted(&state, refused));
            }
            if grant.fence > state.fence || grant.whole {
                state.sequence = grant.sequence;
            }
            state.fence = state.fence.max(grant.fence);
            let slots = |first: u32, last: u32| {
                let end = last.min(self.options.key_slots.saturating_sub(1));
                (first..=end).map(Area::Slot)
            };
            let spans = grant
                .spans
                .iter()
                .flat_map(|span| slots(span.first, span.last).map(move |area| (area, span.epoch)));
            let granted = spans.chain(keys).collect::<Vec<_>>();
            let release = grant.release.iter();
            let mut released = release
                .flat_map(|span| slots(span.first, span.last))
                .collect::<Vec<_>>();
            released.extend(release_keys.into_iter().map(Area::Key));
            if grant.whole {
                let mut given_up = state.grants.granted();
                given_up.retain(|area| !granted.iter().any(|(other, _)| other == area));
                released.extend(given_up);
            }
            if let Some(without) = without {
                state.grants.set_without(without);
            }
            for area in &released {
                state.grants.release(*area);
            }
            self.record_grant(&mut state, &granted, &grant);
            // What nobody works on is free before the answer says so.
            self.finish_idle(&mut state, &mut released);
            released
        };
        if grant.whole {
            let core = Arc::clone(&self);
            tokio::spawn(async move { core.finish(released).await });
        } else {
            self.finish(released).await;
        }

        let state = lock(&self.state);
        json(StatusCode::OK, &self.granted(&state, None))
    }

    fn record_grant(&self, state: &mut State, granted: &[(Area, u64)], grant: &Grant) {
        let holds = granted
            .iter()
            .filter_map(|(area, epoch)| {
                let until = state.grants.grant(*area, *epoch, grant.until_ms)?;
                Some(Hold {
                    area: *area,
                    epoch: *epoch,
                    until: self.instant_of(until),
                })
            })
            .collect::<Vec<_>>();
        if !self.options.checks_grants {
            return;
        }
        let Options { service, name, .. } = &self.options;
        self.ledger.granted(service, name, &holds);
        if let Some(without) = &grant.without {
            let keys = without.iter().filter_map(|key| key_hash(&key.key));
            let keys = keys.collect::<Vec<_>>();
            self.ledger.excluded(service, name, &keys);
        }
    }

    /// Records the release of each area once no request runs in it.
    async fn finish(&self, mut areas: Vec<Area>) {
        loop {
            let ended = self.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            self.finish_idle(&mut lock(&self.state), &mut areas);
            if areas.is_empty() {
                return;
            }
            ended.await;
        }
    }

    /// Records the release of the areas in which no request runs, and keeps the others.
    fn finish_idle(&self, state: &mut State, areas: &mut Vec<Area>) {
        let Options { service, name, .. } = &self.options;
        areas.retain(|area| {
            if state.is_running_in(*area) {
                return true;
            }
            if state.grants.finish_release(*area) {
                self.ledger.released(service, name, *area);
            }
            false
        });
    }

    fn granted(&self, state: &State, rejection: Option<Refused>) -> Granted {
        let clock_ms = self.clock_ms();
        Granted {
            boot: state.boot,
            clock_ms,
            fence: state.fence,
            held: state.grants.held(clock_ms),
            rejection,
            finishing: state.finishing(),
        }
    }

    async fn serve(self: &Arc<Self>, request: Request, gate: &Gate) -> Response {
        let caller = peer(&request);
        let (parts, body) = request.into_parts();
        let call = Call::read(&parts.headers, self.options.key_slots);
        self.inspect(&parts.uri, &parts.headers);

        // Admission: a request beyond slots and backlog is refused at once.
        let now = clock::now();
        let arrived = lock(&self.state).arrive(now);
        if let Some(met) = &arrived.cold {
            let arrival = Arrival {
                upstream: &self.options.name,
                serial: arrived.serial,
                earlier: &met.earlier,
                limit: met.limit,
                age: met.age,
                shown_for: met.shown_for,
            };
            self.ledger.cold_arrival(&arrival, now);
        }
        if !arrived.admitted {
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        }
        let mut work = Work::new(Arc::clone(self), arrived.serial);

        // A request that runs out of time in the backlog has not run.
        let permit = within(call.deadline, Arc::clone(&self.permits).acquire_owned()).await;
        let Some(Ok(permit)) = permit else {
            work.expire();
            return not_run(StatusCode::SERVICE_UNAVAILABLE);
        };
        self.thawed().await;
        if let Err(code) = work.start(&call, permit) {
            return not_run(code);
        }

        let overrides = body::Overrides::read(parts.uri.query().unwrap_or_default());
        let mode = overrides.mode.unwrap_or(lock(&self.state).mode);
        let run = self.run(&parts, body, &call, mode, &overrides);
        let Some(answer) = within(call.deadline, run).await else {
            work.expire();
            return unknown(StatusCode::GATEWAY_TIMEOUT);
        };
        let Some(answer) = answer else {
            return plain(StatusCode::PAYLOAD_TOO_LARGE);
        };
        // A run whose grant has lapsed in the meantime does not take effect.
        if !work.may_commit() {
            work.lapse();
            return unknown(StatusCode::SERVICE_UNAVAILABLE);
        }
        if mode == Mode::Never {
            std::future::pending::<()>().await;
        }
        if let (Mode::Garbage, Some(caller)) = (mode, caller) {
            gate.garble(caller);
        }
        body::respond(mode, answer, work)
    }

    /// Searches everything but the body for caller keys.
    fn inspect(&self, uri: &Uri, headers: &HeaderMap) {
        if self.ledger.longest_secret() == 0 {
            return;
        }
        self.ledger.inspect("a path", uri.to_string().as_bytes());
        for (name, value) in headers {
            let place = format!("header {name}");
            self.ledger.inspect(&place, value.as_bytes());
        }
    }

    /// Runs a request: reads its body, takes the service time and makes the answer.
    async fn run(
        &self,
        parts: &poem::RequestParts,
        request: Body,
        call: &Call,
        mode: Mode,
        overrides: &body::Overrides,
    ) -> Option<body::Content> {
        let time = lock(&self.state).run_time(overrides.time, clock::now());
        if mode == Mode::Echo {
            // The body is streamed back after the service time, so only its use of the slot counts as work.
            self.take(time).await;
            let stream = body::inspected(request, self.ledger.clone());
            return Some(body::Content::Stream(stream));
        }
        let (length, beginning) = body::read(request, &self.ledger).await?;
        self.take(time).await;
        let key_requests = call.key.map_or(0, |(key, _)| {
            let state = lock(&self.state);
            state.keys.get(&key).copied().unwrap_or(0)
        });
        let description = Description {
            upstream: &self.options.name,
            request: format!("{:032x}", call.request),
            team: &call.team,
            key: call.key.map(|(key, _)| format!("{key:016x}")),
            attempt: call.attempt,
            method: parts.method.as_str(),
            path: parts.uri.path(),
            key_requests,
            body_bytes: length,
            body: String::from_utf8_lossy(&beginning).into_owned(),
            padding: "x".repeat(overrides.size),
        };
        let text = serde_json::to_vec(&description).unwrap_or_default();
        Some(body::Content::Full(Bytes::from(text)))
    }

    /// Lets the service time pass; a frozen upstream goes on only after it has thawed.
    async fn take(&self, time: Duration) {
        if !time.is_zero() {
            tokio::time::sleep(time).await;
        }
        self.thawed().await;
    }
}

/// Returns why an upstream that checks its orders rejects one.
fn refusal(grant: &Grant, state: &State) -> Option<Refused> {
    if grant.fence < state.fence {
        return Some(Refused::LowerFence);
    }
    if grant.boot != Some(state.boot) {
        return Some(Refused::ForeignBoot);
    }
    let is_overtaken =
        grant.whole && grant.fence == state.fence && grant.sequence <= state.sequence;
    is_overtaken.then_some(Refused::Overtaken)
}

type Keys = (Vec<(Area, u64)>, Vec<u64>, Option<Vec<u64>>);

/// Reads the key hashes of a grant.
fn parse_keys(grant: &Grant) -> Option<Keys> {
    let keys = grant
        .keys
        .iter()
        .map(|key| Some((Area::Key(key_hash(&key.key)?), key.epoch)))
        .collect::<Option<_>>()?;
    let hashes = |keys: &[super::grant::Key]| {
        keys.iter()
            .map(|key| key_hash(&key.key))
            .collect::<Option<Vec<_>>>()
    };
    let without = match &grant.without {
        Some(without) => Some(hashes(without)?),
        None => None,
    };
    Some((keys, hashes(&grant.release_keys)?, without))
}

fn json(code: StatusCode, body: &impl Serialize) -> Response {
    Response::builder()
        .status(code)
        .content_type("application/json")
        .body(serde_json::to_vec(body).unwrap_or_default())
}

fn plain(code: StatusCode) -> Response {
    Response::builder().status(code).finish()
}

fn not_run(code: StatusCode) -> Response {
    Response::builder()
        .status(code)
        .header("kumquat-outcome", "not-run")
        .finish()
}

fn unknown(code: StatusCode) -> Response {
    Response::builder()
        .status(code)
        .header("kumquat-outcome", "unknown")
        .finish()
}

/// Returns how a dropped request ended.
pub(super) fn ending(answered: bool) -> End {
    if answered { End::Answered } else { End::HungUp }
}
