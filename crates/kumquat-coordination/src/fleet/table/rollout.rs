//! The `rollout` module provides the limit on the requests to upstreams of a version that is being rolled out.

use std::sync::Arc;

use kumquat_state::clock::Instant;

use super::{AttemptOutcome, Row, Selection, UpstreamInstance, UpstreamTable};
use crate::fleet::rollout::{Fault, Gates, Observation, Order, Plan, Side, WHOLE};

/// Factor between the slots that get the limited share and the same part of the old versions' slots.
///
/// A few slots are used less evenly than many, so that the same load would queue there more often.
const CANARY_HEADROOM: f64 = 1.5;

/// Upstreams that get the limited share at least, because one of them can be slow for reasons of its own.
const MIN_CANARY_UPSTREAMS: usize = 2;

/// Time in seconds after which the next upstreams get the limited share.
const CANARY_PERIOD_S: u64 = 2;

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
        let Some(plan) = self.gates.plan(now, service, !tried.is_empty()) else {
            return self.select_on(now, service, tried, None, Vec::new(), &noise);
        };
        // If no upstream of a side accepts requests, the other one gets them, so that the service is not interrupted.
        let (has_new, has_old) = self.rollout_sides(service);
        let side = match plan {
            Plan::Only(Side::New) if !has_new => Side::Old,
            Plan::Only(Side::Old) | Plan::Prefer if !has_old => Side::New,
            Plan::Only(side) => side,
            Plan::Prefer => {
                let excluded = self.canary_exclusions(now, service);
                let new = Some(Side::New);
                let selection = self.select_on(now, service, tried, new, excluded, &noise);
                if matches!(selection, Selection::Selected(_)) {
                    return selection;
                }
                Side::Old
            }
        };
        self.select_on(now, service, tried, Some(side), Vec::new(), &noise)
    }

    /// Returns the positions of the new version's upstreams that get no requests of the limited share now.
    ///
    /// The share is sent to a few upstreams at a time, which then have about the load of the old ones, because some
    /// faults show under load only. An upstream without a free slot gets nothing, so that its queue does not make the
    /// version look slow.
    fn canary_exclusions(&mut self, now: Instant, service: &str) -> Vec<usize> {
        let share =
            f64::from(self.gates.share(now, service).unwrap_or_default()) / f64::from(WHOLE);
        let ordered_at = self.gates.order(service).map_or(now, |(_, at)| *at);
        let mut new = Vec::new();
        let mut available = Vec::new();
        let mut old_slots = 0.0;
        for index in 0..self.rows.len() {
            let row = &self.rows[index];
            if &*row.upstream.service != service || !self.is_eligible(row) {
                continue;
            }
            if self.is_on_side(row, Some(Side::Old)) {
                old_slots += f64::from(row.upstream.slots);
                continue;
            }
            new.push(index);
            let in_flight = self.total_in_flight(now, index);
            if self.is_available(now, index, in_flight) {
                available.push((index, in_flight));
            }
        }
        let wanted = share * CANARY_HEADROOM * old_slots;
        let period = now.saturating_since(ordered_at).as_secs() / CANARY_PERIOD_S;
        let start = usize::try_from(period).unwrap_or(0) % available.len().max(1);
        available.rotate_left(start);
        let mut chosen_slots = 0.0;
        for (count, (index, in_flight)) in available.into_iter().enumerate() {
            if count >= MIN_CANARY_UPSTREAMS && chosen_slots >= wanted {
                break;
            }
            let slots = self.rows[index].upstream.slots;
            chosen_slots += f64::from(slots);
            if in_flight < slots {
                new.retain(|other| *other != index);
            }
        }
        new
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
