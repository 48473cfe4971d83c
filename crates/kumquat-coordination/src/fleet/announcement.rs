//! The `announcement` module provides the request limits that upstreams announce in their responses.

use std::time::Duration;

use kumquat_state::clock::Instant;

/// Time since a response last announced a limit after which a response without one ends it.
///
/// Responses that the upstream sent before the announcement can arrive after it, and some upstreams announce a limit
/// only in a part of their responses.
const MIN_LIMIT_DURATION: Duration = Duration::from_secs(1);

/// Time after which a limit ends without any response from its upstream, and an ended limit is forgotten.
const RETENTION: Duration = Duration::from_secs(30);

/// Resolution of limits in requests per second, as reports contain whole multiples of it.
pub const LIMIT_STEP_PER_S: f64 = 0.001;

/// Largest limit in requests per second; a larger one doesn't bind either.
const MAX_LIMIT_PER_S: f64 = 1_000_000.0;

/// Maximum number of limits in one report; the most recently observed ones go first.
const MAX_REPORTED: usize = 128;

/// What a response says about the request limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Announcement {
    /// The response contains no limit.
    Absent,
    /// Requests per second that the upstream accepts from all VMs together; finite and not negative.
    Limit(f64),
    /// The response contains a value that is no valid limit.
    Malformed,
}

impl Announcement {
    /// Returns the limit for a rate in requests per second, or [`Announcement::Malformed`] if it is no valid rate.
    ///
    /// The limit is a multiple of [`LIMIT_STEP_PER_S`], so that it is the same at all VMs after it was reported, and at
    /// most a million requests per second.
    #[must_use]
    pub fn from_rate(rate_per_s: f64) -> Self {
        if rate_per_s.is_finite() && rate_per_s >= 0.0 {
            let steps = (rate_per_s / LIMIT_STEP_PER_S).round();
            Self::Limit((steps * LIMIT_STEP_PER_S).min(MAX_LIMIT_PER_S))
        } else {
            Self::Malformed
        }
    }
}

/// A VM's observation of an upstream's limit in its own responses, as it reports it to its peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReportedLimit {
    /// Short id of the upstream's incarnation.
    pub id: u32,
    /// Requests per second from all VMs together; absent if the upstream has ended its limit.
    pub rate_per_s: Option<f64>,
    /// Time since the response from which the VM knows this.
    pub age: Duration,
}

/// How a response or a report changed what is known of an upstream's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitChange {
    /// The upstream announced a limit.
    Started,
    /// The upstream announced another limit than before.
    Changed {
        /// Previous limit in requests per second.
        previous_per_s: f64,
    },
    /// The upstream no longer announces a limit.
    Ended {
        /// Time since the limit was first announced.
        duration: Duration,
        /// Requests and orders that this VM has sent to the upstream meanwhile.
        sent: u32,
    },
    /// The upstream sent a value that is no valid limit, for the first time in 30 seconds.
    Malformed,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Short id of the upstream's incarnation.
    id: u32,
    /// Requests per second; absent if no limit is in force.
    rate_per_s: Option<f64>,
    /// Time since when a limit is in force.
    started_at: Instant,
    /// Time of the response that last announced or ended the limit.
    observed_at: Instant,
    /// Whether the observation is this VM's own, which it reports to its peers.
    is_own: bool,
    /// Requests and orders that this VM has sent to the upstream while the limit is in force.
    sent: u32,
}

/// The limits that upstreams have announced, by the short id of the upstream's incarnation.
#[derive(Clone, Debug, Default)]
pub struct AnnouncedLimits {
    /// Sorted by id.
    entries: Vec<Entry>,
    /// Upstreams that sent a malformed limit, with the time of the first one; sorted by id.
    malformed: Vec<(u32, Instant)>,
    has_changed: bool,
}

impl AnnouncedLimits {
    /// Records what a response of the upstream with this short id says; returns what changed, if anything.
    pub fn record(
        &mut self,
        now: Instant,
        id: u32,
        announcement: Announcement,
    ) -> Option<LimitChange> {
        self.expire(now);
        match announcement {
            Announcement::Absent => {
                let entry = &self.entries[self.position(id).ok()?];
                let is_recent = now.saturating_since(entry.observed_at) < MIN_LIMIT_DURATION;
                if entry.rate_per_s.is_none() || is_recent {
                    return None;
                }
                self.observe(now, now, id, None, true)
            }
            Announcement::Limit(rate_per_s) => self.observe(now, now, id, Some(rate_per_s), true),
            Announcement::Malformed => {
                let index = self.malformed.binary_search_by_key(&id, |entry| entry.0);
                let index = index.err()?;
                self.malformed.insert(index, (id, now));
                Some(LimitChange::Malformed)
            }
        }
    }

