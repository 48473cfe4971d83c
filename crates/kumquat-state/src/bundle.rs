//! The `bundle` module provides the operators' configuration, which is signed and deployed as one versioned value.
//!
//! All lists are sorted, so that lookups are binary searches. See `docs/design.md`, sections 2.1 and 6.

mod change;
pub mod envelope;
pub mod submit;
pub mod text;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ident;

pub use change::{Change, Edit, Field, Surprise, check_change, diff};
pub use envelope::{Envelope, TrustList};
pub use text::{Problem, parse, render};

/// The complete configuration by operators.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bundle {
    /// Version of the bundle; each accepted bundle increases it by exactly one.
    pub version: ident::Version,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// Caller keys, sorted by digest.
    pub caller_keys: Vec<CallerKey>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Routes, sorted by path prefix; a request takes the route with the longest matching prefix.
    pub routes: Vec<Route>,
    /// Upstreams, sorted by name.
    pub upstreams: Vec<Upstream>,
    /// Data centres, sorted by name.
    pub data_centres: Vec<DataCentre>,
    /// Placements of single keys, sorted by service and key hash.
    pub placements: Vec<Placement>,
}

/// A tenant with caller keys and a token bucket that limits its requests to all VMs together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Team {
    /// Name of the team, unique in the bundle.
    pub name: ident::Team,
    /// Refill rate of the token bucket, in requests per second across all VMs; zero refuses all requests.
    pub rate: u32,
    /// Capacity of the token bucket, in requests across all VMs.
    pub burst: u32,
    /// Weight of the team in weighted fair queueing.
    pub weight: u32,
}

/// Keyed digest of a caller key, see [`crate::secret`]; the key itself is never stored.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Digest(pub [u8; 32]);

impl std::fmt::Debug for Digest {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        // The first four bytes suffice to distinguish digests in logs.
        let [first, second, third, fourth, ..] = self.0;
        write!(
            f,
            "Digest({first:02x}{second:02x}{third:02x}{fourth:02x}..)"
        )
    }
}

/// A caller key, which authorises requests of its team on [open](RouteAccess::Open) routes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallerKey {
    /// Keyed digest of the secret, unique in the bundle.
    pub digest: Digest,
    /// Public name, which identifies the key in logs, metrics and commands.
    pub name: ident::CallerKey,
    /// Team that requests with this key are accounted to.
    pub team: ident::Team,
}

/// How requests to a service are assigned to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// Each key is owned by one upstream, which serves all its requests.
    Keyed,
    /// Any upstream of the service can serve any request.
    Pool,
}

/// Priority class of a route's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum PriorityClass {
    /// Dispatched before all ordinary requests.
    Urgent,
    /// Dispatched by weighted fair queueing among teams.
    Ordinary,
}

/// A service, which upstreams provide and routes refer to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service, unique in the bundle.
    pub name: ident::Service,
    /// How requests are assigned to upstreams.
    pub kind: ServiceKind,
    /// Number of slots in the key space of a keyed service; zero for pool services.
    pub slots: u32,
    /// Deadline of requests, measured from their arrival at the entry.
    pub deadline: Duration,
    /// Data centres in which the service may have upstreams, sorted.
    pub data_centres: Vec<ident::DataCentre>,
}

/// Who may use a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteAccess {
    /// Public; the caller key of a request determines the team.
    Open,
    /// Restricted to the organisation's network; the `kumquat-team` header of a request names the team.
    Internal,
}

/// Maps a path prefix to a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Path prefix, such as `/repairs/`; unique in the bundle.
    pub prefix: String,
    /// Service that requests are routed to.
    pub service: ident::Service,
    /// Priority class of the requests.
    pub class: PriorityClass,
    /// Who may use the route.
    pub access: RouteAccess,
    /// Whether requests with methods other than GET and HEAD are idempotent, so that they may be sent again.
    pub idempotent: bool,
}

/// Administrative state of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum UpstreamState {
    /// Receives new requests.
    Active,
    /// Completes its in-flight requests and receives no new ones.
    Draining,
}

/// A server that provides one service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name of the upstream, unique in the bundle.
    pub name: ident::Upstream,
    /// Address of its HTTP endpoint, unique in the bundle.
    pub address: SocketAddr,
    /// Service that it provides.
    pub service: ident::Service,
    /// Data centre in which it runs, one of those of the service.
    pub data_centre: ident::DataCentre,
    /// Maximum number of concurrent requests after a cold start.
    pub slots: u32,
    /// Maximum number of concurrent requests at the beginning of a cold start.
    pub cold_slots: u32,
    /// Number of requests that it has to complete during a cold start for each additional concurrent request.
    pub cold_step: u32,
    /// Maximum number of connections that it accepts; at least `slots`.
    pub connections: u32,
    /// Whether it rejects requests with an outdated fencing token.
    pub checks_grants: bool,
    /// Whether it receives new requests.
    pub state: UpstreamState,
}

/// A data centre, which operators can take out of service as a whole.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DataCentre {
    /// Name of the data centre, unique in the bundle.
    pub name: ident::DataCentre,
    /// Whether its upstreams receive new requests; false if operators took the data centre out of service.
    pub active: bool,
}

/// Assigns a single key of a keyed service to an upstream, regardless of the key's slot.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Placement {
    /// Keyed service to which the key belongs.
    pub service: ident::Service,
    /// Hash of the key, see [`crate::hash::key`].
    pub key: u64,
    /// Upstream that has to own the key; an upstream of the service.
    pub upstream: ident::Upstream,
}

impl Bundle {
    /// Returns the team with this name, by binary search.
    #[must_use]
    pub fn team(&self, name: &ident::Team) -> Option<&Team> {
        find(&self.teams, |team| team.name.cmp(name))
    }

    /// Returns the service with this name, by binary search.
    #[must_use]
    pub fn service(&self, name: &ident::Service) -> Option<&Service> {
        find(&self.services, |service| service.name.cmp(name))
    }

    /// Returns the upstream with this name, by binary search.
    #[must_use]
    pub fn upstream(&self, name: &ident::Upstream) -> Option<&Upstream> {
        find(&self.upstreams, |upstream| upstream.name.cmp(name))
    }

    /// Returns whether the data centre is in the bundle and in service.
    #[must_use]
    pub fn is_active(&self, name: &ident::DataCentre) -> bool {
        find(&self.data_centres, |centre| centre.name.cmp(name)).is_some_and(|centre| centre.active)
    }

    /// Returns whether the upstream receives new requests: it and its data centre are active, and its service may use
    /// the data centre.
    #[must_use]
    pub fn takes_work(&self, upstream: &Upstream) -> bool {
        upstream.state == UpstreamState::Active
            && self.is_active(&upstream.data_centre)
            && self.service(&upstream.service).is_some_and(|service| {
                service
                    .data_centres
                    .binary_search(&upstream.data_centre)
                    .is_ok()
            })
    }

    /// Returns the route with the longest prefix of `path`.
    #[must_use]
    pub fn route(&self, path: &str) -> Option<&Route> {
        // All prefixes of `path` sort before or equal to it, longer ones after shorter ones.
        let candidates = self
            .routes
            .partition_point(|route| route.prefix.as_str() <= path);
        self.routes[..candidates]
            .iter()
            .rev()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// Sorts all lists; has to be called after changes, since lookups rely on the order.
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
