//! The `balance` module provides the choice of a dispatch group for a request of a pool service, at the entry.
//!
//! The expected wait comes from the last load report of each group, which travels with its answers, and from the
//! entry's own requests since then. See `docs/design.md`, section 5, step 3.

use std::time::Duration;

use kumquat_state::bundle::Class;
use kumquat_state::clock::Instant;
use kumquat_state::ident;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Load of a dispatch group, as its VM reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Time of the report; the entry replaces it with its own time of receipt.
    pub reported_at: Instant,
    /// Urgent requests that wait.
    pub urgent: u32,
    /// Ordinary requests that wait; the longest team counts no more than all others together.
    pub ordinary: u32,
    /// Attempts that run.
    pub running: u32,
    /// Attempts that may run at once now.
    pub slots: u32,
    /// Mean time that one attempt takes.
    pub service_time: Duration,
}

/// Tunable values of the choice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Groups that are compared for one request; comparing all of them makes the entries choose alike.
    pub compared_groups: usize,
    /// Difference in expected time up to which the own data centre is preferred.
    pub local_preference: Duration,
    /// Time after which a report counts half, so that a group that was busy long ago is tried again.
    pub half_life: Duration,
    /// Time for which a group that has just failed is avoided.
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

/// A dispatch group that may answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Data centre of the group.
    pub data_centre: ident::DataCentre,
    /// Time of one network round trip to it.
    pub round_trip: Duration,
}

#[derive(Clone, Debug)]
struct Peer {
    candidate: Candidate,
    load: Load,
    /// Requests of this entry, per class, that the last report can't include yet.
    sent_since: [u32; 2],
    /// Requests of this entry, per class, without an end yet.
    in_flight: [u32; 2],
    failed: Option<Instant>,
}

/// The choice among the dispatch groups of one pool service.
#[derive(Clone, Debug)]
pub struct GroupBalancer {
    options: Options,
    own: ident::DataCentre,
    /// Sorted by data centre.
    peers: Vec<Peer>,
    rng: SmallRng,
}

impl GroupBalancer {
    /// Creates a balance without groups for an entry in data centre `own`.
    #[must_use]
    pub fn new(own: ident::DataCentre, options: Options, seed: u64) -> Self {
        Self {
            options,
            own,
            peers: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the groups; what is known about those that stay is kept.
    pub fn set_groups(&mut self, candidates: &[Candidate]) {
        let mut peers: Vec<Peer> = candidates
            .iter()
            .map(|candidate| match self.find(&candidate.data_centre) {
                Some(index) => Peer {
                    candidate: candidate.clone(),
                    ..self.peers[index].clone()
                },
                None => Peer {
                    candidate: candidate.clone(),
                    load: Load::default(),
                    sent_since: [0; 2],
                    in_flight: [0; 2],
                    failed: None,
                },
            })
            .collect();
        peers.sort_by(|a, b| a.candidate.data_centre.cmp(&b.candidate.data_centre));
        self.peers = peers;
    }

    /// Chooses a group for one request and counts the request as in flight there.
    pub fn choose(&mut self, now: Instant, class: Class) -> Option<ident::DataCentre> {
        let avoid = self.options.avoid_after_failure;
        let fresh = |peer: &Peer| {
            peer.failed
                .is_none_or(|failed| now.saturating_since(failed) >= avoid)
        };
        let eligible = self.peers.iter().filter(|peer| fresh(peer)).count();
        // If all groups have failed, the choice is among all of them.
        let all = eligible == 0;
        let count = if all { self.peers.len() } else { eligible };
        if count == 0 {
            return None;
        }
        // A random subset of fixed size is compared, drawn by position among the eligible groups.
        let choices = self.options.compared_groups.clamp(1, count);
        let (mut left, mut wanted) = (count, choices);
        let mut best: Option<(Duration, usize)> = None;
        for index in 0..self.peers.len() {
            if !all && !fresh(&self.peers[index]) {
                continue;
            }
            let is_drawn = self.rng.random_range(0..left) < wanted;
            left -= 1;
            if !is_drawn {
                continue;
            }
            wanted -= 1;
            let cost = self.cost(now, class, index);
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, index));
            }
        }
        let (_, index) = best?;
        let peer = &mut self.peers[index];
        peer.sent_since[lane(class)] += 1;
        peer.in_flight[lane(class)] += 1;
        Some(peer.candidate.data_centre.clone())
    }

    /// Returns the time that a request to a group is expected to take, with the bonus of the own data centre.
    fn cost(&self, now: Instant, class: Class, index: usize) -> Duration {
        let peer = &self.peers[index];
        let expected = peer.candidate.round_trip + wait(peer, now, class, self.options.half_life);
        if peer.candidate.data_centre == self.own {
            expected
        } else {
            expected + self.options.local_preference
        }
    }

    /// Reports the end of a request, with the group's load report if the answer carried one.
    pub fn on_response(
        &mut self,
        now: Instant,
        group: &ident::DataCentre,
        class: Class,
        load: Option<Load>,
    ) {
        let Some(index) = self.find(group) else {
            return;
        };
        let peer = &mut self.peers[index];
        let in_flight = &mut peer.in_flight[lane(class)];
        *in_flight = in_flight.saturating_sub(1);
        if let Some(load) = load {
            peer.load = Load {
                reported_at: now,
                ..load
            };
            peer.sent_since = [0; 2];
            peer.failed = None;
        }
    }

    /// Reports that a request failed because the group's VM was out of reach or did not act for it.
    pub fn on_failure(&mut self, now: Instant, group: &ident::DataCentre, class: Class) {
        let Some(index) = self.find(group) else {
            return;
        };
        let peer = &mut self.peers[index];
        let in_flight = &mut peer.in_flight[lane(class)];
        *in_flight = in_flight.saturating_sub(1);
        peer.failed = Some(now);
    }

    fn find(&self, group: &ident::DataCentre) -> Option<usize> {
        self.peers
            .binary_search_by(|peer| peer.candidate.data_centre.cmp(group))
            .ok()
    }
}

/// Returns the expected time in the queue and in the upstream.
fn wait(peer: &Peer, now: Instant, class: Class, half_life: Duration) -> Duration {
    let load = &peer.load;
    let age = now.saturating_since(load.reported_at).as_secs_f64() / half_life.as_secs_f64();
    // Ordinary requests don't delay urgent ones.
    let (waiting, sent_since, in_flight) = match class {
        Class::Urgent => (load.urgent, peer.sent_since[0], peer.in_flight[0]),
        Class::Ordinary => (
            load.urgent + load.ordinary,
            peer.sent_since[0] + peer.sent_since[1],
            peer.in_flight[0] + peer.in_flight[1],
        ),
    };
    let faded = f64::from(waiting + load.running) * (-age).exp2();
    let known = f64::from(in_flight.saturating_sub(sent_since));
    let ahead = faded.max(known) + f64::from(sent_since);
    let slots = f64::from(load.slots.max(1));
    let excess = (ahead + 1.0 - slots).max(0.0) / slots;
    load.service_time.mul_f64(1.0 + excess)
}

fn lane(class: Class) -> usize {
    match class {
        Class::Urgent => 0,
        Class::Ordinary => 1,
    }
}
