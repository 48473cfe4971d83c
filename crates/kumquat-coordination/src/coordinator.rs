//! The `coordinator` module provides the planner of ledger changes.
//!
//! [`Coordinator::plan`] compares the ledger with the bundle and with what the VMs report, and returns at most one next
//! step. It holds no safety-critical state, so that any VM can take over at any time: every condition is evaluated at
//! the current ledger revision. See `docs/design.md`, section 4.

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

/// Inputs of [`Coordinator::plan`].
pub struct View<'a> {
    /// Latest ledger that is in the store.
    pub ledger: &'a Ledger,
    /// Bundle in force, the operator's configuration that the ledger has to follow.
    pub bundle: &'a Bundle,
    /// VMs whose heartbeats arrive, this one included, members or not.
    pub live: &'a [Member],
    /// VMs that are shutting down and have to hand over their roles.
    pub leaving: &'a [Vm],
    /// Returns whether this VM has proof that the incarnation is fenced.
    pub is_fenced: &'a dyn Fn(&Holder) -> bool,
    /// Returns whether the membership may change to the candidate now.
    pub may_change_membership: &'a dyn Fn(&Membership) -> bool,
    /// Latest report of each VM on each dispatch group for which it acts.
    pub group_reports: &'a [GroupReport],
    /// Latest confirmation of each VM.
    pub confirmations: &'a [Confirmation],
    /// Releases that holders have acknowledged; those for an earlier revision than the ledger's don't count.
    pub release_acks: &'a [ReleaseAck],
    /// Reported load of the keyed services; a service without reports is absent.
    pub service_loads: &'a [ServiceLoad],
}

/// Report of the acting holder of a dispatch group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GroupReport {
    /// Name of the role, always a [`RoleName::Group`].
    pub role: RoleName,
    /// Reporting VM and its incarnation.
    pub holder: Holder,
    /// Ledger revision under which the VM gathered the report.
    pub revision: Revision,
    /// Slots for which an upstream of the group may still have a grant, as inclusive ranges of first and last.
    ///
    /// Upstreams that have left the bundle count until their grants have expired.
    pub held_slots: Vec<(Slot, Slot)>,
    /// Hashes of the keys with a placement in the ledger for which an upstream of the group may still have a grant.
    pub held_keys: Vec<u64>,
    /// Upstreams of the group that do not respond.
    pub unreachable: Vec<Upstream>,
}

/// Confirmation of a VM that it has a ledger in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Confirming VM and its incarnation.
    pub holder: Holder,
    /// Revision of the ledger in force on the VM.
    pub revision: Revision,
    /// Dispatch groups for which the VM acts, or acted earlier with grants that may still be in force.
    pub acting: Vec<RoleName>,
}

/// Acknowledgement of a holder that it has stopped acting for a role.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReleaseAck {
    /// Released role.
    pub role: RoleName,
    /// VM and incarnation that released the role.
    pub holder: Holder,
    /// Ledger revision at which the role was released; under a higher one the holder may act again.
    pub revision: Revision,
}

/// Load of one keyed service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Name of the keyed service.
    pub service: Service,
    /// Requests per second by slot number, without those for keys with a placement; empty before the first report.
    pub slot_rates: Vec<f64>,
    /// Hash and requests per second of the hottest keys and of keys with a placement.
    pub key_rates: Vec<(u64, f64)>,
}

/// Next action of the coordinator.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Write this ledger to the store. The caller sets the coordinator epoch and the operation id.
    Write {
        /// Complete ledger, whose revision is one higher than that of the view.
        ledger: Box<Ledger>,
        /// Differences from the stored ledger, for the audit trail; not empty.
        changes: Vec<Change>,
    },
    /// Ask the holder to stop acting for the role and to answer with a [`ReleaseAck`].
    Release {
        /// Role to release.
        role: RoleName,
        /// VM and incarnation that has to release the role.
        holder: Holder,
    },
}

/// One change of the ledger.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Changed entry with its old and new value.
    pub subject: Subject,
    /// Reason for the change.
    pub cause: Cause,
}

