//! The `audit` module provides this VM's part of the audit trail.
//!
//! Entries go to a bounded ring for the admin endpoint and to a bounded queue from which the store gets them in batches.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use kumquat_coordination::coordinator::{self, Subject};
use kumquat_state::audit::Value;
use kumquat_state::audit::{Actor, Cause, Entry, Event, RingBuffer};
use kumquat_state::bundle::Bundle;
use kumquat_state::ident::{Epoch, Revision, Version, Vm};
use kumquat_state::ledger::Holder;

use crate::group::{Change, ChangeKind};

/// Entries that the admin endpoint shows.
const RECENT: usize = 1_024;

/// Entries that wait for the store; during a longer outage the oldest are dropped and counted.
const WAITING: usize = 8_192;

/// The trail of one VM; clones share it.
#[derive(Clone, Debug)]
pub struct Trail {
    vm: Vm,
    rings: Arc<Mutex<Rings>>,
}

#[derive(Debug)]
struct Rings {
    recent: RingBuffer,
    waiting: RingBuffer,
}

impl Trail {
    /// Creates an empty trail.
    #[must_use]
    pub fn new(vm: Vm) -> Self {
        let rings = Rings {
            recent: RingBuffer::new(RECENT),
            waiting: RingBuffer::new(WAITING),
        };
        Self {
            vm,
            rings: Arc::new(Mutex::new(rings)),
        }
    }

    /// Returns the recent entries, the oldest first.
    #[must_use]
    pub fn recent(&self) -> Vec<Entry> {
        self.lock().recent.iter().cloned().collect()
    }

    /// Returns the number of entries that were dropped before the store could take them.
    #[must_use]
    pub fn dropped(&self) -> u64 {
        self.lock().waiting.dropped()
    }

    /// Takes entries that wait for the store.
    #[must_use]
    pub fn take(&self, limit: usize) -> Vec<Entry> {
        self.lock().waiting.drain(limit)
    }

    /// Puts entries back that could not be stored; their order among newer ones is not kept, their times are.
    pub fn put_back(&self, entries: Vec<Entry>) {
        let mut rings = self.lock();
        for entry in entries {
            rings.waiting.push(entry);
        }
    }

    /// Records that a bundle is in force on this VM.
    pub fn bundle_in_force(&self, bundle: &Bundle) {
        let to = Some(Value::Version(bundle.version));
        self.add(
            Event::BundleInForce,
            (None, to),
            Cause::Planned,
            bundle.version,
        );
    }

    /// Records that this VM has become the coordinator.
    pub fn coordinator(&self, me: &Holder, epoch: Epoch) {
        let to = Some(Value::Holder(me.clone()));
        let version = Version(epoch.0);
        self.add(
            Event::CoordinatorChanged,
            (None, to),
            Cause::LeaseLapsed,
            version,
        );
    }

    /// Records that this VM has established a fence.
    pub fn fenced(&self, holder: &Holder) {
        let from = Some(Value::Holder(holder.clone()));
        let cause = Cause::Fenced(holder.incarnation);
        let what = Event::MembershipChanged(holder.vm.clone());
        self.add(what, (from, None), cause, Version(0));
    }

    /// Records a change of an upstream's state.
    pub fn upstream_changed(&self, change: &Change) {
        let upstream = change.upstream.clone();
        let (what, cause) = match change.kind {
            ChangeKind::Ejected => (Event::Ejected(upstream), Cause::Slow),
            ChangeKind::Reinstated => (Event::Readmitted(upstream), Cause::Recovered),
            ChangeKind::TurnedCold => (Event::TurnedCold(upstream), Cause::Restarted),
            ChangeKind::Warm => (Event::TurnedWarm(upstream), Cause::Recovered),
        };
        self.add(what, (None, None), cause, Version(0));
    }

    /// Records the changes of a ledger that this VM has written.
    pub fn ledger_changed(&self, changes: &[coordinator::Change], revision: Revision) {
        for change in changes {
            let cause = cause(change.cause);
            let version = Version(revision.0);
            match &change.subject {
                Subject::Member { vm, .. } => {
                    let what = Event::MembershipChanged(vm.clone());
                    self.add(what, (None, None), cause, version);
                }
                Subject::Holders { role, from, to } => {
                    let value = |holders: &[Holder]| holders.first().cloned().map(Value::Holder);
                    let what = Event::HolderChanged(role.clone());
                    self.add(what, (value(from), value(to)), cause, version);
                }
                Subject::Slots {
                    service,
                    first,
                    last,
                    from,
                    to,
                } => {
                    let what = Event::OwnerChanged {
                        service: service.clone(),
                        first: *first,
                        last: *last,
                    };
                    let values = (
                        from.clone().map(Value::Upstream),
                        to.clone().map(Value::Upstream),
                    );
                    self.add(what, values, cause, version);
                }
                Subject::Key {
                    service,
                    key,
                    from,
                    to,
                } => {
                    let what = Event::KeyOwnerChanged {
                        service: service.clone(),
                        key: *key,
                    };
                    let values = (
                        from.clone().map(Value::Upstream),
                        to.clone().map(Value::Upstream),
                    );
                    self.add(what, values, cause, version);
                }
                // The table's slots get owners in the same or a later write, which is recorded.
                Subject::Table { .. } => {}
            }
        }
    }

    fn add(
        &self,
        what: Event,
        (from, to): (Option<Value>, Option<Value>),
        cause: Cause,
        version: Version,
    ) {
        let when = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_millis();
        let entry = Entry {
            timestamp_ms: u64::try_from(when).unwrap_or(u64::MAX),
            actor: Actor::Vm(self.vm.clone()),
            event: what,
            from,
            to,
            cause,
            version,
        };
        let mut rings = self.lock();
        rings.recent.push(entry.clone());
        rings.waiting.push(entry);
    }

    fn lock(&self) -> MutexGuard<'_, Rings> {
        self.rings.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

const fn cause(cause: coordinator::Cause) -> Cause {
    use coordinator::Cause as From;
    match cause {
        From::Unreachable => Cause::Failing,
        From::Hot | From::NoLongerHot => Cause::Hot,
        _ => Cause::Planned,
    }
}
