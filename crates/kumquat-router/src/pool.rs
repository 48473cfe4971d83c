//! The `pool` module provides the open connections to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};

use crate::http::Wire;

/// Idle connections that are kept to one address; a VM rarely has more requests under way there.
const IDLE_LIMIT: usize = 4;

/// Idle connections, sorted by address.
#[derive(Debug, Default)]
pub struct Pool {
    addresses: Vec<(SocketAddr, Vec<Idle>)>,
}

#[derive(Debug)]
struct Idle {
    wire: Wire,
    until: Instant,
}

impl Pool {
    /// Takes a connection that can be used, the one that was used last first.
    pub fn take(&mut self, address: SocketAddr) -> Option<Wire> {
        let position = self.position(address).ok()?;
        let now = clock::now();
        let idle = &mut self.addresses[position].1;
        while let Some(Idle { wire, until }) = idle.pop() {
            if now < until && wire.is_idle() {
                return Some(wire);
            }
        }
        None
    }

    /// Keeps a connection for later use.
    pub fn put(&mut self, address: SocketAddr, wire: Wire, idle: Duration) {
        let until = clock::now() + idle;
        let position = match self.position(address) {
            Ok(position) => position,
            Err(position) => {
                self.addresses.insert(position, (address, Vec::new()));
                position
            }
        };
        let kept = &mut self.addresses[position].1;
        if kept.len() < IDLE_LIMIT {
            kept.push(Idle { wire, until });
        }
    }

    /// Closes connections that can't be used any more.
    pub fn sweep(&mut self) {
        let now = clock::now();
        for (_, idle) in &mut self.addresses {
            idle.retain(|idle| now < idle.until && idle.wire.is_idle());
        }
        self.addresses.retain(|(_, idle)| !idle.is_empty());
    }

    fn position(&self, address: SocketAddr) -> Result<usize, usize> {
        self.addresses
            .binary_search_by_key(&address, |(address, _)| *address)
    }
}
