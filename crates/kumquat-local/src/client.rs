//! The `client` module provides a caller that sorts its answers and reports refusals to the observations.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use reqwest::{Response, StatusCode};
use tokio::time::Instant;

use kumquat_standins::observation::Ledger as Observations;

/// Longest time that a caller waits; it is longer than each deadline, so that it hides no late answer.
const PATIENCE: Duration = Duration::from_secs(10);

/// What a caller got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer of an upstream.
    Answered {
        /// Name of the upstream.
        upstream: String,
    },
    /// A refusal.
    Refused {
        /// HTTP status.
        status: u16,
        /// Reason.
        reason: String,
        /// Whether it says that the request did not run.
        not_run: bool,
    },
    /// The connection could not be established or broke.
    Broken(String),
}

impl Verdict {
    /// Returns whether an upstream answered.
    #[must_use]
    pub const fn is_answer(&self) -> bool {
        matches!(self, Self::Answered { .. })
    }

    /// Returns the name of the upstream that answered.
    #[must_use]
    pub fn upstream(&self) -> Option<&str> {
        match self {
            Self::Answered { upstream } => Some(upstream),
            _ => None,
        }
    }
}

/// A request of a caller.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the entry.
    pub entry: SocketAddr,
    /// Path.
    pub path: String,
    /// Caller key.
    pub key: String,
    /// Whether it is a POST, which must not run twice.
    pub post: bool,
}

/// A caller.
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    observations: Observations,
}

impl Client {
    /// Creates a caller that reports to these observations.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be created.
    pub fn open(observations: &Observations) -> Result<Self> {
        let http = reqwest::Client::builder()
            .no_proxy()
            .timeout(PATIENCE)
            .pool_max_idle_per_host(64)
            .build()?;
        Ok(Self {
            http,
            observations: observations.clone(),
        })
    }

    /// Sends a request and returns what came of it and how long it took.
    pub async fn send(&self, call: &Call) -> (Verdict, Duration) {
        let begun = Instant::now();
        let url = format!("http://{}{}", call.entry, call.path);
        let request = if call.post {
            self.http.post(&url).body("one booking")
        } else {
            self.http.get(&url)
        };
        let verdict = match request.bearer_auth(&call.key).send().await {
            Ok(response) => self.judge(response).await,
            Err(error) => Verdict::Broken(describe(&error)),
        };
        (verdict, begun.elapsed())
    }

    async fn judge(&self, response: Response) -> Verdict {
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            value.to_str().ok().map(str::to_owned)
        };
        let not_run = header("kumquat-outcome").as_deref() == Some("not-run");
        let request = header("kumquat-request").and_then(|id| u128::from_str_radix(&id, 16).ok());
        let status = response.status();
        let body = match response.text().await {
            Ok(text) => serde_json::from_str(&text).unwrap_or(serde_json::Value::Null),
            Err(error) => return Verdict::Broken(describe(&error)),
        };
        if status == StatusCode::OK {
            let upstream = body["upstream"].as_str().unwrap_or_default().to_owned();
            return Verdict::Answered { upstream };
        }
        if let Some(request) = request.filter(|_| not_run) {
            self.observations.report_refusal(request);
        }
        Verdict::Refused {
            status: status.as_u16(),
            reason: body["error"].as_str().unwrap_or_default().to_owned(),
            not_run,
        }
    }
}

/// Returns an error with its causes, which reqwest leaves out.
fn describe(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(error) = cause {
        text = format!("{text}: {error}");
        cause = error.source();
    }
    text
}
