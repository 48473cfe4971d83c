//! The `intake` module provides the bounds on the memory and the connections that a VM spends on its callers.
//!
//! Callers may send and read as slowly as they like, so that the number of requests that are under way is not bounded by
//! the rate at which they arrive. See `docs/design/intake.md`.

use kumquat_state::clock::Instant;

/// Byte budget of a VM whose memory is not stated.
const DEFAULT_BUDGET_BYTES: usize = 64 * 1024 * 1024;

/// Connections of a VM whose descriptors are not stated.
const DEFAULT_MAX_CONNECTIONS: usize = 4_096;

/// Part of a VM's memory that callers' requests and responses may take.
///
/// The rest holds the tables of the deployment, connections to upstreams and the tasks of requests.
const BUDGET_DIVISOR: usize = 4;

/// Descriptors that are reserved for files and the listeners.
const RESERVED_DESCRIPTORS: usize = 200;

/// Part of the budget that only small holdings may use, so that small requests are served beside large ones that run.
const RESERVE_DIVISOR: usize = 8;

/// Largest number of bytes of a connection that counts as small; an ordinary request without a body takes less.
const SMALL_BYTES: usize = 8 * 1024;

/// Space beyond its own length that a request takes in partly filled buffers.
const BUFFER_SLACK_BYTES: usize = 64 * 1024;

/// Part of the maximum number of connections by which those that are being closed may exceed it.
const CLOSING_DIVISOR: usize = 8;

/// Bounds of one VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes that all connections may hold together.
    pub budget_bytes: usize,
    /// Largest number of callers' connections.
    pub max_connections: usize,
}

impl Bounds {
    /// Returns the bounds of a VM with this memory and this number of descriptors, as far as they are stated.
    #[must_use]
    pub fn new(memory_bytes: Option<usize>, descriptors: Option<usize>) -> Self {
        let connections = |descriptors: usize| {
            let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
            (available.saturating_mul(3) / 5).max(1)
        };
        Self {
            budget_bytes: memory_bytes
                .map_or(DEFAULT_BUDGET_BYTES, |memory| memory / BUDGET_DIVISOR),
            max_connections: descriptors.map_or(DEFAULT_MAX_CONNECTIONS, connections),
        }
    }
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Activity {
    /// It waits for a request.
    Idle,
    /// Its caller has sent a part of a request.
    Receiving,
    /// A complete request waits for an upstream or runs at one.
    Serving,
    /// Its caller has not accepted the response that is being written.
    Responding,
}

/// A connection that has to be closed to make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Eviction {
    /// Id of the connection.
    pub connection: u64,
    /// What the connection was doing.
    pub activity: Activity,
}

/// The answer to a connection that needs bytes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Growth {
    /// Whether the connection may hold the bytes; otherwise its request is to be rejected.
    pub is_granted: bool,
    /// Connections to be closed; it contains the one that asked if its own request is the oldest incomplete one.
    pub evictions: Vec<Eviction>,
}

#[derive(Clone, Debug)]
struct Entry {
    id: u64,
    activity: Activity,
    since: Instant,
    bytes: usize,
    is_evicted: bool,
}

impl Entry {
    const fn is_candidate(&self, activity: Activity) -> bool {
        !self.is_evicted && self.activity as u8 == activity as u8
    }
}

/// Connections of callers, with what each holds.
#[derive(Clone, Debug)]
pub struct Intake {
    bounds: Bounds,
    largest_request_bytes: usize,
    // In ascending order of ids.
    entries: Vec<Entry>,
    next_id: u64,
    // Sums over the entries that are not evicted.
    held_bytes: usize,
    open_count: usize,
}

