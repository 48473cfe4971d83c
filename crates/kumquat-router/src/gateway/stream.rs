//! The `stream` module provides responses that are relayed to the caller while they arrive.

use std::rc::Rc;

use kumquat_coordination::fleet::{AttemptOutcome, Fingerprint};
use kumquat_state::clock::{self, Instant};
use tokio::time::timeout;

use crate::errors::{Error, Result};
use crate::http::{BodyReader, HttpConnection};
use crate::upstream::BUFFERED_BODY_BYTES;
use crate::vm::{SlotPermit, Vm};

/// A response whose body is still arriving; dropping it aborts the exchange with the upstream.
#[derive(Debug)]
pub struct ResponseStream {
    pub(super) vm: Rc<Vm>,
    pub(super) attempt_id: String,
    pub(super) placed: SlotPermit,
    pub(super) wire: HttpConnection,
    pub(super) unread_body: BodyReader,
    /// Bytes that have been read from the upstream and not returned by [`Self::next_chunk`] yet.
    pub(super) buffered: Vec<u8>,
    /// Length of the complete body, if the upstream announced it.
    pub(super) content_length: Option<usize>,
    /// Time for which the connection may stay idle after the body; absent if it isn't reusable.
    pub(super) keep_alive: Option<std::time::Duration>,
    /// Outcome of the attempt as of the response head, reported if the body arrives completely.
    pub(super) outcome: AttemptOutcome,
    pub(super) deadline: Instant,
    pub(super) fingerprint: Fingerprint,
    pub(super) sent_at: Instant,
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
            let address = self.placed.upstream.address;
            self.vm
                .pool
                .borrow_mut()
                .put(address, self.wire, keep_alive);
        }
        self.vm
            .record_executed(&self.placed.upstream, || self.fingerprint, self.sent_at);
        self.placed.complete(self.outcome, None);
    }

    /// Reports a failed attempt after the body ended prematurely; the connection is closed.
    pub fn fail(self, error: &Error) {
        slog::info!(self.vm.log, "answer broken off"; "id" => &self.attempt_id,
            "upstream" => &*self.placed.upstream.name, "error" => %error);
        self.vm
            .metrics
            .attempts
            .with_label_values(&["broken"])
            .inc();
        if error.is_connection_end() {
            let (vm, upstream) = (Rc::clone(&self.vm), self.placed.upstream.clone());
            let fingerprint = self.fingerprint;
            tokio::task::spawn_local(async move {
                vm.check_upstream_end(&upstream, fingerprint).await;
            });
        }
        self.placed.complete(
            AttemptOutcome::Failed {
                relative_latency: None,
            },
            None,
        );
    }
}
