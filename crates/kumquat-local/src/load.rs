//! The `load` module provides a steady load of a fixed seed whose answers are recorded one by one.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::Result;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

use crate::Deployment;
use crate::client::{Call, Client, Verdict};

/// Properties of a load.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Requests per second.
    pub rate: u32,
    /// Seed.
    pub seed: u64,
    /// Share of requests, in percent, that must not run twice.
    pub post_percent: u32,
    /// Keys of each service.
    pub keys: u32,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rate: 100,
            seed: 7,
            post_percent: 30,
            keys: 200,
        }
    }
}

/// What came of one request.
#[derive(Clone, Debug)]
pub struct Record {
    /// When it was sent.
    pub sent: Instant,
    /// How long it took.
    pub took: Duration,
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Path.
    pub path: String,
    /// What the caller got.
    pub verdict: Verdict,
}

/// A running load.
#[derive(Debug)]
pub struct Load {
    records: Arc<Mutex<Vec<Record>>>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

struct Sender {
    client: Client,
    keys: Vec<String>,
    prefixes: Vec<String>,
    records: Arc<Mutex<Vec<Record>>>,
}

impl Load {
    /// Starts a load over all entries that run.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be created.
    pub fn spawn(deployment: &Deployment, options: Options) -> Result<Self> {
        let records = Arc::new(Mutex::new(Vec::new()));
        let entries = Arc::new(Mutex::new(deployment.entries()));
        let routes = deployment.bundle.routes.iter();
        let sender = Sender {
            client: Client::open(&deployment.observations)?,
            keys: deployment.keys.iter().map(|(_, key)| key.clone()).collect(),
            prefixes: routes.map(|route| route.prefix.clone()).collect(),
            records: Arc::clone(&records),
        };
        let stop = CancellationToken::new();
        let task = tokio::spawn(run(
            Arc::new(sender),
            Arc::clone(&entries),
            options,
            stop.clone(),
        ));
        Ok(Self {
            records,
            entries,
            stop,
            task,
        })
    }

    /// Sends requests to these entries only from now on, as a balancer does that has noticed a change.
    pub fn set_entries(&self, entries: Vec<SocketAddr>) {
        *lock(&self.entries) = entries;
    }

    /// Returns what came of the requests that have ended.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        lock(&self.records).clone()
    }

    /// Ends the load and returns what came of all requests.
    ///
    /// # Errors
    ///
    /// Returns an error if the load has panicked.
    pub async fn finish(self) -> Result<Vec<Record>> {
        self.stop.cancel();
        self.task.await?;
        Ok(lock(&self.records).clone())
    }
}

async fn run(
    sender: Arc<Sender>,
    entries: Arc<Mutex<Vec<SocketAddr>>>,
    options: Options,
    stop: CancellationToken,
) {
    let mut random = SmallRng::seed_from_u64(options.seed);
    let mut running = JoinSet::new();
    let mut due = Instant::now();
    let gap = Duration::from_secs(1) / options.rate;
    loop {
        due += gap;
        tokio::select! {
            () = stop.cancelled() => break,
            () = sleep_until(due) => {}
        }
        let targets = lock(&entries).clone();
        if targets.is_empty() {
            continue;
        }
        let prefix = &sender.prefixes[random.random_range(0..sender.prefixes.len())];
        let call = Call {
            entry: targets[random.random_range(0..targets.len())],
            path: format!("{prefix}item-{}", random.random_range(0..options.keys)),
            key: sender.keys[random.random_range(0..sender.keys.len())].clone(),
            post: random.random_range(0..100) < options.post_percent,
        };
        let sender = Arc::clone(&sender);
        running.spawn(async move { sender.send(call).await });
        while running.try_join_next().is_some() {}
    }
    while running.join_next().await.is_some() {}
}

impl Sender {
    async fn send(&self, call: Call) {
        let sent = Instant::now();
        let (verdict, took) = self.client.send(&call).await;
        lock(&self.records).push(Record {
            sent,
            took,
            entry: call.entry,
            path: call.path,
            verdict,
        });
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
