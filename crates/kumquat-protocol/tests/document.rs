//! Guards the assembly of documents from parts, which come from peers that may be wrong.

use bytes::Bytes;
use kumquat_protocol::document::{Assembly, PART, PART_LIMIT};
use kumquat_protocol::wire::{Document, Kind};
use kumquat_state::document::DOCUMENT_LIMIT_BYTES;
use quickcheck::{Gen, QuickCheck, TestResult};

/// Seed of the inputs.
const SEED: u64 = 20_260_401;

/// Runs of each property.
const RUNS: u64 = 2_000;

fn document(version: u64, part: u32, parts: u32, data: Vec<u8>) -> Document {
    Document {
        kind: Kind::Bundle,
        version,
        part,
        parts,
        data: Bytes::from(data),
    }
}

/// What an assembly has accepted since the last part 0.
#[derive(Default)]
struct Accepted {
    head: (u64, u32),
    parts: Vec<Vec<u8>>,
}

impl Accepted {
    /// Checks the result of one push.
    fn check(&mut self, part: &Document, result: Option<&Option<Bytes>>) -> Result<(), String> {
        if part.part == 0 {
            self.parts.clear();
            self.head = (part.version, part.parts);
        }
        let Some(whole) = result else {
            self.parts.clear();
            return Ok(());
        };
        self.parts.push(part.data.to_vec());
        let is_next = self.parts.len() == part.part as usize + 1;
        if (part.version, part.parts) != self.head || !is_next {
            return Err("parts out of order are accepted".to_owned());
        }
        let is_last = part.part + 1 == part.parts;
        let expected = is_last.then(|| Bytes::from(self.parts.concat()));
        if is_last {
            self.parts.clear();
        }
        if *whole == expected {
            Ok(())
        } else {
            Err(format!("{whole:?} in place of {expected:?}"))
        }
    }

    fn size(&self) -> usize {
        self.parts.iter().map(Vec::len).sum()
    }
}

/// Guards against parts of different documents that are put together, and against bytes that are kept for nothing.
#[test]
fn arbitrary_parts_never_make_a_mixed_document() {
    fn property(drawn: Vec<(u8, u8, u8, Vec<u8>)>) -> TestResult {
        let mut assembly = Assembly::default();
        let mut accepted = Accepted::default();
        for (version, part, parts, data) in drawn {
            let (version, parts) = (u64::from(version % 2), u32::from(parts % 4));
            let part = document(version, u32::from(part % 4), parts, data);
            let result = assembly.push(&part);
            if let Err(problem) = accepted.check(&part, result.as_ref().ok()) {
                return TestResult::error(problem);
            }
            if assembly.size() != accepted.size() {
                return TestResult::error("bytes are kept for nothing");
            }
        }
        TestResult::passed()
    }
    println!("seed {SEED}");
    QuickCheck::new()
        .tests(RUNS)
        .min_tests_passed(RUNS)
        .rng(Gen::from_size_and_seed(100, SEED))
        .quickcheck(property as fn(Vec<(u8, u8, u8, Vec<u8>)>) -> TestResult);
}

/// Guards against a document without end, which would use up memory part by part.
#[test]
fn the_parts_of_a_document_are_limited() {
    let mut assembly = Assembly::default();

    let pushed = assembly.push(&document(1, 0, u32::MAX, vec![0; 1_000]));

    pushed.expect_err("a document of any number of parts begins");
    assert_eq!(assembly.size(), 0);
}

/// Guards against large parts that together exceed the largest document, within the number of parts.
#[test]
fn the_bytes_of_a_document_are_limited() {
    let mut assembly = Assembly::default();
    let large = DOCUMENT_LIMIT_BYTES / 4;
    for part in 0..4 {
        let pushed = assembly.push(&document(1, part, 6, vec![0; large]));
        assert_eq!(pushed.expect("a part within the limit"), None);
    }

    let pushed = assembly.push(&document(1, 4, 6, vec![0]));

    pushed.expect_err("a byte above the limit");
    assert_eq!(assembly.size(), 0);
}

/// Guards against a document of a permitted size that receivers refuse for its number of parts.
#[test]
fn the_largest_document_fits_into_the_parts() {
    let parts = DOCUMENT_LIMIT_BYTES.div_ceil(PART);

    assert!(parts <= PART_LIMIT as usize, "{parts} parts");
}
