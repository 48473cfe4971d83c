//! The `upstream` module provides a single exchange with an upstream, and tells whether the request may have been
//! executed.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_coordination::fleet::response::Statement;
use tokio::time::timeout;

use crate::dialect::Dialect;
use crate::errors::Error;
use crate::http::{BodyReader, Framing, Headers, HttpConnection, ResponseHead};
use crate::pool::DEFAULT_IDLE_TIMEOUT;

/// Longest time for establishing a connection; upstreams are at most a few milliseconds away.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Bytes of a response body that are buffered before the response is relayed.
///
/// A response that ends prematurely within them can still be retried or reported as failed. Longer bodies are streamed
/// with this buffer size, which bounds their memory.
pub const BUFFERED_BODY_BYTES: usize = 16 * 1024;

/// Status 421 Misdirected Request: the upstream is not the one that was expected, or does not hold the key.
pub const MISDIRECTED_STATUS: u16 = 421;

/// Status 503 Service Unavailable: the upstream has no capacity.
const UNAVAILABLE_STATUS: u16 = 503;

/// Maximum number of responses to other requests that are skipped before the exchange fails.
const MAX_SKIPPED_RESPONSES: u32 = 4;

/// Largest body of a response to another request that is skipped; a new connection costs less than reading more.
const MAX_SKIPPED_BODY_BYTES: usize = 1024 * 1024;

/// Longest backoff that an upstream can ask for with `Retry-After`.
///
/// Without the limit, a single wrong value could take an upstream out of use for hours.
const MAX_BACKOFF: Duration = Duration::from_mins(2);

/// Time before the announced idle timeout of an upstream from which its connections are no longer reused.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(1_500);

/// A serialized request to an upstream.
#[derive(Clone, Debug)]
pub struct UpstreamRequest<'a> {
    /// HTTP method; the framing of the response depends on it.
    pub method: &'a str,
    /// Head and body as they are written to the connection.
    pub bytes: &'a [u8],
    /// Attempt id that the response must repeat; absent for requests without one, whose response has none either.
    pub attempt_id: Option<&'a str>,
}

/// A response whose head and first bytes of the body have arrived.
#[derive(Clone, Debug)]
pub struct UpstreamResponse {
    /// Status line and header fields.
    pub head: ResponseHead,
    /// Bytes of the body that have been read so far.
    pub body: Vec<u8>,
    /// Decoder of the remaining body, which is still to be read from the connection.
    pub unread_body: BodyReader,
    /// Length of the complete body in bytes, if the upstream announced it.
    pub content_length: Option<usize>,
    /// Time for which the connection may stay idle after the body; absent if it isn't reusable.
    pub keep_alive: Option<Duration>,
}

/// The reason for which an exchange has no response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// No connection was established, so the request was not sent.
    #[error("no connection: {0}")]
    ConnectFailed(Error),
    /// The address refused the connection, so the request was not sent.
    #[error("connection refused")]
    ConnectionRefused,
    /// The exchange failed after the connection was established; the request may have been executed.
    #[error("no answer: {0}")]
    OutcomeUnknown(Error),
}

impl ExchangeError {
    /// Returns whether the upstream sent bytes that are no valid response, rather than nothing or an incomplete one.
    #[must_use]
    pub const fn is_malformed(&self) -> bool {
        matches!(
            self,
            Self::OutcomeUnknown(Error::Malformed(_) | Error::TooLarge(_))
        )
    }

    /// Returns whether the connection ended before a complete response, as it does when the upstream's process ends.
    #[must_use]
    pub const fn is_connection_end(&self) -> bool {
        matches!(self, Self::OutcomeUnknown(error) if error.is_connection_end())
    }
}

/// Connects to an upstream within `limit`.
///
/// # Errors
///
/// Returns [`ExchangeError::ConnectionRefused`] if the address refuses the connection, and
/// [`ExchangeError::ConnectFailed`] if no connection is established in time.
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

/// Sends a request and reads its response with at most `max_body_bytes` of the body.
///
/// # Errors
///
/// Returns [`ExchangeError::OutcomeUnknown`] if no response to this request arrives or it ends prematurely.
pub async fn exchange(
    wire: &mut HttpConnection,
    request: &UpstreamRequest<'_>,
    dialect: &Dialect,
    max_body_bytes: usize,
) -> Result<UpstreamResponse, ExchangeError> {
    let parts = [request.bytes];
    exchange_parts(
        wire,
        request.method,
        &parts,
        request.attempt_id,
        dialect,
        max_body_bytes,
    )
    .await
}

/// Sends a request whose bytes lie in several places, as [`exchange`] does.
///
/// # Errors
///
/// As for [`exchange`].
pub async fn exchange_parts(
    wire: &mut HttpConnection,
    method: &str,
    parts: &[&[u8]],
    attempt_id: Option<&str>,
    dialect: &Dialect,
    max_body_bytes: usize,
) -> Result<UpstreamResponse, ExchangeError> {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    let mut written_bytes = 0;
    for _ in 0..=MAX_SKIPPED_RESPONSES {
        let may_be_repeated = wire.has_had_response();
        let head = wire
            .write_and_read_response_head(parts, &mut written_bytes)
            .await
            .map_err(ExchangeError::OutcomeUnknown)?;
        let framing = head
            .framing(method)
            .map_err(ExchangeError::OutcomeUnknown)?;
        // A late or duplicate response to an earlier request can precede the response to this one.
        if is_for_other_request(&head, attempt_id, dialect) {
            skip_body(wire, framing)
                .await
                .map_err(ExchangeError::OutcomeUnknown)?;
            continue;
        }
        if may_be_repeated && lacks_id(&head, attempt_id, dialect) {
            let error = Error::Aborted("answer without an id on a reused connection");
            return Err(ExchangeError::OutcomeUnknown(error));
        }
        let is_written = written_bytes == length;
        let response = read_response(wire, head, framing, is_written, max_body_bytes).await;
        let mut response = response.map_err(ExchangeError::OutcomeUnknown)?;
        if announces_shutdown(&response.head, dialect) {
            response.keep_alive = None;
        }
        return Ok(response);
    }
    Err(ExchangeError::OutcomeUnknown(Error::Malformed(
        "answers to other requests",
    )))
}

