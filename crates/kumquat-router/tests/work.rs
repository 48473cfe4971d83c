//! Tests that requests are routed by their expected cost, and that VMs of two versions exchange reports of it.

mod fixture {
    pub mod router;
}

use std::sync::Arc;
use std::time::Duration;

use fixture::router::{
    POOL, Router, ScriptedUpstream, UpstreamAction, registration, request, run_local_test,
    send_request, sleep_ms, start_router, status,
};
use kumquat_coordination::fleet::{Cost, CostRouting, UpstreamInstance, UpstreamTable};
use kumquat_router::peers::{MAX_DATAGRAM_BYTES, Report};
use kumquat_state::clock::Instant;
use serde::{Deserialize, Serialize};
use tokio::task::spawn_local;

/// The fields of a report in the version before routing by cost that the tests compare.
#[derive(Debug, Default, PartialEq, Serialize, Deserialize)]
struct PreviousReport {
    #[serde(rename = "f")]
    sender: u64,
    #[serde(rename = "n")]
    sequence: u64,
    #[serde(rename = "r", default)]
    in_flight: Vec<u32>,
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    team_usages: Option<Vec<u32>>,
}

fn upstream_id(upstream: UpstreamInstance) -> u32 {
    let mut table = UpstreamTable::default();
    let name = Arc::clone(&upstream.name);
    table.upsert(Instant::ORIGIN, upstream, 1.0);
    table.upstream_id(&name).expect("it is in the table")
}

/// Returns the expected cost of a request to the pool with this path and no body.
fn cost(router: &Router, path: &str) -> Option<Cost> {
    let config = router.vm.config().expect("a desired state");
    let host = config.routes[0].host.clone();
    let route = config.route(&host, path).expect("a route");
    router.vm.request_cost(route, &POOL.into(), path, 0)
}

/// Guards against a field that makes one of two versions drop the reports of the other.
#[test]
fn reports_are_exchanged_with_the_version_before() {
    let report = Report {
        sender: 7,
        sequence: 3,
        in_flight: vec![5, 2],
        outstanding_work: vec![5, 9_000],
        team_usages: Some(vec![5, 60, 50, 3, 2]),
        ..Report::default()
    };
    let previous: PreviousReport = ciborium::from_reader(&*report.encode()).expect("a report");
    let mut bytes = Vec::new();
    ciborium::into_writer(&previous, &mut bytes).expect("it is written");

    let returned = Report::decode(&bytes).expect("a report");

    let without_work = Report {
        outstanding_work: Vec::new(),
        ..report
    };
    assert_eq!(returned, without_work);
    let has_field = without_work.encode().windows(2).any(|text| text == b"ao");
    assert!(!has_field, "a report without work has the field");
}

/// Guards against reports that exceed a datagram because of the outstanding work.
#[test]
fn a_report_with_the_work_of_many_upstreams_fits_a_datagram() {
    let id = |number: u32| u32::MAX - number;
    let usage = |number| [id(number), 90_000, 80_000, 200, 100];
    let report = Report {
        sender: u64::MAX,
        in_flight: (0..128).flat_map(|number| [id(number), 3]).collect(),
        outstanding_work: (0..128)
            .flat_map(|number| [id(number), 3_600_000])
            .collect(),
        team_usages: Some((0..20).flat_map(usage).collect()),
        limit_usages: (0..100).flat_map(usage).collect(),
        request_limits: vec![(u32::MAX, Some(2_500), 20_000); 128],
        ended_exchanges: vec![(u64::MAX, u32::MAX, 100, 3_000); 16],
        ..Report::default()
    };

    let length = report.encode().len();

    println!("{length} bytes");
    assert!(length <= MAX_DATAGRAM_BYTES, "{length} bytes");
}

/// Guards against requests whose cost is not learned, or whose work is not counted while they run.
#[test]
fn completed_requests_train_the_model_and_running_ones_are_outstanding() {
    run_local_test(async {
        let delayed = UpstreamAction::DelayedAnswer("ok", Duration::from_millis(60));
        let mut script = vec![delayed; 10];
        script.push(UpstreamAction::NeverAnswer);
        let upstream = ScriptedUpstream::bind(&script).await;
        let router = start_router(&[&upstream]);
        for number in 0..10 {
            let text = request("GET", "/safe/slow", &format!("t{number}"));
            assert_eq!(status(&send_request(router.address, &text).await), 200);
        }

        let cost = cost(&router, "/safe/slow").expect("a cost");
        let before = router.vm.outstanding_work();
        let text = request("GET", "/safe/slow", "t10");
        let address = router.address;
        spawn_local(async move { send_request(address, &text).await });
        while upstream.requests().len() < 11 {
            sleep_ms(5).await;
        }
        let outstanding = router.vm.outstanding_work();

        // The upstream takes 60 ms, whatever else the machine does.
        assert!(cost.work_s >= 0.06, "{cost:?}");
        assert_eq!(before, []);
        assert_eq!(outstanding.len(), 1, "{outstanding:?}");
        assert!(outstanding[0].1 >= 20, "{outstanding:?}");
        assert_eq!(router.vm.metrics.work.ratio.get_sample_count(), 10);
    });
}

/// Guards against routing by cost that does not use the peers' work, and against any effect of it while it is off.
#[test]
fn the_work_of_peers_decides_only_if_the_service_is_routed_by_cost() {
    let modes = [
        (CostRouting::On, [0, 1]),
        (CostRouting::Off, [1, 0]),
        (CostRouting::Auto, [1, 0]),
    ];
    for (mode, expected) in modes {
        run_local_test(async move {
            let answer = [UpstreamAction::Answer("ok")];
            let upstreams = [
                ScriptedUpstream::bind(&answer).await,
                ScriptedUpstream::bind(&answer).await,
            ];
            let router = start_router(&[&upstreams[0], &upstreams[1]]);
            router.vm.set_cost_routing(mode);
            let [first, second] = [0, 1].map(|index| {
                upstream_id(registration(&format!("u{index}"), POOL, &upstreams[index]))
            });
            let in_flight = [(first, 2), (second, 3)];
            let work_ms = [(first, 60_000), (second, 3)];

            router.vm.apply_peer_report(7, &in_flight, &work_ms, None);
            let answer = send_request(router.address, &request("GET", "/safe/a", "t1")).await;

            let counts = [upstreams[0].requests().len(), upstreams[1].requests().len()];
            assert_eq!((status(&answer), counts), (200, expected), "{mode:?}");
            let has_cost = cost(&router, "/safe/a").is_some();
            assert_eq!(has_cost, mode != CostRouting::Off);
            let samples = router.vm.metrics.work.ratio.get_sample_count();
            assert_eq!(samples, u64::from(mode != CostRouting::Off));
        });
    }
}
