//! The `select` module provides the choice of an upstream for a request.

use std::sync::Arc;
use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{Scan, Selection, Side, UpstreamTable, random_index};

/// Largest number of VMs whose reports are frequent enough to compare all upstreams; in larger fleets a request's
/// candidates are a random part of them.
const FULL_SCAN_MAX_VMS: u32 = 9;

/// Mean number of candidates per request that is kept at least; two random ones already avoid most of the queueing.
const MIN_MEAN_CANDIDATES: f64 = 2.0;

/// Relative extra cost of an upstream in another data centre, as traffic between data centres is paid for.
const REMOTE_COST_FRACTION: f64 = 0.1;

/// Extra cost, relative to the best upstream, up to which a large fleet prefers a local upstream with a free slot.
///
/// An idle local upstream serves the caller as soon as a remote one does, unless it is much slower or fails.
const LOCAL_PREFERENCE_FRACTION: f64 = 0.5;

/// Largest random increase of a cost relative to it, so that VMs with the same reports do not all select the same
/// upstream.
const COST_NOISE_FRACTION: f64 = 0.1;

impl UpstreamTable {
    /// Selects the upstream with the lowest expected response time on a side of the service's rollout, except those at
    /// the positions `excluded`.
    pub(super) fn select_on(
        &mut self,
        now: Instant,
        service: &str,
        tried: &[Arc<str>],
        side: Option<Side>,
        excluded: Vec<usize>,
        noise: &impl Fn() -> f64,
    ) -> Selection {
        let mut over_limit = excluded;
        let mut first_allowed: Option<(Duration, usize)> = None;
        loop {
            let scan = self.scan(now, service, tried, &over_limit, side, noise);
            let Some(index) = scan.best else {
                return match first_allowed {
                    Some((wait, index)) if !scan.has_busy => self.over_limit(index, wait),
                    None if !scan.has_busy => Selection::NoneEligible,
                    _ => Selection::Busy,
                };
            };
            match self.try_acquire_request(now, index) {
                Ok(()) => return self.reserve(now, index),
                Err(wait) => {
                    if first_allowed.is_none_or(|(shortest, _)| wait < shortest) {
                        first_allowed = Some((wait, index));
                    }
                    over_limit.push(index);
                }
            }
        }
    }

    pub(super) fn over_limit(&self, index: usize, wait: Duration) -> Selection {
        let upstream = Arc::clone(&self.rows[index].upstream.name);
        Selection::OverLimit { upstream, wait }
    }

