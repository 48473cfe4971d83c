//! Tests what callers and upstreams receive for a request, for correct, failing and silent upstreams.

mod fixture {
    pub mod router;
}

use std::time::Duration;

use fixture::router::{
    KEYED, ScriptedUpstream, UpstreamAction, answer_to, config, header_field, read_answer,
    registration, request, run_local_test, send_request, single_owner_map, sleep_ms, start_router,
    start_unconfigured_router, status,
};
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time::Instant;

/// Guards against hop-by-hop fields and credentials that reach the upstream, end-to-end fields that change, and fields
/// of the router that are taken over from the caller.
#[test]
fn request_headers_are_rewritten_for_the_upstream() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let text = "POST /once/a?b=c HTTP/1.1\r\nHost: shop.example\r\nX-Try: t1\r\nAuthorization: Key k1\r\n\
                    X-Team: forged\r\nX-For: forged\r\nX-Left-Ms: 300\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\
                    X-Kept: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

        let response = send_request(router.address, text).await;

        assert_eq!(status(&response), 200, "{response}");
        assert!(response.ends_with("fine"), "{response}");
        assert_eq!(header_field(&response, "X-Sign").as_deref(), Some("s"));
        let seen = upstream.requests();
        assert_eq!(seen.len(), 1);
        assert!(
            seen[0].starts_with("POST /once/a?b=c HTTP/1.1\r\n"),
            "{}",
            seen[0]
        );
        assert!(seen[0].ends_with("\r\n\r\nbody"), "{}", seen[0]);
        assert_eq!(header_field(&seen[0], "X-Team").as_deref(), Some("pilots"));
        assert_eq!(header_field(&seen[0], "X-For").as_deref(), Some("u0"));
        assert_eq!(header_field(&seen[0], "X-Kept").as_deref(), Some("1"));
        assert_eq!(header_field(&seen[0], "X-Try").as_deref(), Some("t1"));
        assert!(
            !seen[0].contains("forged") && !seen[0].contains("X-Hop"),
            "{}",
            seen[0]
        );
        assert!(
            !seen[0].contains("k1"),
            "the caller key reached the upstream"
        );
        let remaining_ms: u64 = header_field(&seen[0], "X-Left-Ms")
            .expect("a deadline")
            .parse()
            .expect("a number");
        assert!((200..=300).contains(&remaining_ms), "{remaining_ms}");
    });
}

/// Guards against a retry of a non-idempotent request that may have been executed, and against a 503 for it, which
/// would guarantee that it was not.
#[test]
fn non_idempotent_request_is_not_retried_after_a_failed_exchange() {
    let failing_acts = [
        UpstreamAction::Close,
        UpstreamAction::RawAndClose(
            "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 9\r\n\r\nhalf",
        ),
        UpstreamAction::RawAndClose("no answer in the protocol\r\n\r\n"),
        UpstreamAction::Raw("HTTP/1.1 200 OK\r\nX-Try: ID\r\nContent-Length: 0\r\n\r\n"),
    ];
    for act in failing_acts {
        run_local_test(async move {
            let one = ScriptedUpstream::bind(&[act]).await;
            let other = ScriptedUpstream::bind(&[act]).await;
            let router = start_router(&[&one, &other]);

            let response = send_request(router.address, &request("POST", "/once/a", "t1")).await;

            assert_eq!(status(&response), 502, "{act:?}: {response}");
            assert_eq!(one.requests().len() + other.requests().len(), 1, "{act:?}");
        });
    }
}