/// Reads at most `max_body_bytes` of the body that follows a response head.
///
/// The connection is reusable only if the request `is_written` completely.
///
/// # Errors
///
/// Returns an error if the connection fails or the body is malformed.
pub async fn read_response(
    wire: &mut HttpConnection,
    head: ResponseHead,
    framing: Framing,
    is_written: bool,
    max_body_bytes: usize,
) -> Result<UpstreamResponse, Error> {
    let (mut body, mut unread_body) = (Vec::new(), BodyReader::new(framing));
    while !unread_body.is_complete() && body.len() < max_body_bytes {
        let max_read_bytes = max_body_bytes - body.len();
        unread_body.read(wire, &mut body, max_read_bytes).await?;
    }
    let is_reusable = head.keeps_alive(framing)
        && is_written
        && !(unread_body.is_complete() && wire.has_unread());
    let keep_alive = is_reusable.then(|| idle_timeout(&head.headers));
    Ok(UpstreamResponse {
        content_length: framing.known_length(),
        head,
        body,
        unread_body,
        keep_alive,
    })
}

/// Reads a body and discards it.
async fn skip_body(wire: &mut HttpConnection, framing: Framing) -> Result<(), Error> {
    let (mut chunk, mut unread_body, mut skipped_bytes) = (Vec::new(), BodyReader::new(framing), 0);
    while !unread_body.is_complete() {
        unread_body
            .read(wire, &mut chunk, BUFFERED_BODY_BYTES)
            .await?;
        skipped_bytes += chunk.len();
        chunk.clear();
        if skipped_bytes > MAX_SKIPPED_BODY_BYTES {
            return Err(Error::TooLarge("answer to another request"));
        }
    }
    Ok(())
}

/// Returns whether a response belongs to another request than the one with this id.
fn is_for_other_request(head: &ResponseHead, id: Option<&str>, dialect: &Dialect) -> bool {
    // A head that was cut can run into the next one, and then has the ids of both. An order has no id to repeat.
    let has_other_id =
        echoed_ids(head, dialect).any(|echoed_id| Some(echoed_id) != id.map(str::as_bytes));
    // A response without the id is accepted only if it states that the request was not executed.
    has_other_id || (lacks_id(head, id, dialect) && !is_not_executed(head, dialect))
}

/// Returns whether a response lacks an id although the request has one.
///
/// On a new connection it answers this request all the same; on others it may repeat an earlier refusal.
fn lacks_id(head: &ResponseHead, id: Option<&str>, dialect: &Dialect) -> bool {
    id.is_some() && echoed_ids(head, dialect).next().is_none()
}

/// Returns the ids in a response; an empty one, as in an answer to a request without an id, is none.
fn echoed_ids<'a>(head: &'a ResponseHead, dialect: &Dialect) -> impl Iterator<Item = &'a [u8]> {
    let ids = head.headers.get_all(dialect.attempt_id_header);
    ids.filter(|id| !id.is_empty())
}

/// Returns whether a response states that the upstream did not execute the request.
#[must_use]
pub fn is_not_executed(head: &ResponseHead, dialect: &Dialect) -> bool {
    head.status == MISDIRECTED_STATUS || head.headers.get_str(dialect.not_executed_header).is_some()
}

/// Returns what the head of a response states about the execution of the request.
#[must_use]
pub fn statement(head: &ResponseHead, dialect: &Dialect) -> Statement {
    Statement {
        status: head.status,
        is_not_executed: is_not_executed(head, dialect),
        is_signed: head.headers.get_str(dialect.signature_header).is_some(),
    }
}

/// Returns whether a response announces that the upstream is about to shut down.
#[must_use]
pub fn announces_shutdown(head: &ResponseHead, dialect: &Dialect) -> bool {
    let announcement = head.headers.get_str(dialect.leaving_header);
    announcement.is_some_and(|value| value.trim() == "1")
}

/// Returns the backoff that a 503 response requests with `Retry-After`, if the request was not executed.
///
/// Values that are not a positive number of seconds are ignored; longer ones than two minutes are capped.
#[must_use]
pub fn retry_after(head: &ResponseHead, dialect: &Dialect) -> Option<Duration> {
    if head.status != UNAVAILABLE_STATUS || !is_not_executed(head, dialect) {
        return None;
    }
    let seconds: f64 = head.headers.get_str("retry-after")?.trim().parse().ok()?;
    if seconds.is_nan() || seconds <= 0.0 {
        return None;
    }
    let max_seconds = MAX_BACKOFF.as_secs_f64();
    Some(Duration::from_secs_f64(seconds.min(max_seconds)))
}

/// Returns for how long a connection may stay idle, from the `timeout` parameter of `Keep-Alive`.
fn idle_timeout(headers: &Headers) -> Duration {
    let seconds = headers.get_str("keep-alive").and_then(|value| {
        let mut parameters = value.split(',').map(str::trim);
        parameters.find_map(|parameter| parameter.strip_prefix("timeout=")?.parse().ok())
    });
    match seconds {
        Some(seconds) => Duration::from_secs(seconds).saturating_sub(IDLE_TIMEOUT_MARGIN),
        None => DEFAULT_IDLE_TIMEOUT,
    }
}
