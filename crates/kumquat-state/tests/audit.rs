//! Tests of the audit trail: every change is recorded, and modifications of the record are detected.

use kumquat_state::audit::{
    Actor, Cause, ChainError, Entry, Error, Event, RingBuffer, SEGMENT_ENTRY_LIMIT, Segment,
    bundle_entries, store_key, verify_chain,
};
use kumquat_state::bundle::parse;
use kumquat_state::ident::{Operation, Version};
use quickcheck::{Gen, QuickCheck};

/// A small valid bundle.
const BUNDLE_TEXT: &str = include_str!("fixtures/bundle.ini");

const SEED: u64 = 32;

fn entry_at(timestamp_ms: u64) -> Entry {
    Entry {
        timestamp_ms,
        actor: Actor::Vm("vm-1".parse().unwrap()),
        event: Event::CoordinatorChanged,
        from: None,
        to: None,
        cause: Cause::LeaseLapsed,
        version: Version(timestamp_ms),
    }
}

fn segment_chain(length: u64) -> Vec<Segment> {
    let mut segments: Vec<Segment> = Vec::new();
    for sequence in 0..length {
        let entries = vec![entry_at(sequence), entry_at(sequence + 100)];
        segments.push(Segment::seal(segments.last(), entries).unwrap());
    }
    segments
}

/// Guards against a buffer that exceeds its capacity or drops entries without counting them.
#[test]
fn ring_buffer_keeps_the_latest_entries() {
    let mut buffer = RingBuffer::new(3);
    (0..5).for_each(|timestamp_ms| buffer.push(entry_at(timestamp_ms)));
    assert_eq!(
        buffer
            .iter()
            .map(|entry| entry.timestamp_ms)
            .collect::<Vec<_>>(),
        [2, 3, 4]
    );
    assert_eq!(buffer.dropped(), 2);
    assert_eq!(buffer.drain(2).len(), 2);
    assert_eq!(buffer.iter().count(), 1);
}

/// Guards against altered, missing and replaced segments that verification does not detect.
#[test]
fn verify_chain_detects_breaks() {
    let intact = segment_chain(5);
    assert_eq!(verify_chain(&intact), Ok(()));
    assert_eq!(verify_chain(&intact[2..]), Ok(()));

    let mut altered = intact.clone();
    altered[2].entries[0].timestamp_ms += 1;
    assert_eq!(verify_chain(&altered), Err(ChainError::Altered(2)));

    let mut missing = intact.clone();
    missing.remove(2);
    let expected = ChainError::OutOfSequence {
        expected: 2,
        found: 3,
    };
    assert_eq!(verify_chain(&missing), Err(expected));

    // A replacement with a correct hash does not match the hash in the segment after it.
    let mut replaced = intact.clone();
    replaced[2] = Segment::seal(Some(&intact[1]), vec![entry_at(9)]).unwrap();
    assert_eq!(verify_chain(&replaced), Err(ChainError::Unlinked(3)));
}

/// Guards against segments that exceed the store's value limit, and against entries that change when stored.
#[test]
fn largest_segment_round_trips_and_larger_is_rejected() {
    let entries = vec![entry_at(u64::MAX); SEGMENT_ENTRY_LIMIT];
    let segment = Segment::seal(None, entries).unwrap();
    assert_eq!(Segment::decode(&segment.encode().unwrap()), Ok(segment));
    assert_eq!(
        Segment::seal(None, vec![entry_at(0); SEGMENT_ENTRY_LIMIT + 1]),
        Err(Error::TooManyEntries(SEGMENT_ENTRY_LIMIT + 1))
    );
    assert!(store_key(9) < store_key(10));
}

/// Guards against operators' changes that are not recorded.
#[test]
fn bundle_changes_are_recorded() {
    let before = parse(BUNDLE_TEXT).unwrap();
    let text = BUNDLE_TEXT
        .replace("version = 3", "version = 4")
        .replace("[data-centre a]", "[data-centre a]\nstate = out")
        .replace("state = draining", "state = active")
        .replace("rate = 100", "rate = 50")
        .replace("digest = 00", "digest = 11");
    let after = parse(&text).unwrap();
    let entries = bundle_entries(7, &"asha".parse().unwrap(), Operation(1), &before, &after);
    let events: Vec<Event> = entries.iter().map(|entry| entry.event.clone()).collect();
    assert_eq!(
        events,
        [
            Event::BundleAccepted,
            Event::DataCentreOut("a".parse().unwrap()),
            Event::Undrained("payments-01".parse().unwrap()),
            Event::RateChanged("pilots".parse().unwrap()),
            Event::KeyWithdrawn("pilots-1".parse().unwrap()),
            Event::KeyGranted("pilots-1".parse().unwrap()),
        ]
    );
    assert!(entries.iter().all(|entry| entry.version == Version(4)));
}

/// Guards against panics on malformed bytes and against modified segments that verify as intact.
#[test]
fn arbitrary_and_mutated_segments_are_rejected() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn rejects_arbitrary_bytes(bytes: Vec<u8>) -> bool {
        Segment::decode(&bytes).is_err()
    }
    fn detects_mutation(position: usize, value: u8, truncation: usize) -> bool {
        let segment = segment_chain(1).remove(0);
        let mut bytes = segment.encode().unwrap();
        let length = bytes.len();
        bytes[position % length] = value;
        bytes.truncate(length - truncation % 3);
        Segment::decode(&bytes).map_or(true, |decoded| {
            decoded == segment || verify_chain(&[decoded]).is_err()
        })
    }
    println!("seed {SEED}");
    let runner = |tests| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(1_000, SEED))
            .tests(tests)
    };
    runner(2_000).quickcheck(rejects_arbitrary_bytes as fn(Vec<u8>) -> bool);
    runner(10_000).quickcheck(detects_mutation as fn(usize, u8, usize) -> bool);
}
