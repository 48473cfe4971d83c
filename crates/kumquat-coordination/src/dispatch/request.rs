//! The `request` module provides the slab of the requests that a group knows.

use kumquat_state::bundle::Class;
use kumquat_state::clock::Instant;
use kumquat_state::ident;

use super::{Arrival, Group};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The entry of the slab is unused.
    Unused,
    /// Waits in the queue.
    Waiting,
    /// Waits for the delay before a retry.
    Delayed,
    /// Has at least one running attempt.
    Running,
}

#[derive(Clone, Debug)]
pub(crate) struct Request {
    pub(crate) id: u64,
    pub(crate) team: ident::Team,
    pub(crate) class: Class,
    pub(crate) idempotent: bool,
    pub(crate) deadline: Instant,
    pub(crate) target: Option<ident::Upstream>,
    pub(crate) phase: Phase,
    pub(crate) attempts: u8,
    pub(crate) in_flight: u8,
    pub(crate) last_server: Option<usize>,
    pub(crate) may_have_run: bool,
    pub(crate) is_delivered: bool,
}

impl Group {
    pub(crate) fn insert(&mut self, position: usize, arrival: Arrival) -> u32 {
        let request = Request {
            id: arrival.id,
            team: arrival.team,
            class: arrival.class,
            idempotent: arrival.idempotent,
            deadline: arrival.deadline,
            target: arrival.target,
            phase: Phase::Waiting,
            attempts: 0,
            in_flight: 0,
            last_server: None,
            may_have_run: false,
            is_delivered: false,
        };
        let handle = if let Some(handle) = self.unused.pop() {
            self.requests[handle as usize] = request;
            handle
        } else {
            self.requests.push(request);
            u32::try_from(self.requests.len() - 1).unwrap_or(u32::MAX)
        };
        self.index.insert(position, (arrival.id, handle));
        handle
    }

    pub(crate) fn forget(&mut self, handle: u32) {
        let request = &mut self.requests[handle as usize];
        request.phase = Phase::Unused;
        let id = request.id;
        if let Ok(position) = self.index.binary_search_by_key(&id, |entry| entry.0) {
            self.index.remove(position);
        }
        self.unused.push(handle);
    }

    pub(crate) fn handle(&self, id: u64) -> Option<u32> {
        let position = self.index.binary_search_by_key(&id, |entry| entry.0).ok()?;
        Some(self.index[position].1)
    }
}
