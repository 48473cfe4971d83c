//! The `render` module provides answers as bytes.

use std::time::Duration;

use crate::gateway::Response;

/// How the end of an answer's body shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// By its length.
    Length(usize),
    /// By an empty chunk.
    Chunked,
    /// By the end of the connection.
    Close,
}

/// What the connection and the request say about how an answer is written.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Whether the connection stays open.
    pub keeps_alive: bool,
    /// Whether the request asked for the head only.
    pub is_head: bool,
    /// Time after which the connection is closed if it is idle.
    pub idle: Duration,
}

/// Returns the head of an answer.
#[must_use]
pub fn head(reply: &Response, ending: Ending, shape: &Shape) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256);
    let line = format!("HTTP/1.1 {} {}\r\n", reply.status, phrase(reply.status));
    bytes.extend_from_slice(line.as_bytes());
    for header in &reply.headers.0 {
        bytes.extend_from_slice(header.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&header.value);
        bytes.extend_from_slice(b"\r\n");
    }
    let has_body = !matches!(reply.status, 204 | 304) && !shape.is_head;
    match ending {
        Ending::Length(length) if has_body => {
            bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
        }
        Ending::Chunked if has_body => bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n"),
        _ => {}
    }
    if shape.keeps_alive {
        let line = format!("Keep-Alive: timeout={}\r\n", shape.idle.as_secs());
        bytes.extend_from_slice(line.as_bytes());
    } else {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Returns an answer whose body has arrived whole.
#[must_use]
pub fn whole(reply: &Response, body: &[u8], shape: &Shape) -> Vec<u8> {
    let mut bytes = head(reply, Ending::Length(body.len()), shape);
    if !shape.is_head {
        bytes.extend_from_slice(body);
    }
    bytes
}

/// Frames a part of a body for the way in which its end shows; an empty part is the end.
#[must_use]
pub fn part(part: Vec<u8>, ending: Ending) -> Vec<u8> {
    if ending != Ending::Chunked {
        return part;
    }
    let mut bytes = format!("{:x}\r\n", part.len()).into_bytes();
    bytes.extend_from_slice(&part);
    bytes.extend_from_slice(b"\r\n");
    bytes
}

const fn phrase(status: u16) -> &'static str {
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
