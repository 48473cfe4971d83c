//! The `retry` module provides what happens when an attempt ends: delivery, retry or refusal, and the estimates.
//!
//! A non-idempotent request is sent again only after an attempt that provably did not run. See `docs/design.md`,
//! section 5.

use std::time::Duration;

use kumquat_state::bundle::ServiceKind;
use kumquat_state::clock::Instant;
use rand::RngExt;

use super::request::Phase;
use super::slot::Attempt;
use super::timer::TimerEvent;
use super::{Action, Execution, Group, Outcome, RefusalReason, outlier, secs_to_duration};

/// Delay before the first retry; it doubles with each further one.
const FIRST_DELAY: Duration = Duration::from_millis(1);

/// Samples that one overdue attempt gives at most, so that one long request alone does not eject its upstream.
const OVERDUE_SAMPLES: u8 = 3;

impl Group {
    /// Handles the end of an attempt.
    ///
    /// The end has to be reported exactly once per attempt, also for aborted ones, because it frees the slot.
    pub fn on_attempt_ended(
        &mut self,
        now: Instant,
        attempt: u64,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let Ok(position) = self
            .attempts
            .binary_search_by_key(&attempt, |entry| entry.id)
        else {
            return;
        };
        let attempt = self.attempts.remove(position);
        self.upstreams[attempt.upstream_index].in_flight -= 1;
        self.learn(now, &attempt, outcome, out);
        if let Some(handle) = attempt.request_handle {
            self.resolve(now, handle, &attempt, outcome, out);
        }
        self.dispatch_queued(now, out);
    }

    /// Decides about the request of an ended attempt.
    fn resolve(
        &mut self,
        now: Instant,
        handle: u32,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let request = &mut self.requests[handle as usize];
        request.in_flight -= 1;
        if request.is_delivered {
            // The result has been given when the answer began; a break after that is the caller's to see.
            self.remove_request(handle);
            return;
        }
        let reason = match outcome {
            Outcome::Completed { .. } => {
                let id = request.id;
                out.push(Action::Deliver {
                    id,
                    attempt: attempt.id,
                });
                self.abort_others(handle, attempt.id, out);
                self.remove_request(handle);
                return;
            }
            Outcome::Shed => RefusalReason::Shed,
            Outcome::NotConnected => RefusalReason::NotConnected,
            Outcome::Broken => RefusalReason::Broken,
            Outcome::TimedOut => RefusalReason::Deadline,
        };
        if !outcome.is_not_run() {
            request.may_have_run = true;
        }
        if request.in_flight > 0 {
            // A hedge is still running and decides about the request.
            return;
        }
        let may_retry = (request.idempotent || !request.may_have_run)
            && request.attempts < self.options.max_attempts
            && now < request.deadline;
        if may_retry && self.retry_budget.has_token() {
            let shift = u32::from(request.attempts.saturating_sub(1)).min(6);
            let longest = FIRST_DELAY.saturating_mul(1 << shift);
            let delay = longest.mul_f64(self.rng.random_range(0.0..1.0));
            let request = &mut self.requests[handle as usize];
            if now + delay + secs_to_duration(self.latency.median_s()) < request.deadline {
                request.phase = Phase::AwaitingRetry;
                self.timers
                    .schedule(now + delay, TimerEvent::Retry(request.id));
                self.retry_budget.try_withdraw();
                self.counters.retries += 1;
                return;
            }
        }
        self.refuse(handle, reason, 0.0, out);
    }

    /// Updates the estimates of the attempt's upstream.
    fn learn(&mut self, now: Instant, attempt: &Attempt, outcome: Outcome, out: &mut Vec<Action>) {
        let latency = now.saturating_since(attempt.sent_at).as_secs_f64();
        let index = attempt.upstream_index;
        match outcome {
            Outcome::Completed { .. } => {
                self.latency.add(latency);
                if attempt.overdue_samples == 0 {
                    self.sample(now, index, latency, out);
                }
                let group_latency_s = self.group_latency_s();
                let server = &mut self.upstreams[index];
                server.outlier.record_success();
                if server
                    .slow_start
                    .record_completion(attempt.generation, latency, group_latency_s)
                {
                    out.push(Action::TurnedWarm {
                        upstream: server.name.clone(),
                    });
                }
            }
            _ if attempt.is_aborted => {
                // The time that an aborted attempt took is a lower bound of its latency.
                self.latency.add(latency);
            }
            Outcome::Shed | Outcome::NotConnected | Outcome::Broken | Outcome::TimedOut => {
                let server = &mut self.upstreams[index];
                let is_ejectable = server.outlier.record_failure();
                if outcome != Outcome::TimedOut && server.slow_start.record_failure(outcome) {
                    self.turn_cold(index, out);
                }
                if is_ejectable {
                    self.eject(now, index, out);
                }
            }
        }
    }

