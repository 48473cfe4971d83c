//! The `place` module provides places at upstreams for requests, and the wait for one.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    AttemptOutcome, QueuedRequest, Selection, UpstreamInstance, UpstreamLoad,
};
use kumquat_state::clock::{self, Instant};
use tokio::sync::oneshot;

use super::Vm;
use super::state::Waiter;

/// Where a request may run.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// Service.
    pub service: Arc<str>,
    /// Key, if only the owner of the key may run it.
    pub key: Option<u16>,
}

/// A request that was given a place at an upstream; dropping it gives the place back.
#[derive(Debug)]
pub struct SlotPermit {
    vm: Rc<Vm>,
    /// The upstream.
    pub upstream: UpstreamInstance,
    is_ended: bool,
}

impl SlotPermit {
    /// Notes how the request ended.
    pub fn complete(mut self, ended: AttemptOutcome, load: Option<UpstreamLoad>) {
        self.is_ended = true;
        self.vm.ended(&self.upstream, ended, load);
    }
}

impl Drop for SlotPermit {
    fn drop(&mut self) {
        if !self.is_ended {
            self.vm
                .ended(&self.upstream, AttemptOutcome::CallerDisconnected, None);
        }
    }
}

/// Why a request can't be placed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum SlotError {
    /// No upstream of the service takes requests.
    NoUpstream,
    /// It would be too late; there may be room after this many seconds.
    Busy {
        /// Seconds until there may be room.
        wait_s: f64,
    },
}

/// How long a request may wait for a place.
#[derive(Clone, Copy, Debug)]
pub struct QueueParams {
    /// Rank, the lowest first.
    pub priority: u32,
    /// Last time at which an answer can still come within the route's aim.
    pub on_time_deadline: Instant,
    /// Longest wait that is worth while.
    pub max_wait: Duration,
    /// Last time at which it is worth sending.
    pub send_deadline: Instant,
    /// Time that a request of its route usually takes.
    pub mean_latency: Duration,
}

impl Vm {
    /// Finds a place at an upstream for a request, waiting for one if that can help.
    ///
    /// # Errors
    ///
    /// Returns an error if no upstream can run it in time.
    pub async fn acquire_slot(
        self: &Rc<Self>,
        target: &Target,
        tried: &[Arc<str>],
        urgency: QueueParams,
    ) -> Result<SlotPermit, SlotError> {
        let (id, mut go) = {
            let mut state = self.state.borrow_mut();
            let now = clock::now();
            let ahead = state.waiting.count_ahead(&target.service, urgency.priority);
            if target.key.is_some() || ahead == 0 {
                match state.pick(now, target, tried) {
                    Selection::Selected(server) => return Ok(self.placed(server)),
                    Selection::NoneEligible => return Err(SlotError::NoUpstream),
                    Selection::Busy => {}
                }
            }
            let wait = state.expected_wait(now, target, ahead, urgency.mean_latency);
            if now + wait > urgency.send_deadline || wait > urgency.max_wait {
                return Err(SlotError::Busy {
                    wait_s: wait.as_secs_f64(),
                });
            }
            state.next_id += 1;
            let id = state.next_id;
            state.waiting.push(QueuedRequest {
                id,
                service: Arc::clone(&target.service),
                priority: urgency.priority,
                on_time_deadline: urgency.on_time_deadline,
                send_deadline: urgency.send_deadline,
            });
            let (sender, receiver) = oneshot::channel();
            state.waiters.push(Waiter {
                id,
                target: target.clone(),
                tried: tried.to_vec(),
                go: sender,
            });
            (id, receiver)
        };
        let _guard = WaitGuard {
            vm: Rc::clone(self),
            id,
        };
        match (&mut go).await {
            Ok(placed) => Ok(placed),
            // The request was no longer worth sending.
            Err(_expired) => {
                let state = self.state.borrow();
                let wait = state.expected_wait(clock::now(), target, 0, urgency.mean_latency);
                Err(SlotError::Busy {
                    wait_s: wait.max(urgency.mean_latency).as_secs_f64(),
                })
            }
        }
    }

    fn placed(self: &Rc<Self>, server: UpstreamInstance) -> SlotPermit {
        SlotPermit {
            vm: Rc::clone(self),
            upstream: server,
            is_ended: false,
        }
    }

    fn ended(
        self: &Rc<Self>,
        server: &UpstreamInstance,
        ended: AttemptOutcome,
        load: Option<UpstreamLoad>,
    ) {
        let mut state = self.state.borrow_mut();
        state
            .table
            .record_outcome(clock::now(), &server.name, server.incarnation, ended, load);
        drop(state);
        self.dispatch_queued();
    }

    /// Gives waiting requests the places that have become free, and refuses those that would be too late.
    pub fn dispatch_queued(self: &Rc<Self>) {
        let mut sent = Vec::new();
        {
            let mut state = self.state.borrow_mut();
            let now = clock::now();
            for entry in state.waiting.remove_expired(now) {
                state.waiters.retain(|waiter| waiter.id != entry.id);
            }
            let entries: Vec<(u64, Arc<str>)> = state
                .waiting
                .dispatch_order(now)
                .into_iter()
                .map(|entry| (entry.id, Arc::clone(&entry.service)))
                .collect();
            let mut full: Vec<Arc<str>> = Vec::new();
            for (id, service) in entries {
                if full.contains(&service) {
                    continue;
                }
                let Some(position) = state.waiters.iter().position(|waiter| waiter.id == id) else {
                    state.waiting.remove(id);
                    continue;
                };
                let target = state.waiters[position].target.clone();
                let tried = state.waiters[position].tried.clone();
                match state.pick(now, &target, &tried) {
                    Selection::Selected(server) => {
                        let waiter = state.waiters.swap_remove(position);
                        state.waiting.remove(id);
                        sent.push((waiter.go, server));
                    }
                    Selection::Busy if target.key.is_none() => full.push(service),
                    Selection::Busy => {}
                    Selection::NoneEligible => {
                        state.waiters.swap_remove(position);
                        state.waiting.remove(id);
                    }
                }
            }
            let waiting = i64::try_from(state.waiting.requests().len()).unwrap_or(i64::MAX);
            self.metrics.queued_requests.set(waiting);
        };
        for (go, server) in sent {
            // A caller that has left drops its end, which gives the place back.
            drop(go.send(self.placed(server)));
        }
    }
}

/// Removes a waiting request whose caller has left.
#[derive(Debug)]
struct WaitGuard {
    vm: Rc<Vm>,
    id: u64,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        let mut state = self.vm.state.borrow_mut();
        state.waiting.remove(self.id);
        let id = self.id;
        state.waiters.retain(|waiter| waiter.id != id);
    }
}
