//! Guards the single owner of each key, whatever is late, lost, cut off, killed or replaced.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Action, Coordinator, Holder, KeyRange, Member, OrderFailure, OwnershipMap, OwnershipTiming,
};
use kumquat_state::clock::Instant;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};

const STEP: Duration = Duration::from_millis(40);
const LEASE: Duration = Duration::from_millis(2_700);

fn timing() -> OwnershipTiming {
    OwnershipTiming {
        grant_duration: Duration::from_secs(4),
        max_grant_duration: Duration::from_secs(10),
        renewal_interval: Duration::from_millis(1_200),
        rebalance_interval: Duration::from_millis(300),
    }
}

/// One life of an upstream with the grants that it holds, as keys, token and end.
#[derive(Debug)]
struct Upstream {
    holder: Holder,
    is_up: bool,
    is_registered: bool,
    // Whether it neither receives nor answers anything until then.
    cut_until: Instant,
    // Whether the cut refuses connections instead of swallowing them.
    is_refused_in_cut: bool,
    grants: Vec<(KeyRange, u64, Instant)>,
    // Highest token seen on a call for keys.
    seen: Vec<(KeyRange, u64)>,
}

impl Upstream {
    fn has_seen_more(&self, keys: &KeyRange, fencing_token: u64) -> bool {
        let overlaps =
            |other: &KeyRange| other.start() <= keys.end() && keys.start() <= other.end();
        self.seen
            .iter()
            .any(|(other, seen)| overlaps(other) && *seen > fencing_token)
    }

    fn grant(&mut self, keys: &KeyRange, fencing_token: u64, until: Instant) -> bool {
        if self.has_seen_more(keys, fencing_token) {
            return false;
        }
        self.seen.push((keys.clone(), fencing_token));
        self.grants
            .retain(|(other, old, _)| *old != fencing_token || other != keys);
        self.grants.push((keys.clone(), fencing_token, until));
        true
    }

    fn release(&mut self, keys: &KeyRange, fencing_token: u64) {
        self.seen.push((keys.clone(), fencing_token));
        let mut kept = Vec::new();
        for (held, old, until) in std::mem::take(&mut self.grants) {
            if old > fencing_token || held.end() < keys.start() || keys.end() < held.start() {
                kept.push((held, old, until));
                continue;
            }
            if held.start() < keys.start() {
                kept.push((*held.start()..=keys.start() - 1, old, until));
            }
            if keys.end() < held.end() {
                kept.push((keys.end() + 1..=*held.end(), old, until));
            }
        }
        self.grants = kept;
    }
}

#[derive(Debug)]
struct World {
    random: SmallRng,
    now: Instant,
    upstreams: Vec<Upstream>,
    map: OwnershipMap,
    leader: Option<(Coordinator, Instant)>,
    vacant_since: Instant,
    // Orders that take effect later without an answer; a grant's time counts from its arrival.
    late: Vec<(Instant, Instant, Action)>,
    next_name: u64,
    changes: u64,
}

impl World {
    fn new(seed: u64, upstreams: u64) -> Self {
        let mut world = Self {
            random: SmallRng::seed_from_u64(seed),
            now: Instant::from_millis(100_000),
            upstreams: Vec::new(),
            map: OwnershipMap::default(),
            leader: None,
            vacant_since: Instant::from_millis(100_000),
            late: Vec::new(),
            next_name: 0,
            changes: 0,
        };
        for _ in 0..upstreams {
            world.start();
        }
        world
    }

    fn chance(&mut self, one_in: u32) -> bool {
        self.random.random_range(0..one_in) == 0
    }

    fn start(&mut self) {
        self.next_name += 1;
        self.upstreams.push(Upstream {
            holder: Holder {
                name: Arc::from(format!("u{}", self.next_name)),
                incarnation: 1,
            },
            is_up: true,
            is_registered: true,
            cut_until: Instant::ORIGIN,
            is_refused_in_cut: false,
            grants: Vec::new(),
            seen: Vec::new(),
        });
    }

