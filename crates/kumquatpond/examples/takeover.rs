//! Three VMs on an in-memory network: the VM that acts for a role is lost, and its successor takes over.
//!
//! Time is simulated, so that each run prints the same. Run it by
//! `cargo run -p kumquatpond --example takeover`; docs/embedding.md quotes it.

use std::time::Duration;

use kumquatpond::coordination::authority::{Action, Authority, Message, Options};
use kumquatpond::coordination::role::{self, Acting, Released};
use kumquatpond::state::clock::Instant;
use kumquatpond::state::ident::{Epoch, Incarnation, Revision, Version};
use kumquatpond::state::ledger::{Holder, Ledger, Member, Membership, Role, RoleName};

/// Interval at which each machine is called; at most the heartbeat interval.
const STEP: Duration = Duration::from_millis(10);

/// Time at which the first holder is lost.
const LOSS: Instant = Instant::from_millis(2_000);

/// End of the run.
const END: Instant = Instant::from_millis(4_000);

fn holder(number: u8) -> Holder {
    Holder {
        vm: format!("vm-{number}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn home() -> RoleName {
    RoleName::Home {
        team: "pilots".parse().expect("a valid name"),
    }
}

// quote: ledger
/// What the VMs agree on: the members of the cell, and who may act for the role in which order.
fn ledger() -> Ledger {
    let member = |number| Member {
        vm: holder(number).vm,
        incarnation: holder(number).incarnation,
        data_centre: format!("dc-{number}").parse().expect("a valid name"),
        address: ([127, 0, 0, 1], 7_000 + u16::from(number)).into(),
    };
    Ledger {
        revision: Revision(1),
        membership: Membership {
            version: Version(1),
            members: vec![member(1), member(2), member(3)],
        },
        roles: vec![Role {
            name: home(),
            epoch: Epoch(1),
            holders: vec![holder(1), holder(2)],
        }],
        ..Ledger::default()
    }
}
// end of quote

// quote: drive
/// Delivers a message to a machine and returns what the machine wants to have done.
fn deliver(machine: &mut Authority, now: Instant, message: &Message) -> Vec<Action> {
    match message {
        Message::Heartbeat(message) => machine.on_heartbeat(now, message),
        Message::FenceRequest(message) => machine.on_fence_request(now, message),
        Message::FenceReply(message) => machine.on_fence_reply(now, message),
    }
}

/// Calls each machine once and delivers all messages that result.
fn step(machines: &mut [Authority], ledger: &Ledger, now: Instant) {
    let mut actions = Vec::new();
    for machine in machines.iter_mut() {
        actions.extend(machine.tick(now));
        // A holder asks the cell to fence each suspected holder before it in the list.
        let me = machine.me().clone();
        let holders = &ledger.role(&home()).expect("the role is listed").holders;
        if let Some(rank) = holders.iter().position(|holder| *holder == me) {
            let suspects = machine.suspects(now);
            for target in holders[..rank].iter().filter(|it| suspects.contains(it)) {
                actions.extend(machine.seek_fence(now, target));
            }
        }
    }
    while let Some(action) = actions.pop() {
        if let Action::Send { to, message } = action
            && let Some(machine) = machines.iter_mut().find(|it| it.me().vm == to)
        {
            actions.extend(deliver(machine, now, &message));
        }
    }
}

/// Returns who acts for the role now; permission is checked at the moment of acting.
fn acting(machines: &[Authority], ledger: &Ledger, now: Instant) -> Vec<(Holder, Acting)> {
    let released = Released::default();
    let permission = |machine: &Authority| {
        let acting = role::acting(ledger, machine.me(), &home(), machine, &released, now)?;
        Some((machine.me().clone(), acting))
    };
    machines.iter().filter_map(permission).collect()
}
// end of quote

/// A change of who acts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Time of the change.
    pub at: Instant,
    /// All VMs that act from then on.
    pub acting: Vec<(Holder, Acting)>,
}

/// Runs the cell and returns each change of who acts.
#[must_use]
pub fn run() -> Vec<Change> {
    let ledger = ledger();
    let mut now = Instant::ORIGIN;
    let mut machines: Vec<Authority> = (1..=3)
        .map(|number| {
            let mut machine = Authority::new(holder(number), Options::default(), now);
            machine.set_membership(now, &ledger.membership);
            machine
        })
        .collect();

    let mut changes: Vec<Change> = Vec::new();
    while now < END {
        // A lost VM is no longer called and receives nothing.
        if now == LOSS {
            machines.remove(0);
        }
        step(&mut machines, &ledger, now);
        let acting = acting(&machines, &ledger, now);
        let vms = |acting: &[(Holder, Acting)]| -> Vec<Holder> {
            acting.iter().map(|(holder, _)| holder.clone()).collect()
        };
        let last = changes.last().map_or(&[][..], |change| &change.acting);
        if vms(last) != vms(&acting) {
            changes.push(Change { at: now, acting });
        }
        now = now + STEP;
    }
    changes
}

fn main() {
    for change in run() {
        let who: Vec<String> = change
            .acting
            .iter()
            .map(|(holder, acting)| {
                format!(
                    "{} with fencing token {}",
                    holder.vm, acting.fencing_token.0
                )
            })
            .collect();
        let who = if who.is_empty() {
            "nobody".to_owned()
        } else {
            who.join(", ")
        };
        println!("{:>5} ms: {who}", change.at.as_micros() / 1_000);
    }
}
