//! The `load` module provides an open-loop load: requests are sent at fixed times whatever the answers take.
//!
//! Latency counts from the planned time of sending, so that a stalled answer shows in all requests that it delays.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use kumquat_standins::observation::Ledger;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use reqwest::{Client, StatusCode};
use tokio::runtime::Handle;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

use crate::stats;

/// Most requests on the way at once; a load beyond it is reported as overrun.
const IN_FLIGHT: usize = 20_000;

/// Time after which an answer no longer counts.
const TIMEOUT: Duration = Duration::from_secs(20);

/// One request of a load.
#[derive(Clone, Debug, Default)]
pub struct Shot {
    /// Address of the process that gets it.
    pub to: Option<SocketAddr>,
    /// Path with its query.
    pub path: String,
    /// Caller key.
    pub key: Option<Arc<str>>,
    /// Whether it is not idempotent.
    pub post: bool,
    /// Number by which the samples are told apart, such as that of the route or key.
    pub tag: usize,
    /// Number of the team.
    pub team: usize,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// An upstream answered.
    Answered,
    /// The router refused, with this status; the flag says whether as "not run".
    Refused(u16, bool),
    /// The connection broke, or nothing came in time.
    Broken,
}

/// One ended request.
#[derive(Clone, Copy, Debug)]
pub struct Sample {
    /// Planned time of sending, from the beginning of the load.
    pub at: Duration,
    /// Time from the planned sending to the end of the answer.
    pub latency: Duration,
    /// Number from the [`Shot`].
    pub tag: usize,
    /// Team from the [`Shot`].
    pub team: usize,
    /// How it ended.
    pub verdict: Verdict,
}

impl Sample {
    /// Returns whether an upstream answered.
    #[must_use]
    pub fn is_answered(&self) -> bool {
        self.verdict == Verdict::Answered
    }
}

/// All samples of a load.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    /// The samples, in the order of their ends.
    pub all: Vec<Sample>,
    /// Requests that were not sent, because too many were on the way.
    pub overrun: u64,
    /// Why requests were not answered: tag, reason and number of requests, the warm-up included.
    pub reasons: Vec<(usize, String, u64)>,
}

impl Samples {
    /// Collects the latencies of the answered requests that pass the filter.
    pub fn latencies(&self, filter: impl Fn(&Sample) -> bool) -> Histogram<u64> {
        let chosen = self
            .all
            .iter()
            .filter(|sample| sample.is_answered() && filter(sample));
        stats::collect(chosen.map(|sample| micros(sample.latency)))
    }

    /// Counts the samples that pass the filter.
    pub fn count(&self, filter: impl Fn(&Sample) -> bool) -> u64 {
        self.all.iter().filter(|sample| filter(sample)).count() as u64
    }

    /// Drops the samples of the warm-up.
    #[must_use]
    pub fn after(mut self, warm_up: Duration) -> Self {
        self.all.retain(|sample| sample.at >= warm_up);
        self
    }

    /// Returns a line on the requests of the whole load that were not answered: tag, reason and number.
    #[must_use]
    pub fn failures(&self) -> String {
        format!("{:?}, overrun {}", self.reasons, self.overrun)
    }

    fn count_reason(&mut self, tag: usize, reason: String) {
        match self
            .reasons
            .iter_mut()
            .find(|(other, known, _)| (*other, known.as_str()) == (tag, reason.as_str()))
        {
            Some((_, _, count)) => *count += 1,
            None => self.reasons.push((tag, reason, 1)),
        }
    }
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    /// Beginning of the load.
    pub begun: Instant,
    pacer: thread::JoinHandle<()>,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    client: Client,
    samples: Mutex<Samples>,
    slots: Arc<Semaphore>,
    observations: Option<Ledger>,
}

