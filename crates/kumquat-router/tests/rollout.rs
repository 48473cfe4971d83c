//! Tests what a VM counts and limits while a service is rolled out to another version.

mod fixture {
    pub mod router;
}

use std::sync::Arc;
use std::time::Duration;

use fixture::router::{
    KEYED, POOL, Router, ScriptedUpstream, UpstreamAction, registration, request, run_local_test,
    send_request, start_router, status,
};
use kumquat_coordination::fleet::rollout::{Order, Phase, Record};
use kumquat_coordination::fleet::{Holder, Member, UpstreamInstance};
use kumquat_state::clock;

/// Genuine responses with a failure.
const FAILURES: [UpstreamAction; 4] = [
    UpstreamAction::Raw("HTTP/1.1 500 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"),
    UpstreamAction::Raw("HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"),
    UpstreamAction::Raw("HTTP/1.1 429 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"),
    UpstreamAction::Raw("HTTP/1.1 408 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"),
];

fn versioned(upstream: UpstreamInstance, version: &str) -> UpstreamInstance {
    UpstreamInstance {
        version: Arc::from(version),
        ..upstream
    }
}

/// Makes a router apply a share of an order for the version `v2`.
fn apply_share(router: &Router, service: &str, share: u32) {
    let target: Arc<str> = Arc::from("v2");
    let order = Order {
        revision: 5,
        target: Arc::clone(&target),
        duration: Duration::from_secs(12),
    };
    let record = Record {
        order: 5,
        target,
        phase: Phase::Running,
        share,
        elapsed: Duration::ZERO,
        barred: Vec::new(),
    };
    router.vm.record_store_read();
    router.vm.set_rollout_order(service, Some(order));
    router.vm.set_rollout_record(service, &record);
}

/// Guards against failures of a new version that reach callers although old upstreams could answer, that are not counted,
/// or that a VM goes on to cause.
#[test]
fn failures_of_a_new_version_are_counted_and_retried_at_the_old_one() {
    for failure in FAILURES {
        run_local_test(check_rollout(failure, "GET", "/safe/a", |statuses| {
            assert_eq!(statuses, [200; 10], "{failure:?}");
        }));
    }
}

/// Guards against a new version whose failures are not counted because their status is one of unexecuted requests.
#[test]
fn failures_of_a_new_version_are_counted_for_non_idempotent_requests() {
    for failure in &FAILURES[1..] {
        run_local_test(check_rollout(*failure, "POST", "/once/a", |statuses| {
            let failed = statuses.iter().filter(|status| **status == 502).count();
            let served = statuses.iter().filter(|status| **status == 200).count();
            assert_eq!((failed, served), (6, 4), "{failure:?}");
        }));
    }
}

/// Sends ten requests of which the first ones go to a failing new version, and checks their statuses and counts.
async fn check_rollout(
    failure: UpstreamAction,
    method: &str,
    path: &str,
    check_statuses: impl FnOnce(&[u16]),
) {
    let old = ScriptedUpstream::bind(&[UpstreamAction::Answer("ok")]).await;
    let new = ScriptedUpstream::bind(&[failure]).await;
    let router = start_router(&[]);
    for (name, version, upstream) in [("old", "v1", &old), ("new", "v2", &new)] {
        let upstream = versioned(registration(name, POOL, upstream), version);
        router.vm.upsert_upstream(upstream);
    }
    // One VM alone may use 20 requests of the slack.
    apply_share(&router, POOL, 100);

    let mut statuses = Vec::new();
    for number in 0..10 {
        let text = request(method, path, &format!("t{number}"));
        statuses.push(status(&send_request(router.address, &text).await));
    }

    check_statuses(&statuses);
    let observations = router.vm.rollout_observations();
    let counts = observations[0].routes[0];
    assert_eq!((observations.len(), observations[0].routes.len()), (1, 1));
    let served = u32::try_from(statuses.iter().filter(|status| **status == 200).count());
    let served = served.expect("a small number");
    assert_eq!((counts.old.requests, counts.old.failures), (served, 0));
    // The VM stops by itself at the sixth failure.
    assert_eq!((counts.new.requests, counts.new.failures), (6, 6));
    assert_eq!(new.requests().len(), 6);
}

/// Guards against a new version that owns more keys than its share, which a limit on requests can't correct.
#[test]
fn members_of_the_new_version_own_keys_in_proportion_to_the_share() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("ok")]).await;
        let router = start_router(&[]);
        let versions = [("a", "v1"), ("b", "v1"), ("c", "v2"), ("d", "v2")];
        for (name, version) in versions {
            let upstream = versioned(registration(name, KEYED, &upstream), version);
            router.vm.upsert_upstream(upstream);
        }
        let members = |share: Option<u32>| {
            if let Some(share) = share {
                apply_share(&router, KEYED, share);
            }
            let mut members = versions.map(|(name, _)| Member {
                holder: Holder {
                    name: Arc::from(name),
                    incarnation: 1,
                },
                may_own: true,
                is_warm: true,
                capacity: 9.0,
                max_requests_per_s: None,
            });
            let now = clock::now();
            router.vm.limit_rollout_members(now, KEYED, &mut members);
            members.map(|member| if member.may_own { member.capacity } else { 0.0 })
        };

        let (before, limited, whole) = (members(None), members(Some(100)), members(Some(1_000)));

        let is_close = |actual: [f64; 4], expected: [f64; 4]| {
            let mut pairs = actual.into_iter().zip(expected);
            pairs.all(|(actual, expected)| (actual - expected).abs() < 1e-9)
        };
        assert!(is_close(before, [9.0; 4]), "{before:?}");
        assert!(is_close(limited, [9.0, 9.0, 2.0, 0.0]), "{limited:?}");
        assert!(is_close(whole, [0.0, 0.0, 9.0, 9.0]), "{whole:?}");
    });
}
