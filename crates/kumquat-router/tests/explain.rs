//! Tests the page that tells where a request would go.

mod fixture {
    pub mod router;
}

use std::sync::Arc;

use fixture::router::{
    KEYED, POOL, Router, ScriptedUpstream, UpstreamAction, config, header_field, registration,
    request, run_local_test, send_request, single_owner_map, sleep_ms, start_request, start_router,
    status,
};
use kumquat_router::explain::{self, Explanation, Question};

/// A genuine response with a limit of three requests in five seconds, so that a test ends before the next one is allowed.
const LIMITED: UpstreamAction = UpstreamAction::Raw(
    "HTTP/1.1 200 OK\r\nX-Try: ID\r\nX-Sign: s\r\nX-Limit: 0.6\r\nContent-Length: 2\r\n\r\nok",
);

/// Returns the request in question that `fixture::router::request` returns as text.
fn question(path: &str) -> Question {
    let header = |name: &str, value: &str| (name.to_owned(), value.to_owned());
    Question {
        host: "shop.example".to_owned(),
        path: path.to_owned(),
        method: "GET".to_owned(),
        headers: vec![header("Authorization", "Key k1"), header("X-Key", "7")],
        body_bytes: 0,
    }
}

/// Returns the page's explanation.
fn ask(router: &Router, question: &Question) -> Explanation {
    let page = explain::page(&router.vm, "GET", &question.target());
    let (status, body) = page.expect("a page");
    assert_eq!(status, 200, "{}", String::from_utf8_lossy(&body));
    serde_json::from_slice(&body).expect("an explanation")
}

/// Returns what keeps each upstream from taking the request, by name.
fn obstacles(explanation: &Explanation) -> Vec<(&str, Option<&str>)> {
    let upstreams = explanation.upstreams.iter();
    upstreams
        .map(|upstream| (&*upstream.name, upstream.obstacle.as_deref()))
        .collect()
}

/// Guards against an explanation that names another upstream, or another reason, than the request meets.
#[test]
fn a_request_that_would_be_served_names_its_upstream_and_what_keeps_the_others_from_it() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let mut draining = registration("gone", POOL, &upstream);
        draining.is_draining = true;
        router.vm.upsert_upstream(draining);
        let mut closed = registration("shut", POOL, &upstream);
        closed.data_centre = Arc::from("dc-b");
        router.vm.upsert_upstream(closed);
        router.vm.set_closed_data_centres(vec![Arc::from("dc-b")]);

        let explanation = ask(&router, &question("/safe/a?b=%20c"));
        let sent_before = upstream.requests().len();
        let served = send_request(router.address, &request("GET", "/safe/a", "t")).await;

        assert!(explanation.is_sent);
        assert_eq!(explanation.selected.as_deref(), Some("u0"));
        assert_eq!(explanation.route.as_deref(), Some("safe"));
        assert_eq!(explanation.team.as_deref(), Some("pilots"));
        assert_eq!(explanation.service.as_deref(), Some(POOL));
        assert_eq!(
            obstacles(&explanation),
            [
                ("gone", Some("draining")),
                ("shut", Some("closed data centre")),
                ("u0", None)
            ]
        );
        assert_eq!((sent_before, status(&served)), (0, 200));
    });
}

