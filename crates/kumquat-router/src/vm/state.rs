//! The `state` module provides the mutable state of a VM, with lookups and wait estimates over it.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::rollout::Evidence;
use kumquat_coordination::fleet::{
    Cost, CostModel, CostRouting, HelperTable, Membership, OwnedRange, OwnershipMap, PathMonitor,
    Peer, Quarantine, RateLimiter, RequestWork, RetryBudget, Selection, UpstreamInstance,
    UpstreamTable, WaitQueue, WeightedRoundRobin,
};
use kumquat_state::clock::Instant;
use rand::RngExt as _;
use tokio::sync::oneshot;

use super::place::{SlotError, SlotPermit, Target};
use super::{DeploymentBounds, short_id};
use crate::config::Config;
use crate::sorted;

/// Maximum duration of a planned handover of keys.
///
/// Keys without a usable owner for longer wait for a grant to expire.
const MAX_HANDOVER_TIME: Duration = Duration::from_millis(400);

/// Expected wait for keys whose last grant has to expire; it exceeds what callers wait, so they are refused at once.
const GRANT_EXPIRY_WAIT: Duration = Duration::from_secs(1);

/// Slots of a service that are assumed at least, so that the wait for one is finite.
const MIN_TOTAL_SLOTS: f64 = 0.01;

/// What the tasks of a process change; borrowed only between awaits.
#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) config: Option<Rc<Config>>,
    pub(super) table: UpstreamTable,
    pub(super) rate_limiter: RateLimiter,
    pub(super) retry_budgets: Vec<(Arc<str>, RetryBudget)>,
    pub(super) traffic_splits: Vec<(String, WeightedRoundRobin)>,
    // Moving averages of the latency in seconds, by route.
    pub(super) mean_latencies_s: Vec<(String, f64)>,
    // Longest recent latencies in seconds, by route.
    pub(super) peak_latencies_s: Vec<(String, f64)>,
    pub(super) ownership_maps: Vec<(Arc<str>, OwnershipMap)>,
    pub(super) membership: Membership,
    // The members; the allocation changes whenever the list does.
    pub(super) peers: Rc<[Peer]>,
    pub(super) coordinator: Option<String>,
    pub(super) queue: WaitQueue,
    pub(super) quarantine: Quarantine,
    // What the VMs have told this one of the versions of services while it was the coordinator.
    pub(super) rollout_evidence: Evidence,
    // What is known of the path to the upstreams of each service that has failed before, sorted by service.
    pub(super) paths: Vec<(Arc<str>, PathMonitor)>,
    pub(super) helpers: HelperTable,
    // Address at which this VM accepts requests of its peers; none until its listener is bound.
    pub(super) helper_address: Option<SocketAddr>,
    // One entry for each request in `queue`, in no order.
    pub(super) waiters: Vec<Waiter>,
    pub(super) next_waiter_id: u64,
    pub(super) cost_routing: CostRouting,
    pub(super) cost_model: CostModel,
    pub(super) next_work_id: u64,
    // Keys requested since the last report, by service.
    pub(super) requested_keys: Vec<(Arc<str>, u16)>,
    // Upstreams that were removed from the registry, the most recent last.
    pub(super) unregistered: VecDeque<UpstreamInstance>,
    // Latencies relative to the route's mean since the last report, by the short id of the upstream.
    pub(super) relative_latencies: Vec<(u32, f64)>,
    // Fencing tokens whose new owners have their grants, by the short id of the service.
    pub(super) handed_over_tokens: Vec<(u32, u64)>,
    // Revision up to which this VM has read the store.
    pub(super) store_revision: u64,
    // Highest store revision that a peer has reported.
    pub(super) peer_revision: u64,
    // Service and fencing token of each range without a usable owner, with the time since when; sorted.
    pub(super) unavailable_ranges: Vec<(Arc<str>, u64, Instant)>,
}

/// A queued request and the channel on which its task receives a permit.
#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: u64,
    pub(super) target: Target,
    pub(super) tried: Vec<Arc<str>>,
    pub(super) priority: u32,
    // Expected cost, if it is known.
    pub(super) cost: Option<Cost>,
    pub(super) permit_sender: oneshot::Sender<Result<SlotPermit, SlotError>>,
}

impl State {
    pub(super) fn upsert(&mut self, now: Instant, upstream: UpstreamInstance) {
        let warmup_rate = warmup_rate(self.config.as_deref(), &upstream.service);
        self.table.upsert(now, upstream, warmup_rate);
    }

    /// Applies the warm-up rates of the desired state in force.
    pub(super) fn refresh_warmup_rates(&mut self, now: Instant) {
        let config = self.config.as_deref();
        self.table
            .set_warmup_rates(now, |service| warmup_rate(config, service));
    }

