//! The `work` module provides the expected work of requests, learned from completed ones, and the work that upstreams
//! have outstanding.
//!
//! Work is measured in seconds on an upstream of usual speed.

use std::sync::Arc;

use kumquat_state::hash;

mod outstanding;

pub use outstanding::{Reservation, slot_wait_s};

/// Maximum number of routes with estimates of their own.
const MAX_ROUTES: usize = 64;

/// Number of classes by the length of the body: none, below 256 bytes, then by powers of four up to 256 KB and above.
const LENGTH_CLASSES: usize = 8;

/// Base-2 logarithm of the length at which the second class of non-empty bodies begins.
const SECOND_CLASS_BITS: u32 = 8;

/// Maximum number of paths with estimates of their own.
const MAX_PATHS: usize = 4_096;

/// Paths removed together when there are [`MAX_PATHS`], so that the search for the least recently used ones is rare.
const EVICTED_PATHS: usize = 512;

/// Slots of the filter of paths seen once; a path gets an estimate when it recurs before another one takes its slot.
const SEEN_PATHS: usize = 4_096;

/// Samples from which an estimate is used rather than the one of the next broader kind.
const MIN_SAMPLES: u32 = 8;

/// Weight of a sample with which an estimate has a half-life of 50 samples: 1 - 2^(-1/50).
const SAMPLE_WEIGHT: f64 = 0.013_767;

/// Weight of a sample in the estimate of a service, with a half-life of 500 samples.
///
/// A shorter one would miss the variation if only one request in a hundred is expensive.
const SERVICE_SAMPLE_WEIGHT: f64 = 0.001_385_3;

/// Samples of a service from which [`CostRouting::Auto`] can enable routing by cost.
const MIN_AUTO_SAMPLES: u32 = 200;

/// Standard deviation of the work relative to its mean above which [`CostRouting::Auto`] enables routing by cost.
const ENABLING_VARIATION: f64 = 0.5;

/// Relative standard deviation below which it disables it again; the distance avoids frequent changes.
const DISABLING_VARIATION: f64 = 0.4;

/// Bounds of a sample and of an estimate, which keep divisions by an estimate finite.
const MIN_WORK_S: f64 = 0.000_1;
const MAX_WORK_S: f64 = 3_600.0;

/// Smallest part of a latency that counts as work, whatever the estimated time in the upstream's queue.
const MIN_WORK_FRACTION: f64 = 0.1;

/// Whether requests are routed by their expected cost or by the number of requests in flight.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CostRouting {
    /// By cost for all services.
    On,
    /// By count for all services; nothing is learned.
    Off,
    /// By cost for the services whose requests have been found to differ in their work.
    #[default]
    Auto,
}

/// What distinguishes requests whose work is estimated separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestKind {
    // Hash of the route's name.
    route: u64,
    length_class: usize,
    // Hash of the route, the length class and the path below the route's prefix.
    path: u64,
}

impl RequestKind {
    /// Returns the kind of a request of a route, with its path below the route's prefix and the length of its body.
    #[must_use]
    pub fn new(route: &str, path: &str, body_bytes: usize) -> Self {
        let route = hash::key(route.as_bytes());
        let length_class = length_class(body_bytes);
        let class_bits = u64::try_from(length_class).unwrap_or(0);
        Self {
            route,
            length_class,
            path: hash::key(path.as_bytes()) ^ route.rotate_left(17).wrapping_add(class_bits),
        }
    }
}

/// The expected work of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Kind of the request, whose estimates its completion updates.
    pub kind: RequestKind,
    /// Expected work in seconds.
    pub work_s: f64,
}

/// Moving mean and variance of the work of some kind of requests.
#[derive(Clone, Copy, Debug, Default)]
struct Estimate {
    samples: u32,
    mean_s: f64,
    variance: f64,
}

impl Estimate {
    fn record(&mut self, work_s: f64, min_weight: f64) {
        self.samples = self.samples.saturating_add(1);
        let weight = (1.0 / f64::from(self.samples)).max(min_weight);
        let difference = work_s - self.mean_s;
        self.mean_s += weight * difference;
        self.variance = (1.0 - weight) * (self.variance + weight * difference * difference);
    }

