//! The `operators` module specifies operators that race to store a bundle.

use crate::check::{Rule, Specification};
use crate::mutation::Mutation;

/// Specification of operators and the stored bundle.
#[derive(Clone, Copy, Debug)]
pub struct Operators {
    /// Number of operators.
    pub operators: usize,
    /// Largest number of bundles that are sent.
    pub writes: u8,
    /// Rule that is left out.
    pub mutation: Option<Mutation>,
}

/// A bundle with the version of the one from which its author started.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Bundle {
    operation: u8,
    seen: u8,
    /// Version that the compare-and-swap expects.
    base: u8,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Operator {
    Idle,
    /// Has read a version and edits it.
    Editing(u8),
    Waiting(Bundle),
    Unknown(Bundle),
}

/// State of the operators and the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    /// Accepted bundles in order; version n is at index n - 1.
    accepted: Vec<Bundle>,
    operators: Vec<Operator>,
    flights: Vec<Bundle>,
    /// Bundles that their operators were told to be accepted.
    won: Vec<Bundle>,
    /// Bundles whose operators were told that another one was accepted.
    lost: Vec<Bundle>,
    operations: u8,
}

/// Transition of the operators and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An operator reads the bundle.
    Read(usize),
    /// An operator sends a bundle.
    Send(usize),
    /// The store processes a bundle and its operator gets the answer.
    Answer(usize),
    /// The store processes a bundle and the answer is lost.
    Process(usize),
    /// A bundle is lost on its way.
    Drop(usize),
    /// An operator gives up waiting.
    Timeout(usize),
    /// An operator reads the head to learn what became of its bundle.
    Resolve(usize),
}

impl Operators {
    fn is(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn version(state: &State) -> u8 {
        u8::try_from(state.accepted.len()).unwrap_or(u8::MAX)
    }

    fn process(&self, state: &mut State, bundle: Bundle) -> bool {
        let stored = bundle.base == Self::version(state) || self.is(Mutation::BlindBundle);
        if stored {
            state.accepted.push(bundle);
        }
        stored
    }

    fn finish(state: &mut State, index: usize, bundle: Bundle, won: bool) {
        if won {
            state.won.push(bundle);
        } else {
            state.lost.push(bundle);
        }
        state.operators[index] = Operator::Idle;
    }

    fn resolve(&self, state: &mut State, index: usize, bundle: Bundle) {
        let version = Self::version(state);
        let stored = state
            .accepted
            .last()
            .is_some_and(|head| head.operation == bundle.operation);
        if stored {
            Self::finish(state, index, bundle, true);
        } else if self.is(Mutation::ReapplyBundle) {
            let again = Bundle {
                base: version,
                ..bundle
            };
            state.flights.push(again);
            state.operators[index] = Operator::Waiting(again);
        } else {
            // The operator is shown the current bundle and starts again from it.
            state.operators[index] = Operator::Idle;
        }
    }
}

impl Specification for Operators {
    type State = State;
    type Step = Step;

    fn name(&self) -> &'static str {
        "operators"
    }

    fn bounds(&self) -> String {
        format!("{} operators, {} bundles", self.operators, self.writes)
    }

    fn start(&self) -> State {
        State {
            accepted: Vec::new(),
            operators: vec![Operator::Idle; self.operators],
            flights: Vec::new(),
            won: Vec::new(),
            lost: Vec::new(),
            operations: 0,
        }
    }

    fn successors(&self, state: &State, next: &mut Vec<(Step, State)>) {
        for (place, bundle) in state.flights.iter().enumerate() {
            let mut after = state.clone();
            after.flights.remove(place);
            next.push((Step::Drop(place), after.clone()));
            let stored = self.process(&mut after, *bundle);
            next.push((Step::Process(place), after.clone()));
            let waiting = Operator::Waiting(*bundle);
            if let Some(index) = state.operators.iter().position(|other| *other == waiting) {
                Self::finish(&mut after, index, *bundle, stored);
                next.push((Step::Answer(place), after));
            }
        }
        for index in 0..state.operators.len() {
            let mut after = state.clone();
            match state.operators[index] {
                Operator::Idle if state.operations < self.writes => {
                    after.operators[index] = Operator::Editing(Self::version(state));
                    next.push((Step::Read(index), after));
                }
                Operator::Editing(seen) if state.operations < self.writes => {
                    after.operations += 1;
                    let bundle = Bundle {
                        operation: after.operations,
                        seen,
                        base: seen,
                    };
                    after.flights.push(bundle);
                    after.operators[index] = Operator::Waiting(bundle);
                    next.push((Step::Send(index), after));
                }
                Operator::Waiting(bundle) => {
                    after.operators[index] = Operator::Unknown(bundle);
                    if self.is(Mutation::ClaimBundle) {
                        Self::finish(&mut after, index, bundle, true);
                    }
                    next.push((Step::Timeout(index), after));
                }
                Operator::Unknown(bundle) => {
                    self.resolve(&mut after, index, bundle);
                    next.push((Step::Resolve(index), after));
                }
                Operator::Idle | Operator::Editing(_) => {}
            }
        }
    }

    fn violation(&self, state: &State) -> Option<Rule> {
        let raced = state.won.iter().enumerate().any(|(index, bundle)| {
            let others = &state.won[index + 1..];
            others.iter().any(|other| other.seen == bundle.seen)
        });
        // Whoever is told of a loss must find the winner's bundle in the store.
        let nobody = state
            .lost
            .iter()
            .any(|bundle| usize::from(bundle.base) >= state.accepted.len());
        if raced || nobody {
            return Some(Rule::OneWinner);
        }
        // A bundle whose author had not seen the one before undoes it.
        state
            .accepted
            .iter()
            .enumerate()
            .any(|(version, bundle)| usize::from(bundle.seen) != version)
            .then_some(Rule::BundleKept)
    }

    fn describe(&self, state: &State) -> String {
        format!(
            "accepted {:?}, operators {:?}",
            state.accepted, state.operators
        )
    }
}
