//! The `connection` module provides a TCP connection that carries HTTP/1.1 messages.
//!
//! A connection holds no buffer while it is idle.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_coordination::fleet::input::ELEMENT_WORK;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use super::body::BodyReader;
use super::buffer::ReadBuffer;
use super::segments::Body;
use super::{Framing, MAX_HEADERS, MAX_RESPONSE_HEAD_BYTES, RequestHead, ResponseHead, to_headers};
use crate::errors::{Error, Result};
use crate::input::Meter;
use crate::intake::Hold;

mod read;
mod write;

/// Buffer space that is reserved for each read of a head.
const MIN_READ_BYTES: usize = 2 * 1024;

/// Largest number of slices that one write takes; more of them would not fit into the kernel's buffer.
const MAX_WRITTEN_SLICES: usize = 16;

/// Largest number of interim (1xx) responses before a final response; servers send one or two.
const MAX_INTERIM_RESPONSES: u32 = 8;

/// Lowest status of a final response (RFC 9110, section 15).
const FIRST_FINAL_STATUS: u16 = 200;

/// Highest valid status (RFC 9110, section 15).
///
/// A response with a higher one is malformed like one below 100: passed on with its signature, it would look like a failure
/// that callers have no class for.
const LAST_STATUS: u16 = 599;

/// Idle time before the first TCP keep-alive probe, and interval between probes.
///
/// A network path can fail without a reset. Probes at this interval detect that before the deadlines of requests pass.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unacknowledged keep-alive probes after which the kernel closes a connection.
const KEEP_ALIVE_PROBES: u32 = 2;

/// The head of a request that is still in the connection's buffer.
#[derive(Clone, Debug)]
pub struct PeekedRequest {
    /// The parsed head.
    pub head: RequestHead,
    /// Length of the head in bytes; [`HttpConnection::consume`] takes it to remove the request from the buffer.
    pub head_length: usize,
}

/// A TCP connection with the bytes that were read from it and not consumed yet.
///
/// Each read and write counts towards the budget of its task. A peer that always sends, or always reads, would otherwise
/// keep the event loop from all other tasks, because the socket's own non-blocking calls do not count.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: ReadBuffer,
    // Bytes read and written that do not count towards the budget of the task yet.
    uncharged_bytes: usize,
    has_discarded_input: bool,
    has_had_response: bool,
    // What the buffer takes of the memory for callers; absent on connections to upstreams.
    hold: Option<Hold>,
    // The work of the input; absent on connections to upstreams.
    meter: Option<Meter>,
}

