//! The `rollout` module provides the limit on the requests to upstreams of a version that is being rolled out.

use std::sync::Arc;

use kumquat_state::clock::Instant;

use super::{AttemptOutcome, Row, Selection, UpstreamInstance, UpstreamTable};
use crate::fleet::rollout::{Fault, Gates, Observation, Order, Plan, Side};

impl UpstreamTable {
    /// Returns the orders and the states of rollouts.
    #[must_use]
    pub const fn gates(&self) -> &Gates {
        &self.gates
    }

    /// Returns the orders and the states of rollouts for changes.
    pub const fn gates_mut(&mut self) -> &mut Gates {
        &mut self.gates
    }

    /// Sets or withdraws the order to roll a service out to a version; returns false if nothing has changed.
    pub fn set_rollout_order(&mut self, now: Instant, service: &str, order: Option<Order>) -> bool {
        let vms = self.vms;
        self.gates.set_order(now, service, order, vms)
    }

    /// Selects the upstream with the lowest expected response time among those that the rollout of the service allows.
    ///
    /// `tried` names the upstreams that the request has been sent to before. `noise` returns random numbers from 0 to
    /// 1, which keep VMs with the same reports from selecting the same upstream.
    pub fn select(
        &mut self,
        now: Instant,
        service: &str,
        tried: &[Arc<str>],
        noise: impl Fn() -> f64,
    ) -> Selection {
        self.expire_peer_reports(now);
        let (first, second) = match self.gates.plan(now, service, !tried.is_empty()) {
            None => return self.select_on(now, service, tried, None, &noise),
            Some(Plan::Prefer) => (Side::New, Some(Side::Old)),
            Some(Plan::Only(side)) => (side, self.only_other_side(service, side)),
        };
        let selection = self.select_on(now, service, tried, Some(first), &noise);
        match (&selection, second) {
            (Selection::Selected(_), _) | (_, None) => selection,
            (_, Some(side)) => self.select_on(now, service, tried, Some(side), &noise),
        }
    }

    /// Returns the other side if no upstream of this one accepts requests, so that the service is not interrupted.
    fn only_other_side(&self, service: &str, side: Side) -> Option<Side> {
        let mut rows = self.rows.iter();
        let has_eligible = rows.any(|row| {
            &*row.upstream.service == service
                && self.is_eligible(row)
                && self.is_on_side(row, Some(side))
        });
        match side {
            _ if has_eligible => None,
            Side::Old => Some(Side::New),
            Side::New => Some(Side::Old),
        }
    }

    /// Returns whether a row is on a side of its service's order; all are if no side is given.
    pub(super) fn is_on_side(&self, row: &Row, side: Option<Side>) -> bool {
        let upstream = &row.upstream;
        side.is_none_or(|side| self.gates.side(&upstream.service, &upstream.version) == Some(side))
    }

    /// Counts the outcome of a request to a route for the comparison of versions; has no effect without an order.
    ///
    /// Returns the fault if this VM stops sending to the new version because of it.
    pub fn record_version_outcome(
        &mut self,
        now: Instant,
        upstream: &UpstreamInstance,
        route: u32,
        outcome: AttemptOutcome,
    ) -> Option<Fault> {
        let (is_failure, latency) = match outcome {
            AttemptOutcome::Completed { relative_latency } => (false, Some(relative_latency)),
            AttemptOutcome::Failed { .. } | AttemptOutcome::MalformedResponse => (true, None),
            // A VM or upstream that is cut off says nothing about the version.
            AttemptOutcome::Shed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::CallerDisconnected => return None,
        };
        // An upstream is slow during its warm-up, whatever its version.
        let latency = latency.filter(|_| self.warmup_until(&upstream.name) <= now);
        self.gates.record_outcome(
            &upstream.service,
            &upstream.version,
            route,
            is_failure,
            latency,
        )
    }

    /// Returns what this VM has counted for the orders without a verdict; `id` returns the short id of a service.
    #[must_use]
    pub fn rollout_observations(&self, now: Instant, id: impl Fn(&str) -> u32) -> Vec<Observation> {
        let observations = self.gates.observations(now, id).into_iter();
        let observations = observations.map(|(service, observation)| {
            let rows = self.rows.iter();
            let old = rows.filter(|row| {
                row.upstream.service == service && self.is_on_side(row, Some(Side::Old))
            });
            Observation {
                old_in_flight: old.map(|row| row.own_in_flight).sum(),
                ..observation
            }
        });
        observations.collect()
    }

    /// Returns whether upstreams of a service's new version and of other versions accept requests.
    #[must_use]
    pub fn rollout_sides(&self, service: &str) -> (bool, bool) {
        let accepts = |side| {
            self.rows.iter().any(|row| {
                &*row.upstream.service == service
                    && self.is_eligible(row)
                    && self.is_on_side(row, Some(side))
            })
        };
        (accepts(Side::New), accepts(Side::Old))
    }
}
