//! The `work` module provides the life of one request at an upstream, which ends when its value is dropped.

use std::sync::Arc;

use kumquat_state::clock;
use poem::http::StatusCode;
use tokio::sync::OwnedSemaphorePermit;

use super::{Call, Core, ending};
use crate::net::lock;
use crate::observation::Run;

/// A request that waits or runs. Hyper drops it when the caller hangs up.
#[derive(Debug)]
pub(super) struct Work {
    core: Arc<Core>,
    serial: u64,
    run: Option<Run>,
    boot: u64,
    permit: Option<OwnedSemaphorePermit>,
    answered: bool,
}

impl Work {
    pub(super) fn new(core: Arc<Core>, serial: u64) -> Self {
        let boot = lock(&core.state).boot;
        Self {
            core,
            serial,
            run: None,
            boot,
            permit: None,
            answered: false,
        }
    }

    /// Begins the run, unless the fencing token or the grants forbid it.
    pub(super) fn start(
        &mut self,
        call: &Call,
        permit: OwnedSemaphorePermit,
    ) -> Result<(), StatusCode> {
        let options = &self.core.options;
        let now = clock::now();
        let mut state = lock(&self.core.state);
        let mut grant = None;
        // A restart loses the requests that were waiting.
        if state.boot != self.boot {
            return Err(StatusCode::SERVICE_UNAVAILABLE);
        }
        if options.checks_grants {
            let rejection = if call.fence < state.fence {
                Some(StatusCode::CONFLICT)
            } else if let Some((key, slot)) = call.key {
                let clock = self.core.clock_of(now);
                grant = state.grants.covering(key, slot, clock);
                grant.is_none().then_some(StatusCode::MISDIRECTED_REQUEST)
            } else {
                None
            };
            if let Some(code) = rejection {
                state.tally.rejected += 1;
                self.answered = true;
                return Err(code);
            }
            state.fence = state.fence.max(call.fence);
        }
        state.start(self.serial, call.key, now);
        let run = Run {
            service: options.service.clone(),
            upstream: options.name.clone(),
            request: call.request,
            team: call.team.clone(),
            idempotent: call.idempotent,
            key: call.key,
            grant,
        };
        // The record is made under the lock, so that a release can't pass between the check and the record.
        self.core.ledger.started(&run, now);
        drop(state);
        self.run = Some(run);
        self.permit = Some(permit);
        Ok(())
    }

    /// Returns whether the upstream still owns the key, so that the run may take effect.
    pub(super) fn may_commit(&self) -> bool {
        let state = lock(&self.core.state);
        let Some((area, _)) = self.run.as_ref().and_then(|run| run.grant) else {
            return true;
        };
        // A release that waits for this run leaves the expiry as it is, so the run is still covered.
        state.boot == self.boot && state.grants.covers_end(area, self.core.clock_ms())
    }

    /// Notes that the deadline has passed.
    pub(super) fn expire(&mut self) {
        self.answered = true;
        lock(&self.core.state).tally.expired += 1;
    }

    /// Notes that the grant has lapsed during the run.
    pub(super) fn lapse(&mut self) {
        self.answered = true;
        lock(&self.core.state).tally.lapsed += 1;
    }

    /// Notes that the run has come to its end.
    pub(super) fn complete(&mut self) {
        self.answered = true;
        lock(&self.core.state).complete();
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let now = clock::now();
        let mut state = lock(&self.core.state);
        if !self.answered {
            state.tally.cancelled += 1;
        }
        state.end(self.serial, self.run.is_some(), now);
        drop(state);
        if let Some(run) = &self.run {
            self.core.ledger.ended(run);
        }
        let ledger = &self.core.ledger;
        ledger.cold_end(self.serial, ending(self.answered), now);
        self.core.ended.notify_waiters();
    }
}
