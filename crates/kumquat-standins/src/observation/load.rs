//! The `load` module judges whether a cold upstream received more requests at once than it could bear.
//!
//! An upstream learns of a caller's hang-up a little later than the caller. An excess that consists of requests whose
//! callers had already hung up is therefore not counted, so the judgement waits until the earlier requests have ended.

use std::time::Duration;

use kumquat_state::clock;

/// Longest time in which an upstream notices a hang-up; loopback and a loaded machine need a few milliseconds.
const HANG_UP_NOTICE: Duration = Duration::from_millis(100);

/// A request that arrives at a cold upstream.
#[derive(Debug)]
pub(crate) struct Arrival<'a> {
    /// Name of the upstream.
    pub(crate) upstream: &'a str,
    /// Serial number of the request, unique over all upstreams.
    pub(crate) serial: u64,
    /// Serial numbers of the earlier requests that have not ended.
    pub(crate) earlier: &'a [u64],
    /// Requests that the upstream bears at once.
    pub(crate) limit: u32,
    /// Time since the upstream turned cold.
    pub(crate) age: Duration,
    /// Time since an answer first told that the upstream is cold.
    pub(crate) shown_for: Option<Duration>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum End {
    /// The upstream ended it.
    Answered,
    /// The caller hung up.
    HungUp,
}

/// Number of excess requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Excess {
    pub(super) all: u64,
    pub(super) unshown: u64,
}

#[derive(Debug)]
struct Judgement {
    at: clock::Instant,
    open: Vec<u64>,
    /// The request itself and the earlier requests that were not abandoned before it arrived.
    present: usize,
    limit: usize,
    shown: bool,
}

impl Judgement {
    fn excess(&self) -> Excess {
        let above = u64::from(self.present + self.open.len() > self.limit);
        Excess {
            all: above,
            unshown: if self.shown { 0 } else { above },
        }
    }
}

/// Judgements that wait for the end of requests.
#[derive(Debug, Default)]
pub(super) struct Loads {
    judgements: Vec<Judgement>,
}

impl Loads {
    /// Opens a judgement if the request is above the limit, and describes it.
    pub(super) fn arrive(&mut self, arrival: &Arrival<'_>, now: clock::Instant) -> Option<String> {
        let limit = usize::try_from(arrival.limit).unwrap_or(usize::MAX);
        if arrival.earlier.len() < limit {
            return None;
        }
        self.judgements.push(Judgement {
            at: now,
            open: arrival.earlier.to_vec(),
            present: 1,
            limit,
            shown: arrival.shown_for.is_some(),
        });
        let Arrival {
            upstream,
            serial,
            earlier,
            age,
            shown_for,
            ..
        } = arrival;
        let present = earlier.len() + 1;
        Some(format!(
            "{upstream} is cold for {age:?}, shown for {shown_for:?}, bears {limit} and has {present} with arrival \
             {serial} and the earlier {earlier:?}, unless callers hung up"
        ))
    }

    /// Notes the end of a request and returns the excess of all judgements that it decides.
    pub(super) fn end(&mut self, serial: u64, end: End, now: clock::Instant) -> Excess {
        let mut sum = Excess::default();
        self.judgements.retain_mut(|judgement| {
            let Some(place) = judgement.open.iter().position(|open| *open == serial) else {
                return true;
            };
            judgement.open.swap_remove(place);
            let abandoned =
                end == End::HungUp && now.saturating_since(judgement.at) <= HANG_UP_NOTICE;
            if !abandoned {
                judgement.present += 1;
            }
            if !judgement.open.is_empty() {
                return true;
            }
            let excess = judgement.excess();
            sum.all += excess.all;
            sum.unshown += excess.unshown;
            false
        });
        sum
    }

    /// Returns the excess of all open judgements, taking requests that have not ended as present.
    pub(super) fn pending(&self) -> Excess {
        let open = self.judgements.iter().map(Judgement::excess);
        open.fold(Excess::default(), |sum, excess| Excess {
            all: sum.all + excess.all,
            unshown: sum.unshown + excess.unshown,
        })
    }
}
