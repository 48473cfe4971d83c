//! Tests what callers see when a VM has to make room, and that large bodies reach upstreams unchanged.

mod fixture {
    pub mod router;
}

use std::time::Duration;

use fixture::router::{
    Router, ScriptedUpstream, UpstreamAction, header_field, read_answer, request, run_local_test,
    send_request, sleep_ms, start_request, start_router, status,
};
use kumquat_coordination::fleet::input::FREE_WORK;
use kumquat_coordination::fleet::intake::Bounds;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};

/// Returns a request whose head announces a body of this length.
fn upload(path: &str, id: &str, length: usize) -> String {
    let field = format!("Content-Length: {length}\r\nHost:");
    request("POST", path, id).replace("Host:", &field)
}

/// Returns a body whose bytes differ from one position to the next, so that a lost or repeated part shows.
fn varied_body(length: usize) -> String {
    let digits = (0..).flat_map(|number: u32| format!("{number},").into_bytes());
    String::from_utf8(digits.take(length).collect()).expect("text")
}

/// Bounds a router to the least budget, which holds one request of the largest legal size.
fn bound(router: &Router, max_connections: usize) {
    router.vm.intake.callers.set_bounds(Bounds {
        budget_bytes: 0,
        max_budget_bytes: usize::MAX,
        max_connections,
    });
}

/// Guards against bodies that lose or repeat parts in their segments, in particular at a second attempt.
#[test]
fn large_bodies_are_forwarded_unchanged_at_each_attempt() {
    run_local_test(async {
        let body = varied_body(100_003);
        let chunks = body.as_bytes().chunks(7_001);
        let chunks = chunks.map(|chunk| {
            let text = std::str::from_utf8(chunk).expect("text");
            format!("{:x}\r\n{text}\r\n", chunk.len())
        });
        let chunked = request("POST", "/safe/a", "t2")
            .replace("Host:", "Transfer-Encoding: chunked\r\nHost:")
            + &chunks.collect::<String>()
            + "0\r\n\r\n";
        for text in [upload("/safe/a", "t1", body.len()) + &body, chunked] {
            let first = ScriptedUpstream::bind(&[UpstreamAction::Close]).await;
            let second =
                ScriptedUpstream::bind(&[UpstreamAction::Close, UpstreamAction::Answer("one")])
                    .await;
            let router = start_router(&[&first, &second]);

            send_request(router.address, &text).await;

            let attempts = [first.requests(), second.requests()].concat();
            assert_eq!(attempts.len(), 2);
            let is_whole = |attempt: &String| attempt.ends_with(&format!("\r\n\r\n{body}"));
            assert!(attempts.iter().all(is_whole));
        }
    });
}

/// Guards against a turn for large input that is kept by a connection which sends nothing more or is closed.
#[test]
fn chunks_of_one_byte_are_served_beside_connections_that_stall_or_end() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("one")]).await;
        let router = start_router(&[&upstream]);
        let body = varied_body(60_000);
        let head = request("POST", "/safe/a", "t1");
        let head = head.replace("Host:", "Transfer-Encoding: chunked\r\nHost:");
        let chunk = |byte| ["1\r\n", byte, "\r\n"].concat();
        let chunks: String = body.split_inclusive(|_| true).map(chunk).collect();
        let unfinished = format!("{head}{chunks}");
        let mut open = Vec::new();
        for _ in 0..20 {
            drop(start_request(&router, &unfinished).await);
            open.push(start_request(&router, &unfinished).await);
        }

        let response = send_request(router.address, &format!("{unfinished}0\r\n\r\n")).await;

        assert_eq!(status(&response), 200, "{response}");
        assert!(upstream.requests()[0].ends_with(&format!("\r\n\r\n{body}")));
    });
}

