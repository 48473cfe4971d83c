//! The `attempt` module provides a single attempt to have a request served by an upstream.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::response::Verdict;
use kumquat_coordination::fleet::{AttemptOutcome, UpstreamLoad};
use kumquat_state::clock::{self, Instant};
use tokio::time::timeout;

use super::stream::StreamSource;
use super::{
    Action, MAX_MISDIRECTED_RESPONSES, MIN_REMAINING_TIME, RequestProgress, ResolvedRequest,
    Response, ResponseBody, ResponseStream, saturating_millis,
};
use crate::http::{Headers, HttpConnection};
use crate::upstream::{
    self, BUFFERED_BODY_BYTES, ExchangeError, MISDIRECTED_STATUS, UpstreamResponse,
};
use crate::vm::SlotPermit;

/// Outcome of an attempt that failed without saying anything about the upstream's speed.
const FAILED: AttemptOutcome = AttemptOutcome::Failed {
    relative_latency: None,
};

/// Reason of the refusal of a request whose upstream failed with a status that promises that it was not executed.
pub(super) const UNSTATED_FAILURE: &str = "the upstream failed and may have executed the request";

impl ResolvedRequest<'_> {
    /// Sends the request to one upstream over a pooled or new connection, and reads the start of the response.
    ///
    /// `placed` is released with the outcome, or handed to the response stream if the body is still arriving.
    pub(super) async fn attempt(
        &self,
        mut placed: SlotPermit,
        progress: &mut RequestProgress,
    ) -> Action {
        placed.set_route(&self.route.name);
        let upstream_name = Arc::clone(&placed.upstream.name);
        let address = placed.upstream.address;
        progress.tried_upstreams.push(Arc::clone(&upstream_name));
        progress.was_shed_with_room = false;
        progress.upstream_status = None;
        // The answer to an earlier attempt may be repeated on its connection, and has the same id.
        let pooled = if progress.sent_to.contains(&address) {
            None
        } else {
            self.vm.pool.borrow_mut().take(address)
        };
        let idle_time = pooled.as_ref().map(|(_, idle_time)| *idle_time);
        let wire = if let Some((wire, _)) = pooled {
            Ok(wire)
        } else {
            let remaining = clock::now().until(self.deadline);
            upstream::connect(address, remaining.min(upstream::CONNECT_TIMEOUT)).await
        };
        let mut wire = match wire {
            Ok(wire) => wire,
            Err(error) => {
                self.count_attempt("unreachable");
                self.vm.record_path_failure(&placed.upstream);
                placed.complete(AttemptOutcome::Unreachable, None);
                slog::debug!(self.vm.log, "upstream not reached"; "upstream" => &*upstream_name, "error" => %error);
                return Action::Retry("no connection to an upstream");
            }
        };

        let remaining = clock::now().until(self.deadline);
        if remaining < MIN_REMAINING_TIME {
            return Action::Fail("too little time left");
        }
        let head = self.encode_head(&placed, remaining);
        let parts = self.with_body(&head);
        let started = clock::now();
        placed.mark_sent(started);
        let kind = if progress.sent_count == 0 {
            "request"
        } else {
            "retry"
        };
        self.vm.record_send(&placed.upstream, kind);
        progress.sent_count += 1;
        progress.sent_to.push(address);
        self.flags.must_finish.set(!self.route.is_idempotent);
        let exchange = upstream::exchange_parts(
            &mut wire,
            &self.received.head.method,
            &parts,
            Some(self.attempt_id),
            &self.vm.dialect,
            BUFFERED_BODY_BYTES,
        );
        let result = timeout(remaining, exchange).await;
        let latency = clock::now().saturating_since(started);
        if let (Some(idle_time), Ok(Err(_))) = (idle_time, &result) {
            self.vm.pool.borrow_mut().record_stale(idle_time);
        }
        match &result {
            Ok(Ok(_)) => self.vm.record_path_success(&placed.upstream.service),
            Ok(Err(_)) | Err(_) => self.vm.record_path_failure(&placed.upstream),
        }
        let has_ended = matches!(&result, Ok(Err(error)) if error.is_connection_end());
        let upstream = has_ended.then(|| placed.upstream.clone());
        let action = self.handle_result(result, latency, placed, wire, progress);
        if let Some(upstream) = upstream {
            self.vm.spawn_end_check(upstream, self.fingerprint());
        }
        if !progress.may_have_executed {
            self.flags.must_finish.set(false);
        }
        action
    }

    /// Classifies the result of an attempt, reports its outcome and decides how the request goes on.
    fn handle_result(
        &self,
        result: Result<Result<UpstreamResponse, ExchangeError>, tokio::time::error::Elapsed>,
        latency: Duration,
        placed: SlotPermit,
        wire: HttpConnection,
        progress: &mut RequestProgress,
    ) -> Action {
        match result {
            Ok(Ok(response)) => self.handle_response(response, latency, placed, wire, progress),
            Ok(Err(error)) => {
                self.count_attempt("broken");
                progress.may_have_executed = true;
                self.log_broken_exchange(&placed, progress, &error);
                let outcome = if error.is_malformed() {
                    AttemptOutcome::MalformedResponse
                } else {
                    FAILED
                };
                placed.complete(outcome, None);
                Action::Retry("the upstream's answer broke off")
            }
            Err(_elapsed) => {
                self.count_attempt("timeout");
                progress.may_have_executed = true;
                placed.complete(
                    AttemptOutcome::Failed {
                        relative_latency: Some(self.relative_latency(latency)),
                    },
                    None,
                );
                Action::Fail("no answer in time")
            }
        }
    }

    /// Returns a latency divided by the usual one of requests like this.
    fn relative_latency(&self, latency: Duration) -> f64 {
        let usual_latency = self
            .vm
            .usual_latency(self.route, &self.target.service, self.cost);
        latency.as_secs_f64() / usual_latency.as_secs_f64().max(0.001)
    }

    /// Handles a response by what it states about the execution of the request.
    fn handle_response(
        &self,
        response: UpstreamResponse,
        latency: Duration,
        placed: SlotPermit,
        wire: HttpConnection,
        progress: &mut RequestProgress,
    ) -> Action {
        progress.upstream_status = Some(response.head.status);
        let load = (self.vm.dialect.parse_load)(&response.head.headers);
        let verdict =
            upstream::statement(&response.head, &self.vm.dialect).verdict(self.route.is_idempotent);
        match verdict {
            Verdict::NotExecuted => {
                return self.handle_not_executed(&response, wire, placed, load, progress);
            }
            Verdict::NotGenuine => {
                self.count_attempt("unsigned");
                progress.may_have_executed = true;
                self.return_to_pool(&response, wire, &placed);
                placed.complete(FAILED, load);
                return Action::Retry("the upstream's answer is not genuine");
            }
            Verdict::Answer | Verdict::Failure | Verdict::Replaced => {}
        }
        self.vm
            .apply_response_notices(&placed.upstream, &response.head);
        if verdict != Verdict::Answer {
            self.count_attempt("failure");
            progress.may_have_executed = true;
            if self.may_retry_after_failure(progress) {
                self.return_to_pool(&response, wire, &placed);
                placed.complete(FAILED, load);
                return Action::Retry("the upstream failed");
            }
            if verdict == Verdict::Replaced {
                return self.replace_response(&response, wire, placed, load, latency);
            }
            return self.relay_response(response, wire, placed, load, FAILED, latency);
        }
        self.count_attempt("answer");
        let relative_latency = self.relative_latency(latency);
        // The route's mean stays that of the old versions, with which a new one is compared.
        if !self.vm.is_on_trial(&placed.upstream) {
            self.vm.record_latency(self.route, latency);
        }
        self.vm
            .record_relative_latency(&placed.upstream, relative_latency, load);
        let outcome = AttemptOutcome::Completed { relative_latency };
        self.relay_response(response, wire, placed, load, outcome, latency)
    }

    /// Reports the failure of an attempt whose response the caller must not get, without waiting for the rest of it.
    fn replace_response(
        &self,
        response: &UpstreamResponse,
        wire: HttpConnection,
        placed: SlotPermit,
        load: Option<UpstreamLoad>,
        latency: Duration,
    ) -> Action {
        if response.unread_body.is_complete() {
            let sent_at = clock::now() - latency;
            self.finish_exchange(response, wire, &placed, sent_at);
        }
        placed.complete(FAILED, load);
        Action::Fail(UNSTATED_FAILURE)
    }

    /// Returns the connection of a complete response to the pool, and records that the upstream executed the request.
    fn finish_exchange(
        &self,
        response: &UpstreamResponse,
        wire: HttpConnection,
        placed: &SlotPermit,
        sent_at: Instant,
    ) {
        self.return_to_pool(response, wire, placed);
        self.vm
            .record_executed(&placed.upstream, || self.fingerprint(), sent_at);
    }

    /// Returns the response for the caller, whole or as a stream, and reports the outcome of the former.
    fn relay_response(
        &self,
        response: UpstreamResponse,
        wire: HttpConnection,
        placed: SlotPermit,
        load: Option<UpstreamLoad>,
        outcome: AttemptOutcome,
        latency: Duration,
    ) -> Action {
        let sent_at = clock::now() - latency;
        if response.unread_body.is_complete() {
            self.finish_exchange(&response, wire, &placed, sent_at);
            placed.complete(outcome, load);
            return Action::Respond(relayed(
                response.head.status,
                &response.head.headers,
                ResponseBody::Buffered(response.body),
            ));
        }
        let stream = ResponseStream {
            vm: Rc::clone(self.vm),
            attempt_id: self.attempt_id.to_owned(),
            source: StreamSource::Upstream {
                placed,
                outcome,
                fingerprint: self.fingerprint(),
                sent_at,
            },
            wire,
            unread_body: response.unread_body,
            buffered: response.body,
            content_length: response.content_length,
            keep_alive: response.keep_alive,
            deadline: self.deadline,
        };
        let body = ResponseBody::Streamed(Box::new(stream));
        Action::Respond(relayed(response.head.status, &response.head.headers, body))
    }

    fn log_broken_exchange(
        &self,
        placed: &SlotPermit,
        progress: &RequestProgress,
        error: &ExchangeError,
    ) {
        if self.vm.request_log.allows_broken_exchange() {
            slog::info!(self.vm.log, "upstream answer broken"; "id" => self.attempt_id,
                "fingerprint" => %self.fingerprint(), "upstream" => &*placed.upstream.name,
                "born" => placed.upstream.incarnation, "attempt" => progress.sent_count, "error" => %error);
        }
    }

    /// Returns whether a request is retried at another upstream after a response with a 5xx status.
    fn may_retry_after_failure(&self, progress: &RequestProgress) -> bool {
        let has_time = clock::now() + self.vm.mean_latency(self.route) < self.deadline;
        self.route.is_idempotent
            && has_time
            && progress.sent_count < self.route.max_attempts
            && !self.flags.is_caller_gone.get()
            && self.target.key.is_none()
    }

    /// Returns a connection to the pool if the response was read completely and the connection is reusable.
    fn return_to_pool(
        &self,
        response: &UpstreamResponse,
        wire: HttpConnection,
        placed: &SlotPermit,
    ) {
        if let (Some(keep_alive), true) = (response.keep_alive, response.unread_body.is_complete())
        {
            let mut pool = self.vm.pool.borrow_mut();
            pool.put(placed.upstream.address, wire, keep_alive);
        }
    }

    /// Handles a response that states that the upstream did not execute the request.
    fn handle_not_executed(
        &self,
        response: &UpstreamResponse,
        wire: HttpConnection,
        placed: SlotPermit,
        load: Option<UpstreamLoad>,
        progress: &mut RequestProgress,
    ) -> Action {
        self.return_to_pool(response, wire, &placed);
        self.vm.apply_notices(&placed.upstream, &response.head);
        if response.head.status != MISDIRECTED_STATUS {
            self.count_attempt("shed");
            progress.was_shed_with_room = load.map_or_else(
                || self.vm.has_free_slot(&placed.upstream),
                |load| load.waiting == 0 && load.running < load.slots,
            );
            placed.complete(AttemptOutcome::Shed, load);
            return Action::Retry("the upstream shed the request");
        }
        self.count_attempt("misdirected");
        placed.complete(AttemptOutcome::CallerDisconnected, load);
        progress.misdirected_count += 1;
        if progress.misdirected_count > MAX_MISDIRECTED_RESPONSES {
            return Action::Fail("the upstream does not hold the key");
        }
        Action::Retry("the upstream is not the one expected")
    }

    fn count_attempt(&self, outcome: &str) {
        self.vm.metrics.attempts.with_label_values(&[outcome]).inc();
    }

    /// Serializes the request line and the caller's end-to-end fields, without those in `replaced`.
    pub(super) fn encode_caller_head(&self, replaced: &[&str]) -> Vec<u8> {
        let head = &self.received.head;
        let mut bytes = Vec::with_capacity(512);
        append(
            &mut bytes,
            &[&head.method, " ", &head.target, " HTTP/1.1\r\n"],
        );
        for header in &head.headers.0 {
            let is_replaced = replaced
                .iter()
                .any(|name| name.eq_ignore_ascii_case(&header.name));
            if is_replaced || head.headers.is_hop_by_hop(&header.name) {
                continue;
            }
            append(&mut bytes, &[&header.name, ": "]);
            bytes.extend_from_slice(&header.value);
            append(&mut bytes, &["\r\n"]);
        }
        bytes
    }

    /// Returns a serialized head together with the body, which is not copied.
    pub(super) fn with_body<'a>(&'a self, head: &'a [u8]) -> Vec<&'a [u8]> {
        std::iter::once(head)
            .chain(self.received.body.slices())
            .collect()
    }

    /// Serializes the head of the request for an upstream.
    ///
    /// Omits hop-by-hop fields, the caller's credentials and its values of the fields that the router sets.
    fn encode_head(&self, placed: &SlotPermit, remaining: Duration) -> Vec<u8> {
        let dialect = &self.vm.dialect;
        let head = &self.received.head;
        let replaced_fields = [
            "authorization",
            dialect.deadline_header,
            dialect.expected_upstream_header,
            dialect.team_header,
        ];
        let mut bytes = self.encode_caller_head(&replaced_fields);
        append(
            &mut bytes,
            &[
                dialect.deadline_header,
                ": ",
                &saturating_millis(remaining).to_string(),
                "\r\n",
            ],
        );
        append(
            &mut bytes,
            &[
                dialect.expected_upstream_header,
                ": ",
                &placed.upstream.name,
                "\r\n",
            ],
        );
        if let Some(team) = self.team {
            append(&mut bytes, &[dialect.team_header, ": ", team, "\r\n"]);
        }
        if !self.received.body.is_empty() || !matches!(&*head.method, "GET" | "HEAD") {
            let length = self.received.body.len().to_string();
            append(&mut bytes, &["Content-Length: ", &length, "\r\n"]);
        }
        append(&mut bytes, &["\r\n"]);
        bytes
    }
}

/// Returns the response for the caller, with the end-to-end fields of the upstream's response.
pub(super) fn relayed(status: u16, headers: &Headers, body: ResponseBody) -> Response {
    let end_to_end = headers
        .0
        .iter()
        .filter(|header| !headers.is_hop_by_hop(&header.name));
    Response {
        status,
        headers: Headers(end_to_end.cloned().collect()),
        body,
    }
}

pub(super) fn append(bytes: &mut Vec<u8>, parts: &[&str]) {
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
    }
}
