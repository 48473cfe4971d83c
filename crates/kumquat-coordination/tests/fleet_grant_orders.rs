//! Explores the orders in which the results of grants arrive that were sent again before the first result.

use std::time::Duration;

use kumquat_coordination::fleet::{
    Action, Coordinator, GrantId, Holder, Member, OrderFailure, OwnershipMap, OwnershipTiming,
};
use kumquat_state::clock::Instant;

/// Time for which a grant may be on its way to its holder.
const MAX_DELIVERY: Duration = Duration::from_millis(400);

/// Factor by which a holder with a slow clock holds a grant longer.
const MAX_CLOCK_FACTOR: f64 = 1.02;

/// Interval between two ticks of the coordinator.
const STEP: Duration = Duration::from_millis(50);

/// Time by which the keys of a lost owner must have another one; the longest grant and its margins are shorter.
const MAX_MOVE_TIME: Duration = Duration::from_secs(15);

fn timing() -> OwnershipTiming {
    OwnershipTiming::for_upstreams(3, Duration::from_secs(10))
}

/// What becomes of a grant that is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    /// The holder accepts it.
    Accepted,
    /// It takes no effect, and the coordinator is told so.
    Refused,
    /// The holder accepts it, and the response is lost.
    ResponseLost,
    /// It gets lost.
    Lost,
}

const FATES: [Fate; 4] = [
    Fate::Accepted,
    Fate::Refused,
    Fate::ResponseLost,
    Fate::Lost,
];

impl Fate {
    const fn has_effect(self) -> bool {
        matches!(self, Self::Accepted | Self::ResponseLost)
    }
}

/// A grant that was sent.
#[derive(Clone, Debug)]
struct Send {
    holder: Holder,
    id: GrantId,
    duration: Duration,
}

impl Send {
    /// Returns when the grant ends at the latest, if it takes effect.
    fn held_until(&self) -> Instant {
        self.id.sent_at + MAX_DELIVERY + self.duration.mul_f64(MAX_CLOCK_FACTOR)
    }
}

/// A coordinator of one service with upstreams `u0`, `u1` and so on, of which some may own keys.
#[derive(Clone)]
struct Fixture {
    coordinator: Coordinator,
    now: Instant,
    owners: Vec<bool>,
}

fn holder(number: usize) -> Holder {
    Holder {
        name: format!("u{number}").into(),
        incarnation: 1,
    }
}

impl Fixture {
    /// Creates a coordinator whose upstreams have all their grants and that waits for no predecessor any more.
    fn new(upstreams: usize) -> Self {
        let now = Instant::from_millis(1_000);
        let mut fixture = Self {
            coordinator: Coordinator::new(now, timing(), OwnershipMap::default()),
            now,
            owners: vec![true; upstreams],
        };
        for _ in 0..300 {
            for send in fixture.tick() {
                fixture.report(&send, Fate::Accepted);
            }
        }
        fixture
    }

    /// Lets a step pass and returns the grants that are sent; releases get no response.
    fn tick(&mut self) -> Vec<Send> {
        self.now = self.now + STEP;
        let members = self.owners.iter().enumerate();
        let members = members.map(|(number, may_own)| Member {
            holder: holder(number),
            may_own: *may_own,
            is_warm: true,
            capacity: 1.0,
            max_requests_per_s: None,
        });
        self.coordinator.set_members(self.now, members.collect());
        let mut actions = Vec::new();
        self.coordinator.tick(self.now, &mut actions);
        let mut sends = Vec::new();
        for action in actions {
            match action {
                Action::Commit(map) => self.coordinator.on_committed(&map),
                Action::LogClearance { .. } => {}
                Action::Release { holder, .. } => {
                    let failure = OrderFailure::NoResponse;
                    self.coordinator
                        .on_release_failed(self.now, &holder, failure);
                }
                Action::Grant {
                    holder,
                    id,
                    duration,
                    ..
                } => sends.push(Send {
                    holder,
                    id,
                    duration,
                }),
            }
        }
        sends
    }

