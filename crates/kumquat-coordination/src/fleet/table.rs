//! The `table` module provides load balancing over the upstreams, based on the in-flight requests of this VM and its
//! peers.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquat_state::clock::Instant;

use super::rollout::{Gates, Side};
use super::{AnnouncedLimits, RateLimiter, random_index};

mod explain;
mod limits;
mod notices;
mod rollout;
mod row;
mod select;
mod work;

pub use explain::{Candidate, Obstacle};
use row::{LATENCY_FACTOR_EWMA_WEIGHT, LOAD_TTL, MAX_WARMUP_VMS, Row, instance_id};
pub use work::{FinishedWork, RequestWork};

/// Age at which a peer's report of its in-flight requests is discarded; a peer reports several times a second.
const PEER_REPORT_TTL: Duration = Duration::from_secs(1);

/// Requests that may be queued at an upstream beyond its slots, so that a slot is not idle while a response is in
/// transit.
const MAX_QUEUED_AT_UPSTREAM: u32 = 2;

/// An upstream as the registry describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamInstance {
    /// Name under which it registered.
    pub name: Arc<str>,
    /// Distinguishes restarts under the same name; a new incarnation has no state of the one before.
    pub incarnation: u64,
    /// Service whose requests it handles.
    pub service: Arc<str>,
    /// Version of the service that it runs; empty if its entry states none.
    pub version: Arc<str>,
    /// Data centre in which it runs; it gets no requests while that is closed.
    pub data_centre: Arc<str>,
    /// Address at which it listens for HTTP requests.
    pub address: SocketAddr,
    /// Number of requests that it processes concurrently; further ones wait in its queue.
    pub slots: u32,
    /// Whether it is registered as shutting down; it then gets no new requests.
    pub is_draining: bool,
    /// Remaining warm-up, counted from the [`UpstreamTable::upsert`], during which its request rate is limited.
    pub warmup_remaining: Duration,
}

/// Load that an upstream reports in a response.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UpstreamLoad {
    /// Number of requests in process, including the one of the response.
    pub running: u32,
    /// Number of requests in the upstream's queue.
    pub waiting: u32,
    /// Number of requests that it can process concurrently.
    pub slots: u32,
    /// Present service time relative to the upstream's usual one: 1.0 is usual, 2.0 takes twice as long.
    pub service_time_factor: f64,
}

/// Outcome of sending a request to an upstream once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptOutcome {
    /// A complete response was received.
    Completed {
        /// Latency divided by the route's mean latency.
        relative_latency: f64,
    },
    /// The upstream refused the request without executing it, mostly because of overload.
    Shed,
    /// No connection could be established.
    Unreachable,
    /// The response was incomplete, missing, not genuine or an error.
    Failed {
        /// Time until the failure divided by the route's mean latency; only present for a timeout.
        relative_latency: Option<f64>,
    },
    /// The received bytes are not a valid HTTP response.
    MalformedResponse,
    /// The attempt ended for a reason that says nothing about the upstream, mostly because the caller disconnected.
    CallerDisconnected,
}

/// Result of selecting an upstream for a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Selection {
    /// The request is to be sent to this upstream and counts as in flight there until its outcome is recorded.
    Selected(UpstreamInstance),
    /// Eligible upstreams exist, but all are full, ejected, in back-off or limited by their warm-up; waiting can help.
    Busy,
    /// All upstreams that could take the request now have announced a request limit that is reached.
    OverLimit {
        /// Upstream whose limit allows the next request.
        upstream: Arc<str>,
        /// Time until then.
        wait: Duration,
    },
    /// No upstream is eligible, so that waiting does not help.
    NoneEligible,
}

/// Result of comparing the upstreams of a service.
#[derive(Clone, Copy, Debug)]
struct Scan {
    /// Position of the upstream with the lowest cost.
    best: Option<usize>,
    /// Whether an eligible upstream can't take a request now, so that waiting can help.
    has_busy: bool,
}

#[derive(Clone, Debug)]
struct PeerReport {
    vm: u64,
    received: Instant,
    // In-flight requests by the upstream's short id, sorted by it.
    in_flight: Vec<(u32, u32)>,
    // Outstanding work in milliseconds by the upstream's short id, sorted by it; upstreams may be missing.
    work_ms: Vec<(u32, u32)>,
}

