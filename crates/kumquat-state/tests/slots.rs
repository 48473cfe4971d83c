//! Guards the slot table: a wrong lookup sends a request to an upstream that does not own its key.

use kumquat_state::hash;
use kumquat_state::ident::{Epoch, Service, Slot};
use kumquat_state::slots::{Owner, Table};
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

/// Guards against ranges that are split or merged wrongly: the table must agree with a plain vector.
#[test]
fn table_agrees_with_a_plain_vector() {
    fn property(steps: Vec<(u32, Option<u8>)>) -> TestResult {
        let slots = 32;
        let mut table = Table::new(service(), slots);
        let mut plain = vec![None; 32];

        for (slot, number) in steps {
            let slot = slot % slots;
            let owner = number.map(|number| owner(number % 4));
            table.set_slot(Slot(slot), owner.clone());
            plain[slot as usize] = owner;
        }

        for slot in 0..slots {
            assert_eq!(
                table.slot_owner(Slot(slot)),
                plain[slot as usize].as_ref(),
                "slot {slot}"
            );
        }
        let sorted = table
            .ranges
            .windows(2)
            .all(|pair| pair[0].first < pair[1].first && pair[0].owner != pair[1].owner);
        TestResult::from_bool(sorted && table.ranges[0].first == Slot(0))
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(Vec<(u32, Option<u8>)>) -> TestResult);
}

/// Guards against a placed key that is still served by the owner of its slot.
#[test]
fn placement_overrides_the_slot() {
    let key = hash::key(b"glass-7");
    let mut table = Table::new(service(), 64);
    table.set_slot(hash::slot(key, 64), Some(owner(1)));

    table.set_placement(key, Some(owner(2)));
    let placed = table.owner(key).cloned();
    table.clear_placement(key);
    let cleared = table.owner(key).cloned();

    assert_eq!(placed, Some(owner(2)));
    assert_eq!(cleared, Some(owner(1)));
}
