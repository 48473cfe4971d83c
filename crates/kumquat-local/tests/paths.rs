//! Guards against targets that reach other paths of an upstream than the route allows.

use kumquat_entry::gateway::Limits;

#[path = "fixture/strangers.rs"]
mod fixture;

use fixture::{Site, wide};

/// Guards against a caller that leaves its route by dot segments, for example to give an upstream grants of its own.
#[tokio::test(flavor = "multi_thread")]
async fn dot_segments_do_not_leave_the_route() {
    let site = Site::open(&wide(), Limits::default()).await;
    let received = site.sum(|counts| counts.received);

    for target in [
        "/bench/../grant",
        "/bench/a/../../grant",
        "/bench/./../grant",
        "/bench/%2e%2e/grant",
        "/bench/.%2E/grant",
        "/bench/..\\grant",
        "/bench/a\\..\\..\\grant",
        "/bench/..",
        "/bench/../load?a=b",
        "/grant",
        "/%67rant/",
    ] {
        let reply = site.post(target, "{\"fence\":1}").await;

        assert_eq!(reply.status, 400, "{target}: {reply:?}");
        assert!(
            reply.says("\"error\":\"target-path\""),
            "{target}: {}",
            reply.text()
        );
        assert_eq!(reply.header("kumquat-outcome"), Some("not-run"), "{target}");
    }

    assert_eq!(
        site.sum(|counts| counts.received),
        received,
        "nothing was sent"
    );
    assert_eq!(site.refused("target-path"), 11);
    site.finish().await;
}

/// Guards against a check that turns away names with dots, or dots in a query.
#[tokio::test(flavor = "multi_thread")]
async fn other_dots_are_passed_on() {
    let site = Site::open(&wide(), Limits::default()).await;

    for target in [
        "/bench/a.b",
        "/bench/...",
        "/bench/..a",
        "/bench/a..",
        "/bench/a?b=../c",
        "/bench/a%2fb",
    ] {
        let reply = site.post(target, "").await;

        assert_eq!(reply.status, 200, "{target}: {reply:?}");
        let path = target.split('?').next().unwrap_or_default();
        assert!(reply.says(path), "{target}: {}", reply.text());
    }

    site.finish().await;
}
