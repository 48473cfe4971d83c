//! Upstreams that own keys and a coordinator, in virtual time and with random faults.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Action, Coordinator, Era, GrantId, Holder, KeyRange, Member, OrderFailure, OwnershipMap,
    OwnershipTiming, max_hold_time,
};
use kumquat_state::clock::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

pub const STEP: Duration = Duration::from_millis(40);
const LEASE_DURATION: Duration = Duration::from_millis(2_700);

pub fn timing() -> OwnershipTiming {
    OwnershipTiming {
        grant_duration: Duration::from_secs(4),
        max_grant_duration: Duration::from_secs(10),
        renewal_interval: Duration::from_millis(1_200),
        rebalance_interval: Duration::from_millis(300),
    }
}

/// A simulated upstream with the grants that it holds, as keys, fencing token and expiry.
#[derive(Debug)]
pub struct Upstream {
    pub holder: Holder,
    // Incarnation in the registry, which learns of a restart later.
    registered_incarnation: u64,
    registers_at: Instant,
    pub is_up: bool,
    pub is_registered: bool,
    // Until when it neither receives nor answers anything.
    pub partitioned_until: Instant,
    // Whether connections are refused during the partition instead of timing out.
    pub refuses_in_partition: bool,
    grants: Vec<(KeyRange, u64, Instant)>,
    // Fencing tokens of all orders that arrived, with their keys.
    seen_tokens: Vec<(KeyRange, u64)>,
}

impl Upstream {
    fn has_seen_higher_token(&self, keys: &KeyRange, fencing_token: u64) -> bool {
        let overlaps =
            |other: &KeyRange| other.start() <= keys.end() && keys.start() <= other.end();
        self.seen_tokens
            .iter()
            .any(|(other, seen)| overlaps(other) && *seen > fencing_token)
    }

    fn grant(&mut self, keys: &KeyRange, fencing_token: u64, expiry: Instant) -> bool {
        if self.has_seen_higher_token(keys, fencing_token) {
            return false;
        }
        self.seen_tokens.push((keys.clone(), fencing_token));
        self.grants
            .retain(|(other, old, _)| *old != fencing_token || other != keys);
        self.grants.push((keys.clone(), fencing_token, expiry));
        true
    }

    fn release(&mut self, keys: &KeyRange, fencing_token: u64) {
        self.seen_tokens.push((keys.clone(), fencing_token));
        let mut remaining = Vec::new();
        for (held, old, expiry) in std::mem::take(&mut self.grants) {
            if old > fencing_token || held.end() < keys.start() || keys.end() < held.start() {
                remaining.push((held, old, expiry));
                continue;
            }
            if held.start() < keys.start() {
                remaining.push((*held.start()..=keys.start() - 1, old, expiry));
            }
            if keys.end() < held.end() {
                remaining.push((keys.end() + 1..=*held.end(), old, expiry));
            }
        }
        self.grants = remaining;
    }
}

/// Upstreams, the store's map and at most one coordinator, with random faults from a seed.
#[derive(Debug)]
pub struct Simulation {
    pub random: SmallRng,
    pub now: Instant,
    pub upstreams: Vec<Upstream>,
    pub map: OwnershipMap,
    coordinator: Option<(Coordinator, Instant)>,
    lease_free_since: Instant,
    // Orders that take effect later without an answer, as time of effect, time of arrival and order.
    //
    // A grant's duration counts from its arrival.
    pub delayed_orders: Vec<(Instant, Instant, Action)>,
    // Results of grants that reach the coordinator of the time later, which may be another one.
    late_results: Vec<(Instant, Holder, GrantId, Result<(), OrderFailure>)>,
    last_upstream_number: u64,
    pub commit_actions: u64,
    // All maps that the store acknowledged in its present era, with the time of the write.
    written_maps: Vec<(Instant, OwnershipMap)>,
    // A coordinator that has not noticed that the store came back from an older copy, and the end of its lease.
    stranded: Option<(Coordinator, Instant)>,
    era: Era,
    // When the present era began, if it isn't the first one.
    restored_at: Option<Instant>,
    // Newest map that some VM has in memory.
    observed_map: OwnershipMap,
}

impl Simulation {
    pub fn new(seed: u64, upstreams: u64) -> Self {
        let mut simulation = Self {
            random: SmallRng::seed_from_u64(seed),
            now: Instant::from_millis(100_000),
            upstreams: Vec::new(),
            map: OwnershipMap::default(),
            coordinator: None,
            lease_free_since: Instant::from_millis(100_000),
            delayed_orders: Vec::new(),
            late_results: Vec::new(),
            last_upstream_number: 0,
            commit_actions: 0,
            written_maps: Vec::new(),
            stranded: None,
            era: Era::default(),
            restored_at: None,
            observed_map: OwnershipMap::default(),
        };
        for _ in 0..upstreams {
            simulation.start_upstream();
        }
        simulation
    }

