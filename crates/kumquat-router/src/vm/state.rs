//! The `state` module provides what a VM knows, and the lookups and estimates over it.

use std::collections::VecDeque;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    OwnershipMap, RetryBudget, Selection, TeamRateLimiter, UpstreamInstance, UpstreamTable,
    WaitQueue, WeightedRoundRobin,
};
use kumquat_state::clock::Instant;
use rand::RngExt as _;
use tokio::sync::oneshot;

use super::place::{SlotPermit, Target};
use super::{DeploymentBounds, Peer, short_id};
use crate::config::Config;
use crate::sorted;

/// Longest time that a planned move of keys takes; keys that are longer without an owner wait for a grant to run out.
const MOVE_TIME: Duration = Duration::from_millis(400);

/// Time that keys without an owner are expected to be so, which is longer than callers wait.
const OWNERLESS_WAIT: Duration = Duration::from_secs(1);

#[derive(Debug, Default)]
pub(super) struct State {
    pub(super) config: Option<Rc<Config>>,
    pub(super) table: UpstreamTable,
    pub(super) rates: TeamRateLimiter,
    pub(super) budgets: Vec<(Arc<str>, RetryBudget)>,
    pub(super) splits: Vec<(String, WeightedRoundRobin)>,
    pub(super) means: Vec<(String, f64)>,
    pub(super) maps: Vec<(Arc<str>, OwnershipMap)>,
    pub(super) peers: Rc<[Peer]>,
    pub(super) leader: Option<String>,
    pub(super) waiting: WaitQueue,
    pub(super) waiters: Vec<Waiter>,
    pub(super) next_id: u64,
    pub(super) keys: Vec<(Arc<str>, u16)>,
    // Upstreams that have left the registry, the newest last.
    pub(super) departed: VecDeque<UpstreamInstance>,
    // Latencies relative to others, by the upstream's short id, for the coordinator.
    pub(super) latencies: Vec<(u32, f64)>,
    // Fencing tokens whose owners have their grants, by the service's short id.
    pub(super) settled: Vec<(u32, u64)>,
    pub(super) revision: u64,
    pub(super) seen_revision: u64,
    // Fencing tokens of ranges without an owner that can be used, by service, with the time since when.
    pub(super) ownerless: Vec<(Arc<str>, u64, Instant)>,
}

#[derive(Debug)]
pub(super) struct Waiter {
    pub(super) id: u64,
    pub(super) target: Target,
    pub(super) tried: Vec<Arc<str>>,
    pub(super) go: oneshot::Sender<SlotPermit>,
}

impl State {
    pub(super) fn upsert(&mut self, now: Instant, server: UpstreamInstance) {
        let rate = cold_rate(self.config.as_deref(), &server.service);
        self.table.upsert(now, server, rate);
    }

    /// Takes over what upstreams bear while cold by the desired state in force.
    pub(super) fn refresh_cold_rates(&mut self, now: Instant) {
        let config = self.config.as_deref();
        self.table
            .set_warmup_rates(now, |service| cold_rate(config, service));
    }

    pub(super) fn map(&self, service: &str) -> Option<&OwnershipMap> {
        sorted::get(&self.maps, service)
    }

    pub(super) fn pick(&mut self, now: Instant, target: &Target, tried: &[Arc<str>]) -> Selection {
        let Some(key) = target.key else {
            return self
                .table
                .select(now, &target.service, tried, || rand::rng().random());
        };
        match self.map(&target.service).and_then(|map| map.range(key)) {
            Some(range)
                if range.previous_owners.is_empty()
                    || self.is_settled(target, range.fencing_token) =>
            {
                let owner = range.owner.clone();
                let fence = range.fencing_token;
                let choice = self.table.select_owner(now, &owner.name, owner.incarnation);
                self.note_owner(now, target, fence, choice != Selection::NoneEligible);
                match choice {
                    // The coordinator will name another owner.
                    Selection::NoneEligible => Selection::Busy,
                    choice => choice,
                }
            }
            Some(range) => {
                let fence = range.fencing_token;
                self.note_owner(now, target, fence, false);
                Selection::Busy
            }
            None => Selection::Busy,
        }
    }

