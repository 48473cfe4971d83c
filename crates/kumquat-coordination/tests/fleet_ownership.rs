//! Checks that each key has at most one owner under delayed and lost orders, partitions, crashes and restarts.

use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Action, Coordinator, Holder, OrderFailure, OwnershipMap, OwnershipTiming,
};
use kumquat_state::clock::Instant;
use rand::RngExt as _;

mod support {
    pub mod owners;
}

use support::owners::{STEP, Simulation, report_grant, timing};

/// Seeds of the randomised run in CI.
const DEFAULT_SEEDS: u64 = 24;

/// Returns the number of seeds, which `KUMQUAT_RANDOM_RUNS` sets.
fn seeds() -> u64 {
    let seeds = std::env::var("KUMQUAT_RANDOM_RUNS").ok();
    seeds.map_or(DEFAULT_SEEDS, |seeds| seeds.parse().expect("a number"))
}

/// Guards against two owners of a key under delayed, lost and refused orders, partitions, restarts and new
/// coordinators.
#[test]
fn no_key_has_two_owners() {
    let mut commit_actions = 0;
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(seed, 6);

        for step in 0..1_200 {
            simulation.step();

            let double_owner = simulation.find_double_owner();
            assert_eq!(double_owner, None, "seed {seed}, step {step}");
        }

        // Further seeds have some with few changes.
        assert!(
            simulation.commit_actions > 10 || seed >= DEFAULT_SEEDS,
            "seed {seed}: only {} commit actions",
            simulation.commit_actions
        );
        commit_actions += simulation.commit_actions;
    }
    assert!(
        commit_actions > 10 * seeds(),
        "only {commit_actions} commit actions"
    );
}

/// Guards against two owners of a key after the store has come back from an older copy, without the last maps and leases.
#[test]
fn no_key_has_two_owners_when_the_store_comes_back_older() {
    for seed in 0..seeds() {
        let mut simulation = Simulation::new(seed, 6);

        for step in 0..1_200 {
            if step % 300 == 250 {
                let age = Duration::from_millis(simulation.random.random_range(500..12_000));
                simulation.restore_store(age);
            }
            simulation.step();

            let double_owner = simulation.find_double_owner();
            assert_eq!(double_owner, None, "seed {seed}, step {step}");
        }
    }
}

/// Guards against losing the handover state of a previous owner, without which the next owner is slow for a while.
#[test]
fn the_next_owner_gets_the_handover_of_the_previous_one() {
    let mut simulation = Simulation::new(1, 2);
    let mut coordinator = Coordinator::new(simulation.now, timing(), OwnershipMap::default());
    let mut handovers = Vec::new();

    for step in 0..60 {
        simulation.now = simulation.now + STEP;
        let mut members = simulation.members();
        // From one second on, the first upstream may no longer own keys.
        members[0].may_own = step < 25;
        coordinator.set_members(simulation.now, members);
        let mut actions = Vec::new();
        coordinator.tick(simulation.now, &mut actions);
        for action in actions {
            if let Action::Release {
                holder,
                fencing_token,
                ..
            } = &action
            {
                coordinator.on_released(holder, *fencing_token, Some("left"));
            } else {
                run_action_without_faults(&mut simulation, &mut coordinator, &action);
            }
            if let Action::Grant { handover, .. } = action {
                handovers.extend(handover);
            }
        }
    }

    assert!(!handovers.is_empty());
}

/// Guards against treating refused connections in a partition as the death of an upstream that still holds its keys.
#[test]
fn refused_connections_do_not_end_a_grant() {
    let mut simulation = Simulation::new(1, 3);
    let mut coordinator = Coordinator::new(simulation.now, timing(), OwnershipMap::default());
    let run_steps = |coordinator: &mut Coordinator, simulation: &mut Simulation, steps: u32| {
        for _ in 0..steps {
            simulation.now = simulation.now + STEP;
            coordinator.set_members(simulation.now, simulation.members());
            let mut actions = Vec::new();
            coordinator.tick(simulation.now, &mut actions);
            for action in actions {
                let refused = match &action {
                    Action::Grant { holder, .. } | Action::Release { holder, .. } => {
                        &*holder.name == "u1" && simulation.upstreams[0].refuses_in_partition
                    }
                    Action::Commit(_) | Action::LogClearance { .. } => false,
                };
                match (&action, refused) {
                    (Action::Grant { holder, id, .. }, true) => {
                        coordinator.on_grant_failed(
                            simulation.now,
                            holder,
                            *id,
                            OrderFailure::ConnectionRefused,
                        );
                    }
                    (Action::Release { holder, .. }, true) => {
                        coordinator.on_release_failed(
                            simulation.now,
                            holder,
                            OrderFailure::ConnectionRefused,
                        );
                    }
                    _ => run_action_without_faults(simulation, coordinator, &action),
                }
            }
            assert_eq!(simulation.find_double_owner(), None);
        }
    };
    run_steps(&mut coordinator, &mut simulation, 100);
    let before = simulation.covered_fraction();

    simulation.upstreams[0].refuses_in_partition = true;
    run_steps(&mut coordinator, &mut simulation, 400);

    assert!(before > 0.999, "{before}");
    let holder = simulation.upstreams[0].holder.clone();
    let is_still_owner = coordinator
        .map()
        .ranges
        .iter()
        .any(|range| range.owner == holder);
    assert!(
        !is_still_owner,
        "the keys of the unreachable upstream were not given to others"
    );
    assert!(
        simulation.covered_fraction() > 0.999,
        "{}",
        simulation.covered_fraction()
    );
}

