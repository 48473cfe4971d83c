//! The `coordinator` module provides the planner of ledger changes.
//!
//! [`Coordinator::plan`] compares the ledger with the bundle and with what the VMs report, and returns at most one next
//! step. It keeps no state that matters for safety, so that any VM can take over at any time: all conditions are judged
//! at the present ledger revision. See `docs/design.md`, section 4.

pub mod balance;
mod holders;
mod keys;
mod members;
mod moves;
mod reform;

use kumquat_state::bundle::Bundle;
use kumquat_state::clock::Instant;
use kumquat_state::ident::{DataCentre, Epoch, Incarnation, Revision, Service, Slot, Upstream, Vm};
use kumquat_state::ledger::{self, Holder, Ledger, Member, Membership, RoleName};
use kumquat_state::slots;

pub use reform::reform;

use crate::role::{self, Release};

/// Everything that a plan is based on.
pub struct View<'a> {
    /// The ledger as stored.
    pub ledger: &'a Ledger,
    /// The bundle in force.
    pub bundle: &'a Bundle,
    /// VMs that are alive, members or not.
    pub live: &'a [Member],
    /// VMs that are about to stop and should hand over their roles.
    pub leaving: &'a [Vm],
    /// Whether this VM has established that the incarnation is fenced.
    pub is_fenced: &'a dyn Fn(&Holder) -> bool,
    /// Whether the ledger may change to the candidate membership at present.
    pub may_change_membership: &'a dyn Fn(&Membership) -> bool,
    /// Latest report of each VM on each dispatch group for which it acts.
    pub group_reports: &'a [GroupReport],
    /// What each VM has said of the ledger that it has in force, the latest of each.
    pub confirmations: &'a [Confirmation],
    /// Releases that holders have acknowledged.
    pub release_acks: &'a [ReleaseAck],
    /// Load of each keyed service.
    pub service_loads: &'a [ServiceLoad],
}

/// Report of the acting holder of a dispatch group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupReport {
    /// Role of the group.
    pub role: RoleName,
    /// The VM that reports.
    pub holder: Holder,
    /// Ledger revision under which the VM gathered the report.
    pub revision: Revision,
    /// Slots that some upstream of the group may still hold, as first and last; upstreams that have left the bundle
    /// count until their grants have lapsed.
    pub held_slots: Vec<(Slot, Slot)>,
    /// Keys with a placement in the ledger that some upstream of the group may still hold.
    pub held_keys: Vec<u64>,
    /// Upstreams of the group that do not answer.
    pub unreachable: Vec<Upstream>,
}

/// A VM says that it has a ledger in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// The VM.
    pub holder: Holder,
    /// Revision of its ledger.
    pub revision: Revision,
    /// Dispatch groups for which it acts, or has acted so that its grants may still be in force.
    pub acting: Vec<RoleName>,
}

/// A holder has stopped acting for a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseAck {
    /// The role.
    pub role: RoleName,
    /// The VM that released it.
    pub holder: Holder,
    /// Ledger revision under which it did; it may act again under a higher one.
    pub revision: Revision,
}

/// Load of one keyed service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// The service.
    pub service: Service,
    /// Requests per second of each slot, without those for placed keys; empty if nothing is known.
    pub slot_rates: Vec<f64>,
    /// Hottest keys and placed keys: hash and requests per second.
    pub key_rates: Vec<(u64, f64)>,
}

/// What the coordinator should do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Store this ledger. The writer sets the coordinator epoch and the operation id.
    Write {
        /// The ledger with the next revision.
        ledger: Box<Ledger>,
        /// What changes, for the audit trail.
        changes: Vec<Change>,
    },
    /// Ask the holder to stop acting for the role and to acknowledge that.
    Release {
        /// The role.
        role: RoleName,
        /// The holder.
        holder: Holder,
    },
}

/// One change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// What changes, from what to what.
    pub subject: Subject,
    /// Why it changes.
    pub cause: Cause,
}

/// Subject of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// A member of the cell.
    Member {
        /// Name of the VM.
        vm: Vm,
        /// Incarnation that was a member.
        from: Option<Incarnation>,
        /// Incarnation that becomes a member.
        to: Option<Incarnation>,
    },
    /// The holders of a role; an empty list stands for a role that does not exist.
    Holders {
        /// The role.
        role: RoleName,
        /// Holders before.
        from: Vec<Holder>,
        /// Holders after.
        to: Vec<Holder>,
    },
    /// The slot table of a service: its number of slots.
    Table {
        /// The service.
        service: Service,
        /// Number of slots before.
        from: Option<u32>,
        /// Number of slots after.
        to: Option<u32>,
    },
    /// The owner of a range of slots.
    Slots {
        /// The service.
        service: Service,
        /// First slot.
        first: Slot,
        /// Last slot.
        last: Slot,
        /// Owner before.
        from: Option<Upstream>,
        /// Owner after.
        to: Option<Upstream>,
    },
    /// The owner of a single key.
    Key {
        /// The service.
        service: Service,
        /// Hash of the key.
        key: u64,
        /// Owner before; none if the key followed its slot or was being moved.
        from: Option<Upstream>,
        /// Owner after; none if the key is being moved or follows its slot again.
        to: Option<Upstream>,
    },
}

