//! Tests of callers that pipeline requests on one connection.

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

/// Time that a slow upstream takes to respond.
const SLOW_RESPONSE: Duration = Duration::from_millis(150);

/// Connects to a router and pipelines requests without waiting for responses.
async fn send_pipelined(address: std::net::SocketAddr, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    let text = requests.concat();
    stream
        .write_all(text.as_bytes())
        .await
        .expect("the request is written");
    stream
}

/// Reads until the connection ends or no input has arrived for half a second.
async fn read_all(stream: &mut TcpStream) -> String {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(Ok(count @ 1..)) =
        timeout(Duration::from_millis(500), stream.read(&mut buffer)).await
    {
        bytes.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8(bytes).expect("text")
}

/// Returns the position of each of these response bodies in the received text.
fn body_positions(text: &str, bodies: &[&str]) -> Vec<Option<usize>> {
    let find = |body: &&str| text.find(&format!("\r\n\r\n{body}"));
    bodies.iter().map(find).collect()
}

/// Guards against responses out of order, and against idempotent requests that wait for earlier responses.
#[test]
fn pipelined_idempotent_requests_run_concurrently_with_responses_in_order() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::DelayedAnswer("one", SLOW_RESPONSE),
            UpstreamAction::Answer("two"),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let requests = [
            request("GET", "/safe/a", "t1"),
            request("GET", "/safe/b", "t2"),
        ];

        let mut caller = send_pipelined(router.address, &requests).await;
        sleep_ms(75).await;
        let started = upstream.requests().len();
        let responses = read_all(&mut caller).await;

        assert_eq!(
            started, 2,
            "the second request waited for the first one's response"
        );
        let positions = body_positions(&responses, &["one", "two"]);
        assert!(
            positions[0].is_some() && positions[0] < positions[1],
            "{responses}"
        );
    });
}

/// Guards against starting a non-idempotent request while an earlier response can still fail and break the connection.
#[test]
fn a_non_idempotent_request_waits_for_earlier_responses() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::DelayedAnswer("one", SLOW_RESPONSE),
            UpstreamAction::Answer("two"),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let requests = [
            request("GET", "/safe/a", "t1"),
            request("GET", "/once/b", "t2"),
        ];

        let mut caller = send_pipelined(router.address, &requests).await;
        sleep_ms(75).await;
        let started = upstream.requests().len();
        let responses = read_all(&mut caller).await;

        assert_eq!(started, 1);
        let positions = body_positions(&responses, &["one", "two"]);
        assert!(
            positions[0].is_some() && positions[0] < positions[1],
            "{responses}"
        );
    });
}

/// Guards against running a request behind one with `Connection: close`: its caller gets no response and resends it.
#[test]
fn a_request_behind_one_with_connection_close_is_not_forwarded() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::DelayedAnswer("one", SLOW_RESPONSE),
            UpstreamAction::Answer("two"),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let closing_request =
            request("GET", "/safe/a", "t1").replace("Host:", "Connection: close\r\nHost:");

        let mut caller = send_pipelined(
            router.address,
            &[closing_request, request("GET", "/safe/b", "t2")],
        )
        .await;
        let responses = read_all(&mut caller).await;

        assert_eq!(status(&responses), 200, "{responses}");
        assert!(responses.contains("Connection: close"), "{responses}");
        assert_eq!(upstream.requests().len(), 1);
        assert!(!responses.contains("two"), "{responses}");
    });
}

/// Guards against running a request behind a malformed one: its caller gets no response and resends it.
#[test]
fn a_request_behind_a_malformed_one_is_not_forwarded() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("one")]).await;
        let router = start_router(&[&upstream]);
        let malformed = "GET /safe/b HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n".to_owned();
        let requests = [
            request("GET", "/safe/a", "t1"),
            malformed,
            request("GET", "/safe/c", "t3"),
        ];

        let mut caller = send_pipelined(router.address, &requests).await;
        let responses = read_all(&mut caller).await;

        assert!(responses.contains("one"), "{responses}");
        assert!(responses.contains(" 400 "), "{responses}");
        assert_eq!(upstream.requests().len(), 1);
    });
}

