//! Guards large answers, answers without end, and what upstreams say about themselves in their answers.

mod fixture {
    pub mod router;
}

use std::time::Duration;

use fixture::router::{
    KEYED, Router, ScriptedUpstream, UpstreamAction, header_field, registration, request,
    run_local_test, send_request, single_owner_map, sleep_ms, start_router, status,
};
use kumquat_router::http::{Headers, ResponseHead};
use kumquat_router::upstream;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

const SIZE: usize = 400_000;

const LENGTH_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 400000\r\n\r\n";

const OPEN_HEAD: &str = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\n\r\n";

const CHUNKED_HEAD: &str =
    "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Sends a request and returns its connection.
async fn ask(router: &Router, text: &str) -> TcpStream {
    let mut caller = TcpStream::connect(router.address)
        .await
        .expect("a connection");
    caller
        .write_all(text.as_bytes())
        .await
        .expect("it is written");
    caller
}

/// Reads until the connection ends; returns what came and whether it ended without a reset.
async fn read_to_end(caller: &mut TcpStream) -> (Vec<u8>, bool) {
    let mut bytes = Vec::new();
    let read = timeout(Duration::from_secs(3), caller.read_to_end(&mut bytes)).await;
    (bytes, matches!(read, Ok(Ok(_))))
}

fn body(bytes: &[u8]) -> &[u8] {
    let end = bytes.windows(4).position(|window| window == b"\r\n\r\n");
    &bytes[end.map_or(bytes.len(), |end| end + 4)..]
}

/// Returns a request whose answer ends its connection.
fn closing_request(method: &str, path: &str) -> String {
    request(method, path, "t1").replace("Host:", "Connection: close\r\nHost:")
}

/// Guards against large answers being held in memory until they are whole, which doubles the time that they take.
#[test]
fn a_large_answer_is_passed_on_while_it_arrives() {
    run_local_test(async {
        let wait = Duration::from_millis(200);
        let upstream =
            ScriptedUpstream::bind(&[UpstreamAction::LargeBody(LENGTH_HEAD, SIZE, wait)]).await;
        let router = start_router(&[&upstream]);

        let mut caller = ask(&router, &closing_request("GET", "/safe/a")).await;
        let mut first = vec![0; 1024];
        let early = timeout(Duration::from_millis(100), caller.read_exact(&mut first)).await;
        let (rest, _) = read_to_end(&mut caller).await;

        assert!(
            early.is_ok(),
            "nothing was passed on before the answer was whole"
        );
        first.extend_from_slice(&rest);
        let text = String::from_utf8_lossy(&first);
        assert_eq!(status(&text), 200);
        assert!(text.contains("X-Sign: s"));
        assert_eq!(body(&first).len(), SIZE);
    });
}

/// Guards against a large answer without a length that loses its end, or whose end can't be told from a break.
#[test]
fn a_large_answer_without_a_length_is_passed_on_in_chunks() {
    run_local_test(async {
        let upstream =
            ScriptedUpstream::bind(&[UpstreamAction::LargeBody(OPEN_HEAD, SIZE, Duration::ZERO)])
                .await;
        let router = start_router(&[&upstream]);

        let mut caller = ask(&router, &closing_request("GET", "/safe/a")).await;
        let (bytes, _) = read_to_end(&mut caller).await;

        let text = String::from_utf8_lossy(&bytes);
        assert!(
            text.contains("Transfer-Encoding: chunked"),
            "{}",
            &text[..200]
        );
        assert!(text.ends_with("\r\n0\r\n\r\n"));
        assert_eq!(text.matches('x').count(), SIZE);
    });
}

