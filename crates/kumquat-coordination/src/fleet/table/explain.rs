//! The `explain` module provides the reasons for which an upstream can't take a request, and what would be selected now.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::{MAX_QUEUED_AT_UPSTREAM, RequestWork, Row, Selection, UpstreamInstance, UpstreamTable};

/// Why an upstream can't take a request now.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Obstacle {
    /// It is registered as shutting down or has announced its shutdown.
    Draining,
    /// Its version was rolled back.
    BarredVersion,
    /// Its data centre gets no requests.
    ClosedDataCentre,
    /// It has as many requests as it has slots and places in its queue.
    Full,
    /// It could not be reached or sent malformed responses.
    Ejected {
        /// Time until it is tried again.
        wait: Duration,
    },
    /// It has asked for a pause.
    BackingOff {
        /// Time until the end of the pause.
        wait: Duration,
    },
    /// This VM sends nothing to it during its warm-up, or has reached its share of the warm-up limit.
    WarmupLimit {
        /// Time until this VM may send a request.
        wait: Duration,
    },
    /// The request limit that it has announced is reached.
    RequestLimit {
        /// Time until the limit allows a request.
        wait: Duration,
    },
    /// The rollout of its service sends the request to another version, or to other upstreams of the same version.
    Rollout,
}

/// An upstream that was considered for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The upstream.
    pub upstream: UpstreamInstance,
    /// Requests of all VMs in flight there, as far as this VM knows.
    pub in_flight: u32,
    /// Expected response time relative to the usual one, without the random part.
    pub cost: f64,
    /// Why it can't take the request now, if it can't.
    pub obstacle: Option<Obstacle>,
}

impl UpstreamTable {
    /// Returns all upstreams of a service by name, as they are for a request with this work that is sent now.
    ///
    /// [`Obstacle::Rollout`] depends on `selection`, the result of the selection for that request; it is not considered
    /// if there is none.
    #[must_use]
    pub fn candidates(
        &self,
        now: Instant,
        service: &str,
        work: Option<RequestWork>,
        selection: Option<&Selection>,
    ) -> Vec<Candidate> {
        // The checks refill token buckets and take tokens, here those of a copy.
        let mut copy = self.clone();
        copy.expire_peer_reports(now);
        copy.request_work = work;
        let indices = 0..copy.rows.len();
        let of_service = indices.filter(|index| &*self.rows[*index].upstream.service == service);
        of_service
            .map(|index| copy.candidate(now, index, selection))
            .collect()
    }

    /// Selects an upstream as [`UpstreamTable::select_with_work`] does without noise, but changes nothing.
    ///
    /// Without noise all upstreams are compared, so that the selection is the best one by this VM's knowledge.
    #[must_use]
    pub fn preview(&self, now: Instant, service: &str, work: Option<RequestWork>) -> Selection {
        self.clone()
            .select_with_work(now, service, &[], work, || 0.0)
    }

    /// Selects the owner of a key as [`UpstreamTable::select_owner_with_work`] does, but changes nothing.
    #[must_use]
    pub fn preview_owner(
        &self,
        now: Instant,
        name: &str,
        incarnation: u64,
        work: Option<RequestWork>,
    ) -> Selection {
        self.clone()
            .select_owner_with_work(now, name, incarnation, work)
    }

    fn candidate(
        &mut self,
        now: Instant,
        index: usize,
        selection: Option<&Selection>,
    ) -> Candidate {
        let in_flight = self.total_in_flight(now, index);
        let excluded = self.exclusion(&self.rows[index]);
        let obstacle = excluded
            .or_else(|| self.obstacle(now, index, in_flight))
            .or_else(|| {
                let wait = self.try_acquire_request(now, index).err()?;
                Some(Obstacle::RequestLimit { wait })
            })
            .or_else(|| self.rollout_obstacle(index, selection?));
        Candidate {
            upstream: self.rows[index].upstream.clone(),
            in_flight,
            cost: self.total_cost(now, index, in_flight, 0.0),
            obstacle,
        }
    }

    /// Returns the obstacle of an upstream that can take requests but was left out of this selection by a rollout.
    fn rollout_obstacle(&self, index: usize, selection: &Selection) -> Option<Obstacle> {
        let upstream = &self.rows[index].upstream;
        let side = self.gates.side(&upstream.service, &upstream.version)?;
        let is_left_out = match selection {
            Selection::Selected(selected) => {
                self.gates.side(&selected.service, &selected.version) != Some(side)
            }
            Selection::Busy | Selection::OverLimit { .. } | Selection::NoneEligible => true,
        };
        is_left_out.then_some(Obstacle::Rollout)
    }

    /// Returns why an upstream gets no requests at all, regardless of its present load, if so.
    pub(super) fn exclusion(&self, row: &Row) -> Option<Obstacle> {
        let upstream = &row.upstream;
        let closed = &self.closed_data_centres;
        if upstream.is_draining || row.is_drain_announced {
            Some(Obstacle::Draining)
        } else if self.gates.is_barred(&upstream.service, &upstream.version) {
            Some(Obstacle::BarredVersion)
        } else if closed.binary_search(&upstream.data_centre).is_ok() {
            Some(Obstacle::ClosedDataCentre)
        } else {
            None
        }
    }

    /// Returns why an eligible upstream can't take a request now, regardless of its request limit, if so.
    pub(super) fn obstacle(
        &mut self,
        now: Instant,
        index: usize,
        in_flight: u32,
    ) -> Option<Obstacle> {
        let may_send_in_warmup = self.may_send_in_warmup(&self.rows[index]);
        let row = &mut self.rows[index];
        if row.ejected_until > now {
            let wait = now.until(row.ejected_until);
            return Some(Obstacle::Ejected { wait });
        }
        if row.backoff_until > now {
            let wait = now.until(row.backoff_until);
            return Some(Obstacle::BackingOff { wait });
        }
        if in_flight >= row.upstream.slots.saturating_add(MAX_QUEUED_AT_UPSTREAM) {
            return Some(Obstacle::Full);
        }
        if !row.is_warming_up(now) {
            return None;
        }
        let until_warm = now.until(row.warmup_until);
        if !may_send_in_warmup {
            return Some(Obstacle::WarmupLimit { wait: until_warm });
        }
        let wait_s = row.warmup_bucket.wait_at(now);
        let wait = Duration::try_from_secs_f64(wait_s).map_or(until_warm, |w| w.min(until_warm));
        (wait_s > 0.0).then_some(Obstacle::WarmupLimit { wait })
    }
}