/// Subject of a [`Change`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Subject {
    /// Member of the cell that joins or leaves.
    Member {
        /// Name of the VM.
        vm: Vm,
        /// Incarnation that leaves; none if a VM joins.
        from: Option<Incarnation>,
        /// Incarnation that joins; none if a VM leaves.
        to: Option<Incarnation>,
    },
    /// Holders of a role; an empty list stands for a role that does not exist.
    Holders {
        /// Name of the role.
        role: RoleName,
        /// Old holders in the order of succession.
        from: Vec<Holder>,
        /// New holders in the order of succession.
        to: Vec<Holder>,
    },
    /// Slot table of a service, created, resized or removed.
    Table {
        /// Name of the keyed service.
        service: Service,
        /// Old number of slots; none if the table is new.
        from: Option<u32>,
        /// New number of slots; none if the table is removed.
        to: Option<u32>,
    },
    /// Owner of a range of slots.
    Slots {
        /// Name of the keyed service.
        service: Service,
        /// First slot of the range.
        first: Slot,
        /// Last slot of the range, inclusive.
        last: Slot,
        /// Old owner; none if the slots were unassigned.
        from: Option<Upstream>,
        /// New owner; none if the slots are released for a move, a resize or a removal.
        to: Option<Upstream>,
    },
    /// Owner of a single key.
    Key {
        /// Name of the keyed service.
        service: Service,
        /// Hash of the key.
        key: u64,
        /// Old owner, that of the key's slot if the key had no placement; none if the key was being moved.
        from: Option<Upstream>,
        /// New owner; none if the key is being moved or belongs to the owner of its slot again.
        to: Option<Upstream>,
    },
}

/// Cause of a [`Change`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The cell had no members and has been formed.
    Formed,
    /// A VM has joined.
    Joined,
    /// A VM has been fenced.
    Fenced,
    /// A fenced incarnation leaves because a later one of the same VM waits to join.
    Replaced,
    /// A role or table has been added by the bundle.
    Added,
    /// A role, table or upstream is no longer in the bundle.
    Removed,
    /// A role has too few holders, or holders in the wrong order or data centre.
    Succession,
    /// Roles or load were distributed unevenly.
    Balance,
    /// A holder had released a role that it should keep.
    Reinstated,
    /// The upstream does not respond.
    Unreachable,
    /// The upstream is draining.
    Draining,
    /// An operator has taken the upstream's data centre out of service.
    DataCentreOut,
    /// Released slots or a released key get their new owner, the second write of a move.
    MoveCompleted,
    /// The number of slots has changed.
    Resized,
    /// An operator placed the key.
    Placed,
    /// The key is hot and its upstream overloaded.
    Hot,
    /// The key is no longer hot.
    NoLongerHot,
}

/// Plans the changes of one cell's ledger.
#[derive(Clone, Debug, Default)]
pub struct Coordinator {
    /// Time of the latest move of slots that only improved the balance.
    last_slot_rebalance: Option<Instant>,
    /// Time of the latest move of a hot key.
    last_hot_key_move: Option<Instant>,
}

impl Coordinator {
    /// Creates a planner for a VM that has just acquired the coordinator's lease.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the next step, or none if the ledger is up to date or the next change needs further reports.
    ///
    /// Safety and availability come first: lost VMs, then unfinished moves, then owners that must not receive requests,
    /// then placements, and balance last.
    pub fn plan(&mut self, now: Instant, view: &View<'_>) -> Option<Step> {
        let mut draft = Draft::new(view);
        members::plan_membership(&mut draft);
        holders::repair(&mut draft);
        if let Some(step) = draft.take_write() {
            return Some(step);
        }

        // Moves of all tables share one write, because each write makes all VMs confirm a new revision.
        moves::update_tables(&mut draft);
        moves::assign_released_slots(&mut draft);
        keys::assign_released_keys(&mut draft);
        moves::release_from_ineligible_owners(&mut draft);
        keys::release_misplaced_keys(&mut draft);
        if let Some(step) = draft.take_write() {
            return Some(step);
        }

        if let Some(step) = holders::reconcile(&mut draft) {
            return Some(step);
        }
        if moves::rebalance_slots(&mut draft, now, &mut self.last_slot_rebalance) {
            return draft.take_write();
        }
        if keys::rebalance_hot_keys(&mut draft, now, &mut self.last_hot_key_move) {
            return draft.take_write();
        }
        holders::reinstate(&mut draft);
        draft.take_write()
    }
}

