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

    /// Appends between one and `max_bytes` bytes of the body to `output`, or none if the body ends.
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
        let start = output.len();
        while output.len() == start && !self.is_complete() {
            self.read_element(connection, output, max_bytes).await?;
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
        self.state = match self.state {
            State::Complete => State::Complete,
            State::Data(remaining) => {
                if connection.unread().is_empty() {
                    fill_or_fail(connection, remaining.min(MAX_BODY_READ_BYTES)).await?;
                }
                match remaining - connection.move_unread_to(output, remaining.min(max_bytes)) {
                    0 if self.is_chunked => State::ChunkEnd,
                    0 => State::Complete,
                    remaining => State::Data(remaining),
                }
            }
            State::UntilClose => {
                if connection.unread().is_empty()
                    && connection.fill_buffer(MIN_READ_BYTES).await? == 0
                {
                    State::Complete
                } else {
                    connection.move_unread_to(output, max_bytes);
                    State::UntilClose
                }
            }
            State::ChunkSize => match read_chunk_size(connection).await? {
                0 => State::Trailers,
                size => State::Data(size),
            },
            State::ChunkEnd => {
                while connection.unread().len() < 2 {
                    fill_or_fail(connection, MIN_READ_BYTES).await?;
                }
                if !connection.unread().starts_with(b"\r\n") {
                    return Err(Error::Malformed("chunk end"));
                }
                connection.consume(2);
                State::ChunkSize
            }
            State::Trailers => {
                skip_trailers(connection).await?;
                State::Complete
            }
        };
        Ok(())
    }
}

/// Reads at least one byte into the connection's buffer; the end of the connection is an error.
async fn fill_or_fail(connection: &mut HttpConnection, min_bytes: usize) -> Result<()> {
    match connection.fill_buffer(min_bytes).await? {
        0 => Err(Error::Truncated),
        _ => Ok(()),
    }
}

/// Reads and consumes a chunk-size line.
async fn read_chunk_size(connection: &mut HttpConnection) -> Result<usize> {
    loop {
        // The parser takes a line without digits for the size 0, which ends the body.
        let first = connection.unread().first();
        if first.is_some_and(|byte| !byte.is_ascii_hexdigit()) {
            return Err(Error::Malformed("chunk size"));
        }
        match httparse::parse_chunk_size(connection.unread()) {
            Ok(httparse::Status::Complete((line_length, size))) => {
                connection.consume(line_length);
                return usize::try_from(size).map_err(|_overflow| Error::TooLarge("chunk"));
            }
            Ok(httparse::Status::Partial) if connection.unread().len() > MAX_CHUNK_LINE_BYTES => {
                return Err(Error::TooLarge("chunk head"));
            }
            Ok(httparse::Status::Partial) => fill_or_fail(connection, MIN_READ_BYTES).await?,
            Err(_) => return Err(Error::Malformed("chunk size")),
        }
    }
}

/// Reads and discards the trailer fields after the last chunk.
async fn skip_trailers(connection: &mut HttpConnection) -> Result<()> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match httparse::parse_headers(connection.unread(), &mut fields) {
            Ok(httparse::Status::Complete((length, _))) => {
                connection.consume(length);
                return Ok(());
            }
            Ok(httparse::Status::Partial)
                if connection.unread().len() > MAX_RESPONSE_HEAD_BYTES =>
            {
                return Err(Error::TooLarge("trailer"));
            }
            Ok(httparse::Status::Partial) => fill_or_fail(connection, MIN_READ_BYTES).await?,
            Err(_) => return Err(Error::Malformed("trailer")),
        }
    }
}
