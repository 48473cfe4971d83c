//! Guards against requests that go on after their caller has hung up: they would hold slots, queue places and limits.

use kumquat_entry::gateway::Limits;

#[path = "fixture/strangers.rs"]
mod fixture;

use fixture::{Site, narrow, read, until};

/// Guards against a running request that keeps its slot although nobody waits for its answer.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_up_cancels_a_running_request() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let head = site.head("POST", "/bench/a?mode=never");
    let caller = site
        .open_request(&format!("{head}content-length: 0\r\n\r\n"))
        .await;
    until("the request runs", || site.running() == 1).await;

    drop(caller);

    until("the request is cancelled", || site.running() == 0).await;
    until_noticed(&site).await;
    assert_eq!(site.sum(|counts| counts.cancelled), 1);
    assert_slot_is_free(&site).await;
    site.finish().await;
}

/// Guards against a waiting request that runs after its caller has hung up, or that blocks those behind it.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_up_takes_a_waiting_request_out_of_the_queue() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let head = site.head("POST", "/bench/a?mode=never");
    let request = format!("{head}content-length: 0\r\n\r\n");
    let first = site.open_request(&request).await;
    until("the first request runs", || site.running() == 1).await;
    let started = site.sum(|counts| counts.started);
    let second = site.open_request(&request).await;
    until("the second request waits", || queued(&site) == 1).await;

    drop(second);

    until("the second request is out of the queue", || {
        queued(&site) == 0
    })
    .await;
    until_noticed(&site).await;
    drop(first);
    until("the first request is cancelled", || site.running() == 0).await;
    assert_slot_is_free(&site).await;
    assert_eq!(
        site.sum(|counts| counts.started),
        started + 1,
        "the second request did not run"
    );
    site.finish().await;
}

/// Guards against a hang-up that is hidden behind bytes that have not been read yet.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_up_behind_a_pipelined_request_cancels_both() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let head = site.head("POST", "/bench/a?mode=never");
    let request = format!("{head}content-length: 0\r\n\r\n");
    let started = site.sum(|counts| counts.started);
    let caller = site.open_request(&request.repeat(2)).await;
    until("the first request runs", || site.running() == 1).await;

    drop(caller);

    until("the request is cancelled", || site.running() == 0).await;
    assert_slot_is_free(&site).await;
    assert_eq!(
        site.sum(|counts| counts.started),
        started + 2,
        "the second request did not run"
    );
    site.finish().await;
}

/// Guards against an answer that goes on to be fetched from the upstream although nobody reads it.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_up_within_the_answer_cancels_the_request() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let head = site.head("POST", "/bench/a?mode=slow-body&size=100000");
    let mut caller = site
        .open_request(&format!("{head}content-length: 0\r\n\r\n"))
        .await;
    let mut beginning = [0; 64];
    tokio::io::AsyncReadExt::read_exact(&mut caller, &mut beginning)
        .await
        .expect("an answer");
    until("the request runs", || site.running() == 1).await;

    drop(caller);

    until("the request is cancelled", || site.running() == 0).await;
    until_noticed(&site).await;
    assert_slot_is_free(&site).await;
    site.finish().await;
}

/// Guards against a caller that closes its sending side early and is told of a success that did not happen.
#[tokio::test(flavor = "multi_thread")]
async fn half_closing_is_hanging_up_and_gets_no_false_answer() {
    let site = Site::open(&narrow(), Limits::default()).await;
    let head = site.head("POST", "/bench/a?mode=never");
    let mut caller = site
        .open_request(&format!("{head}content-length: 0\r\n\r\n"))
        .await;
    until("the request runs", || site.running() == 1).await;

    tokio::io::AsyncWriteExt::shutdown(&mut caller)
        .await
        .expect("half closed");
    let reply = read(&mut caller).await;

    assert_eq!((reply.status, reply.head.as_str()), (0, ""));
    until("the request is cancelled", || site.running() == 0).await;
    site.finish().await;
}

/// Waits until the entry has counted a caller that hung up.
async fn until_noticed(site: &Site) {
    until("the entry has noticed", || {
        site.entry.metrics().hung_up.get() == 1
    })
    .await;
}

async fn assert_slot_is_free(site: &Site) {
    assert_eq!(
        site.post("/bench/b", "").await.status,
        200,
        "the slot is free again"
    );
}

fn queued(site: &Site) -> i64 {
    let dispatch = site
        .deployment
        .vms
        .iter()
        .filter_map(|vm| vm.dispatch.as_ref());
    dispatch
        .map(|dispatch| {
            dispatch
                .metrics()
                .queued
                .with_label_values(&["bench-scheduling"])
                .get()
        })
        .sum()
}
