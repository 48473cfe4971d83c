//! Guards callers against being told that they are above their rate when nobody could check it.

mod fixtures {
    pub mod cell;
}

use std::time::Duration;

use fixtures::cell::open;
use tokio::time::sleep;

/// Guards against a refusal with "over rate" for a team within its rate whose home, and all successors, are gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_team_without_a_home_is_not_told_that_it_is_above_its_rate() {
    let mut deployment = open(3).await;
    let entry = deployment.entries()[0];
    for vm in &mut deployment.vms {
        vm.kill_dispatch();
    }
    // Credits that the entry still holds expire after 300 ms.
    sleep(Duration::from_millis(400)).await;

    let response = reqwest::Client::builder()
        .no_proxy()
        .build()
        .expect("a client")
        .get(format!("http://{entry}/bench/one"))
        .bearer_auth(&deployment.keys[0].1)
        .send()
        .await
        .expect("an answer");
    let status = response.status().as_u16();
    let outcome = response.headers().get("kumquat-outcome").cloned();
    let text = response.text().await.expect("a body");
    deployment.stop().await;

    assert_eq!(status, 503, "{text}");
    assert!(!text.contains("over-rate"), "{text}");
    assert_eq!(
        outcome.as_ref().map(reqwest::header::HeaderValue::as_bytes),
        Some(&b"not-run"[..])
    );
}
