//! The `handover` module provides what a group does when its work goes elsewhere, to another VM or another upstream, and
//! what it still has to do.

use kumquat_state::clock::Instant;
use kumquat_state::ident;

use super::{Action, Group, RefusalReason};

impl Group {
    /// Returns the number of requests that wait in the queues.
    #[must_use]
    pub fn queued_requests(&self) -> u32 {
        let own: u32 = self
            .upstreams
            .iter()
            .map(|upstream| upstream.queue.len())
            .sum();
        own + self.queue.len()
    }

    /// Returns whether attempts run on an upstream that is cold.
    ///
    /// The next holder starts each upstream at its cold limit, so that attempts which still run on a cold upstream would
    /// come on top of what it bears.
    #[must_use]
    pub fn has_cold_attempts(&self) -> bool {
        self.upstreams
            .iter()
            .any(|upstream| upstream.in_flight > 0 && upstream.slow_start.is_cold())
    }

    /// Ends all requests for one owner of keys that is lost, so that they can be sent to its successor.
    ///
    /// Attempts that are still running may have run.
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