    pub(super) fn ownership_map(&self, service: &str) -> Option<&OwnershipMap> {
        sorted::get(&self.ownership_maps, service)
    }

    /// Selects an upstream for a request: the owner of its key, or any upstream that has not been tried yet.
    pub(super) fn select(
        &mut self,
        now: Instant,
        target: &Target,
        tried: &[Arc<str>],
        work: Option<RequestWork>,
    ) -> Selection {
        let Some(key) = target.key else {
            return self
                .table
                .select_with_work(now, &target.service, tried, work, || rand::rng().random());
        };
        match self
            .ownership_map(&target.service)
            .and_then(|map| map.range(key))
        {
            Some(range) if self.has_grant(target, range) => {
                let owner = range.owner.clone();
                let token = range.fencing_token;
                let selection =
                    self.table
                        .select_owner_with_work(now, &owner.name, owner.incarnation, work);
                self.record_owner_availability(
                    now,
                    target,
                    token,
                    selection != Selection::NoneEligible,
                );
                match selection {
                    // The coordinator will assign another owner.
                    Selection::NoneEligible => Selection::Busy,
                    selection => selection,
                }
            }
            Some(range) => {
                let token = range.fencing_token;
                self.record_owner_availability(now, target, token, false);
                Selection::Busy
            }
            None => Selection::Busy,
        }
    }

    /// Records whether the owner of a range of keys is usable, and since when it is not.
    fn record_owner_availability(
        &mut self,
        now: Instant,
        target: &Target,
        token: u64,
        is_usable: bool,
    ) {
        let compare =
            |entry: &(Arc<str>, u64, Instant)| (&entry.0, entry.1).cmp(&(&target.service, token));
        match self.unavailable_ranges.binary_search_by(compare) {
            Ok(position) if is_usable => {
                self.unavailable_ranges.remove(position);
            }
            Err(position) if !is_usable => {
                let entry = (Arc::clone(&target.service), token, now);
                self.unavailable_ranges.insert(position, entry);
            }
            _ => {}
        }
    }

    /// Returns whether a key has had no usable owner for longer than a planned handover takes.
    fn awaits_grant_expiry(&self, now: Instant, target: &Target, key: u16) -> bool {
        let map = self.ownership_map(&target.service);
        let Some(range) = map.and_then(|map| map.range(key)) else {
            return false;
        };
        let compare = |entry: &(Arc<str>, u64, Instant)| {
            (&entry.0, entry.1).cmp(&(&target.service, range.fencing_token))
        };
        let found = self.unavailable_ranges.binary_search_by(compare);
        found.is_ok_and(|position| {
            now.saturating_since(self.unavailable_ranges[position].2) > MAX_HANDOVER_TIME
        })
    }

    /// Returns whether the key of a target has had no usable owner for longer than a planned handover takes.
    pub(super) fn is_owner_lost(&self, now: Instant, target: &Target) -> bool {
        let key = target.key;
        key.is_some_and(|key| self.awaits_grant_expiry(now, target, key))
    }

    /// Returns whether the owner of a range can have been granted its keys.
    pub(super) fn has_grant(&self, target: &Target, range: &OwnedRange) -> bool {
        range.previous_owners.is_empty() || self.is_handed_over(target, range.fencing_token)
    }

    fn is_handed_over(&self, target: &Target, token: u64) -> bool {
        let service = short_id(&target.service);
        self.handed_over_tokens.contains(&(service, token))
    }

    /// Returns the name of a key's owner in the ownership map, which may still wait for its grant.
    fn owner(&self, service: &str, key: u16) -> Option<Arc<str>> {
        let range = self.ownership_map(service)?.range(key)?;
        Some(Arc::clone(&range.owner.name))
    }

    /// Rejects queued requests for keys of the upstream `name` whose send deadline lies before the end of its backoff.
    ///
    /// Dropping a waiter closes its channel, which its task takes as a rejection.
    pub(super) fn reject_expiring_in_backoff(&mut self, name: &str, until: Instant) {
        let expiring = self
            .queue
            .requests()
            .iter()
            .filter(|entry| entry.send_deadline < until);
        let expiring: Vec<u64> = expiring.map(|entry| entry.id).collect();
        let mut waiters = std::mem::take(&mut self.waiters);
        waiters.retain(|waiter| {
            let key = waiter.target.key;
            let owner = key.and_then(|key| self.owner(&waiter.target.service, key));
            let is_rejected = expiring.contains(&waiter.id) && owner.as_deref() == Some(name);
            if is_rejected {
                self.queue.remove(waiter.id);
            }
            !is_rejected
        });
        self.waiters = waiters;
    }

