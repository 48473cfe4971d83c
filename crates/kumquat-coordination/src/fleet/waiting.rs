//! The `waiting` module provides a VM's queue of requests for which no upstream has had capacity yet.
//!
//! Requests wait here rather than in the upstreams' queues, because only here they can still be reordered, or refused
//! with the certainty that no upstream has executed them.

use std::sync::Arc;

use kumquat_state::clock::Instant;

/// A request that waits until an upstream has capacity.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Identifies the request within this VM.
    pub id: u64,
    /// Service whose upstreams can handle it.
    pub service: Arc<str>,
    /// Priority; lower values go first.
    pub priority: u32,
    /// Latest time of sending at which the response is still expected within the route's target latency.
    pub on_time_deadline: Instant,
    /// Latest time at which sending it still makes sense; it is then removed from the queue.
    pub send_deadline: Instant,
}

/// Waiting requests by priority, and in order of arrival within one.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    requests: Vec<QueuedRequest>,
}

impl WaitQueue {
    /// Adds a request behind those of the same or a lower priority value.
    pub fn push(&mut self, request: QueuedRequest) {
        let position = self
            .requests
            .partition_point(|other| other.priority <= request.priority);
        self.requests.insert(position, request);
    }

    /// Removes a request; unknown ids are ignored.
    pub fn remove(&mut self, id: u64) {
        self.requests.retain(|request| request.id != id);
    }

    /// Returns the requests for a service by priority and arrival.
    pub fn for_service<'a>(&'a self, service: &'a str) -> impl Iterator<Item = &'a QueuedRequest> {
        let matches_service = move |request: &&QueuedRequest| &*request.service == service;
        self.requests.iter().filter(matches_service)
    }

    /// Returns all requests by priority and arrival.
    #[must_use]
    pub fn requests(&self) -> &[QueuedRequest] {
        &self.requests
    }

    /// Returns the requests in the order in which they are to be sent: by priority, and within one those that miss
    /// their `on_time_deadline` last.
    ///
    /// Under overload, requests that are late already would otherwise make all later ones late as well.
    #[must_use]
    pub fn dispatch_order(&self, now: Instant) -> Vec<&QueuedRequest> {
        let mut ordered: Vec<&QueuedRequest> = self.requests.iter().collect();
        ordered.sort_by_key(|request| (request.priority, request.on_time_deadline < now));
        ordered
    }

    /// Returns the number of a service's requests that a new one of this priority would wait behind.
    #[must_use]
    pub fn count_ahead(&self, service: &str, priority: u32) -> usize {
        self.for_service(service)
            .filter(|request| request.priority <= priority)
            .count()
    }

    /// Removes and returns the requests whose `send_deadline` has passed.
    pub fn remove_expired(&mut self, now: Instant) -> Vec<QueuedRequest> {
        let (expired, kept) = std::mem::take(&mut self.requests)
            .into_iter()
            .partition(|request| request.send_deadline < now);
        self.requests = kept;
        expired
    }
}