    /// Returns the mean if there are enough samples.
    fn mean_s(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_s)
    }

    /// Returns the standard deviation relative to the mean.
    fn variation(&self) -> f64 {
        self.variance.sqrt() / self.mean_s.max(MIN_WORK_S)
    }
}

#[derive(Clone, Debug)]
struct RouteEntry {
    id: u64,
    total: Estimate,
    by_length: [Estimate; LENGTH_CLASSES],
}

#[derive(Clone, Copy, Debug)]
struct PathEntry {
    id: u64,
    estimate: Estimate,
    // Number of the sample that updated the entry last.
    last_used: u64,
}

#[derive(Clone, Debug)]
struct ServiceEntry {
    name: Arc<str>,
    estimate: Estimate,
    // Whether the work varies enough for `CostRouting::Auto`.
    is_varied: bool,
}

/// Estimates of the work of requests by path, body length, route and service.
#[derive(Clone, Debug, Default)]
pub struct CostModel {
    // Sorted by id.
    routes: Vec<RouteEntry>,
    // Sorted by id.
    paths: Vec<PathEntry>,
    // Paths seen once, each at the position of its hash modulo the length.
    seen_paths: Vec<u64>,
    // Sorted by name; bounded by the services of the desired state.
    services: Vec<ServiceEntry>,
    samples: u64,
}

impl CostModel {
    /// Returns the expected work of a request by the narrowest kind with enough samples, or `default_s` if even its
    /// route has too few.
    #[must_use]
    pub fn cost(&self, kind: RequestKind, default_s: f64) -> Cost {
        let path = self
            .paths
            .binary_search_by_key(&kind.path, |entry| entry.id);
        let path = path.ok().and_then(|at| self.paths[at].estimate.mean_s());
        let work_s = path.or_else(|| {
            let route = self.route(kind.route)?;
            let by_length = route.by_length[kind.length_class].mean_s();
            by_length.or_else(|| route.total.mean_s())
        });
        Cost {
            kind,
            work_s: work_s.unwrap_or(default_s).clamp(MIN_WORK_S, MAX_WORK_S),
        }
    }

    /// Returns the mean work of the requests of a kind's route, if it has enough samples.
    #[must_use]
    pub fn route_mean_s(&self, kind: RequestKind) -> Option<f64> {
        self.route(kind.route)?.total.mean_s()
    }

    /// Returns the mean work of a service's requests, if it has enough samples.
    #[must_use]
    pub fn service_mean_s(&self, service: &str) -> Option<f64> {
        let position = self.service_position(service).ok()?;
        self.services[position].estimate.mean_s()
    }

    /// Returns whether the work of a service's requests varies so much that counts of them say little.
    #[must_use]
    pub fn is_varied(&self, service: &str) -> bool {
        let position = self.service_position(service);
        position.is_ok_and(|position| self.services[position].is_varied)
    }

    /// Records the observed work of a completed request.
    pub fn record(&mut self, service: &Arc<str>, kind: RequestKind, work_s: f64) {
        if !work_s.is_finite() {
            return;
        }
        let work_s = work_s.clamp(MIN_WORK_S, MAX_WORK_S);
        self.samples += 1;
        self.record_service(service, work_s);
        if let Some(route) = self.route_or_insert(kind.route) {
            route.total.record(work_s, SAMPLE_WEIGHT);
            route.by_length[kind.length_class].record(work_s, SAMPLE_WEIGHT);
        }
        self.record_path(kind.path, work_s);
    }

    /// Removes the estimates of routes and services that the desired state no longer contains.
    pub fn retain(&mut self, routes: &[&str], is_service: impl Fn(&str) -> bool) {
        let mut ids: Vec<u64> = routes
            .iter()
            .map(|name| hash::key(name.as_bytes()))
            .collect();
        ids.sort_unstable();
        self.routes
            .retain(|route| ids.binary_search(&route.id).is_ok());
        self.services.retain(|service| is_service(&service.name));
    }

