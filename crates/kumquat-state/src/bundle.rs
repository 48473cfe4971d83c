//! The `bundle` module provides the operators' configuration, which is signed off and rolled out as one versioned value.
//!
//! All lists are sorted by name, so that lookups are binary searches. See `docs/design.md`, sections 2.1 and 6.

mod change;
pub mod envelope;
pub mod submit;
pub mod text;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ident;

pub use change::{Change, Edit, Field, Surprise, check_change, diff};
pub use envelope::{Envelope, Trust};
pub use text::{Problem, parse, render};

/// Everything that operators configure, in one value.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// Version of the bundle; an accepted bundle has exactly the previous version plus one.
    pub version: ident::Version,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// Caller keys, sorted by digest.
    pub caller_keys: Vec<CallerKey>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Routes, sorted by path prefix; the longest matching prefix wins.
    pub routes: Vec<Route>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<Upstream>,
    /// Data centres, sorted by name.
    pub data_centres: Vec<DataCentre>,
    /// Keys placed by operators, sorted by service and key hash.
    pub placements: Vec<Placement>,
}

/// A party with caller keys, a fleet-wide rate and a burst.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team.
    pub name: ident::Team,
    /// Requests per second over all VMs together.
    pub rate: u32,
    /// Requests that may come at once, over all VMs together.
    pub burst: u32,
    /// Share of the team in fair queueing, relative to the other teams.
    pub weight: u32,
}

/// Digest of a caller key; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The first bytes are enough to tell digests apart in a log.
        let [first, second, third, fourth, ..] = self.0;
        write!(
            f,
            "Digest({first:02x}{second:02x}{third:02x}{fourth:02x}..)"
        )
    }
}

/// A caller key that may use the open routes for its team.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerKey {
    /// Keyed digest of the secret.
    pub digest: Digest,
    /// Public name, used in logs, metrics and by operators.
    pub name: ident::CallerKey,
    /// Team for which requests with this key run.
    pub team: ident::Team,
}

/// How a service's requests find an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Each key has one owning upstream.
    Keyed,
    /// Any upstream of the service can answer.
    Pool,
}

/// Urgency class; urgent requests are answered first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Answered before all ordinary work.
    Urgent,
    /// Answered in weighted fair order.
    Ordinary,
}

/// A routed service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service.
    pub name: ident::Service,
    /// How requests find an upstream.
    pub kind: Kind,
    /// Number of slots of a keyed service's key space; zero for pool services.
    pub slots: u32,
    /// Time within which a request has to be answered, from its arrival at the entry.
    pub deadline: Duration,
    /// Data centres whose upstreams the service may use, sorted.
    pub data_centres: Vec<ident::DataCentre>,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Access {
    /// Reachable for anyone; the caller key decides the team.
    Open,
    /// Reachable only from the firm's own network; the `kumquat-team` header names the team.
    Internal,
}

/// Maps a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix, such as `/repairs/`.
    pub prefix: String,
    /// Service that answers.
    pub service: ident::Service,
    /// Urgency of the route's requests.
    pub class: Class,
    /// Who may use the route.
    pub access: Access,
    /// Whether requests other than GET and HEAD may run more than once.
    pub idempotent: bool,
}

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes new work.
    Active,
    /// Finishes its work and takes no more.
    Draining,
}

/// A server that answers requests of one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream.
    pub name: ident::Upstream,
    /// Address of its HTTP endpoint.
    pub address: SocketAddr,
    /// Service that it answers.
    pub service: ident::Service,
    /// Data centre in which it runs.
    pub data_centre: ident::DataCentre,
    /// Requests that it runs at once when warm.
    pub slots: u32,
    /// Requests that it bears at once during a cold start.
    pub cold_slots: u32,
    /// Requests that it has to complete during a cold start before it bears one more at once.
    pub cold_step: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Whether it rejects orders with an outdated fencing token.
    pub checks_grants: bool,
    /// Whether it takes new work.
    pub state: State,
}

/// A data centre.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Name of the data centre.
    pub name: ident::DataCentre,
    /// Whether its upstreams take new work; operators clear it to take the data centre out.
    pub active: bool,
}

/// Places one key of a keyed service on a certain upstream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Service of the key.
    pub service: ident::Service,
    /// Hash of the key, as by [`crate::hash::key`].
    pub key: u64,
    /// Upstream that has to own it.
    pub upstream: ident::Upstream,
}

impl Bundle {
    /// Finds a team by name.
    #[must_use]
    pub fn team(&self, name: &ident::Team) -> Option<&Team> {
        find(&self.teams, |team| team.name.cmp(name))
    }

    /// Finds a service by name.
    #[must_use]
    pub fn service(&self, name: &ident::Service) -> Option<&Service> {
        find(&self.services, |service| service.name.cmp(name))
    }

    /// Finds an upstream by name.
    #[must_use]
    pub fn upstream(&self, name: &ident::Upstream) -> Option<&Upstream> {
        find(&self.upstreams, |upstream| upstream.name.cmp(name))
    }

    /// Returns whether the data centre is known and takes new work.
    #[must_use]
    pub fn is_active(&self, name: &ident::DataCentre) -> bool {
        find(&self.data_centres, |centre| centre.name.cmp(name)).is_some_and(|centre| centre.active)
    }

    /// Returns whether the upstream takes new work: it is active and so is its data centre, and its service may use it.
    #[must_use]
    pub fn takes_work(&self, upstream: &Upstream) -> bool {
        upstream.state == State::Active
            && self.is_active(&upstream.data_centre)
            && self.service(&upstream.service).is_some_and(|service| {
                service
                    .data_centres
                    .binary_search(&upstream.data_centre)
                    .is_ok()
            })
    }

    /// Finds the route with the longest prefix that `path` starts with.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        // Every prefix of `path` sorts at or before it, and longer prefixes sort later.
        let end = self
            .routes
            .partition_point(|route| route.prefix.as_str() <= path);
        self.routes[..end]
            .iter()
            .rev()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Sorts all lists, which the lookups rely on.
    pub fn sort(&mut self) {
        self.teams.sort_by(|a, b| a.name.cmp(&b.name));
        self.caller_keys.sort_by_key(|key| key.digest);
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        for service in &mut self.services {
            service.data_centres.sort();
        }
        self.routes.sort_by(|a, b| a.prefix.cmp(&b.prefix));
        self.upstreams.sort_by(|a, b| a.name.cmp(&b.name));
        self.data_centres.sort_by(|a, b| a.name.cmp(&b.name));
        self.placements
            .sort_by(|a, b| (&a.service, a.key).cmp(&(&b.service, b.key)));
    }
}

fn find<T>(sorted: &[T], compare: impl Fn(&T) -> std::cmp::Ordering) -> Option<&T> {
    sorted
        .binary_search_by(compare)
        .ok()
        .map(|index| &sorted[index])
}
