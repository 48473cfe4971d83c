//! The `pool` module provides the open connections to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};

use crate::http::HttpConnection;

/// Idle connections that are kept to one address; a VM rarely has more requests under way there.
const IDLE_LIMIT: usize = 4;

/// Part of the rest after which a connection was found to be forgotten that others may rest for.
const REST_PART: f64 = 0.7;

/// Shortest time for which connections may rest in any case.
const LEAST_REST: Duration = Duration::from_millis(50);

/// Time for which connections rest less after one was forgotten.
const CAUTION: Duration = Duration::from_secs(10);

/// Idle connections, sorted by address.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    addresses: Vec<(SocketAddr, Vec<Idle>)>,
    // Longest rest of a connection that is used again, and until when that holds.
    caution: Option<(Duration, Instant)>,
}

#[derive(Debug)]
struct Idle {
    wire: HttpConnection,
    since: Instant,
    until: Instant,
}

impl ConnectionPool {
    /// Takes a connection that can be used, the one that was used last first; returns also how long it has rested.
    pub fn take(&mut self, address: SocketAddr) -> Option<(HttpConnection, Duration)> {
        let position = self.position(address).ok()?;
        let now = clock::now();
        let longest = self.longest_rest(now);
        let idle = &mut self.addresses[position].1;
        while let Some(Idle { wire, since, until }) = idle.pop() {
            let rest = now.saturating_since(since);
            if now < until && rest < longest && wire.is_reusable() {
                return Some((wire, rest));
            }
        }
        None
    }

    /// Notes that a connection broke when it was used again after this rest.
    ///
    /// Upstreams may drop idle connections without notice, and a request that is not idempotent is lost by it.
    pub fn record_stale(&mut self, rest: Duration) {
        let now = clock::now();
        let allowed = rest.mul_f64(REST_PART).max(LEAST_REST);
        let longest = allowed.min(self.longest_rest(now));
        self.caution = Some((longest, now + CAUTION));
    }

    fn longest_rest(&self, now: Instant) -> Duration {
        match self.caution {
            Some((longest, until)) if now < until => longest,
            _ => Duration::MAX,
        }
    }

    /// Keeps a connection for later use.
    pub fn put(&mut self, address: SocketAddr, wire: HttpConnection, idle: Duration) {
        let since = clock::now();
        let until = since + idle;
        let position = match self.position(address) {
            Ok(position) => position,
            Err(position) => {
                self.addresses.insert(position, (address, Vec::new()));
                position
            }
        };
        let kept = &mut self.addresses[position].1;
        if kept.len() < IDLE_LIMIT {
            kept.push(Idle { wire, since, until });
        }
    }

    /// Closes the idle connections to an address.
    pub fn close_idle(&mut self, address: SocketAddr) {
        if let Ok(position) = self.position(address) {
            self.addresses.remove(position);
        }
    }

    /// Closes connections that can't be used any more.
    pub fn close_expired(&mut self) {
        let now = clock::now();
        for (_, idle) in &mut self.addresses {
            idle.retain(|idle| now < idle.until && idle.wire.is_reusable());
        }
        self.addresses.retain(|(_, idle)| !idle.is_empty());
    }

    fn position(&self, address: SocketAddr) -> Result<usize, usize> {
        self.addresses
            .binary_search_by_key(&address, |(address, _)| *address)
    }
}
