//! The `config` module provides the bundle and ledger in force at this entry.
//!
//! Both only ever go forward: an older version that arrives late is ignored. See `docs/design.md`, section 6.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::watch;

use kumquat_state::bundle::Bundle;
use kumquat_state::clock::{self, Instant};
use kumquat_state::ledger::Ledger;

/// What is in force at present.
#[derive(Debug)]
pub struct Config {
    bundle: ArcSwapOption<Bundle>,
    ledger: ArcSwapOption<Ledger>,
    fresh_until: AtomicU64,
    changes: watch::Sender<u64>,
    // Serialises the comparison of versions with the exchange.
    update: Mutex<()>,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            bundle: ArcSwapOption::empty(),
            ledger: ArcSwapOption::empty(),
            fresh_until: AtomicU64::new(0),
            changes: watch::Sender::new(0),
            update: Mutex::new(()),
        }
    }
}

impl Config {
    /// Returns the bundle in force.
    #[must_use]
    pub fn bundle(&self) -> Option<Arc<Bundle>> {
        self.bundle.load_full()
    }

    /// Returns the ledger in force.
    #[must_use]
    pub fn ledger(&self) -> Option<Arc<Ledger>> {
        self.ledger.load_full()
    }

    /// Returns whether the bundle can still be relied on for caller keys.
    ///
    /// An entry that hears nothing can't know which caller keys have been withdrawn.
    #[must_use]
    pub fn is_fresh(&self) -> bool {
        clock::now() < Instant::from_micros(self.fresh_until.load(Ordering::Acquire))
    }

    /// Puts a bundle in force unless a version at least as high is.
    pub fn set_bundle(&self, bundle: Bundle) -> bool {
        let _guard = self.update.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = self
            .bundle
            .load()
            .as_ref()
            .is_none_or(|current| current.version < bundle.version);
        if newer {
            self.bundle.store(Some(Arc::new(bundle)));
            self.changes.send_modify(|count| *count += 1);
        }
        newer
    }

    /// Puts a ledger in force unless a revision at least as high is.
    pub fn set_ledger(&self, ledger: Ledger) -> bool {
        let _guard = self.update.lock().unwrap_or_else(PoisonError::into_inner);
        let newer = self
            .ledger
            .load()
            .as_ref()
            .is_none_or(|current| current.revision < ledger.revision);
        if newer {
            self.ledger.store(Some(Arc::new(ledger)));
            self.changes.send_modify(|count| *count += 1);
        }
        newer
    }

    /// Allows the bundle to be relied on for a while from now.
    pub fn set_fresh(&self, valid: Duration) {
        let until = clock::now() + valid;
        self.fresh_until
            .fetch_max(until.as_micros(), Ordering::AcqRel);
    }

    /// Returns a receiver that is told of each change.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }
}