    /// Counts an attempt that is overdue as slow before it ends.
    pub(crate) fn overdue(&mut self, now: Instant, attempt: u64, out: &mut Vec<Action>) {
        let Ok(position) = self
            .attempts
            .binary_search_by_key(&attempt, |entry| entry.id)
        else {
            return;
        };
        let entry = &mut self.attempts[position];
        if entry.is_aborted || entry.overdue_samples >= OVERDUE_SAMPLES {
            return;
        }
        entry.overdue_samples += 1;
        let latency = now.saturating_since(entry.sent_at);
        let server = entry.upstream_index;
        // A frozen upstream never answers, so an attempt that stays overdue counts again.
        self.timers
            .schedule(now + latency, TimerEvent::Overdue(attempt));
        let latency = latency.as_secs_f64();
        self.sample(now, server, latency, out);
    }

    /// Adds a latency sample of an upstream and draws the conclusions.
    fn sample(&mut self, now: Instant, index: usize, latency: f64, out: &mut Vec<Action>) {
        let group_latency_s = self.group_latency_s();
        let server = &mut self.upstreams[index];
        // Keyed upstreams are compared with themselves only, because their keys differ in cost.
        let reference = match self.kind {
            ServiceKind::Pool => group_latency_s,
            ServiceKind::Keyed => server.slow_start.baseline_s().unwrap_or(latency),
        };
        let clamped = latency.min(reference * outlier::MAX_SAMPLE_RATIO);
        server.recent_latency.add(clamped);
        let recent_latency = server.recent_latency;
        if server
            .slow_start
            .record_latency(clamped, recent_latency, group_latency_s)
        {
            self.turn_cold(index, out);
        }
        if self.kind == ServiceKind::Keyed {
            // An ejected owner would leave its keys without service; the coordinator moves the slots instead.
            return;
        }
        let group_latency_s = self.group_latency_s();
        let server = &mut self.upstreams[index];
        if server.slow_start.is_ramp_complete()
            && server.outlier.update(now, recent_latency, group_latency_s)
        {
            self.eject(now, index, out);
        }
    }

    /// Ejects an upstream unless too few would stay.
    pub(crate) fn eject(&mut self, now: Instant, index: usize, out: &mut Vec<Action>) {
        if self.kind == ServiceKind::Keyed {
            return;
        }
        let total = self
            .upstreams
            .iter()
            .filter(|server| server.takes_work)
            .count();
        let staying = self
            .upstreams
            .iter()
            .filter(|server| server.is_usable())
            .count();
        if staying <= total.div_ceil(2) {
            return;
        }
        let server = &mut self.upstreams[index];
        let until = server.outlier.eject(now);
        out.push(Action::Ejected {
            upstream: server.name.clone(),
            until,
        });
    }

    /// Ends ejections that have run out; the upstream comes back by slow start.
    pub(crate) fn reinstate(&mut self, now: Instant, out: &mut Vec<Action>) {
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].outlier.reinstate(now) {
                // Its old latency is forgotten, so that only new answers count.
                let group_latency_s = self.group_latency_s();
                let server = &mut self.upstreams[index];
                server.recent_latency = super::latency::LatencyMean::new(group_latency_s);
                server.slow_start.restart();
                out.push(Action::Reinstated {
                    upstream: server.name.clone(),
                });
            }
        }
    }

    /// Puts an upstream back to its cold limit.
    pub(crate) fn turn_cold(&mut self, index: usize, out: &mut Vec<Action>) {
        let server = &mut self.upstreams[index];
        server.slow_start.restart();
        out.push(Action::TurnedCold {
            upstream: server.name.clone(),
        });
    }

    /// Aborts the running attempts of a request, apart from one; their slots stay taken until their end is reported.
    pub(crate) fn abort_others(&mut self, handle: u32, winner: u64, out: &mut Vec<Action>) {
        for attempt in &mut self.attempts {
            if attempt.request_handle == Some(handle) && attempt.id != winner {
                attempt.request_handle = None;
                attempt.is_aborted = true;
                out.push(Action::Abort {
                    attempt: attempt.id,
                });
            }
        }
    }

    /// Gives a request its final result without an answer.
    pub(crate) fn refuse(
        &mut self,
        handle: u32,
        reason: RefusalReason,
        wait: f64,
        out: &mut Vec<Action>,
    ) {
        let retry_after = self.retry_after(wait);
        let request = &self.requests[handle as usize];
        // An attempt that is still running may run to its end, so its request can't be called not run.
        let execution = if request.may_have_run || request.in_flight > 0 {
            Execution::Unknown
        } else {
            Execution::NotRun
        };
        out.push(Action::Refuse {
            id: request.id,
            reason,
            execution,
            retry_after,
        });
        self.abort_others(handle, 0, out);
        self.remove_request(handle);
    }
}
