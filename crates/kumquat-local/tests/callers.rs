//! Guards against callers that send too much, too slowly or garbage: each gets a clear answer and holds nothing.

use std::time::Duration;

use kumquat_entry::gateway::Limits;
use kumquat_state::bundle::RouteAccess;
use tokio::io::AsyncWriteExt;

#[path = "fixture/strangers.rs"]
mod fixture;

use fixture::{PATIENCE, Reply, Site, ask, connect, narrow, read, read_to_end, until, wide};

/// Time limits that a test reaches soon; a slow machine only makes it reach them later.
fn short() -> Limits {
    Limits {
        head_time: Duration::from_secs(1),
        body_pause: Duration::from_secs(1),
        idle_time: Duration::from_secs(2),
        ..Limits::default()
    }
}

fn assert_refused(reply: &Reply, status: u16, reason: &str) {
    assert_eq!(reply.status, status, "{reply:?}");
    assert!(
        reply.says(&format!("\"error\":\"{reason}\"")),
        "{}",
        reply.text()
    );
    assert_eq!(
        reply.header("kumquat-outcome"),
        Some("not-run"),
        "{reply:?}"
    );
    assert!(reply.is_whole, "{reply:?}");
}

/// Guards against heads without bound, which would use up memory, and against heads that hyper can't parse.
#[tokio::test(flavor = "multi_thread")]
async fn heads_are_limited() {
    let site = Site::open(&wide(), Limits::default()).await;
    let head = site.head("GET", "/bench/a");
    let started = site.sum(|counts| counts.started);

    let large = site
        .ask(&format!("{head}x-large: {}\r\n\r\n", "a".repeat(17_000)))
        .await;
    let target = site.get(&format!("/bench/{}", "a".repeat(5_000))).await;
    let many = site
        .ask(&format!("{head}{}\r\n", "x: a\r\n".repeat(200)))
        .await;
    let endless = site
        .ask(&format!("{head}x-endless: {}", "a".repeat(200_000)))
        .await;
    let malformed = site.ask("GET /bench/a\0b HTTP/1.1\r\n\r\n").await;
    let garbage = site.ask("\u{1}\u{2}\u{3}\r\n\r\n").await;
    let http2 = site.ask("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n").await;
    let lengths = site
        .ask(&format!(
            "{head}content-length: 1\r\ncontent-length: 2\r\n\r\nab"
        ))
        .await;

    assert_refused(&large, 431, "headers");
    assert_refused(&target, 414, "target");
    assert_eq!(many.status, 431, "{many:?}");
    assert_refused(&endless, 431, "connection");
    assert_eq!(malformed.status, 400, "{malformed:?}");
    assert_eq!(garbage.status, 400, "{garbage:?}");
    assert_refused(&http2, 505, "connection");
    assert_eq!(lengths.status, 400, "{lengths:?}");
    assert_eq!(site.closed("head-size"), 2);
    assert_eq!(site.closed("malformed"), 3);
    assert_eq!(site.closed("version"), 1);
    assert_eq!((site.refused("headers"), site.refused("target")), (1, 1));
    assert_eq!(site.sum(|counts| counts.started), started, "nothing ran");
    site.finish().await;
}

/// Guards against bodies without bound, whether their length is stated or not.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_are_limited() {
    // Only the size is limited here, so that a slow machine meets no other limit first.
    let limits = Limits {
        body: 256 * 1024,
        body_pause: PATIENCE,
        ..Limits::default()
    };
    let site = Site::open(&wide(), limits).await;
    let head = site.head("POST", "/bench/a");

    let stated = site
        .ask(&format!("{head}content-length: 300000\r\n\r\n"))
        .await;
    let piece = format!("{:x}\r\n{}\r\n", 30_000, "a".repeat(30_000));
    let chunked = format!(
        "{head}transfer-encoding: chunked\r\n\r\n{}0\r\n\r\n",
        piece.repeat(10)
    );
    let streamed = site.ask(&chunked).await;
    let broken = site
        .ask(&format!("{head}transfer-encoding: chunked\r\n\r\nzz\r\n"))
        .await;

    assert_refused(&stated, 413, "body-size");
    assert_eq!(streamed.status, 413, "{streamed:?}");
    assert!(
        streamed.says("\"error\":\"body-size\""),
        "{}",
        streamed.text()
    );
    assert_eq!(
        streamed.header("kumquat-outcome"),
        Some("unknown"),
        "its beginning was sent on"
    );
    assert_refused(&broken, 400, "body-broken");
    assert_eq!(site.refused("body-size"), 2);
    assert_eq!(site.refused("body-broken"), 1);
    site.finish().await;
}

