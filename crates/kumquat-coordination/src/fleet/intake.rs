//! The `intake` module provides the bounds on the memory and the connections that a VM spends on those who connect to it.
//!
//! Callers may send and read as slowly as they like, so that the number of requests that are under way is not bounded by
//! the rate at which they arrive. Each listener has bounds of its own, so that a crowd at one of them does not keep the
//! others from serving. See `docs/design/intake.md`.

use kumquat_state::clock::Instant;

/// Memory of a VM that does not state it, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 256 * 1024 * 1024;

/// Descriptors of a VM that does not state them; with them it accepts 4,096 callers.
const DEFAULT_DESCRIPTORS: usize = 7_027;

/// Part of a VM's memory that the requests of callers and the responses to them may take.
///
/// The parts of all listeners leave the rest for the tables of the deployment, connections to upstreams and tasks.
const CALLERS_BUDGET_DIVISOR: usize = 4;

/// Part of a VM's memory for requests that other VMs forward.
const PEERS_BUDGET_DIVISOR: usize = 8;

/// Part of a VM's memory up to which that budget is raised for the largest request.
const MAX_PEERS_BUDGET_DIVISOR: usize = 4;

/// Part of a VM's memory for pages, among them changes of the desired state that many other VMs ask for at once.
const ADMIN_BUDGET_DIVISOR: usize = 6;

/// Part of a VM's memory for readiness checks.
const READINESS_BUDGET_DIVISOR: usize = 64;

/// Part of the descriptors for connections on which other VMs forward requests.
const PEERS_CONNECTIONS_DIVISOR: usize = 10;

/// Part of the descriptors for connections that ask for pages.
const ADMIN_CONNECTIONS_DIVISOR: usize = 16;

/// Part of the descriptors for readiness checks.
const READINESS_CONNECTIONS_DIVISOR: usize = 64;

/// Smallest number of connections of a listener other than that for callers.
const MIN_INTERNAL_CONNECTIONS: usize = 4;

/// Input that the kernel buffers for a connection, in bytes; Linux accepts as much by default before it is read.
pub const UNREAD_BYTES: usize = 128 * 1024;

/// Part of a VM's memory for input of callers' connections that have not been accepted.
const CALLERS_BACKLOG_DIVISOR: usize = 4;

/// The same for each of the other listeners.
const INTERNAL_BACKLOG_DIVISOR: usize = 32;

/// Smallest number of connections that may wait to be accepted.
const MIN_BACKLOG: usize = 32;

/// Largest number of connections that may wait to be accepted.
const MAX_BACKLOG: usize = 1_024;

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

/// A listener of a VM, by those who connect to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listener {
    /// Callers.
    Callers,
    /// Other VMs, which forward requests of their callers.
    Peers,
    /// Monitoring and other VMs, which ask for pages.
    Admin,
    /// Load balancers, which check whether the VM is ready.
    Readiness,
}

impl Listener {
    /// Returns the name in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Peers => "peers",
            Self::Admin => "admin",
            Self::Readiness => "readiness",
        }
    }
}

/// What a VM has, as far as it is stated.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Capacity {
    /// Memory in bytes.
    pub memory_bytes: Option<usize>,
    /// File descriptors.
    pub descriptors: Option<usize>,
}

impl Capacity {
    /// Returns how many connections of a listener may wait to be accepted.
    ///
    /// The kernel accepts their input meanwhile. When the queue is full, it drops new connections and callers retry after a
    /// second.
    #[must_use]
    pub fn backlog(&self, listener: Listener) -> usize {
        let divisor = match listener {
            Listener::Callers => CALLERS_BACKLOG_DIVISOR,
            Listener::Peers | Listener::Admin | Listener::Readiness => INTERNAL_BACKLOG_DIVISOR,
        };
        let memory = self.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        (memory / divisor / UNREAD_BYTES).clamp(MIN_BACKLOG, MAX_BACKLOG)
    }

