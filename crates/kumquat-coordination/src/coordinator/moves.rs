//! Slot tables, which assign slots to upstreams; a move takes two writes, a release and an assignment.

use std::time::Duration;

use kumquat_state::bundle::{self, ServiceKind};
use kumquat_state::clock::Instant;
use kumquat_state::ident::{Service, Slot, Upstream};
use kumquat_state::slots::{Owner, SlotRange, SlotTable};

use super::balance::SlotAssignment;
use super::{Cause, Draft, ServiceLoad, Subject, View, upstream_name};

/// Divisor of a table's slot count that gives the most slots that one rebalancing step moves.
///
/// Small steps give an upstream that joins with a cold cache its slots gradually.
const REBALANCE_STEP_DIVISOR: u32 = 64;

/// Divisor of the mean load of a slot that gives the load assumed for an idle one.
const IDLE_LOAD_DIVISOR: u64 = 50;

/// Load of a service, in requests per second, below which slots are balanced by their number only.
///
/// Without it, nine probe requests after the start of a deployment led to ten ledger writes.
const MIN_LOAD_REQUESTS_PER_S: f64 = 50.0;

/// Minimum time between two rebalancing steps, in which a cold upstream completes several requests per slot.
const MIN_REBALANCE_INTERVAL: Duration = Duration::from_millis(200);

