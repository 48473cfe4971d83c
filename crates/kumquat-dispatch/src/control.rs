//! The `control` module provides the loop that owns this VM's authority, documents and roles.
//!
//! A single task handles all events in turn, so that the state needs no locks. What other tasks check at the moment of
//! acting is published through permits. See `docs/design.md`, sections 3, 4 and 6.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use kumquat_coordination::authority::{self, Action, Authority};
use kumquat_coordination::coordinator::Confirmation;
use kumquat_coordination::role::Released;
use kumquat_protocol::handshake::Identity;
use kumquat_protocol::wire::{Freshness, Message, Pull};
use kumquat_state::bundle::envelope::TrustList;
use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::{self, Incarnation, Vm};
use kumquat_state::ledger::{Holder, Member, RoleName};
use kumquat_transport::{link, list};
use slog::{Logger, debug, info, warn};

use crate::audit::Trail;
use crate::entries::Directory;
use crate::group::{Change, Status};
use crate::home::Homes;
use crate::metrics::Metrics;
use crate::platform;

mod coordination;
mod documents;
mod peers;
mod roles;

pub use coordination::Coordination;
pub use documents::{Documents, Received};
pub use peers::{Peers, read};
pub use roles::Roles;

/// Events that wait for the loop.
pub const QUEUE: usize = 8_192;

/// Time between two checks for timers that have run out.
const TICK: Duration = Duration::from_millis(20);

/// Time between two messages that tell the entries how long they may rely on the bundle.
const FRESHNESS_INTERVAL: Duration = Duration::from_millis(500);

/// Time without any message from the store or the cell's majority after which caller keys are no longer accepted.
const FRESHNESS: Duration = Duration::from_secs(3);

/// What happens to the control loop.
#[derive(Debug)]
pub enum Event {
    /// A link to a peer is open.
    LinkUp {
        /// The peer.
        peer: Identity,
        /// The link.
        link: link::Sender,
    },
    /// A link to a peer ended.
    LinkDown {
        /// The peer.
        peer: Identity,
    },
    /// A peer sent a message.
    Message {
        /// The peer.
        peer: Identity,
        /// The link.
        link: link::Sender,
        /// The message.
        message: Message,
    },
    /// An entry wants documents.
    Subscribe(Subscriber),
    /// The store answered a call, whatever the answer was.
    StoreHeard,
    /// The store or a peer has a document.
    Document(Received),
    /// The platform's list of VMs was read.
    Listed(Vec<list::Vm>),
    /// This VM holds the coordinator's lease, or has lost it.
    Lease(Option<ident::Epoch>),
    /// A write of the ledger ended.
    Written(platform::Written),
    /// A local group reports.
    Status(Status),
    /// An upstream of a local group changed its state.
    Change(Change),
    /// A local group has stopped acting.
    Released {
        /// The role.
        role: RoleName,
        /// Ledger revision at which it was released.
        revision: ident::Revision,
    },
    /// The process shuts down and hands its roles over first.
    Leave,
}

/// An entry that follows the documents.
#[derive(Debug)]
pub struct Subscriber {
    /// Link to the entry.
    pub link: link::Sender,
    /// The version that the entry has.
    pub pull: Pull,
}

/// What the control loop needs to start.
#[derive(Debug)]
pub struct Options {
    /// This run of the VM.
    pub me: Holder,
    /// Data centre of the VM.
    pub data_centre: ident::DataCentre,
    /// Address on which peers reach this process.
    pub address: std::net::SocketAddr,
    /// Other VMs and their addresses, sorted.
    pub peers: Vec<(Vm, std::net::SocketAddr)>,
    /// Keys by which bundles have to be signed.
    pub trust: Arc<TrustList>,
    /// Opens links to peers.
    pub link: link::Options,
    /// Log.
    pub log: Logger,
    /// Counters.
    pub metrics: Metrics,
}

/// The control loop's state.
#[derive(Debug)]
pub struct Control {
    me: Holder,
    data_centre: ident::DataCentre,
    address: std::net::SocketAddr,
    authority: Authority,
    released: Released,
    documents: Documents,
    peers: Peers,
    roles: Roles,
    coordination: Coordination,
    trail: Trail,
    store_heard: Option<Instant>,
    next_freshness: Instant,
    leaving: bool,
    evicted: CancellationToken,
    log: Logger,
    metrics: Metrics,
}

/// What other tasks of the process share with the control loop.
#[derive(Clone, Debug)]
pub struct Shared {
    /// Groups for which this VM acts.
    pub directory: Arc<Directory>,
    /// Teams whose home is this VM.
    pub homes: Arc<Homes>,
    /// Audit trail of this VM.
    pub trail: Trail,
    /// Set when the cell has fenced this run of the VM.
    pub evicted: CancellationToken,
    /// What is in force, for the admin endpoints.
    pub view: Arc<crate::admin::View>,
    /// Tasks that talk to the store.
    pub platform: platform::Handle,
}

