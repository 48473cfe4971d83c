//! The `dispatch` module provides the state machine of one dispatch group: the upstreams of one service in one data
//! centre, with one exact queue.
//!
//! Exactly one VM acts for a group, so slot counts and queue order are exact without coordination between VMs. See
//! `docs/design.md`, section 5.

mod action;
mod admission;
mod budget;
mod cold;
mod handover;
mod hedge;
mod latency;
mod outlier;
mod pump;
mod request;
mod retry;
mod slot;
mod timer;

use std::time::Duration;

use kumquat_state::bundle::{PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub use self::action::{Action, Arrival, Execution, Outcome, RefusalReason, Upstream};
use self::admission::ArrivalRate;
use self::budget::Budget;
use self::cold::SlowStart;
use self::latency::{LatencyHistogram, LatencyMean};
use self::outlier::{OutlierDetector, OutlierState};
use self::request::{Phase, Request};
use self::slot::{Attempt, TrackedUpstream};
use self::timer::{TimerEvent, Timers};
use crate::queue::{self, Queue};

/// Configuration of a group.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Options {
    /// Limits of the queue; for keyed services, of the queue of each upstream.
    pub queue: queue::Options,
    /// Median latency that is assumed before any response has been measured.
    pub initial_latency: Duration,
    /// Factor on the expected wait before it is compared with the time until the deadline.
    pub wait_safety_factor: f64,
    /// Hedged requests per attempt sent; the requirement is below 5 %.
    pub hedge_ratio: f64,
    /// Retries per attempt sent.
    pub retry_ratio: f64,
    /// Largest number of attempts of one request, including hedged ones.
    pub max_attempts: u8,
    /// Attempts sent to other upstreams before a straggler receives one that probes its latency.
    pub probe_interval_requests: u32,
    /// Longest time after which a refused caller is told to retry, before jitter of up to 50 %.
    pub max_retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            queue: queue::Options::default(),
            initial_latency: Duration::from_millis(5),
            wait_safety_factor: 1.25,
            hedge_ratio: 0.04,
            retry_ratio: 0.1,
            max_attempts: 3,
            probe_interval_requests: 200,
            max_retry_after: Duration::from_secs(1),
        }
    }
}

/// Totals since the group was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Requests that arrived, including those that were refused.
    pub arrivals: u64,
    /// Attempts that were sent while another attempt of the same request was in flight.
    pub hedges: u64,
    /// Retries that were scheduled; one may still be refused before it is sent.
    pub retries: u64,
}

/// The state machine of one dispatch group.
#[derive(Clone, Debug)]
pub struct Group {
    kind: ServiceKind,
    options: Options,
    rng: SmallRng,
    /// Sorted by name.
    upstreams: Vec<TrackedUpstream>,
    /// Requests that are queued for any upstream; used by pool services only.
    queue: Queue,
    weights: Vec<(ident::Team, u32)>,
    /// Slab of requests; a handle is an index into it.
    requests: Vec<Request>,
    free_handles: Vec<u32>,
    /// Pairs of request id and handle, sorted by id.
    handles_by_id: Vec<(u64, u32)>,
    /// Sorted by id.
    attempts: Vec<Attempt>,
    last_attempt_id: u64,
    timers: Timers,
    latency: LatencyHistogram,
    urgent_arrivals: ArrivalRate,
    hedge_budget: Budget,
    retry_budget: Budget,
    requests_since_probe: u32,
    is_admitting: bool,
    counters: Counters,
    latency_scratch: Vec<f64>,
}

impl Group {
    /// Creates a group without upstreams, which refuses all requests; `seed` determines all its random choices.
    #[must_use]
    pub fn new(kind: ServiceKind, options: Options, seed: u64) -> Self {
        let initial_latency_s = options.initial_latency.as_secs_f64();
        Self {
            kind,
            options,
            rng: SmallRng::seed_from_u64(seed),
            upstreams: Vec::new(),
            queue: Queue::new(options.queue),
            weights: Vec::new(),
            requests: Vec::new(),
            free_handles: Vec::new(),
            handles_by_id: Vec::new(),
            attempts: Vec::new(),
            last_attempt_id: 0,
            timers: Timers::default(),
            latency: LatencyHistogram::new(initial_latency_s),
            urgent_arrivals: ArrivalRate::default(),
            hedge_budget: Budget::new(options.hedge_ratio, 10.0),
            retry_budget: Budget::full(options.retry_ratio, 20.0),
            requests_since_probe: 0,
            is_admitting: true,
            counters: Counters::default(),
            latency_scratch: Vec::new(),
        }
    }

