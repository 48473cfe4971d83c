//! The `quarantine` module provides the detection of requests that end the upstreams that execute them, and keeps such
//! requests from the upstreams.
//!
//! A request's content is suspected when an upstream ends while it executes it. An ordinary crash takes all requests in
//! flight with it as well, so an answer to the same content at any VM clears it. It is quarantined once enough of its
//! exchanges have ended, at more than one upstream. See `docs/platform.md`.

use std::time::Duration;

use kumquat_state::clock::Instant;

use super::Fingerprint;

/// Ended exchanges after which a content is quarantined, if they were at [`MIN_UPSTREAMS`] upstreams or more.
const MIN_ENDS: u32 = 3;

/// Upstreams at which exchanges must have ended, because many callers can have the same request in flight at one crash.
const MIN_UPSTREAMS: usize = 2;

/// Ended exchanges from which a content is sent in trials only.
///
/// One ended exchange is what an ordinary crash leaves behind, and the caller's next try must be served like any other.
const MIN_ENDS_FOR_TRIALS: u32 = 2;

/// Fraction of the requests with a content under suspicion that are sent, so that the VMs together send few at once.
const TRIAL_PROBABILITY: f64 = 0.25;

/// Time after which a request that was no trial may come back; a trial takes about as long.
const TRIAL_WAIT: Duration = Duration::from_millis(100);

/// Length of a first quarantine; each further one is [`DURATION_FACTOR`] times as long, up to [`MAX_DURATION`].
const FIRST_DURATION: Duration = Duration::from_mins(1);

/// Factor between the lengths of successive quarantines of the same content.
const DURATION_FACTOR: u32 = 4;

/// Longest quarantine, and longest time left that is accepted from a peer's report.
const MAX_DURATION: Duration = Duration::from_mins(10);

/// Largest part of a quarantine's length by which a VM extends it, so that the VMs don't make their next trials at once.
const MAX_EXTENSION_FRACTION: f64 = 0.5;

/// Age at which an ended exchange no longer counts.
const END_EXPIRY: Duration = Duration::from_mins(2);

/// Time within which another upstream has to answer for an ended exchange to count.
///
/// A VM that has lost its path to the upstreams sees their connections end as well.
const CONFIRMATION_TIME: Duration = Duration::from_secs(2);

/// Time for which ended exchanges and clearances are repeated in reports, because single reports can be lost.
const REPORT_TIME: Duration = Duration::from_secs(3);

/// Maximum number of entries of each kind in a report.
const MAX_REPORTED: usize = 16;

/// Maximum number of contents that are kept; beyond it those that are least suspected are forgotten.
const MAX_SUSPECTS: usize = 256;

/// Whether a request may be sent, given what requests with its content did to upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// Nothing speaks against it.
    Allowed,
    /// It may be sent as a trial; [`Quarantine::finish_trial`] has to follow.
    Trial,
    /// It must not be sent.
    Refused {
        /// Time after which a request with this content may be sent.
        wait: Duration,
    },
}

/// Exchanges with one content that ended at one upstream, as one VM has observed them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedEnd {
    /// Content of the requests.
    pub fingerprint: Fingerprint,
    /// Short id of the upstream's incarnation.
    pub upstream: u32,
    /// Number of exchanges.
    pub count: u32,
    /// Time since the last of them ended.
    pub age: Duration,
}

/// A quarantine of a content, as it begins, is in force or is reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedHold {
    /// Content of the requests.
    pub fingerprint: Fingerprint,
    /// Number of successive quarantines of this content, this one included.
    pub round: u32,
    /// Time until its end.
    pub remaining: Duration,
}

/// An answer that cleared a content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedClearance {
    /// Content of the requests.
    pub fingerprint: Fingerprint,
    /// Time since the answer.
    pub age: Duration,
}

/// What a VM tells its peers about requests that end upstreams.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QuarantineReport {
    /// Exchanges that ended, as observed by this VM.
    pub ends: Vec<ReportedEnd>,
    /// All quarantines that it knows of, so that a VM that starts learns them from any peer.
    pub holds: Vec<ReportedHold>,
    /// Contents that were cleared at this VM.
    pub clearances: Vec<ReportedClearance>,
}

#[derive(Clone, Debug)]
struct End {
    upstream: u32,
    // Incarnation of the VM that observed it.
    vm: u64,
    count: u32,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Hold {
    round: u32,
    until: Instant,
}

#[derive(Clone, Debug)]
struct Suspect {
    fingerprint: Fingerprint,
    ends: Vec<End>,
    hold: Option<Hold>,
    has_trial: bool,
}

impl Suspect {
    fn end_count(&self) -> u32 {
        let counts = self.ends.iter().map(|end| end.count);
        counts.fold(0, u32::saturating_add)
    }

