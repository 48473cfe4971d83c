//! The `peers` module provides the reports that VMs send each other about what they have under way.
//!
//! Reports are datagrams: a lost one is replaced by the next, and nothing that must hold depends on one.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::fleet::TeamUsage;
use kumquat_coordination::fleet::reports::{self, Destinations};
use kumquat_state::clock;
use serde::{Deserialize, Serialize};
use slog::debug;
use tokio::net::UdpSocket;

use crate::coordination::Coordination;
use crate::sorted;
use crate::vm::{Peer, Vm, short_id};

/// Largest datagram that is read, in bytes.
const DATAGRAM_LIMIT: usize = 8 * 1024;

/// Time between the first sign of a VM that has joined and the report that tells it of this one.
///
/// A VM refuses requests of the teams whose use it doesn't know, so that it should not have to wait for the next report.
const GREETING_PAUSE: Duration = Duration::from_millis(40);

/// Keys of one datagram; the rest goes with the next one.
const KEYS_LIMIT: usize = 512;

/// A report as it travels.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Number of the sending process.
    #[serde(rename = "f")]
    pub from: u64,
    /// Position in the order of the sender's reports; datagrams may overtake each other.
    #[serde(rename = "n")]
    pub number: u64,
    /// Whether the receiver is to pass the report on to the VMs of its data centre.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub pass_on: bool,
    /// Requests under way: id of the upstream and count, in turn.
    #[serde(rename = "r", default)]
    pub running: Vec<u32>,
    /// Use of the teams' rates: the five numbers of each [`TeamUsage`], in turn; present in full reports.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub usages: Option<Vec<u32>>,
    /// Revision of the store that the sender has read up to; present in full reports.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub revision: Option<u64>,
    /// Fencing tokens whose owners have their grants, by service; sent by the coordinator only.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub settled: Option<Vec<(u32, u64)>>,
    /// Upstreams that are about to stop, by their ids.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub leaving: Vec<u32>,
    /// Latencies relative to others in percent: id of the upstream and figure, for the coordinator only.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub latencies: Vec<(u32, u32)>,
    /// Keys of requests by service, for the coordinator only.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub keys: Vec<(u32, Vec<u16>)>,
}

impl Report {
    /// Encodes the report.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        match ciborium::into_writer(self, &mut bytes) {
            Ok(()) => bytes,
            Err(error) => unreachable!("a report can be written to memory: {error}"),
        }
    }

    /// Decodes a report.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no report.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        ciborium::from_reader(bytes).map_err(io::Error::other)
    }
}

/// The exchange of reports.
#[derive(Debug)]
pub struct ReportExchange {
    vm: Rc<Vm>,
    coordination: Rc<Coordination>,
    socket: UdpSocket,
}

