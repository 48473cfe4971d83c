//! The `vm` module provides the state of a router process, which all its tasks share on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

pub use kumquat_coordination::fleet::Peer;
use kumquat_coordination::fleet::rollout::Bounds;
use kumquat_coordination::fleet::{OwnershipMap, Quarantine, UpstreamInstance, WeightedRoundRobin};
use kumquat_state::clock::{self, Instant};
use rand::RngExt as _;
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use crate::access_log::AccessLog;
use crate::config::{Config, Route};
use crate::dialect::Dialect;
use crate::input::Schedule;
use crate::intake::Ledgers;
use crate::metrics::Metrics;
use crate::pool::ConnectionPool;
use crate::sorted;

mod explain;
mod helpers;
mod latency;
mod notices;
mod path;
mod place;
mod quarantine;
mod reports;
mod rollout;
mod shutdown;
mod state;
mod work;

pub(crate) use explain::Placement;
pub use helpers::HelperPermit;
pub use place::{QueueParams, SlotError, SlotPermit, Target};
pub use quarantine::Trial;
pub use reports::PeerUsage;
use state::State;

/// Interval at which queued requests are retried and expired when no other event triggers a dispatch.
const QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Delay of a timer from which it is logged; shorter ones only count in the histogram.
const MIN_LOGGED_DELAY: Duration = Duration::from_millis(250);

/// Interval at which expired idle connections are closed.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_millis(500);

/// Fraction of the shutdown grace period after which requests that are still under way get an answer of the VM's own.
///
/// It lies in the last sixth of the period, and before the connections are closed.
const ANSWER_GRACE_FRACTION: f64 = 0.87;

/// Maximum number of unregistered upstreams whose addresses are kept.
const MAX_UNREGISTERED: usize = 64;

/// Limits that the deployment's settings file sets for every router process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeploymentBounds {
    /// Length of the retry budget's sliding window.
    pub retry_window: Duration,
    /// Retries allowed per request in a window.
    pub retry_ratio: f64,
    /// Retries allowed in a window in addition to the ratio, over all VMs.
    pub retry_slack: f64,
    /// Maximum duration of a grant of keys to an upstream.
    pub max_grant_duration: Duration,
    /// Time from the start of a graceful shutdown to the end of the process.
    pub shutdown_grace: Duration,
    /// Limits on what a bad version of a service may receive during a rollout.
    pub rollout: Bounds,
}

/// Identity of this router process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the VM, unique in the fleet.
    pub name: String,
    /// Data centre of the VM; upstreams in it are preferred to equal ones elsewhere.
    pub data_centre: String,
    /// Number that distinguishes this process from earlier ones of the VM.
    pub incarnation: u64,
}

/// State and shared resources of the router process on a VM.
///
/// All tasks run on one thread, so a borrow of its cells must not be held across an `await`.
#[derive(Debug)]
pub struct Vm {
    /// Name, data centre and incarnation of this process.
    pub identity: Identity,
    /// Header names and calls that the platform's adapter supplies.
    pub dialect: Dialect,
    /// Limits from the deployment's settings.
    pub bounds: DeploymentBounds,
    /// Logger for state changes and faults.
    pub log: Logger,
    /// Rate-limited log of finished requests.
    pub request_log: AccessLog,
    /// Prometheus metrics of this process.
    pub metrics: Metrics,
    /// What the connections of each listener hold in memory.
    pub intake: Ledgers,
    /// Turns of connections with large input.
    pub input: Rc<Schedule>,
    /// Idle connections to upstreams.
    pub pool: RefCell<ConnectionPool>,
    /// Notified when a peer reports a newer store revision than this VM has read.
    pub behind_peers: Notify,
    /// Notified at a new process's first report, and when the list of peers is no longer empty.
    pub peer_joined: Notify,
    /// Notified when a range of keys has been granted to a new owner, which the peers have to learn of.
    pub handover_completed: Notify,
    // Notified when several upstreams in a row could not be reached.
    path_suspected: Notify,
    /// When a graceful shutdown began, if one has.
    shutdown_started_at: watch::Sender<Option<Instant>>,
    state: RefCell<State>,
    is_registry_loaded: Cell<bool>,
}

