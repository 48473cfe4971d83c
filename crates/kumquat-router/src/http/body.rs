//! The `body` module provides an incremental reader of message bodies.

use super::connection::HttpConnection;
use super::{Framing, MAX_HEADERS, MAX_RESPONSE_HEAD_BYTES};
use crate::errors::{Error, Result};

/// Largest chunk-size line, including chunk extensions.
const MAX_CHUNK_LINE_BYTES: usize = 256;

/// Largest buffer space that one read of a body reserves.
///
/// Fewer reads save more CPU time than smaller buffers save memory.
const MAX_BODY_READ_BYTES: usize = 16 * 1024;

/// Buffer space that is reserved for each read of chunk framing, trailers or a body without a length.
const MIN_READ_BYTES: usize = 2 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// At the line with the size of the next chunk.
    ChunkSize,
    /// Within data; this many bytes of the body or the current chunk remain.
    Data(usize),
    /// At the line end after a chunk's data.
    ChunkEnd,
    /// At the trailer fields after the last chunk.
    Trailers,
    /// Within data that ends with the connection.
    UntilClose,
    /// After the end of the body.
    Complete,
}

/// What reading the connection's buffer came to.
enum Step {
    /// An element of the body was read.
    Advanced,
    /// More input is needed, for which at least this much buffer space is to be reserved.
    NeedsInput(usize),
}

/// Reads one message body, whose length is determined by its framing.
///
/// It holds only the position in the body; the bytes come from the connection's buffer and go to the caller's.
#[derive(Clone, Debug)]
pub struct BodyReader {
    state: State,
    is_chunked: bool,
}

impl BodyReader {
    /// Creates a reader for the body that follows a head with this framing.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let state = match framing {
            Framing::Empty | Framing::Length(0) => State::Complete,
            Framing::Length(length) => State::Data(length),
            Framing::Chunked => State::ChunkSize,
            Framing::UntilClose => State::UntilClose,
        };
        Self {
            state,
            is_chunked: matches!(framing, Framing::Chunked),
        }
    }

    /// Returns whether the body has been read to its end, including any trailers.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.state == State::Complete
    }

    /// Returns how many more bytes the peer has announced: the rest of the body, or of the current chunk.
    ///
    /// It is 0 at chunk framing and in a body that ends with the connection.
    #[must_use]
    pub const fn announced_bytes(&self) -> usize {
        match self.state {
            State::Data(remaining) => remaining,
            _ => 0,
        }
    }

    /// Appends up to `max_bytes` bytes of the body to `output`: all that is buffered, and at least one unless the body ends.
    ///
    /// `max_bytes` must not be 0.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the body does, or the body is malformed.
    pub async fn read(
        &mut self,
        connection: &mut HttpConnection,
        output: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<()> {
        let end = output.len().saturating_add(max_bytes);
        let start = output.len();
        while output.len() < end && !self.is_complete() {
            match self.read_buffered(connection, output, end - output.len())? {
                Step::Advanced => {}
                Step::NeedsInput(_) if output.len() > start => break,
                Step::NeedsInput(min_bytes) => self.fill(connection, min_bytes).await?,
            }
        }
        Ok(())
    }

    /// Reads one element of the body: a piece of chunk framing, or up to `max_bytes` bytes of data.
    pub(super) async fn read_element(
        &mut self,
        connection: &mut HttpConnection,
        output: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<()> {
        while let Step::NeedsInput(min_bytes) = self.read_buffered(connection, output, max_bytes)? {
            self.fill(connection, min_bytes).await?;
        }
        Ok(())
    }

    /// Reads one element of the body, if the connection's buffer holds it.
    fn read_buffered(
        &mut self,
        connection: &mut HttpConnection,
        output: &mut Vec<u8>,
        max_bytes: usize,
    ) -> Result<Step> {
        let next = match self.state {
            State::Complete => Some(State::Complete),
            State::Data(_) | State::UntilClose if connection.unread().is_empty() => None,
            State::Data(remaining) => {
                let moved = connection.move_unread_to(output, remaining.min(max_bytes));
                Some(match remaining - moved {
                    0 if self.is_chunked => State::ChunkEnd,
                    0 => State::Complete,
                    remaining => State::Data(remaining),
                })
            }
            State::UntilClose => {
                connection.move_unread_to(output, max_bytes);
                Some(State::UntilClose)
            }
            State::ChunkSize => parse_chunk_size(connection)?.map(|size| match size {
                0 => State::Trailers,
                size => State::Data(size),
            }),
            State::ChunkEnd if connection.unread().len() < 2 => None,
            State::ChunkEnd => {
                if !connection.unread().starts_with(b"\r\n") {
                    return Err(Error::Malformed("chunk end"));
                }
                connection.consume(2);
                Some(State::ChunkSize)
            }
            State::Trailers => skip_trailers(connection)?.then_some(State::Complete),
        };
        let Some(next) = next else {
            let min_bytes = match self.state {
                State::Data(remaining) => remaining.min(MAX_BODY_READ_BYTES),
                _ => MIN_READ_BYTES,
            };
            return Ok(Step::NeedsInput(min_bytes));
        };
        self.state = next;
        Ok(Step::Advanced)
    }

    /// Reads at least one byte into the connection's buffer; the end of the connection can only end a body without a
    /// length.
    async fn fill(&mut self, connection: &mut HttpConnection, min_bytes: usize) -> Result<()> {
        match connection.fill_buffer(min_bytes).await? {
            0 if self.state == State::UntilClose => self.state = State::Complete,
            0 => return Err(Error::Truncated),
            _ => {}
        }
        Ok(())
    }
}

/// Parses and consumes a chunk-size line; returns `None` if it is incomplete.
fn parse_chunk_size(connection: &mut HttpConnection) -> Result<Option<usize>> {
    // The parser takes a line without digits for the size 0, which ends the body.
    let first = connection.unread().first();
    if first.is_some_and(|byte| !byte.is_ascii_hexdigit()) {
        return Err(Error::Malformed("chunk size"));
    }
    match httparse::parse_chunk_size(connection.unread()) {
        Ok(httparse::Status::Complete((line_length, size))) => {
            connection.consume(line_length);
            let size = usize::try_from(size).map_err(|_overflow| Error::TooLarge("chunk"))?;
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) if connection.unread().len() > MAX_CHUNK_LINE_BYTES => {
            Err(Error::TooLarge("chunk head"))
        }
        Ok(httparse::Status::Partial) => Ok(None),
        Err(_) => Err(Error::Malformed("chunk size")),
    }
}

/// Discards the trailer fields after the last chunk; returns whether they were complete.
fn skip_trailers(connection: &mut HttpConnection) -> Result<bool> {
    // Trailers that arrive byte by byte are parsed from their start each time.
    connection.count_work(connection.unread().len());
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(connection.unread(), &mut fields) {
        Ok(httparse::Status::Complete((length, _))) => {
            connection.consume(length);
            Ok(true)
        }
        Ok(httparse::Status::Partial) if connection.unread().len() > MAX_RESPONSE_HEAD_BYTES => {
            Err(Error::TooLarge("trailer"))
        }
        Ok(httparse::Status::Partial) => Ok(false),
        Err(_) => Err(Error::Malformed("trailer")),
    }
}
