//! The `list` module provides the stand-in of the platform's list of live and leaving VMs, which lags behind reality.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use kumquat_state::{clock, ident};
use poem::http::{Method, StatusCode};
use poem::{Request, Response};
use serde::{Deserialize, Serialize};

use crate::Error;
use crate::net::{Answer, Gate, Running, lock};

/// State of a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// In use.
    Live,
    /// About to be stopped.
    Leaving,
}

/// A VM in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Name.
    pub vm: ident::Vm,
    /// Address of its peer links.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: ident::DataCentre,
    /// Whether it stays.
    pub state: State,
}

/// A running list.
#[derive(Debug)]
pub struct List {
    running: Running,
    core: Arc<Mutex<Core>>,
}

#[derive(Debug)]
struct Core {
    lag: Duration,
    outage: bool,
    /// Contents since the time at which they became true, the oldest first.
    history: Vec<(clock::Instant, Vec<Vm>)>,
}

/// Binds a list to `address`; it shows `vms` at once and later changes after `lag`.
///
/// # Errors
///
/// Returns [`Error::Bind`] if the address can't be bound.
pub async fn bind(address: SocketAddr, vms: Vec<Vm>, lag: Duration) -> Result<List, Error> {
    let core = Arc::new(Mutex::new(Core {
        lag,
        outage: false,
        history: vec![(clock::now(), vms)],
    }));
    let serving = Arc::clone(&core);
    let running = Running::bind(address, |_| {
        Box::new(move |request| -> Answer {
            let response = answer(&lock(&serving), &request, clock::now());
            Box::pin(std::future::ready(response))
        })
    })
    .await?;
    Ok(List { running, core })
}

impl List {
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

    /// Changes the true list; callers see the change after the lag.
    pub fn change(&self, change: impl FnOnce(&mut Vec<Vm>)) {
        let mut core = lock(&self.core);
        let mut vms = core
            .history
            .last()
            .map_or(Vec::new(), |(_, vms)| vms.clone());
        change(&mut vms);
        core.history.push((clock::now(), vms));
    }

    /// Sets the lag, also for changes that have already been made.
    pub fn set_lag(&self, lag: Duration) {
        lock(&self.core).lag = lag;
    }

    /// Begins or ends an outage, in which all calls are refused with 503.
    pub fn set_outage(&self, outage: bool) {
        lock(&self.core).outage = outage;
    }

    /// Returns the switches of the connections.
    #[must_use]
    pub fn gate(&self) -> &Gate {
        &self.running.gate
    }

    /// Stops the list and closes its connections.
    pub async fn stop(self) {
        self.running.stop().await;
    }
}

impl Core {
    fn shown(&self, now: clock::Instant) -> &[Vm] {
        let seen = self
            .history
            .iter()
            .rev()
            .find(|(since, _)| now.saturating_since(*since) >= self.lag);
        // The first content has no predecessor that could be shown in its place.
        let (_, vms) = seen.unwrap_or(&self.history[0]);
        vms
    }
}

fn answer(core: &Core, request: &Request, now: clock::Instant) -> Response {
    if request.method() != Method::GET || request.uri().path() != "/v1/vms" {
        return Response::builder().status(StatusCode::NOT_FOUND).finish();
    }
    if core.outage {
        return Response::builder()
            .status(StatusCode::SERVICE_UNAVAILABLE)
            .finish();
    }
    Response::builder()
        .content_type("application/json")
        .body(serde_json::to_vec(core.shown(now)).unwrap_or_default())
}
