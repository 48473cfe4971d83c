//! The `handover` module provides the handover of a group's requests to another VM or another upstream, and the state
//! that the driver waits for before it.

use kumquat_state::clock::Instant;
use kumquat_state::ident;

use super::{Action, Group, RefusalReason};

impl Group {
    /// Returns the number of requests in the queues of the group and of its upstreams.
    #[must_use]
    pub fn queued_requests(&self) -> u32 {
        let queued_per_upstream: u32 = self
            .upstreams
            .iter()
            .map(|upstream| upstream.queue.len())
            .sum();
        queued_per_upstream + self.queue.len()
    }

    /// Returns whether attempts are in flight at an upstream that is cold.
    ///
    /// The next holder starts each upstream at its cold limit, so that attempts which are still in flight at a cold
    /// upstream would exceed that limit.
    #[must_use]
    pub fn has_cold_attempts(&self) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| upstream.in_flight > 0 && upstream.slow_start.is_cold())
    }

    /// Refuses all requests for a keyed upstream that is lost, so that the entries can send them to its successor.
    ///
    /// Requests with an attempt in flight are refused with [`Execution::Unknown`](super::Execution::Unknown); those
    /// whose response has begun are left to end by themselves.
    pub fn fail_requests_to(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        out: &mut Vec<Action>,
    ) {
        let ids: Vec<u64> = self
            .handles_by_id
            .iter()
            .filter(|(_, handle)| {
                let request = &self.requests[*handle as usize];
                request.target.as_ref() == Some(upstream) && !request.is_delivered
            })
            .map(|(id, _)| *id)
            .collect();
        for id in ids {
            if let Some(handle) = self.handle_of(id) {
                self.terminate_request(handle, RefusalReason::NoUpstream, out);
            }
        }
        self.dispatch_queued(now, out);
    }
}
