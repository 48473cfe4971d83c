//! The `event` module provides the events of a run and what travels with them.

use kumquat_state::bundle::Class;

use super::model::{SimConfig, duration_us};

/// One way through the network of a data centre, in microseconds.
pub const NEAR: u64 = 40;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Event {
    Arrive,
    AtGroup {
        request: usize,
        group: usize,
    },
    Wake {
        group: usize,
    },
    AtUpstream {
        upstream: usize,
        group: usize,
        attempt: u64,
    },
    Served {
        upstream: usize,
        token: u64,
    },
    Cancelled {
        upstream: usize,
        group: usize,
        attempt: u64,
    },
    Ended {
        group: usize,
        attempt: u64,
        outcome: u8,
    },
    AtEntry {
        request: usize,
        group: usize,
        answered: bool,
        load: usize,
    },
    Slow {
        upstream: usize,
    },
    Lose {
        upstream: usize,
    },
    Chill {
        upstream: usize,
    },
    MoveLeases,
}

#[derive(Clone, Debug)]
pub struct Request {
    pub arrived: u64,
    pub deadline: u64,
    pub class: Class,
    pub team: usize,
    pub idempotent: bool,
    pub entry: usize,
    pub target: usize,
}

/// One attempt as the driver of a group knows it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub attempt: u64,
    pub request: usize,
    pub upstream: usize,
    pub at: u64,
}

/// Time of one way between two data centres, in microseconds.
pub fn one_way(setup: &SimConfig, from: usize, to: usize) -> u64 {
    if from == to {
        NEAR
    } else {
        duration_us(setup.distance) / 2
    }
}
