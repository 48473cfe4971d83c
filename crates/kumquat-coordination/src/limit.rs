//! The `limit` module provides the rate limit of one team, counted across all VMs together.
//!
//! The team's home VM runs an [`Issuer`], the exact token bucket. Each entry runs a [`CreditCache`], which holds a few credits
//! that expire soon. An entry spends one credit per request, so that most requests need no message. See
//! `docs/design.md`, section 5, "Rate limits".

mod issuer;
mod share;

use std::time::Duration;

pub use issuer::Issuer;
pub use share::{Action, CreditCache, Options, Ticket, Verdict};

/// Time for which a credit may be spent, before the drift bound of [`kumquat_state::clock`] is applied.
pub const LIFETIME: Duration = Duration::from_millis(300);

/// What a credit cache sends to the team's home.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Number of the ask; it grows with each ask of a credit cache and names the batch of credits that answers it.
    pub sequence: u64,
    /// Credits for requests that wait now.
    pub need: u32,
    /// Credits asked for, those needed now and those for the demand expected next; zero when the ask only reports.
    pub want: u32,
    /// What became of earlier batches.
    pub reports: Vec<Report>,
}

/// What became of one batch of credits.
///
/// The figures are totals since the batch was issued, so that a report may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Sequence number of the ask that the batch answered.
    pub batch: u64,
    /// Credits spent so far.
    pub spent: u32,
    /// Credits given back; the issuer takes no more than were left.
    pub returned: u32,
}

/// Bucket of a home that has stopped issuing, for the home that takes over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Handover {
    /// Credits that could have been issued.
    pub level: u32,
    /// Credits that credit caches may still spend.
    pub outstanding: u32,
}

/// Answer of the home to an [`Ask`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Credit {
    /// Sequence number of the ask.
    pub sequence: u64,
    /// Credits issued.
    pub count: u32,
    /// Lifetime of the credits, counted by the credit cache from the time at which it sent the ask.
    pub expires_in: Duration,
    /// Set when the team is over its rate: the time until the credits needed now will have accrued.
    pub retry_after: Option<Duration>,
}
