//! Tests of the upstream stand-in over plain HTTP; the client's own tests cover grants, cancellation and failures.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use kumquat_standins::observation::Ledger;
use kumquat_standins::upstream::{self, Mode, Options, ServiceTime, Status, Upstream};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use reqwest::{Client, RequestBuilder, Response, StatusCode};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;

/// Bound on waits that have to end, far above what a slow machine needs.
const AMPLE: Duration = Duration::from_mins(1);

async fn upstream(options: Options) -> (Upstream, Ledger) {
    let ledger = Ledger::default();
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let upstream = upstream::bind(address, options, ledger.clone()).await;
    (upstream.expect("free port"), ledger)
}

fn get(upstream: &Upstream, path: &str) -> RequestBuilder {
    Client::new().get(format!("{}{path}", upstream.url()))
}

fn spawn(request: RequestBuilder) -> JoinHandle<Response> {
    tokio::spawn(async move { request.send().await.expect("answer") })
}

fn outcome(response: &Response) -> (StatusCode, Option<&str>) {
    let outcome = response.headers().get("kumquat-outcome");
    let outcome = outcome.and_then(|outcome| outcome.to_str().ok());
    (response.status(), outcome)
}

async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
    };
    tokio::time::timeout(AMPLE, wait).await.expect("condition");
}

/// Guards against an upstream that takes more than its slots and its backlog, or runs more than its slots.
#[tokio::test]
async fn requests_beyond_slots_and_backlog_are_shed() {
    let options = Options {
        slots: 1,
        backlog: 1,
        ..Options::default()
    };
    let (upstream, ledger) = upstream(options).await;
    let running = spawn(get(&upstream, "/?mode=never"));
    until(|| upstream.counts().running == 1).await;
    let waiting = spawn(get(&upstream, "/"));
    until(|| upstream.counts().waiting == 1).await;

    let shed = get(&upstream, "/").send().await.expect("answer");

    let expected = (StatusCode::SERVICE_UNAVAILABLE, Some("not-run"));
    assert_eq!(outcome(&shed), expected);
    assert_eq!(ledger.report().runs, 1);
    running.abort();
    let answered = waiting.await.expect("task");
    assert_eq!(answered.status(), StatusCode::OK);
    upstream.stop().await;
}

/// Guards against work after the deadline, and against a refusal that does not tell whether the request ran.
#[tokio::test]
async fn deadlines_end_running_and_waiting_requests() {
    let options = Options {
        slots: 1,
        ..Options::default()
    };
    let (upstream, _) = upstream(options).await;
    let late = |path| get(&upstream, path).header("kumquat-deadline-ms", 1);

    let ran = late("/?service-ms=3600000").send().await.expect("answer");
    let blocking = spawn(get(&upstream, "/?mode=never"));
    until(|| upstream.counts().running == 1).await;
    let waited = late("/").send().await.expect("answer");

    let unknown = (StatusCode::GATEWAY_TIMEOUT, Some("unknown"));
    let not_run = (StatusCode::SERVICE_UNAVAILABLE, Some("not-run"));
    assert_eq!(outcome(&ran), unknown);
    assert_eq!(outcome(&waited), not_run);
    assert_eq!(upstream.counts().expired, 2);
    blocking.abort();
    upstream.stop().await;
}

/// Guards against an overloaded cold start that goes unnoticed, and against counting a load that the upstream bears.
#[tokio::test]
async fn load_above_the_cold_limit_is_counted() {
    let options = Options {
        slots: 3,
        backlog: 1,
        cold_slots: 1,
        cold_step: 2,
        starts_cold: true,
        ..Options::default()
    };
    let (upstream, ledger) = upstream(options).await;

    // Two completed requests raise the limit from 1 to 2.
    for _ in 0..2 {
        get(&upstream, "/").send().await.expect("answer");
    }
    let first = spawn(get(&upstream, "/?mode=never"));
    until(|| upstream.counts().running == 1).await;
    let second = spawn(get(&upstream, "/?mode=never"));
    until(|| upstream.counts().running == 2).await;
    let borne = ledger.report();
    let third = spawn(get(&upstream, "/?mode=never"));
    until(|| upstream.counts().running == 3).await;
    let above = ledger.report();

    assert_eq!(borne.cold_overload, 0, "{borne:?}");
    assert_eq!((above.cold_overload, above.cold_overload_unshown), (1, 0));
    assert!(upstream.counts().cold);
    for request in [first, second, third] {
        request.abort();
    }
    upstream.idle().await;
    upstream.stop().await;
}

/// Guards against an upstream that stays cold, or is warm before it has completed enough requests.
#[tokio::test]
async fn completed_requests_end_the_cold_start() {
    let options = Options {
        slots: 2,
        cold_slots: 1,
        cold_step: 3,
        ..Options::default()
    };
    let (upstream, _) = upstream(options).await;
    upstream.turn_cold();

    let mut cold = Vec::new();
    for _ in 0..3 {
        cold.push(upstream.counts().cold);
        get(&upstream, "/").send().await.expect("answer");
    }

    assert_eq!(cold, [true, true, true]);
    assert!(!upstream.counts().cold);
    upstream.stop().await;
}