    /// Notes whether the owner of a range of keys can be used.
    fn note_owner(&mut self, now: Instant, target: &Target, fence: u64, is_usable: bool) {
        let find =
            |entry: &(Arc<str>, u64, Instant)| (&entry.0, entry.1).cmp(&(&target.service, fence));
        match self.ownerless.binary_search_by(find) {
            Ok(position) if is_usable => {
                self.ownerless.remove(position);
            }
            Err(position) if !is_usable => {
                let entry = (Arc::clone(&target.service), fence, now);
                self.ownerless.insert(position, entry);
            }
            _ => {}
        }
    }

    /// Returns whether the keys of a range have had no usable owner for longer than a move takes.
    fn is_ownerless(&self, now: Instant, target: &Target, key: u16) -> bool {
        let map = self.map(&target.service);
        let Some(range) = map.and_then(|map| map.range(key)) else {
            return false;
        };
        let find = |entry: &(Arc<str>, u64, Instant)| {
            (&entry.0, entry.1).cmp(&(&target.service, range.fencing_token))
        };
        let found = self.ownerless.binary_search_by(find);
        found.is_ok_and(|position| now.saturating_since(self.ownerless[position].2) > MOVE_TIME)
    }

    fn is_settled(&self, target: &Target, fence: u64) -> bool {
        let service = short_id(&target.service);
        self.settled.contains(&(service, fence))
    }

    /// Returns the owner of a key, if it has its grant.
    fn owner(&self, service: &str, key: u16) -> Option<Arc<str>> {
        let range = self.map(service)?.range(key)?;
        Some(Arc::clone(&range.owner.name))
    }

    /// Drops waiting requests whose keys' owner wants nothing until it is too late for them.
    pub(super) fn refuse_held_off(&mut self, name: &str, until: Instant) {
        let late = self
            .waiting
            .requests()
            .iter()
            .filter(|entry| entry.send_deadline < until);
        let late: Vec<u64> = late.map(|entry| entry.id).collect();
        let mut waiters = std::mem::take(&mut self.waiters);
        waiters.retain(|waiter| {
            let key = waiter.target.key;
            let owner = key.and_then(|key| self.owner(&waiter.target.service, key));
            let is_late = late.contains(&waiter.id) && owner.as_deref() == Some(name);
            if is_late {
                self.waiting.remove(waiter.id);
            }
            !is_late
        });
        self.waiters = waiters;
    }

    /// Returns the time after which a new request for a key can expect a place at the key's owner.
    fn expected_owner_wait(
        &self,
        now: Instant,
        target: &Target,
        key: u16,
        mean: Duration,
    ) -> Duration {
        if self.is_ownerless(now, target, key) {
            return OWNERLESS_WAIT;
        }
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
        let server = self.table.upstreams().find(|server| server.name == owner);
        let slots = server.map_or(1, |server| server.slots.max(1));
        let busy = self.table.in_flight_at(now, &owner);
        // Requests that wait at other VMs are not known; each VM gets its turn.
        let queued = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
        let queued = queued.saturating_add(busy.saturating_sub(slots));
        let slowness = self.table.latency_factor(&owner);
        let held_off = server.map_or(Duration::ZERO, |server| {
            now.until(self.table.backoff_until(&server.name, server.incarnation))
        });
        held_off + mean.mul_f64(f64::from(queued) * slowness / f64::from(slots))
    }

    /// Returns the time after which a new waiting request can expect a place, if this VM gets an equal part of the slots.
    pub(super) fn expected_wait(
        &self,
        now: Instant,
        target: &Target,
        ahead: usize,
        mean: Duration,
    ) -> Duration {
        if let Some(key) = target.key {
            return self.expected_owner_wait(now, target, key, mean);
        }
        let vms = u32::try_from(self.peers.len() + 1).unwrap_or(u32::MAX);
        let slots = f64::from(self.table.total_slots(&target.service).max(1)) / f64::from(vms);
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let held_off = self.table.remaining_backoff(now, &target.service);
        held_off + mean.mul_f64(f64::from(ahead) / slots)
    }

    pub(super) fn budget(
        &mut self,
        service: &Arc<str>,
        bounds: &DeploymentBounds,
    ) -> &mut RetryBudget {
        let vms = self.peers.len() + 1;
        sorted::get_or_insert_with(&mut self.budgets, &**service, || {
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

/// Returns what an upstream of a service bears while cold; without a limit it bears everything.
fn cold_rate(config: Option<&Config>, service: &str) -> f64 {
    let service = config.and_then(|config| config.service(service));
    let rate = service.map(|service| service.warmup_rate_per_s);
    rate.filter(|rate| *rate > 0.0).unwrap_or(f64::INFINITY)
}
