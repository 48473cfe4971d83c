//! The `upstream` module provides one exchange with an upstream and what is known of its effect.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::timeout;

use crate::dialect::Dialect;
use crate::errors::Error;
use crate::http::{BodyReader, Framing, Headers, HttpConnection, ResponseHead};

/// Time within which a connection has to be established; upstreams are at most a few milliseconds away.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Part of an answer's body that is read before the answer is passed on, in bytes.
///
/// An answer that breaks off within it can still be repeated or reported as failed; longer ones are passed on as they
/// arrive, so that they take no more memory than this.
pub const BUFFERED_BODY_BYTES: usize = 16 * 1024;

/// Status of an upstream that is not the one meant, or does not hold the key.
pub const MISDIRECTED_STATUS: u16 = 421;

/// Status of an upstream that has no room.
const UNAVAILABLE: u16 = 503;

/// Answers to other requests that are skipped before an answer is given up.
const FOREIGN_LIMIT: u32 = 4;

/// Largest body of such an answer that is skipped, in bytes; a new connection costs less than reading more.
const FOREIGN_BODY_LIMIT: usize = 1024 * 1024;

/// Longest time for which an upstream that asks for it is left alone.
///
/// One wrong answer would otherwise take an upstream out for hours.
const HOLD_OFF_LIMIT: Duration = Duration::from_mins(2);

/// Time before an upstream's announced idle timeout at which a connection is no longer used.
const IDLE_MARGIN: Duration = Duration::from_millis(1_500);

/// Idle time after which a connection of an upstream that announces no timeout is no longer used.
const IDLE_DEFAULT: Duration = Duration::from_secs(3);

/// A request as an upstream gets it.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// Method.
    pub method: &'a str,
    /// Head and body.
    pub bytes: &'a [u8],
    /// Id that the answer has to repeat, if any.
    pub attempt_id: Option<&'a str>,
}

/// An answer, of whose body at least the first part has arrived.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    /// Status and header fields.
    pub head: ResponseHead,
    /// Body, as far as it has been read.
    pub body: Vec<u8>,
    /// What is left of the body on the connection.
    pub unread_body: BodyReader,
    /// Length of the whole body, if the upstream announced it.
    pub content_length: Option<usize>,
    /// Time for which the connection may stay idle, if it can be used again after the body.
    pub keep_alive: Option<Duration>,
}

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection was established, so that nothing was sent.
    #[error("no connection: {0}")]
    ConnectFailed(Error),
    /// The address refused the connection, so that nothing was sent.
    #[error("connection refused")]
    ConnectionRefused,
    /// The exchange broke after something was sent; the request may have run.
    #[error("no answer: {0}")]
    OutcomeUnknown(Error),
}

impl ExchangeError {
    /// Returns whether the upstream sent bytes that are no answer, rather than nothing or a part of one.
    #[must_use]
    pub const fn is_malformed(&self) -> bool {
        matches!(
            self,
            Self::OutcomeUnknown(Error::Malformed(_) | Error::TooLarge(_))
        )
    }
}

/// Connects to an upstream.
///
/// # Errors
///
/// Returns an error if no connection is established in time.
pub async fn connect(
    address: SocketAddr,
    limit: Duration,
) -> Result<HttpConnection, ExchangeError> {
    match timeout(limit, HttpConnection::connect(address)).await {
        Ok(Ok(wire)) => Ok(wire),
        Ok(Err(Error::Io(error))) if error.kind() == std::io::ErrorKind::ConnectionRefused => {
            Err(ExchangeError::ConnectionRefused)
        }
        Ok(Err(error)) => Err(ExchangeError::ConnectFailed(error)),
        Err(_elapsed) => {
            let error = std::io::Error::from(std::io::ErrorKind::TimedOut);
            Err(ExchangeError::ConnectFailed(error.into()))
        }
    }
}

