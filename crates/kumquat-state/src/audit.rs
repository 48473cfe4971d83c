//! The `audit` module provides the trail of everything that changed who may do what.
//!
//! Entries hold only names, numbers and enums, so that no secret and no free text can get into the trail. The reason
//! that an operator gave stands in the envelope of the version that an entry names. See `docs/design.md`, section 2.1.

mod segment;
mod show;

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::bundle::{Bundle, Change, State, diff};
use crate::ident;
use crate::ledger;

pub use segment::{
    Error, Gap, Hash, SEGMENT_ENTRY_LIMIT, SEGMENT_LIMIT, Segment, store_key, verify_chain,
};

/// Who caused a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Actor {
    /// An operator, by the name of the signing key.
    Operator(ident::Signer),
    /// A process of the system, by its VM.
    Vm(ident::Vm),
}

/// What changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum What {
    /// A bundle was accepted by the store.
    BundleAccepted,
    /// A bundle came into force at a VM.
    BundleInForce,
    /// A caller key was granted.
    KeyGranted(ident::CallerKey),
    /// A caller key was withdrawn.
    KeyWithdrawn(ident::CallerKey),
    /// A data centre was taken out of service.
    DataCentreOut(ident::DataCentre),
    /// A data centre was put back into service.
    DataCentreIn(ident::DataCentre),
    /// The rate of a team changed.
    RateChanged(ident::Team),
    /// A range of slots got another owner.
    OwnerChanged {
        /// Service of the slots.
        service: ident::Service,
        /// First slot.
        first: ident::Slot,
        /// Last slot.
        last: ident::Slot,
    },
    /// A single key got another owner.
    KeyOwnerChanged {
        /// Service of the key.
        service: ident::Service,
        /// Hash of the key.
        key: u64,
    },
    /// A role got another holder.
    HolderChanged(ledger::RoleName),
    /// Another VM became coordinator.
    CoordinatorChanged,
    /// A VM joined or left the membership.
    MembershipChanged(ident::Vm),
    /// An upstream was ejected as an outlier.
    Ejected(ident::Upstream),
    /// An ejected upstream was admitted again.
    Readmitted(ident::Upstream),
    /// An upstream started draining.
    Drained(ident::Upstream),
    /// An upstream takes work again.
    Undrained(ident::Upstream),
    /// An upstream turned cold.
    TurnedCold(ident::Upstream),
    /// An upstream turned warm.
    TurnedWarm(ident::Upstream),
}

/// Earlier or later state of what changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Value {
    /// An upstream.
    Upstream(ident::Upstream),
    /// A run of a VM.
    Holder(ledger::Holder),
    /// A version.
    Version(ident::Version),
    /// A rate, in requests per second.
    Rate(u32),
    /// A team.
    Team(ident::Team),
}

/// Why something changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Cause {
    /// An operator asked for it by this write.
    Requested(ident::Operation),
    /// A run of a VM was fenced.
    Fenced(ident::Incarnation),
    /// A lease lapsed.
    LeaseLapsed,
    /// The coordinator planned it.
    Planned,
    /// A key or slot was too hot for its owner.
    Hot,
    /// Requests were much slower than those of the other upstreams.
    Slow,
    /// Requests failed.
    Failing,
    /// The upstream was restarted.
    Restarted,
    /// Work went well again.
    Recovered,
}

/// One entry of the trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Wall-clock time in milliseconds since 1970; for humans only, since the clocks of VMs differ.
    pub when: u64,
    /// Who caused the change.
    pub who: Actor,
    /// What changed.
    pub what: What,
    /// Earlier state, if there was one.
    pub from: Option<Value>,
    /// Later state, if there is one.
    pub to: Option<Value>,
    /// Why it changed.
    pub cause: Cause,
    /// Version of the bundle or revision of the ledger that the change belongs to.
    pub version: ident::Version,
}

