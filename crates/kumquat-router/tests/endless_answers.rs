//! Tests of upstreams whose answers do not end, beside requests to sound upstreams.

mod fixture {
    pub mod endless;
    pub mod router;
}

use std::time::Duration;

use fixture::endless::{
    ENDLESS_TIMEOUT, SOUND_TIMEOUT, bind_endless_upstream, read_endless_answer, start_router_with,
};
use fixture::router::{
    CHUNKED_HEAD, ScriptedUpstream, UNTIL_CLOSE_HEAD, UpstreamAction, request, run_local_test,
    send_request, status,
};
use tokio::time::{Instant, sleep};

/// Time between the sound requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Sends sound requests one after the other beside endless answers; returns the statuses and the longest wait.
async fn statuses_beside(
    answers: usize,
    head: &'static str,
    piece: &'static str,
) -> (Vec<u16>, Duration) {
    let sound = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
    let router = start_router_with(bind_endless_upstream(head, piece), &sound);
    let callers: Vec<_> = (0..answers)
        .map(|number| {
            let text = request("GET", "/keyed/a", &format!("e{number}"))
                .replace("Host:", "Connection: close\r\nHost:");
            read_endless_answer(router.address, text)
        })
        .collect();
    let started_at = Instant::now();
    let (mut statuses, mut longest_wait) = (Vec::new(), Duration::ZERO);
    while started_at.elapsed() < ENDLESS_TIMEOUT {
        // A timer that fires late shows a stall as a slow answer does.
        let turn_started_at = Instant::now();
        sleep(REQUEST_INTERVAL).await;
        let id = format!("s{}", statuses.len());
        let answer = send_request(router.address, &request("POST", "/once/a", &id)).await;
        statuses.push(status(&answer));
        longest_wait = longest_wait.max(turn_started_at.elapsed().saturating_sub(REQUEST_INTERVAL));
    }
    for caller in callers {
        while !caller.is_finished() {
            sleep(Duration::from_millis(10)).await;
        }
    }
    (statuses, longest_wait)
}

/// Guards against an answer without end that keeps the event loop from every other task until its deadline.
#[test]
fn endless_answers_do_not_stall_other_requests() {
    let cases = [
        ("chunks of one byte", CHUNKED_HEAD, "1\r\nx\r\n"),
        ("large chunks", CHUNKED_HEAD, "10\r\nxxxxxxxxxxxxxxxx\r\n"),
        (
            "a body without a length",
            UNTIL_CLOSE_HEAD,
            "xxxxxxxxxxxxxxxx",
        ),
        (
            "another request's answer",
            "HTTP/1.1 200 OK\r\nX-Try: other\r\nX-Sign: s\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\nx\r\n",
        ),
        ("a head", "HTTP/1.1 200 OK\r\n", "X-More: 1\r\n"),
        ("interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"),
    ];
    let mut failed = Vec::new();
    for (form, head, piece) in cases {
        for answers in [1, 8] {
            run_local_test(async {
                let (statuses, longest_wait) = statuses_beside(answers, head, piece).await;

                let served = statuses.iter().filter(|status| **status == 200).count();
                let figures = format!(
                    "{form}, {answers} at once: {served} of {} served, longest wait {longest_wait:?}",
                    statuses.len()
                );
                println!("{figures}");
                if served < statuses.len() || longest_wait > SOUND_TIMEOUT {
                    failed.push(figures);
                }
            });
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
