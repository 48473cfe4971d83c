//! The `handshakes` module provides the bound on handshakes that run at once.

use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Most handshakes that run at once; each ends within a second.
///
/// A cell and the entries of a data centre that all reconnect at once stay well below it.
pub const TOTAL: usize = 256;

/// Most handshakes of one address that run at once, so that one unauthenticated host can't keep peers from reconnecting.
pub const PER_ADDRESS: usize = 32;

/// The handshakes that run at present; clones share them.
#[derive(Clone, Debug, Default)]
pub struct Handshakes {
    addresses: Arc<Mutex<Vec<IpAddr>>>,
}

/// A handshake that runs until this is dropped.
#[derive(Debug)]
pub struct Running {
    handshakes: Handshakes,
    address: IpAddr,
}

impl Handshakes {
    /// Begins a handshake, or returns nothing if too many are running.
    #[must_use]
    pub fn begin(&self, address: IpAddr) -> Option<Running> {
        let mut addresses = self.lock();
        let same = addresses.iter().filter(|other| **other == address).count();
        if addresses.len() >= TOTAL || same >= PER_ADDRESS {
            return None;
        }
        addresses.push(address);
        drop(addresses);
        Some(Running {
            handshakes: self.clone(),
            address,
        })
    }

    fn lock(&self) -> MutexGuard<'_, Vec<IpAddr>> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut addresses = self.handshakes.lock();
        let index = addresses.iter().position(|other| *other == self.address);
        if let Some(index) = index {
            addresses.swap_remove(index);
        }
    }
}
