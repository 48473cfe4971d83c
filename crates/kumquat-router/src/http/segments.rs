//! The `segments` module provides complete bodies of requests.

use super::RequestHead;
use crate::errors::Result;
use crate::intake::Hold;

/// Size of a segment, and largest buffer space that one read of a body reserves.
const SEGMENT_BYTES: usize = 16 * 1024;

/// Size of the first segment of a body that announces less or nothing.
const MIN_SEGMENT_BYTES: usize = 1024;

/// A body that is held in segments, so that it grows without being copied and takes hardly more memory than its length.
#[derive(Debug, Default)]
pub struct Body {
    segments: Vec<Vec<u8>>,
    // Sums over the segments but the last.
    full_length: usize,
    full_capacity: usize,
    // Memory of the request's head, which is held as long as the body.
    head_bytes: usize,
    // What head and segments take of the memory for callers, if that is counted.
    hold: Option<Hold>,
}

impl Body {
    /// Creates an empty body whose memory, with that of the head before it, is counted by `hold`.
    #[must_use]
    pub fn new(head: &RequestHead, hold: Option<Hold>) -> Self {
        Self {
            head_bytes: head.memory_bytes(),
            hold,
            ..Self::default()
        }
    }

    /// Returns the length in bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.full_length + self.segments.last().map_or(0, Vec::len)
    }

    /// Returns whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes in their order.
    pub fn slices(&self) -> impl Iterator<Item = &[u8]> {
        self.segments.iter().map(Vec::as_slice)
    }

    /// Returns the last segment, which has space for at least one byte; `announced` bytes are known to follow.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory for callers is exhausted.
    pub(super) fn space(&mut self, announced: usize) -> Result<&mut Vec<u8>> {
        // The segment may have been exchanged for the connection's buffer by the last read.
        self.update_hold(0)?;
        let last = self.segments.last();
        if last.is_none_or(|last| last.len() == last.capacity()) {
            let min = if last.is_none() {
                MIN_SEGMENT_BYTES
            } else {
                SEGMENT_BYTES
            };
            let size = announced.clamp(min, SEGMENT_BYTES);
            self.update_hold(size)?;
            if let Some(last) = self.segments.last() {
                self.full_length += last.len();
                self.full_capacity += last.capacity();
            }
            self.segments.push(Vec::with_capacity(size));
        }
        let last = self.segments.len() - 1;
        Ok(&mut self.segments[last])
    }

    /// Counts the memory of the head, the segments and `further` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the memory for callers is exhausted.
    pub fn update_hold(&mut self, further: usize) -> Result<()> {
        let last = self.segments.last().map_or(0, Vec::capacity);
        let capacity = self.head_bytes + self.full_capacity + last + further;
        self.hold.as_mut().map_or(Ok(()), |hold| hold.set(capacity))
    }
}