/// Guards against keys that stay without an owner although upstreams are available.
#[test]
fn all_keys_get_owners_after_the_faults_end() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(seed, 6);
        for _ in 0..1_000 {
            simulation.step();
        }
        for upstream in &mut simulation.upstreams {
            upstream.is_up = true;
            upstream.is_registered = true;
        }
        simulation.delayed_orders.clear();

        // Without faults: one coordinator keeps the lease, and no order is lost or delayed.
        let mut coordinator = Coordinator::new(simulation.now, timing(), simulation.map.clone());
        for _ in 0..500 {
            simulation.now = simulation.now + STEP;
            for upstream in &mut simulation.upstreams {
                upstream.partitioned_until = Instant::ORIGIN;
            }
            coordinator.set_members(simulation.now, simulation.members());
            let mut actions = Vec::new();
            coordinator.tick(simulation.now, &mut actions);
            for action in actions {
                run_action_without_faults(&mut simulation, &mut coordinator, &action);
            }
            let double_owner = simulation.find_double_owner();
            assert_eq!(double_owner, None, "seed {seed}");
        }

        assert!(
            simulation.covered_fraction() > 0.999,
            "seed {seed}: {}",
            simulation.covered_fraction()
        );
    }
}

fn run_action_without_faults(
    simulation: &mut Simulation,
    coordinator: &mut Coordinator,
    action: &Action,
) {
    match action {
        Action::LogClearance { .. } => {}
        Action::Commit(map) => {
            simulation.map = map.clone();
            coordinator.on_committed(map);
        }
        Action::Grant { holder, id, .. } => {
            let result = simulation.apply_order(simulation.now, action);
            report_grant(coordinator, simulation.now, holder, *id, result);
        }
        Action::Release {
            holder,
            fencing_token,
            ..
        } => {
            if simulation.apply_order(simulation.now, action).is_ok() {
                coordinator.on_released(holder, *fencing_token, None);
            }
        }
    }
}

/// Guards against accepting a map from the store that leaves keys out or gives one key to two owners.
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

/// Guards against upstreams that get no keys because others registered before them.
#[test]
fn upstreams_that_register_in_turn_share_the_keys_before_traffic_starts() {
    let count = 134;
    let mut simulation = Simulation::new(1, count);
    let mut coordinator = Coordinator::new(simulation.now, timing(), OwnershipMap::default());

    for step in 0..200 {
        simulation.now = simulation.now + STEP;
        let registered = usize::try_from(count)
            .expect("a small count")
            .min(2 + step * 5);
        coordinator.set_members(
            simulation.now,
            simulation.members().into_iter().take(registered).collect(),
        );
        let mut actions = Vec::new();
        coordinator.tick(simulation.now, &mut actions);
        for action in actions {
            run_action_without_faults(&mut simulation, &mut coordinator, &action);
        }
    }

    let fair = 65_536.0 / 134.0;
    for member in simulation.members() {
        let ranges = simulation.map.ranges.iter();
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

/// Returns the requests per second, of 100 spread evenly over all keys, that reach each of four upstreams after some
/// time with these limits.
fn rates_with_limits(limits: [Option<f64>; 4]) -> Vec<f64> {
    let mut simulation = Simulation::new(1, 4);
    let mut coordinator = Coordinator::new(simulation.now, timing(), OwnershipMap::default());
    let steps = Duration::from_secs(20).as_millis() / STEP.as_millis();
    for _ in 0..steps {
        simulation.now = simulation.now + STEP;
        let mut members = simulation.members();
        for (member, limit) in members.iter_mut().zip(limits) {
            member.max_requests_per_s = limit;
        }
        coordinator.set_members(simulation.now, members);
        // Four requests per step of 40 ms.
        let keys: Vec<u16> = (0..4).map(|_| simulation.random.random()).collect();
        coordinator.record_requests(&keys);
        let mut actions = Vec::new();
        coordinator.tick(simulation.now, &mut actions);
        for action in actions {
            run_action_without_faults(&mut simulation, &mut coordinator, &action);
        }
    }
    let rates = simulation.members().into_iter().map(|member| {
        let ranges = simulation.map.ranges.iter();
        let own = ranges.filter(|range| range.owner == member.holder);
        let keys = own.map(|range| f64::from(range.last) - f64::from(range.first) + 1.0);
        100.0 * keys.sum::<f64>() / 65_536.0
    });
    rates.collect()
}

/// Guards against keys that stay with an upstream whose request limit can't serve them.
#[test]
fn an_upstream_with_a_request_limit_owns_keys_for_no_more_than_its_limit() {
    let unlimited = rates_with_limits([None; 4]);
    let limited = rates_with_limits([Some(5.0), None, None, None]);
    let nearly_closed = rates_with_limits([Some(0.2), None, None, None]);

    assert!(unlimited[0] > 20.0, "{unlimited:?}");
    assert!((2.0..=9.0).contains(&limited[0]), "{limited:?}");
    assert!(nearly_closed[0] < 4.0, "{nearly_closed:?}");
}

/// Guards against an equal division of the keys among upstreams that all limit their requests, but to different rates.
#[test]
fn upstreams_that_all_have_request_limits_share_the_keys_in_proportion_to_them() {
    let rates = rates_with_limits([Some(2.0), Some(10.0), Some(10.0), Some(10.0)]);

    assert!((2.0..=12.0).contains(&rates[0]), "{rates:?}");
    assert!(rates[1..].iter().all(|rate| *rate > 22.0), "{rates:?}");
}

/// Guards against a coordinator that can't keep up with the renewals of many upstreams, and against grants beyond the
/// bound.
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
