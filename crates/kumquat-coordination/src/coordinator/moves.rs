//! Slot tables: which upstream owns which slots, changed in two writes per move.

use std::time::Duration;

use kumquat_state::bundle::{self, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident::{Service, Slot, Upstream};
use kumquat_state::slots::{Owner, SlotRange, Table};

use super::balance::SlotAssignment;
use super::{Cause, Draft, ServiceLoad, Subject, View, upstream_name};

/// Part of a table that may move at once for balance only: an upstream that joins cold gets its slots little by little.
const STEP_PART: u32 = 64;

/// Load of an idle slot, as a part of the mean load of a slot.
const IDLE_PART: u64 = 50;

/// Load of a service, in requests per second, below which it is spread by slots only.
///
/// The probes of a deployment that had just started, nine requests, led to ten ledger writes.
const LEAST_LOAD: f64 = 50.0;

/// Shortest time between two moves for balance; a cold upstream completes several requests per slot in between.
const BALANCE_EVERY: Duration = Duration::from_millis(200);

/// Creates tables for new services, and removes or resizes tables once no upstream holds any of their slots.
pub(super) fn update_tables(draft: &mut Draft<'_>) {
    for index in (0..draft.ledger.tables.len()).rev() {
        let table = &draft.ledger.tables[index];
        let service = table.service.clone();
        let slots = keyed(draft.view, &service);
        if slots == Some(table.slots) {
            continue;
        }
        let cause = if slots.is_some() {
            Cause::Resized
        } else {
            Cause::Removed
        };
        let is_empty = table.ranges.iter().all(|range| range.owner.is_none())
            && table
                .placements
                .iter()
                .all(|placement| placement.owner.is_none());
        if !is_empty {
            let owners = vec![None; table.slots as usize];
            replace(draft, index, owners, |_| cause);
            for placement in &mut draft.ledger.tables[index].placements {
                placement.owner = None;
            }
            continue;
        }
        let is_free = draft
            .view
            .current_group_reports(&service)
            .is_some_and(|groups| {
                groups
                    .iter()
                    .all(|group| group.held_slots.is_empty() && group.held_keys.is_empty())
            });
        if is_free {
            let from = Some(table.slots);
            match slots {
                Some(slots) => {
                    draft.ledger.tables[index] = Table::new(service.clone(), slots);
                }
                None => {
                    draft.ledger.tables.remove(index);
                }
            }
            let subject = Subject::Table {
                service,
                from,
                to: slots,
            };
            draft.record_change(subject, cause);
        }
    }

    let bundle = draft.view.bundle;
    for service in &bundle.services {
        if service.kind != ServiceKind::Keyed || draft.ledger.table(&service.name).is_some() {
            continue;
        }
        // A table that was removed just now comes back with the next step.
        let is_new = draft.view.ledger.table(&service.name).is_none();
        if is_new && service.slots > 0 {
            let tables = &mut draft.ledger.tables;
            let index = tables.partition_point(|table| table.service < service.name);
            tables.insert(index, Table::new(service.name.clone(), service.slots));
            let subject = Subject::Table {
                service: service.name.clone(),
                from: None,
                to: Some(service.slots),
            };
            draft.record_change(subject, Cause::Added);
        }
    }
}

/// Second write of each move: gives slots that nobody holds any more to the upstreams with the lowest load.
pub(super) fn assign_released_slots(draft: &mut Draft<'_>) {
    for index in 0..draft.ledger.tables.len() {
        let Some(table) = current(draft, index) else {
            continue;
        };
        if table.ranges.iter().all(|range| range.owner.is_some()) {
            continue;
        }
        let Some(groups) = draft.view.current_group_reports(&table.service) else {
            continue;
        };
        let (mut problem, upstreams) = problem(draft.view, table);
        if upstreams.is_empty() {
            continue;
        }
        let mut is_free = vec![false; table.slots as usize];
        for (first, last, owner) in table.spans() {
            is_free[first.0 as usize..=last.0 as usize].fill(owner.is_none());
        }
        for (first, last) in groups.iter().flat_map(|group| &group.held_slots) {
            let end = (last.0 as usize + 1).min(is_free.len());
            let start = (first.0 as usize).min(end);
            is_free[start..end].fill(false);
        }
        let free: Vec<u32> = (0..table.slots)
            .filter(|slot| is_free[*slot as usize])
            .collect();
        if free.is_empty() {
            continue;
        }

        problem.assign_free_slots(&free);
        let mut owners = expand(table);
        for slot in free {
            let owner = problem.owners[slot as usize].map(|upstream| Owner {
                upstream: upstreams[upstream].name.clone(),
                epoch: draft.epoch(),
            });
            owners[slot as usize] = owner;
        }
        replace(draft, index, owners, |_| Cause::MoveCompleted);
    }
}

/// First write for all slots whose owner must not have them.
///
/// It does not wait until the owner can be reached: the second write does.
pub(super) fn release_from_ineligible_owners(draft: &mut Draft<'_>) {
    for index in 0..draft.ledger.tables.len() {
        let Some(table) = current(draft, index) else {
            continue;
        };
        let service = table.service.clone();
        let view = draft.view;
        let has_other = !fit(view, &service).is_empty();
        let unfit = |owner: &Owner| {
            view.ineligibility(&service, &owner.upstream)
                // With no upstream to move to, one that may come back is better than none.
                .filter(|cause| *cause != Cause::Unreachable || has_other)
        };
        let is_fit = table
            .ranges
            .iter()
            .all(|range| range.owner.as_ref().and_then(unfit).is_none());
        if is_fit {
            continue;
        }
        let mut owners = Vec::with_capacity(table.slots as usize);
        for (first, last, owner) in table.spans() {
            let kept = owner.filter(|owner| unfit(owner).is_none()).cloned();
            owners.extend((first.0..=last.0).map(|_| kept.clone()));
        }
        replace(draft, index, owners, |from| {
            from.and_then(unfit).unwrap_or(Cause::MoveCompleted)
        });
    }
}

/// First write for a few slots of one table, if its load is spread too unevenly.
pub(super) fn rebalance_slots(
    draft: &mut Draft<'_>,
    now: Instant,
    last: &mut Option<Instant>,
) -> bool {
    if last.is_some_and(|last| now.saturating_since(last) < BALANCE_EVERY) {
        return false;
    }
    for index in 0..draft.ledger.tables.len() {
        let Some(table) = current(draft, index) else {
            continue;
        };
        // One move at a time per table keeps most of its keys served.
        if table.ranges.iter().any(|range| range.owner.is_none()) {
            continue;
        }
        let (problem, _) = problem(draft.view, table);
        let limit = (table.slots / STEP_PART).max(1) as usize;
        let chosen = problem.select_slots_to_move(limit);
        if chosen.is_empty() {
            continue;
        }
        let mut owners = expand(table);
        for slot in chosen {
            owners[slot as usize] = None;
        }
        replace(draft, index, owners, |_| Cause::Balance);
        *last = Some(now);
        return true;
    }
    false
}

/// Returns the table if the bundle still asks for it with this number of slots.
fn current<'d>(draft: &'d Draft<'_>, index: usize) -> Option<&'d Table> {
    let table = &draft.ledger.tables[index];
    (keyed(draft.view, &table.service) == Some(table.slots)).then_some(table)
}

fn keyed(view: &View<'_>, service: &Service) -> Option<u32> {
    let service = view.bundle.service(service)?;
    (service.kind == ServiceKind::Keyed && service.slots > 0).then_some(service.slots)
}

/// Returns the upstreams that may own slots of the service.
pub(super) fn fit<'v>(view: &View<'v>, service: &Service) -> Vec<&'v bundle::Upstream> {
    view.bundle
        .upstreams
        .iter()
        .filter(|upstream| {
            upstream.service == *service && view.ineligibility(service, &upstream.name).is_none()
        })
        .collect()
}