impl Load {
    /// Starts a load of `rate` requests per second at exponential gaps; `draw` makes the requests.
    ///
    /// # Panics
    ///
    /// Panics if the client without TLS can't be built.
    pub fn spawn(
        handle: Handle,
        seed: u64,
        rate: f64,
        length: Duration,
        observations: Option<Ledger>,
        mut draw: impl FnMut(&mut SmallRng, Duration) -> Shot + Send + 'static,
    ) -> Self {
        let shared = Arc::new(Shared {
            client: client(),
            samples: Mutex::new(Samples::default()),
            slots: Arc::new(Semaphore::new(IN_FLIGHT)),
            observations,
        });
        let begun = Instant::now();
        let sending = Arc::clone(&shared);
        // The timers of tokio have steps of 1 ms, which is too coarse to pace a load by.
        let pacer = thread::spawn(move || {
            let mut random = SmallRng::seed_from_u64(seed);
            let mut due = Duration::ZERO;
            loop {
                let gap = -random.random_range(f64::MIN_POSITIVE..1.0).ln() / rate;
                due += Duration::from_secs_f64(gap);
                if due >= length {
                    return;
                }
                let shot = draw(&mut random, due);
                thread::sleep((begun + due).saturating_duration_since(Instant::now()));
                match Arc::clone(&sending.slots).try_acquire_owned() {
                    Ok(permit) => {
                        let sending = Arc::clone(&sending);
                        handle.spawn(send(sending, shot, begun, due, permit));
                    }
                    Err(_) => sending.samples().overrun += 1,
                }
            }
        });
        Self {
            begun,
            pacer,
            shared,
        }
    }

    /// Waits until all requests have ended and returns the samples.
    pub async fn finish(self) -> Samples {
        let pacer = self.pacer;
        // A pacer that panicked shows in the missing requests.
        drop(tokio::task::spawn_blocking(move || pacer.join()).await);
        let all = u32::try_from(IN_FLIGHT).unwrap_or(u32::MAX);
        drop(self.shared.slots.acquire_many(all).await);
        std::mem::take(&mut *self.shared.samples())
    }
}

impl Shared {
    fn samples(&self) -> MutexGuard<'_, Samples> {
        self.samples.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Creates a client that keeps many connections.
///
/// # Panics
///
/// Panics if the client can't be built.
#[must_use]
pub fn client() -> Client {
    Client::builder()
        .no_proxy()
        .pool_max_idle_per_host(4_096)
        .timeout(TIMEOUT)
        .build()
        .expect("a client without TLS")
}

/// Converts to microseconds.
#[must_use]
pub fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

async fn send(
    shared: Arc<Shared>,
    shot: Shot,
    begun: Instant,
    due: Duration,
    permit: OwnedSemaphorePermit,
) {
    let (verdict, reason) = ask(&shared, &shot).await;
    let sample = Sample {
        at: due,
        latency: begun.elapsed().saturating_sub(due),
        tag: shot.tag,
        team: shot.team,
        verdict,
    };
    let mut samples = shared.samples();
    samples.all.push(sample);
    if let Some(reason) = reason {
        samples.count_reason(shot.tag, reason);
    }
    drop(samples);
    drop(permit);
}

async fn ask(shared: &Shared, shot: &Shot) -> (Verdict, Option<String>) {
    let broken = |why: &str| (Verdict::Broken, Some(why.to_owned()));
    let Some(to) = shot.to else {
        return broken("no address");
    };
    let url = format!("http://{to}{}", shot.path);
    let mut request = if shot.post {
        shared.client.post(url)
    } else {
        shared.client.get(url)
    };
    if let Some(key) = &shot.key {
        request = request.bearer_auth(key);
    }
    let Ok(response) = request.send().await else {
        return broken("no answer");
    };
    let status = response.status();
    let header = |name: &str| Some(response.headers().get(name)?.to_str().ok()?.to_owned());
    let not_run = header("kumquat-outcome").as_deref() == Some("not-run");
    let id = header("kumquat-request").and_then(|id| u128::from_str_radix(&id, 16).ok());
    let Ok(body) = response.bytes().await else {
        return broken("half an answer");
    };
    if status == StatusCode::OK {
        return (Verdict::Answered, None);
    }
    // The observations tell whether a request that was refused as "not run" ran after all.
    if let (Some(id), Some(observations), true) = (id, &shared.observations, not_run) {
        observations.report_refusal(id);
    }
    let body = serde_json::from_slice::<serde_json::Value>(&body).unwrap_or_default();
    let reason = body["error"].as_str().unwrap_or("refused without a reason");
    let certainty = if not_run { "not run" } else { "unknown" };
    let reason = format!("{} {reason}, {certainty}", status.as_u16());
    (Verdict::Refused(status.as_u16(), not_run), Some(reason))
}
