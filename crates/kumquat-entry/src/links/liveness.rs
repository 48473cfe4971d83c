//! The `liveness` module provides the detection of dispatch processes that have gone silent.
//!
//! A VM that is paused or cut off closes no connection. Without this, requests under way to it would wait until their
//! deadline, although a successor acts about a second after the loss. See `docs/design.md`, section 3.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kumquat_protocol::wire::Message;
use kumquat_state::clock::{self, Instant};
use kumquat_transport::link;

use super::streams::Streams;

/// Time between two looks at a connection.
const EVERY: Duration = Duration::from_millis(150);

/// Silence after which a dispatch process that owes an answer is taken for lost; the time after which its peers suspect
/// it as well.
const SILENCE: Duration = Duration::from_millis(600);

/// When the peer was last heard.
#[derive(Debug)]
pub struct Heard(AtomicU64);

impl Heard {
    /// Creates the record of a connection that has just been opened.
    #[must_use]
    pub fn now() -> Self {
        Self(AtomicU64::new(clock::now().as_micros()))
    }

    /// Notes that the peer has been heard.
    pub fn note(&self) {
        self.0.store(clock::now().as_micros(), Ordering::Release);
    }

    fn at(&self) -> Instant {
        Instant::from_micros(self.0.load(Ordering::Acquire))
    }
}

/// Closes a connection whose peer stays silent while something is awaited from it.
pub async fn watch(sender: link::Sender, streams: Arc<Streams>, heard: Arc<Heard>) {
    let mut looked = clock::now();
    while !sender.is_closed() {
        tokio::select! {
            () = sender.closed() => return,
            () = tokio::time::sleep(EVERY) => {}
        }
        let now = clock::now();
        let is_late = now.saturating_since(looked) > EVERY * 2;
        looked = now;
        // Silence counts only while the peer has been asked. After a pause of this process, its messages may still wait
        // in the socket.
        if is_late || !streams.is_awaited() {
            heard.note();
            continue;
        }
        if now.saturating_since(heard.at()) >= SILENCE {
            return sender.close();
        }
        // A full queue means that the peer has enough to answer already.
        drop(sender.try_send(Message::Ping));
    }
}
