//! The `place` module provides slots at upstreams for requests, and the queue in which requests wait for one.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    AttemptOutcome, Cost, QueuedRequest, RequestWork, Selection, UpstreamInstance, UpstreamLoad,
};
use kumquat_state::clock::{self, Instant};
use tokio::sync::oneshot;

use super::state::Waiter;
use super::work::PlacedWork;
use super::{Vm, short_id};

/// The upstreams that may run a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service whose upstreams are eligible.
    pub service: Arc<str>,
    /// Key, if the service is keyed and only the key's owner may run the request.
    pub key: Option<u16>,
}

/// Permission to send one request to an upstream; the request counts as in flight until it is completed or dropped.
#[derive(Debug)]
pub struct SlotPermit {
    vm: Rc<Vm>,
    /// Upstream in whose slot the request runs.
    pub upstream: UpstreamInstance,
    // Work that the request is expected to cause, if that is known.
    work: Option<PlacedWork>,
    // Short id of the request's route, once the request is sent.
    route: Option<u32>,
    is_completed: bool,
}

impl SlotPermit {
    /// Records that the request is being sent; the work is measured from then on.
    pub const fn mark_sent(&mut self, now: Instant) {
        if let Some(work) = &mut self.work {
            work.sent_at = Some(now);
        }
    }

    /// Sets the route of the request that is about to be sent, by which versions of a service are compared.
    pub fn set_route(&mut self, name: &str) {
        self.route = Some(short_id(name));
    }

    /// Releases the slot and records the outcome of the attempt and the load that the upstream reported.
    ///
    /// Dropping the permit instead records that the caller disconnected.
    pub fn complete(mut self, outcome: AttemptOutcome, load: Option<UpstreamLoad>) {
        self.is_completed = true;
        if let Some(route) = self.route {
            self.vm
                .record_version_outcome(&self.upstream, route, outcome);
        }
        self.vm
            .release_slot(&self.upstream, self.work, outcome, load);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.is_completed {
            let outcome = AttemptOutcome::CallerDisconnected;
            self.vm
                .release_slot(&self.upstream, self.work, outcome, None);
        }
    }
}

/// Why a request gets no slot.
#[derive(Clone, Debug, PartialEq)]
pub enum SlotError {
    /// No upstream of the service accepts requests.
    NoUpstream,
    /// No slot is expected to be free in time.
    Busy {
        /// Estimated time in seconds until a slot is free.
        wait_s: f64,
    },
    /// The upstreams that could run the request have reached the request limits that they announced.
    OverLimit {
        /// Upstream whose limit allows the next request.
        upstream: Arc<str>,
        /// Time until then.
        wait: Duration,
    },
}

/// Priority and time limits of a request in the queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueParams {
    /// Priority; lower values are served first.
    pub priority: u32,
    /// Latest time at which sending still meets the route's latency target.
    pub on_time_deadline: Instant,
    /// Maximum expected wait; a request that would wait longer is refused at once.
    pub max_wait: Duration,
    /// Latest time at which the request is sent; afterwards it is refused.
    pub send_deadline: Instant,
    /// Mean latency of the route, from which the wait is estimated.
    pub mean_latency: Duration,
    /// Expected cost of the request, if it is known.
    pub cost: Option<Cost>,
}

impl QueueParams {
    /// Returns whether a request with this expected wait is refused rather than queued.
    pub(super) fn is_too_long(&self, now: Instant, wait: Duration) -> bool {
        now + wait > self.send_deadline || wait > self.max_wait
    }
}

impl Vm {
    /// Acquires a slot at an upstream, and queues the request if none is free but one is expected in time.
    ///
    /// Upstreams in `tried` are avoided; cancelling the future removes the request from the queue.
    ///
    /// # Errors
    ///
    /// Returns an error if no upstream accepts requests of the service, or no slot is expected or becomes free in time.
    pub async fn acquire_slot(
        self: &Rc<Self>,
        target: &Target,
        tried: &[Arc<str>],
        params: QueueParams,
    ) -> Result<SlotPermit, SlotError> {
        let (id, mut permit_receiver) = {
            let mut state = self.state.borrow_mut();
            let now = clock::now();
            let ahead = state.queue.count_ahead(&target.service, params.priority);
            if target.key.is_some() || ahead == 0 {
                let work = state.next_work(params.cost);
                match state.select(now, target, tried, work) {
                    Selection::Selected(upstream) => {
                        return Ok(self.permit(upstream, placed_work(work, params.cost)));
                    }
                    Selection::NoneEligible => return Err(SlotError::NoUpstream),
                    Selection::OverLimit { upstream, wait } => {
                        return Err(SlotError::OverLimit { upstream, wait });
                    }
                    Selection::Busy => {}
                }
            }
            let ahead_work_s = state.queued_work_s(&target.service, params.priority);
            let wait = state.expected_wait(now, target, ahead, ahead_work_s, params.mean_latency);
            if params.is_too_long(now, wait) {
                return Err(SlotError::Busy {
                    wait_s: wait.as_secs_f64(),
                });
            }
            state.next_waiter_id += 1;
            let id = state.next_waiter_id;
            state.queue.push(QueuedRequest {
                id,
                service: Arc::clone(&target.service),
                priority: params.priority,
                on_time_deadline: params.on_time_deadline,
                send_deadline: params.send_deadline,
            });
            let (sender, receiver) = oneshot::channel();
            state.waiters.push(Waiter {
                id,
                target: target.clone(),
                tried: tried.to_vec(),
                priority: params.priority,
                cost: params.cost,
                permit_sender: sender,
            });
            (id, receiver)
        };
        let _guard = WaitGuard {
            vm: Rc::clone(self),
            id,
        };
        match (&mut permit_receiver).await {
            Ok(result) => result,
            // The waiter was dropped: the request expired or can no longer be sent.
            Err(_dropped) => {
                let state = self.state.borrow();
                let mean_latency = params.mean_latency;
                let wait = state.expected_wait(clock::now(), target, 0, Some(0.0), mean_latency);
                Err(SlotError::Busy {
                    wait_s: wait.max(params.mean_latency).as_secs_f64(),
                })
            }
        }
    }

