//! The `peers` module provides the UDP reports in which VMs share in-flight requests, rate usage and observations.
//!
//! Reports are best effort: a lost one is superseded by the next, and no safety property depends on their delivery.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::fleet::reports::{self, Destinations};
use kumquat_coordination::fleet::{HelperOffer, LIMIT_STEP_PER_S, RateUsage, ReportedLimit};
use kumquat_state::clock;
use serde::{Deserialize, Serialize};
use slog::debug;
use tokio::net::UdpSocket;

use crate::coordination::Coordination;
use crate::vm::{Peer, PeerUsage, Vm, short_id};

mod quarantine;
mod rollout;
mod senders;

pub use senders::{Order, Senders};

/// Size of the receive buffer in bytes; a longer datagram is cut off and can't be decoded.
pub const MAX_DATAGRAM_BYTES: usize = 8 * 1024;

/// Bytes of datagrams after which other tasks run, so that a flood of datagrams does not delay requests.
const RECEIVE_BATCH_BYTES: usize = 16 * 1024;

/// Processing of a datagram in addition to that of its bytes, as a number of bytes.
const DATAGRAM_OVERHEAD_BYTES: usize = 512;

/// Delay from the first report of a joining VM to the full report that is sent in response.
///
/// A VM refuses requests of teams whose use at its peers it doesn't know, so it must not wait for the next regular full
/// report. The delay lets one report cover several VMs that join at the same time.
const JOIN_REPORT_DELAY: Duration = Duration::from_millis(40);

/// Delay from the grant of keys to their new owner to the report of it, so that one report covers several of them.
///
/// Until then the other VMs hold requests for these keys back.
const HANDOVER_REPORT_DELAY: Duration = Duration::from_millis(15);

/// Maximum number of upstreams in one datagram from which the sender got responses.
const MAX_REPORTED_RESPONSES: usize = 512;

/// Maximum number of requested keys in one datagram, each of which may be of another service.
const MAX_REPORTED_KEYS: usize = 256;

/// Maximum number of relative latencies in one datagram, which has room for the keys beside them.
const MAX_REPORTED_LATENCIES: usize = 384;

/// Interval at which a VM tells the coordinator of the responses of a service's versions while there is an order.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(200);

/// Short id of the service, revision of the order, applied share in thousandths, requests in flight at old versions, and
/// the counts by route.
pub type EncodedObservation = (u32, u64, u32, u32, Vec<u32>);