    /// Applies a peer's observation, unless a later one is known; returns what changed, if anything.
    pub fn apply_report(&mut self, now: Instant, reported: &ReportedLimit) -> Option<LimitChange> {
        self.expire(now);
        let observed_at = now - reported.age;
        let is_known = self.position(reported.id).is_ok_and(|index| {
            let entry = &self.entries[index];
            entry.observed_at >= observed_at
        });
        if is_known || reported.age >= RETENTION {
            return None;
        }
        self.observe(now, observed_at, reported.id, reported.rate_per_s, false)
    }

    /// Returns this VM's own observations for the report to its peers.
    ///
    /// Those of peers are left out: repeated by a VM that was suspended, an old one would look recent.
    #[must_use]
    pub fn report(&self, now: Instant) -> Vec<ReportedLimit> {
        let own = self.entries.iter().filter(|entry| entry.is_own);
        let mut own: Vec<ReportedLimit> = own
            .map(|entry| ReportedLimit {
                id: entry.id,
                rate_per_s: entry.rate_per_s,
                age: now.saturating_since(entry.observed_at),
            })
            .collect();
        own.sort_by_key(|limit| limit.age);
        own.truncate(MAX_REPORTED);
        own
    }

    /// Records an observation of an upstream's limit that is later than the one known.
    fn observe(
        &mut self,
        now: Instant,
        observed_at: Instant,
        id: u32,
        rate_per_s: Option<f64>,
        is_own: bool,
    ) -> Option<LimitChange> {
        let entry = self.entry(now, id);
        entry.observed_at = observed_at;
        entry.is_own = is_own;
        let previous = std::mem::replace(&mut entry.rate_per_s, rate_per_s);
        let change = match (previous, rate_per_s) {
            (None, None) => return None,
            (None, Some(_)) => {
                entry.started_at = now;
                entry.sent = 0;
                LimitChange::Started
            }
            (Some(previous_per_s), Some(rate_per_s)) => {
                if previous_per_s.total_cmp(&rate_per_s).is_eq() {
                    return None;
                }
                LimitChange::Changed { previous_per_s }
            }
            (Some(_), None) => LimitChange::Ended {
                duration: now.saturating_since(entry.started_at),
                sent: entry.sent,
            },
        };
        self.has_changed = true;
        Some(change)
    }

    /// Counts a request or order that this VM sends to an upstream; returns whether a limit is in force there.
    pub fn record_send(&mut self, id: u32) -> bool {
        let Ok(index) = self.position(id) else {
            return false;
        };
        let entry = &mut self.entries[index];
        entry.sent = entry.sent.saturating_add(1);
        entry.rate_per_s.is_some()
    }

    /// Returns the limit of an upstream in requests per second, if one is in force.
    #[must_use]
    pub fn rate_per_s(&self, id: u32) -> Option<f64> {
        self.entries[self.position(id).ok()?].rate_per_s
    }

    /// Returns the limits in force as short id and requests per second, if any limit has changed since the last call.
    pub fn take_changed(&mut self) -> Option<Vec<(u32, f64)>> {
        if !std::mem::take(&mut self.has_changed) {
            return None;
        }
        let limits = self.entries.iter();
        let limits = limits.filter_map(|entry| Some((entry.id, entry.rate_per_s?)));
        Some(limits.collect())
    }

    /// Returns the limit of an upstream in requests per second if it has been in force for at least `duration`.
    #[must_use]
    pub fn sustained_rate_per_s(&self, now: Instant, id: u32, duration: Duration) -> Option<f64> {
        let entry = &self.entries[self.position(id).ok()?];
        let is_sustained = now.saturating_since(entry.started_at) >= duration;
        entry.rate_per_s.filter(|_| is_sustained)
    }

    fn expire(&mut self, now: Instant) {
        let is_kept = |entry: &Entry| now.saturating_since(entry.observed_at) < RETENTION;
        self.has_changed |= self
            .entries
            .iter()
            .any(|entry| entry.rate_per_s.is_some() && !is_kept(entry));
        self.entries.retain(is_kept);
        self.malformed
            .retain(|(_, first)| now.saturating_since(*first) < RETENTION);
    }

    fn entry(&mut self, now: Instant, id: u32) -> &mut Entry {
        let index = self.position(id).unwrap_or_else(|index| {
            let entry = Entry {
                id,
                rate_per_s: None,
                started_at: now,
                observed_at: now,
                is_own: false,
                sent: 0,
            };
            self.entries.insert(index, entry);
            index
        });
        &mut self.entries[index]
    }

    fn position(&self, id: u32) -> Result<usize, usize> {
        self.entries.binary_search_by_key(&id, |entry| entry.id)
    }
}
