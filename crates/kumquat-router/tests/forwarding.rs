//! Tests what becomes of single requests that a VM without a path to the upstreams forwards to other VMs.

mod fixture {
    pub mod mortal;
    pub mod router;
}

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use fixture::mortal::start_fleet;
use fixture::router::{
    KEYED, POOL, Router, ScriptedUpstream, UpstreamAction, header_field, registration, request,
    run_local_test, send_request, single_owner_map, sleep_ms, start_request, status,
};
use kumquat_coordination::fleet::{HelperOffer, PathState};
use tokio::time::Instant;

/// Signed response of a helping VM, which passes on that of an upstream.
const HELPED: &str = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 6\r\n\r\nhelped";

/// Starts a router that has lost its path to the service [`POOL`].
async fn start_cut_router() -> Router {
    let mut routers = start_fleet(1).await;
    let router = routers.remove(0);
    cut(&router).await;
    router
}

/// Registers only upstreams that refuse connections, and waits until the router has noticed that it reaches none.
async fn cut(router: &Router) {
    let upstream = ScriptedUpstream::bind(&[UpstreamAction::Close]).await;
    for number in 0..3 {
        let mut registration = registration(&format!("cut{number}"), POOL, &upstream);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
        registration.address = listener.local_addr().expect("an address");
        router.vm.upsert_upstream(registration);
    }
    while router.vm.path_state(POOL) != PathState::Lost {
        send_request(router.address, &request("GET", "/safe/1", "cut")).await;
        sleep_ms(5).await;
    }
}

/// Waits until a router without a path to a service knows of another one that has one.
async fn wait_for_helper(router: &Router, service: &str) {
    while !router.vm.is_cut_off_from(service) {
        sleep_ms(5).await;
    }
}

fn offer_help(router: &Router, peer: u64, address: SocketAddr) {
    let offer = HelperOffer {
        address,
        lost_services: Vec::new(),
    };
    router.vm.record_helper_offer(peer, Some(offer));
}

/// Guards against a forwarded request that the other VM can't authenticate, route or bound in time, or that changes.
#[test]
fn a_request_is_forwarded_as_the_caller_sent_it() {
    run_local_test(async {
        let router = start_cut_router().await;
        let helper = ScriptedUpstream::bind(&[UpstreamAction::Raw(HELPED)]).await;
        offer_help(&router, 2, helper.address);
        let text = request("POST", "/once/a?b=c", "t1")
            .replace("X-Try", "X-Left-Ms: 300\r\nX-Kept: 1\r\nX-Try")
            .replace("\r\n\r\n", "\r\nContent-Length: 4\r\n\r\nbody");

        let response = send_request(router.address, &text).await;

        assert!(response.ends_with("helped"), "{response}");
        assert_eq!(header_field(&response, "X-Sign").as_deref(), Some("s"));
        let seen = &helper.requests()[0];
        assert!(seen.starts_with("POST /once/a?b=c HTTP/1.1\r\n"), "{seen}");
        assert!(seen.ends_with("body"), "{seen}");
        for (name, value) in [
            ("Host", "shop.example"),
            ("X-Try", "t1"),
            ("Authorization", "Key k1"),
            ("X-Kept", "1"),
        ] {
            assert_eq!(header_field(seen, name).as_deref(), Some(value), "{seen}");
        }
        let left_ms = header_field(seen, "X-Left-Ms").expect("a field");
        let left_ms: u64 = left_ms.parse().expect("milliseconds");
        assert!((200..=300).contains(&left_ms), "{left_ms}");
    });
}

/// Guards against requests that travel in circles between VMs none of which has a path, and against late refusals.
#[test]
fn a_request_is_refused_at_once_if_no_vm_has_a_path() {
    run_local_test(async {
        let routers = start_fleet(3).await;
        for router in &routers {
            cut(router).await;
        }
        // An offer of before the other VM lost its path.
        let other = routers[1].vm.helper_offer().expect("an offer");
        offer_help(&routers[0], 2, other.address);
        let started_at = Instant::now();

        let response = send_request(routers[0].address, &request("POST", "/once/1", "t1")).await;

        assert_eq!(status(&response), 503, "{response}");
        assert!(
            header_field(&response, "Retry-After").is_some(),
            "{response}"
        );
        assert!(started_at.elapsed() < Duration::from_millis(200));
    });
}