/// Guards against callers that hold connections by sending next to nothing.
#[tokio::test(flavor = "multi_thread")]
async fn slow_senders_and_idle_connections_are_ended() {
    let site = Site::open(&wide(), short()).await;
    let head = site.head("POST", "/bench/a");

    let mut slow_head = site.open_request("GET /bench/a HTTP/1.1\r\n").await;
    let mut slow_body = site
        .open_request(&format!("{head}content-length: 9\r\n\r\nab"))
        .await;
    let large = "a".repeat(100_000);
    let mut slow_rest = site
        .open_request(&format!("{head}content-length: 200000\r\n\r\n{large}"))
        .await;
    let mut idle = connect(site.address()).await;
    let (slow_head, slow_body, slow_rest) = (
        read(&mut slow_head).await,
        read(&mut slow_body).await,
        read(&mut slow_rest).await,
    );
    let idle = read_to_end(&mut idle).await;

    assert_refused(&slow_head, 408, "connection");
    assert_refused(&slow_body, 408, "body-slow");
    assert_eq!(slow_rest.status, 408, "{slow_rest:?}");
    assert_eq!(slow_rest.header("kumquat-outcome"), Some("unknown"));
    assert!(
        idle.is_empty(),
        "an idle connection is closed without an answer"
    );
    assert_eq!(site.closed("head-slow"), 1);
    assert!(site.closed("idle") >= 1);
    assert_eq!(site.refused("body-slow"), 2);
    site.finish().await;
}

