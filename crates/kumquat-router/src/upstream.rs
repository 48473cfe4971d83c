//! The `upstream` module provides one exchange with an upstream and what is known of its effect.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::dialect::Dialect;
use crate::errors::Error;
use crate::http::{AnswerHead, Headers, Wire};

/// Time within which a connection has to be established; upstreams are at most a few milliseconds away.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Largest body of an answer, in bytes; a VM has some hundred megabytes.
const ANSWER_BODY_LIMIT: usize = 16 * 1024 * 1024;

/// Status of an upstream that is not the one meant, or does not hold the key.
pub const MISDIRECTED: u16 = 421;

/// Answers to other requests that are skipped before an answer is given up.
const FOREIGN_LIMIT: u32 = 4;

/// Time before an upstream's announced idle timeout at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Idle time after which a connection of an upstream that announces no timeout is no longer used.
const IDLE_DEFAULT: Duration = Duration::from_secs(3);

/// A request as an upstream gets it.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    /// Method.
    pub method: &'a str,
    /// Head and body.
    pub bytes: &'a [u8],
    /// Id that the answer has to repeat, if any.
    pub id: Option<&'a str>,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// Status and header fields.
    pub head: AnswerHead,
    /// Body.
    pub body: Vec<u8>,
    /// Time for which the connection may stay idle, if it can be used again.
    pub idle: Option<Duration>,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// No connection was established, so that nothing was sent.
    #[error("no connection: {0}")]
    NotSent(Error),
    /// The address refused the connection, so that nothing was sent.
    #[error("connection refused")]
    Refused,
    /// The exchange broke after something was sent; the request may have run.
    #[error("no answer: {0}")]
    Unknown(Error),
}

/// Connects to an upstream.
///
/// # Errors
///
/// Returns an error if no connection is established in time.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<Wire, Failure> {
    match timeout(limit, Wire::connect(address)).await {
        Ok(Ok(wire)) => Ok(wire),
        Ok(Err(Error::Io(error))) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Err(Failure::Refused)
        }
        Ok(Err(error)) => Err(Failure::NotSent(error)),
        Err(_elapsed) => {
            let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
            Err(Failure::NotSent(error.into()))
        }
    }
}

/// Sends a request and reads its answer.
///
/// # Errors
///
/// Returns an error if no whole answer to this request comes; it may have run.
pub async fn exchange(
    wire: &mut Wire,
    request: &Request<'_>,
    dialect: &Dialect,
) -> Result<Answer, Failure> {
    let mut written = 0;
    for _ in 0..=FOREIGN_LIMIT {
        let head = wire
            .exchange(request.bytes, &mut written)
            .await
            .map_err(Failure::Unknown)?;
        let framing = head.framing(request.method).map_err(Failure::Unknown)?;
        let body = wire
            .body(framing, ANSWER_BODY_LIMIT)
            .await
            .map_err(Failure::Unknown)?;
        // A late or second answer to an earlier request stands where this one's is expected.
        if is_foreign(&head, request.id, dialect) {
            continue;
        }
        let is_reusable =
            head.keeps_alive(framing) && written == request.bytes.len() && !wire.has_rest();
        let idle = is_reusable.then(|| idle_time(&head.headers));
        return Ok(Answer { head, body, idle });
    }
    Err(Failure::Unknown(Error::Malformed(
        "answers to other requests",
    )))
}

fn is_foreign(head: &AnswerHead, id: Option<&str>, dialect: &Dialect) -> bool {
    match (head.headers.text(dialect.attempt), id) {
        (Some(answered), Some(id)) => answered != id,
        // An answer without the id is taken only if it says that nothing was run.
        (None, Some(_)) => !is_not_run(head, dialect),
        (_, None) => false,
    }
}

/// Returns whether an answer says that the upstream did not run the request.
#[must_use]
pub fn is_not_run(head: &AnswerHead, dialect: &Dialect) -> bool {
    head.status == MISDIRECTED || head.headers.text(dialect.not_run).is_some()
}

fn idle_time(headers: &Headers) -> Duration {
    let seconds = headers.text("keep-alive").and_then(|value| {
        let mut parameters = value.split(',').map(str::trim);
        parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse().ok())
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => IDLE_DEFAULT,
    }
}
