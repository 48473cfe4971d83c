//! The `state` module provides the mutable state of an upstream and its rules for admission.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use kumquat_state::clock;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::grant::{Grants, Key};
use super::report::{History, Status};
use super::{Mode, Options, ServiceTime};
use crate::observation::Area;

/// Factor on the service time while the upstream has collapsed.
const COLLAPSE_FACTOR: f64 = 10.0;

/// Serial numbers of requests, unique over all upstreams of the process.
static SERIAL: AtomicU64 = AtomicU64::new(0);

/// Counters of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that arrived.
    pub received: u64,
    /// Requests that began to run.
    pub started: u64,
    /// Requests that ran to their end.
    pub completed: u64,
    /// Requests refused as not run for want of a slot, or because the upstream drains.
    pub shed: u64,
    /// Requests refused as not run because of the fencing token or the grants.
    pub rejected: u64,
    /// Requests whose caller hung up before the end.
    pub cancelled: u64,
    /// Requests given up because their deadline had passed.
    pub expired: u64,
    /// Requests that lost their grant while they ran.
    pub lapsed: u64,
    /// Requests that run now.
    pub running: u32,
    /// Requests that wait now.
    pub waiting: u32,
    /// Whether the upstream is cold.
    pub cold: bool,
}

#[derive(Debug)]
struct Cold {
    completed: u32,
    /// Whether the boot id, which every answer carries, tells of the cold start.
    by_boot: bool,
    since: clock::Instant,
    /// When an answer first told of the cold start.
    shown_at: Option<clock::Instant>,
}

/// What a request meets at a cold upstream.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Met {
    /// Serial numbers of the earlier requests that have not ended.
    pub(super) earlier: Vec<u64>,
    /// Requests that the upstream bears at once.
    pub(super) limit: u32,
    /// Time since the cold start.
    pub(super) age: Duration,
    /// Time since an answer first told of the cold start.
    pub(super) shown_for: Option<Duration>,
}

/// Answer to an arrival.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Arrived {
    pub(super) serial: u64,
    /// Whether the request may wait for a slot; otherwise it is shed.
    pub(super) admitted: bool,
    /// What the request meets, if the upstream is cold.
    pub(super) cold: Option<Met>,
}

#[derive(Debug)]
pub(super) struct State {
    pub(super) boot: u64,
    pub(super) fence: u64,
    /// Highest sequence number of a whole order under the present fencing token.
    pub(super) sequence: u64,
    pub(super) grants: Grants,
    /// Requests of each key so far: the state that a restart loses.
    pub(super) keys: BTreeMap<u64, u64>,
    /// Running requests of each area that a release waits for, with the request's serial number.
    pub(super) areas: Vec<(u64, u64, u32)>,
    /// Serial numbers of the requests that run or wait.
    pub(super) present: Vec<u64>,
    pub(super) draining: bool,
    pub(super) slow_factor: f64,
    pub(super) service_time: ServiceTime,
    pub(super) mode: Mode,
    pub(super) lie: Option<Status>,
    pub(super) tally: Counts,
    history: History,
    cold: Option<Cold>,
    collapsed_until: Option<clock::Instant>,
    slots: u32,
    backlog: u32,
    cold_slots: u32,
    cold_step: u32,
    cold_factor: f64,
    collapse: Option<Duration>,
    rng: SmallRng,
}

impl State {
    pub(super) fn new(options: &Options) -> Self {
        let mut rng = SmallRng::seed_from_u64(options.seed);
        let boot = draw_boot(&mut rng);
        let mut state = Self {
            boot,
            fence: 0,
            sequence: 0,
            grants: Grants::default(),
            keys: BTreeMap::new(),
            areas: Vec::new(),
            present: Vec::new(),
            draining: false,
            slow_factor: 1.0,
            service_time: options.service_time,
            mode: Mode::default(),
            lie: None,
            tally: Counts::default(),
            history: History::new(options.report_lag),
            cold: None,
            collapsed_until: None,
            slots: options.slots,
            backlog: options.backlog,
            cold_slots: options.cold_slots,
            cold_step: options.cold_step,
            cold_factor: options.cold_factor,
            collapse: options.collapse,
            rng,
        };
        if options.starts_cold {
            state.turn_cold(true);
        }
        state
    }

    pub(super) fn turn_cold(&mut self, by_boot: bool) {
        self.cold = Some(Cold {
            completed: 0,
            by_boot,
            since: clock::now(),
            shown_at: None,
        });
        self.warm_if_done();
    }

    pub(super) fn restart(&mut self) {
        self.boot = draw_boot(&mut self.rng);
        self.fence = 0;
        self.sequence = 0;
        self.grants.clear();
        self.keys.clear();
        self.collapsed_until = None;
        self.turn_cold(true);
    }

    /// Returns how many requests the upstream bears at once, if it is cold.
    fn cold_limit(&self) -> Option<u32> {
        let cold = self.cold.as_ref()?;
        let more = cold.completed / self.cold_step.max(1);
        Some(self.cold_slots.saturating_add(more).min(self.slots))
    }

    fn warm_if_done(&mut self) {
        if self.cold_limit().is_some_and(|limit| limit >= self.slots) {
            self.cold = None;
        }
    }

