//! The `config` module provides the desired state as one VM applies it.

use std::sync::Arc;
use std::time::Duration;

/// The desired state: all lists are sorted for binary search.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version; a VM never goes back to a lower one.
    pub version: u64,
    /// Routes, sorted by host and path prefix.
    pub routes: Vec<Route>,
    /// Services, sorted by name.
    pub services: Vec<Service>,
    /// Teams, sorted by name.
    pub teams: Vec<Team>,
    /// Caller keys with the position of their team, sorted by key.
    pub caller_keys: Vec<(String, usize)>,
    /// Limits for callers.
    pub limits: RequestLimits,
}

/// What requests of one host and path prefix are.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route.
    pub name: String,
    /// Host, in lower case.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub path_prefix: String,
    /// Services that answer, with the weights of their parts.
    pub weighted_services: Vec<WeightedService>,
    /// Whether a request may run more than once.
    pub is_idempotent: bool,
    /// Longest time for which a caller waits.
    pub timeout: Duration,
    /// Time within which an answer has its full worth.
    pub latency_target: Duration,
    /// Rank, the lowest first.
    pub priority: u32,
    /// Upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no caller key.
    pub allows_anonymous: bool,
}

/// A service that answers part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service.
    pub service: Arc<str>,
    /// Weight of the part.
    pub weight: u32,
}

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Whether each key has one owning upstream.
    pub is_keyed: bool,
    /// Time for which an upstream is cold after a start.
    pub warmup_duration: Duration,
    /// Requests a second that a cold upstream bears, from all VMs.
    pub warmup_rate_per_s: f64,
}

/// A team.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Rank that replaces the route's, if the team has one.
    pub priority: Option<u32>,
    /// Requests a second over all VMs; zero means no limit.
    pub rate_per_s: f64,
    /// Requests that may come at once over all VMs.
    pub burst: f64,
}

/// Limits for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest head of a request, in bytes.
    pub max_head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Time within which a request has to arrive.
    pub receive_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Returns what holds until the operators have said otherwise: common defaults of HTTP servers.
    fn default() -> Self {
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 1024 * 1024,
            receive_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_mins(1),
        }
    }
}

impl Config {
    /// Returns the route with the longest prefix of a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let key = |route: &Route| {
            (
                route.host.as_str().cmp(host),
                route.path_prefix.as_str().cmp(path),
            )
        };
        // Every prefix of the path sorts at or before it, and longer prefixes sort later.
        let end = self
            .routes
            .partition_point(|route| key(route).0.then(key(route).1).is_le());
        self.routes[..end]
            .iter()
            .rev()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns a service.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let position = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        position.ok().map(|position| &self.services[position])
    }

    /// Returns the team that a caller key belongs to.
    #[must_use]
    pub fn team_by_key(&self, key: &str) -> Option<&Team> {
        let position = self
            .caller_keys
            .binary_search_by(|(other, _)| other.as_str().cmp(key));
        position
            .ok()
            .map(|position| &self.teams[self.caller_keys[position].1])
    }

    /// Sorts all lists, which the lookups rely on.
    pub fn sort(&mut self) {
        self.routes
            .sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.caller_keys.sort();
    }
}
