//! The `documents` module provides the bundle and the ledger in force, and their exchange with peers and entries.
//!
//! Neither ever goes back to a lower version, whoever hands it on. See `docs/design.md`, section 6.

use std::sync::Arc;

use bytes::Bytes;

use kumquat_protocol::document::{Assembly, PART};
use kumquat_protocol::wire::{Document, Kind, Message, Pull};
use kumquat_state::bundle::Bundle;
use kumquat_state::bundle::envelope::{Envelope, TrustList};
use kumquat_state::ident::{Revision, Version, Vm};
use kumquat_state::ledger::Ledger;
use kumquat_transport::link;

use super::{Control, Peers, Subscriber};
use crate::admin::View;

/// Most entries that follow the documents of one dispatch process.
const FOLLOWER_LIMIT: usize = 64;

/// A document that arrived from the store or a peer.
#[derive(Clone, Debug)]
pub struct Received {
    /// Which document.
    pub kind: Kind,
    /// Its encoded form.
    pub bytes: Bytes,
    /// The peer that sent it; none for the store.
    pub from: Option<Vm>,
}

/// A document with its encoded form.
#[derive(Clone, Debug)]
struct Current<T> {
    value: Arc<T>,
    bytes: Bytes,
}

/// The documents in force.
#[derive(Debug)]
pub struct Documents {
    trust: Arc<TrustList>,
    bundle: Option<Current<Bundle>>,
    ledger: Option<Current<Ledger>>,
    /// Documents of which not all parts have come yet, by sender and kind.
    assemblies: Vec<(Vm, Kind, Assembly)>,
    followers: Vec<(Kind, link::Sender)>,
    view: Arc<View>,
}

/// What became of a document that arrived.
#[derive(Debug)]
pub enum Applied {
    /// It is in force now.
    Newer,
    /// One at least as new is in force.
    Older,
    /// It is malformed or not properly signed.
    Rejected(String),
}

impl Documents {
    /// Creates the state of a process that has no document yet.
    #[must_use]
    pub const fn new(trust: Arc<TrustList>, view: Arc<View>) -> Self {
        Self {
            trust,
            bundle: None,
            ledger: None,
            assemblies: Vec::new(),
            followers: Vec::new(),
            view,
        }
    }