/// Cause of a [`Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The cell starts.
    Formed,
    /// A VM has joined.
    Joined,
    /// A VM has been fenced.
    Fenced,
    /// A VM has been replaced by another run under the same name.
    Replaced,
    /// A role, table or placement is new in the bundle.
    Added,
    /// A role, table, placement or upstream is gone from the bundle.
    Removed,
    /// A role has too few holders, or holders at the wrong place.
    Succession,
    /// Roles or load were spread unevenly.
    Balance,
    /// A holder had released a role that it should keep.
    Reinstated,
    /// The upstream does not answer.
    Unreachable,
    /// The upstream is draining.
    Draining,
    /// The upstream's data centre has been taken out.
    DataCentreOut,
    /// The second half of a move.
    MoveCompleted,
    /// The number of slots has changed.
    Resized,
    /// An operator placed the key.
    Placed,
    /// The key is hot.
    Hot,
    /// The key is no longer hot.
    NoLongerHot,
}

/// Plans the changes of one cell's ledger.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    /// Time of the latest move that only serves balance.
    balanced: Option<Instant>,
    /// Time of the latest move of a hot key.
    key_moved: Option<Instant>,
}

impl Coordinator {
    /// Creates a coordinator that has just taken the lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next step, or none if the ledger is as it should be or has to wait for reports.
    ///
    /// Safety and availability come first: lost VMs, then moves that are half done, then owners that must not take work,
    /// then placements, and balance last.
    pub fn plan(&mut self, now: Instant, view: &View<'_>) -> Option<Step> {
        let mut draft = Draft::new(view);
        members::plan(&mut draft);
        holders::repair(&mut draft);
        if let Some(step) = draft.take() {
            return Some(step);
        }

        // Moves of all tables go into one write, because each write makes all VMs confirm a revision.
        moves::tables(&mut draft);
        moves::finish(&mut draft);
        keys::finish(&mut draft);
        moves::evacuate(&mut draft);
        keys::place(&mut draft);
        if let Some(step) = draft.take() {
            return Some(step);
        }

        if let Some(step) = holders::arrange(&mut draft) {
            return Some(step);
        }
        if moves::rebalance(&mut draft, now, &mut self.balanced) {
            return draft.take();
        }
        if keys::rebalance(&mut draft, now, &mut self.key_moved) {
            return draft.take();
        }
        holders::reinstate(&mut draft);
        draft.take()
    }
}

/// A ledger under change, with the changes so far.
struct Draft<'a> {
    view: &'a View<'a>,
    ledger: Ledger,
    changes: Vec<Change>,
}

impl<'a> Draft<'a> {
    fn new(view: &'a View<'a>) -> Self {
        let mut ledger = view.ledger.clone();
        ledger.format = ledger::FORMAT_VERSION;
        ledger.revision = Revision(ledger.revision.0 + 1);
        Self {
            view,
            ledger,
            changes: Vec::new(),
        }
    }

    /// Returns the write, if anything has changed.
    fn take(&mut self) -> Option<Step> {
        if self.changes.is_empty() {
            return None;
        }
        debug_assert_eq!(
            self.check_holders(),
            Ok(()),
            "a planned holder list breaks the change rule"
        );
        Some(Step::Write {
            ledger: Box::new(std::mem::take(&mut self.ledger)),
            changes: std::mem::take(&mut self.changes),
        })
    }

    /// Checks all holder lists against the change rule; a removed role counts as one without holders.
    fn check_holders(&self) -> Result<(), role::Error> {
        let view = self.view;
        for old in &view.ledger.roles {
            let removed = ledger::Role {
                name: old.name.clone(),
                epoch: self.epoch(),
                holders: Vec::new(),
            };
            let new = self.ledger.role(&old.name).unwrap_or(&removed);
            let fenced: Vec<Holder> = old
                .holders
                .iter()
                .filter(|holder| (view.is_fenced)(holder))
                .cloned()
                .collect();
            let released: Vec<Release> = view
                .release_acks
                .iter()
                .filter(|released| released.role == old.name)
                .map(|released| Release {
                    holder: released.holder.clone(),
                    revision: released.revision,
                })
                .collect();
            role::may_replace(old, new, view.ledger.revision, &fenced, &released)?;
        }
        Ok(())
    }