/// Creates the tables of new services, and removes or resizes a table once no upstream holds any of its slots.
pub(super) fn update_tables(draft: &mut Draft<'_>) {
    for index in (0..draft.ledger.tables.len()).rev() {
        let table = &draft.ledger.tables[index];
        let service = table.service.clone();
        let slots = keyed_slot_count(draft.view, &service);
        if slots == Some(table.slots) {
            continue;
        }
        let cause = if slots.is_some() {
            Cause::Resized
        } else {
            Cause::Removed
        };
        let is_unassigned = table.ranges.iter().all(|range| range.owner.is_none())
            && table
                .placements
                .iter()
                .all(|placement| placement.owner.is_none());
        if !is_unassigned {
            let owners = vec![None; table.slots as usize];
            replace_owners(draft, index, owners, |_| cause);
            for placement in &mut draft.ledger.tables[index].placements {
                placement.owner = None;
            }
            continue;
        }
        let is_unheld = draft
            .view
            .current_group_reports(&service)
            .is_some_and(|reports| {
                reports
                    .iter()
                    .all(|report| report.held_slots.is_empty() && report.held_keys.is_empty())
            });
        if is_unheld {
            let from = Some(table.slots);
            match slots {
                Some(slots) => {
                    draft.ledger.tables[index] = SlotTable::new(service.clone(), slots);
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
        // A table that this draft has removed is created again by the next step at the earliest.
        let is_new = draft.view.ledger.table(&service.name).is_none();
        if is_new && service.slots > 0 {
            let tables = &mut draft.ledger.tables;
            let index = tables.partition_point(|table| table.service < service.name);
            tables.insert(index, SlotTable::new(service.name.clone(), service.slots));
            let subject = Subject::Table {
                service: service.name.clone(),
                from: None,
                to: Some(service.slots),
            };
            draft.record_change(subject, Cause::Added);
        }
    }
}

/// Second write of a move: assigns released slots that no upstream holds to the upstreams with the lowest load.
pub(super) fn assign_released_slots(draft: &mut Draft<'_>) {
    for index in 0..draft.ledger.tables.len() {
        let Some(table) = unchanged_table(draft, index) else {
            continue;
        };
        if table.ranges.iter().all(|range| range.owner.is_some()) {
            continue;
        }
        let Some(reports) = draft.view.current_group_reports(&table.service) else {
            continue;
        };
        let (mut assignment, upstreams) = slot_assignment(draft.view, table);
        if upstreams.is_empty() {
            continue;
        }
        let mut is_free = vec![false; table.slots as usize];
        for (first, last, owner) in table.spans() {
            is_free[first.0 as usize..=last.0 as usize].fill(owner.is_none());
        }
        for (first, last) in reports.iter().flat_map(|report| &report.held_slots) {
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

        assignment.assign_free_slots(&free);
        let mut owners = owner_by_slot(table);
        for slot in free {
            let owner = assignment.owners[slot as usize].map(|upstream| Owner {
                upstream: upstreams[upstream].name.clone(),
                epoch: draft.epoch(),
            });
            owners[slot as usize] = owner;
        }
        replace_owners(draft, index, owners, |_| Cause::MoveCompleted);
    }
}

/// First write of a move: releases all slots whose owner is not eligible.
///
/// It does not wait until the owner can be reached; the second write waits for the owner's grants to end.
pub(super) fn release_from_ineligible_owners(draft: &mut Draft<'_>) {
    for index in 0..draft.ledger.tables.len() {
        let Some(table) = unchanged_table(draft, index) else {
            continue;
        };
        let service = table.service.clone();
        let view = draft.view;
        let has_alternative = !eligible_upstreams(view, &service).is_empty();
        let release_cause = |owner: &Owner| {
            view.ineligibility(&service, &owner.upstream)
                // Without an alternative the slots stay with an unreachable owner, because it may recover.
                .filter(|cause| *cause != Cause::Unreachable || has_alternative)
        };
        let is_eligible = table
            .ranges
            .iter()
            .all(|range| range.owner.as_ref().and_then(release_cause).is_none());
        if is_eligible {
            continue;
        }
        let mut owners = Vec::with_capacity(table.slots as usize);
        for (first, last, owner) in table.spans() {
            let kept = owner
                .filter(|owner| release_cause(owner).is_none())
                .cloned();
            owners.extend((first.0..=last.0).map(|_| kept.clone()));
        }
        replace_owners(draft, index, owners, |from| {
            from.and_then(release_cause).unwrap_or(Cause::MoveCompleted)
        });
    }
}

/// First write of a move: releases a few slots of one table if its load is too uneven.
///
/// Returns whether the draft has changed, and then sets `last_move`.
pub(super) fn rebalance_slots(
    draft: &mut Draft<'_>,
    now: Instant,
    last_move: &mut Option<Instant>,
) -> bool {
    if last_move.is_some_and(|last| now.saturating_since(last) < MIN_REBALANCE_INTERVAL) {
        return false;
    }
    for index in 0..draft.ledger.tables.len() {
        let Some(table) = unchanged_table(draft, index) else {
            continue;
        };
        // Only one move per table at a time, so that most of its keys stay available.
        if table.ranges.iter().any(|range| range.owner.is_none()) {
            continue;
        }
        let (assignment, _) = slot_assignment(draft.view, table);
        let limit = (table.slots / REBALANCE_STEP_DIVISOR).max(1) as usize;
        let chosen = assignment.select_slots_to_move(limit);
        if chosen.is_empty() {
            continue;
        }
        let mut owners = owner_by_slot(table);
        for slot in chosen {
            owners[slot as usize] = None;
        }
        replace_owners(draft, index, owners, |_| Cause::Balance);
        *last_move = Some(now);
        return true;
    }
    false
}

/// Returns the table if the bundle still has its service with the same number of slots.
fn unchanged_table<'d>(draft: &'d Draft<'_>, index: usize) -> Option<&'d SlotTable> {
    let table = &draft.ledger.tables[index];
    (keyed_slot_count(draft.view, &table.service) == Some(table.slots)).then_some(table)
}

fn keyed_slot_count(view: &View<'_>, service: &Service) -> Option<u32> {
    let service = view.bundle.service(service)?;
    (service.kind == ServiceKind::Keyed && service.slots > 0).then_some(service.slots)
}

/// Returns the upstreams that may own slots of the service, sorted by name.
pub(super) fn eligible_upstreams<'v>(
    view: &View<'v>,
    service: &Service,
) -> Vec<&'v bundle::Upstream> {
    view.bundle
        .upstreams
        .iter()
        .filter(|upstream| {
            upstream.service == *service && view.ineligibility(service, &upstream.name).is_none()
        })
        .collect()
}

pub(super) fn service_load<'v>(view: &View<'v>, service: &Service) -> Option<&'v ServiceLoad> {
    view.service_loads
        .iter()
        .find(|load| load.service == *service)
}