/// Guards against an idempotent request that fails although another upstream could have served it.
#[test]
fn idempotent_request_is_retried_at_another_upstream() {
    let failing_acts = [
        UpstreamAction::Close,
        UpstreamAction::RawAndClose(
            "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 9\r\n\r\nhalf",
        ),
        UpstreamAction::Raw(
            "HTTP/1.1 503 Busy\r\nX-Try: ID\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n",
        ),
        UpstreamAction::Raw(
            "HTTP/1.1 500 Oops\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 0\r\n\r\n",
        ),
    ];
    for act in failing_acts {
        run_local_test(async move {
            // The upstream in the local data centre is preferred for the first attempt.
            let near = ScriptedUpstream::bind(&[act]).await;
            let far = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
            let router = start_router(&[&near]);
            let mut other = registration("far", fixture::router::POOL, &far);
            other.data_centre = "dc-b".into();
            router.vm.upsert_upstream(other);

            let response = send_request(router.address, &request("GET", "/safe/a", "t1")).await;

            assert_eq!(status(&response), 200, "{act:?}: {response}");
            assert_eq!(
                (near.requests().len(), far.requests().len()),
                (1, 1),
                "{act:?}"
            );
        });
    }
}

/// Guards against a non-idempotent request that is not retried after an upstream has stated that it did not execute it.
#[test]
fn shed_non_idempotent_request_is_retried_at_another_upstream() {
    run_local_test(async {
        let shed = "HTTP/1.1 503 Busy\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n";
        let one = ScriptedUpstream::bind(&[UpstreamAction::Raw(shed)]).await;
        let other =
            ScriptedUpstream::bind(&[UpstreamAction::Raw(shed), UpstreamAction::Answer("fine")])
                .await;
        let router = start_router(&[&one, &other]);

        let first = send_request(router.address, &request("POST", "/once/a", "t1")).await;

        assert_eq!(status(&first), 503, "{first}");
        assert!(header_field(&first, "Retry-After").is_some(), "{first}");
        assert_eq!(one.requests().len() + other.requests().len(), 2);
    });
}

/// Guards against the response to one request reaching the caller of another.
#[test]
fn response_with_the_id_of_another_request_is_skipped() {
    run_local_test(async {
        let other_then_own = "HTTP/1.1 200 OK\r\nX-Try: other\r\nX-Sign: s\r\nContent-Length: 5\r\n\r\nother\
                    HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 4\r\n\r\nmine";

        let response = answer_to(UpstreamAction::Raw(other_then_own), "POST", "/once/a").await;

        assert_eq!(status(&response), 200, "{response}");
        assert!(response.ends_with("mine"), "{response}");
    });
}

/// Guards against a surplus response on a pooled connection being taken for the response to the next request.
#[test]
fn connection_with_bytes_after_the_response_is_not_reused() {
    run_local_test(async {
        let two_responses = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 3\r\n\r\none\
                     HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 3\r\n\r\ntwo";
        let upstream = ScriptedUpstream::bind(&[
            UpstreamAction::Raw(two_responses),
            UpstreamAction::Answer("fine"),
        ])
        .await;
        let router = start_router(&[&upstream]);

        let first = send_request(router.address, &request("GET", "/safe/a", "same")).await;
        let second = send_request(router.address, &request("GET", "/safe/a", "same")).await;

        assert!(first.ends_with("one"), "{first}");
        assert!(second.ends_with("fine"), "{second}");
    });
}

/// Guards against a response that is delimited by the end of its connection being truncated or withheld.
#[test]
fn close_delimited_response_is_complete() {
    run_local_test(async {
        let text = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\n\r\nall of it";

        let response = answer_to(UpstreamAction::RawAndClose(text), "GET", "/safe/a").await;

        assert_eq!(
            header_field(&response, "Content-Length").as_deref(),
            Some("9")
        );
        assert!(response.ends_with("all of it"), "{response}");
    });
}

/// Guards against a 5xx response of the upstream being replaced by one that the router generates.
#[test]
fn server_error_of_the_upstream_is_relayed_unchanged() {
    run_local_test(async {
        let text = "HTTP/1.1 500 Oops\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 4\r\n\r\noops";

        let response = answer_to(UpstreamAction::Raw(text), "POST", "/once/a").await;

        assert_eq!(status(&response), 500);
        assert_eq!(header_field(&response, "X-Sign").as_deref(), Some("s"));
        assert!(response.ends_with("oops"), "{response}");
    });
}

