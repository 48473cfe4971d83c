//! Tests of the upstream client against the stand-in upstream on loopback.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream;
use kumquat_standins::observation::{Area, Ledger, Run};
use kumquat_standins::upstream::{self, Upstream};
use kumquat_state::{clock, ident};
use kumquat_transport::upstream::{
    Body, Call, Client, Failure, Grant, GrantError, Granted, Key, Options, Span,
};
use reqwest::{Method, StatusCode};
use tokio::sync::mpsc;

/// Time of calls that have to succeed, far above what a slow machine needs.
const AMPLE: Duration = Duration::from_mins(1);
/// Time of calls that can't be answered.
const SHORT: Duration = Duration::from_millis(50);

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn upstream(options: upstream::Options) -> (Upstream, Client, Ledger) {
    let ledger = Ledger::default();
    let upstream = upstream::bind(loopback(), options, ledger.clone())
        .await
        .expect("free port");
    let client = Client::open(&Options::new(upstream.address())).expect("client");
    (upstream, client, ledger)
}

fn keyed() -> upstream::Options {
    upstream::Options {
        key_slots: 16,
        checks_grants: true,
        ..upstream::Options::default()
    }
}

fn get(path: &str, time_left: Duration) -> Call {
    Call::new(Method::GET, path, ident::Request(7), time_left)
}

fn span(first: u32, last: u32) -> Span {
    Span {
        first: ident::Slot(first),
        last: ident::Slot(last),
        epoch: ident::Epoch(1),
    }
}

/// Returns a grant of slots 0 to 7, that is, of the keys whose hash has a first bit of 0.
fn lower_half(known: &Granted) -> Grant {
    Grant {
        fence: ident::FencingToken(256),
        boot: Some(known.boot),
        until_ms: known.clock_ms + 3_600_000,
        spans: vec![span(0, 7)],
        ..Grant::default()
    }
}

/// Returns what a checking upstream tells a granter that does not know its boot id.
async fn learn(client: &Client) -> Granted {
    match client.grant(&Grant::default(), AMPLE).await {
        Err(GrantError::Rejected(known)) => known,
        other => panic!("a grant without boot id is rejected, but got {other:?}"),
    }
}

/// Waits for a condition that other tasks bring about.
async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(AMPLE, wait).await.expect("condition");
}

/// Guards against headers by which a caller could pass for the router, and against lost headers of the router.
#[tokio::test]
async fn callers_cannot_set_the_headers_of_the_router() {
    let (upstream, client, _) = upstream(upstream::Options::default()).await;
    let mut call = get("/stock/7", AMPLE);
    for name in ["kumquat-team", "kumquat-key"] {
        let value = "00000000000000ab".parse().expect("value");
        call.headers.insert(name, value);
    }
    call.team = Some("island-air".parse().expect("name"));
    call.attempt = 2;

    let answer = client.send(call).await.expect("answer");

    assert_eq!(answer.clock().expect("clock").boot, upstream.boot());
    let body = answer.bytes(4_096).await.expect("body");
    let body = serde_json::from_slice::<serde_json::Value>(&body).expect("JSON");
    assert_eq!(body["request"], format!("{:032x}", 7));
    assert_eq!(body["team"], "island-air");
    assert_eq!(body["key"], serde_json::Value::Null);
    assert_eq!(body["attempt"], 2);
    assert_eq!(body["path"], "/stock/7");
    upstream.stop().await;
}

/// Guards against treating a refused connection as a request that may have run.
#[tokio::test]
async fn a_refused_connection_is_not_run() {
    let (upstream, client, _) = upstream(upstream::Options::default()).await;
    upstream.stop().await;

    let failure = client.send(get("/", AMPLE)).await.expect_err("refused");

    assert!(
        matches!(failure, Failure::NotConnected { .. }),
        "{failure:?}"
    );
    assert!(failure.is_not_run());
}

/// Guards against treating broken or missing answers as requests that did not run.
#[tokio::test]
async fn broken_answers_may_have_run() {
    let (upstream, client, ledger) = upstream(upstream::Options::default()).await;

    let garbage = client.send(get("/?mode=garbage", AMPLE)).await;
    let half = client
        .send(get("/?mode=half", AMPLE))
        .await
        .expect("headers");
    let half = half.bytes(4_096).await;
    let never = client.send(get("/?mode=never", SHORT)).await;

    assert!(
        matches!(garbage, Err(Failure::Broken { .. })),
        "{garbage:?}"
    );
    assert!(matches!(half, Err(Failure::Broken { .. })), "{half:?}");
    assert!(matches!(never, Err(Failure::TimedOut { .. })), "{never:?}");
    assert_eq!(ledger.report().runs, 3);
    upstream.stop().await;
}