    /// Reports the result of a grant.
    fn report(&mut self, send: &Send, fate: Fate) {
        let failure = match fate {
            Fate::Accepted => {
                self.coordinator.on_granted(self.now, &send.holder, send.id);
                return;
            }
            Fate::Refused => OrderFailure::ConnectionRefused,
            Fate::ResponseLost | Fate::Lost => OrderFailure::NoResponse,
        };
        self.coordinator
            .on_grant_failed(self.now, &send.holder, send.id, failure);
    }

    /// Lets time pass until the first upstream has been sent as many grants without a result.
    fn collect_sends(&mut self, count: usize) -> Vec<Send> {
        let mut collected: Vec<Send> = Vec::new();
        while collected.len() < count {
            for send in self.tick() {
                if send.holder == holder(0) {
                    collected.push(send);
                } else {
                    self.report(&send, Fate::Accepted);
                }
            }
        }
        collected
    }

    /// Takes the keys from the first upstream, which answers nothing, and returns when another one is granted them.
    fn move_keys(&mut self) -> Instant {
        let range = self.coordinator.map().ranges.iter();
        let mut range = range.filter(|range| range.owner == holder(0));
        let key = range.next().expect("it owns keys").first;
        self.owners[0] = false;
        let deadline = self.now + MAX_MOVE_TIME;
        while self.now < deadline {
            for send in self.tick() {
                if send.holder == holder(0) {
                    self.report(&send, Fate::Refused);
                    continue;
                }
                self.report(&send, Fate::Accepted);
                let range = self.coordinator.map().range(key).expect("a range");
                if range.fencing_token == send.id.fencing_token {
                    return send.id.sent_at;
                }
            }
        }
        panic!("the keys have no owner after {MAX_MOVE_TIME:?}");
    }
}

/// Returns all orders of the numbers from 0 to `count` - 1.
fn permutations(count: usize) -> Vec<Vec<usize>> {
    let mut permutations = vec![Vec::new()];
    for number in 0..count {
        permutations = permutations
            .iter()
            .flat_map(|shorter| {
                (0..=shorter.len()).map(move |position| {
                    let mut longer = shorter.clone();
                    longer.insert(position, number);
                    longer
                })
            })
            .collect();
    }
    permutations
}

/// Returns the fates of as many grants, in all combinations.
fn combinations(count: usize) -> Vec<Vec<Fate>> {
    let mut combinations = vec![Vec::new()];
    for _ in 0..count {
        combinations = combinations
            .iter()
            .flat_map(|shorter| FATES.map(|fate| [shorter.as_slice(), &[fate]].concat()))
            .collect();
    }
    combinations
}

/// Guards against two holders of one key because a later grant is forgotten when an earlier one is refused.
#[test]
fn no_order_of_results_shortens_the_wait_for_an_earlier_holder() {
    let mut holes = Vec::new();
    for (upstreams, sends) in [(2, 2), (3, 2), (2, 3)] {
        let ready = Fixture::new(upstreams);
        for fates in combinations(sends) {
            for order in permutations(sends) {
                let mut fixture = ready.clone();
                let collected = fixture.collect_sends(sends);

                for position in &order {
                    fixture.report(&collected[*position], fates[*position]);
                }
                let moved_at = fixture.move_keys();

                let effective = collected.iter().zip(&fates);
                let effective = effective.filter(|(_, fate)| fate.has_effect());
                let held_until = effective.map(|(send, _)| send.held_until()).max();
                if held_until.is_some_and(|held_until| moved_at < held_until) {
                    holes.push(format!(
                        "{upstreams} upstreams, {fates:?} in order {order:?}"
                    ));
                }
            }
        }
    }
    assert!(holes.is_empty(), "{} holes: {holes:#?}", holes.len());
}
