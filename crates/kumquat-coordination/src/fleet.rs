//! The `fleet` module provides the decisions of VMs that all send to the same upstreams, without a central dispatcher.
//!
//! Each VM decides for its own requests from what its peers report. What must hold across VMs (one owner of a key, a
//! team's rate, a cold upstream's limit) is enforced by the store's conditional writes and by per-VM shares that add up
//! to the whole. It never depends on the delivery of a report. See `docs/platform.md`.

mod announcement;
mod bucket;
mod budget;
mod fingerprint;
mod helpers;
pub mod input;
pub mod intake;
mod membership;
mod ownership;
mod path;
mod quarantine;
mod rate;
pub mod reports;
pub mod response;
pub mod rollout;
mod shutdown;
mod split;
mod table;
mod waiting;
mod work;

pub use announcement::{
    AnnouncedLimits, Announcement, LIMIT_STEP_PER_S, LimitChange, ReportedLimit,
};
pub use bucket::TokenBucket;
pub use budget::RetryBudget;
pub use fingerprint::Fingerprint;
pub use helpers::{Helper, HelperOffer, HelperTable};
pub use membership::{Membership, Peer};
pub use ownership::{
    Action, Clearance, Coordinator, Era, GrantId, Holder, KeyRange, Member, OrderFailure,
    OwnedRange, OwnershipMap, OwnershipTiming, max_hold_time,
};
pub use path::{PathChange, PathMonitor, PathState};
pub use quarantine::{
    Admission, Quarantine, QuarantineReport, ReportedClearance, ReportedEnd, ReportedHold,
};
pub use rate::{RateDecision, RateLimiter, RateUsage};
pub use shutdown::deadline_during_shutdown;
pub use split::WeightedRoundRobin;
pub use table::{
    AttemptOutcome, Candidate, FinishedWork, Obstacle, RequestWork, Selection, UpstreamInstance,
    UpstreamLoad, UpstreamTable,
};
pub use waiting::{QueuedRequest, WaitQueue};
pub use work::{Cost, CostModel, CostRouting, RequestKind, observed_work_s, slot_wait_s};

/// Returns a position below `count` for a random number from 0 to 1.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_precision_loss,
    clippy::cast_sign_loss,
    reason = "the position lies between zero and the number of upstreams"
)]
fn random_index(noise: f64, count: usize) -> usize {
    ((noise * count as f64) as usize).min(count.saturating_sub(1))
}
