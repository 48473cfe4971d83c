//! The `moves` module specifies the move of a slot from upstream A to upstream B in two ledger writes.
//!
//! VM 0 and its successor VM 1 dispatch to A, VM 2 dispatches to B. Who acts is decided by the production rule, on
//! machines that were brought into the needed states by their own messages. Times count in ticks; a grant lives two.

mod machines;

use kumquat_coordination::role::{Released, acting};
use kumquat_state::ledger::Ledger;

use crate::check::{Rule, Specification};
use crate::mutation::Mutation;
use machines::Machines;

/// Ticks for which a grant is valid.
const LIFE: u8 = 2;

/// Ticks for which a lost VM still has authority.
const AUTHORITY: u8 = 3;

/// Most grants under way.
const FLIGHTS: usize = 2;

/// Number of VMs.
const VMS: usize = 3;

/// Specification of slot moves.
#[derive(Debug)]
pub struct Moves {
    /// Largest number of grants and releases that are sent.
    pub orders: u8,
    /// Rule that is left out.
    pub mutation: Option<Mutation>,
    machines: Machines,
}

/// Owner of the slot in one ledger revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Owner {
    Nobody,
    Upstream(usize),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Grant {
    upstream: usize,
    token: u64,
    /// Grows with each grant and release of one VM.
    number: u8,
    /// Ticks until it expires.
    left: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Upstream {
    token: u64,
    number: u8,
    /// Ticks for which it owns the slot.
    left: u8,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Vm {
    /// Index of the latest ledger revision that it knows.
    known: usize,
    number: u8,
    /// Ticks until its last grant has expired for certain.
    outstanding: u8,
    /// Whether its upstream has answered a release after its last grant.
    released: bool,
}

/// State of a move.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Owner by ledger revision.
    ledger: Vec<Owner>,
    vms: [Vm; VMS],
    upstreams: [Upstream; 2],
    flights: Vec<Grant>,
    /// Ticks of authority that VM 0 has left since it was lost.
    lost: Option<u8>,
    /// Whether VM 1 has fenced VM 0.
    fenced: bool,
    /// Ledger revision at which each VM reported that no grant of its own is outstanding.
    reports: [Option<usize>; VMS],
    orders: u8,
}

/// Transition of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time advances.
    Tick,
    /// A VM sends a grant.
    Send(usize),
    /// A grant arrives.
    Arrive(usize),
    /// A grant is lost.
    Drop(usize),
    /// A VM learns the latest ledger.
    Learn(usize),
    /// VM 0 is cut off from the other VMs.
    Lose,
    /// VM 1 establishes the fence of VM 0.
    Fence,
    /// A VM's upstream releases the slot and the answer arrives.
    Release(usize),
    /// A VM's upstream releases the slot and the answer is lost.
    ReleaseUnanswered(usize),
    /// A VM reports that no upstream of its group holds the slot.
    Report(usize),
    /// The coordinator writes the next step of the move.
    Write,
}

fn group(vm: usize) -> usize {
    usize::from(vm == 2)
}

impl Moves {
    /// Creates the specification.
    #[must_use]
    pub fn new(orders: u8, mutation: Option<Mutation>) -> Self {
        Self {
            orders,
            mutation,
            machines: Machines::new(),
        }
    }

