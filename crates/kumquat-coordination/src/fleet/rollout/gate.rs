//! The `gate` module provides the limit on a new version's share of a service's requests at one VM.

use std::sync::Arc;

use kumquat_state::clock::Instant;

use super::{
    Assessment, Bounds, Fault, Observation, Order, Phase, Record, RouteCounts, Side, WHOLE,
};
use super::{assess, evidence};

/// Part of the slack that the VMs use, so that a service with few requests gets evidence too.
///
/// The rest is left for the random differences between the VMs' whole requests and their shares.
const USED_SLACK_FRACTION: f64 = 0.4;

/// Requests beyond the share that a VM may send at once after the new version's upstreams were not available.
const MAX_CREDIT: f64 = 3.0;

/// Latency relative to the route's mean from which a response counts as slow.
const SLOW_FACTOR: f64 = 3.0;

/// Largest relative latency that counts towards the mean.
///
/// Requests of a route can differ in their work by a factor of a hundred, and a few of them must not decide.
const MAX_RELATIVE_LATENCY: f64 = 6.0;

/// Maximum number of routes of a service whose responses are counted apart; those of further ones count as one route.
///
/// An observation of this many routes fits a datagram.
const MAX_ROUTES: usize = 64;

/// Part of the rollback time for which a VM sends to the new version without having read the store.
///
/// A VM that does not read the store would not hear that the version was rolled back. The rest of the time is needed to
/// report the bad responses, and to decide and write.
const STALE_FRACTION: f64 = 0.6;

/// The versions to which a request may go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plan {
    /// To this side only, or to the other one if no upstream of this side accepts requests at all.
    Only(Side),
    /// To the new version, or to the old ones if no upstream of the new one can take it now.
    Prefer,
}

#[derive(Clone, Debug)]
struct Gate {
    service: Arc<str>,
    order: Option<(Order, Instant)>,
    record: Option<Record>,
    // Requests that may be sent to the new version; grows by the share with each request of the service.
    credit: f64,
    // Whether this VM has seen enough bad responses of its own to stop without a verdict.
    is_stopped: bool,
    routes: Vec<RouteCounts>,
}

impl Gate {
    /// Returns the record, unless there is a newer order that has no step yet.
    fn current_record(&self) -> Option<&Record> {
        let order = self.order.as_ref().map_or(0, |(order, _)| order.revision);
        self.record.as_ref().filter(|record| record.order >= order)
    }

    /// Returns the version that the order in force names.
    fn target(&self) -> Option<&Arc<str>> {
        let (order, _) = self.order.as_ref()?;
        Some(
            self.current_record()
                .map_or(&order.target, |record| &record.target),
        )
    }

    fn order_revision(&self) -> u64 {
        let order = self.order.as_ref().map_or(0, |(order, _)| order.revision);
        order.max(self.record.as_ref().map_or(0, |record| record.order))
    }

    fn is_barred(&self, version: &str) -> bool {
        let barred = self.record.as_ref().map(|record| &record.barred);
        barred.is_some_and(|barred| barred.iter().any(|other| **other == *version))
    }

    /// Returns the share of the new version in thousandths.
    fn share(&self, is_stale: bool) -> u32 {
        match self.current_record() {
            Some(record) if record.phase == Phase::Completed => WHOLE,
            Some(record) if record.phase == Phase::Running => match record.share {
                _ if self.is_stopped => 0,
                share if share < WHOLE && is_stale => 0,
                share => share,
            },
            _ => 0,
        }
    }
}

/// The gates of all services that have or had an order.
#[derive(Clone, Debug, Default)]
pub struct Gates {
    // Sorted by service.
    services: Vec<Gate>,
    bounds: Bounds,
    seed: u64,
    store_read_at: Instant,
}

impl Gates {
    /// Sets the bounds of the deployment, and a seed that has to differ between VMs.
    pub const fn set_bounds(&mut self, bounds: Bounds, seed: u64) {
        self.bounds = bounds;
        self.seed = seed;
    }

    /// Records that this VM has read the store, so that it knows all verdicts up to then.
    pub const fn set_store_read(&mut self, now: Instant) {
        self.store_read_at = now;
    }

