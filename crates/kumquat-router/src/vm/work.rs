//! The `work` module provides the expected cost of requests, and what a VM learns from their completion.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    AttemptOutcome, Cost, CostRouting, RequestKind, RequestWork, UpstreamInstance, UpstreamLoad,
    observed_work_s,
};
use kumquat_state::clock::{self, Instant};
use slog::info;

use super::Vm;
use super::state::State;
use crate::config::{Config, Route};

/// Maximum number of upstreams in a report whose outstanding work it names; of further ones the peers use the count.
const MAX_REPORTED_UPSTREAMS: usize = 128;

/// What has to be recorded when a request at an upstream ends.
#[derive(Clone, Copy, Debug)]
pub(super) struct PlacedWork {
    /// Identifies the request in the upstream table.
    pub(super) id: u64,
    pub(super) cost: Cost,
    /// When the request was sent, if it was.
    pub(super) sent_at: Option<Instant>,
}

impl Vm {
    /// Sets whether requests are routed by their expected cost.
    pub fn set_cost_routing(&self, cost_routing: CostRouting) {
        self.state.borrow_mut().cost_routing = cost_routing;
    }

    /// Returns the expected cost of a request with this path and body, or `None` if none is learned.
    #[must_use]
    pub fn request_cost(
        &self,
        route: &Route,
        service: &Arc<str>,
        path: &str,
        body_bytes: usize,
    ) -> Option<Cost> {
        let default_s = self.mean_latency(route).as_secs_f64();
        let mut state = self.state.borrow_mut();
        match state.cost_routing {
            CostRouting::Off => return None,
            CostRouting::On if state.table.mean_work_s(service).is_none() => {
                self.update_cost_routing(&mut state, service, default_s);
            }
            CostRouting::On | CostRouting::Auto => {}
        }
        let path = path.strip_prefix(&*route.path_prefix).unwrap_or(path);
        let kind = RequestKind::new(&route.name, path, body_bytes);
        Some(state.cost_model.cost(kind, default_s))
    }

    /// Returns the latency to which that of a request is compared: the route's mean, and if the service is routed by
    /// cost, in proportion to the expected work.
    ///
    /// Otherwise an upstream that happened to execute expensive requests would be taken for a slow one.
    #[must_use]
    pub fn usual_latency(&self, route: &Route, service: &str, cost: Option<Cost>) -> Duration {
        let mean = self.mean_latency(route);
        let state = self.state.borrow();
        let cost = cost.filter(|_| state.table.mean_work_s(service).is_some());
        let route_mean_s = cost.and_then(|cost| state.cost_model.route_mean_s(cost.kind));
        match (cost, route_mean_s) {
            (Some(cost), Some(route_mean_s)) => mean.mul_f64(cost.work_s / route_mean_s),
            _ => mean,
        }
    }

    /// Removes the work of a request that has ended at an upstream, and learns from it if its latency says something.
    pub(super) fn finish_work(
        &self,
        state: &mut State,
        upstream: &UpstreamInstance,
        work: PlacedWork,
        outcome: AttemptOutcome,
        load: Option<UpstreamLoad>,
    ) {
        let (name, incarnation) = (&upstream.name, upstream.incarnation);
        let finished = state.table.finish_work(name, incarnation, work.id);
        let (Some(finished), Some(sent_at)) = (finished, work.sent_at) else {
            return;
        };
        let speed_factor = load.map_or(finished.speed_factor, |load| {
            finished.latency_factor * load.service_time_factor
        });
        let latency = clock::now().saturating_since(sent_at);
        let work_s = observed_work_s(latency.as_secs_f64(), finished.queue_s, speed_factor);
        let says_something = match outcome {
            AttemptOutcome::Completed { .. } => true,
            // After a timeout the work is at least this. Without it, requests that never end in time would count as cheap.
            AttemptOutcome::Failed {
                relative_latency: Some(_),
            } => work_s > work.cost.work_s,
            _ => false,
        };
        if !says_something {
            return;
        }
        self.metrics.work.ratio.observe(work_s / work.cost.work_s);
        let service = &upstream.service;
        state.cost_model.record(service, work.cost.kind, work_s);
        self.update_cost_routing(state, service, work.cost.work_s);
    }

    /// Routes a service by cost or by count, as the setting and the samples of its work say.
    ///
    /// `default_s` is the mean work of its requests as long as there are too few samples.
    fn update_cost_routing(&self, state: &mut State, service: &Arc<str>, default_s: f64) {
        let is_by_cost = match state.cost_routing {
            CostRouting::On => true,
            CostRouting::Off => false,
            CostRouting::Auto => state.cost_model.is_varied(service),
        };
        let mean_s = state.cost_model.service_mean_s(service);
        let mean_s = is_by_cost.then(|| mean_s.unwrap_or(default_s));
        if state.table.set_mean_work(service, mean_s) {
            let by = if is_by_cost { "cost" } else { "count" };
            info!(self.log, "routing of a service changed"; "service" => &**service, "by" => by,
                "mean_work_ms" => mean_s.map(|mean_s| mean_s * 1_000.0));
        }
    }

    /// Returns the outstanding work of this VM's requests in milliseconds by the upstreams' short ids, for the report to
    /// the peers; empty if requests are not routed by cost.
    #[must_use]
    pub fn outstanding_work(&self) -> Vec<(u32, u32)> {
        let state = self.state.borrow();
        if state.cost_routing == CostRouting::Off {
            return Vec::new();
        }
        let now = clock::now();
        state.table.own_work_ms(now, MAX_REPORTED_UPSTREAMS)
    }

    /// Updates the metrics of outstanding work; called regularly.
    pub(super) fn update_work_metrics(&self) {
        let state = self.state.borrow();
        if state.cost_routing == CostRouting::Off {
            return;
        }
        let gauge = &self.metrics.work.outstanding;
        gauge.reset();
        for (service, work_s) in state.table.own_work_by_service(clock::now()) {
            gauge.with_label_values(&[&*service]).set(work_s);
        }
        let services = state.table.cost_routed_services();
        let services = i64::try_from(services).unwrap_or(i64::MAX);
        self.metrics.work.cost_routed_services.set(services);
    }
}

impl State {
    /// Returns the work of a request under a new id, if its cost is known.
    pub(super) fn next_work(&mut self, cost: Option<Cost>) -> Option<RequestWork> {
        let cost = cost?;
        self.next_work_id += 1;
        Some(RequestWork {
            id: self.next_work_id,
            work_s: cost.work_s,
        })
    }

    /// Returns the expected work in seconds of the queued requests of a service that a new one of this priority would
    /// wait behind, if the service is routed by cost.
    pub(super) fn queued_work_s(&self, service: &Arc<str>, priority: u32) -> Option<f64> {
        let mean_s = self.table.mean_work_s(service)?;
        let ahead = self
            .waiters
            .iter()
            .filter(|waiter| waiter.priority <= priority && waiter.target.service == *service);
        Some(
            ahead
                .map(|waiter| waiter.cost.map_or(mean_s, |cost| cost.work_s))
                .sum(),
        )
    }

    /// Removes what was learned of routes and services that the desired state no longer contains.
    pub(super) fn retain_costs(&mut self, config: &Rc<Config>) {
        let routes: Vec<&str> = config.routes.iter().map(|route| &*route.name).collect();
        let is_service = |name: &str| config.service(name).is_some();
        self.cost_model.retain(&routes, is_service);
        self.table.retain_mean_works(is_service);
    }
}
