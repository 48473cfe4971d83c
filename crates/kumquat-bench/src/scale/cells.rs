//! The `cells` module drives authority machines in virtual time and counts what they send.

use std::collections::VecDeque;
use std::time::{Duration, Instant as RealInstant};

use eyre::{Result, eyre};
use kumquat_coordination::authority::{Action, Authority, Message, Options};
use kumquat_local::vm::loopback;
use kumquat_protocol::frame::Sealer;
use kumquat_protocol::handshake::{Identity, Initiator, Program, Secret, respond};
use kumquat_protocol::wire;
use kumquat_state::clock::Instant;
use kumquat_state::ident::{Incarnation, Version, Vm};
use kumquat_state::ledger::{Holder, Member, Membership};

use crate::cpu;
use crate::load::micros;
use crate::stats::{float, float_len};

/// Most members of a cell here, as in the deployments of today.
const CELL: usize = 9;

/// Interval between ticks.
const TICK: Duration = Duration::from_millis(50);

/// What one VM uses on average.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    /// Messages sent per second.
    pub messages: f64,
    /// Bytes of the sealed messages sent per second.
    pub bytes: f64,
    /// CPU time in percent of a core, sealing included.
    pub cpu: f64,
    /// Memory in MiB.
    pub memory: f64,
}

struct Node {
    machine: Authority,
    /// Sealers of the links to the other members, sorted by VM.
    links: Vec<(Vm, Sealer)>,
}

/// Runs `size` machines for `length` of virtual time; memory counts from `before` bytes.
///
/// # Errors
///
/// Returns an error if a machine has no authority in the end, since the figures would be those of a broken cell.
pub fn run(size: usize, length: Duration, before: u64) -> Result<Usage> {
    let count = size.div_ceil(CELL);
    let mut cells = Vec::new();
    for number in 0..count {
        let members = size / count + usize::from(number < size % count);
        cells.push(cell(number, members)?);
    }
    let memory = float(cpu::resident().saturating_sub(before)) / f64::from(1 << 20);

    let begun = RealInstant::now();
    let (mut messages, mut bytes) = (0, 0);
    let mut time = Duration::ZERO;
    while time < length {
        let now = Instant::from_micros(micros(time));
        for nodes in &mut cells {
            let (more_messages, more_bytes) = step(nodes, now)?;
            messages += more_messages;
            bytes += more_bytes;
        }
        time += TICK;
    }
    let busy = begun.elapsed();
    let now = Instant::from_micros(micros(time));
    let nodes = cells.iter().flatten();
    if !nodes.into_iter().all(|node| node.machine.may_act(now)) {
        return Err(eyre!("a machine has no authority"));
    }
    let spent = length.as_secs_f64() * float_len(size);
    Ok(Usage {
        messages: float(messages) / spent,
        bytes: float(bytes) / spent,
        cpu: busy.as_secs_f64() / spent * 100.0,
        memory: memory / float_len(size),
    })
}

/// Ticks all machines of a cell and delivers what they send at once.
fn step(nodes: &mut [Node], now: Instant) -> Result<(u64, u64)> {
    let mut queue = VecDeque::new();
    for (index, node) in nodes.iter_mut().enumerate() {
        queue.extend(
            node.machine
                .tick(now)
                .into_iter()
                .map(|action| (index, action)),
        );
    }
    let (mut messages, mut bytes) = (0, 0);
    while let Some((from, action)) = queue.pop_front() {
        let Action::Send { to, message } = action else {
            continue;
        };
        let links = &mut nodes[from].links;
        let link = links.iter_mut().find(|(vm, _)| *vm == to);
        let (_, sealer) = link.ok_or_else(|| eyre!("no link to {to}"))?;
        bytes += sealer.seal(&wire::Message::from(&message))?.len() as u64;
        messages += 1;
        let receiver = nodes.iter().position(|node| node.machine.me().vm == to);
        let receiver = receiver.ok_or_else(|| eyre!("no machine {to}"))?;
        let machine = &mut nodes[receiver].machine;
        let actions = match &message {
            Message::Heartbeat(message) => machine.on_heartbeat(now, message),
            Message::FenceRequest(message) => machine.on_fence_request(now, message),
            Message::FenceReply(message) => machine.on_fence_reply(now, message),
        };
        queue.extend(actions.into_iter().map(|action| (receiver, action)));
    }
    Ok((messages, bytes))
}

fn cell(number: usize, size: usize) -> Result<Vec<Node>> {
    let mut members = Vec::new();
    for index in 0..size {
        members.push(member(number * CELL + index)?);
    }
    members.sort_by(|left: &Member, right| left.vm.cmp(&right.vm));
    let membership = Membership {
        version: Version(1),
        members,
    };
    let members = membership.members.iter();
    members
        .map(|own| {
            let others = membership.members.iter().filter(|other| other.vm != own.vm);
            let links = others.map(|other| Ok((other.vm.clone(), sealer(own, other)?)));
            let links = links.collect::<Result<_>>()?;
            let mut machine = machine(own);
            machine.set_membership(Instant::ORIGIN, &membership);
            Ok(Node { machine, links })
        })
        .collect()
}

/// Creates the machine of a member.
pub fn machine(member: &Member) -> Authority {
    let me = Holder {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
    };
    Authority::new(me, Options::default(), Instant::ORIGIN)
}

/// Creates the member with this number.
pub fn member(number: usize) -> Result<Member> {
    // Incarnations are random numbers of this length on real VMs, so that the encoded messages are as long as real ones.
    let incarnation = 0x9e37_79b9_7f4a_7c15_u64.wrapping_mul(number as u64 + 1) | 1 << 63;
    Ok(Member {
        vm: format!("vm-{number:04}").parse()?,
        incarnation: Incarnation(incarnation),
        data_centre: format!("dc-{}", number % 3).parse()?,
        address: loopback(),
    })
}

fn sealer(own: &Member, other: &Member) -> Result<Sealer> {
    let secret = Secret::new([7; 32]);
    let identity = |member: &Member| Identity {
        vm: member.vm.clone(),
        incarnation: member.incarnation,
        program: Program::Dispatch,
        data_centre: member.data_centre.clone(),
        address: member.address,
    };
    let (initiator, hello) = Initiator::start(&secret, &identity(own), [1; 16])?;
    let (verifying, answer) = respond(&secret, &identity(other), [2; 16], &hello)?;
    let (proving, proof) = initiator.prove(&answer)?;
    let (_, proof) = verifying.finish(&proof)?;
    Ok(proving.finish(&proof)?.sealer)
}