/// A report in its CBOR encoding, with one-letter field names to keep datagrams small.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Incarnation of the sending process.
    #[serde(rename = "f")]
    pub sender: u64,
    /// Sequence number of the sender's reports from 1, by which reordered and repeated ones are dropped.
    ///
    /// It is 0 in reports of keys and latencies to the coordinator, which are always counted.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Whether the receiver forwards the report to the VMs of its data centre.
    #[serde(rename = "p", default, skip_serializing_if = "std::ops::Not::not")]
    pub forward: bool,
    /// In-flight requests: short id of the upstream and count, alternating.
    #[serde(rename = "r", default)]
    pub in_flight: Vec<u32>,
    /// Outstanding work of these requests: short id of the upstream and milliseconds, alternating; upstreams may be
    /// missing, and all are if the sender does not route by cost.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub outstanding_work: Vec<u32>,
    /// Use of the teams' rates: the five numbers of each [`RateUsage`] in field order; present in full reports.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub team_usages: Option<Vec<u32>>,
    /// Use of the upstreams' request limits in the form of [`Report::team_usages`]; present in full reports.
    #[serde(rename = "w", default, skip_serializing_if = "Vec::is_empty")]
    pub limit_usages: Vec<u32>,
    /// Request limits in responses to the sender: short id of the upstream, limit in multiples of [`LIMIT_STEP_PER_S`]
    /// (absent if it has ended) and age of the response in milliseconds; present in full reports.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub request_limits: Vec<(u32, Option<u32>, u32)>,
    /// Store revision that the sender has read or written; present in full reports and when other fields change.
    #[serde(rename = "v", default, skip_serializing_if = "Option::is_none")]
    pub store_revision: Option<u64>,
    /// Fencing tokens whose new owners have their grants, by the short id of the service; sent by the coordinator only.
    #[serde(rename = "s", default, skip_serializing_if = "Option::is_none")]
    pub handed_over_tokens: Option<Vec<(u32, u64)>>,
    /// Short ids of draining upstreams.
    #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
    pub draining: Vec<u32>,
    /// Ended exchanges that the sender has observed: fingerprint, short id of the upstream, count, age in milliseconds;
    /// present in full reports.
    #[serde(rename = "x", default, skip_serializing_if = "Vec::is_empty")]
    pub ended_exchanges: Vec<(u64, u32, u32, u32)>,
    /// Quarantines: fingerprint, round, remaining time in milliseconds; present in full reports.
    #[serde(rename = "q", default, skip_serializing_if = "Vec::is_empty")]
    pub quarantines: Vec<(u64, u32, u32)>,
    /// Contents that were cleared: fingerprint and age in milliseconds; present in full reports.
    #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
    pub clearances: Vec<(u64, u32)>,
    /// Address at which the sender serves requests of its peers, and short ids of the services to which it has no path;
    /// present in full reports of VMs that can help.
    #[serde(rename = "h", default, skip_serializing_if = "Option::is_none")]
    pub helper_offer: Option<(SocketAddr, Vec<u32>)>,
    /// Relative latencies in percent by the short id of the upstream; sent to the coordinator only.
    #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
    pub latencies_percent: Vec<(u32, u32)>,
    /// Short ids of the upstreams from which the sender got responses since its last report; sent to the coordinator only.
    #[serde(rename = "a", default, skip_serializing_if = "Vec::is_empty")]
    pub responded: Vec<u32>,
    /// Requested keys by the short id of the service; sent to the coordinator only.
    #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
    pub requested_keys: Vec<(u32, Vec<u16>)>,
    /// Responses of a service's versions since an order; sent to the coordinator only.
    #[serde(rename = "c", default, skip_serializing_if = "Option::is_none")]
    pub observation: Option<EncodedObservation>,
}

impl Report {
    /// Returns reports to the coordinator that together hold all requested keys, by the short id of the service, and all
    /// relative latencies, by the short id of the upstream.
    ///
    /// Each of them fits a datagram. There are none if there is nothing to report.
    #[must_use]
    pub fn for_coordinator(
        sender: u64,
        requested_keys: &[(u32, u16)],
        latencies: &[(u32, f64)],
    ) -> Vec<Self> {
        let mut key_chunks = requested_keys.chunks(MAX_REPORTED_KEYS);
        let mut latency_chunks = latencies.chunks(MAX_REPORTED_LATENCIES);
        let mut reports = Vec::new();
        loop {
            let (keys, latencies) = (key_chunks.next(), latency_chunks.next());
            if keys.is_none() && latencies.is_none() {
                return reports;
            }
            reports.push(Self {
                sender,
                latencies_percent: latencies
                    .unwrap_or_default()
                    .iter()
                    .map(|(id, relative_latency)| (*id, ceil_tenths(relative_latency * 10.0)))
                    .collect(),
                requested_keys: keys_by_service(keys.unwrap_or_default()),
                ..Self::default()
            });
        }
    }

    /// Encodes the report as CBOR.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::new();
        match ciborium::into_writer(self, &mut bytes) {
            Ok(()) => bytes,
            Err(error) => unreachable!("a report can be written to memory: {error}"),
        }
    }

    /// Decodes a report from CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a valid report.
    pub fn decode(bytes: &[u8]) -> io::Result<Self> {
        ciborium::from_reader(bytes).map_err(io::Error::other)
    }
}

/// The UDP socket on which this VM exchanges reports with its peers.
#[derive(Debug)]
pub struct ReportExchange {
    vm: Rc<Vm>,
    coordination: Rc<Coordination>,
    socket: UdpSocket,
}

impl ReportExchange {
    /// Binds the socket for reports.
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

