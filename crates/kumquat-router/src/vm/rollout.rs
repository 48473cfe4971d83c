//! The `rollout` module provides what a VM knows of the rollouts of services to other versions.

use std::rc::Rc;
use std::sync::Arc;

use kumquat_coordination::fleet::rollout::{
    Observation, Order, Record, RouteCounts, Side, Situation, WHOLE,
};
use kumquat_coordination::fleet::{AttemptOutcome, Member, UpstreamInstance};
use kumquat_state::clock::{self, Instant};
use slog::{info, warn};

use super::state::State;
use super::{Vm, short_id};

impl Vm {
    /// Sets the order for a service, or withdraws it.
    pub fn set_rollout_order(self: &Rc<Self>, service: &str, order: Option<Order>) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        if !state.table.set_rollout_order(now, service, order.clone()) {
            return;
        }
        drop(state);
        match order {
            Some(order) => {
                info!(self.log, "rollout ordered"; "service" => service, "target" => &*order.target,
                "order" => order.revision, "duration_ms" => u64::try_from(order.duration.as_millis()).unwrap_or(u64::MAX));
            }
            None => info!(self.log, "rollout order withdrawn"; "service" => service),
        }
        self.dispatch_queued();
    }

    /// Sets the state of a service's rollout as read from the store, unless a later one is known.
    pub fn set_rollout_record(self: &Rc<Self>, service: &str, record: &Record) {
        let mut state = self.state.borrow_mut();
        if !state.table.gates_mut().set_record(service, record.clone()) {
            return;
        }
        drop(state);
        info!(self.log, "rollout step in force"; "service" => service, "target" => &*record.target,
            "order" => record.order, "state" => %record.phase, "share_permille" => record.share);
        let phase = record.phase.to_string();
        let counter = &self.metrics.rollout.steps;
        counter.with_label_values(&[&phase]).inc();
        self.dispatch_queued();
    }

    /// Records that this VM has read all changes of the store up to now.
    pub fn record_store_read(&self) {
        let mut state = self.state.borrow_mut();
        state.table.gates_mut().set_store_read(clock::now());
    }

    /// Returns the services that have or had an order.
    #[must_use]
    pub fn rollout_services(&self) -> Vec<Arc<str>> {
        let state = self.state.borrow();
        state.table.gates().services().cloned().collect()
    }

    /// Returns the order for a service and when this VM learned of it.
    #[must_use]
    pub fn rollout_order(&self, service: &str) -> Option<(Order, Instant)> {
        self.state.borrow().table.gates().order(service).cloned()
    }

    /// Returns the state of a service's latest rollout.
    #[must_use]
    pub fn rollout_record(&self, service: &str) -> Option<Record> {
        self.state.borrow().table.gates().record(service).cloned()
    }

    /// Returns whether an upstream is of a version that is being rolled out and has no verdict yet.
    #[must_use]
    pub fn is_on_trial(&self, upstream: &UpstreamInstance) -> bool {
        let state = self.state.borrow();
        let gates = state.table.gates();
        gates.is_on_trial(&upstream.service, &upstream.version)
    }

    /// Counts the outcome of a request to a route for the comparison of versions.
    pub(super) fn record_version_outcome(
        &self,
        upstream: &UpstreamInstance,
        route: u32,
        outcome: AttemptOutcome,
    ) {
        let mut state = self.state.borrow_mut();
        let side = state
            .table
            .gates()
            .side(&upstream.service, &upstream.version);
        let Some(side) = side else {
            return;
        };
        let fault = state
            .table
            .record_version_outcome(clock::now(), upstream, route, outcome);
        drop(state);
        let side = match side {
            Side::Old => "old",
            Side::New => "new",
        };
        let outcome = match outcome {
            AttemptOutcome::Completed { .. } => "answer",
            AttemptOutcome::Failed { .. } | AttemptOutcome::MalformedResponse => "failure",
            AttemptOutcome::Shed
            | AttemptOutcome::Unreachable
            | AttemptOutcome::CallerDisconnected => "not_counted",
        };
        let counter = &self.metrics.rollout.responses;
        counter.with_label_values(&[side, outcome]).inc();
        if let Some(fault) = fault {
            warn!(self.log, "new version stopped on this VM"; "service" => &*upstream.service,
                "target" => &*upstream.version, "fault" => ?fault);
            self.metrics.rollout.stops.inc();
        }
    }

    /// Returns what this VM has counted for the rollouts without a verdict.
    #[must_use]
    pub fn rollout_observations(&self) -> Vec<Observation> {
        let state = self.state.borrow();
        state.table.rollout_observations(clock::now(), short_id)
    }

    /// Records what the VM process `sender` has counted; only the coordinator is told.
    pub fn record_rollout_observation(&self, sender: u64, observation: Observation) {
        let mut state = self.state.borrow_mut();
        state.rollout_evidence.record(sender, observation);
    }

    /// Returns the counts of all VMs since an order.
    #[must_use]
    pub fn rollout_totals(&self, service: &str, order: u64) -> Vec<RouteCounts> {
        let state = self.state.borrow();
        state.rollout_evidence.totals(short_id(service), order)
    }

    /// Forgets the counts of a service whose rollout has ended.
    pub fn forget_rollout_evidence(&self, service: &str) {
        let mut state = self.state.borrow_mut();
        state.rollout_evidence.forget(short_id(service));
    }

    /// Returns what this VM, as the coordinator, knows of a service's upstreams and of the other VMs.
    #[must_use]
    pub fn rollout_situation(&self, service: &str, order: u64) -> Situation {
        let state = self.state.borrow();
        let (has_target, has_old) = state.table.rollout_sides(service);
        let mut senders = vec![self.identity.incarnation];
        senders.extend(state.peers.iter().map(|peer| peer.incarnation));
        let evidence = &state.rollout_evidence;
        let is_settled = evidence.is_settled(short_id(service), order, WHOLE, &senders)
            && has_moved_keys(&state, service);
        Situation {
            has_target,
            has_old,
            is_settled,
        }
    }

    /// Limits the keys that upstreams of a service's new version may own to the share of the rollout.
    pub fn limit_rollout_members(&self, now: Instant, service: &str, members: &mut [Member]) {
        let state = self.state.borrow();
        let Some(share) = state.table.gates().share(now, service) else {
            return;
        };
        let is_new: Vec<bool> = members
            .iter()
            .map(|member| is_on_new_side(&state, service, &member.holder.name))
            .collect();
        let capacity = |of_new: bool| -> f64 {
            let members = members.iter().zip(&is_new);
            let members = members.filter(|(member, is_new)| member.may_own && **is_new == of_new);
            members.map(|(member, _)| member.capacity).sum()
        };
        let (old, new) = (capacity(false), capacity(true));
        // Upstreams of one side only own all keys, so that the service is not interrupted.
        if old <= 0.0 || new <= 0.0 {
            return;
        }
        let share = f64::from(share) / f64::from(WHOLE);
        if share >= 1.0 {
            for (member, is_new) in members.iter_mut().zip(is_new) {
                member.may_own &= is_new;
            }
            return;
        }
        // Few upstreams with the load of the old ones get enough requests to be judged.
        let mut remaining = share / (1.0 - share) * old;
        let new = members.iter_mut().zip(is_new).filter(|(_, is_new)| *is_new);
        for (member, _) in new.filter(|(member, _)| member.may_own) {
            member.capacity = member.capacity.min(remaining);
            remaining -= member.capacity;
            member.may_own = member.capacity > 0.0;
        }
    }
}

/// Returns whether all keys of a service are owned by upstreams of the new version; true for a service without keys.
fn has_moved_keys(state: &State, service: &str) -> bool {
    let Some(map) = state.ownership_map(service) else {
        return true;
    };
    map.ranges.iter().all(|range| {
        range.previous_owners.is_empty() && is_on_new_side(state, service, &range.owner.name)
    })
}

fn is_on_new_side(state: &State, service: &str, upstream: &str) -> bool {
    let mut upstreams = state.table.upstreams();
    let found = upstreams.find(|other| &*other.name == upstream);
    found.is_some_and(|upstream| {
        state.table.gates().side(service, &upstream.version) == Some(Side::New)
    })
}
