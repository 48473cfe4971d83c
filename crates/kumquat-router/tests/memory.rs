//! Tests of the memory that responses take.
//!
//! They read the memory of the whole process, so that they have a test binary of their own and run one at a time.

mod fixture {
    pub mod endless;
    pub mod router;
}

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use fixture::endless::{bind_endless_upstream, read_endless_answer, start_router_with};
use fixture::router::{
    CHUNKED_HEAD, KEYED, ScriptedUpstream, UNTIL_CLOSE_HEAD, UpstreamAction, closing_request,
    registration, request, run_local_test, send_request, single_owner_map, sleep_ms, start_request,
    start_router, status,
};
use tokio::time::{Instant, timeout};

/// Held by the test that runs.
static SERIAL: Mutex<()> = Mutex::new(());

/// Returns the resident memory of this process in KB.
fn resident_kb() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|number| number.parse().ok())
        .expect("a size")
}

/// Guards against callers that read hardly anything and thereby occupy an upstream's slot and the VM's memory.
#[test]
fn a_caller_that_does_not_read_is_disconnected_at_its_deadline() {
    const BLOCK: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    run_local_test(async {
        let endless = UpstreamAction::EndlessBody(UNTIL_CLOSE_HEAD, BLOCK, Duration::ZERO);
        let upstream = ScriptedUpstream::bind(&[endless, UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let before_kb = resident_kb();

        let caller = start_request(&router, &closing_request("GET", "/safe/a")).await;
        sleep_ms(300).await;
        let grown_kb = resident_kb().saturating_sub(before_kb);
        let other_response = send_request(router.address, &request("GET", "/safe/b", "t2")).await;
        sleep_ms(400).await;

        assert_eq!(status(&other_response), 200, "{other_response}");
        assert_eq!(upstream.abandoned(), 1, "the upstream still writes");
        assert!(
            grown_kb < 16_000,
            "the response was buffered: {grown_kb} KB"
        );
        drop(caller);
    });
}

/// Guards against endless responses that take memory, outlast the deadline or delay other callers' requests.
#[test]
fn endless_responses_are_aborted() {
    const FAST: Duration = Duration::ZERO;
    const DRIP: Duration = Duration::from_millis(5);
    const BLOCK: &str = "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let cases = [
        ("no response at all", "", BLOCK, FAST),
        ("a head line", "HTTP/1.1 200 OK\r\nX-Long: ", BLOCK, FAST),
        ("a head, slowly", "HTTP/1.1 200 OK\r\nX-Long: ", "x", DRIP),
        ("head lines", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n", FAST),
        (
            "interim responses",
            "",
            "HTTP/1.1 100 Continue\r\n\r\n",
            FAST,
        ),
        (
            "interim responses, slowly",
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
        ("a signed body", UNTIL_CLOSE_HEAD, BLOCK, FAST),
        ("a signed body, slowly", UNTIL_CLOSE_HEAD, "x", DRIP),
    ];
    for (name, prefix, repeated, interval) in cases {
        run_local_test(async move {
            let endless = UpstreamAction::EndlessBody(prefix, repeated, interval);
            let endless_upstream = ScriptedUpstream::bind(&[endless]).await;
            let healthy_upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
            let router = start_router(&[&endless_upstream]);
            router
                .vm
                .upsert_upstream(registration("good", KEYED, &healthy_upstream));
            router
                .vm
                .set_ownership_map(&KEYED.into(), single_owner_map("good", 1, &[]));
            let before_kb = resident_kb();
            let started = Instant::now();

            let mut caller = start_request(&router, &closing_request("POST", "/once/a")).await;
            sleep_ms(20).await;
            let other_response =
                send_request(router.address, &request("GET", "/keyed/a", "t2")).await;
            let mut sink = tokio::io::sink();
            let copied = tokio::io::copy(&mut caller, &mut sink);
            let ended = timeout(Duration::from_secs(2), copied).await;
            sleep_ms(50).await;

            assert_eq!(status(&other_response), 200, "{name}: {other_response}");
            let took = started.elapsed();
            assert!(ended.is_ok(), "{name}: not ended after {took:?}");
            assert_eq!(
                endless_upstream.abandoned(),
                1,
                "{name}: the upstream still writes"
            );
            assert_eq!(
                endless_upstream.requests().len(),
                1,
                "{name}: retried although the request may have run"
            );
            let grown_kb = resident_kb().saturating_sub(before_kb);
            assert!(grown_kb < 16_000, "{name}: {grown_kb} KB more");
        });
    }
}

/// Guards against memory that grows with the number of endless answers at once, also where their callers read slowly.
#[test]
fn thirty_endless_answers_at_once_take_little_memory() {
    const ANSWERS: usize = 30;
    // The smallest VMs may use 160 MB in all, of which this is a twentieth.
    const MAX_GROWTH_KB: usize = 8_000;
    let _serial = SERIAL.lock().unwrap_or_else(PoisonError::into_inner);
    let cases = [
        ("a head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"),
        (
            "a head line",
            "HTTP/1.1 200 OK\r\nX-Long: ",
            "xxxxxxxxxxxxxxxx",
        ),
        ("no response at all", "", "xxxxxxxxxxxxxxxx"),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
        ("chunks of one byte", CHUNKED_HEAD, "1\r\nx\r\n"),
        ("a chunk extension", CHUNKED_HEAD, "1;x=xxxxxxxxxxxx"),
        (
            "a body without a length",
            UNTIL_CLOSE_HEAD,
            "xxxxxxxxxxxxxxxx",
        ),
    ];
    for (form, head, piece) in cases {
        for reads in [true, false] {
            run_local_test(async {
                let sound = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
                let router = start_router_with(bind_endless_upstream(head, piece), &sound);
                let before_kb = resident_kb();
                let mut readers = Vec::new();
                let mut silent_callers = Vec::new();
                for number in 0..ANSWERS {
                    let text =
                        closing_request("GET", "/keyed/a").replace("t1", &format!("e{number}"));
                    if reads {
                        readers.push(read_endless_answer(router.address, text));
                    } else {
                        silent_callers.push(start_request(&router, &text).await);
                    }
                }

                let mut grown_kb = 0;
                let mut served = 0;
                for number in 0..20 {
                    sleep_ms(20).await;
                    let text = request("POST", "/once/a", &format!("s{number}"));
                    let answer = send_request(router.address, &text).await;
                    served += usize::from(status(&answer) == 200);
                    grown_kb = grown_kb.max(resident_kb().saturating_sub(before_kb));
                }
                while readers.iter().any(|reader| !reader.is_finished()) {
                    sleep_ms(10).await;
                }

                println!("{form}, read {reads}: {grown_kb} KB more, {served} of 20 served");
                assert_eq!(served, 20, "{form}, read {reads}");
                assert!(
                    grown_kb < MAX_GROWTH_KB,
                    "{form}, read {reads}: {grown_kb} KB more"
                );
            });
        }
    }
}
