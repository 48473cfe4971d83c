//! The `render` module encodes responses to callers as HTTP/1.1.

use std::time::Duration;

use crate::gateway::Response;

/// How the length of a response's body is conveyed to the caller.
///
/// [`crate::http::Framing`] is the counterpart for received messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By a `Content-Length` field with this value.
    Length(usize),
    /// By the chunked transfer coding.
    Chunked,
    /// By closing the connection after the body.
    UntilClose,
}

/// Properties of the connection and the request that affect how a response is encoded.
#[derive(Clone, Copy, Debug)]
pub struct ResponseOptions {
    /// Whether the connection stays open after the response.
    pub keeps_alive: bool,
    /// Whether the request's method is `HEAD`, so that the response has no body.
    pub is_head: bool,
    /// Time after which an idle connection is closed, announced in the `Keep-Alive` field.
    pub idle_timeout: Duration,
}

/// Encodes the head of a response.
#[must_use]
pub fn encode_head(response: &Response, framing: Framing, options: &ResponseOptions) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    let status_line = format!(
        "HTTP/1.1 {} {}\r\n",
        response.status,
        reason_phrase(response.status)
    );
    bytes.extend_from_slice(status_line.as_bytes());
    for header in &response.headers.0 {
        bytes.extend_from_slice(header.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&header.value);
        bytes.extend_from_slice(b"\r\n");
    }
    let has_body = !matches!(response.status, 204 | 304) && !options.is_head;
    match framing {
        Framing::Length(length) if has_body => {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        Framing::Chunked if has_body => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        _ => {}
    }
    if options.keeps_alive {
        let keep_alive = format!("Keep-Alive: timeout={}\r\n", options.idle_timeout.as_secs());
        bytes.extend_from_slice(keep_alive.as_bytes());
    } else {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Encodes a response whose complete body is in memory.
#[must_use]
pub fn encode_response(response: &Response, body: &[u8], options: &ResponseOptions) -> Vec<u8> {
    let mut bytes = encode_head(response, Framing::Length(body.len()), options);
    if !options.is_head {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// Encodes a piece of a body; with the chunked coding an empty piece is the last chunk.
#[must_use]
pub fn encode_body_part(part: Vec<u8>, framing: Framing) -> Vec<u8> {
    if framing != Framing::Chunked {
        return part;
    }
    let mut bytes = format!("{:x}\r\n", part.len()).into_bytes();
    bytes.extend_from_slice(&part);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}