    fn is_one_in(&mut self, count: u32) -> bool {
        self.random.random_range(0..count) == 0
    }

    pub fn start_upstream(&mut self) {
        self.last_upstream_number += 1;
        self.upstreams.push(Upstream {
            holder: Holder {
                name: Arc::from(format!("u{}", self.last_upstream_number)),
                incarnation: 1,
            },
            registered_incarnation: 1,
            registers_at: Instant::ORIGIN,
            is_up: true,
            is_registered: true,
            partitioned_until: Instant::ORIGIN,
            refuses_in_partition: false,
            grants: Vec::new(),
            seen_tokens: Vec::new(),
        });
    }

    fn random_upstream(&mut self) -> usize {
        let count = self.upstreams.len();
        self.random.random_range(0..count)
    }

    fn inject_faults(&mut self) {
        if self.is_one_in(150) {
            let index = self.random_upstream();
            self.upstreams[index].is_up = false;
            self.upstreams[index].grants.clear();
            let name = Arc::clone(&self.upstreams[index].holder.name);
            self.delayed_orders.retain(|(.., action)| match action {
                Action::Grant { holder, .. } | Action::Release { holder, .. } => {
                    holder.name != name
                }
                Action::Commit(_) | Action::LogClearance { .. } => true,
            });
        }
        if self.is_one_in(120) {
            // A new incarnation under the same name holds no grants.
            let index = self.random_upstream();
            let registers_after = Duration::from_millis(self.random.random_range(0..3_000));
            if !self.upstreams[index].is_up {
                let upstream = &mut self.upstreams[index];
                upstream.registers_at = self.now + registers_after;
                upstream.is_up = true;
                upstream.is_registered = true;
                upstream.holder.incarnation += 1;
                upstream.seen_tokens.clear();
            }
        }
        if self.is_one_in(100) {
            let index = self.random_upstream();
            let length = self.random.random_range(200..6_000);
            self.upstreams[index].partitioned_until = self.now + Duration::from_millis(length);
            self.upstreams[index].refuses_in_partition = self.is_one_in(2);
        }
        if self.is_one_in(100) {
            let index = self.random_upstream();
            let upstream = &mut self.upstreams[index];
            upstream.is_registered = !upstream.is_registered;
        }
        if self.is_one_in(300) && self.coordinator.take().is_some() {
            // The coordinator's process crashes; another VM gets the lease only after it has expired.
            self.lease_free_since = self.now;
        }
    }

    fn elect_coordinator(&mut self) {
        if let Some((_, lease_end)) = &self.coordinator {
            if self.now >= *lease_end {
                self.coordinator = None;
                self.lease_free_since = self.now;
            }
            return;
        }
        if self.now.saturating_since(self.lease_free_since) > LEASE_DURATION {
            // The VM may have followed the store in the earlier era, or have started since.
            let has_memory = self.is_one_in(2) && self.observed_map.supersedes(&self.map);
            let map = if has_memory {
                &self.observed_map
            } else {
                &self.map
            };
            let mut coordinator = Coordinator::new(self.now, timing(), map.clone());
            if let Some(restored_at) = self.restored_at {
                let expire_at =
                    restored_at + LEASE_DURATION + max_hold_time(timing().max_grant_duration);
                coordinator.begin_era(self.era, Some(expire_at));
            }
            let length = self.random.random_range(5_000..40_000);
            self.coordinator = Some((coordinator, self.now + Duration::from_millis(length)));
        }
    }