/// Guards against a rejection that differs from the one that the request gets.
#[test]
fn a_request_that_would_be_rejected_has_the_status_and_time_of_the_rejection() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[LIMITED]).await;
        let router = start_router(&[&upstream]);
        for number in 0..10 {
            let text = request("GET", "/safe/a", &format!("t{number}"));
            send_request(router.address, &text).await;
        }
        let mut without_caller_key = question("/safe/a");
        without_caller_key.headers.clear();

        let limited = ask(&router, &question("/safe/a"));
        let refused = send_request(router.address, &request("GET", "/safe/a", "t")).await;
        let unknown = ask(&router, &without_caller_key);
        let unrouted = ask(&router, &question("/other"));
        let mut too_large = question("/safe/a");
        too_large.body_bytes = usize::MAX;
        let too_large = ask(&router, &too_large);

        assert!(!limited.is_sent);
        let rejection = limited.rejection.clone().expect("a rejection");
        assert!(refused.contains(&rejection.reason), "{refused}");
        assert_eq!((rejection.status, status(&refused)), (503, 503));
        let retry_after_s: f64 = header_field(&refused, "Retry-After")
            .and_then(|seconds| seconds.parse().ok())
            .expect("a time");
        let explained_s = rejection.retry_after_s.expect("a time");
        assert!((explained_s - retry_after_s).abs() < 0.3, "{explained_s}");
        assert_eq!(obstacles(&limited), [("u0", Some("request limit"))]);
        let statuses = [unknown, unrouted, too_large]
            .map(|explanation| explanation.rejection.map(|rejection| rejection.status));
        assert_eq!(statuses, [Some(401), Some(404), Some(413)]);
    });
}

/// Guards against an explanation that ignores the team's rate.
#[test]
fn a_request_above_its_teams_rate_would_be_rejected() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[&upstream]);
        let mut limited = config(2);
        limited.teams[0].rate_per_s = 0.01;
        limited.teams[0].burst = 1.0;
        router.vm.set_config(limited);

        let explanation = ask(&router, &question("/safe/a"));
        let refused = send_request(router.address, &request("GET", "/safe/a", "t")).await;

        let rejection = explanation.rejection.expect("a rejection");
        assert_eq!((rejection.status, status(&refused)), (429, 429));
        assert!(refused.contains(&rejection.reason), "{refused}");
    });
}

/// Guards against a full fleet that looks like one without upstreams, and against requests in the queue that are ignored.
#[test]
fn a_request_that_would_wait_is_queued_behind_those_that_wait() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
        let router = start_router(&[&upstream]);
        // Two requests in the slots, two in the upstream's queue, one in that of the VM.
        let mut open = Vec::new();
        for number in 0..5 {
            let text = request("GET", "/safe/a", &format!("t{number}"));
            open.push(start_request(&router, &text).await);
        }
        sleep_ms(50).await;

        let explanation = ask(&router, &question("/safe/a"));

        assert_eq!(obstacles(&explanation), [("u0", Some("full"))]);
        assert_eq!((explanation.selected, explanation.queued_ahead), (None, 1));
        assert!(explanation.is_sent);
        // One request ahead, a mean latency of 70 ms and two slots.
        assert!((explanation.expected_wait_ms - 35.0).abs() < 1.0);
    });
}

/// Guards against a keyed request that is explained by upstreams which may not have it.
#[test]
fn a_keyed_request_names_the_owner_of_its_key_and_its_grant() {
    run_local_test(async {
        let upstream = ScriptedUpstream::bind(&[UpstreamAction::Answer("fine")]).await;
        let router = start_router(&[]);
        for name in ["old", "owner"] {
            router
                .vm
                .upsert_upstream(registration(name, KEYED, &upstream));
        }
        let set_map = |token, previous: &[&str]| {
            let map = single_owner_map("owner", token, previous);
            router.vm.set_ownership_map(&KEYED.into(), map);
        };

        set_map(1, &["old"]);
        let moving = ask(&router, &question("/keyed/a"));
        set_map(2, &[]);
        let granted = ask(&router, &question("/keyed/a"));

        let not_owner = Some("not the owner");
        let owner = |explanation: &Explanation| {
            let owner = explanation.owner.clone().expect("an owner");
            (owner.name, owner.has_grant, owner.previous_owners)
        };
        assert_eq!((moving.key, granted.key), (Some(7), Some(7)));
        assert_eq!(
            owner(&moving),
            ("owner".to_owned(), false, vec!["old".to_owned()])
        );
        assert_eq!(moving.selected, None);
        let waits = Some("a previous owner may still hold the key");
        assert_eq!(obstacles(&moving), [("old", not_owner), ("owner", waits)]);
        assert_eq!(owner(&granted), ("owner".to_owned(), true, Vec::new()));
        assert_eq!(granted.selected.as_deref(), Some("owner"));
        assert_eq!(obstacles(&granted), [("old", not_owner), ("owner", None)]);
    });
}

