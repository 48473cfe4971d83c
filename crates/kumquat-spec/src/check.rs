//! The `check` module provides the exhaustive exploration of a specification.

use std::cell::{Cell, RefCell};
use std::fmt::{Debug, Write};
use std::hash::{DefaultHasher, Hash, Hasher};

use pathfinding::directed::bfs::bfs;

/// A safety rule that is checked in every state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// At most one VM acts for a role.
    OneActing,
    /// Fencing tokens of acting holders grow.
    TokensGrow,
    /// At most one upstream owns a slot.
    OneOwner,
    /// A stored and acknowledged assignment is never lost.
    AssignmentKept,
    /// Of operators that race on one version exactly one wins.
    OneWinner,
    /// An accepted bundle is never undone.
    BundleKept,
}

/// A state space with safety rules.
pub trait Specification {
    /// One state; states with equal hashes are taken for the same.
    type State: Clone + Hash;
    /// One transition.
    type Step: Copy + Debug;

    /// Returns the name of the specification.
    fn name(&self) -> &'static str;

    /// Describes the bounds within which the state space is complete.
    fn bounds(&self) -> String;

    /// Returns the initial state.
    fn start(&self) -> Self::State;

    /// Adds all transitions out of a state.
    fn successors(&self, state: &Self::State, next: &mut Vec<(Self::Step, Self::State)>);

    /// Returns the rule that the state breaks.
    fn violation(&self, state: &Self::State) -> Option<Rule>;

    /// Describes a state in one line of a counterexample.
    fn describe(&self, state: &Self::State) -> String;
}

/// Result of an exploration.
#[derive(Clone, Debug)]
pub struct Report {
    /// Name of the specification.
    pub name: &'static str,
    /// Bounds of the state space.
    pub bounds: String,
    /// Number of distinct states whose successors were computed.
    pub states: usize,
    /// Shortest way to a broken rule.
    pub counterexample: Option<Counterexample>,
}

/// Shortest way to a broken rule.
#[derive(Clone, Debug)]
pub struct Counterexample {
    /// Broken rule.
    pub rule: Rule,
    /// Transitions and states, one a line.
    pub trace: String,
}

/// A state as the search keeps it: the state itself is dropped once its successors are known, which bounds the memory.
#[derive(Clone)]
struct Node<State> {
    key: u128,
    state: RefCell<Option<Box<State>>>,
}

impl<State: Hash> Node<State> {
    fn new(state: State) -> Self {
        Self {
            key: fingerprint(&state),
            state: RefCell::new(Some(Box::new(state))),
        }
    }
}

impl<State> PartialEq for Node<State> {
    fn eq(&self, other: &Self) -> bool {
        self.key == other.key
    }
}

impl<State> Eq for Node<State> {}

impl<State> Hash for Node<State> {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.key.hash(state);
    }
}

/// Returns 128 bits of a value's hash, so that two states of one exploration practically never share it.
#[must_use]
pub fn fingerprint(value: &impl Hash) -> u128 {
    let mut low = DefaultHasher::new();
    value.hash(&mut low);
    let mut high = DefaultHasher::new();
    high.write_u8(1);
    value.hash(&mut high);
    (u128::from(high.finish()) << 64) | u128::from(low.finish())
}

/// Explores all states of a specification, breadth first, up to the first broken rule.
#[must_use]
pub fn explore<S: Specification>(specification: &S) -> Report {
    let states = Cell::new(0);
    let start = Node::new(specification.start());
    let path = bfs(
        &start,
        |node| {
            states.set(states.get() + 1);
            let mut next = Vec::new();
            if let Some(state) = node.state.take() {
                specification.successors(&state, &mut next);
            }
            next.into_iter()
                .map(|(_, state)| Node::new(state))
                .collect::<Vec<_>>()
        },
        |node| {
            let state = node.state.borrow();
            state
                .as_ref()
                .is_some_and(|state| specification.violation(&**state).is_some())
        },
    );
    Report {
        name: specification.name(),
        bounds: specification.bounds(),
        states: states.get(),
        counterexample: path.and_then(|path| replay(specification, &path)),
    }
}

/// Follows the transitions of a path again, because its states have been dropped.
fn replay<S: Specification>(specification: &S, path: &[Node<S::State>]) -> Option<Counterexample> {
    let mut state = specification.start();
    let mut trace = format!("start: {}\n", specification.describe(&state));
    for node in path.iter().skip(1) {
        let mut next = Vec::new();
        specification.successors(&state, &mut next);
        let (step, found) = next
            .into_iter()
            .find(|(_, state)| fingerprint(state) == node.key)?;
        state = found;
        let line = specification.describe(&state);
        if writeln!(trace, "{step:?}: {line}").is_err() {
            return None;
        }
    }
    let rule = specification.violation(&state)?;
    Some(Counterexample { rule, trace })
}
