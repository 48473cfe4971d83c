//! The `coordination` module drives the coordinators of keyed services while this VM holds the coordinator's lease.
//!
//! It sends grants and releases to upstreams and passes changed ownership maps on to be written to the store.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Action, Coordinator, Era, Holder, KeyRange, Member, OrderFailure, OwnershipMap,
    OwnershipTiming, PathState, UpstreamInstance, max_hold_time,
};
use kumquat_state::clock::{self, Instant};
use slog::{debug, info, warn};
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

use crate::dialect::{self, OrderRequest};
use crate::sorted;
use crate::upstream::{
    self, BUFFERED_BODY_BYTES, ExchangeError, MISDIRECTED_STATUS, UpstreamResponse,
};
use crate::vm::{Vm, short_id};

/// Interval at which the coordinators check for due actions.
const TICK_INTERVAL: Duration = Duration::from_millis(40);

/// Maximum duration of a grant, used while the store is unreachable.
///
/// A new coordinator must wait this long for upstreams that don't respond, because it can't know what its predecessor
/// granted. Together with the lease, it bridges a store outage of about seven seconds.
const MAX_GRANT_DURATION: Duration = Duration::from_secs(5);

/// Time from the start of a deployment within which its VMs have to reach the store to know that there are no grants yet.
const FIRST_START_TIME: Duration = Duration::from_secs(1);

/// Timeout for the response to a grant.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout for the response to a release, which the upstream may delay until its work on the keys has ended.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// An ownership map that has to be written to the store.
#[derive(Clone, Debug)]
pub struct OwnershipCommit {
    /// Keyed service to which the map belongs.
    pub service: Arc<str>,
    /// New map; it may be written only if the store still holds the previous one.
    pub map: OwnershipMap,
    /// Next fencing token of the map that this one was planned from.
    pub base_fencing_token: u64,
}

/// The coordinators of all keyed services; there are none while another VM holds the lease.
#[derive(Debug)]
pub struct Coordination {
    vm: Rc<Vm>,
    coordinators: RefCell<Vec<(Arc<str>, Coordinator)>>,
    lease_valid_until: Cell<Instant>,
    // Until when the store gives the lease to no other VM; this VM acts on it for a shorter time.
    lease_exists_until: Cell<Instant>,
    // Era of the store, 0 for one that states none; `None` until there was a response.
    era: Cell<Option<Era>>,
    // When the last grant of an earlier era of the store expires that this VM may not know of.
    lost_grants_expire_at: Cell<Option<Instant>>,
    // Whether the coordinators are kept without the lease, because they know all grants of the earlier era.
    keeps_coordinators: Cell<bool>,
    // Start of this process, if the whole deployment started with it and no era is known yet.
    first_started_at: Cell<Option<Instant>>,
    is_store_unreachable: Cell<bool>,
    last_commit_revision: Cell<u64>,
    commits: UnboundedSender<OwnershipCommit>,
}

impl Coordination {
    /// Creates the coordination of a VM that does not hold the lease; maps to be written are sent to `commits`.
    #[must_use]
    pub fn new(vm: Rc<Vm>, commits: UnboundedSender<OwnershipCommit>) -> Rc<Self> {
        Rc::new(Self {
            vm,
            coordinators: RefCell::default(),
            lease_valid_until: Cell::new(Instant::ORIGIN),
            lease_exists_until: Cell::new(Instant::ORIGIN),
            era: Cell::new(None),
            lost_grants_expire_at: Cell::new(None),
            keeps_coordinators: Cell::new(false),
            first_started_at: Cell::new(None),
            is_store_unreachable: Cell::new(false),
            last_commit_revision: Cell::new(0),
            commits,
        })
    }

