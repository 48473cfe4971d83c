//! The `http` module provides HTTP/1.1 messages and the connection that carries them.
//!
//! A connection holds no buffer while it is idle. Parsing is `httparse`'s; this module adds framing.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::errors::{Error, Result};

/// Headers that a message may have.
const HEADER_LIMIT: usize = 100;

/// Largest head of an upstream's or store's answer, in bytes.
pub const ANSWER_HEAD_LIMIT: usize = 32 * 1024;

/// Largest line that states the size of a chunk, in bytes, extensions included.
const CHUNK_LINE_LIMIT: usize = 256;

/// Smallest room that a read offers, in bytes.
const READ_SIZE: usize = 2 * 1024;

/// Time without traffic after which the first keep-alive probe is sent, and between probes.
///
/// A path can go silent without a reset; probes show it within the time that a deadline leaves.
const KEEP_ALIVE: Duration = Duration::from_secs(1);

/// Unanswered keep-alive probes after which a connection is given up.
const KEEP_ALIVE_PROBES: u32 = 2;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name as it was received.
    pub name: String,
    /// Value without surrounding white space.
    pub value: Vec<u8>,
}

/// Header fields in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Adds a field.
    pub fn push(&mut self, name: &str, value: &str) {
        self.0.push(Header {
            name: name.to_owned(),
            value: value.as_bytes().to_vec(),
        });
    }

    /// Returns the values of a field.
    pub fn all<'a, 'n>(&'a self, name: &'n str) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        let has_name = move |header: &&Header| header.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(has_name).map(|header| &*header.value)
    }

    /// Returns the first value of a field as text.
    #[must_use]
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.all(name).next()?).ok()
    }

    /// Returns whether a field lists a token.
    #[must_use]
    pub fn lists(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| {
            let tokens = value.split(|byte| *byte == b',');
            let mut trimmed = tokens.map(<[u8]>::trim_ascii);
            trimmed.any(|value| value.eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns whether a field concerns only the connection that it came on.
    #[must_use]
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        const HOP_BY_HOP: [&str; 10] = [
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-authenticate",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        HOP_BY_HOP
            .iter()
            .any(|other| other.eq_ignore_ascii_case(name))
            || self.lists("connection", name)
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(usize),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Whether the caller speaks HTTP/1.0.
    pub is_old: bool,
    /// Header fields.
    pub headers: Headers,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerHead {
    /// Status code.
    pub status: u16,
    /// Whether the sender speaks HTTP/1.0.
    pub is_old: bool,
    /// Header fields.
    pub headers: Headers,
}

/// A connection with what was read from it and not yet used.
#[derive(Debug)]
pub struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

impl Wire {
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
        let stream = TcpStream::connect(address).await?;
        SockRef::from(&stream).set_linger(Some(Duration::ZERO))?;
        Ok(Self::new(stream))
    }

    /// Returns whether bytes are left that were read and not used.
    #[must_use]
    pub const fn has_rest(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Waits until there is something to read or the peer has closed, without holding a buffer.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn readable(&mut self) -> Result<()> {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
            self.stream.readable().await?;
        }
        Ok(())
    }

    /// Returns whether an idle connection can be used: it is open and nothing unexpected has arrived on it.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        let mut byte = [0_u8; 1];
        let waits = |error: std::io::Error| error.kind() == std::io::ErrorKind::WouldBlock;
        self.buffer.is_empty() && self.stream.try_read(&mut byte).is_err_and(waits)
    }

    /// Waits until the peer closes or resets the connection while a request of its is being answered.
    ///
    /// Bytes of a next request are kept.
    pub async fn closed(&mut self) {
        loop {
            if self.buffer.len() > ANSWER_HEAD_LIMIT {
                // A caller that sends more without reading the answer is left to flow control.
                std::future::pending::<()>().await;
            }
            match self.fill().await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    }

    async fn fill(&mut self) -> Result<usize> {
        loop {
            self.stream.readable().await?;
            self.buffer.reserve(READ_SIZE);
            match self.stream.try_read_buf(&mut self.buffer) {
                Ok(count) => return Ok(count),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Reads more of a message.
    async fn more(&mut self) -> Result<()> {
        match self.fill().await? {
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
    pub async fn request(&mut self, limit: usize) -> Result<RequestHead> {
        let mut searched = 0;
        loop {
            // A parse of an incomplete head would be repeated for each part that arrives.
            if ends_head(&self.buffer, searched) {
                let mut fields = [httparse::EMPTY_HEADER; HEADER_LIMIT];
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
                        is_old: parsed.version == Some(0),
                        headers: headers(parsed.headers),
                    };
                    self.buffer.drain(..length);
                    return Ok(head);
                }
            }
            if self.buffer.len() > limit {
                return Err(Error::TooLarge("request head"));
            }
            searched = self.buffer.len().saturating_sub(3);
            self.more().await?;
        }
    }

    /// Reads the head of an answer; interim answers are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or the head is malformed or too large.
    pub async fn answer(&mut self) -> Result<AnswerHead> {
        loop {
            if let Some(head) = self.parse_answer()? {
                if head.status >= 200 {
                    return Ok(head);
                }
                continue;
            }
            self.more().await?;
        }
    }

    fn parse_answer(&mut self) -> Result<Option<AnswerHead>> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let mut fields = [httparse::EMPTY_HEADER; HEADER_LIMIT];
        let mut parsed = httparse::Response::new(&mut fields);
        let status = parsed
            .parse(&self.buffer)
            .map_err(|_invalid| Error::Malformed("answer head"))?;
        match status {
            httparse::Status::Complete(length) => {
                let head = AnswerHead {
                    status: parsed.code.unwrap_or_default(),
                    is_old: parsed.version == Some(0),
                    headers: headers(parsed.headers),
                };
                self.buffer.drain(..length);
                Ok(Some(head))
            }
            httparse::Status::Partial if self.buffer.len() > ANSWER_HEAD_LIMIT => {
                Err(Error::TooLarge("answer head"))
            }
            httparse::Status::Partial => Ok(None),
        }
    }

    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends first, or the body is malformed or larger than `limit`.
    pub async fn body(&mut self, framing: Framing, limit: usize) -> Result<Vec<u8>> {
        match framing {
            Framing::Empty => Ok(Vec::new()),
            Framing::Length(length) => {
                if length > limit {
                    return Err(Error::TooLarge("body"));
                }
                while self.buffer.len() < length {
                    self.more_body().await?;
                }
                let rest = self.buffer.split_off(length);
                Ok(std::mem::replace(&mut self.buffer, rest))
            }
            Framing::Chunked => self.chunks(limit).await,
            Framing::UntilClose => loop {
                if self.buffer.len() > limit {
                    return Err(Error::TooLarge("body"));
                }
                if self.fill().await? == 0 {
                    return Ok(std::mem::take(&mut self.buffer));
                }
            },
        }
    }

    async fn more_body(&mut self) -> Result<()> {
        match self.fill().await? {
            0 => Err(Error::Truncated),
            _ => Ok(()),
        }
    }

    async fn chunks(&mut self, limit: usize) -> Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let (start, size) = loop {
                match httparse::parse_chunk_size(&self.buffer) {
                    Ok(httparse::Status::Complete(found)) => break found,
                    Ok(httparse::Status::Partial) if self.buffer.len() > CHUNK_LINE_LIMIT => {
                        return Err(Error::TooLarge("chunk head"));
                    }
                    Ok(httparse::Status::Partial) => self.more_body().await?,
                    Err(_) => return Err(Error::Malformed("chunk size")),
                }
            };
            let size = usize::try_from(size).map_err(|_overflow| Error::TooLarge("chunk"))?;
            if size > limit || body.len() + size > limit {
                return Err(Error::TooLarge("body"));
            }
            self.buffer.drain(..start);
            if size == 0 {
                self.trailers().await?;
                return Ok(body);
            }
            while self.buffer.len() < size + 2 {
                self.more_body().await?;
            }
            if &self.buffer[size..size + 2] != b"\r\n" {
                return Err(Error::Malformed("chunk end"));
            }
            body.extend_from_slice(&self.buffer[..size]);
            self.buffer.drain(..size + 2);
        }
    }

    /// Skips the trailer fields after the last chunk.
    async fn trailers(&mut self) -> Result<()> {
        loop {
            let mut fields = [httparse::EMPTY_HEADER; HEADER_LIMIT];
            match httparse::parse_headers(&self.buffer, &mut fields) {
                Ok(httparse::Status::Complete((length, _))) => {
                    self.buffer.drain(..length);
                    return Ok(());
                }
                Ok(httparse::Status::Partial) if self.buffer.len() > ANSWER_HEAD_LIMIT => {
                    return Err(Error::TooLarge("trailer"));
                }
                Ok(httparse::Status::Partial) => self.more_body().await?,
                Err(_) => return Err(Error::Malformed("trailer")),
            }
        }
    }

    /// Tells the peer that nothing more is written.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn shut(&mut self) -> Result<()> {
        Ok(tokio::io::AsyncWriteExt::shutdown(&mut self.stream).await?)
    }

    /// Writes all of `bytes`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn write(&self, bytes: &[u8]) -> Result<()> {
        let mut written = 0;
        while written < bytes.len() {
            written += self.write_some(&bytes[written..]).await?;
        }
        Ok(())
    }

    /// Writes some of `bytes` and returns how many.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn write_some(&self, bytes: &[u8]) -> Result<usize> {
        loop {
            match self.stream.try_write(bytes) {
                Ok(count) => return Ok(count),
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    self.stream.writable().await?;
                }
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Writes `bytes` and reads the head of an answer at the same time; returns it and how much was written.
    ///
    /// An upstream may answer before it has read a long body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the answer's head is malformed.
    pub async fn exchange(&mut self, bytes: &[u8], written: &mut usize) -> Result<AnswerHead> {
        loop {
            if *written < bytes.len() {
                match self.stream.try_write(&bytes[*written..]) {
                    Ok(count) => {
                        *written += count;
                        continue;
                    }
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {}
                    Err(error) => return Err(error.into()),
                }
                let interest = tokio::io::Interest::READABLE | tokio::io::Interest::WRITABLE;
                if !self.stream.ready(interest).await?.is_readable() {
                    continue;
                }
                self.buffer.reserve(READ_SIZE);
                match self.stream.try_read_buf(&mut self.buffer) {
                    Ok(0) => return Err(Error::Truncated),
                    Ok(_) => {}
                    Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => continue,
                    Err(error) => return Err(error.into()),
                }
                match self.parse_answer()? {
                    Some(head) if head.status >= 200 => return Ok(head),
                    _ => {}
                }
            } else {
                return self.answer().await;
            }
        }
    }
}

fn ends_head(buffer: &[u8], from: usize) -> bool {
    buffer[from..].windows(2).any(|pair| pair == b"\n\n")
        || buffer[from..].windows(3).any(|pair| pair == b"\n\r\n")
}

fn headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let fields = parsed.iter().map(|header| Header {
        name: header.name.to_owned(),
        value: header.value.trim_ascii().to_vec(),
    });
    Headers(fields.collect())
}

impl RequestHead {
    /// Returns how the end of the request's body is found.
    ///
    /// # Errors
    ///
    /// Returns an error if the fields contradict each other, which is how requests are smuggled past a router.
    pub fn framing(&self) -> Result<Framing> {
        let is_chunked = self.headers.all("transfer-encoding").next().is_some();
        let length = content_length(&self.headers)?;
        match (is_chunked, length) {
            (true, Some(_)) => Err(Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (true, None) => {
                let mut codings = self.headers.all("transfer-encoding");
                let is_plain = codings
                    .next()
                    .is_some_and(|value| value.eq_ignore_ascii_case(b"chunked"))
                    && codings.next().is_none();
                if is_plain && !self.is_old {
                    Ok(Framing::Chunked)
                } else {
                    Err(Error::Malformed("Transfer-Encoding"))
                }
            }
            (false, Some(0) | None) => Ok(Framing::Empty),
            (false, Some(length)) => Ok(Framing::Length(length)),
        }
    }

    /// Returns whether the connection stays open after the request.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        if self.is_old {
            self.headers.lists("connection", "keep-alive")
        } else {
            !self.headers.lists("connection", "close")
        }
    }
}

impl AnswerHead {
    /// Returns how the end of the answer's body is found, for a request with the given method.
    ///
    /// # Errors
    ///
    /// Returns an error if the fields contradict each other.
    pub fn framing(&self, method: &str) -> Result<Framing> {
        if method == "HEAD" || self.status == 204 || self.status == 304 {
            return Ok(Framing::Empty);
        }
        let length = content_length(&self.headers)?;
        match (self.headers.lists("transfer-encoding", "chunked"), length) {
            (true, Some(_)) => Err(Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(0)) => Ok(Framing::Empty),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }

    /// Returns whether the connection stays open after the answer.
    #[must_use]
    pub fn keeps_alive(&self, framing: Framing) -> bool {
        framing != Framing::UntilClose && !self.is_old && !self.headers.lists("connection", "close")
    }
}

fn content_length(headers: &Headers) -> Result<Option<usize>> {
    let mut values = headers.all("content-length");
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    if values.next().is_some() || !is_number {
        return Err(Error::Malformed("Content-Length"));
    }
    let text = std::str::from_utf8(first).map_err(|_invalid| Error::Malformed("Content-Length"))?;
    let length = text.parse().map_err(|_overflow| Error::TooLarge("body"))?;
    Ok(Some(length))
}
