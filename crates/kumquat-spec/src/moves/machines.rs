//! The `machines` module provides `Authority` machines before and after the loss of VM 0.

use kumquat_coordination::authority::{Action, Authority, Message, Options};
use kumquat_state::clock::Instant;
use kumquat_state::ident::{Epoch, Incarnation, Revision, Version};
use kumquat_state::ledger::{Holder, Ledger, Member, Membership, Role, RoleName};

/// Interval between ticks, in milliseconds.
const STEP: u64 = 50;

/// Time at which VM 0 is lost, in milliseconds.
const LOSS: u64 = 1_000;

/// Time by which VM 1 has fenced VM 0, in milliseconds.
const END: u64 = 3_000;

/// The machines of three VMs at two times.
#[derive(Debug)]
pub(super) struct Machines {
    pub(super) ledger: Ledger,
    /// The group of each upstream.
    pub(super) names: [RoleName; 2],
    before: Vec<Authority>,
    after: Vec<Authority>,
}

impl Machines {
    pub(super) fn new() -> Self {
        let holders: Vec<Holder> = (0..3).map(holder).collect();
        let names = ["dc-1", "dc-2"].map(|data_centre| RoleName::Group {
            service: "catalogue".parse().expect("a valid name"),
            data_centre: data_centre.parse().expect("a valid name"),
        });
        let membership = Membership {
            version: Version(1),
            members: holders.iter().map(member).collect(),
        };
        let lists = [&holders[..2], &holders[2..]];
        let roles = names.iter().zip(lists).map(|(name, list)| Role {
            name: name.clone(),
            epoch: Epoch(1),
            holders: list.to_vec(),
        });
        let ledger = Ledger {
            revision: Revision(1),
            membership,
            roles: roles.collect(),
            ..Ledger::default()
        };
        let mut machines: Vec<Authority> = holders
            .into_iter()
            .map(|me| {
                let mut machine = Authority::new(me, Options::default(), Instant::ORIGIN);
                machine.set_membership(Instant::ORIGIN, &ledger.membership);
                machine
            })
            .collect();
        run(&mut machines, 0, 0..LOSS);
        let before = machines.clone();
        run(&mut machines, 1, LOSS..END);
        Self {
            ledger,
            names,
            before,
            after: machines,
        }
    }

    /// Returns a VM's machine and the time, given whether VM 0 has lost its authority and is fenced by VM 1.
    pub(super) fn machine(&self, vm: usize, spent: bool, fenced: bool) -> (&Authority, Instant) {
        let end = Instant::from_millis(END - STEP);
        let loss = Instant::from_millis(LOSS - STEP);
        match vm {
            0 if spent => (&self.before[0], end),
            1 if fenced => (&self.after[1], end),
            _ => (&self.before[vm], loss),
        }
    }
}

/// Runs the machines from `first` on; VM 1 tries to fence VM 0 as soon as it suspects it.
fn run(machines: &mut [Authority], first: usize, range: std::ops::Range<u64>) {
    for time in range.step_by(usize::try_from(STEP).unwrap_or(1)) {
        let now = Instant::from_millis(time);
        for index in first..machines.len() {
            let mut queue = machines[index].tick(now);
            if index == 1 {
                queue.extend(machines[1].seek_fence(now, &holder(0)));
            }
            while let Some(action) = queue.pop() {
                let Action::Send { to, message } = action else {
                    continue;
                };
                let receiver = machines.iter().position(|machine| machine.me().vm == to);
                let Some(receiver) = receiver.filter(|receiver| *receiver >= first) else {
                    continue;
                };
                let machine = &mut machines[receiver];
                queue.extend(match &message {
                    Message::Heartbeat(message) => machine.on_heartbeat(now, message),
                    Message::FenceRequest(message) => machine.on_fence_request(now, message),
                    Message::FenceReply(message) => machine.on_fence_reply(now, message),
                });
            }
        }
    }
}

fn holder(number: usize) -> Holder {
    Holder {
        vm: format!("vm-{number}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn member(holder: &Holder) -> Member {
    Member {
        vm: holder.vm.clone(),
        incarnation: holder.incarnation,
        data_centre: "dc-1".parse().expect("a valid name"),
        address: std::net::SocketAddr::from(([127, 0, 0, 1], 7000)),
    }
}
