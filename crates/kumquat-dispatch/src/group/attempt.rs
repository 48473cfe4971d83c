//! The `attempt` module provides one try of a request at one upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::{mpsc, oneshot};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use kumquat_coordination::dispatch::Outcome;
use kumquat_coordination::grant::Reply;
use kumquat_protocol::wire::{self, Message};
use kumquat_state::ident;
use kumquat_transport::upstream::{Answer, Call, Client, Failure};

use super::request::Responder;
use crate::permit::Permit;

/// Longest pause within the body of an answer, on the side of the upstream as well as on that of the caller.
const PAUSE: Duration = Duration::from_secs(5);

/// Largest sum of an answer's header names and values in bytes.
///
/// It stays far below the largest frame of a link, which an oversized message would end with all its requests.
const HEADER_LIMIT: usize = 64 * 1024;

/// What a task reports to its group.
#[derive(Debug)]
pub enum Ended {
    /// The answer's head arrived; the group decides whether this attempt's answer counts.
    Started {
        /// The attempt.
        attempt: u64,
        /// Boot id of the upstream, if it states it.
        boot: Option<u64>,
    },
    /// An attempt ended.
    Attempt {
        /// The attempt.
        attempt: u64,
        /// How it ended.
        outcome: Outcome,
    },
    /// An order to an upstream ended, with its reply if there was one.
    Order {
        /// The upstream.
        upstream: ident::Upstream,
        /// Sequence number of the order and the reply.
        reply: (u64, Option<Reply>),
    },
}

/// The way back to the caller together with the load to report.
pub type Delivery = (Responder, wire::Load);

/// What an attempt needs.
#[derive(Debug)]
pub struct Attempt {
    /// Number of the attempt within the group.
    pub number: u64,
    /// Client of the upstream.
    pub client: Client,
    /// What is sent.
    pub call: Call,
    /// Permission to act for the group.
    pub permit: Arc<Permit>,
    /// Set when the attempt is aborted.
    pub abort: CancellationToken,
    /// Gets the way back to the caller if this attempt's answer counts.
    pub delivery: oneshot::Receiver<Delivery>,
    /// Where the end is reported.
    pub ended: mpsc::UnboundedSender<Ended>,
}

impl Attempt {
    /// Runs the attempt to its end.
    pub async fn run(self) {
        let (number, ended) = (self.number, self.ended.clone());
        let abort = self.abort.clone();
        let outcome = tokio::select! {
            biased;
            // Dropping the attempt closes the connection, which the upstream takes as a cancellation.
            () = abort.cancelled() => Outcome::Broken,
            outcome = self.exchange() => outcome,
        };
        let event = Ended::Attempt {
            attempt: number,
            outcome,
        };
        // The group ends only after its attempts, so a failure means that the process is going down.
        drop(ended.send(event));
    }

    async fn exchange(self) -> Outcome {
        // The task may have been scheduled late, so permission is checked again at the moment of sending.
        if self.permit.until().is_none() {
            return Outcome::NotConnected;
        }
        let mut answer = match self.client.send(self.call).await {
            Ok(answer) => answer,
            Err(failure) => return outcome_of(&failure),
        };
        if !is_usable(&answer) {
            return Outcome::Broken;
        }
        let started = Ended::Started {
            attempt: self.number,
            boot: answer.clock().map(|clock| clock.boot),
        };
        if self.ended.send(started).is_err() {
            return Outcome::Broken;
        }
        match self.delivery.await {
            Ok((responder, load)) => deliver(&mut answer, responder, load).await,
            Err(_) => Outcome::Broken,
        }
    }
}

/// Returns whether an answer can be passed on.
fn is_usable(answer: &Answer) -> bool {
    let size: usize = answer
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    // A switch of protocols was never asked for.
    !answer.status().is_informational() && size <= HEADER_LIMIT
}

/// Streams the answer to the caller.
async fn deliver(answer: &mut Answer, responder: Responder, load: wire::Load) -> Outcome {
    let status = answer.status();
    let headers = answer
        .headers()
        .iter()
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (name.as_str().to_owned(), value)
        })
        .collect();
    let head = Message::Answer(Box::new(wire::Answer {
        stream: responder.stream,
        status: status.as_u16(),
        headers,
        load,
    }));
    let completed = Outcome::Completed {
        status_class: u8::try_from(status.as_u16() / 100).unwrap_or(0),
    };
    if responder.link.send(head).await.is_err() {
        return Outcome::Broken;
    }

    loop {
        let chunk = timeout(PAUSE, answer.chunk()).await;
        match chunk.unwrap_or(Err(Failure::TimedOut { stage: "the body" })) {
            Ok(Some(part)) => {
                let sent = timeout(PAUSE, responder.outgoing.send(part));
                match sent.await {
                    Ok(Ok(())) => {}
                    Ok(Err(_)) => return Outcome::Broken,
                    Err(_) => {
                        // A caller that reads nothing must not hold the upstream's slot.
                        responder.outgoing.cancel().await;
                        return completed;
                    }
                }
            }
            Ok(None) => {
                // The upstream has done its work whether or not the caller still listens.
                drop(responder.outgoing.finish().await);
                return completed;
            }
            Err(failure) => {
                responder.outgoing.cancel().await;
                return outcome_of(&failure);
            }
        }
    }
}

const fn outcome_of(failure: &Failure) -> Outcome {
    match failure {
        Failure::NotConnected { .. } => Outcome::NotConnected,
        Failure::Shed { .. } => Outcome::Shed,
        Failure::Broken { .. } => Outcome::Broken,
        Failure::TimedOut { .. } => Outcome::TimedOut,
    }
}