    /// Sets or withdraws the order of a service; `vms` is the number of VMs that share the slack.
    ///
    /// Returns false if nothing has changed.
    pub fn set_order(
        &mut self,
        now: Instant,
        service: &str,
        order: Option<Order>,
        vms: u32,
    ) -> bool {
        if order.is_none() && self.gate(service).is_none() {
            return false;
        }
        let slack = self.bounds.canary_slack * USED_SLACK_FRACTION / f64::from(vms.max(1));
        let seed = self.seed;
        let gate = self.gate_mut(service);
        if gate.order.as_ref().map(|(order, _)| order) == order.as_ref() {
            return false;
        }
        if let Some(order) = &order {
            // The random part makes the VMs' whole requests add up to the share of all requests on average.
            gate.credit = unit(seed, order.revision) + slack;
            gate.is_stopped = false;
            gate.routes.clear();
        }
        gate.order = order.map(|order| (order, now));
        true
    }

    /// Sets the state of a service's rollout, unless a later one is known; returns false if nothing has changed.
    pub fn set_record(&mut self, service: &str, record: Record) -> bool {
        let gate = self.gate_mut(service);
        if let Some(known) = &gate.record {
            // A verdict is final, and a share only rises.
            let progress =
                |record: &Record| (record.order, record.phase != Phase::Running, record.share);
            if progress(known) >= progress(&record) {
                return false;
            }
        }
        gate.record = Some(record);
        true
    }

    /// Returns the order of a service and when this VM learned of it.
    #[must_use]
    pub fn order(&self, service: &str) -> Option<&(Order, Instant)> {
        self.gate(service)?.order.as_ref()
    }

    /// Returns the state of a service's latest rollout.
    #[must_use]
    pub fn record(&self, service: &str) -> Option<&Record> {
        self.gate(service)?.record.as_ref()
    }

    /// Returns the services that have or had an order.
    pub fn services(&self) -> impl Iterator<Item = &Arc<str>> {
        self.services.iter().map(|gate| &gate.service)
    }

    /// Returns whether upstreams of a version get no requests because the version was rolled back.
    #[must_use]
    pub fn is_barred(&self, service: &str, version: &str) -> bool {
        self.gate(service)
            .is_some_and(|gate| gate.is_barred(version))
    }

    /// Returns on which side of the order a version is; `None` without an order.
    #[must_use]
    pub fn side(&self, service: &str, version: &str) -> Option<Side> {
        let target = self.gate(service)?.target()?;
        Some(if **target == *version {
            Side::New
        } else {
            Side::Old
        })
    }

    /// Returns whether a version is the one that the order names, and there is no verdict yet.
    #[must_use]
    pub fn is_on_trial(&self, service: &str, version: &str) -> bool {
        let Some(gate) = self.gate(service) else {
            return false;
        };
        let phase = gate.current_record().map(|record| record.phase);
        let is_target = gate.target().is_some_and(|target| **target == *version);
        is_target && phase.is_none_or(|phase| phase == Phase::Running)
    }

    /// Returns the share of the new version that this VM applies, in thousandths; `None` without an order.
    #[must_use]
    pub fn share(&self, now: Instant, service: &str) -> Option<u32> {
        let gate = self.gate(service)?;
        gate.target()?;
        Some(gate.share(self.is_stale(now)))
    }

    /// Returns where the next request of a service may go; `None` if all upstreams that accept requests are equal.
    ///
    /// A retry goes to the new version only if that has all requests.
    #[must_use]
    pub fn plan(&self, now: Instant, service: &str, is_retry: bool) -> Option<Plan> {
        let share = self.share(now, service)?;
        let gate = self.gate(service)?;
        if gate
            .current_record()
            .is_some_and(|record| record.phase == Phase::RolledBack)
        {
            return None;
        }
        let allows_new = gate.credit + fraction(share) >= 1.0;
        Some(match share {
            WHOLE.. => Plan::Only(Side::New),
            1.. if allows_new && !is_retry => Plan::Prefer,
            _ => Plan::Only(Side::Old),
        })
    }

    /// Counts a request that is sent to an upstream of a version.
    pub fn record_sent(&mut self, now: Instant, service: &str, version: &str) {
        let (Some(share), Some(side)) = (self.share(now, service), self.side(service, version))
        else {
            return;
        };
        let gate = self.gate_mut(service);
        gate.credit = (gate.credit + fraction(share)).min(MAX_CREDIT.max(gate.credit));
        if side == Side::New && share < WHOLE {
            gate.credit -= 1.0;
        }
    }

