//! The `status` module provides the task that stores what each VM of the cell has in force.
//!
//! The coordinator writes one report for the whole cell, because a report per VM would cost the store 1,700 writes for
//! each change of configuration at the size of `docs/design.md`, section 1.5.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use serde::Serialize;

use kumquat_state::ident::{Revision, Vm};
use kumquat_transport::store::Failure;

use super::Context;

/// Key of the report in the store; operators list the prefix, because there will be one report per cell.
const KEY: &str = "status/cell";

/// Time between two checks whether the report has changed; reports are no more frequent.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between two reports; operators can tell from an older one that the cell has no coordinator or no store.
const REFRESH: Duration = Duration::from_secs(30);

/// What a VM has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct InForce {
    /// The VM.
    pub vm: Vm,
    /// Version of its bundle.
    pub version: u64,
    /// Revision of its ledger.
    pub ledger: u64,
}

#[derive(Serialize)]
struct Report<'a> {
    /// Wall-clock time in milliseconds since 1970.
    time: u64,
    vms: &'a [InForce],
}

/// Stores the report whenever it changes and this VM is the coordinator.
pub async fn store(context: Context, mut reports: tokio::sync::watch::Receiver<Vec<InForce>>) {
    let mut revision = None;
    let mut stored: Vec<InForce> = Vec::new();
    let mut refresh = tokio::time::Instant::now();
    while context.sleep(CHECK_INTERVAL).await {
        let report = reports.borrow_and_update().clone();
        let is_due = report != stored || tokio::time::Instant::now() >= refresh;
        if report.is_empty() || !is_due {
            continue;
        }
        if write(&context, &report, &mut revision).await.is_ok() {
            stored = report;
            refresh = tokio::time::Instant::now() + REFRESH;
        }
    }
}

async fn write(
    context: &Context,
    vms: &[InForce],
    revision: &mut Option<Revision>,
) -> Result<(), Failure> {
    let expected = match *revision {
        Some(revision) => revision,
        None => context
            .pace
            .call("get", context.client.get(KEY))
            .await?
            .map_or(Revision(0), |value| value.revision),
    };
    let time = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let report = Report {
        time: u64::try_from(time.as_millis()).unwrap_or(u64::MAX),
        vms,
    };
    let Ok(bytes) = serde_json::to_vec(&report) else {
        return Ok(());
    };
    let swap = context
        .client
        .compare_and_swap(KEY, Bytes::from(bytes), expected);
    // After any failure the revision is read again; the next round repeats the report.
    *revision = None;
    *revision = Some(context.pace.call("status", swap).await?);
    Ok(())
}
