//! The `pool` module provides the pool of idle connections to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};

use crate::http::HttpConnection;

/// Maximum number of idle connections per address; a VM rarely has more requests in flight to one upstream.
const MAX_IDLE_PER_ADDRESS: usize = 4;

/// Idle time after which a connection is no longer reused if the upstream announces no timeout.
pub const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Fraction of the idle time of a stale connection up to which other connections may still be reused.
const STALE_IDLE_FRACTION: f64 = 0.7;

/// Idle time up to which connections may always be reused.
const MIN_IDLE_LIMIT: Duration = Duration::from_millis(50);

/// Time for which the idle limit stays reduced after a connection was found to be stale.
const REDUCED_LIMIT_DURATION: Duration = Duration::from_secs(10);

/// Idle connections of a VM, grouped by the address of the upstream.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    // Sorted by address; the most recently used connection is last.
    idle_connections: Vec<(SocketAddr, Vec<IdleConnection>)>,
    // Reduced limit for the idle time of a reused connection, and the time at which it expires.
    reduced_limit: Option<(Duration, Instant)>,
}

#[derive(Debug)]
struct IdleConnection {
    wire: HttpConnection,
    idle_since: Instant,
    expires_at: Instant,
}

impl ConnectionPool {
    /// Takes the most recently used connection that is still usable, with the time for which it was idle.
    ///
    /// Connections that are found to be unusable are closed.
    pub fn take(&mut self, address: SocketAddr) -> Option<(HttpConnection, Duration)> {
        let position = self.position(address).ok()?;
        let now = clock::now();
        let max_idle_time = self.max_idle_time(now);
        let connections = &mut self.idle_connections[position].1;
        while let Some(IdleConnection {
            wire,
            idle_since,
            expires_at,
        }) = connections.pop()
        {
            let idle_time = now.saturating_since(idle_since);
            if now < expires_at && idle_time < max_idle_time && wire.is_reusable() {
                wire.set_keep_alive(false);
                return Some((wire, idle_time));
            }
        }
        None
    }

    /// Records that an exchange failed on a connection that was reused after `idle_time`, and reduces the idle limit.
    ///
    /// Upstreams may drop idle connections without notice, and a request that is not idempotent is lost when it is sent
    /// on such a connection.
    pub fn record_stale(&mut self, idle_time: Duration) {
        let now = clock::now();
        let reduced = idle_time.mul_f64(STALE_IDLE_FRACTION).max(MIN_IDLE_LIMIT);
        let max_idle_time = reduced.min(self.max_idle_time(now));
        self.reduced_limit = Some((max_idle_time, now + REDUCED_LIMIT_DURATION));
    }

    /// Returns the idle time from which connections are no longer reused.
    fn max_idle_time(&self, now: Instant) -> Duration {
        match self.reduced_limit {
            Some((max_idle_time, expires_at)) if now < expires_at => max_idle_time,
            _ => Duration::MAX,
        }
    }

    /// Adds a connection that may stay idle for `keep_alive`; closes it if the address has enough idle connections.
    pub fn put(&mut self, address: SocketAddr, wire: HttpConnection, keep_alive: Duration) {
        let idle_since = clock::now();
        let expires_at = idle_since + keep_alive;
        let position = match self.position(address) {
            Ok(position) => position,
            Err(position) => {
                self.idle_connections
                    .insert(position, (address, Vec::new()));
                position
            }
        };
        let connections = &mut self.idle_connections[position].1;
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            wire.set_keep_alive(true);
            connections.push(IdleConnection {
                wire,
                idle_since,
                expires_at,
            });
        }
    }

    /// Closes all idle connections to an address, such as when its upstream is about to shut down.
    pub fn close_idle(&mut self, address: SocketAddr) {
        if let Ok(position) = self.position(address) {
            self.idle_connections.remove(position);
        }
    }

    /// Closes the connections whose idle timeout has passed or that the upstream has closed.
    ///
    /// Called periodically by the VM.
    pub fn close_expired(&mut self) {
        let now = clock::now();
        for (_, connections) in &mut self.idle_connections {
            connections
                .retain(|connection| now < connection.expires_at && connection.wire.is_reusable());
        }
        self.idle_connections
            .retain(|(_, connections)| !connections.is_empty());
    }

    /// Returns the index of an address, or the index at which to insert it.
    fn position(&self, address: SocketAddr) -> Result<usize, usize> {
        self.idle_connections
            .binary_search_by_key(&address, |(address, _)| *address)
    }
}
