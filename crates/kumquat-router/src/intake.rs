//! The `intake` module provides the accounts of what the connections of each listener hold in memory.
//!
//! The decisions are made by [`kumquat_coordination::fleet::intake`]; this module carries them out and reports them.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::Duration;

use kumquat_coordination::fleet::intake::{Activity, Bounds, Capacity, Eviction, Intake, Listener};
use kumquat_state::clock::{self, Instant};
use prometheus::IntGauge;
use slog::{Logger, warn};
use tokio::sync::Notify;

use crate::errors::{Error, Result};
use crate::metrics::Metrics;

/// Shortest time between two log lines about evictions.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Evictions and rejections since the last log line about them.
#[derive(Debug, Default)]
struct Unlogged {
    receiving: u64,
    unread: u64,
    connections: u64,
    rejected: u64,
    logged_at: Option<Instant>,
}

/// The accounts of all listeners of a VM.
#[derive(Debug)]
pub struct Ledgers {
    /// Accounts of callers.
    pub callers: Rc<Ledger>,
    /// Accounts of other VMs that forward requests.
    pub peers: Rc<Ledger>,
    /// Accounts of those who ask for pages.
    pub admin: Rc<Ledger>,
    /// Accounts of those who check whether the VM is ready.
    pub readiness: Rc<Ledger>,
}

impl Ledgers {
    /// Creates the accounts of a VM whose memory and descriptors are not stated.
    #[must_use]
    pub fn new(metrics: &Metrics, log: &Logger) -> Self {
        let open = |listener| Ledger::new(listener, metrics.clone(), log.clone());
        Self {
            callers: open(Listener::Callers),
            peers: open(Listener::Peers),
            admin: open(Listener::Admin),
            readiness: open(Listener::Readiness),
        }
    }

    /// Returns the accounts of a listener.
    #[must_use]
    pub const fn get(&self, listener: Listener) -> &Rc<Ledger> {
        match listener {
            Listener::Callers => &self.callers,
            Listener::Peers => &self.peers,
            Listener::Admin => &self.admin,
            Listener::Readiness => &self.readiness,
        }
    }

    /// Sets the bounds of all listeners.
    pub fn set_capacity(&self, capacity: Capacity) {
        for ledger in [&self.callers, &self.peers, &self.admin, &self.readiness] {
            ledger.set_bounds(capacity.bounds(ledger.listener));
        }
    }

    /// Sets the length of the largest request that the desired state allows, which callers send and other VMs forward.
    pub fn set_largest_request(&self, bytes: usize) {
        for ledger in [&self.callers, &self.peers] {
            ledger.intake.borrow_mut().set_largest_request(bytes);
        }
    }
}

/// The accounts of all connections of a listener.
#[derive(Debug)]
pub struct Ledger {
    listener: Listener,
    intake: RefCell<Intake>,
    // In ascending order of ids.
    accounts: RefCell<Vec<(u64, Weak<Account>)>>,
    unlogged: RefCell<Unlogged>,
    held_bytes: IntGauge,
    connections: IntGauge,
    metrics: Metrics,
    log: Logger,
}

impl Ledger {
    /// Creates the accounts of a listener on a VM whose memory and descriptors are not stated.
    fn new(listener: Listener, metrics: Metrics, log: Logger) -> Rc<Self> {
        let bounds = Capacity::default().bounds(listener);
        let label = [listener.name()];
        Rc::new(Self {
            listener,
            intake: RefCell::new(Intake::new(bounds)),
            accounts: RefCell::default(),
            unlogged: RefCell::default(),
            held_bytes: metrics.intake.held_bytes.with_label_values(&label),
            connections: metrics.intake.connections.with_label_values(&label),
            metrics,
            log,
        })
    }

    /// Sets the bounds of the listener.
    pub fn set_bounds(&self, bounds: Bounds) {
        self.intake.borrow_mut().set_bounds(bounds);
    }

