//! The `work` module provides the outstanding work at upstreams, by which the requests of some services are routed.

use std::sync::Arc;
use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{MAX_QUEUED_AT_UPSTREAM, Selection, UpstreamTable};
use crate::fleet::work::{Reservation, slot_wait_s};

/// Maximum number of requests at an upstream whose work is considered.
///
/// It bounds the memory and time that a report with a wrong count can take. An upstream with more slots than this is
/// taken to have one free soon.
const MAX_CONSIDERED: u32 = 1_024;

/// Work of a request for which an upstream is selected.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RequestWork {
    /// Identifies the request within this VM until [`UpstreamTable::finish_work`].
    pub id: u64,
    /// Expected work in seconds.
    pub work_s: f64,
}

/// What the observed work of a finished request is calculated from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FinishedWork {
    /// Expected time in the upstream's queue in seconds.
    pub queue_s: f64,
    /// Long-term latency of the upstream relative to the others.
    pub latency_factor: f64,
    /// Service time of the upstream relative to the usual one when it was selected, the latency factor included.
    pub speed_factor: f64,
}

impl UpstreamTable {
    /// Routes the requests of a service by cost, with the mean work of a request in seconds, or by count if it is `None`.
    ///
    /// Returns whether this changes how the requests are routed.
    pub fn set_mean_work(&mut self, service: &Arc<str>, mean_s: Option<f64>) -> bool {
        let position = self
            .mean_works_s
            .binary_search_by(|(name, _)| name.cmp(service));
        match (position, mean_s) {
            (Ok(position), Some(mean_s)) => {
                self.mean_works_s[position].1 = mean_s;
                false
            }
            (Ok(position), None) => {
                self.mean_works_s.remove(position);
                true
            }
            (Err(position), Some(mean_s)) => {
                let entry = (Arc::clone(service), mean_s);
                self.mean_works_s.insert(position, entry);
                true
            }
            (Err(_), None) => false,
        }
    }

    /// Returns the mean work of a service's requests in seconds, if they are routed by cost.
    #[must_use]
    pub fn mean_work_s(&self, service: &str) -> Option<f64> {
        let position = self
            .mean_works_s
            .binary_search_by(|(name, _)| (**name).cmp(service));
        position.ok().map(|position| self.mean_works_s[position].1)
    }

    /// Routes the services by count that the desired state no longer contains.
    pub fn retain_mean_works(&mut self, is_service: impl Fn(&str) -> bool) {
        self.mean_works_s.retain(|(service, _)| is_service(service));
    }

    /// Returns the number of services that are routed by cost.
    #[must_use]
    pub const fn cost_routed_services(&self) -> usize {
        self.mean_works_s.len()
    }

    /// Selects an upstream as [`UpstreamTable::select`] does, for a request with this work, if it is known.
    pub fn select_with_work(
        &mut self,
        now: Instant,
        service: &str,
        tried: &[Arc<str>],
        work: Option<RequestWork>,
        noise: impl Fn() -> f64,
    ) -> Selection {
        self.request_work = work;
        let selection = self.select(now, service, tried, noise);
        self.request_work = None;
        selection
    }

    /// Selects the owner of a key as [`UpstreamTable::select_owner`] does, for a request with this work, if it is known.
    pub fn select_owner_with_work(
        &mut self,
        now: Instant,
        name: &str,
        incarnation: u64,
        work: Option<RequestWork>,
    ) -> Selection {
        self.request_work = work;
        let selection = self.select_owner(now, name, incarnation);
        self.request_work = None;
        selection
    }

    /// Removes the work of a request that has ended; returns `None` if the upstream has none of it.
    pub fn finish_work(&mut self, name: &str, incarnation: u64, id: u64) -> Option<FinishedWork> {
        let row = self.incarnation_row_mut(name, incarnation)?;
        let mut reservations = row.reservations.iter();
        let position = reservations.position(|reservation| reservation.id == id)?;
        let reservation = row.reservations.remove(position);
        Some(FinishedWork {
            queue_s: reservation.queue_s,
            latency_factor: row.latency_factor,
            speed_factor: reservation.speed_factor,
        })
    }

