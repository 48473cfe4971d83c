//! Guards what callers and upstreams see of a request, whatever the upstream does with it.

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

/// Guards against fields that leak, change or are believed although the caller set them.
#[test]
fn a_request_reaches_its_upstream_with_the_right_fields() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let text = "POST /once/a?b=c HTTP/1.1\r\nHost: shop.example\r\nX-Try: t1\r\nAuthorization: Key k1\r\n\
                    X-Team: forged\r\nX-For: forged\r\nX-Left-Ms: 300\r\nConnection: X-Hop\r\nX-Hop: 1\r\n\
                    X-Kept: 1\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";

        let answer = send_request(router.address, text).await;

        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.ends_with("fine"), "{answer}");
        assert_eq!(header_field(&answer, "X-Sign").as_deref(), Some("s"));
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
        let left: u64 = header_field(&seen[0], "X-Left-Ms")
            .expect("a deadline")
            .parse()
            .expect("a number");
        assert!((200..=300).contains(&left), "{left}");
    });
}

/// Guards against a second run of a request that must run once, and against "not run" being said of one that may have.
#[test]
fn a_request_that_must_run_once_is_not_repeated_after_a_break() {
    let breaks = [
        UpstreamAction::Close,
        UpstreamAction::RawAndClose(
            "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 9\r\n\r\nhalf",
        ),
        UpstreamAction::RawAndClose("no answer in the protocol\r\n\r\n"),
        UpstreamAction::Raw("HTTP/1.1 200 OK\r\nX-Try: ID\r\nContent-Length: 0\r\n\r\n"),
    ];
    for act in breaks {
        run_local_test(async move {
            let one = ScriptedUpstream::bind(&[act]).await;
            let other = ScriptedUpstream::bind(&[act]).await;
            let router = start_router(&[&one, &other]);

            let answer = send_request(router.address, &request("POST", "/once/a", "t1")).await;

            assert_eq!(status(&answer), 502, "{act:?}: {answer}");
            assert_eq!(one.requests().len() + other.requests().len(), 1, "{act:?}");
        });
    }
}

