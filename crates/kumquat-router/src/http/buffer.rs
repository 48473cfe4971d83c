//! The `buffer` module provides the input of a connection that was read and not consumed yet.

/// Part of the allocation by which it grows if that is more than what is needed.
///
/// It bounds what a long head takes beyond its length, and how often its bytes are moved.
const GROWTH_DIVISOR: usize = 4;

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

    /// Returns the size of the allocation.
    pub(super) const fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Returns the size of the allocation after [`Self::reserve`] with the same argument.
    pub(super) fn capacity_with(&self, min_bytes: usize) -> usize {
        let needed = self.len().saturating_add(min_bytes);
        let capacity = self.capacity();
        if needed <= capacity {
            capacity
        } else {
            needed.max(capacity + capacity / GROWTH_DIVISOR)
        }
    }

    /// Returns the vector to which input is appended, with space for at least `min_bytes`.
    pub(super) fn reserve(&mut self, min_bytes: usize) -> &mut Vec<u8> {
        let capacity = self.capacity_with(min_bytes);
        self.bytes.drain(..self.consumed);
        self.consumed = 0;
        self.bytes.reserve_exact(capacity - self.bytes.len());
        &mut self.bytes
    }
}
