//! The `list` module provides the client of the platform's list of live and leaving VMs.
//!
//! The list lags and may be wrong, so that it is a hint only: which VMs count is decided by heartbeats and the ledger. See
//! `docs/design.md`, section 3.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_state::ident;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::upstream::chain;

/// Longest time of a call.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Most VMs that a list may hold; it bounds the memory that a wrong answer takes.
const LIMIT: usize = 4_096;

/// Longest answer in bytes.
const ANSWER_LIMIT: usize = 1 << 20;

/// State of a listed VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In use.
    Live,
    /// About to be stopped.
    Leaving,
}

/// A listed VM.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Vm {
    /// Name.
    pub vm: ident::Vm,
    /// Address of its peer links.
    pub address: SocketAddr,
    /// Whether it stays.
    pub state: State,
}

/// Why the list can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("list of VMs unavailable: {0}")]
pub struct Error(String);

/// Client of the list.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    url: String,
}

impl Client {
    /// Opens a client; connections are established when they are needed.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub fn open(url: &str) -> Result<Self, Error> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .http1_only()
            .timeout(TIMEOUT)
            .build()
            .map_err(|error| Error(chain(&error)))?;
        Ok(Self {
            http,
            url: format!("{}/v1/vms", url.trim_end_matches('/')),
        })
    }

    /// Reads the list; entries that can't be read are left out, so that an odd one costs no other.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no proper answer.
    pub async fn fetch(&self) -> Result<Vec<Vm>, Error> {
        let failed = |error: reqwest::Error| Error(chain(&error));
        let request = self.http.get(&self.url).send();
        let mut response = request
            .await
            .and_then(reqwest::Response::error_for_status)
            .map_err(failed)?;
        let mut bytes = Vec::new();
        while let Some(part) = response.chunk().await.map_err(failed)? {
            if bytes.len() + part.len() > ANSWER_LIMIT {
                return Err(Error("the answer is too long".to_owned()));
            }
            bytes.extend_from_slice(&part);
        }
        let entries: Vec<&RawValue> =
            serde_json::from_slice(&bytes).map_err(|error| Error(error.to_string()))?;
        if entries.len() > LIMIT {
            return Err(Error(format!(
                "{} VMs, expected at most {LIMIT}",
                entries.len()
            )));
        }
        let vms = entries
            .iter()
            .map(|entry| serde_json::from_str(entry.get()));
        Ok(vms.filter_map(Result::ok).collect())
    }
}
