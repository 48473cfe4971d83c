//! The `document` module provides documents: values that are stored as content-addressed chunks and a small head.
//!
//! Chunks are immutable and written first; then the head is replaced by compare-and-swap. A reader that already has some
//! of the chunks fetches only the others. See `docs/design.md`, sections 2.1 and 6.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::codec;
use crate::ident;

/// Format version of document heads; [`Head::decode`] rejects all others.
pub const FORMAT_VERSION: u16 = 1;

/// Maximum length of a chunk; the store accepts values of up to 1 MB, and peers send one chunk per message.
pub const CHUNK_LIMIT_BYTES: usize = 512 * 1024;

/// Maximum length of a document; sufficient for a bundle of 1,048,576 caller keys with short names (about 110 bytes
/// each).
pub const DOCUMENT_LIMIT_BYTES: usize = 128 * 1024 * 1024;

/// Maximum length of an encoded head; the 256 chunk addresses of the longest document take about 9 KB.
pub const HEAD_LIMIT_BYTES: usize = 16 * 1024;

/// Errors of encoding, decoding, splitting and joining documents.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A chunk, head or document exceeds its limit.
    #[error("{kind} of {length} bytes is above the limit of {limit} bytes")]
    TooLong {
        /// Kind of the value, such as `chunk`.
        kind: &'static str,
        /// Actual length, in bytes.
        length: u64,
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The head has a format version other than [`FORMAT_VERSION`].
    #[error("head has format {0}, expected {FORMAT_VERSION}")]
    UnsupportedFormat(u16),
    /// The bytes are not a head, or the text is not a chunk address.
    #[error("not a document head: {0}")]
    Decode(String),
    /// The head can't be encoded as CBOR.
    #[error("document head can't be encoded: {0}")]
    Encode(String),
    /// A chunk that the head lists was not supplied.
    #[error("chunk {0} is missing")]
    MissingChunk(Address),
    /// The total length of the chunks differs from the length in the head.
    #[error("chunks hold {found} bytes, the head says {expected}")]
    LengthMismatch {
        /// Length in the head, in bytes.
        expected: u64,
        /// Total length of the chunks, in bytes.
        found: u64,
    },
}

impl Error {
    fn too_long(kind: &'static str, length: usize, limit: usize) -> Self {
        Self::TooLong {
            kind,
            length: length as u64,
            limit,
        }
    }

    fn decode(reason: impl Into<String>) -> Self {
        Self::Decode(reason.into())
    }
}

/// Address of a chunk: the BLAKE3 hash of its content.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Address(#[serde(with = "serde_bytes")] [u8; 32]);

impl Address {
    /// Computes the address of a chunk with this content.
    #[must_use]
    pub fn of(bytes: &[u8]) -> Self {
        Self(*blake3::hash(bytes).as_bytes())
    }

    /// Returns the store key of the chunk.
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

/// A part of a document with its address.
#[derive(Clone, PartialEq, Eq)]
pub struct Chunk {
    address: Address,
    bytes: Vec<u8>,
}

impl Chunk {
    /// Creates a chunk and computes its address, which thus always matches the content.
    ///
    /// # Errors
    ///
    /// Returns an error if the content exceeds [`CHUNK_LIMIT_BYTES`].
    pub fn new(bytes: Vec<u8>) -> Result<Self, Error> {
        if bytes.len() > CHUNK_LIMIT_BYTES {
            return Err(Error::too_long("chunk", bytes.len(), CHUNK_LIMIT_BYTES));
        }
        let address = Address::of(&bytes);
        Ok(Self { address, bytes })
    }

    /// Returns the hash of the content.
    #[must_use]
    pub fn address(&self) -> Address {
        self.address
    }

