//! The `baseline` module provides the two policies that the dispatch group is compared with.
//!
//! They have no dispatch groups, so the group of an event is the index of the entry.

use rand::RngExt;

use super::event::{Event, LOCAL_ONE_WAY_US, SentAttempt, one_way_us};
use super::model::{DATA_CENTRES, ENTRIES, Policy};
use super::sim::Simulation;

/// Time between two rebalances of the leases.
pub const LEASE_PERIOD_US: u64 = 100_000;

/// A slot of an upstream that only one entry may use, for [`Policy::SlotLeases`].
#[derive(Clone, Copy, Debug)]
pub struct Lease {
    pub upstream: usize,
    pub entry: usize,
    pub is_busy: bool,
}

impl Simulation<'_> {
    pub fn baseline_answer(&mut self, request: usize, is_answered: bool) {
        self.on_result(request, 0, is_answered, 0);
    }

    pub fn baseline_send(&mut self, request: usize, upstream: usize) {
        let entry = self.requests[request].entry;
        let attempt = request as u64;
        self.report.attempts += u64::from(self.is_measured(request));
        self.sent_attempts[entry].push(SentAttempt {
            attempt,
            request,
            upstream,
            sent_at_us: self.now_us,
        });
        let round_trip_us =
            2 * one_way_us(self.config, entry % DATA_CENTRES, upstream % DATA_CENTRES)
                - LOCAL_ONE_WAY_US;
        let event = Event::AttemptAtUpstream {
            upstream,
            group: entry,
            attempt,
        };
        // The request is delayed by both directions, so that the response can take the same time as with the other
        // policies.
        self.schedule(self.now_us + round_trip_us, event);
    }

    pub fn send_with_two_choices(&mut self, request: usize) {
        let entry = self.requests[request].entry;
        let first = self.rng.random_range(0..self.config.upstreams);
        let second = self.rng.random_range(0..self.config.upstreams);
        let counts = &mut self.in_flight_counts[entry];
        let upstream = if counts[first] <= counts[second] {
            first
        } else {
            second
        };
        counts[upstream] += 1;
        self.baseline_send(request, upstream);
    }

    pub fn send_with_leases(&mut self, entry: usize) {
        let (now_us, requests) = (self.now_us, &self.requests);
        let before = self.queued[entry].len();
        self.queued[entry].retain(|request| requests[*request].deadline_us > now_us);
        let expired = before - self.queued[entry].len();
        self.report.refused += expired as u64;
        while !self.queued[entry].is_empty() {
            let free_lease = self
                .leases
                .iter_mut()
                .find(|lease| lease.entry == entry && !lease.is_busy);
            let Some(lease) = free_lease else {
                break;
            };
            lease.is_busy = true;
            let upstream = lease.upstream;
            let request = self.queued[entry].remove(0);
            self.baseline_send(request, upstream);
        }
    }

    pub fn rebalance_leases(&mut self) {
        self.schedule(self.now_us + LEASE_PERIOD_US, Event::RebalanceLeases);
        if self.config.policy != Policy::SlotLeases {
            return;
        }
        for index in 0..self.leases.len() {
            let lease = self.leases[index];
            let longest_queue_entry = (0..ENTRIES)
                .max_by_key(|entry| self.queued[*entry].len())
                .expect("an entry");
            if !lease.is_busy
                && self.queued[lease.entry].is_empty()
                && longest_queue_entry != lease.entry
            {
                self.leases[index].entry = longest_queue_entry;
                self.send_with_leases(longest_queue_entry);
            }
        }
    }
}
