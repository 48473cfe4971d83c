//! The `buffer` module provides the input of a connection that was read and not consumed yet.

/// Input of a connection, whose consumption takes time in proportion to what is consumed.
///
/// A chunked body can be framed in chunks of one byte, so that moving the rest of the input after each of them would take
/// most of the processor time.
#[derive(Debug, Default)]
pub(super) struct ReadBuffer {
    bytes: Vec<u8>,
    // Length of the consumed part at the front of `bytes`; zero if everything is consumed.
    consumed: usize,
}

impl ReadBuffer {
    /// Returns the bytes that are not consumed.
    pub(super) fn unread(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Returns the number of bytes that are not consumed.
    pub(super) const fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Returns whether everything is consumed.
    pub(super) const fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Consumes `length` bytes at the front.
    pub(super) fn consume(&mut self, length: usize) {
        self.consumed += length.min(self.len());
        if self.is_empty() {
            self.bytes.clear();
            self.consumed = 0;
        }
    }

    /// Moves up to `max_bytes` bytes to the end of `output`; returns how many.
    pub(super) fn move_to(&mut self, output: &mut Vec<u8>, max_bytes: usize) -> usize {
        let count = max_bytes.min(self.len());
        if output.is_empty() && self.consumed == 0 && count == self.len() {
            std::mem::swap(output, &mut self.bytes);
        } else {
            output.extend_from_slice(&self.unread()[..count]);
            self.consume(count);
        }
        count
    }

    /// Returns the vector to which input is appended, with space for at least `min_bytes`.
    pub(super) fn reserve(&mut self, min_bytes: usize) -> &mut Vec<u8> {
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.reserve(min_bytes);
        &mut self.bytes
    }

    /// Drops all but the first `length` bytes that are not consumed.
    pub(super) fn truncate(&mut self, length: usize) {
        self.bytes.truncate(self.consumed + length);
    }

    /// Drops all input and keeps the memory.
    pub(super) fn clear(&mut self) {
        self.bytes.clear();
        self.consumed = 0;
    }
}
