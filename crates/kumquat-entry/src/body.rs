//! The `body` module provides a caller's request body.
//!
//! The first part is kept so that a request can be tried again; a larger body streams and can't.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use poem::Body;
use tokio::time::timeout;

use kumquat_transport::stream::Outgoing;

/// Bytes of a body that are kept for another try.
const REPLAY_LIMIT: usize = 64 * 1024;

/// Longest pause of a caller within its body.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a body can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// It is larger than the limit.
    TooLarge,
    /// The caller broke off.
    Broken,
    /// The caller sends too slowly.
    Slow,
}

/// A caller's body: its kept first part and the rest that is still to come.
pub struct CallerBody {
    first: Bytes,
    rest: Option<BoxStream<'static, std::io::Result<Bytes>>>,
    read: usize,
    limit: usize,
}

impl std::fmt::Debug for CallerBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerBody")
            .field("first", &self.first.len())
            .field("streams", &self.rest.is_some())
            .finish_non_exhaustive()
    }
}

impl CallerBody {
    /// Reads the first part of a body.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] if the body is too large, breaks off or comes too slowly.
    pub async fn read(body: Body, limit: usize) -> Result<Self, Problem> {
        if body.is_empty() {
            return Ok(Self {
                first: Bytes::new(),
                rest: None,
                read: 0,
                limit,
            });
        }
        let mut rest = body.into_bytes_stream().boxed();
        let mut first = BytesMut::new();
        while first.len() < REPLAY_LIMIT {
            match next(&mut rest).await? {
                Some(part) => first.extend_from_slice(&part),
                None => return Self::whole(first.freeze(), limit),
            }
            if first.len() > limit {
                return Err(Problem::TooLarge);
            }
        }
        Ok(Self {
            read: first.len(),
            first: first.freeze(),
            rest: Some(rest),
            limit,
        })
    }

    fn whole(first: Bytes, limit: usize) -> Result<Self, Problem> {
        if first.len() > limit {
            return Err(Problem::TooLarge);
        }
        Ok(Self {
            read: first.len(),
            first,
            rest: None,
            limit,
        })
    }

    /// Returns whether there is a body.
    #[must_use]
    pub const fn exists(&self) -> bool {
        !self.first.is_empty() || self.rest.is_some()
    }

    /// Returns whether the body can be sent again.
    #[must_use]
    pub const fn is_replayable(&self) -> bool {
        self.rest.is_none()
    }

    /// Sends the body; a body that streams is sent by a task of its own.
    ///
    /// The returned flag is set if the rest of the body turned out too large.
    pub async fn send(&mut self, outgoing: Outgoing) -> Arc<AtomicBool> {
        let too_large = Arc::new(AtomicBool::new(false));
        // A failure shows at the answer as well, which is where it is handled.
        if outgoing.send(self.first.clone()).await.is_err() {
            return too_large;
        }
        match self.rest.take() {
            None => drop(outgoing.finish().await),
            Some(rest) => {
                let room = self.limit.saturating_sub(self.read);
                tokio::spawn(pump(rest, outgoing, room, Arc::clone(&too_large)));
            }
        }
        too_large
    }
}

/// Sends the rest of a body as it comes and cancels the request if it does not come whole.
async fn pump(
    mut rest: BoxStream<'static, std::io::Result<Bytes>>,
    outgoing: Outgoing,
    mut room: usize,
    too_large: Arc<AtomicBool>,
) {
    loop {
        match next(&mut rest).await {
            Ok(Some(part)) if part.len() <= room => {
                room -= part.len();
                if outgoing.send(part).await.is_err() {
                    return;
                }
            }
            Ok(Some(_)) => {
                too_large.store(true, Ordering::Release);
                return outgoing.cancel().await;
            }
            Ok(None) => return drop(outgoing.finish().await),
            Err(_) => return outgoing.cancel().await,
        }
    }
}

async fn next(
    rest: &mut BoxStream<'static, std::io::Result<Bytes>>,
) -> Result<Option<Bytes>, Problem> {
    match timeout(IDLE_TIMEOUT, rest.next()).await {
        Ok(Some(Ok(part))) => Ok(Some(part)),
        Ok(Some(Err(_))) => Err(Problem::Broken),
        Ok(None) => Ok(None),
        Err(_) => Err(Problem::Slow),
    }
}
