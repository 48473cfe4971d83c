//! The `rollout` module provides the decisions by which a service's requests are moved to upstreams of another version.
//!
//! An operator orders the move. The coordinator raises the new version's share in steps and compares its responses with
//! those of the other versions, as all VMs have counted them; [`Rollout`] decides. Each VM limits the share by its own
//! count of requests; see [`Gates`]. The state of a rollout is a [`Record`] in the store. See `docs/design/rollout.md`.

use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use kumquat_state::clock::Instant;

mod assessment;
mod evidence;
mod gate;

pub use assessment::{Assessment, Fault, assess};
pub use evidence::{Counts, Evidence, Observation, RouteCounts, Side};
pub use gate::{Gates, Plan};

/// A share of all requests, in thousandths.
pub const WHOLE: u32 = 1_000;

/// Steps of the new version's share: the part of the order's duration after which a step is taken, and the part of the
/// largest share that it allows.
///
/// The bound counts all requests until the end of the duration, so that the last step leaves room for VMs that stop late.
const STEPS: [(f64, f64); 3] = [(0.0, 0.2), (0.08, 0.6), (0.16, 1.0)];

/// Part of the order's duration after which the new version gets all requests if nothing speaks against it.
///
/// A version may fail only after some time, so the limited share is kept for as long as the end allows.
const FULL_FRACTION: f64 = 0.6;

/// Part of the order's duration after which the rollout is completed even if not all VMs have confirmed that they send
/// nothing to the old versions.
///
/// With an order of 12 s this is 3 s after the last step, and VMs hear of a step at most 2.5 s late.
const SETTLING_FRACTION: f64 = 0.85;

/// Shortest time from the step to all requests to the completion, which covers requests that were being sent.
const MIN_SETTLING_TIME: Duration = Duration::from_millis(300);

/// Time for which there have to be no other upstreams before the new version gets all requests for that reason.
///
/// Entries can be missing for a moment after a start or an outage of the store.
const MIN_MISSING_TIME: Duration = Duration::from_secs(1);

/// Interval of the copies of the counts from which the recent ones are calculated.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the oldest copy; a version that turns bad late would be judged too slowly by all responses since the start.
const RECENT_TIME: Duration = Duration::from_secs(4);

/// Maximum number of versions that are remembered as rolled back for one service.
const MAX_BARRED: usize = 16;

/// Limits on what a bad version may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Largest share of the service's requests that a version without a verdict receives.
    pub canary_share: f64,
    /// Requests that it may receive beyond that share, over all VMs.
    pub canary_slack: f64,
    /// Longest time from a version's 50th bad response to the last request that is sent to it.
    pub rollback_time: Duration,
}

impl Default for Bounds {
    /// Returns the bounds of a deployment whose settings name none.
    fn default() -> Self {
        Self {
            canary_share: 0.1,
            canary_slack: 50.0,
            rollback_time: Duration::from_secs(5),
        }
    }
}

/// An operator's order to move a service's requests to the upstreams of a version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// Revision of the order in the store; the one with the highest revision is in force.
    pub revision: u64,
    /// Version that is to get all requests.
    pub target: Arc<str>,
    /// Time within which the rollout has to be completed or rolled back.
    pub duration: Duration,
}

/// State of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// There is no verdict yet.
    Running,
    /// The new version has all requests; the upstreams of the others may stop at any time.
    Completed,
    /// The new version gets no requests.
    RolledBack,
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Running => "running",
            Self::Completed => "completed",
            Self::RolledBack => "rolled_back",
        })
    }
}

/// The stored state of a service's latest rollout.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Revision of the order.
    pub order: u64,
    /// Version that the order names.
    pub target: Arc<str>,
    /// State of the rollout.
    pub phase: Phase,
    /// Share of the service's requests that go to the new version, in thousandths.
    pub share: u32,
    /// Time from the order to this step.
    pub elapsed: Duration,
    /// Versions that get no requests because they were rolled back, the latest last.
    pub barred: Vec<Arc<str>>,
}

/// What the coordinator knows of a service's upstreams and of the VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Situation {
    /// Whether upstreams of the new version accept requests.
    pub has_target: bool,
    /// Whether upstreams of other versions accept requests.
    pub has_old: bool,
    /// Whether no VM has requests at upstreams of other versions and no VM sends them any more.
    pub is_settled: bool,
}

