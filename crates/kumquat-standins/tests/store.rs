//! Tests of the store stand-in over plain HTTP; the client's own tests cover the rest of the interface.

use std::net::{Ipv4Addr, SocketAddr};

use kumquat_standins::store::{self, Options, Store, VALUE_LIMIT};
use reqwest::{Client, Response, StatusCode};

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

async fn store(options: Options) -> Store {
    store::bind(loopback(), options).await.expect("free port")
}

fn revision(response: &Response) -> u64 {
    let text = response.headers()["x-revision"].to_str().expect("text");
    text.parse().expect("number")
}

async fn put(store: &Store, key: &str, value: &str, expected: Option<u64>) -> Response {
    let url = format!("{}/v1/kv/{key}", store.url());
    let mut request = Client::new().put(url).body(value.to_owned());
    if let Some(expected) = expected {
        request = request.header("x-expected-revision", expected);
    }
    request.send().await.expect("answer")
}

/// Guards against a compare-and-swap that overwrites another writer's value.
#[tokio::test]
async fn swap_with_an_old_revision_conflicts() {
    let store = store(Options::default()).await;

    let created = put(&store, "ledger/head", "a", Some(0)).await;
    let late = put(&store, "ledger/head", "b", Some(0)).await;
    let forced = put(&store, "ledger/head", "c", None).await;

    assert_eq!((created.status(), revision(&created)), (StatusCode::OK, 1));
    assert_eq!((late.status(), revision(&late)), (StatusCode::CONFLICT, 1));
    assert_eq!((forced.status(), revision(&forced)), (StatusCode::OK, 2));
    assert_eq!(store.peek("ledger/head"), Some(("c".into(), 2)));
    store.stop().await;
}

/// Guards against a revision that starts again after a deletion, with which an old writer would succeed by chance.
#[tokio::test]
async fn revisions_go_on_over_a_deletion() {
    let store = store(Options::default()).await;
    put(&store, "k", "a", None).await;
    let url = format!("{}/v1/kv/k", store.url());
    let deleted = Client::new()
        .delete(url)
        .header("x-expected-revision", 1)
        .send()
        .await
        .expect("answer");

    let created = put(&store, "k", "b", Some(0)).await;

    assert_eq!(deleted.status(), StatusCode::OK);
    assert_eq!((created.status(), revision(&created)), (StatusCode::OK, 3));
    store.stop().await;
}

/// Guards against values that the platform would not take.
#[tokio::test]
async fn values_above_the_limit_are_refused() {
    let store = store(Options::default()).await;

    let largest = put(&store, "k", &"x".repeat(VALUE_LIMIT), None).await;
    let larger = put(&store, "k", &"x".repeat(VALUE_LIMIT + 1), None).await;

    assert_eq!(largest.status(), StatusCode::OK);
    assert_eq!(larger.status(), StatusCode::PAYLOAD_TOO_LARGE);
    store.stop().await;
}

/// Guards against a stand-in that takes more calls than the platform; a rate of zero makes the burst the exact limit.
#[tokio::test]
async fn calls_above_the_ceiling_are_refused_and_counted() {
    let options = Options {
        writes: 0,
        write_burst: 2,
        ..Options::default()
    };
    let store = store(options).await;

    let mut codes = Vec::new();
    for _ in 0..3 {
        codes.push(put(&store, "k", "v", None).await.status());
    }

    let expected = [
        StatusCode::OK,
        StatusCode::OK,
        StatusCode::TOO_MANY_REQUESTS,
    ];
    assert_eq!(codes, expected);
    let calls = store.calls();
    assert_eq!((calls.writes, calls.refused), (2, 1));
    store.stop().await;
}
