//! Tests of upstreams that fail with a status that promises that the request was not executed, without stating so.

mod fixture {
    pub mod router;
}

use std::time::Duration;

use fixture::router::{
    KEYED, Router, ScriptedUpstream, UpstreamAction, config, header_field, registration, request,
    run_local_test, send_request, single_owner_map, sleep_ms, start_router, status,
};
use kumquat_router::config::Route;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Signed failures with such a status and a body that is complete when the head is relayed.
const SHORT_FAILURES: [UpstreamAction; 6] = [
    UpstreamAction::Raw(
        "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nRetry-After: 0.2\r\nContent-Length: 2\r\n\r\nno",
    ),
    UpstreamAction::Raw(
        "HTTP/1.1 429 X\r\nX-Try: ID\r\nX-Sign: s\r\nRetry-After: 0.2\r\nContent-Length: 2\r\n\r\nno",
    ),
    UpstreamAction::Raw("HTTP/1.1 408 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n"),
    UpstreamAction::Raw(
        "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\n\r\n",
    ),
    UpstreamAction::RawAndClose("HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\n\r\nno"),
    UpstreamAction::RawAndClose("HTTP/1.1 429 X\r\nX-Try: ID\r\nX-Sign: s\r\n\r\n"),
];

/// Signed failures whose body is still arriving when the head is relayed: with a length, in chunks and without either.
const STREAMED_FAILURES: [UpstreamAction; 3] = [
    UpstreamAction::LargeBody(
        "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 400000\r\n\r\n",
        400_000,
        BODY_PAUSE,
    ),
    UpstreamAction::LargeBody(
        "HTTP/1.1 429 X\r\nX-Try: ID\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n61a80\r\n",
        400_000,
        BODY_PAUSE,
    ),
    UpstreamAction::LargeBody(
        "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\n\r\n",
        400_000,
        BODY_PAUSE,
    ),
];

/// Pause within the body of a streamed failure.
const BODY_PAUSE: Duration = Duration::from_millis(300);

/// Asserts that a response neither claims that the request was not executed nor bears anything of the upstream's.
fn assert_outcome_is_open(answer: &str, context: &str) {
    assert_eq!(status(answer), 502, "{context}: {answer:?}");
    assert_eq!(header_field(answer, "X-Sign"), None, "{context}");
    assert_eq!(header_field(answer, "Retry-After"), None, "{context}");
    assert!(!answer.ends_with("no"), "{context}: {answer:?}");
}

/// Starts a router whose keyed service has this owner of all keys, and also a non-idempotent route.
fn start_keyed_router(owner: &ScriptedUpstream) -> Router {
    let router = start_router(&[]);
    let mut config = config(2);
    let keyed = config.routes.iter().find(|route| route.name == KEYED);
    let route = Route {
        name: "book".to_owned(),
        path_prefix: "/book/".to_owned(),
        is_idempotent: false,
        ..keyed.expect("a keyed route").clone()
    };
    config.routes.push(route);
    config.sort();
    router.vm.set_config(config);
    router
        .vm
        .upsert_upstream(registration("owner", KEYED, owner));
    let map = single_owner_map("owner", 1, &[]);
    router.vm.set_ownership_map(&KEYED.into(), map);
    router
}

/// Guards against a caller that sends a non-idempotent request again after an upstream has executed it.
#[test]
fn a_failure_that_states_nothing_is_not_passed_on_as_not_executed() {
    for action in SHORT_FAILURES {
        run_local_test(async move {
            let upstreams = [
                ScriptedUpstream::bind(&[action]).await,
                ScriptedUpstream::bind(&[action]).await,
            ];
            let router = start_router(&[&upstreams[0], &upstreams[1]]);

            let answer = send_request(router.address, &request("POST", "/once/a", "t1")).await;

            assert_outcome_is_open(&answer, &format!("{action:?}"));
            let sent: usize = upstreams
                .iter()
                .map(|upstream| upstream.requests().len())
                .sum();
            assert_eq!(sent, 1, "{action:?} was retried");
        });
    }
}

/// Guards against a status that is relayed before the body, and against a caller that waits for the rest of the body.
#[test]
fn a_streamed_failure_that_states_nothing_is_replaced_at_once() {
    for action in STREAMED_FAILURES {
        run_local_test(async move {
            let upstream = ScriptedUpstream::bind(&[action]).await;
            let router = start_router(&[&upstream]);
            let started_at = Instant::now();

            let answer = send_request(router.address, &request("POST", "/once/a", "t1")).await;
            let took = started_at.elapsed();
            sleep_ms(400).await;

            assert_outcome_is_open(&answer, &format!("{action:?}"));
            assert!(took < BODY_PAUSE, "{action:?} took {took:?}");
            assert_eq!(upstream.abandoned(), 1, "the exchange went on");
        });
    }
}

/// Guards against keyed requests that are refused as not executed by their owner's failure.
#[test]
fn the_failure_of_a_keys_owner_is_not_passed_on_as_not_executed() {
    for action in SHORT_FAILURES {
        run_local_test(async move {
            let owner = ScriptedUpstream::bind(&[action]).await;
            let router = start_keyed_router(&owner);

            let answer = send_request(router.address, &request("POST", "/book/a", "t1")).await;

            assert_outcome_is_open(&answer, &format!("{action:?}"));
            assert_eq!(owner.requests().len(), 1);
        });
    }
}