/// Why a step is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// There is an order without a step.
    Ordered,
    /// The share may rise.
    NextStep,
    /// There was enough time for faults to show, and none did.
    Sound,
    /// There are no upstreams of other versions that requests could go to.
    NoOthers,
    /// Nothing is sent to the other versions any more.
    Settled,
    /// Responses of the new version show a fault.
    Faulty(Fault),
    /// There are no upstreams of the new version.
    NoUpstreams,
    /// The new version has not answered a single request.
    NoResponses,
}

/// A step that is to be written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decision {
    /// State after the step.
    pub record: Record,
    /// Why the step is taken.
    pub reason: Reason,
}

/// The decisions of one order, as the coordinator takes them.
#[derive(Clone, Debug)]
pub struct Rollout {
    order: Order,
    started_at: Instant,
    full_since: Option<Instant>,
    // Since when no upstreams of other versions accept requests.
    others_missing_since: Option<Instant>,
    snapshots: VecDeque<(Instant, Vec<RouteCounts>)>,
}

impl Rollout {
    /// Starts or resumes the decisions of an order that this VM has read at `seen_at`.
    ///
    /// A VM that has read the order later than others continues from the time that the last step states.
    #[must_use]
    pub fn new(now: Instant, order: Order, seen_at: Instant, known: Option<&Record>) -> Self {
        let known = known.filter(|record| record.order == order.revision);
        let elapsed = known.map_or(Duration::ZERO, |record| record.elapsed);
        let elapsed = elapsed.max(now.saturating_since(seen_at));
        Self {
            order,
            started_at: now - elapsed,
            full_since: None,
            others_missing_since: None,
            snapshots: VecDeque::new(),
        }
    }

    /// Returns the order.
    #[must_use]
    pub const fn order(&self) -> &Order {
        &self.order
    }

    /// Returns the next step, or `None` if there is none to take now.
    ///
    /// `known` is the state in the store, and `totals` are the counts of all VMs since the order. The same step is
    /// returned until the state in the store shows it.
    pub fn decide(
        &mut self,
        now: Instant,
        bounds: &Bounds,
        known: Option<&Record>,
        totals: &[RouteCounts],
        situation: Situation,
    ) -> Option<Decision> {
        let elapsed = now.saturating_since(self.started_at);
        let record = match known {
            Some(record) if record.order > self.order.revision => return None,
            Some(record) if record.order == self.order.revision => record,
            _ => return Some(self.begin(elapsed, bounds, known)),
        };
        if record.phase != Phase::Running {
            return None;
        }
        let progress = elapsed.as_secs_f64() / self.order.duration.as_secs_f64().max(0.001);
        let assessment = self.assess(now, totals);
        let step = |phase, share, reason| {
            let record = Record {
                phase,
                share,
                elapsed,
                ..record.clone()
            };
            Some(Decision { record, reason })
        };
        let are_others_missing = self.are_others_missing(now, situation);
        // Without other upstreams, a rollback would end the service.
        if let Assessment::Faulty(fault) = assessment
            && situation.has_old
        {
            return Some(roll_back(record, elapsed, Reason::Faulty(fault)));
        }
        if record.share >= WHOLE {
            let full_since = *self.full_since.get_or_insert(now);
            let is_settled = situation.is_settled || progress >= SETTLING_FRACTION;
            if is_settled && now.saturating_since(full_since) >= MIN_SETTLING_TIME {
                return step(Phase::Completed, WHOLE, Reason::Settled);
            }
            return None;
        }
        if are_others_missing && situation.has_target {
            return step(Phase::Running, WHOLE, Reason::NoOthers);
        }
        if progress >= FULL_FRACTION && (situation.has_old || !situation.has_target) {
            return match assessment {
                _ if !situation.has_target => Some(roll_back(record, elapsed, Reason::NoUpstreams)),
                Assessment::Faulty(fault) | Assessment::Doubtful(fault) => {
                    Some(roll_back(record, elapsed, Reason::Faulty(fault)))
                }
                Assessment::Unanswered => Some(roll_back(record, elapsed, Reason::NoResponses)),
                Assessment::Sound => step(Phase::Running, WHOLE, Reason::Sound),
            };
        }
        let share = step_share(progress, bounds);
        if share > record.share && matches!(assessment, Assessment::Sound | Assessment::Unanswered)
        {
            return step(Phase::Running, share, Reason::NextStep);
        }
        None
    }

