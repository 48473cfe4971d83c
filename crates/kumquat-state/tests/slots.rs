//! Tests of the slot table: a wrong lookup would send requests to an upstream that does not own their key.

use kumquat_state::hash;
use kumquat_state::ident::{Epoch, Service, Slot};
use kumquat_state::slots::{Owner, SlotTable};
use quickcheck::{QuickCheck, TestResult};

fn owner(number: u8) -> Owner {
    Owner {
        upstream: format!("upstream-{number}").parse().expect("a valid name"),
        epoch: Epoch(1),
    }
}

fn service() -> Service {
    "repair-status".parse().expect("a valid name")
}

/// Guards against ranges that are split or merged incorrectly, by comparison with a vector of owners.
#[test]
fn table_matches_a_vector_of_owners() {
    fn matches_vector(steps: Vec<(u32, Option<u8>)>) -> TestResult {
        let slots = 32;
        let mut table = SlotTable::new(service(), slots);
        let mut expected = vec![None; 32];

        for (slot, number) in steps {
            let slot = slot % slots;
            let owner = number.map(|number| owner(number % 4));
            table.set_slot(Slot(slot), owner.clone());
            expected[slot as usize] = owner;
        }

        for slot in 0..slots {
            assert_eq!(
                table.slot_owner(Slot(slot)),
                expected[slot as usize].as_ref(),
                "slot {slot}"
            );
        }
        let sorted_and_merged = table
            .ranges
            .windows(2)
            .all(|pair| pair[0].first < pair[1].first && pair[0].owner != pair[1].owner);
        TestResult::from_bool(sorted_and_merged && table.ranges[0].first == Slot(0))
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(matches_vector as fn(Vec<(u32, Option<u8>)>) -> TestResult);
}

/// Guards against a key with a placement that is still assigned to the owner of its slot.
#[test]
fn placement_takes_precedence_over_the_slot() {
    let key_hash = hash::key(b"glass-7");
    let mut table = SlotTable::new(service(), 64);
    table.set_slot(hash::slot(key_hash, 64), Some(owner(1)));

    table.set_placement(key_hash, Some(owner(2)));
    let with_placement = table.owner(key_hash).cloned();
    table.clear_placement(key_hash);
    let without_placement = table.owner(key_hash).cloned();

    assert_eq!(with_placement, Some(owner(2)));
    assert_eq!(without_placement, Some(owner(1)));
}
