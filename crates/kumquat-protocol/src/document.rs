//! The `document` module provides the parts in which documents travel, and their assembly at the receiver.

use bytes::{Bytes, BytesMut};
use kumquat_state::document::DOCUMENT_LIMIT_BYTES;

use crate::wire::Document;
use crate::{Error, Result};

/// Largest part that is sent, in bytes; it fits into a frame with its head.
pub const PART: usize = 256 * 1024;

/// Most parts of one document, enough for the largest one.
pub const PART_LIMIT: u32 = 512;

/// A document of which not all parts have come yet.
#[derive(Debug, Default)]
pub struct Assembly {
    version: u64,
    parts: u32,
    next: u32,
    bytes: BytesMut,
}

impl Assembly {
    /// Returns the number of bytes that are kept.
    #[must_use]
    pub fn size(&self) -> usize {
        self.bytes.len()
    }

    /// Adds a part and returns the whole document with its last one.
    ///
    /// # Errors
    ///
    /// Returns an error if the parts come out of order, are too many or hold too many bytes.
    pub fn push(&mut self, document: &Document) -> Result<Option<Bytes>> {
        if document.part == 0 {
            self.version = document.version;
            self.parts = document.parts;
            self.next = 0;
            self.bytes.clear();
        }
        let is_expected = document.version == self.version
            && document.parts == self.parts
            && document.part == self.next;
        let is_limited = document.parts <= PART_LIMIT
            && self.bytes.len() + document.data.len() <= DOCUMENT_LIMIT_BYTES;
        if !is_expected || !is_limited || document.part >= document.parts {
            // What has come so far is of no use without the missing part.
            *self = Self::default();
            return Err(Error::malformed(
                "document part out of order or above the limits",
            ));
        }
        self.bytes.extend_from_slice(&document.data);
        self.next += 1;
        if self.next < self.parts {
            return Ok(None);
        }
        // A further part has to begin a new document.
        Ok(Some(std::mem::take(self).bytes.freeze()))
    }
}