    /// Returns the first step of an order, which replaces the state of the one before.
    fn begin(&self, elapsed: Duration, bounds: &Bounds, earlier: Option<&Record>) -> Decision {
        let mut barred = earlier.map_or_else(Vec::new, |record| record.barred.clone());
        // A version whose rollout is replaced by another one has no verdict, and must not get a usual share.
        if let Some(record) = earlier
            && record.phase == Phase::Running
            && record.share < WHOLE
        {
            bar(&mut barred, &record.target);
        }
        barred.retain(|version| *version != self.order.target);
        Decision {
            record: Record {
                order: self.order.revision,
                target: Arc::clone(&self.order.target),
                phase: Phase::Running,
                share: step_share(0.0, bounds),
                elapsed,
                barred,
            },
            reason: Reason::Ordered,
        }
    }

    /// Returns whether no upstreams of other versions have accepted requests for some time.
    fn are_others_missing(&mut self, now: Instant, situation: Situation) -> bool {
        if situation.has_old {
            self.others_missing_since = None;
            return false;
        }
        let missing_since = *self.others_missing_since.get_or_insert(now);
        now.saturating_since(missing_since) >= MIN_MISSING_TIME
    }

    /// Assesses the responses since the order and the recent ones.
    fn assess(&mut self, now: Instant, totals: &[RouteCounts]) -> Assessment {
        let whole = assess(totals, totals);
        if matches!(whole, Assessment::Faulty(_)) {
            return whole;
        }
        let recent = self.snapshots.front();
        let recent =
            recent.map(|(_, before)| assess(&evidence::difference(totals, before), totals));
        let is_due = self
            .snapshots
            .back()
            .is_none_or(|(at, _)| now.saturating_since(*at) >= SNAPSHOT_INTERVAL);
        if is_due {
            self.snapshots.push_back((now, totals.to_vec()));
        }
        while let [(_, _), (second, _), ..] = self.snapshots.make_contiguous()
            && now.saturating_since(*second) >= RECENT_TIME
        {
            self.snapshots.pop_front();
        }
        match recent {
            Some(recent @ (Assessment::Faulty(_) | Assessment::Doubtful(_))) => recent,
            _ => whole,
        }
    }
}

/// Returns the step that ends a rollout whose order was withdrawn before there was a verdict.
///
/// A version with a limited share has not been shown to be sound, so it gets no further requests.
#[must_use]
pub fn withdraw(record: &Record) -> Option<Record> {
    if record.phase != Phase::Running {
        return None;
    }
    if record.share < WHOLE {
        return Some(roll_back(record, record.elapsed, Reason::NoResponses).record);
    }
    Some(Record {
        phase: Phase::Completed,
        ..record.clone()
    })
}

fn roll_back(record: &Record, elapsed: Duration, reason: Reason) -> Decision {
    let mut barred = record.barred.clone();
    bar(&mut barred, &record.target);
    let record = Record {
        phase: Phase::RolledBack,
        share: 0,
        elapsed,
        barred,
        ..record.clone()
    };
    Decision { record, reason }
}

/// Adds a version to those that get no requests; the oldest one is forgotten if there are too many.
fn bar(barred: &mut Vec<Arc<str>>, version: &Arc<str>) {
    barred.retain(|other| other != version);
    barred.push(Arc::clone(version));
    if barred.len() > MAX_BARRED {
        barred.remove(0);
    }
}

/// Returns the share of the step for the part of the duration that has passed, in thousandths.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the settings limit the share to 1"
)]
fn step_share(progress: f64, bounds: &Bounds) -> u32 {
    let taken = STEPS.iter().rev().find(|(from, _)| progress >= *from);
    let fraction = taken.map_or(0.0, |(_, fraction)| *fraction);
    (bounds.canary_share.clamp(0.0, 1.0) * fraction * f64::from(WHOLE)) as u32
}
