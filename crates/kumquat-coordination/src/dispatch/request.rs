//! The `request` module provides the slab of the requests that the group is dispatching.

use kumquat_state::bundle::PriorityClass;
use kumquat_state::clock::Instant;
use kumquat_state::ident;

use super::{Arrival, Group};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The slab entry holds no request.
    Free,
    /// Waits in a queue for a free slot.
    Queued,
    /// Waits for the end of the delay before a retry.
    AwaitingRetry,
    /// Has at least one attempt in flight.
    InFlight,
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) team: ident::Team,
    pub(crate) class: PriorityClass,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) target: Option<ident::Upstream>,
    pub(crate) phase: Phase,
    /// Attempts that have been sent, including those that have ended.
    pub(crate) attempts: u8,
    pub(crate) in_flight: u8,
    pub(crate) last_upstream: Option<usize>,
    pub(crate) may_have_run: bool,
    /// Whether the response has begun; its attempt may still be in flight.
    pub(crate) is_delivered: bool,
}

impl Group {
    /// Adds a request to the slab and returns its handle; `position` is where its id belongs in `handles_by_id`.
    pub(crate) fn insert_request(&mut self, position: usize, arrival: Arrival) -> u32 {
        let request = Request {
            id: arrival.id,
            team: arrival.team,
            class: arrival.class,
            idempotent: arrival.idempotent,
            deadline: arrival.deadline,
            target: arrival.target,
            phase: Phase::Queued,
            attempts: 0,
            in_flight: 0,
            last_upstream: None,
            may_have_run: false,
            is_delivered: false,
        };
        let handle = if let Some(handle) = self.free_handles.pop() {
            self.requests[handle as usize] = request;
            handle
        } else {
            self.requests.push(request);
            u32::try_from(self.requests.len() - 1).unwrap_or(u32::MAX)
        };
        self.handles_by_id.insert(position, (arrival.id, handle));
        handle
    }

    pub(crate) fn remove_request(&mut self, handle: u32) {
        let request = &mut self.requests[handle as usize];
        request.phase = Phase::Free;
        let id = request.id;
        if let Ok(position) = self
            .handles_by_id
            .binary_search_by_key(&id, |entry| entry.0)
        {
            self.handles_by_id.remove(position);
        }
        self.free_handles.push(handle);
    }

    pub(crate) fn handle_of(&self, id: u64) -> Option<u32> {
        let position = self
            .handles_by_id
            .binary_search_by_key(&id, |entry| entry.0)
            .ok()?;
        Some(self.handles_by_id[position].1)
    }
}
