//! The `request` module provides a request as the group task holds it, and the way back to its caller.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::stream;

use kumquat_coordination::dispatch;
use kumquat_protocol::wire::{self, Load, Message, Outcome, Reason, Refusal};
use kumquat_state::bundle::ServiceKind;
use kumquat_state::clock::Instant;
use kumquat_transport::stream::{Incoming, Outgoing};
use kumquat_transport::upstream::Body;
use kumquat_transport::{Error, link};

use super::Token;

/// Bytes of a body that are collected so that the request can be sent again.
const REPLAY_LIMIT: usize = 64 * 1024;

/// A request that has just arrived.
#[derive(Debug)]
pub struct Pending {
    /// Head of the request.
    pub request: Box<wire::Request>,
    /// Body of the request.
    pub payload: Payload,
    /// Way back to the caller.
    pub responder: Responder,
    /// Identity for cancellation.
    pub token: Token,
    /// When the answer has to be there.
    pub deadline: Instant,
}

/// A request that is waiting or running.
#[derive(Debug)]
pub struct Open {
    /// Id within the group.
    pub id: u64,
    /// Head of the request.
    pub request: Arc<wire::Request>,
    /// Body of the request.
    pub payload: Payload,
    /// Way back to the caller until the answer is under way.
    pub responder: Option<Responder>,
    /// Identity for cancellation.
    pub token: Token,
}

impl Open {
    /// Keeps a request that was accepted.
    #[must_use]
    pub fn new(id: u64, pending: Pending) -> Self {
        Self {
            id,
            request: Arc::from(pending.request),
            payload: pending.payload,
            responder: Some(pending.responder),
            token: pending.token,
        }
    }
}

/// Body of a request.
#[derive(Clone, Debug)]
pub enum Payload {
    /// The whole body; it can be sent again.
    Whole(Bytes),
    /// The first part and the rest that is still to come; it can be sent once.
    Streaming(Bytes, Arc<Mutex<Option<Incoming>>>),
}

impl Payload {
    /// Collects a body as far as it is kept for another attempt.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off.
    pub async fn collect(mut incoming: Incoming) -> Result<Self, Error> {
        let mut first = BytesMut::new();
        while first.len() < REPLAY_LIMIT {
            match incoming.next().await? {
                Some(part) => first.extend_from_slice(&part),
                None => return Ok(Self::Whole(first.freeze())),
            }
        }
        let rest = Arc::new(Mutex::new(Some(incoming)));
        Ok(Self::Streaming(first.freeze(), rest))
    }

    /// Returns whether the body can be sent again.
    #[must_use]
    pub const fn is_replayable(&self) -> bool {
        matches!(self, Self::Whole(_))
    }

    /// Returns the body for an attempt, or none if it has been used up.
    #[must_use]
    pub fn body(&self) -> Option<Body> {
        match self {
            Self::Whole(bytes) if bytes.is_empty() => Some(Body::default()),
            Self::Whole(bytes) => Some(Body::from(bytes.clone())),
            Self::Streaming(first, rest) => {
                let rest = rest.lock().unwrap_or_else(PoisonError::into_inner).take()?;
                let state = (Some(first.clone()), rest);
                Some(Body::stream(stream::unfold(state, next_part)))
            }
        }
    }
}

async fn next_part(
    (first, mut rest): (Option<Bytes>, Incoming),
) -> Option<(Result<Bytes, Error>, (Option<Bytes>, Incoming))> {
    if let Some(first) = first {
        return Some((Ok(first), (None, rest)));
    }
    match rest.next().await {
        Ok(Some(part)) => Some((Ok(part), (None, rest))),
        Ok(None) => None,
        Err(error) => Some((Err(error), (None, rest))),
    }
}

/// Way back to the caller of a request.
#[derive(Debug)]
pub struct Responder {
    /// Link to the entry.
    pub link: link::Sender,
    /// Stream of the request.
    pub stream: u64,
    /// Body of the answer.
    pub outgoing: Outgoing,
    /// Ends the stream's place in the connection's table.
    pub closer: Closer,
}

/// Removes the stream from its connection's table when the request is answered.
#[derive(Debug)]
pub struct Closer {
    /// Table of the connection.
    pub streams: Arc<crate::streams::Streams>,
    /// Stream of the request.
    pub stream: u64,
}

impl Drop for Closer {
    fn drop(&mut self) {
        self.streams.remove(self.stream);
    }
}

impl Responder {
    /// Tells the caller that the request is refused.
    pub fn refuse(self, reason: Reason, outcome: Outcome, retry_after: Duration, load: Load) {
        let refusal = Refusal {
            stream: self.stream,
            reason,
            outcome,
            retry_after_ms: u32::try_from(retry_after.as_millis()).unwrap_or(u32::MAX),
            load,
        };
        let message = Message::Refusal(refusal);
        // A full queue must not hold up the group's other requests.
        if self.link.try_send(message.clone()).is_err() && !self.link.is_closed() {
            tokio::spawn(async move { drop(self.link.send(message).await) });
        }
    }
}

/// Returns the reason as it travels to the entry.
#[must_use]
pub const fn wire_reason(reason: dispatch::RefusalReason, kind: ServiceKind) -> Reason {
    use dispatch::RefusalReason as From;
    match (reason, kind) {
        (From::Overload | From::Deadline, _) => Reason::Deadline,
        (From::QueueFull, _) => Reason::QueueFull,
        // The entry may not know yet that the data centre is out; it must not count this against the other groups.
        (From::Withdrawn, _) => Reason::Draining,
        (From::Stopping, _) => Reason::NotActing,
        // The owner of a key is the only one that can answer; the entry waits for its successor.
        (From::NoUpstream | From::Shed | From::NotConnected, ServiceKind::Keyed) => Reason::NoOwner,
        (From::NoUpstream | From::Shed | From::NotConnected, ServiceKind::Pool) => {
            Reason::Unavailable
        }
        (From::Broken | From::Cancelled, _) => Reason::Broken,
    }
}

/// Returns the name of a reason in metrics.
#[must_use]
pub const fn reason_name(reason: Reason) -> &'static str {
    match reason {
        Reason::NotActing => "not-acting",
        Reason::NoOwner => "no-owner",
        Reason::QueueFull => "queue-full",
        Reason::Deadline => "deadline",
        Reason::Draining => "draining",
        Reason::Unavailable => "unavailable",
        Reason::Broken => "broken",
        Reason::OverRate => "over-rate",
        Reason::PeerLost => "peer-lost",
    }
}