    /// Receives and applies the reports of other VMs; never returns.
    pub async fn run_receiver(self: Rc<Self>) {
        let mut senders = Senders::default();
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        let mut batch_bytes = 0;
        loop {
            if batch_bytes >= RECEIVE_BATCH_BYTES {
                batch_bytes = 0;
                tokio::task::yield_now().await;
            }
            let length = match self.socket.recv_from(&mut buffer).await {
                Ok((length, _)) => length,
                Err(error) => {
                    debug!(self.vm.log, "report not received"; "error" => %error);
                    continue;
                }
            };
            batch_bytes += length + DATAGRAM_OVERHEAD_BYTES;
            match Report::decode(&buffer[..length]) {
                Ok(report) => self.apply(report, &mut senders),
                Err(error) => debug!(self.vm.log, "report not understood"; "error" => %error),
            }
        }
    }

    /// Applies a report, unless it is older than another of its sender.
    fn apply(&self, mut report: Report, senders: &mut Senders) {
        if std::mem::take(&mut report.forward) {
            self.forward(&report);
        }
        for (service, keys) in &report.requested_keys {
            self.coordination.record_requests(*service, keys);
        }
        let latencies = report.latencies_percent.iter();
        let latencies: Vec<(u32, f64)> = latencies
            .map(|(id, percent)| (*id, f64::from(*percent) / 100.0))
            .collect();
        self.vm.apply_relative_latencies(&latencies);
        self.vm.record_responses(&report.responded);
        if let Some(observation) = &report.observation {
            self.vm
                .record_rollout_observation(report.sender, rollout::decode(observation));
        }
        if report.sequence == 0 {
            return;
        }
        match senders.record(clock::now(), report.sender, report.sequence) {
            Order::First => self.vm.peer_joined.notify_one(),
            Order::Newer => {}
            Order::Outdated => return,
        }
        if let Some(revision) = report.store_revision {
            self.vm.record_peer_revision(revision);
        }
        self.vm
            .apply_quarantine_report(report.sender, &quarantine::decode(&report));
        if let Some(tokens) = report.handed_over_tokens {
            self.vm.set_handed_over_tokens(tokens);
        }
        self.vm.mark_draining_by_ids(&report.draining);
        if report.team_usages.is_some() {
            let offer = report.helper_offer.take();
            let offer = offer.map(|(address, lost_services)| HelperOffer {
                address,
                lost_services,
            });
            self.vm.record_helper_offer(report.sender, offer);
        }
        let in_flight = pairs(&report.in_flight);
        let work_ms = pairs(&report.outstanding_work);
        let usage = report.team_usages.map(|teams| PeerUsage {
            teams: decode_usages(&teams),
            upstreams: decode_usages(&report.limit_usages),
            limits: decode_limits(&report.request_limits),
        });
        self.vm
            .apply_peer_report(report.sender, &in_flight, &work_ms, usage.as_ref());
    }

    /// Forwards the report of a VM of another data centre to the peers of this VM's data centre.
    fn forward(&self, report: &Report) {
        let bytes = report.encode();
        let local_data_centre = &self.vm.identity.data_centre;
        for peer in &*self.vm.peers() {
            if peer.data_centre == *local_data_centre {
                self.send_to(&bytes, peer.address);
            }
        }
    }

    /// Sends a report of this VM to all peers, directly or by way of forwarders.
    fn broadcast(&self, report: &mut Report, peers: &[Peer], destinations: &Destinations) {
        let bytes = report.encode();
        for position in &destinations.direct {
            self.send_to(&bytes, peers[*position].address);
        }
        if destinations.forwarders.is_empty() {
            return;
        }
        report.forward = true;
        let bytes = report.encode();
        for position in &destinations.forwarders {
            self.send_to(&bytes, peers[*position].address);
        }
    }

    /// Returns the peers to which this VM sends its reports, as positions in `peers`.
    fn destinations(&self, peers: &[Peer]) -> Destinations {
        let identity = &self.vm.identity;
        let data_centres: Vec<&str> = peers.iter().map(|peer| &*peer.data_centre).collect();
        reports::destinations(&identity.name, &identity.data_centre, &data_centres)
    }

