//! The `documents` module provides the task that follows a document in the store.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use kumquat_protocol::wire::Kind;
use kumquat_state::document::{self, Chunk, Head};
use kumquat_state::ident::Revision;
use kumquat_transport::budget::{Backoff, Delays};
use kumquat_transport::store::{self, Failure, Value};

use super::{BUNDLE, Context, LEDGER};
use crate::control::{Event, Received};

/// Longest time of one watch; it bounds how long a lost connection to the store goes unnoticed.
///
/// It stays below the 3 s after which caller keys are refused, so that a quiet store still counts as heard.
const WATCH: Duration = Duration::from_secs(2);

/// Longest time of one watch while the cell's majority keeps this VM up to date.
///
/// Watches are most of the reads of a quiet cell: at 2 s, 189 cells would make 756 of the 1,000 reads per second.
const LONG_WATCH: Duration = Duration::from_secs(20);

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
        let relaxed = context.direction.borrow().relaxed;
        let wait = if relaxed { LONG_WATCH } else { WATCH };
        let watch = context.client.watch(key, after, wait);
        let mut direction = context.direction.clone();
        let watched = tokio::select! {
            () = context.ended.cancelled() => return,
            // A VM that is cut off from its peers has to hear the store often to go on accepting caller keys.
            _ = direction.wait_for(|direction| !direction.relaxed), if relaxed => continue,
            watched = context.pace.call("watch", watch) => watched,
        };
        let result = match watched {
            Ok(watched) => {
                context.report(Event::StoreHeard).await;
                let mut listed = watched.keys.iter();
                let is_stored =
                    |listed: &&store::Listed| listed.key == key && listed.revision > Revision(0);
                // What this VM has written itself need not be read again.
                let listed = listed
                    .find(is_stored)
                    .filter(|listed| !heads.is_known(kind, listed.revision));
                let fetched = match listed {
                    Some(listed) => {
                        let source = Source {
                            kind,
                            key,
                            revision: listed.revision,
                        };
                        fetch(&context, &source, &heads, &mut chunks).await
                    }
                    None => Ok(()),
                };
                fetched.map(|()| after = watched.generation)
            }
            Err(failure) => Err(failure),
        };
        if result.is_ok() {
            backoff.reset();
        } else if !context.sleep(backoff.next_delay()).await {
            return;
        }
    }
}

/// A document in the store as a watch has reported it.
struct Source<'a> {
    kind: Kind,
    key: &'a str,
    revision: Revision,
}

/// Reads a document, fetching only the chunks that are not known from the version before.
async fn fetch(
    context: &Context,
    source: &Source<'_>,
    heads: &Heads,
    chunks: &mut Vec<Chunk>,
) -> Result<(), Failure> {
    let get = context.client.get(source.key);
    let value = context.pace.call("get", get).await?;
    // The watch reports each change once, so a read that is behind it has to be repeated.
    let Some(value) = value.filter(|value| value.revision >= source.revision) else {
        return Err(stale());
    };
    let Some(head) = decode(&value) else {
        return Ok(());
    };
    let known: Vec<_> = chunks.iter().map(Chunk::address).collect();
    for address in document::missing_chunks(&head, &known) {
        let key = address.store_key();
        let stored = context.pace.call("get", context.client.get(&key)).await?;
        // Either a newer version has replaced the head meanwhile, or the read is behind the write of the chunk.
        let Some(stored) = stored else {
            return Err(stale());
        };
        if let Ok(chunk) = Chunk::new(stored.bytes.to_vec()) {
            chunks.push(chunk);
        }
    }
    chunks.retain(|chunk| head.chunks.contains(&chunk.address()));
    let Ok(bytes) = document::join(&head, chunks) else {
        return Ok(());
    };
    if source.kind == Kind::Ledger {
        heads.set_ledger(head, value.revision);
    }
    let received = Received {
        kind: source.kind,
        bytes: bytes.into(),
        from: None,
    };
    context.report(Event::Document(received)).await;
    Ok(())
}

/// Returns the failure of a read that returned an older revision than a watch has reported.
fn stale() -> Failure {
    Failure::Unavailable {
        reason: "the read is behind a change that the store has reported".to_owned(),
    }
}

/// Decodes a head; a malformed one is not read again until it has been replaced.
pub fn decode(value: &Value) -> Option<Head> {
    Head::decode(&value.bytes).ok()
}