/// Guards against a caller that trickles its head, so that each byte looks like progress.
#[tokio::test(flavor = "multi_thread")]
async fn a_trickled_head_is_ended() {
    let site = Site::open(&wide(), short()).await;
    let mut stream = connect(site.address()).await;
    let (mut reading, mut writing) = stream.split();

    let trickle = async {
        while writing.write_all(b"G").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let mut bytes = Vec::new();
    tokio::select! {
        () = trickle => {}
        read = tokio::io::AsyncReadExt::read_to_end(&mut reading, &mut bytes) => drop(read),
        () = tokio::time::sleep(PATIENCE) => panic!("the connection stays open"),
    }

    assert_eq!(site.closed("head-slow"), 1);
    drop(stream);
    site.finish().await;
}

/// Guards against a flood of connections that uses up the process's files.
#[tokio::test(flavor = "multi_thread")]
async fn connections_above_the_limit_are_refused() {
    let limits = Limits {
        connections: 4,
        ..Limits::default()
    };
    let site = Site::open(&wide(), limits).await;
    until("the probe's connection is closed", || {
        site.entry.metrics().connections.get() == 0
    })
    .await;
    let mut held = Vec::new();
    for _ in 0..4 {
        held.push(connect(site.address()).await);
    }
    until("four connections are open", || {
        site.entry.metrics().connections.get() == 4
    })
    .await;

    let refused = site.get("/bench/a").await;
    assert_refused(&refused, 503, "connection");
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(site.closed("limit"), 1);

    drop(held);
    until("the connections are closed", || {
        site.entry.metrics().connections.get() == 0
    })
    .await;
    assert_eq!(
        site.get("/bench/a").await.status,
        200,
        "there is room again"
    );
    site.finish().await;
}

/// Guards against requests that are lost, doubled or mixed up when they come in one piece.
#[tokio::test(flavor = "multi_thread")]
async fn pipelined_requests_are_answered_in_order() {
    let site = Site::open(&wide(), Limits::default()).await;
    let started = site.sum(|counts| counts.started);
    let mut requests = String::new();
    for number in 0..5 {
        requests += &site.head("POST", &format!("/bench/number-{number}"));
        requests += "content-length: 2\r\n\r\n";
        requests += &number.to_string();
        requests += ";";
    }

    let mut stream = site.open_request(&requests).await;
    for number in 0..5 {
        let reply = read(&mut stream).await;
        assert_eq!(reply.status, 200, "{reply:?}");
        assert!(
            reply.says(&format!("/bench/number-{number}")),
            "{}",
            reply.text()
        );
        assert!(reply.says(&format!("{number};")), "{}", reply.text());
    }

    drop(stream);
    assert_eq!(site.sum(|counts| counts.started), started + 5);
    site.finish().await;
}

/// Guards against answers without a body, which must not be taken for requests that were given up.
#[tokio::test(flavor = "multi_thread")]
async fn head_requests_are_complete() {
    let site = Site::open(&wide(), Limits::default()).await;
    let head = site.head("HEAD", "/bench/a");

    let mut stream = site.open_request(&format!("{head}\r\n{head}\r\n")).await;
    let mut seen = String::new();
    while seen.matches("HTTP/1.1 200").count() < 2 || !seen.ends_with("\r\n\r\n") {
        let byte = tokio::io::AsyncReadExt::read_u8(&mut stream)
            .await
            .expect("an answer");
        seen.push(char::from(byte));
    }

    drop(stream);
    until("the requests have ended", || site.running() == 0).await;
    assert_eq!(site.sum(|counts| counts.cancelled), 0);
    assert_eq!(site.entry.metrics().hung_up.get(), 0);
    site.finish().await;
}

/// Guards against routes that are open by mistake, and against teams that a public caller names itself.
#[tokio::test(flavor = "multi_thread")]
async fn internal_routes_are_served_on_the_internal_listener_only() {
    let site = Site::open(&wide(), Limits::default()).await;
    let internal = site.entry.internal().expect("an internal listener");
    let open = site
        .deployment
        .bundle
        .routes
        .iter()
        .filter(|route| route.access == RouteAccess::Open);
    assert_eq!(open.count(), 2, "the fixture has one internal route");
    let team = "host: kumquat\r\nkumquat-team: hotels\r\n";

    let hidden = site.get("/internal/a").await;
    let unknown = site.get("/unknown/a").await;
    let served = ask(
        internal,
        format!("GET /internal/a HTTP/1.1\r\n{team}\r\n").as_bytes(),
    )
    .await;
    let nobody = ask(
        internal,
        b"GET /internal/a HTTP/1.1\r\nhost: kumquat\r\n\r\n",
    )
    .await;
    let no_key = ask(
        internal,
        format!("GET /bench/a HTTP/1.1\r\n{team}\r\n").as_bytes(),
    )
    .await;
    let head = site.head("GET", "/bench/a");
    let forged = site
        .ask(&format!(
            "{head}kumquat-team: hotels\r\nkumquat-fence: 9\r\n\r\n"
        ))
        .await;

    assert_refused(&hidden, 404, "route");
    assert_eq!(site.refused("route"), 2);
    assert_eq!(
        (hidden.status, &hidden.body),
        (unknown.status, &unknown.body),
        "told apart"
    );
    assert_eq!(served.status, 200, "{served:?}");
    assert!(served.says("\"team\":\"hotels\""), "{}", served.text());
    assert_refused(&nobody, 400, "team");
    assert_refused(&no_key, 401, "caller-key");
    assert_eq!(forged.status, 200, "{forged:?}");
    let own = &site.deployment.keys[0].0;
    assert_ne!(own, "hotels");
    assert!(
        forged.says(&format!("\"team\":\"{own}\"")),
        "{}",
        forged.text()
    );
    site.finish().await;
}

/// Guards against more requests at once than the entry can hold.
#[tokio::test(flavor = "multi_thread")]
async fn requests_above_the_limit_are_refused() {
    let limits = Limits {
        running: 1,
        ..Limits::default()
    };
    let site = Site::open(&wide(), limits).await;
    let head = site.head("POST", "/bench/a?mode=never");
    let running = site
        .open_request(&format!("{head}content-length: 0\r\n\r\n"))
        .await;
    until("the first request runs", || site.running() == 1).await;

    let refused = site.get("/bench/a").await;
    assert_refused(&refused, 503, "busy");
    assert_eq!(refused.header("retry-after"), Some("1"));
    assert_eq!(site.refused("busy"), 1);

    drop(running);
    until("the first request has ended", || {
        site.entry.metrics().running.get() == 0
    })
    .await;
    assert_eq!(
        site.get("/bench/a").await.status,
        200,
        "there is room again"
    );
    site.finish().await;
}

/// Guards against links that are closed under a slow request because the dispatch process answers no ping.
#[tokio::test(flavor = "multi_thread")]
async fn a_slow_request_is_no_silence() {
    let site = Site::open(&wide(), Limits::default()).await;

    let reply = site.post("/bench/a?service-ms=2000", "").await;

    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(site.entry.metrics().silent_links.get(), 0);
    site.finish().await;
}

/// Guards against a slow reader that keeps an upstream's slot for as long as it likes.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_reads_nothing_is_ended() {
    let site = Site::open(&narrow(), short()).await;
    let head = site.head("POST", "/bench/a?size=30000000");

    let caller = site
        .open_request(&format!("{head}content-length: 0\r\n\r\n"))
        .await;

    until("the entry ends the connection", || {
        site.closed("stalled") == 1
    })
    .await;
    until("the request has ended", || site.running() == 0).await;
    assert_eq!(
        site.post("/bench/b", "").await.status,
        200,
        "the slot is free again"
    );
    drop(caller);
    site.finish().await;
}