    /// Sends reports to the other VMs; never returns.
    ///
    /// A report is sent when something has changed since the last one, and a full report also at regular intervals and
    /// when a VM joins.
    pub async fn run_sender(self: Rc<Self>) {
        let mut sequence = 0;
        let mut last_in_flight = Vec::new();
        let mut last_tokens = None;
        let mut last_draining = Vec::new();
        let mut last_commit_revision = 0;
        let mut last_offer = None;
        let mut last_full_report = clock::now();
        let mut last_observation = last_full_report;
        let mut peers = self.vm.peers();
        let mut destinations = self.destinations(&peers);
        loop {
            let current_peers = self.vm.peers();
            if !Rc::ptr_eq(&current_peers, &peers) {
                destinations = self.destinations(&current_peers);
                peers = current_peers;
            }
            let vms = peers.len() + 1;
            let peer_joined = tokio::select! {
                () = self.vm.peer_joined.notified() => true,
                () = self.vm.handover_completed.notified() => {
                    tokio::time::sleep(HANDOVER_REPORT_DELAY).await;
                    false
                }
                () = tokio::time::sleep(reports::min_report_interval(vms)) => false,
            };
            if peer_joined {
                // Other VMs may join at the same time; one report serves them all.
                tokio::time::sleep(JOIN_REPORT_DELAY).await;
            }
            if clock::now().saturating_since(last_observation) >= OBSERVATION_INTERVAL {
                last_observation = clock::now();
                self.report_observations();
            }
            let is_due =
                reports::is_full_report_due(vms, clock::now().saturating_since(last_full_report));
            let offer = self.vm.helper_offer();
            let is_full =
                is_due || peer_joined || offer != last_offer || self.vm.is_early_report_due();
            let in_flight = self.vm.in_flight_requests();
            let tokens = self.coordination.handed_over_tokens();
            if let Some(tokens) = &tokens {
                self.vm.set_handed_over_tokens(tokens.clone());
            }
            let commit_revision = self.coordination.last_commit_revision();
            let draining = self.vm.draining_ids();
            let has_changes = tokens != last_tokens
                || commit_revision != last_commit_revision
                || draining != last_draining;
            last_commit_revision = commit_revision;
            if !is_full && in_flight == last_in_flight && !has_changes {
                continue;
            }
            sequence += 1;
            let mut report = Report {
                sender: self.vm.identity.incarnation,
                sequence,
                in_flight: flat(&in_flight),
                outstanding_work: flat(&self.vm.outstanding_work()),
                ..Report::default()
            };
            if is_full {
                last_full_report = clock::now();
                let usage = self.vm.next_usage_report();
                report.team_usages = Some(encode_usages(&usage.teams));
                report.limit_usages = encode_usages(&usage.upstreams);
                report.request_limits = encode_limits(&usage.limits);
                last_offer.clone_from(&offer);
                report.helper_offer = offer.map(|offer| (offer.address, offer.lost_services));
                quarantine::encode(&self.vm.next_quarantine_report(), &mut report);
            }
            if is_full || has_changes {
                report.draining.clone_from(&draining);
                report.handed_over_tokens.clone_from(&tokens);
                report.store_revision = Some(self.vm.store_revision().max(commit_revision));
            }
            last_tokens = tokens;
            last_draining = draining;
            last_in_flight = in_flight;
            self.broadcast(&mut report, &peers, &destinations);
            if is_full {
                self.report_to_coordinator();
            }
        }
    }

    /// Sends the requested keys and the relative latencies since the last call to the coordinator.
    fn report_to_coordinator(&self) {
        let requested_keys = self.vm.take_requested_keys().into_iter();
        let requested_keys: Vec<(u32, u16)> = requested_keys
            .map(|(service, key)| (short_id(&service), key))
            .collect();
        let latencies = self.vm.take_relative_latencies();
        let mut responded = self.vm.take_responded();
        responded.truncate(MAX_REPORTED_RESPONSES);
        self.vm.apply_relative_latencies(&latencies);
        let Some(coordinator) = self.vm.coordinator() else {
            return;
        };
        if coordinator == self.vm.identity.name {
            for (service, keys) in keys_by_service(&requested_keys) {
                self.coordination.record_requests(service, &keys);
            }
            return;
        }
        let Some(address) = self.peer_address(&coordinator) else {
            return;
        };
        let sender = self.vm.identity.incarnation;
        let mut reports = Report::for_coordinator(sender, &requested_keys, &latencies);
        if let Some(report) = reports.first_mut() {
            report.responded = responded;
        }
        for report in reports {
            self.send_to(&report.encode(), address);
        }
    }

