//! The `path` module provides the detection of the loss of this VM's paths to the upstreams of each service.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use kumquat_coordination::fleet::{PathChange, PathMonitor, PathState, UpstreamInstance};
use kumquat_state::clock;
use rand::RngExt as _;
use slog::{info, warn};
use tokio::task::JoinHandle;

use super::Vm;
use crate::http::HttpConnection;
use crate::pool::DEFAULT_IDLE_TIMEOUT;
use crate::sorted;
use crate::upstream;

/// A connection that a probe is establishing, with its address.
type Probe = JoinHandle<Option<(SocketAddr, HttpConnection)>>;

impl Vm {
    /// Returns what this VM knows of its path to the upstreams of a service.
    #[must_use]
    pub fn path_state(&self, service: &str) -> PathState {
        let state = self.state.borrow();
        sorted::get(&state.paths, service).map_or(PathState::Intact, PathMonitor::state)
    }

    /// Returns whether a request for a service is better served by another VM, or by none.
    ///
    /// A VM that still reaches a few upstreams serves by itself if no other VM can help.
    #[must_use]
    pub fn should_forward(&self, service: &str, is_forwarded: bool) -> bool {
        if self.path_state(service) != PathState::Lost {
            return false;
        }
        let is_partial = {
            let state = self.state.borrow();
            sorted::get(&state.paths, service).is_some_and(PathMonitor::is_partial)
        };
        !is_partial || (!is_forwarded && self.is_cut_off_from(service))
    }

    /// Records that an upstream of a service sent an answer to this VM.
    pub fn record_path_success(&self, service: &str) {
        let mut state = self.state.borrow_mut();
        if let Some(path) = sorted::get_mut(&mut state.paths, service) {
            path.record_success();
        }
    }

    /// Records that this VM could not reach an upstream or got no answer from it.
    pub fn record_path_failure(&self, upstream: &UpstreamInstance) {
        let mut state = self.state.borrow_mut();
        let Some(id) = state.table.incarnation_id(upstream) else {
            return;
        };
        let service = &upstream.service;
        let monitor = sorted::get_or_insert_with(&mut state.paths, &**service, || {
            (Arc::clone(service), PathMonitor::default())
        });
        if monitor.record_failure(clock::now(), id) {
            self.path_suspected.notify_one();
        }
    }

    /// Probes upstreams while the path to their service is suspected or lost; never returns.
    pub async fn run_path_probes(self: Rc<Self>) {
        loop {
            let now = clock::now();
            let next_wait = {
                let state = self.state.borrow();
                let waits = state.paths.iter();
                waits.filter_map(|(_, path)| path.probe_wait(now)).min()
            };
            match next_wait {
                None => self.path_suspected.notified().await,
                Some(wait) if wait.is_zero() => self.probe_due_services().await,
                Some(wait) => {
                    tokio::select! {
                        () = self.path_suspected.notified() => {}
                        () = tokio::time::sleep(wait) => {}
                    }
                }
            }
        }
    }

    /// Makes one round of probes for each service that has one due, all at once.
    async fn probe_due_services(&self) {
        let now = clock::now();
        let due: Vec<(Arc<str>, usize)> = {
            let state = self.state.borrow();
            let services = state.paths.iter();
            let due =
                services.filter(|(_, path)| path.probe_wait(now).is_some_and(|w| w.is_zero()));
            due.map(|(service, path)| (Arc::clone(service), path.probe_count()))
                .collect()
        };
        let rounds: Vec<(Arc<str>, Vec<Probe>)> = due
            .into_iter()
            .map(|(service, count)| {
                let probes = self.start_probes(&service, count);
                (service, probes)
            })
            .collect();
        for (service, probes) in rounds {
            let tried = probes.len();
            let mut reached = 0;
            for probe in probes {
                // A probe is neither cancelled nor does it panic.
                if let Ok(Some((address, wire))) = probe.await {
                    reached += 1;
                    // The connection serves a later request.
                    let mut pool = self.pool.borrow_mut();
                    pool.put(address, wire, DEFAULT_IDLE_TIMEOUT);
                }
            }
            self.record_probes(&service, reached, tried);
        }
    }

    /// Starts to connect to up to `count` random upstreams of a service.
    fn start_probes(&self, service: &str, count: usize) -> Vec<Probe> {
        let state = self.state.borrow();
        let upstreams = state.table.upstreams();
        let mut addresses: Vec<SocketAddr> = upstreams
            .filter(|upstream| &*upstream.service == service)
            .map(|upstream| upstream.address)
            .collect();
        let mut probes = Vec::new();
        while probes.len() < count && !addresses.is_empty() {
            let position = rand::rng().random_range(0..addresses.len());
            let address = addresses.swap_remove(position);
            probes.push(tokio::task::spawn_local(async move {
                let connected = upstream::connect(address, upstream::CONNECT_TIMEOUT).await;
                connected.ok().map(|wire| (address, wire))
            }));
        }
        probes
    }

    fn record_probes(&self, service: &Arc<str>, reached: usize, tried: usize) {
        let now = clock::now();
        let mut state = self.state.borrow_mut();
        let Some(path) = sorted::get_mut(&mut state.paths, &**service) else {
            return;
        };
        let change = path.record_probes(now, reached, tried);
        if let Some(PathChange::Lost { .. }) = change {
            // What cuts off one service mostly cuts off the others as well.
            let config = state.config.clone();
            let services = config.iter().flat_map(|config| &config.services);
            for other in services.filter(|other| other.name != *service) {
                let path = sorted::get_or_insert_with(&mut state.paths, &*other.name, || {
                    (Arc::clone(&other.name), PathMonitor::default())
                });
                path.suspect(now);
            }
        }
        let lost = state.paths.iter();
        let lost = lost.filter(|(_, path)| path.state() == PathState::Lost);
        let lost = i64::try_from(lost.count()).unwrap_or(i64::MAX);
        drop(state);
        self.metrics.lost_paths.set(lost);
        match change {
            None => {}
            Some(PathChange::Lost { failed }) => {
                warn!(self.log, "path to the upstreams lost"; "service" => &**service, "failed" => failed,
                    "probed" => tried);
            }
            Some(PathChange::Regained { duration }) => {
                info!(self.log, "path to the upstreams regained"; "service" => &**service, "reached" => reached,
                    "probed" => tried, "for_ms" => u64::try_from(duration.as_millis()).unwrap_or(u64::MAX));
            }
        }
    }
}
