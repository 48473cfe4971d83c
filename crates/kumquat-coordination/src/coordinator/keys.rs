//! Single keys with an owner of their own: those that operators have placed, and hot ones.

use std::time::Duration;

use kumquat_state::clock::Instant;
use kumquat_state::ident::Upstream;
use kumquat_state::slots::{Owner, Table};

use super::moves::{fit, load, problem, units};
use super::{Cause, Draft, Subject, View, upstream_name};

/// Rate from which on a key is hot, as a part of the mean load of an upstream.
const HOT_PART: u64 = 20;

/// Rate below which a placed key is no longer hot, as a part of the mean load of an upstream; the gap to [`HOT_PART`]
/// keeps a key from moving back and forth.
const COOL_PART: u64 = 100;

/// Load of an upstream from which on its hot keys move away, in thousandths of the mean.
const OVERLOAD: u64 = 1_120;

/// Shortest time between two moves of hot keys; load reports need that long to show the effect.
const MOVE_EVERY: Duration = Duration::from_secs(1);

/// Most placed keys of a service: twice the 130 hottest keys that are expected to matter.
const PLACED_MAX: usize = 260;

/// Second write of the move of a key.
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
        let Some(groups) = draft.view.current_group_reports(&table.service) else {
            continue;
        };
        for key in moving {
            if groups.iter().any(|group| group.held_keys.contains(&key)) {
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
            let changed = &mut draft.ledger.tables[index];
            if owner.is_some() {
                changed.set_placement(key, owner);
            } else {
                changed.clear_placement(key);
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

/// First write for keys that an operator has placed elsewhere, and for keys whose owner must not have them.
pub(super) fn release_misplaced_keys(draft: &mut Draft<'_>) {
    let view = draft.view;
    for index in 0..draft.ledger.tables.len() {
        let table = draft.ledger.tables[index].clone();
        for placement in &table.placements {
            let Some(owner) = &placement.owner else {
                continue;
            };
            if let Some(cause) = view.ineligibility(&table.service, &owner.upstream)
                && (cause != Cause::Unreachable || !fit(view, &table.service).is_empty())
            {
                release(draft, index, placement.key, cause);
            }
        }
        for wanted in &view.bundle.placements {
            if wanted.service != table.service
                || view
                    .ineligibility(&table.service, &wanted.upstream)
                    .is_some()
            {
                continue;
            }
            let place = table
                .placements
                .binary_search_by_key(&wanted.key, |placement| placement.key);
            let is_due = place.is_err()
                || place.is_ok_and(|place| {
                    let owner = table.placements[place].owner.as_ref();
                    owner.is_some_and(|owner| owner.upstream != wanted.upstream)
                });
            if is_due {
                release(draft, index, wanted.key, Cause::Placed);
            }
        }
    }
}

/// First write for one hot key of an overloaded upstream, or for one placed key that is no longer hot.
pub(super) fn rebalance_hot_keys(
    draft: &mut Draft<'_>,
    now: Instant,
    last: &mut Option<Instant>,
) -> bool {
    if last.is_some_and(|last| now.saturating_since(last) < MOVE_EVERY) {
        return false;
    }
    for index in 0..draft.ledger.tables.len() {
        let table = draft.ledger.tables[index].clone();
        let is_moving = table
            .placements
            .iter()
            .any(|placement| placement.owner.is_none());
        if is_moving || load(draft.view, &table.service).is_none() {
            continue;
        }
        let choice = cooled(draft.view, &table)
            .map(|key| (key, Cause::NoLongerHot))
            .or_else(|| hottest(draft.view, &table).map(|key| (key, Cause::Hot)));
        if let Some((key, cause)) = choice {
            release(draft, index, key, cause);
            *last = Some(now);
            return true;
        }
    }
    false
}

fn release(draft: &mut Draft<'_>, index: usize, key: u64, cause: Cause) {
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

/// Returns the upstream to which a moving key goes, or none if it follows its slot again.
fn destination(view: &View<'_>, table: &Table, key: u64) -> Option<Upstream> {
    if let Some(placement) = operator_placement(view, table, key) {
        let is_fit = view.ineligibility(&table.service, placement).is_none();
        return is_fit.then(|| placement.clone());
    }
    let rate = rate(view, table, key);
    let (problem, upstreams) = problem(view, table);
    let totals = problem.upstream_loads();
    if rate == 0 || rate < mean(&totals) / COOL_PART {
        return None;
    }
    let lowest =
        (0..totals.len()).min_by_key(|upstream| totals[*upstream] / problem.weights[*upstream])?;
    Some(upstreams[lowest].name.clone())
}

fn cooled(view: &View<'_>, table: &Table) -> Option<u64> {
    let (problem, _) = problem(view, table);
    let mean = mean(&problem.upstream_loads());
    table
        .placements
        .iter()
        .map(|placement| placement.key)
        .find(|key| {
            operator_placement(view, table, *key).is_none()
                && rate(view, table, *key) < mean / COOL_PART
        })
}

/// Returns the hottest key whose move to the least loaded upstream takes load off an overloaded one.
fn hottest(view: &View<'_>, table: &Table) -> Option<u64> {
    if table.placements.len() >= PLACED_MAX {
        return None;
    }
    let (problem, upstreams) = problem(view, table);
    let totals = problem.upstream_loads();
    let mean = mean(&totals);
    let lowest = *totals.iter().min()?;
    load(view, &table.service)?
        .key_rates
        .iter()
        .map(|(key, rate)| (*key, units(*rate)))
        .filter(|(key, rate)| {
            let owner = table.owner(*key).and_then(|owner| {
                upstreams
                    .iter()
                    .position(|upstream| upstream.name == owner.upstream)
            });
            let is_relief = owner.is_some_and(|owner| {
                totals[owner] > mean * OVERLOAD / 1_000
                    // The difference has to be worth the pause of the key.
                    && lowest + rate + mean / 10 < totals[owner]
            });
            *rate >= mean / HOT_PART
                && *rate > 0
                && is_relief
                && operator_placement(view, table, *key).is_none()
        })
        .max_by_key(|(key, rate)| (*rate, *key))
        .map(|(key, _)| key)
}

fn operator_placement<'v>(view: &View<'v>, table: &Table, key: u64) -> Option<&'v Upstream> {
    view.bundle
        .placements
        .iter()
        .find(|placement| placement.service == table.service && placement.key == key)
        .map(|placement| &placement.upstream)
}

fn rate(view: &View<'_>, table: &Table, key: u64) -> u64 {
    load(view, &table.service)
        .and_then(|load| load.key_rates.iter().find(|(hot, _)| *hot == key))
        .map_or(0, |(_, rate)| units(*rate))
}

fn mean(totals: &[u64]) -> u64 {
    totals.iter().sum::<u64>() / u64::try_from(totals.len().max(1)).unwrap_or(u64::MAX)
}
