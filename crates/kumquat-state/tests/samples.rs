//! Tests of the sample bundles, which have to be valid and of the documented sizes.

use kumquat_state::bundle::{Bundle, ServiceKind, check_change, parse, render};
use kumquat_state::secret::Pepper;

struct Sample {
    bundle: Bundle,
    pepper: Pepper,
    caller_keys: &'static str,
}

macro_rules! sample {
    ($deployment:literal) => {
        Sample {
            bundle: parse(include_str!(concat!(
                "../../../samples/",
                $deployment,
                "/bundle.ini"
            )))
            .unwrap(),
            pepper: include_str!(concat!("../../../samples/", $deployment, "/digest.hex"))
                .parse()
                .unwrap(),
            caller_keys: include_str!(concat!(
                "../../../samples/",
                $deployment,
                "/caller-keys.txt"
            )),
        }
    };
}

/// Returns the name and kind of each service and the number of its upstreams that receive new requests.
fn service_sizes(bundle: &Bundle) -> Vec<(&str, ServiceKind, usize)> {
    bundle
        .services
        .iter()
        .map(|service| {
            let upstreams = bundle
                .upstreams
                .iter()
                .filter(|upstream| upstream.service == service.name && bundle.takes_work(upstream));
            (service.name.as_str(), service.kind, upstreams.count())
        })
        .collect()
}

/// Returns the distinct pairs of slots and connections of the upstreams.
fn capacities(bundle: &Bundle) -> Vec<(u32, u32)> {
    let mut capacities: Vec<(u32, u32)> = bundle
        .upstreams
        .iter()
        .map(|upstream| (upstream.slots, upstream.connections))
        .collect();
    capacities.sort_unstable();
    capacities.dedup();
    capacities
}

fn check_sample(sample: &Sample) {
    let bundle = &sample.bundle;
    assert_eq!(bundle.data_centres.len(), 3);
    assert_eq!(bundle.teams.len(), 8);
    assert_eq!(parse(&render(bundle)).as_ref(), Ok(bundle));
    assert_eq!(check_change(&Bundle::default(), bundle), []);
    assert!(
        bundle
            .upstreams
            .iter()
            .all(|upstream| upstream.address.ip().is_loopback())
    );
    assert_eq!(sample.caller_keys.lines().count(), bundle.caller_keys.len());
    for line in sample.caller_keys.lines() {
        let (name, key) = line.split_once(' ').unwrap();
        let found = sample.pepper.find(bundle, key).unwrap();
        assert_eq!(found.name.as_str(), name);
    }
}

/// Guards against a sample of Port Louis whose sizes differ from `docs/design.md`, section 1.5.
#[test]
fn port_louis_has_the_documented_sizes() {
    let sample = sample!("port-louis");
    check_sample(&sample);
    assert_eq!(
        service_sizes(&sample.bundle),
        [
            ("bench-scheduling", ServiceKind::Pool, 7),
            ("payments", ServiceKind::Pool, 6),
            ("pilot-readiness", ServiceKind::Pool, 6),
            ("repair-status", ServiceKind::Keyed, 15),
        ]
    );
    assert_eq!(capacities(&sample.bundle), [(2, 100)]);
}

/// Guards against a sample of Dar es Salaam whose sizes differ from `docs/design.md`, section 1.5.
#[test]
fn dar_es_salaam_has_the_documented_sizes() {
    let sample = sample!("dar-es-salaam");
    check_sample(&sample);
    assert_eq!(
        service_sizes(&sample.bundle),
        [
            ("catalogue", ServiceKind::Keyed, 13),
            ("orders", ServiceKind::Pool, 8),
            ("payments", ServiceKind::Pool, 6),
            ("shelf-lookups", ServiceKind::Pool, 6),
        ]
    );
    assert_eq!(capacities(&sample.bundle), [(3, 50)]);
}