/// Guards against a request that is executed twice because the VM that took it gave no answer.
#[test]
fn a_non_idempotent_request_is_not_forwarded_again_after_its_answer_broke_off() {
    run_local_test(async {
        let router = start_cut_router().await;
        let silent = ScriptedUpstream::bind(&[UpstreamAction::Close]).await;
        offer_help(&router, 2, silent.address);
        offer_help(&router, 3, silent.address);

        let response = send_request(router.address, &request("POST", "/once/1", "t1")).await;

        assert_eq!(status(&response), 502, "{response}");
        assert_eq!(silent.requests().len(), 1);
    });
}

/// Guards against callers that fail with one helping VM although another one could serve them.
#[test]
fn the_next_vm_helps_if_one_is_gone_or_declines() {
    run_local_test(async {
        let router = start_cut_router().await;
        let declines = UpstreamAction::Raw(
            "HTTP/1.1 503 X\r\nKumquat-Declined: 1\r\nContent-Length: 0\r\n\r\n",
        );
        let first = ScriptedUpstream::bind(&[declines, UpstreamAction::Raw(HELPED)]).await;
        offer_help(&router, 2, first.address);
        offer_help(&router, 3, first.address);

        let response = send_request(router.address, &request("POST", "/once/1", "t1")).await;

        assert!(response.ends_with("helped"), "{response}");
        assert_eq!(first.requests().len(), 2);
    });
}

/// Guards against an upstream that makes a request run twice by a field of its own in a failure.
#[test]
fn a_signed_answer_is_never_taken_for_a_declined_request() {
    let signed = UpstreamAction::Raw(
        "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nKumquat-Declined: 1\r\nContent-Length: 0\r\n\r\n",
    );
    run_local_test(check_replaced(signed));
}