    /// Tells the coordinator of the responses of services' versions; does nothing without an order.
    fn report_observations(&self) {
        let observations = self.vm.rollout_observations();
        if observations.is_empty() {
            return;
        }
        let Some(coordinator) = self.vm.coordinator() else {
            return;
        };
        let sender = self.vm.identity.incarnation;
        if coordinator == self.vm.identity.name {
            for observation in observations {
                self.vm.record_rollout_observation(sender, observation);
            }
        } else if let Some(address) = self.peer_address(&coordinator) {
            for observation in &observations {
                self.send_to(&rollout::report(sender, observation).encode(), address);
            }
        }
    }

    fn peer_address(&self, name: &str) -> Option<SocketAddr> {
        let peers = self.vm.peers();
        let peer = peers.iter().find(|peer| peer.name == name);
        peer.map(|peer| peer.address)
    }

    /// Sends a datagram without waiting for room in the send buffer.
    fn send_to(&self, bytes: &[u8], address: SocketAddr) {
        // A full send buffer loses the report, as the network may.
        if let Err(error) = self.socket.try_send_to(bytes, address) {
            debug!(self.vm.log, "report not sent"; "to" => %address, "error" => %error);
        }
    }
}

/// Groups keys by the short id of their service, in the order in which the services first occur.
fn keys_by_service(requested_keys: &[(u32, u16)]) -> Vec<(u32, Vec<u16>)> {
    let mut by_service: Vec<(u32, Vec<u16>)> = Vec::new();
    for (id, key) in requested_keys {
        match by_service.iter_mut().find(|(other, _)| other == id) {
            Some((_, keys)) => keys.push(*key),
            None => by_service.push((*id, vec![*key])),
        }
    }
    by_service
}

/// Returns a value in tenths, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn ceil_tenths(value: f64) -> u32 {
    (value * 10.0).ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}

/// Returns a limit in requests per second as a multiple of [`LIMIT_STEP_PER_S`].
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn limit_steps(rate_per_s: f64) -> u32 {
    (rate_per_s / LIMIT_STEP_PER_S)
        .round()
        .clamp(0.0, f64::from(u32::MAX)) as u32
}

fn encode_usages(usages: &[RateUsage]) -> Vec<u32> {
    let numbers = usages.iter().flat_map(|usage| {
        [
            usage.limit_id,
            usage.requested,
            usage.consumed,
            usage.recent_requested,
            usage.recent_consumed,
        ]
    });
    numbers.collect()
}

fn decode_usages(flat: &[u32]) -> Vec<RateUsage> {
    let usages = flat.chunks_exact(5).map(|numbers| RateUsage {
        limit_id: numbers[0],
        requested: numbers[1],
        consumed: numbers[2],
        recent_requested: numbers[3],
        recent_consumed: numbers[4],
    });
    usages.collect()
}

fn encode_limits(limits: &[ReportedLimit]) -> Vec<(u32, Option<u32>, u32)> {
    let limits = limits.iter().map(|limit| {
        let millis = u32::try_from(limit.age.as_millis()).unwrap_or(u32::MAX);
        (limit.id, limit.rate_per_s.map(limit_steps), millis)
    });
    limits.collect()
}

fn decode_limits(limits: &[(u32, Option<u32>, u32)]) -> Vec<ReportedLimit> {
    let limits = limits.iter().map(|(id, steps, millis)| ReportedLimit {
        id: *id,
        rate_per_s: steps.map(|steps| f64::from(steps) * LIMIT_STEP_PER_S),
        age: Duration::from_millis(u64::from(*millis)),
    });
    limits.collect()
}

fn flat(pairs: &[(u32, u32)]) -> Vec<u32> {
    pairs.iter().flat_map(|pair| [pair.0, pair.1]).collect()
}

fn pairs(flat: &[u32]) -> Vec<(u32, u32)> {
    let pairs = flat.chunks_exact(2);
    pairs.map(|pair| (pair[0], pair[1])).collect()
}