impl Intake {
    /// Creates the state of a VM without connections.
    #[must_use]
    pub const fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            largest_request_bytes: 0,
            entries: Vec::new(),
            next_id: 0,
            held_bytes: 0,
            open_count: 0,
        }
    }

    /// Sets the bounds of the VM.
    pub const fn set_bounds(&mut self, bounds: Bounds) {
        self.bounds = bounds;
    }

    /// Sets the length of the largest request that the desired state allows, which always has to fit.
    pub const fn set_largest_request(&mut self, bytes: usize) {
        self.largest_request_bytes = bytes;
    }

    /// Returns the bytes that all connections may hold together.
    #[must_use]
    pub fn budget_bytes(&self) -> usize {
        let largest = self
            .largest_request_bytes
            .saturating_add(BUFFER_SLACK_BYTES);
        let with_reserve = largest.saturating_add(largest / (RESERVE_DIVISOR - 1) + 1);
        self.bounds.budget_bytes.max(with_reserve)
    }

    /// Returns the bytes that the connections hold, without those that are being closed.
    #[must_use]
    pub const fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    /// Returns the number of connections, without those that are being closed.
    #[must_use]
    pub const fn connections(&self) -> usize {
        self.open_count
    }

    /// Adds a connection and returns its id, with the connection that has to be closed for it, if any.
    ///
    /// Returns `None` if there is no room and none can be made.
    pub fn open(&mut self, now: Instant) -> Option<(u64, Option<Eviction>)> {
        let max = self.bounds.max_connections;
        // Connections that are being closed still have their descriptors.
        if self.entries.len() > max + max / CLOSING_DIVISOR {
            return None;
        }
        let mut eviction = None;
        if self.open_count >= max {
            let is_candidate = |entry: &Entry| {
                entry.is_candidate(Activity::Idle) || entry.is_candidate(Activity::Receiving)
            };
            eviction = Some(self.evict_oldest(is_candidate)?);
        }
        let id = self.next_id;
        self.next_id += 1;
        self.open_count += 1;
        self.entries.push(Entry {
            id,
            activity: Activity::Idle,
            since: now,
            bytes: 0,
            is_evicted: false,
        });
        Some((id, eviction))
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, id: u64) {
        if let Some(position) = self.position(id) {
            let entry = self.entries.remove(position);
            if !entry.is_evicted {
                self.held_bytes -= entry.bytes;
                self.open_count -= 1;
            }
        }
    }

    /// Records what a connection does from now on.
    pub fn set_activity(&mut self, id: u64, activity: Activity, now: Instant) {
        if let Some(position) = self.position(id) {
            let entry = &mut self.entries[position];
            entry.activity = activity;
            entry.since = now;
        }
    }

    /// Lets a connection hold more bytes, if need be in place of connections that are evicted.
    pub fn grow(&mut self, id: u64, bytes: usize) -> Growth {
        let mut growth = Growth::default();
        let Some(position) = self.position(id) else {
            return growth;
        };
        let is_small = self.entries[position].bytes.saturating_add(bytes) <= SMALL_BYTES;
        let budget = self.budget_bytes();
        let limit = if is_small {
            budget
        } else {
            budget - budget / RESERVE_DIVISOR
        };
        while !self.entries[position].is_evicted && self.held_bytes.saturating_add(bytes) > limit {
            let Some(eviction) = self.evict_for_memory() else {
                return growth;
            };
            growth.evictions.push(eviction);
        }
        let entry = &mut self.entries[position];
        if !entry.is_evicted {
            entry.bytes += bytes;
            self.held_bytes += bytes;
            growth.is_granted = true;
        }
        growth
    }

    /// Lets a connection hold more bytes of a response, for which it is too late to reject the request.
    ///
    /// Returns the connections that are evicted for them, if there are any to evict.
    pub fn grow_response(&mut self, id: u64, bytes: usize) -> Vec<Eviction> {
        let Some(position) = self.position(id) else {
            return Vec::new();
        };
        let entry = &mut self.entries[position];
        entry.bytes += bytes;
        if entry.is_evicted {
            return Vec::new();
        }
        self.held_bytes += bytes;
        let budget = self.budget_bytes();
        let mut evictions = Vec::new();
        while self.held_bytes > budget
            && let Some(eviction) = self.evict_for_memory()
        {
            evictions.push(eviction);
        }
        evictions
    }

    /// Lets a connection hold more bytes if at least half of the budget stays free; returns whether it does.
    pub fn grow_if_free(&mut self, id: u64, bytes: usize) -> bool {
        let is_free = self.held_bytes.saturating_add(bytes) <= self.budget_bytes() / 2;
        is_free && self.grow(id, bytes).is_granted
    }

    /// Records that a connection has released bytes.
    pub fn shrink(&mut self, id: u64, bytes: usize) {
        if let Some(position) = self.position(id) {
            let entry = &mut self.entries[position];
            let released = bytes.min(entry.bytes);
            entry.bytes -= released;
            if !entry.is_evicted {
                self.held_bytes -= released;
            }
        }
    }

    fn position(&self, id: u64) -> Option<usize> {
        self.entries
            .binary_search_by_key(&id, |entry| entry.id)
            .ok()
    }

    /// Evicts the connection that has been receiving the longest, or else the one whose response is unread the longest.
    fn evict_for_memory(&mut self) -> Option<Eviction> {
        let receives = |entry: &Entry| entry.bytes > 0 && entry.is_candidate(Activity::Receiving);
        let responds = |entry: &Entry| entry.bytes > 0 && entry.is_candidate(Activity::Responding);
        self.evict_oldest(receives)
            .or_else(|| self.evict_oldest(responds))
    }

    fn evict_oldest(&mut self, is_candidate: impl Fn(&Entry) -> bool) -> Option<Eviction> {
        let candidates = self.entries.iter_mut().filter(|entry| is_candidate(entry));
        let oldest = candidates.min_by_key(|entry| entry.since)?;
        oldest.is_evicted = true;
        let eviction = Eviction {
            connection: oldest.id,
            activity: oldest.activity,
        };
        self.held_bytes -= oldest.bytes;
        self.open_count -= 1;
        Some(eviction)
    }
}