/// Guards against callers that wait beyond the deadline of their request when the upstream never responds.
#[test]
fn request_to_a_silent_upstream_ends_at_the_deadline() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
        let router = start_router(&[&upstream]);
        let started = Instant::now();

        let response = send_request(router.address, &request("POST", "/once/a", "t1")).await;

        assert_eq!(status(&response), 504, "{response}");
        let elapsed = started.elapsed();
        assert!(
            elapsed >= Duration::from_millis(450) && elapsed < Duration::from_millis(750),
            "{elapsed:?}"
        );
        sleep_ms(50).await;
        assert_eq!(upstream.abandoned(), 1);
        let requests = upstream
            .requests()
            .into_iter()
            .filter(|seen| seen.starts_with("POST"));
        assert_eq!(requests.count(), 1);
    });
}

/// Guards against idempotent requests that continue after their caller has disconnected, and against aborting requests
/// that are not idempotent.
#[test]
fn disconnect_of_the_caller_aborts_only_idempotent_requests() {
    for (path, method, left) in [("/safe/a", "GET", 1), ("/once/a", "POST", 0)] {
        run_local_test(async move {
            let upstream = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
            let router = start_router(&[&upstream]);
            let mut stream = TcpStream::connect(router.address)
                .await
                .expect("a connection");
            let text = request(method, path, "t1");
            stream
                .write_all(text.as_bytes())
                .await
                .expect("it is written");
            sleep_ms(100).await;

            drop(stream);
            sleep_ms(150).await;

            assert_eq!(upstream.abandoned(), left, "{path}");
        });
    }
}

/// Guards against malformed requests that get another status than 400, such as one for an unknown caller key or route.
#[test]
fn malformed_requests_get_status_400() {
    let malformed_requests = [
        "GET /safe/a HTTP/1.1\r\nX-Try: t\r\n\r\n",
        "GET /safe/a HTTP/1.1\r\nHost: a\r\nHost: b\r\nX-Try: t\r\n\r\n",
        "POST /once/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /once/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST /once/a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST /once/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "GET safe HTTP/1.1\r\nHost: a\r\n\r\n",
        "nonsense\r\n\r\n",
    ];
    for text in malformed_requests {
        run_local_test(async move {
            let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
            let router = start_router(&[&upstream]);

            let response = send_request(router.address, text).await;

            assert_eq!(status(&response), 400, "{text}: {response}");
            assert_eq!(upstream.requests().len(), 0, "{text}");
        });
    }
}

/// Guards against a head or body above the limits that exhausts the VM's memory.
#[test]
fn oversized_head_and_body_are_rejected() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let filler = "x".repeat(20_000);
        let head = format!("GET /safe/a HTTP/1.1\r\nHost: a\r\nX-Filler: {filler}\r\n\r\n");
        let body = "POST /once/a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";

        let responses = (
            send_request(router.address, &head).await,
            send_request(router.address, body).await,
        );

        assert_eq!((status(&responses.0), status(&responses.1)), (431, 413));
    });
}

/// Guards against a wrong status for an unknown caller key, an unknown route and a VM without a desired state.
#[test]
fn unknown_key_and_route_and_missing_desired_state_are_rejected() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let ready = start_router(&[&upstream]);
        let unready = start_unconfigured_router();
        let unknown_key = request("GET", "/safe/a", "t").replace("Key k1", "Key k2");

        let without_state = send_request(unready.address, &request("GET", "/safe/a", "t")).await;
        let no_key = send_request(ready.address, &unknown_key).await;
        let no_route = send_request(ready.address, &request("GET", "/other/", "t")).await;

        assert_eq!(status(&without_state), 503);
        assert!(header_field(&without_state, "Retry-After").is_some());
        assert_eq!((status(&no_key), status(&no_route)), (401, 404));
        assert!(!unready.vm.is_ready() && ready.vm.is_ready());
        assert_eq!(upstream.requests().len(), 0);
    });
}

/// Guards against a desired state that is replaced by an older version.
#[test]
fn older_desired_state_is_ignored() {
    run_local_test(async {
        let router = start_unconfigured_router();
        router.vm.set_config(config(5));

        router.vm.set_config(config(4));

        let version = router.vm.config().map(|config| config.version);
        assert_eq!(version, Some(5));
    });
}