impl HttpConnection {
    /// Wraps a connected stream and enables keep-alive probes and `TCP_NODELAY`.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let socket = SockRef::from(&stream);
        let keep_alive = TcpKeepalive::new()
            .with_time(KEEP_ALIVE_INTERVAL)
            .with_interval(KEEP_ALIVE_INTERVAL)
            .with_retries(KEEP_ALIVE_PROBES);
        // The connection also works without these options, but detects failures later and sends with more delay.
        let _unsupported = socket.set_tcp_keepalive(&keep_alive);
        let _unsupported = socket.set_tcp_nodelay(true);
        Self {
            stream,
            buffer: ReadBuffer::default(),
            uncharged_bytes: 0,
            has_discarded_input: false,
            has_had_response: false,
            hold: None,
            meter: None,
        }
    }

    /// Connects to an address; the connection is reset when it is dropped, and has no keep-alive probes.
    ///
    /// Without the reset the kernel would keep retransmitting unacknowledged data during a network partition and
    /// deliver it afterwards, long after the sender has abandoned the request. A connection that the kernel has given up
    /// can't be reset any more, so that probes are for idle ones only, see [`HttpConnection::set_keep_alive`].
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let connection = Self::new(TcpStream::connect(address).await?);
        connection.reset_on_drop()?;
        connection.set_keep_alive(false);
        Ok(connection)
    }

    /// Counts the memory of the connection's buffer and the work of its input from now on.
    pub fn set_bounds(&mut self, hold: Hold, meter: Meter) {
        self.hold = Some(hold);
        self.meter = Some(meter);
    }

    /// Ends the input of a request, whether it was complete or not; other connections may then process theirs.
    pub fn end_request_input(&mut self) {
        if let Some(meter) = &mut self.meter {
            meter.end_request();
        }
    }

    /// Counts work of the input beyond that of reading it.
    pub(super) fn count_work(&mut self, work: usize) {
        if let Some(meter) = &mut self.meter {
            meter.count(work);
        }
    }

    /// Ends the turn of this connection, which nothing may wait with.
    fn end_turn(&mut self) {
        if let Some(meter) = &mut self.meter {
            meter.end_turn();
        }
    }

    /// Drops the unread input and the memory that it takes.
    pub fn release_buffer(&mut self) {
        self.buffer = ReadBuffer::default();
        self.shrink_hold();
    }

    /// Counts the memory of the buffer after it has become smaller.
    fn shrink_hold(&mut self) {
        if let Some(hold) = &mut self.hold {
            hold.shrink_to(self.buffer.capacity());
        }
    }

    /// Starts or stops the keep-alive probes, by which the kernel closes a connection whose path has failed.
    pub fn set_keep_alive(&self, is_enabled: bool) {
        // Without probes, a failed connection is detected by the timeout of the next request.
        let _unsupported = SockRef::from(&self.stream).set_keepalive(is_enabled);
    }

    /// Makes the connection end with a reset when it is dropped, so that the peer does not take what it has received
    /// for complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket option can't be set.
    pub fn reset_on_drop(&self) -> Result<()> {
        Ok(SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?)
    }

    /// Returns whether the buffer contains unconsumed bytes.
    #[must_use]
    pub const fn has_unread(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether input beyond the read-ahead limit was discarded, after which no further request can be read.
    #[must_use]
    pub const fn has_discarded_input(&self) -> bool {
        self.has_discarded_input
    }

    /// Returns whether a final response was read from the connection, which the peer may repeat.
    #[must_use]
    pub const fn has_had_response(&self) -> bool {
        self.has_had_response
    }

    /// Returns the bytes that were read and not consumed.
    pub(super) fn unread(&self) -> &[u8] {
        self.buffer.unread()
    }

    /// Removes `length` bytes from the front of the buffer.
    pub fn consume(&mut self, length: usize) {
        self.buffer.consume(length);
        // A wait for a turn that was dropped has left its input counted.
        self.shrink_hold();
    }

    /// Moves up to `max_bytes` unread bytes to the end of `output`; returns how many.
    pub(super) fn move_unread_to(&mut self, output: &mut Vec<u8>, max_bytes: usize) -> usize {
        let count = self.buffer.move_to(output, max_bytes);
        self.shrink_hold();
        count
    }

    /// Waits until bytes can be read or the peer closes the connection, without holding a buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn wait_readable(&mut self) -> Result<()> {
        if self.buffer.is_empty() {
            self.release_buffer();
            // `readable` also returns for a new connection without input.
            self.stream.peek(&mut [0_u8]).await?;
        }
        Ok(())
    }

    /// Returns whether an idle connection can be used again: it is open and no unsolicited bytes have arrived on it.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0_u8; 1];
        let would_block = |error: std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
        self.buffer.is_empty() && self.stream.try_read(&mut byte).is_err_and(would_block)
    }

    /// Reads more bytes of a head.
    async fn read_more_of_head(&mut self) -> Result<()> {
        match self.fill_buffer(MIN_READ_BYTES).await? {
            0 if self.buffer.is_empty() => Err(Error::Closed),
            0 => Err(Error::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads and consumes the head of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or the head is malformed or longer than `max_bytes`.
    pub async fn read_request_head(&mut self, max_bytes: usize) -> Result<RequestHead> {
        let mut search_from = 0;
        loop {
            if let Some(request) = self.peek_request_head(search_from, max_bytes)? {
                self.consume(request.head_length);
                return Ok(request.head);
            }
            search_from = self.buffer.len().saturating_sub(3);
            self.read_more_of_head().await?;
        }
    }

    /// Parses the head of the next request without consuming it; returns `None` if it is incomplete.
    ///
    /// The end of the head is searched for from the index `search_from` of the buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or longer than `max_bytes`.
    pub fn peek_request_head(
        &self,
        search_from: usize,
        max_bytes: usize,
    ) -> Result<Option<PeekedRequest>> {
        // Parsing an incomplete head would start over with each packet that arrives.
        if contains_head_end(self.unread(), search_from) {
            let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Request::new(&mut fields);
            let status = parsed
                .parse(self.unread())
                .map_err(|_invalid| Error::Malformed("request head"))?;
            if let httparse::Status::Complete(head_length) = status {
                if head_length > max_bytes {
                    return Err(Error::TooLarge("request head"));
                }
                let head = RequestHead {
                    method: parsed.method.unwrap_or_default().to_owned(),
                    target: parsed.path.unwrap_or_default().to_owned(),
                    is_http_1_0: parsed.version == Some(0),
                    headers: to_headers(parsed.headers),
                };
                return Ok(Some(PeekedRequest { head, head_length }));
            }
        }
        if self.buffer.len() > max_bytes {
            return Err(Error::TooLarge("request head"));
        }
        Ok(None)
    }

    /// Reads the head of a response; interim responses are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or the head is malformed or longer than
    /// [`MAX_RESPONSE_HEAD_BYTES`].
    pub async fn read_response_head(&mut self) -> Result<ResponseHead> {
        // The request has been written completely.
        self.write_and_read_response_head(&[], &mut 0).await
    }

    /// Writes the bytes of all `parts` from the index `written` on and reads the head of a response at the same time.
    ///
    /// An upstream may respond before it has read a long body, so this returns as soon as the head of the response is
    /// complete; `written` then tells how much was sent. Interim responses are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails, or the head is malformed or longer than [`MAX_RESPONSE_HEAD_BYTES`].
    pub async fn write_and_read_response_head(
        &mut self,
        parts: &[&[u8]],
        written: &mut usize,
    ) -> Result<ResponseHead> {
        let length = parts.iter().map(|part| part.len()).sum();
        let mut search_from = 0;
        let mut interim_responses = 0;
        loop {
            while let Some(head) = self.parse_response_head(search_from)? {
                match head.status {
                    FIRST_FINAL_STATUS..=LAST_STATUS => {
                        self.has_had_response = true;
                        return Ok(head);
                    }
                    // Status 101 is never asked for, and what follows it would not be HTTP.
                    100 | 102..FIRST_FINAL_STATUS => {}
                    _ => return Err(Error::Malformed("answer status")),
                }
                search_from = 0;
                interim_responses += 1;
                if interim_responses > MAX_INTERIM_RESPONSES {
                    return Err(Error::Malformed("too many interim answers"));
                }
            }
            search_from = self.buffer.len().saturating_sub(3);
            if *written < length {
                self.write_or_read(parts, written).await?;
            } else {
                self.read_more_of_head().await?;
            }
        }
    }

    fn parse_response_head(&mut self, search_from: usize) -> Result<Option<ResponseHead>> {
        // The first bytes are parsed at once, so that a peer that does not speak HTTP is rejected early. After that the
        // head is parsed only when it may be complete, as it can arrive byte by byte.
        if self.buffer.is_empty()
            || (search_from > 0 && !contains_head_end(self.unread(), search_from))
        {
            return self.check_response_head_size().map(|()| None);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed
            .parse(self.unread())
            .map_err(|_invalid| Error::Malformed("answer head"))?;
        match status {
            httparse::Status::Complete(length) => {
                let head = ResponseHead {
                    status: parsed.code.unwrap_or_default(),
                    is_http_1_0: parsed.version == Some(0),
                    headers: to_headers(parsed.headers),
                };
                self.consume(length);
                Ok(Some(head))
            }
            httparse::Status::Partial => self.check_response_head_size().map(|()| None),
        }
    }

    const fn check_response_head_size(&self) -> Result<()> {
        if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
            return Err(Error::TooLarge("answer head"));
        }
        Ok(())
    }

    /// Reads a complete body into memory.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or the body is malformed or longer than `max_bytes`. A length
    /// above the limit is refused when the peer announces it, before those bytes are read.
    pub async fn read_body(&mut self, framing: Framing, max_bytes: usize) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        let mut reader = BodyReader::new(framing);
        while !reader.is_complete() {
            if body.len().saturating_add(reader.announced_bytes()) > max_bytes {
                return Err(Error::TooLarge("body"));
            }
            let max_read_bytes = max_bytes.saturating_add(1) - body.len();
            reader.read_element(self, &mut body, max_read_bytes).await?;
            if body.len() > max_bytes {
                return Err(Error::TooLarge("body"));
            }
        }
        Ok(body)
    }

    /// Reads a complete body to the end of `body`, which is empty.
    ///
    /// # Errors
    ///
    /// As for [`Self::read_body`], and if the memory for callers is exhausted.
    pub async fn read_body_segments(
        &mut self,
        framing: Framing,
        max_bytes: usize,
        body: &mut Body,
    ) -> Result<()> {
        let mut reader = BodyReader::new(framing);
        while !reader.is_complete() {
            let announced = reader.announced_bytes();
            if body.len().saturating_add(announced) > max_bytes {
                return Err(Error::TooLarge("body"));
            }
            let max_read_bytes = max_bytes.saturating_add(1) - body.len();
            let segment = body.space(announced)?;
            let room = segment.capacity() - segment.len();
            reader
                .read_element(self, segment, room.min(max_read_bytes))
                .await?;
            self.count_work(ELEMENT_WORK);
            if body.len() > max_bytes {
                return Err(Error::TooLarge("body"));
            }
        }
        body.update_hold(0)
    }
}

/// Returns whether the buffer contains the empty line that ends a head, from an index on.
fn contains_head_end(buffer: &[u8], search_from: usize) -> bool {
    buffer[search_from..].windows(2).any(|pair| pair == b"\n\n")
        || buffer[search_from..]
            .windows(3)
            .any(|pair| pair == b"\n\r\n")
}
