//! The `retry` module provides the handling of ended attempts: delivery, retry or refusal of the request, and the
//! update of the estimates.
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

/// Upper bound of the random delay before the first retry; it doubles with each further one.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(1);

/// Latency samples that one overdue attempt yields at most.
///
/// Without a bound, a single long request could eject its upstream.
const MAX_OVERDUE_SAMPLES: u8 = 3;

impl Group {
    /// Handles the end of an attempt.
    ///
    /// The driver has to report the end exactly once per attempt, including aborted ones, because it frees the slot.
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
        self.update_estimates(now, &attempt, outcome, out);
        if let Some(handle) = attempt.request_handle {
            self.resolve_request(now, handle, &attempt, outcome, out);
        }
        self.dispatch_queued(now, out);
    }

    /// Delivers, retries or refuses the request of an ended attempt.
    fn resolve_request(
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
            // The result was given when the response began; the caller notices by itself if the response breaks off.
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
                self.abort_other_attempts(handle, attempt.id, out);
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
            // Another attempt is still in flight; its end decides about the request.
            return;
        }
        let may_retry = (request.idempotent || !request.may_have_run)
            && request.attempts < self.options.max_attempts
            && now < request.deadline;
        if may_retry && self.retry_budget.has_token() {
            let doublings = u32::from(request.attempts.saturating_sub(1)).min(6);
            let max_delay = INITIAL_RETRY_DELAY.saturating_mul(1 << doublings);
            let delay = max_delay.mul_f64(self.rng.random_range(0.0..1.0));
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

    /// Updates the estimates of the attempt's upstream, and turns it cold or ejects it if they call for it.
    fn update_estimates(
        &mut self,
        now: Instant,
        attempt: &Attempt,
        outcome: Outcome,
        out: &mut Vec<Action>,
    ) {
        let latency_s = now.saturating_since(attempt.sent_at).as_secs_f64();
        let index = attempt.upstream_index;
        match outcome {
            Outcome::Completed { .. } => {
                self.latency.add(latency_s);
                if attempt.overdue_samples == 0 {
                    self.record_latency_sample(now, index, latency_s, out);
                }
                let group_latency_s = self.group_latency_s();
                let upstream = &mut self.upstreams[index];
                upstream.outlier.record_success();
                if upstream.slow_start.record_completion(
                    attempt.generation,
                    latency_s,
                    group_latency_s,
                ) {
                    out.push(Action::TurnedWarm {
                        upstream: upstream.name.clone(),
                    });
                }
            }
            _ if attempt.is_aborted => {
                // The time until the end of an aborted attempt is a lower bound of its latency.
                self.latency.add(latency_s);
            }
            Outcome::Shed | Outcome::NotConnected | Outcome::Broken | Outcome::TimedOut => {
                let upstream = &mut self.upstreams[index];
                let is_ejectable = upstream.outlier.record_failure();
                if outcome != Outcome::TimedOut && upstream.slow_start.record_failure(outcome) {
                    self.turn_cold(index, out);
                }
                if is_ejectable {
                    self.eject_unless_too_few(now, index, out);
                }
            }
        }
    }

    /// Records a latency sample for an attempt that is overdue, before it ends.
    pub(crate) fn on_overdue(&mut self, now: Instant, attempt: u64, out: &mut Vec<Action>) {
        let Ok(position) = self
            .attempts
            .binary_search_by_key(&attempt, |entry| entry.id)
        else {
            return;
        };
        let entry = &mut self.attempts[position];
        if entry.is_aborted || entry.overdue_samples >= MAX_OVERDUE_SAMPLES {
            return;
        }
        entry.overdue_samples += 1;
        let latency = now.saturating_since(entry.sent_at);
        let upstream_index = entry.upstream_index;
        // A frozen upstream never responds, so an attempt that stays overdue yields further samples.
        self.timers
            .schedule(now + latency, TimerEvent::Overdue(attempt));
        let latency_s = latency.as_secs_f64();
        self.record_latency_sample(now, upstream_index, latency_s, out);
    }

    /// Adds a latency sample of an upstream, and turns it cold or ejects it if the samples call for it.
    fn record_latency_sample(
        &mut self,
        now: Instant,
        index: usize,
        latency_s: f64,
        out: &mut Vec<Action>,
    ) {
        let group_latency_s = self.group_latency_s();
        let upstream = &mut self.upstreams[index];
        // An upstream of a keyed service is compared only with its own baseline, because keys differ in cost.
        let reference_s = match self.kind {
            ServiceKind::Pool => group_latency_s,
            ServiceKind::Keyed => upstream.slow_start.baseline_s().unwrap_or(latency_s),
        };
        let clamped_s = latency_s.min(reference_s * outlier::MAX_SAMPLE_RATIO);
        upstream.recent_latency.add(clamped_s);
        let recent_latency = upstream.recent_latency;
        if upstream
            .slow_start
            .record_latency(clamped_s, recent_latency, group_latency_s)
        {
            self.turn_cold(index, out);
        }
        if self.kind == ServiceKind::Keyed {
            // The keys of an ejected owner would be unavailable; the coordinator moves its slots instead.
            return;
        }
        let group_latency_s = self.group_latency_s();
        let upstream = &mut self.upstreams[index];
        if upstream.slow_start.is_ramp_complete()
            && upstream
                .outlier
                .update(now, recent_latency, group_latency_s)
        {
            self.eject_unless_too_few(now, index, out);
        }
    }

    /// Ejects an upstream unless only half of those that take requests, rounded up, are usable.
    pub(crate) fn eject_unless_too_few(
        &mut self,
        now: Instant,
        index: usize,
        out: &mut Vec<Action>,
    ) {
        if self.kind == ServiceKind::Keyed {
            return;
        }
        let accepting = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.takes_work)
            .count();
        let usable = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_usable())
            .count();
        if usable <= accepting.div_ceil(2) {
            return;
        }
        let upstream = &mut self.upstreams[index];
        let until = upstream.outlier.eject(now);
        out.push(Action::Ejected {
            upstream: upstream.name.clone(),
            until,
        });
    }

    /// Ends expired ejections; a reinstated upstream begins with a slow start.
    pub(crate) fn reinstate_ejected(&mut self, now: Instant, out: &mut Vec<Action>) {
        for index in 0..self.upstreams.len() {
            if self.upstreams[index].outlier.reinstate(now) {
                // Samples from before the ejection are dropped, so that only new responses count.
                let group_latency_s = self.group_latency_s();
                let upstream = &mut self.upstreams[index];
                upstream.recent_latency = super::latency::LatencyMean::new(group_latency_s);
                upstream.slow_start.restart();
                out.push(Action::Reinstated {
                    upstream: upstream.name.clone(),
                });
            }
        }
    }

    /// Puts an upstream back to its cold limit and reports it.
    pub(crate) fn turn_cold(&mut self, index: usize, out: &mut Vec<Action>) {
        let upstream = &mut self.upstreams[index];
        upstream.slow_start.restart();
        out.push(Action::TurnedCold {
            upstream: upstream.name.clone(),
        });
    }

    /// Aborts the attempts of a request that are in flight, apart from `winning_attempt`.
    ///
    /// Their slots stay in use until their end is reported. No attempt has the id 0, which aborts all of them.
    pub(crate) fn abort_other_attempts(
        &mut self,
        handle: u32,
        winning_attempt: u64,
        out: &mut Vec<Action>,
    ) {
        for attempt in &mut self.attempts {
            if attempt.request_handle == Some(handle) && attempt.id != winning_attempt {
                attempt.request_handle = None;
                attempt.is_aborted = true;
                out.push(Action::Abort {
                    attempt: attempt.id,
                });
            }
        }
    }

    /// Refuses a request, which is its final result, and aborts its attempts.
    pub(crate) fn refuse(
        &mut self,
        handle: u32,
        reason: RefusalReason,
        expected_wait_s: f64,
        out: &mut Vec<Action>,
    ) {
        let retry_after = self.retry_after(expected_wait_s);
        let request = &self.requests[handle as usize];
        // An attempt that is still in flight may be executed, so its request can't be reported as not run.
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
        self.abort_other_attempts(handle, 0, out);
        self.remove_request(handle);
    }
}