impl ReportExchange {
    /// Opens the socket for reports.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(
        vm: Rc<Vm>,
        coordination: Rc<Coordination>,
        address: SocketAddr,
    ) -> io::Result<Rc<Self>> {
        let socket = UdpSocket::bind(address).await?;
        Ok(Rc::new(Self {
            vm,
            coordination,
            socket,
        }))
    }

    /// Takes the reports of other VMs for as long as the process runs.
    pub async fn run_receiver(self: Rc<Self>) {
        let mut numbers: Vec<(u64, u64)> = Vec::new();
        let mut buffer = vec![0; DATAGRAM_LIMIT];
        loop {
            let length = match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => length,
                Err(error) => {
                    debug!(self.vm.log, "report not received"; "error" => %error);
                    continue;
                }
            };
            match Report::decode(&buffer[..length]) {
                Ok(report) => self.take(report, &mut numbers),
                Err(error) => debug!(self.vm.log, "report not understood"; "error" => %error),
            }
        }
    }

    fn take(&self, mut report: Report, numbers: &mut Vec<(u64, u64)>) {
        if std::mem::take(&mut report.pass_on) {
            self.pass_on(&report);
        }
        for (service, keys) in &report.keys {
            self.coordination.record_requests(*service, keys);
        }
        let latencies = report.latencies.iter();
        let latencies: Vec<(u32, f64)> = latencies
            .map(|(id, percent)| (*id, f64::from(*percent) / 100.0))
            .collect();
        self.vm.apply_relative_latencies(&latencies);
        let last = sorted::get_or_insert_with(numbers, &report.from, || (report.from, 0));
        if report.number <= *last {
            return;
        }
        if *last == 0 {
            self.vm.peer_joined.notify_one();
        }
        *last = report.number;
        if let Some(revision) = report.revision {
            self.vm.record_peer_revision(revision);
        }
        if let Some(settled) = report.settled {
            self.vm.set_handed_over_tokens(settled);
        }
        self.vm.mark_draining_by_ids(&report.leaving);
        let running = pairs(&report.running);
        let usages = report.usages.map(|usages| decode_usages(&usages));
        self.vm
            .apply_peer_report(report.from, &running, usages.as_deref());
    }

    /// Sends the report of a VM of another data centre to the VMs of this one.
    fn pass_on(&self, report: &Report) {
        let bytes = report.encode();
        let own = &self.vm.identity.data_centre;
        for peer in &*self.vm.peers() {
            if peer.data_centre == *own {
                self.post(&bytes, peer.address);
            }
        }
    }

    /// Sends a report of this VM's own to all others.
    fn post_all(&self, report: &mut Report, peers: &[Peer], destinations: &Destinations) {
        let bytes = report.encode();
        for position in &destinations.direct {
            self.post(&bytes, peers[*position].address);
        }
        if destinations.forwarders.is_empty() {
            return;
        }
        report.pass_on = true;
        let bytes = report.encode();
        for position in &destinations.forwarders {
            self.post(&bytes, peers[*position].address);
        }
    }

    /// Returns where this VM sends its reports.
    fn destinations(&self, peers: &[Peer]) -> Destinations {
        let identity = &self.vm.identity;
        let centres: Vec<&str> = peers.iter().map(|peer| &*peer.data_centre).collect();
        reports::destinations(&identity.name, &identity.data_centre, &centres)
    }

    /// Sends reports to the other VMs for as long as the process runs.
    pub async fn run_sender(self: Rc<Self>) {
        let mut number = 0;
        let mut last_running = Vec::new();
        let mut last_settled = None;
        let mut last_leaving = Vec::new();
        let mut last_commit = 0;
        let mut last_full = clock::now();
        let mut peers = self.vm.peers();
        let mut destinations = self.destinations(&peers);
        loop {
            let known = self.vm.peers();
            if !Rc::ptr_eq(&known, &peers) {
                destinations = self.destinations(&known);
                peers = known;
            }
            let vms = peers.len() + 1;
            let has_joined = tokio::select! {
                () = self.vm.peer_joined.notified() => true,
                () = tokio::time::sleep(reports::min_report_interval(vms)) => false,
            };
            if has_joined {
                // Others may join at the same time.
                tokio::time::sleep(GREETING_PAUSE).await;
            }
            let is_due = reports::is_full_report_due(vms, clock::now().saturating_since(last_full));
            let is_full = is_due || has_joined || self.vm.is_early_report_due();
            let running = self.vm.in_flight_requests();
            let settled = self.coordination.handed_over_tokens();
            if let Some(settled) = &settled {
                self.vm.set_handed_over_tokens(settled.clone());
            }
            let commit = self.coordination.last_commit_revision();
            let leaving = self.vm.draining_ids();
            let is_news =
                settled != last_settled || commit != last_commit || leaving != last_leaving;
            last_commit = commit;
            if !is_full && running == last_running && !is_news {
                continue;
            }
            number += 1;
            let mut report = Report {
                from: self.vm.identity.incarnation,
                number,
                running: running.iter().flat_map(|pair| [pair.0, pair.1]).collect(),
                ..Report::default()
            };
            if is_full {
                last_full = clock::now();
                report.usages = Some(encode_usages(&self.vm.next_usage_report()));
            }
            if is_full || is_news {
                report.leaving.clone_from(&leaving);
                report.settled.clone_from(&settled);
                report.revision = Some(self.vm.store_revision().max(commit));
            }
            last_settled = settled;
            last_leaving = leaving;
            last_running = running;
            self.post_all(&mut report, &peers, &destinations);
            if is_full {
                self.send_keys();
            }
        }
    }

    /// Sends the keys of requests to the coordinator.
    fn send_keys(&self) {
        let mut keys: Vec<(u32, Vec<u16>)> = Vec::new();
        for (service, key) in self.vm.take_requested_keys().into_iter().take(KEYS_LIMIT) {
            let id = short_id(&service);
            match keys.iter_mut().find(|(other, _)| *other == id) {
                Some((_, keys)) => keys.push(key),
                None => keys.push((id, vec![key])),
            }
        }
        let latencies = self.vm.take_relative_latencies();
        self.vm.apply_relative_latencies(&latencies);
        let Some(leader) = self.vm.coordinator() else {
            return;
        };
        if leader == self.vm.identity.name {
            for (service, keys) in &keys {
                self.coordination.record_requests(*service, keys);
            }
            return;
        }
        let peers = self.vm.peers();
        let peer = peers.iter().find(|peer| peer.name == leader);
        if let (Some(peer), false) = (peer, keys.is_empty() && latencies.is_empty()) {
            let latencies = latencies.into_iter();
            let report = Report {
                from: self.vm.identity.incarnation,
                latencies: latencies
                    .map(|(id, relative)| (id, tenths(relative * 10.0)))
                    .collect(),
                keys,
                ..Report::default()
            };
            self.post(&report.encode(), peer.address);
        }
    }

    fn post(&self, bytes: &[u8], address: SocketAddr) {
        // A full socket loses the report, as the network may.
        if let Err(error) = self.socket.try_send_to(bytes, address) {
            debug!(self.vm.log, "report not sent"; "to" => %address, "error" => %error);
        }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a demand lies far below the largest value"
)]
fn tenths(demand: f64) -> u32 {
    (demand * 10.0).ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}

fn encode_usages(usages: &[TeamUsage]) -> Vec<u32> {
    let numbers = usages.iter().flat_map(|usage| {
        [
            usage.team_id,
            usage.requested,
            usage.consumed,
            usage.recent_requested,
            usage.recent_consumed,
        ]
    });
    numbers.collect()
}

fn decode_usages(flat: &[u32]) -> Vec<TeamUsage> {
    let usages = flat.chunks_exact(5).map(|numbers| TeamUsage {
        team_id: numbers[0],
        requested: numbers[1],
        consumed: numbers[2],
        recent_requested: numbers[3],
        recent_consumed: numbers[4],
    });
    usages.collect()
}

fn pairs(flat: &[u32]) -> Vec<(u32, u32)> {
    let pairs = flat.chunks_exact(2);
    pairs.map(|pair| (pair[0], pair[1])).collect()
}