    fn upstream_count(&self) -> usize {
        let mut upstreams: Vec<u32> = self.ends.iter().map(|end| end.upstream).collect();
        upstreams.sort_unstable();
        upstreams.dedup();
        upstreams.len()
    }

    /// Returns the entry of a VM's ended exchanges at an upstream; a new one counts none and has the given time.
    fn end_mut(&mut self, vm: u64, upstream: u32, at: Instant) -> &mut End {
        let mut ends = self.ends.iter();
        let found = ends.position(|end| end.vm == vm && end.upstream == upstream);
        let position = found.unwrap_or_else(|| {
            self.ends.push(End {
                upstream,
                vm,
                count: 0,
                at,
            });
            self.ends.len() - 1
        });
        &mut self.ends[position]
    }

    /// Starts a quarantine if the ended exchanges suffice, or if one ended after an earlier quarantine.
    fn judge(&mut self, now: Instant) -> Option<ReportedHold> {
        let round = match self.hold {
            None if self.end_count() < MIN_ENDS || self.upstream_count() < MIN_UPSTREAMS => {
                return None;
            }
            None => 1,
            Some(hold) => {
                let has_ended_since = self.ends.iter().any(|end| end.at > hold.until);
                if !has_ended_since {
                    return None;
                }
                hold.round.saturating_add(1)
            }
        };
        let remaining = duration(round);
        self.hold = Some(Hold {
            round,
            until: now + remaining,
        });
        Some(ReportedHold {
            fingerprint: self.fingerprint,
            round,
            remaining,
        })
    }

    fn is_expired(&self, now: Instant) -> bool {
        // A content that has served its time is remembered for as long again, so that a relapse counts as one.
        let is_forgotten = |hold: Hold| now > hold.until + duration(hold.round);
        self.ends.is_empty() && self.hold.is_none_or(is_forgotten)
    }
}

/// An ended exchange that counts once another upstream has answered a later request.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedEnd {
    fingerprint: Fingerprint,
    upstream: u32,
    at: Instant,
}

/// The contents that are suspected of ending upstreams, with their quarantines.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    // Sorted by fingerprint.
    suspects: Vec<Suspect>,
    unconfirmed: Vec<UnconfirmedEnd>,
    clearances: Vec<(Fingerprint, Instant)>,
    vm: u64,
    // Part of a quarantine's length by which this VM extends it.
    extension_fraction: f64,
    is_early_report_due: bool,
}

impl Quarantine {
    /// Creates an empty quarantine; `noise` is a random number from 0 to 1 and `vm` the incarnation of this VM.
    #[must_use]
    pub fn new(vm: u64, noise: f64) -> Self {
        Self {
            vm,
            extension_fraction: noise.clamp(0.0, 1.0) * MAX_EXTENSION_FRACTION,
            ..Self::default()
        }
    }

