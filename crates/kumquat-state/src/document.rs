//! The `document` module provides values that are stored as content-addressed chunks plus a small head.
//!
//! The chunks are written first and never change; only the head is replaced, by compare-and-swap. A reader that knows
//! some chunks fetches only the others. See `docs/design.md`, sections 2.1 and 6.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::codec;
use crate::ident;

/// Format version of heads.
pub const FORMAT: u16 = 1;

/// Most bytes in a chunk; the store takes values of up to 1 MB, and peers answer a chunk per message.
pub const CHUNK_LIMIT: usize = 512 * 1024;

/// Most bytes in a document; it holds a bundle of 1,048,576 caller keys with short names (about 110 bytes each).
pub const DOCUMENT_LIMIT: usize = 128 * 1024 * 1024;

/// Most bytes in an encoded head; 256 chunk addresses take about 9 KB.
pub const HEAD_LIMIT: usize = 16 * 1024;

/// Errors of documents.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A value is longer than its limit.
    #[error("{what} of {length} bytes is above the limit of {limit} bytes")]
    TooLong {
        /// What is too long.
        what: &'static str,
        /// Length that was found.
        length: u64,
        /// Greatest permitted length.
        limit: usize,
    },
    /// The head has a format that this build does not know.
    #[error("head has format {0}, expected {FORMAT}")]
    Format(u16),
    /// The bytes are no head.
    #[error("not a document head: {0}")]
    Decode(String),
    /// The head can't be encoded.
    #[error("document head can't be encoded: {0}")]
    Encode(String),
    /// A chunk that the head lists is absent.
    #[error("chunk {0} is missing")]
    Missing(Address),
    /// The chunks together have another length than the head says.
    #[error("chunks hold {found} bytes, the head says {expected}")]
    Length {
        /// Length in the head.
        expected: u64,
        /// Length of the chunks.
        found: u64,
    },
}

impl Error {
    fn too_long(what: &'static str, length: usize, limit: usize) -> Self {
        Self::TooLong {
            what,
            length: length as u64,
            limit,
        }
    }

    fn decode(reason: impl Into<String>) -> Self {
        Self::Decode(reason.into())
    }
}

/// Address of a chunk: the blake3 hash of its bytes.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address(#[serde(with = "serde_bytes")] [u8; 32]);

impl Address {
    /// Returns the address of `bytes`.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the key under which the store keeps the chunk.
    #[must_use]
    pub fn store_key(&self) -> String {
        format!("chunk/{self}")
    }
}

impl fmt::Display for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&codec::to_hex(&self.0))
    }
}

impl fmt::Debug for Address {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Address({self})")
    }
}

impl FromStr for Address {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        codec::from_hex(text)
            .map(Self)
            .ok_or_else(|| Error::decode("a chunk address has 64 lower-case hexadecimal digits"))
    }
}

/// Part of a document's bytes, with its address.
#[derive(Clone, PartialEq, Eq)]
pub struct Chunk {
    address: Address,
    bytes: Vec<u8>,
}

impl Chunk {
    /// Creates a chunk and computes its address, so that a chunk never has another content than its address says.
    ///
    /// # Errors
    ///
    /// Returns an error if there are more than [`CHUNK_LIMIT`] bytes.
    pub fn new(bytes: Vec<u8>) -> Result<Self, Error> {
        if bytes.len() > CHUNK_LIMIT {
            return Err(Error::too_long("chunk", bytes.len(), CHUNK_LIMIT));
        }
        let address = Address::of(&bytes);
        Ok(Self { address, bytes })
    }

    /// Returns the address.
    #[must_use]
    pub fn address(&self) -> Address {
        self.address
    }

    /// Returns the content.
    #[must_use]
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }
}

impl fmt::Debug for Chunk {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Chunk({}, {} bytes)", self.address, self.bytes.len())
    }
}

