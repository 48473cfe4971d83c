//! Tests of the time limit of messages of unknown size.

use std::time::Duration;

use kumquat_coordination::transfer::{Limits, Transfer};
use kumquat_state::clock::Instant;

const LIMITS: Limits = Limits {
    max_pause: Duration::from_millis(800),
    min_rate_per_s: 100_000.0,
};

/// Size of the pieces in which a message arrives.
const PIECE_BYTES: usize = 16 * 1024;

/// Plays a transfer at a constant rate; returns how long it took, or `None` if it was given up.
fn play(total_bytes: usize, bytes_per_s: f64) -> Option<Duration> {
    let start = Instant::ORIGIN + Duration::from_secs(7);
    let mut transfer = Transfer::new(LIMITS, start);
    let mut now = start;
    let mut received = 0;
    while received < total_bytes {
        let piece = PIECE_BYTES.min(total_bytes - received);
        now = now + Duration::from_secs_f64(f64::from(u32::try_from(piece).ok()?) / bytes_per_s);
        if now > transfer.deadline() {
            return None;
        }
        transfer.record(now, piece);
        received += piece;
    }
    Some(now.saturating_since(start))
}

/// Guards against a large message on a narrow link that is given up although it makes progress.
#[test]
fn a_message_of_a_megabyte_arrives_over_a_link_of_ten_megabits() {
    let took = play(1_400_000, 1_250_000.0);

    assert!(took.is_some_and(|took| took > LIMITS.max_pause), "{took:?}");
}

/// Guards against a peer that holds a call for ever by sending a byte now and then.
#[test]
fn a_message_that_trickles_is_given_up() {
    assert_eq!(play(1_400_000, 50_000.0), None);
}

/// Guards against a long wait for a peer that has gone silent after much of a message.
#[test]
fn a_pause_is_bounded_however_much_has_arrived() {
    let start = Instant::ORIGIN + Duration::from_secs(7);
    let mut transfer = Transfer::new(LIMITS, start);

    transfer.record(start + Duration::from_millis(300), 10_000_000);

    let deadline = start + Duration::from_millis(300) + LIMITS.max_pause;
    assert_eq!(transfer.deadline(), deadline);
}
