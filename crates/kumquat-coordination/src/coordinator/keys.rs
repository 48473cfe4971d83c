//! Placements, which assign single keys to an upstream of their own: keys placed by operators, and hot keys.

use std::time::Duration;

use kumquat_state::clock::Instant;
use kumquat_state::ident::Upstream;
use kumquat_state::slots::{Owner, SlotTable};

use super::moves::{eligible_upstreams, service_load, slot_assignment, to_milli_rate};
use super::{Cause, Draft, Subject, View, upstream_name};

/// Divisor of an upstream's mean load that gives the rate from which on a key is hot.
const HOT_RATE_DIVISOR: u64 = 20;

/// Divisor of an upstream's mean load that gives the rate below which a placed key is no longer hot.
///
/// The hysteresis relative to [`HOT_RATE_DIVISOR`] keeps a key from moving back and forth.
const COOL_RATE_DIVISOR: u64 = 100;

/// Load of an upstream above which its hot keys are moved, in thousandths of the mean load.
const OVERLOAD_PERMILLE: u64 = 1_120;

/// Minimum time between two moves of hot keys; load reports need that long to show the effect.
const MIN_KEY_MOVE_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum number of placed keys of a service, twice the 130 hot keys that are expected.
const MAX_PLACED_KEYS: usize = 260;

/// Second write of a key's move: assigns released keys that no upstream holds, or removes their placement.
pub(super) fn assign_released_keys(draft: &mut Draft<'_>) {
    for index in 0..draft.ledger.tables.len() {
        let table = draft.ledger.tables[index].clone();
        let moving: Vec<u64> = table
            .placements
            .iter()
            .filter(|placement| placement.owner.is_none())
            .map(|placement| placement.key)
            .collect();
        if moving.is_empty() || draft.view.bundle.service(&table.service).is_none() {
            continue;
        }
        let Some(reports) = draft.view.current_group_reports(&table.service) else {
            continue;
        };
        for key in moving {
            if reports.iter().any(|report| report.held_keys.contains(&key)) {
                continue;
            }
            let to = destination(draft.view, &table, key);
            let cause = if to.is_some() {
                Cause::MoveCompleted
            } else {
                Cause::NoLongerHot
            };
            let owner = to.clone().map(|upstream| Owner {
                upstream,
                epoch: draft.epoch(),
            });
            let new_table = &mut draft.ledger.tables[index];
            if owner.is_some() {
                new_table.set_placement(key, owner);
            } else {
                new_table.clear_placement(key);
            }
            let subject = Subject::Key {
                service: table.service.clone(),
                key,
                from: None,
                to,
            };
            draft.record_change(subject, cause);
        }
    }
}

/// First write of a key's move: releases keys that an operator has placed elsewhere or whose owner is not eligible.
pub(super) fn release_misplaced_keys(draft: &mut Draft<'_>) {
    let view = draft.view;
    for index in 0..draft.ledger.tables.len() {
        let table = draft.ledger.tables[index].clone();
        for placement in &table.placements {
            let Some(owner) = &placement.owner else {
                continue;
            };
            if let Some(cause) = view.ineligibility(&table.service, &owner.upstream)
                && (cause != Cause::Unreachable
                    || !eligible_upstreams(view, &table.service).is_empty())
            {
                release_key(draft, index, placement.key, cause);
            }
        }
        for requested in &view.bundle.placements {
            if requested.service != table.service
                || view
                    .ineligibility(&table.service, &requested.upstream)
                    .is_some()
            {
                continue;
            }
            let position = table
                .placements
                .binary_search_by_key(&requested.key, |placement| placement.key);
            let must_move = position.is_err()
                || position.is_ok_and(|index| {
                    let owner = table.placements[index].owner.as_ref();
                    owner.is_some_and(|owner| owner.upstream != requested.upstream)
                });
            if must_move {
                release_key(draft, index, requested.key, Cause::Placed);
            }
        }
    }
}

