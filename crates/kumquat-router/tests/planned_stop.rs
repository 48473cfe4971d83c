//! Tests what callers get whose requests are under way, or come, while a VM stops.

mod fixture {
    pub mod router;
}

use std::time::Duration;

use fixture::router::{
    Router, ScriptedUpstream, UpstreamAction, config, header_field, read_answer, request,
    run_local_test, send_request, sleep_ms, start_request, start_router, status,
};
use tokio::task::spawn_local;
use tokio::time::Instant;

/// Time that an upstream takes for a request here, most of the shutdown grace period of one second.
const SERVICE_TIME: Duration = Duration::from_millis(700);

/// Starts a router whose routes allow requests to last for longer than the grace period.
fn start_patient_router(upstream: &ScriptedUpstream) -> Router {
    let router = start_router(&[upstream]);
    let mut config = config(2);
    for route in &mut config.routes {
        route.timeout = Duration::from_secs(5);
        route.latency_target = Duration::from_secs(2);
    }
    router.vm.set_config(config);
    router
}

/// Sends a request and returns its response and whether that came before the end of the process.
async fn send_during_stop(router: Router, text: String) -> (String, bool) {
    let mut caller = start_request(&router, &text).await;
    let answer = spawn_local(async move { (read_answer(&mut caller).await, Instant::now()) });
    // The process ends once the listener's task has ended and the lease is released.
    router.accept_task.await.expect("the listener ends");
    let ended_at = Instant::now();
    let (answer, answered_at) = answer
        .await
        .expect("an answer or the end of the connection");
    (answer, answered_at <= ended_at)
}

/// Guards against a late request that is passed on although it can't end in time, and is cut without an answer.
#[test]
fn a_late_request_that_can_not_end_in_time_is_refused_at_once() {
    run_local_test(async {
        let action = UpstreamAction::DelayedAnswer("fine", SERVICE_TIME);
        let upstream = ScriptedUpstream::bind(&[action]).await;
        let router = start_patient_router(&upstream);
        let earlier = send_request(router.address, &request("POST", "/once/1", "t1")).await;
        assert_eq!(status(&earlier), 200, "{earlier}");
        router.vm.begin_shutdown();
        sleep_ms(350).await;
        let sent_at = Instant::now();

        let response = send_request(router.address, &request("POST", "/once/1", "t2")).await;

        assert_eq!(status(&response), 503, "{response}");
        assert!(
            header_field(&response, "Retry-After").is_some(),
            "{response}"
        );
        assert!(sent_at.elapsed() < Duration::from_millis(100));
        assert_eq!(upstream.requests().len(), 1);
    });
}

/// Guards against a request that was under way at the stop and is cut without an answer at its end.
#[test]
fn a_request_that_outlasts_the_grace_period_gets_an_answer() {
    run_local_test(async {
        let action = UpstreamAction::DelayedAnswer("fine", Duration::from_secs(2));
        let upstream = ScriptedUpstream::bind(&[action]).await;
        let router = start_patient_router(&upstream);
        let vm = std::rc::Rc::clone(&router.vm);
        spawn_local(async move {
            sleep_ms(50).await;
            vm.begin_shutdown();
        });

        let (response, is_in_time) =
            send_during_stop(router, request("POST", "/once/1", "t1")).await;

        assert_eq!(status(&response), 504, "{response}");
        assert!(is_in_time);
    });
}

/// Guards against a stop that refuses requests which could still be served.
#[test]
fn a_late_request_that_can_end_in_time_is_served() {
    run_local_test(async {
        let action = UpstreamAction::DelayedAnswer("fine", Duration::from_millis(50));
        let upstream = ScriptedUpstream::bind(&[action]).await;
        let router = start_patient_router(&upstream);
        send_request(router.address, &request("POST", "/once/1", "t1")).await;
        router.vm.begin_shutdown();
        sleep_ms(350).await;

        let (response, is_in_time) =
            send_during_stop(router, request("POST", "/once/1", "t2")).await;

        assert_eq!(status(&response), 200, "{response}");
        assert!(is_in_time);
    });
}