    /// Returns whether this VM holds the coordinator's lease at this moment.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        clock::now() < self.lease_valid_until.get()
    }

    /// Returns whether the store can't have given this VM's lease to another VM yet.
    #[must_use]
    pub fn may_have_lease(&self) -> bool {
        clock::now() < self.lease_exists_until.get()
    }

    /// Acquires the lease or extends it until `until`; an earlier end than the present one is ignored.
    ///
    /// The store gives the lease to no other VM before `exists_until`, which is later. A VM that acquires the lease starts
    /// from the ownership maps that it has read from the store.
    pub fn extend_lease(&self, until: Instant, exists_until: Instant) {
        if !self.has_lease() {
            let keeps_coordinators = self.keeps_coordinators.take();
            info!(self.vm.log, "coordinator's lease gained"; "era" => self.era.get().map(|era| era.0),
                "keeps_grants" => keeps_coordinators);
            if !keeps_coordinators {
                self.coordinators.borrow_mut().clear();
            }
        }
        self.lease_valid_until
            .set(self.lease_valid_until.get().max(until));
        self.lease_exists_until
            .set(self.lease_exists_until.get().max(exists_until));
    }

    /// Gives up the lease and drops the coordinators.
    pub fn resign(&self) {
        if self.has_lease() {
            info!(self.vm.log, "coordinator's lease lost");
        }
        self.lease_valid_until.set(Instant::ORIGIN);
        self.lease_exists_until.set(Instant::ORIGIN);
        self.drop_coordinators();
    }

    fn drop_coordinators(&self) {
        self.keeps_coordinators.set(false);
        self.coordinators.borrow_mut().clear();
    }

    /// States that the whole deployment starts for the first time, so that no grant was sent before this process started.
    pub fn assume_no_earlier_grants(&self) {
        self.first_started_at.set(Some(clock::now()));
    }

    /// Gives up the lease, because the store is in another era and may have given the lease to another VM.
    ///
    /// Coordinators of the earlier era hold leases until `earlier_leases_end` at the latest, and send grants until then.
    /// If the store can't have given this VM's lease to another one before that era ended, its coordinators know all
    /// grants, and go on once it has the lease again.
    pub fn begin_era(&self, era: Era, earlier_leases_end: Instant) {
        let now = clock::now();
        let is_first = self.era.replace(Some(era)).is_none();
        let started_at = self.first_started_at.take().filter(|_| is_first);
        // Other VMs of a first start may have sent grants before this one reached the store, and the store been restored.
        if started_at.is_some_and(|at| now.saturating_since(at) < FIRST_START_TIME) {
            return;
        }
        let expire_at = earlier_leases_end + max_hold_time(self.max_grant_duration());
        self.lost_grants_expire_at.set(Some(expire_at));
        let had_lease = now < self.lease_exists_until.replace(Instant::ORIGIN);
        self.lease_valid_until.set(Instant::ORIGIN);
        if !had_lease {
            self.drop_coordinators();
            return;
        }
        self.keeps_coordinators.set(true);
        for (_, coordinator) in &mut *self.coordinators.borrow_mut() {
            coordinator.begin_era(era, None);
        }
    }

    fn max_grant_duration(&self) -> Duration {
        self.vm.bounds.max_grant_duration.min(MAX_GRANT_DURATION)
    }

    /// Sets whether the store is unreachable, in which case grants get the maximum duration.
    pub fn set_store_unreachable(&self, is_unreachable: bool) {
        self.is_store_unreachable.set(is_unreachable);
    }

    /// Returns the fencing tokens, by the short id of the service, whose new owners have their grants although the written
    /// map still lists previous owners; `None` if this VM does not hold the lease.
    #[must_use]
    pub fn handed_over_tokens(&self) -> Option<Vec<(u32, u64)>> {
        if !self.has_lease() {
            return None;
        }
        let coordinators = self.coordinators.borrow();
        let tokens_by_service = coordinators.iter().flat_map(|(service, coordinator)| {
            let tokens = coordinator.handed_over_tokens().into_iter();
            let service = short_id(service);
            tokens.map(move |token| (service, token))
        });
        Some(tokens_by_service.collect())
    }

    /// Counts requests by key for the service with a short id; ignored while this VM does not coordinate the service.
    pub fn record_requests(&self, service_id: u32, keys: &[u16]) {
        let mut coordinators = self.coordinators.borrow_mut();
        let found = coordinators
            .iter_mut()
            .find(|(name, _)| short_id(name) == service_id);
        if let Some((_, coordinator)) = found {
            coordinator.record_requests(keys);
        }
    }

    /// Tells a service's coordinator that its map was written.
    pub fn on_committed(&self, service: &Arc<str>, map: &OwnershipMap) {
        self.with_coordinator(service, |coordinator| coordinator.on_committed(map));
    }

    /// Records the store revision of this VM's last write of a map.
    pub fn set_last_commit_revision(&self, revision: u64) {
        self.last_commit_revision.set(revision);
    }

    /// Returns the store revision of this VM's last write of a map, or 0 if it has written none.
    #[must_use]
    pub fn last_commit_revision(&self) -> u64 {
        self.last_commit_revision.get()
    }

    /// Tells a service's coordinator that its map was not written, or that the result of the write is unknown.
    pub fn on_commit_failed(&self, service: &Arc<str>, map: &OwnershipMap) {
        self.with_coordinator(service, |coordinator| coordinator.on_commit_failed(map));
    }

    /// Tells a service's coordinator which map the store holds.
    ///
    /// It can be newer than the last confirmed write, if the result of a write is unknown.
    pub fn on_map_observed(&self, service: &Arc<str>, map: &OwnershipMap) {
        if self.keeps_coordinators.get() && !self.has_lease() {
            let coordinators = self.coordinators.borrow();
            let own = sorted::get(&coordinators, &**service);
            let is_newer = own.is_some_and(|own| map.supersedes(own.map()));
            drop(coordinators);
            // Another coordinator has acted since, so that this VM no longer knows all grants.
            if is_newer {
                self.drop_coordinators();
            }
        }
        self.with_coordinator(service, |coordinator| coordinator.on_map_observed(map));
    }

    fn with_coordinator(&self, service: &Arc<str>, update: impl FnOnce(&mut Coordinator)) {
        let mut coordinators = self.coordinators.borrow_mut();
        if let Some((_, coordinator)) = coordinators.iter_mut().find(|(name, _)| name == service) {
            update(coordinator);
        }
    }

    /// Runs the coordinators while this VM holds the lease, and drops them once it has expired; never returns.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            let keeps_coordinators = self.keeps_coordinators.get() || self.may_have_lease();
            if self.has_lease() {
                self.tick();
            } else if !keeps_coordinators && !self.coordinators.borrow().is_empty() {
                self.resign();
            }
        }
    }

    fn tick(self: &Rc<Self>) {
        let now = clock::now();
        let Some(config) = self.vm.config() else {
            return;
        };
        let keyed = config.services.iter().filter(|service| service.is_keyed);
        let max_grant_duration = self.max_grant_duration();
        let mut coordinators = self.coordinators.borrow_mut();
        for service in keyed {
            // What this VM can't reach says nothing about the owners, so that no key may be moved away from them.
            if self.vm.path_state(&service.name) != PathState::Intact {
                continue;
            }
            let members = self.members(now, &service.name);
            let timing = OwnershipTiming::for_upstreams(members.len(), max_grant_duration);
            let coordinator = sorted::get_or_insert_with(&mut coordinators, &*service.name, || {
                let map = self.vm.ownership_map(&service.name).unwrap_or_default();
                let mut coordinator = Coordinator::new(now, timing, map);
                coordinator.begin_era(
                    self.era.get().unwrap_or_default(),
                    self.lost_grants_expire_at.get(),
                );
                (Arc::clone(&service.name), coordinator)
            });
            coordinator.set_timing(timing);
            coordinator.set_store_unreachable(self.is_store_unreachable.get());
            for member in &members {
                let responded_at = self.vm.responded_at(&member.holder.name);
                coordinator.record_response(responded_at, &member.holder);
            }
            coordinator.set_members(now, members);
            let mut actions = Vec::new();
            coordinator.tick(now, &mut actions);
            let base_fencing_token = coordinator.map().next_fencing_token;
            for action in actions {
                self.execute(&service.name, base_fencing_token, action);
            }
        }
    }

    fn members(&self, now: Instant, service: &str) -> Vec<Member> {
        let upstreams = self.vm.upstreams(service);
        let members = upstreams
            .into_iter()
            .map(|(upstream, warmup_until, accepts_requests)| Member {
                holder: Holder {
                    name: Arc::clone(&upstream.name),
                    incarnation: upstream.incarnation,
                },
                // An upstream that can't be sent a grant for longer than any grant lasts loses its keys to others.
                may_own: accepts_requests
                    && self.vm.remaining_backoff(&upstream) < MAX_GRANT_DURATION,
                is_warm: warmup_until <= now,
                capacity: f64::from(upstream.slots.max(1)) / self.vm.latency_factor(&upstream.name),
                max_requests_per_s: self.vm.placement_limit(&upstream),
            });
        let mut members: Vec<Member> = members.collect();
        self.vm.limit_rollout_members(now, service, &mut members);
        members
    }

    fn execute(self: &Rc<Self>, service: &Arc<str>, base_fencing_token: u64, action: Action) {
        match action {
            Action::Commit(map) => {
                let commit = OwnershipCommit {
                    service: Arc::clone(service),
                    map,
                    base_fencing_token,
                };
                if self.commits.send(commit).is_err() {
                    warn!(
                        self.vm.log,
                        "ownership map not written: the store client has stopped"
                    );
                }
            }
            Action::LogClearance {
                keys,
                fencing_token,
                evidence,
            } => {
                let evidence = evidence.iter().map(|(holder, clearance)| {
                    let (name, born) = (&holder.name, holder.incarnation);
                    format!("{name}/{born}:{}", clearance.as_str())
                });
                info!(self.vm.log, "keys free to grant"; "service" => &**service, "first" => keys.start(),
                    "last" => keys.end(), "fence" => fencing_token, "previous" => evidence.collect::<Vec<_>>().join(","));
            }
            Action::Grant {
                holder,
                keys,
                id,
                duration,
                handover,
            } => {
                let (this, service) = (Rc::clone(self), Arc::clone(service));
                tokio::task::spawn_local(async move {
                    let fencing_token = id.fencing_token;
                    let call = (this.vm.dialect.encode_grant)(&dialect::KeyGrant {
                        keys: &keys,
                        fencing_token,
                        duration,
                        handover_state: handover.as_deref(),
                    });
                    let result = this
                        .send_order("grant", &holder, &keys, fencing_token, call, GRANT_TIMEOUT)
                        .await;
                    this.with_coordinator(&service, |coordinator| match result {
                        Ok(_) => {
                            if coordinator.on_granted(clock::now(), &holder, id) {
                                this.vm.handover_completed.notify_one();
                            }
                        }
                        Err(error) => {
                            coordinator.on_grant_failed(clock::now(), &holder, id, error);
                        }
                    });
                });
            }
            Action::Release {
                holder,
                keys,
                fencing_token,
            } => {
                let (this, service) = (Rc::clone(self), Arc::clone(service));
                tokio::task::spawn_local(async move {
                    let call = (this.vm.dialect.encode_release)(&keys, fencing_token);
                    let result = this
                        .send_order(
                            "release",
                            &holder,
                            &keys,
                            fencing_token,
                            call,
                            RELEASE_TIMEOUT,
                        )
                        .await;
                    this.with_coordinator(&service, |coordinator| match result {
                        Ok(answer) => {
                            let handover =
                                answer.head.headers.get_str(this.vm.dialect.handover_header);
                            coordinator.on_released(&holder, fencing_token, handover);
                        }
                        Err(error) => coordinator.on_release_failed(clock::now(), &holder, error),
                    });
                });
            }
        }
    }

    /// Sends a grant or a release to a holder and records its outcome in the metrics and the log.
    async fn send_order(
        &self,
        kind: &str,
        holder: &Holder,
        keys: &KeyRange,
        fencing_token: u64,
        call: OrderRequest,
        time_limit: Duration,
    ) -> Result<UpstreamResponse, OrderFailure> {
        let result = match self.vm.upstream(&holder.name) {
            None => Err((OrderFailure::NoResponse, "never registered".to_owned())),
            // A release is sent to whichever incarnation there is: it may have accepted grants for an earlier one.
            Some(upstream) if kind == "grant" && upstream.incarnation != holder.incarnation => {
                Err((
                    OrderFailure::Superseded,
                    "another incarnation is registered".to_owned(),
                ))
            }
            // Releases are sent during a backoff too: they relieve an overloaded upstream, which never refuses them.
            Some(upstream)
                if kind == "grant" && !self.vm.remaining_backoff(&upstream).is_zero() =>
            {
                Err((
                    OrderFailure::BackedOff,
                    "the upstream wants nothing now".to_owned(),
                ))
            }
            Some(upstream) => {
                self.vm.record_send(&upstream, kind);
                let result = match timeout(time_limit, self.call(&upstream, call)).await {
                    Ok(result) => result,
                    Err(_elapsed) => {
                        Err((OrderFailure::NoResponse, "no answer in time".to_owned()))
                    }
                };
                match &result {
                    Err((OrderFailure::ConnectionRefused | OrderFailure::NoResponse, _)) => {
                        self.vm.record_path_failure(&upstream);
                    }
                    _ => self.vm.record_path_success(&upstream.service),
                }
                result
            }
        };
        let outcome = match &result {
            Ok(_) => "done",
            Err((OrderFailure::ConnectionRefused, _)) => "refused",
            Err((OrderFailure::Dead, _)) => "dead",
            Err((OrderFailure::NoResponse, _)) => "silent",
            Err((OrderFailure::StaleFencingToken, _)) => "outdated",
            Err((OrderFailure::BackedOff, _)) => "held_off",
            Err((OrderFailure::Superseded, _)) => "superseded",
        };
        self.vm
            .metrics
            .orders
            .with_label_values(&[kind, outcome])
            .inc();
        match &result {
            Ok(_) => debug!(self.vm.log, "order done"; "kind" => kind, "upstream" => &*holder.name,
                "first" => keys.start(), "last" => keys.end(), "fence" => fencing_token),
            Err((_, error)) => {
                info!(self.vm.log, "order failed"; "kind" => kind, "upstream" => &*holder.name,
                "first" => keys.start(), "last" => keys.end(), "fence" => fencing_token,
                "outcome" => outcome, "error" => error);
            }
        }
        result.map_err(|(failure, _)| failure)
    }

    /// Posts a call to an upstream on a new connection and maps its status to the outcome of the order.
    ///
    /// Nothing is sent once the lease has expired.
    async fn call(
        &self,
        upstream: &UpstreamInstance,
        OrderRequest { path, body }: OrderRequest,
    ) -> Result<UpstreamResponse, (OrderFailure, String)> {
        let no_response = |error: ExchangeError| (OrderFailure::NoResponse, error.to_string());
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{}: {}\r\nContent-Length: {}\r\n\r\n",
            upstream.address,
            self.vm.dialect.expected_upstream_header,
            upstream.name,
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        // The answer to an order has no id, so on a connection with earlier exchanges it could be a late or repeated one.
        let mut wire = match upstream::connect(upstream.address, upstream::CONNECT_TIMEOUT).await {
            Ok(wire) => wire,
            Err(ExchangeError::ConnectionRefused) => {
                return Err((OrderFailure::ConnectionRefused, "refused".to_owned()));
            }
            Err(error) => return Err(no_response(error)),
        };
        // The lease may have expired while the connection was established.
        if !self.has_lease() {
            return Err((OrderFailure::NoResponse, "the lease has run out".to_owned()));
        }
        let request = upstream::UpstreamRequest {
            method: "POST",
            bytes: &bytes,
            attempt_id: None,
        };
        let answer = upstream::exchange(&mut wire, &request, &self.vm.dialect, BUFFERED_BODY_BYTES)
            .await
            .map_err(no_response)?;
        if !answer.unread_body.is_complete() {
            return Err((
                OrderFailure::NoResponse,
                "the answer is too long".to_owned(),
            ));
        }
        if self.vm.apply_notices(upstream, &answer.head).is_some() {
            return Err((
                OrderFailure::BackedOff,
                "the upstream has no room".to_owned(),
            ));
        }
        match answer.head.status {
            200 => {
                if let Some(idle) = answer.keep_alive {
                    self.vm.pool.borrow_mut().put(upstream.address, wire, idle);
                }
                Ok(answer)
            }
            409 => Err((
                OrderFailure::StaleFencingToken,
                "a higher fencing token was seen".to_owned(),
            )),
            MISDIRECTED_STATUS => Err((
                OrderFailure::Dead,
                "another upstream has the address".to_owned(),
            )),
            status => Err((OrderFailure::NoResponse, format!("status {status}"))),
        }
    }
}