    fn pick(&mut self) -> usize {
        let count = self.upstreams.len();
        self.random.random_range(0..count)
    }

    fn disturb(&mut self) {
        if self.chance(150) {
            let index = self.pick();
            self.upstreams[index].is_up = false;
            self.upstreams[index].grants.clear();
        }
        if self.chance(120) {
            // A new life under the same name holds nothing.
            let index = self.pick();
            if !self.upstreams[index].is_up {
                let upstream = &mut self.upstreams[index];
                upstream.is_up = true;
                upstream.is_registered = true;
                upstream.holder.incarnation += 1;
                upstream.seen.clear();
            }
        }
        if self.chance(100) {
            let index = self.pick();
            let length = self.random.random_range(200..6_000);
            self.upstreams[index].cut_until = self.now + Duration::from_millis(length);
            self.upstreams[index].is_refused_in_cut = self.chance(2);
        }
        if self.chance(100) {
            let index = self.pick();
            let upstream = &mut self.upstreams[index];
            upstream.is_registered = !upstream.is_registered;
        }
        if self.chance(300) && self.leader.take().is_some() {
            // The process dies; its lease runs out before another VM can have it.
            self.vacant_since = self.now;
        }
    }

    fn elect(&mut self) {
        if let Some((_, until)) = &self.leader {
            if self.now >= *until {
                self.leader = None;
                self.vacant_since = self.now;
            }
            return;
        }
        if self.now.saturating_since(self.vacant_since) > LEASE {
            let coordinator = Coordinator::new(self.now, timing(), self.map.clone());
            let length = self.random.random_range(5_000..40_000);
            self.leader = Some((coordinator, self.now + Duration::from_millis(length)));
        }
    }

    fn members(&self) -> Vec<Member> {
        let registered = self
            .upstreams
            .iter()
            .filter(|upstream| upstream.is_registered);
        registered
            .map(|upstream| Member {
                holder: upstream.holder.clone(),
                may_own: true,
                is_warm: true,
                capacity: 1.0,
            })
            .collect()
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.disturb();
        self.elect();
        self.deliver_late();
        let members = self.members();
        let heat: Vec<u16> = (0..20)
            .map(|_| {
                let base = (self.now.as_micros() / 8_000_000 % 5) as u16 * 13_000;
                base + self.random.random_range(0..400)
            })
            .collect();
        let Some((mut coordinator, until)) = self.leader.take() else {
            return;
        };
        coordinator.set_members(self.now, members);
        coordinator.set_store_unreachable(self.random.random_range(0..4) == 0);
        coordinator.record_requests(&heat);
        let mut actions = Vec::new();
        coordinator.tick(self.now, &mut actions);
        for action in actions {
            self.act(&mut coordinator, &action);
        }
        self.leader = Some((coordinator, until));
    }

    fn act(&mut self, coordinator: &mut Coordinator, action: &Action) {
        match action {
            Action::Commit(map) => {
                assert!(map.is_valid());
                match self.random.random_range(0..10) {
                    0 => coordinator.on_commit_failed(),
                    1 => {
                        // Done, but the answer is lost; a watch shows it.
                        self.map = map.clone();
                        coordinator.on_commit_failed();
                        coordinator.on_map_observed(map);
                    }
                    _ => {
                        self.map = map.clone();
                        coordinator.on_committed(map);
                    }
                }
                self.changes += 1;
            }
            Action::Grant {
                holder,
                fencing_token,
                ..
            } => {
                let result = self.order(action, holder);
                match result {
                    Ok(()) => coordinator.on_granted(self.now, holder, *fencing_token),
                    Err(e) => coordinator.on_grant_failed(self.now, holder, *fencing_token, e),
                }
            }
            Action::Release {
                holder,
                fencing_token,
                ..
            } => match self.order(action, holder) {
                Ok(()) => coordinator.on_released(holder, *fencing_token, None),
                Err(failure) => coordinator.on_release_failed(self.now, holder, failure),
            },
        }
    }

