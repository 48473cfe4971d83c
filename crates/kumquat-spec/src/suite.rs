//! The `suite` module provides the list of specifications with their bounds.

use crate::authority::{Bounds, Cell};
use crate::check::{Report, Specification, explore};
use crate::ledger::Coordinators;
use crate::moves::Moves;
use crate::mutation::Mutation;
use crate::operators::Operators;

/// How far to explore.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Extent {
    /// Under a minute, for continuous integration.
    Bounded,
    /// Larger bounds.
    Large,
}

/// One exploration, ready to run on a thread of its own.
#[expect(missing_debug_implementations, reason = "a closure has no useful text")]
pub struct Exploration {
    /// Name of the specification.
    pub name: &'static str,
    /// Explores it.
    pub run: Box<dyn FnOnce() -> Report + Send>,
}

/// Faults without ledger changes.
pub const FAULTS: Bounds = Bounds {
    name: "authority",
    vms: 3,
    members: 3,
    faults: 2,
    writes: 0,
    events: 0,
    membership: false,
    holders: false,
    horizon: 10,
    filter: |_| true,
};

/// Membership changes without faults.
pub const MEMBERSHIP: Bounds = Bounds {
    name: "membership",
    vms: 4,
    members: 3,
    faults: 0,
    writes: 2,
    events: 2,
    membership: true,
    holders: false,
    horizon: 10,
    filter: |_| true,
};

/// A membership change under faults.
pub const MEMBERSHIP_FAULTS: Bounds = Bounds {
    name: "membership-faults",
    vms: 3,
    members: 3,
    faults: 1,
    writes: 2,
    events: 1,
    membership: true,
    holders: false,
    horizon: 8,
    filter: |_| true,
};

/// Changes of the holder list under faults.
pub const HOLDERS: Bounds = Bounds {
    name: "holders",
    vms: 3,
    members: 3,
    faults: 1,
    writes: 1,
    events: 2,
    membership: false,
    holders: true,
    horizon: 9,
    filter: |_| true,
};

fn exploration<S: Specification + Send + 'static>(specification: S) -> Exploration {
    Exploration {
        name: specification.name(),
        run: Box::new(move || explore(&specification)),
    }
}

/// Returns all specifications with the bounds of an extent.
#[must_use]
pub fn suite(extent: Extent, mutation: Option<Mutation>) -> Vec<Exploration> {
    let large = extent == Extent::Large;
    let pick = |bounded: u8, larger: u8| if large { larger } else { bounded };
    let cells = if large {
        let ticks = |bounds: Bounds, horizon| Bounds { horizon, ..bounds };
        let faults = Bounds {
            faults: 3,
            ..ticks(FAULTS, 5)
        };
        [
            faults,
            ticks(MEMBERSHIP, 11),
            ticks(MEMBERSHIP_FAULTS, 9),
            ticks(HOLDERS, 11),
        ]
    } else {
        [FAULTS, MEMBERSHIP, MEMBERSHIP_FAULTS, HOLDERS]
    };
    let mut suite: Vec<Exploration> = cells
        .into_iter()
        .map(|bounds| exploration(Cell { bounds, mutation }))
        .collect();
    suite.push(exploration(Coordinators {
        coordinators: usize::from(pick(2, 3)),
        writes: pick(5, 4),
        mutation,
    }));
    suite.push(exploration(Operators {
        operators: usize::from(pick(2, 3)),
        writes: 4,
        mutation,
    }));
    suite.push(exploration(Moves::new(pick(4, 6), mutation)));
    suite
}