    fn is(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns the fencing token of a VM that acts for its group.
    fn token(&self, state: &State, vm: usize) -> Option<u64> {
        let spent = state.lost == Some(0);
        let (machine, now) = self.machines.machine(vm, spent, state.fenced);
        let ledger: &Ledger = &self.machines.ledger;
        let name = &self.machines.names[group(vm)];
        let released = Released::default();
        acting(ledger, machine.me(), name, machine, &released, now)
            .map(|acting| acting.fencing_token.0)
    }

    fn vm(&self, state: &State, vm: usize, next: &mut Vec<(Step, State)>) {
        let known = state.ledger[state.vms[vm].known];
        if state.vms[vm].known + 1 < state.ledger.len() {
            let mut after = state.clone();
            after.vms[vm].known = state.ledger.len() - 1;
            next.push((Step::Learn(vm), after));
        }
        let idle = state.vms[vm].released || state.vms[vm].outstanding == 0;
        let due = known == Owner::Nobody && state.reports[vm] != Some(state.vms[vm].known);
        if due && idle {
            let mut after = state.clone();
            after.reports[vm] = Some(state.vms[vm].known);
            next.push((Step::Report(vm), after));
        }
        let Some(token) = self.token(state, vm) else {
            return;
        };
        if known == Owner::Upstream(group(vm)) && state.orders > 0 && state.flights.len() < FLIGHTS
        {
            next.push((Step::Send(vm), send(state, vm, token)));
        }
        if known != Owner::Nobody {
            return;
        }
        if !state.vms[vm].released && state.vms[vm].outstanding > 0 && state.orders > 0 {
            let mut after = state.clone();
            after.orders -= 1;
            after.vms[vm].number += 1;
            let upstream = &mut after.upstreams[group(vm)];
            if token >= upstream.token {
                upstream.token = token;
                upstream.left = 0;
                upstream.number = after.vms[vm].number;
                next.push((Step::ReleaseUnanswered(vm), after.clone()));
                after.vms[vm].released = true;
                next.push((Step::Release(vm), after));
            }
        }
    }

    fn accept(&self, upstream: &mut Upstream, grant: &Grant) {
        let overtaken = grant.token == upstream.token && grant.number < upstream.number;
        if grant.token < upstream.token || (overtaken && !self.is(Mutation::TakeOvertaken)) {
            return;
        }
        let left = if self.is(Mutation::TakeExpired) {
            LIFE
        } else {
            grant.left
        };
        if left > 0 {
            upstream.token = grant.token;
            upstream.number = grant.number;
            upstream.left = left;
        }
    }

    /// Adds the write of the coordinator, if the move allows it.
    fn write(&self, state: &State, next: &mut Vec<(Step, State)>) {
        let latest = state.ledger.len() - 1;
        let owner = match state.ledger[latest] {
            Owner::Upstream(0) if self.is(Mutation::SingleWrite) => Owner::Upstream(1),
            Owner::Upstream(0) => Owner::Nobody,
            Owner::Upstream(_) => return,
            Owner::Nobody => {
                let idle = |vm: usize| match self.mutation {
                    Some(Mutation::IgnoreHolder) if vm == 0 => true,
                    Some(Mutation::IgnoreSuccessors) if vm == 1 => true,
                    Some(Mutation::RevisionOnly) if vm == 1 => state.vms[1].known >= latest,
                    _ => state.reports[vm].is_some_and(|at| at >= latest),
                };
                let free = (0..VMS).all(|vm| idle(vm) || (vm == 0 && state.fenced));
                if !free {
                    return;
                }
                Owner::Upstream(1)
            }
        };
        let mut after = state.clone();
        after.ledger.push(owner);
        next.push((Step::Write, after));
    }
}

fn send(state: &State, vm: usize, token: u64) -> State {
    let mut after = state.clone();
    // A grant is never longer than the granter's authority.
    let authority = state.lost.filter(|_| vm == 0).unwrap_or(LIFE);
    let left = LIFE.min(authority);
    after.orders -= 1;
    let sender = &mut after.vms[vm];
    sender.number += 1;
    sender.released = false;
    sender.outstanding = sender.outstanding.max(left);
    after.flights.push(Grant {
        upstream: group(vm),
        token,
        number: sender.number,
        left,
    });
    after
}

fn advance(state: &State) -> State {
    let mut after = state.clone();
    for upstream in &mut after.upstreams {
        upstream.left = upstream.left.saturating_sub(1);
    }
    for grant in &mut after.flights {
        grant.left = grant.left.saturating_sub(1);
    }
    for vm in &mut after.vms {
        vm.outstanding = vm.outstanding.saturating_sub(1);
    }
    after.lost = after.lost.map(|left| left.saturating_sub(1));
    after
}

impl Specification for Moves {
    type State = State;
    type Step = Step;

    fn name(&self) -> &'static str {
        "moves"
    }

    fn bounds(&self) -> String {
        format!("{VMS} VMs, 2 upstreams, 1 slot, {} orders", self.orders)
    }

    fn start(&self) -> State {
        State {
            ledger: vec![Owner::Upstream(0)],
            vms: [Vm::default(); VMS],
            upstreams: [Upstream::default(); 2],
            flights: Vec::new(),
            lost: None,
            fenced: false,
            reports: [None; VMS],
            orders: self.orders,
        }
    }

    fn successors(&self, state: &State, next: &mut Vec<(Step, State)>) {
        next.push((Step::Tick, advance(state)));
        for vm in 0..VMS {
            self.vm(state, vm, next);
        }
        for (place, grant) in state.flights.iter().enumerate() {
            let mut after = state.clone();
            after.flights.remove(place);
            next.push((Step::Drop(place), after.clone()));
            self.accept(&mut after.upstreams[grant.upstream], grant);
            next.push((Step::Arrive(place), after));
        }
        match state.lost {
            None => {
                let mut after = state.clone();
                after.lost = Some(AUTHORITY);
                next.push((Step::Lose, after));
            }
            Some(0) if !state.fenced => {
                let mut after = state.clone();
                after.fenced = true;
                next.push((Step::Fence, after));
            }
            Some(_) => {}
        }
        self.write(state, next);
    }

    fn violation(&self, state: &State) -> Option<Rule> {
        let owners = state.upstreams.iter().filter(|upstream| upstream.left > 0);
        (owners.count() > 1).then_some(Rule::OneOwner)
    }

    fn describe(&self, state: &State) -> String {
        format!(
            "ledger {:?}, known {:?}, lost {:?}, fenced {}, upstreams {:?}, under way {:?}",
            state.ledger,
            state.vms.map(|vm| vm.known),
            state.lost,
            state.fenced,
            state.upstreams,
            state.flights
        )
    }
}
