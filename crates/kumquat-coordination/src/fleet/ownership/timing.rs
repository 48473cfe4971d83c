//! The `timing` module provides the durations of grants and the intervals at which the coordinator acts.

use std::time::Duration;

/// Duration of a grant while the store is reachable, and its renewal interval; three renewals fit into the duration.
///
/// A grant outlasts most changes of the coordinator, which take the rest of the coordinator's lease of three seconds.
const SHORT_GRANT: (Duration, Duration) =
    (Duration::from_millis(2_800), Duration::from_millis(900));

/// Duration and renewal interval of grants for services with more than [`SHORT_GRANT_MAX_UPSTREAMS`] upstreams.
const LONG_GRANT: (Duration, Duration) = (Duration::from_secs(4), Duration::from_millis(1_200));

/// Largest number of upstreams with short grants; one VM then sends some 300 renewals a second.
const SHORT_GRANT_MAX_UPSTREAMS: usize = 250;

/// Interval at which the balance of load between the owners is checked.
const REBALANCE_INTERVAL: Duration = Duration::from_millis(300);

/// The same for services with at least [`LARGE_SERVICE_MIN_UPSTREAMS`] upstreams.
///
/// Each change of the map is a write to the store and a read for each VM that watches it; more moves go into one change.
const LARGE_SERVICE_REBALANCE_INTERVAL: Duration = Duration::from_millis(500);

/// Smallest number of upstreams whose moves are gathered for longer.
const LARGE_SERVICE_MIN_UPSTREAMS: usize = 60;

/// Durations and intervals of the coordinator of one service.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTiming {
    /// Duration of a grant while the store is reachable.
    pub grant_duration: Duration,
    /// Duration of a grant while the store is unreachable, and the longest that any coordinator grants.
    ///
    /// A new coordinator waits this long for previous owners that don't answer.
    pub max_grant_duration: Duration,
    /// Time after the sending of an accepted grant at which it is renewed.
    pub renewal_interval: Duration,
    /// Shortest time between two rebalancing steps.
    pub rebalance_interval: Duration,
}

impl OwnershipTiming {
    /// Returns the timing for a service with this number of upstreams; no grant lasts longer than `max_grant_duration`.
    ///
    /// The keys of a crashed upstream have no owner until its last grant has expired. Short grants bound that, but
    /// the coordinator's renewals of all ranges have to fit into a tenth of a core.
    #[must_use]
    pub fn for_upstreams(upstreams: usize, max_grant_duration: Duration) -> Self {
        let (grant_duration, renewal_interval) = if upstreams <= SHORT_GRANT_MAX_UPSTREAMS {
            SHORT_GRANT
        } else {
            LONG_GRANT
        };
        Self {
            grant_duration: grant_duration.min(max_grant_duration),
            max_grant_duration,
            renewal_interval,
            rebalance_interval: if upstreams < LARGE_SERVICE_MIN_UPSTREAMS {
                REBALANCE_INTERVAL
            } else {
                LARGE_SERVICE_REBALANCE_INTERVAL
            },
        }
    }
}
