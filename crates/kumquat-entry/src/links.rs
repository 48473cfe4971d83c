//! The `links` module provides the entry's connections to dispatch processes, one per VM and shared by all requests.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::sync::{Mutex, oneshot};

use kumquat_protocol::wire::{Cancel, CreditRequest, Message};
use kumquat_state::{clock, ident, ledger};
use kumquat_transport::{Error, Result, link, stream};

use crate::metrics::Metrics;

pub mod liveness;
mod streams;

use liveness::Heard;
use streams::Streams;
pub use streams::{CreditReply, Head};

/// Connections to all dispatch processes that this entry has needed so far.
#[derive(Debug)]
pub struct Pool {
    options: link::Options,
    metrics: Metrics,
    // Sorted by VM. Each place has its own lock, so that one slow handshake holds up no other VM's requests.
    places: std::sync::Mutex<Vec<(ident::Vm, Arc<Place>)>>,
}

type Place = Mutex<Option<Arc<Connection>>>;

/// A connection to one dispatch process.
#[derive(Debug)]
pub struct Connection {
    sender: link::Sender,
    incarnation: ident::Incarnation,
    streams: Arc<Streams>,
    next_stream: AtomicU64,
}

/// A request on its way; dropping it cancels the request.
#[derive(Debug)]
pub struct Exchange {
    /// Body towards the upstream.
    pub outgoing: Option<stream::Outgoing>,
    /// Answer or refusal.
    head: oneshot::Receiver<Head>,
    /// Body of the answer.
    incoming: Option<stream::Incoming>,
    guard: Guard,
}

/// Removes a stream when its exchange ends.
#[derive(Debug)]
pub struct Guard {
    stream: u64,
    sender: link::Sender,
    streams: Arc<Streams>,
    finished: bool,
}

impl Pool {
    /// Creates a pool without connections.
    #[must_use]
    pub fn new(options: link::Options, metrics: Metrics) -> Self {
        Self {
            options,
            metrics,
            places: std::sync::Mutex::new(Vec::new()),
        }
    }

    /// Returns the connection to a member's dispatch process, opening it if necessary.
    ///
    /// # Errors
    ///
    /// Returns an error if the process can't be reached or another VM answers at its address.
    pub async fn connection(&self, member: &ledger::Member) -> Result<Arc<Connection>> {
        let place = self.place(&member.vm);
        let mut place = place.lock().await;
        if let Some(connection) = place.as_ref()
            && !connection.sender.is_closed()
            && connection.incarnation == member.incarnation
        {
            return Ok(Arc::clone(connection));
        }

        let link = link::open(member.address, &self.options).await?;
        if link.peer.vm != member.vm || link.peer.incarnation != member.incarnation {
            link.sender.close();
            return Err(Error::connect("another incarnation answers at the address"));
        }
        let connection = Arc::new(Connection::start(link, self.metrics.clone()));
        *place = Some(Arc::clone(&connection));
        Ok(connection)
    }

    fn place(&self, vm: &ident::Vm) -> Arc<Place> {
        let mut places = self
            .places
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        match places.binary_search_by(|(name, _)| name.cmp(vm)) {
            Ok(index) => Arc::clone(&places[index].1),
            Err(index) => {
                let place = Arc::new(Mutex::new(None));
                places.insert(index, (vm.clone(), Arc::clone(&place)));
                place
            }
        }
    }
}

impl Connection {
    fn start(link: link::Link, metrics: Metrics) -> Self {
        let streams = Arc::new(Streams::default());
        let heard = Arc::new(Heard::new(clock::now()));
        tokio::spawn(liveness::watch(
            link.sender.clone(),
            Arc::clone(&streams),
            Arc::clone(&heard),
            metrics.clone(),
        ));
        tokio::spawn(read(link.receiver, Arc::clone(&streams), heard, metrics));
        Self {
            sender: link.sender,
            incarnation: link.peer.incarnation,
            streams,
            next_stream: AtomicU64::new(1),
        }
    }

    /// Sends a request; `build` gets the stream number.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the request certainly was not sent.
    pub async fn request(
        &self,
        has_body: bool,
        build: impl FnOnce(u64) -> Message,
    ) -> Result<Exchange> {
        let number = self.next_stream.fetch_add(1, Ordering::Relaxed);
        let (head_sender, head) = oneshot::channel();
        let (incoming, feed) = stream::incoming(number, &self.sender);
        let (outgoing, credit) = stream::outgoing(number, &self.sender);
        self.streams.insert(number, head_sender, feed, credit)?;
        let mut guard = Guard {
            stream: number,
            sender: self.sender.clone(),
            streams: Arc::clone(&self.streams),
            finished: false,
        };

        if let Err(error) = self.sender.send(build(number)).await {
            guard.finished = true;
            return Err(error);
        }
        Ok(Exchange {
            outgoing: has_body.then_some(outgoing),
            head,
            incoming: Some(incoming),
            guard,
        })
    }

    /// Asks a team's home for credits.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the link has ended.
    pub async fn credits(&self, request: CreditRequest) -> Result<CreditReply> {
        let (sender, reply) = oneshot::channel();
        self.streams
            .insert_credit(request.team.clone(), request.sequence, sender)?;
        self.sender.send(Message::CreditRequest(request)).await?;
        reply.await.or(Err(Error::Closed))
    }
}

impl Exchange {
    /// Waits for the answer's head or the refusal.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the connection ended first; the request may have run.
    pub async fn head(&mut self) -> Result<Head> {
        (&mut self.head).await.or(Err(Error::Closed))
    }

    /// Takes the answer's body; the guard has to live as long as the body is read.
    #[must_use]
    pub fn into_body(mut self) -> Option<(stream::Incoming, Guard)> {
        let incoming = self.incoming.take()?;
        Some((incoming, self.guard))
    }

    /// Marks the exchange as ended by the peer, so that no cancellation is sent.
    pub const fn finish(&mut self) {
        self.guard.finished = true;
    }
}

impl Guard {
    /// Marks the exchange as complete, so that no cancellation is sent.
    pub const fn finish(&mut self) {
        self.finished = true;
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        self.streams.remove(self.stream);
        if !self.finished {
            let cancel = Cancel {
                stream: self.stream,
            };
            // If the queue is full the request runs on until its deadline at most.
            drop(self.sender.try_send(Message::Cancel(cancel)));
        }
    }
}

/// Hands the messages of a connection to their streams until it ends.
async fn read(
    mut receiver: link::Receiver,
    streams: Arc<Streams>,
    heard: Arc<Heard>,
    metrics: Metrics,
) {
    while let Ok(message) = receiver.next().await {
        heard.note(clock::now());
        let known = match message {
            Message::Answer(answer) => streams.head(answer.stream, Head::Answer(answer)),
            Message::Refusal(refusal) => {
                streams.head(refusal.stream, Head::Refusal(Box::new(refusal)))
            }
            Message::Body(body) => streams.body(body),
            Message::Window(window) => streams.window(window.stream, window.bytes),
            Message::Cancel(cancel) => streams.cancel(cancel.stream),
            Message::Credit(credit) => streams.credit(credit),
            Message::Pong => true,
            _ => false,
        };
        // Answers to streams that have been given up are expected now and then.
        if !known {
            metrics.late_messages.inc();
        }
    }
    streams.close();
}
