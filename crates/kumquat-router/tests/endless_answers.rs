//! Tests of upstreams whose answers do not end, beside requests to sound upstreams.

mod fixture {
    pub mod router;
}

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use fixture::router::{
    CHUNKED_HEAD, KEYED, Router, ScriptedUpstream, UNTIL_CLOSE_HEAD, UpstreamAction, config,
    registration, request, run_local_test, send_request, single_owner_map,
    start_unconfigured_router, status,
};
use tokio::time::{Instant, sleep};

/// Time limit of the route to the upstreams whose answers do not end.
const ENDLESS_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Time limit of the other routes, within which sound requests must be answered.
const SOUND_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between the sound requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(20);

/// Repetitions of a piece in one write, so that the router always finds bytes to read.
const PIECES_PER_WRITE: usize = 2_048;

/// Binds an upstream with threads of its own that answers each request with `head` and then with `piece` without end.
fn bind_endless_upstream(head: &'static str, piece: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            std::thread::spawn(move || {
                let mut bytes = [0; 4_096];
                let length = stream.read(&mut bytes).unwrap_or(0);
                let text = String::from_utf8_lossy(&bytes[..length]);
                let id = fixture::router::header_field(&text, "X-Try").unwrap_or_default();
                let pieces = piece.repeat(PIECES_PER_WRITE);
                let mut is_open = stream.write_all(head.replace("ID", &id).as_bytes()).is_ok();
                while is_open {
                    is_open = stream.write_all(pieces.as_bytes()).is_ok();
                }
            });
        }
    });
    address
}

/// Sends a request from a thread that reads all that comes; returns how many bytes came and for how long.
fn read_endless_answer(
    address: SocketAddr,
    text: String,
) -> std::thread::JoinHandle<(usize, Duration)> {
    std::thread::spawn(move || {
        let started_at = std::time::Instant::now();
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.write_all(text.as_bytes()).expect("it is written");
        let (mut bytes, mut total) = (vec![0; 1 << 16], 0);
        while let Ok(count @ 1..) = stream.read(&mut bytes) {
            total += count;
        }
        (total, started_at.elapsed())
    })
}

/// Starts a router whose keyed service has one upstream with endless answers, and whose other service has `sound`.
fn start_router_with(endless: SocketAddr, sound: &ScriptedUpstream) -> Router {
    let router = start_unconfigured_router();
    let mut config = config(1);
    for route in &mut config.routes {
        if route.name == "keyed" {
            route.timeout = ENDLESS_TIMEOUT;
        } else {
            route.timeout = SOUND_TIMEOUT;
        }
    }
    router.vm.set_config(config);
    let mut endless_upstream = registration("e0", KEYED, sound);
    endless_upstream.address = endless;
    endless_upstream.slots = 16;
    router.vm.upsert_upstream(endless_upstream);
    let sound = registration("u0", fixture::router::POOL, sound);
    router.vm.upsert_upstream(sound);
    router
        .vm
        .set_ownership_map(&Arc::from(KEYED), single_owner_map("e0", 1, &[]));
    router.vm.mark_registry_loaded();
    router
}

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
