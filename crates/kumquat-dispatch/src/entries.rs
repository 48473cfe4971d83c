//! The `entries` module provides the serving of links from entry processes.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;
use tokio::sync::mpsc;

use kumquat_protocol::wire::{self, Load, Message, Outcome, Reason, Refusal};
use kumquat_state::clock;
use kumquat_state::ledger::RoleName;
use kumquat_transport::{link, stream};

use crate::control::{Event, Subscriber};
use crate::group::{self, Command, Payload, Pending, Responder, Token};
use crate::group::{Closer, Handle};
use crate::home::Homes;
use crate::metrics::Metrics;
use crate::streams::Streams;

/// Time after which a refused request may be sent to this process again, in milliseconds.
///
/// An entry usually learns of the acting holder from another VM before that.
const RETRY_AFTER_MS: u32 = 50;

/// The groups for which this VM acts, sorted by role.
#[derive(Debug, Default)]
pub struct Directory {
    groups: ArcSwap<Vec<(RoleName, Handle)>>,
}

impl Directory {
    /// Replaces the groups.
    pub fn set(&self, mut groups: Vec<(RoleName, Handle)>) {
        groups.sort_by(|a, b| a.0.cmp(&b.0));
        self.groups.store(Arc::new(groups));
    }

    /// Finds a group.
    #[must_use]
    pub fn find(&self, name: &RoleName) -> Option<Handle> {
        let groups = self.groups.load();
        let index = groups.binary_search_by(|(other, _)| other.cmp(name)).ok()?;
        Some(groups[index].1.clone())
    }
}

/// What serving entries needs of the rest of the process.
#[derive(Clone, Debug)]
pub struct Context {
    /// Groups for which this VM acts.
    pub directory: Arc<Directory>,
    /// Teams whose home is this VM.
    pub homes: Arc<Homes>,
    /// The control loop.
    pub events: mpsc::Sender<Event>,
    /// Counters.
    pub metrics: Metrics,
    /// Number of the next connection.
    pub connections: Arc<AtomicU64>,
}

/// Serves one entry until its link ends.
pub async fn serve(context: Context, mut link: link::Link) {
    let connection = context.connections.fetch_add(1, Ordering::Relaxed);
    let streams = Arc::new(Streams::default());
    while let Ok(message) = link.receiver.next().await {
        let serving = Serving {
            context: &context,
            link: &link.sender,
            streams: &streams,
            connection,
        };
        serving.handle(&link.peer, message).await;
    }
    link.sender.close();
    // Nobody waits for these answers any more.
    for (stream, group) in streams.close() {
        cancel(&group, Token { connection, stream });
    }
}

struct Serving<'a> {
    context: &'a Context,
    link: &'a link::Sender,
    streams: &'a Arc<Streams>,
    connection: u64,
}

impl Serving<'_> {
    async fn handle(&self, peer: &kumquat_protocol::handshake::Identity, message: Message) {
        match message {
            Message::Request(request) => self.request(request),
            Message::Body(body) => self.streams.body(body),
            Message::Window(window) => self.streams.window(window.stream, window.bytes),
            Message::Cancel(end) => {
                if let Some(group) = self.streams.cancel(end.stream) {
                    let stream = end.stream;
                    let connection = self.connection;
                    cancel(&group, Token { connection, stream });
                }
            }
            Message::CreditRequest(request) => {
                let credit = self.context.homes.answer(peer, &request);
                self.reply(Message::Credit(credit));
            }
            Message::Ping => self.reply(Message::Pong),
            Message::Pull(pull) => {
                let subscriber = Subscriber {
                    link: self.link.clone(),
                    pull,
                };
                // The control loop ends only with the process.
                drop(self.context.events.send(Event::Subscribe(subscriber)).await);
            }
            _ => self
                .context
                .metrics
                .rejected_messages
                .with_label_values(&["entry"])
                .inc(),
        }
    }

    fn request(&self, request: Box<wire::Request>) {
        let deadline = clock::now() + Duration::from_millis(u64::from(request.deadline_ms));
        let name = RoleName::Group {
            service: request.service.clone(),
            data_centre: request.data_centre.clone(),
        };
        let stream = request.stream;
        let Some(group) = self.context.directory.find(&name) else {
            return self.refuse(stream, Reason::NotActing);
        };

        let (outgoing, credit) = stream::outgoing(stream, self.link);
        let body = request
            .has_body
            .then(|| stream::incoming(stream, self.link));
        let (incoming, feed) = body.unzip();
        if !self.streams.insert(stream, group.clone(), feed, credit) {
            return self.refuse(stream, Reason::Broken);
        }
        let responder = Responder {
            link: self.link.clone(),
            stream,
            outgoing,
            closer: Closer {
                streams: Arc::clone(self.streams),
                stream,
            },
        };
        let token = Token {
            connection: self.connection,
            stream,
        };
        let pending = move |payload| Pending {
            request,
            payload,
            responder,
            token,
            deadline,
        };
        match incoming {
            None => arrive(&group, pending(Payload::Whole(bytes::Bytes::new()))),
            Some(incoming) => {
                tokio::spawn(async move {
                    // A body that breaks off before its request reached a group needs no answer.
                    if let Ok(payload) = Payload::collect(incoming).await {
                        arrive(&group, pending(payload));
                    }
                });
            }
        }
    }

    fn refuse(&self, stream: u64, reason: Reason) {
        self.reply(Message::Refusal(Refusal {
            stream,
            reason,
            outcome: Outcome::NotRun,
            retry_after_ms: RETRY_AFTER_MS,
            load: Load::default(),
        }));
    }

    fn reply(&self, message: Message) {
        // Waiting for a full queue here would hold up the reading of the link.
        if self.link.try_send(message.clone()).is_err() && !self.link.is_closed() {
            let link = self.link.clone();
            tokio::spawn(async move { drop(link.send(message).await) });
        }
    }
}

fn arrive(group: &Handle, pending: Pending) {
    if let Err(Command::Arrive(pending)) = group.send(Command::Arrive(Box::new(pending))) {
        let pending = *pending;
        let retry_after = Duration::from_millis(u64::from(RETRY_AFTER_MS));
        pending.responder.refuse(
            Reason::QueueFull,
            Outcome::NotRun,
            retry_after,
            Load::default(),
        );
    }
}

/// Tells a group that a caller hung up, waiting for room if its queue is full.
fn cancel(group: &Handle, token: Token) {
    if let Err(command) = group.send(Command::Cancel(token)) {
        let group = group.clone();
        tokio::spawn(async move { group::Handle::deliver(&group, command).await });
    }
}
