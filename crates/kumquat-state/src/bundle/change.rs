//! The `change` module compares bundles: what is different, and what of it an operator has to confirm.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::bundle::text::Item;
use crate::bundle::{Bundle, CallerKey, DataCentre, Placement, Route, Service, Team, Upstream};
use crate::ident;

/// Factor between two rates from which a change has to be confirmed; smaller ones happen when a team grows.
const RATE_FACTOR: u64 = 100;

/// Both states of a part of the bundle; at least one is there.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit<T> {
    /// Earlier state, or none if the part was added.
    pub from: Option<T>,
    /// Later state, or none if the part was removed.
    pub to: Option<T>,
}

/// A difference between two bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Change {
    /// A data centre differs.
    DataCentre(Edit<DataCentre>),
    /// A service differs.
    Service(Edit<Service>),
    /// A route differs.
    Route(Edit<Route>),
    /// An upstream differs.
    Upstream(Edit<Upstream>),
    /// A team differs.
    Team(Edit<Team>),
    /// A caller key differs.
    CallerKey(Edit<CallerKey>),
    /// A placement differs.
    Placement(Edit<Placement>),
}

/// A different value of one key of the text form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Field {
    /// Key.
    pub key: &'static str,
    /// Earlier value.
    pub from: Option<String>,
    /// Later value.
    pub to: Option<String>,
}

impl Change {
    /// Returns the section of the text form that differs, without brackets.
    #[must_use]
    pub fn section(&self) -> String {
        self.both().0
    }

    /// Returns the keys of the section that differ.
    #[must_use]
    pub fn fields(&self) -> Vec<Field> {
        self.both().1
    }

    fn both(&self) -> (String, Vec<Field>) {
        match self {
            Self::DataCentre(edit) => compare(edit),
            Self::Service(edit) => compare(edit),
            Self::Route(edit) => compare(edit),
            Self::Upstream(edit) => compare(edit),
            Self::Team(edit) => compare(edit),
            Self::CallerKey(edit) => compare(edit),
            Self::Placement(edit) => compare(edit),
        }
    }
}

/// Returns the section of an edited part and the keys that differ.
fn compare<T: Item>(edit: &Edit<T>) -> (String, Vec<Field>) {
    let header = edit.from.as_ref().or(edit.to.as_ref()).map(Item::header);
    let from = edit.from.as_ref().map(Item::properties).unwrap_or_default();
    let to = edit.to.as_ref().map(Item::properties).unwrap_or_default();
    // Both lists have the same keys in the same order unless one of them is empty.
    let keys = if from.is_empty() { &to } else { &from };
    let fields = keys
        .iter()
        .enumerate()
        .map(|(index, (key, _))| Field {
            key,
            from: from.get(index).map(|(_, value)| value.clone()),
            to: to.get(index).map(|(_, value)| value.clone()),
        })
        .filter(|field| field.from != field.to)
        .collect();
    (header.unwrap_or_default(), fields)
}

impl fmt::Display for Change {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (section, fields) = self.both();
        let added = fields.iter().all(|field| field.from.is_none());
        let removed = fields.iter().all(|field| field.to.is_none());
        let sign = match (added, removed) {
            (true, _) => '+',
            (_, true) => '-',
            _ => '~',
        };
        write!(f, "{sign} {section}")?;
        if removed {
            return Ok(());
        }
        for (index, field) in fields.iter().enumerate() {
            let separator = if index == 0 { ":" } else { "," };
            let to = field.to.as_deref().unwrap_or_default();
            match &field.from {
                Some(from) => write!(f, "{separator} {} {from} -> {to}", field.key)?,
                None => write!(f, "{separator} {} {to}", field.key)?,
            }
        }
        Ok(())
    }
}

/// Returns the differences between two bundles, versions aside.
#[must_use]
pub fn diff(from: &Bundle, to: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    merge(
        &from.data_centres,
        &to.data_centres,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::DataCentre(edit));
        },
    );
    merge(
        &from.services,
        &to.services,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::Service(edit));
        },
    );
    merge(
        &from.routes,
        &to.routes,
        |a, b| a.prefix.cmp(&b.prefix),
        |edit| {
            changes.push(Change::Route(edit));
        },
    );
    merge(
        &from.upstreams,
        &to.upstreams,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::Upstream(edit));
        },
    );
    merge(
        &from.teams,
        &to.teams,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::Team(edit));
        },
    );
    // A caller key keeps its name when its secret is replaced.
    merge(
        &from.caller_keys,
        &to.caller_keys,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::CallerKey(edit));
        },
    );
    merge(
        &from.placements,
        &to.placements,
        |a, b| (&a.service, a.key).cmp(&(&b.service, b.key)),
        |edit| changes.push(Change::Placement(edit)),
    );
    changes
}

