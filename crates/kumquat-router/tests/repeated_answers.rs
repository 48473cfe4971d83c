//! Tests of upstreams that write an earlier answer once more on a kept connection.

mod fixture {
    pub mod router;
}

use fixture::router::{
    ScriptedUpstream, UpstreamAction, request, run_local_test, send_request, start_router, status,
};

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
