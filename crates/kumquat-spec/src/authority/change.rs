//! The `change` module provides the ledger writes of the coordinator in a cell.

use std::rc::Rc;

use kumquat_coordination::role::{Release, may_replace};
use kumquat_state::ident::Version;
use kumquat_state::ledger::{Holder, Ledger};

use super::{Cell, State, Step, member, name, vm};
use crate::mutation::Mutation;

/// A change of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Change {
    /// A VM leaves the membership.
    Leave(usize),
    /// The current incarnation of a VM joins the membership.
    Join(usize),
    /// The current incarnation of a VM replaces the listed one.
    Swap(usize),
    /// A holder is removed from the list.
    Remove(usize),
    /// A VM is appended to the list.
    Append(usize),
    /// The first holder becomes the last one.
    Rotate,
}

impl Cell {
    /// Adds the releases and ledger writes out of a state.
    pub(super) fn writes(&self, state: &State, next: &mut Vec<(Step, State)>) {
        if state.writes == 0 {
            return;
        }
        if self.bounds.holders && state.events > 0 {
            for index in 0..state.nodes.len() {
                Self::release(state, index, next);
            }
        }
        let changes = self.changes(state);
        for coordinator in 0..state.nodes.len() {
            // With an outdated ledger, the compare-and-swap fails and nothing changes.
            if state.nodes[coordinator].paused || !state.is_current(coordinator) {
                continue;
            }
            for change in &changes {
                let Some(ledger) = self.apply(state, coordinator, *change) else {
                    continue;
                };
                let mut after = state.clone();
                after.writes -= 1;
                after.history.changes.push(*change);
                Rc::make_mut(&mut after.history.ledgers).push(ledger);
                let known = after.history.ledgers.len();
                Self::learn(&mut after, coordinator, known);
                for pushed in [true, false] {
                    let mut after = after.clone();
                    if pushed {
                        after.pushed = known;
                    }
                    let (by, change) = (coordinator, *change);
                    next.push((Step::Write { by, change, pushed }, after));
                }
            }
        }
    }

    fn release(state: &State, index: usize, next: &mut Vec<(Step, State)>) {
        let revision = state.latest().revision;
        let node = &state.nodes[index];
        let held = state.latest().role(&name());
        let listed = held.is_some_and(|role| role.holders.contains(state.me(index)));
        if node.paused || !listed || node.released.is_released(&name(), revision) {
            return;
        }
        let mut after = state.clone();
        after.events -= 1;
        after.nodes[index].released.release(&name(), revision);
        after.releases.push(Release {
            holder: state.me(index).clone(),
            revision,
        });
        next.push((Step::Release(index), after));
    }

    fn changes(&self, state: &State) -> Vec<Change> {
        let mut changes = Vec::new();
        for index in 0..state.nodes.len() {
            if self.bounds.membership {
                changes.push(Change::Leave(index));
                changes.push(Change::Join(index));
                if self.is(Mutation::SwapIncarnation) {
                    changes.push(Change::Swap(index));
                }
            }
            if self.bounds.holders {
                changes.push(Change::Remove(index));
                changes.push(Change::Append(index));
            }
        }
        if self.bounds.holders {
            changes.push(Change::Rotate);
        }
        changes
    }

    /// Returns the changed ledger if the production rules allow the change.
    fn apply(&self, state: &State, coordinator: usize, change: Change) -> Option<Ledger> {
        let mut ledger = state.latest().clone();
        ledger.revision.0 += 1;
        match change {
            Change::Leave(_) | Change::Join(_) | Change::Swap(_) => {
                self.change_membership(state, coordinator, change, &mut ledger)?;
            }
            Change::Remove(_) | Change::Append(_) | Change::Rotate => {
                self.change_holders(state, coordinator, change, &mut ledger)?;
            }
        }
        Some(ledger)
    }

    fn change_membership(
        &self,
        state: &State,
        coordinator: usize,
        change: Change,
        ledger: &mut Ledger,
    ) -> Option<()> {
        let members = &mut ledger.membership.members;
        ledger.membership.version = Version(ledger.membership.version.0 + 1);
        let place = |index: usize| members.binary_search_by(|other| other.vm.cmp(&vm(index)));
        match change {
            Change::Leave(index) => {
                let place = place(index).ok()?;
                members.remove(place);
            }
            Change::Join(index) => {
                let place = place(index).err()?;
                members.insert(place, member(state.me(index)));
            }
            Change::Swap(index) => {
                let place = place(index).ok()?;
                let current = member(state.me(index));
                if members[place] == current {
                    return None;
                }
                members[place] = current;
            }
            Change::Remove(_) | Change::Append(_) | Change::Rotate => return None,
        }
        let machine = &state.nodes[coordinator].machine.inner;
        let allowed = match change {
            Change::Swap(_) => machine.is_membership_confirmed(state.now()),
            _ if self.is(Mutation::SkipConfirmation) => true,
            _ => machine.may_change_membership(state.now(), &ledger.membership),
        };
        (allowed && !ledger.membership.members.is_empty()).then_some(())
    }

    fn change_holders(
        &self,
        state: &State,
        coordinator: usize,
        change: Change,
        ledger: &mut Ledger,
    ) -> Option<()> {
        let base = state.latest().revision;
        let role = ledger.roles.first_mut()?;
        let old = role.clone();
        let place = |index: usize| old.holders.iter().position(|other| other.vm == vm(index));
        match change {
            Change::Remove(index) => {
                role.holders.remove(place(index)?);
            }
            Change::Append(index) if place(index).is_none() => {
                role.holders.push(state.me(index).clone());
            }
            Change::Rotate if role.holders.len() > 1 => role.holders.rotate_left(1),
            _ => return None,
        }
        let mut new = role.clone();
        new.epoch.0 += 1;
        let machine = &state.nodes[coordinator].machine.inner;
        let fenced: Vec<Holder> = old
            .holders
            .iter()
            .filter(|holder| machine.is_fenced(holder))
            .cloned()
            .collect();
        let allowed = may_replace(&old, &new, base, &fenced, &state.releases).is_ok();
        if !self.is(Mutation::SameEpoch) {
            *role = new;
        }
        (allowed || self.is(Mutation::SkipRelease)).then_some(())
    }
}
