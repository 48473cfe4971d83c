//! The `documents` module provides the task that follows a document in the store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use kumquat_protocol::wire::Kind;
use kumquat_state::document::{self, Chunk, Head};
use kumquat_state::ident::Revision;
use kumquat_transport::budget::{Backoff, Delays};
use kumquat_transport::store::{Failure, Value};

use super::{BUNDLE, Context, LEDGER};
use crate::control::{Event, Received};

/// Longest time of one watch; it bounds how long a lost connection to the store goes unnoticed.
///
/// It stays below the 3 s after which caller keys are refused, so that a quiet store still counts as heard.
const WATCH: Duration = Duration::from_secs(2);

/// Latest heads that this VM has read or written, by document.
#[derive(Clone, Debug, Default)]
pub struct Heads {
    ledger: Arc<Mutex<Option<(Head, Revision)>>>,
}

impl Heads {
    /// Returns the latest head of the ledger with the revision of its key in the store.
    #[must_use]
    pub fn ledger(&self) -> Option<(Head, Revision)> {
        self.lock().clone()
    }

    /// Returns whether this VM has read or written the ledger at this revision of its key.
    fn is_known(&self, kind: Kind, revision: Revision) -> bool {
        let known = self.lock();
        kind == Kind::Ledger && known.as_ref().is_some_and(|(_, known)| *known >= revision)
    }

    /// Notes a head of the ledger.
    pub fn set_ledger(&self, head: Head, revision: Revision) {
        let mut current = self.lock();
        let newer = current.as_ref().is_none_or(|(_, known)| *known < revision);
        if newer {
            *current = Some((head, revision));
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Option<(Head, Revision)>> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Follows one document while the control loop wants it.
pub async fn follow(mut context: Context, kind: Kind, heads: Heads) {
    let key = match kind {
        Kind::Bundle => BUNDLE,
        Kind::Ledger => LEDGER,
    };
    let mut backoff = Backoff::new(Delays::default(), rand::random());
    let mut chunks: Vec<Chunk> = Vec::new();
    let mut after = 0;
    while context.wait_for(|direction| direction.watch).await {
        let watch = context.client.watch(key, after, WATCH);
        let watched = tokio::select! {
            () = context.ended.cancelled() => return,
            watched = context.pace.call("watch", watch) => watched,
        };
        let result = match watched {
            Ok(watched) => {
                context.report(Event::StoreHeard).await;
                // What this VM has written itself need not be read again.
                let changed = watched
                    .keys
                    .iter()
                    .any(|listed| listed.key == key && !heads.is_known(kind, listed.revision));
                let fetched = if changed {
                    fetch(&context, kind, key, &heads, &mut chunks).await
                } else {
                    Ok(())
                };
                fetched.map(|()| after = watched.generation)
            }
            Err(failure) => Err(failure),
        };
        if result.is_ok() {
            backoff.reset();
        } else if !context.sleep(backoff.delay()).await {
            return;
        }
    }
}

/// Reads a document, fetching only the chunks that are not known from the version before.
async fn fetch(
    context: &Context,
    kind: Kind,
    key: &str,
    heads: &Heads,
    chunks: &mut Vec<Chunk>,
) -> Result<(), Failure> {
    let Some(value) = context.pace.call("get", context.client.get(key)).await? else {
        return Ok(());
    };
    let Some(head) = decode(&value) else {
        return Ok(());
    };
    let known: Vec<_> = chunks.iter().map(Chunk::address).collect();
    for address in document::missing(&head, &known) {
        let key = address.store_key();
        let stored = context.pace.call("get", context.client.get(&key)).await?;
        // A missing chunk means that a newer version has replaced the head meanwhile; the next watch reports it.
        let Some(stored) = stored else { return Ok(()) };
        if let Ok(chunk) = Chunk::new(stored.bytes.to_vec()) {
            chunks.push(chunk);
        }
    }
    chunks.retain(|chunk| head.chunks.contains(&chunk.address()));
    let Ok(bytes) = document::join(&head, chunks) else {
        return Ok(());
    };
    if kind == Kind::Ledger {
        heads.set_ledger(head, value.revision);
    }
    let received = Received {
        kind,
        bytes: bytes.into(),
        from: None,
    };
    context.report(Event::Document(received)).await;
    Ok(())
}

/// Decodes a head; a malformed one can't be mended by reading it again and is left until it is replaced.
pub fn decode(value: &Value) -> Option<Head> {
    Head::decode(&value.bytes).ok()
}