    /// Returns the bounds of a listener.
    #[must_use]
    pub fn bounds(&self, listener: Listener) -> Bounds {
        let memory = self.memory_bytes.unwrap_or(DEFAULT_MEMORY_BYTES);
        let descriptors = self.descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let available = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
        let internal = |divisor: usize| (available / divisor).max(MIN_INTERNAL_CONNECTIONS);
        match listener {
            Listener::Callers => Bounds {
                budget_bytes: memory / CALLERS_BUDGET_DIVISOR,
                max_budget_bytes: usize::MAX,
                max_connections: (available.saturating_mul(3) / 5).max(1),
            },
            Listener::Peers => Bounds {
                budget_bytes: memory / PEERS_BUDGET_DIVISOR,
                max_budget_bytes: memory / MAX_PEERS_BUDGET_DIVISOR,
                max_connections: internal(PEERS_CONNECTIONS_DIVISOR),
            },
            Listener::Admin => Bounds {
                budget_bytes: memory / ADMIN_BUDGET_DIVISOR,
                max_budget_bytes: memory / ADMIN_BUDGET_DIVISOR,
                max_connections: internal(ADMIN_CONNECTIONS_DIVISOR),
            },
            Listener::Readiness => Bounds {
                budget_bytes: memory / READINESS_BUDGET_DIVISOR,
                max_budget_bytes: memory / READINESS_BUDGET_DIVISOR,
                max_connections: internal(READINESS_CONNECTIONS_DIVISOR),
            },
        }
    }
}

/// Bounds of one listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    /// Bytes that all connections may hold together.
    pub budget_bytes: usize,
    /// Bytes up to which the budget is raised so that the largest request fits.
    pub max_budget_bytes: usize,
    /// Largest number of connections.
    pub max_connections: usize,
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
    /// Nothing more is served on it; its caller has some time to read the last response.
    Closing,
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
    // Whether it has been told to close without waiting for its caller.
    is_aborted: bool,
}

impl Entry {
    const fn is_candidate(&self, activity: Activity) -> bool {
        !self.is_evicted && self.activity as u8 == activity as u8
    }
}

/// Connections of a listener, with what each holds.
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
    /// Creates the state of a listener without connections.
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

    /// Sets the bounds of the listener.
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
        let raised = with_reserve.min(self.bounds.max_budget_bytes);
        self.bounds.budget_bytes.max(raised)
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
    /// Returns `None` if there is no room and none can be made. [`Self::abort_excess`] is to be called afterwards.
    pub fn open(&mut self, now: Instant) -> Option<(u64, Option<Eviction>)> {
        let max = self.bounds.max_connections;
        if self.entries.len() > self.max_entries() {
            return None;
        }
        let mut eviction = None;
        if self.open_count >= max {
            let is_unserved = |entry: &Entry| {
                entry.is_candidate(Activity::Idle) || entry.is_candidate(Activity::Receiving)
            };
            let evicted = self
                .evict_oldest(|entry| entry.is_candidate(Activity::Closing))
                .or_else(|| self.evict_oldest(is_unserved));
            eviction = Some(evicted?);
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
            is_aborted: false,
        });
        Some((id, eviction))
    }

    /// Aborts the evicted connection that has been closing the longest, if too many are; returns its id.
    ///
    /// Without it, callers that come back at once would fill the listener with connections that wait for them to read a
    /// last response.
    pub fn abort_excess(&mut self) -> Option<u64> {
        if self.entries.len() <= self.max_entries() {
            return None;
        }
        let is_closing = |entry: &&mut Entry| entry.is_evicted && !entry.is_aborted;
        let closing = self.entries.iter_mut().filter(is_closing);
        let oldest = closing.min_by_key(|entry| entry.since)?;
        oldest.is_aborted = true;
        Some(oldest.id)
    }

    /// Returns the number of connections with those that are being closed, which still have their descriptors.
    const fn max_entries(&self) -> usize {
        let max = self.bounds.max_connections;
        max + max / CLOSING_DIVISOR
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
        oldest.is_aborted = oldest.activity == Activity::Closing;
        let eviction = Eviction {
            connection: oldest.id,
            activity: oldest.activity,
        };
        self.held_bytes -= oldest.bytes;
        self.open_count -= 1;
        Some(eviction)
    }
}