    fn order(&mut self, action: &Action, holder: &Holder) -> Result<(), OrderFailure> {
        let is_late = self.chance(8);
        let is_lost = self.chance(12);
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
        if upstream.holder.incarnation != holder.incarnation {
            return Err(OrderFailure::Dead);
        }
        if !upstream.is_up {
            return Err(OrderFailure::ConnectionRefused);
        }
        if upstream.cut_until > now {
            return Err(if upstream.is_refused_in_cut {
                OrderFailure::ConnectionRefused
            } else {
                OrderFailure::NoResponse
            });
        }
        if is_late {
            let due = now + Duration::from_millis(delay);
            self.late.push((due, now, action.clone()));
            return Err(OrderFailure::NoResponse);
        }
        let done = self.apply(now, action);
        if is_lost {
            Err(OrderFailure::NoResponse)
        } else {
            done
        }
    }

    fn apply(&mut self, arrived: Instant, action: &Action) -> Result<(), OrderFailure> {
        let (Action::Grant { holder, .. } | Action::Release { holder, .. }) = action else {
            return Ok(());
        };
        let found = self
            .upstreams
            .iter_mut()
            .find(|upstream| upstream.holder == *holder);
        let Some(upstream) = found.filter(|upstream| upstream.is_up) else {
            return Err(OrderFailure::NoResponse);
        };
        match action {
            Action::Grant {
                keys,
                fencing_token,
                duration,
                ..
            } => {
                // The upstream's clock may be two percent slow.
                let until = arrived + duration.mul_f64(1.02);
                let is_taken = until <= self.now || upstream.grant(keys, *fencing_token, until);
                if is_taken {
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
            Action::Commit(_) => Ok(()),
        }
    }

    fn deliver_late(&mut self) {
        let now = self.now;
        let late = std::mem::take(&mut self.late);
        let (due, kept): (Vec<_>, Vec<_>) = late.into_iter().partition(|(due, ..)| *due <= now);
        self.late = kept;
        for (_, arrived, action) in due {
            // Nobody learns the outcome of a late order.
            let _unknown = self.apply(arrived, &action);
        }
    }

    /// Returns two upstreams that hold a key at the same time, if there are any.
    fn double_owner(&mut self) -> Option<String> {
        let now = self.now;
        let mut held: Vec<(KeyRange, String)> = Vec::new();
        for upstream in &mut self.upstreams {
            upstream.grants.retain(|(.., until)| *until > now);
            for (keys, fencing_token, _) in &upstream.grants {
                let owner = format!("{}/{fencing_token}", upstream.holder.name);
                held.push((keys.clone(), owner));
            }
        }
        held.sort_by_key(|(keys, _)| *keys.start());
        for (index, (keys, owner)) in held.iter().enumerate() {
            for (other, second) in &held[index + 1..] {
                if other.start() > keys.end() {
                    break;
                }
                let name = |owner: &str| owner.split('/').next().map(str::to_owned);
                if name(owner) != name(second) {
                    return Some(format!("{owner} holds {keys:?}, {second} holds {other:?}"));
                }
            }
        }
        None
    }

    /// Returns the part of all keys that some upstream holds.
    fn covered(&self) -> f64 {
        let keys = (0..=u16::MAX).step_by(97);
        let mut count = (0, 0);
        for key in keys {
            let is_held = self.upstreams.iter().any(|upstream| {
                let mut regions = upstream.grants.iter().map(|(keys, ..)| keys);
                upstream.is_up && regions.any(|keys| keys.contains(&key))
            });
            count = (count.0 + u32::from(is_held), count.1 + 1);
        }
        f64::from(count.0) / f64::from(count.1)
    }
}

/// Guards against two owners of a key under late, lost and refused orders, cuts, new lives and changes of the coordinator.
#[test]
fn no_key_has_two_owners() {
    for seed in 0..24 {
        let mut world = World::new(seed, 6);

        for step in 0..1_200 {
            world.step();

            let double = world.double_owner();
            assert_eq!(double, None, "seed {seed}, step {step}");
        }

        assert!(
            world.changes > 10,
            "seed {seed}: only {} changes",
            world.changes
        );
    }
}

/// Guards against the state that a holder leaves behind being lost, which makes the next one slow for a while.
#[test]
fn the_next_owner_gets_what_the_last_one_left() {
    let mut world = World::new(1, 2);
    let mut coordinator = Coordinator::new(world.now, timing(), OwnershipMap::default());
    let mut handovers = Vec::new();

    for step in 0..60 {
        world.now = world.now + STEP;
        let mut members = world.members();
        // After a second the first upstream may no longer own keys.
        members[0].may_own = step < 25;
        coordinator.set_members(world.now, members);
        let mut actions = Vec::new();
        coordinator.tick(world.now, &mut actions);
        for action in actions {
            if let Action::Release {
                holder,
                fencing_token,
                ..
            } = &action
            {
                coordinator.on_released(holder, *fencing_token, Some("left"));
            } else {
                settle(&mut world, &mut coordinator, &action);
            }
            if let Action::Grant { handover, .. } = action {
                handovers.extend(handover);
            }
        }
    }

    assert!(!handovers.is_empty());
}

/// Guards against a partition that refuses connections being taken for the death of an upstream that still holds its keys.
#[test]
fn refused_connections_do_not_end_a_grant() {
    let mut world = World::new(1, 3);
    let mut coordinator = Coordinator::new(world.now, timing(), OwnershipMap::default());
    let owned = |coordinator: &mut Coordinator, world: &mut World, steps: u32| {
        for _ in 0..steps {
            world.now = world.now + STEP;
            coordinator.set_members(world.now, world.members());
            let mut actions = Vec::new();
            coordinator.tick(world.now, &mut actions);
            for action in actions {
                let refused = match &action {
                    Action::Grant { holder, .. } | Action::Release { holder, .. } => {
                        &*holder.name == "u1" && world.upstreams[0].is_refused_in_cut
                    }
                    Action::Commit(_) => false,
                };
                match (&action, refused) {
                    (
                        Action::Grant {
                            holder,
                            fencing_token,
                            ..
                        },
                        true,
                    ) => {
                        coordinator.on_grant_failed(
                            world.now,
                            holder,
                            *fencing_token,
                            OrderFailure::ConnectionRefused,
                        );
                    }
                    (Action::Release { holder, .. }, true) => {
                        coordinator.on_release_failed(
                            world.now,
                            holder,
                            OrderFailure::ConnectionRefused,
                        );
                    }
                    _ => settle(world, coordinator, &action),
                }
            }
            assert_eq!(world.double_owner(), None);
        }
    };
    owned(&mut coordinator, &mut world, 100);
    let before = world.covered();

    world.upstreams[0].is_refused_in_cut = true;
    owned(&mut coordinator, &mut world, 400);

    assert!(before > 0.999, "{before}");
    let holder = world.upstreams[0].holder.clone();
    let keeps = coordinator
        .map()
        .ranges
        .iter()
        .any(|range| range.owner == holder);
    assert!(
        !keeps,
        "the keys of the unreachable upstream were not given to others"
    );
    assert!(world.covered() > 0.999, "{}", world.covered());
}

/// Guards against keys that stay without an owner although upstreams are there.
#[test]
fn all_keys_get_owners_when_it_is_calm() {
    for seed in 0..20 {
        let mut world = World::new(seed, 6);
        for _ in 0..1_000 {
            world.step();
        }
        for upstream in &mut world.upstreams {
            upstream.is_up = true;
            upstream.is_registered = true;
        }
        world.late.clear();

        // Calm: the coordinator stays, nothing is lost.
        let mut coordinator = Coordinator::new(world.now, timing(), world.map.clone());
        for _ in 0..500 {
            world.now = world.now + STEP;
            for upstream in &mut world.upstreams {
                upstream.cut_until = Instant::ORIGIN;
            }
            coordinator.set_members(world.now, world.members());
            let mut actions = Vec::new();
            coordinator.tick(world.now, &mut actions);
            for action in actions {
                settle(&mut world, &mut coordinator, &action);
            }
            let double = world.double_owner();
            assert_eq!(double, None, "seed {seed}");
        }

        assert!(world.covered() > 0.999, "seed {seed}: {}", world.covered());
    }
}

fn settle(world: &mut World, coordinator: &mut Coordinator, action: &Action) {
    match action {
        Action::Commit(map) => {
            world.map = map.clone();
            coordinator.on_committed(map);
        }
        Action::Grant {
            holder,
            fencing_token,
            ..
        } => match world.apply(world.now, action) {
            Ok(()) => coordinator.on_granted(world.now, holder, *fencing_token),
            Err(failure) => coordinator.on_grant_failed(world.now, holder, *fencing_token, failure),
        },
        Action::Release {
            holder,
            fencing_token,
            ..
        } => {
            if world.apply(world.now, action).is_ok() {
                coordinator.on_released(holder, *fencing_token, None);
            }
        }
    }
}

/// Guards against a map that loses keys or gives one to two owners being taken from the store.
#[test]
fn a_map_with_gaps_or_overlaps_is_not_valid() {
    let holder = Holder {
        name: Arc::from("u1"),
        incarnation: 1,
    };
    let range = |first, last, fencing_token| kumquat_coordination::fleet::OwnedRange {
        first,
        last,
        owner: holder.clone(),
        fencing_token,
        previous_owners: Vec::new(),
    };
    let map = |ranges: Vec<_>| OwnershipMap {
        ranges,
        next_fencing_token: 5,
    };

    assert!(map(Vec::new()).is_valid());
    assert!(map(vec![range(0, 9, 1), range(10, u16::MAX, 2)]).is_valid());
    assert!(!map(vec![range(0, 9, 1), range(11, u16::MAX, 2)]).is_valid());
    assert!(!map(vec![range(0, 9, 1), range(9, u16::MAX, 2)]).is_valid());
    assert!(!map(vec![range(0, 9, 1)]).is_valid());
    assert!(!map(vec![range(0, u16::MAX, 5)]).is_valid());
}

/// Guards against upstreams that get no keys because others were registered before them.
#[test]
fn upstreams_that_register_in_turn_share_the_keys_before_traffic_starts() {
    let count = 134;
    let mut world = World::new(1, count);
    let mut coordinator = Coordinator::new(world.now, timing(), OwnershipMap::default());

    for step in 0..200 {
        world.now = world.now + STEP;
        let registered = usize::try_from(count)
            .expect("a small count")
            .min(2 + step * 5);
        coordinator.set_members(
            world.now,
            world.members().into_iter().take(registered).collect(),
        );
        let mut actions = Vec::new();
        coordinator.tick(world.now, &mut actions);
        for action in actions {
            settle(&mut world, &mut coordinator, &action);
        }
    }

    let fair = 65_536.0 / 134.0;
    for member in world.members() {
        let ranges = world.map.ranges.iter();
        let own = ranges.filter(|range| range.owner == member.holder);
        let keys: f64 = own
            .map(|range| f64::from(range.last) - f64::from(range.first) + 1.0)
            .sum();
        assert!(
            keys > fair * 0.5 && keys < fair * 1.5,
            "{keys} keys, fair {fair}"
        );
    }
}

/// Guards against a coordinator of many upstreams that can't keep up with renewals, and against holds beyond the bound.
#[test]
fn services_with_many_upstreams_renew_less_often() {
    let bound = Duration::from_secs(5);

    let (few, many) = (
        OwnershipTiming::for_upstreams(161, bound),
        OwnershipTiming::for_upstreams(1_600, bound),
    );
    let bounded = OwnershipTiming::for_upstreams(1_600, Duration::from_secs(3));

    assert!(
        few.renewal_interval < many.renewal_interval && few.grant_duration < many.grant_duration
    );
    for timing in [few, many] {
        assert!(
            timing.renewal_interval * 3 < timing.grant_duration,
            "{timing:?}"
        );
    }
    assert_eq!(bounded.grant_duration, Duration::from_secs(3));
}
