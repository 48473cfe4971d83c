//! Guards against upstreams that are ejected without fault, or kept although they never answer.

use std::time::Duration;

use kumquat_coordination::dispatch::{Action, Arrival, Group, Options, Outcome, Upstream};
use kumquat_state::bundle::{Class, ServiceKind};
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

/// Runs twenty rounds of requests, in which some upstreams never answer.
///
/// Returns the ejections, and the attempts that the silent upstreams got in the last ten rounds.
fn run(time: Duration, silent: &[&str]) -> (usize, usize) {
    let mut out = Vec::new();
    let mut group = group(&mut out);
    let mut now = Instant::from_millis(1);
    let mut ejected = 0;
    let mut wasted = 0;
    for round in 0..20 {
        for number in 0..3 {
            let arrival = Arrival {
                id: round * 3 + number,
                team: "team-0".parse().expect("a valid name"),
                class: Class::Ordinary,
                idempotent: false,
                deadline: now + time,
                target: None,
            };
            group.on_arrival(now, arrival, &mut out);
        }
        let end = now + time;
        now = now + Duration::from_millis(5);
        for action in std::mem::take(&mut out) {
            match action {
                Action::Send { upstream, .. } if silent.contains(&upstream.as_str()) => {
                    wasted += usize::from(round >= 10);
                }
                Action::Send { attempt, .. } => {
                    let outcome = Outcome::Completed { status_class: 2 };
                    group.on_attempt_ended(now, attempt, outcome, &mut out);
                }
                Action::Ejected { .. } => ejected += 1,
                _ => {}
            }
        }
        now = end;
        group.tick(now, &mut out);
        for action in std::mem::take(&mut out) {
            match action {
                Action::Abort { attempt } => {
                    group.on_attempt_ended(now, attempt, Outcome::Broken, &mut out);
                }
                Action::Ejected { .. } => ejected += 1,
                _ => {}
            }
        }
    }
    (ejected, wasted)
}

/// Guards against healthy upstreams that are ejected in overload, when requests are sent close to their deadlines.
#[test]
fn late_requests_eject_no_upstream() {
    let (ejected, _) = run(Duration::from_millis(6), &UPSTREAMS);

    assert_eq!(ejected, 0);
}

/// Guards against an upstream that never answers and stays in use.
#[test]
fn silent_upstream_is_left_out() {
    let (_, wasted) = run(Duration::from_millis(100), &UPSTREAMS[..1]);

    // Thirty requests come in the last ten rounds; an even share would be ten.
    assert!(wasted <= 1, "{wasted} attempts");
}
