//! The `ledger` module specifies coordinators that write the ledger by compare-and-swap.
//!
//! A step of one coordinator can come at any time after its last one, which covers pauses and late messages.

use crate::check::{Rule, Specification};
use crate::mutation::Mutation;

/// Slots that get an owner; none gets a second one, so a changed owner is a lost assignment.
const SLOTS: usize = 3;

/// Specification of the coordinators and the store.
#[derive(Clone, Copy, Debug)]
pub struct Coordinators {
    /// Number of coordinators.
    pub coordinators: usize,
    /// Largest number of writes that are sent.
    pub writes: u8,
    /// Rule that is left out.
    pub mutation: Option<Mutation>,
}

/// The stored ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
struct Document {
    revision: u8,
    epoch: u8,
    operation: u8,
    /// Operation that assigned each slot, or zero.
    slots: [u8; SLOTS],
}

/// A compare-and-swap on its way to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Write {
    base: u8,
    document: Document,
    /// The assigned slot; raising the epoch assigns none.
    slot: Option<usize>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Phase {
    /// Does not hold the lease, as far as it knows.
    Idle,
    /// Knows a ledger with its own epoch.
    Ready(Document),
    /// Waits for the answer to a write.
    Waiting(Write),
    /// The answer was lost.
    Unknown(Write),
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Coordinator {
    phase: Phase,
    epoch: u8,
    /// Writes that the store has not seen yet, for at most one of which the coordinator still waits.
    flights: Vec<Write>,
}

/// State of the coordinators and the store.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    store: Document,
    lease: Option<usize>,
    coordinators: Vec<Coordinator>,
    /// Acknowledged assignments: slot and operation.
    acknowledged: Vec<(usize, u8)>,
    operations: u8,
}

/// Transition of the coordinators and the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The lease lapses, whatever its holder is doing.
    Lapse,
    /// A coordinator takes the lease and raises the epoch.
    Take(usize),
    /// A coordinator sends a write that assigns a slot.
    Assign(usize, usize),
    /// The store processes a write and the answer arrives.
    Answer(usize, usize),
    /// The store processes a write and the answer is lost, or nobody waits for it.
    Process(usize, usize),
    /// A write is lost on its way, or the store is down.
    Drop(usize, usize),
    /// A coordinator gives up waiting.
    Timeout(usize),
    /// A coordinator reads the head to learn what became of its write.
    Resolve(usize),
}

impl Coordinators {
    fn is(&self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }

    fn send(state: &mut State, index: usize, mut write: Write) {
        state.operations += 1;
        write.document.operation = state.operations;
        write.document.revision = write.base + 1;
        if let Some(slot) = write.slot {
            write.document.slots[slot] = state.operations;
        }
        state.coordinators[index].flights.push(write);
        state.coordinators[index].phase = Phase::Waiting(write);
    }

    /// Processes a write at the store and returns whether it was stored.
    fn process(&self, state: &mut State, write: &Write) -> bool {
        if state.store.revision == write.base || self.is(Mutation::BlindPut) {
            state.store = write.document;
            return true;
        }
        false
    }

    /// Takes note of a write that is known to be stored.
    fn stored(state: &mut State, index: usize, write: &Write, current: Document) {
        if let Some(slot) = write.slot {
            state.acknowledged.push((slot, write.document.operation));
        }
        let coordinator = &mut state.coordinators[index];
        coordinator.epoch = write.document.epoch;
        coordinator.phase = Phase::Ready(current);
    }

    /// Goes on from the current ledger, unless a later coordinator has taken over.
    fn reread(state: &mut State, index: usize) {
        let store = state.store;
        let coordinator = &mut state.coordinators[index];
        coordinator.phase = if coordinator.epoch > 0 && coordinator.epoch == store.epoch {
            Phase::Ready(store)
        } else {
            Phase::Idle
        };
    }

