//! The `fleet` module provides the decisions of VMs that all send to the same upstreams without a dispatching VM between.
//!
//! Each VM decides for its own requests from what its peers report. What must hold across VMs (one owner of a key, a
//! team's rate, a cold upstream's limit) rests on the store's conditional writes and on shares that add up to the whole,
//! never on a report having arrived. See `docs/platform.md`.

mod bucket;
mod budget;
mod ownership;
mod rate;
pub mod reports;
mod split;
mod table;
mod waiting;

pub use bucket::TokenBucket;
pub use budget::RetryBudget;
pub use ownership::{
    Action, Coordinator, Holder, KeyRange, Member, OrderFailure, OwnedRange, OwnershipMap,
    OwnershipTiming,
};
pub use rate::{RateDecision, TeamRateLimiter, TeamUsage};
pub use split::WeightedRoundRobin;
pub use table::{AttemptOutcome, Selection, UpstreamInstance, UpstreamLoad, UpstreamTable};
pub use waiting::{QueuedRequest, WaitQueue};