/// Guards against a cold start that no answer could have shown and that counts like a known one.
#[tokio::test]
async fn overload_before_the_first_answer_is_told_apart() {
    let (upstream, ledger) = upstream(Options::default()).await;
    get(&upstream, "/").send().await.expect("answer");
    upstream.turn_cold();

    let requests = [(); 2].map(|()| spawn(get(&upstream, "/?mode=never")));
    until(|| upstream.counts().running == 2).await;

    let report = ledger.report();
    assert_eq!((report.cold_overload, report.cold_overload_unshown), (1, 1));
    for request in requests {
        request.abort();
    }
    upstream.stop().await;
}

/// Guards against a drain that cuts off running requests or lets new ones in.
#[tokio::test]
async fn a_draining_upstream_finishes_its_work_and_sheds_new() {
    let (upstream, _) = upstream(Options::default()).await;
    let (finish, finished) = oneshot::channel::<&str>();
    let body = reqwest::Body::wrap_stream(futures_util::stream::once(finished));
    let running = spawn(Client::new().post(upstream.url()).body(body));
    until(|| upstream.counts().running == 1).await;

    upstream.set_draining(true);
    let shed = get(&upstream, "/").send().await.expect("answer");
    finish.send("end").expect("running request");
    let answered = running.await.expect("task");
    upstream.set_draining(false);
    let again = get(&upstream, "/").send().await.expect("answer");

    assert_eq!(answered.status(), StatusCode::OK);
    assert_eq!(outcome(&shed).1, Some("not-run"));
    assert_eq!(again.status(), StatusCode::OK);
    upstream.stop().await;
}

/// Guards against reports that are always up to date and true, with which routing by them would look sound.
#[tokio::test]
async fn reports_lag_and_lie() {
    let options = Options {
        slots: 2,
        report_lag: AMPLE,
        ..Options::default()
    };
    let (upstream, _) = upstream(options).await;
    let running = spawn(get(&upstream, "/?mode=never"));
    until(|| upstream.counts().running == 1).await;
    let read = async |path| {
        let response = get(&upstream, path).send().await.expect("answer");
        let body = response.bytes().await.expect("body");
        serde_json::from_slice::<Status>(&body).expect("JSON")
    };

    let lagging = read("/load").await;
    let lie = Status {
        running: 9,
        ..Status::default()
    };
    upstream.set_reported(Some(lie));
    let lying = read("/health").await;

    assert_eq!((lagging.running, lagging.slots), (0, 2));
    assert_eq!(lying, lie);
    running.abort();
    upstream.stop().await;
}

/// Guards against a caller key that passes in two pieces of a body, in a header or in the path.
#[tokio::test]
async fn caller_keys_are_found_wherever_they_are() {
    let (upstream, ledger) = upstream(Options::default()).await;
    ledger.register_secret("kq-secret-1");
    let pieces = ["x-kq-sec", "ret-1-x"].map(Ok::<_, std::io::Error>);
    let body = reqwest::Body::wrap_stream(futures_util::stream::iter(pieces));

    let clean = get(&upstream, "/kq-secret-2").send().await.expect("answer");
    let before = ledger.report().key_leaks;
    get(&upstream, "/kq-secret-1").send().await.expect("answer");
    let header = get(&upstream, "/").header("x-key", "kq-secret-1");
    header.send().await.expect("answer");
    let post = Client::new().post(upstream.url()).body(body);
    post.send().await.expect("answer");

    assert_eq!(clean.status(), StatusCode::OK);
    assert_eq!(before, 0);
    assert_eq!(ledger.report().key_leaks, 3);
    upstream.stop().await;
}

/// Guards against a body that is sent at once in the mode that tests slow bodies, or that is cut short.
#[tokio::test]
async fn a_slow_body_arrives_whole_in_pieces() {
    let (upstream, _) = upstream(Options::default()).await;
    upstream.set_mode(Mode::SlowBody);

    let mut answer = get(&upstream, "/?size=200").send().await.expect("answer");
    let mut pieces = 0;
    let mut body = Vec::new();
    while let Some(piece) = answer.chunk().await.expect("piece") {
        pieces += 1;
        body.extend_from_slice(&piece);
    }

    assert!(pieces > 1, "{pieces}");
    let body = serde_json::from_slice::<serde_json::Value>(&body).expect("whole body");
    assert_eq!(body["padding"], "x".repeat(200));
    upstream.idle().await;
    upstream.stop().await;
}

/// Guards against service times that differ from run to run or miss their distribution.
#[test]
fn service_times_follow_their_distribution() {
    const SEED: u64 = 11;
    const COUNT: u32 = 10_000;
    let mean = Duration::from_millis(10);
    let draw = |time: ServiceTime| {
        let mut rng = SmallRng::seed_from_u64(SEED);
        (0..COUNT).map(|_| time.draw(&mut rng)).collect::<Vec<_>>()
    };
    let log_normal = ServiceTime::LogNormal {
        median: mean,
        sigma: 0.5,
    };

    let exponential = draw(ServiceTime::Exponential(mean));
    let mut skewed = draw(log_normal);

    // The standard error of the mean is 1 %, so 5 % is far outside of chance.
    let average = exponential.iter().sum::<Duration>() / COUNT;
    assert!(
        average.abs_diff(mean) < mean / 20,
        "seed {SEED}: {average:?}"
    );
    skewed.sort();
    let median = skewed[skewed.len() / 2];
    assert!(median.abs_diff(mean) < mean / 20, "seed {SEED}: {median:?}");
    assert_eq!(exponential, draw(ServiceTime::Exponential(mean)));
}