    /// Replaces the upstreams; new ones start cold, and the attempts in flight at removed ones continue.
    pub fn set_upstreams(&mut self, now: Instant, upstreams: &[Upstream], out: &mut Vec<Action>) {
        let mut tracked = Vec::with_capacity(upstreams.len());
        for config in upstreams {
            let mut upstream = match self.upstream_index(&config.name) {
                Some(index) => self.upstreams[index].clone(),
                None => self.track_upstream(config),
            };
            // It may have restarted unnoticed while it received no requests, so it starts cold like a new one.
            if upstream.is_removed || (config.takes_work && !upstream.takes_work) {
                upstream.slow_start.restart();
                out.push(Action::TurnedCold {
                    upstream: upstream.name.clone(),
                });
            }
            upstream.is_removed = false;
            upstream.takes_work = config.takes_work;
            upstream.slow_start.slots = config.slots;
            upstream.slow_start.cold_slots = config.cold_slots;
            upstream.slow_start.cold_step = config.cold_step.max(1);
            tracked.push(upstream);
        }
        // A removed upstream is kept until its last attempt has ended, because its slots are still in use.
        for upstream in &self.upstreams {
            let is_removed = upstreams.iter().all(|config| config.name != upstream.name);
            if is_removed && (upstream.in_flight > 0 || !upstream.queue.is_empty()) {
                let mut upstream = upstream.clone();
                upstream.takes_work = false;
                upstream.is_removed = true;
                tracked.push(upstream);
            }
        }
        tracked.sort_by(|a, b| a.name.cmp(&b.name));
        let previous = std::mem::replace(&mut self.upstreams, tracked);
        for position in 0..self.attempts.len() {
            let name = &previous[self.attempts[position].upstream_index].name;
            if let Some(index) = self.upstream_index(name) {
                self.attempts[position].upstream_index = index;
            }
        }
        for request in &mut self.requests {
            request.last_upstream = None;
        }
        // Requests in the queue of an upstream that receives no requests would wait until their deadline.
        if self.is_withdrawn() {
            for handle in self.queue.drain() {
                self.refuse(handle, RefusalReason::Withdrawn, f64::INFINITY, out);
            }
        }
        for index in 0..self.upstreams.len() {
            if !self.upstreams[index].takes_work {
                for handle in self.upstreams[index].queue.drain() {
                    self.refuse(handle, RefusalReason::NoUpstream, 0.0, out);
                }
            }
        }
        self.dispatch_queued(now, out);
    }

    /// Returns whether no upstream of the group accepts new requests, as after its data centre was taken out.
    fn is_withdrawn(&self) -> bool {
        self.upstreams.iter().all(|upstream| !upstream.takes_work)
    }

    fn track_upstream(&self, config: &Upstream) -> TrackedUpstream {
        let mut queue = Queue::new(self.options.queue);
        queue.set_weights(&self.weights);
        TrackedUpstream {
            name: config.name.clone(),
            in_flight: 0,
            takes_work: config.takes_work,
            is_removed: false,
            boot_id: None,
            slow_start: SlowStart::new(config.slots, config.cold_slots, config.cold_step),
            outlier: OutlierDetector::new(),
            recent_latency: LatencyMean::new(self.latency.median_s()),
            queue,
        }
    }

    /// Sets the weights of the teams in the queues; a team that is not listed has weight 1.
    pub fn set_weights(&mut self, weights: &[(ident::Team, u32)]) {
        self.weights = weights.to_vec();
        self.queue.set_weights(weights);
        for upstream in &mut self.upstreams {
            upstream.queue.set_weights(weights);
        }
    }

    /// Reports the boot id of an upstream; an id that differs from the last one turns the upstream cold.
    pub fn set_boot_id(
        &mut self,
        _now: Instant,
        upstream: &ident::Upstream,
        boot_id: u64,
        out: &mut Vec<Action>,
    ) {
        let Some(index) = self.upstream_index(upstream) else {
            return;
        };
        let previous = self.upstreams[index].boot_id.replace(boot_id);
        if previous.is_some_and(|previous| previous != boot_id) {
            self.turn_cold(index, out);
        }
    }

