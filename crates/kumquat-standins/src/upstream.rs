//! The `upstream` module provides the stand-in of a server that owns keys: slots, cold start, load shedding, draining,
//! cancellation, deadlines and grants.
//!
//! Every answer carries `kumquat-boot` and `kumquat-clock-ms`, from which the router derives grants. The query
//! parameters `mode`, `service-ms` and `size` of a request override the mode, the service time and the size of the
//! answer for that request.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::{Notify, Semaphore, watch};

use crate::Error;
use crate::net::{Answer, Gate, Running, lock};
use crate::observation::Ledger;

mod duration;
mod grant;
mod report;
mod serve;
mod state;

pub use duration::ServiceTime;
pub use grant::{Grant, Granted, Span};
pub use report::Status;
use serve::Core;
pub use state::Counts;
use state::State;

/// How an upstream answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Answers with a JSON description of the request.
    #[default]
    Describe,
    /// Streams the body of the request back.
    Echo,
    /// Answers with bytes that are not HTTP.
    Garbage,
    /// Closes the connection in the middle of the body.
    Half,
    /// Runs the request and never answers.
    Never,
    /// Sends the body in small pieces with pauses.
    SlowBody,
}

/// Properties of an upstream.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the upstream.
    pub name: String,
    /// Service that it answers.
    pub service: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests that wait for a slot before others are shed.
    pub backlog: u32,
    /// Requests that it bears at once when it turns cold.
    pub cold_slots: u32,
    /// Requests that it has to complete to bear one more.
    pub cold_step: u32,
    /// Factor on the service time while it is cold.
    pub cold_factor: f64,
    /// Time for which it collapses when it gets more than it bears while cold.
    pub collapse: Option<Duration>,
    /// Whether it starts cold.
    pub starts_cold: bool,
    /// Distribution of the service time.
    pub service_time: ServiceTime,
    /// Seed of the service times and boot ids.
    pub seed: u64,
    /// Slots of the service's key space; 0 for pool services.
    pub key_slots: u32,
    /// Whether it checks fencing tokens, boot ids and grants.
    pub checks_grants: bool,
    /// Age of the state that its health and load endpoints show.
    pub report_lag: Duration,
    /// Difference of its clock from the clock of this machine.
    pub clock_offset: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "upstream".to_owned(),
            service: "service".to_owned(),
            slots: 2,
            backlog: 2,
            cold_slots: 1,
            cold_step: 8,
            cold_factor: 5.0,
            collapse: None,
            starts_cold: false,
            service_time: ServiceTime::Fixed(Duration::ZERO),
            seed: 1,
            key_slots: 0,
            checks_grants: false,
            report_lag: Duration::ZERO,
            clock_offset: Duration::ZERO,
        }
    }
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    running: Running,
    core: Arc<Core>,
}

/// Binds an upstream to `address`; it records what it sees in `ledger`.
///
/// # Errors
///
/// Returns [`Error::Bind`] if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    options: Options,
    ledger: Ledger,
) -> Result<Upstream, Error> {
    let permits = usize::try_from(options.slots).unwrap_or(usize::MAX);
    let core = Arc::new(Core {
        state: Mutex::new(State::new(&options)),
        permits: Arc::new(Semaphore::new(permits)),
        ended: Notify::new(),
        frozen: watch::Sender::new(false),
        ledger,
        options,
    });
    let serving = Arc::clone(&core);
    let running = Running::bind(address, |gate| {
        let gate = gate.clone();
        Box::new(move |request| -> Answer {
            let core = Arc::clone(&serving);
            let gate = gate.clone();
            Box::pin(async move { core.answer(request, &gate).await })
        })
    })
    .await?;
    Ok(Upstream { running, core })
}

impl Upstream {
    /// Returns the bound address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.running.address
    }

    /// Returns the base URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.running.address)
    }

    /// Returns the name.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.core.options.name
    }

    /// Returns the switches of the connections.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.running.gate
    }

    /// Stops all work and all bytes, while connections are still accepted.
    pub fn freeze(&self) {
        self.running.gate.freeze();
        self.core.frozen.send_replace(true);
    }

    /// Lets work and bytes go on.
    pub fn unfreeze(&self) {
        self.core.frozen.send_replace(false);
        self.running.gate.unfreeze();
    }

    /// Begins a cold start without any sign to the outside.
    pub fn turn_cold(&self) {
        lock(&self.core.state).turn_cold(false);
    }

    /// Loses all state, breaks all connections and goes on cold with a new boot id.
    pub fn restart(&self) {
        let options = &self.core.options;
        let mut state = lock(&self.core.state);
        state.restart();
        self.core.ledger.reset(&options.service, &options.name);
        drop(state);
        self.running.gate.cut_all();
        self.core.ended.notify_waiters();
    }

    /// Multiplies the service times from now on; 1 is the normal speed.
    pub fn set_slow_factor(&self, factor: f64) {
        lock(&self.core.state).slow_factor = factor;
    }

    /// Sets the distribution of the service times.
    pub fn set_service_time(&self, time: ServiceTime) {
        lock(&self.core.state).service_time = time;
    }

    /// Sets how requests are answered.
    pub fn set_mode(&self, mode: Mode) {
        lock(&self.core.state).mode = mode;
    }

    /// Begins or ends draining; while it drains, new requests are shed as not run.
    pub fn set_draining(&self, draining: bool) {
        lock(&self.core.state).draining = draining;
    }

    /// Makes the health and load endpoints show `status`; `None` ends the lie.
    pub fn set_reported(&self, status: Option<Status>) {
        lock(&self.core.state).lie = status;
    }

    /// Waits until no request runs or waits.
    pub async fn idle(&self) {
        loop {
            let ended = self.core.ended.notified();
            tokio::pin!(ended);
            ended.as_mut().enable();
            if lock(&self.core.state).present.is_empty() {
                return;
            }
            ended.await;
        }
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        lock(&self.core.state).counts()
    }

    /// Returns the boot id.
    #[must_use]
    pub fn boot(&self) -> u64 {
        lock(&self.core.state).boot
    }

    /// Returns the present clock value in milliseconds.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        self.core.clock_ms()
    }

    /// Returns the spans of slots whose grants have not expired.
    #[must_use]
    pub fn held(&self) -> Vec<Span> {
        let now = self.core.clock_ms();
        lock(&self.core.state).grants.held(now)
    }

    /// Lets all grants lapse now, as if their time had passed.
    pub fn expire_grants(&self) {
        let options = &self.core.options;
        let mut state = lock(&self.core.state);
        state.grants.expire();
        self.core.ledger.reset(&options.service, &options.name);
    }

    /// Stops the upstream; its running requests break off.
    pub async fn stop(self) {
        let options = &self.core.options;
        self.core.ledger.reset(&options.service, &options.name);
        self.running.stop().await;
    }
}