/// Guards against an answer that ends early and looks complete.
#[test]
fn a_large_answer_that_breaks_off_ends_with_a_reset() {
    // The upstream closes after fewer bytes than it has announced, or before the last chunk.
    let chunked =
        "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n61a80\r\n";
    let cases = [(LENGTH_HEAD, SIZE / 2), (chunked, SIZE)];
    for (head, size) in cases {
        run_local_test(async move {
            let upstream =
                ScriptedUpstream::bind(&[UpstreamAction::LargeBody(head, size, Duration::ZERO)])
                    .await;
            let router = start_router(&[&upstream]);

            let mut caller = ask(&router, &closing_request("GET", "/safe/a")).await;
            let (bytes, is_clean) = read_to_end(&mut caller).await;

            assert!(!is_clean, "the connection ended as after a whole answer");
            assert!(!bytes.ends_with(b"0\r\n\r\n"));
            assert_eq!(upstream.requests().len(), 1, "a part was passed on already");
        });
    }
}

/// Guards against callers that hardly read and hold an upstream's slot and the VM's memory for as long as they like.
#[test]
fn a_caller_that_does_not_read_is_given_up_at_its_deadline() {
    const BLOCK: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
    run_local_test(async {
        let endless = UpstreamAction::EndlessBody(OPEN_HEAD, BLOCK, Duration::ZERO);
        let upstream = ScriptedUpstream::bind(&[endless, UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let before = resident_kb();

        let caller = ask(&router, &closing_request("GET", "/safe/a")).await;
        sleep_ms(300).await;
        let grown = resident_kb().saturating_sub(before);
        let beside = send_request(router.address, &request("GET", "/safe/b", "t2")).await;
        sleep_ms(400).await;

        assert_eq!(status(&beside), 200, "{beside}");
        assert_eq!(upstream.abandoned(), 1, "the upstream still writes");
        assert!(grown < 16_000, "the answer was held in memory: {grown} KB");
        drop(caller);
    });
}

/// Guards against an upstream that goes on for a caller that has left.
#[test]
fn a_caller_that_leaves_a_large_answer_ends_it() {
    run_local_test(async {
        let head = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 64000000\r\n\r\n";
        let wait = Duration::from_millis(100);
        let upstream =
            ScriptedUpstream::bind(&[UpstreamAction::LargeBody(head, 64_000_000, wait)]).await;
        let router = start_router(&[&upstream]);

        let caller = ask(&router, &closing_request("GET", "/safe/a")).await;
        sleep_ms(50).await;
        drop(caller);
        sleep_ms(200).await;

        assert_eq!(upstream.abandoned(), 1);
    });
}

/// Returns the memory of this process that is in use, in KB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse().ok())
        .expect("a size")
}

/// Guards against upstreams that send bytes without end: they must not hold memory, time or other callers' requests.
#[test]
fn bytes_without_end_are_given_up_on() {
    const FAST: Duration = Duration::ZERO;
    const DRIP: Duration = Duration::from_millis(5);
    const BLOCK: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
    let cases = [
        ("no answer at all", "", BLOCK, FAST),
        ("a head line", "HTTP/1.1 200 OK\r\nX-Long: ", BLOCK, FAST),
        ("a head, slowly", "HTTP/1.1 200 OK\r\nX-Long: ", "x", DRIP),
        ("head lines", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", FAST),
        ("interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n", FAST),
        (
            "interim answers, slowly",
            "",
            "HTTP/1.1 100 Continue\r\n\r\n",
            DRIP,
        ),
        ("a chunk's extension", CHUNKED_HEAD, "5;a=b", FAST),
        (
            "trailers",
            "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
            "T: 1\r\n",
            FAST,
        ),
        (
            "an unsigned body",
            "HTTP/1.1 200 OK\r\nX-Try: ID\r\n\r\n",
            BLOCK,
            FAST,
        ),
        (
            "another request's body",
            "HTTP/1.1 200 OK\r\nX-Try: other\r\nX-Sign: s\r\n\r\n",
            BLOCK,
            FAST,
        ),
        ("a signed body", OPEN_HEAD, BLOCK, FAST),
        ("a signed body, slowly", OPEN_HEAD, "x", DRIP),
    ];
    for (name, first, more, interval) in cases {
        run_local_test(async move {
            let endless = UpstreamAction::EndlessBody(first, more, interval);
            let bad = ScriptedUpstream::bind(&[endless]).await;
            let good = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
            let router = start_router(&[&bad]);
            router
                .vm
                .upsert_upstream(registration("good", KEYED, &good));
            router
                .vm
                .set_ownership_map(&KEYED.into(), single_owner_map("good", 1, &[]));
            let before = resident_kb();
            let begun = Instant::now();

            let mut caller = ask(&router, &closing_request("POST", "/once/a")).await;
            sleep_ms(20).await;
            let beside = send_request(router.address, &request("GET", "/keyed/a", "t2")).await;
            let mut sink = tokio::io::sink();
            let copied = tokio::io::copy(&mut caller, &mut sink);
            let ended = timeout(Duration::from_secs(2), copied).await;
            sleep_ms(50).await;

            assert_eq!(status(&beside), 200, "{name}: {beside}");
            let took = begun.elapsed();
            assert!(ended.is_ok(), "{name}: not ended after {took:?}");
            assert_eq!(bad.abandoned(), 1, "{name}: the upstream still writes");
            assert_eq!(bad.requests().len(), 1, "{name}: it may have run");
            let grown = resident_kb().saturating_sub(before);
            assert!(grown < 16_000, "{name}: {grown} KB more");
        });
    }
}

/// Guards against new work for an upstream that is about to stop, and against a taint on its next life.
#[test]
fn an_upstream_that_says_it_leaves_gets_nothing_more() {
    run_local_test(async {
        let leaving = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nX-Leaving: 1\r\nContent-Length: 4\r\n\r\nlast";
        let one =
            ScriptedUpstream::bind(&[UpstreamAction::Raw(leaving), UpstreamAction::Answer("back")])
                .await;
        let router = start_router(&[&one]);

        let last = send_request(router.address, &request("GET", "/safe/a", "t1")).await;
        let next = send_request(router.address, &request("GET", "/safe/a", "t2")).await;
        let told = router.vm.draining_ids();
        let mut reborn = registration("u0", fixture::router::POOL, &one);
        reborn.incarnation = 2;
        router.vm.upsert_upstream(reborn);
        let back = send_request(router.address, &request("GET", "/safe/a", "t3")).await;

        assert!(last.ends_with("last"), "{last}");
        assert_eq!(status(&next), 503, "{next}");
        assert_eq!(told.len(), 1, "the other VMs are not told");
        assert!(back.ends_with("back"), "{back}");
    });
}

/// Guards against VMs that learn from others that an upstream leaves and send to it all the same.
#[test]
fn an_upstream_that_leaves_by_another_vms_word_gets_nothing_more() {
    run_local_test(async {
        let one = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let (teller, listener) = (start_router(&[&one]), start_router(&[&one]));
        teller
            .vm
            .mark_draining(&registration("u0", fixture::router::POOL, &one));

        listener.vm.mark_draining_by_ids(&teller.vm.draining_ids());
        let answer = send_request(listener.address, &request("GET", "/safe/a", "t1")).await;

        assert_eq!(status(&answer), 503, "{answer}");
        assert!(one.requests().is_empty());
    });
}

const FULL: &str = "HTTP/1.1 503 Full\r\nX-Try: ID\r\nX-Not-Run: 1\r\nRetry-After: 0.3\r\nContent-Length: 0\r\n\r\n";

/// Guards against requests that reach an upstream within the time for which it wants nothing.
#[test]
fn an_upstream_that_asks_for_a_pause_gets_one() {
    run_local_test(async {
        let one =
            ScriptedUpstream::bind(&[UpstreamAction::Raw(FULL), UpstreamAction::Answer("room")])
                .await;
        let router = start_router(&[&one]);

        let first = send_request(router.address, &request("GET", "/safe/a", "t1")).await;
        let second = send_request(router.address, &request("GET", "/safe/a", "t2")).await;
        let during = one.requests().len();
        sleep_ms(350).await;
        let third = send_request(router.address, &request("GET", "/safe/a", "t3")).await;

        assert_eq!(
            (status(&first), status(&second)),
            (503, 503),
            "{first} {second}"
        );
        assert_eq!(during, 1);
        let after: f64 = header_field(&second, "Retry-After")
            .expect("a time")
            .parse()
            .expect("a number");
        assert!((0.1..=0.3).contains(&after), "{after}");
        assert!(third.ends_with("room"), "{third}");
    });
}

/// Guards against requests for keys that wait for an owner that wants nothing for longer than they have.
#[test]
fn keys_of_an_owner_that_asks_for_a_pause_are_refused_at_once() {
    run_local_test(async {
        let owner =
            ScriptedUpstream::bind(&[UpstreamAction::Raw(FULL), UpstreamAction::Answer("room")])
                .await;
        let router = start_router(&[]);
        router
            .vm
            .upsert_upstream(registration("owner", KEYED, &owner));
        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("owner", 1, &[]));

        let begun = Instant::now();
        let first = send_request(router.address, &request("GET", "/keyed/a", "t1")).await;
        let second = send_request(router.address, &request("GET", "/keyed/a", "t2")).await;
        let took = begun.elapsed();
        sleep_ms(350).await;
        let third = send_request(router.address, &request("GET", "/keyed/a", "t3")).await;

        assert_eq!(
            (status(&first), status(&second)),
            (503, 503),
            "{first} {second}"
        );
        assert!(took < Duration::from_millis(150), "{took:?}");
        assert!(third.ends_with("room"), "{third}");
    });
}

/// Guards against a pause that one malformed or hostile value makes endless.
#[test]
fn only_sensible_pauses_are_kept() {
    let cases = [
        ("0.25", 503, true, Some(250)),
        (" 2 ", 503, true, Some(2_000)),
        ("1e9", 503, true, Some(120_000)),
        ("inf", 503, true, Some(120_000)),
        ("-1", 503, true, None),
        ("0", 503, true, None),
        ("NaN", 503, true, None),
        ("", 503, true, None),
        ("Fri, 04 Dec 2026 10:00:00 GMT", 503, true, None),
        ("1", 503, false, None),
        ("1", 429, true, None),
    ];
    for (value, code, is_marked, expected) in cases {
        let mut headers = Headers::default();
        headers.append("Retry-After", value);
        if is_marked {
            headers.append("X-Not-Run", "1");
        }
        let head = ResponseHead {
            status: code,
            is_http_1_0: false,
            headers,
        };

        let pause = upstream::retry_after(&head, &fixture::router::DIALECT);

        assert_eq!(
            pause,
            expected.map(Duration::from_millis),
            "{value:?} {code}"
        );
    }
}

/// Guards against idle connections that are kept to an upstream that leaves, after orders as after requests.
#[test]
fn no_connection_is_kept_to_an_upstream_that_leaves() {
    run_local_test(async {
        let answers = [
            ("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true),
            (
                "HTTP/1.1 200 OK\r\nX-Leaving: 1\r\nContent-Length: 0\r\n\r\n",
                false,
            ),
        ];
        for (text, is_kept) in answers {
            let one = ScriptedUpstream::bind(&[UpstreamAction::Raw(text)]).await;
            let limit = upstream::CONNECT_TIMEOUT;
            let mut wire = upstream::connect(one.address, limit)
                .await
                .expect("a connection");
            let order = upstream::UpstreamRequest {
                method: "POST",
                bytes: b"POST /grant HTTP/1.1\r\nHost: u\r\nContent-Length: 0\r\n\r\n",
                attempt_id: None,
            };

            let dialect = &fixture::router::DIALECT;
            let answer = upstream::exchange(&mut wire, &order, dialect, 1_000).await;

            let answer = answer.expect("an answer");
            assert_eq!(answer.keep_alive.is_some(), is_kept, "{text}");
        }
    });
}
