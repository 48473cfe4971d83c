//! The `authority` module specifies who may act for a role, under faults and ledger changes.
//!
//! The transitions call `Authority` and `role` of `kumquat-coordination`. A promise lasts four ticks. Messages arrive in
//! the tick in which they are sent, unless a fault holds them back.

mod change;
mod network;

use std::hash::{Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::authority::{Authority, Message, Options};
use kumquat_coordination::role::{self, Acting, Release, Released};
use kumquat_state::clock::Instant;
use kumquat_state::ident::{Epoch, FencingToken, Incarnation, Revision, Version, Vm};
use kumquat_state::ledger::{Holder, Ledger, Member, Membership, Role, RoleName};

use crate::check::{Rule, Specification, fingerprint};
use crate::mutation::Mutation;
pub use change::Change;

/// Duration of a tick; a promise lasts four of them.
const TICK: Duration = Duration::from_millis(250);

/// Ticks without faults at the start, after which the first holder acts and the membership is confirmed.
const WARM_UP: u64 = 6;

/// Extent of the explored state space.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// Name of the specification with these bounds.
    pub name: &'static str,
    /// Number of VMs.
    pub vms: usize,
    /// Number of VMs that are members and holders at the start.
    pub members: usize,
    /// Largest number of faults.
    pub faults: u8,
    /// Largest number of ledger writes.
    pub writes: u8,
    /// Largest number of releases, and of VMs that learn a ledger which was not pushed.
    pub events: u8,
    /// Whether writes change the membership.
    pub membership: bool,
    /// Whether writes change the holder list.
    pub holders: bool,
    /// Number of ticks after the start.
    pub horizon: u64,
    /// Selects the transitions to explore.
    pub filter: fn(&Step) -> bool,
}

/// Specification of authority and roles.
#[derive(Clone, Copy, Debug)]
pub struct Cell {
    /// Extent of the state space.
    pub bounds: Bounds,
    /// Rule that is left out.
    pub mutation: Option<Mutation>,
}

/// A machine with its hash, which is computed once per transition.
#[derive(Clone, Debug)]
struct Machine {
    inner: Rc<Authority>,
    key: u128,
}

#[derive(Clone, Debug, Hash)]
struct Node {
    machine: Machine,
    /// Number of ledger revisions of the history that the VM knows.
    known: usize,
    released: Released,
    paused: bool,
    /// Sequence number of its last heartbeat.
    sequence: u64,
}

/// All stored ledgers; the changes determine them.
#[derive(Clone, Debug)]
struct History {
    ledgers: Rc<Vec<Ledger>>,
    changes: Vec<Change>,
}

/// State of a cell.
#[derive(Clone, Debug, Hash)]
pub struct State {
    tick: u64,
    nodes: Vec<Node>,
    /// VM that is cut off from all others.
    isolated: Option<usize>,
    /// Sender and receiver of a link that loses all messages.
    closed: Option<(usize, usize)>,
    /// VM whose messages are held back in the next tick, and whether they are also delivered.
    capture: Option<(usize, bool)>,
    held: Vec<(usize, Message)>,
    history: History,
    releases: Vec<Release>,
    /// Number of ledger revisions that all VMs learn with the next tick.
    pushed: usize,
    faults: u8,
    writes: u8,
    events: u8,
    last: Option<(Holder, FencingToken, Revision)>,
    tokens_fell: bool,
}

/// Transition of a cell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Time advances and all running VMs send and receive.
    Tick,
    /// A VM is cut off from all others.
    Isolate(usize),
    /// A link loses messages in one direction.
    Close(usize, usize),
    /// All links work again.
    Heal,
    /// A VM stops, but its clock goes on.
    Pause(usize),
    /// A paused VM goes on.
    Resume(usize),
    /// A VM restarts without its memory.
    Restart(usize),
    /// The messages that a VM sends in the next tick are late.
    Hold(usize),
    /// The messages that a VM sends in the next tick are delivered now and once more later.
    Duplicate(usize),
    /// Messages held back arrive.
    Deliver,
    /// A VM learns the latest ledger.
    Learn(usize),
    /// A VM stops acting for the role at the latest ledger revision.
    Release(usize),
    /// A coordinator stores a changed ledger, which all VMs or only the coordinator learn.
    Write {
        /// Coordinator.
        by: usize,
        /// What changes.
        change: Change,
        /// Whether all VMs learn the ledger with the next tick.
        pushed: bool,
    },
}

impl Hash for Machine {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

impl Hash for History {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.changes.hash(state);
    }
}

impl Machine {
    fn new(authority: Authority) -> Self {
        let key = fingerprint(&authority);
        Self {
            inner: Rc::new(authority),
            key,
        }
    }

    fn edit(&mut self) -> &mut Authority {
        Rc::make_mut(&mut self.inner)
    }