    pub fn members(&self) -> Vec<Member> {
        let registered = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_registered);
        registered
            .map(|upstream| Member {
                holder: Holder {
                    name: Arc::clone(&upstream.holder.name),
                    incarnation: upstream.registered_incarnation,
                },
                may_own: true,
                is_warm: true,
                capacity: 1.0,
                max_requests_per_s: None,
            })
            .collect()
    }

    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.inject_faults();
        self.elect_coordinator();
        self.deliver_delayed_orders();
        for upstream in &mut self.upstreams {
            if self.now >= upstream.registers_at {
                upstream.registered_incarnation = upstream.holder.incarnation;
            }
        }
        self.run_stranded();
        let members = self.members();
        let requested_keys: Vec<u16> = (0..20)
            .map(|_| {
                let base = (self.now.as_micros() / 8_000_000 % 5) as u16 * 13_000;
                base + self.random.random_range(0..400)
            })
            .collect();
        let Some((mut coordinator, lease_end)) = self.coordinator.take() else {
            return;
        };
        coordinator.set_members(self.now, members);
        coordinator.set_store_unreachable(self.random.random_range(0..4) == 0);
        coordinator.record_requests(&requested_keys);
        self.deliver_late_results(&mut coordinator);
        let mut actions = Vec::new();
        coordinator.tick(self.now, &mut actions);
        for action in actions {
            self.run_action(&mut coordinator, &action);
        }
        self.coordinator = Some((coordinator, lease_end));
    }

    /// Brings the store back from a copy of this age: maps written since are lost, and the coordinator's lease too.
    ///
    /// The coordinator may not notice it, and send orders until its lease ends.
    pub fn restore_store(&mut self, age: Duration) {
        let copied_at = Instant::from_micros(
            self.now
                .as_micros()
                .saturating_sub(u64::try_from(age.as_micros()).expect("a short time")),
        );
        self.written_maps.retain(|(at, _)| *at <= copied_at);
        let copy = self.written_maps.last();
        self.map = copy.map(|(_, map)| map.clone()).unwrap_or_default();
        self.era = Era(self.era.0 + 1);
        self.restored_at = Some(self.now);
        let lease_left = LEASE_DURATION.as_millis() - self.random.random_range(0..900);
        let lease_end =
            self.now + Duration::from_millis(u64::try_from(lease_left).expect("a short time"));
        if let Some((mut coordinator, end)) = self.coordinator.take() {
            if self.is_one_in(2) {
                // It notices at once, stops, and is elected again.
                coordinator.begin_era(self.era, None);
                self.coordinator = Some((coordinator, end));
                return;
            }
            self.stranded = Some((coordinator, end.min(lease_end)));
        }
        let election_delay = Duration::from_millis(self.random.random_range(0..4_000));
        self.lease_free_since = self.now + election_delay - LEASE_DURATION;
    }

    fn run_stranded(&mut self) {
        let now = self.now;
        let Some((mut coordinator, lease_end)) = self.stranded.take() else {
            return;
        };
        if now >= lease_end {
            return;
        }
        coordinator.set_members(now, self.members());
        coordinator.set_store_unreachable(true);
        let mut actions = Vec::new();
        coordinator.tick(now, &mut actions);
        for action in actions {
            match action {
                // The condition on the revisions of the lost items does not hold.
                Action::Commit(map) => coordinator.on_commit_failed(&map),
                action => self.run_action(&mut coordinator, &action),
            }
        }
        self.stranded = Some((coordinator, lease_end));
    }

    fn record_written(&mut self, map: &OwnershipMap) {
        self.map = map.clone();
        if self.is_one_in(2) && map.supersedes(&self.observed_map) {
            self.observed_map = map.clone();
        }
        self.written_maps.push((self.now, map.clone()));
    }

    fn run_action(&mut self, coordinator: &mut Coordinator, action: &Action) {
        match action {
            Action::LogClearance { .. } => {}
            Action::Commit(map) => {
                assert!(map.is_valid());
                match self.random.random_range(0..10) {
                    0 => coordinator.on_commit_failed(map),
                    1 => {
                        // The write succeeds but its answer is lost; the coordinator learns of it from a watch.
                        self.record_written(map);
                        coordinator.on_commit_failed(map);
                        coordinator.on_map_observed(map);
                    }
                    _ => {
                        self.record_written(map);
                        coordinator.on_committed(map);
                    }
                }
                self.commit_actions += 1;
            }
            Action::Grant { holder, id, .. } => {
                let result = self.send_order(action, holder);
                if self.is_one_in(4) {
                    // Longer than the interval at which a grant without a result is sent again.
                    let delay = Duration::from_millis(self.random.random_range(1..1_000));
                    self.late_results
                        .push((self.now + delay, holder.clone(), *id, result));
                } else {
                    report_grant(coordinator, self.now, holder, *id, result);
                }
            }
            Action::Release {
                holder,
                fencing_token,
                ..
            } => match self.send_order(action, holder) {
                Ok(()) => coordinator.on_released(holder, *fencing_token, None),
                Err(failure) => coordinator.on_release_failed(self.now, holder, failure),
            },
        }
    }

    fn send_order(&mut self, action: &Action, holder: &Holder) -> Result<(), OrderFailure> {
        let is_delayed = self.is_one_in(8);
        let is_answer_lost = self.is_one_in(12);
        let delay = self.random.random_range(500..12_000);
        let now = self.now;
        let found = self
            .upstreams
            .iter()
            .position(|upstream| upstream.holder.name == holder.name);
        let Some(index) = found else {
            return Err(OrderFailure::NoResponse);
        };
        let upstream = &self.upstreams[index];
        let is_grant = matches!(action, Action::Grant { .. });
        if is_grant && upstream.registered_incarnation != holder.incarnation {
            return Err(OrderFailure::Superseded);
        }
        if !upstream.is_up {
            return Err(OrderFailure::ConnectionRefused);
        }
        if upstream.partitioned_until > now {
            return Err(if upstream.refuses_in_partition {
                OrderFailure::ConnectionRefused
            } else {
                OrderFailure::NoResponse
            });
        }
        if is_delayed {
            let delivered_at = now + Duration::from_millis(delay);
            self.delayed_orders
                .push((delivered_at, now, action.clone()));
            return Err(OrderFailure::NoResponse);
        }
        let on_its_way = Duration::from_millis(self.random.random_range(0..400));
        let done = self.apply_order(now + on_its_way, action);
        if is_answer_lost {
            Err(OrderFailure::NoResponse)
        } else {
            done
        }
    }

    pub fn apply_order(
        &mut self,
        arrived_at: Instant,
        action: &Action,
    ) -> Result<(), OrderFailure> {
        let (Action::Grant { holder, .. } | Action::Release { holder, .. }) = action else {
            return Ok(());
        };
        let found = self
            .upstreams
            .iter_mut()
            .find(|upstream| upstream.holder.name == holder.name);
        let Some(upstream) = found.filter(|upstream| upstream.is_up) else {
            return Err(OrderFailure::NoResponse);
        };
        match action {
            Action::Grant {
                keys, id, duration, ..
            } => {
                // The upstream's clock may run two percent slow.
                let expiry = arrived_at + duration.mul_f64(1.02);
                let is_accepted =
                    expiry <= self.now || upstream.grant(keys, id.fencing_token, expiry);
                if is_accepted {
                    Ok(())
                } else {
                    Err(OrderFailure::StaleFencingToken)
                }
            }
            Action::Release {
                keys,
                fencing_token,
                ..
            } => {
                upstream.release(keys, *fencing_token);
                Ok(())
            }
            Action::Commit(_) | Action::LogClearance { .. } => Ok(()),
        }
    }

    fn deliver_late_results(&mut self, coordinator: &mut Coordinator) {
        let now = self.now;
        let late_results = std::mem::take(&mut self.late_results);
        let (due, remaining): (Vec<_>, Vec<_>) =
            late_results.into_iter().partition(|(at, ..)| *at <= now);
        self.late_results = remaining;
        for (_, holder, id, result) in due {
            report_grant(coordinator, now, &holder, id, result);
        }
    }

    fn deliver_delayed_orders(&mut self) {
        let now = self.now;
        let delayed_orders = std::mem::take(&mut self.delayed_orders);
        let (due_orders, remaining): (Vec<_>, Vec<_>) = delayed_orders
            .into_iter()
            .partition(|(delivered_at, ..)| *delivered_at <= now);
        self.delayed_orders = remaining;
        for (_, arrived_at, action) in due_orders {
            // The coordinator does not learn the outcome of a delayed order.
            let _unknown = self.apply_order(arrived_at, &action);
        }
    }

    /// Describes two upstreams that hold a key at the same time, if there are any.
    pub fn find_double_owner(&mut self) -> Option<String> {
        let now = self.now;
        let mut held: Vec<(KeyRange, String)> = Vec::new();
        for upstream in &mut self.upstreams {
            upstream.grants.retain(|(.., expiry)| *expiry > now);
            for (keys, fencing_token, _) in &upstream.grants {
                let owner = format!("{}/{fencing_token}", upstream.holder.name);
                held.push((keys.clone(), owner));
            }
        }
        held.sort_by_key(|(keys, _)| *keys.start());
        for (index, (keys, owner)) in held.iter().enumerate() {
            for (other, other_owner) in &held[index + 1..] {
                if other.start() > keys.end() {
                    break;
                }
                let name = |owner: &str| owner.split('/').next().map(str::to_owned);
                if name(owner) != name(other_owner) {
                    return Some(format!(
                        "{owner} holds {keys:?}, {other_owner} holds {other:?}"
                    ));
                }
            }
        }
        None
    }

    /// Returns the fraction of sampled keys that some running upstream holds.
    pub fn covered_fraction(&self) -> f64 {
        let keys = (0..=u16::MAX).step_by(97);
        let mut count = (0, 0);
        for key in keys {
            let is_held = self.upstreams.iter().any(|upstream| {
                let mut key_ranges = upstream.grants.iter().map(|(keys, ..)| keys);
                upstream.is_up && key_ranges.any(|keys| keys.contains(&key))
            });
            count = (count.0 + u32::from(is_held), count.1 + 1);
        }
        f64::from(count.0) / f64::from(count.1)
    }
}

/// Reports the result of a grant to its coordinator.
pub fn report_grant(
    coordinator: &mut Coordinator,
    now: Instant,
    holder: &Holder,
    id: GrantId,
    result: Result<(), OrderFailure>,
) {
    match result {
        Ok(()) => {
            coordinator.on_granted(now, holder, id);
        }
        Err(failure) => coordinator.on_grant_failed(now, holder, id, failure),
    }
}
