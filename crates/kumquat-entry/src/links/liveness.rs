//! The `liveness` module provides the check whether the peer of a link still answers.
//!
//! A frozen process or a broken path keeps a TCP connection open for minutes. While something is expected from the peer,
//! a silent link is therefore asked and then closed, so that its requests are tried elsewhere or end at once.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::sleep;

use kumquat_protocol::wire::Message;
use kumquat_state::clock::{self, Instant};
use kumquat_transport::link;

use super::streams::Streams;
use crate::metrics::Metrics;

/// Silence after which the peer is asked for a sign of life.
const ASK_AFTER: Duration = Duration::from_millis(200);

/// Silence after which the link is closed; it equals the time after which a VM is suspected by its cell.
const CLOSE_AFTER: Duration = Duration::from_millis(600);

/// Time between two looks at a link on which something is expected.
const TICK: Duration = Duration::from_millis(50);

/// Longest time between two looks after which the silence is still taken for the peer's.
///
/// A longer gap means that this process was paused or had no processor, and what arrived meanwhile is still unread.
const LATE: Duration = Duration::from_millis(150);

/// When a message last arrived on a link.
#[derive(Debug)]
pub struct Heard(AtomicU64);

impl Heard {
    /// Starts with a link that has just been opened.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self(AtomicU64::new(now.as_micros()))
    }

    /// Notes an arrival.
    pub fn note(&self, now: Instant) {
        self.0.store(now.as_micros(), Ordering::Relaxed);
    }

    fn last(&self) -> Instant {
        Instant::from_micros(self.0.load(Ordering::Relaxed))
    }
}

/// What to do about a link on which something is expected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing yet.
    Wait,
    /// Ask for a sign of life.
    Ask,
    /// Close the link.
    Close,
}

/// Judges the silence of one link.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    since: Instant,
    looked: Instant,
    asked: Option<Instant>,
}

impl Silence {
    /// Starts when something begins to be expected.
    #[must_use]
    pub const fn new(now: Instant) -> Self {
        Self {
            since: now,
            looked: now,
            asked: None,
        }
    }

    /// Looks at the link, on which a message last arrived at `heard`.
    pub fn look(&mut self, now: Instant, heard: Instant) -> Step {
        if self.looked.until(now) > LATE {
            self.since = now;
        }
        self.looked = now;
        if heard > self.since {
            self.since = heard;
        }
        let silence = self.since.until(now);
        if silence >= CLOSE_AFTER {
            return Step::Close;
        }
        let is_asked = self.asked.is_some_and(|asked| asked.until(now) < ASK_AFTER);
        if silence < ASK_AFTER || is_asked {
            return Step::Wait;
        }
        self.asked = Some(now);
        Step::Ask
    }
}

/// Closes a link that stays silent while something is expected on it.
pub(super) async fn watch(
    sender: link::Sender,
    streams: Arc<Streams>,
    heard: Arc<Heard>,
    metrics: Metrics,
) {
    loop {
        tokio::select! {
            () = sender.closed() => return,
            () = streams.busy() => {}
        }
        let mut silence = Silence::new(clock::now());
        while !streams.is_idle() {
            match silence.look(clock::now(), heard.last()) {
                Step::Wait => {}
                // A full queue is no reason to wait here: the peer has not read for long.
                Step::Ask => drop(sender.try_send(Message::Ping)),
                Step::Close => {
                    metrics.silent_links.inc();
                    return sender.close();
                }
            }
            tokio::select! {
                () = sender.closed() => return,
                () = sleep(TICK) => {}
            }
        }
    }
}
