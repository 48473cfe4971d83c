//! The `streaming` module provides the way of an answer's body from a dispatch process to the caller.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use poem::http::StatusCode;
use poem::{Body, Response};
use tokio::time::timeout;

use kumquat_protocol::wire;
use kumquat_transport::stream::Incoming;

use crate::caller;
use crate::links::{Exchange, Guard};
use crate::listener::{Answering, Caller};
use crate::metrics::Metrics;

/// What the body of an answer needs of the request's connection.
#[derive(Debug)]
pub struct Streaming {
    /// Connection of the caller, if it is known.
    pub caller: Option<Arc<Caller>>,
    /// Marks the answer as complete when the body ends.
    pub answering: Option<Answering>,
    /// Counters.
    pub metrics: Metrics,
    /// Longest pause between two parts.
    pub pause: Duration,
}

struct Source {
    incoming: Incoming,
    guard: Guard,
    // Bytes still to come, if the upstream stated the length.
    left: Option<u64>,
    // Whether the body has come to an end, good or bad.
    has_ended: bool,
    streaming: Streaming,
}

impl Drop for Source {
    fn drop(&mut self) {
        // Hyper drops the body of an answer that it can't send any more.
        if !self.has_ended {
            self.streaming.metrics.hung_up.inc();
        }
    }
}

/// Creates the response whose body streams from the dispatch process.
#[must_use]
pub fn respond(
    answer: &wire::Answer,
    exchange: Exchange,
    method: &str,
    streaming: Streaming,
) -> Response {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::builder().status(status);
    let mut length = None;
    for (name, value) in &answer.headers {
        if name == "content-length" {
            length = std::str::from_utf8(value)
                .ok()
                .and_then(|text| text.parse::<u64>().ok());
        }
        if caller::is_returned(name) {
            response = response.header(name.as_str(), value.as_ref());
        }
    }
    let Some((incoming, guard)) = exchange.into_body() else {
        return response.body(Body::empty());
    };
    let source = Source {
        incoming,
        guard,
        left: length,
        has_ended: false,
        streaming,
    };
    if method == "HEAD" || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED) {
        // Hyper drops the body of such an answer, which would cancel a request that is complete.
        let mut source = source;
        source.streaming.caller = None;
        drop(source.streaming.answering.take());
        tokio::spawn(async move {
            let mut source = Some(source);
            while let Some((_, rest)) = next_part(source.take()).await {
                source = rest;
            }
        });
        return response.body(Body::empty());
    }
    response.body(Body::from_bytes_stream(stream::unfold(
        Some(source),
        next_part,
    )))
}

/// Takes the next part of an answer; an answer that breaks off ends in an error, so that the caller sees it is not whole.
async fn next_part(source: Option<Source>) -> Option<(io::Result<Bytes>, Option<Source>)> {
    let mut source = source?;
    let part = tokio::select! {
        biased;
        part = timeout(source.streaming.pause, source.incoming.next()) => part,
        () = ended(source.streaming.caller.as_ref()) => {
            return Some((Err(io::ErrorKind::ConnectionAborted.into()), None));
        }
    };
    let error = match part {
        Ok(Ok(Some(part))) => {
            source.left = source
                .left
                .map(|left| left.saturating_sub(part.len() as u64));
            if source.left == Some(0) {
                // Hyper drops a body that has reached its stated length, before it sees the end.
                source.guard.finish();
                source.has_ended = true;
            }
            return Some((Ok(part), Some(source)));
        }
        Ok(Ok(None)) => {
            source.guard.finish();
            source.has_ended = true;
            return None;
        }
        Ok(Err(error)) => error.to_string(),
        Err(_elapsed) => "the answer's body paused for too long".to_owned(),
    };
    source.has_ended = true;
    source.streaming.metrics.broken_answers.inc();
    // Hyper drops what it has not sent when the body fails; waiting once lets the head and the parts so far go out.
    tokio::task::yield_now().await;
    if let Some(caller) = &source.streaming.caller {
        caller.cut();
    }
    Some((Err(io::Error::other(error)), None))
}

async fn ended(caller: Option<&Arc<Caller>>) {
    match caller {
        Some(caller) => caller.ended().await,
        None => std::future::pending().await,
    }
}