/// Guards against an idempotent request that fails although another upstream could have answered.
#[test]
fn a_request_that_may_be_repeated_goes_to_another_upstream() {
    let breaks = [
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
    for act in breaks {
        run_local_test(async move {
            // The near upstream is preferred at first.
            let near = ScriptedUpstream::bind(&[act]).await;
            let far = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
            let router = start_router(&[&near]);
            let mut other = registration("far", fixture::router::POOL, &far);
            other.data_centre = "dc-b".into();
            router.vm.upsert_upstream(other);

            let answer = send_request(router.address, &request("GET", "/safe/a", "t1")).await;

            assert_eq!(status(&answer), 200, "{act:?}: {answer}");
            assert_eq!(
                (near.requests().len(), far.requests().len()),
                (1, 1),
                "{act:?}"
            );
        });
    }
}

/// Guards against a shed request that is given up although it provably did not run.
#[test]
fn a_shed_request_that_must_run_once_goes_to_another_upstream() {
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

/// Guards against the answer to one request reaching the caller of another.
#[test]
fn a_late_answer_to_another_request_is_skipped() {
    run_local_test(async {
        let both = "HTTP/1.1 200 OK\r\nX-Try: other\r\nX-Sign: s\r\nContent-Length: 5\r\n\r\nother\
                    HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 4\r\n\r\nmine";

        let answer = answer_to(UpstreamAction::Raw(both), "POST", "/once/a").await;

        assert_eq!(status(&answer), 200, "{answer}");
        assert!(answer.ends_with("mine"), "{answer}");
    });
}

/// Guards against a second answer on a kept connection being taken for the answer to the next request.
#[test]
fn bytes_after_an_answer_make_the_connection_unusable() {
    run_local_test(async {
        let twice = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 3\r\n\r\none\
                     HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 3\r\n\r\ntwo";
        let upstream =
            ScriptedUpstream::bind(&[UpstreamAction::Raw(twice), UpstreamAction::Answer("fine")])
                .await;
        let router = start_router(&[&upstream]);

        let first = send_request(router.address, &request("GET", "/safe/a", "same")).await;
        let second = send_request(router.address, &request("GET", "/safe/a", "same")).await;

        assert!(first.ends_with("one"), "{first}");
        assert!(second.ends_with("fine"), "{second}");
    });
}

/// Guards against an answer that has no length being cut or held back.
#[test]
fn an_answer_that_ends_with_its_connection_is_whole() {
    run_local_test(async {
        let text = "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\n\r\nall of it";

        let answer = answer_to(UpstreamAction::RawAndClose(text), "GET", "/safe/a").await;

        assert_eq!(
            header_field(&answer, "Content-Length").as_deref(),
            Some("9")
        );
        assert!(answer.ends_with("all of it"), "{answer}");
    });
}

/// Guards against a failure of the upstream being replaced by an answer of the router's own.
#[test]
fn a_failure_of_the_upstream_passes_unchanged() {
    run_local_test(async {
        let text = "HTTP/1.1 500 Oops\r\nX-Try: ID\r\nX-Sign: s\r\nContent-Length: 4\r\n\r\noops";

        let answer = answer_to(UpstreamAction::Raw(text), "POST", "/once/a").await;

        assert_eq!(status(&answer), 500);
        assert_eq!(header_field(&answer, "X-Sign").as_deref(), Some("s"));
        assert!(answer.ends_with("oops"), "{answer}");
    });
}

/// Guards against callers that are kept waiting past the time that they or their route allow.
#[test]
fn a_silent_upstream_is_given_up_at_the_deadline() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
        let router = start_router(&[&upstream]);
        let started = Instant::now();

        let answer = send_request(router.address, &request("POST", "/once/a", "t1")).await;

        assert_eq!(status(&answer), 504, "{answer}");
        let took = started.elapsed();
        assert!(
            took >= Duration::from_millis(450) && took < Duration::from_millis(750),
            "{took:?}"
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

/// Guards against work that goes on for a caller who has left, and against breaking off what must run once.
#[test]
fn a_caller_that_leaves_ends_only_work_that_may_be_repeated() {
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

/// Guards against requests of strangers that are judged by anything else before their form.
#[test]
fn malformed_requests_are_refused_as_such() {
    let bad = [
        "GET /safe/a HTTP/1.1\r\nX-Try: t\r\n\r\n",
        "GET /safe/a HTTP/1.1\r\nHost: a\r\nHost: b\r\nX-Try: t\r\n\r\n",
        "POST /once/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
        "POST /once/a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab",
        "POST /once/a HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\n",
        "POST /once/a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
        "GET safe HTTP/1.1\r\nHost: a\r\n\r\n",
        "nonsense\r\n\r\n",
    ];
    for text in bad {
        run_local_test(async move {
            let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
            let router = start_router(&[&upstream]);

            let answer = send_request(router.address, text).await;

            assert_eq!(status(&answer), 400, "{text}: {answer}");
            assert_eq!(upstream.requests().len(), 0, "{text}");
        });
    }
}

/// Guards against a head or body above the limits that takes the VM's memory.
#[test]
fn oversized_requests_are_refused() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let filler = "x".repeat(20_000);
        let head = format!("GET /safe/a HTTP/1.1\r\nHost: a\r\nX-Filler: {filler}\r\n\r\n");
        let body = "POST /once/a HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n";

        let answers = (
            send_request(router.address, &head).await,
            send_request(router.address, body).await,
        );

        assert_eq!((status(&answers.0), status(&answers.1)), (431, 413));
    });
}

/// Guards against an unknown key, route or VM state that is answered as something else.
#[test]
fn what_the_desired_state_does_not_allow_is_refused() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let ready = start_router(&[&upstream]);
        let unready = start_unconfigured_router();
        let stranger = request("GET", "/safe/a", "t").replace("Key k1", "Key k2");

        let no_state = send_request(unready.address, &request("GET", "/safe/a", "t")).await;
        let no_key = send_request(ready.address, &stranger).await;
        let no_route = send_request(ready.address, &request("GET", "/other/", "t")).await;

        assert_eq!(status(&no_state), 503);
        assert!(header_field(&no_state, "Retry-After").is_some());
        assert_eq!((status(&no_key), status(&no_route)), (401, 404));
        assert!(!unready.vm.is_ready() && ready.vm.is_ready());
        assert_eq!(upstream.requests().len(), 0);
    });
}

/// Guards against a desired state that goes back to an older version.
#[test]
fn an_older_desired_state_is_not_taken() {
    run_local_test(async {
        let router = start_unconfigured_router();
        router.vm.set_config(config(5));

        router.vm.set_config(config(4));

        let version = router.vm.config().map(|config| config.version);
        assert_eq!(version, Some(5));
    });
}

/// Guards against a team above its rate, and against a refusal without a time to return.
#[test]
fn a_team_above_its_rate_is_told_when_to_return() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let mut limited = config(2);
        limited.teams[0].rate_per_s = 2.0;
        limited.teams[0].burst = 2.0;
        router.vm.set_config(limited);

        let mut statuses = Vec::new();
        for _ in 0..6 {
            let answer = send_request(router.address, &request("GET", "/safe/a", "t")).await;
            if status(&answer) == 429 {
                assert!(header_field(&answer, "Retry-After").is_some(), "{answer}");
            }
            statuses.push(status(&answer));
        }

        assert!(statuses.contains(&429), "{statuses:?}");
        let served = statuses.iter().filter(|status| **status == 200).count();
        assert_eq!(served, upstream.requests().len());
        assert!(served <= 3, "{statuses:?}");
    });
}

