//! The `quarantine` module provides the detection of upstreams that end during a request, and the quarantine of requests
//! that end their upstreams.

use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::fleet::{
    Admission, Fingerprint, QuarantineReport, ReportedHold, UpstreamInstance,
};
use kumquat_state::clock::{self, Instant};
use rand::RngExt as _;
use slog::info;

use super::Vm;
use crate::pool::DEFAULT_IDLE_TIMEOUT;
use crate::upstream::{self, ExchangeError};

/// A trial of a request whose content is under suspicion; the next one can start when it is dropped.
#[derive(Debug)]
pub struct Trial {
    vm: Rc<Vm>,
    fingerprint: Fingerprint,
}

impl Drop for Trial {
    fn drop(&mut self) {
        let mut state = self.vm.state.borrow_mut();
        state.quarantine.finish_trial(self.fingerprint);
    }
}

impl Vm {
    /// Returns the time until a request may be sent, if its content is in quarantine.
    ///
    /// The fingerprint is calculated only while some content is under suspicion.
    pub fn quarantine_wait(&self, fingerprint: impl FnOnce() -> Fingerprint) -> Option<Duration> {
        let state = self.state.borrow();
        if state.quarantine.is_empty() {
            return None;
        }
        let wait = state.quarantine.remaining(clock::now(), fingerprint())?;
        self.count_suspect_request("refused");
        Some(wait)
    }

    /// Admits a request that is about to be sent; returns the trial if its content is under suspicion.
    ///
    /// # Errors
    ///
    /// Returns the time until a request with this content may be sent, if this one may not be.
    pub fn admit_suspect(
        self: &Rc<Self>,
        fingerprint: impl FnOnce() -> Fingerprint,
    ) -> Result<Option<Trial>, Duration> {
        let mut state = self.state.borrow_mut();
        if state.quarantine.is_empty() {
            return Ok(None);
        }
        let fingerprint = fingerprint();
        let noise = rand::rng().random();
        match state.quarantine.admit(clock::now(), fingerprint, noise) {
            Admission::Allowed => Ok(None),
            Admission::Trial => {
                self.count_suspect_request("trial");
                let vm = Rc::clone(self);
                Ok(Some(Trial { vm, fingerprint }))
            }
            Admission::Refused { wait } => {
                self.count_suspect_request("refused");
                Err(wait)
            }
        }
    }

    /// Starts to find out whether an upstream has ended, after its connection ended during an exchange.
    ///
    /// Retries don't wait for the result, which counts only after another upstream's answer anyway.
    pub fn spawn_end_check(self: &Rc<Self>, upstream: UpstreamInstance, fingerprint: Fingerprint) {
        let vm = Rc::clone(self);
        tokio::task::spawn_local(async move {
            vm.check_upstream_end(&upstream, fingerprint).await;
        });
    }

    /// Only an address that refuses connections counts as ended. A connection that is established serves a later request.
    async fn check_upstream_end(&self, upstream: &UpstreamInstance, fingerprint: Fingerprint) {
        let connected = upstream::connect(upstream.address, upstream::CONNECT_TIMEOUT).await;
        match connected {
            Ok(wire) => {
                let mut pool = self.pool.borrow_mut();
                pool.put(upstream.address, wire, DEFAULT_IDLE_TIMEOUT);
            }
            Err(ExchangeError::ConnectionRefused) => {
                let mut state = self.state.borrow_mut();
                // An upstream that leaves ends at some point, whatever it executes.
                if !state.table.accepts_requests(upstream) {
                    return;
                }
                if let Some(id) = state.table.incarnation_id(upstream) {
                    state.quarantine.record_end(clock::now(), fingerprint, id);
                    self.metrics.upstream_ends.inc();
                }
            }
            Err(error) => {
                slog::debug!(self.log, "upstream's end not confirmed"; "upstream" => &*upstream.name, "error" => %error);
            }
        }
    }

    /// Records an upstream's complete answer to a request that was sent at `sent_at`.
    pub fn record_executed(
        &self,
        upstream: &UpstreamInstance,
        fingerprint: impl FnOnce() -> Fingerprint,
        sent_at: Instant,
    ) {
        let mut state = self.state.borrow_mut();
        if state.quarantine.is_empty() {
            return;
        }
        let Some(id) = state.table.incarnation_id(upstream) else {
            return;
        };
        let started = state
            .quarantine
            .record_answer(clock::now(), fingerprint(), id, sent_at);
        drop(state);
        self.log_quarantines(&started, "own");
    }

    /// Applies a peer's report of requests that end upstreams.
    pub fn apply_quarantine_report(&self, peer: u64, report: &QuarantineReport) {
        if *report == QuarantineReport::default() {
            return;
        }
        let mut state = self.state.borrow_mut();
        let started = state.quarantine.apply_report(clock::now(), peer, report);
        drop(state);
        self.log_quarantines(&started, "peer");
    }

    /// Adopts a quarantine that the store holds.
    pub fn adopt_quarantine(&self, hold: &ReportedHold) {
        let mut state = self.state.borrow_mut();
        let started = state.quarantine.adopt(clock::now(), hold);
        drop(state);
        if let Some(hold) = started {
            self.log_quarantines(&[hold], "store");
        }
    }

    /// Returns this VM's report of requests that end upstreams.
    #[must_use]
    pub fn next_quarantine_report(&self) -> QuarantineReport {
        let mut state = self.state.borrow_mut();
        state.quarantine.next_report(clock::now())
    }

    /// Returns all quarantines in force.
    #[must_use]
    pub fn quarantines(&self) -> Vec<ReportedHold> {
        self.state.borrow().quarantine.holds(clock::now())
    }

    /// Ends the quarantine of a content at an operator's wish, here and at the peers; returns whether there was one.
    pub fn lift_quarantine(&self, fingerprint: Fingerprint) -> bool {
        let mut state = self.state.borrow_mut();
        let is_lifted = state.quarantine.lift(clock::now(), fingerprint);
        drop(state);
        info!(self.log, "quarantine lifted by the operator"; "fingerprint" => %fingerprint, "was_held" => is_lifted);
        is_lifted
    }

    fn log_quarantines(&self, holds: &[ReportedHold], source: &str) {
        for hold in holds {
            info!(self.log, "request quarantined"; "fingerprint" => %hold.fingerprint, "round" => hold.round,
                "for_ms" => u64::try_from(hold.remaining.as_millis()).unwrap_or(u64::MAX), "source" => source);
        }
        let state = self.state.borrow();
        let held = state.quarantine.holds(clock::now()).len();
        let held = i64::try_from(held).unwrap_or(i64::MAX);
        self.metrics.quarantined_contents.set(held);
    }

    fn count_suspect_request(&self, outcome: &str) {
        self.metrics
            .suspect_requests
            .with_label_values(&[outcome])
            .inc();
    }
}
