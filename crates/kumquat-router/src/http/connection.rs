//! The `wire` module provides a connection that carries HTTP/1.1 messages.
//!
//! A connection holds no buffer while it is idle.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::io::Interest;
use tokio::net::TcpStream;

use super::body::BodyReader;
use super::{Framing, MAX_HEADERS, MAX_RESPONSE_HEAD_BYTES, RequestHead, ResponseHead, to_headers};
use crate::errors::{Error, Result};

/// Smallest room that a read of a head offers, in bytes.
const READ_SIZE: usize = 2 * 1024;

/// Bytes of later requests that are kept while earlier ones are answered.
const UNREAD_LIMIT: usize = 32 * 1024;

/// Interval at which bytes beyond the limit are dropped, [`READ_SIZE`] at most at a time.
///
/// The end of a connection can only be seen behind its bytes; the interval bounds the processor time that this takes.
const DROP_INTERVAL: Duration = Duration::from_millis(2);

/// Interim answers that may precede an answer; servers send one or two.
const INTERIM_LIMIT: u32 = 8;

/// Time without traffic after which the first keep-alive probe is sent, and between probes.
///
/// A path can go silent without a reset; probes show it within the time that a deadline leaves.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection is given up.
const KEEP_ALIVE_PROBES: u32 = 2;

/// A request's head that has arrived and is not yet consumed.
#[derive(Clone, Debug)]
pub struct PeekedRequest {
    /// The head.
    pub head: RequestHead,
    /// Its length in bytes.
    pub length: usize,
}

/// A connection with what was read from it and not yet used.
#[derive(Debug)]
pub struct HttpConnection {
    stream: TcpStream,
    buffer: Vec<u8>,
    has_discarded: bool,
}

