//! Guards the order and the bounds of the queue of a dispatch group.

use kumquat_coordination::queue::{Full, Options, Queue};
use kumquat_state::bundle::PriorityClass;
use kumquat_state::ident::Team;

fn team(number: u32) -> Team {
    format!("team-{number}").parse().expect("a valid name")
}

/// A queue of four teams of weight 1.
fn queue() -> Queue {
    let mut queue = Queue::new(Options {
        max_waiting: 400,
        min_team_limit: 10,
    });
    let weights: Vec<(Team, u32)> = (0..4).map(|number| (team(number), 1)).collect();
    queue.set_weights(&weights);
    queue
}

fn arrive(queue: &mut Queue, number: u32, class: PriorityClass, handle: u32) -> Result<(), Full> {
    queue.count_arrival(&team(number));
    queue.push(&team(number), class, handle)
}

/// Guards against a flooding team that takes the places of the others.
#[test]
fn flood_fills_only_its_own_part() {
    let mut queue = queue();

    let admitted = (0..1_000)
        .filter(|handle| arrive(&mut queue, 0, PriorityClass::Ordinary, *handle).is_ok())
        .count();
    let other = arrive(&mut queue, 1, PriorityClass::Ordinary, 1_000);

    assert_eq!(admitted, 100);
    assert_eq!(other, Ok(()));
}

/// Guards against a team within its share that waits behind a flood, and against a flood that is starved.
#[test]
fn flood_goes_after_the_others_and_keeps_its_share() {
    let mut queue = queue();
    for handle in 0..90 {
        arrive(&mut queue, 0, PriorityClass::Ordinary, handle).expect("room");
    }
    for handle in 100..190 {
        let number = 1 + handle % 3;
        // The flood goes on, beyond its part of the queue.
        queue.count_arrival(&team(0));
        queue.count_arrival(&team(0));
        arrive(&mut queue, number, PriorityClass::Ordinary, handle).expect("room");
    }

    let order = queue.drain();

    let of_flood = |part: &[u32]| part.iter().filter(|handle| **handle < 100).count();
    assert_eq!(order.len(), 180);
    // A weight of 1 in 4 is a quarter of what is taken while the others wait.
    let share = of_flood(&order[..120]);
    assert!((25..=35).contains(&share), "{share} of 120");
}

/// Guards against teams within their share that overtake one another.
#[test]
fn teams_within_their_share_go_in_order_of_arrival() {
    let mut queue = queue();
    for handle in 0..40 {
        arrive(&mut queue, handle % 4, PriorityClass::Ordinary, handle).expect("room");
    }

    assert_eq!(queue.drain(), (0..40).collect::<Vec<u32>>());
}

/// Guards against urgent requests that wait for ordinary ones of any team.
#[test]
fn urgent_goes_first() {
    let mut queue = queue();
    for handle in 0..30 {
        arrive(&mut queue, 0, PriorityClass::Ordinary, handle).expect("room");
    }
    arrive(&mut queue, 1, PriorityClass::Urgent, 99).expect("room");

    assert_eq!(queue.ahead(&team(2), PriorityClass::Urgent), 1);
    assert_eq!(queue.pop(), Some(99));
}

/// Guards against a flood of urgent requests that takes the whole capacity, as urgent requests go first.
#[test]
fn urgent_flood_is_refused_beyond_its_share_while_others_wait() {
    let mut queue = queue();
    for handle in 0..90 {
        queue.count_arrival(&team(0));
        arrive(&mut queue, 1 + handle % 3, PriorityClass::Ordinary, handle).expect("room");
    }
    for _ in 0..90 {
        queue.count_arrival(&team(0));
    }

    let mut of_flood = 0;
    for handle in 1_000..1_060 {
        let _ = arrive(&mut queue, 0, PriorityClass::Urgent, handle);
        of_flood += u32::from(queue.pop().expect("a request") >= 1_000);
    }

    // A weight of 1 in 4 is a quarter of what is taken while the others wait.
    assert!((14..=18).contains(&of_flood), "{of_flood} of 60");
}

/// Guards against urgent requests of a flood that are refused although nobody else waits.
#[test]
fn urgent_flood_alone_uses_the_whole_capacity() {
    let mut queue = queue();
    for handle in 0..40 {
        arrive(&mut queue, 1 + handle % 3, PriorityClass::Ordinary, handle).expect("room");
    }
    queue.drain();
    for _ in 0..80 {
        queue.count_arrival(&team(0));
    }

    let admitted = (0..60)
        .filter(|handle| {
            let is_admitted = arrive(&mut queue, 0, PriorityClass::Urgent, 1_000 + handle).is_ok();
            queue.pop();
            is_admitted
        })
        .count();

    assert_eq!(admitted, 60);
}

/// Guards against an expected position that differs from the real one, on which admission relies.
#[test]
fn ahead_counts_what_goes_first() {
    for number in 0..4 {
        let mut queue = queue();
        for handle in 0..60 {
            let sender = if handle % 2 == 0 { 0 } else { handle % 4 };
            arrive(&mut queue, sender, PriorityClass::Ordinary, handle).expect("room");
        }

        let ahead = queue.ahead(&team(number), PriorityClass::Ordinary);
        queue
            .push(&team(number), PriorityClass::Ordinary, 500)
            .expect("room");
        let order = queue.drain();
        let position = order.iter().position(|handle| *handle == 500);

        let position = u32::try_from(position.expect("a place")).expect("a small place");
        assert!(ahead.abs_diff(position) <= 1, "{ahead} {position}");
    }
}

/// Guards against a removed request that still counts, and against removing one that does not wait.
#[test]
fn removed_request_leaves_the_queue() {
    let mut queue = queue();
    arrive(&mut queue, 0, PriorityClass::Urgent, 1).expect("room");
    arrive(&mut queue, 0, PriorityClass::Urgent, 2).expect("room");

    assert!(queue.remove(&team(0), PriorityClass::Urgent, 1));
    assert!(!queue.remove(&team(0), PriorityClass::Urgent, 1));
    assert_eq!(queue.len(), 1);
    assert_eq!(queue.drain(), [2]);
}
