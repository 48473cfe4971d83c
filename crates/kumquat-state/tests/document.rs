//! Tests of documents: they guard against lost, mixed-up or forged chunks and against hostile bytes.

use kumquat_state::document::{self, Address, CHUNK_LIMIT_BYTES, Chunk, Error, Head};
use kumquat_state::ident::{Operation, Revision};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 11;

fn randomised(tests: u64) -> QuickCheck {
    println!("seed {SEED}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(256, SEED))
        .tests(tests)
}

fn content(length: usize) -> Vec<u8> {
    // Different bytes in each chunk, so that an exchange of chunks changes the content.
    (0..length)
        .map(|index| u8::try_from((index / 1000 + index / CHUNK_LIMIT_BYTES) % 251).unwrap())
        .collect()
}

fn split(bytes: &[u8]) -> (Head, Vec<Chunk>) {
    document::split(bytes, Revision(7), Operation(u128::MAX), None).unwrap()
}

/// Guards against loss at chunk boundaries.
#[test]
fn join_restores_every_length() {
    for length in [
        0,
        1,
        CHUNK_LIMIT_BYTES - 1,
        CHUNK_LIMIT_BYTES,
        CHUNK_LIMIT_BYTES + 1,
        3 * CHUNK_LIMIT_BYTES + 17,
    ] {
        let bytes = content(length);
        let (head, mut chunks) = split(&bytes);
        chunks.reverse();
        let head = Head::decode(&head.encode().unwrap()).unwrap();
        assert_eq!(document::join(&head, &chunks), Ok(bytes));
    }
}

/// Guards against fetching known chunks again, or a repeated chunk twice.
#[test]
fn missing_lists_unknown_chunks_once() {
    let bytes = vec![0; 3 * CHUNK_LIMIT_BYTES];
    let (head, chunks) = split(&bytes);
    assert_eq!(document::missing_chunks(&head, &[]), [chunks[0].address()]);
    assert_eq!(document::missing_chunks(&head, &[chunks[0].address()]), []);
}

/// Guards against a document that is silently cut short.
#[test]
fn join_reports_a_missing_chunk() {
    let (head, chunks) = split(&content(2 * CHUNK_LIMIT_BYTES));
    assert_eq!(
        document::join(&head, &chunks[..1]),
        Err(Error::MissingChunk(chunks[1].address()))
    );
}

/// Guards against a head whose length disagrees with its chunks.
#[test]
fn join_reports_a_wrong_length() {
    let (mut head, chunks) = split(&content(100));
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

/// Guards against chunks that the store can't take.
#[test]
fn oversized_chunks_are_refused() {
    assert!(matches!(
        Chunk::new(vec![0; CHUNK_LIMIT_BYTES + 1]),
        Err(Error::TooLong { .. })
    ));
}

/// Guards against the use of a head in a later format.
#[test]
fn other_formats_are_refused() {
    let (mut head, _) = split(b"x");
    head.format = 2;
    assert_eq!(
        Head::decode(&head.encode().unwrap()),
        Err(Error::UnsupportedFormat(2))
    );
}

/// Guards against addresses that don't survive their text form.
#[test]
fn addresses_have_one_text_form() {
    let address = Address::of(b"x");
    assert_eq!(address.to_string().parse(), Ok(address));
    for wrong in [address.to_string().to_uppercase(), "é".repeat(32)] {
        assert!(matches!(wrong.parse::<Address>(), Err(Error::Decode(_))));
    }
}

/// Guards against panics and against heads that decode beyond the limits.
#[test]
fn arbitrary_and_mutated_heads_give_errors() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn arbitrary(bytes: Vec<u8>) -> bool {
        Head::decode(&bytes).is_err()
    }
    fn mutated(place: usize, value: u8, cut: usize) -> bool {
        let (head, chunks) = split(&content(CHUNK_LIMIT_BYTES + 1));
        let mut bytes = head.encode().unwrap();
        let length = bytes.len();
        bytes[place % length] = value;
        bytes.truncate(length - cut % 2);
        // No change of a head may yield another content.
        Head::decode(&bytes)
            .and_then(|head| document::join(&head, &chunks))
            .map_or(true, |joined| joined == content(CHUNK_LIMIT_BYTES + 1))
    }
    randomised(2_000).quickcheck(arbitrary as fn(Vec<u8>) -> bool);
    randomised(200).quickcheck(mutated as fn(usize, u8, usize) -> bool);
}