/// Guards against a request for a key that reaches an upstream before it owns the key, or is refused during a short move.
#[test]
fn a_request_waits_while_its_key_moves() {
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
        let answer = tokio::task::spawn_local(async move {
            send_request(address, &request("GET", "/keyed/a", "t")).await
        });
        sleep_ms(100).await;
        assert_eq!(old.requests().len() + new.requests().len(), 0);

        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("new", 2, &[]));

        assert!(answer.await.expect("it ends").ends_with("new"));
        assert_eq!(old.requests().len(), 0);
    });
}

/// Opens a router whose keys wait for an owner that is lost, after a first request for one of them.
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

/// Guards against callers who wait in vain for keys whose last owner has to be waited out.
#[test]
fn keys_without_an_owner_are_refused_at_once_after_a_while() {
    run_local_test(async {
        let (_new, router) = open_with_lost_owner().await;
        let started = Instant::now();

        let answer = send_request(router.address, &request("GET", "/keyed/a", "t2")).await;

        assert_eq!(status(&answer), 503, "{answer}");
        assert!(
            started.elapsed() < Duration::from_millis(100),
            "{:?}",
            started.elapsed()
        );
    });
}

/// Guards against an upstream that does not hold a key being asked until the deadline.
#[test]
fn an_upstream_that_does_not_hold_the_key_is_asked_a_few_times_only() {
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

        let answer = send_request(router.address, &request("GET", "/keyed/a", "t")).await;

        assert_eq!(status(&answer), 503, "{answer}");
        assert!(
            upstream.requests().len() <= 3,
            "{}",
            upstream.requests().len()
        );
    });
}

/// Guards against a draining upstream or a closed data centre that still gets requests.
#[test]
fn upstreams_that_leave_get_nothing() {
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

/// Guards against a stop that cuts a request, or keeps callers on a VM that is leaving.
#[test]
fn a_stop_finishes_what_runs_and_closes_kept_connections() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let mut kept = TcpStream::connect(router.address)
            .await
            .expect("a connection");
        let text = request("GET", "/safe/a", "t");
        kept.write_all(text.as_bytes())
            .await
            .expect("it is written");
        let before = read_answer(&mut kept).await;

        router.vm.begin_shutdown();
        sleep_ms(50).await;
        kept.write_all(text.as_bytes())
            .await
            .expect("it is written");
        let during = read_answer(&mut kept).await;
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

/// Guards against keys that have to be waited out because a coordinator can't ask an upstream that left the registry.
#[test]
fn an_upstream_that_has_left_can_still_be_asked_for_its_keys() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);

        router.vm.remove_upstream("u0");

        let known = router.vm.upstream("u0").map(|server| server.address);
        assert_eq!(known, Some(upstream.address));
        assert!(router.vm.upstreams(fixture::router::POOL).is_empty());
    });
}

/// Guards against the keys of a later, short move being refused at once because those of an earlier one had no owner for long.
#[test]
fn a_later_move_of_the_same_keys_is_waited_for() {
    run_local_test(async {
        let (_new, router) = open_with_lost_owner().await;

        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("new", 3, &["old"]));
        let address = router.address;
        let answer = tokio::task::spawn_local(async move {
            send_request(address, &request("GET", "/keyed/a", "t2")).await
        });
        sleep_ms(50).await;
        router
            .vm
            .set_ownership_map(&KEYED.into(), single_owner_map("new", 3, &[]));

        assert!(answer.await.expect("it ends").ends_with("new"));
    });
}

/// Guards against a request or an order that arrives after a partition although its sender has given it up: only a reset
/// discards what is still on its way.
#[test]
fn what_is_given_up_is_reset() {
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

/// Guards against requests that are lost again and again because upstreams forget idle connections.
#[test]
fn forgotten_connections_lose_one_request_at_most() {
    run_local_test(async {
        let rest = Duration::from_millis(60);
        let upstream =
            ScriptedUpstream::bind(&[UpstreamAction::AnswerThenReset("fine", rest)]).await;
        let router = start_router(&[&upstream]);

        let mut failed = 0;
        for number in 0..6 {
            let text = request("POST", "/once/a", &format!("t{number}"));
            let answer = send_request(router.address, &text).await;
            failed += u32::from(status(&answer) != 200);
            sleep_ms(120).await;
        }

        assert!(failed <= 1, "{failed} of 6 failed");
    });
}