impl HttpConnection {
    /// Takes over a connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        let socket = SockRef::from(&stream);
        let keep_alive = TcpKeepalive::new()
            .with_time(KEEP_ALIVE)
            .with_interval(KEEP_ALIVE)
            .with_retries(KEEP_ALIVE_PROBES);
        // A connection without these options works, only less well.
        let _unsupported = socket.set_tcp_keepalive(&keep_alive);
        let _unsupported = socket.set_tcp_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
            has_discarded: false,
        }
    }

    /// Connects to an address; the connection is reset when it is dropped.
    ///
    /// What was sent before a partition would otherwise arrive after it, long after the sender has given it up.
    ///
    /// # Errors
    ///
    /// Returns an error if no connection is established.
    pub async fn connect(address: SocketAddr) -> Result<Self> {
        let wire = Self::new(TcpStream::connect(address).await?);
        wire.reset_on_drop()?;
        Ok(wire)
    }

    /// Makes the connection end with a reset, so that what was sent on it does not look complete.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket does not take the option.
    pub fn reset_on_drop(&self) -> Result<()> {
        Ok(SockRef::from(&self.stream).set_linger(Some(Duration::ZERO))?)
    }

    /// Returns whether bytes are left that were read and not used.
    #[must_use]
    pub const fn has_unread(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether bytes of the peer were dropped, so that nothing more can be read on this connection.
    #[must_use]
    pub const fn has_discarded(&self) -> bool {
        self.has_discarded
    }

    /// Returns the bytes that were read and not used.
    pub(super) fn unread(&self) -> &[u8] {
        &self.buffer
    }

    /// Drops the first unread bytes.
    pub fn consume(&mut self, length: usize) {
        self.buffer.drain(..length);
    }

    /// Moves up to `most` unread bytes to `part` and returns how many.
    pub(super) fn move_to(&mut self, part: &mut Vec<u8>, most: usize) -> usize {
        let count = most.min(self.buffer.len());
        if part.is_empty() && count == self.buffer.len() {
            std::mem::swap(part, &mut self.buffer);
        } else {
            part.extend(self.buffer.drain(..count));
        }
        count
    }

    /// Waits until there is something to read or the peer has closed, without holding a buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn wait_readable(&mut self) -> Result<()> {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
            self.stream.readable().await?;
        }
        Ok(())
    }

    /// Returns whether an idle connection can be used: it is open and nothing unexpected has arrived on it.
    #[must_use]
    pub fn is_reusable(&self) -> bool {
        let mut byte = [0_u8; 1];
        let waits = |error: std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
        self.buffer.is_empty() && self.stream.try_read(&mut byte).is_err_and(waits)
    }

    /// Waits until the peer closes or resets the connection while a request of its is being answered.
    ///
    /// Bytes of later requests are kept.
    pub async fn wait_closed(&mut self) {
        while self.read_ahead().await {}
    }

    /// Waits for more bytes of the peer; returns whether it is still there.
    ///
    /// What comes beyond a limit is dropped.
    pub async fn read_ahead(&mut self) -> bool {
        let kept = self.buffer.len();
        if kept >= UNREAD_LIMIT {
            tokio::time::sleep(DROP_INTERVAL).await;
        }
        let is_there = matches!(self.fill(READ_SIZE).await, Ok(1..));
        if kept >= UNREAD_LIMIT && is_there {
            self.has_discarded = true;
            self.buffer.truncate(kept);
        }
        is_there
    }

    /// Reads and drops what the peer sends until it closes the connection.
    pub async fn discard_until_closed(&mut self) {
        self.buffer = Vec::new();
        while matches!(self.fill(READ_SIZE).await, Ok(1..)) {
            self.buffer.clear();
        }
    }

    /// Reads once, with room for `size` bytes; returns how many have come, none at the end of the connection.
    pub(super) async fn fill(&mut self, size: usize) -> Result<usize> {
        loop {
            self.stream.readable().await?;
            self.buffer.reserve(size);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(count) => return Ok(count),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Reads more of a head.
    async fn more(&mut self) -> Result<()> {
        match self.fill(READ_SIZE).await? {
            0 if self.buffer.is_empty() => Err(Error::Closed),
            0 => Err(Error::Truncated),
            _ => Ok(()),
        }
    }

    /// Reads the head of a request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or the head is malformed or larger than `limit`.
    pub async fn read_request_head(&mut self, limit: usize) -> Result<RequestHead> {
        let mut searched = 0;
        loop {
            if let Some(request) = self.peek_request_head(searched, limit)? {
                self.consume(request.length);
                return Ok(request.head);
            }
            searched = self.buffer.len().saturating_sub(3);
            self.more().await?;
        }
    }

    /// Returns the head of the next request if it has arrived whole; its end is looked for from `searched` on.
    ///
    /// # Errors
    ///
    /// Returns an error if the head is malformed or larger than `limit`.
    pub fn peek_request_head(
        &self,
        searched: usize,
        limit: usize,
    ) -> Result<Option<PeekedRequest>> {
        // A parse of an incomplete head would be repeated for each part that arrives.
        if ends_head(&self.buffer, searched) {
            let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
            let mut parsed = httparse::Request::new(&mut fields);
            let status = parsed
                .parse(&self.buffer)
                .map_err(|_invalid| Error::Malformed("request head"))?;
            if let httparse::Status::Complete(length) = status {
                if length > limit {
                    return Err(Error::TooLarge("request head"));
                }
                let head = RequestHead {
                    method: parsed.method.unwrap_or_default().to_owned(),
                    target: parsed.path.unwrap_or_default().to_owned(),
                    is_http_1_0: parsed.version == Some(0),
                    headers: to_headers(parsed.headers),
                };
                return Ok(Some(PeekedRequest { head, length }));
            }
        }
        if self.buffer.len() > limit {
            return Err(Error::TooLarge("request head"));
        }
        Ok(None)
    }

    /// Reads the head of an answer; interim answers are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or the head is malformed or too large.
    pub async fn read_response_head(&mut self) -> Result<ResponseHead> {
        // All of the request is written already.
        self.write_and_read_response_head(&[], &mut 0).await
    }

    /// Writes `bytes` and reads the head of an answer at the same time; `written` counts what was written.
    ///
    /// An upstream may answer before it has read a long body. Interim answers are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the answer's head is malformed or too large.
    pub async fn write_and_read_response_head(
        &mut self,
        bytes: &[u8],
        written: &mut usize,
    ) -> Result<ResponseHead> {
        let mut searched = 0;
        let mut interim = 0;
        loop {
            while let Some(head) = self.parse_answer(searched)? {
                if head.status >= 200 {
                    return Ok(head);
                }
                searched = 0;
                interim += 1;
                if interim > INTERIM_LIMIT {
                    return Err(Error::Malformed("too many interim answers"));
                }
            }
            searched = self.buffer.len().saturating_sub(3);
            if *written < bytes.len() {
                self.write_or_fill(bytes, written).await?;
            } else {
                self.more().await?;
            }
        }
    }

    /// Writes some of `bytes`, or reads something if the peer sends before it takes more.
    async fn write_or_fill(&mut self, bytes: &[u8], written: &mut usize) -> Result<()> {
        match self.stream.try_write(&bytes[*written..]) {
            Ok(count) => {
                *written += count;
                return Ok(());
            }
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error.into()),
        }
        let interest = Interest::READABLE | Interest::WRITABLE;
        if !self.stream.ready(interest).await?.is_readable() {
            return Ok(());
        }
        self.buffer.reserve(READ_SIZE);
        match self.stream.try_read_buf(&mut self.buffer) {
            Ok(0) => Err(Error::Truncated),
            Ok(_) => Ok(()),
            Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error.into()),
        }
    }

    fn parse_answer(&mut self, searched: usize) -> Result<Option<ResponseHead>> {
        // A head that comes byte by byte is parsed when it may be whole, and once to see whether it is HTTP at all.
        if self.buffer.is_empty() || (searched > 0 && !ends_head(&self.buffer, searched)) {
            return self.check_answer_size().map(|()| None);
        }
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed
            .parse(&self.buffer)
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
            httparse::Status::Partial => self.check_answer_size().map(|()| None),
        }
    }

    const fn check_answer_size(&self) -> Result<()> {
        if self.buffer.len() > MAX_RESPONSE_HEAD_BYTES {
            return Err(Error::TooLarge("answer head"));
        }
        Ok(())
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or the body is malformed or larger than `limit`.
    pub async fn read_body(&mut self, framing: Framing, limit: usize) -> Result<Vec<u8>> {
        let mut whole = Vec::new();
        let mut body = BodyReader::new(framing);
        while !body.is_complete() {
            if body.announced_bytes() > limit || whole.len() + body.announced_bytes() > limit {
                return Err(Error::TooLarge("body"));
            }
            let room = limit + 1 - whole.len();
            body.step(self, &mut whole, room).await?;
            if whole.len() > limit {
                return Err(Error::TooLarge("body"));
            }
        }
        Ok(whole)
    }

    /// Tells the peer that nothing more is written.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn shutdown_write(&mut self) -> Result<()> {
        Ok(tokio::io::AsyncWriteExt::shutdown(&mut self.stream).await?)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn write_all(&self, bytes: &[u8]) -> Result<()> {
        let mut written = 0;
        while written < bytes.len() {
            match self.stream.try_write(&bytes[written..]) {
                Ok(count) => written += count,
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                }
                Err(error) => return Err(error.into()),
            }
        }
        Ok(())
    }
}

fn ends_head(buffer: &[u8], from: usize) -> bool {
    buffer[from..].windows(2).any(|pair| pair == b"\n\n")
        || buffer[from..].windows(3).any(|pair| pair == b"\n\r\n")
}
