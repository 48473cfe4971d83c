//! The `change` module computes the differences between bundles, and those of them that an operator has to confirm.

use std::cmp::Ordering;
use std::fmt;

use serde::{Deserialize, Serialize};

use crate::bundle::text::SectionItem;
use crate::bundle::{Bundle, CallerKey, DataCentre, Placement, Route, Service, Team, Upstream};
use crate::ident;

/// Ratio between two rates from which a change has to be confirmed; smaller ones are usual when a team grows.
const CONFIRMATION_RATE_RATIO: u64 = 100;

/// The old and the new state of an item of the bundle; at least one of them is present.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Edit<T> {
    /// Old state, or none if the item was added.
    pub from: Option<T>,
    /// New state, or none if the item was removed.
    pub to: Option<T>,
}

/// An item that was added, removed or changed between two bundles.
#[derive(Clone, Debug, PartialEq, Eq)]
#[non_exhaustive]
pub enum Change {
    /// A data centre, identified by name.
    DataCentre(Edit<DataCentre>),
    /// A service, identified by name.
    Service(Edit<Service>),
    /// A route, identified by path prefix.
    Route(Edit<Route>),
    /// An upstream, identified by name.
    Upstream(Edit<Upstream>),
    /// A team, identified by name.
    Team(Edit<Team>),
    /// A caller key, identified by name; its secret may have been replaced.
    CallerKey(Edit<CallerKey>),
    /// A placement, identified by service and key hash.
    Placement(Edit<Placement>),
}

/// A changed property of an item, as in the text form of the bundle.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Field {
    /// Name of the property.
    pub key: &'static str,
    /// Old value, or none if the item was added.
    pub from: Option<String>,
    /// New value, or none if the item was removed.
    pub to: Option<String>,
}

impl Change {
    /// Returns the header of the item's section in the text form, without brackets.
    #[must_use]
    pub fn section(&self) -> String {
        self.section_and_fields().0
    }

    /// Returns the changed properties; for an added or removed item, all of them.
    #[must_use]
    pub fn fields(&self) -> Vec<Field> {
        self.section_and_fields().1
    }

    fn section_and_fields(&self) -> (String, Vec<Field>) {
        match self {
            Self::DataCentre(edit) => describe(edit),
            Self::Service(edit) => describe(edit),
            Self::Route(edit) => describe(edit),
            Self::Upstream(edit) => describe(edit),
            Self::Team(edit) => describe(edit),
            Self::CallerKey(edit) => describe(edit),
            Self::Placement(edit) => describe(edit),
        }
    }
}

/// Returns the section header of an edited item and its changed properties.
fn describe<T: SectionItem>(edit: &Edit<T>) -> (String, Vec<Field>) {
    let header = edit
        .from
        .as_ref()
        .or(edit.to.as_ref())
        .map(SectionItem::header);
    let from = edit
        .from
        .as_ref()
        .map(SectionItem::properties)
        .unwrap_or_default();
    let to = edit
        .to
        .as_ref()
        .map(SectionItem::properties)
        .unwrap_or_default();
    // Unless one of the lists is empty, both have the same keys in the same order.
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
        let (section, fields) = self.section_and_fields();
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

/// Returns the differences between two bundles, except for their versions.
#[must_use]
pub fn diff(from: &Bundle, to: &Bundle) -> Vec<Change> {
    let mut changes = Vec::new();
    diff_lists(
        &from.data_centres,
        &to.data_centres,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::DataCentre(edit));
        },
    );
    diff_lists(
        &from.services,
        &to.services,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::Service(edit));
        },
    );
    diff_lists(
        &from.routes,
        &to.routes,
        |a, b| a.prefix.cmp(&b.prefix),
        |edit| {
            changes.push(Change::Route(edit));
        },
    );
    diff_lists(
        &from.upstreams,
        &to.upstreams,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::Upstream(edit));
        },
    );
    diff_lists(
        &from.teams,
        &to.teams,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::Team(edit));
        },
    );
    // By name, since the digest changes when the secret of a key is replaced.
    diff_lists(
        &from.caller_keys,
        &to.caller_keys,
        |a, b| a.name.cmp(&b.name),
        |edit| {
            changes.push(Change::CallerKey(edit));
        },
    );
    diff_lists(
        &from.placements,
        &to.placements,
        |a, b| (&a.service, a.key).cmp(&(&b.service, b.key)),
        |edit| changes.push(Change::Placement(edit)),
    );
    changes
}

/// Reports the items that differ between two lists, by merging them in the order of `compare`.
fn diff_lists<T: Clone + PartialEq>(
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
    let (mut from_index, mut to_index) = (0, 0);
    loop {
        let earlier = from_order.get(from_index).map(|index| &from[*index]);
        let later = to_order.get(to_index).map(|index| &to[*index]);
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
        from_index += usize::from(earlier.is_some());
        to_index += usize::from(later.is_some());
        if earlier != later {
            report(Edit {
                from: earlier.cloned(),
                to: later.cloned(),
            });
        }
    }
}

/// A change that is more often a mistake than intended, so that an operator has to confirm it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Surprise {
    /// No upstream of the service receives new requests.
    ServiceWithoutUpstreams(ident::Service),
    /// The service was removed.
    ServiceRemoved(ident::Service),
    /// The rate of the team was set to zero, so that all its requests are refused.
    RateZero(ident::Team),
    /// The rate of the team was changed by a factor of 100 or more.
    RateFactor {
        /// Team whose rate was changed.
        team: ident::Team,
        /// Old rate, in requests per second.
        from: u32,
        /// New rate, in requests per second.
        to: u32,
    },
    /// More than half of the upstreams were removed.
    UpstreamsRemoved {
        /// Number of removed upstreams.
        removed: usize,
        /// Number of upstreams before the change.
        of: usize,
    },
    /// More than half of the teams were removed.
    TeamsRemoved {
        /// Number of removed teams.
        removed: usize,
        /// Number of teams before the change.
        of: usize,
    },
    /// All data centres were taken out of service.
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

/// Returns the changes that an operator has to confirm before `next` replaces `previous`.
///
/// A condition that already held in `previous`, such as a rate of zero, is not reported.
#[must_use]
pub fn check_change(previous: &Bundle, next: &Bundle) -> Vec<Surprise> {
    let mut surprises = Vec::new();

    let (serving_before, serving_after) = (
        services_with_upstreams(previous),
        services_with_upstreams(next),
    );
    for service in &next.services {
        let had_no_upstream = previous.service(&service.name).is_some()
            && serving_before.binary_search(&&service.name).is_err();
        if serving_after.binary_search(&&service.name).is_err() && !had_no_upstream {
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
            && u64::from(from.max(team.rate))
                >= CONFIRMATION_RATE_RATIO * u64::from(from.min(team.rate))
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

    if all_data_centres_out(next) && !all_data_centres_out(previous) {
        surprises.push(Surprise::AllDataCentresOut);
    }
    surprises
}

/// Returns the services that have an upstream for new requests, sorted.
fn services_with_upstreams(bundle: &Bundle) -> Vec<&ident::Service> {
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

fn all_data_centres_out(bundle: &Bundle) -> bool {
    !bundle.data_centres.is_empty() && bundle.data_centres.iter().all(|centre| !centre.active)
}