/// Guards against a team that exceeds its rate limit, and against a 429 without `Retry-After`.
#[test]
fn team_above_its_rate_limit_gets_429_with_retry_after() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let mut limited = config(2);
        limited.teams[0].rate_per_s = 2.0;
        limited.teams[0].burst = 2.0;
        router.vm.set_config(limited);

        let mut statuses = Vec::new();
        for _ in 0..6 {
            let response = send_request(router.address, &request("GET", "/safe/a", "t")).await;
            if status(&response) == 429 {
                assert!(
                    header_field(&response, "Retry-After").is_some(),
                    "{response}"
                );
            }
            statuses.push(status(&response));
        }

        assert!(statuses.contains(&429), "{statuses:?}");
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(served, upstream.requests().len());
        assert!(served <= 3, "{statuses:?}");
    });
}

/// Guards against a keyed request that reaches an upstream before it owns the key, or is rejected during a short move
/// of the key to another owner.
#[test]
fn keyed_request_waits_while_its_key_is_moved() {
    run_local_test(async {
        let old = ScriptedUpstream::bind(&[UpstreamAction::Answer("old")]).await;
        let new = ScriptedUpstream::bind(&[UpstreamAction::Answer("new")]).await;
        let router = start_router(&[]);
        router.vm.upsert_upstream(registration("old", KEYED, &old));
        router.vm.upsert_upstream(registration("new", KEYED, &new));
        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("new", 2, &["old"]));
        let address = router.address;
        let response = tokio::task::spawn_local(async move {
            send_request(address, &request("GET", "/keyed/a", "t")).await
        });
        sleep_ms(100).await;
        assert_eq!(old.requests().len() + new.requests().len(), 0);

        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("new", 2, &[]));

        assert!(response.await.expect("it ends").ends_with("new"));
        assert_eq!(old.requests().len(), 0);
    });
}

/// Opens a router whose keys wait for the release by a previous owner that is lost, and sends a first request for one
/// of them.
async fn open_with_lost_owner() -> (ScriptedUpstream, fixture::router::Router) {
    let new = ScriptedUpstream::bind(&[UpstreamAction::Answer("new")]).await;
    let router = start_router(&[]);
    router.vm.upsert_upstream(registration("new", KEYED, &new));
    router
        .vm
        .set_ownership_map(&KEYED.into(), single_owner_map("new", 2, &["lost"]));
    send_request(router.address, &request("GET", "/keyed/a", "t1")).await;
    sleep_ms(100).await;
    (new, router)
}

/// Guards against callers that wait until their deadline for a key whose grant to a lost owner has to expire first.
#[test]
fn request_for_a_key_that_lost_its_owner_is_rejected_at_once() {
    run_local_test(async {
        let (_new, router) = open_with_lost_owner().await;
        let started = Instant::now();

        let response = send_request(router.address, &request("GET", "/keyed/a", "t2")).await;

        assert_eq!(status(&response), 503, "{response}");
        assert!(
            started.elapsed() < Duration::from_millis(100),
            "{:?}",
            started.elapsed()
        );
    });
}

/// Guards against retries until the deadline at an upstream that does not hold the key.
#[test]
fn retries_after_misdirected_responses_are_limited() {
    run_local_test(async {
        let text = "HTTP/1.1 421 Misdirected\r\nX-Try: ID\r\nContent-Length: 0\r\n\r\n";
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Raw(text)]).await;
        let router = start_router(&[]);
        router
            .vm
            .upsert_upstream(registration("u", KEYED, &upstream));
        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("u", 2, &[]));

        let response = send_request(router.address, &request("GET", "/keyed/a", "t")).await;

        assert_eq!(status(&response), 503, "{response}");
        assert!(
            upstream.requests().len() <= 3,
            "{}",
            upstream.requests().len()
        );
    });
}