/// Failures of an upstream that do not state whether it executed the request, as a VM of an older version passes them on.
const UNSTATED_FAILURES: [UpstreamAction; 4] = [
    UpstreamAction::Raw(
        "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nRetry-After: 0.2\r\nContent-Length: 2\r\n\r\nno",
    ),
    UpstreamAction::Raw(
        "HTTP/1.1 429 X\r\nX-Try: ID\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    ),
    UpstreamAction::RawAndClose("HTTP/1.1 408 X\r\nX-Try: ID\r\nX-Sign: s\r\n\r\nno"),
    UpstreamAction::LargeBody(
        "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 200000\r\n\r\n",
        200_000,
        Duration::from_millis(300),
    ),
];

/// Guards against a request that is refused as not executed through a VM of an older version, whose upstream executed it.
#[test]
fn an_unstated_failure_through_another_vm_is_not_passed_on_as_not_executed() {
    for action in UNSTATED_FAILURES {
        run_local_test(check_replaced(action));
    }
}

/// Checks that the caller of a non-idempotent request, to whose helping VM an upstream responds with `action`, learns
/// that the outcome is open, and that no second VM gets the request.
async fn check_replaced(action: UpstreamAction) {
    let router = start_cut_router().await;
    let helper = ScriptedUpstream::bind(&[action]).await;
    offer_help(&router, 2, helper.address);
    offer_help(&router, 3, helper.address);

    let response = send_request(router.address, &request("POST", "/once/1", "t1")).await;

    assert_eq!(
        (status(&response), helper.requests().len()),
        (502, 1),
        "{action:?} gave {response}"
    );
    assert_eq!(header_field(&response, "X-Sign"), None, "{response}");
    assert_eq!(header_field(&response, "Retry-After"), None, "{response}");
}

/// Guards against refusals of a helping VM that lose their status or the time after which the caller may try again.
#[test]
fn refusals_of_another_vm_and_failures_of_idempotent_requests_pass_unchanged() {
    let own = [
        (
            503,
            "HTTP/1.1 503 X\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n\r\n",
        ),
        (
            429,
            "HTTP/1.1 429 X\r\nRetry-After: 0.250\r\nContent-Length: 0\r\n\r\n",
        ),
    ];
    for (expected, text) in own {
        run_local_test(async move {
            let router = start_cut_router().await;
            let helper = ScriptedUpstream::bind(&[UpstreamAction::Raw(text)]).await;
            offer_help(&router, 2, helper.address);

            let response = send_request(router.address, &request("POST", "/once/1", "t1")).await;

            assert_eq!(status(&response), expected, "{response}");
            let retry_after = header_field(&response, "Retry-After");
            assert_eq!(retry_after.as_deref(), Some("0.250"), "{response}");
        });
    }
    run_local_test(async {
        let router = start_cut_router().await;
        let helper = ScriptedUpstream::bind(&[UNSTATED_FAILURES[0]]).await;
        offer_help(&router, 2, helper.address);

        let response = send_request(router.address, &request("GET", "/safe/1", "t1")).await;

        assert_eq!(status(&response), 503, "{response}");
        assert_eq!(header_field(&response, "X-Sign").as_deref(), Some("s"));
    });
}

/// Guards against a failure that a helping VM passes on as not executed, and against a retry of it at another VM.
#[test]
fn an_unstated_failure_at_the_helping_vms_upstream_leaves_the_outcome_open() {
    run_local_test(async {
        let routers = start_fleet(2).await;
        let upstream = ScriptedUpstream::bind(&[UNSTATED_FAILURES[0]]).await;
        routers[1]
            .vm
            .upsert_upstream(registration("u0", POOL, &upstream));
        cut(&routers[0]).await;
        wait_for_helper(&routers[0], POOL).await;

        let response = send_request(routers[0].address, &request("POST", "/once/1", "t1")).await;

        assert_eq!(
            (status(&response), upstream.requests().len()),
            (502, 1),
            "{response}"
        );
    });
}

/// Guards against work that goes on at a helping VM and its upstream after the caller has left.
#[test]
fn a_caller_that_leaves_ends_the_work_at_the_helping_vm() {
    run_local_test(async {
        let routers = start_fleet(2).await;
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
        routers[1]
            .vm
            .upsert_upstream(registration("u0", POOL, &upstream));
        cut(&routers[0]).await;
        wait_for_helper(&routers[0], POOL).await;
        let caller = start_request(&routers[0], &request("GET", "/safe/1", "t1")).await;
        while upstream.requests().is_empty() {
            sleep_ms(5).await;
        }

        drop(caller);
        sleep_ms(200).await;

        assert_eq!(upstream.abandoned(), 1);
    });
}

/// Guards against long answers that are cut, mixed up or held in memory as a whole on the way through two VMs.
#[test]
fn a_long_answer_passes_through_the_helping_vm() {
    run_local_test(async {
        let routers = start_fleet(2).await;
        let head = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 200000\r\n\r\n";
        let action = UpstreamAction::LargeBody(head, 200_000, Duration::from_millis(50));
        let upstream = ScriptedUpstream::bind(&[action]).await;
        routers[1]
            .vm
            .upsert_upstream(registration("u0", POOL, &upstream));
        cut(&routers[0]).await;
        wait_for_helper(&routers[0], POOL).await;

        let response = send_request(routers[0].address, &request("GET", "/safe/1", "t1")).await;

        let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        assert_eq!((status(&response), body.len()), (200, 200_000));
    });
}

/// Guards against keyed requests that fail at a VM without a path, although their owner is well.
#[test]
fn keyed_requests_are_forwarded_too() {
    run_local_test(async {
        let routers = start_fleet(2).await;
        let owner = ScriptedUpstream::bind(&[UpstreamAction::Answer("owned")]).await;
        routers[1]
            .vm
            .upsert_upstream(registration("k0", KEYED, &owner));
        for number in 0..3 {
            let mut registration = registration(&format!("k{number}"), KEYED, &owner);
            registration.address = "127.0.0.1:1".parse().expect("an address");
            routers[0].vm.upsert_upstream(registration.clone());
            routers[0].vm.record_path_failure(&registration);
        }
        let service = std::sync::Arc::from(KEYED);
        for router in &routers {
            router
                .vm
                .set_ownership_map(&service, single_owner_map("k0", 1, &[]));
        }
        wait_for_helper(&routers[0], KEYED).await;

        let response = send_request(routers[0].address, &request("GET", "/keyed/1", "t1")).await;

        assert!(response.ends_with("owned"), "{response}");
    });
}

/// Guards against a VM that offers help while it stops, so that requests are forwarded to it and lost.
#[test]
fn a_vm_that_stops_offers_no_help() {
    run_local_test(async {
        let routers = start_fleet(2).await;
        let vm = Rc::clone(&routers[0].vm);
        assert!(vm.helper_offer().is_some());

        vm.begin_shutdown();

        assert_eq!(vm.helper_offer(), None);
    });
}