/// First write of a key's move: releases a placed key that is no longer hot, or a hot key of an overloaded upstream.
///
/// Returns whether the draft has changed, and then sets `last_move`.
pub(super) fn rebalance_hot_keys(
    draft: &mut Draft<'_>,
    now: Instant,
    last_move: &mut Option<Instant>,
) -> bool {
    if last_move.is_some_and(|last| now.saturating_since(last) < MIN_KEY_MOVE_INTERVAL) {
        return false;
    }
    for index in 0..draft.ledger.tables.len() {
        let table = draft.ledger.tables[index].clone();
        let is_moving = table
            .placements
            .iter()
            .any(|placement| placement.owner.is_none());
        if is_moving || service_load(draft.view, &table.service).is_none() {
            continue;
        }
        let candidate = no_longer_hot(draft.view, &table)
            .map(|key| (key, Cause::NoLongerHot))
            .or_else(|| hottest_movable_key(draft.view, &table).map(|key| (key, Cause::Hot)));
        if let Some((key, cause)) = candidate {
            release_key(draft, index, key, cause);
            *last_move = Some(now);
            return true;
        }
    }
    false
}

fn release_key(draft: &mut Draft<'_>, index: usize, key: u64, cause: Cause) {
    let table = &mut draft.ledger.tables[index];
    let from = upstream_name(table.owner(key));
    table.set_placement(key, None);
    let subject = Subject::Key {
        service: table.service.clone(),
        key,
        from,
        to: None,
    };
    draft.record_change(subject, cause);
}

/// Returns the new owner of a released key, or none if the key belongs to the owner of its slot again.
fn destination(view: &View<'_>, table: &SlotTable, key: u64) -> Option<Upstream> {
    if let Some(upstream) = operator_placement(view, table, key) {
        let is_eligible = view.ineligibility(&table.service, upstream).is_none();
        return is_eligible.then(|| upstream.clone());
    }
    let rate = key_rate(view, table, key);
    let (assignment, upstreams) = slot_assignment(view, table);
    let totals = assignment.upstream_loads();
    if rate == 0 || rate < mean_load(&totals) / COOL_RATE_DIVISOR {
        return None;
    }
    let lowest = (0..totals.len())
        .min_by_key(|upstream| totals[*upstream] / assignment.weights[*upstream])?;
    Some(upstreams[lowest].name.clone())
}

fn no_longer_hot(view: &View<'_>, table: &SlotTable) -> Option<u64> {
    let (assignment, _) = slot_assignment(view, table);
    let mean = mean_load(&assignment.upstream_loads());
    table
        .placements
        .iter()
        .map(|placement| placement.key)
        .find(|key| {
            operator_placement(view, table, *key).is_none()
                && key_rate(view, table, *key) < mean / COOL_RATE_DIVISOR
        })
}

/// Returns the hottest key of an overloaded upstream whose move to the least loaded upstream improves the balance.
fn hottest_movable_key(view: &View<'_>, table: &SlotTable) -> Option<u64> {
    if table.placements.len() >= MAX_PLACED_KEYS {
        return None;
    }
    let (assignment, upstreams) = slot_assignment(view, table);
    let totals = assignment.upstream_loads();
    let mean = mean_load(&totals);
    let lowest = *totals.iter().min()?;
    service_load(view, &table.service)?
        .key_rates
        .iter()
        .map(|(key, rate)| (*key, to_milli_rate(*rate)))
        .filter(|(key, rate)| {
            let owner = table.owner(*key).and_then(|owner| {
                upstreams
                    .iter()
                    .position(|upstream| upstream.name == owner.upstream)
            });
            let reduces_overload = owner.is_some_and(|owner| {
                totals[owner] > mean * OVERLOAD_PERMILLE / 1_000
                    // The gain has to outweigh the time during which the key is unavailable.
                    && lowest + rate + mean / 10 < totals[owner]
            });
            *rate >= mean / HOT_RATE_DIVISOR
                && *rate > 0
                && reduces_overload
                && operator_placement(view, table, *key).is_none()
        })
        .max_by_key(|(key, rate)| (*rate, *key))
        .map(|(key, _)| key)
}

fn operator_placement<'v>(view: &View<'v>, table: &SlotTable, key: u64) -> Option<&'v Upstream> {
    view.bundle
        .placements
        .iter()
        .find(|placement| placement.service == table.service && placement.key == key)
        .map(|placement| &placement.upstream)
}

fn key_rate(view: &View<'_>, table: &SlotTable, key: u64) -> u64 {
    service_load(view, &table.service)
        .and_then(|load| load.key_rates.iter().find(|(hot, _)| *hot == key))
        .map_or(0, |(_, rate)| to_milli_rate(*rate))
}

fn mean_load(totals: &[u64]) -> u64 {
    totals.iter().sum::<u64>() / u64::try_from(totals.len().max(1)).unwrap_or(u64::MAX)
}