    fn record_service(&mut self, name: &Arc<str>, work_s: f64) {
        let position = self.service_position(name).unwrap_or_else(|position| {
            let entry = ServiceEntry {
                name: Arc::clone(name),
                estimate: Estimate::default(),
                is_varied: false,
            };
            self.services.insert(position, entry);
            position
        });
        let service = &mut self.services[position];
        service.estimate.record(work_s, SERVICE_SAMPLE_WEIGHT);
        let threshold = if service.is_varied {
            DISABLING_VARIATION
        } else {
            ENABLING_VARIATION
        };
        service.is_varied = service.estimate.samples >= MIN_AUTO_SAMPLES
            && service.estimate.variation() > threshold;
    }

    /// Records a sample of a path that has recurred; paths that occur once, such as those with an id, get no estimate.
    fn record_path(&mut self, id: u64, work_s: f64) {
        let samples = self.samples;
        if let Ok(position) = self.paths.binary_search_by_key(&id, |entry| entry.id) {
            let path = &mut self.paths[position];
            path.last_used = samples;
            path.estimate.record(work_s, SAMPLE_WEIGHT);
            return;
        }
        self.seen_paths.resize(SEEN_PATHS, 0);
        let slots = u64::try_from(SEEN_PATHS).unwrap_or(1);
        let slot = usize::try_from(id % slots).unwrap_or(0);
        if std::mem::replace(&mut self.seen_paths[slot], id) != id {
            return;
        }
        if self.paths.len() >= MAX_PATHS {
            self.evict_paths();
        }
        let mut estimate = Estimate::default();
        estimate.record(work_s, SAMPLE_WEIGHT);
        let position = self.paths.partition_point(|entry| entry.id < id);
        let entry = PathEntry {
            id,
            estimate,
            last_used: samples,
        };
        self.paths.insert(position, entry);
    }

    /// Removes the least recently used paths.
    fn evict_paths(&mut self) {
        let mut used: Vec<u64> = self.paths.iter().map(|entry| entry.last_used).collect();
        let (_, oldest_kept, _) = used.select_nth_unstable(EVICTED_PATHS);
        let oldest_kept = *oldest_kept;
        self.paths.retain(|entry| entry.last_used >= oldest_kept);
    }

    fn route(&self, id: u64) -> Option<&RouteEntry> {
        let position = self.routes.binary_search_by_key(&id, |route| route.id);
        position.ok().map(|position| &self.routes[position])
    }

    /// Returns the entry of a route, or `None` if it has none and there are [`MAX_ROUTES`] others.
    fn route_or_insert(&mut self, id: u64) -> Option<&mut RouteEntry> {
        let position = match self.routes.binary_search_by_key(&id, |route| route.id) {
            Ok(position) => position,
            Err(_) if self.routes.len() >= MAX_ROUTES => return None,
            Err(position) => {
                let entry = RouteEntry {
                    id,
                    total: Estimate::default(),
                    by_length: [Estimate::default(); LENGTH_CLASSES],
                };
                self.routes.insert(position, entry);
                position
            }
        };
        Some(&mut self.routes[position])
    }

    fn service_position(&self, name: &str) -> Result<usize, usize> {
        self.services
            .binary_search_by(|service| (*service.name).cmp(name))
    }
}

/// Returns the work of a request from its latency, both in seconds.
///
/// `queue_s` is the part of it that the request probably spent in the upstream's queue, `speed_factor` the upstream's
/// service time relative to the usual one.
#[must_use]
pub fn observed_work_s(latency_s: f64, queue_s: f64, speed_factor: f64) -> f64 {
    (latency_s - queue_s).max(latency_s * MIN_WORK_FRACTION) / speed_factor.max(0.1)
}

fn length_class(body_bytes: usize) -> usize {
    let bits = usize::BITS - body_bytes.leading_zeros();
    let class = match bits {
        0 => 0,
        bits => 1 + bits.saturating_sub(SECOND_CLASS_BITS).div_ceil(2),
    };
    usize::try_from(class).map_or(LENGTH_CLASSES - 1, |class| class.min(LENGTH_CLASSES - 1))
}
