//! The `lease` module models the simpler policies for unavailable time, in virtual time.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::load::micros;
use crate::report::Report;
use crate::settings::Settings;
use crate::stats::{collect, curve, float, millis};

/// Time to live of the modelled lease of each key; it is renewed after a third of that.
const LEASE: Duration = Duration::from_secs(2);

/// Time of one call to the store.
const CALL: Duration = Duration::from_millis(5);

/// Keys of the model.
const KEYS: usize = 10_000;

/// Keys in use at the size expected in two years.
const KEYS_EXPECTED: f64 = 1.4e9;

/// Reports a lease per key in the store, and what a static table does.
pub fn run(settings: &Settings, outage: Duration, report: &mut Report) {
    let mut random = SmallRng::seed_from_u64(settings.seed);
    let mut waits = |wait: fn(Duration, Duration) -> Duration| {
        let renewed = LEASE / 3;
        let ages = (0..KEYS).map(|_| renewed.mul_f64(random.random_range(0.0..1.0)));
        collect(ages.map(|age| micros(wait(age, Duration::ZERO))))
    };
    // The next owner waits until the lease has run out, then takes it with one call.
    let death = waits(|age, _| LEASE.saturating_sub(age) + CALL);
    // The old owner releases the lease, and the new one, which watches, takes it.
    let planned = waits(|_, _| CALL * 2);
    for (scenario, histogram) in [("owner dies", &death), ("planned move", &planned)] {
        let place = (scenario, "lease per key");
        for (name, quantile) in [("unavailable median", 0.5), ("unavailable p99", 0.99)] {
            report.add(place, name, (millis(histogram, quantile), "ms"), None);
        }
    }
    // A lease that can't be renewed runs out; it can be taken again once the store is back.
    let age = LEASE / 6;
    let out = outage.saturating_sub(LEASE.saturating_sub(age)) + CALL;
    let value = float(micros(out)) / 1_000.0;
    let place = ("store outage", "lease per key");
    report.add(place, "unavailable mean", (value, "ms"), None);
    let writes = KEYS_EXPECTED / (LEASE.as_secs_f64() / 3.0);
    let place = ("extrapolation", "lease per key");
    report.add(
        place,
        "store writes at 1.4 billion keys",
        (writes, "per s"),
        None,
    );
    report.curve("owner dies, lease per key (model)", curve(&death));
    report.note(format!(
        "lease per key: model with a lease time of {LEASE:?}, renewed after a third, and {CALL:?} per call to the store"
    ));
    report.note(
        "static table: a dead owner's keys stay unavailable until an operator acts; store outages don't matter to it",
    );
    report.note(
        "rendezvous and jump hashing without fencing have no bound for unavailable time that keeps a single owner: \
         callers with different lists of upstreams send one key to two of them",
    );
}