/// Upstreams sorted by name, with the state from which this VM selects one for a request.
#[derive(Clone, Debug, Default)]
pub struct UpstreamTable {
    rows: Vec<Row>,
    peer_reports: Vec<PeerReport>,
    closed_data_centres: Vec<Arc<str>>,
    // Short ids of upstreams without a row that have announced their shutdown, the newest last.
    removed_draining: VecDeque<u32>,
    local_data_centre: Option<Arc<str>>,
    vms: u32,
    local_vms: u32,
    vm_position: u32,
    announced_limits: AnnouncedLimits,
    request_limiter: RateLimiter,
    // Mean work in seconds of a request of each service that is routed by cost, sorted by service.
    mean_works_s: Vec<(Arc<str>, f64)>,
    // Work of the request for which an upstream is being selected.
    request_work: Option<RequestWork>,
    gates: Gates,
}

impl UpstreamTable {
    /// Sets the data centre of this VM, whose upstreams are preferred to equally loaded ones elsewhere.
    pub fn set_local_data_centre(&mut self, data_centre: &str) {
        self.local_data_centre = Some(Arc::from(data_centre));
    }

    /// Sets the number of VMs that share the upstreams, this one included, and the position of this one in their order
    /// by name, counted from 0.
    pub fn set_vms(&mut self, now: Instant, vms: usize, position: usize) {
        self.request_limiter.set_vm_count(now, vms);
        self.vms = u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
        self.vm_position = u32::try_from(position).unwrap_or(u32::MAX);
        for row in &mut self.rows {
            row.share_warmup_rate(now, self.vms);
        }
    }

    /// Sets the number of VMs in the data centre of this VM, this one included.
    pub fn set_local_vms(&mut self, vms: usize) {
        self.local_vms = u32::try_from(vms.max(1)).unwrap_or(u32::MAX);
    }

    /// Returns whether this VM is one of the [`MAX_WARMUP_VMS`] that may send to the upstream during its warm-up.
    fn may_send_in_warmup(&self, row: &Row) -> bool {
        let position =
            (u64::from(row.id) + u64::from(self.vm_position)) % u64::from(self.vms.max(1));
        position < u64::from(MAX_WARMUP_VMS)
    }

    /// Sets the data centres that get no requests; `closed` must be sorted.
    ///
    /// Upstreams of reopened data centres go through a warm-up of the given duration again.
    pub fn set_closed_data_centres(&mut self, now: Instant, closed: &[Arc<str>], warmup: Duration) {
        for row in &mut self.rows {
            let data_centre = &row.upstream.data_centre;
            if self.closed_data_centres.binary_search(data_centre).is_ok()
                && closed.binary_search(data_centre).is_err()
            {
                row.warmup_until = row.warmup_until.max(now + warmup);
            }
        }
        self.closed_data_centres = closed.to_vec();
    }

    /// Returns the data centres that get no requests, sorted.
    #[must_use]
    pub fn closed_data_centres(&self) -> &[Arc<str>] {
        &self.closed_data_centres
    }

    /// Adds or updates an upstream; a new incarnation replaces the state of the one before.
    ///
    /// `warmup_rate_per_s` limits the requests per second from all VMs together during its warm-up. A warm-up in
    /// progress keeps its limit and is never shortened.
    pub fn upsert(&mut self, now: Instant, upstream: UpstreamInstance, warmup_rate_per_s: f64) {
        let warmup_until = now + upstream.warmup_remaining;
        match self.position(&upstream.name) {
            Ok(position) => {
                let is_new_incarnation =
                    self.rows[position].upstream.incarnation != upstream.incarnation;
                if is_new_incarnation {
                    let id = instance_id(&upstream.name, upstream.incarnation);
                    self.rows[position] = Row::new(now, upstream, id, warmup_rate_per_s, self.vms);
                } else {
                    let row = &mut self.rows[position];
                    row.upstream = upstream;
                    if row.warmup_until <= now {
                        row.set_warmup_rate(now, warmup_rate_per_s, self.vms);
                    }
                }
                let row = &mut self.rows[position];
                row.warmup_until = row.warmup_until.max(warmup_until);
            }
            Err(position) => {
                let id = instance_id(&upstream.name, upstream.incarnation);
                let mut row = Row::new(now, upstream, id, warmup_rate_per_s, self.vms);
                row.warmup_until = warmup_until;
                // A registry entry can expire during a fault of the store and return while its upstream is still
                // shutting down.
                row.is_drain_announced = self.removed_draining.contains(&id);
                self.rows.insert(position, row);
            }
        }
    }