    fn permit(self: &Rc<Self>, upstream: UpstreamInstance, work: Option<PlacedWork>) -> SlotPermit {
        SlotPermit {
            vm: Rc::clone(self),
            upstream,
            work,
            route: None,
            is_completed: false,
        }
    }

    fn release_slot(
        self: &Rc<Self>,
        upstream: &UpstreamInstance,
        work: Option<PlacedWork>,
        outcome: AttemptOutcome,
        load: Option<UpstreamLoad>,
    ) {
        let mut state = self.state.borrow_mut();
        if let Some(work) = work {
            self.finish_work(&mut state, upstream, work, outcome, load);
        }
        state.table.record_outcome(
            clock::now(),
            &upstream.name,
            upstream.incarnation,
            outcome,
            load,
        );
        drop(state);
        self.dispatch_queued();
    }

    /// Dispatches queued requests to free slots, and rejects those that have expired.
    pub fn dispatch_queued(self: &Rc<Self>) {
        let mut dispatched = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let now = clock::now();
            for entry in state.queue.remove_expired(now) {
                state.waiters.retain(|waiter| waiter.id != entry.id);
            }
            let entries: Vec<(u64, Arc<str>)> = state
                .queue
                .dispatch_order(now)
                .into_iter()
                .map(|entry| (entry.id, Arc::clone(&entry.service)))
                .collect();
            let mut full_services: Vec<Arc<str>> = Vec::new();
            for (id, service) in entries {
                if full_services.contains(&service) {
                    continue;
                }
                let Some(position) = state.waiters.iter().position(|waiter| waiter.id == id) else {
                    state.queue.remove(id);
                    continue;
                };
                let target = state.waiters[position].target.clone();
                let tried = state.waiters[position].tried.clone();
                let cost = state.waiters[position].cost;
                let work = state.next_work(cost);
                match state.select(now, &target, &tried, work) {
                    Selection::Selected(upstream) => {
                        let waiter = state.waiters.swap_remove(position);
                        state.queue.remove(id);
                        let work = placed_work(work, cost);
                        dispatched.push((waiter.permit_sender, upstream, work));
                    }
                    Selection::OverLimit { upstream, wait } => {
                        let waiter = state.waiters.swap_remove(position);
                        state.queue.remove(id);
                        // If the receiver is gone, so is the request.
                        let error = SlotError::OverLimit { upstream, wait };
                        drop(waiter.permit_sender.send(Err(error)));
                    }
                    Selection::Busy if target.key.is_none() => full_services.push(service),
                    // Dropping the waiter rejects the request at once, rather than when it is too late to send it.
                    Selection::Busy if state.is_owner_lost(now, &target) => {
                        state.waiters.swap_remove(position);
                        state.queue.remove(id);
                    }
                    Selection::Busy => {}
                    Selection::NoneEligible => {
                        state.waiters.swap_remove(position);
                        state.queue.remove(id);
                    }
                }
            }
            let queue_length = i64::try_from(state.queue.requests().len()).unwrap_or(i64::MAX);
            self.metrics.queued_requests.set(queue_length);
        };
        for (permit_sender, upstream, work) in dispatched {
            // If the receiver is gone, the unsent permit is dropped, which releases the slot.
            drop(permit_sender.send(Ok(self.permit(upstream, work))));
        }
    }
}

fn placed_work(work: Option<RequestWork>, cost: Option<Cost>) -> Option<PlacedWork> {
    Some(PlacedWork {
        id: work?.id,
        cost: cost?,
        sent_at: None,
    })
}

/// Removes a request from the queue when its wait ends or is cancelled.
#[derive(Debug)]
struct WaitGuard {
    vm: Rc<Vm>,
    id: u64,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.vm.state.borrow_mut();
        state.queue.remove(self.id);
        let id = self.id;
        state.waiters.retain(|waiter| waiter.id != id);
    }
}
