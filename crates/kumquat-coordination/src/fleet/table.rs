//! The `table` module provides the choice of the upstream for a request, from what this VM and its peers have under way.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquat_state::clock::Instant;

mod row;

use row::{LATENCY_FACTOR_EWMA_WEIGHT, LOAD_TTL, MAX_WARMUP_VMS, Row, instance_id, warmup_bucket};

/// Age at which a peer's report of its running requests no longer counts; a peer reports several times a second.
const REPORT_LIFE: Duration = Duration::from_secs(1);

/// Requests that may wait at an upstream beyond its slots, so that a slot is not idle while an answer travels.
const QUEUED_AT_UPSTREAM: u32 = 2;

/// VMs up to which reports are fresh enough to choose among all upstreams.
const FRESH_VMS: u32 = 9;

/// Upstreams among which a request's is chosen at least; two random ones already avoid most of the queueing.
const LEAST_CONSIDERED: f64 = 2.0;

/// How much slower an upstream in another data centre counts; traffic between data centres is paid for.
const DISTANCE_COST: f64 = 0.1;

/// Removed upstreams that were about to stop and are remembered.
const LEFT_LIMIT: usize = 256;

/// Largest part by which costs are varied at random, so that VMs with the same view do not all choose the same upstream.
const NOISE: f64 = 0.1;

/// An upstream as the registry describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInstance {
    /// Name under which it registered.
    pub name: Arc<str>,
    /// Start of this life of the upstream; the same name with another start knows nothing of before.
    pub incarnation: u64,
    /// Service that it answers.
    pub service: Arc<str>,
    /// Data centre in which it runs.
    pub data_centre: Arc<str>,
    /// Address of its HTTP endpoint.
    pub address: SocketAddr,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to stop.
    pub is_draining: bool,
    /// Time for which it stays cold.
    pub warmup_remaining: Duration,
}

/// What an upstream says about itself in an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// How long work takes at this moment, relative to the usual.
    pub service_time_factor: f64,
}

/// How a request at an upstream ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// An answer came; its latency is relative to what the route's requests usually take.
    Completed {
        /// Latency relative to the route's mean.
        relative_latency: f64,
    },
    /// The upstream had no room.
    Shed,
    /// No connection was established.
    Unreachable,
    /// The answer was broken, missing or a failure.
    Failed {
        /// Time that it took relative to the route's mean, if it ended by the passing of time.
        relative_latency: Option<f64>,
    },
    /// Bytes came that are no answer.
    MalformedResponse,
    /// The caller left, which says nothing about the upstream.
    CallerDisconnected,
}

/// What the table says about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// Send it to this upstream.
    Selected(UpstreamInstance),
    /// All upstreams that could run it are busy.
    Busy,
    /// No upstream can run it.
    NoneEligible,
}

#[derive(Clone, Debug)]
struct Peer {
    id: u64,
    at: Instant,
    // Requests under way by upstream, sorted by its id.
    running: Vec<(u32, u32)>,
}

/// The upstreams, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    rows: Vec<Row>,
    peers: Vec<Peer>,
    closed: Vec<Arc<str>>,
    // Short ids of removed upstreams that were about to stop, the newest last.
    left: VecDeque<u32>,
    home: Option<Arc<str>>,
    vms: u32,
    rank: u32,
}

impl UpstreamTable {
    /// Sets the data centre of this VM, whose upstreams are preferred to equal ones elsewhere.
    pub fn set_local_data_centre(&mut self, home: &str) {
        self.home = Some(Arc::from(home));
    }

    /// Sets the number of VMs that share the upstreams and the position of this one among them.
    pub fn set_vms(&mut self, vms: usize, rank: usize) {
        self.vms = u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
        self.rank = u32::try_from(rank).unwrap_or(u32::MAX);
    }

    /// Returns whether this VM is one of those that may send to the upstream while it is cold.
    fn may_warm(&self, row: &Row) -> bool {
        let position = (u64::from(row.id) + u64::from(self.rank)) % u64::from(self.vms.max(1));
        position < u64::from(MAX_WARMUP_VMS)
    }

