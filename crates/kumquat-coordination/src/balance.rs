//! The `balance` module provides the choice of a dispatch group for a request of a pool service, at the entry.
//!
//! The expected time comes from the latest load report of each group, which its responses carry, and from the requests
//! that this entry has sent since. See `docs/design.md`, section 5, step 3.

use std::time::Duration;

use kumquat_state::bundle::PriorityClass;
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Load of a dispatch group, as reported by the VM that acts for it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Time of the report; [`GroupBalancer::on_response`] replaces it by the time of receipt.
    pub reported_at: Instant,
    /// Number of urgent requests in the queue.
    pub urgent: u32,
    /// Number of ordinary requests in the queue; the team with the most of them counts no more than all others
    /// together.
    pub ordinary: u32,
    /// Number of attempts in flight at the upstreams.
    pub running: u32,
    /// Maximum number of concurrent attempts at present.
    pub slots: u32,
    /// Mean duration of an attempt.
    pub service_time: Duration,
}

/// Options of a [`GroupBalancer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Number of randomly drawn groups that are compared for a request.
    ///
    /// If all groups were compared, all entries would choose the same one.
    pub compared_groups: usize,
    /// Difference in expected time up to which the entry's own data centre is preferred.
    pub local_preference: Duration,
    /// Time after which a load report counts half, so that a group that was once busy gets requests again.
    pub half_life: Duration,
    /// Time for which a group gets no requests after a failure, unless all groups have failed.
    pub avoid_after_failure: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            compared_groups: 2,
            local_preference: Duration::from_micros(500),
            half_life: Duration::from_millis(200),
            avoid_after_failure: Duration::from_millis(500),
        }
    }
}

/// A dispatch group that can serve requests of the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Data centre of the group.
    pub data_centre: ident::DataCentre,
    /// Network round-trip time from the entry to the group.
    pub round_trip: Duration,
}

#[derive(Clone, Debug)]
struct GroupState {
    candidate: Candidate,
    load: Load,
    /// Number of requests by class that this entry has sent since the latest report, which can't include them.
    sent_since: [u32; 2],
    /// Number of this entry's requests in flight by class.
    in_flight: [u32; 2],
    failed_at: Option<Instant>,
}

/// Chooses among the dispatch groups of one pool service.
#[derive(Clone, Debug)]
pub struct GroupBalancer {
    options: Options,
    local_data_centre: ident::DataCentre,
    /// Sorted by data centre.
    groups: Vec<GroupState>,
    rng: SmallRng,
}

