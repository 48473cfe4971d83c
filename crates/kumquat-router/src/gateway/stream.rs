//! The `stream` module provides answers that are passed on while they arrive.

use std::rc::Rc;

use kumquat_coordination::fleet::AttemptOutcome;
use kumquat_state::clock::{self, Instant};
use tokio::time::timeout;

use crate::errors::{Error, Result};
use crate::http::{BodyReader, HttpConnection};
use crate::upstream::BUFFERED_BODY_BYTES;
use crate::vm::{SlotPermit, Vm};

/// An answer whose body is still arriving; dropping it breaks the exchange with the upstream off.
#[derive(Debug)]
pub struct ResponseStream {
    pub(super) vm: Rc<Vm>,
    pub(super) id: String,
    pub(super) placed: SlotPermit,
    pub(super) wire: HttpConnection,
    pub(super) rest: BodyReader,
    /// What has arrived and was not taken yet.
    pub(super) part: Vec<u8>,
    /// Length of the whole body, if the upstream announced it.
    pub(super) length: Option<usize>,
    /// Time for which the connection may stay idle after the body, if it can be used again.
    pub(super) idle: Option<std::time::Duration>,
    /// How the upstream has done up to the head of its answer.
    pub(super) ended: AttemptOutcome,
    pub(super) deadline: Instant,
}

impl ResponseStream {
    /// Returns the length of the whole body, if it is known.
    #[must_use]
    pub const fn content_length(&self) -> Option<usize> {
        self.length
    }

    /// Returns the time at which the rest of the body is given up.
    #[must_use]
    pub const fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Takes the next part of the body, which is empty at its end.
    ///
    /// # Errors
    ///
    /// Returns an error if the body breaks off or the request's deadline passes.
    pub async fn next_chunk(&mut self) -> Result<Vec<u8>> {
        if self.part.is_empty() && !self.rest.is_complete() {
            let left = clock::now().until(self.deadline);
            // A time-out alone never fires while there is always something to read.
            if left.is_zero() {
                return Err(Error::TimedOut);
            }
            let read = self
                .rest
                .read(&mut self.wire, &mut self.part, BUFFERED_BODY_BYTES);
            match timeout(left, read).await {
                Ok(read) => read?,
                Err(_elapsed) => return Err(Error::TimedOut),
            }
        }
        Ok(std::mem::take(&mut self.part))
    }

    /// Concludes the exchange with the upstream after the last part.
    pub fn finish(self) {
        if let (Some(idle), false) = (self.idle, self.wire.has_unread()) {
            let address = self.placed.upstream.address;
            self.vm.pool.borrow_mut().put(address, self.wire, idle);
        }
        self.placed.complete(self.ended, None);
    }

    /// Concludes the exchange after the body broke off.
    pub fn fail(self, error: &Error) {
        slog::info!(self.vm.log, "answer broken off"; "id" => &self.id,
            "upstream" => &*self.placed.upstream.name, "error" => %error);
        self.vm
            .metrics
            .attempts
            .with_label_values(&["broken"])
            .inc();
        self.placed.complete(
            AttemptOutcome::Failed {
                relative_latency: None,
            },
            None,
        );
    }
}
