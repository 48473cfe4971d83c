//! The `segment` module provides batches of entries that are linked by hashes, so that a later change is noticed.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::Entry;
use crate::codec;

/// Most entries of a segment.
pub const SEGMENT_ENTRY_LIMIT: usize = 1_024;

/// Most bytes of an encoded segment; the store takes values of up to 1 MB.
pub const SEGMENT_LIMIT: usize = 512 * 1024;

/// Separates this use of blake3 from the others.
const DOMAIN: &str = "kumquatpond 2026 audit segment v1";

/// Errors of segments.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// There are too many entries.
    #[error("segment has {0} entries, at most {SEGMENT_ENTRY_LIMIT} are possible")]
    TooMany(usize),
    /// The segment is too long.
    #[error("segment has {0} bytes, at most {SEGMENT_LIMIT} are possible")]
    TooLong(usize),
    /// The bytes are no segment.
    #[error("not an audit segment: {0}")]
    Decode(String),
    /// The segment can't be encoded.
    #[error("audit segment can't be encoded: {0}")]
    Encode(String),
}

/// Hash of a segment.
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

/// A bounded batch of entries, linked to the one before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Place in the chain, counted from 0.
    pub sequence: u64,
    /// Hash of the segment before; all zeros for the first.
    pub previous: Hash,
    /// Entries, oldest first.
    pub entries: Vec<Entry>,
    /// Hash of everything above.
    pub hash: Hash,
}

impl Segment {
    /// Creates the segment that follows `previous`, or the first one.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too many entries.
    pub fn seal(previous: Option<&Self>, entries: Vec<Entry>) -> Result<Self, Error> {
        if entries.len() > SEGMENT_ENTRY_LIMIT {
            return Err(Error::TooMany(entries.len()));
        }
        let sequence = previous.map_or(0, |segment| segment.sequence.saturating_add(1));
        let previous = previous.map_or_else(Hash::default, |segment| segment.hash);
        let hash = hash(sequence, previous, &entries)?;
        let segment = Self {
            sequence,
            previous,
            entries,
            hash,
        };
        // Entries are small, but the limit holds in any case before anyone stores the segment.
        segment.encode()?;
        Ok(segment)
    }

    /// Returns whether the hash belongs to the content.
    #[must_use]
    pub fn is_intact(&self) -> bool {
        hash(self.sequence, self.previous, &self.entries) == Ok(self.hash)
    }

    /// Encodes the segment.
    ///
    /// # Errors
    ///
    /// Returns an error if it is longer than [`SEGMENT_LIMIT`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = codec::encode(self).map_err(Error::Encode)?;
        if bytes.len() > SEGMENT_LIMIT {
            return Err(Error::TooLong(bytes.len()));
        }
        Ok(bytes)
    }

    /// Decodes a segment; whether it is intact is found by [`verify_chain`].
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no segment, or one beyond the limits.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > SEGMENT_LIMIT {
            return Err(Error::TooLong(bytes.len()));
        }
        let segment: Self = codec::decode(bytes).map_err(Error::Decode)?;
        if segment.entries.len() > SEGMENT_ENTRY_LIMIT {
            return Err(Error::TooMany(segment.entries.len()));
        }
        Ok(segment)
    }
}

fn hash(sequence: u64, previous: Hash, entries: &[Entry]) -> Result<Hash, Error> {
    let encoded = codec::encode(&entries).map_err(Error::Encode)?;
    let mut hasher = blake3::Hasher::new_derive_key(DOMAIN);
    hasher.update(&sequence.to_be_bytes());
    hasher.update(&previous.0);
    hasher.update(&encoded);
    Ok(Hash(*hasher.finalize().as_bytes()))
}

/// Returns the key under which the store keeps a segment; the digits make a listing by key a listing by sequence.
#[must_use]
pub fn store_key(sequence: u64) -> String {
    format!("audit/{sequence:020}")
}

/// A place at which the trail is not what was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Gap {
    /// A segment was changed after it was written.
    #[error("segment {0} was altered")]
    Altered(u64),
    /// One or more segments are absent, out of order or repeated.
    #[error("segment {found} follows where segment {expected} was expected")]
    Missing {
        /// Sequence that should follow.
        expected: u64,
        /// Sequence that is there.
        found: u64,
    },
    /// A segment does not follow from the one before.
    #[error("segment {0} is not linked to the one before it")]
    Unlinked(u64),
}

/// Checks that the segments are intact and follow one another.
///
/// A chain may start at any sequence, since old segments may have been moved elsewhere.
///
/// # Errors
///
/// Returns the first place at which the chain is broken.
pub fn verify_chain(segments: &[Segment]) -> Result<(), Gap> {
    let mut before: Option<&Segment> = None;
    for segment in segments {
        if !segment.is_intact() {
            return Err(Gap::Altered(segment.sequence));
        }
        if let Some(before) = before
            && before.sequence.checked_add(1) != Some(segment.sequence)
        {
            return Err(Gap::Missing {
                expected: before.sequence.saturating_add(1),
                found: segment.sequence,
            });
        }
        let expected = match before {
            Some(before) => Some(before.hash),
            None if segment.sequence == 0 => Some(Hash::default()),
            None => None,
        };
        if expected.is_some_and(|expected| expected != segment.previous) {
            return Err(Gap::Unlinked(segment.sequence));
        }
        before = Some(segment);
    }
    Ok(())
}
