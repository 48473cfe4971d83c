//! The `store` module provides the client of the store's HTTP interface, as far as operators need it.

use std::time::Duration;

use eyre::eyre;
use rand::RngExt as _;
use reqwest::{Response, StatusCode, Url};
use serde::Deserialize;

use crate::output::Failure;

/// Time within which a call has to be answered; the store answers in milliseconds when it is well.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Attempts of a read before the store counts as unreachable.
const READ_ATTEMPTS: u32 = 5;

/// Delay before the second attempt; it doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Longest delay between attempts.
const LONGEST_DELAY: Duration = Duration::from_secs(1);

/// Longest answer; the store's values have up to 1 MB, and a listing of 10,000 chunks takes about 1 MB.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

/// Header with the revision of a value.
const REVISION: &str = "x-revision";

/// Header with the revision that a write expects.
const EXPECTED: &str = "x-expected-revision";

/// A value with its revision.
#[derive(Clone, Debug)]
pub struct Value {
    /// Revision of the key.
    pub revision: u64,
    /// Content.
    pub bytes: Vec<u8>,
}

/// A key with its revision, as listed.
#[derive(Clone, Debug, Deserialize)]
pub struct Listed {
    /// Key.
    pub key: String,
}

/// How a conditional write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Write {
    /// The value was written.
    Stored,
    /// The key has another revision.
    Conflict,
}

/// Why a single call failed.
#[derive(Debug)]
pub enum Error {
    /// The call certainly had no effect.
    Refused(eyre::Report),
    /// The call may have had its effect.
    Lost(eyre::Report),
}

impl Error {
    fn into_cause(self) -> eyre::Report {
        match self {
            Self::Refused(cause) | Self::Lost(cause) => cause,
        }
    }
}

/// Client of the store.
#[derive(Debug)]
pub struct Store {
    client: reqwest::Client,
    base: Url,
}

impl Store {
    /// Creates a client; connections are opened when they are needed.
    pub fn open(url: &str) -> Result<Self, Failure> {
        let base: Url = url
            .parse()
            .map_err(|error| Failure::input(eyre!("{url:?} is not a URL: {error}")))?;
        if base.scheme() != "http" || base.host().is_none() {
            return Err(Failure::input(eyre!(
                "{url:?} is not the URL of a store, expected http://HOST:PORT"
            )));
        }
        let client = reqwest::Client::builder()
            .timeout(CALL_TIMEOUT)
            .no_proxy()
            .build()
            .map_err(Failure::input)?;
        Ok(Self { client, base })
    }

    /// Makes a single attempt to read a value.
    pub async fn try_get(&self, key: &str) -> Result<Option<Value>, Error> {
        let response = self.send(self.client.get(self.url("kv", key)?)).await?;
        match response.status() {
            StatusCode::OK => {
                let revision = revision(&response)?;
                let bytes = body(response).await?;
                Ok(Some(Value { revision, bytes }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(unexpected(status)),
        }
    }

    /// Makes a single attempt to write a value if the key has the expected revision, zero meaning that it is absent.
    pub async fn try_put(&self, key: &str, expected: u64, value: Vec<u8>) -> Result<Write, Error> {
        let request = self
            .client
            .put(self.url("kv", key)?)
            .header(EXPECTED, expected)
            .body(value);
        match self.send(request).await?.status() {
            StatusCode::OK => Ok(Write::Stored),
            StatusCode::CONFLICT => Ok(Write::Conflict),
            status => Err(unexpected(status)),
        }
    }

    /// Reads a value, with several attempts.
    pub async fn get(&self, key: &str) -> Result<Option<Value>, Failure> {
        let mut attempt = 0;
        loop {
            match self.try_get(key).await {
                Ok(value) => return Ok(value),
                Err(error) => self.wait(&mut attempt, error).await?,
            }
        }
    }

    /// Lists the keys with a prefix, sorted, with several attempts.
    pub async fn list(&self, prefix: &str) -> Result<Vec<String>, Failure> {
        let mut attempt = 0;
        loop {
            match self.try_list(prefix).await {
                Ok(keys) => return Ok(keys),
                Err(error) => self.wait(&mut attempt, error).await?,
            }
        }
    }

    async fn try_list(&self, prefix: &str) -> Result<Vec<String>, Error> {
        let mut url = self.url("list", "")?;
        url.query_pairs_mut().append_pair("prefix", prefix);
        let response = self.send(self.client.get(url)).await?;
        if response.status() != StatusCode::OK {
            return Err(unexpected(response.status()));
        }
        let bytes = body(response).await?;
        let listed: Vec<Listed> = serde_json::from_slice(&bytes)
            .map_err(|error| Error::Lost(eyre!("the store's listing can't be read: {error}")))?;
        let mut keys: Vec<String> = listed.into_iter().map(|entry| entry.key).collect();
        keys.sort();
        Ok(keys)
    }

    /// Waits before the next attempt, or gives up.
    async fn wait(&self, attempt: &mut u32, error: Error) -> Result<(), Failure> {
        *attempt += 1;
        if *attempt >= READ_ATTEMPTS {
            let context = format!("the store at {} can't be read", self.base);
            return Err(Failure::unreachable(error.into_cause()).context(context));
        }
        backoff(*attempt).await;
        Ok(())
    }

    async fn send(&self, request: reqwest::RequestBuilder) -> Result<Response, Error> {
        request.send().await.map_err(|error| {
            // Without a connection, the store can't have seen the call.
            if error.is_connect() {
                Error::Refused(error.into())
            } else {
                Error::Lost(error.into())
            }
        })
    }

    fn url(&self, kind: &str, key: &str) -> Result<Url, Error> {
        let path = if key.is_empty() {
            format!("/v1/{kind}")
        } else {
            format!("/v1/{kind}/{key}")
        };
        self.base
            .join(&path)
            .map_err(|error| Error::Refused(error.into()))
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

fn unexpected(status: StatusCode) -> Error {
    let cause = eyre!("the store answered with status {status}");
    // Above its call rate, the store does not look at the call; other errors may follow an effect.
    if status == StatusCode::TOO_MANY_REQUESTS {
        Error::Refused(cause)
    } else {
        Error::Lost(cause)
    }
}

fn revision(response: &Response) -> Result<u64, Error> {
    response
        .headers()
        .get(REVISION)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .ok_or_else(|| Error::Lost(eyre!("the store's answer has no header {REVISION}")))
}

async fn body(mut response: Response) -> Result<Vec<u8>, Error> {
    let mut bytes = Vec::new();
    while let Some(part) = response
        .chunk()
        .await
        .map_err(|error| Error::Lost(error.into()))?
    {
        if bytes.len() + part.len() > ANSWER_LIMIT {
            return Err(Error::Lost(eyre!(
                "the store's answer has more than {ANSWER_LIMIT} bytes"
            )));
        }
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}
