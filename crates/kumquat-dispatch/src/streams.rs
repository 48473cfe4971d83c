//! The `streams` module provides the open streams of one connection from an entry.

use std::sync::{Mutex, MutexGuard, PoisonError};

use kumquat_protocol::wire::Body;
use kumquat_transport::stream::{Credit, Feed};

/// Open streams, sorted by number.
#[derive(Debug, Default)]
pub struct Streams {
    open: Mutex<Vec<Open>>,
}

#[derive(Debug)]
struct Open {
    number: u64,
    group: crate::group::Handle,
    feed: Option<Feed>,
    credit: Credit,
}

impl Streams {
    /// Adds a stream and returns false if its number is in use.
    pub fn insert(
        &self,
        number: u64,
        group: crate::group::Handle,
        feed: Option<Feed>,
        credit: Credit,
    ) -> bool {
        let mut open = self.lock();
        match open.binary_search_by_key(&number, |open| open.number) {
            Ok(_) => false,
            Err(index) => {
                let stream = Open {
                    number,
                    group,
                    feed,
                    credit,
                };
                open.insert(index, stream);
                true
            }
        }
    }

    /// Removes a stream.
    pub fn remove(&self, number: u64) {
        let mut open = self.lock();
        if let Ok(index) = open.binary_search_by_key(&number, |open| open.number) {
            open.remove(index);
        }
    }

    /// Hands a part of a request's body to its stream; a peer that ignores the window loses the stream.
    pub fn body(&self, body: Body) {
        let mut open = self.lock();
        let Ok(index) = open.binary_search_by_key(&body.stream, |open| open.number) else {
            return;
        };
        let last = body.last;
        let stream = &mut open[index];
        let broken = stream
            .feed
            .as_ref()
            .is_some_and(|feed| feed.push(body).is_err());
        if last || broken {
            stream.feed = None;
        }
    }

    /// Adds to the window of an answer.
    pub fn window(&self, number: u64, bytes: u32) {
        let open = self.lock();
        if let Ok(index) = open.binary_search_by_key(&number, |open| open.number) {
            open[index].credit.add(bytes);
        }
    }

    /// Ends a stream on behalf of its caller and returns the group that has to be told.
    pub fn cancel(&self, number: u64) -> Option<crate::group::Handle> {
        let mut open = self.lock();
        let index = open
            .binary_search_by_key(&number, |open| open.number)
            .ok()?;
        let stream = open.remove(index);
        stream.credit.cancel();
        Some(stream.group)
    }

    /// Ends all streams and returns their numbers with the groups that have to be told.
    pub fn close(&self) -> Vec<(u64, crate::group::Handle)> {
        let mut open = self.lock();
        open.drain(..)
            .map(|stream| {
                stream.credit.cancel();
                (stream.number, stream.group)
            })
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Open>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