    /// Sets the request rate per second during warm-up by service; upstreams in warm-up keep their limit.
    pub fn set_warmup_rates(&mut self, now: Instant, rate: impl Fn(&str) -> f64) {
        for row in self.rows.iter_mut().filter(|row| row.warmup_until <= now) {
            row.set_warmup_rate(now, rate(&row.upstream.service), self.vms);
        }
    }

    /// Removes an upstream; an announced shutdown is remembered in case its registry entry returns.
    pub fn remove(&mut self, name: &str) {
        let Ok(position) = self.position(name) else {
            return;
        };
        let row = self.rows.remove(position);
        if row.is_drain_announced {
            self.remember_drain(row.id);
        }
    }

    /// Returns all upstreams by name, including those that get no requests.
    pub fn upstreams(&self) -> impl Iterator<Item = &UpstreamInstance> {
        self.rows.iter().map(|row| &row.upstream)
    }

    /// Returns whether an upstream is in the table with this incarnation, not shutting down and not in a closed data
    /// centre.
    #[must_use]
    pub fn accepts_requests(&self, upstream: &UpstreamInstance) -> bool {
        let row = self.incarnation_row(&upstream.name, upstream.incarnation);
        row.is_some_and(|row| self.is_eligible(row))
    }

    /// Returns whether requests may be sent to the upstream at all, regardless of its present load.
    fn is_eligible(&self, row: &Row) -> bool {
        self.exclusion(row).is_none()
    }

    /// Returns the upstream with a short id of [`UpstreamTable::upstream_id`].
    #[must_use]
    pub fn upstream_by_id(&self, id: u32) -> Option<&UpstreamInstance> {
        let row = self.rows.iter().find(|row| row.id == id);
        row.map(|row| &row.upstream)
    }

    fn incarnation_row(&self, name: &str, incarnation: u64) -> Option<&Row> {
        let row = &self.rows[self.position(name).ok()?];
        (row.upstream.incarnation == incarnation).then_some(row)
    }

    fn incarnation_row_mut(&mut self, name: &str, incarnation: u64) -> Option<&mut Row> {
        let position = self.position(name).ok()?;
        let row = &mut self.rows[position];
        (row.upstream.incarnation == incarnation).then_some(row)
    }

    /// Returns the end of an upstream's warm-up, which may have passed; [`Instant::ORIGIN`] if the upstream is unknown.
    #[must_use]
    pub fn warmup_until(&self, name: &str) -> Instant {
        self.position(name)
            .map_or(Instant::ORIGIN, |position| self.rows[position].warmup_until)
    }

    /// Returns an upstream's long-term latency relative to the route's mean; 1.0 if it is unknown.
    #[must_use]
    pub fn latency_factor(&self, name: &str) -> f64 {
        self.position(name)
            .map_or(1.0, |position| self.rows[position].latency_factor)
    }

    /// Records the relative latency of a request that this VM or another one sent to an upstream, for its long-term
    /// mean.
    ///
    /// Outliers are clamped to 0.3 to 3.0; unknown ids are ignored.
    pub fn record_latency(&mut self, id: u32, relative_latency: f64) {
        if let Some(row) = self.rows.iter_mut().find(|row| row.id == id) {
            row.latency_factor += LATENCY_FACTOR_EWMA_WEIGHT
                * (relative_latency.clamp(0.3, 3.0) - row.latency_factor);
        }
    }

    /// Returns the short ids of the upstreams from which this VM got a response since the last call.
    pub fn take_responded(&mut self) -> Vec<u32> {
        let rows = self.rows.iter_mut();
        let responded = rows
            .filter_map(|row| std::mem::take(&mut row.has_unreported_response).then_some(row.id));
        responded.collect()
    }

    /// Records that a peer has reported responses from the upstreams with these short ids.
    pub fn record_responses(&mut self, now: Instant, ids: &[u32]) {
        for id in ids {
            if let Some(row) = self.rows.iter_mut().find(|row| row.id == *id) {
                row.responded_at = now;
            }
        }
    }