    /// Replaces what the last report of a peer says of its outstanding work, in milliseconds by the upstreams' short ids.
    ///
    /// It has to follow [`UpstreamTable::record_peer_report`], which removes that of earlier reports.
    pub fn record_peer_work(&mut self, peer: u64, work_ms: &[(u32, u32)]) {
        let found = self
            .peer_reports
            .binary_search_by_key(&peer, |report| report.vm);
        if let Ok(position) = found {
            let mut work_ms = work_ms.to_vec();
            work_ms.sort_unstable();
            self.peer_reports[position].work_ms = work_ms;
        }
    }

    /// Returns the outstanding work of this VM's requests in milliseconds by the upstreams' short ids, for the report to
    /// the peers.
    ///
    /// If there are more than `max_upstreams`, it is that of the upstreams with the most work.
    #[must_use]
    pub fn own_work_ms(&self, now: Instant, max_upstreams: usize) -> Vec<(u32, u32)> {
        let used = self.rows.iter().filter(|row| {
            // Without the work of some requests the sum would be taken for that of all.
            let is_known =
                row.reservations.len() == usize::try_from(row.own_in_flight).unwrap_or(0);
            row.own_in_flight > 0 && is_known
        });
        let mut work: Vec<(u32, u32)> = used
            .map(|row| (row.id, whole_millis(own_work_s(now, &row.reservations))))
            .collect();
        if work.len() > max_upstreams {
            work.sort_unstable_by_key(|(_, millis)| std::cmp::Reverse(*millis));
            work.truncate(max_upstreams);
        }
        work
    }

    /// Returns the outstanding work of this VM's requests in seconds by service, for those that have any, in no order.
    #[must_use]
    pub fn own_work_by_service(&self, now: Instant) -> Vec<(Arc<str>, f64)> {
        let mut by_service: Vec<(Arc<str>, f64)> = Vec::new();
        for row in self.rows.iter().filter(|row| !row.reservations.is_empty()) {
            let work_s = own_work_s(now, &row.reservations);
            let service = &row.upstream.service;
            match by_service.iter_mut().find(|(other, _)| other == service) {
                Some((_, sum)) => *sum += work_s,
                None => by_service.push((Arc::clone(service), work_s)),
            }
        }
        by_service
    }

    /// Returns the expected time until an upstream has a free slot, if its service is routed by cost.
    #[must_use]
    pub fn slot_wait(&self, now: Instant, name: &str) -> Option<Duration> {
        let index = self.position(name).ok()?;
        let mean_s = self.mean_work_s(&self.rows[index].upstream.service)?;
        let in_flight = self.total_in_flight(now, index);
        let remaining = self.remaining_work(now, index, in_flight, mean_s);
        let wait_s = slot_wait_s(self.rows[index].upstream.slots, &remaining);
        Some(to_duration(wait_s * self.speed_factor(now, index)))
    }

    /// Returns the expected time until one of a service's eligible upstreams can take another request, if the service is
    /// routed by cost; zero if one is not full, whatever else keeps it from taking requests.
    #[must_use]
    pub fn room_wait(&self, now: Instant, service: &str) -> Option<Duration> {
        let mean_s = self.mean_work_s(service)?;
        let mut shortest_s = f64::INFINITY;
        for (index, row) in self.rows.iter().enumerate() {
            if &*row.upstream.service != service || !self.is_eligible(row) {
                continue;
            }
            let in_flight = self.total_in_flight(now, index);
            if in_flight < row.upstream.slots.saturating_add(MAX_QUEUED_AT_UPSTREAM) {
                return Some(Duration::ZERO);
            }
            // Each request that ends makes room for another one.
            let remaining = self.remaining_work(now, index, in_flight, mean_s);
            let first_s = remaining.into_iter().fold(f64::INFINITY, f64::min);
            shortest_s = shortest_s.min(first_s * self.speed_factor(now, index));
        }
        let is_known = shortest_s.is_finite();
        Some(to_duration(if is_known { shortest_s } else { 0.0 }))
    }

