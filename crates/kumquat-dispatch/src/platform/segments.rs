//! The `segments` module provides the task that stores this VM's part of the audit trail.
//!
//! All VMs of a cell write one chain: each segment is created under the next free number, so that a lost
//! segment leaves a gap in the numbers.

use std::time::Duration;

use bytes::Bytes;

use kumquat_state::audit::{self, Entry, SEGMENT_ENTRY_LIMIT, Segment};
use kumquat_state::ident::Revision;
use kumquat_transport::store::Failure;

use super::Context;
use crate::audit::Trail;

/// Time between two segments of one VM; with few changes there are none.
const STORE_INTERVAL: Duration = Duration::from_secs(5);

/// Times that a VM looks for the end of the chain while other VMs append to it.
const APPEND_TRIES: u32 = 16;

/// Stores segments until the run ends.
pub async fn store(context: Context, trail: Trail) {
    let mut last: Option<Segment> = None;
    while context.sleep(STORE_INTERVAL).await {
        let entries = trail.take(SEGMENT_ENTRY_LIMIT);
        if entries.is_empty() {
            continue;
        }
        if append(&context, &mut last, &entries).await.is_err() {
            trail.put_back(entries);
        }
    }
}

/// Appends entries to the chain.
async fn append(
    context: &Context,
    last: &mut Option<Segment>,
    entries: &[Entry],
) -> Result<(), Failure> {
    if last.is_none() {
        *last = find_last(context).await?;
    }
    for _ in 0..APPEND_TRIES {
        let Ok(segment) = Segment::seal(last.as_ref(), entries.to_vec()) else {
            // Entries hold names and numbers only and always fit; there is nothing to repeat.
            return Ok(());
        };
        let Ok(bytes) = segment.encode() else {
            return Ok(());
        };
        let key = audit::store_key(segment.sequence);
        let create = context
            .client
            .compare_and_swap(&key, Bytes::from(bytes), Revision(0));
        match context.pace.call("audit", create).await {
            Ok(_) => {
                *last = Some(segment);
                return Ok(());
            }
            Err(Failure::Conflict { .. } | Failure::Unknown { .. }) => {
                let Some(stored) = read(context, segment.sequence).await? else {
                    continue;
                };
                // After a lost answer the stored segment may be this one.
                let own = stored.hash == segment.hash;
                *last = Some(stored);
                if own {
                    return Ok(());
                }
            }
            Err(failure) => return Err(failure),
        }
    }
    Err(Failure::Conflict {
        revision: Revision(0),
    })
}

async fn find_last(context: &Context) -> Result<Option<Segment>, Failure> {
    let listed = context
        .pace
        .call("list", context.client.list("audit/"))
        .await?;
    let last = listed
        .iter()
        .filter_map(|listed| listed.key.strip_prefix("audit/")?.parse::<u64>().ok())
        .max();
    match last {
        Some(sequence) => read(context, sequence).await,
        None => Ok(None),
    }
}

async fn read(context: &Context, sequence: u64) -> Result<Option<Segment>, Failure> {
    let key = audit::store_key(sequence);
    let value = context.pace.call("get", context.client.get(&key)).await?;
    Ok(value.and_then(|value| Segment::decode(&value.bytes).ok()))
}
