//! Tests of upstreams that write an earlier answer once more on a kept connection.

mod fixture {
    pub mod router;
}

use fixture::router::{
    DIALECT, KEYED, POOL, ScriptedUpstream, UpstreamAction, registration, request, run_local_test,
    send_request, single_owner_map, start_router, status,
};
use kumquat_router::upstream;

/// Refusal that names the request.
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nX-Try: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Refusal that names no request.
const ANONYMOUS_REFUSAL: &str = "HTTP/1.1 503 Full\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";

/// Guards against a request that is answered as not run, because of an earlier request's refusal, while it runs.
#[test]
fn a_repeated_refusal_does_not_refuse_the_next_request() {
    for (refusal, expected) in [(REFUSAL, 200), (ANONYMOUS_REFUSAL, 502)] {
        run_local_test(async {
            let script = [
                UpstreamAction::RawTwice(refusal),
                UpstreamAction::Answer("ran"),
            ];
            let upstream = ScriptedUpstream::bind(&script).await;
            let router = start_router(&[&upstream]);

            let refused = send_request(router.address, &request("GET", "/once/a", "t1")).await;
            let next = send_request(router.address, &request("GET", "/once/a", "t2")).await;

            assert_eq!(
                (status(&refused), status(&next)),
                (503, expected),
                "{refusal}"
            );
            assert_eq!(upstream.requests().len(), 2, "{refusal}");
        });
    }
}

/// Guards against a retry that is taken for refused, by the refusal of the attempt before it, while it runs.
#[test]
fn a_repeated_refusal_does_not_refuse_the_retry_at_the_same_address() {
    // The owner of a key is tried twice; two upstreams can be registered at one address.
    for (service, path) in [(KEYED, "/keyed/a"), (POOL, "/once/a")] {
        run_local_test(async {
            let script = [
                UpstreamAction::RawTwice(REFUSAL),
                UpstreamAction::Answer("ran"),
            ];
            let upstream = ScriptedUpstream::bind(&script).await;
            let router = start_router(&[]);
            for name in ["u0", "u1"] {
                let registration = registration(name, service, &upstream);
                router.vm.upsert_upstream(registration);
            }
            let map = single_owner_map("u0", 1, &[]);
            router.vm.set_ownership_map(&KEYED.into(), map);

            let response = send_request(router.address, &request("GET", path, "t1")).await;

            assert!(response.ends_with("ran"), "{path}: {response}");
            assert_eq!(upstream.requests().len(), 2, "{path}");
        });
    }
}

/// Guards against a success with another request's body, after the head of the own answer was cut and run into it.
#[test]
fn an_answer_with_two_ids_is_no_answer_to_either() {
    let merged = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: sHTTP/1.1 200 OK\r\nX-Try: t0\r\nX-Sign: s\r\nContent-Length: 6\r\n\r\nothers";
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::RawAndClose(merged)]).await;
        let router = start_router(&[&upstream]);

        let response = send_request(router.address, &request("GET", "/once/a", "t1")).await;

        assert_eq!(status(&response), 502, "{response}");
    });
}

/// Guards against an order that counts as carried out because of a late answer to a request.
#[test]
fn an_answer_to_a_request_is_no_answer_to_an_order() {
    let answer = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 4\r\n\r\nfine";
    let rejection = "HTTP/1.1 409 Conflict\r\nX-Try: \r\nContent-Length: 0\r\n\r\n";
    run_local_test(async {
        let script = [
            UpstreamAction::RawTwice(answer),
            UpstreamAction::Raw(rejection),
        ];
        let upstream = ScriptedUpstream::bind(&script).await;
        let connected = upstream::connect(upstream.address, upstream::CONNECT_TIMEOUT).await;
        let mut connection = connected.expect("a connection");
        let mut statuses = Vec::new();
        for attempt_id in [Some("t1"), None] {
            let bytes = request("POST", "/grant", "t1");
            let request = upstream::UpstreamRequest {
                method: "POST",
                bytes: bytes.as_bytes(),
                attempt_id,
            };

            let response = upstream::exchange(&mut connection, &request, &DIALECT, 1_000).await;

            statuses.push(response.expect("an answer").head.status);
        }
        assert_eq!(statuses, [200, 409]);
    });
}