/// Guards against work for a caller that has disconnected: input that was not read yet must not hide the disconnect.
#[test]
fn a_disconnect_behind_unread_input_is_detected() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
        let router = start_router(&[&upstream]);
        let body = "x".repeat(256 * 1024);
        let unread_request = format!(
            "POST /once/b HTTP/1.1\r\nHost: shop.example\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut caller = send_pipelined(router.address, &[request("GET", "/safe/a", "t1")]).await;
        // More than the router's read-ahead limit and the socket buffers take.
        drop(timeout(SLOW_RESPONSE, caller.write_all(unread_request.as_bytes())).await);

        drop(caller);
        sleep_ms(200).await;

        assert_eq!(
            upstream.abandoned(),
            1,
            "the upstream still serves the request"
        );
    });
}

/// Guards against a shutdown that truncates responses in flight, or keeps a connection open for requests that will not
/// be served.
#[test]
fn a_shutdown_closes_a_pipeline_after_the_responses_in_flight() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::DelayedAnswer("one", SLOW_RESPONSE),
            UpstreamAction::DelayedAnswer("two", SLOW_RESPONSE),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let requests = [
            request("GET", "/safe/a", "t1"),
            request("GET", "/safe/b", "t2"),
            request("POST", "/once/c", "t3"),
        ];
        let mut caller = send_pipelined(router.address, &requests).await;
        sleep_ms(75).await;

        router.vm.begin_shutdown();
        let responses = read_all(&mut caller).await;

        let positions = body_positions(&responses, &["one", "two"]);
        assert!(
            positions[0].is_some() && positions[0] < positions[1],
            "{responses}"
        );
        assert_eq!(
            upstream.requests().len(),
            2,
            "a request that was not started must not run"
        );
        assert_eq!(
            responses.matches("Connection: close").count(),
            1,
            "{responses}"
        );
    });
}

/// Guards against one caller that occupies all upstream slots with many requests on one connection.
#[test]
fn concurrent_requests_of_one_connection_are_limited() {
    run_local_test(async {
        let slow_act = UpstreamAction::DelayedAnswer("one", SLOW_RESPONSE);
        let (first, second, third) = (
            ScriptedUpstream::bind(&[slow_act]).await,
            ScriptedUpstream::bind(&[slow_act]).await,
            ScriptedUpstream::bind(&[slow_act]).await,
        );
        let upstreams = [&first, &second, &third];
        let router = start_router(&upstreams);
        let requests: Vec<String> = (0..12)
            .map(|number| request("GET", "/safe/a", &format!("t{number}")))
            .collect();

        let _caller = send_pipelined(router.address, &requests).await;
        sleep_ms(75).await;

        let seen: usize = upstreams
            .iter()
            .map(|upstream| upstream.requests().len())
            .sum();
        assert_eq!(seen, 4);
    });
}

/// Guards against request deadlines that are counted from the opening of an idle connection.
#[test]
fn requests_on_an_idle_connection_have_their_full_timeout() {
    run_local_test(async {
        let upstream =
            ScriptedUpstream::bind(&[UpstreamAction::Answer("one"), UpstreamAction::Answer("two")])
                .await;
        let router = start_router(&[&upstream]);
        let mut caller = send_pipelined(router.address, &[]).await;
        sleep_ms(600).await;

        let both = request("GET", "/safe/a", "t1") + &request("GET", "/safe/b", "t2");
        caller
            .write_all(both.as_bytes())
            .await
            .expect("the request is written");
        let responses = read_all(&mut caller).await;

        assert_eq!(responses.matches(" 200 ").count(), 2, "{responses}");
        let remaining_ms = header_field(&upstream.requests()[1], "X-Left-Ms").expect("a deadline");
        let remaining_ms: u64 = remaining_ms.parse().expect("a number");
        assert!(remaining_ms > 400, "{remaining_ms} ms of 500");
    });
}