impl Control {
    /// Creates the loop's state.
    #[must_use]
    pub fn new(options: Options, shared: &Shared, events: &mpsc::Sender<Event>) -> Self {
        let now = clock::now();
        let mut authority = Authority::new(options.me.clone(), authority::Options::default(), now);
        let names: Vec<Vm> = options.peers.iter().map(|(vm, _)| vm.clone()).collect();
        authority.set_configured_peers(&names);
        Self {
            authority,
            released: Released::default(),
            documents: Documents::new(options.trust, Arc::clone(&shared.view)),
            peers: Peers::new(
                options.me.vm.clone(),
                options.peers,
                options.link,
                events.clone(),
            ),
            roles: Roles::new(
                options.me.clone(),
                shared,
                events.clone(),
                options.metrics.clone(),
            ),
            coordination: Coordination::new(shared.platform.clone()),
            trail: shared.trail.clone(),
            store_heard: None,
            next_freshness: now,
            leaving: false,
            evicted: shared.evicted.clone(),
            me: options.me,
            data_centre: options.data_centre,
            address: options.address,
            log: options.log,
            metrics: options.metrics,
        }
    }

    /// Handles events until the process stops.
    pub async fn run(mut self, mut events: mpsc::Receiver<Event>, closing: CancellationToken) {
        let mut ticker = tokio::time::interval(TICK);
        ticker.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Skip);
        loop {
            tokio::select! {
                biased;
                () = closing.cancelled() => break,
                _ = ticker.tick() => self.tick(),
                event = events.recv() => match event {
                    Some(event) => self.handle(event),
                    None => break,
                },
            }
        }
        self.roles.close_all();
        self.peers.close();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::LinkUp { peer, link } => self.peers.up(peer, link),
            Event::LinkDown { peer } => self.peers.down(&peer),
            Event::Message {
                peer,
                link,
                message,
            } => self.message(&peer, &link, message),
            Event::Subscribe(subscriber) => self.subscribe(subscriber),
            Event::StoreHeard => self.store_heard = Some(clock::now()),
            Event::Document(received) => self.document(&received),
            Event::Listed(vms) => self.listed(&vms),
            Event::Lease(epoch) => self.lease(epoch),
            Event::Written(written) => self.written(written),
            Event::Status(status) => self.status(status),
            Event::Change(change) => {
                debug!(self.log, "upstream state changed"; "upstream" => %change.upstream, "to" => change.kind.as_str());
                self.trail.upstream_changed(&change);
            }
            Event::Released { role, revision } => self.role_released(&role, revision),
            Event::Leave => self.leaving = true,
        }
        self.refresh();
    }

    fn message(&mut self, peer: &Identity, link: &link::Sender, message: Message) {
        let now = clock::now();
        let actions = match message {
            Message::Heartbeat(heartbeat) => self.heartbeat(peer, heartbeat),
            Message::FenceRequest(request) => {
                let request = request.into_request(&peer.vm);
                self.authority.on_fence_request(now, &request)
            }
            Message::FenceReply(reply) => {
                let reply = reply.into_reply(&peer.vm);
                self.authority.on_fence_reply(now, &reply)
            }
            Message::Pull(pull) => {
                self.documents.send(link, &pull);
                Vec::new()
            }
            Message::Document(document) => {
                if let Some(received) = self.documents.assemble(&peer.vm, &document) {
                    self.document(&received);
                }
                Vec::new()
            }
            Message::Release(release) => {
                self.release(peer, release);
                Vec::new()
            }
            Message::Confirmed(confirmed) => {
                let holder = Holder {
                    vm: peer.vm.clone(),
                    incarnation: peer.incarnation,
                };
                self.coordination.note_confirmed(Confirmation {
                    holder,
                    revision: ident::Revision(confirmed.revision),
                    acting: confirmed.acting,
                });
                Vec::new()
            }
            Message::Report(report) => {
                self.report(peer, &report);
                Vec::new()
            }
            _ => {
                self.metrics
                    .rejected_messages
                    .with_label_values(&["peer"])
                    .inc();
                Vec::new()
            }
        };
        self.act(actions);
    }

    fn heartbeat(
        &mut self,
        peer: &Identity,
        heartbeat: kumquat_protocol::wire::Heartbeat,
    ) -> Vec<Action> {
        let now = clock::now();
        self.coordination.note_leaving(&peer.vm, heartbeat.leaving);
        if let Some(epoch) = heartbeat.coordinator {
            let epoch = ident::Epoch(epoch);
            self.coordination.note_coordinator(now, &peer.vm, epoch);
        }
        let heartbeat = heartbeat.into_heartbeat(&peer.vm);
        // A link speaks for one incarnation only; anything else was sent by mistake.
        if heartbeat.from.incarnation != peer.incarnation {
            self.metrics
                .rejected_messages
                .with_label_values(&["incarnation"])
                .inc();
            return Vec::new();
        }
        self.documents
            .compare(&self.peers, &peer.vm, heartbeat.bundle, heartbeat.ledger);
        self.authority.on_heartbeat(now, &heartbeat)
    }

    fn tick(&mut self) {
        let now = clock::now();
        let actions = self.authority.tick(now);
        self.act(actions);
        self.seek_fences(now);
        if now >= self.next_freshness {
            self.next_freshness = now + FRESHNESS_INTERVAL;
            self.tell_entries(now);
            self.report_status(now);
            // Repeated, because a confirmation may be lost or the coordinator may be a new one.
            self.confirm_ledger();
        }
        let bytes = self.peers.tick();
        self.metrics.control_bytes.inc_by(bytes);
        self.direct_platform(now);
        self.coordinate(now);
        self.refresh();
    }

    /// Asks the cell to fence suspected members that this VM would succeed, or that the coordinator has to replace.
    fn seek_fences(&mut self, now: Instant) {
        for target in self.authority.suspects(now) {
            let concerned = self.coordination.is_coordinator()
                || self.documents.ledger().is_some_and(|ledger| {
                    ledger.roles.iter().any(|role| {
                        role.holders.contains(&target) && role.holders.contains(&self.me)
                    })
                });
            if concerned {
                let actions = self.authority.seek_fence(now, &target);
                self.act(actions);
            }
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { to, message } => {
                    self.metrics.control_messages.inc();
                    self.peers.send(&to, self.complete((&message).into()));
                }
                Action::Fenced(holder) => {
                    info!(self.log, "vm fenced"; "fenced" => %holder.vm, "incarnation" => holder.incarnation.0);
                    self.metrics.fenced.inc();
                    self.trail.fenced(&holder);
                }
                Action::Evicted => {
                    warn!(
                        self.log,
                        "this incarnation was fenced by the cell; rejoining as a new one"
                    );
                    self.evicted.cancel();
                }
                Action::AuthorityLost => {
                    warn!(
                        self.log,
                        "authority lost: no word from a majority of the cell"
                    );
                    self.metrics.authority.set(0);
                }
                Action::AuthorityGained => {
                    info!(self.log, "authority gained");
                    self.metrics.authority.set(1);
                }
            }
        }
    }

    /// Adds to a heartbeat what the authority protocol does not need to know.
    fn complete(&self, message: Message) -> Message {
        match message {
            Message::Heartbeat(heartbeat) => {
                Message::Heartbeat(kumquat_protocol::wire::Heartbeat {
                    leaving: self.leaving,
                    coordinator: self.coordination.epoch().map(|epoch| epoch.0),
                    ..heartbeat
                })
            }
            other => other,
        }
    }

    /// Tells the entries how long they may rely on the bundle.
    fn tell_entries(&mut self, now: Instant) {
        // A VM that joins while the store is out learns of withdrawn caller keys from the members.
        let heard = self.store_heard.max(self.authority.majority_heard_since());
        let Some(heard) = heard else {
            return;
        };
        let left = now.until(heard + FRESHNESS);
        let message = Message::Freshness(Freshness {
            valid_ms: u32::try_from(left.as_millis()).unwrap_or(0),
        });
        for link in self.documents.followers() {
            // An entry that does not read falls behind and refuses open routes, as it should.
            drop(link.try_send(message.clone()));
        }
    }

    fn subscribe(&mut self, subscriber: Subscriber) {
        self.documents.send(&subscriber.link, &subscriber.pull);
        self.documents.follow(subscriber);
        self.next_freshness = clock::now();
    }

    /// Recomputes what this VM acts for and publishes it.
    fn refresh(&mut self) {
        let Some((bundle, ledger)) = self.documents.bundle().zip(self.documents.ledger()) else {
            return;
        };
        self.roles
            .refresh(&bundle, &ledger, &self.authority, &self.released);
        self.publish_gauges();
    }

    fn publish_gauges(&self) {
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        let metrics = &self.metrics;
        let acting = i64::try_from(self.roles.acting()).unwrap_or(i64::MAX);
        metrics.acting.set(acting);
        metrics.audit_dropped.set(gauge(self.trail.dropped()));
        metrics
            .bundle_version
            .set(gauge(self.documents.bundle_version().0));
        metrics
            .ledger_revision
            .set(gauge(self.documents.ledger_revision().0));
        metrics
            .membership_version
            .set(gauge(self.authority.membership().version.0));
    }

    /// Returns this VM as a member of the cell.
    fn member(&self) -> Member {
        Member {
            vm: self.me.vm.clone(),
            incarnation: self.me.incarnation,
            data_centre: self.data_centre.clone(),
            address: self.address,
        }
    }
}

/// Draws the incarnation of a new run of the process.
#[must_use]
pub fn new_incarnation() -> Incarnation {
    let now = std::time::SystemTime::now()
        .duration_since(std::time::UNIX_EPOCH)
        .unwrap_or_default();
    // The time keeps incarnations readable in order; the random part keeps two runs with the same time apart.
    let micros = u64::try_from(now.as_micros()).unwrap_or(u64::MAX >> 8);
    Incarnation((micros << 8) | u64::from(rand::random::<u8>()))
}
