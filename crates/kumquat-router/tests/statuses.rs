//! Tests of responses whose status is not a final status of HTTP.

mod fixture {
    pub mod router;
}

use fixture::router::{
    ScriptedUpstream, UpstreamAction, header_field, request, run_local_test, send_request,
    start_router, status,
};

/// Responses with a status that HTTP does not define as a final one, with and without a body, a signature and a further
/// response behind them.
const INVALID_RESPONSES: [&str; 9] = [
    "HTTP/1.1 000 None\r\nX-Try: ID\r\nX-Sign: s\r\n\r\n",
    "HTTP/1.1 000 None\r\nX-Try: ID\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 000 None\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 099 None\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 101 Switching Protocols\r\nX-Try: ID\r\nX-Sign: s\r\n\r\n",
    "HTTP/1.1 600 None\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
    "HTTP/1.1 600 None\r\nX-Try: ID\r\nX-Skipped: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 999 None\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
];

/// Guards against a malformed status that reaches the caller, is passed over as an interim response, or is taken for a
/// statement that the request was not executed.
#[test]
fn a_status_that_is_not_a_final_one_gives_502() {
    for response in INVALID_RESPONSES {
        run_local_test(async move {
            let upstream = ScriptedUpstream::bind(&[UpstreamAction::Raw(response)]).await;
            let router = start_router(&[&upstream]);

            let answer = send_request(router.address, &request("POST", "/once/a", "t1")).await;

            assert_eq!(status(&answer), 502, "{response:?} gave {answer:?}");
            assert_eq!(header_field(&answer, "X-Sign"), None, "{answer:?}");
            assert_eq!(upstream.requests().len(), 1, "{response:?} was retried");
        });
    }
}

/// Guards against a caller that gets a failure although another upstream would have served its idempotent request.
#[test]
fn an_idempotent_request_is_retried_at_another_upstream_after_a_malformed_status() {
    for response in INVALID_RESPONSES {
        run_local_test(async move {
            let failing = ScriptedUpstream::bind(&[UpstreamAction::Raw(response)]).await;
            let sound = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
            let router = start_router(&[&failing, &sound]);

            for id in ["t1", "t2", "t3", "t4"] {
                let answer = send_request(router.address, &request("GET", "/safe/a", id)).await;

                assert_eq!(status(&answer), 200, "{response:?}, then {answer:?}");
                assert!(answer.ends_with("fine"), "{answer:?}");
            }
        });
    }
}