impl Vm {
    /// Creates the state of a process that has neither a desired state nor upstreams, so that it is not ready.
    #[must_use]
    pub fn new(
        identity: Identity,
        dialect: Dialect,
        bounds: DeploymentBounds,
        log: Logger,
        metrics: Metrics,
    ) -> Rc<Self> {
        let request_log = AccessLog::new(log.clone(), metrics.clone());
        let intake = Ledgers::new(&metrics, &log);
        let input = Schedule::new(metrics.clone());
        let mut state = State::default();
        state.table.set_local_data_centre(&identity.data_centre);
        state.table.set_limit_seed(identity.incarnation);
        let gates = state.table.gates_mut();
        gates.set_bounds(bounds.rollout, identity.incarnation);
        state.quarantine = Quarantine::new(identity.incarnation, rand::rng().random());
        Rc::new(Self {
            identity,
            dialect,
            bounds,
            log,
            request_log,
            metrics,
            intake,
            input,
            pool: RefCell::default(),
            behind_peers: Notify::new(),
            peer_joined: Notify::new(),
            handover_completed: Notify::new(),
            path_suspected: Notify::new(),
            shutdown_started_at: watch::Sender::new(None),
            state: RefCell::new(state),
            is_registry_loaded: Cell::new(false),
        })
    }

    /// Returns the desired state in force, or `None` until one has been read from the store.
    #[must_use]
    pub fn config(&self) -> Option<Rc<Config>> {
        self.state.borrow().config.clone()
    }

