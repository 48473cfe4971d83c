//! The `pump` module provides the movement of requests between the queues and the upstreams.

use kumquat_state::bundle::ServiceKind;
use kumquat_state::clock::Instant;

use super::request::Phase;
use super::timer::TimerEvent;
use super::{Action, Group, RefusalReason, outlier, secs_to_duration};

impl Group {
    /// Sends queued requests while slots are free.
    pub(crate) fn dispatch_queued(&mut self, now: Instant, out: &mut Vec<Action>) {
        match self.kind {
            ServiceKind::Pool => {
                while !self.queue.is_empty() {
                    let Some(upstream_index) = self.pick_upstream(None) else {
                        break;
                    };
                    let Some(handle) = self.queue.pop() else {
                        break;
                    };
                    // A retry goes to another upstream if one has a free slot.
                    let upstream_index = match self.requests[handle as usize].last_upstream {
                        Some(last) if last == upstream_index => {
                            self.pick_upstream(Some(last)).unwrap_or(upstream_index)
                        }
                        _ => upstream_index,
                    };
                    let typical_latency_s = self.latency.median_s();
                    self.send_or_refuse(now, handle, upstream_index, typical_latency_s, out);
                }
            }
            ServiceKind::Keyed => {
                for index in 0..self.upstreams.len() {
                    while self.upstreams[index].free_slots() > 0 {
                        let Some(handle) = self.upstreams[index].queue.pop() else {
                            break;
                        };
                        let typical_latency_s = self
                            .latency
                            .median_s()
                            .min(self.upstreams[index].recent_latency.value_s());
                        self.send_or_refuse(now, handle, index, typical_latency_s, out);
                    }
                }
            }
        }
    }

    /// Sends a request, or refuses it if its deadline is closer than the typical latency.
    pub(crate) fn send_or_refuse(
        &mut self,
        now: Instant,
        handle: u32,
        upstream_index: usize,
        typical_latency_s: f64,
        out: &mut Vec<Action>,
    ) {
        if now + secs_to_duration(typical_latency_s) >= self.requests[handle as usize].deadline {
            self.refuse(handle, RefusalReason::Overload, 0.0, out);
        } else {
            self.send_attempt(now, handle, upstream_index, out);
        }
    }

    /// Puts a request back at the front of its team's queue once the delay before its retry is over.
    pub(crate) fn requeue(&mut self, handle: u32, out: &mut Vec<Action>) {
        let request = &mut self.requests[handle as usize];
        if request.phase != Phase::AwaitingRetry {
            return;
        }
        request.phase = Phase::Queued;
        let class = request.class;
        let upstream_index = match request.target.clone() {
            Some(name) if self.kind == ServiceKind::Keyed => {
                let index = self.upstream_index(&name);
                let Some(index) = index.filter(|index| self.upstreams[*index].takes_work) else {
                    self.refuse(handle, RefusalReason::NoUpstream, 0.0, out);
                    return;
                };
                Some(index)
            }
            _ => None,
        };
        let team = &self.requests[handle as usize].team;
        match upstream_index {
            Some(index) => self.upstreams[index].queue.push_front(team, class, handle),
            None => self.queue.push_front(team, class, handle),
        }
    }

    /// Ends a request in any phase: removes it from its queue, aborts its attempts and refuses it.
    pub(crate) fn terminate_request(
        &mut self,
        handle: u32,
        reason: RefusalReason,
        out: &mut Vec<Action>,
    ) {
        let request = &self.requests[handle as usize];
        if request.is_delivered {
            // The response has begun, so only its remaining part can be aborted.
            self.abort_other_attempts(handle, 0, out);
            self.remove_request(handle);
            return;
        }
        if request.phase == Phase::Queued {
            let target = request
                .target
                .as_ref()
                .filter(|_| self.kind == ServiceKind::Keyed);
            match target.and_then(|name| self.upstream_index(name)) {
                Some(index) => {
                    let queue = &mut self.upstreams[index].queue;
                    queue.remove(&request.team, request.class, handle);
                }
                None => {
                    self.queue.remove(&request.team, request.class, handle);
                }
            }
        }
        self.refuse(handle, reason, 0.0, out);
    }

    /// Ends a request whose deadline has passed, and counts a failure for each upstream that had enough time.
    pub(crate) fn on_deadline(&mut self, now: Instant, id: u64, out: &mut Vec<Action>) {
        let Some(handle) = self.handle_of(id) else {
            return;
        };
        // The driver may have reused the id for a later request than the one that set the timer.
        if now < self.requests[handle as usize].deadline {
            return;
        }
        // Only attempts that had enough time count as failures; one that was sent close to the deadline says nothing
        // about its upstream.
        let sufficient_time = secs_to_duration(self.group_latency_s() * outlier::MAX_SAMPLE_RATIO);
        for position in 0..self.attempts.len() {
            let attempt = self.attempts[position];
            if attempt.request_handle == Some(handle)
                && now.saturating_since(attempt.sent_at) >= sufficient_time
                && self.upstreams[attempt.upstream_index]
                    .outlier
                    .record_failure()
            {
                self.eject_unless_too_few(now, attempt.upstream_index, out);
            }
        }
        self.terminate_request(handle, RefusalReason::Deadline, out);
    }

    /// Refuses a queued request if too little time is left for a response, and otherwise sets the timer again.
    pub(crate) fn on_latest_send(&mut self, now: Instant, id: u64, out: &mut Vec<Action>) {
        let Some(handle) = self.handle_of(id) else {
            return;
        };
        let request = &self.requests[handle as usize];
        if request.phase != Phase::Queued {
            return;
        }
        let latest_send = request.deadline - secs_to_duration(self.latency.median_s());
        if latest_send <= now {
            self.terminate_request(handle, RefusalReason::Overload, out);
        } else {
            self.timers
                .schedule(latest_send, TimerEvent::LatestSend(id));
        }
    }
}
