//! The `coordination` module provides the coordinator's work on this VM while it holds the lease.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Action, Coordinator, Holder, KeyRange, Member, OrderFailure, OwnershipMap, OwnershipTiming,
    UpstreamInstance,
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

/// Interval at which the coordinator looks for what is due.
const TICK: Duration = Duration::from_millis(40);

/// Longest time for which a grant holds, when the store is away.
///
/// A successor has to wait this long for upstreams that don't answer, because it can't know what its predecessor granted.
/// With the lease it spans an outage of the store of some seven seconds.
const LONGEST_HOLD: Duration = Duration::from_secs(5);

/// Time within which a grant is answered.
const GRANT_TIMEOUT: Duration = Duration::from_millis(400);

/// Time within which a release is answered, which may have to wait for work on the keys to end.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A change of a service's owners that has to be written.
#[derive(Clone, Debug)]
pub struct OwnershipCommit {
    /// The service.
    pub service: Arc<str>,
    /// The owners.
    pub map: OwnershipMap,
}

/// The coordinators of all keyed services.
#[derive(Debug)]
pub struct Coordination {
    vm: Rc<Vm>,
    coordinators: RefCell<Vec<(Arc<str>, Coordinator)>>,
    valid_until: Cell<Instant>,
    is_store_lost: Cell<bool>,
    last_commit_revision: Cell<u64>,
    commits: UnboundedSender<OwnershipCommit>,
}

impl Coordination {
    /// Creates the part of a VM that does not hold the lease; what has to be written goes to `commits`.
    #[must_use]
    pub fn new(vm: Rc<Vm>, commits: UnboundedSender<OwnershipCommit>) -> Rc<Self> {
        Rc::new(Self {
            vm,
            coordinators: RefCell::default(),
            valid_until: Cell::new(Instant::ORIGIN),
            is_store_lost: Cell::new(false),
            last_commit_revision: Cell::new(0),
            commits,
        })
    }

    /// Returns whether this VM holds the lease.
    #[must_use]
    pub fn has_lease(&self) -> bool {
        clock::now() < self.valid_until.get()
    }

    /// Extends the lease, or gains it.
    pub fn extend_lease(&self, until: Instant) {
        if !self.has_lease() {
            info!(self.vm.log, "coordinator's lease gained");
            self.coordinators.borrow_mut().clear();
        }
        self.valid_until.set(self.valid_until.get().max(until));
    }

    /// Gives the lease up.
    pub fn resign(&self) {
        if self.has_lease() {
            info!(self.vm.log, "coordinator's lease lost");
        }
        self.valid_until.set(Instant::ORIGIN);
        self.coordinators.borrow_mut().clear();
    }

    /// Sets whether the store fails to answer, so that grants have to outlast that.
    pub fn set_store_unreachable(&self, is_lost: bool) {
        self.is_store_lost.set(is_lost);
    }

    /// Returns the fencing tokens whose owners have their grants before the map says so, if this VM holds the lease.
    #[must_use]
    pub fn handed_over_tokens(&self) -> Option<Vec<(u32, u64)>> {
        if !self.has_lease() {
            return None;
        }
        let coordinators = self.coordinators.borrow();
        let settled = coordinators.iter().flat_map(|(service, coordinator)| {
            let fences = coordinator.handed_over_tokens().into_iter();
            let service = short_id(service);
            fences.map(move |fence| (service, fence))
        });
        Some(settled.collect())
    }

    /// Counts keys of a service, which is named by its short id.
    pub fn record_requests(&self, service: u32, keys: &[u16]) {
        let mut coordinators = self.coordinators.borrow_mut();
        let found = coordinators
            .iter_mut()
            .find(|(name, _)| short_id(name) == service);
        if let Some((_, coordinator)) = found {
            coordinator.record_requests(keys);
        }
    }

    /// Reports that owners were written.
    pub fn on_committed(&self, service: &Arc<str>, map: &OwnershipMap) {
        self.with(service, |coordinator| coordinator.on_committed(map));
    }

    /// Notes the revision of the store at which owners were last written.
    pub fn set_last_commit_revision(&self, revision: u64) {
        self.last_commit_revision.set(revision);
    }