    /// Estimates the wait of a new request for a slot at its key's owner.
    fn expected_owner_wait(
        &self,
        now: Instant,
        target: &Target,
        key: u16,
        mean_latency: Duration,
    ) -> Duration {
        if self.awaits_grant_expiry(now, target, key) {
            return GRANT_EXPIRY_WAIT;
        }
        self.usable_owner_wait(now, target, key, mean_latency)
    }

    /// Estimates the wait of a new request for a slot at its key's owner, if that can be used or soon will be.
    pub(super) fn usable_owner_wait(
        &self,
        now: Instant,
        target: &Target,
        key: u16,
        mean_latency: Duration,
    ) -> Duration {
        let Some(owner) = self.owner(&target.service, key) else {
            return Duration::ZERO;
        };
        let ahead = self.waiters.iter().filter(|waiter| {
            let key = waiter
                .target
                .key
                .filter(|_| waiter.target.service == target.service);
            key.and_then(|key| self.owner(&target.service, key))
                .as_ref()
                == Some(&owner)
        });
        let upstream = self
            .table
            .upstreams()
            .find(|upstream| upstream.name == owner);
        let slots = upstream.map_or(1, |upstream| upstream.slots.max(1));
        let in_flight = self.table.in_flight_at(now, &owner);
        // Requests queued at other VMs are unknown and not counted; each VM gets its turn at the owner.
        let mean_work_s = self.table.mean_work_s(&target.service);
        let work_of = |waiter: &Waiter| {
            let work_s = waiter.cost.map(|cost| cost.work_s);
            work_s.or(mean_work_s).unwrap_or_default()
        };
        let (waiting, waiting_work_s) = ahead.fold((0_u32, 0.0), |(count, work_s), waiter| {
            (count.saturating_add(1), work_s + work_of(waiter))
        });
        let queued = waiting.saturating_add(in_flight.saturating_sub(slots));
        let latency_factor = self.table.latency_factor(&owner);
        let backoff = upstream.map_or(Duration::ZERO, |upstream| {
            now.until(
                self.table
                    .backoff_until(&upstream.name, upstream.incarnation),
            )
        });
        let limit_wait = upstream.map_or(Duration::ZERO, |upstream| {
            self.table.limit_wait(upstream, queued)
        });
        let slot_wait = match self.table.slot_wait(now, &owner) {
            Some(slot_wait) => {
                let queue_wait_s = waiting_work_s * latency_factor / f64::from(slots);
                slot_wait.saturating_add(to_duration(queue_wait_s))
            }
            None => mean_latency.mul_f64(f64::from(queued) * latency_factor / f64::from(slots)),
        };
        backoff + slot_wait.max(limit_wait)
    }

    /// Estimates the wait of a new request behind `ahead` queued ones, if this VM gets an equal share of the slots.
    ///
    /// `ahead_work_s` is the expected work of those if the service is routed by cost.
    pub(super) fn expected_wait(
        &self,
        now: Instant,
        target: &Target,
        ahead: usize,
        ahead_work_s: Option<f64>,
        mean_latency: Duration,
    ) -> Duration {
        if let Some(key) = target.key {
            return self.expected_owner_wait(now, target, key, mean_latency);
        }
        let vms = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let slots = self.table.total_slots(&target.service, mean_latency);
        let slots = slots.max(MIN_TOTAL_SLOTS) / f64::from(vms);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let backoff = self.table.remaining_backoff(now, &target.service);
        let room_wait = self.table.room_wait(now, &target.service);
        if let (Some(room_wait), Some(ahead_work_s)) = (room_wait, ahead_work_s) {
            let queue_wait = to_duration(ahead_work_s / slots);
            return backoff.saturating_add(room_wait).saturating_add(queue_wait);
        }
        backoff + mean_latency.mul_f64(f64::from(ahead) / slots)
    }

    pub(super) fn retry_budget(
        &mut self,
        service: &Arc<str>,
        bounds: &DeploymentBounds,
    ) -> &mut RetryBudget {
        let vms = self.peers.len() + 1;
        sorted::get_or_insert_with(&mut self.retry_budgets, &**service, || {
            let budget = RetryBudget::new(
                bounds.retry_window,
                bounds.retry_ratio,
                bounds.retry_slack,
                vms,
            );
            (Arc::clone(service), budget)
        })
    }
}

/// Converts seconds to a duration; values that are no valid duration give the longest one.
fn to_duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

/// Returns the rate, in requests a second, that an upstream of a service may receive while it warms up.
///
/// Without a limit in the desired state it is unlimited.
fn warmup_rate(config: Option<&Config>, service: &str) -> f64 {
    let service = config.and_then(|config| config.service(service));
    let rate = service.map(|service| service.warmup_rate_per_s);
    rate.filter(|rate| *rate > 0.0).unwrap_or(f64::INFINITY)
}
