//! The `write` module provides the task that stores the ledger.

use bytes::Bytes;
use tokio::sync::mpsc;

use kumquat_protocol::wire::Kind;
use kumquat_state::document::{self, Chunk, Head};
use kumquat_state::ident::Revision;
use kumquat_transport::store::Failure;

use super::documents::{Heads, decode};
use super::{Context, LEDGER, Order, Outcome, Written};
use crate::control::{Event, Received};

/// Times that a head is read again after an answer was lost, before the write counts as unavailable.
///
/// If it has taken effect after all, the next write conflicts and the watch brings the stored ledger.
const RESOLVE_TRIES: u32 = 5;

/// Stores ledgers one after the other.
pub async fn run(context: Context, mut orders: mpsc::Receiver<Order>, heads: Heads) {
    loop {
        let order = tokio::select! {
            () = context.ended.cancelled() => return,
            order = orders.recv() => order,
        };
        let Some(order) = order else { return };
        let operation = order.ledger.operation;
        let outcome = store(&context, order, &heads).await;
        context
            .report(Event::Written(Written { operation, outcome }))
            .await;
    }
}

async fn store(context: &Context, order: Order, heads: &Heads) -> Outcome {
    let ledger = &order.ledger;
    let Ok(bytes) = ledger.encode() else {
        return Outcome::Unavailable;
    };
    let split = document::split(&bytes, ledger.revision, ledger.operation, None);
    let Ok((head, chunks)) = split else {
        return Outcome::Unavailable;
    };
    let previous = heads.ledger();
    let expected = match expected(context, previous.as_ref(), ledger.revision).await {
        Ok(Some(expected)) => expected,
        Ok(None) => return Outcome::Conflict,
        Err(_) => return Outcome::Unavailable,
    };

    // Chunks come first: a head must never name a chunk that is not there.
    for chunk in &chunks {
        if put_chunk(context, chunk).await.is_err() {
            return Outcome::Unavailable;
        }
    }
    let Ok(encoded) = head.encode() else {
        return Outcome::Unavailable;
    };
    let swap = context
        .client
        .compare_and_swap(LEDGER, Bytes::from(encoded), expected);
    let stored = match context.pace.call("swap", swap).await {
        Ok(revision) => revision,
        Err(Failure::Unknown { .. }) => match resolve(context, &head).await {
            Some(Ok(revision)) => revision,
            Some(Err(())) => return Outcome::Conflict,
            None => return Outcome::Unavailable,
        },
        Err(Failure::Conflict { .. }) => return Outcome::Conflict,
        Err(_) => return Outcome::Unavailable,
    };

    heads.set_ledger(head.clone(), stored);
    let received = Received {
        kind: Kind::Ledger,
        bytes: bytes.into(),
        from: None,
    };
    context.report(Event::Document(received)).await;
    if let Some((old, _)) = previous {
        remove_chunks(context, &old, &head).await;
    }
    Outcome::Stored(order.changes)
}

/// Returns the revision of the head's key on which a ledger with `revision` rests; none if another ledger is stored.
async fn expected(
    context: &Context,
    known: Option<&(Head, Revision)>,
    revision: Revision,
) -> Result<Option<Revision>, Failure> {
    let base = Revision(revision.0 - 1);
    if let Some((head, stored)) = known
        && head.revision == base
    {
        return Ok(Some(*stored));
    }
    if base == Revision(0) {
        return Ok(Some(Revision(0)));
    }
    let value = context.pace.call("get", context.client.get(LEDGER)).await?;
    Ok(value.and_then(|value| {
        let head = decode(&value)?;
        (head.revision == base).then_some(value.revision)
    }))
}

async fn put_chunk(context: &Context, chunk: &Chunk) -> Result<(), Failure> {
    let key = chunk.address().store_key();
    let bytes = Bytes::copy_from_slice(chunk.bytes());
    let put = context.client.compare_and_swap(&key, bytes, Revision(0));
    match context.pace.call("chunk", put).await {
        // The address is the hash of the content, so that what is there already is the same.
        Ok(_) | Err(Failure::Conflict { .. }) => Ok(()),
        Err(failure) => Err(failure),
    }
}

/// Finds out whether a write took effect whose answer was lost; none if the store does not tell.
async fn resolve(context: &Context, head: &Head) -> Option<Result<Revision, ()>> {
    for _ in 0..RESOLVE_TRIES {
        let read = context.pace.call("get", context.client.get(LEDGER)).await;
        if let Ok(value) = read {
            let stored = value.and_then(|value| Some((decode(&value)?, value.revision)));
            match stored {
                Some((stored, revision)) if stored.operation == head.operation => {
                    return Some(Ok(revision));
                }
                Some((stored, _)) if stored.revision >= head.revision => return Some(Err(())),
                // The read may be behind, or the write may still be under way.
                _ => {}
            }
        }
        if !context.sleep(std::time::Duration::from_millis(100)).await {
            return None;
        }
    }
    None
}

/// Removes chunks that the new head no longer names; one that stays behind only takes space.
async fn remove_chunks(context: &Context, old: &Head, new: &Head) {
    for address in &old.chunks {
        if !new.chunks.contains(address) {
            let key = address.store_key();
            let delete = context.client.delete(&key, Revision(1));
            drop(context.pace.call("delete", delete).await);
        }
    }
}
