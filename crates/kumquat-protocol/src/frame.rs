//! The `frame` module provides the authenticated framing of messages on one connection.
//!
//! Each frame is a 16-byte digest followed by the CBOR message. The digest covers an implicit counter under a key of this
//! connection and direction, so that a frame can be neither altered nor replayed, reordered or moved to another
//! connection. See `docs/design.md`, section 8.

use subtle::ConstantTimeEq;

use crate::errors::{Error, Result};
use crate::wire::Message;

/// Largest frame in bytes; it holds one chunk of a document and its envelope.
pub const LIMIT: usize = 640 * 1024;

/// Length of the digest at the head of each frame, in bytes.
const TAG: usize = 16;

/// Capacity of a new frame in bytes; the heads of most requests and answers fit without another allocation.
const CAPACITY: usize = 1024;

/// Size of the decoder's buffer in bytes; longer texts are decoded in pieces.
const SCRATCH: usize = 4096;

/// Seals the messages of one direction of a connection.
#[derive(Debug)]
pub struct Sealer {
    key: Key,
    counter: u64,
}

/// Opens the messages of one direction of a connection.
#[derive(Debug)]
pub struct Opener {
    key: Key,
    counter: u64,
    // Kept between frames, because clearing a new one costs more than decoding a short message.
    scratch: Scratch,
}

/// Buffer of the decoder.
struct Scratch(Box<[u8]>);

impl std::fmt::Debug for Scratch {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Scratch(..)")
    }
}

/// Key of one direction of a connection.
pub(crate) struct Key(pub(crate) [u8; 32]);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Sealer {
    pub(crate) const fn new(key: Key) -> Self {
        Self { key, counter: 0 }
    }

    /// Encodes and seals a message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Oversized`] if the frame would exceed [`LIMIT`].
    pub fn seal(&mut self, message: &Message) -> Result<Vec<u8>> {
        // The digest is written over the placeholder once the message is encoded behind it.
        let mut frame = Vec::with_capacity(CAPACITY);
        frame.resize(TAG, 0);
        ciborium::into_writer(message, &mut frame)
            .map_err(|error| Error::malformed(error.to_string()))?;
        if frame.len() > LIMIT {
            return Err(Error::oversized(frame.len(), LIMIT));
        }

        let tag = tag(&self.key, self.counter, &frame[TAG..]);
        frame[..TAG].copy_from_slice(&tag);
        self.counter += 1;
        Ok(frame)
    }
}

impl Opener {
    pub(crate) fn new(key: Key) -> Self {
        Self {
            key,
            counter: 0,
            scratch: Scratch(vec![0; SCRATCH].into()),
        }
    }

    /// Checks and decodes a frame.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Oversized`], [`Error::Authentication`] or [`Error::Malformed`]; the connection can't be used
    /// after any of them.
    pub fn open(&mut self, frame: &[u8]) -> Result<Message> {
        if frame.len() > LIMIT {
            return Err(Error::oversized(frame.len(), LIMIT));
        }
        let Some((tag_bytes, body)) = frame.split_at_checked(TAG) else {
            return Err(Error::malformed("frame shorter than its digest"));
        };

        let expected = tag(&self.key, self.counter, body);
        if !bool::from(expected.ct_eq(tag_bytes)) {
            return Err(Error::authentication("frame digest does not match"));
        }
        self.counter += 1;

        ciborium::de::from_reader_with_buffer(body, &mut self.scratch.0)
            .map_err(|error| Error::malformed(error.to_string()))
    }
}

fn tag(key: &Key, counter: u64, body: &[u8]) -> [u8; TAG] {
    let mut hasher = blake3::Hasher::new_keyed(&key.0);
    hasher.update(&counter.to_le_bytes());
    hasher.update(body);
    let mut tag = [0; TAG];
    tag.copy_from_slice(&hasher.finalize().as_bytes()[..TAG]);
    tag
}