pub(super) fn load<'v>(view: &View<'v>, service: &Service) -> Option<&'v ServiceLoad> {
    view.service_loads
        .iter()
        .find(|load| load.service == *service)
}

/// Converts a rate into the integer unit of [`SlotAssignment`]: thousandths of a request per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates, and rates are neither negative nor near the limit"
)]
pub(super) fn units(rate: f64) -> u64 {
    (rate * 1_000.0) as u64
}

/// Returns the balance problem of a table, and the upstreams that its indexes stand for.
pub(super) fn problem<'v>(
    view: &View<'v>,
    table: &Table,
) -> (SlotAssignment, Vec<&'v bundle::Upstream>) {
    let upstreams = fit(view, &table.service);
    let index_of = |name: &Upstream| {
        upstreams
            .binary_search_by(|upstream| upstream.name.cmp(name))
            .ok()
    };
    // A few requests say nothing about how the load is spread.
    let load =
        load(view, &table.service).filter(|load| load.slot_rates.iter().sum::<f64>() >= LEAST_LOAD);
    let mut slot_loads: Vec<u64> = load
        .filter(|load| load.slot_rates.len() == table.slots as usize)
        .map_or_else(Vec::new, |load| {
            load.slot_rates.iter().map(|rate| units(*rate)).collect()
        });
    slot_loads.resize(table.slots as usize, 0);
    // An idle slot counts a little, because its keys cost memory and may wake up.
    let base = (slot_loads.iter().sum::<u64>() / u64::from(table.slots.max(1)) / IDLE_PART).max(1);
    for load in &mut slot_loads {
        *load += base;
    }

    let mut placed_loads = vec![0; upstreams.len()];
    for placement in &table.placements {
        let owner = placement
            .owner
            .as_ref()
            .and_then(|owner| index_of(&owner.upstream));
        let rate =
            load.and_then(|load| load.key_rates.iter().find(|(key, _)| *key == placement.key));
        if let (Some(owner), Some((_, rate))) = (owner, rate) {
            placed_loads[owner] += units(*rate);
        }
    }
    let mut owners = Vec::with_capacity(table.slots as usize);
    for (first, last, owner) in table.spans() {
        let owner = owner.and_then(|owner| index_of(&owner.upstream));
        owners.extend((first.0..=last.0).map(|_| owner));
    }
    let weights = upstreams
        .iter()
        .map(|upstream| u64::from(upstream.slots.max(1)))
        .collect();
    let problem = SlotAssignment {
        weights,
        placed_loads,
        slot_loads,
        owners,
    };
    (problem, upstreams)
}