/// Converts requests per second into the unit of [`SlotAssignment`], thousandths of a request per second.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a float cast saturates, and rates are neither negative nor near the limit"
)]
pub(super) fn to_milli_rate(rate: f64) -> u64 {
    (rate * 1_000.0) as u64
}

/// Returns the current assignment of a table, and the upstreams to which its indexes refer.
pub(super) fn slot_assignment<'v>(
    view: &View<'v>,
    table: &SlotTable,
) -> (SlotAssignment, Vec<&'v bundle::Upstream>) {
    let upstreams = eligible_upstreams(view, &table.service);
    let index_of = |name: &Upstream| {
        upstreams
            .binary_search_by(|upstream| upstream.name.cmp(name))
            .ok()
    };
    // The distribution of a few requests is not representative.
    let load = service_load(view, &table.service)
        .filter(|load| load.slot_rates.iter().sum::<f64>() >= MIN_LOAD_REQUESTS_PER_S);
    let mut slot_loads: Vec<u64> = load
        .filter(|load| load.slot_rates.len() == table.slots as usize)
        .map_or_else(Vec::new, |load| {
            load.slot_rates
                .iter()
                .map(|rate| to_milli_rate(*rate))
                .collect()
        });
    slot_loads.resize(table.slots as usize, 0);
    // An idle slot counts a little, because its keys take memory and may get requests again.
    let idle_load =
        (slot_loads.iter().sum::<u64>() / u64::from(table.slots.max(1)) / IDLE_LOAD_DIVISOR).max(1);
    for load in &mut slot_loads {
        *load += idle_load;
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
            placed_loads[owner] += to_milli_rate(*rate);
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
    let assignment = SlotAssignment {
        weights,
        placed_loads,
        slot_loads,
        owners,
    };
    (assignment, upstreams)
}

fn owner_by_slot(table: &SlotTable) -> Vec<Option<Owner>> {
    let mut owners = Vec::with_capacity(table.slots as usize);
    for (first, last, owner) in table.spans() {
        owners.extend((first.0..=last.0).map(|_| owner.cloned()));
    }
    owners
}

/// Replaces the owners of a table and records each range that changes.
fn replace_owners(
    draft: &mut Draft<'_>,
    index: usize,
    owners: Vec<Option<Owner>>,
    cause: impl Fn(Option<&Owner>) -> Cause,
) {
    let old_owners = owner_by_slot(&draft.ledger.tables[index]);
    let service = draft.ledger.tables[index].service.clone();
    let mut start = 0;
    for slot in 0..old_owners.len() {
        let is_range_end = slot + 1 == old_owners.len()
            || old_owners[slot + 1] != old_owners[slot]
            || owners[slot + 1] != owners[slot];
        if !is_range_end {
            continue;
        }
        if old_owners[slot] != owners[slot] {
            let subject = Subject::Slots {
                service: service.clone(),
                first: to_slot(start),
                last: to_slot(slot),
                from: upstream_name(old_owners[slot].as_ref()),
                to: upstream_name(owners[slot].as_ref()),
            };
            draft.record_change(subject, cause(old_owners[slot].as_ref()));
        }
        start = slot + 1;
    }

    let mut ranges: Vec<SlotRange> = Vec::new();
    for (slot, owner) in owners.into_iter().enumerate() {
        if ranges.last().is_none_or(|range| range.owner != owner) {
            ranges.push(SlotRange {
                first: to_slot(slot),
                owner,
            });
        }
    }
    draft.ledger.tables[index].ranges = ranges;
}

fn to_slot(index: usize) -> Slot {
    Slot(u32::try_from(index).unwrap_or(u32::MAX))
}