    /// Applies a desired state, unless its version is not higher than the current one.
    pub fn set_config(self: &Rc<Self>, config: Config) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let current_version = state.config.as_ref().map(|config| config.version);
        if current_version.is_some_and(|current| current >= config.version) {
            return;
        }
        info!(self.log, "desired state in force"; "version" => config.version, "before" => current_version,
            "routes" => config.routes.len(), "services" => config.services.len(), "teams" => config.teams.len());
        let largest_request = config.limits.max_head_bytes;
        let largest_request = largest_request.saturating_add(config.limits.max_body_bytes);
        self.intake.set_largest_request(largest_request);
        let limits: Vec<(u32, f64, f64)> = config
            .teams
            .iter()
            .map(|team| (short_id(&team.name), team.rate_per_s, team.burst))
            .collect();
        state.rate_limiter.set_limits(now, &limits);
        let config = Rc::new(config);
        state.retain_costs(&config);
        state.config = Some(config);
        state.refresh_warmup_rates(now);
        drop(state);
        self.dispatch_queued();
    }

    /// Marks the registry of upstreams as read, a precondition of readiness.
    pub fn mark_registry_loaded(&self) {
        self.is_registry_loaded.set(true);
    }

    /// Returns whether the VM can serve callers: the desired state and the registry are read and no shutdown has begun.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.is_registry_loaded.get()
            && !self.is_shutting_down()
            && self.state.borrow().config.is_some()
    }

    /// Adds an upstream or updates its registration.
    pub fn upsert_upstream(self: &Rc<Self>, upstream: UpstreamInstance) {
        let mut state = self.state.borrow_mut();
        info!(self.log, "upstream registered"; "upstream" => &*upstream.name, "service" => &*upstream.service,
            "draining" => upstream.is_draining, "born" => upstream.incarnation,
            "cold_ms" => u64::try_from(upstream.warmup_remaining.as_millis()).unwrap_or(u64::MAX));
        state.upsert(clock::now(), upstream);
        drop(state);
        self.dispatch_queued();
    }

    /// Removes an upstream from the registry, and keeps its address in case it still holds keys.
    pub fn remove_upstream(self: &Rc<Self>, name: &str) {
        info!(self.log, "upstream removed"; "upstream" => name);
        let mut state = self.state.borrow_mut();
        let removed = state
            .table
            .upstreams()
            .find(|upstream| &*upstream.name == name)
            .cloned();
        if let Some(upstream) = removed {
            state
                .unregistered
                .retain(|other| other.name != upstream.name);
            state.unregistered.push_back(upstream);
            if state.unregistered.len() > MAX_UNREGISTERED {
                state.unregistered.pop_front();
            }
        }
        state.table.remove(name);
        drop(state);
        self.dispatch_queued();
    }

    /// Sets the data centres whose upstreams get no requests; upstreams of a reopened one warm up again.
    pub fn set_closed_data_centres(self: &Rc<Self>, mut closed: Vec<Arc<str>>) {
        closed.sort();
        let mut state = self.state.borrow_mut();
        if state.table.closed_data_centres() == closed {
            return;
        }
        info!(self.log, "closed data centres changed"; "closed" => closed.join(","));
        let services = state.config.as_ref().map(|config| config.services.iter());
        let longest_warmup = services.and_then(|mut services| {
            services
                .by_ref()
                .map(|service| service.warmup_duration)
                .max()
        });
        state.table.set_closed_data_centres(
            clock::now(),
            &closed,
            longest_warmup.unwrap_or_default(),
        );
        drop(state);
        self.dispatch_queued();
    }

    /// Sets the other VMs that are registered in the store.
    ///
    /// A VM whose registration is gone stays a peer while it reports, because it still uses its share of the limits.
    pub fn set_registered_peers(&self, registered: Vec<Peer>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.membership.set_registered(now, registered);
        drop(state);
        self.update_peers(now);
    }

    /// Removes the peers that are neither registered nor heard; called regularly.
    pub fn remove_silent_peers(&self) {
        let now = clock::now();
        self.state.borrow_mut().membership.remove_silent(now);
        self.update_peers(now);
    }

    /// Adopts the members as the peers, by whose number rates, retry budgets and upstream capacity are divided.
    fn update_peers(&self, now: Instant) {
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        if state.membership.peers().eq(state.peers.iter()) {
            return;
        }
        let peers: Rc<[Peer]> = state.membership.peers().cloned().collect();
        let names: Vec<&str> = peers.iter().map(|peer| peer.name.as_str()).collect();
        let unregistered: Vec<&str> = state.membership.unregistered().collect();
        info!(self.log, "peers changed"; "peers" => names.join(","), "unregistered" => unregistered.join(","));
        let vms = peers.len() + 1;
        state.rate_limiter.set_vm_count(now, vms);
        if state.peers.is_empty() {
            self.peer_joined.notify_one();
        }
        let lower_ranked = peers.iter().filter(|peer| peer.name < self.identity.name);
        state.table.set_vms(now, vms, lower_ranked.count());
        let data_centre = &*self.identity.data_centre;
        let local_peers = peers
            .iter()
            .filter(|peer| &*peer.data_centre == data_centre);
        state.table.set_local_vms(local_peers.count() + 1);
        for (_, budget) in &mut state.retry_budgets {
            budget.set_slack(self.bounds.retry_slack, vms);
        }
        state.peers = peers;
    }

    /// Returns the other VMs; the allocation changes whenever the list does.
    #[must_use]
    pub fn peers(&self) -> Rc<[Peer]> {
        Rc::clone(&self.state.borrow().peers)
    }

    /// Sets the name of the VM that holds the coordinator's lease, or `None` if none holds it.
    pub fn set_coordinator(&self, coordinator: Option<String>) {
        let mut state = self.state.borrow_mut();
        if state.coordinator != coordinator {
            info!(self.log, "coordinator changed"; "coordinator" => coordinator.as_deref());
            state.coordinator = coordinator;
        }
    }

    /// Returns the name of the VM that holds the coordinator's lease, if it is known.
    #[must_use]
    pub fn coordinator(&self) -> Option<String> {
        self.state.borrow().coordinator.clone()
    }

    /// Sets the ownership map of a service as read from the store, unless this VM knows a newer one.
    ///
    /// A store that has come back from an older copy holds an older map, whose owners may have released their keys.
    pub fn set_ownership_map(self: &Rc<Self>, service: &Arc<str>, map: OwnershipMap) {
        let mut state = self.state.borrow_mut();
        if state
            .ownership_map(service)
            .is_some_and(|current| !map.supersedes(current))
        {
            return;
        }
        let moving = map
            .ranges
            .iter()
            .filter(|range| !range.previous_owners.is_empty());
        info!(self.log, "owners changed"; "service" => &**service, "ranges" => map.ranges.len(),
            "moving" => moving.count(), "next_fence" => map.next_fencing_token);
        // Each move has its own fencing token, so the time without a usable owner restarts with it.
        state.unavailable_ranges.retain(|(name, token, _)| {
            name != service || map.ranges.iter().any(|range| range.fencing_token == *token)
        });
        *sorted::get_or_insert_with(&mut state.ownership_maps, &**service, || {
            (Arc::clone(service), OwnershipMap::default())
        }) = map;
        drop(state);
        self.dispatch_queued();
    }

    /// Returns the ownership map of a service, if it is keyed and its map has been read.
    #[must_use]
    pub fn ownership_map(&self, service: &str) -> Option<OwnershipMap> {
        self.state.borrow().ownership_map(service).cloned()
    }

    /// Returns the upstreams of a service, each with the end of its warm-up and whether it accepts requests.
    #[must_use]
    pub fn upstreams(&self, service: &str) -> Vec<(UpstreamInstance, Instant, bool)> {
        let state = self.state.borrow();
        let upstreams = state
            .table
            .upstreams()
            .filter(|upstream| &*upstream.service == service);
        upstreams
            .map(|upstream| {
                let warmup_until = state.table.warmup_until(&upstream.name);
                (
                    upstream.clone(),
                    warmup_until,
                    state.table.accepts_requests(upstream),
                )
            })
            .collect()
    }

    /// Returns an upstream by name, including a recently unregistered one, which may still run and hold keys.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<UpstreamInstance> {
        let state = self.state.borrow();
        let mut upstreams = state
            .table
            .upstreams()
            .chain(state.unregistered.iter().rev());
        upstreams.find(|upstream| &*upstream.name == name).cloned()
    }

    /// Takes one token for a request from its team's rate limit.
    pub fn try_acquire_team_token(&self, team: &str) -> kumquat_coordination::fleet::RateDecision {
        self.state
            .borrow_mut()
            .rate_limiter
            .try_acquire(clock::now(), short_id(team))
    }

    /// Returns the token of a request that was never sent to an upstream.
    pub fn refund_team_token(&self, team: &str) {
        self.state.borrow_mut().rate_limiter.refund(short_id(team));
    }

    /// Counts a retry of a request that may have run against its team's rate limit.
    pub fn record_team_retry(&self, team: &str) {
        self.state
            .borrow_mut()
            .rate_limiter
            .record_retry(clock::now(), short_id(team));
    }

    /// Returns the service for the next request of a route by weighted round robin, or `None` if it has no service.
    ///
    /// [`Vm::advance_split`] has to follow for a request that is admitted.
    #[must_use]
    pub fn next_service(&self, route: &Route) -> Option<Arc<str>> {
        if let [part] = &*route.weighted_services {
            return Some(Arc::clone(&part.service));
        }
        let state = self.state.borrow();
        let weights = route.weights();
        let index = match sorted::get(&state.traffic_splits, &route.name) {
            Some(round_robin) => round_robin.peek(&weights),
            None => WeightedRoundRobin::default().peek(&weights),
        };
        Some(Arc::clone(&route.weighted_services.get(index?)?.service))
    }

    /// Counts a request that goes to the service that [`Vm::next_service`] returned.
    pub fn advance_split(&self, route: &Route) {
        if route.weighted_services.len() < 2 {
            return;
        }
        let mut state = self.state.borrow_mut();
        let round_robin =
            sorted::get_or_insert_with(&mut state.traffic_splits, &route.name, || {
                (route.name.clone(), WeightedRoundRobin::default())
            });
        round_robin.next(&route.weights());
    }

    /// Counts a request towards its service's retry budget and, if it has a key, towards the load of the key.
    pub fn record_request(&self, target: &Target) {
        let mut state = self.state.borrow_mut();
        if let Some(key) = target.key {
            state
                .requested_keys
                .push((Arc::clone(&target.service), key));
        }
        state
            .retry_budget(&target.service, &self.bounds)
            .record_request(clock::now());
    }

    /// Returns and clears the keys requested since the last call, from which the coordinator measures load.
    #[must_use]
    pub fn take_requested_keys(&self) -> Vec<(Arc<str>, u16)> {
        std::mem::take(&mut self.state.borrow_mut().requested_keys)
    }

    /// Takes one retry from a service's retry budget; returns whether one was left.
    #[must_use]
    pub fn try_acquire_retry(&self, service: &Arc<str>) -> bool {
        let mut state = self.state.borrow_mut();
        state
            .retry_budget(service, &self.bounds)
            .try_acquire(clock::now())
    }

    /// Sets the fencing tokens, by the short id of the service, whose new owners have their grants although the ownership
    /// map in the store still lists previous owners.
    pub fn set_handed_over_tokens(self: &Rc<Self>, tokens: Vec<(u32, u64)>) {
        let mut state = self.state.borrow_mut();
        if state.handed_over_tokens == tokens {
            return;
        }
        state.handed_over_tokens = tokens;
        drop(state);
        self.dispatch_queued();
    }

    /// Raises the revision up to which this VM has read the store; lower values are ignored.
    pub fn set_store_revision(&self, revision: u64) {
        let mut state = self.state.borrow_mut();
        state.store_revision = state.store_revision.max(revision);
    }

    /// Returns the revision up to which this VM has read the store.
    #[must_use]
    pub fn store_revision(&self) -> u64 {
        self.state.borrow().store_revision
    }

    /// Records the store revision that a peer has read, and notifies [`Vm::behind_peers`] if it is newer than this VM's.
    pub fn record_peer_revision(&self, revision: u64) {
        let mut state = self.state.borrow_mut();
        state.peer_revision = state.peer_revision.max(revision);
        let is_behind_peers = state.peer_revision > state.store_revision;
        drop(state);
        if is_behind_peers {
            self.behind_peers.notify_waiters();
        }
    }

    /// Returns whether a peer has read a newer revision of the store than this VM.
    #[must_use]
    pub fn is_behind_peers(&self) -> bool {
        let state = self.state.borrow();
        state.peer_revision > state.store_revision
    }

    /// Returns the number of requests that wait for a slot on this VM.
    #[must_use]
    pub fn queue_length(&self) -> usize {
        self.state.borrow().queue.requests().len()
    }

    /// Expires and dispatches queued requests and closes expired idle connections, for as long as the process runs.
    pub async fn run_maintenance(self: Rc<Self>) {
        let mut last_sweep = clock::now();
        loop {
            let has_queued = self.queue_length() > 0;
            let interval = if has_queued {
                QUEUE_POLL_INTERVAL
            } else {
                QUEUE_POLL_INTERVAL * 5
            };
            let due_at = clock::now() + interval;
            tokio::time::sleep(interval).await;
            self.record_event_loop_delay(clock::now().saturating_since(due_at));
            if has_queued {
                self.dispatch_queued();
            }
            if clock::now().saturating_since(last_sweep) >= POOL_SWEEP_INTERVAL {
                last_sweep = clock::now();
                self.pool.borrow_mut().close_expired();
                self.update_work_metrics();
            }
        }
    }

    /// Records by how much a timer fired late, during which the process served nobody.
    fn record_event_loop_delay(&self, delay: Duration) {
        self.metrics.event_loop_delay.observe(delay.as_secs_f64());
        if delay >= MIN_LOGGED_DELAY {
            let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
            warn!(self.log, "event loop stalled"; "delay_ms" => delay_ms, "queued" => self.queue_length());
        }
    }
}

/// Returns the 32-bit hash that stands for the name of a team or service in reports.
#[must_use]
pub fn short_id(name: &str) -> u32 {
    let hash = kumquat_state::hash::key(name.as_bytes());
    u32::try_from(hash >> 32).unwrap_or(u32::MAX)
}
