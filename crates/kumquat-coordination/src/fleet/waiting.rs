//! The `waiting` module provides the requests of a VM that wait for room at an upstream.
//!
//! Waiting happens here rather than in the upstreams' queues, because only here the order can still change and a request
//! can still be refused as not run.

use std::sync::Arc;

use kumquat_state::clock::Instant;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Identifies the request.
    pub id: u64,
    /// Service that it waits for.
    pub service: Arc<str>,
    /// Rank; lower ranks go first.
    pub priority: u32,
    /// Last time at which an answer can still come within the route's aim.
    pub on_time_deadline: Instant,
    /// Last time at which it is worth sending.
    pub send_deadline: Instant,
}

/// Waiting requests in the order in which they are sent.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    entries: Vec<QueuedRequest>,
}

impl WaitQueue {
    /// Adds a request behind those of its rank.
    pub fn push(&mut self, entry: QueuedRequest) {
        let position = self
            .entries
            .partition_point(|other| other.priority <= entry.priority);
        self.entries.insert(position, entry);
    }

    /// Removes a request.
    pub fn remove(&mut self, id: u64) {
        self.entries.retain(|entry| entry.id != id);
    }

    /// Returns the requests for a service in order.
    pub fn for_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a QueuedRequest> {
        let is_for = move |entry: &&QueuedRequest| &*entry.service == service;
        self.entries.iter().filter(is_for)
    }

    /// Returns all requests by rank.
    #[must_use]
    pub fn requests(&self) -> &[QueuedRequest] {
        &self.entries
    }

    /// Returns the requests in the order in which they are to be sent.
    ///
    /// Under overload, requests that can only be late would otherwise make all that follow late as well.
    #[must_use]
    pub fn dispatch_order(&self, now: Instant) -> Vec<&QueuedRequest> {
        let mut ordered: Vec<&QueuedRequest> = self.entries.iter().collect();
        ordered.sort_by_key(|entry| (entry.priority, entry.on_time_deadline < now));
        ordered
    }

    /// Returns the number of requests that would go before one of this rank.
    #[must_use]
    pub fn count_ahead(&self, service: &str, rank: u32) -> usize {
        self.for_service(service)
            .filter(|entry| entry.priority <= rank)
            .count()
    }

    /// Removes and returns the requests that are no longer worth sending.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let (expired, kept) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|entry| entry.send_deadline < now);
        self.entries = kept;
        expired
    }
}