    /// Admits a request, unless slots and backlog are full or the upstream drains.
    pub(super) fn arrive(&mut self, now: clock::Instant) -> Arrived {
        self.tally.received += 1;
        let present = u32::try_from(self.present.len()).unwrap_or(u32::MAX);
        let cold = self.cold_limit().zip(self.cold.as_ref());
        let cold = cold.map(|(limit, cold)| Met {
            earlier: self.present.clone(),
            limit,
            age: now.saturating_since(cold.since),
            shown_for: cold.shown_at.map(|shown| now.saturating_since(shown)),
        });
        // Load that is shed is load that the caller sent, so the collapse does not depend on the admission.
        if let (Some(met), Some(collapse)) = (&cold, self.collapse)
            && present >= met.limit
        {
            self.collapsed_until = Some(now + collapse);
        }
        let serial = SERIAL.fetch_add(1, Ordering::Relaxed);
        if self.draining || present >= self.slots.saturating_add(self.backlog) {
            self.tally.shed += 1;
            return Arrived {
                serial,
                admitted: false,
                cold,
            };
        }
        self.present.push(serial);
        self.tally.waiting += 1;
        self.record(now);
        Arrived {
            serial,
            admitted: true,
            cold,
        }
    }

    /// Draws the time that a run takes under the present circumstances.
    pub(super) fn run_time(&mut self, fixed: Option<Duration>, now: clock::Instant) -> Duration {
        let time = match fixed {
            Some(time) => time,
            None => self.service_time.draw(&mut self.rng),
        };
        let mut factor = self.slow_factor;
        if self.cold.is_some() {
            factor *= self.cold_factor;
        }
        if self.collapsed_until.is_some_and(|until| now < until) {
            factor *= COLLAPSE_FACTOR;
        }
        time.mul_f64(factor.max(0.0))
    }

    /// Moves a request from waiting to running.
    pub(super) fn start(&mut self, serial: u64, key: Option<(u64, u32)>, now: clock::Instant) {
        self.tally.waiting = self.tally.waiting.saturating_sub(1);
        self.tally.running += 1;
        self.tally.started += 1;
        if let Some((key, slot)) = key {
            *self.keys.entry(key).or_default() += 1;
            self.areas.push((serial, key, slot));
        }
        self.record(now);
    }

    /// Removes a request that has ended.
    pub(super) fn end(&mut self, serial: u64, started: bool, now: clock::Instant) {
        if started {
            self.tally.running = self.tally.running.saturating_sub(1);
        } else {
            self.tally.waiting = self.tally.waiting.saturating_sub(1);
        }
        self.present.retain(|other| *other != serial);
        self.areas.retain(|(other, _, _)| *other != serial);
        self.record(now);
    }

    /// Counts a run that has come to its end, towards the end of a cold start too.
    pub(super) fn complete(&mut self) {
        self.tally.completed += 1;
        if let Some(cold) = &mut self.cold {
            cold.completed = cold.completed.saturating_add(1);
            cold.shown_at.get_or_insert_with(clock::now);
        }
        self.warm_if_done();
    }

    /// Notes that an answer with the boot id has been given.
    pub(super) fn show(&mut self) {
        if let Some(cold) = &mut self.cold
            && cold.by_boot
        {
            cold.shown_at.get_or_insert_with(clock::now);
        }
    }

    /// Returns whether a request runs in the area that is not covered by the grant of another one.
    pub(super) fn is_running_in(&self, area: Area) -> bool {
        self.areas.iter().any(|(_, key, slot)| {
            let is_inside = area == Area::Slot(*slot) || area == Area::Key(*key);
            is_inside && self.grants.covering(*key, *slot, 0).is_none()
        })
    }

    /// Returns the keys of running requests that no grant covers any more, whatever its expiry.
    pub(super) fn finishing(&self) -> Vec<Key> {
        let mut keys: Vec<u64> = self
            .areas
            .iter()
            .filter(|(_, key, slot)| self.grants.covering(*key, *slot, 0).is_none())
            .map(|(_, key, _)| *key)
            .collect();
        keys.sort_unstable();
        keys.dedup();
        keys.into_iter().map(Key::new).collect()
    }

    pub(super) fn counts(&self) -> Counts {
        Counts {
            cold: self.cold.is_some(),
            ..self.tally
        }
    }

    fn status(&self) -> Status {
        Status {
            running: self.tally.running,
            waiting: self.tally.waiting,
            slots: self.slots,
            cold: self.cold.is_some(),
            draining: self.draining,
        }
    }

    fn record(&mut self, now: clock::Instant) {
        let status = self.status();
        self.history.push(status, now);
    }

    /// Returns the state that the endpoints show.
    pub(super) fn reported(&self, now: clock::Instant, lag: Duration) -> Status {
        if let Some(lie) = self.lie {
            return lie;
        }
        if lag.is_zero() {
            return self.status();
        }
        self.history.lagging(now).unwrap_or(Status {
            slots: self.slots,
            ..Status::default()
        })
    }
}

/// Draws a boot id that also fits into a floating-point JSON number.
fn draw_boot(rng: &mut SmallRng) -> u64 {
    (rng.random::<u64>() >> 16) | 1
}
