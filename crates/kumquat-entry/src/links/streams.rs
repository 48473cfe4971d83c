//! The `streams` module provides the open streams of one connection, matched by number.

use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

use kumquat_protocol::wire::{Answer, Body, Credit, Refusal};
use kumquat_state::ident;
use kumquat_transport::{Error, Result, stream};

/// Answer of a team's home.
pub type CreditReply = Credit;

/// First message that answers a request.
#[derive(Debug)]
pub enum Head {
    /// The upstream answered.
    Answer(Box<Answer>),
    /// The request was given up.
    Refusal(Box<Refusal>),
}

/// Open streams, sorted by number.
#[derive(Debug, Default)]
pub struct Streams {
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    closed: bool,
    open: Vec<Open>,
    credits: Vec<(ident::Team, u64, oneshot::Sender<CreditReply>)>,
}

#[derive(Debug)]
struct Open {
    number: u64,
    head: Option<oneshot::Sender<Head>>,
    feed: stream::Feed,
    credit: stream::Credit,
}

impl Streams {
    /// Adds a stream.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection has ended.
    pub fn insert(
        &self,
        number: u64,
        head: oneshot::Sender<Head>,
        feed: stream::Feed,
        credit: stream::Credit,
    ) -> Result<()> {
        let mut state = self.lock();
        if state.closed {
            return Err(Error::Closed);
        }
        let open = Open {
            number,
            head: Some(head),
            feed,
            credit,
        };
        // Numbers are taken before the lock, so a stream may come slightly out of order.
        let index = state.open.partition_point(|other| other.number < number);
        state.open.insert(index, open);
        Ok(())
    }

    /// Removes a stream.
    pub fn remove(&self, number: u64) {
        let mut state = self.lock();
        if let Ok(index) = state.find(number) {
            state.open.remove(index);
        }
    }

    /// Adds a question to a team's home.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection has ended.
    pub fn insert_credit(
        &self,
        team: ident::Team,
        sequence: u64,
        reply: oneshot::Sender<CreditReply>,
    ) -> Result<()> {
        let mut state = self.lock();
        if state.closed {
            return Err(Error::Closed);
        }
        // An earlier question whose asker has given up is of no use any more.
        state.credits.retain(|(_, _, reply)| !reply.is_closed());
        state.credits.push((team, sequence, reply));
        Ok(())
    }

    /// Hands a head to its stream and returns whether someone waited for it.
    pub fn head(&self, number: u64, head: Head) -> bool {
        let mut state = self.lock();
        let Ok(index) = state.find(number) else {
            return false;
        };
        let sender = state.open[index].head.take();
        sender.is_some_and(|sender| sender.send(head).is_ok())
    }

    /// Hands a part of a body to its stream and returns whether the stream is open.
    pub fn body(&self, body: Body) -> bool {
        let mut state = self.lock();
        let Ok(index) = state.find(body.stream) else {
            return false;
        };
        if state.open[index].feed.push(body).is_err() {
            // The reader of the body sees the stream end before its last part.
            state.open.remove(index);
        }
        true
    }

    /// Adds to a stream's window and returns whether the stream is open.
    pub fn window(&self, number: u64, bytes: u32) -> bool {
        let state = self.lock();
        let found = state.find(number);
        if let Ok(index) = found {
            state.open[index].credit.add(bytes);
        }
        found.is_ok()
    }

    /// Ends a stream and returns whether it was open.
    pub fn cancel(&self, number: u64) -> bool {
        let mut state = self.lock();
        let found = state.find(number);
        if let Ok(index) = found {
            state.open.remove(index).credit.cancel();
        }
        found.is_ok()
    }

    /// Hands a home's answer to its asker and returns whether someone waited for it.
    pub fn credit(&self, credit: Credit) -> bool {
        let mut state = self.lock();
        let index = state
            .credits
            .iter()
            .position(|(team, sequence, _)| *team == credit.team && *sequence == credit.sequence);
        let Some(index) = index else { return false };
        let (_, _, reply) = state.credits.swap_remove(index);
        reply.send(credit).is_ok()
    }

    /// Returns whether the peer owes an answer to a request or a question.
    pub fn is_awaited(&self) -> bool {
        let state = self.lock();
        !state.open.is_empty() || !state.credits.is_empty()
    }

    /// Ends all streams with the connection.
    pub fn close(&self) {
        let mut state = self.lock();
        state.closed = true;
        for open in state.open.drain(..) {
            open.credit.cancel();
        }
        state.credits.clear();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn find(&self, number: u64) -> std::result::Result<usize, usize> {
        self.open.binary_search_by_key(&number, |open| open.number)
    }
}
