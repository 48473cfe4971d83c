//! Guards the slow start of upstreams of a keyed group: the latency of their responses has to limit the attempts sent.

use std::time::Duration;

use kumquat_coordination::dispatch::{Action, Arrival, Group, Options, Outcome, Upstream};
use kumquat_state::bundle::{PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident;

/// Latency of a warm upstream.
const WARM_LATENCY: Duration = Duration::from_millis(2);

/// Latency of a cold upstream.
const COLD_LATENCY: Duration = Duration::from_millis(10);

/// Completed requests after which the limit of a cold upstream grows by one, which is the whole ramp with two slots.
const RAMP_REQUESTS: u64 = 8;

fn upstream_name(number: usize) -> ident::Upstream {
    format!("upstream-{number}").parse().expect("a valid name")
}

/// Returns the ids of the attempts that are sent.
fn sent_attempts(actions: &[Action]) -> Vec<u64> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    sent.collect()
}

/// A keyed group of two upstreams with a virtual clock.
struct Fixture {
    group: Group,
    now: Instant,
    next_id: u64,
}

impl Fixture {
    fn new() -> Self {
        let upstreams = [0, 1].map(|number| Upstream {
            name: upstream_name(number),
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

    /// Lets a request for a key of an upstream arrive, and returns the attempts that are sent at once.
    fn arrive(&mut self, target: usize) -> Vec<u64> {
        self.next_id += 1;
        let arrival = Arrival {
            id: self.next_id,
            team: "pilots".parse().expect("a valid name"),
            class: PriorityClass::Ordinary,
            idempotent: true,
            deadline: self.now + Duration::from_secs(2),
            target: Some(upstream_name(target)),
        };
        let mut actions = Vec::new();
        self.group.on_arrival(self.now, arrival, &mut actions);
        sent_attempts(&actions)
    }

    /// Completes an attempt and returns the attempts that are sent at once.
    fn answer(&mut self, attempt: u64) -> Vec<u64> {
        let outcome = Outcome::Completed { status_class: 2 };
        let mut actions = Vec::new();
        self.group
            .on_attempt_ended(self.now, attempt, outcome, &mut actions);
        sent_attempts(&actions)
    }

    /// Lets an upstream complete this many requests one after the other, each after `latency`.
    fn serve(&mut self, target: usize, requests: u64, latency: Duration) {
        for _ in 0..requests {
            let sent = self.arrive(target);
            assert_eq!(
                sent.len(),
                1,
                "a request for an idle upstream is sent at once"
            );
            self.now = self.now + latency;
            self.answer(sent[0]);
        }
    }

    /// Returns how many of two requests are sent to an upstream at once.
    fn sent_of_two(&mut self, target: usize) -> usize {
        self.arrive(target).len() + self.arrive(target).len()
    }
}

/// Guards against an undetected cold start of an upstream that has completed few requests since it turned warm.
#[test]
fn cold_start_soon_after_a_previous_one_is_detected() {
    let mut fixture = Fixture::new();
    fixture.serve(0, 60, WARM_LATENCY);
    fixture.serve(1, 2 * RAMP_REQUESTS + 4, WARM_LATENCY);

    fixture.serve(1, RAMP_REQUESTS, COLD_LATENCY);

    assert_eq!(fixture.sent_of_two(1), 1);
}

/// Guards against requests in all slots of an upstream that turns cold again at the end of its ramp.
///
/// No response after the ramp was as fast as that of a warm upstream.
#[test]
fn upstream_that_is_still_slow_after_its_ramp_stays_limited() {
    let mut fixture = Fixture::new();
    fixture.serve(0, 60, WARM_LATENCY);

    fixture.serve(1, RAMP_REQUESTS + 1, COLD_LATENCY);

    assert_eq!(fixture.sent_of_two(1), 1);
}

/// Guards against slots that stay unused although the upstream responds as fast as a warm one after its ramp.
#[test]
fn upstream_that_is_fast_after_its_ramp_receives_requests_in_all_slots() {
    let mut fixture = Fixture::new();
    fixture.serve(0, 60, WARM_LATENCY);
    fixture.serve(1, RAMP_REQUESTS, COLD_LATENCY);

    fixture.serve(1, RAMP_REQUESTS, WARM_LATENCY);

    assert_eq!(fixture.sent_of_two(1), 2);
}

/// Guards against a permanently limited upstream whose keys take longer than those of other upstreams.
#[test]
fn upstream_that_is_always_slow_receives_requests_in_all_slots() {
    let mut fixture = Fixture::new();
    fixture.serve(0, 60, WARM_LATENCY);

    fixture.serve(1, 8 * RAMP_REQUESTS * 2, COLD_LATENCY);
    let mut limited = 0;
    for _ in 0..40 {
        fixture.serve(1, 1, COLD_LATENCY);
        let sent: Vec<u64> = [fixture.arrive(1), fixture.arrive(1)].concat();
        limited += usize::from(sent.len() < 2);
        fixture.now = fixture.now + COLD_LATENCY;
        for attempt in sent {
            for waiting in fixture.answer(attempt) {
                fixture.answer(waiting);
            }
        }
    }

    assert_eq!(limited, 0);
}
