//! The `reports` module provides what a VM tells its peers and learns from their reports.

use std::rc::Rc;

use kumquat_coordination::fleet::{RateUsage, ReportedLimit};
use kumquat_state::clock;

use super::Vm;

/// What a VM tells its peers in a full report about rates and limits that hold over all VMs together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerUsage {
    /// Use of the teams' rates.
    pub teams: Vec<RateUsage>,
    /// Use of the upstreams' request limits, by the upstreams' short ids.
    pub upstreams: Vec<RateUsage>,
    /// Request limits that upstreams announced or ended in responses to this VM.
    pub limits: Vec<ReportedLimit>,
}

impl Vm {
    /// Applies a peer's report of its in-flight requests and, if it is a full report, of its use of rates and limits.
    ///
    /// `peer` is the incarnation of the sender; `in_flight` holds short ids of upstreams with counts, `work_ms` such with
    /// the outstanding work of these requests in milliseconds.
    pub fn apply_peer_report(
        self: &Rc<Self>,
        peer: u64,
        in_flight: &[(u32, u32)],
        work_ms: &[(u32, u32)],
        usage: Option<&PeerUsage>,
    ) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        state.membership.record_report(now, peer);
        state.table.record_peer_report(now, peer, in_flight);
        state.table.record_peer_work(peer, work_ms);
        let mut limit_changes = Vec::new();
        if let Some(usage) = usage {
            state.rate_limiter.apply_report(now, peer, &usage.teams);
            limit_changes =
                state
                    .table
                    .apply_limit_report(now, peer, &usage.limits, &usage.upstreams);
        }
        let has_queued = !state.queue.requests().is_empty();
        drop(state);
        for (id, change) in limit_changes {
            self.log_limit_change(id, change, "peer");
        }
        if has_queued {
            self.dispatch_queued();
        }
    }

    /// Returns this VM's in-flight requests as short ids of upstreams with counts, for the report to the peers.
    #[must_use]
    pub fn in_flight_requests(&self) -> Vec<(u32, u32)> {
        self.state.borrow().table.own_in_flight()
    }

    /// Returns this VM's use of rates and limits for the next full report, and starts a new reporting interval.
    #[must_use]
    pub fn next_usage_report(&self) -> PeerUsage {
        let mut state = self.state.borrow_mut();
        PeerUsage {
            teams: state.rate_limiter.next_report(),
            upstreams: state.table.next_limit_usages(),
            limits: state.table.limit_report(clock::now()),
        }
    }

    /// Returns whether the peers must be told something before the next full report is due: this VM's use of a rate or
    /// limit, or what it knows of a request that ends upstreams.
    #[must_use]
    pub fn is_early_report_due(&self) -> bool {
        let state = self.state.borrow();
        state.rate_limiter.is_early_report_due()
            || state.table.is_early_report_due()
            || state.quarantine.is_early_report_due()
    }
}
