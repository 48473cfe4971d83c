//! The `show` module provides the commands that show what is in the store.

use std::fmt::Write as _;

use kumquat_state::audit::{Cause, Entry, verify_chain};
use serde::Deserialize;
use serde_json::{Value, json};

use crate::bundles;
use crate::output::{Failure, Report, Status, table};
use crate::store::Store;
use crate::trail;

/// Start of the keys under which VMs report.
const STATUS_PREFIX: &str = "status/";

/// Number of segments that are checked together; it bounds the memory for long trails.
const CHAIN_BATCH: usize = 64;

/// What the coordinator of a cell reports.
#[derive(Debug, Deserialize)]
struct Cell {
    /// Wall-clock time of the report in milliseconds since 1970.
    time: u64,
    /// The VMs that it hears.
    vms: Vec<Reported>,
}

/// What a VM has in force.
#[derive(Debug, Deserialize)]
struct Reported {
    /// Name of the VM.
    vm: String,
    /// Version of the bundle in force.
    version: u64,
}

/// Shows the accepted version and what each VM has in force.
pub async fn status(store: &Store) -> Result<Report, Failure> {
    let head = bundles::head(store).await?;
    let accepted = head.as_ref().map_or(0, |head| head.revision.0);
    let now = trail::now_ms();

    let mut rows = Vec::new();
    let mut vms = Vec::new();
    let mut behind = 0;
    for key in store.list(STATUS_PREFIX).await? {
        // A cell that was dissolved in the meantime has no report any more.
        let Some(value) = store.get(&key).await? else {
            continue;
        };
        let Ok(cell) = serde_json::from_slice::<Cell>(&value.bytes) else {
            behind += 1;
            rows.push(vec![
                key.clone(),
                "unreadable".to_owned(),
                String::new(),
                String::new(),
            ]);
            vms.push(json!({ "key": key, "error": "the report can't be read" }));
            continue;
        };
        let age_ms = now.saturating_sub(cell.time);
        for reported in cell.vms {
            let is_current = reported.version == accepted;
            behind += u32::from(!is_current);
            let state = if is_current { "current" } else { "behind" };
            rows.push(vec![
                reported.vm.clone(),
                reported.version.to_string(),
                state.to_owned(),
                format!("{}.{} s", age_ms / 1_000, age_ms % 1_000 / 100),
            ]);
            vms.push(json!({
                "vm": reported.vm,
                "version": reported.version,
                "state": state,
                "age-ms": age_ms,
            }));
        }
    }

    let mut text = format!(
        "version {accepted} is accepted; {behind} of {} VMs do not report it as in force\n",
        rows.len()
    );
    text.push_str(&table(&["VM", "IN FORCE", "STATE", "REPORTED"], &rows));
    Ok(Report::done(
        text,
        json!({ "accepted": accepted, "behind": behind, "vms": vms }),
    ))
}

/// Shows the accepted versions, latest first.
pub async fn history(store: &Store, limit: usize) -> Result<Report, Failure> {
    let mut rows = Vec::new();
    let mut versions = Vec::new();
    let mut next = bundles::head(store).await?;
    while let Some(head) = next.filter(|_| rows.len() < limit) {
        let envelope = bundles::envelope(store, &head).await?;
        let signers: Vec<&str> = envelope
            .signatures
            .iter()
            .map(|signature| signature.signer.as_str())
            .collect();
        let operation = format!("{:032x}", envelope.operation.0);
        rows.push(vec![
            envelope.version.to_string(),
            envelope.author.to_string(),
            signers.join(","),
            operation.clone(),
            envelope.reason.escape_debug().to_string(),
        ]);
        versions.push(json!({
            "version": envelope.version,
            "author": envelope.author,
            "signers": signers,
            "operation": operation,
            "reason": envelope.reason,
        }));
        next = bundles::earlier(store, &head).await?;
    }
    let text = table(
        &["VERSION", "AUTHOR", "SIGNED BY", "OPERATION", "REASON"],
        &rows,
    );
    Ok(Report::done(text, json!({ "versions": versions })))
}

/// Shows the audit trail, and verifies it if that is asked for.
pub async fn audit(store: &Store, follow_chain: bool, limit: usize) -> Result<Report, Failure> {
    let keys = trail::keys(store).await?;
    let mut gap = None;
    if follow_chain {
        gap = broken_link(store, &keys).await?;
    }

    // Only as many segments are read as the entries to show need.
    let mut entries: Vec<Entry> = Vec::new();
    for key in keys.iter().rev() {
        if entries.len() >= limit {
            break;
        }
        let mut earlier = trail::segment(store, key).await?.entries;
        earlier.append(&mut entries);
        entries = earlier;
    }
    let surplus = entries.len().saturating_sub(limit);
    entries.drain(..surplus);

    let mut text = String::new();
    for entry in &entries {
        _ = writeln!(text, "{} {entry}", entry.timestamp_ms);
    }
    let verdict = match (&gap, follow_chain) {
        (Some(gap), _) => format!("the trail is broken: {gap}"),
        (None, true) => format!("all {} segments are intact and linked", keys.len()),
        (None, false) => String::new(),
    };
    text.push_str(&verdict);
    let json = json!({
        "entries": entries.iter().map(entry_json).collect::<Vec<_>>(),
        "segments": keys.len(),
        "gap": gap,
        "verified": follow_chain && gap.is_none(),
    });
    let report = Report::done(text, json);
    Ok(if gap.is_some() {
        report.with_status(Status::Refused)
    } else {
        report
    })
}

/// Returns an entry for programs; operation ids are text, because JSON numbers are too small for them.
fn entry_json(entry: &Entry) -> Value {
    let cause = match &entry.cause {
        Cause::Requested(operation) => json!({ "requested": format!("{:032x}", operation.0) }),
        cause => json!(cause),
    };
    json!({
        "when": entry.timestamp_ms,
        "who": entry.actor,
        "what": entry.event,
        "from": entry.from,
        "to": entry.to,
        "cause": cause,
        "version": entry.version,
    })
}

/// Follows the chain from the first segment and returns the first break.
async fn broken_link(store: &Store, keys: &[String]) -> Result<Option<String>, Failure> {
    let mut batch = Vec::new();
    for (index, key) in keys.iter().enumerate() {
        let segment = trail::segment(store, key).await?;
        // Without the first segment, someone may have cut off the beginning.
        if index == 0 && segment.sequence != 0 {
            return Ok(Some(format!(
                "it starts at segment {}, not at segment 0",
                segment.sequence
            )));
        }
        batch.push(segment);
        if batch.len() > CHAIN_BATCH || index + 1 == keys.len() {
            if let Err(gap) = verify_chain(&batch) {
                return Ok(Some(gap.to_string()));
            }
            // The last segment stays, so that the link to the next batch is checked as well.
            batch.drain(..batch.len() - 1);
        }
    }
    Ok(None)
}
