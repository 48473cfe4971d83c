//! The `vm` module provides what a VM knows and has under way, which its tasks share on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    OwnershipMap, TeamUsage, UpstreamInstance, UpstreamLoad, WeightedRoundRobin,
};
use kumquat_state::clock::{self, Instant};
use slog::{Logger, info};
use tokio::sync::Notify;

use crate::access_log::AccessLog;
use crate::config::Config;
use crate::dialect::Dialect;
use crate::metrics::Metrics;
use crate::pool::ConnectionPool;
use crate::sorted;

mod notices;
mod place;
mod state;

pub use place::{QueueParams, SlotError, SlotPermit, Target};
use state::State;

/// Interval at which waiting requests are looked at again when nothing else gives a reason.
const WAITING_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which idle connections are looked through.
const SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Upstreams that have left the registry and whose addresses are remembered.
const DEPARTED_LIMIT: usize = 64;

/// Weight of a new latency in a route's mean.
const MEAN_WEIGHT: f64 = 0.05;

/// Part of a route's aim that its requests take before any was measured.
const MEAN_OF_AIM: f64 = 0.35;

/// Bounds that the deployment sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Repeats per request.
    pub retry_ratio: f64,
    /// Repeats in a window besides.
    pub retry_slack: f64,
    /// Longest time for which an upstream may be granted keys.
    pub max_grant_duration: Duration,
    /// Time from a request to stop to the end of the process.
    pub shutdown_grace: Duration,
}

/// Who this VM is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Number that tells this process from earlier ones of the VM.
    pub incarnation: u64,
}

/// Another VM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the VM.
    pub name: String,
    /// Data centre of the VM.
    pub data_centre: String,
    /// Where it takes reports.
    pub address: SocketAddr,
}

/// What the tasks of a VM share.
#[derive(Debug)]
pub struct Vm {
    /// Who this VM is.
    pub identity: Identity,
    /// Names on the wire.
    pub dialect: Dialect,
    /// Bounds of the deployment.
    pub bounds: DeploymentBounds,
    /// Log of what changes.
    pub log: Logger,
    /// Log of requests.
    pub request_log: AccessLog,
    /// Counters.
    pub metrics: Metrics,
    /// Open connections to upstreams.
    pub pool: RefCell<ConnectionPool>,
    /// Told when a peer has read more of the store than this VM.
    pub behind_peers: Notify,
    /// Told when a process has joined this VM's peers, or this VM has learnt of its peers.
    pub peer_joined: Notify,
    /// Told when the process is to stop.
    pub shutdown: Notify,
    state: RefCell<State>,
    is_shutting_down: Cell<bool>,
    is_loaded: Cell<bool>,
}

impl Vm {
    /// Creates the state of a VM that knows nothing yet.
    #[must_use]
    pub fn new(
        identity: Identity,
        dialect: Dialect,
        bounds: DeploymentBounds,
        log: Logger,
        metrics: Metrics,
    ) -> Rc<Self> {
        let request_log = AccessLog::new(log.clone(), metrics.clone());
        let mut state = State::default();
        state.table.set_local_data_centre(&identity.data_centre);
        Rc::new(Self {
            identity,
            dialect,
            bounds,
            log,
            request_log,
            metrics,
            pool: RefCell::default(),
            behind_peers: Notify::new(),
            peer_joined: Notify::new(),
            shutdown: Notify::new(),
            state: RefCell::new(state),
            is_shutting_down: Cell::new(false),
            is_loaded: Cell::new(false),
        })
    }

    /// Returns the desired state in force.
    #[must_use]
    pub fn config(&self) -> Option<Rc<Config>> {
        self.state.borrow().config.clone()
    }