    /// Compares the upstreams of a service, except those in `tried` and at the positions `over_limit`.
    pub(super) fn scan(
        &mut self,
        now: Instant,
        service: &str,
        tried: &[Arc<str>],
        over_limit: &[usize],
        side: Option<Side>,
        noise: impl Fn() -> f64,
    ) -> Scan {
        let (local_probability, remote_probability) = self.candidate_probabilities(service);
        let prefers_local = self.vms > FULL_SCAN_MAX_VMS;
        let mut best: Option<(f64, usize)> = None;
        let mut best_local: Option<(f64, usize)> = None;
        let mut has_busy = false;
        // The first available upstream is always a candidate, so that the scan must not always start at the same one.
        let start = random_index(noise(), self.rows.len());
        for index in (start..self.rows.len()).chain(0..start) {
            let row = &self.rows[index];
            if &*row.upstream.service != service || !self.is_eligible(row) {
                continue;
            }
            if !self.is_on_side(row, side) {
                continue;
            }
            if tried.contains(&row.upstream.name) || over_limit.contains(&index) {
                continue;
            }
            let in_flight = self.total_in_flight(now, index);
            if !self.is_available(now, index, in_flight) {
                has_busy = true;
                continue;
            }
            let row = &self.rows[index];
            let is_local = self.local_data_centre.as_ref() == Some(&row.upstream.data_centre);
            let probability = if is_local {
                local_probability
            } else {
                remote_probability
            };
            let is_first = best.is_none() || (is_local && prefers_local && best_local.is_none());
            if !is_first && noise() >= probability {
                continue;
            }
            let cost = self.total_cost(now, index, in_flight, noise());
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, index));
            }
            let is_free = in_flight < row.upstream.slots;
            if prefers_local
                && is_local
                && is_free
                && best_local.is_none_or(|(lowest, _)| cost < lowest)
            {
                best_local = Some((cost, index));
            }
        }
        let is_close = |local: &(f64, usize)| {
            best.is_none_or(|(lowest, _)| local.0 <= lowest * (1.0 + LOCAL_PREFERENCE_FRACTION))
        };
        Scan {
            best: best_local.filter(is_close).or(best).map(|(_, index)| index),
            has_busy,
        }
    }

    /// Returns whether an eligible upstream can take a request now, regardless of its request limit.
    pub(super) fn is_available(&mut self, now: Instant, index: usize, in_flight: u32) -> bool {
        self.obstacle(now, index, in_flight).is_none()
    }

    /// Returns the probabilities with which a local and a remote upstream of a service become candidates for a request.
    ///
    /// Reports are less frequent in larger fleets. If all VMs compared all upstreams by the same stale reports, they
    /// would all select the same one. Local upstreams get most of their requests from the VMs of their data centre.
    pub(super) fn candidate_probabilities(&self, service: &str) -> (f64, f64) {
        let upstreams = self
            .rows
            .iter()
            .filter(|row| &*row.upstream.service == service);
        let count = u32::try_from(upstreams.count().max(1)).unwrap_or(u32::MAX);
        let probability = |vms: u32| {
            let probability_by_vms = f64::from(FULL_SCAN_MAX_VMS) / f64::from(vms.max(1));
            probability_by_vms
                .max(MIN_MEAN_CANDIDATES / f64::from(count))
                .min(1.0)
        };
        let local_vms = if self.local_vms == 0 {
            self.vms
        } else {
            self.local_vms
        };
        (probability(local_vms), probability(self.vms))
    }

    /// Selects the owner of a request's key, the only upstream that may handle it, if it is available in this
    /// incarnation.
    pub fn select_owner(&mut self, now: Instant, name: &str, incarnation: u64) -> Selection {
        self.expire_peer_reports(now);
        let Ok(index) = self.position(name) else {
            return Selection::NoneEligible;
        };
        let row = &self.rows[index];
        if row.upstream.incarnation != incarnation || !self.is_eligible(row) {
            return Selection::NoneEligible;
        }
        let in_flight = self.total_in_flight(now, index);
        if !self.is_available(now, index, in_flight) {
            return Selection::Busy;
        }
        if let Err(wait) = self.try_acquire_request(now, index) {
            return self.over_limit(index, wait);
        }
        self.reserve(now, index)
    }

    /// Returns the cost of the upstream at `index` for a request, with that of traffic between data centres; `noise` is a
    /// random number from 0 to 1.
    pub(super) fn total_cost(&self, now: Instant, index: usize, in_flight: u32, noise: f64) -> f64 {
        let data_centre = &self.rows[index].upstream.data_centre;
        let is_local = self.local_data_centre.as_ref() == Some(data_centre);
        let remote_cost = if is_local { 0.0 } else { REMOTE_COST_FRACTION };
        self.cost(now, index, in_flight) * (1.0 + remote_cost + COST_NOISE_FRACTION * noise)
    }

    /// Counts a request as in flight at the upstream, and against its warm-up limit.
    pub(super) fn reserve(&mut self, now: Instant, index: usize) -> Selection {
        self.reserve_work(now, index);
        let row = &mut self.rows[index];
        if row.is_warming_up(now) {
            row.warmup_bucket.force_acquire(now);
        }
        row.own_in_flight += 1;
        let upstream = row.upstream.clone();
        self.gates
            .record_sent(now, &upstream.service, &upstream.version);
        Selection::Selected(upstream)
    }
}
