//! Tests of the stored ledger, which all VMs have to read in the same way.

use kumquat_state::ident::{Epoch, Incarnation, Operation, Revision, Slot, Version};
use kumquat_state::ledger::{self, Error, Holder, Ledger, Member, Membership, Role, RoleName};
use kumquat_state::slots::{Owner, SlotTable};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 13;

fn sample_ledger() -> Ledger {
    let mut table = SlotTable::new("repair-status".parse().unwrap(), 1024);
    let owner = |name: &str| {
        Some(Owner {
            upstream: name.parse().unwrap(),
            epoch: Epoch(3),
        })
    };
    table.set_slot(Slot(5), owner("repair-01"));
    table.set_placement(9, owner("repair-02"));
    Ledger {
        format: ledger::FORMAT_VERSION,
        revision: Revision(4),
        coordinator: Epoch(2),
        operation: Operation(u128::MAX / 3),
        membership: Membership {
            version: Version(2),
            members: ["vm-1", "vm-2", "vm-3"]
                .map(|vm| Member {
                    vm: vm.parse().unwrap(),
                    incarnation: Incarnation(8),
                    data_centre: "a".parse().unwrap(),
                    address: "127.0.0.1:7000".parse().unwrap(),
                })
                .to_vec(),
        },
        roles: vec![Role {
            name: RoleName::Home {
                team: "pilots".parse().unwrap(),
            },
            epoch: Epoch(1),
            holders: vec![sample_holder()],
        }],
        tables: vec![table],
    }
}

fn sample_holder() -> Holder {
    Holder {
        vm: "vm-1".parse().unwrap(),
        incarnation: Incarnation(8),
    }
}

/// Guards against fields that are lost in the stored form.
#[test]
fn ledger_round_trips() {
    let ledger = sample_ledger();
    assert_eq!(Ledger::decode(&ledger.encode().unwrap()), Ok(ledger));
}

/// Guards against a VM that applies a ledger of an unknown format version.
#[test]
fn unknown_formats_are_rejected() {
    let mut ledger = sample_ledger();
    ledger.format = 2;
    assert_eq!(ledger.encode(), Err(Error::UnsupportedFormat(2)));
}

/// Guards against lists in which binary searches miss entries, and against duplicate fencing tokens.
#[test]
fn invalid_ledgers_are_rejected() {
    let violations: [fn(&mut Ledger); 6] = [
        |ledger| ledger.membership.members.reverse(),
        |ledger| ledger.roles.push(ledger.roles[0].clone()),
        |ledger| ledger.tables.push(ledger.tables[0].clone()),
        |ledger| ledger.tables[0].ranges.clear(),
        |ledger| ledger.tables[0].slots = 3,
        |ledger| ledger.roles[0].holders = vec![sample_holder(); ledger::HOLDER_LIMIT + 1],
    ];
    for (index, violate) in violations.iter().enumerate() {
        let mut ledger = sample_ledger();
        violate(&mut ledger);
        assert!(
            matches!(ledger.encode(), Err(Error::Invalid(_))),
            "violation {index}"
        );
    }
}

/// Guards against panics on malformed bytes, and against decoding ledgers that violate an invariant.
#[test]
fn arbitrary_and_mutated_ledgers_are_rejected_or_valid() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn rejects_arbitrary_bytes(bytes: Vec<u8>) -> bool {
        Ledger::decode(&bytes).is_err()
    }
    fn mutation_is_rejected_or_valid(position: usize, value: u8) -> bool {
        let mut bytes = sample_ledger().encode().unwrap();
        let length = bytes.len();
        bytes[position % length] = value;
        // A ledger that still decodes is valid and can be encoded again.
        Ledger::decode(&bytes).map_or(true, |ledger| ledger.encode().is_ok())
    }
    println!("seed {SEED}");
    let runner = |tests| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(256, SEED))
            .tests(tests)
    };
    runner(2_000).quickcheck(rejects_arbitrary_bytes as fn(Vec<u8>) -> bool);
    runner(5_000).quickcheck(mutation_is_rejected_or_valid as fn(usize, u8) -> bool);
}