    /// Returns the cost of the upstream at `index`, by its outstanding work if its service is routed by cost.
    pub(super) fn cost(&self, now: Instant, index: usize, in_flight: u32) -> f64 {
        let row = &self.rows[index];
        let Some(mean_s) = self.mean_work_s(&row.upstream.service) else {
            return row.cost(now, in_flight);
        };
        let work_s = self.request_work.map_or(mean_s, |work| work.work_s);
        let remaining = self.remaining_work(now, index, in_flight, mean_s);
        row.cost_by_work(now, work_s, &remaining)
    }

    /// Records the work of the request that is being sent to the upstream at `index`, if it is known.
    pub(super) fn reserve_work(&mut self, now: Instant, index: usize) {
        let Some(work) = self.request_work else {
            return;
        };
        let row = &self.rows[index];
        let in_flight = self.total_in_flight(now, index);
        let speed_factor = self.speed_factor(now, index);
        let queue_s = if in_flight < row.upstream.slots.max(1) {
            0.0
        } else {
            let mean_s = self.mean_work_s(&row.upstream.service);
            let remaining =
                self.remaining_work(now, index, in_flight, mean_s.unwrap_or(work.work_s));
            slot_wait_s(row.upstream.slots, &remaining) * speed_factor
        };
        self.rows[index].reservations.push(Reservation {
            id: work.id,
            started: now,
            work_s: work.work_s,
            queue_s,
            speed_factor,
        });
    }

    /// Returns the remaining work in seconds of each of the `in_flight` requests at the upstream at `index`.
    ///
    /// Of a peer's requests only the sum is known, or `mean_s` each if the peer reports none. This VM's requests come
    /// last and in the order of their selection, as if the others had been sent before them.
    fn remaining_work(&self, now: Instant, index: usize, in_flight: u32, mean_s: f64) -> Vec<f64> {
        if in_flight == 0 {
            return Vec::new();
        }
        let row = &self.rows[index];
        let own = row.own_in_flight;
        let mut remaining = Vec::new();
        // Requests whose work is not known by a reservation or a report.
        let mut others = in_flight.saturating_sub(own).min(MAX_CONSIDERED);
        let peer_reports = self.peer_reports.iter().filter(|_| own < in_flight);
        for report in peer_reports {
            let (Some(count), Some(millis)) = (
                entry(&report.in_flight, row.id),
                entry(&report.work_ms, row.id),
            ) else {
                continue;
            };
            let each_s = f64::from(millis) / 1_000.0 / f64::from(count.max(1));
            let considered = count.min(others);
            others -= considered;
            remaining.extend(repeated(each_s, considered));
        }
        let reserved = u32::try_from(row.reservations.len()).unwrap_or(u32::MAX);
        let without_work = own.saturating_sub(reserved).min(MAX_CONSIDERED);
        remaining.extend(repeated(mean_s, others + without_work));
        let own_remaining = row.reservations.iter();
        remaining.extend(own_remaining.map(|reservation| reservation.remaining_s(now)));
        remaining
    }

    /// Returns the service time of the upstream at `index` relative to the usual one.
    fn speed_factor(&self, now: Instant, index: usize) -> f64 {
        let row = &self.rows[index];
        row.latency_factor * row.service_time_factor(now)
    }
}

fn repeated(work_s: f64, count: u32) -> impl Iterator<Item = f64> {
    std::iter::repeat_n(work_s, usize::try_from(count).unwrap_or(0))
}

fn own_work_s(now: Instant, reservations: &[Reservation]) -> f64 {
    let remaining = reservations.iter();
    remaining
        .map(|reservation| reservation.remaining_s(now))
        .sum()
}

/// Returns the second number of the pair with this first one, in pairs sorted by it.
fn entry(pairs: &[(u32, u32)], id: u32) -> Option<u32> {
    let position = pairs.binary_search_by_key(&id, |pair| pair.0);
    position.ok().map(|position| pairs[position].1)
}

fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Returns seconds as whole milliseconds, rounded up.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is clamped to the range of the type"
)]
fn whole_millis(seconds: f64) -> u32 {
    (seconds * 1_000.0).ceil().clamp(0.0, f64::from(u32::MAX)) as u32
}