    fn seal(&mut self) {
        self.key = fingerprint(&*self.inner);
    }
}

impl State {
    fn now(&self) -> Instant {
        let tick = u32::try_from(self.tick).unwrap_or(u32::MAX);
        Instant::ORIGIN + TICK * tick
    }

    fn latest(&self) -> &Ledger {
        let ledgers = &self.history.ledgers;
        &ledgers[ledgers.len() - 1]
    }

    fn is_current(&self, node: usize) -> bool {
        self.nodes[node].known == self.history.ledgers.len()
    }

    fn me(&self, node: usize) -> &Holder {
        self.nodes[node].machine.inner.me()
    }
}

impl Cell {
    fn is(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    /// Returns the permission of a VM to act, by the production rule or by the mutated one.
    fn acting(&self, state: &State, index: usize) -> Option<Acting> {
        let node = &state.nodes[index];
        let ledger = &state.history.ledgers[node.known.checked_sub(1)?];
        let machine = &node.machine.inner;
        let mutated;
        let ledger = if self.is(Mutation::IgnoreFence) {
            mutated = without(ledger, |holder| holder != machine.me());
            &mutated
        } else if self.is(Mutation::SkipWait) {
            mutated = without(ledger, |holder| is_pledged(machine, holder));
            &mutated
        } else {
            ledger
        };
        role::acting(
            ledger,
            machine.me(),
            &name(),
            machine,
            &node.released,
            state.now(),
        )
    }

    /// Notes the token of the acting VM and compares it with that of the one before.
    fn note(&self, state: &mut State) {
        for index in 0..state.nodes.len() {
            let Some(acting) = self.acting(state, index) else {
                continue;
            };
            let me = state.me(index).clone();
            let revision = Revision(state.nodes[index].known as u64);
            // A successor with an older ledger may have a lower token; upstreams reject it until it knows the ledger.
            if let Some((last, fence, known)) = &state.last {
                let grown = acting.fencing_token > *fence
                    || (me == *last && acting.fencing_token == *fence);
                state.tokens_fell |= !grown && revision >= *known;
            }
            state.last = Some((me, acting.fencing_token, revision));
        }
    }

    fn learn(state: &mut State, index: usize, known: usize) {
        let ledgers = Rc::clone(&state.history.ledgers);
        let now = state.now();
        let node = &mut state.nodes[index];
        node.known = known;
        let ledger = &ledgers[known - 1];
        let machine = node.machine.edit();
        machine.set_versions(Version(0), ledger.revision);
        machine.set_membership(now, &ledger.membership);
        node.machine.seal();
    }

    fn restart(&self, state: &mut State, index: usize) {
        let now = state.now();
        let mut me = state.me(index).clone();
        let keeps = self.is(Mutation::RestartedVotes);
        if !keeps {
            me.incarnation.0 += 1;
        }
        let node = &mut state.nodes[index];
        node.machine = Machine::new(Authority::new(me, options(), now));
        node.known = 0;
        node.released = Released::default();
        node.paused = false;
        node.sequence = 0;
        if keeps {
            Self::learn(state, index, state.pushed);
        }
    }

    /// Adds the faults out of a state.
    fn faults(&self, state: &State, next: &mut Vec<(Step, State)>) {
        if state.faults == 0 || state.tick == self.bounds.horizon + WARM_UP {
            return;
        }
        let mut spent = state.clone();
        spent.faults -= 1;
        let count = state.nodes.len();
        for index in 0..count {
            if state.isolated.is_none() {
                let mut after = spent.clone();
                after.isolated = Some(index);
                next.push((Step::Isolate(index), after));
            }
            for other in (0..count).filter(|other| *other != index && state.closed.is_none()) {
                let mut after = spent.clone();
                after.closed = Some((index, other));
                next.push((Step::Close(index, other), after));
            }
            if !state.nodes[index].paused {
                let mut after = spent.clone();
                after.nodes[index].paused = true;
                next.push((Step::Pause(index), after));
            }
            let mut after = spent.clone();
            self.restart(&mut after, index);
            next.push((Step::Restart(index), after));
            if state.capture.is_none() && state.held.is_empty() {
                let mut after = spent.clone();
                after.capture = Some((index, false));
                next.push((Step::Hold(index), after));
                let mut after = spent.clone();
                after.capture = Some((index, true));
                next.push((Step::Duplicate(index), after));
            }
        }
    }

    /// Adds the transitions that are neither faults nor writes.
    fn progress(&self, state: &State, next: &mut Vec<(Step, State)>) {
        if state.tick < self.bounds.horizon + WARM_UP {
            let mut after = state.clone();
            self.tick(&mut after);
            next.push((Step::Tick, after));
        }
        if state.isolated.is_some() || state.closed.is_some() {
            let mut after = state.clone();
            after.isolated = None;
            after.closed = None;
            next.push((Step::Heal, after));
        }
        if !state.held.is_empty() {
            let mut after = state.clone();
            self.deliver_held(&mut after);
            next.push((Step::Deliver, after));
        }
        for index in 0..state.nodes.len() {
            if state.nodes[index].paused {
                let mut after = state.clone();
                after.nodes[index].paused = false;
                next.push((Step::Resume(index), after));
            } else if !state.is_current(index) && state.events > 0 {
                let mut after = state.clone();
                after.events -= 1;
                Self::learn(&mut after, index, state.history.ledgers.len());
                next.push((Step::Learn(index), after));
            }
        }
    }
}

impl Specification for Cell {
    type State = State;
    type Step = Step;

