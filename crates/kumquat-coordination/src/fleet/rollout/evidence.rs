//! The `evidence` module provides the counts of responses by which the versions of a service are compared.

/// Maximum number of VM processes and services whose counts are kept.
const MAX_OBSERVATIONS: usize = 4_096;

/// Which versions are meant, with regard to the order in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// All versions but the one that the order names.
    Old,
    /// The version that the order names.
    New,
}

/// Counts of the responses of one side on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests whose outcome is known, apart from those that were not executed.
    pub requests: u32,
    /// Requests that failed: a 5xx status, or a response that is missing, incomplete or not genuine.
    pub failures: u32,
    /// Responses whose latency was measured.
    pub timed: u32,
    /// Those of them that took several times the route's mean.
    pub slow: u32,
    /// Sum of the latencies relative to the route's mean, in percent.
    pub latency_percent: u32,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.requests = self.requests.saturating_add(other.requests);
        self.failures = self.failures.saturating_add(other.failures);
        self.timed = self.timed.saturating_add(other.timed);
        self.slow = self.slow.saturating_add(other.slow);
        self.latency_percent = self.latency_percent.saturating_add(other.latency_percent);
    }

    const fn since(&self, earlier: &Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(earlier.requests),
            failures: self.failures.saturating_sub(earlier.failures),
            timed: self.timed.saturating_sub(earlier.timed),
            slow: self.slow.saturating_sub(earlier.slow),
            latency_percent: self.latency_percent.saturating_sub(earlier.latency_percent),
        }
    }
}

/// Counts of both sides on one route.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RouteCounts {
    /// Short id of the route.
    pub route: u32,
    /// Counts of the old versions.
    pub old: Counts,
    /// Counts of the new version.
    pub new: Counts,
}

impl RouteCounts {
    /// Returns the counts of a side for changes.
    pub const fn side_mut(&mut self, side: Side) -> &mut Counts {
        match side {
            Side::Old => &mut self.old,
            Side::New => &mut self.new,
        }
    }
}

/// What one VM has counted since it learned of an order.
///
/// The counts are totals, so that a lost report is made up for by the next one and a new coordinator needs no others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observation {
    /// Short id of the service.
    pub service: u32,
    /// Revision of the order.
    pub order: u64,
    /// Share of the step that the VM applies, in thousandths; zero before the first step.
    pub share: u32,
    /// Requests that the VM has in flight at upstreams of the old versions.
    pub old_in_flight: u32,
    /// Counts by route.
    pub routes: Vec<RouteCounts>,
}

/// The latest observations of all VMs, as the coordinator has received them.
#[derive(Clone, Debug, Default)]
pub struct Evidence {
    // By service and sender, sorted by both.
    observations: Vec<(u32, u64, Observation)>,
}

impl Evidence {
    /// Records the observation of the VM process `sender`; an earlier one of the same order is replaced route by route.
    ///
    /// An observation can overtake another, so counts never fall.
    pub fn record(&mut self, sender: u64, observation: Observation) {
        let key = (observation.service, sender);
        let found = self
            .observations
            .binary_search_by_key(&key, |(service, sender, _)| (*service, *sender));
        match found {
            Ok(position) => merge(&mut self.observations[position].2, observation),
            Err(position) if self.observations.len() < MAX_OBSERVATIONS => self
                .observations
                .insert(position, (key.0, sender, observation)),
            Err(_full) => {}
        }
    }

    /// Returns the counts of all VMs since an order.
    #[must_use]
    pub fn totals(&self, service: u32, order: u64) -> Vec<RouteCounts> {
        let mut totals: Vec<RouteCounts> = Vec::new();
        for (_, _, observation) in self.of_order(service, order) {
            for counts in &observation.routes {
                let total = entry(&mut totals, counts.route);
                total.old.add(&counts.old);
                total.new.add(&counts.new);
            }
        }
        totals
    }

    /// Returns whether each of these VM processes applies the given share and has nothing in flight at old versions.
    #[must_use]
    pub fn is_settled(&self, service: u32, order: u64, share: u32, senders: &[u64]) -> bool {
        senders.iter().all(|sender| {
            let mut observations = self.of_order(service, order);
            observations.any(|(_, other, observation)| {
                other == sender && observation.share == share && observation.old_in_flight == 0
            })
        })
    }

    /// Forgets the observations of a service whose rollout has ended.
    pub fn forget(&mut self, service: u32) {
        self.observations.retain(|(other, _, _)| *other != service);
    }

    fn of_order(&self, service: u32, order: u64) -> impl Iterator<Item = &(u32, u64, Observation)> {
        self.observations
            .iter()
            .filter(move |(other, _, observation)| *other == service && observation.order == order)
    }
}

fn merge(known: &mut Observation, observation: Observation) {
    if observation.order < known.order {
        return;
    }
    if observation.order > known.order {
        *known = observation;
        return;
    }
    known.share = observation.share;
    known.old_in_flight = observation.old_in_flight;
    for counts in observation.routes {
        let entry = entry(&mut known.routes, counts.route);
        if counts.old.requests >= entry.old.requests {
            entry.old = counts.old;
        }
        if counts.new.requests >= entry.new.requests {
            entry.new = counts.new;
        }
    }
}

/// Returns the counts of a route in a list that is sorted by route.
pub(super) fn entry(routes: &mut Vec<RouteCounts>, route: u32) -> &mut RouteCounts {
    let found = routes.binary_search_by_key(&route, |counts| counts.route);
    let position = found.unwrap_or_else(|position| {
        let counts = RouteCounts {
            route,
            ..RouteCounts::default()
        };
        routes.insert(position, counts);
        position
    });
    &mut routes[position]
}

/// Returns what was counted after earlier totals.
pub(super) fn difference(totals: &[RouteCounts], earlier: &[RouteCounts]) -> Vec<RouteCounts> {
    let since = totals.iter().map(|total| {
        let found = earlier.binary_search_by_key(&total.route, |counts| counts.route);
        let before = found.map_or_else(|_missing| RouteCounts::default(), |at| earlier[at]);
        RouteCounts {
            route: total.route,
            old: total.old.since(&before.old),
            new: total.new.since(&before.new),
        }
    });
    since.collect()
}