    /// Returns when this VM or a peer last got a response from an upstream, or [`Instant::ORIGIN`] if none did.
    #[must_use]
    pub fn responded_at(&self, name: &str) -> Instant {
        self.position(name)
            .map_or(Instant::ORIGIN, |position| self.rows[position].responded_at)
    }

    /// Returns the short id of an upstream's present incarnation, which reports between VMs carry instead of its name.
    #[must_use]
    pub fn upstream_id(&self, name: &str) -> Option<u32> {
        let position = self.position(name).ok()?;
        Some(self.rows[position].id)
    }

    /// Returns the short id of an upstream if the table holds this incarnation of it.
    #[must_use]
    pub fn incarnation_id(&self, upstream: &UpstreamInstance) -> Option<u32> {
        let row = self.incarnation_row(&upstream.name, upstream.incarnation);
        row.map(|row| row.id)
    }

    /// Returns the requests of all VMs in flight at an upstream, as far as this VM knows from reports.
    #[must_use]
    pub fn in_flight_at(&self, now: Instant, name: &str) -> u32 {
        self.position(name)
            .map_or(0, |position| self.total_in_flight(now, position))
    }

    /// Returns the requests that a service's eligible upstreams can process at once, given their request limits and a mean
    /// latency.
    #[must_use]
    pub fn total_slots(&self, service: &str, mean_latency: Duration) -> f64 {
        let eligible = self
            .rows
            .iter()
            .filter(|row| &*row.upstream.service == service && self.is_eligible(row));
        eligible
            .map(|row| self.usable_slots(row.id, row.upstream.slots, mean_latency))
            .sum()
    }

    /// Replaces a peer's report of its in-flight requests by the upstreams' short ids.
    pub fn record_peer_report(&mut self, now: Instant, peer: u64, in_flight: &[(u32, u32)]) {
        let mut in_flight = in_flight.to_vec();
        in_flight.sort_unstable();
        let report = PeerReport {
            vm: peer,
            received: now,
            in_flight,
            work_ms: Vec::new(),
        };
        match self
            .peer_reports
            .binary_search_by_key(&report.vm, |other| other.vm)
        {
            Ok(position) => self.peer_reports[position] = report,
            Err(position) => self.peer_reports.insert(position, report),
        }
    }

    /// Returns this VM's in-flight requests by the upstreams' short ids, for the report to the peers.
    #[must_use]
    pub fn own_in_flight(&self) -> Vec<(u32, u32)> {
        let used = self.rows.iter().filter(|row| row.own_in_flight > 0);
        used.map(|row| (row.id, row.own_in_flight)).collect()
    }

    /// Records the outcome of a request that was sent to a selected upstream, with the load from its response, if any.
    ///
    /// Outcomes of earlier incarnations are ignored.
    pub fn record_outcome(
        &mut self,
        now: Instant,
        name: &str,
        incarnation: u64,
        outcome: AttemptOutcome,
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
        if outcome == AttemptOutcome::Unreachable {
            // Nothing has reached the upstream.
            self.request_limiter.refund(row.id);
        }
        if let Some(load) = load {
            row.load = Some((load, now));
        }
        row.record_outcome(now, outcome);
    }

    /// Returns the requests of all VMs in flight at the upstream, by this VM, its peers and the upstream's own report.
    fn total_in_flight(&self, now: Instant, index: usize) -> u32 {
        let row = &self.rows[index];
        let of_peers = self
            .peer_reports
            .iter()
            .filter_map(|report| {
                let found = report
                    .in_flight
                    .binary_search_by_key(&row.id, |entry| entry.0);
                found.ok().map(|position| report.in_flight[position].1)
            })
            .fold(0, u32::saturating_add);
        let known = row.own_in_flight.saturating_add(of_peers);
        // The upstream's own count includes requests of VMs whose reports are missing; one of them is the request whose
        // response carried the count.
        match row.load {
            Some((load, received)) if now.saturating_since(received) < LOAD_TTL => {
                known.max(load.running.saturating_add(load.waiting).saturating_sub(1))
            }
            _ => known,
        }
    }

    fn expire_peer_reports(&mut self, now: Instant) {
        self.peer_reports
            .retain(|report| now.saturating_since(report.received) < PEER_REPORT_TTL);
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.rows
            .binary_search_by(|row| (*row.upstream.name).cmp(name))
    }
}