/// Guards against a restart that passes for a refusal, and against a new run that passes for the old one.
#[tokio::test]
async fn a_restart_breaks_running_calls_and_changes_the_boot_id() {
    let (upstream, client, _) = upstream(upstream::Options::default()).await;
    let boot = upstream.boot();
    let running = tokio::spawn({
        let client = client.clone();
        async move { client.send(get("/?mode=never", AMPLE)).await.map(drop) }
    });
    until(|| upstream.counts().running == 1).await;

    upstream.restart();

    let failure = running.await.expect("task").expect_err("broken");
    assert!(matches!(failure, Failure::Broken { .. }), "{failure:?}");
    let client = Client::open(&Options::new(upstream.address())).expect("client");
    let answer = client.send(get("/", AMPLE)).await.expect("answer");
    assert_ne!(answer.clock().expect("clock").boot, boot);
    upstream.stop().await;
}

/// Guards against calls that go on at the upstream after the caller has given them up, and block its slots.
#[tokio::test]
async fn dropping_a_call_cancels_it() {
    let options = upstream::Options {
        slots: 1,
        backlog: 0,
        ..upstream::Options::default()
    };
    let (upstream, client, _) = upstream(options).await;
    let running = tokio::spawn({
        let client = client.clone();
        async move { client.send(get("/?mode=never", AMPLE)).await.map(drop) }
    });
    until(|| upstream.counts().running == 1).await;
    let shed = client.send(get("/", AMPLE)).await.expect_err("shed");

    running.abort();
    until(|| upstream.counts().cancelled == 1).await;

    assert!(
        matches!(shed, Failure::Shed { status, clock: Some(_) }
            if status == StatusCode::SERVICE_UNAVAILABLE),
        "{shed:?}"
    );
    client.send(get("/", AMPLE)).await.expect("free slot");
    upstream.stop().await;
}

/// Guards against more connections than the upstream accepts.
#[tokio::test]
async fn calls_wait_for_a_free_connection() {
    let (upstream, _, ledger) = upstream(upstream::Options::default()).await;
    let options = Options {
        connections: 1,
        ..Options::new(upstream.address())
    };
    let client = Client::open(&options).expect("client");
    let running = tokio::spawn({
        let client = client.clone();
        async move { client.send(get("/?mode=never", AMPLE)).await.map(drop) }
    });
    until(|| upstream.counts().running == 1).await;

    let failure = client.send(get("/", SHORT)).await.expect_err("no time");

    assert!(
        matches!(failure, Failure::NotConnected { .. }),
        "{failure:?}"
    );
    assert_eq!(upstream.gate().connections(), 1);
    assert_eq!(ledger.report().runs, 1);
    running.abort();
    upstream.stop().await;
}

/// Guards against bodies that are collected before they are passed on: each piece has to come back before the next one
/// is sent.
#[tokio::test]
async fn bodies_stream_in_both_directions() {
    let (upstream, client, _) = upstream(upstream::Options::default()).await;
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(1);
    let pieces = stream::unfold(receiver, async |mut receiver| {
        receiver.recv().await.map(|piece| (piece, receiver))
    });
    let mut call = get("/?mode=echo", AMPLE);
    call.method = Method::POST;
    call.body = Body::stream(pieces);

    let mut answer = client.send(call).await.expect("headers");
    for piece in ["first", "second"] {
        sender.send(Ok(piece.into())).await.expect("open stream");
        let back = answer.chunk().await.expect("piece");
        assert_eq!(back.as_deref(), Some(piece.as_bytes()));
    }
    drop(sender);

    assert_eq!(answer.chunk().await, Ok(None));
    upstream.stop().await;
}