    /// Returns the epoch of all that this write changes.
    ///
    /// The revision serves as epoch: a role that is removed and created again has a higher epoch than ever before.
    fn epoch(&self) -> Epoch {
        Epoch(self.ledger.revision.0)
    }

    fn note(&mut self, subject: Subject, cause: Cause) {
        self.changes.push(Change { subject, cause });
    }
}

impl View<'_> {
    /// Returns the first holder that is not fenced: the only one that may act, as in [`role::acting`].
    fn acting<'l>(&self, role: &'l ledger::Role) -> Option<(usize, &'l Holder)> {
        role.holders
            .iter()
            .enumerate()
            .find(|(_, holder)| !(self.is_fenced)(holder))
    }

    /// Returns the latest report of the acting holder, whatever its revision.
    fn group(&self, role: &ledger::Role) -> Option<&GroupReport> {
        let (_, holder) = self.acting(role)?;
        self.group_reports
            .iter()
            .find(|group| group.role == role.name && group.holder == *holder)
    }

    /// Returns the reports of all dispatch groups of a service, if they prove what no upstream holds any more.
    ///
    /// A slot or key that none of them lists is free. The acting holder must have reported at the present revision. Every
    /// other listed holder must have the present revision, so that it can't take over and grant what an outdated ledger
    /// says; if it acted when it took the revision over, it must have reported as well. The last condition covers a
    /// successor that took over with an outdated ledger from a holder that had reported before it was lost.
    fn settled(&self, service: &Service) -> Option<Vec<&GroupReport>> {
        self.ledger
            .roles
            .iter()
            .filter(
                |role| matches!(&role.name, RoleName::Group { service: of, .. } if of == service),
            )
            .map(|role| {
                let (_, acting) = self.acting(role)?;
                role.holders
                    .iter()
                    .filter(|holder| !(self.is_fenced)(holder))
                    .map(|holder| self.settled_by(role, holder, holder == acting))
                    .collect::<Option<Vec<_>>>()
            })
            .collect::<Option<Vec<_>>>()
            .map(|reports| reports.into_iter().flatten().flatten().collect())
    }

    /// Returns the report that a listed holder owes, if it owes one; none at all if its word is still missing.
    #[expect(
        clippy::option_option,
        reason = "no report owed and word still missing are different results"
    )]
    fn settled_by(
        &self,
        role: &ledger::Role,
        holder: &Holder,
        must_report: bool,
    ) -> Option<Option<&GroupReport>> {
        let revision = self.ledger.revision;
        if !must_report {
            let confirmation = self.confirmations.iter().find(|confirmation| {
                confirmation.holder == *holder && confirmation.revision >= revision
            })?;
            if !confirmation.acting.contains(&role.name) {
                return Some(None);
            }
        }
        let report = self.group_reports.iter().find(|group| {
            group.role == role.name && group.holder == *holder && group.revision >= revision
        })?;
        Some(Some(report))
    }

    fn has_released(&self, role: &RoleName, holder: &Holder) -> bool {
        self.release_acks.iter().any(|released| {
            released.role == *role
                && released.holder == *holder
                && released.revision >= self.ledger.revision
        })
    }

    fn is_live(&self, holder: &Holder) -> bool {
        self.live
            .iter()
            .any(|member| member.vm == holder.vm && member.incarnation == holder.incarnation)
    }

    /// Returns why the upstream must not own anything, or none if it may.
    fn unfit(&self, service: &Service, name: &Upstream) -> Option<Cause> {
        let Some(upstream) = self.bundle.upstream(name) else {
            return Some(Cause::Removed);
        };
        if upstream.service != *service {
            return Some(Cause::Removed);
        }
        if !self.bundle.is_active(&upstream.data_centre) {
            return Some(Cause::DataCentreOut);
        }
        if !self.bundle.takes_work(upstream) {
            return Some(Cause::Draining);
        }
        let role = self.ledger.role(&RoleName::Group {
            service: service.clone(),
            data_centre: upstream.data_centre.clone(),
        });
        role.and_then(|role| self.group(role))
            .is_some_and(|group| group.unreachable.contains(name))
            .then_some(Cause::Unreachable)
    }

    /// Returns whether operators have taken the data centre out; VMs of an unlisted one may hold roles.
    fn is_out(&self, name: &DataCentre) -> bool {
        self.bundle
            .data_centres
            .iter()
            .any(|centre| centre.name == *name && !centre.active)
    }
}

impl std::fmt::Debug for View<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("View")
            .field("revision", &self.ledger.revision)
            .field("live", &self.live.len())
            .finish_non_exhaustive()
    }
}

fn name_of(owner: Option<&slots::Owner>) -> Option<Upstream> {
    owner.map(|owner| owner.upstream.clone())
}
