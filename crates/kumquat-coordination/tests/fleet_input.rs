//! Tests in which order connections process large input.

use kumquat_coordination::fleet::input::Turns;

/// Guards against a queue in which a new request never ends before large ones, or large ones never advance.
#[test]
fn turns_alternate_between_the_least_work_and_the_longest_wait() {
    let mut turns = Turns::default();
    assert!(turns.request(0, 0));
    for (id, work) in [(1, 900), (2, 500), (3, 700), (4, 100), (5, 100)] {
        assert!(!turns.request(id, work));
    }

    let mut order = Vec::new();
    let mut active = Some(0);
    while let Some(id) = active {
        active = turns.leave(id);
        order.extend(active);
    }

    assert_eq!(order, [4, 1, 5, 2, 3]);
    assert!(turns.request(6, 0), "no connection has a turn");
}

/// Guards against a turn that goes to a connection which has been closed, and then never ends.
#[test]
fn a_connection_that_leaves_gets_no_turn() {
    let mut turns = Turns::default();
    turns.request(0, 0);
    turns.request(1, 10);
    turns.request(2, 20);

    assert_eq!(turns.leave(1), None);
    assert_eq!(turns.leave(9), None);

    assert_eq!(turns.waiting(), 1);
    assert_eq!(turns.leave(0), Some(2));
    assert_eq!(turns.leave(2), None);
    assert_eq!(turns.waiting(), 0);
}
