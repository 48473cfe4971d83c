//! The `input` module provides turns for connections with large input, so that processing it does not delay other tasks.
//!
//! The order is decided by [`kumquat_coordination::fleet::input`]; this module carries it out and reports it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use kumquat_coordination::fleet::input::{FREE_WORK, READ_WORK, TURN_WORK, Turns};
use tokio::sync::oneshot;

use crate::metrics::Metrics;

/// The turns of all connections of a VM.
#[derive(Debug)]
pub struct Schedule {
    turns: RefCell<Turns>,
    // Senders that tell waiting connections that their turn begins, in ascending order of ids.
    waiting: RefCell<Vec<(u64, oneshot::Sender<()>)>>,
    next_id: Cell<u64>,
    metrics: Metrics,
}

impl Schedule {
    /// Creates the schedule of a VM without connections.
    #[must_use]
    pub fn new(metrics: Metrics) -> Rc<Self> {
        Rc::new(Self {
            turns: RefCell::default(),
            waiting: RefCell::default(),
            next_id: Cell::default(),
            metrics,
        })
    }

    /// Creates the meter of a new connection.
    #[must_use]
    pub fn meter(self: &Rc<Self>) -> Meter {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        Meter {
            schedule: Rc::clone(self),
            id,
            request_work: 0,
            turn_work: None,
        }
    }

    /// Requests a turn; returns what is notified when it begins, or `None` if it has begun.
    fn request(&self, id: u64, work: usize) -> Option<oneshot::Receiver<()>> {
        if self.turns.borrow_mut().request(id, work) {
            return None;
        }
        let (sender, receiver) = oneshot::channel();
        let mut waiting = self.waiting.borrow_mut();
        let (Ok(position) | Err(position)) = waiting.binary_search_by_key(&id, |(id, _)| *id);
        waiting.insert(position, (id, sender));
        drop(waiting);
        self.report();
        Some(receiver)
    }

    /// Ends the turn or the wait of a connection.
    fn leave(&self, id: u64) {
        let next = self.turns.borrow_mut().leave(id);
        self.take_sender(id);
        if let Some(sender) = next.and_then(|next| self.take_sender(next)) {
            // A receiver that is dropped ends the turn, see `Wait`.
            _ = sender.send(());
        }
        self.report();
    }

    fn take_sender(&self, id: u64) -> Option<oneshot::Sender<()>> {
        let mut waiting = self.waiting.borrow_mut();
        let position = waiting.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        Some(waiting.remove(position).1)
    }

    fn report(&self) {
        let waiting = self.turns.borrow().waiting();
        let waiting = i64::try_from(waiting).unwrap_or(i64::MAX);
        self.metrics.intake.waiting_connections.set(waiting);
    }
}

/// Counts the work of one connection's input, and lets it wait for turns while the input of a request is large.
#[derive(Debug)]
pub struct Meter {
    schedule: Rc<Schedule>,
    id: u64,
    // Work of the input since the last call of `end_request`.
    request_work: usize,
    // Work since the turn of this connection began, if it has one.
    turn_work: Option<usize>,
}

impl Meter {
    /// Waits until the connection may process input: at once while its request is small, and otherwise for its turn.
    ///
    /// A turn has to be ended by [`Self::end_turn`] before the connection waits for anything else.
    pub async fn admit(&mut self) {
        if self.is_admitted() {
            return;
        }
        self.end_turn();
        let mut wait = Wait {
            schedule: &self.schedule,
            id: self.id,
            is_abandoned: true,
        };
        if let Some(begins) = self.schedule.request(self.id, self.request_work) {
            // The sender is dropped only when this connection leaves.
            _ = begins.await;
        }
        // Everything else that is ready runs before each turn.
        tokio::task::yield_now().await;
        wait.is_abandoned = false;
        drop(wait);
        self.schedule.metrics.intake.turns.inc();
        self.turn_work = Some(0);
    }

    /// Returns whether the connection needs a turn and others wait for theirs.
    #[must_use]
    pub fn delays_others(&self) -> bool {
        !self.is_admitted() && self.schedule.turns.borrow().waiting() > 0
    }

    /// Returns whether the connection needs a turn that does not begin at once.
    #[must_use]
    pub fn has_to_wait(&self) -> bool {
        !self.is_admitted() && !self.schedule.turns.borrow().is_free_for(self.id)
    }

    /// Returns whether the connection may process input now.
    fn is_admitted(&self) -> bool {
        self.request_work < FREE_WORK || self.turn_work.is_some_and(|work| work < TURN_WORK)
    }

    /// Counts a read of some bytes.
    pub fn count_read(&mut self, bytes: usize) {
        self.count(READ_WORK.saturating_add(bytes));
    }

    /// Counts work other than that of reads.
    pub fn count(&mut self, work: usize) {
        self.request_work = self.request_work.saturating_add(work);
        if let Some(turn_work) = &mut self.turn_work {
            *turn_work = turn_work.saturating_add(work);
        }
    }

    /// Ends the turn of the connection, if it has one.
    pub fn end_turn(&mut self) {
        if self.turn_work.take().is_some() {
            self.schedule.leave(self.id);
        }
    }

    /// Ends the turn, and counts the work of the next request from zero.
    pub fn end_request(&mut self) {
        self.end_turn();
        self.request_work = 0;
    }
}

impl Drop for Meter {
    fn drop(&mut self) {
        self.end_turn();
    }
}

/// A wait for a turn, which is given up if it is dropped before the turn is used.
struct Wait<'a> {
    schedule: &'a Schedule,
    id: u64,
    is_abandoned: bool,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.is_abandoned {
            self.schedule.leave(self.id);
        }
    }
}