fn expand(table: &Table) -> Vec<Option<Owner>> {
    let mut owners = Vec::with_capacity(table.slots as usize);
    for (first, last, owner) in table.spans() {
        owners.extend((first.0..=last.0).map(|_| owner.cloned()));
    }
    owners
}

/// Replaces the owners of a table and notes each range that changes.
fn replace(
    draft: &mut Draft<'_>,
    index: usize,
    owners: Vec<Option<Owner>>,
    cause: impl Fn(Option<&Owner>) -> Cause,
) {
    let before = expand(&draft.ledger.tables[index]);
    let service = draft.ledger.tables[index].service.clone();
    let mut start = 0;
    for slot in 0..before.len() {
        let is_last = slot + 1 == before.len()
            || before[slot + 1] != before[slot]
            || owners[slot + 1] != owners[slot];
        if !is_last {
            continue;
        }
        if before[slot] != owners[slot] {
            let subject = Subject::Slots {
                service: service.clone(),
                first: slot_of(start),
                last: slot_of(slot),
                from: upstream_name(before[slot].as_ref()),
                to: upstream_name(owners[slot].as_ref()),
            };
            draft.record_change(subject, cause(before[slot].as_ref()));
        }
        start = slot + 1;
    }

    let mut ranges: Vec<SlotRange> = Vec::new();
    for (slot, owner) in owners.into_iter().enumerate() {
        if ranges.last().is_none_or(|range| range.owner != owner) {
            ranges.push(SlotRange {
                first: slot_of(slot),
                owner,
            });
        }
    }
    draft.ledger.tables[index].ranges = ranges;
}

fn slot_of(index: usize) -> Slot {
    Slot(u32::try_from(index).unwrap_or(u32::MAX))
}