    /// Sets the data centres that get nothing, sorted, and turns upstreams of reopened ones cold for `cold_for`.
    pub fn set_closed_data_centres(
        &mut self,
        now: Instant,
        closed: &[Arc<str>],
        warmup_remaining: Duration,
    ) {
        for row in &mut self.rows {
            let centre = &row.upstream.data_centre;
            if self.closed.binary_search(centre).is_ok() && closed.binary_search(centre).is_err() {
                row.warmup_until = row.warmup_until.max(now + warmup_remaining);
            }
        }
        self.closed = closed.to_vec();
    }

    /// Returns the data centres that get nothing.
    #[must_use]
    pub fn closed_data_centres(&self) -> &[Arc<str>] {
        &self.closed
    }

    /// Adds an upstream, or takes over what changed of it. `cold_rate` is what it bears while cold, over all VMs.
    pub fn upsert(&mut self, now: Instant, server: UpstreamInstance, cold_rate: f64) {
        let cold_until = now + server.warmup_remaining;
        match self.position(&server.name) {
            Ok(position) => {
                let is_reborn = self.rows[position].upstream.incarnation != server.incarnation;
                if is_reborn {
                    let id = instance_id(&server);
                    self.rows[position] = Row::new(now, server, id, cold_rate, self.vms);
                } else {
                    let row = &mut self.rows[position];
                    row.upstream = server;
                    if row.warmup_until <= now {
                        row.warmup_bucket = warmup_bucket(now, cold_rate, self.vms);
                    }
                }
                let row = &mut self.rows[position];
                row.warmup_until = row.warmup_until.max(cold_until);
            }
            Err(position) => {
                let id = instance_id(&server);
                let mut row = Row::new(now, server, id, cold_rate, self.vms);
                row.warmup_until = cold_until;
                // An entry can lapse with the store and come back while its upstream is still about to stop.
                row.is_drain_announced = self.left.contains(&id);
                self.rows.insert(position, row);
            }
        }
    }

    /// Sets what each upstream bears while cold, by its service; those that are cold now keep their limit.
    pub fn set_warmup_rates(&mut self, now: Instant, rate: impl Fn(&str) -> f64) {
        for row in self.rows.iter_mut().filter(|row| row.warmup_until <= now) {
            row.warmup_bucket = warmup_bucket(now, rate(&row.upstream.service), self.vms);
        }
    }

