//! Guards against caller keys that work although they should not, that leak, or that can be guessed at will.

use kumquat_entry::failures::BURST;
use kumquat_entry::gateway::Limits;
use tokio::io::AsyncWriteExt;

#[path = "fixture/strangers.rs"]
mod fixture;

use fixture::{PATIENCE, Reply, Site, connect, read, read_to_end, wide};

fn assert_unauthorised(reply: &Reply) {
    assert_eq!(reply.status, 401, "{reply:?}");
    assert!(reply.says("\"error\":\"caller-key\""), "{}", reply.text());
    assert_eq!(reply.header("kumquat-outcome"), Some("not-run"));
}

fn with_key(value: &str) -> String {
    format!("GET /bench/a HTTP/1.1\r\nhost: kumquat\r\nauthorization: {value}\r\n\r\n")
}

/// Guards against keys that are accepted in a wrong form, and against answers that help with guessing.
#[tokio::test(flavor = "multi_thread")]
async fn only_one_valid_key_is_accepted() {
    let site = Site::open(&wide(), Limits::default()).await;
    let key = site.key().to_owned();
    let head = site.head("GET", "/bench/a");
    let other = &site.deployment.keys[1].1;
    let unknown = format!("kqp_{}", "0".repeat(64));

    let mut rejected = vec![
        site.ask("GET /bench/a HTTP/1.1\r\nhost: kumquat\r\n\r\n")
            .await,
    ];
    for value in [
        format!("Bearer {unknown}"),
        format!("Bearer {}", &key[..key.len() - 1]),
        format!("Bearer {key}0"),
        format!("Bearer {}", key.to_uppercase()),
        format!("Basic {key}"),
        "Bearer \u{e9}".to_owned(),
        String::new(),
    ] {
        rejected.push(site.ask(&with_key(&value)).await);
    }
    rejected.push(
        site.ask(&format!("{head}authorization: Bearer {other}\r\n\r\n"))
            .await,
    );

    for reply in &rejected {
        assert_unauthorised(reply);
        assert_eq!(reply.body, rejected[0].body, "the cases are told apart");
    }
    assert_eq!(
        site.entry.metrics().rejected_keys.get(),
        rejected.len() as u64
    );
    assert_eq!(site.refused("caller-key"), rejected.len() as u64);
    site.finish().await;
}

/// Guards against a key that reaches an upstream by another way than the authorization header.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_in_another_place_is_refused() {
    let site = Site::open(&wide(), Limits::default()).await;
    let key = site.key().to_owned();
    let other = site.deployment.keys[1].1.clone();
    let head = site.head("GET", "/bench/a");

    let replies = [
        site.get(&format!("/bench/a?key={key}")).await,
        site.get(&format!("/bench/{key}")).await,
        site.ask(&format!("{head}x-api-key: {key}\r\n\r\n")).await,
        site.ask(&format!("{head}cookie: a=b; key={}\r\n\r\n", &key[4..]))
            .await,
        site.ask(&format!("{head}x-api-key: {other}\r\n\r\n")).await,
    ];

    for reply in &replies {
        assert_eq!(reply.status, 400, "{reply:?}");
        assert!(
            reply.says("\"error\":\"caller-key-exposed\""),
            "{}",
            reply.text()
        );
        assert!(!reply.says(&key[4..]), "the answer repeats the key");
    }
    assert_eq!(site.refused("caller-key-exposed"), replies.len() as u64);
    site.finish().await;
}

/// Guards against a withdrawn key that goes on working on a connection that is open already.
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_stops_on_open_connections() {
    let mut site = Site::open(&wide(), Limits::default()).await;
    let request = format!("{}\r\n", site.head("GET", "/bench/a"));
    let mut stream = connect(site.address()).await;
    stream.write_all(request.as_bytes()).await.expect("sent");
    assert_eq!(read(&mut stream).await.status, 200);

    let team = site.deployment.keys[0].0.clone();
    let version = site
        .deployment
        .publish(|bundle| bundle.caller_keys.retain(|key| key.team.as_str() != team))
        .await
        .expect("the bundle is accepted");
    let config = site.entry.config();
    fixture::until("the bundle is in force", || {
        config
            .bundle()
            .is_some_and(|bundle| bundle.version >= version)
    })
    .await;
    stream.write_all(request.as_bytes()).await.expect("sent");
    let reply = read(&mut stream).await;

    assert_unauthorised(&reply);
    drop(stream);
    site.finish().await;
}

/// Guards against guessing at full speed, and against valid callers that suffer from a guesser at their address.
#[tokio::test(flavor = "multi_thread")]
async fn guessing_is_slowed_down_and_valid_callers_are_not() {
    let site = Site::open(&wide(), Limits::default()).await;
    let guess = with_key(&format!("Bearer kqp_{}", "0".repeat(64)));
    let mut answers = Vec::new();
    let begun = tokio::time::Instant::now();

    // The bucket refills while the test runs, so that it may take some more failures than the burst.
    while site.refused("caller-key-failures") == 0 {
        assert!(begun.elapsed() < PATIENCE, "guessing is not slowed down");
        answers.push(site.ask(&guess).await);
        let valid = site.get("/bench/a").await;
        assert_eq!(valid.status, 200, "a valid caller suffers: {valid:?}");
    }

    let last = answers.pop().expect("an answer");
    assert!(answers.len() >= BURST as usize, "{}", answers.len());
    answers.iter().for_each(assert_unauthorised);
    assert_eq!(last.status, 429, "{last:?}");
    assert!(
        last.says("\"error\":\"caller-key-failures\""),
        "{}",
        last.text()
    );
    assert_eq!(last.header("retry-after"), Some("1"));
    assert_eq!(last.header("connection"), Some("close"));
    site.finish().await;
}

/// Guards against guesses that share one connection once their address has had too many failures.
#[tokio::test(flavor = "multi_thread")]
async fn a_guesser_loses_its_connection() {
    let site = Site::open(&wide(), Limits::default()).await;
    let guess = with_key(&format!("Bearer kqp_{}", "0".repeat(64)));
    let mut stream = connect(site.address()).await;

    // Ten times the burst comes in one piece, which the bucket would take over a minute to let through.
    stream
        .write_all(guess.repeat(10 * BURST as usize).as_bytes())
        .await
        .expect("sent");
    let bytes = read_to_end(&mut stream).await;

    let text = String::from_utf8_lossy(&bytes);
    assert_eq!(text.matches("HTTP/1.1 429").count(), 1, "{text}");
    assert!(
        text.matches("HTTP/1.1 401").count() >= BURST as usize,
        "{text}"
    );
    drop(stream);
    site.finish().await;
}
