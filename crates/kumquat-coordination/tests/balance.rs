//! Guards the choice of a dispatch group at the entry.

use std::time::Duration;

use kumquat_coordination::balance::{Candidate, GroupBalancer, Load, Options};
use kumquat_state::bundle::PriorityClass;
use kumquat_state::clock::Instant;
use kumquat_state::ident::DataCentre;

const SEED: u64 = 5;

fn centre(number: usize) -> DataCentre {
    format!("centre-{number}").parse().expect("a valid name")
}

fn balance(seed: u64) -> GroupBalancer {
    let mut balance = GroupBalancer::new(centre(0), Options::default(), seed);
    let candidates: Vec<Candidate> = (0..3)
        .map(|number| Candidate {
            data_centre: centre(number),
            round_trip: Duration::from_micros(if number == 0 { 80 } else { 500 }),
        })
        .collect();
    balance.set_groups(&candidates);
    balance
}

fn load(ordinary: u32) -> Load {
    Load {
        ordinary,
        running: 4,
        slots: 4,
        service_time: Duration::from_millis(4),
        ..Load::default()
    }
}

/// Reports a queue length for each group, as if each had just responded to a request.
fn report_loads(balance: &mut GroupBalancer, now: Instant, ordinary: [u32; 3]) {
    for (number, ordinary) in ordinary.into_iter().enumerate() {
        balance.on_response(
            now,
            &centre(number),
            PriorityClass::Ordinary,
            Some(load(ordinary)),
        );
    }
}

/// Returns the number of entries that choose each group, of 300 with the same reports and one request each.
fn count_entries_by_choice(now: Instant, class: PriorityClass, ordinary: [u32; 3]) -> [usize; 3] {
    let mut counts = [0; 3];
    for entry in 0..300 {
        let mut balance = balance(SEED + entry);
        report_loads(&mut balance, now, ordinary);
        let chosen = balance.choose(now, class).expect("a group");
        for (number, count) in counts.iter_mut().enumerate() {
            *count += usize::from(chosen == centre(number));
        }
    }
    counts
}

/// Guards against requests to another data centre that would not be faster there.
#[test]
fn equal_loads_prefer_the_entrys_own_data_centre() {
    let [own, first, second] =
        count_entries_by_choice(Instant::from_millis(9), PriorityClass::Ordinary, [0, 0, 0]);

    assert!(own > first && own > second, "{own} {first} {second}");
}

/// Guards against entries that choose the group with the longest queue, and against all of them choosing the same one.
#[test]
fn longest_queue_is_avoided_and_choices_are_distributed() {
    let [own, first, second] =
        count_entries_by_choice(Instant::from_millis(9), PriorityClass::Ordinary, [40, 8, 0]);

    assert_eq!(own, 0);
    assert!(first >= 50 && second > first, "{first} {second}");
}

/// Guards against urgent requests that avoid a group because of ordinary requests, which don't delay them.
#[test]
fn ordinary_queue_does_not_move_urgent_requests() {
    let with_empty_queue =
        count_entries_by_choice(Instant::from_millis(9), PriorityClass::Urgent, [0, 0, 0]);
    let with_long_queue =
        count_entries_by_choice(Instant::from_millis(9), PriorityClass::Urgent, [90, 0, 0]);

    assert_eq!(with_empty_queue, with_long_queue);
}

/// Guards against requests to a group that has just failed, and against a group that is avoided forever.
#[test]
fn failed_group_is_avoided_until_the_configured_time_has_passed() {
    let mut balance = balance(SEED);
    let now = Instant::from_millis(9);
    report_loads(&mut balance, now, [0, 0, 0]);
    let count_choices = |balance: &mut GroupBalancer, now| {
        (0..50)
            .filter(|_| balance.choose(now, PriorityClass::Urgent) == Some(centre(0)))
            .count()
    };

    balance.on_failure(now, &centre(0), PriorityClass::Urgent);
    let soon = count_choices(&mut balance, now + Duration::from_millis(400));
    let later = count_choices(&mut balance, now + Duration::from_millis(600));

    assert_eq!(soon, 0);
    assert!(later > 0);
}

/// Guards against an entry that refuses requests although a failed group may have recovered.
#[test]
fn a_group_is_chosen_although_all_have_failed() {
    let mut balance = balance(SEED);
    let now = Instant::from_millis(9);
    for number in 0..3 {
        balance.on_failure(now, &centre(number), PriorityClass::Urgent);
    }

    assert!(balance.choose(now, PriorityClass::Urgent).is_some());
}
