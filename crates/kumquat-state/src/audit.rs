//! The `audit` module provides the audit trail: the record of changes of caller keys, rates, data centres, upstreams,
//! ownership, roles and membership.
//!
//! Entries consist of names, numbers and enums only, so that neither secrets nor free text can get into the trail. The
//! reason that an operator states is stored in the envelope of the bundle version that the entry refers to. See
//! `docs/design.md`, section 2.1.

mod segment;
mod show;

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::bundle::{Bundle, Change, UpstreamState, diff};
use crate::ident;
use crate::ledger;

pub use segment::{
    ChainError, Error, Hash, SEGMENT_ENTRY_LIMIT, SEGMENT_LIMIT_BYTES, Segment, store_key,
    verify_chain,
};

/// The originator of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Actor {
    /// An operator, identified by the name of the signing key.
    Operator(ident::Signer),
    /// A process of the system, identified by its VM.
    Vm(ident::Vm),
}

/// An audited change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Event {
    /// A bundle was stored as the successor of the previous version.
    BundleAccepted,
    /// A VM started to apply a bundle.
    BundleInForce,
    /// A caller key was added, or its secret or team was replaced.
    KeyGranted(ident::CallerKey),
    /// A caller key was removed, or its secret or team was replaced.
    KeyWithdrawn(ident::CallerKey),
    /// A data centre was taken out of service or removed.
    DataCentreOut(ident::DataCentre),
    /// A data centre was added or put back into service.
    DataCentreIn(ident::DataCentre),
    /// The rate limit of a team changed, or the team was added or removed.
    RateChanged(ident::Team),
    /// The owner of a range of slots changed.
    OwnerChanged {
        /// Keyed service whose key space was changed.
        service: ident::Service,
        /// First slot of the range, inclusive.
        first: ident::Slot,
        /// Last slot of the range, inclusive.
        last: ident::Slot,
    },
    /// The owner of a single key changed, or its placement in the bundle.
    KeyOwnerChanged {
        /// Keyed service to which the key belongs.
        service: ident::Service,
        /// Hash of the key, see [`crate::hash::key`].
        key: u64,
    },
    /// The holder of a role changed.
    HolderChanged(ledger::RoleName),
    /// Another VM became coordinator.
    CoordinatorChanged,
    /// A VM joined or left the membership.
    MembershipChanged(ident::Vm),
    /// An upstream was ejected by outlier detection.
    Ejected(ident::Upstream),
    /// An ejected upstream receives requests again.
    Readmitted(ident::Upstream),
    /// An operator set an upstream to draining, or removed an active one.
    Drained(ident::Upstream),
    /// An operator set an upstream to active, or added an active one.
    Undrained(ident::Upstream),
    /// An upstream entered its cold start, during which its concurrency is limited.
    TurnedCold(ident::Upstream),
    /// An upstream completed its cold start.
    TurnedWarm(ident::Upstream),
}

/// Old or new value of what an event changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Value {
    /// Owner of a slot range or key.
    Upstream(ident::Upstream),
    /// Holder of a role, or a run of a VM.
    Holder(ledger::Holder),
    /// Version of the bundle.
    Version(ident::Version),
    /// Rate limit, in requests per second.
    Rate(u32),
    /// Team of a caller key.
    Team(ident::Team),
}

/// The reason for a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Cause {
    /// An operator requested the change with this write to the store.
    Requested(ident::Operation),
    /// This incarnation of a VM was fenced.
    Fenced(ident::Incarnation),
    /// A lease expired.
    LeaseLapsed,
    /// The change was planned and is not a reaction to a failure.
    Planned,
    /// A key or slot had a higher load than its owner could serve.
    Hot,
    /// The upstream's latency was much higher than that of its peers.
    Slow,
    /// The upstream failed requests.
    Failing,
    /// The upstream restarted.
    Restarted,
    /// The upstream recovered.
    Recovered,
}

/// An entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Wall-clock time in milliseconds since the Unix epoch; informative only, since the clocks of VMs differ.
    #[serde(rename = "when")]
    pub timestamp_ms: u64,
    /// Operator or VM that caused the change.
    #[serde(rename = "who")]
    pub actor: Actor,
    /// The change.
    #[serde(rename = "what")]
    pub event: Event,
    /// Old value, if the event has one.
    pub from: Option<Value>,
    /// New value, if the event has one.
    pub to: Option<Value>,
    /// Reason for the change.
    pub cause: Cause,
    /// Version of the bundle, revision of the ledger or epoch of the coordinator that the change belongs to; zero if it
    /// belongs to none.
    pub version: ident::Version,
}

