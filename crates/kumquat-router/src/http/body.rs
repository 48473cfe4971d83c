//! The `body` module provides the body of a message, read part by part.

use super::connection::HttpConnection;
use super::{Framing, MAX_HEADERS, MAX_RESPONSE_HEAD_BYTES};
use crate::errors::{Error, Result};

/// Largest line that states the size of a chunk, in bytes, extensions included.
const CHUNK_LINE_LIMIT: usize = 256;

/// Most bytes that one read of a body asks for; fewer reads cost less processor time than small buffers save.
const BODY_READ_SIZE: usize = 16 * 1024;

/// Smallest room that a read of framing or of a body without a length offers, in bytes.
const FRAMING_READ_SIZE: usize = 2 * 1024;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// A line with the size of a chunk comes next.
    ChunkSize,
    /// This many bytes of the body, or of the present chunk, are left.
    Data(usize),
    /// The line end after a chunk comes next.
    ChunkEnd,
    /// Trailer fields come next.
    Trailers,
    /// The body goes on until the connection ends.
    UntilClose,
    /// The body is whole.
    Whole,
}

/// How much of a body has been read.
#[derive(Clone, Debug)]
pub struct BodyReader {
    stage: Stage,
    is_chunked: bool,
}

impl BodyReader {
    /// Starts before the first byte of a body.
    #[must_use]
    pub const fn new(framing: Framing) -> Self {
        let stage = match framing {
            Framing::Empty | Framing::Length(0) => Stage::Whole,
            Framing::Length(length) => Stage::Data(length),
            Framing::Chunked => Stage::ChunkSize,
            Framing::UntilClose => Stage::UntilClose,
        };
        Self {
            stage,
            is_chunked: matches!(framing, Framing::Chunked),
        }
    }

    /// Returns whether the body has been read to its end.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.stage == Stage::Whole
    }

    /// Returns how many more bytes the peer has announced so far.
    #[must_use]
    pub const fn announced_bytes(&self) -> usize {
        match self.stage {
            Stage::Data(left) => left,
            _ => 0,
        }
    }

    /// Appends at least one byte of the body to `part` and `room` at most, unless the body ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection ends before the body, or the body is malformed.
    pub async fn read(
        &mut self,
        wire: &mut HttpConnection,
        part: &mut Vec<u8>,
        room: usize,
    ) -> Result<()> {
        let start = part.len();
        while part.len() == start && !self.is_complete() {
            self.step(wire, part, room).await?;
        }
        Ok(())
    }

    /// Reads one element of the body: framing, or up to `room` bytes of data.
    pub(super) async fn step(
        &mut self,
        wire: &mut HttpConnection,
        part: &mut Vec<u8>,
        room: usize,
    ) -> Result<()> {
        self.stage = match self.stage {
            Stage::Whole => Stage::Whole,
            Stage::Data(left) => {
                if wire.unread().is_empty() {
                    more(wire, left.min(BODY_READ_SIZE)).await?;
                }
                match left - wire.move_to(part, left.min(room)) {
                    0 if self.is_chunked => Stage::ChunkEnd,
                    0 => Stage::Whole,
                    left => Stage::Data(left),
                }
            }
            Stage::UntilClose => {
                if wire.unread().is_empty() && wire.fill(FRAMING_READ_SIZE).await? == 0 {
                    Stage::Whole
                } else {
                    wire.move_to(part, room);
                    Stage::UntilClose
                }
            }
            Stage::ChunkSize => match chunk_size(wire).await? {
                0 => Stage::Trailers,
                size => Stage::Data(size),
            },
            Stage::ChunkEnd => {
                while wire.unread().len() < 2 {
                    more(wire, FRAMING_READ_SIZE).await?;
                }
                if !wire.unread().starts_with(b"\r\n") {
                    return Err(Error::Malformed("chunk end"));
                }
                wire.consume(2);
                Stage::ChunkSize
            }
            Stage::Trailers => {
                skip_trailers(wire).await?;
                Stage::Whole
            }
        };
        Ok(())
    }
}

async fn more(wire: &mut HttpConnection, size: usize) -> Result<()> {
    match wire.fill(size).await? {
        0 => Err(Error::Truncated),
        _ => Ok(()),
    }
}

async fn chunk_size(wire: &mut HttpConnection) -> Result<usize> {
    loop {
        match httparse::parse_chunk_size(wire.unread()) {
            Ok(httparse::Status::Complete((start, size))) => {
                wire.consume(start);
                return usize::try_from(size).map_err(|_overflow| Error::TooLarge("chunk"));
            }
            Ok(httparse::Status::Partial) if wire.unread().len() > CHUNK_LINE_LIMIT => {
                return Err(Error::TooLarge("chunk head"));
            }
            Ok(httparse::Status::Partial) => more(wire, FRAMING_READ_SIZE).await?,
            Err(_) => return Err(Error::Malformed("chunk size")),
        }
    }
}

/// Skips the trailer fields after the last chunk.
async fn skip_trailers(wire: &mut HttpConnection) -> Result<()> {
    loop {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        match httparse::parse_headers(wire.unread(), &mut fields) {
            Ok(httparse::Status::Complete((length, _))) => {
                wire.consume(length);
                return Ok(());
            }
            Ok(httparse::Status::Partial) if wire.unread().len() > MAX_RESPONSE_HEAD_BYTES => {
                return Err(Error::TooLarge("trailer"));
            }
            Ok(httparse::Status::Partial) => more(wire, FRAMING_READ_SIZE).await?,
            Err(_) => return Err(Error::Malformed("trailer")),
        }
    }
}
