//! The `read` module provides the input of a connection: what is buffered or discarded, in which turns and within which memory.

use std::time::Duration;

use kumquat_coordination::fleet::intake::UNREAD_BYTES;
use tokio::task::coop::consume_budget;

use super::{HttpConnection, MIN_READ_BYTES};
use crate::errors::{Error, Result};
use crate::input::Meter;
use crate::intake::Hold;

/// Largest amount of pipelined requests that is buffered while earlier requests are being served.
const MAX_READ_AHEAD_BYTES: usize = 32 * 1024;

/// Largest amount of input that one read discards.
///
/// With reads of 2 KB, a disconnect behind 256 KB of unread input was noticed only after more than 200 ms.
const MAX_DISCARD_BYTES: usize = 16 * 1024;

/// Bytes read or written that count as one unit of the budget of a task, which has 128 of them before it yields.
///
/// It bounds the time for which a connection with endless input keeps other tasks waiting, whatever the size of its reads.
const BYTES_PER_BUDGET_UNIT: usize = 1024;

/// Interval between the reads that discard input beyond [`MAX_READ_AHEAD_BYTES`].
///
/// The end of a connection shows only after all bytes before it were read. The interval bounds the CPU time of reading
/// and discarding what a caller keeps sending.
const DISCARD_INTERVAL: Duration = Duration::from_millis(2);

impl HttpConnection {
    /// Waits until the peer closes or resets the connection, while its request is being served.
    ///
    /// Pipelined requests that arrive in the meantime are buffered as by [`Self::read_ahead`].
    pub async fn wait_closed(&mut self) {
        while self.read_ahead().await {}
    }

    /// Waits for more bytes from the peer; returns false once it has closed or reset the connection.
    ///
    /// Input beyond a limit is discarded, so that buffering is bounded and a close is still detected.
    pub async fn read_ahead(&mut self) -> bool {
        let is_open = self.read_ahead_or_discard().await;
        self.end_turn();
        is_open
    }

    async fn read_ahead_or_discard(&mut self) -> bool {
        if self.buffer.len() >= MAX_READ_AHEAD_BYTES || self.has_discarded_input {
            return self.discard_ahead().await;
        }
        // A request that is being served is never evicted, so that what lies behind it may not use up the memory.
        let count_if_free = |hold: &mut Hold, bytes: usize| {
            let is_raised = hold.raise_if_free(bytes);
            is_raised.then_some(()).ok_or(Error::Exhausted)
        };
        match self.fill_counted(MIN_READ_BYTES, count_if_free).await {
            Ok(count) => count > 0,
            Err(Error::Exhausted) => self.discard_ahead().await,
            Err(_) => false,
        }
    }

    /// Waits for bytes that can't be buffered and discards them; returns false at the end of the connection.
    async fn discard_ahead(&mut self) -> bool {
        tokio::time::sleep(DISCARD_INTERVAL).await;
        let is_open = matches!(self.discard().await, Ok(1..));
        self.has_discarded_input |= is_open;
        is_open
    }

    /// Reads and discards bytes without holding a buffer; returns their number, 0 at the end of the stream.
    async fn discard(&mut self) -> Result<usize> {
        loop {
            self.wait_for_bytes().await?;
            self.begin_turn().await;
            if let Some(count) = self.try_discard()? {
                return Ok(count);
            }
        }
    }

    /// Discards what can be read; returns the number of bytes, 0 at the end of the stream and `None` if there is no input.
    fn try_discard(&mut self) -> Result<Option<usize>> {
        match self.stream.try_read(&mut [0_u8; MAX_DISCARD_BYTES]) {
            Ok(count) => {
                self.count_read(count);
                Ok(Some(count))
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                self.end_turn();
                Ok(None)
            }
            Err(error) => Err(error.into()),
        }
    }

    /// Reads and discards input until the peer closes the connection.
    ///
    /// It also returns if there is so much input that it would delay that of other connections.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn discard_until_closed(&mut self) -> Result<()> {
        self.release_buffer();
        loop {
            self.wait_for_bytes().await?;
            if self.meter.as_ref().is_some_and(Meter::delays_others) {
                return Ok(());
            }
            self.begin_turn().await;
            if self.try_discard()? == Some(0) {
                return Ok(());
            }
        }
    }

    /// Counts a read or write, and the bytes of those before it, towards the budget of the task.
    pub(super) async fn charge(&mut self) {
        for _ in 0..=std::mem::take(&mut self.uncharged_bytes) / BYTES_PER_BUDGET_UNIT {
            consume_budget().await;
        }
    }

    /// Counts bytes that were read towards the budget of the task and the work of the connection.
    fn count_read(&mut self, bytes: usize) {
        self.uncharged_bytes += bytes;
        if let Some(meter) = &mut self.meter {
            meter.count_read(bytes);
        }
    }

    /// Waits until there is input or the end of it.
    ///
    /// A turn that has begun is kept only while there is more input.
    async fn wait_for_bytes(&mut self) -> Result<()> {
        self.charge().await;
        std::future::poll_fn(|context| {
            let ready = self.stream.poll_read_ready(context);
            if ready.is_pending() {
                self.end_turn();
            }
            ready
        })
        .await?;
        Ok(())
    }

    /// Waits until this connection may process its input.
    async fn begin_turn(&mut self) {
        if let Some(meter) = &mut self.meter {
            meter.admit().await;
        }
    }

    /// Reads once, with buffer space for at least `min_bytes`; returns the number of bytes, 0 at the end of the stream.
    pub(in crate::http) async fn fill_buffer(&mut self, min_bytes: usize) -> Result<usize> {
        self.fill_counted(min_bytes, Hold::set).await
    }

    /// Reads once as [`Self::fill_buffer`] does, after `count` has counted the memory that the buffer takes then.
    ///
    /// While the connection waits for its turn, its input in the kernel is counted too.
    async fn fill_counted(
        &mut self,
        min_bytes: usize,
        count: impl Fn(&mut Hold, usize) -> Result<()>,
    ) -> Result<usize> {
        loop {
            self.wait_for_bytes().await?;
            if self.meter.as_ref().is_some_and(Meter::has_to_wait)
                && let Some(hold) = &mut self.hold
            {
                count(hold, self.buffer.capacity().saturating_add(UNREAD_BYTES))?;
            }
            self.begin_turn().await;
            self.shrink_hold();
            if let Some(hold) = &mut self.hold {
                count(hold, self.buffer.capacity_with(min_bytes))?;
            }
            match self.stream.try_read_buf(self.buffer.reserve(min_bytes)) {
                Ok(count) => {
                    self.count_read(count);
                    return Ok(count);
                }
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => self.end_turn(),
                Err(error) => return Err(error.into()),
            }
        }
    }
}
