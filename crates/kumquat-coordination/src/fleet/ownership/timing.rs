//! The `timing` module provides how long grants hold and how often the coordinator acts.

use std::time::Duration;

/// How long a grant holds in ordinary times, and after which time it is renewed; three renewals fit into a hold.
///
/// A grant outlasts most changes of the coordinator, which take the rest of its lease of three seconds.
const SHORT_GRANT: (Duration, Duration) =
    (Duration::from_millis(2_800), Duration::from_millis(900));

/// The same for services with many upstreams.
const LONG_GRANT: (Duration, Duration) = (Duration::from_secs(4), Duration::from_millis(1_200));

/// Upstreams of a service up to which grants are short: some 300 renewals a second, from one VM.
const SHORT_GRANTS_LIMIT: usize = 250;

/// Time between two looks at the balance of the owners.
const BALANCE: Duration = Duration::from_millis(300);

/// Timing of the coordinator.
#[derive(Clone, Copy, Debug)]
pub struct OwnershipTiming {
    /// How long a grant holds in ordinary times.
    pub grant_duration: Duration,
    /// How long a grant holds that has to outlast an outage of the store.
    pub max_grant_duration: Duration,
    /// Time after which a grant is renewed.
    pub renewal_interval: Duration,
    /// Time between two looks at the balance.
    pub rebalance_interval: Duration,
}

impl OwnershipTiming {
    /// Returns the timing for a service with so many upstreams; no grant holds longer than `max_grant_duration`.
    ///
    /// The keys of a crashed upstream have no owner until its last grant has run out. Short grants bound that, but the
    /// coordinator renews each range on a tenth of a core.
    #[must_use]
    pub fn for_upstreams(upstreams: usize, max_grant_duration: Duration) -> Self {
        let (grant_duration, renewal_interval) = if upstreams <= SHORT_GRANTS_LIMIT {
            SHORT_GRANT
        } else {
            LONG_GRANT
        };
        Self {
            grant_duration: grant_duration.min(max_grant_duration),
            max_grant_duration,
            renewal_interval,
            rebalance_interval: BALANCE,
        }
    }
}