    /// Returns whether no content is under suspicion, so that requests need no fingerprint.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.suspects.is_empty() && self.unconfirmed.is_empty()
    }

    /// Returns the time until a request with this content may be sent again, if it is in quarantine.
    #[must_use]
    pub fn remaining(&self, now: Instant, fingerprint: Fingerprint) -> Option<Duration> {
        let position = self.position(fingerprint).ok()?;
        self.remaining_hold(now, &self.suspects[position])
    }

    fn remaining_hold(&self, now: Instant, suspect: &Suspect) -> Option<Duration> {
        let hold = suspect.hold?;
        let until = hold.until + duration(hold.round).mul_f64(self.extension_fraction);
        (now < until).then(|| now.until(until))
    }

    /// Returns all quarantines in force at this VM.
    #[must_use]
    pub fn holds(&self, now: Instant) -> Vec<ReportedHold> {
        let held = self.suspects.iter().filter_map(|suspect| {
            Some(ReportedHold {
                fingerprint: suspect.fingerprint,
                round: suspect.hold?.round,
                remaining: self.remaining_hold(now, suspect)?,
            })
        });
        held.collect()
    }

    /// Returns whether a request may be sent; `noise` is a random number from 0 to 1.
    ///
    /// A content under suspicion has one trial at a time on this VM, and only a part of the requests become one.
    pub fn admit(&mut self, now: Instant, fingerprint: Fingerprint, noise: f64) -> Admission {
        let Ok(position) = self.position(fingerprint) else {
            return Admission::Allowed;
        };
        if let Some(wait) = self.remaining_hold(now, &self.suspects[position]) {
            return Admission::Refused { wait };
        }
        let suspect = &mut self.suspects[position];
        if suspect.hold.is_none() && suspect.end_count() < MIN_ENDS_FOR_TRIALS {
            return Admission::Allowed;
        }
        if suspect.has_trial || noise >= TRIAL_PROBABILITY {
            return Admission::Refused { wait: TRIAL_WAIT };
        }
        suspect.has_trial = true;
        Admission::Trial
    }

    /// Ends a trial, so that the next one can start.
    pub fn finish_trial(&mut self, fingerprint: Fingerprint) {
        if let Ok(position) = self.position(fingerprint) {
            self.suspects[position].has_trial = false;
        }
    }

    /// Records that an upstream ended during an exchange of this VM.
    ///
    /// It counts once another upstream answers a request that was sent later, which shows that the VM has a path.
    pub fn record_end(&mut self, now: Instant, fingerprint: Fingerprint, upstream: u32) {
        self.expire(now);
        if self.unconfirmed.len() < MAX_SUSPECTS {
            self.unconfirmed.push(UnconfirmedEnd {
                fingerprint,
                upstream,
                at: now,
            });
        }
    }

    /// Records an upstream's complete answer to a request that was sent at `sent_at`; returns quarantines that begin.
    ///
    /// The answer clears its content, proves that the upstream has not ended, and confirms ends at other upstreams.
    pub fn record_answer(
        &mut self,
        now: Instant,
        fingerprint: Fingerprint,
        upstream: u32,
        sent_at: Instant,
    ) -> Vec<ReportedHold> {
        self.expire(now);
        for suspect in &mut self.suspects {
            suspect
                .ends
                .retain(|end| end.upstream != upstream || end.at >= sent_at);
        }
        self.unconfirmed.retain(|end| {
            end.fingerprint != fingerprint && (end.upstream != upstream || end.at >= sent_at)
        });
        if let Ok(position) = self.position(fingerprint) {
            self.suspects.remove(position);
            self.clear(now, fingerprint);
        }
        let (confirmed, unconfirmed): (Vec<_>, Vec<_>) = std::mem::take(&mut self.unconfirmed)
            .into_iter()
            .partition(|end| end.upstream != upstream && end.at < sent_at);
        self.unconfirmed = unconfirmed;
        let vm = self.vm;
        let mut started = Vec::new();
        for end in confirmed {
            self.is_early_report_due = true;
            let suspect = self.suspect_mut(now, end.fingerprint);
            let known = suspect.end_mut(vm, end.upstream, end.at);
            known.count = known.count.saturating_add(1);
            known.at = known.at.max(end.at);
            started.extend(suspect.judge(now));
        }
        started
    }

    /// Clears a content, as an operator may; the peers are told. Returns whether it was under suspicion.
    pub fn lift(&mut self, now: Instant, fingerprint: Fingerprint) -> bool {
        self.unconfirmed
            .retain(|end| end.fingerprint != fingerprint);
        let Ok(position) = self.position(fingerprint) else {
            return false;
        };
        self.suspects.remove(position);
        self.clear(now, fingerprint);
        true
    }

    fn clear(&mut self, now: Instant, fingerprint: Fingerprint) {
        self.clearances.retain(|(other, _)| *other != fingerprint);
        self.clearances.push((fingerprint, now));
        self.is_early_report_due = true;
    }

    /// Returns whether the peers must be told something before the next regular report.
    #[must_use]
    pub const fn is_early_report_due(&self) -> bool {
        self.is_early_report_due
    }

    /// Returns the report for the peers.
    pub fn next_report(&mut self, now: Instant) -> QuarantineReport {
        self.expire(now);
        self.is_early_report_due = false;
        let mut report = QuarantineReport::default();
        for suspect in &self.suspects {
            let own = suspect.ends.iter().filter(|end| end.vm == self.vm);
            let own = own.map(|end| ReportedEnd {
                fingerprint: suspect.fingerprint,
                upstream: end.upstream,
                count: end.count,
                age: now.saturating_since(end.at),
            });
            report.ends.extend(own.filter(|end| end.age < REPORT_TIME));
            if let Some(hold) = suspect.hold.filter(|hold| now < hold.until) {
                report.holds.push(ReportedHold {
                    fingerprint: suspect.fingerprint,
                    round: hold.round,
                    remaining: now.until(hold.until),
                });
            }
        }
        report.ends.sort_by_key(|end| end.age);
        report.ends.truncate(MAX_REPORTED);
        report
            .holds
            .sort_by_key(|hold| std::cmp::Reverse(hold.remaining));
        report.holds.truncate(MAX_REPORTED);
        let clearances = self.clearances.iter().rev().take(MAX_REPORTED);
        report.clearances = clearances
            .map(|(fingerprint, at)| ReportedClearance {
                fingerprint: *fingerprint,
                age: now.saturating_since(*at),
            })
            .collect();
        report
    }

    /// Applies the report of a peer, whose incarnation is `vm`; returns quarantines that begin.
    pub fn apply_report(
        &mut self,
        now: Instant,
        vm: u64,
        report: &QuarantineReport,
    ) -> Vec<ReportedHold> {
        self.expire(now);
        for clearance in &report.clearances {
            self.apply_clearance(now, clearance);
        }
        let mut started = Vec::new();
        for end in &report.ends {
            let at = now - end.age;
            if self.is_cleared_since(end.fingerprint, at) || end.age >= END_EXPIRY {
                continue;
            }
            let suspect = self.suspect_mut(now, end.fingerprint);
            let known = suspect.end_mut(vm, end.upstream, at);
            known.count = known.count.max(end.count);
            started.extend(suspect.judge(now));
        }
        for hold in &report.holds {
            started.extend(self.adopt(now, hold));
        }
        started
    }

    fn apply_clearance(&mut self, now: Instant, clearance: &ReportedClearance) {
        let at = now - clearance.age;
        if self.is_cleared_since(clearance.fingerprint, at) {
            return;
        }
        self.clearances
            .retain(|(other, _)| *other != clearance.fingerprint);
        self.clearances.push((clearance.fingerprint, at));
        if let Ok(position) = self.position(clearance.fingerprint) {
            let suspect = &mut self.suspects[position];
            suspect.ends.retain(|end| end.at > at);
            suspect.hold = None;
            if suspect.ends.is_empty() {
                self.suspects.remove(position);
            }
        }
    }

    /// Adopts a quarantine that another VM or the store knows of, unless this VM knows it or a later one.
    pub fn adopt(&mut self, now: Instant, hold: &ReportedHold) -> Option<ReportedHold> {
        // The report may have been under way when the content was cleared.
        if self.is_cleared_since(hold.fingerprint, now - REPORT_TIME) || hold.remaining.is_zero() {
            return None;
        }
        let remaining = hold.remaining.min(MAX_DURATION);
        let suspect = self.suspect_mut(now, hold.fingerprint);
        // A relapse has a higher round, so that a late report of a quarantine that is over does not prolong it.
        if suspect.hold.is_some_and(|known| known.round >= hold.round) {
            return None;
        }
        suspect.hold = Some(Hold {
            round: hold.round,
            until: now + remaining,
        });
        Some(ReportedHold {
            fingerprint: hold.fingerprint,
            round: hold.round,
            remaining,
        })
    }

    fn is_cleared_since(&self, fingerprint: Fingerprint, at: Instant) -> bool {
        let mut clearances = self.clearances.iter();
        clearances.any(|(other, cleared_at)| *other == fingerprint && *cleared_at >= at)
    }

    /// Returns the entry of a content; another one is forgotten if there are too many.
    fn suspect_mut(&mut self, now: Instant, fingerprint: Fingerprint) -> &mut Suspect {
        if self.suspects.len() >= MAX_SUSPECTS && self.position(fingerprint).is_err() {
            let is_held = |suspect: &Suspect| suspect.hold.is_some_and(|hold| now < hold.until);
            let least = self.suspects.iter().enumerate().min_by_key(|(_, suspect)| {
                let latest = suspect.ends.iter().map(|end| end.at).max();
                (is_held(suspect), suspect.end_count(), latest)
            });
            if let Some((position, _)) = least {
                self.suspects.remove(position);
            }
        }
        let position = match self.position(fingerprint) {
            Ok(position) => position,
            Err(position) => {
                self.suspects.insert(
                    position,
                    Suspect {
                        fingerprint,
                        ends: Vec::new(),
                        hold: None,
                        has_trial: false,
                    },
                );
                position
            }
        };
        &mut self.suspects[position]
    }

    fn position(&self, fingerprint: Fingerprint) -> Result<usize, usize> {
        self.suspects
            .binary_search_by_key(&fingerprint, |suspect| suspect.fingerprint)
    }

    /// Forgets what is too old to count.
    fn expire(&mut self, now: Instant) {
        self.unconfirmed
            .retain(|end| now.saturating_since(end.at) < CONFIRMATION_TIME);
        self.clearances
            .retain(|(_, at)| now.saturating_since(*at) < REPORT_TIME);
        for suspect in &mut self.suspects {
            suspect
                .ends
                .retain(|end| now.saturating_since(end.at) < END_EXPIRY);
        }
        self.suspects.retain(|suspect| !suspect.is_expired(now));
    }
}

/// Returns the length of the quarantine with this number among those of the same content.
fn duration(round: u32) -> Duration {
    let factor = DURATION_FACTOR.saturating_pow(round.saturating_sub(1));
    FIRST_DURATION.saturating_mul(factor).min(MAX_DURATION)
}
