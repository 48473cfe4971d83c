//! Guards the entry's links against dispatch processes that are frozen, slow, or answer late, twice or crossed.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use kumquat_entry::answer::Refusal;
use kumquat_entry::links::Head;
use kumquat_entry::links::liveness::{Silence, Step};
use kumquat_entry::router::Router;
use kumquat_protocol::wire::Outcome;
use kumquat_state::clock::Instant;
use poem::Response;
use tokio::time::{sleep, timeout};

#[path = "fixture/peers.rs"]
mod fixture;

use fixture::{Forwarder, PATIENCE, Peer, Script, call, request, router};

async fn ask(router: &Router, path: &str, idempotent: bool) -> Result<Response, Refusal> {
    let routing = router.route(call(path, idempotent).await, None, None);
    timeout(PATIENCE, routing).await.expect("an end in time")
}

async fn text(answer: Result<Response, Refusal>) -> String {
    let body = answer.expect("an answer").into_body();
    body.into_string().await.expect("a whole body")
}

/// Opens the link to a peer behind a forwarder and then freezes it, so that the freeze meets an open link.
async fn freeze_open_link() -> (Arc<Router>, Peer, Peer) {
    let first = Peer::open("vm-1", Script::AtOnce).await;
    let second = Peer::open("vm-2", Script::AtOnce).await;
    let forwarder = Forwarder::open(first.address).await;
    let router = router(&[("vm-1", forwarder.address), ("vm-2", second.address)]);
    assert_eq!(text(ask(&router, "/warm", false).await).await, "/warm");
    assert_eq!(first.requests.load(Ordering::SeqCst), 1);
    forwarder.frozen.store(true, Ordering::SeqCst);
    (router, first, second)
}

/// Guards against idempotent requests that wait for their deadline at a frozen peer although a successor answers.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotent_request_leaves_a_frozen_peer() {
    let (router, first, second) = freeze_open_link().await;

    let answer = text(ask(&router, "/a", true).await).await;

    assert_eq!(answer, "/a");
    assert_eq!(router.metrics.silent_links.get(), 1);
    let before_freeze = first.requests.load(Ordering::SeqCst);
    assert_eq!(before_freeze, 1);
    assert_eq!(second.requests.load(Ordering::SeqCst), 1);
}

/// Guards against a non-idempotent request that is sent again after a freeze, or that waits for its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_non_idempotent_request_ends_as_unknown_at_a_frozen_peer() {
    let (router, _first, second) = freeze_open_link().await;

    let refusal = ask(&router, "/a", false).await.expect_err("a refusal");

    assert_eq!(refusal.outcome, Outcome::Unknown);
    // At its deadline it would end with 504.
    assert_eq!(refusal.status.as_u16(), 502, "{refusal:?}");
    assert_eq!(router.metrics.silent_links.get(), 1);
    let sent_again = second.requests.load(Ordering::SeqCst);
    assert_eq!(sent_again, 0);
}

/// Guards against a link that is closed although its peer answers the pings and only its upstreams are slow.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_keeps_its_link() {
    // Five pings take a second, longer than the silence after which a link is closed.
    let peer = Peer::open("vm-1", Script::AfterPings(5)).await;
    let router = router(&[("vm-1", peer.address)]);

    let answer = text(ask(&router, "/a", false).await).await;

    assert_eq!(answer, "/a");
    assert_eq!(router.metrics.silent_links.get(), 0);
    assert_eq!(peer.requests.load(Ordering::SeqCst), 1);
}

/// Guards against answers that reach another request when they come in another order or twice.
#[tokio::test(flavor = "multi_thread")]
async fn crossed_answers_reach_their_own_requests() {
    const REQUESTS: usize = 20;
    let peer = Peer::open("vm-1", Script::Crossed(REQUESTS)).await;
    let router = router(&[("vm-1", peer.address)]);

    let asking = (0..REQUESTS).map(|number| {
        let router = Arc::clone(&router);
        tokio::spawn(async move {
            let path = format!("/{number}");
            let answer = text(ask(&router, &path, false).await).await;
            (path, answer)
        })
    });
    for asking in asking.collect::<Vec<_>>() {
        let (path, answer) = asking.await.expect("no panic");
        assert_eq!(answer, path);
    }

    assert_eq!(peer.requests.load(Ordering::SeqCst), REQUESTS);
    let begun = tokio::time::Instant::now();
    while router.metrics.late_messages.get() == 0 {
        assert!(
            begun.elapsed() < PATIENCE,
            "the second answers are not counted"
        );
        sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against an answer that arrives after its request was given up and is taken for that of the next one.
#[tokio::test(flavor = "multi_thread")]
async fn a_late_answer_reaches_nobody() {
    let peer = Peer::open("vm-1", Script::Crossed(2)).await;
    let router = router(&[("vm-1", peer.address)]);
    let ledger = router.config.ledger().expect("a ledger");
    let member = &ledger.membership.members[0];
    let connection = router.pool.connection(member).await.expect("connected");
    let send = |path: &'static str| connection.request(false, move |stream| request(stream, path));

    let given_up = send("/first").await.expect("sent");
    drop(given_up);
    let mut second = send("/second").await.expect("sent");
    let head = timeout(PATIENCE, second.head())
        .await
        .expect("in time")
        .expect("a head");
    let (mut body, _guard) = second.into_body().expect("a body");

    assert!(matches!(head, Head::Answer(answer) if answer.status == 200));
    let part = body.next().await.expect("a part");
    assert_eq!(part.as_deref(), Some(b"/second".as_slice()));
}

/// Guards against a check that asks too seldom or closes too early or too late.
#[test]
fn silence_is_asked_about_and_then_ends_the_link() {
    let at = Instant::from_millis;
    let mut silence = Silence::new(at(1_000));

    let steps: Vec<_> = (1..=12)
        .map(|tick| (tick * 50, silence.look(at(1_000 + tick * 50), at(0))))
        .filter(|(_, step)| *step != Step::Wait)
        .collect();

    assert_eq!(
        steps,
        [(200, Step::Ask), (400, Step::Ask), (600, Step::Close)]
    );
}

/// Guards against a link that is closed although something arrives on it now and then.
#[test]
fn signs_of_life_keep_the_link() {
    let at = Instant::from_millis;
    let mut silence = Silence::new(at(1_000));

    for tick in 1..=100 {
        let now = 1_000 + tick * 50;
        // The last sign of life is always less than 600 ms old.
        let heard = now / 550 * 550;
        assert_ne!(silence.look(at(now), at(heard)), Step::Close, "at {now}");
    }
}

/// Guards against a pause of the own process that is taken for silence of the peer.
#[test]
fn a_pause_of_the_own_process_is_no_silence() {
    let at = Instant::from_millis;
    let mut silence = Silence::new(at(1_000));

    let steps = [
        silence.look(at(1_050), at(1_000)),
        silence.look(at(9_000), at(1_000)),
        silence.look(at(9_050), at(9_010)),
    ];

    assert_eq!(steps, [Step::Wait; 3]);
}