    /// Counts the outcome of a request: the latency relative to the route's mean if it was measured, or a failure.
    ///
    /// Returns the fault if this VM stops sending to the new version because of it.
    pub fn record_outcome(
        &mut self,
        service: &str,
        version: &str,
        route: u32,
        is_failure: bool,
        relative_latency: Option<f64>,
    ) -> Option<Fault> {
        let side = self.side(service, version)?;
        let gate = self.gate_mut(service);
        let is_known = |counts: &RouteCounts| counts.route == route;
        let route = if gate.routes.len() < MAX_ROUTES || gate.routes.iter().any(is_known) {
            route
        } else {
            // Routes beyond the maximum are counted with the first one.
            gate.routes[0].route
        };
        let counts = evidence::entry(&mut gate.routes, route).side_mut(side);
        counts.requests = counts.requests.saturating_add(1);
        counts.failures = counts.failures.saturating_add(u32::from(is_failure));
        if let Some(latency) = relative_latency.filter(|_| !is_failure) {
            counts.timed = counts.timed.saturating_add(1);
            counts.slow = counts
                .slow
                .saturating_add(u32::from(latency >= SLOW_FACTOR));
            counts.latency_percent = counts.latency_percent.saturating_add(percent(latency));
        }
        let is_running = gate
            .current_record()
            .is_some_and(|record| record.phase == Phase::Running);
        if side != Side::New || !is_running || gate.is_stopped {
            return None;
        }
        match assess(&gate.routes, &gate.routes) {
            Assessment::Faulty(fault) => {
                gate.is_stopped = true;
                Some(fault)
            }
            _ => None,
        }
    }

    /// Returns this VM's observations of all services with an order, without the requests in flight.
    ///
    /// `id` returns the short id of a service.
    #[must_use]
    pub fn observations(
        &self,
        now: Instant,
        id: impl Fn(&str) -> u32,
    ) -> Vec<(Arc<str>, Observation)> {
        let is_stale = self.is_stale(now);
        let running = self.services.iter().filter(|gate| {
            let phase = gate.current_record().map(|record| record.phase);
            gate.order.is_some() && phase.is_none_or(|phase| phase == Phase::Running)
        });
        let observations = running.map(|gate| {
            let observation = Observation {
                service: id(&gate.service),
                order: gate.order_revision(),
                share: gate.share(is_stale),
                old_in_flight: 0,
                routes: gate.routes.clone(),
            };
            (Arc::clone(&gate.service), observation)
        });
        observations.collect()
    }

    fn is_stale(&self, now: Instant) -> bool {
        let limit = self.bounds.rollback_time.mul_f64(STALE_FRACTION);
        now.saturating_since(self.store_read_at) > limit
    }

    fn gate(&self, service: &str) -> Option<&Gate> {
        let position = self.position(service).ok()?;
        Some(&self.services[position])
    }

    fn gate_mut(&mut self, service: &str) -> &mut Gate {
        let position = self.position(service).unwrap_or_else(|position| {
            let gate = Gate {
                service: Arc::from(service),
                order: None,
                record: None,
                credit: 0.0,
                is_stopped: false,
                routes: Vec::new(),
            };
            self.services.insert(position, gate);
            position
        });
        &mut self.services[position]
    }

    fn position(&self, service: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|gate| (*gate.service).cmp(service))
    }
}

fn fraction(share: u32) -> f64 {
    f64::from(share) / f64::from(WHOLE)
}

/// Returns a number from 0 to 1 that differs between VMs and orders.
fn unit(seed: u64, order: u64) -> f64 {
    let mut bytes = seed.to_le_bytes().to_vec();
    bytes.extend(order.to_le_bytes());
    let hash = kumquat_state::hash::key(&bytes);
    f64::from(u32::try_from(hash >> 32).unwrap_or(u32::MAX)) / f64::from(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to a small range"
)]
fn percent(relative_latency: f64) -> u32 {
    (relative_latency.clamp(0.0, MAX_RELATIVE_LATENCY) * 100.0) as u32
}
