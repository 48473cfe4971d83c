//! Tests of upstreams that stop within an answer and close, at every byte and for every kind of framing.

mod fixture {
    pub mod router;
}

use fixture::router::{
    ScriptedUpstream, UpstreamAction, request, run_local_test, send_request, start_router, status,
};

/// Complete answers, of which no part is complete.
const ANSWERS: [&str; 7] = [
    "HTTP/1.1 200 OK\r\nX-Try: t1\r\nX-Sign: s\r\nContent-Length: 12\r\n\r\nfine content",
    "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nX-Sign: s\r\nX-Try: t1\r\n\r\n0123456789",
    "HTTP/1.1 200 OK\r\nX-Try: t1\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n4;a=b\r\nfine\r\n0\r\nT: 1\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nX-Try: t1\r\nX-Sign: s\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Try: t1\r\nX-Sign: s\r\nContent-Length: 4\r\n\r\nfine",
    "HTTP/1.1 200 OK\nX-Try: t1\nX-Sign: s\nContent-Length: 4\n\nfine",
    "HTTP/1.0 200 OK\r\nX-Try: t1\r\nX-Sign: s\r\nContent-Length: 4\r\n\r\nfine",
];

/// Head of an answer whose body ends with its connection.
const UNTIL_CLOSE_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Try: t1\r\nX-Sign: s\r\n\r\n";

/// The same answer with a body.
const UNTIL_CLOSE: &str = "HTTP/1.1 200 OK\r\nX-Try: t1\r\nX-Sign: s\r\n\r\nfine";

/// Returns the statuses that callers get for the parts of an answer, from the empty one to the whole.
///
/// The ids of all requests are the same, so that each part bears the right one.
async fn statuses(answer: &'static str, action: fn(&'static str) -> UpstreamAction) -> Vec<u16> {
    let parts = (0..=answer.len()).map(|length| action(&answer[..length]));
    let script: Vec<_> = parts.collect();
    let upstream = ScriptedUpstream::bind(&script).await;
    let router = start_router(&[&upstream]);
    let mut statuses = Vec::new();
    for _ in &script {
        let response = send_request(router.address, &request("GET", "/once/a", "t1")).await;
        statuses.push(status(&response));
    }
    statuses
}

/// Guards against a success with an empty or short body, framed as whole, after an upstream stopped within its answer.
#[test]
fn an_answer_that_is_cut_at_any_byte_is_no_success() {
    for answer in ANSWERS {
        run_local_test(async {
            let mut statuses = statuses(answer, UpstreamAction::RawAndClose).await;

            let whole = statuses.pop();

            assert!(matches!(whole, Some(200 | 204)), "{answer}: {whole:?}");
            assert!(
                statuses.iter().all(|status| *status == 502),
                "{answer}: {statuses:?}"
            );
        });
    }
}

/// Guards against an answer without a length that counts as whole before its head ends, or after a reset.
#[test]
fn an_answer_without_a_length_is_complete_only_at_an_orderly_end_after_its_head() {
    run_local_test(async {
        let closed = statuses(UNTIL_CLOSE, UpstreamAction::RawAndClose).await;
        let reset = statuses(UNTIL_CLOSE, UpstreamAction::RawAndReset).await;

        let (cut, complete) = closed.split_at(UNTIL_CLOSE_HEAD.len());
        assert!(cut.iter().all(|status| *status == 502), "{closed:?}");
        assert!(complete.iter().all(|status| *status == 200), "{closed:?}");
        assert!(reset.iter().all(|status| *status == 502), "{reset:?}");
    });
}
