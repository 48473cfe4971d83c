//! The `notices` module provides what upstreams say about themselves in their answers: that they leave, or want a pause.

use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::fleet::UpstreamInstance;
use kumquat_state::clock;
use slog::info;

use super::Vm;
use crate::http::ResponseHead;
use crate::upstream;

impl Vm {
    /// Takes up what an upstream says about itself in a genuine answer; returns the pause that it wants, if any.
    pub fn apply_notices(
        self: &Rc<Self>,
        server: &UpstreamInstance,
        head: &ResponseHead,
    ) -> Option<Duration> {
        if upstream::announces_shutdown(head, &self.dialect) {
            self.mark_draining(server);
        }
        let wanted = upstream::retry_after(head, &self.dialect)?;
        self.hold_off(server, wanted);
        Some(wanted)
    }

    /// Notes that an upstream has said in an answer that it is about to stop.
    pub fn mark_draining(self: &Rc<Self>, server: &UpstreamInstance) {
        let mut state = self.state.borrow_mut();
        if !state.table.mark_draining(&server.name, server.incarnation) {
            return;
        }
        info!(self.log, "upstream is leaving"; "upstream" => &*server.name, "born" => server.incarnation);
        drop(state);
        self.pool.borrow_mut().close_idle(server.address);
        self.dispatch_queued();
    }

    /// Notes the upstreams of which another VM says that they are about to stop, by their short ids.
    pub fn mark_draining_by_ids(self: &Rc<Self>, ids: &[u32]) {
        let servers: Vec<UpstreamInstance> = {
            let state = self.state.borrow();
            let known = ids.iter().filter_map(|id| state.table.upstream_by_id(*id));
            known.cloned().collect()
        };
        for server in servers {
            self.mark_draining(&server);
        }
    }

    /// Returns the short ids of the upstreams that are about to stop.
    #[must_use]
    pub fn draining_ids(&self) -> Vec<u32> {
        self.state.borrow().table.draining_ids()
    }

    /// Sends an upstream that has no room nothing for a time that it has named.
    fn hold_off(self: &Rc<Self>, server: &UpstreamInstance, wanted: Duration) {
        let until = clock::now() + wanted;
        info!(self.log, "upstream wants nothing for a time"; "upstream" => &*server.name,
            "for_ms" => u64::try_from(wanted.as_millis()).unwrap_or(u64::MAX));
        let mut state = self.state.borrow_mut();
        state
            .table
            .set_backoff(&server.name, server.incarnation, until);
        state.refuse_held_off(&server.name, until);
        drop(state);
        self.dispatch_queued();
    }

    /// Returns the time for which an upstream wants nothing more from this VM.
    #[must_use]
    pub fn remaining_backoff(&self, server: &UpstreamInstance) -> Duration {
        let now = clock::now();
        let state = self.state.borrow();
        now.until(state.table.backoff_until(&server.name, server.incarnation))
    }
}