/// Walks through two lists in order and reports the entries that differ.
fn merge<T: Clone + PartialEq>(
    from: &[T],
    to: &[T],
    compare: impl Fn(&T, &T) -> Ordering,
    mut report: impl FnMut(Edit<T>),
) {
    let sorted = |list: &[T]| {
        let mut order: Vec<usize> = (0..list.len()).collect();
        order.sort_by(|a, b| compare(&list[*a], &list[*b]));
        order
    };
    let (from_order, to_order) = (sorted(from), sorted(to));
    let (mut left, mut right) = (0, 0);
    loop {
        let earlier = from_order.get(left).map(|index| &from[*index]);
        let later = to_order.get(right).map(|index| &to[*index]);
        let order = match (earlier, later) {
            (None, None) => return,
            (Some(_), None) => Ordering::Less,
            (None, Some(_)) => Ordering::Greater,
            (Some(earlier), Some(later)) => compare(earlier, later),
        };
        let (earlier, later) = match order {
            Ordering::Less => (earlier, None),
            Ordering::Equal => (earlier, later),
            Ordering::Greater => (None, later),
        };
        left += usize::from(earlier.is_some());
        right += usize::from(later.is_some());
        if earlier != later {
            report(Edit {
                from: earlier.cloned(),
                to: later.cloned(),
            });
        }
    }
}

/// A change that is more often a mistake than intended, and that an operator has to confirm.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Surprise {
    /// No upstream of the service takes work.
    ServiceWithoutUpstreams(ident::Service),
    /// The service is gone.
    ServiceRemoved(ident::Service),
    /// All requests of the team will be refused.
    RateZero(ident::Team),
    /// The rate of the team changes by a factor of 100 or more.
    RateFactor {
        /// Team.
        team: ident::Team,
        /// Earlier rate.
        from: u32,
        /// Later rate.
        to: u32,
    },
    /// More than half of the upstreams are gone.
    UpstreamsRemoved {
        /// Number of upstreams that are gone.
        removed: usize,
        /// Number of upstreams before.
        of: usize,
    },
    /// More than half of the teams are gone.
    TeamsRemoved {
        /// Number of teams that are gone.
        removed: usize,
        /// Number of teams before.
        of: usize,
    },
    /// All data centres are out of service.
    AllDataCentresOut,
}

impl fmt::Display for Surprise {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::ServiceWithoutUpstreams(service) => {
                write!(f, "no upstream of service {service} takes work")
            }
            Self::ServiceRemoved(service) => write!(f, "service {service} is removed"),
            Self::RateZero(team) => {
                write!(f, "team {team} has rate 0: all its requests are refused")
            }
            Self::RateFactor { team, from, to } => {
                write!(f, "the rate of team {team} changes from {from} to {to}")
            }
            Self::UpstreamsRemoved { removed, of } => {
                write!(f, "{removed} of {of} upstreams are removed")
            }
            Self::TeamsRemoved { removed, of } => write!(f, "{removed} of {of} teams are removed"),
            Self::AllDataCentresOut => f.write_str("all data centres are out of service"),
        }
    }
}

/// Returns what an operator has to confirm before `next` replaces `previous`.
///
/// A state that `previous` already had is not reported again.
#[must_use]
pub fn check_change(previous: &Bundle, next: &Bundle) -> Vec<Surprise> {
    let mut surprises = Vec::new();

    let (before, after) = (serving(previous), serving(next));
    for service in &next.services {
        let had_none = previous.service(&service.name).is_some()
            && before.binary_search(&&service.name).is_err();
        if after.binary_search(&&service.name).is_err() && !had_none {
            surprises.push(Surprise::ServiceWithoutUpstreams(service.name.clone()));
        }
    }
    for service in &previous.services {
        if next.service(&service.name).is_none() {
            surprises.push(Surprise::ServiceRemoved(service.name.clone()));
        }
    }

    for team in &next.teams {
        let from = previous.team(&team.name).map(|team| team.rate);
        if team.rate == 0 && from != Some(0) {
            surprises.push(Surprise::RateZero(team.name.clone()));
        } else if let Some(from) = from
            && from > 0
            && u64::from(from.max(team.rate)) >= RATE_FACTOR * u64::from(from.min(team.rate))
            && team.rate > 0
        {
            surprises.push(Surprise::RateFactor {
                team: team.name.clone(),
                from,
                to: team.rate,
            });
        }
    }

    let of = previous.upstreams.len();
    let removed = previous
        .upstreams
        .iter()
        .filter(|upstream| next.upstream(&upstream.name).is_none())
        .count();
    if removed * 2 > of {
        surprises.push(Surprise::UpstreamsRemoved { removed, of });
    }
    let of = previous.teams.len();
    let removed = previous
        .teams
        .iter()
        .filter(|team| next.team(&team.name).is_none())
        .count();
    if removed * 2 > of {
        surprises.push(Surprise::TeamsRemoved { removed, of });
    }

    if all_out(next) && !all_out(previous) {
        surprises.push(Surprise::AllDataCentresOut);
    }
    surprises
}

/// Returns the services with an upstream that takes work, sorted.
fn serving(bundle: &Bundle) -> Vec<&ident::Service> {
    let mut services: Vec<&ident::Service> = bundle
        .upstreams
        .iter()
        .filter(|upstream| bundle.takes_work(upstream))
        .map(|upstream| &upstream.service)
        .collect();
    services.sort();
    services.dedup();
    services
}

fn all_out(bundle: &Bundle) -> bool {
    !bundle.data_centres.is_empty() && bundle.data_centres.iter().all(|centre| !centre.active)
}
