//! The `stream` module provides responses that are relayed to the caller while they arrive.

use std::net::SocketAddr;
use std::rc::Rc;

use kumquat_coordination::fleet::{AttemptOutcome, Fingerprint};
use kumquat_state::clock::{self, Instant};
use tokio::time::timeout;

use crate::errors::{Error, Result};
use crate::http::{BodyReader, HttpConnection};
use crate::upstream::BUFFERED_BODY_BYTES;
use crate::vm::{HelperPermit, SlotPermit, Vm};

/// A response whose body is still arriving; dropping it aborts the exchange with the upstream.
#[derive(Debug)]
pub struct ResponseStream {
    pub(super) vm: Rc<Vm>,
    pub(super) attempt_id: String,
    pub(super) source: StreamSource,
    pub(super) wire: HttpConnection,
    pub(super) unread_body: BodyReader,
    /// Bytes that have been read from the upstream and not returned by [`Self::next_chunk`] yet.
    pub(super) buffered: Vec<u8>,
    /// Length of the complete body, if the upstream announced it.
    pub(super) content_length: Option<usize>,
    /// Time for which the connection may stay idle after the body; absent if it isn't reusable.
    pub(super) keep_alive: Option<std::time::Duration>,
    pub(super) deadline: Instant,
}

/// What serves the request whose response is streamed.
#[derive(Debug)]
pub(super) enum StreamSource {
    /// An upstream.
    Upstream {
        /// Slot in which the request runs.
        placed: SlotPermit,
        /// Outcome of the attempt as of the response head, reported if the body arrives completely.
        outcome: AttemptOutcome,
        /// Content of the request.
        fingerprint: Fingerprint,
        /// When the request was sent.
        sent_at: Instant,
    },
    /// Another VM, to which the request was forwarded.
    Peer(HelperPermit),
}

impl StreamSource {
    const fn address(&self) -> SocketAddr {
        match self {
            Self::Upstream { placed, .. } => placed.upstream.address,
            Self::Peer(permit) => permit.helper.address,
        }
    }
}

impl ResponseStream {
    /// Returns the length of the complete body in bytes, unless the upstream did not announce it.
    #[must_use]
    pub const fn content_length(&self) -> Option<usize> {
        self.content_length
    }

    /// Returns the request's deadline, at which the transfer of the body is aborted.
    #[must_use]
    pub const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns the next chunk of the body, or an empty one at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body ends prematurely or the request's deadline passes.
    pub async fn next_chunk(&mut self) -> Result<Vec<u8>> {
        if self.buffered.is_empty() && !self.unread_body.is_complete() {
            let remaining = clock::now().until(self.deadline);
            // The timeout below does not fire while data is always ready to be read.
            if remaining.is_zero() {
                return Err(Error::TimedOut);
            }
            let read =
                self.unread_body
                    .read(&mut self.wire, &mut self.buffered, BUFFERED_BODY_BYTES);
            match timeout(remaining, read).await {
                Ok(read) => read?,
                Err(_elapsed) => return Err(Error::TimedOut),
            }
        }
        Ok(std::mem::take(&mut self.buffered))
    }

    /// Reports the outcome after the last chunk, and returns the connection to the pool if it is reusable.
    pub fn finish(self) {
        if let (Some(keep_alive), false) = (self.keep_alive, self.wire.has_unread()) {
            let mut pool = self.vm.pool.borrow_mut();
            pool.put(self.source.address(), self.wire, keep_alive);
        }
        if let StreamSource::Upstream {
            placed,
            outcome,
            fingerprint,
            sent_at,
        } = self.source
        {
            self.vm
                .record_executed(&placed.upstream, || fingerprint, sent_at);
            placed.complete(outcome, None);
        }
    }

    /// Reports a failed attempt after the body ended prematurely; the connection is closed.
    pub fn fail(self, error: &Error) {
        slog::info!(self.vm.log, "answer broken off"; "id" => &self.attempt_id,
            "from" => %self.source.address(), "error" => %error);
        let StreamSource::Upstream {
            placed,
            fingerprint,
            ..
        } = self.source
        else {
            return;
        };
        self.vm
            .metrics
            .attempts
            .with_label_values(&["broken"])
            .inc();
        if error.is_connection_end() {
            self.vm
                .spawn_end_check(placed.upstream.clone(), fingerprint);
        }
        placed.complete(
            AttemptOutcome::Failed {
                relative_latency: None,
            },
            None,
        );
    }
}
