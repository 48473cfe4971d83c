//! The `notices` module provides the handling of drain, backoff and request limit notices in upstreams' responses.

use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::fleet::{LimitChange, UpstreamInstance};
use kumquat_state::clock;
use slog::info;

use super::Vm;
use crate::http::ResponseHead;
use crate::upstream;

impl Vm {
    /// Applies the drain and backoff notices of a genuine response; returns the requested backoff, if any.
    pub fn apply_notices(
        self: &Rc<Self>,
        upstream: &UpstreamInstance,
        head: &ResponseHead,
    ) -> Option<Duration> {
        if upstream::announces_shutdown(head, &self.dialect) {
            self.mark_draining(upstream);
        }
        let backoff = upstream::retry_after(head, &self.dialect)?;
        self.apply_backoff(upstream, backoff);
        Some(backoff)
    }

    /// Applies all notices of a genuine response to a request; the other responses need not contain the request limit.
    pub fn apply_response_notices(
        self: &Rc<Self>,
        upstream: &UpstreamInstance,
        head: &ResponseHead,
    ) {
        self.apply_notices(upstream, head);
        self.apply_request_limit(upstream, head);
    }

    /// Records the request limit that a response announces or no longer announces.
    fn apply_request_limit(self: &Rc<Self>, upstream: &UpstreamInstance, head: &ResponseHead) {
        let announcement = (self.dialect.parse_request_limit)(&head.headers);
        let mut state = self.state.borrow_mut();
        let change = state
            .table
            .record_announcement(clock::now(), upstream, announcement);
        let id = state.table.incarnation_id(upstream);
        drop(state);
        if let (Some(change), Some(id)) = (change, id) {
            self.log_limit_change(id, change, "response");
            self.dispatch_queued();
        }
    }

    /// Logs that the request limit of the upstream with a short id has changed; `source` tells who reported it.
    pub(super) fn log_limit_change(&self, id: u32, change: LimitChange, source: &str) {
        let state = self.state.borrow();
        let upstream = state.table.upstream_by_id(id);
        let name = upstream.map(|upstream| &*upstream.name);
        let born = upstream.map(|upstream| upstream.incarnation);
        let per_s = upstream.and_then(|upstream| state.table.request_limit(upstream));
        match change {
            LimitChange::Started => {
                info!(self.log, "upstream announced a request limit"; "upstream" => name, "born" => born,
                    "per_s" => per_s, "source" => source, "vms" => state.peers.len() + 1);
            }
            LimitChange::Changed { previous_per_s } => {
                info!(self.log, "upstream changed its request limit"; "upstream" => name, "born" => born,
                    "per_s" => per_s, "before_per_s" => previous_per_s, "source" => source);
            }
            LimitChange::Ended { duration, sent } => {
                info!(self.log, "upstream ended its request limit"; "upstream" => name, "born" => born,
                    "for_ms" => u64::try_from(duration.as_millis()).unwrap_or(u64::MAX), "sent" => sent,
                    "source" => source);
            }
            LimitChange::Malformed => {
                info!(self.log, "request limit not understood"; "upstream" => name, "born" => born, "per_s" => per_s);
            }
        }
    }

    /// Returns the requests per second by which keys are placed on an upstream, if it limits its requests for a while.
    #[must_use]
    pub fn placement_limit(&self, upstream: &UpstreamInstance) -> Option<f64> {
        let state = self.state.borrow();
        state.table.placement_limit(clock::now(), upstream)
    }

    /// Counts a request or order that is sent to an upstream, if the upstream has announced a request limit.
    pub fn record_send(&self, upstream: &UpstreamInstance, kind: &str) {
        if self.state.borrow_mut().table.record_limited_send(upstream) {
            self.metrics
                .limited_upstream_sends
                .with_label_values(&[kind])
                .inc();
        }
    }

    /// Marks this incarnation of an upstream as draining and closes the idle connections to it.
    pub fn mark_draining(self: &Rc<Self>, upstream: &UpstreamInstance) {
        let mut state = self.state.borrow_mut();
        if !state
            .table
            .mark_draining(&upstream.name, upstream.incarnation)
        {
            return;
        }
        info!(self.log, "upstream is draining"; "upstream" => &*upstream.name, "born" => upstream.incarnation);
        drop(state);
        self.pool.borrow_mut().close_idle(upstream.address);
        self.dispatch_queued();
    }

    /// Marks upstreams as draining that a peer has reported by their short ids; unknown ids are ignored.
    pub fn mark_draining_by_ids(self: &Rc<Self>, ids: &[u32]) {
        let upstreams: Vec<UpstreamInstance> = {
            let state = self.state.borrow();
            let known = ids.iter().filter_map(|id| state.table.upstream_by_id(*id));
            known.cloned().collect()
        };
        for upstream in upstreams {
            self.mark_draining(&upstream);
        }
    }

    /// Returns the short ids of the upstreams that have announced that they drain.
    #[must_use]
    pub fn draining_ids(&self) -> Vec<u32> {
        self.state.borrow().table.draining_ids()
    }

    /// Sends no requests to an overloaded upstream for the backoff that it has requested.
    fn apply_backoff(self: &Rc<Self>, upstream: &UpstreamInstance, backoff: Duration) {
        let until = clock::now() + backoff;
        info!(self.log, "upstream requested a backoff"; "upstream" => &*upstream.name,
            "for_ms" => u64::try_from(backoff.as_millis()).unwrap_or(u64::MAX));
        let mut state = self.state.borrow_mut();
        state
            .table
            .set_backoff(&upstream.name, upstream.incarnation, until);
        state.reject_expiring_in_backoff(&upstream.name, until);
        drop(state);
        self.dispatch_queued();
    }

    /// Returns the rest of the backoff that an upstream has requested from this VM; zero if there is none.
    #[must_use]
    pub fn remaining_backoff(&self, upstream: &UpstreamInstance) -> Duration {
        let now = clock::now();
        let state = self.state.borrow();
        now.until(
            state
                .table
                .backoff_until(&upstream.name, upstream.incarnation),
        )
    }
}