    /// Handles a new request: sends it, queues it or refuses it.
    ///
    /// A request whose id is in use is ignored, because the earlier request with this id has not ended.
    pub fn on_arrival(&mut self, now: Instant, arrival: Arrival, out: &mut Vec<Action>) {
        let Err(position) = self
            .handles_by_id
            .binary_search_by_key(&arrival.id, |entry| entry.0)
        else {
            return;
        };
        self.counters.arrivals += 1;
        if arrival.class == PriorityClass::Urgent {
            self.urgent_arrivals.record(now);
        }
        let target_index = arrival.target.as_ref().map(|name| {
            self.upstream_index(name)
                .filter(|index| self.upstreams[*index].takes_work)
        });
        let handle = self.insert_request(position, arrival);
        if !self.is_admitting {
            self.refuse(handle, RefusalReason::Stopping, 0.0, out);
            return;
        }
        let upstream_index = match (self.kind, target_index) {
            (ServiceKind::Pool, _) if self.upstreams.iter().any(TrackedUpstream::is_usable) => None,
            (ServiceKind::Keyed, Some(Some(index))) => Some(index),
            (ServiceKind::Pool, _) if self.is_withdrawn() => {
                self.refuse(handle, RefusalReason::Withdrawn, f64::INFINITY, out);
                return;
            }
            _ => {
                self.refuse(handle, RefusalReason::NoUpstream, f64::INFINITY, out);
                return;
            }
        };
        let team = &self.requests[handle as usize].team;
        match upstream_index {
            Some(index) => self.upstreams[index].queue.count_arrival(team),
            None => self.queue.count_arrival(team),
        }
        let request = &self.requests[handle as usize];
        let (class, deadline) = (request.class, request.deadline);
        let forecast = self.forecast(now, &request.team, class, upstream_index);
        if !self.meets_deadline(now, deadline, forecast) {
            self.refuse(handle, RefusalReason::Overload, forecast.wait, out);
            return;
        }
        let team = &self.requests[handle as usize].team;
        let queue = match upstream_index {
            Some(index) => &mut self.upstreams[index].queue,
            None => &mut self.queue,
        };
        if queue.push(team, class, handle).is_err() {
            self.refuse(handle, RefusalReason::QueueFull, forecast.wait, out);
            return;
        }
        self.dispatch_queued(now, out);
        let request = &self.requests[handle as usize];
        if request.phase != Phase::Free {
            let id = request.id;
            self.timers.schedule(deadline, TimerEvent::Deadline(id));
            if request.phase == Phase::Queued {
                let latest_send = deadline - secs_to_duration(forecast.typical_latency);
                self.timers
                    .schedule(latest_send.max(now), TimerEvent::LatestSend(id));
            }
        }
    }

    /// Reports that the response of an attempt has begun, which makes it the result of the request.
    pub fn on_response_started(&mut self, _now: Instant, attempt: u64, out: &mut Vec<Action>) {
        let Some(handle) = self.attempt(attempt).and_then(|entry| entry.request_handle) else {
            return;
        };
        let request = &mut self.requests[handle as usize];
        if request.is_delivered {
            return;
        }
        request.is_delivered = true;
        request.in_flight = 1;
        out.push(Action::Deliver {
            id: request.id,
            attempt,
        });
        self.abort_other_attempts(handle, attempt, out);
    }

    /// Cancels a request on behalf of its caller; an unknown id is ignored.
    pub fn cancel(&mut self, now: Instant, id: u64, out: &mut Vec<Action>) {
        let Some(handle) = self.handle_of(id) else {
            return;
        };
        self.terminate_request(handle, RefusalReason::Cancelled, out);
        self.dispatch_queued(now, out);
    }

    /// Handles all expired timers and ejections; to be called at the time that [`Group::next_wakeup`] returns.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<Action>) {
        self.reinstate_ejected(now, out);
        while let Some(event) = self.timers.pop_expired(now) {
            match event {
                TimerEvent::Deadline(id) => self.on_deadline(now, id, out),
                TimerEvent::LatestSend(id) => self.on_latest_send(now, id, out),
                TimerEvent::Retry(id) => {
                    if let Some(handle) = self.handle_of(id) {
                        self.requeue(handle, out);
                    }
                }
                TimerEvent::Hedge(attempt) => self.send_hedge(now, attempt, out),
                TimerEvent::Overdue(attempt) => self.on_overdue(now, attempt, out),
            }
        }
        self.dispatch_queued(now, out);
    }

    /// Refuses all further requests; requests that have been admitted continue.
    pub fn stop_admission(&mut self) {
        self.is_admitting = false;
    }

    /// Returns whether no request is left and no attempt is in flight.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.handles_by_id.is_empty() && self.attempts.is_empty()
    }

    /// Returns the time at which [`Group::tick`] has to be called next; `None` if no timer is set.
    #[must_use]
    pub fn next_wakeup(&self) -> Option<Instant> {
        let next_reinstatement =
            self.upstreams
                .iter()
                .filter_map(|upstream| match upstream.outlier.state {
                    OutlierState::Ejected(until) => Some(until),
                    OutlierState::Healthy | OutlierState::Suspect(_) => None,
                });
        self.timers
            .next_expiry()
            .into_iter()
            .chain(next_reinstatement)
            .min()
    }

    /// Returns the totals since the group was created, for metrics.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.counters
    }

    fn attempt(&self, id: u64) -> Option<&Attempt> {
        let position = self
            .attempts
            .binary_search_by_key(&id, |attempt| attempt.id)
            .ok()?;
        Some(&self.attempts[position])
    }

    fn upstream_index(&self, name: &ident::Upstream) -> Option<usize> {
        self.upstreams
            .binary_search_by(|upstream| upstream.name.cmp(name))
            .ok()
    }
}

/// Converts an estimate in seconds to a duration; one that can't be represented becomes [`Duration::MAX`].
fn secs_to_duration(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}
