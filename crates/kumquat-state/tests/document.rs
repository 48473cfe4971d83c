//! Tests of documents with lost, reordered or forged chunks and with malformed heads.

use kumquat_state::document::{self, Address, CHUNK_LIMIT_BYTES, Chunk, Error, Head};
use kumquat_state::ident::{Operation, Revision};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 11;

fn seeded_runner(tests: u64) -> QuickCheck {
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(256, SEED))
        .tests(tests)
}

fn test_content(length: usize) -> Vec<u8> {
    // Chunks differ from each other, so that exchanging two of them changes the content.
    (0..length)
        .map(|index| u8::try_from((index / 1000 + index / CHUNK_LIMIT_BYTES) % 251).unwrap())
        .collect()
}

fn split(bytes: &[u8]) -> (Head, Vec<Chunk>) {
    document::split(bytes, Revision(7), Operation(u128::MAX), None).unwrap()
}

/// Guards against lost or duplicated bytes at chunk boundaries.
#[test]
fn join_restores_documents_around_chunk_boundaries() {
    for length in [
        0,
        1,
        CHUNK_LIMIT_BYTES - 1,
        CHUNK_LIMIT_BYTES,
        CHUNK_LIMIT_BYTES + 1,
        3 * CHUNK_LIMIT_BYTES + 17,
    ] {
        let bytes = test_content(length);
        let (head, mut chunks) = split(&bytes);
        chunks.reverse();
        let head = Head::decode(&head.encode().unwrap()).unwrap();
        assert_eq!(document::join(&head, &chunks), Ok(bytes));
    }
}

/// Guards against fetching chunks again that the reader already has or that occur twice in the document.
#[test]
fn missing_chunks_lists_unknown_chunks_once() {
    let bytes = vec![0; 3 * CHUNK_LIMIT_BYTES];
    let (head, chunks) = split(&bytes);
    assert_eq!(document::missing_chunks(&head, &[]), [chunks[0].address()]);
    assert_eq!(document::missing_chunks(&head, &[chunks[0].address()]), []);
}

/// Guards against a document that is silently truncated because a chunk is missing.
#[test]
fn join_reports_a_missing_chunk() {
    let (head, chunks) = split(&test_content(2 * CHUNK_LIMIT_BYTES));
    assert_eq!(
        document::join(&head, &chunks[..1]),
        Err(Error::MissingChunk(chunks[1].address()))
    );
}

/// Guards against a head whose length does not match its chunks.
#[test]
fn join_reports_a_length_mismatch() {
    let (mut head, chunks) = split(&test_content(100));
    head.length = 101;
    assert_eq!(
        document::join(&head, &chunks),
        Err(Error::LengthMismatch {
            expected: 101,
            found: 100
        })
    );
    head.length = u64::MAX;
    assert!(matches!(
        document::join(&head, &chunks),
        Err(Error::TooLong { .. })
    ));
}

/// Guards against chunks that exceed the store's value limit.
#[test]
fn oversized_chunks_are_rejected() {
    assert!(matches!(
        Chunk::new(vec![0; CHUNK_LIMIT_BYTES + 1]),
        Err(Error::TooLong { .. })
    ));
}

/// Guards against misreading a head of a later format version.
#[test]
fn unknown_head_formats_are_rejected() {
    let (mut head, _) = split(b"x");
    head.format = 2;
    assert_eq!(
        Head::decode(&head.encode().unwrap()),
        Err(Error::UnsupportedFormat(2))
    );
}

/// Guards against addresses that change in a text round trip, and against alternative spellings.
#[test]
fn addresses_have_a_single_text_form() {
    let address = Address::of(b"x");
    assert_eq!(address.to_string().parse(), Ok(address));
    for malformed in [address.to_string().to_uppercase(), "é".repeat(32)] {
        assert!(matches!(
            malformed.parse::<Address>(),
            Err(Error::Decode(_))
        ));
    }
}

/// Guards against panics on malformed heads and against modified heads that yield different content.
#[test]
fn arbitrary_and_mutated_heads_yield_no_other_content() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn rejects_arbitrary_bytes(bytes: Vec<u8>) -> bool {
        Head::decode(&bytes).is_err()
    }
    fn never_yields_other_content(position: usize, value: u8, truncation: usize) -> bool {
        let (head, chunks) = split(&test_content(CHUNK_LIMIT_BYTES + 1));
        let mut bytes = head.encode().unwrap();
        let length = bytes.len();
        bytes[position % length] = value;
        bytes.truncate(length - truncation % 2);
        // A modified head either fails or still yields the original content.
        Head::decode(&bytes)
            .and_then(|head| document::join(&head, &chunks))
            .map_or(true, |joined| joined == test_content(CHUNK_LIMIT_BYTES + 1))
    }
    seeded_runner(2_000).quickcheck(rejects_arbitrary_bytes as fn(Vec<u8>) -> bool);
    seeded_runner(200).quickcheck(never_yields_other_content as fn(usize, u8, usize) -> bool);
}