/// Returns the audit entries for the replacement of the bundle `from` by `to`.
///
/// `operation` is the write that stored `to`, and `timestamp_ms` the time in milliseconds since the Unix epoch.
#[must_use]
pub fn bundle_entries(
    timestamp_ms: u64,
    author: &ident::Signer,
    operation: ident::Operation,
    from: &Bundle,
    to: &Bundle,
) -> Vec<Entry> {
    let entry = |event, old, new| Entry {
        timestamp_ms,
        actor: Actor::Operator(author.clone()),
        event,
        from: old,
        to: new,
        cause: Cause::Requested(operation),
        version: to.version,
    };
    let accepted = entry(
        Event::BundleAccepted,
        Some(Value::Version(from.version)),
        Some(Value::Version(to.version)),
    );
    let mut entries = vec![accepted];
    for change in diff(from, to) {
        match change {
            Change::CallerKey(edit) => {
                // A replaced secret or team is recorded as a withdrawal followed by a grant.
                if let Some(key) = edit.from {
                    let team = Some(Value::Team(key.team));
                    entries.push(entry(Event::KeyWithdrawn(key.name), team, None));
                }
                if let Some(key) = edit.to {
                    let team = Some(Value::Team(key.team));
                    entries.push(entry(Event::KeyGranted(key.name), None, team));
                }
            }
            Change::DataCentre(edit) => {
                let before = edit.from.as_ref().is_some_and(|centre| centre.active);
                let after = edit.to.as_ref().is_some_and(|centre| centre.active);
                let name = edit.from.or(edit.to).map(|centre| centre.name);
                if let Some(name) = name.filter(|_| before != after) {
                    let event = if after {
                        Event::DataCentreIn(name)
                    } else {
                        Event::DataCentreOut(name)
                    };
                    entries.push(entry(event, None, None));
                }
            }
            Change::Upstream(edit) => {
                let is_active = |state: Option<UpstreamState>| state == Some(UpstreamState::Active);
                let before = is_active(edit.from.as_ref().map(|upstream| upstream.state));
                let after = is_active(edit.to.as_ref().map(|upstream| upstream.state));
                let name = edit.from.or(edit.to).map(|upstream| upstream.name);
                if let Some(name) = name.filter(|_| before != after) {
                    let event = if after {
                        Event::Undrained(name)
                    } else {
                        Event::Drained(name)
                    };
                    entries.push(entry(event, None, None));
                }
            }
            Change::Team(edit) => {
                let before = edit.from.as_ref().map(|team| Value::Rate(team.rate));
                let after = edit.to.as_ref().map(|team| Value::Rate(team.rate));
                let name = edit.from.or(edit.to).map(|team| team.name);
                if let Some(name) = name.filter(|_| before != after) {
                    entries.push(entry(Event::RateChanged(name), before, after));
                }
            }
            Change::Placement(edit) => {
                let before = edit
                    .from
                    .as_ref()
                    .map(|placement| Value::Upstream(placement.upstream.clone()));
                let after = edit
                    .to
                    .as_ref()
                    .map(|placement| Value::Upstream(placement.upstream.clone()));
                if let Some(placement) = edit.from.or(edit.to) {
                    let event = Event::KeyOwnerChanged {
                        service: placement.service,
                        key: placement.key,
                    };
                    entries.push(entry(event, before, after));
                }
            }
            Change::Service(_) | Change::Route(_) => {}
        }
    }
    entries
}

/// A ring buffer of the latest entries, which counts the entries that it drops.
#[derive(Clone, Debug)]
pub struct RingBuffer {
    entries: VecDeque<Entry>,
    capacity: usize,
    dropped: u64,
}

impl RingBuffer {
    /// Creates an empty buffer for up to `capacity` entries.
    #[must_use]
    pub fn new(capacity: usize) -> Self {
        Self {
            entries: VecDeque::new(),
            capacity,
            dropped: 0,
        }
    }

    /// Appends an entry; if the buffer is full, the oldest entry is dropped.
    pub fn push(&mut self, entry: Entry) {
        self.entries.push_back(entry);
        while self.entries.len() > self.capacity {
            self.entries.pop_front();
            self.dropped += 1;
        }
    }

    /// Iterates over the entries, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }

    /// Removes and returns up to `limit` of the oldest entries, which the caller writes as a [`Segment`].
    pub fn drain(&mut self, limit: usize) -> Vec<Entry> {
        let count = limit.min(self.entries.len());
        self.entries.drain(..count).collect()
    }

    /// Returns the number of entries that were dropped because the buffer was full.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
