//! The `trail` module provides the audit trail in the store.

use std::time::SystemTime;

use eyre::{WrapErr as _, eyre};
use kumquat_state::audit::{self, Cause, Event, SEGMENT_ENTRY_LIMIT, Segment};
use kumquat_state::bundle::{Bundle, Envelope};
use kumquat_transport::store;

use crate::output::Failure;
use crate::store::{Store, Write, backoff};

/// Start of the keys of segments.
const PREFIX: &str = "audit/";

/// Attempts to append a segment, each of which another writer can win.
const ATTEMPTS: u32 = 16;

/// Returns the keys of all segments in order.
pub async fn keys(store: &Store) -> Result<Vec<String>, Failure> {
    store.list(PREFIX).await
}

/// Reads a segment.
pub async fn segment(store: &Store, key: &str) -> Result<Segment, Failure> {
    let value = store
        .get(key)
        .await?
        .ok_or_else(|| Failure::refused(eyre!("{key} was removed from the store")))?;
    Segment::decode(&value.bytes)
        .wrap_err_with(|| format!("{key} can't be read"))
        .map_err(Failure::refused)
}

/// Appends the entries of an accepted bundle, unless they are there already.
pub async fn append(
    store: &Store,
    envelope: &Envelope,
    previous: &Bundle,
    next: &Bundle,
) -> Result<(), Failure> {
    if holds(store, envelope).await? {
        return Ok(());
    }
    let entries = audit::bundle_entries(
        now_ms(),
        &envelope.author,
        envelope.operation,
        previous,
        next,
    );
    for entries in entries.chunks(SEGMENT_ENTRY_LIMIT) {
        append_segment(store, entries).await?;
    }
    Ok(())
}

/// Returns whether the trail has the acceptance of this envelope, looking back no further than to earlier versions.
async fn holds(store: &Store, envelope: &Envelope) -> Result<bool, Failure> {
    for key in keys(store).await?.iter().rev() {
        for entry in segment(store, key).await?.entries.iter().rev() {
            if entry.event != Event::BundleAccepted {
                continue;
            }
            if entry.cause == Cause::Requested(envelope.operation) {
                return Ok(true);
            }
            if entry.version < envelope.previous {
                return Ok(false);
            }
        }
    }
    Ok(false)
}

async fn append_segment(store: &Store, entries: &[audit::Entry]) -> Result<(), Failure> {
    let mut failures = 0;
    let mut in_doubt: Option<Segment> = None;
    for _ in 0..ATTEMPTS {
        // After a lost answer, the place in the chain tells whether this segment or another one was written.
        if let Some(sealed) = &in_doubt {
            let found = store.get(&audit::store_key(sealed.sequence)).await?;
            if found.is_some_and(|value| Segment::decode(&value.bytes).as_ref() == Ok(sealed)) {
                return Ok(());
            }
        }
        let last = match keys(store).await?.last() {
            Some(key) => Some(segment(store, key).await?),
            None => None,
        };
        let sealed = Segment::seal(last.as_ref(), entries.to_vec()).map_err(Failure::refused)?;
        let key = audit::store_key(sealed.sequence);
        let bytes = sealed.encode().map_err(Failure::refused)?;
        match store.try_put(&key, 0, bytes).await {
            Ok(Write::Stored) => return Ok(()),
            // Another writer was faster; the next attempt links to its segment.
            Ok(Write::Conflict) => {}
            Err(error) => {
                if matches!(error, store::Failure::Unknown { .. }) {
                    in_doubt = Some(sealed);
                }
                failures += 1;
                backoff(failures).await;
            }
        }
    }
    Err(Failure::unreachable(eyre!(
        "no segment could be written in {ATTEMPTS} attempts"
    )))
}

/// Returns the wall-clock time in milliseconds since 1970.
pub fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}
