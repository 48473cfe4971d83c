//! The `explain` module provides what a VM would do with a request now; it only reads the state.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Admission, Candidate, Cost, CostRouting, Fingerprint, OwnedRange, RateDecision, RequestKind,
    RequestWork, Selection, UpstreamTable,
};
use kumquat_state::clock;

use super::helpers::max_offer_age;
use super::state::State;
use super::{QueueParams, SlotError, Target, Vm, short_id};
use crate::config::Route;

/// Where a request would be placed now.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    /// Range of the request's key in the ownership map, and whether its owner can have been granted it.
    pub(crate) range: Option<(OwnedRange, bool)>,
    /// All upstreams of the service, by name.
    pub(crate) candidates: Vec<Candidate>,
    /// Upstream to which the request would be sent at once.
    pub(crate) selected: Option<Arc<str>>,
    /// Requests in this VM's queue ahead of it.
    pub(crate) ahead: usize,
    /// Expected wait until it is sent, or could be.
    pub(crate) wait: Duration,
    /// Why it would neither be sent nor queued.
    pub(crate) error: Option<SlotError>,
}

impl Vm {
    /// Returns the expected cost of a request as [`Vm::request_cost`] does, but changes nothing.
    pub(crate) fn estimate_cost(
        &self,
        route: &Route,
        path: &str,
        body_bytes: usize,
    ) -> Option<Cost> {
        let default_s = self.mean_latency(route).as_secs_f64();
        let state = self.state.borrow();
        if state.cost_routing == CostRouting::Off {
            return None;
        }
        let path = path.strip_prefix(&*route.path_prefix).unwrap_or(path);
        let kind = RequestKind::new(&route.name, path, body_bytes);
        Some(state.cost_model.cost(kind, default_s))
    }

    /// Returns whether the requests of a service are routed by their expected cost.
    pub(crate) fn is_cost_routed(&self, service: &str) -> bool {
        let state = self.state.borrow();
        state.cost_routing == CostRouting::On || state.table.mean_work_s(service).is_some()
    }

    /// Returns the time until a request may be sent whose content is under suspicion, if it would be refused now.
    pub(crate) fn preview_quarantine(
        &self,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Option<Duration> {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            return None;
        }
        let mut copy = state.quarantine.clone();
        match copy.admit(clock::now(), fingerprint(), 0.0) {
            Admission::Refused { wait } => Some(wait),
            Admission::Allowed | Admission::Trial => None,
        }
    }

    /// Returns whether a team's rate allows a request now.
    pub(crate) fn preview_team_rate(&self, team: &str) -> RateDecision {
        let state = self.state.borrow();
        let mut copy = state.rate_limiter.clone();
        copy.try_acquire(clock::now(), short_id(team))
    }

    /// Returns the address of a VM to which requests of a service could be forwarded, if there is one.
    pub(crate) fn preview_helper(&self, service: &str) -> Option<SocketAddr> {
        let state = self.state.borrow();
        let max_age = max_offer_age(state.peers.len() + 1);
        let mut copy = state.helpers.clone();
        let helper = copy.select(clock::now(), short_id(service), max_age, &[], || 0.0);
        helper.map(|helper| helper.address)
    }

    /// Returns where a request would be placed by [`Vm::acquire_slot`], but changes nothing.
    pub(crate) fn preview_placement(&self, target: &Target, params: QueueParams) -> Placement {
        let state = self.state.borrow();
        let now = clock::now();
        let work = params.cost.map(|cost| RequestWork {
            id: 0,
            work_s: cost.work_s,
        });
        let range = target.key.and_then(|key| {
            let range = state.ownership_map(&target.service)?.range(key)?;
            Some((range.clone(), state.has_grant(target, range)))
        });
        let ahead = state.queue.count_ahead(&target.service, params.priority);
        let table = state.table_for(&target.service, params.mean_latency);
        let selection = match (target.key, &range) {
            (None, _) if ahead > 0 => None,
            (None, _) => Some(table.preview(now, &target.service, work)),
            (Some(_), Some((range, true))) => {
                let owner = &range.owner;
                let selection = table.preview_owner(now, &owner.name, owner.incarnation, work);
                // The coordinator will assign another owner.
                Some(selection).filter(|selection| *selection != Selection::NoneEligible)
            }
            (Some(_), _) => None,
        };
        let compared = selection.as_ref().filter(|_| target.key.is_none());
        let candidates = table.candidates(now, &target.service, work, compared);
        let mut placement = Placement {
            range,
            candidates,
            selected: None,
            ahead,
            wait: Duration::ZERO,
            error: None,
        };
        match selection {
            Some(Selection::Selected(upstream)) => placement.selected = Some(upstream.name),
            Some(Selection::NoneEligible) => placement.error = Some(SlotError::NoUpstream),
            Some(Selection::OverLimit { upstream, wait }) => {
                placement.wait = wait;
                placement.error = Some(SlotError::OverLimit { upstream, wait });
            }
            busy @ (Some(Selection::Busy) | None) => {
                let mean = params.mean_latency;
                placement.wait = match target.key {
                    // A usable owner ends the wait for the expiry of an earlier grant.
                    Some(key) if busy.is_some() => state.usable_owner_wait(now, target, key, mean),
                    _ => {
                        let ahead_s = state.queued_work_s(&target.service, params.priority);
                        state.expected_wait(now, target, ahead, ahead_s, mean)
                    }
                };
                if params.is_too_long(now, placement.wait) {
                    let wait_s = placement.wait.as_secs_f64();
                    placement.error = Some(SlotError::Busy { wait_s });
                }
            }
        }
        placement
    }
}

impl State {
    /// Returns the table by which the next request of a service is placed.
    ///
    /// If all services are routed by cost, the first request of a service sets the mean work, here that of a copy.
    fn table_for(&self, service: &Arc<str>, mean_latency: Duration) -> Cow<'_, UpstreamTable> {
        let is_known = self.table.mean_work_s(service).is_some();
        if is_known || self.cost_routing != CostRouting::On {
            return Cow::Borrowed(&self.table);
        }
        let mean_s = self.cost_model.service_mean_s(service);
        let mut table = self.table.clone();
        table.set_mean_work(service, Some(mean_s.unwrap_or(mean_latency.as_secs_f64())));
        Cow::Owned(table)
    }
}