/// Guards against orders of an earlier holder and against keys that were not granted.
#[tokio::test]
async fn upstreams_reject_outdated_grants_and_foreign_keys() {
    let (upstream, client, _) = upstream(keyed()).await;
    let known = learn(&client).await;
    let granted = client
        .grant(&lower_half(&known), AMPLE)
        .await
        .expect("held");
    let call = |key: u64, fence: u64| Call {
        key: Some(key),
        fence: ident::FencingToken(fence),
        ..get("/", AMPLE)
    };

    let owned = client.send(call(0, 256)).await;
    let foreign = client.send(call(u64::MAX, 256)).await;
    let outdated = client.send(call(0, 255)).await;
    let lower = Grant {
        fence: ident::FencingToken(255),
        ..lower_half(&known)
    };
    let lower = client.grant(&lower, AMPLE).await;
    upstream.restart();
    // The restart has broken the pooled connections, so the next call needs a new client.
    let client = Client::open(&Options::new(upstream.address())).expect("client");
    let old_boot = client.grant(&lower_half(&known), AMPLE).await;

    assert_eq!(granted.held, [span(0, 7)]);
    assert!(owned.is_ok(), "{owned:?}");
    let status = |result: Result<_, Failure>| match result {
        Err(Failure::Shed { status, .. }) => Some(status),
        _ => None,
    };
    assert_eq!(status(foreign), Some(StatusCode::MISDIRECTED_REQUEST));
    assert_eq!(status(outdated), Some(StatusCode::CONFLICT));
    assert!(matches!(lower, Err(GrantError::Rejected(_))), "{lower:?}");
    assert!(
        matches!(old_boot, Err(GrantError::Rejected(ref now)) if now.boot != known.boot),
        "{old_boot:?}"
    );
    upstream.stop().await;
}

/// Guards against hot keys that run at the owner of their slot, or at an owner that has given them up.
#[tokio::test]
async fn single_keys_are_granted_and_left_out() {
    let (upstream, client, _) = upstream(keyed()).await;
    let known = learn(&client).await;
    let key = |hash| vec![Key::new(hash, ident::Epoch(2))];
    let placed = Grant {
        keys: key(u64::MAX),
        without: Some(key(0)),
        ..lower_half(&known)
    };
    let given_up = Grant {
        release_keys: key(u64::MAX),
        ..lower_half(&known)
    };
    let run = async |hash: u64| {
        let call = Call {
            key: Some(hash),
            fence: ident::FencingToken(256),
            ..get("/", AMPLE)
        };
        client.send(call).await.is_ok()
    };

    client.grant(&placed, AMPLE).await.expect("held");
    let while_placed = [run(0).await, run(1).await, run(u64::MAX).await];
    client.grant(&given_up, AMPLE).await.expect("released");

    assert_eq!(while_placed, [false, true, true]);
    assert!(!run(u64::MAX).await);
    upstream.stop().await;
}

/// Guards against a grant that is delivered late and still takes effect.
#[tokio::test]
async fn an_expired_grant_has_no_effect() {
    let (upstream, client, _) = upstream(keyed()).await;
    let known = learn(&client).await;
    let late = Grant {
        until_ms: known.clock_ms,
        ..lower_half(&known)
    };

    let granted = client.grant(&late, AMPLE).await.expect("accepted");

    assert_eq!(granted.held, []);
    let failure = client
        .send(Call {
            key: Some(0),
            fence: ident::FencingToken(256),
            ..get("/", AMPLE)
        })
        .await;
    assert!(matches!(failure, Err(Failure::Shed { .. })), "{failure:?}");
    upstream.stop().await;
}

/// Guards against a release that is answered while a request still runs, and against a delayed renewal that takes the
/// slots back.
#[tokio::test]
async fn a_release_waits_for_running_requests() {
    let (upstream, client, ledger) = upstream(keyed()).await;
    let known = learn(&client).await;
    let grant = lower_half(&known);
    client.grant(&grant, AMPLE).await.expect("held");
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(1);
    let call = Call {
        key: Some(0),
        fence: ident::FencingToken(256),
        body: Body::stream(stream::unfold(receiver, async |mut receiver| {
            receiver.recv().await.map(|piece| (piece, receiver))
        })),
        ..get("/?mode=echo", AMPLE)
    };
    let answer = client.send(call).await.expect("headers");
    let release = Grant {
        spans: Vec::new(),
        release: vec![span(0, 7)],
        ..grant.clone()
    };
    let release = tokio::spawn({
        let client = client.clone();
        async move { client.grant(&release, AMPLE).await }
    });
    until(|| upstream.held().is_empty()).await;

    assert_eq!(upstream.counts().running, 1);
    assert!(!release.is_finished());
    drop(sender);
    assert_eq!(answer.bytes(0).await, Ok(Bytes::new()));
    let released = release.await.expect("task").expect("released");
    let renewed = client.grant(&grant, AMPLE).await.expect("accepted");

    assert_eq!(released.held, []);
    assert_eq!(renewed.held, []);
    // The next owner may run the key, since the renewal after the release has no effect.
    let next_owner = Run {
        service: "service".to_owned(),
        upstream: "next".to_owned(),
        request: 8,
        team: String::new(),
        idempotent: false,
        key: Some((0, 0)),
        grant: Some((Area::Slot(0), 2)),
    };
    ledger.started(&next_owner, clock::now());
    assert!(ledger.report().is_clean(), "{:?}", ledger.report());
    upstream.stop().await;
}

