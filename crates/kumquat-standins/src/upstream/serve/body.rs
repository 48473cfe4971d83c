//! The `body` module reads the bodies of requests and makes the bodies of answers in the various modes.

use std::io;
use std::pin::Pin;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, StreamExt, stream};
use poem::http::header::CONTENT_LENGTH;
use poem::{Body, Response};

use super::Mode;
use super::work::Work;
use crate::observation::Ledger;

/// Longest body of a request that is described.
const BODY_LIMIT: u64 = 64 << 20;
/// Length of the beginning of a body that is described.
const BEGINNING: usize = 256;
/// Longest padding of an answer.
const PADDING_LIMIT: usize = 64 << 20;
/// Length of the pieces of a slow body.
const PIECE: usize = 64;
/// Pause between the pieces of a slow body.
const PAUSE: Duration = Duration::from_millis(20);

/// A stream of body pieces.
pub(super) type Pieces = Pin<Box<dyn Stream<Item = io::Result<Bytes>> + Send>>;

/// Body of an answer.
pub(super) enum Content {
    /// All at once.
    Full(Bytes),
    /// Piece by piece.
    Stream(Pieces),
}

/// Settings of one request, taken from its query.
#[derive(Debug, Default)]
pub(super) struct Overrides {
    pub(super) mode: Option<Mode>,
    pub(super) time: Option<Duration>,
    pub(super) size: usize,
}

impl Overrides {
    pub(super) fn read(query: &str) -> Self {
        let mut overrides = Self::default();
        for (name, value) in query.split('&').filter_map(|pair| pair.split_once('=')) {
            match name {
                "mode" => overrides.mode = mode(value),
                "service-ms" => {
                    overrides.time = value.parse().ok().map(Duration::from_millis);
                }
                "size" => overrides.size = value.parse().unwrap_or(0).min(PADDING_LIMIT),
                _ => {}
            }
        }
        overrides
    }
}

fn mode(text: &str) -> Option<Mode> {
    Some(match text {
        "describe" => Mode::Describe,
        "echo" => Mode::Echo,
        "garbage" => Mode::Garbage,
        "half" => Mode::Half,
        "never" => Mode::Never,
        "slow-body" => Mode::SlowBody,
        _ => return None,
    })
}

/// Returns the pieces of a body, all searched for caller keys, also across the borders of pieces.
pub(super) fn inspected(body: Body, ledger: Ledger) -> Pieces {
    let keep = ledger.longest_secret().saturating_sub(1);
    let mut tail = Vec::new();
    Box::pin(body.into_bytes_stream().map(move |piece| {
        if let Ok(piece) = &piece
            && ledger.longest_secret() > 0
        {
            tail.extend_from_slice(piece);
            ledger.inspect("a body", &tail);
            tail.drain(..tail.len().saturating_sub(keep));
        }
        piece
    }))
}

/// Reads a body to its end and returns its length and its beginning, or nothing if it is too long or broken.
pub(super) async fn read(body: Body, ledger: &Ledger) -> Option<(u64, Vec<u8>)> {
    let mut pieces = inspected(body, ledger.clone());
    let mut length = 0_u64;
    let mut beginning = Vec::new();
    while let Some(piece) = pieces.next().await {
        let piece = piece.ok()?;
        let take = piece.len().min(BEGINNING - beginning.len());
        beginning.extend_from_slice(&piece[..take]);
        length += u64::try_from(piece.len()).unwrap_or(u64::MAX);
        if length > BODY_LIMIT {
            return None;
        }
    }
    Some((length, beginning))
}

/// Makes the answer of a run that has come to its end.
pub(super) fn respond(mode: Mode, content: Content, mut work: Work) -> Response {
    let json = Response::builder().content_type("application/json");
    match (mode, content) {
        (Mode::Half, Content::Full(bytes)) => {
            work.complete();
            let length = bytes.len();
            let half = bytes.slice(..length / 2);
            let pieces = stream::iter([Ok(half)]).chain(stream::once(async {
                // Waiting once makes hyper send what it has before the error closes the connection.
                tokio::task::yield_now().await;
                Err(io::Error::other("the answer breaks off in this mode"))
            }));
            Response::builder()
                .header(CONTENT_LENGTH, length)
                .body(Body::from_bytes_stream(pieces))
        }
        (Mode::SlowBody, Content::Full(bytes)) => {
            let count = bytes.len().div_ceil(PIECE);
            let pieces = stream::iter(0..count).then(move |index| {
                let end = bytes.len().min((index + 1) * PIECE);
                let piece = bytes.slice(index * PIECE..end);
                async move {
                    tokio::time::sleep(PAUSE).await;
                    Ok::<_, io::Error>(piece)
                }
            });
            json.body(Body::from_bytes_stream(until_end(pieces, work)))
        }
        (_, Content::Full(bytes)) => {
            work.complete();
            // The slot is free before the caller has the answer, so that its next request is not an excess.
            drop(work);
            json.body(bytes)
        }
        (_, Content::Stream(pieces)) => {
            Response::builder().body(Body::from_bytes_stream(until_end(pieces, work)))
        }
    }
}

/// Passes pieces on and ends the work with the last one, or when the caller hangs up.
fn until_end<S>(pieces: S, work: Work) -> impl Stream<Item = io::Result<Bytes>> + Send
where
    S: Stream<Item = io::Result<Bytes>> + Send + 'static,
{
    stream::unfold(
        (Box::pin(pieces), Some(work)),
        async |(mut pieces, mut work)| {
            let piece = pieces.next().await;
            if piece.is_none()
                && let Some(mut work) = work.take()
            {
                work.complete();
            }
            piece.map(|piece| (piece, (pieces, work)))
        },
    )
}
