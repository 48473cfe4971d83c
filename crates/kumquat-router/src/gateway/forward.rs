//! The `forward` module provides the forwarding of requests to another VM while this one has no path to the upstreams.

use std::rc::Rc;
use std::time::Duration;

use kumquat_state::clock;
use tokio::time::timeout;

use super::attempt::{UNSTATED_FAILURE, append, relayed};
use super::stream::StreamSource;
use super::{
    DEFAULT_RETRY_AFTER, MIN_REMAINING_TIME, Refusal, RequestProgress, ResolvedRequest, Response,
    ResponseBody, ResponseStream, saturating_millis,
};
use crate::errors::Error;
use crate::http::{HttpConnection, ResponseHead};
use crate::upstream::{self, BUFFERED_BODY_BYTES, UpstreamResponse};
use crate::vm::HelperPermit;

/// VMs to which a request is forwarded in turn, if it was not executed at the ones before.
const MAX_FORWARDS: usize = 2;

/// Field by which a VM tells a peer that it has not executed a forwarded request and that another VM may.
pub(crate) const DECLINED_HEADER: &str = "Kumquat-Declined";

/// Reason of the refusal of a request that another VM may have executed.
const BROKEN_OFF: &str = "the other VM's answer broke off";

/// Reason of the refusal of a request at a VM that has no path, if no other VM has one.
pub(super) const NO_PATH: &str = "no path to the upstreams";