/// Guards against requests that are sent to a draining upstream or a closed data centre.
#[test]
fn draining_upstream_and_closed_data_centre_get_no_requests() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let mut draining = registration("u0", fixture::router::POOL, &upstream);
        draining.is_draining = true;

        router.vm.upsert_upstream(draining);
        let drained = send_request(router.address, &request("GET", "/safe/a", "t")).await;
        router
            .vm
            .upsert_upstream(registration("u0", fixture::router::POOL, &upstream));
        router.vm.set_closed_data_centres(vec!["dc-a".into()]);
        let closed = send_request(router.address, &request("GET", "/safe/a", "t")).await;
        router.vm.set_closed_data_centres(Vec::new());
        let back = send_request(router.address, &request("GET", "/safe/a", "t")).await;

        assert_eq!(
            (status(&drained), status(&closed), status(&back)),
            (503, 503, 200)
        );
        assert_eq!(upstream.requests().len(), 1);
    });
}

/// Guards against a shutdown that aborts a request, or keeps callers' connections open on a VM that is shutting down.
#[test]
fn shutdown_serves_open_requests_and_closes_idle_connections() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let mut connection = TcpStream::connect(router.address)
            .await
            .expect("a connection");
        let text = request("GET", "/safe/a", "t");
        connection
            .write_all(text.as_bytes())
            .await
            .expect("it is written");
        let before = read_answer(&mut connection).await;

        router.vm.begin_shutdown();
        sleep_ms(50).await;
        connection
            .write_all(text.as_bytes())
            .await
            .expect("it is written");
        let during = read_answer(&mut connection).await;
        let ended = tokio::time::timeout(Duration::from_secs(2), router.accept_task).await;

        assert!(header_field(&before, "Connection").is_none(), "{before}");
        assert_eq!(status(&during), 200);
        assert_eq!(
            header_field(&during, "Connection").as_deref(),
            Some("close")
        );
        assert!(!router.vm.is_ready());
        assert!(ended.is_ok(), "the process does not end");
    });
}

/// Guards against a wait for the expiry of grants because a coordinator can't reach an owner that left the registry.
#[test]
fn removed_upstream_can_still_be_looked_up_by_name() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);

        router.vm.remove_upstream("u0");

        let known = router.vm.upstream("u0").map(|server| server.address);
        assert_eq!(known, Some(upstream.address));
        assert!(router.vm.upstreams(fixture::router::POOL).is_empty());
    });
}

/// Guards against requests that are rejected at once during a short move of keys because the same keys had no owner for
/// a long time in an earlier move.
#[test]
fn request_waits_for_a_later_move_of_keys_that_lost_their_owner() {
    run_local_test(async {
        let (_new, router) = open_with_lost_owner().await;

        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("new", 3, &["old"]));
        let address = router.address;
        let response = tokio::task::spawn_local(async move {
            send_request(address, &request("GET", "/keyed/a", "t2")).await
        });
        sleep_ms(50).await;
        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("new", 3, &[]));

        assert!(response.await.expect("it ends").ends_with("new"));
    });
}

/// Guards against a request or a call of the coordinator that is delivered after a partition although its sender has
/// abandoned it: only a reset of the connection discards the data that is still in flight.
#[test]
fn connection_of_an_abandoned_request_is_reset() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
        let router = start_router(&[&upstream]);

        send_request(router.address, &request("POST", "/once/a", "t1")).await;
        sleep_ms(50).await;

        assert_eq!(
            upstream.requests().last().map(String::as_str),
            Some("ConnectionReset")
        );
    });
}

/// Guards against repeated failures of requests because an upstream drops idle connections without notice.
#[test]
fn stale_pooled_connections_fail_at_most_one_request() {
    run_local_test(async {
        let idle_time = Duration::from_millis(60);
        let upstream =
            ScriptedUpstream::bind(&[UpstreamAction::AnswerThenReset("fine", idle_time)]).await;
        let router = start_router(&[&upstream]);

        let mut failed = 0;
        for number in 0..6 {
            let text = request("POST", "/once/a", &format!("t{number}"));
            let response = send_request(router.address, &text).await;
            failed += u32::from(status(&response) != 200);
            sleep_ms(120).await;
        }

        assert!(failed <= 1, "{failed} of 6 failed");
    });
}