/// Guards against a question that takes a token, reserves a slot, advances a split or counts as a request.
#[test]
fn asking_changes_neither_the_state_nor_the_metrics_nor_the_reports() {
    run_local_test(async {
        let busy = ScriptedUpstream::bind(&[UpstreamAction::NeverAnswer]).await;
        let limited = ScriptedUpstream::bind(&[LIMITED]).await;
        let cold = ScriptedUpstream::bind(&[UpstreamAction::Answer("cold")]).await;
        let router = start_router(&[&limited]);
        let mut limited_team = config(2);
        limited_team.teams[0].rate_per_s = 20.0;
        limited_team.teams[0].burst = 20.0;
        router.vm.set_config(limited_team);
        // A team's tokens accrue from the start of the VM.
        sleep_ms(500).await;
        let first = send_request(router.address, &request("GET", "/safe/a", "t")).await;
        let mut warming = registration("warming", POOL, &cold);
        warming.warmup_remaining = std::time::Duration::from_mins(1);
        router.vm.upsert_upstream(warming);
        router
            .vm
            .upsert_upstream(registration("owner", KEYED, &busy));
        let map = single_owner_map("owner", 1, &[]);
        router.vm.set_ownership_map(&KEYED.into(), map);
        let _open = start_request(&router, &request("GET", "/keyed/a", "t")).await;
        sleep_ms(50).await;
        let state = || format!("{:?}", router.vm);
        // Rendering exchanges the internal buffers of histograms, so that the state is compared in between.
        let metrics_before = router.vm.metrics.render();
        let state_before = state();

        let answer = ask(&router, &question("/safe/a"));
        for path in ["/safe/a", "/once/a", "/keyed/a", "/other"] {
            for _ in 0..20 {
                ask(&router, &question(path));
            }
        }
        let state_after = state();
        let metrics_after = router.vm.metrics.render();
        let again = ask(&router, &question("/safe/a"));
        let third = send_request(router.address, &request("GET", "/safe/a", "t")).await;

        assert_eq!(status(&first), 200);
        assert!(state_before == state_after, "the state has changed");
        assert_eq!(
            String::from_utf8_lossy(&metrics_before),
            String::from_utf8_lossy(&metrics_after)
        );
        // More questions were asked than the team and the warm-up have tokens.
        assert_eq!(answer.selected.as_deref(), Some("warming"));
        assert_eq!(answer.selected, again.selected);
        assert!(third.ends_with("cold"), "{third}");
    });
}

/// Guards against malformed questions that are taken for others, and against a page for other methods.
#[test]
fn malformed_questions_are_rejected() {
    run_local_test(async {
        let router = start_router(&[]);
        let ask = |method: &str, target: &str| {
            let page = explain::page(&router.vm, method, target);
            page.map(|(status, _)| status)
        };

        let malformed = [
            "/explain",
            "/explain?host=a",
            "/explain?host=a&path=b",
            "/explain?host=a&path=%2",
            "/explain?host=a&path=/%+2",
            "/explain?host=a&path=/&header=b",
            "/explain?host=a&path=/&body_bytes=-1",
            "/explain?host=a&path=/&c=d",
        ];
        let statuses = malformed.map(|target| ask("GET", target));

        assert_eq!(statuses, [Some(400); 8]);
        assert_eq!(ask("POST", "/explain?host=a&path=/"), None);
        assert_eq!(ask("GET", "/explained"), None);
    });
}