impl ResolvedRequest<'_> {
    /// Returns whether the request should go to another VM: this one has no path to the service, and it may be sent.
    pub(super) fn should_forward(&self, progress: &RequestProgress) -> bool {
        let service = &self.target.service;
        self.vm.should_forward(service, self.flags.is_forwarded)
            && (self.route.is_idempotent || !progress.may_have_executed)
    }

    /// Forwards the request to a VM that has a path, and returns that VM's response.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no VM has a path or can be reached, or the outcome is unknown.
    pub(super) async fn forward(
        &self,
        progress: &mut RequestProgress,
    ) -> Result<Response, Refusal> {
        // A VM that was asked by another one is the last one, or requests could travel in circles.
        if self.flags.is_forwarded {
            self.count_forward("declined");
            let mut refusal = self.refusal(progress, NO_PATH, DEFAULT_RETRY_AFTER);
            refusal.is_declined = !progress.may_have_executed;
            return Err(refusal);
        }
        let mut tried = Vec::new();
        while tried.len() < MAX_FORWARDS && !self.flags.is_caller_gone.get() {
            let Some(permit) = self.vm.acquire_helper(&self.target.service, &tried) else {
                break;
            };
            tried.push(permit.helper.vm);
            match self.forward_to(permit, progress).await {
                Ok(response) => return Ok(response),
                Err(reason) if progress.may_have_executed && !self.route.is_idempotent => {
                    return Err(self.refusal(progress, reason, Duration::ZERO));
                }
                Err(_reason) => {}
            }
        }
        self.count_forward("refused");
        Err(self.refusal(progress, NO_PATH, DEFAULT_RETRY_AFTER))
    }

    /// Forwards the request to one VM.
    ///
    /// # Errors
    ///
    /// Returns a reason if that VM gave no response for the caller.
    async fn forward_to(
        &self,
        permit: HelperPermit,
        progress: &mut RequestProgress,
    ) -> Result<Response, &'static str> {
        let address = permit.helper.address;
        // An idle connection may have been closed by its peer, which leaves open whether the request was executed.
        let pooled = if self.route.is_idempotent {
            self.vm.pool.borrow_mut().take(address)
        } else {
            None
        };
        let remaining = clock::now().until(self.deadline);
        let wire = match pooled {
            Some((wire, _)) => Ok(wire),
            None => upstream::connect(address, remaining.min(upstream::CONNECT_TIMEOUT)).await,
        };
        let mut wire = match wire {
            Ok(wire) => wire,
            Err(error) => {
                self.count_forward("unreachable");
                slog::debug!(self.vm.log, "helping VM not reached"; "address" => %address, "error" => %error);
                permit.eject();
                return Err(NO_PATH);
            }
        };
        let remaining = clock::now().until(self.deadline);
        if remaining < MIN_REMAINING_TIME {
            return Err(NO_PATH);
        }
        progress.forwarded_to = Some(address);
        progress.upstream_status = None;
        let head = self.encode_forwarded_head(remaining);
        let parts = self.with_body(&head);
        let pending = exchange(&mut wire, &self.received.head.method, &parts);
        let result = timeout(remaining, pending).await;
        if let Ok(Ok(response)) = &result {
            progress.upstream_status = Some(response.head.status);
        }
        match result {
            Ok(Ok(response)) if self.is_declined(&response.head) => {
                self.count_forward("declined");
                Err(NO_PATH)
            }
            Ok(Ok(response)) if !self.is_relayable(&response.head) => {
                self.count_forward("replaced");
                progress.may_have_executed = true;
                Err(UNSTATED_FAILURE)
            }
            Ok(Ok(response)) => {
                self.count_forward("answered");
                Ok(self.relay_peer_response(response, wire, permit))
            }
            Ok(Err(error)) => {
                self.count_forward("broken");
                progress.may_have_executed = true;
                slog::debug!(self.vm.log, "helping VM's answer broken"; "id" => self.attempt_id,
                    "address" => %address, "error" => %error);
                permit.eject();
                Err(BROKEN_OFF)
            }
            Err(_elapsed) => {
                self.count_forward("timeout");
                progress.may_have_executed = true;
                Err(BROKEN_OFF)
            }
        }
    }

    fn is_relayable(&self, head: &ResponseHead) -> bool {
        upstream::statement(head, &self.vm.dialect).is_relayable(self.route.is_idempotent)
    }

    /// Returns whether a VM declined the request; an upstream's response is signed.
    fn is_declined(&self, head: &ResponseHead) -> bool {
        head.status == 503
            && head.headers.get_str(DECLINED_HEADER).is_some()
            && head
                .headers
                .get_str(self.vm.dialect.signature_header)
                .is_none()
    }

    fn relay_peer_response(
        &self,
        response: UpstreamResponse,
        wire: HttpConnection,
        permit: HelperPermit,
    ) -> Response {
        let UpstreamResponse {
            head,
            body,
            unread_body,
            content_length,
            keep_alive,
        } = response;
        if unread_body.is_complete() {
            if let Some(keep_alive) = keep_alive {
                let mut pool = self.vm.pool.borrow_mut();
                pool.put(permit.helper.address, wire, keep_alive);
            }
            return relayed(head.status, &head.headers, ResponseBody::Buffered(body));
        }
        let stream = ResponseStream {
            vm: Rc::clone(self.vm),
            attempt_id: self.attempt_id.to_owned(),
            source: StreamSource::Peer(permit),
            wire,
            unread_body,
            buffered: body,
            content_length,
            keep_alive,
            deadline: self.deadline,
        };
        relayed(
            head.status,
            &head.headers,
            ResponseBody::Streamed(Box::new(stream)),
        )
    }

    /// Serializes the head of the request for another VM, as the caller sent it but with the time that is left.
    ///
    /// The other VM authenticates the caller, so that the credentials stay.
    fn encode_forwarded_head(&self, remaining: Duration) -> Vec<u8> {
        let mut bytes = self.encode_caller_head(&[self.vm.dialect.deadline_header]);
        let remaining_ms = saturating_millis(remaining).to_string();
        let length = self.received.body.len().to_string();
        append(
            &mut bytes,
            &[self.vm.dialect.deadline_header, ": ", &remaining_ms, "\r\n"],
        );
        append(&mut bytes, &["Content-Length: ", &length, "\r\n\r\n"]);
        bytes
    }

    fn count_forward(&self, outcome: &str) {
        let forwards = &self.vm.metrics.forwards;
        forwards.with_label_values(&[outcome]).inc();
    }
}

/// Sends a request to another VM and reads the head and the first bytes of its response.
async fn exchange(
    wire: &mut HttpConnection,
    method: &str,
    parts: &[&[u8]],
) -> Result<UpstreamResponse, Error> {
    let length: usize = parts.iter().map(|part| part.len()).sum();
    let mut written = 0;
    let head = wire
        .write_and_read_response_head(parts, &mut written)
        .await?;
    let framing = head.framing(method)?;
    let is_written = written == length;
    upstream::read_response(wire, head, framing, is_written, BUFFERED_BODY_BYTES).await
}