/// The part of a document that is replaced by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Format version, see [`FORMAT`].
    pub format: u16,
    /// Revision of the document; a bundle's head has the bundle's version.
    pub revision: ident::Revision,
    /// Id of the write that stored this revision.
    pub operation: ident::Operation,
    /// Length of the document in bytes.
    pub length: u64,
    /// Addresses of the chunks, in order.
    pub chunks: Vec<Address>,
    /// Address of the encoded head that this one replaced, if the document keeps a history.
    ///
    /// A writer whose answer was lost finds its operation in this chain even after others have written on top of it.
    #[serde(default)]
    pub previous: Option<Address>,
}

impl Head {
    /// Encodes the head.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoding is longer than [`HEAD_LIMIT`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = codec::encode(self).map_err(Error::Encode)?;
        if bytes.len() > HEAD_LIMIT {
            return Err(Error::too_long("document head", bytes.len(), HEAD_LIMIT));
        }
        Ok(bytes)
    }

    /// Decodes a head and checks its limits.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no head, or one of another format or beyond the limits.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > HEAD_LIMIT {
            return Err(Error::too_long("document head", bytes.len(), HEAD_LIMIT));
        }
        let head: Self = codec::decode(bytes).map_err(Error::Decode)?;
        if head.format != FORMAT {
            return Err(Error::Format(head.format));
        }
        head.check_length()?;
        Ok(head)
    }

    fn check_length(&self) -> Result<(), Error> {
        if self.length > DOCUMENT_LIMIT as u64 {
            return Err(Error::TooLong {
                what: "document",
                length: self.length,
                limit: DOCUMENT_LIMIT,
            });
        }
        // `split` fills every chunk but the last, so that the length determines the number of chunks.
        let expected = self.length.div_ceil(CHUNK_LIMIT as u64);
        if self.chunks.len() as u64 == expected {
            Ok(())
        } else {
            Err(Error::decode(format!(
                "{} chunks for {} bytes, expected {expected}",
                self.chunks.len(),
                self.length
            )))
        }
    }
}

/// Splits a document into a head and chunks.
///
/// # Errors
///
/// Returns an error if there are more than [`DOCUMENT_LIMIT`] bytes.
pub fn split(
    bytes: &[u8],
    revision: ident::Revision,
    operation: ident::Operation,
    previous: Option<Address>,
) -> Result<(Head, Vec<Chunk>), Error> {
    if bytes.len() > DOCUMENT_LIMIT {
        return Err(Error::too_long("document", bytes.len(), DOCUMENT_LIMIT));
    }
    let chunks = bytes
        .chunks(CHUNK_LIMIT)
        .map(|part| Chunk::new(part.to_vec()))
        .collect::<Result<Vec<_>, _>>()?;
    let head = Head {
        format: FORMAT,
        revision,
        operation,
        length: bytes.len() as u64,
        chunks: chunks.iter().map(Chunk::address).collect(),
        previous,
    };
    Ok((head, chunks))
}

/// Puts a document together from chunks in any order; surplus chunks are ignored.
///
/// # Errors
///
/// Returns an error if a chunk is missing or the length differs from the head's.
pub fn join(head: &Head, chunks: &[Chunk]) -> Result<Vec<u8>, Error> {
    head.check_length()?;
    let mut sorted: Vec<&Chunk> = chunks.iter().collect();
    sorted.sort_by_key(|chunk| chunk.address);

    // Memory grows with the chunks that are there, not with the length that the head claims.
    let mut bytes = Vec::new();
    for address in &head.chunks {
        let index = sorted
            .binary_search_by_key(address, |chunk| chunk.address)
            .map_err(|_absent| Error::Missing(*address))?;
        bytes.extend_from_slice(sorted[index].bytes());
    }
    if bytes.len() as u64 == head.length {
        Ok(bytes)
    } else {
        Err(Error::Length {
            expected: head.length,
            found: bytes.len() as u64,
        })
    }
}

/// Returns the chunks of the head that are not among `known`, each once, in order.
#[must_use]
pub fn missing(head: &Head, known: &[Address]) -> Vec<Address> {
    let mut seen = known.to_vec();
    seen.sort_unstable();
    let mut missing = Vec::new();
    for address in &head.chunks {
        if let Err(index) = seen.binary_search(address) {
            seen.insert(index, *address);
            missing.push(*address);
        }
    }
    missing
}