    fn resolve(&self, state: &mut State, index: usize, write: &Write) {
        if state.store.operation == write.document.operation {
            let store = state.store;
            Self::stored(state, index, write, store);
        } else if self.is(Mutation::ReapplyPlan) && state.operations < self.writes {
            let base = state.store.revision;
            Self::send(state, index, Write { base, ..*write });
        } else {
            Self::reread(state, index);
        }
    }

    fn flights(&self, state: &State, index: usize, next: &mut Vec<(Step, State)>) {
        for (place, write) in state.coordinators[index].flights.iter().enumerate() {
            let mut after = state.clone();
            after.coordinators[index].flights.remove(place);
            next.push((Step::Drop(index, place), after.clone()));

            let stored = self.process(&mut after, write);
            next.push((Step::Process(index, place), after.clone()));
            if state.coordinators[index].phase == Phase::Waiting(*write) {
                if stored {
                    Self::stored(&mut after, index, write, write.document);
                } else {
                    Self::reread(&mut after, index);
                }
                next.push((Step::Answer(index, place), after));
            }
        }
    }
}

impl Specification for Coordinators {
    type State = State;
    type Step = Step;

    fn name(&self) -> &'static str {
        "ledger"
    }

    fn bounds(&self) -> String {
        format!(
            "{} coordinators, {SLOTS} slots, {} writes",
            self.coordinators, self.writes
        )
    }

    fn start(&self) -> State {
        let coordinator = Coordinator {
            phase: Phase::Idle,
            epoch: 0,
            flights: Vec::new(),
        };
        State {
            store: Document::default(),
            lease: None,
            coordinators: vec![coordinator; self.coordinators],
            acknowledged: Vec::new(),
            operations: 0,
        }
    }

    fn successors(&self, state: &State, next: &mut Vec<(Step, State)>) {
        if state.lease.is_some() {
            let mut after = state.clone();
            after.lease = None;
            next.push((Step::Lapse, after));
        }
        let sends = state.operations < self.writes;
        for index in 0..state.coordinators.len() {
            self.flights(state, index, next);
            match state.coordinators[index].phase {
                Phase::Idle if state.lease.is_none() && sends => {
                    let mut after = state.clone();
                    after.lease = Some(index);
                    let mut document = state.store;
                    document.epoch += 1;
                    let base = state.store.revision;
                    let slot = None;
                    Self::send(
                        &mut after,
                        index,
                        Write {
                            base,
                            document,
                            slot,
                        },
                    );
                    next.push((Step::Take(index), after));
                }
                // A coordinator that was paused does not know that its lease has lapsed.
                Phase::Ready(document) if sends => {
                    for slot in (0..SLOTS).filter(|slot| document.slots[*slot] == 0) {
                        let mut after = state.clone();
                        let base = document.revision;
                        let write = Write {
                            base,
                            document,
                            slot: Some(slot),
                        };
                        Self::send(&mut after, index, write);
                        next.push((Step::Assign(index, slot), after));
                    }
                }
                Phase::Waiting(write) => {
                    let mut after = state.clone();
                    after.coordinators[index].phase = Phase::Unknown(write);
                    if self.is(Mutation::AcknowledgeUnknown) {
                        Self::stored(&mut after, index, &write, write.document);
                    }
                    next.push((Step::Timeout(index), after));
                }
                Phase::Unknown(write) => {
                    let mut after = state.clone();
                    self.resolve(&mut after, index, &write);
                    next.push((Step::Resolve(index), after));
                }
                Phase::Idle | Phase::Ready(_) => {}
            }
        }
    }

    fn violation(&self, state: &State) -> Option<Rule> {
        state
            .acknowledged
            .iter()
            .any(|(slot, operation)| state.store.slots[*slot] != *operation)
            .then_some(Rule::AssignmentKept)
    }

    fn describe(&self, state: &State) -> String {
        format!(
            "{:?}, lease {:?}, acknowledged {:?}",
            state.store, state.lease, state.acknowledged
        )
    }
}