/// Guards against requests that wait for their turn and leave more input in the kernel than the VM has memory.
#[test]
fn input_that_waits_for_a_turn_counts_towards_the_budget() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("one")]).await;
        let router = start_router(&[&upstream]);
        let held_bytes = || {
            router
                .vm
                .metrics
                .intake
                .held_bytes
                .with_label_values(&["callers"])
                .get()
        };
        let mut other = router.vm.input.meter();
        other.count(FREE_WORK);
        other.admit().await;

        let text = upload("/safe/a", "t1", 60_000) + &varied_body(60_000);
        let mut waiting = start_request(&router, &text).await;
        sleep_ms(100).await;
        let held_while_waiting = held_bytes();
        drop(other);
        let response = read_answer(&mut waiting).await;

        assert!(held_while_waiting >= 128 * 1024, "{held_while_waiting}");
        assert_eq!(status(&response), 200, "{response}");
        assert!(held_bytes() < 16 * 1024, "{}", held_bytes());
    });
}

/// Guards against an evicted request that is sent to an upstream, or whose caller is not told that it was not.
#[test]
fn a_request_that_stops_short_is_rejected_when_another_needs_its_memory() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("one")]).await;
        let router = start_router(&[&upstream]);
        bound(&router, 10);
        let stalled = upload("/once/a", "t1", 1_000_000) + &varied_body(900_000);
        let mut stalled = start_request(&router, &stalled).await;
        sleep_ms(100).await;

        let other = upload("/once/b", "t2", 300_000) + &varied_body(300_000);
        let response = send_request(router.address, &other).await;
        let rejection = read_answer(&mut stalled).await;

        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(status(&rejection), 503, "{rejection}");
        assert!(
            header_field(&rejection, "Retry-After").is_some(),
            "{rejection}"
        );
        assert_eq!(upstream.requests().len(), 1);
    });
}

/// Guards against a full VM that is closed to new callers, while connections are open on which nothing happens.
#[test]
fn an_idle_connection_is_closed_for_a_new_one() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("one")]).await;
        let router = start_router(&[&upstream]);
        bound(&router, 2);
        let mut oldest = start_request(&router, "").await;
        sleep_ms(20).await;
        let _other = start_request(&router, "").await;
        sleep_ms(20).await;

        let response = send_request(router.address, &request("GET", "/safe/a", "t1")).await;
        let end = oldest.read(&mut [0]).await;

        assert_eq!(status(&response), 200, "{response}");
        assert_eq!(end.expect("a closed connection"), 0);
    });
}

/// Guards against callers that keep their side open after their last response and thereby keep new callers out.
#[test]
fn connections_that_are_being_closed_make_room_for_new_ones() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("one")]).await;
        let router = start_router(&[&upstream]);
        bound(&router, 2);
        let last = request("GET", "/safe/a", "t1").replace("Host:", "Connection: close\r\nHost:");
        let malformed = request("GET", "/safe/a", "t2").replace("Host:", "Other:");
        for text in [last, malformed] {
            let mut open = Vec::new();
            for _ in 0..4 {
                let mut connection = start_request(&router, &text).await;
                let mut start = [0; 9];
                let read = connection.read_exact(&mut start).await;
                assert_eq!((read.ok(), &start), (Some(9), b"HTTP/1.1 "));
                open.push(connection);
            }

            let response = send_request(router.address, &request("GET", "/safe/a", "t3")).await;

            assert_eq!(status(&response), 200, "{response}");
        }
    });
}

/// Guards against a request that is executed although a part of its body was discarded behind a response that is relayed.
#[test]
fn a_request_of_which_a_part_was_discarded_is_not_executed() {
    const HEAD: &str =
        "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 100000\r\n\r\n";
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::LargeBody(HEAD, 100_000, Duration::from_millis(200)),
            UpstreamAction::Answer("one"),
        ])
        .await;
        let router = start_router(&[&upstream]);
        let body = varied_body(200_000);
        let first = request("GET", "/safe/a", "t1") + &upload("/once/b", "t2", body.len());
        let mut caller = start_request(&router, &(first + &body[..100_000])).await;
        let mut response = vec![0; 100_000];
        caller.read_exact(&mut response).await.expect("a response");

        sleep_ms(50).await;
        // The connection may be closed already.
        _ = caller.write_all(body.repeat(2).as_bytes()).await;
        sleep_ms(100).await;

        assert_eq!(upstream.requests().len(), 1);
    });
}