    /// Opens the account of a new connection, in place of another connection if there are too many.
    ///
    /// Returns `None` if there is no room, and then the connection is to be closed.
    pub fn open(self: &Rc<Self>) -> Option<Rc<Account>> {
        let mut intake = self.intake.borrow_mut();
        let (opened, aborted) = (intake.open(clock::now()), intake.abort_excess());
        drop(intake);
        if let Some(account) = aborted.and_then(|id| self.account(id)) {
            self.count_eviction("closing");
            self.unlogged.borrow_mut().connections += 1;
            account.abort();
        }
        let Some((id, eviction)) = opened else {
            self.count_rejection("connections");
            return None;
        };
        let account = Rc::new(Account {
            ledger: Rc::clone(self),
            id,
            eviction: Notify::new(),
            is_evicted: Cell::new(false),
            is_aborted: Cell::new(false),
        });
        let entry = (id, Rc::downgrade(&account));
        self.accounts.borrow_mut().push(entry);
        if let Some(eviction) = eviction {
            self.count_eviction(match eviction.activity {
                Activity::Closing => "closing",
                _ => "connections",
            });
            self.unlogged.borrow_mut().connections += 1;
            self.notify(eviction);
        }
        self.report();
        Some(account)
    }

    /// Tells connections that they are evicted for the memory that they hold.
    fn evict(&self, evictions: Vec<Eviction>) {
        for eviction in evictions {
            let is_unread = eviction.activity == Activity::Responding;
            let reason = if is_unread { "unread" } else { "receiving" };
            self.count_eviction(reason);
            let mut unlogged = self.unlogged.borrow_mut();
            if is_unread {
                unlogged.unread += 1;
            } else {
                unlogged.receiving += 1;
            }
            drop(unlogged);
            self.notify(eviction);
        }
    }

    fn notify(&self, eviction: Eviction) {
        if let Some(account) = self.account(eviction.connection) {
            if eviction.activity == Activity::Closing {
                account.abort();
            } else {
                account.is_evicted.set(true);
                account.eviction.notify_one();
            }
        }
        self.log_evictions();
    }

    fn account(&self, id: u64) -> Option<Rc<Account>> {
        let accounts = self.accounts.borrow();
        let position = accounts.binary_search_by_key(&id, |(id, _)| *id).ok()?;
        accounts[position].1.upgrade()
    }

    fn count_eviction(&self, reason: &str) {
        self.metrics
            .intake
            .evictions
            .with_label_values(&[self.listener.name(), reason])
            .inc();
    }

    /// Logs the evictions since the last line, unless that was less than a second ago.
    fn log_evictions(&self) {
        let now = clock::now();
        let mut unlogged = self.unlogged.borrow_mut();
        if unlogged
            .logged_at
            .is_some_and(|logged_at| now.saturating_since(logged_at) < LOG_INTERVAL)
        {
            return;
        }
        let intake = self.intake.borrow();
        warn!(self.log, "connections evicted"; "listener" => self.listener.name(), "receiving" => unlogged.receiving,
            "unread" => unlogged.unread, "connections" => unlogged.connections, "rejected" => unlogged.rejected,
            "held_bytes" => intake.held_bytes(), "budget_bytes" => intake.budget_bytes(),
            "open" => intake.connections());
        *unlogged = Unlogged {
            logged_at: Some(now),
            ..Unlogged::default()
        };
    }

    fn count_rejection(&self, reason: &str) {
        self.metrics
            .intake
            .rejections
            .with_label_values(&[self.listener.name(), reason])
            .inc();
        self.unlogged.borrow_mut().rejected += 1;
    }

    /// Publishes the sums as metrics.
    fn report(&self) {
        let intake = self.intake.borrow();
        let gauge = |value: usize| i64::try_from(value).unwrap_or(i64::MAX);
        self.held_bytes.set(gauge(intake.held_bytes()));
        self.connections.set(gauge(intake.connections()));
    }
}

