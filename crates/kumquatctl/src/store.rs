//! The `store` module provides the operator's access to the store: single attempts, and reads that are retried.

use std::time::Duration;

use eyre::eyre;
use kumquat_state::bundle::submit::{Call, Response};
use kumquat_state::ident::Revision;
use kumquat_transport::store::{self, Client, Value};
use rand::RngExt as _;
use reqwest::Url;

use crate::output::Failure;

/// Name by which the store counts the calls of operators.
const CLIENT: &str = "kumquatctl";

/// Time within which a call has to be answered, unless the settings say another one; the store answers in milliseconds when it is well.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts of a read before the store counts as unreachable.
const READ_ATTEMPTS: u32 = 5;

/// Delay before the second attempt; it doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between attempts.
const LONGEST_DELAY: Duration = Duration::from_secs(1);

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// The value was written.
    Stored,
    /// The key has another revision.
    Conflict,
}

/// Client of the store.
#[derive(Debug)]
pub struct Store {
    client: Client,
    base: Url,
}

impl Store {
    /// Creates a client; connections are opened when they are needed. `timeout` replaces the usual time of a call.
    pub fn open(url: &str, timeout: Option<Duration>) -> Result<Self, Failure> {
        let base: Url = url
            .parse()
            .map_err(|error| Failure::input(eyre!("{url:?} is not a URL: {error}")))?;
        if base.scheme() != "http" || base.host().is_none() || base.path() != "/" {
            return Err(Failure::input(eyre!(
                "{url:?} is not the URL of a store, expected http://HOST:PORT"
            )));
        }
        let options = store::Options {
            timeout: timeout.unwrap_or(CALL_TIMEOUT),
            ..store::Options::new(base.as_str(), CLIENT.parse().map_err(Failure::input)?)
        };
        let client = Client::open(&options).map_err(Failure::input)?;
        Ok(Self { client, base })
    }

    /// Makes a single attempt at a store call of a submission.
    pub async fn submit(&self, call: Call) -> Result<Response, store::Failure> {
        self.client.submit(call).await
    }

    /// Makes a single attempt to write a value if the key has the expected revision, zero meaning that it is absent.
    pub async fn try_put(
        &self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
    ) -> Result<Write, store::Failure> {
        let written = self
            .client
            .compare_and_swap(key, value.into(), Revision(expected))
            .await;
        match written {
            Ok(_) => Ok(Write::Stored),
            Err(store::Failure::Conflict { .. }) => Ok(Write::Conflict),
            Err(failure) => Err(failure),
        }
    }

    /// Reads a value, with several attempts.
    pub async fn get(&self, key: &str) -> Result<Option<Value>, Failure> {
        let mut attempt = 0;
        loop {
            match self.client.get(key).await {
                Ok(value) => return Ok(value),
                Err(failure) => self.wait(&mut attempt, failure).await?,
            }
        }
    }

    /// Lists the keys with a prefix, sorted, with several attempts.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Failure> {
        let mut attempt = 0;
        loop {
            match self.client.list(prefix).await {
                Ok(listed) => {
                    let mut keys: Vec<String> = listed.into_iter().map(|entry| entry.key).collect();
                    keys.sort();
                    return Ok(keys);
                }
                Err(failure) => self.wait(&mut attempt, failure).await?,
            }
        }
    }

    /// Waits before the next attempt, or gives up.
    async fn wait(&self, attempt: &mut u32, failure: store::Failure) -> Result<(), Failure> {
        *attempt += 1;
        if *attempt >= READ_ATTEMPTS {
            let context = format!("the store at {} can't be read", self.base);
            return Err(Failure::unreachable(failure).context(context));
        }
        backoff(*attempt).await;
        Ok(())
    }
}

/// Waits after the given number of failed attempts; jitter keeps operators from retrying in step.
pub async fn backoff(attempt: u32) {
    let delay = FIRST_DELAY
        .saturating_mul(1 << attempt.saturating_sub(1).min(10))
        .min(LONGEST_DELAY);
    let share = rand::rng().random_range(0.5..1.0);
    tokio::time::sleep(delay.mul_f64(share)).await;
}
