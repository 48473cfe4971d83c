//! The `pump` module moves requests between the queue and the slots.

use kumquat_state::bundle::ServiceKind;
use kumquat_state::clock::Instant;

use super::request::Phase;
use super::timer::TimerEvent;
use super::{Action, Group, RefusalReason, outlier, secs_to_duration};

impl Group {
    /// Sends waiting requests as long as slots are free.
    pub(crate) fn pump(&mut self, now: Instant, out: &mut Vec<Action>) {
        match self.kind {
            ServiceKind::Pool => {
                while !self.queue.is_empty() {
                    let Some(server) = self.pick_upstream(None) else {
                        break;
                    };
                    let Some(handle) = self.queue.pop() else {
                        break;
                    };
                    // A retry goes to another upstream where one is free.
                    let server = match self.requests[handle as usize].last_upstream {
                        Some(last) if last == server => {
                            self.pick_upstream(Some(last)).unwrap_or(server)
                        }
                        _ => server,
                    };
                    let typical = self.latency.median_s();
                    self.send_in_time(now, handle, server, typical, out);
                }
            }
            ServiceKind::Keyed => {
                for index in 0..self.upstreams.len() {
                    while self.upstreams[index].free_slots() > 0 {
                        let Some(handle) = self.upstreams[index].queue.pop() else {
                            break;
                        };
                        let typical = self
                            .latency
                            .median_s()
                            .min(self.upstreams[index].recent_latency.value_s());
                        self.send_in_time(now, handle, index, typical, out);
                    }
                }
            }
        }
    }

    /// Sends a request, or refuses it if too little time is left for an answer.
    pub(crate) fn send_in_time(
        &mut self,
        now: Instant,
        handle: u32,
        server: usize,
        typical: f64,
        out: &mut Vec<Action>,
    ) {
        if now + secs_to_duration(typical) >= self.requests[handle as usize].deadline {
            self.refuse(handle, RefusalReason::Overload, 0.0, out);
        } else {
            self.send_attempt(now, handle, server, out);
        }
    }

    /// Puts a request back into its queue for a retry.
    pub(crate) fn requeue(&mut self, handle: u32, out: &mut Vec<Action>) {
        let request = &mut self.requests[handle as usize];
        if request.phase != Phase::AwaitingRetry {
            return;
        }
        request.phase = Phase::Queued;
        let class = request.class;
        let server = match request.target.clone() {
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
        match server {
            Some(index) => self.upstreams[index].queue.push_front(team, class, handle),
            None => self.queue.push_front(team, class, handle),
        }
    }

    /// Ends a request from outside, whatever it is doing.
    pub(crate) fn end(&mut self, handle: u32, reason: RefusalReason, out: &mut Vec<Action>) {
        let request = &self.requests[handle as usize];
        if request.is_delivered {
            // The result has been given; the rest of the answer is cut off.
            self.abort_others(handle, 0, out);
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

    /// Ends a request whose deadline has passed.
    pub(crate) fn expire(&mut self, now: Instant, id: u64, out: &mut Vec<Action>) {
        let Some(handle) = self.handle_of(id) else {
            return;
        };
        // The driver may have used the id again after the request that set the timer.
        if now < self.requests[handle as usize].deadline {
            return;
        }
        // An upstream has failed if it had ample time; a request that was sent late proves nothing.
        let ample = secs_to_duration(self.group_latency_s() * outlier::MAX_SAMPLE_RATIO);
        for position in 0..self.attempts.len() {
            let attempt = self.attempts[position];
            if attempt.request_handle == Some(handle)
                && now.saturating_since(attempt.sent_at) >= ample
                && self.upstreams[attempt.upstream_index]
                    .outlier
                    .record_failure()
            {
                self.eject(now, attempt.upstream_index, out);
            }
        }
        self.end(handle, RefusalReason::Deadline, out);
    }

    /// Refuses a waiting request as soon as too little time is left for an answer.
    pub(crate) fn last_chance(&mut self, now: Instant, id: u64, out: &mut Vec<Action>) {
        let Some(handle) = self.handle_of(id) else {
            return;
        };
        let request = &self.requests[handle as usize];
        if request.phase != Phase::Queued {
            return;
        }
        let last = request.deadline - secs_to_duration(self.latency.median_s());
        if last <= now {
            self.end(handle, RefusalReason::Overload, out);
        } else {
            self.timers.schedule(last, TimerEvent::LatestSend(id));
        }
    }
}