    /// Returns the bundle in force.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle
            .as_ref()
            .map(|current| Arc::clone(&current.value))
    }

    /// Returns the ledger in force.
    #[must_use]
    pub fn ledger(&self) -> Option<Arc<Ledger>> {
        self.ledger
            .as_ref()
            .map(|current| Arc::clone(&current.value))
    }

    /// Returns the version of the bundle in force, 0 if there is none.
    #[must_use]
    pub fn bundle_version(&self) -> Version {
        self.bundle
            .as_ref()
            .map_or(Version(0), |current| current.value.version)
    }

    /// Returns the revision of the ledger in force, 0 if there is none.
    #[must_use]
    pub fn ledger_revision(&self) -> Revision {
        self.ledger
            .as_ref()
            .map_or(Revision(0), |current| current.value.revision)
    }

    /// Puts a document in force if it is valid and newer than the present one.
    pub fn apply(&mut self, received: &Received) -> Applied {
        match received.kind {
            Kind::Bundle => self.apply_bundle(&received.bytes),
            Kind::Ledger => self.apply_ledger(&received.bytes),
        }
    }

    fn apply_bundle(&mut self, bytes: &Bytes) -> Applied {
        // The signatures are checked here even if a peer has checked them, because peers may be wrong.
        let opened =
            Envelope::decode(bytes).and_then(|envelope| envelope.verify_and_parse(&self.trust));
        let bundle = match opened {
            Ok(bundle) => bundle,
            Err(error) => return Applied::Rejected(error.to_string()),
        };
        if bundle.version <= self.bundle_version() {
            return Applied::Older;
        }
        let value = Arc::new(bundle);
        self.view.set_bundle(&value);
        self.bundle = Some(Current {
            value,
            bytes: bytes.clone(),
        });
        self.tell_followers(Kind::Bundle);
        Applied::Newer
    }

    fn apply_ledger(&mut self, bytes: &Bytes) -> Applied {
        let ledger = match Ledger::decode(bytes) {
            Ok(ledger) => ledger,
            Err(error) => return Applied::Rejected(error.to_string()),
        };
        if ledger.revision <= self.ledger_revision() {
            return Applied::Older;
        }
        let value = Arc::new(ledger);
        self.view.set_ledger(&value);
        self.ledger = Some(Current {
            value,
            bytes: bytes.clone(),
        });
        self.tell_followers(Kind::Ledger);
        Applied::Newer
    }

    /// Adds a part that a peer sent and returns the document with its last part.
    pub fn assemble(&mut self, from: &Vm, part: &Document) -> Option<Received> {
        let begun = self
            .assemblies
            .iter()
            .position(|(vm, kind, _)| vm == from && *kind == part.kind);
        let index = begun.unwrap_or_else(|| {
            self.assemblies
                .push((from.clone(), part.kind, Assembly::default()));
            self.assemblies.len() - 1
        });
        let pushed = self.assemblies[index].2.push(part);
        if let Ok(None) = pushed {
            return None;
        }
        self.assemblies.swap_remove(index);
        Some(Received {
            kind: part.kind,
            bytes: pushed.ok()??,
            from: Some(from.clone()),
        })
    }

    /// Answers a request for a document if this VM has a newer one.
    pub fn send(&self, link: &link::Sender, pull: &Pull) {
        let (version, bytes) = match pull.kind {
            Kind::Bundle => match &self.bundle {
                Some(current) => (current.value.version.0, current.bytes.clone()),
                None => return,
            },
            Kind::Ledger => match &self.ledger {
                Some(current) => (current.value.revision.0, current.bytes.clone()),
                None => return,
            },
        };
        if version <= pull.known {
            return;
        }
        let parts = u32::try_from(bytes.len().div_ceil(PART).max(1)).unwrap_or(u32::MAX);
        let (link, kind) = (link.clone(), pull.kind);
        let message = move |part: u32, data: Bytes| {
            Message::Document(Document {
                kind,
                version,
                part,
                parts,
                data,
            })
        };
        if parts == 1 {
            // A full queue means that the peer falls behind; it asks again with its next heartbeat.
            drop(link.try_send(message(0, bytes)));
            return;
        }
        tokio::spawn(async move {
            for part in 0..parts {
                let start = part as usize * PART;
                let data = bytes.slice(start..bytes.len().min(start + PART));
                if link.send(message(part, data)).await.is_err() {
                    return;
                }
            }
        });
    }

    /// Sends new documents to an entry from now on.
    pub fn follow(&mut self, subscriber: Subscriber) {
        self.followers.retain(|(_, link)| !link.is_closed());
        if self.followers.len() < FOLLOWER_LIMIT {
            self.followers.push((subscriber.pull.kind, subscriber.link));
        }
    }

    /// Returns the links of the entries, each once.
    pub fn followers(&self) -> impl Iterator<Item = &link::Sender> {
        self.followers
            .iter()
            .filter(|(kind, _)| *kind == Kind::Bundle)
            .map(|(_, link)| link)
    }

    fn tell_followers(&mut self, kind: Kind) {
        self.followers.retain(|(_, link)| !link.is_closed());
        for (wanted, link) in &self.followers {
            if *wanted == kind {
                self.send(link, &Pull { kind, known: 0 });
            }
        }
    }

    /// Asks a peer for documents that it has in a higher version.
    pub fn compare(&self, peers: &Peers, vm: &Vm, bundle: Version, ledger: Revision) {
        let own = [
            (Kind::Bundle, self.bundle_version().0, bundle.0),
            (Kind::Ledger, self.ledger_revision().0, ledger.0),
        ];
        for (kind, known, offered) in own {
            if offered > known {
                peers.send(vm, Message::Pull(Pull { kind, known }));
            }
        }
    }

    /// Sends a document to all peers, so that they need not wait for the next heartbeat.
    pub fn push(&self, peers: &Peers, kind: Kind, except: Option<&Vm>) {
        for (vm, link) in peers.links() {
            if Some(vm) != except {
                self.send(link, &Pull { kind, known: 0 });
            }
        }
    }
}

impl Control {
    /// Takes a document from the store or a peer.
    pub(super) fn document(&mut self, received: &Received) {
        match self.documents.apply(received) {
            Applied::Newer => self.in_force(received),
            Applied::Older => {}
            Applied::Rejected(reason) => {
                self.metrics
                    .rejected_messages
                    .with_label_values(&["document"])
                    .inc();
                slog::warn!(self.log, "document rejected"; "kind" => ?received.kind, "reason" => reason);
            }
        }
    }

    /// Applies what follows from a new document.
    fn in_force(&mut self, received: &Received) {
        let now = kumquat_state::clock::now();
        let (bundle, ledger) = (
            self.documents.bundle_version(),
            self.documents.ledger_revision(),
        );
        self.authority.set_versions(bundle, ledger);
        match received.kind {
            Kind::Bundle => {
                slog::info!(self.log, "bundle in force"; "version" => bundle.0);
                if let Some(bundle) = self.documents.bundle() {
                    self.trail.bundle_in_force(&bundle);
                    self.roles.configure_homes(&bundle);
                }
            }
            Kind::Ledger => {
                if let Some(ledger) = self.documents.ledger() {
                    self.peers.set_members(&ledger.membership);
                    let actions = self.authority.set_membership(now, &ledger.membership);
                    self.act(actions);
                    self.confirm_ledger();
                }
            }
        }
        // What the store says is news to most peers; what a peer says, the others learn from it or from heartbeats.
        if received.from.is_none() && self.coordination.is_coordinator() {
            self.documents.push(&self.peers, received.kind, None);
        }
    }
}