    /// Returns the content, of at most [`CHUNK_LIMIT_BYTES`].
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

/// Metadata of a document and the list of its chunks, replaced by compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// Format version, see [`FORMAT_VERSION`].
    pub format: u16,
    /// Revision of the document; for bundles, the version of the bundle.
    pub revision: ident::Revision,
    /// Id of the write that stored this revision.
    pub operation: ident::Operation,
    /// Length of the document, in bytes.
    pub length: u64,
    /// Addresses of the chunks, in the order of the document; an address can occur more than once.
    pub chunks: Vec<Address>,
    /// Address of the encoded head that this one replaced, or none for the first one and for documents without history.
    ///
    /// By following these addresses, a writer whose response was lost finds its operation even after later writes.
    #[serde(default)]
    pub previous: Option<Address>,
}

impl Head {
    /// Encodes the head as CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if the encoding exceeds [`HEAD_LIMIT_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        let bytes = codec::encode(self).map_err(Error::Encode)?;
        if bytes.len() > HEAD_LIMIT_BYTES {
            return Err(Error::too_long(
                "document head",
                bytes.len(),
                HEAD_LIMIT_BYTES,
            ));
        }
        Ok(bytes)
    }

    /// Decodes a head and checks that its length and number of chunks are consistent and within the limits.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a head, or if it has another format, is inconsistent or exceeds a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        if bytes.len() > HEAD_LIMIT_BYTES {
            return Err(Error::too_long(
                "document head",
                bytes.len(),
                HEAD_LIMIT_BYTES,
            ));
        }
        let head: Self = codec::decode(bytes).map_err(Error::Decode)?;
        if head.format != FORMAT_VERSION {
            return Err(Error::UnsupportedFormat(head.format));
        }
        head.check_length()?;
        Ok(head)
    }

    fn check_length(&self) -> Result<(), Error> {
        if self.length > DOCUMENT_LIMIT_BYTES as u64 {
            return Err(Error::TooLong {
                kind: "document",
                length: self.length,
                limit: DOCUMENT_LIMIT_BYTES,
            });
        }
        // `split` fills all chunks except the last, so the length determines the number of chunks.
        let expected = self.length.div_ceil(CHUNK_LIMIT_BYTES as u64);
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

/// Splits a document into chunks and creates the head that lists them.
///
/// All chunks except the last have the maximum length.
///
/// # Errors
///
/// Returns an error if the document exceeds [`DOCUMENT_LIMIT_BYTES`].
pub fn split(
    bytes: &[u8],
    revision: ident::Revision,
    operation: ident::Operation,
    previous: Option<Address>,
) -> Result<(Head, Vec<Chunk>), Error> {
    if bytes.len() > DOCUMENT_LIMIT_BYTES {
        return Err(Error::too_long(
            "document",
            bytes.len(),
            DOCUMENT_LIMIT_BYTES,
        ));
    }
    let chunks = bytes
        .chunks(CHUNK_LIMIT_BYTES)
        .map(|part| Chunk::new(part.to_vec()))
        .collect::<Result<Vec<_>, _>>()?;
    let head = Head {
        format: FORMAT_VERSION,
        revision,
        operation,
        length: bytes.len() as u64,
        chunks: chunks.iter().map(Chunk::address).collect(),
        previous,
    };
    Ok((head, chunks))
}

/// Reassembles a document from its chunks, which can be in any order; chunks that the head does not list are ignored.
///
/// # Errors
///
/// Returns an error if a chunk is missing or the total length differs from the one in the head.
pub fn join(head: &Head, chunks: &[Chunk]) -> Result<Vec<u8>, Error> {
    head.check_length()?;
    let mut sorted: Vec<&Chunk> = chunks.iter().collect();
    sorted.sort_by_key(|chunk| chunk.address);

    // Allocates according to the chunks that were supplied, not to the length in the head, which may be forged.
    let mut bytes = Vec::new();
    for address in &head.chunks {
        let index = sorted
            .binary_search_by_key(address, |chunk| chunk.address)
            .map_err(|_insert_index| Error::MissingChunk(*address))?;
        bytes.extend_from_slice(sorted[index].bytes());
    }
    if bytes.len() as u64 == head.length {
        Ok(bytes)
    } else {
        Err(Error::LengthMismatch {
            expected: head.length,
            found: bytes.len() as u64,
        })
    }
}

/// Returns the addresses in the head that are not in `known`, without duplicates, in the order of the document.
#[must_use]
pub fn missing_chunks(head: &Head, known: &[Address]) -> Vec<Address> {
    let mut skipped = known.to_vec();
    skipped.sort_unstable();
    let mut missing = Vec::new();
    for address in &head.chunks {
        if let Err(index) = skipped.binary_search(address) {
            skipped.insert(index, *address);
            missing.push(*address);
        }
    }
    missing
}
