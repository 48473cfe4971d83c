//! The `stream` module provides request and answer bodies as flow-controlled streams over a link.
//!
//! Each direction of a stream may have [`WINDOW`] bytes on their way; the receiver allows more as its consumer takes
//! them. A slow consumer therefore holds up its own stream only, and a body is never held whole.

use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use tokio::sync::{Semaphore, mpsc};

use kumquat_protocol::wire::{BODY_LIMIT, Body, Cancel, Message, WINDOW, Window};

use crate::errors::{Error, Result};
use crate::link;

/// Bytes taken by the consumer before the sender is told, so that small reads don't cost a message each.
const UPDATE: u32 = WINDOW / 4;

/// Sends the body of one stream.
#[derive(Debug)]
pub struct Outgoing {
    stream: u64,
    link: link::Sender,
    window: Arc<Semaphore>,
}

/// Handle by which the link's reader adds to an [`Outgoing`] stream's window.
#[derive(Clone, Debug)]
pub struct Credit {
    window: Arc<Semaphore>,
}

/// Receives the body of one stream.
#[derive(Debug)]
pub struct Incoming {
    stream: u64,
    link: link::Sender,
    parts: mpsc::UnboundedReceiver<Part>,
    shared: Arc<Mutex<u32>>,
    taken: u32,
    finished: bool,
}

/// Handle by which the link's reader fills an [`Incoming`] stream.
#[derive(Clone, Debug)]
pub struct Feed {
    parts: mpsc::UnboundedSender<Part>,
    outstanding: Arc<Mutex<u32>>,
}

#[derive(Debug)]
enum Part {
    Data(Bytes),
    Last,
}

/// Creates the sending side of a body.
#[must_use]
pub fn outgoing(stream: u64, link: &link::Sender) -> (Outgoing, Credit) {
    let window = Arc::new(Semaphore::new(WINDOW as usize));
    let credit = Credit {
        window: Arc::clone(&window),
    };
    let outgoing = Outgoing {
        stream,
        link: link.clone(),
        window,
    };
    (outgoing, credit)
}

/// Creates the receiving side of a body.
#[must_use]
pub fn incoming(stream: u64, link: &link::Sender) -> (Incoming, Feed) {
    let (sender, parts) = mpsc::unbounded_channel();
    let outstanding = Arc::new(Mutex::new(0));
    let feed = Feed {
        parts: sender,
        outstanding: Arc::clone(&outstanding),
    };
    let incoming = Incoming {
        stream,
        link: link.clone(),
        parts,
        shared: outstanding,
        taken: 0,
        finished: false,
    };
    (incoming, feed)
}

impl Outgoing {
    /// Sends a part of the body and waits while the window is used up.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the link has ended and [`Error::Cancelled`] if the peer gave the stream up.
    pub async fn send(&self, mut data: Bytes) -> Result<()> {
        while !data.is_empty() {
            let part = data.split_to(data.len().min(BODY_LIMIT));
            let size = u32::try_from(part.len()).unwrap_or(u32::MAX);
            tokio::select! {
                biased;
                permits = self.window.acquire_many(size) => permits.or(Err(Error::Cancelled))?.forget(),
                () = self.link.closed() => return Err(Error::Closed),
            }
            self.link.send(self.body(part, false)).await?;
        }
        Ok(())
    }

    /// Ends the body.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the link has ended.
    pub async fn finish(self) -> Result<()> {
        self.link.send(self.body(Bytes::new(), true)).await
    }

    /// Tells the peer that the body will not be completed.
    pub async fn cancel(self) {
        let cancel = Cancel {
            stream: self.stream,
        };
        // A closed link ends the stream at the peer anyway.
        drop(self.link.send(Message::Cancel(cancel)).await);
    }

    fn body(&self, data: Bytes, last: bool) -> Message {
        Message::Body(Body {
            stream: self.stream,
            data,
            last,
        })
    }
}

impl Credit {
    /// Allows the sender that many more bytes.
    pub fn add(&self, bytes: u32) {
        // A peer that allows more than the window gains nothing by it.
        let room = (WINDOW as usize).saturating_sub(self.window.available_permits());
        self.window.add_permits((bytes as usize).min(room));
    }

    /// Ends the stream; a waiting sender gets [`Error::Cancelled`].
    pub fn cancel(&self) {
        self.window.close();
    }
}

impl Feed {
    /// Takes a part of the body from the link.
    ///
    /// # Errors
    ///
    /// Returns [`Error::WindowExceeded`] if the peer sent more than it was allowed.
    pub fn push(&self, body: Body) -> Result<()> {
        let size = u32::try_from(body.data.len()).unwrap_or(u32::MAX);
        {
            let mut outstanding = self
                .outstanding
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            *outstanding = outstanding.saturating_add(size);
            if *outstanding > WINDOW {
                return Err(Error::WindowExceeded);
            }
        }
        // A consumer that has gone away no longer needs the body.
        if !body.data.is_empty() {
            drop(self.parts.send(Part::Data(body.data)));
        }
        if body.last {
            drop(self.parts.send(Part::Last));
        }
        Ok(())
    }
}

impl Incoming {
    /// Waits for the next part of the body; none at its end.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Cancelled`] if the body ended before its last part.
    pub async fn next(&mut self) -> Result<Option<Bytes>> {
        if self.finished {
            return Ok(None);
        }
        match self.parts.recv().await {
            Some(Part::Data(data)) => {
                self.allow(u32::try_from(data.len()).unwrap_or(u32::MAX))
                    .await;
                Ok(Some(data))
            }
            Some(Part::Last) => {
                self.finished = true;
                Ok(None)
            }
            None => Err(Error::Cancelled),
        }
    }

    /// Returns whether the last part has been taken.
    #[must_use]
    pub const fn is_finished(&self) -> bool {
        self.finished
    }

    /// Counts bytes as taken and allows the peer to send as many more.
    async fn allow(&mut self, bytes: u32) {
        self.taken += bytes;
        if self.taken < UPDATE {
            return;
        }
        let bytes = std::mem::take(&mut self.taken);
        self.forget(bytes);
        let window = Window {
            stream: self.stream,
            bytes,
        };
        // After the end of the link no more parts come, which `next` reports.
        drop(self.link.send(Message::Window(window)).await);
    }

    fn forget(&self, bytes: u32) {
        let mut outstanding = self
            .shared
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        *outstanding = outstanding.saturating_sub(bytes);
    }
}
