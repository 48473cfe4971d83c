//! The `attempt` module provides one try to have a request answered by an upstream.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{AttemptOutcome, UpstreamLoad};
use kumquat_state::clock;
use tokio::time::timeout;

use super::{
    Action, MAX_MISDIRECTED_RESPONSES, MIN_REMAINING_TIME, RequestProgress, ResolvedRequest,
    Response, ResponseBody, ResponseStream, saturating_millis,
};
use crate::http::{Headers, Wire};
use crate::upstream::{
    self, BUFFERED_BODY_BYTES, ExchangeError, MISDIRECTED_STATUS, UpstreamResponse,
};
use crate::vm::Placed;

impl ResolvedRequest<'_> {
    /// Sends the request to one upstream.
    pub(super) async fn attempt(&self, placed: Placed, progress: &mut RequestProgress) -> Action {
        let name = Arc::clone(&placed.server.name);
        let address = placed.server.address;
        progress.tried_upstreams.push(Arc::clone(&name));
        let pooled = self.vm.pool.borrow_mut().take(address);
        let rest = pooled.as_ref().map(|(_, rest)| *rest);
        let wire = if let Some((wire, _)) = pooled {
            Ok(wire)
        } else {
            let left = clock::now().until(self.deadline);
            upstream::connect(address, left.min(upstream::CONNECT_TIMEOUT)).await
        };
        let mut wire = match wire {
            Ok(wire) => wire,
            Err(failure) => {
                self.count_attempt("unreachable");
                placed.end(AttemptOutcome::Unreachable, None);
                slog::debug!(self.vm.log, "upstream not reached"; "upstream" => &*name, "error" => %failure);
                return Action::Retry("no connection to an upstream");
            }
        };

        let left = clock::now().until(self.deadline);
        if left < MIN_REMAINING_TIME {
            return Action::Fail("too little time left");
        }
        let bytes = self.render(&placed, left);
        let started = clock::now();
        progress.sent_count += 1;
        self.flags.must_finish.set(!self.route.is_idempotent);
        let request = upstream::UpstreamRequest {
            method: &self.received.head.method,
            bytes: &bytes,
            attempt_id: Some(self.attempt_id),
        };
        let exchange =
            upstream::exchange(&mut wire, &request, &self.vm.dialect, BUFFERED_BODY_BYTES);
        let result = timeout(left, exchange).await;
        let took = clock::now().saturating_since(started);
        if let (Some(rest), Ok(Err(_))) = (rest, &result) {
            self.vm.pool.borrow_mut().record_stale(rest);
        }
        let next = self.conclude(result, took, placed, wire, progress);
        if !progress.may_have_executed {
            self.flags.must_finish.set(false);
        }
        next
    }

    /// Draws the conclusion from what came of a try.
    fn conclude(
        &self,
        result: Result<Result<UpstreamResponse, ExchangeError>, tokio::time::error::Elapsed>,
        took: Duration,
        placed: Placed,
        wire: Wire,
        progress: &mut RequestProgress,
    ) -> Action {
        let relative_latency =
            took.as_secs_f64() / self.vm.mean(self.route).as_secs_f64().max(0.001);
        let answer = match result {
            Ok(Ok(answer)) => answer,
            Ok(Err(failure)) => {
                self.count_attempt("broken");
                progress.may_have_executed = true;
                slog::debug!(self.vm.log, "upstream answer broken"; "id" => self.attempt_id,
                    "upstream" => &*placed.server.name, "error" => %failure);
                let ended = if failure.is_malformed() {
                    AttemptOutcome::MalformedResponse
                } else {
                    AttemptOutcome::Failed {
                        relative_latency: None,
                    }
                };
                placed.end(ended, None);
                return Action::Retry("the upstream's answer broke off");
            }
            Err(_elapsed) => {
                self.count_attempt("timeout");
                progress.may_have_executed = true;
                placed.end(
                    AttemptOutcome::Failed {
                        relative_latency: Some(relative_latency),
                    },
                    None,
                );
                return Action::Fail("no answer in time");
            }
        };

        let load = (self.vm.dialect.load)(&answer.head.headers);
        if upstream::is_not_executed(&answer.head, &self.vm.dialect) {
            return self.not_run(&answer, wire, placed, load, progress);
        }
        let is_signed = answer
            .head
            .headers
            .text(self.vm.dialect.signature)
            .is_some();
        if !is_signed {
            self.count_attempt("unsigned");
            progress.may_have_executed = true;
            self.keep(&answer, wire, &placed);
            placed.end(
                AttemptOutcome::Failed {
                    relative_latency: None,
                },
                load,
            );
            return Action::Retry("the upstream's answer is not genuine");
        }
        self.vm.heed(&placed.server, &answer.head);
        let ended = if answer.head.status >= 500 {
            self.count_attempt("failure");
            progress.may_have_executed = true;
            if self.may_repeat_failure(progress) {
                self.keep(&answer, wire, &placed);
                placed.end(
                    AttemptOutcome::Failed {
                        relative_latency: None,
                    },
                    load,
                );
                return Action::Retry("the upstream failed");
            }
            AttemptOutcome::Failed {
                relative_latency: None,
            }
        } else {
            self.count_attempt("answer");
            self.vm.note_latency(self.route, took);
            self.vm
                .note_slowness(&placed.server, relative_latency, load);
            AttemptOutcome::Completed { relative_latency }
        };
        if answer.unread_body.is_whole() {
            self.keep(&answer, wire, &placed);
            placed.end(ended, load);
            return Action::Respond(reply(
                answer.head.status,
                &answer.head.headers,
                ResponseBody::Buffered(answer.body),
            ));
        }
        let stream = ResponseStream {
            vm: Rc::clone(self.vm),
            id: self.attempt_id.to_owned(),
            placed,
            wire,
            rest: answer.unread_body,
            part: answer.body,
            length: answer.content_length,
            idle: answer.keep_alive,
            ended,
            deadline: self.deadline,
        };
        let body = ResponseBody::Streamed(Box::new(stream));
        Action::Respond(reply(answer.head.status, &answer.head.headers, body))
    }

    /// Returns whether a request that the upstream failed is sent to another one.
    fn may_repeat_failure(&self, progress: &RequestProgress) -> bool {
        let has_time = clock::now() + self.vm.mean(self.route) < self.deadline;
        self.route.is_idempotent
            && has_time
            && progress.sent_count < self.route.max_attempts
            && !self.flags.is_caller_gone.get()
            && self.target.key.is_none()
    }

    /// Keeps a connection whose answer has been read to its end, if it can be used again.
    fn keep(&self, answer: &UpstreamResponse, wire: Wire, placed: &Placed) {
        if let (Some(idle), true) = (answer.keep_alive, answer.unread_body.is_whole()) {
            let mut pool = self.vm.pool.borrow_mut();
            pool.put(placed.server.address, wire, idle);
        }
    }

    /// Handles an answer that says that the request was not run.
    fn not_run(
        &self,
        answer: &UpstreamResponse,
        wire: Wire,
        placed: Placed,
        load: Option<UpstreamLoad>,
        progress: &mut RequestProgress,
    ) -> Action {
        self.keep(answer, wire, &placed);
        self.vm.heed(&placed.server, &answer.head);
        if answer.head.status != MISDIRECTED_STATUS {
            self.count_attempt("shed");
            placed.end(AttemptOutcome::Shed, load);
            return Action::Retry("the upstream shed the request");
        }
        self.count_attempt("misdirected");
        placed.end(AttemptOutcome::CallerDisconnected, load);
        progress.misdirected_count += 1;
        if progress.misdirected_count > MAX_MISDIRECTED_RESPONSES {
            return Action::Fail("the upstream does not hold the key");
        }
        Action::Retry("the upstream is not the one expected")
    }

    fn count_attempt(&self, outcome: &str) {
        self.vm.metrics.attempts.with_label_values(&[outcome]).inc();
    }

    /// Returns the request as the upstream gets it.
    fn render(&self, placed: &Placed, left: Duration) -> Vec<u8> {
        let dialect = &self.vm.dialect;
        let head = &self.received.head;
        let own = [
            "authorization",
            dialect.deadline,
            dialect.expected,
            dialect.team,
        ];
        let mut bytes = Vec::with_capacity(512 + self.received.body.len());
        push(
            &mut bytes,
            &[&head.method, " ", &head.target, " HTTP/1.1\r\n"],
        );
        for header in &head.headers.0 {
            let is_own = own
                .iter()
                .any(|name| name.eq_ignore_ascii_case(&header.name));
            if is_own || head.headers.is_hop_by_hop(&header.name) {
                continue;
            }
            push(&mut bytes, &[&header.name, ": "]);
            bytes.extend_from_slice(&header.value);
            push(&mut bytes, &["\r\n"]);
        }
        push(
            &mut bytes,
            &[
                dialect.deadline,
                ": ",
                &saturating_millis(left).to_string(),
                "\r\n",
            ],
        );
        push(
            &mut bytes,
            &[dialect.expected, ": ", &placed.server.name, "\r\n"],
        );
        if let Some(team) = self.team {
            push(&mut bytes, &[dialect.team, ": ", team, "\r\n"]);
        }
        if !self.received.body.is_empty() || !matches!(&*head.method, "GET" | "HEAD") {
            let length = self.received.body.len().to_string();
            push(&mut bytes, &["Content-Length: ", &length, "\r\n"]);
        }
        push(&mut bytes, &["\r\n"]);
        bytes.extend_from_slice(&self.received.body);
        bytes
    }
}

fn reply(status: u16, all: &Headers, body: ResponseBody) -> Response {
    let kept = all
        .0
        .iter()
        .filter(|header| !all.is_hop_by_hop(&header.name));
    Response {
        status,
        headers: Headers(kept.cloned().collect()),
        body,
    }
}

fn push(bytes: &mut Vec<u8>, parts: &[&str]) {
    for part in parts {
        bytes.extend_from_slice(part.as_bytes());
    }
}