impl GroupBalancer {
    /// Creates a balancer without groups for an entry in the given data centre.
    #[must_use]
    pub fn new(local_data_centre: ident::DataCentre, options: Options, seed: u64) -> Self {
        Self {
            options,
            local_data_centre,
            groups: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the groups; the state of groups that remain is kept.
    pub fn set_groups(&mut self, candidates: &[Candidate]) {
        let mut groups: Vec<GroupState> = candidates
            .iter()
            .map(|candidate| match self.index_of(&candidate.data_centre) {
                Some(index) => GroupState {
                    candidate: candidate.clone(),
                    ..self.groups[index].clone()
                },
                None => GroupState {
                    candidate: candidate.clone(),
                    load: Load::default(),
                    sent_since: [0; 2],
                    in_flight: [0; 2],
                    failed_at: None,
                },
            })
            .collect();
        groups.sort_by(|a, b| a.candidate.data_centre.cmp(&b.candidate.data_centre));
        self.groups = groups;
    }

    /// Chooses a group for a request and counts the request as in flight there; returns none if there are no groups.
    ///
    /// The caller must report the end of the request with [`Self::on_response`] or [`Self::on_failure`].
    pub fn choose(&mut self, now: Instant, class: PriorityClass) -> Option<ident::DataCentre> {
        let avoid_after_failure = self.options.avoid_after_failure;
        let is_available = |group: &GroupState| {
            group
                .failed_at
                .is_none_or(|failed| now.saturating_since(failed) >= avoid_after_failure)
        };
        let available = self
            .groups
            .iter()
            .filter(|group| is_available(group))
            .count();
        // If all groups have failed recently, all of them are candidates.
        let use_all = available == 0;
        let count = if use_all {
            self.groups.len()
        } else {
            available
        };
        if count == 0 {
            return None;
        }
        // Selection sampling draws a random subset of fixed size from the available groups.
        let compared_groups = self.options.compared_groups.clamp(1, count);
        let (mut remaining, mut undrawn) = (count, compared_groups);
        let mut best: Option<(Duration, usize)> = None;
        for index in 0..self.groups.len() {
            if !use_all && !is_available(&self.groups[index]) {
                continue;
            }
            let is_drawn = self.rng.random_range(0..remaining) < undrawn;
            remaining -= 1;
            if !is_drawn {
                continue;
            }
            undrawn -= 1;
            let cost = self.expected_cost(now, class, index);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, index));
            }
        }
        let (_, index) = best?;
        let group = &mut self.groups[index];
        group.sent_since[class_index(class)] += 1;
        group.in_flight[class_index(class)] += 1;
        Some(group.candidate.data_centre.clone())
    }

    /// Returns the expected time of a request to a group, with a penalty for other data centres than the entry's own.
    fn expected_cost(&self, now: Instant, class: PriorityClass, index: usize) -> Duration {
        let group = &self.groups[index];
        let expected =
            group.candidate.round_trip + expected_time(group, now, class, self.options.half_life);
        if group.candidate.data_centre == self.local_data_centre {
            expected
        } else {
            expected + self.options.local_preference
        }
    }

    /// Records the end of a request, with the group's load report if the response carried one.
    pub fn on_response(
        &mut self,
        now: Instant,
        data_centre: &ident::DataCentre,
        class: PriorityClass,
        load: Option<Load>,
    ) {
        let Some(index) = self.index_of(data_centre) else {
            return;
        };
        let group = &mut self.groups[index];
        let in_flight = &mut group.in_flight[class_index(class)];
        *in_flight = in_flight.saturating_sub(1);
        if let Some(load) = load {
            group.load = Load {
                reported_at: now,
                ..load
            };
            group.sent_since = [0; 2];
            group.failed_at = None;
        }
    }

    /// Records that a request failed because the group's VM was unreachable or did not act for the group.
    pub fn on_failure(
        &mut self,
        now: Instant,
        data_centre: &ident::DataCentre,
        class: PriorityClass,
    ) {
        let Some(index) = self.index_of(data_centre) else {
            return;
        };
        let group = &mut self.groups[index];
        let in_flight = &mut group.in_flight[class_index(class)];
        *in_flight = in_flight.saturating_sub(1);
        group.failed_at = Some(now);
    }

    fn index_of(&self, data_centre: &ident::DataCentre) -> Option<usize> {
        self.groups
            .binary_search_by(|group| group.candidate.data_centre.cmp(data_centre))
            .ok()
    }
}

/// Returns the expected time of a request in the group's queue and at its upstream.
fn expected_time(
    group: &GroupState,
    now: Instant,
    class: PriorityClass,
    half_life: Duration,
) -> Duration {
    let load = &group.load;
    let half_lives = now.saturating_since(load.reported_at).as_secs_f64() / half_life.as_secs_f64();
    // Ordinary requests don't delay urgent ones.
    let (waiting, sent_since, in_flight) = match class {
        PriorityClass::Urgent => (load.urgent, group.sent_since[0], group.in_flight[0]),
        PriorityClass::Ordinary => (
            load.urgent + load.ordinary,
            group.sent_since[0] + group.sent_since[1],
            group.in_flight[0] + group.in_flight[1],
        ),
    };
    let decayed = f64::from(waiting + load.running) * (-half_lives).exp2();
    let sent_before = f64::from(in_flight.saturating_sub(sent_since));
    let ahead = decayed.max(sent_before) + f64::from(sent_since);
    let slots = f64::from(load.slots.max(1));
    let excess = (ahead + 1.0 - slots).max(0.0) / slots;
    load.service_time.mul_f64(1.0 + excess)
}

fn class_index(class: PriorityClass) -> usize {
    match class {
        PriorityClass::Urgent => 0,
        PriorityClass::Ordinary => 1,
    }
}
