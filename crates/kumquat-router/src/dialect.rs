//! The `dialect` module provides the names that callers and upstreams use on the wire, which an adapter fills in.

use std::time::Duration;

use kumquat_coordination::fleet::{KeyRange, UpstreamLoad};

use crate::http::Headers;

/// A call to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Path.
    pub path: &'static str,
    /// Body.
    pub body: Vec<u8>,
}

/// Keys that are granted to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Grant<'a> {
    /// The keys.
    pub region: &'a KeyRange,
    /// Fencing token.
    pub fence: u64,
    /// How long they are held from the arrival of the call.
    pub hold: Duration,
    /// State that the last holder left behind.
    pub handover: Option<&'a str>,
}

/// Header fields and calls of the world around the router.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Field with the id of a caller's try; upstreams repeat it in their answers.
    pub attempt: &'static str,
    /// Field with the milliseconds that the caller waits.
    pub deadline: &'static str,
    /// Field with the upstream for which a request is meant.
    pub expected: &'static str,
    /// Field with the team for which a request runs.
    pub team: &'static str,
    /// Field that an upstream's genuine answer carries.
    pub signature: &'static str,
    /// Field that says that a request was not run.
    pub not_run: &'static str,
    /// Field with the value 1 in all answers of an upstream that is about to stop.
    pub leaving: &'static str,
    /// Field with the key number of a request to a keyed service.
    pub key: &'static str,
    /// Field with the state that a holder leaves to the next one.
    pub handover: &'static str,
    /// Word before the caller key in the authorisation field.
    pub scheme: &'static str,
    /// Path of the question whether the VM takes requests.
    pub ready_path: &'static str,
    /// Reads what an upstream says about its load.
    pub load: fn(&Headers) -> Option<UpstreamLoad>,
    /// Returns path and body of the call that grants keys.
    pub grant: fn(&Grant<'_>) -> Call,
    /// Returns path and body of the call that takes keys back.
    pub release: fn(&KeyRange, u64) -> Call,
}
