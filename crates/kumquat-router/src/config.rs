//! The `config` module provides the routing configuration of a VM, decoded from the operators' desired state.

use std::sync::Arc;
use std::time::Duration;

/// The routing configuration; the lookups expect the sorted lists that [`Self::sort`] leaves.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Version of the desired state; a VM never applies a lower one than it has.
    pub version: u64,
    /// Routes, sorted by host and path prefix for [`Self::route`].
    pub routes: Vec<Route>,
    /// Services, sorted by name for [`Self::service`].
    pub services: Vec<Service>,
    /// Teams, in the order to which the indices in `caller_keys` refer.
    pub teams: Vec<Team>,
    /// Caller keys with the index of their team in `teams`, sorted by key.
    pub caller_keys: Vec<(String, usize)>,
    /// Limits on callers' requests and connections.
    pub limits: RequestLimits,
}

/// A route for the requests to a host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name of the route, which identifies its state across changes of the configuration.
    pub name: String,
    /// Host name in lower case, without a port.
    pub host: String,
    /// Path prefix that begins and ends with a slash.
    pub path_prefix: String,
    /// Services among which the requests are split.
    pub weighted_services: Vec<WeightedService>,
    /// Whether a request may be executed more than once.
    pub is_idempotent: bool,
    /// Upper bound for the time from a request's arrival to its deadline.
    pub timeout: Duration,
    /// Time from a request's arrival within which a response has its full value to the caller.
    pub latency_target: Duration,
    /// Priority in the queue; lower values are served first.
    pub priority: u32,
    /// Maximum number of upstreams that one request may be sent to; zero counts as one.
    pub max_attempts: u32,
    /// Whether requests without a valid caller key are accepted.
    pub allows_anonymous: bool,
}

impl Route {
    /// Returns the weights of the services, in their order.
    #[must_use]
    pub fn weights(&self) -> Vec<u32> {
        let parts = self.weighted_services.iter();
        parts.map(|part| part.weight).collect()
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct WeightedService {
    /// Name of the service, as in [`Service::name`].
    pub service: Arc<str>,
    /// Share of the requests, relative to the sum of the route's weights.
    pub weight: u32,
}

/// A service that a group of upstreams provides.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Name of the service.
    pub name: Arc<str>,
    /// Whether requests carry a key and only the upstream that owns the key may execute them.
    pub is_keyed: bool,
    /// Warm-up time of an upstream after a start.
    pub warmup_duration: Duration,
    /// Rate of requests from all VMs that an upstream can serve during its warm-up.
    pub warmup_rate_per_s: f64,
}

/// A team whose callers share a rate limit.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// Name of the team.
    pub name: String,
    /// Priority that replaces the route's, if any; lower values are served first.
    pub priority: Option<u32>,
    /// Rate limit over all VMs; zero means no limit.
    pub rate_per_s: f64,
    /// Capacity of the rate limit's token bucket, in requests over all VMs.
    pub burst: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Largest request head, including the request line.
    pub max_head_bytes: usize,
    /// Largest request body, without transfer coding.
    pub max_body_bytes: usize,
    /// Time within which a request's head and body have to arrive.
    pub receive_timeout: Duration,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Duration,
}

impl Default for RequestLimits {
    /// Returns the limits that apply until a desired state sets others; the values are common defaults of HTTP servers.
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
    /// Returns the route of a host whose prefix is the longest that matches a path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let compare = |route: &Route| {
            (
                route.host.as_str().cmp(host),
                route.path_prefix.as_str().cmp(path),
            )
        };
        // Every prefix of the path sorts at or before it, and longer prefixes sort later.
        let end = self
            .routes
            .partition_point(|route| compare(route).0.then(compare(route).1).is_le());
        self.routes[..end]
            .iter()
            .rev()
            .take_while(|route| route.host == host)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// Returns the service with a name.
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
            .binary_search_by(|(caller_key, _)| caller_key.as_str().cmp(key));
        position
            .ok()
            .map(|position| &self.teams[self.caller_keys[position].1])
    }

    /// Sorts the routes, services and caller keys, which the lookups require.
    ///
    /// Must be called after every change of these lists.
    pub fn sort(&mut self) {
        self.routes
            .sort_by(|a, b| (&a.host, &a.path_prefix).cmp(&(&b.host, &b.path_prefix)));
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.caller_keys.sort();
    }
}