/// Sends a request and reads its answer up to `most` bytes of the body, or the whole body if that is shorter.
///
/// # Errors
///
/// Returns an error if no answer to this request comes, or it breaks off; the request may have run.
pub async fn exchange(
    wire: &mut HttpConnection,
    request: &UpstreamRequest<'_>,
    dialect: &Dialect,
    most: usize,
) -> Result<UpstreamResponse, ExchangeError> {
    let mut written = 0;
    for _ in 0..=FOREIGN_LIMIT {
        let head = wire
            .write_and_read_response_head(request.bytes, &mut written)
            .await
            .map_err(ExchangeError::OutcomeUnknown)?;
        let framing = head
            .framing(request.method)
            .map_err(ExchangeError::OutcomeUnknown)?;
        // A late or second answer to an earlier request stands where this one's is expected.
        if is_foreign(&head, request.attempt_id, dialect) {
            skip(wire, framing)
                .await
                .map_err(ExchangeError::OutcomeUnknown)?;
            continue;
        }
        let (mut body, mut unread_body) = (Vec::new(), BodyReader::new(framing));
        while !unread_body.is_complete() && body.len() < most {
            let room = most - body.len();
            let read = unread_body.read(wire, &mut body, room).await;
            read.map_err(ExchangeError::OutcomeUnknown)?;
        }
        let is_reusable = head.keeps_alive(framing)
            && written == request.bytes.len()
            && !announces_shutdown(&head, dialect)
            && !(unread_body.is_complete() && wire.has_unread());
        let keep_alive = is_reusable.then(|| idle_time(&head.headers));
        return Ok(UpstreamResponse {
            content_length: framing.known_length(),
            head,
            body,
            unread_body,
            keep_alive,
        });
    }
    Err(ExchangeError::OutcomeUnknown(Error::Malformed(
        "answers to other requests",
    )))
}

/// Reads a body and drops it.
async fn skip(wire: &mut HttpConnection, framing: Framing) -> Result<(), Error> {
    let (mut part, mut unread_body, mut skipped) = (Vec::new(), BodyReader::new(framing), 0);
    while !unread_body.is_complete() {
        unread_body
            .read(wire, &mut part, BUFFERED_BODY_BYTES)
            .await?;
        skipped += part.len();
        part.clear();
        if skipped > FOREIGN_BODY_LIMIT {
            return Err(Error::TooLarge("answer to another request"));
        }
    }
    Ok(())
}

fn is_foreign(head: &ResponseHead, id: Option<&str>, dialect: &Dialect) -> bool {
    match (head.headers.get_str(dialect.attempt_id_header), id) {
        (Some(answered), Some(id)) => answered != id,
        // An answer without the id is taken only if it says that nothing was run.
        (None, Some(_)) => !is_not_executed(head, dialect),
        (_, None) => false,
    }
}

/// Returns whether an answer says that the upstream did not run the request.
#[must_use]
pub fn is_not_executed(head: &ResponseHead, dialect: &Dialect) -> bool {
    head.status == MISDIRECTED_STATUS || head.headers.get_str(dialect.not_executed_header).is_some()
}

/// Returns whether an answer says that the upstream is about to stop.
#[must_use]
pub fn announces_shutdown(head: &ResponseHead, dialect: &Dialect) -> bool {
    let leaving = head.headers.get_str(dialect.leaving_header);
    leaving.is_some_and(|value| value.trim() == "1")
}

/// Returns for how long an upstream that has turned a request away wants nothing more.
///
/// Values that are no positive number of seconds are ignored.
#[must_use]
pub fn retry_after(head: &ResponseHead, dialect: &Dialect) -> Option<Duration> {
    if head.status != UNAVAILABLE || !is_not_executed(head, dialect) {
        return None;
    }
    let seconds: f64 = head.headers.get_str("retry-after")?.trim().parse().ok()?;
    if seconds.is_nan() || seconds <= 0.0 {
        return None;
    }
    let limit = HOLD_OFF_LIMIT.as_secs_f64();
    Some(Duration::from_secs_f64(seconds.min(limit)))
}

fn idle_time(headers: &Headers) -> Duration {
    let seconds = headers.get_str("keep-alive").and_then(|value| {
        let mut parameters = value.split(',').map(str::trim);
        parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse().ok())
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN),
        None => IDLE_DEFAULT,
    }
}