    fn name(&self) -> &'static str {
        self.bounds.name
    }

    fn bounds(&self) -> String {
        format!(
            "{} VMs, {} members, {} faults, {} writes, {} events, {} ticks",
            self.bounds.vms,
            self.bounds.members,
            self.bounds.faults,
            self.bounds.writes,
            self.bounds.events,
            self.bounds.horizon
        )
    }

    fn start(&self) -> State {
        let holders: Vec<Holder> = (0..self.bounds.vms).map(first_holder).collect();
        let members = &holders[..self.bounds.members];
        let ledger = Ledger {
            revision: Revision(1),
            membership: Membership {
                version: Version(1),
                members: members.iter().map(member).collect(),
            },
            roles: vec![Role {
                name: name(),
                epoch: Epoch(1),
                holders: members.to_vec(),
            }],
            ..Ledger::default()
        };
        let nodes = holders
            .iter()
            .map(|holder| Node {
                machine: Machine::new(Authority::new(holder.clone(), options(), Instant::ORIGIN)),
                known: 0,
                released: Released::default(),
                paused: false,
                sequence: 0,
            })
            .collect();
        let mut state = State {
            tick: 0,
            nodes,
            isolated: None,
            closed: None,
            capture: None,
            held: Vec::new(),
            history: History {
                ledgers: Rc::new(vec![ledger]),
                changes: Vec::new(),
            },
            releases: Vec::new(),
            pushed: 1,
            faults: self.bounds.faults,
            writes: self.bounds.writes,
            events: self.bounds.events,
            last: None,
            tokens_fell: false,
        };
        for index in 0..state.nodes.len() {
            Self::learn(&mut state, index, 1);
        }
        for _ in 0..WARM_UP {
            self.tick(&mut state);
        }
        self.note(&mut state);
        state
    }

    fn successors(&self, state: &State, next: &mut Vec<(Step, State)>) {
        self.progress(state, next);
        self.faults(state, next);
        self.writes(state, next);
        next.retain(|(step, _)| (self.bounds.filter)(step));
        for (_, after) in next {
            self.note(after);
        }
    }

    fn violation(&self, state: &State) -> Option<Rule> {
        let acting = (0..state.nodes.len())
            .filter(|index| self.acting(state, *index).is_some())
            .count();
        if acting > 1 {
            return Some(Rule::OneActing);
        }
        state.tokens_fell.then_some(Rule::TokensGrow)
    }

    fn describe(&self, state: &State) -> String {
        let nodes = state.nodes.iter().enumerate().map(|(index, node)| {
            let acting = self
                .acting(state, index)
                .map_or("idle".to_owned(), |acting| {
                    format!("acting {}", acting.fencing_token)
                });
            let me = state.me(index);
            format!("{}/{} r{} {acting}", me.vm, me.incarnation, node.known)
        });
        let nodes: Vec<String> = nodes.collect();
        format!("tick {}, {}", state.tick, nodes.join(", "))
    }
}

fn options() -> Options {
    Options {
        heartbeat_interval: TICK,
        promise_duration: TICK * 4,
        suspicion_timeout: TICK * 2,
    }
}

/// Returns the ledger with a role that lists fewer holders.
fn without(ledger: &Ledger, remove: impl Fn(&Holder) -> bool) -> Ledger {
    let mut ledger = ledger.clone();
    for role in &mut ledger.roles {
        role.holders.retain(|holder| !remove(holder));
    }
    ledger
}

/// Returns whether a majority has pledged, even if promises are left.
fn is_pledged(machine: &Authority, target: &Holder) -> bool {
    let others = machine
        .peers()
        .iter()
        .filter(|peer| peer.pledge(target).is_some())
        .count();
    others + usize::from(machine.has_pledged_against(target)) >= machine.membership().majority()
}

fn vm(number: usize) -> Vm {
    // The names are constants of this module and valid.
    format!("vm-{number}").parse().expect("a valid name")
}

fn first_holder(number: usize) -> Holder {
    Holder {
        vm: vm(number),
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

fn name() -> RoleName {
    RoleName::Home {
        team: "team".parse().expect("a valid name"),
    }
}
