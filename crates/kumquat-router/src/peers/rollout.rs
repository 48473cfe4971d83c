//! The `rollout` module converts what VMs tell the coordinator of the responses of a service's versions.

use kumquat_coordination::fleet::rollout::{Counts, Observation, RouteCounts};

use super::{EncodedObservation, Report};

/// Numbers for each route: its short id, and the counts of both sides in field order.
const NUMBERS_PER_ROUTE: usize = 11;

/// Returns the report of an observation to the coordinator; one of the largest observations fits a datagram.
pub(super) fn report(sender: u64, observation: &Observation) -> Report {
    let routes = observation.routes.iter().flat_map(|counts| {
        let mut numbers = vec![counts.route];
        for side in [counts.old, counts.new] {
            numbers.extend([
                side.requests,
                side.failures,
                side.timed,
                side.slow,
                side.latency_percent,
            ]);
        }
        numbers
    });
    Report {
        sender,
        observation: Some((
            observation.service,
            observation.order,
            observation.share,
            observation.old_in_flight,
            routes.collect(),
        )),
        ..Report::default()
    }
}

/// Returns the observation of a report.
pub(super) fn decode(encoded: &EncodedObservation) -> Observation {
    let (service, order, share, old_in_flight, numbers) = encoded;
    let counts = |numbers: &[u32]| Counts {
        requests: numbers[0],
        failures: numbers[1],
        timed: numbers[2],
        slow: numbers[3],
        latency_percent: numbers[4],
    };
    let routes = numbers.chunks_exact(NUMBERS_PER_ROUTE);
    Observation {
        service: *service,
        order: *order,
        share: *share,
        old_in_flight: *old_in_flight,
        routes: routes
            .map(|numbers| RouteCounts {
                route: numbers[0],
                old: counts(&numbers[1..6]),
                new: counts(&numbers[6..11]),
            })
            .collect(),
    }
}
