//! The `platform` module provides the tasks that talk to the platform's store.
//!
//! The store is slow at times and has outages, so nothing that serves requests ever waits for it. See `docs/design.md`,
//! sections 4 and 6.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

use kumquat_coordination::coordinator::Change;
use kumquat_state::ident::{Operation, Vm};
use kumquat_state::ledger::{Holder, Ledger};
use kumquat_transport::list;
use kumquat_transport::store::{self, Client};

use crate::audit::Trail;
use crate::control::Event;
use crate::metrics::Metrics;

mod documents;
mod lease;
mod pace;
mod segments;
mod status;
mod vms;
mod write;

use pace::Pace;
pub use status::InForce;

/// Key of the ledger's head in the store.
const LEDGER: &str = "ledger";

/// Key of the bundle's head in the store.
const BUNDLE: &str = "bundle";

/// Where the store is.
#[derive(Clone, Debug)]
pub struct Options {
    /// Base URL.
    pub url: String,
    /// Base URL of the list of VMs, if there is one.
    pub list: Option<String>,
    /// Name of this VM, by which the store counts calls.
    pub client: Vm,
    /// Longest time of a call.
    pub timeout: Duration,
}

/// How a write of the ledger ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It is stored.
    Stored(Vec<Change>),
    /// Another revision had been stored before.
    Conflict,
    /// The store did not take it.
    Unavailable,
}

/// The end of a write of the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct Written {
    /// The write.
    pub operation: Operation,
    /// How it ended.
    pub outcome: Outcome,
}

/// What the control loop asks the tasks to do at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Direction {
    campaign: bool,
    watch: bool,
    /// Whether a watch may wait for long, because peers would tell of changes as well.
    relaxed: bool,
}

/// A ledger to be stored.
#[derive(Debug)]
struct Order {
    ledger: Ledger,
    changes: Vec<Change>,
}

/// The running tasks.
#[derive(Clone, Debug)]
pub struct Handle {
    orders: mpsc::Sender<Order>,
    direction: Arc<watch::Sender<Direction>>,
    status: Arc<watch::Sender<Vec<InForce>>>,
}

/// What all tasks share.
#[derive(Clone, Debug)]
struct Context {
    client: Client,
    events: mpsc::Sender<Event>,
    direction: watch::Receiver<Direction>,
    pace: Pace,
    ended: CancellationToken,
}

/// Checks that a store client can be opened with the options.
///
/// # Errors
///
/// Returns what is wrong with them.
pub fn check(options: &Options) -> Result<(), String> {
    open(options)?;
    open_list(options).map(drop)
}

/// Starts the tasks.
///
/// # Panics
///
/// Panics if the options have not been checked with [`check`].
#[must_use]
pub fn spawn(
    options: &Options,
    me: &Holder,
    events: mpsc::Sender<Event>,
    trail: Trail,
    metrics: Metrics,
    ended: CancellationToken,
) -> Handle {
    let client = open(options).expect("the options have been checked");
    let (direction, receiver) = watch::channel(Direction::default());
    // Ledger writes are few and each follows from the one before, so that a short queue is enough.
    let (orders, ordered) = mpsc::channel(4);
    let context = Context {
        client,
        events,
        direction: receiver,
        pace: Pace::new(metrics),
        ended,
    };
    let heads = documents::Heads::default();
    tokio::spawn(documents::follow(
        context.clone(),
        kumquat_protocol::wire::Kind::Bundle,
        heads.clone(),
    ));
    tokio::spawn(documents::follow(
        context.clone(),
        kumquat_protocol::wire::Kind::Ledger,
        heads.clone(),
    ));
    tokio::spawn(lease::hold(context.clone(), me.clone()));
    if let Ok(Some(list)) = open_list(options) {
        tokio::spawn(vms::follow(context.clone(), list));
    }
    let (status, reports) = watch::channel(Vec::new());
    tokio::spawn(status::store(context.clone(), reports));
    tokio::spawn(segments::store(context.clone(), trail));
    tokio::spawn(write::run(context, ordered, heads));
    Handle {
        orders,
        direction: Arc::new(direction),
        status: Arc::new(status),
    }
}

fn open_list(options: &Options) -> Result<Option<list::Client>, String> {
    let list = options.list.as_deref().map(list::Client::open).transpose();
    list.map_err(|error| error.to_string())
}

fn open(options: &Options) -> Result<Client, String> {
    let mut client = store::Options::new(&options.url, options.client.clone());
    client.timeout = options.timeout;
    Client::open(&client).map_err(|error| error.to_string())
}

impl Handle {
    /// Tells the tasks whether to seek the coordinator's lease and whether to watch the store.
    ///
    /// Watches may wait for longer if they are relaxed.
    pub fn direct(&self, campaign: bool, watch: bool, relaxed: bool) {
        let wanted = Direction {
            campaign,
            watch,
            relaxed,
        };
        self.direction.send_if_modified(|direction| {
            let changed = *direction != wanted;
            *direction = wanted;
            changed
        });
    }

    /// Sets what the VMs of the cell have in force; empty if this VM is not the coordinator.
    pub fn set_status(&self, report: Vec<InForce>) {
        self.status.send_if_modified(|status| {
            let changed = *status != report;
            *status = report;
            changed
        });
    }

    /// Stores a ledger; the end is reported as [`Event::Written`].
    ///
    /// Returns false if too many writes wait already, which a coordinator with one write at a time does not see.
    #[must_use]
    pub fn write(&self, ledger: Ledger, changes: Vec<Change>) -> bool {
        self.orders.try_send(Order { ledger, changes }).is_ok()
    }
}

impl Context {
    async fn report(&self, event: Event) {
        // The control loop ends only with the run.
        drop(self.events.send(event).await);
    }

    /// Waits until `wanted` holds for the direction; returns false when the run ends.
    async fn wait_for(&mut self, wanted: impl Fn(&Direction) -> bool) -> bool {
        tokio::select! {
            () = self.ended.cancelled() => false,
            direction = self.direction.wait_for(wanted) => direction.is_ok(),
        }
    }

    /// Waits for a while; returns false when the run ends.
    async fn sleep(&self, duration: Duration) -> bool {
        tokio::select! {
            () = self.ended.cancelled() => false,
            () = tokio::time::sleep(duration) => true,
        }
    }
}