/// Guards against a replaced response that ends the connection or is given to another request on it.
#[test]
fn pipelined_requests_behind_a_replaced_failure_get_their_own_answers() {
    run_local_test(async {
        let script = [SHORT_FAILURES[0], UpstreamAction::Answer("fine")];
        let upstream = ScriptedUpstream::bind(&script).await;
        let router = start_router(&[&upstream]);
        let requests = [
            request("POST", "/once/a", "t1").replace("X-Key", "Content-Length: 0\r\nX-Key"),
            request("GET", "/safe/b", "t2").replace("Host:", "Connection: close\r\nHost:"),
        ];

        let mut caller = TcpStream::connect(router.address)
            .await
            .expect("a connection");
        let text = requests.concat();
        caller
            .write_all(text.as_bytes())
            .await
            .expect("it is written");
        let mut answers = String::new();
        let read = timeout(Duration::from_secs(3), caller.read_to_string(&mut answers)).await;

        assert!(matches!(read, Ok(Ok(_))), "{answers:?}");
        let second = answers.rfind("HTTP/1.1").expect("two answers");
        assert_outcome_is_open(&answers[..second], "first");
        assert_eq!(status(&answers[second..]), 200, "{answers:?}");
        assert!(answers.ends_with("fine"), "{answers:?}");
    });
}

/// Guards against a replaced status where the upstream's own leaves open whether the request was executed.
#[test]
fn other_failures_of_non_idempotent_requests_pass_unchanged() {
    let failures = [
        (
            500,
            "HTTP/1.1 500 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            502,
            "HTTP/1.1 502 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            504,
            "HTTP/1.1 504 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
        ),
        (
            409,
            "HTTP/1.1 409 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 2\r\n\r\nno",
        ),
    ];
    for (expected, text) in failures {
        run_local_test(async move {
            let upstream = ScriptedUpstream::bind(&[UpstreamAction::Raw(text)]).await;
            let router = start_router(&[&upstream]);

            let answer = send_request(router.address, &request("POST", "/once/a", "t1")).await;

            assert_eq!(status(&answer), expected, "{answer:?}");
            assert_eq!(header_field(&answer, "X-Sign").as_deref(), Some("s"));
            assert!(answer.ends_with("no"), "{answer:?}");
        });
    }
}

/// Guards against a refusal of the router's own that denies an execution which may have taken place.
#[test]
fn an_attempt_without_a_genuine_answer_is_not_refused_as_not_executed() {
    let actions = [
        UpstreamAction::Raw("HTTP/1.1 503 X\r\nX-Try: ID\r\nContent-Length: 0\r\n\r\n"),
        UpstreamAction::Raw("HTTP/1.1 429 X\r\nX-Try: ID\r\nContent-Length: 0\r\n\r\n"),
        UpstreamAction::RawAndClose(
            "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 9\r\n\r\n",
        ),
        UpstreamAction::RawAndReset("HTTP/1.1 503 X\r\n"),
        UpstreamAction::Close,
    ];
    for action in actions {
        run_local_test(async move {
            let upstream = ScriptedUpstream::bind(&[action]).await;
            let router = start_router(&[&upstream]);

            let answer = send_request(router.address, &request("POST", "/once/a", "t1")).await;

            assert_outcome_is_open(&answer, &format!("{action:?}"));
            assert_eq!(upstream.requests().len(), 1, "{action:?} was retried");
        });
    }
}

/// Guards against the loss of the caller's retry where the upstream states that it has not executed the request.
#[test]
fn a_stated_refusal_is_retried_and_may_end_as_not_executed() {
    run_local_test(async {
        let refusal = UpstreamAction::Raw(
            "HTTP/1.1 503 X\r\nX-Try: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        );
        let upstreams = [
            ScriptedUpstream::bind(&[refusal]).await,
            ScriptedUpstream::bind(&[refusal]).await,
        ];
        let router = start_router(&[&upstreams[0], &upstreams[1]]);

        let answer = send_request(router.address, &request("POST", "/once/a", "t1")).await;

        assert_eq!(status(&answer), 503, "{answer:?}");
        assert!(header_field(&answer, "Retry-After").is_some(), "{answer:?}");
        let sent: usize = upstreams
            .iter()
            .map(|upstream| upstream.requests().len())
            .sum();
        assert_eq!(sent, 2);
    });
}

/// Guards against idempotent requests that lose their retry, or the upstream's own response where there is none.
#[test]
fn idempotent_requests_are_retried_or_get_the_upstreams_own_failure() {
    for (action, expected) in [(SHORT_FAILURES[0], 503), (SHORT_FAILURES[1], 429)] {
        run_local_test(check_idempotent_requests(action, expected));
    }
}

async fn check_idempotent_requests(action: UpstreamAction, expected: u16) {
    let failing = ScriptedUpstream::bind(&[action]).await;
    let sound = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
    let router = start_router(&[&failing, &sound]);
    // Only its owner may run a keyed request, so that it is not retried.
    let keyed_router = start_keyed_router(&failing);

    for id in ["t1", "t2", "t3", "t4"] {
        let answer = send_request(router.address, &request("GET", "/safe/a", id)).await;
        assert_eq!(status(&answer), 200, "{answer:?}");
    }
    let own = send_request(keyed_router.address, &request("GET", "/keyed/a", "t5")).await;

    assert_eq!(status(&own), expected, "{own:?}");
    assert_eq!(header_field(&own, "X-Sign").as_deref(), Some("s"));
    assert_eq!(header_field(&own, "Retry-After").as_deref(), Some("0.2"));
}
