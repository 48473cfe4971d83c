//! The `event` module provides the events of a simulation and the requests and attempts that they refer to.
//!
//! All times are in microseconds of virtual time; requests, groups, entries and upstreams are referred to by index.

use kumquat_state::bundle::PriorityClass;

use super::model::{SimConfig, duration_us};

/// One-way network delay within a data centre.
pub const LOCAL_ONE_WAY_US: u64 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    /// The next request arrives at an entry.
    RequestArrived,
    /// A forwarded request reaches a dispatch group.
    RequestAtGroup {
        request: usize,
        group: usize,
    },
    GroupTimer {
        group: usize,
    },
    /// An attempt reaches its upstream.
    AttemptAtUpstream {
        upstream: usize,
        group: usize,
        attempt: u64,
    },
    JobDone {
        upstream: usize,
        job_id: u64,
    },
    /// The cancellation of an attempt reaches its upstream.
    CancelAtUpstream {
        upstream: usize,
        group: usize,
        attempt: u64,
    },
    /// The end of an attempt reaches its driver; `outcome` is 0 for completed, 1 for shed, 2 for broken and 3 for not
    /// connected.
    AttemptEnded {
        group: usize,
        attempt: u64,
        outcome: u8,
    },
    /// A response or refusal reaches the entry, with the index of the load report that it carries.
    ResultAtEntry {
        request: usize,
        group: usize,
        is_answered: bool,
        load_index: usize,
    },
    Slow {
        upstream: usize,
    },
    LoseUpstream {
        upstream: usize,
    },
    RestartUpstream {
        upstream: usize,
    },
    RebalanceLeases,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub arrived_us: u64,
    pub deadline_us: u64,
    pub class: PriorityClass,
    pub team: usize,
    pub idempotent: bool,
    pub entry: usize,
    pub target_upstream: usize,
}

/// An attempt in flight, as the driver of its group sees it.
#[derive(Clone, Copy, Debug)]
pub struct SentAttempt {
    pub attempt: u64,
    pub request: usize,
    pub upstream: usize,
    pub sent_at_us: u64,
}

/// Returns the one-way network delay between two data centres.
pub fn one_way_us(config: &SimConfig, from: usize, to: usize) -> u64 {
    if from == to {
        LOCAL_ONE_WAY_US
    } else {
        duration_us(config.inter_data_centre_rtt) / 2
    }
}