    /// Puts a desired state in force, unless a newer one is.
    pub fn set_config(self: &Rc<Self>, config: Config) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let current = state.config.as_ref().map(|config| config.version);
        if current.is_some_and(|current| current >= config.version) {
            return;
        }
        info!(self.log, "desired state in force"; "version" => config.version, "before" => current,
            "routes" => config.routes.len(), "services" => config.services.len(), "teams" => config.teams.len());
        let limits: Vec<(u32, f64, f64)> = config
            .teams
            .iter()
            .map(|team| (short_id(&team.name), team.rate_per_s, team.burst))
            .collect();
        state.rates.set_teams(now, &limits);
        state.config = Some(Rc::new(config));
        state.refresh_cold_rates(now);
        drop(state);
        self.dispatch_queued();
    }

    /// Notes that the registry of upstreams has been read once.
    pub fn mark_registry_loaded(&self) {
        self.is_loaded.set(true);
    }

    /// Returns whether the VM can serve callers: it knows the desired state and the upstreams, and is not stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_loaded.get() && !self.is_shutting_down.get() && self.state.borrow().config.is_some()
    }

    /// Returns whether the VM is stopping.
    #[must_use]
    pub fn is_shutting_down(&self) -> bool {
        self.is_shutting_down.get()
    }

    /// Starts a graceful shutdown.
    pub fn begin_shutdown(&self) {
        self.is_shutting_down.set(true);
        self.shutdown.notify_waiters();
    }

    /// Adds an upstream or takes over what changed.
    pub fn upsert_upstream(self: &Rc<Self>, server: UpstreamInstance) {
        let mut state = self.state.borrow_mut();
        info!(self.log, "upstream registered"; "upstream" => &*server.name, "service" => &*server.service,
            "draining" => server.is_draining, "born" => server.incarnation,
            "cold_ms" => u64::try_from(server.warmup_remaining.as_millis()).unwrap_or(u64::MAX));
        state.upsert(clock::now(), server);
        drop(state);
        self.dispatch_queued();
    }

    /// Removes an upstream.
    pub fn remove_upstream(self: &Rc<Self>, name: &str) {
        info!(self.log, "upstream removed"; "upstream" => name);
        let mut state = self.state.borrow_mut();
        let found = state
            .table
            .upstreams()
            .find(|server| &*server.name == name)
            .cloned();
        if let Some(server) = found {
            state.departed.retain(|other| other.name != server.name);
            state.departed.push_back(server);
            if state.departed.len() > DEPARTED_LIMIT {
                state.departed.pop_front();
            }
        }
        state.table.remove(name);
        drop(state);
        self.dispatch_queued();
    }

    /// Sets the data centres that get nothing.
    pub fn set_closed_data_centres(self: &Rc<Self>, mut closed: Vec<Arc<str>>) {
        closed.sort();
        let mut state = self.state.borrow_mut();
        if state.table.closed_data_centres() == closed {
            return;
        }
        info!(self.log, "closed data centres changed"; "closed" => closed.join(","));
        let services = state.config.as_ref().map(|config| config.services.iter());
        let longest = services.and_then(|mut services| {
            services
                .by_ref()
                .map(|service| service.warmup_duration)
                .max()
        });
        state
            .table
            .set_closed_data_centres(clock::now(), &closed, longest.unwrap_or_default());
        drop(state);
        self.dispatch_queued();
    }

    /// Sets the other VMs.
    pub fn set_peers(&self, peers: Vec<Peer>) {
        let mut state = self.state.borrow_mut();
        if *state.peers == *peers {
            return;
        }
        let names: Vec<&str> = peers.iter().map(|peer| peer.name.as_str()).collect();
        info!(self.log, "peers changed"; "peers" => names.join(","));
        let now = clock::now();
        let vms = peers.len() + 1;
        state.rates.set_vm_count(now, vms);
        if state.peers.is_empty() {
            self.peer_joined.notify_one();
        }
        let before = peers.iter().filter(|peer| peer.name < self.identity.name);
        state.table.set_vms(vms, before.count());
        for (_, budget) in &mut state.budgets {
            budget.set_slack(self.bounds.retry_slack, vms);
        }
        state.peers = peers.into();
    }

    /// Returns the other VMs.
    #[must_use]
    pub fn peers(&self) -> Rc<[Peer]> {
        Rc::clone(&self.state.borrow().peers)
    }

    /// Sets the VM that holds the coordinator's lease.
    pub fn set_coordinator(&self, leader: Option<String>) {
        let mut state = self.state.borrow_mut();
        if state.leader != leader {
            info!(self.log, "coordinator changed"; "coordinator" => leader.as_deref());
            state.leader = leader;
        }
    }

    /// Returns the VM that holds the coordinator's lease.
    #[must_use]
    pub fn coordinator(&self) -> Option<String> {
        self.state.borrow().leader.clone()
    }

    /// Sets the owners of a service's keys as the store has them.
    pub fn set_ownership_map(self: &Rc<Self>, service: &Arc<str>, map: OwnershipMap) {
        let mut state = self.state.borrow_mut();
        let moving = map
            .ranges
            .iter()
            .filter(|range| !range.previous_owners.is_empty());
        info!(self.log, "owners changed"; "service" => &**service, "ranges" => map.ranges.len(),
            "moving" => moving.count(), "next_fence" => map.next_fencing_token);
        // Each move has a token of its own, and the time without an owner counts anew.
        state.ownerless.retain(|(name, fence, _)| {
            name != service || map.ranges.iter().any(|range| range.fencing_token == *fence)
        });
        *sorted::get_or_insert_with(&mut state.maps, &**service, || {
            (Arc::clone(service), OwnershipMap::default())
        }) = map;
        drop(state);
        self.dispatch_queued();
    }

    /// Returns the owners of a service's keys.
    #[must_use]
    pub fn ownership_map(&self, service: &str) -> Option<OwnershipMap> {
        self.state.borrow().map(service).cloned()
    }

    /// Returns the upstreams of a service, with the time until which each is cold.
    #[must_use]
    pub fn upstreams(&self, service: &str) -> Vec<(UpstreamInstance, Instant, bool)> {
        let state = self.state.borrow();
        let servers = state
            .table
            .upstreams()
            .filter(|server| &*server.service == service);
        servers
            .map(|server| {
                let cold_until = state.table.warmup_until(&server.name);
                (
                    server.clone(),
                    cold_until,
                    state.table.accepts_requests(server),
                )
            })
            .collect()
    }

    /// Finds an upstream by name, also one that has left the registry: it may still run and hold keys.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<UpstreamInstance> {
        let state = self.state.borrow();
        let mut servers = state.table.upstreams().chain(state.departed.iter().rev());
        servers.find(|server| &*server.name == name).cloned()
    }

    /// Takes a request from its team's rate.
    pub fn try_acquire_team_token(&self, team: &str) -> kumquat_coordination::fleet::RateDecision {
        self.state
            .borrow_mut()
            .rates
            .try_acquire(clock::now(), short_id(team))
    }

    /// Returns what a request took from its team's rate that was never sent.
    pub fn refund_team_token(&self, team: &str) {
        self.state.borrow_mut().rates.refund(short_id(team));
    }

    /// Counts a second send of a request against its team's rate.
    pub fn record_team_retry(&self, team: &str) {
        self.state
            .borrow_mut()
            .rates
            .record_retry(clock::now(), short_id(team));
    }

    /// Returns the service for the next request of a route.
    #[must_use]
    pub fn choose_service(&self, route: &crate::config::Route) -> Option<Arc<str>> {
        if let [part] = &*route.weighted_services {
            return Some(Arc::clone(&part.service));
        }
        let weights: Vec<u32> = route
            .weighted_services
            .iter()
            .map(|part| part.weight)
            .collect();
        let mut state = self.state.borrow_mut();
        let split = sorted::get_or_insert_with(&mut state.splits, &route.name, || {
            (route.name.clone(), WeightedRoundRobin::default())
        });
        let part = split.next(&weights);
        Some(Arc::clone(&route.weighted_services.get(part)?.service))
    }

    /// Counts a request for a service.
    pub fn record_request(&self, target: &Target) {
        let mut state = self.state.borrow_mut();
        if let Some(key) = target.key {
            state.keys.push((Arc::clone(&target.service), key));
        }
        state
            .budget(&target.service, &self.bounds)
            .record_request(clock::now());
    }

    /// Takes the keys of requests since the last call, for the coordinator.
    #[must_use]
    pub fn take_requested_keys(&self) -> Vec<(Arc<str>, u16)> {
        std::mem::take(&mut self.state.borrow_mut().keys)
    }

    /// Takes a repeat from a service's budget.
    #[must_use]
    pub fn try_acquire_retry(&self, service: &Arc<str>) -> bool {
        let mut state = self.state.borrow_mut();
        state
            .budget(service, &self.bounds)
            .try_acquire(clock::now())
    }

    /// Returns the usual time of a route's requests at an upstream.
    #[must_use]
    pub fn mean_latency(&self, route: &crate::config::Route) -> Duration {
        let state = self.state.borrow();
        sorted::get(&state.means, &route.name).map_or_else(
            || route.latency_target.mul_f64(MEAN_OF_AIM),
            |mean| Duration::from_secs_f64(*mean),
        )
    }

    /// Notes how long a request took at an upstream.
    pub fn record_latency(&self, route: &crate::config::Route, took: Duration) {
        let first = route.latency_target.as_secs_f64() * MEAN_OF_AIM;
        let mut state = self.state.borrow_mut();
        let mean = sorted::get_or_insert_with(&mut state.means, &route.name, || {
            (route.name.clone(), first)
        });
        *mean += MEAN_WEIGHT * (took.as_secs_f64() - *mean);
    }

    /// Notes the latency of an answer relative to others, without the passing slowness that the upstream reported.
    pub fn record_relative_latency(
        &self,
        server: &UpstreamInstance,
        relative: f64,
        load: Option<UpstreamLoad>,
    ) {
        // An answer that may have queued at the upstream says more of the load than of the upstream.
        let Some(load) = load.filter(|load| load.waiting == 0 && load.running < load.slots) else {
            return;
        };
        let pace = load.service_time_factor.max(0.1);
        let mut state = self.state.borrow_mut();
        if let Some(id) = state.table.upstream_id(&server.name) {
            state.latencies.push((id, relative / pace));
        }
    }

    /// Takes the latencies noted since the last call.
    #[must_use]
    pub fn take_relative_latencies(&self) -> Vec<(u32, f64)> {
        std::mem::take(&mut self.state.borrow_mut().latencies)
    }

    /// Takes latencies that this VM or another one has noted.
    pub fn apply_relative_latencies(&self, latencies: &[(u32, f64)]) {
        let mut state = self.state.borrow_mut();
        for (id, relative) in latencies {
            state.table.record_latency(*id, *relative);
        }
    }

    /// Returns how slow an upstream is in the long run, relative to the others.
    #[must_use]
    pub fn latency_factor(&self, name: &str) -> f64 {
        self.state.borrow().table.latency_factor(name)
    }

    /// Notes the fencing tokens whose owners have their grants before the store's map says so.
    pub fn set_handed_over_tokens(self: &Rc<Self>, settled: Vec<(u32, u64)>) {
        let mut state = self.state.borrow_mut();
        if state.settled == settled {
            return;
        }
        state.settled = settled;
        drop(state);
        self.dispatch_queued();
    }

    /// Notes the revision of the store that this VM has read up to.
    pub fn set_store_revision(&self, revision: u64) {
        let mut state = self.state.borrow_mut();
        state.revision = state.revision.max(revision);
    }

    /// Returns the revision of the store that this VM has read up to.
    #[must_use]
    pub fn store_revision(&self) -> u64 {
        self.state.borrow().revision
    }

    /// Notes the revision that a peer has read up to.
    pub fn record_peer_revision(&self, revision: u64) {
        let mut state = self.state.borrow_mut();
        state.seen_revision = state.seen_revision.max(revision);
        let is_behind_peers = state.seen_revision > state.revision;
        drop(state);
        if is_behind_peers {
            self.behind_peers.notify_waiters();
        }
    }

    /// Returns whether a peer has read more of the store than this VM.
    #[must_use]
    pub fn is_behind_peers(&self) -> bool {
        let state = self.state.borrow();
        state.seen_revision > state.revision
    }

    /// Returns the number of waiting requests.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.state.borrow().waiting.requests().len()
    }

    /// Looks after waiting requests and idle connections; runs for as long as the process.
    pub async fn run_maintenance(self: Rc<Self>) {
        let mut swept = clock::now();
        loop {
            let is_waiting = self.queue_length() > 0;
            let pause = if is_waiting {
                WAITING_INTERVAL
            } else {
                WAITING_INTERVAL * 5
            };
            tokio::time::sleep(pause).await;
            if is_waiting {
                self.dispatch_queued();
            }
            if clock::now().saturating_since(swept) >= SWEEP_INTERVAL {
                swept = clock::now();
                self.pool.borrow_mut().close_expired();
            }
        }
    }

    /// Takes a peer's report.
    pub fn apply_peer_report(
        self: &Rc<Self>,
        peer: u64,
        running: &[(u32, u32)],
        usages: Option<&[TeamUsage]>,
    ) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.table.record_peer_report(now, peer, running);
        if let Some(usages) = usages {
            state.rates.apply_report(now, peer, usages);
        }
        let is_waiting = !state.waiting.requests().is_empty();
        drop(state);
        if is_waiting {
            self.dispatch_queued();
        }
    }

    /// Returns the requests under way at upstreams, for the report to the peers.
    #[must_use]
    pub fn in_flight_requests(&self) -> Vec<(u32, u32)> {
        self.state.borrow().table.own_in_flight()
    }

    /// Takes what this VM has used of the teams' rates, for the report to the peers.
    #[must_use]
    pub fn next_usage_report(&self) -> Vec<TeamUsage> {
        self.state.borrow_mut().rates.next_report()
    }

    /// Returns whether the peers should know what this VM has used before the next report is due.
    #[must_use]
    pub fn is_early_report_due(&self) -> bool {
        self.state.borrow().rates.is_early_report_due()
    }
}

/// Returns the short id of a team that reports carry.
#[must_use]
pub fn short_id(name: &str) -> u32 {
    let hash = kumquat_state::hash::key(name.as_bytes());
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