/// The account of one connection, which is closed when the connection and all that it holds are dropped.
#[derive(Debug)]
pub struct Account {
    ledger: Rc<Ledger>,
    id: u64,
    eviction: Notify,
    is_evicted: Cell<bool>,
    // Whether the connection is to close without waiting for its caller to read the last response.
    is_aborted: Cell<bool>,
}

impl Account {
    /// Records what the connection does from now on.
    pub fn set_activity(&self, activity: Activity) {
        let mut intake = self.ledger.intake.borrow_mut();
        intake.set_activity(self.id, activity, clock::now());
    }

    /// Waits until the connection is evicted.
    pub async fn evicted(&self) {
        while !self.is_evicted.get() {
            self.eviction.notified().await;
        }
    }

    /// Waits until the connection, which is being closed, has no more time for that.
    pub async fn aborted(&self) {
        while !self.is_aborted.get() {
            self.eviction.notified().await;
        }
    }

    fn abort(&self) {
        self.is_evicted.set(true);
        self.is_aborted.set(true);
        self.eviction.notify_one();
    }

    fn grow(&self, bytes: usize) -> Result<()> {
        let growth = self.ledger.intake.borrow_mut().grow(self.id, bytes);
        self.ledger.evict(growth.evictions);
        self.ledger.report();
        if growth.is_granted {
            return Ok(());
        }
        if !self.is_evicted.get() {
            self.ledger.count_rejection("memory");
        }
        Err(Error::Exhausted)
    }
}

impl Drop for Account {
    fn drop(&mut self) {
        self.ledger.intake.borrow_mut().close(self.id);
        let mut accounts = self.ledger.accounts.borrow_mut();
        if let Ok(position) = accounts.binary_search_by_key(&self.id, |(id, _)| *id) {
            accounts.remove(position);
        }
        drop(accounts);
        self.ledger.report();
    }
}

/// Bytes that a connection holds, which are released when this is dropped.
#[derive(Debug)]
pub struct Hold {
    account: Rc<Account>,
    bytes: usize,
}

impl Hold {
    /// Creates a hold of no bytes.
    #[must_use]
    pub const fn new(account: Rc<Account>) -> Self {
        Self { account, bytes: 0 }
    }

    /// Changes the number of bytes, if need be in place of what other connections hold.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Exhausted`] if there is no room for more bytes; the number then stays as it is.
    pub fn set(&mut self, bytes: usize) -> Result<()> {
        if bytes > self.bytes {
            self.account.grow(bytes - self.bytes)?;
            self.bytes = bytes;
        } else {
            self.shrink_to(bytes);
        }
        Ok(())
    }

    /// Lowers the number of bytes, unless it is lower already.
    pub fn shrink_to(&mut self, bytes: usize) {
        if bytes < self.bytes {
            let ledger = &self.account.ledger;
            let released = self.bytes - bytes;
            ledger.intake.borrow_mut().shrink(self.account.id, released);
            ledger.report();
            self.bytes = bytes;
        }
    }

    /// Raises the number of bytes if at least half of the VM's budget stays free; returns whether there is room.
    #[must_use]
    pub fn raise_if_free(&mut self, bytes: usize) -> bool {
        if bytes <= self.bytes {
            return true;
        }
        let ledger = &self.account.ledger;
        let is_raised = ledger
            .intake
            .borrow_mut()
            .grow_if_free(self.account.id, bytes - self.bytes);
        if is_raised {
            self.bytes = bytes;
            ledger.report();
        }
        is_raised
    }

    /// Changes the number of bytes to that of a response, which is held whether there is room or not.
    pub fn set_response(&mut self, bytes: usize) {
        self.shrink_to(bytes);
        let grown = bytes - self.bytes;
        if grown > 0 {
            let ledger = &self.account.ledger;
            let evictions = ledger
                .intake
                .borrow_mut()
                .grow_response(self.account.id, grown);
            ledger.evict(evictions);
            ledger.report();
            self.bytes = bytes;
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shrink_to(0);
    }
}
