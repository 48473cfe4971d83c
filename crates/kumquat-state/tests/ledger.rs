//! Tests of the stored ledger: they guard against ledgers that VMs would read differently.

use kumquat_state::ident::{Epoch, Incarnation, Operation, Revision, Slot, Version};
use kumquat_state::ledger::{self, Error, Holder, Ledger, Member, Membership, Role, RoleName};
use kumquat_state::slots::{Owner, Table};
use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 13;

fn ledger() -> Ledger {
    let mut table = Table::new("repair-status".parse().unwrap(), 1024);
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
            holders: vec![holder()],
        }],
        tables: vec![table],
    }
}

fn holder() -> Holder {
    Holder {
        vm: "vm-1".parse().unwrap(),
        incarnation: Incarnation(8),
    }
}

/// Guards against fields that are lost in the stored form.
#[test]
fn decode_restores_the_ledger() {
    let ledger = ledger();
    assert_eq!(Ledger::decode(&ledger.encode().unwrap()), Ok(ledger));
}

/// Guards against a VM that acts on a ledger whose format it does not know.
#[test]
fn other_formats_are_refused() {
    let mut ledger = ledger();
    ledger.format = 2;
    assert_eq!(ledger.encode(), Err(Error::UnsupportedFormat(2)));
}

/// Guards against lists in which binary searches would miss entries, and against ambiguous fencing tokens.
#[test]
fn rule_breaking_ledgers_are_refused() {
    let breakers: [fn(&mut Ledger); 6] = [
        |ledger| ledger.membership.members.reverse(),
        |ledger| ledger.roles.push(ledger.roles[0].clone()),
        |ledger| ledger.tables.push(ledger.tables[0].clone()),
        |ledger| ledger.tables[0].ranges.clear(),
        |ledger| ledger.tables[0].slots = 3,
        |ledger| ledger.roles[0].holders = vec![holder(); ledger::HOLDER_LIMIT + 1],
    ];
    for (index, breaker) in breakers.iter().enumerate() {
        let mut ledger = ledger();
        breaker(&mut ledger);
        assert!(
            matches!(ledger.encode(), Err(Error::Invalid(_))),
            "breaker {index}"
        );
    }
}

/// Guards against panics on hostile bytes.
#[test]
fn arbitrary_and_mutated_bytes_give_errors() {
    #[expect(
        clippy::needless_pass_by_value,
        reason = "quickcheck passes owned values"
    )]
    fn arbitrary(bytes: Vec<u8>) -> bool {
        Ledger::decode(&bytes).is_err()
    }
    fn mutated(place: usize, value: u8) -> bool {
        let mut bytes = ledger().encode().unwrap();
        let length = bytes.len();
        bytes[place % length] = value;
        // Whatever still decodes keeps the rules and can be stored again.
        Ledger::decode(&bytes).map_or(true, |ledger| ledger.encode().is_ok())
    }
    println!("seed {SEED}");
    let runs = |tests| {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(256, SEED))
            .tests(tests)
    };
    runs(2_000).quickcheck(arbitrary as fn(Vec<u8>) -> bool);
    runs(5_000).quickcheck(mutated as fn(usize, u8) -> bool);
}
