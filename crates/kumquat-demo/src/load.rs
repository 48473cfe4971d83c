//! The `load` module provides the mixed load of the demonstration.
//!
//! Requests are sent at fixed times whatever the answers take, so that slow answers don't hide behind fewer requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;
use kumquat_local::Deployment;
use kumquat_standins::observation::Ledger;
use kumquat_state::bundle::PriorityClass;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use reqwest::{Client, Response, StatusCode};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep_until};

/// Seed of the load; each run sends the same requests.
const SEED: u64 = 7;

/// Keys of the keyed services that the load asks for.
const KEYS: u32 = 500;

/// Share of requests, in percent, that ask for the hot key.
const HOT_PERCENT: u32 = 10;

/// The hot key.
pub const HOT_KEY: &str = "glass-1";

/// Share of requests, in percent, that are not idempotent.
const POST_PERCENT: u32 = 30;

/// A running load.
#[derive(Debug)]
pub struct Load {
    tally: Arc<Mutex<Tally>>,
    task: JoinHandle<()>,
}

/// What the load got.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Requests sent.
    pub requests: u64,
    /// Answers of upstreams.
    pub answered: u64,
    /// Refusals.
    pub refused: u64,
    /// Refusals with outcome unknown.
    pub unknown: u64,
    /// Connections that broke.
    pub broken: u64,
    /// Refusals by reason.
    pub reasons: Vec<(String, u64)>,
    /// Latencies in microseconds.
    pub latency: Histogram<u64>,
    /// Latencies of urgent requests in microseconds.
    pub urgent: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        let histogram =
            || Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid histogram bounds");
        Self {
            requests: 0,
            answered: 0,
            refused: 0,
            unknown: 0,
            broken: 0,
            reasons: Vec::new(),
            latency: histogram(),
            urgent: histogram(),
        }
    }

    fn count_reason(&mut self, reason: String) {
        match self.reasons.iter_mut().find(|(known, _)| *known == reason) {
            Some((_, count)) => *count += 1,
            None => self.reasons.push((reason, 1)),
        }
    }
}

/// One kind of request of the load.
#[derive(Clone, Debug)]
struct Target {
    prefix: String,
    class: PriorityClass,
}

struct Sender {
    client: Client,
    entries: Vec<SocketAddr>,
    keys: Vec<String>,
    targets: Vec<Target>,
    observations: Ledger,
    tally: Arc<Mutex<Tally>>,
}

impl Load {
    /// Starts the load.
    #[must_use]
    pub fn spawn(deployment: &Deployment, rate: u32, length: Duration) -> Self {
        let tally = Arc::new(Mutex::new(Tally::new()));
        let sender = Arc::new(Sender {
            client: Client::builder()
                .no_proxy()
                .pool_max_idle_per_host(256)
                .build()
                .expect("a client without TLS"),
            entries: deployment
                .vms
                .iter()
                .filter_map(kumquat_local::vm::Vm::address)
                .collect(),
            keys: deployment.keys.iter().map(|(_, key)| key.clone()).collect(),
            targets: deployment
                .bundle
                .routes
                .iter()
                .map(|route| Target {
                    prefix: route.prefix.clone(),
                    class: route.class,
                })
                .collect(),
            observations: deployment.observations.clone(),
            tally: Arc::clone(&tally),
        });
        let task = tokio::spawn(run(sender, rate, length));
        Self { tally, task }
    }

    /// Returns what the load got so far.
    #[must_use]
    pub fn tally(&self) -> Tally {
        self.tally
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Waits for the last answers.
    pub async fn finish(self) -> Tally {
        // A load that panicked shows in the missing requests.
        drop(self.task.await);
        let tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.clone()
    }
}

async fn run(sender: Arc<Sender>, rate: u32, length: Duration) {
    let mut random = SmallRng::seed_from_u64(SEED);
    let begun = Instant::now();
    let mut running = JoinSet::new();
    let mut due = Duration::ZERO;
    while due < length {
        // Exponential gaps make a Poisson process of the given rate.
        let gap = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / f64::from(rate);
        due += Duration::from_secs_f64(gap);
        sleep_until(begun + due).await;
        let request = sender.draw(&mut random);
        let sender = Arc::clone(&sender);
        running.spawn(async move { sender.send(request, begun + due).await });
        while running.try_join_next().is_some() {}
    }
    while running.join_next().await.is_some() {}
}

struct Request {
    url: String,
    key: String,
    class: PriorityClass,
    post: bool,
}

impl Sender {
    fn draw(&self, random: &mut SmallRng) -> Request {
        let entry = self.entries[random.random_range(0..self.entries.len())];
        let target = &self.targets[random.random_range(0..self.targets.len())];
        let name = if random.random_range(0..100) < HOT_PERCENT {
            HOT_KEY.to_owned()
        } else {
            format!("item-{}", random.random_range(0..KEYS))
        };
        Request {
            url: format!("http://{entry}{}{name}", target.prefix),
            key: self.keys[random.random_range(0..self.keys.len())].clone(),
            class: target.class,
            post: random.random_range(0..100) < POST_PERCENT,
        }
    }

    async fn send(&self, request: Request, due: Instant) {
        let builder = if request.post {
            self.client.post(&request.url).body("one booking")
        } else {
            self.client.get(&request.url)
        };
        let answer = builder.bearer_auth(&request.key).send().await;
        let answer = match answer {
            Ok(response) => Some(self.judge(response).await),
            Err(_) => None,
        };
        let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);

        let mut tally = self.tally.lock().unwrap_or_else(PoisonError::into_inner);
        tally.requests += 1;
        match answer {
            Some(Verdict::Answered) => {
                tally.answered += 1;
                tally.latency.saturating_record(micros);
                if request.class == PriorityClass::Urgent {
                    tally.urgent.saturating_record(micros);
                }
            }
            Some(Verdict::Refused { reason, unknown }) => {
                tally.refused += 1;
                tally.unknown += u64::from(unknown);
                tally.count_reason(reason);
            }
            None => tally.broken += 1,
        }
    }

    async fn judge(&self, response: Response) -> Verdict {
        let header = |name: &str| {
            response
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok())
                .map(str::to_owned)
        };
        let outcome = header("kumquat-outcome");
        let id = header("kumquat-request").and_then(|id| u128::from_str_radix(&id, 16).ok());
        let status = response.status();
        let text = response.text().await;
        if status == StatusCode::OK && text.is_ok() {
            return Verdict::Answered;
        }
        let not_run = outcome.as_deref() == Some("not-run");
        if let Some(id) = id.filter(|_| not_run) {
            self.observations.report_refusal(id);
        }
        let reason = text
            .ok()
            .and_then(|text| serde_json::from_str::<serde_json::Value>(&text).ok())
            .and_then(|body| body["error"].as_str().map(str::to_owned))
            .unwrap_or_else(|| format!("status {status}"));
        Verdict::Refused {
            reason,
            unknown: !not_run,
        }
    }
}

enum Verdict {
    Answered,
    Refused { reason: String, unknown: bool },
}