/// Guards against a run that takes effect after its grant has lapsed, when another upstream may own the key.
#[tokio::test]
async fn a_run_whose_grant_lapses_is_unknown() {
    let (upstream, client, ledger) = upstream(keyed()).await;
    let known = learn(&client).await;
    let (sender, receiver) = mpsc::channel::<Result<Bytes, std::io::Error>>(1);
    let call = Call {
        key: Some(0),
        fence: ident::FencingToken(256),
        body: Body::stream(stream::unfold(receiver, async |mut receiver| {
            receiver.recv().await.map(|piece| (piece, receiver))
        })),
        ..get("/", AMPLE)
    };
    client
        .grant(&lower_half(&known), AMPLE)
        .await
        .expect("held");
    let running = tokio::spawn({
        let client = client.clone();
        async move { client.send(call).await }
    });
    until(|| upstream.counts().running == 1).await;

    upstream.expire_grants();
    drop(sender);

    let answer = running.await.expect("task").expect("answer");
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(answer.headers()["kumquat-outcome"], "unknown");
    assert_eq!(upstream.counts().lapsed, 1);
    assert_eq!(ledger.report().runs, 1);
    upstream.stop().await;
}

/// Guards against a slot that counts as held because another slot of the same order still finishes a request; a run of
/// the next owner was reported as a second owner's.
#[tokio::test]
async fn idle_slots_are_free_while_others_finish() {
    let (upstream, client, ledger) = upstream(keyed()).await;
    let known = learn(&client).await;
    let granted = client.grant(&lower_half(&known), AMPLE).await;
    let call = Call {
        key: Some(0),
        fence: ident::FencingToken(256),
        ..get("/?mode=never", AMPLE)
    };
    let running = tokio::spawn({
        let client = client.clone();
        async move { client.send(call).await.map(drop) }
    });
    until(|| upstream.counts().running == 1).await;

    let nothing = Grant {
        sequence: 1,
        whole: true,
        spans: Vec::new(),
        ..lower_half(&known)
    };
    let given_up = client.grant(&nothing, AMPLE).await.expect("accepted");
    let run_elsewhere = |key: u64, slot: u32| Run {
        service: keyed().service,
        upstream: "next".to_owned(),
        request: u128::from(key),
        team: String::new(),
        idempotent: false,
        key: Some((key, slot)),
        grant: Some((Area::Slot(slot), 2)),
    };
    ledger.started(&run_elsewhere(7 << 60, 7), clock::now());
    let of_idle_slot = ledger.report().wrong_owner;
    ledger.started(&run_elsewhere(0, 0), clock::now());

    assert!(granted.is_ok(), "{granted:?}");
    assert_eq!(given_up.finishing.len(), 1);
    assert_eq!(of_idle_slot, 0, "{:?}", ledger.report());
    assert_eq!(ledger.report().wrong_owner, 1);
    running.abort();
    upstream.stop().await;
}

/// Guards against work that a frozen upstream does, and against an upstream that does not come back.
#[tokio::test]
async fn a_frozen_upstream_answers_nothing_until_it_thaws() {
    let (upstream, client, ledger) = upstream(upstream::Options::default()).await;
    upstream.freeze();

    let frozen = client.send(get("/", SHORT)).await;
    let runs = ledger.report().runs;
    upstream.unfreeze();
    let thawed = client.send(get("/", AMPLE)).await;

    assert!(
        matches!(frozen, Err(Failure::TimedOut { .. })),
        "{frozen:?}"
    );
    assert_eq!(runs, 0);
    assert!(thawed.is_ok(), "{thawed:?}");
    upstream.stop().await;
}
