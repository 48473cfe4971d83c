//! The `senders` module provides the order of the reports of each sender.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Time after its last report at which a sender is forgotten, far longer than a datagram can be delayed.
///
/// A restarted process reports as another sender, so that the earlier one would be kept for ever.
const SENDER_EXPIRY: Duration = Duration::from_mins(1);

/// How a report relates to the earlier ones of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Order {
    /// The first report of its sender.
    First,
    /// Newer than all others of its sender.
    Newer,
    /// A report that is not newer than another of its sender.
    Outdated,
}

#[derive(Clone, Debug)]
struct Sender {
    incarnation: u64,
    sequence: u64,
    heard_at: Instant,
}

/// The senders of which this VM has reports, with the last sequence number of each.
#[derive(Clone, Debug, Default)]
pub struct Senders {
    /// Sorted by incarnation.
    senders: Vec<Sender>,
}

impl Senders {
    /// Notes a report and returns how it relates to the earlier ones of its sender.
    ///
    /// A first report forgets the senders that have not been heard for a minute.
    pub fn record(&mut self, now: Instant, incarnation: u64, sequence: u64) -> Order {
        if let Ok(position) = self.position(incarnation) {
            let sender = &mut self.senders[position];
            sender.heard_at = now;
            if sequence <= sender.sequence {
                return Order::Outdated;
            }
            sender.sequence = sequence;
            return Order::Newer;
        }
        self.senders
            .retain(|sender| now.saturating_since(sender.heard_at) < SENDER_EXPIRY);
        let (Ok(position) | Err(position)) = self.position(incarnation);
        let sender = Sender {
            incarnation,
            sequence,
            heard_at: now,
        };
        self.senders.insert(position, sender);
        Order::First
    }

    /// Returns the number of senders that are kept.
    #[must_use]
    pub fn count(&self) -> usize {
        self.senders.len()
    }

    fn position(&self, incarnation: u64) -> Result<usize, usize> {
        self.senders
            .binary_search_by_key(&incarnation, |sender| sender.incarnation)
    }
}
