//! Guards callers that send further requests before the first is answered.

mod fixture {
    pub mod router;
}

use std::time::Duration;

use fixture::router::{
    ScriptedUpstream, UpstreamAction, header_field, request, run_local_test, sleep_ms,
    start_router, status,
};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::timeout;

const SLOW: Duration = Duration::from_millis(150);

/// Connects to a router and sends it several requests at once.
async fn send_all(address: std::net::SocketAddr, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let text = requests.concat();
    stream
        .write_all(text.as_bytes())
        .await
        .expect("it is written");
    stream
}

/// Reads until the connection ends or nothing has come for half a second.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut part = [0; 4096];
    while let Ok(Ok(count @ 1..)) =
        timeout(Duration::from_millis(500), stream.read(&mut part)).await
    {
        bytes.extend_from_slice(&part[..count]);
    }
    String::from_utf8(bytes).expect("text")
}

/// Returns the positions at which answers carry these bodies.
fn order(text: &str, bodies: &[&str]) -> Vec<Option<usize>> {
    let find = |body: &&str| text.find(&format!("\r\n\r\n{body}"));
    bodies.iter().map(find).collect()
}

/// Guards against answers that overtake each other, and against requests that wait although they may run.
#[test]
fn requests_that_may_be_repeated_run_at_once_and_are_answered_in_order() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::DelayedAnswer("one", SLOW),
            UpstreamAction::Answer("two"),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let requests = [
            request("GET", "/safe/a", "t1"),
            request("GET", "/safe/b", "t2"),
        ];

        let mut caller = send_all(router.address, &requests).await;
        sleep_ms(75).await;
        let early = upstream.requests().len();
        let answers = read_all(&mut caller).await;

        assert_eq!(
            early, 2,
            "the second request waited for the first one's answer"
        );
        let places = order(&answers, &["one", "two"]);
        assert!(places[0].is_some() && places[0] < places[1], "{answers}");
    });
}

/// Guards against work that must run once being started on a connection whose earlier answers may still break.
#[test]
fn a_request_that_must_run_once_waits_for_the_answers_before_it() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::DelayedAnswer("one", SLOW),
            UpstreamAction::Answer("two"),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let requests = [
            request("GET", "/safe/a", "t1"),
            request("GET", "/once/b", "t2"),
        ];

        let mut caller = send_all(router.address, &requests).await;
        sleep_ms(75).await;
        let early = upstream.requests().len();
        let answers = read_all(&mut caller).await;

        assert_eq!(early, 1);
        let places = order(&answers, &["one", "two"]);
        assert!(places[0].is_some() && places[0] < places[1], "{answers}");
    });
}

/// Guards against a request being run that its caller has to send again.
#[test]
fn a_request_behind_an_answer_that_closes_the_connection_is_not_passed_on() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::DelayedAnswer("one", SLOW),
            UpstreamAction::Answer("two"),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let last = request("GET", "/safe/a", "t1").replace("Host:", "Connection: close\r\nHost:");

        let mut caller = send_all(router.address, &[last, request("GET", "/safe/b", "t2")]).await;
        let answers = read_all(&mut caller).await;

        assert_eq!(status(&answers), 200, "{answers}");
        assert!(answers.contains("Connection: close"), "{answers}");
        assert_eq!(upstream.requests().len(), 1);
        assert!(!answers.contains("two"), "{answers}");
    });
}

/// Guards against the same for a request that the router refuses as malformed.
#[test]
fn a_request_behind_a_malformed_one_is_not_passed_on() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("one")]).await;
        let router = start_router(&[&upstream]);
        let malformed = "GET /safe/b HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".to_owned();
        let requests = [
            request("GET", "/safe/a", "t1"),
            malformed,
            request("GET", "/safe/c", "t3"),
        ];

        let mut caller = send_all(router.address, &requests).await;
        let answers = read_all(&mut caller).await;

        assert!(answers.contains("one"), "{answers}");
        assert!(answers.contains(" 400 "), "{answers}");
        assert_eq!(upstream.requests().len(), 1);
    });
}

/// Guards against work for a caller that has left: its bytes that nobody reads must not hide its close.
#[test]
fn a_caller_that_leaves_behind_unread_bytes_is_noticed() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
        let router = start_router(&[&upstream]);
        let body = "x".repeat(256 * 1024);
        let behind = format!(
            "POST /once/b HTTP/1.1\r\nHost: shop.example\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut caller = send_all(router.address, &[request("GET", "/safe/a", "t1")]).await;
        // More than the router and the sockets between take.
        drop(timeout(SLOW, caller.write_all(behind.as_bytes())).await);

        drop(caller);
        sleep_ms(200).await;

        assert_eq!(upstream.abandoned(), 1, "the upstream is still at work");
    });
}

/// Guards against a stop that cuts answers, or keeps a connection open for requests that nobody will answer.
#[test]
fn a_stop_in_a_pipeline_closes_after_the_answers_that_were_started() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::DelayedAnswer("one", SLOW),
            UpstreamAction::DelayedAnswer("two", SLOW),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let requests = [
            request("GET", "/safe/a", "t1"),
            request("GET", "/safe/b", "t2"),
            request("POST", "/once/c", "t3"),
        ];
        let mut caller = send_all(router.address, &requests).await;
        sleep_ms(75).await;

        router.vm.begin_shutdown();
        let answers = read_all(&mut caller).await;

        let places = order(&answers, &["one", "two"]);
        assert!(places[0].is_some() && places[0] < places[1], "{answers}");
        assert_eq!(
            upstream.requests().len(),
            2,
            "what was not read must not run"
        );
        assert_eq!(answers.matches("Connection: close").count(), 1, "{answers}");
    });
}

/// Guards against one caller that takes all places by many requests on one connection.
#[test]
fn only_some_requests_of_a_connection_run_at_once() {
    run_local_test(async {
        let slow = UpstreamAction::DelayedAnswer("one", SLOW);
        let (first, second, third) = (
            ScriptedUpstream::bind(&[slow]).await,
            ScriptedUpstream::bind(&[slow]).await,
            ScriptedUpstream::bind(&[slow]).await,
        );
        let upstreams = [&first, &second, &third];
        let router = start_router(&upstreams);
        let requests: Vec<String> = (0..12)
            .map(|number| request("GET", "/safe/a", &format!("t{number}")))
            .collect();

        let _caller = send_all(router.address, &requests).await;
        sleep_ms(75).await;

        let seen: usize = upstreams
            .iter()
            .map(|upstream| upstream.requests().len())
            .sum();
        assert_eq!(seen, 4);
    });
}

/// Guards against requests that count as sent when their connection was opened, and are refused as too old.
#[test]
fn requests_on_a_rested_connection_have_all_their_time() {
    run_local_test(async {
        let upstream =
            ScriptedUpstream::bind(&[UpstreamAction::Answer("one"), UpstreamAction::Answer("two")])
                .await;
        let router = start_router(&[&upstream]);
        let mut caller = send_all(router.address, &[]).await;
        sleep_ms(600).await;

        let both = request("GET", "/safe/a", "t1") + &request("GET", "/safe/b", "t2");
        caller
            .write_all(both.as_bytes())
            .await
            .expect("it is written");
        let answers = read_all(&mut caller).await;

        assert_eq!(answers.matches(" 200 ").count(), 2, "{answers}");
        let left = header_field(&upstream.requests()[1], "X-Left-Ms").expect("a deadline");
        let left: u64 = left.parse().expect("a number");
        assert!(left > 400, "{left} ms of 500");
    });
}
