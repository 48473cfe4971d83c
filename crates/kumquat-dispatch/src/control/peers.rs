//! The `peers` module provides the links to the other VMs' dispatch processes.
//!
//! Of each pair the VM with the lower name connects, so that one link serves both directions.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use kumquat_protocol::handshake::Identity;
use kumquat_protocol::wire::Message;
use kumquat_state::ident::Vm;
use kumquat_state::ledger::Membership;
use kumquat_transport::link;

use super::Event;

/// First wait before a failed connection is tried again.
const RECONNECT_FIRST: Duration = Duration::from_millis(50);

/// Longest wait before a failed connection is tried again.
///
/// It stays below the suspicion time, so that a link that comes back does not lead to a fence.
const RECONNECT_LAST: Duration = Duration::from_millis(400);

/// Links to other dispatch processes.
#[derive(Debug)]
pub struct Peers {
    me: Vm,
    options: link::Options,
    events: mpsc::Sender<Event>,
    // Sorted by VM.
    known: Vec<Known>,
    // Sorted by VM.
    links: Vec<(Vm, Link)>,
}

#[derive(Debug)]
struct Known {
    vm: Vm,
    address: SocketAddr,
    is_configured: bool,
    dialling: CancellationToken,
}

#[derive(Debug)]
struct Link {
    peer: Identity,
    sender: link::Sender,
    /// Bytes that have been counted already.
    counted: u64,
}

impl Peers {
    /// Creates the set and starts to connect to the configured VMs.
    #[must_use]
    pub fn new(
        me: Vm,
        configured: Vec<(Vm, SocketAddr)>,
        options: link::Options,
        events: mpsc::Sender<Event>,
    ) -> Self {
        let mut peers = Self {
            me,
            options,
            events,
            known: Vec::new(),
            links: Vec::new(),
        };
        for (vm, address) in configured {
            peers.add(&vm, address, true);
        }
        peers
    }

    /// Connects to members that the settings don't name, and drops VMs that are neither members nor configured.
    pub fn set_members(&mut self, membership: &Membership) {
        for member in &membership.members {
            self.add(&member.vm, member.address, false);
        }
        self.known.retain(|known| {
            let keep = known.is_configured || membership.member(&known.vm).is_some();
            if !keep {
                known.dialling.cancel();
            }
            keep
        });
    }

    /// Connects to a VM that the platform lists; addresses from settings and membership take precedence.
    pub fn add_listed(&mut self, vm: &Vm, address: SocketAddr) {
        let is_known = self
            .known
            .binary_search_by(|known| known.vm.cmp(vm))
            .is_ok();
        if !is_known {
            self.add(vm, address, false);
        }
    }

    fn add(&mut self, vm: &Vm, address: SocketAddr, is_configured: bool) {
        if *vm == self.me {
            return;
        }
        let index = match self.known.binary_search_by(|known| known.vm.cmp(vm)) {
            Ok(index) if self.known[index].address == address => return,
            // The settings of a VM name the address under which it is meant to be reached.
            Ok(index) if self.known[index].is_configured => return,
            Ok(index) => {
                self.known.remove(index).dialling.cancel();
                index
            }
            Err(index) => index,
        };
        let known = Known {
            vm: vm.clone(),
            address,
            is_configured,
            dialling: CancellationToken::new(),
        };
        if self.me < *vm {
            let dial = dial(
                address,
                self.options.clone(),
                self.events.clone(),
                known.dialling.clone(),
            );
            tokio::spawn(dial);
        }
        self.known.insert(index, known);
    }

    /// Registers an open link; an older one to the same VM is closed.
    pub fn up(&mut self, peer: Identity, sender: link::Sender) {
        let vm = peer.vm.clone();
        let link = Link {
            peer,
            sender,
            counted: 0,
        };
        match self.links.binary_search_by(|(other, _)| other.cmp(&vm)) {
            Ok(index) => {
                let old = std::mem::replace(&mut self.links[index].1, link);
                old.sender.close();
            }
            Err(index) => self.links.insert(index, (vm, link)),
        }
    }

    /// Forgets a link that has ended, unless a new one has taken its place.
    pub fn down(&mut self, peer: &Identity) {
        if let Ok(index) = self.links.binary_search_by(|(vm, _)| vm.cmp(&peer.vm))
            && self.links[index].1.sender.is_closed()
        {
            self.links.remove(index);
        }
    }

    /// Sends a message to a VM if there is a link; control messages are repeated by their protocols.
    pub fn send(&self, to: &Vm, message: Message) {
        if let Ok(index) = self.links.binary_search_by(|(vm, _)| vm.cmp(to)) {
            drop(self.links[index].1.sender.try_send(message));
        }
    }

    /// Returns the open links.
    pub fn links(&self) -> impl Iterator<Item = (&Vm, &link::Sender)> {
        self.links.iter().map(|(vm, link)| (vm, &link.sender))
    }

    /// Returns who is connected.
    pub fn identities(&self) -> impl Iterator<Item = &Identity> {
        self.links.iter().map(|(_, link)| &link.peer)
    }

    /// Returns the address of a VM.
    #[must_use]
    pub fn address(&self, vm: &Vm) -> Option<SocketAddr> {
        let index = self.known.binary_search_by(|known| known.vm.cmp(vm)).ok()?;
        Some(self.known[index].address)
    }

    /// Drops links that have ended and returns the bytes sent since the last call.
    pub fn tick(&mut self) -> u64 {
        let mut bytes = 0;
        for (_, link) in &mut self.links {
            let sent = link.sender.sent_bytes();
            bytes += sent - link.counted;
            link.counted = sent;
        }
        self.links.retain(|(_, link)| !link.sender.is_closed());
        bytes
    }

    /// Closes all links.
    pub fn close(&mut self) {
        for known in &self.known {
            known.dialling.cancel();
        }
        for (_, link) in self.links.drain(..) {
            link.sender.close();
        }
    }
}

/// Keeps a link to one VM open until cancelled.
async fn dial(
    address: SocketAddr,
    options: link::Options,
    events: mpsc::Sender<Event>,
    stop: CancellationToken,
) {
    let mut wait = RECONNECT_FIRST;
    loop {
        let connected = tokio::select! {
            () = stop.cancelled() => return,
            link = link::open(address, &options) => link,
        };
        if let Ok(link) = connected {
            wait = RECONNECT_FIRST;
            let sender = link.sender.clone();
            tokio::select! {
                () = stop.cancelled() => sender.close(),
                () = read(link, events.clone()) => {}
            }
        }
        // The jitter keeps VMs that lost the same peer from returning all at once.
        let jitter = rand::random_range(0.5..1.0);
        tokio::select! {
            () = stop.cancelled() => return,
            () = sleep(wait.mul_f64(jitter)) => {}
        }
        wait = (wait * 2).min(RECONNECT_LAST);
    }
}

/// Hands the messages of a link to the control loop until it ends.
pub async fn read(mut link: link::Link, events: mpsc::Sender<Event>) {
    let peer = link.peer.clone();
    let up = Event::LinkUp {
        peer: peer.clone(),
        link: link.sender.clone(),
    };
    if events.send(up).await.is_err() {
        return;
    }
    while let Ok(message) = link.receiver.next().await {
        let event = Event::Message {
            peer: peer.clone(),
            link: link.sender.clone(),
            message,
        };
        if events.send(event).await.is_err() {
            break;
        }
    }
    link.sender.close();
    // The control loop ends only with the process.
    drop(events.send(Event::LinkDown { peer }).await);
}
