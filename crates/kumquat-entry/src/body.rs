//! The `body` module provides a caller's request body.
//!
//! The first part is kept so that a request can be tried again; a larger body streams and can't.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::stream::BoxStream;
use poem::Body;
use tokio::sync::oneshot;
use tokio::time::timeout;

use kumquat_transport::stream::Outgoing;

/// Bytes of a body that are kept for another try.
const REPLAY_LIMIT: usize = 64 * 1024;

/// Why a body can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Problem {
    /// It is larger than the limit.
    TooLarge,
    /// The caller broke off.
    Broken,
    /// The caller sends too slowly.
    Slow,
    /// The upstream takes nothing of it.
    NotTaken,
}

/// A caller's body: its kept first part and the rest that is still to come.
pub struct CallerBody {
    first: Bytes,
    rest: Option<BoxStream<'static, std::io::Result<Bytes>>>,
    read: usize,
    limit: usize,
    pause: Duration,
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
    pub async fn read(body: Body, limit: usize, pause: Duration) -> Result<Self, Problem> {
        if body.is_empty() {
            return Self::whole(Bytes::new(), limit, pause);
        }
        let mut rest = body.into_bytes_stream().boxed();
        let mut first = BytesMut::new();
        while first.len() < REPLAY_LIMIT {
            match next(&mut rest, pause).await? {
                Some(part) => first.extend_from_slice(&part),
                None => return Self::whole(first.freeze(), limit, pause),
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
            pause,
        })
    }

    fn whole(first: Bytes, limit: usize, pause: Duration) -> Result<Self, Problem> {
        if first.len() > limit {
            return Err(Problem::TooLarge);
        }
        Ok(Self {
            read: first.len(),
            first,
            rest: None,
            limit,
            pause,
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
    /// The returned receiver gets the problem if the rest of the body can't be used.
    pub async fn send(&mut self, outgoing: Outgoing) -> oneshot::Receiver<Problem> {
        let (sender, problem) = oneshot::channel();
        // A failure shows at the answer as well, which is where it is handled.
        if outgoing.send(self.first.clone()).await.is_err() {
            return problem;
        }
        match self.rest.take() {
            None => drop(outgoing.finish().await),
            Some(rest) => {
                let room = self.limit.saturating_sub(self.read);
                let pause = self.pause;
                tokio::spawn(async move {
                    if let Err(problem) = pump(rest, outgoing, room, pause).await {
                        // A request that has been answered meanwhile needs no body any more.
                        let _answered = sender.send(problem);
                    }
                });
            }
        }
        problem
    }
}

/// Sends the rest of a body as it comes and cancels the request if it does not come whole.
async fn pump(
    mut rest: BoxStream<'static, std::io::Result<Bytes>>,
    outgoing: Outgoing,
    mut room: usize,
    pause: Duration,
) -> Result<(), Problem> {
    loop {
        let problem = match next(&mut rest, pause).await {
            Ok(Some(part)) if part.len() <= room => {
                room -= part.len();
                match timeout(pause, outgoing.send(part)).await {
                    Ok(Ok(())) => continue,
                    Ok(Err(_)) => return Ok(()),
                    // While the body is held up, a caller that hangs up may not be noticed.
                    Err(_) => Problem::NotTaken,
                }
            }
            Ok(Some(_)) => Problem::TooLarge,
            Ok(None) => {
                drop(outgoing.finish().await);
                return Ok(());
            }
            Err(problem) => problem,
        };
        outgoing.cancel().await;
        return Err(problem);
    }
}

async fn next(
    rest: &mut BoxStream<'static, std::io::Result<Bytes>>,
    pause: Duration,
) -> Result<Option<Bytes>, Problem> {
    match timeout(pause, rest.next()).await {
        Ok(Some(Ok(part))) => Ok(Some(part)),
        Ok(Some(Err(_))) => Err(Problem::Broken),
        Ok(None) => Ok(None),
        Err(_) => Err(Problem::Slow),
    }
}