    /// Removes an upstream.
    pub fn remove(&mut self, name: &str) {
        let Ok(position) = self.position(name) else {
            return;
        };
        let row = self.rows.remove(position);
        if row.is_drain_announced {
            self.left.push_back(row.id);
            if self.left.len() > LEFT_LIMIT {
                self.left.pop_front();
            }
        }
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamInstance> {
        self.rows.iter().map(|row| &row.upstream)
    }

    /// Returns whether requests may be sent to an upstream at all.
    #[must_use]
    pub fn accepts_requests(&self, server: &UpstreamInstance) -> bool {
        let row = self.life(&server.name, server.incarnation);
        row.is_some_and(|row| self.is_row_open(row))
    }

    fn is_row_open(&self, row: &Row) -> bool {
        let centre = &row.upstream.data_centre;
        !row.upstream.is_draining
            && !row.is_drain_announced
            && self.closed.binary_search(centre).is_err()
    }

    /// Notes that a life of an upstream is about to stop; returns whether that is news.
    pub fn mark_draining(&mut self, name: &str, incarnation: u64) -> bool {
        let row = self.life_mut(name, incarnation);
        row.is_some_and(|row| !std::mem::replace(&mut row.is_drain_announced, true))
    }

    /// Returns the short ids of the upstreams that have said that they are about to stop.
    #[must_use]
    pub fn draining_ids(&self) -> Vec<u32> {
        let leaving = self.rows.iter().filter(|row| row.is_drain_announced);
        leaving.map(|row| row.id).collect()
    }

    /// Returns the upstream with a short id.
    #[must_use]
    pub fn upstream_by_id(&self, id: u32) -> Option<&UpstreamInstance> {
        let row = self.rows.iter().find(|row| row.id == id);
        row.map(|row| &row.upstream)
    }

    /// Sends a life of an upstream nothing until a time that it has named.
    pub fn set_backoff(&mut self, name: &str, incarnation: u64, until: Instant) {
        if let Some(row) = self.life_mut(name, incarnation) {
            row.backoff_until = row.backoff_until.max(until);
        }
    }

    /// Returns the time until which a life of an upstream wants nothing from this VM.
    #[must_use]
    pub fn backoff_until(&self, name: &str, incarnation: u64) -> Instant {
        self.life(name, incarnation)
            .map_or(Instant::ORIGIN, |row| row.backoff_until)
    }

    /// Returns the time for which all upstreams of a service that could run a request want nothing from this VM.
    #[must_use]
    pub fn remaining_backoff(&self, now: Instant, service: &str) -> Duration {
        let open = self.rows.iter();
        let open = open.filter(|row| &*row.upstream.service == service && self.is_row_open(row));
        let left = open.map(|row| now.until(row.backoff_until));
        left.min().unwrap_or_default()
    }

    fn life(&self, name: &str, incarnation: u64) -> Option<&Row> {
        let row = &self.rows[self.position(name).ok()?];
        (row.upstream.incarnation == incarnation).then_some(row)
    }

    fn life_mut(&mut self, name: &str, incarnation: u64) -> Option<&mut Row> {
        let position = self.position(name).ok()?;
        let row = &mut self.rows[position];
        (row.upstream.incarnation == incarnation).then_some(row)
    }

    /// Returns the time until which an upstream is cold.
    #[must_use]
    pub fn warmup_until(&self, name: &str) -> Instant {
        self.position(name)
            .map_or(Instant::ORIGIN, |position| self.rows[position].warmup_until)
    }

    /// Returns how slow an upstream is in the long run, relative to the others.
    #[must_use]
    pub fn latency_factor(&self, name: &str) -> f64 {
        self.position(name)
            .map_or(1.0, |position| self.rows[position].latency_factor)
    }

    /// Takes the latency that a request had at an upstream, relative to others, here or at another VM.
    pub fn record_latency(&mut self, id: u32, relative_latency: f64) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.id == id) {
            row.latency_factor += LATENCY_FACTOR_EWMA_WEIGHT
                * (relative_latency.clamp(0.3, 3.0) - row.latency_factor);
        }
    }

    /// Returns the short id of an upstream that reports carry.
    #[must_use]
    pub fn upstream_id(&self, name: &str) -> Option<u32> {
        let position = self.position(name).ok()?;
        Some(self.rows[position].id)
    }

    /// Returns the requests under way at an upstream, as far as this VM knows.
    #[must_use]
    pub fn in_flight_at(&self, now: Instant, name: &str) -> u32 {
        self.position(name)
            .map_or(0, |position| self.busy(now, position))
    }

    /// Returns the slots of the upstreams of a service that take requests.
    #[must_use]
    pub fn total_slots(&self, service: &str) -> u32 {
        let open = self
            .rows
            .iter()
            .filter(|row| &*row.upstream.service == service && self.is_row_open(row));
        open.map(|row| row.upstream.slots).sum()
    }

    /// Takes a peer's report of the requests that it has under way.
    pub fn record_peer_report(&mut self, now: Instant, peer: u64, running: &[(u32, u32)]) {
        let mut running = running.to_vec();
        running.sort_unstable();
        let peer = Peer {
            id: peer,
            at: now,
            running,
        };
        match self.peers.binary_search_by_key(&peer.id, |other| other.id) {
            Ok(position) => self.peers[position] = peer,
            Err(position) => self.peers.insert(position, peer),
        }
    }

    /// Returns the requests under way, for the report to the peers.
    #[must_use]
    pub fn own_in_flight(&self) -> Vec<(u32, u32)> {
        let busy = self.rows.iter().filter(|row| row.own_in_flight > 0);
        busy.map(|row| (row.id, row.own_in_flight)).collect()
    }

    /// Chooses the upstream that is expected to answer soonest; `noise` is a random number from 0 to 1 that keeps VMs
    /// with the same view apart, `tried` are the upstreams that the request has been sent to.
    pub fn select(
        &mut self,
        now: Instant,
        service: &str,
        tried: &[Arc<str>],
        noise: impl Fn() -> f64,
    ) -> Selection {
        self.expire(now);
        let part = self.considered(service);
        let mut best: Option<(f64, usize)> = None;
        let mut is_possible = false;
        // The first that can run the request is always considered, so that it must not always be the same one.
        let start = random_position(noise(), self.rows.len());
        for index in (start..self.rows.len()).chain(0..start) {
            let row = &self.rows[index];
            if &*row.upstream.service != service || !self.is_row_open(row) {
                continue;
            }
            if tried.contains(&row.upstream.name) {
                continue;
            }
            is_possible = true;
            let busy = self.busy(now, index);
            let may_warm = self.may_warm(row);
            let is_home = self.home.as_ref() == Some(&row.upstream.data_centre);
            let row = &mut self.rows[index];
            let is_resting = row.ejected_until > now || row.backoff_until > now;
            if busy >= row.upstream.slots + QUEUED_AT_UPSTREAM || is_resting {
                continue;
            }
            if row.is_warming_up(now) && (!may_warm || row.warmup_bucket.wait_at(now) > 0.0) {
                continue;
            }
            let distance = if is_home { 0.0 } else { DISTANCE_COST };
            if best.is_some() && noise() >= part {
                continue;
            }
            let cost = row.cost(now, busy) * (1.0 + distance + NOISE * noise());
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, index));
            }
        }
        match best {
            Some((_, index)) => self.take(now, index),
            None if is_possible => Selection::Busy,
            None => Selection::NoneEligible,
        }
    }

    /// Returns the part of a service's upstreams among which a request's is chosen.
    ///
    /// Reports come less often in larger fleets. If all VMs chose the best of all upstreams by the same old reports, they
    /// would all choose the same one.
    fn considered(&self, service: &str) -> f64 {
        let open = self
            .rows
            .iter()
            .filter(|row| &*row.upstream.service == service);
        let count = u32::try_from(open.count().max(1)).unwrap_or(u32::MAX);
        let by_vms = f64::from(FRESH_VMS) / f64::from(self.vms.max(1));
        by_vms.max(LEAST_CONSIDERED / f64::from(count)).min(1.0)
    }

    /// Sends a request to the one upstream that may run it, if it has room.
    pub fn select_owner(&mut self, now: Instant, name: &str, incarnation: u64) -> Selection {
        self.expire(now);
        let Ok(index) = self.position(name) else {
            return Selection::NoneEligible;
        };
        let row = &self.rows[index];
        if row.upstream.incarnation != incarnation || !self.is_row_open(row) {
            return Selection::NoneEligible;
        }
        let busy = self.busy(now, index);
        let may_warm = self.may_warm(row);
        let row = &mut self.rows[index];
        let is_full = busy >= row.upstream.slots + QUEUED_AT_UPSTREAM;
        let is_limited =
            row.is_warming_up(now) && (!may_warm || row.warmup_bucket.wait_at(now) > 0.0);
        let is_resting = row.ejected_until > now || row.backoff_until > now;
        if is_full || is_resting || is_limited {
            return Selection::Busy;
        }
        self.take(now, index)
    }

    /// Notes how a request ended that was sent to an upstream.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        name: &str,
        incarnation: u64,
        ended: AttemptOutcome,
        load: Option<UpstreamLoad>,
    ) {
        let Ok(index) = self.position(name) else {
            return;
        };
        let row = &mut self.rows[index];
        if row.upstream.incarnation != incarnation {
            return;
        }
        row.own_in_flight = row.own_in_flight.saturating_sub(1);
        if let Some(load) = load {
            row.load = Some((load, now));
        }
        row.record_outcome(now, ended);
    }

    fn take(&mut self, now: Instant, index: usize) -> Selection {
        let row = &mut self.rows[index];
        if row.is_warming_up(now) {
            row.warmup_bucket.force(now);
        }
        row.own_in_flight += 1;
        Selection::Selected(row.upstream.clone())
    }

    fn busy(&self, now: Instant, index: usize) -> u32 {
        let row = &self.rows[index];
        let remote: u32 = self
            .peers
            .iter()
            .filter_map(|peer| {
                let found = peer.running.binary_search_by_key(&row.id, |entry| entry.0);
                found.ok().map(|position| peer.running[position].1)
            })
            .sum();
        let known = row.own_in_flight + remote;
        // The upstream's own count also holds what VMs have sent whose reports are missing.
        match row.load {
            Some((load, at)) if now.saturating_since(at) < LOAD_TTL => {
                known.max((load.running + load.waiting).saturating_sub(1))
            }
            _ => known,
        }
    }

    fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|peer| now.saturating_since(peer.at) < REPORT_LIFE);
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (*row.upstream.name).cmp(name))
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the position lies between zero and the number of upstreams"
)]
fn random_position(noise: f64, count: usize) -> usize {
    ((noise * count as f64) as usize).min(count.saturating_sub(1))
}