    /// Returns the revision of the store at which this VM last wrote owners.
    #[must_use]
    pub fn last_commit_revision(&self) -> u64 {
        self.last_commit_revision.get()
    }

    /// Reports that owners could not be written, or that it is not known whether they were.
    pub fn on_commit_failed(&self, service: &Arc<str>) {
        self.with(service, Coordinator::on_commit_failed);
    }

    /// Reports the owners that the store holds, which may be more than this coordinator knows to have written.
    pub fn on_map_observed(&self, service: &Arc<str>, map: &OwnershipMap) {
        self.with(service, |coordinator| coordinator.on_map_observed(map));
    }

    fn with(&self, service: &Arc<str>, act: impl FnOnce(&mut Coordinator)) {
        let mut coordinators = self.coordinators.borrow_mut();
        if let Some((_, coordinator)) = coordinators.iter_mut().find(|(name, _)| name == service) {
            act(coordinator);
        }
    }

    /// Does what is due for as long as the process runs.
    pub async fn run(self: Rc<Self>) {
        loop {
            tokio::time::sleep(TICK).await;
            if self.has_lease() {
                self.tick();
            } else if !self.coordinators.borrow().is_empty() {
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
        let max_grant_duration = self.vm.bounds.max_grant_duration.min(LONGEST_HOLD);
        let mut coordinators = self.coordinators.borrow_mut();
        for service in keyed {
            let members = self.members(now, &service.name);
            let timing = OwnershipTiming::for_upstreams(members.len(), max_grant_duration);
            let coordinator = sorted::get_or_insert_with(&mut coordinators, &*service.name, || {
                let map = self.vm.ownership_map(&service.name).unwrap_or_default();
                let coordinator = Coordinator::new(now, timing, map);
                (Arc::clone(&service.name), coordinator)
            });
            coordinator.set_timing(timing);
            coordinator.set_store_unreachable(self.is_store_lost.get());
            coordinator.set_members(now, members);
            let mut actions = Vec::new();
            coordinator.tick(now, &mut actions);
            for action in actions {
                self.act(&service.name, action);
            }
        }
    }

    fn members(&self, now: Instant, service: &str) -> Vec<Member> {
        let servers = self.vm.upstreams(service);
        servers
            .into_iter()
            .map(|(server, cold_until, is_open)| Member {
                holder: Holder {
                    name: Arc::clone(&server.name),
                    incarnation: server.incarnation,
                },
                // Keys of an upstream that can't be granted them for longer than any grant holds are better off elsewhere.
                may_own: is_open && self.vm.remaining_backoff(&server) < LONGEST_HOLD,
                is_warm: cold_until <= now,
                capacity: f64::from(server.slots.max(1)) / self.vm.latency_factor(&server.name),
            })
            .collect()
    }

    fn act(self: &Rc<Self>, service: &Arc<str>, action: Action) {
        match action {
            Action::Commit(map) => {
                let commit = OwnershipCommit {
                    service: Arc::clone(service),
                    map,
                };
                if self.commits.send(commit).is_err() {
                    warn!(
                        self.vm.log,
                        "owners can't be written: the store client has ended"
                    );
                }
            }
            Action::Grant {
                holder,
                keys,
                fencing_token,
                duration,
                handover,
            } => {
                let (this, service) = (Rc::clone(self), Arc::clone(service));
                tokio::task::spawn_local(async move {
                    let call = (this.vm.dialect.encode_grant)(&dialect::KeyGrant {
                        keys: &keys,
                        fencing_token,
                        duration,
                        handover_state: handover.as_deref(),
                    });
                    let result = this
                        .order("grant", &holder, &keys, fencing_token, call, GRANT_TIMEOUT)
                        .await;
                    this.with(&service, |coordinator| match result {
                        Ok(_) => coordinator.on_granted(clock::now(), &holder, fencing_token),
                        Err(failed) => {
                            coordinator.on_grant_failed(
                                clock::now(),
                                &holder,
                                fencing_token,
                                failed,
                            );
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
                        .order(
                            "release",
                            &holder,
                            &keys,
                            fencing_token,
                            call,
                            RELEASE_TIMEOUT,
                        )
                        .await;
                    this.with(&service, |coordinator| match result {
                        Ok(answer) => {
                            let handover =
                                answer.head.headers.get_str(this.vm.dialect.handover_header);
                            coordinator.on_released(&holder, fencing_token, handover);
                        }
                        Err(failed) => coordinator.on_release_failed(clock::now(), &holder, failed),
                    });
                });
            }
        }
    }

    /// Sends an order to an upstream, unless the lease has run out.
    async fn order(
        &self,
        kind: &str,
        holder: &Holder,
        region: &KeyRange,
        fence: u64,
        call: OrderRequest,
        limit: Duration,
    ) -> Result<UpstreamResponse, OrderFailure> {
        let result = match self.vm.upstream(&holder.name) {
            None => Err((OrderFailure::NoResponse, "never registered".to_owned())),
            Some(server) if server.incarnation != holder.incarnation => {
                Err((OrderFailure::Dead, "another life is registered".to_owned()))
            }
            // Taking keys back relieves an upstream that has no room, and it never refuses that.
            Some(server) if kind == "grant" && !self.vm.remaining_backoff(&server).is_zero() => {
                Err((
                    OrderFailure::BackedOff,
                    "the upstream wants nothing now".to_owned(),
                ))
            }
            Some(server) => match timeout(limit, self.call(&server, call)).await {
                Ok(result) => result,
                Err(_elapsed) => Err((OrderFailure::NoResponse, "no answer in time".to_owned())),
            },
        };
        let outcome = match &result {
            Ok(_) => "done",
            Err((OrderFailure::ConnectionRefused, _)) => "refused",
            Err((OrderFailure::Dead, _)) => "dead",
            Err((OrderFailure::NoResponse, _)) => "silent",
            Err((OrderFailure::StaleFencingToken, _)) => "outdated",
            Err((OrderFailure::BackedOff, _)) => "held_off",
        };
        self.vm
            .metrics
            .orders
            .with_label_values(&[kind, outcome])
            .inc();
        match &result {
            Ok(_) => debug!(self.vm.log, "order done"; "kind" => kind, "upstream" => &*holder.name,
                "first" => region.start(), "last" => region.end(), "fence" => fence),
            Err((_, error)) => {
                info!(self.vm.log, "order failed"; "kind" => kind, "upstream" => &*holder.name,
                "first" => region.start(), "last" => region.end(), "fence" => fence,
                "outcome" => outcome, "error" => error);
            }
        }
        result.map_err(|(failed, _)| failed)
    }

    async fn call(
        &self,
        server: &UpstreamInstance,
        OrderRequest { path, body }: OrderRequest,
    ) -> Result<UpstreamResponse, (OrderFailure, String)> {
        let silent = |error: ExchangeError| (OrderFailure::NoResponse, error.to_string());
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{}: {}\r\nContent-Length: {}\r\n\r\n",
            server.address,
            self.vm.dialect.expected_upstream_header,
            server.name,
            body.len()
        );
        let mut bytes = head.into_bytes();
        bytes.extend_from_slice(&body);
        let pooled = self.vm.pool.borrow_mut().take(server.address);
        let mut wire = match pooled {
            Some((wire, _)) => wire,
            None => match upstream::connect(server.address, upstream::CONNECT_TIMEOUT).await {
                Ok(wire) => wire,
                Err(ExchangeError::ConnectionRefused) => {
                    return Err((OrderFailure::ConnectionRefused, "refused".to_owned()));
                }
                Err(error) => return Err(silent(error)),
            },
        };
        // The lease may have run out while the connection was made.
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
            .map_err(silent)?;
        if !answer.unread_body.is_complete() {
            return Err((
                OrderFailure::NoResponse,
                "the answer is too long".to_owned(),
            ));
        }
        if self.vm.apply_notices(server, &answer.head).is_some() {
            return Err((
                OrderFailure::BackedOff,
                "the upstream has no room".to_owned(),
            ));
        }
        match answer.head.status {
            200 => {
                if let Some(idle) = answer.keep_alive {
                    self.vm.pool.borrow_mut().put(server.address, wire, idle);
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
