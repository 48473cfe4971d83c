//! Tests of the audit trail: they guard against changes that leave no trace and traces that can be altered.

use kumquat_state::audit::{
    Actor, Cause, ChainError, Entry, Error, Event, RingBuffer, SEGMENT_ENTRY_LIMIT, Segment,
    bundle_entries, store_key, verify_chain,
};
use kumquat_state::bundle::parse;
use kumquat_state::ident::{Operation, Version};
use quickcheck::{Gen, QuickCheck};

/// A small bundle text without problems.
const TEXT: &str = include_str!("fixtures/bundle.ini");

const SEED: u64 = 32;

fn entry(timestamp_ms: u64) -> Entry {
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

fn chain(length: u64) -> Vec<Segment> {
    let mut segments: Vec<Segment> = Vec::new();
    for sequence in 0..length {
        let entries = vec![entry(sequence), entry(sequence + 100)];
        segments.push(Segment::seal(segments.last(), entries).unwrap());
    }
    segments
}

/// Guards against a ring that grows, or drops without saying so.
#[test]
fn the_ring_keeps_the_latest_entries() {
    let mut buffer = RingBuffer::new(3);
    (0..5).for_each(|timestamp_ms| buffer.push(entry(timestamp_ms)));
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

/// Guards against a break in the chain that goes unnoticed.
#[test]
fn breaks_in_the_chain_are_found() {
    let intact = chain(5);
    assert_eq!(verify_chain(&intact), Ok(()));
    assert_eq!(verify_chain(&intact[2..]), Ok(()));

    let mut altered = intact.clone();
    altered[2].entries[0].timestamp_ms += 1;
    assert_eq!(verify_chain(&altered), Err(ChainError::Altered(2)));

    let mut missing = intact.clone();
    missing.remove(2);
    let gap = ChainError::OutOfSequence {
        expected: 2,
        found: 3,
    };
    assert_eq!(verify_chain(&missing), Err(gap));

    // A segment that was replaced with a correct hash no longer fits the one after it.
    let mut replaced = intact.clone();
    replaced[2] = Segment::seal(Some(&intact[1]), vec![entry(9)]).unwrap();
    assert_eq!(verify_chain(&replaced), Err(ChainError::Unlinked(3)));
}

/// Guards against segments that the store can't take, and against entries that don't survive storage.
#[test]
fn segments_are_bounded_and_survive_storage() {
    let entries = vec![entry(u64::MAX); SEGMENT_ENTRY_LIMIT];
    let segment = Segment::seal(None, entries).unwrap();
    assert_eq!(Segment::decode(&segment.encode().unwrap()), Ok(segment));
    assert_eq!(
        Segment::seal(None, vec![entry(0); SEGMENT_ENTRY_LIMIT + 1]),
        Err(Error::TooManyEntries(SEGMENT_ENTRY_LIMIT + 1))
    );
    assert!(store_key(9) < store_key(10));
}

/// Guards against operators' changes that leave no entry.
#[test]
fn bundle_changes_leave_entries() {
    let before = parse(TEXT).unwrap();
    let text = TEXT
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

/// Guards against panics on hostile bytes and against altered bytes that pass as intact.
#[test]
fn arbitrary_and_mutated_bytes_give_errors() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn arbitrary(bytes: Vec<u8>) -> bool {
        Segment::decode(&bytes).is_err()
    }
    fn mutated(place: usize, value: u8, cut: usize) -> bool {
        let segment = chain(1).remove(0);
        let mut bytes = segment.encode().unwrap();
        let length = bytes.len();
        bytes[place % length] = value;
        bytes.truncate(length - cut % 3);
        Segment::decode(&bytes).map_or(true, |decoded| {
            decoded == segment || verify_chain(&[decoded]).is_err()
        })
    }
    println!("seed {SEED}");
    let runs = |tests| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(1_000, SEED))
            .tests(tests)
    };
    runs(2_000).quickcheck(arbitrary as fn(Vec<u8>) -> bool);
    runs(10_000).quickcheck(mutated as fn(usize, u8, usize) -> bool);
}
