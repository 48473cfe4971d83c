//! Guards cold upstreams of a keyed group: what their answers show has to limit what is sent to them.

use std::time::Duration;

use kumquat_coordination::dispatch::{Action, Arrival, Group, Options, Outcome, Upstream};
use kumquat_state::bundle::{Class, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;

/// Time in which a warm upstream answers.
const WARM: Duration = Duration::from_millis(2);

/// Time in which a cold upstream answers.
const COLD: Duration = Duration::from_millis(10);

/// Answers after which a cold upstream of two slots bears one request more, which is its whole ramp.
const STEP: u64 = 8;

fn name(number: usize) -> ident::Upstream {
    format!("upstream-{number}").parse().expect("a valid name")
}

/// Returns the attempts that leave.
fn sent(actions: &[Action]) -> Vec<u64> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    sent.collect()
}

/// A keyed group of two upstreams with its own time.
struct Fixture {
    group: Group,
    now: Instant,
    next_id: u64,
}

impl Fixture {
    fn open() -> Self {
        let upstreams = [0, 1].map(|number| Upstream {
            name: name(number),
            slots: 2,
            cold_slots: 1,
            cold_step: 8,
            takes_work: true,
        });
        let mut fixture = Self {
            group: Group::new(ServiceKind::Keyed, Options::default(), 1),
            now: Instant::from_millis(1),
            next_id: 0,
        };
        let mut actions = Vec::new();
        fixture
            .group
            .set_upstreams(fixture.now, &upstreams, &mut actions);
        fixture
    }

    /// Sends a request for a key of an upstream and returns the attempts that leave at once.
    fn arrive(&mut self, target: usize) -> Vec<u64> {
        self.next_id += 1;
        let arrival = Arrival {
            id: self.next_id,
            team: "pilots".parse().expect("a valid name"),
            class: Class::Ordinary,
            idempotent: true,
            deadline: self.now + Duration::from_secs(2),
            target: Some(name(target)),
        };
        let mut actions = Vec::new();
        self.group.on_arrival(self.now, arrival, &mut actions);
        sent(&actions)
    }

    /// Ends an attempt with an answer and returns the attempts that leave at once.
    fn answer(&mut self, attempt: u64) -> Vec<u64> {
        let outcome = Outcome::Completed { status_class: 2 };
        let mut actions = Vec::new();
        self.group
            .on_attempt_ended(self.now, attempt, outcome, &mut actions);
        sent(&actions)
    }

    /// Lets an upstream answer this many requests, one after the other.
    fn serve(&mut self, target: usize, requests: u64, took: Duration) {
        for _ in 0..requests {
            let sent = self.arrive(target);
            assert_eq!(sent.len(), 1, "an idle upstream gets its request");
            self.now = self.now + took;
            self.answer(sent[0]);
        }
    }

    /// Returns how many of two requests an upstream gets at once.
    fn at_once(&mut self, target: usize) -> usize {
        self.arrive(target).len() + self.arrive(target).len()
    }
}

/// Guards against a cold start that goes unnoticed because the upstream had answered few requests since it was warm.
#[test]
fn a_cold_start_soon_after_the_last_one_is_noticed() {
    let mut fixture = Fixture::open();
    fixture.serve(0, 60, WARM);
    fixture.serve(1, 2 * STEP + 4, WARM);

    fixture.serve(1, STEP, COLD);

    assert_eq!(fixture.at_once(1), 1);
}

/// Guards against all slots for an upstream that turns cold again at the end of its ramp: it never answered as usual.
#[test]
fn an_upstream_that_has_not_sped_up_after_its_ramp_is_spared() {
    let mut fixture = Fixture::open();
    fixture.serve(0, 60, WARM);

    fixture.serve(1, STEP + 1, COLD);

    assert_eq!(fixture.at_once(1), 1);
}

/// Guards against slots that stay unused although the upstream answers as fast as usual after its ramp.
#[test]
fn an_upstream_that_has_sped_up_after_its_ramp_gets_its_slots() {
    let mut fixture = Fixture::open();
    fixture.serve(0, 60, WARM);
    fixture.serve(1, STEP, COLD);

    fixture.serve(1, STEP, WARM);

    assert_eq!(fixture.at_once(1), 2);
}

/// Guards against a limit that never ends at an upstream whose keys take longer than those of the others.
#[test]
fn an_upstream_that_is_always_slow_gets_its_slots() {
    let mut fixture = Fixture::open();
    fixture.serve(0, 60, WARM);

    fixture.serve(1, 8 * STEP * 2, COLD);
    let mut limited = 0;
    for _ in 0..40 {
        fixture.serve(1, 1, COLD);
        let sent: Vec<u64> = [fixture.arrive(1), fixture.arrive(1)].concat();
        limited += usize::from(sent.len() < 2);
        fixture.now = fixture.now + COLD;
        for attempt in sent {
            for waiting in fixture.answer(attempt) {
                fixture.answer(waiting);
            }
        }
    }

    assert_eq!(limited, 0);
}