/// Next ledger under construction, with the changes made so far.
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

    /// Returns the write of this draft, or none if nothing has changed.
    fn take_write(&mut self) -> Option<Step> {
        if self.changes.is_empty() {
            return None;
        }
        debug_assert_eq!(
            self.check_holder_lists(),
            Ok(()),
            "a planned holder list violates the change rule"
        );
        Some(Step::Write {
            ledger: Box::new(std::mem::take(&mut self.ledger)),
            changes: std::mem::take(&mut self.changes),
        })
    }

    /// Checks all holder lists against [`role::may_replace`]; a removed role counts as one without holders.
    fn check_holder_lists(&self) -> Result<(), role::Error> {
        let view = self.view;
        for old in &view.ledger.roles {
            let without_holders = ledger::Role {
                name: old.name.clone(),
                epoch: self.epoch(),
                holders: Vec::new(),
            };
            let new = self.ledger.role(&old.name).unwrap_or(&without_holders);
            let fenced: Vec<Holder> = old
                .holders
                .iter()
                .filter(|holder| (view.is_fenced)(holder))
                .cloned()
                .collect();
            let releases: Vec<Release> = view
                .release_acks
                .iter()
                .filter(|ack| ack.role == old.name)
                .map(|ack| Release {
                    holder: ack.holder.clone(),
                    revision: ack.revision,
                })
                .collect();
            role::may_replace(old, new, view.ledger.revision, &fenced, &releases)?;
        }
        Ok(())
    }

    /// Returns the epoch of every entry that this write changes.
    ///
    /// The revision is used as the epoch, so that a role that is removed and created again never reuses an epoch.
    fn epoch(&self) -> Epoch {
        Epoch(self.ledger.revision.0)
    }

    fn record_change(&mut self, subject: Subject, cause: Cause) {
        self.changes.push(Change { subject, cause });
    }
}

impl View<'_> {
    /// Returns the index and the first holder that is not fenced, the only one that may act; see [`role::acting`].
    fn acting_holder<'l>(&self, role: &'l ledger::Role) -> Option<(usize, &'l Holder)> {
        role.holders
            .iter()
            .enumerate()
            .find(|(_, holder)| !(self.is_fenced)(holder))
    }

    /// Returns the latest report of the acting holder, which may be of an earlier revision.
    fn group_report(&self, role: &ledger::Role) -> Option<&GroupReport> {
        let (_, holder) = self.acting_holder(role)?;
        self.group_reports
            .iter()
            .find(|report| report.role == role.name && report.holder == *holder)
    }

    /// Returns the reports of all dispatch groups of a service at the current revision, or none if one is missing.
    ///
    /// No upstream holds a slot or key that none of the reports lists. The acting holder must have reported at the
    /// current revision. Every other holder must have confirmed the current revision, so that it can't take over and
    /// grant slots by an outdated ledger; if it was acting when it adopted the revision, it must have reported as well.
    /// The last condition covers a successor that took over with an outdated ledger from a holder that was lost after
    /// its report.
    fn current_group_reports(&self, service: &Service) -> Option<Vec<&GroupReport>> {
        self.ledger
            .roles
            .iter()
            .filter(
                |role| matches!(&role.name, RoleName::Group { service: other, .. } if other == service),
            )
            .map(|role| {
                let (_, acting) = self.acting_holder(role)?;
                role.holders
                    .iter()
                    .filter(|holder| !(self.is_fenced)(holder))
                    .map(|holder| self.required_report(role, holder, holder == acting))
                    .collect::<Option<Vec<_>>>()
            })
            .collect::<Option<Vec<_>>>()
            .map(|reports| reports.into_iter().flatten().flatten().collect())
    }

    /// Returns the report of a listed holder, `Some(None)` if none is required of it, or `None` if its report or its
    /// confirmation is missing.
    #[expect(
        clippy::option_option,
        reason = "a report that is not required differs from one that is missing"
    )]
    fn required_report(
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
        let report = self.group_reports.iter().find(|report| {
            report.role == role.name && report.holder == *holder && report.revision >= revision
        })?;
        Some(Some(report))
    }

    fn has_released(&self, role: &RoleName, holder: &Holder) -> bool {
        self.release_acks.iter().any(|ack| {
            ack.role == *role && ack.holder == *holder && ack.revision >= self.ledger.revision
        })
    }

    fn is_live(&self, holder: &Holder) -> bool {
        self.live
            .iter()
            .any(|member| member.vm == holder.vm && member.incarnation == holder.incarnation)
    }

    /// Returns why the upstream must not own slots or keys of the service, or none if it may.
    fn ineligibility(&self, service: &Service, name: &Upstream) -> Option<Cause> {
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
        role.and_then(|role| self.group_report(role))
            .is_some_and(|report| report.unreachable.contains(name))
            .then_some(Cause::Unreachable)
    }

    /// Returns whether an operator has taken the data centre out of service.
    ///
    /// A data centre that the bundle does not list is not taken out, so that its VMs may hold roles.
    fn is_taken_out(&self, name: &DataCentre) -> bool {
        self.bundle
            .data_centres
            .iter()
            .any(|data_centre| data_centre.name == *name && !data_centre.active)
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

fn upstream_name(owner: Option<&slots::Owner>) -> Option<Upstream> {
    owner.map(|owner| owner.upstream.clone())
}
