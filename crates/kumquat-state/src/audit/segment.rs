//! The `segment` module provides batches of audit entries in a hash chain, which makes later changes detectable.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Entry;
use crate::codec;

/// Maximum number of entries in a segment.
pub const SEGMENT_ENTRY_LIMIT: usize = 1_024;

/// Maximum length of an encoded segment; the store accepts values of up to 1 MB.
pub const SEGMENT_LIMIT_BYTES: usize = 512 * 1024;

/// Context of the BLAKE3 key derivation, which separates segment hashes from other uses of the hash function.
const HASH_CONTEXT: &str = "kumquatpond 2026 audit segment v1";

/// Errors of creating, encoding and decoding segments.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The number of entries, given here, exceeds [`SEGMENT_ENTRY_LIMIT`].
    #[error("segment has {0} entries, at most {SEGMENT_ENTRY_LIMIT} are possible")]
    TooManyEntries(usize),
    /// The encoded length, given here in bytes, exceeds [`SEGMENT_LIMIT_BYTES`].
    #[error("segment has {0} bytes, at most {SEGMENT_LIMIT_BYTES} are possible")]
    TooLong(usize),
    /// The bytes are not the CBOR encoding of a segment.
    #[error("not an audit segment: {0}")]
    Decode(String),
    /// The segment can't be encoded as CBOR.
    #[error("audit segment can't be encoded: {0}")]
    Encode(String),
}

/// BLAKE3 hash of a segment; the default, all zeros, stands for the predecessor of the first segment.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Hash(#[serde(with = "serde_bytes")] [u8; 32]);

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&codec::to_hex(&self.0))
    }
}

impl fmt::Debug for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Hash({self})")
    }
}

/// A batch of entries that refers to the preceding segment by hash.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Sequence number in the chain, starting with 0.
    pub sequence: u64,
    /// Hash of the preceding segment; all zeros for the first segment.
    pub previous: Hash,
    /// Entries, oldest first; at most [`SEGMENT_ENTRY_LIMIT`].
    pub entries: Vec<Entry>,
    /// Hash of all other fields.
    pub hash: Hash,
}

impl Segment {
    /// Creates the segment that follows `previous`, or the first segment if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the entries exceed a limit.
    pub fn seal(previous: Option<&Self>, entries: Vec<Entry>) -> Result<Self, Error> {
        if entries.len() > SEGMENT_ENTRY_LIMIT {
            return Err(Error::TooManyEntries(entries.len()));
        }
        let sequence = previous.map_or(0, |segment| segment.sequence.saturating_add(1));
        let previous = previous.map_or_else(Hash::default, |segment| segment.hash);
        let hash = compute_hash(sequence, previous, &entries)?;
        let segment = Self {
            sequence,
            previous,
            entries,
            hash,
        };
        // Entries are small, but the length is checked nevertheless, so that no segment is created that can't be stored.
        segment.encode()?;
        Ok(segment)
    }

    /// Returns whether the stored hash matches the content.
    #[must_use]
    pub fn is_intact(&self) -> bool {
        compute_hash(self.sequence, self.previous, &self.entries) == Ok(self.hash)
    }

    /// Encodes the segment as CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoding exceeds [`SEGMENT_LIMIT_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = codec::encode(self).map_err(Error::Encode)?;
        if bytes.len() > SEGMENT_LIMIT_BYTES {
            return Err(Error::TooLong(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a segment without verifying its hash, see [`verify_chain`].
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a segment or exceed a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > SEGMENT_LIMIT_BYTES {
            return Err(Error::TooLong(bytes.len()));
        }
        let segment: Self = codec::decode(bytes).map_err(Error::Decode)?;
        if segment.entries.len() > SEGMENT_ENTRY_LIMIT {
            return Err(Error::TooManyEntries(segment.entries.len()));
        }
        Ok(segment)
    }
}

fn compute_hash(sequence: u64, previous: Hash, entries: &[Entry]) -> Result<Hash, Error> {
    let encoded = codec::encode(&entries).map_err(Error::Encode)?;
    let mut hasher = blake3::Hasher::new_derive_key(HASH_CONTEXT);
    hasher.update(&sequence.to_be_bytes());
    hasher.update(&previous.0);
    hasher.update(&encoded);
    Ok(Hash(*hasher.finalize().as_bytes()))
}

/// Returns the store key of a segment; the zero-padded number makes keys sort by sequence.
#[must_use]
pub fn store_key(sequence: u64) -> String {
    format!("audit/{sequence:020}")
}

/// The position and kind of a break in the hash chain.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum ChainError {
    /// The hash of this segment does not match its content.
    #[error("segment {0} was altered")]
    Altered(u64),
    /// Segments are missing, out of order or repeated.
    #[error("segment {found} follows where segment {expected} was expected")]
    OutOfSequence {
        /// Sequence number that should follow.
        expected: u64,
        /// Sequence number of the segment that follows.
        found: u64,
    },
    /// The hash in this segment differs from that of its predecessor.
    #[error("segment {0} is not linked to the one before it")]
    Unlinked(u64),
}

/// Verifies that segments, in order, are intact and form a chain.
///
/// The first segment may have any sequence number, since old segments may have been archived.
///
/// # Errors
///
/// Returns the first break in the chain.
pub fn verify_chain(segments: &[Segment]) -> Result<(), ChainError> {
    let mut predecessor: Option<&Segment> = None;
    for segment in segments {
        if !segment.is_intact() {
            return Err(ChainError::Altered(segment.sequence));
        }
        if let Some(predecessor) = predecessor
            && predecessor.sequence.checked_add(1) != Some(segment.sequence)
        {
            return Err(ChainError::OutOfSequence {
                expected: predecessor.sequence.saturating_add(1),
                found: segment.sequence,
            });
        }
        let expected = match predecessor {
            Some(predecessor) => Some(predecessor.hash),
            None if segment.sequence == 0 => Some(Hash::default()),
            None => None,
        };
        if expected.is_some_and(|expected| expected != segment.previous) {
            return Err(ChainError::Unlinked(segment.sequence));
        }
        predecessor = Some(segment);
    }
    Ok(())
}
