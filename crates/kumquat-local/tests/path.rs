//! Guards the whole path over real processes and connections.

use kumquat_local::{Deployment, Shape};
use slog::{Discard, Logger, o};

fn silent() -> Logger {
    Logger::root(Discard, o!())
}

/// Guards against a deployment that does not serve, or serves with the wrong owner, twice or with a leaked key.
#[tokio::test(flavor = "multi_thread")]
async fn every_service_answers_through_every_entry() {
    let deployment = Deployment::open(&Shape::small(), &silent())
        .await
        .expect("the deployment serves");

    let report = deployment.observations.report();
    deployment.stop().await;

    assert!(report.runs >= 6, "{report:?}");
    assert!(report.is_clean(), "{report:?}");
}
