//! The `input` module provides the order in which the connections of a VM process large input.
//!
//! It answers callers that each stay within their limits but together send more than the VM can process, such as bodies in
//! chunks of one byte. One connection at a time has a turn, and everything else on the event loop runs between two turns, so
//! that small requests are served beside any number of large ones. See `docs/design/intake.md`.
//!
//! Work is counted in units of about the processor time that one byte of a body takes.

/// Work of one read from a socket in addition to that of its bytes.
pub const READ_WORK: usize = 2_048;

/// Work of one element of a body, such as a chunk's size or data, in addition to that of its bytes.
pub const ELEMENT_WORK: usize = 32;

/// Work of a request up to which its connection needs no turn; an ordinary request with a body of 16 KB takes less.
pub const FREE_WORK: usize = 32 * 1024;

/// Work after which a turn ends.
pub const TURN_WORK: usize = 64 * 1024;

/// A connection that waits for its turn.
#[derive(Clone, Copy, Debug)]
struct Waiter {
    id: u64,
    work: usize,
}

/// The connections that have input to process, of which one has a turn.
///
/// Turns alternate between the connection with the least work for its request, so that moderate requests end soon, and the
/// one that has waited the longest, so that large requests advance while new ones keep arriving.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    active: Option<u64>,
    // In order of arrival.
    waiting: Vec<Waiter>,
    is_longest_wait_next: bool,
}

impl Turns {
    /// Adds a connection that has done some work for its request; returns whether its turn begins at once.
    pub fn request(&mut self, id: u64, work: usize) -> bool {
        if self.active.is_none() {
            self.active = Some(id);
            return true;
        }
        self.waiting.push(Waiter { id, work });
        false
    }

    /// Ends the turn or the wait of a connection; returns the connection whose turn begins.
    ///
    /// It does nothing for a connection that neither has a turn nor waits for one.
    pub fn leave(&mut self, id: u64) -> Option<u64> {
        if self.active != Some(id) {
            self.waiting.retain(|waiter| waiter.id != id);
            return None;
        }
        self.active = self.take_next();
        self.active
    }

    /// Returns whether a connection that requests its next turn gets it at once.
    #[must_use]
    pub fn is_free_for(&self, id: u64) -> bool {
        self.active
            .is_none_or(|active| active == id && self.waiting.is_empty())
    }

    /// Returns the number of connections that wait for a turn.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    fn take_next(&mut self) -> Option<u64> {
        let mut waiters = self.waiting.iter().enumerate();
        let (position, _) = if self.is_longest_wait_next {
            waiters.next()?
        } else {
            waiters.min_by_key(|(_, waiter)| waiter.work)?
        };
        self.is_longest_wait_next = !self.is_longest_wait_next;
        Some(self.waiting.remove(position).id)
    }
}
