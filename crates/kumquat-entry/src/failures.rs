//! The `failures` module provides the bound on failed caller keys per address.
//!
//! Each address has a token bucket for failures: [`BURST`] at once, then [`RATE`] per second. A request whose key fails
//! while the bucket is empty gets 429 with `Retry-After` in place of 401, and its connection is closed, so that each
//! further guess costs a new connection. No refusal is delayed (`docs/design.md`, section 1.2). A valid key is served
//! whatever the state of the bucket, because many callers may share the address of a balancer.

use std::net::{IpAddr, Ipv6Addr};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use kumquat_state::clock::Instant;

/// Failures that an address may have at once.
pub const BURST: u32 = 20;

/// Failures per second that an address may have in the long run.
pub const RATE: u32 = 2;

/// Most addresses that are remembered.
const ADDRESSES: usize = 4_096;

/// Time in which one failure is forgotten.
const STEP: Duration = Duration::from_millis(1_000 / RATE as u64);

/// Recent failures, sorted by address.
#[derive(Debug, Default)]
pub struct Failures {
    entries: Mutex<Vec<Entry>>,
}

#[derive(Debug)]
struct Entry {
    address: IpAddr,
    // When the last failure of the address is forgotten.
    clear_at: Instant,
}

impl Failures {
    /// Counts a failure.
    ///
    /// # Errors
    ///
    /// Returns the time after which the next failure is allowed if the address has had too many.
    pub fn count(&self, now: Instant, address: IpAddr) -> Result<(), Duration> {
        let address = network(address);
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let index = match entries.binary_search_by_key(&address, |entry| entry.address) {
            Ok(index) => index,
            Err(_) => insert(&mut entries, now, address),
        };
        let entry = &mut entries[index];
        let clear_at = entry.clear_at.max(now) + STEP;
        let bound = now + STEP * BURST;
        if clear_at > bound {
            return Err(bound.until(clear_at));
        }
        entry.clear_at = clear_at;
        Ok(())
    }

    /// Returns the number of addresses that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.len()
    }

    /// Returns whether no address is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Makes room for an address if necessary and returns its place.
fn insert(entries: &mut Vec<Entry>, now: Instant, address: IpAddr) -> usize {
    if entries.len() >= ADDRESSES {
        entries.retain(|entry| entry.clear_at > now);
    }
    if entries.len() >= ADDRESSES {
        // The address with the fewest recent failures loses least by being forgotten.
        let fewest = (0..entries.len()).min_by_key(|&index| entries[index].clear_at);
        if let Some(fewest) = fewest {
            entries.remove(fewest);
        }
    }
    let index = entries.partition_point(|entry| entry.address < address);
    let entry = Entry {
        address,
        clear_at: now,
    };
    entries.insert(index, entry);
    index
}

/// Returns what is counted as one address: a single caller usually has a whole /64 network of IPv6.
fn network(address: IpAddr) -> IpAddr {
    match address.to_canonical() {
        IpAddr::V4(address) => address.into(),
        IpAddr::V6(address) => {
            let bits = address.to_bits() >> 64 << 64;
            Ipv6Addr::from_bits(bits).into()
        }
    }
}