/// Returns the entries for a bundle that replaced another one.
#[must_use]
pub fn bundle_entries(
    when: u64,
    author: &ident::Signer,
    operation: ident::Operation,
    from: &Bundle,
    to: &Bundle,
) -> Vec<Entry> {
    let entry = |what, from, to_value| Entry {
        when,
        who: Actor::Operator(author.clone()),
        what,
        from,
        to: to_value,
        cause: Cause::Requested(operation),
        version: to.version,
    };
    let accepted = entry(
        What::BundleAccepted,
        Some(Value::Version(from.version)),
        Some(Value::Version(to.version)),
    );
    let mut entries = vec![accepted];
    for change in diff(from, to) {
        match change {
            Change::CallerKey(edit) => {
                // A key with another secret or team is one withdrawn key and one granted key.
                if let Some(key) = edit.from {
                    let team = Some(Value::Team(key.team));
                    entries.push(entry(What::KeyWithdrawn(key.name), team, None));
                }
                if let Some(key) = edit.to {
                    let team = Some(Value::Team(key.team));
                    entries.push(entry(What::KeyGranted(key.name), None, team));
                }
            }
            Change::DataCentre(edit) => {
                let was = edit.from.as_ref().is_some_and(|centre| centre.active);
                let is = edit.to.as_ref().is_some_and(|centre| centre.active);
                let name = edit.from.or(edit.to).map(|centre| centre.name);
                if let Some(name) = name.filter(|_| was != is) {
                    let what = if is {
                        What::DataCentreIn(name)
                    } else {
                        What::DataCentreOut(name)
                    };
                    entries.push(entry(what, None, None));
                }
            }
            Change::Upstream(edit) => {
                let active = |state: Option<State>| state == Some(State::Active);
                let was = active(edit.from.as_ref().map(|upstream| upstream.state));
                let is = active(edit.to.as_ref().map(|upstream| upstream.state));
                let name = edit.from.or(edit.to).map(|upstream| upstream.name);
                if let Some(name) = name.filter(|_| was != is) {
                    let what = if is {
                        What::Undrained(name)
                    } else {
                        What::Drained(name)
                    };
                    entries.push(entry(what, None, None));
                }
            }
            Change::Team(edit) => {
                let was = edit.from.as_ref().map(|team| Value::Rate(team.rate));
                let is = edit.to.as_ref().map(|team| Value::Rate(team.rate));
                let name = edit.from.or(edit.to).map(|team| team.name);
                if let Some(name) = name.filter(|_| was != is) {
                    entries.push(entry(What::RateChanged(name), was, is));
                }
            }
            Change::Placement(edit) => {
                let was = edit
                    .from
                    .as_ref()
                    .map(|place| Value::Upstream(place.upstream.clone()));
                let is = edit
                    .to
                    .as_ref()
                    .map(|place| Value::Upstream(place.upstream.clone()));
                if let Some(place) = edit.from.or(edit.to) {
                    let what = What::KeyOwnerChanged {
                        service: place.service,
                        key: place.key,
                    };
                    entries.push(entry(what, was, is));
                }
            }
            Change::Service(_) | Change::Route(_) => {}
        }
    }
    entries
}

/// The latest entries of a process, up to a fixed number.
#[derive(Clone, Debug)]
pub struct Ring {
    entries: VecDeque<Entry>,
    capacity: usize,
    dropped: u64,
}

impl Ring {
    /// Creates a ring for up to `capacity` entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Adds an entry; the oldest one makes room and is counted as dropped.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
        while self.entries.len() > self.capacity {
            self.entries.pop_front();
            self.dropped += 1;
        }
    }

    /// Returns the entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Takes up to `limit` of the oldest entries out, for a [`Segment`].
    pub fn drain(&mut self, limit: usize) -> Vec<Entry> {
        let count = limit.min(self.entries.len());
        self.entries.drain(..count).collect()
    }

    /// Returns the number of entries that were dropped for lack of room.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
