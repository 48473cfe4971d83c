//! Guards the ejection of upstreams: a healthy one must not be ejected, and one that never responds must be.

use std::time::Duration;

use kumquat_coordination::dispatch::{Action, Arrival, Group, Options, Outcome, Upstream};
use kumquat_state::bundle::{PriorityClass, ServiceKind};
use kumquat_state::clock::Instant;

const SEED: u64 = 3;

const UPSTREAMS: [&str; 3] = ["upstream-0", "upstream-1", "upstream-2"];

fn group(out: &mut Vec<Action>) -> Group {
    let mut group = Group::new(ServiceKind::Pool, Options::default(), SEED);
    let upstreams: Vec<Upstream> = UPSTREAMS
        .iter()
        .map(|name| Upstream {
            name: name.parse().expect("a valid name"),
            slots: 2,
            cold_slots: 1,
            cold_step: 8,
            takes_work: true,
        })
        .collect();
    group.set_upstreams(Instant::ORIGIN, &upstreams, out);
    group
}

/// Runs twenty rounds of requests with the given time until their deadline, in which the `silent` upstreams never
/// respond.
///
/// Returns the number of ejections, and the number of attempts sent to silent upstreams in the last ten rounds.
fn run(deadline_after: Duration, silent: &[&str]) -> (usize, usize) {
    let mut out = Vec::new();
    let mut group = group(&mut out);
    let mut now = Instant::from_millis(1);
    let mut ejections = 0;
    let mut late_silent_attempts = 0;
    for round in 0..20 {
        for number in 0..3 {
            let arrival = Arrival {
                id: round * 3 + number,
                team: "team-0".parse().expect("a valid name"),
                class: PriorityClass::Ordinary,
                idempotent: false,
                deadline: now + deadline_after,
                target: None,
            };
            group.on_arrival(now, arrival, &mut out);
        }
        let deadline = now + deadline_after;
        now = now + Duration::from_millis(5);
        for action in std::mem::take(&mut out) {
            match action {
                Action::Send { upstream, .. } if silent.contains(&upstream.as_str()) => {
                    late_silent_attempts += usize::from(round >= 10);
                }
                Action::Send { attempt, .. } => {
                    let outcome = Outcome::Completed { status_class: 2 };
                    group.on_attempt_ended(now, attempt, outcome, &mut out);
                }
                Action::Ejected { .. } => ejections += 1,
                _ => {}
            }
        }
        now = deadline;
        group.tick(now, &mut out);
        for action in std::mem::take(&mut out) {
            match action {
                Action::Abort { attempt } => {
                    group.on_attempt_ended(now, attempt, Outcome::Broken, &mut out);
                }
                Action::Ejected { .. } => ejections += 1,
                _ => {}
            }
        }
    }
    (ejections, late_silent_attempts)
}

/// Guards against the ejection of healthy upstreams in overload, when requests are sent close to their deadlines.
#[test]
fn attempts_sent_close_to_their_deadline_eject_no_upstream() {
    let (ejections, _) = run(Duration::from_millis(6), &UPSTREAMS);

    assert_eq!(ejections, 0);
}

/// Guards against an upstream that never responds and still receives its share of the requests.
#[test]
fn upstream_that_never_responds_is_ejected() {
    let (_, late_silent_attempts) = run(Duration::from_millis(100), &UPSTREAMS[..1]);

    // Thirty requests arrive in the last ten rounds, so an equal share would be ten.
    assert!(late_silent_attempts <= 1, "{late_silent_attempts} attempts");
}
