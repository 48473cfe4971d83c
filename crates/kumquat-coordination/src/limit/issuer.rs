//! The exact token bucket at the team's home VM.

use std::collections::VecDeque;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};
use kumquat_state::ledger::Holder;

use super::{Ask, Credit, Handover, LIFETIME, Report};

/// Time after the first credits of a new home during which requests wait for credits and are not refused.
///
/// Requests that came while the old home was lost and the new one could not issue yet have to be caught up with.
const STARTUP_GRACE: Duration = Duration::from_millis(700);

/// Parts per credit: one credit per second accrues one part per microsecond, so that no rounding ever occurs.
const PARTS_PER_CREDIT: u64 = 1_000_000;

/// Time after which the record of a silent credit cache is dropped; its batches have expired long before.
const ACCOUNT_IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Longest retry time that is stated to a caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Issues the credits of one team.
///
/// `level + outstanding <= burst` holds at all times. Credits that are neither reported as spent nor returned count as
/// spent when they expire.
#[derive(Clone, Debug)]
pub struct Issuer {
    rate: u32,
    burst: u32,
    /// Credits that may be issued, in [`PARTS_PER_CREDIT`].
    level_parts: u64,
    /// Time up to which credits have accrued.
    accrued_until: Instant,
    /// Time from which an empty bucket shows that the team is over its rate.
    settled_at: Instant,
    /// Credits issued and not yet known as spent, returned or expired.
    outstanding: u32,
    /// Batches in the order of their expiry.
    batches: VecDeque<Batch>,
    /// Credit caches, sorted by holder.
    accounts: Vec<Account>,
}

#[derive(Clone, Debug)]
struct Batch {
    /// Credit cache that holds the credits; none if an earlier home issued them.
    holder: Option<Holder>,
    sequence: u64,
    count: u32,
    spent: u32,
    returned: u32,
    expires_at: Instant,
}

#[derive(Clone, Debug)]
struct Account {
    holder: Holder,
    /// Answer to the latest ask, repeated when the ask arrives again.
    credit: Credit,
    /// Whether the latest ask got less than it needed.
    short: bool,
    last_request_at: Instant,
}

impl Issuer {
    /// Creates the bucket at level zero.
    ///
    /// No credit accrues before the credits of an earlier home must have expired. Without this pause, a window that
    /// starts after the change of homes could see the earlier home's whole burst and, on top of it, the credits that
    /// accrued between the change and the start of the window.
    #[must_use]
    pub fn new(rate: u32, burst: u32, now: Instant) -> Self {
        Self {
            rate,
            burst,
            level_parts: 0,
            accrued_until: now + clock::lengthened(LIFETIME),
            settled_at: now + clock::lengthened(LIFETIME) + STARTUP_GRACE,
            outstanding: 0,
            batches: VecDeque::new(),
            accounts: Vec::new(),
        }
    }

    /// Creates the bucket of a home that takes over from one that has stopped issuing and handed its bucket over.
    ///
    /// The credits that the earlier home issued count as outstanding until they must have expired, so that nothing can
    /// be spent twice. What accrued between the two homes is lost.
    #[must_use]
    pub fn resume(rate: u32, burst: u32, now: Instant, handover: Handover) -> Self {
        let mut issuer = Self::new(rate, burst, now);
        let outstanding = handover.outstanding.min(burst);
        if outstanding > 0 {
            issuer.outstanding = outstanding;
            issuer.batches.push_back(Batch {
                holder: None,
                sequence: 0,
                count: outstanding,
                spent: 0,
                returned: 0,
                expires_at: now + clock::lengthened(LIFETIME),
            });
        }
        issuer.accrued_until = now;
        issuer.level_parts =
            (u64::from(handover.level) * PARTS_PER_CREDIT).min(issuer.max_level_parts());
        issuer.check_invariant();
        issuer
    }

    /// Returns the bucket for the home that takes over; this issuer must not be used any more.
    #[must_use]
    pub fn hand_over(mut self, now: Instant) -> Handover {
        self.advance(now);
        Handover {
            level: u32::try_from(self.level_parts / PARTS_PER_CREDIT).unwrap_or(u32::MAX),
            outstanding: self.outstanding,
        }
    }

    /// Changes rate and burst from now on.
    pub fn configure(&mut self, now: Instant, rate: u32, burst: u32) {
        self.advance(now);
        self.rate = rate;
        self.burst = burst;
        self.level_parts = self.level_parts.min(self.max_level_parts());
        self.check_invariant();
    }

    /// Takes the reports of a credit cache and issues credits to it.
    ///
    /// An ask that arrives twice gets the same answer, and one that arrives after a later ask of the same credit cache
    /// gets nothing; neither changes the bucket.
    pub fn request(&mut self, now: Instant, holder: &Holder, ask: &Ask) -> Credit {
        self.advance(now);
        let place = self
            .accounts
            .binary_search_by(|account| account.holder.cmp(holder));
        if let Ok(index) = place {
            let last = self.accounts[index].credit;
            if ask.sequence == last.sequence {
                return last;
            }
            if ask.sequence < last.sequence {
                return Credit {
                    sequence: ask.sequence,
                    count: 0,
                    expires_in: LIFETIME,
                    retry_after: None,
                };
            }
        }

        // Reports come first, because a returned credit may answer this very ask.
        for report in &ask.reports {
            self.apply_report(holder, report);
        }

        let available = u32::try_from(self.level_parts / PARTS_PER_CREDIT).unwrap_or(u32::MAX);
        let need = ask.need.min(ask.want);
        let count = if available <= need {
            available
        } else {
            // Credits for expected demand never take all that is left, because another credit cache may need some
            // at once.
            need + (ask.want - need).min((available - need) / 2)
        };
        if count > 0 {
            self.level_parts -= u64::from(count) * PARTS_PER_CREDIT;
            self.outstanding += count;
            self.batches.push_back(Batch {
                holder: Some(holder.clone()),
                sequence: ask.sequence,
                count,
                spent: 0,
                returned: 0,
                expires_at: now + clock::lengthened(LIFETIME),
            });
        }
        let short = count < need;
        // A bucket that has just started is empty whatever the team's rate; teams within their rate wait for it.
        let over = short && now >= self.settled_at && !self.others_may_return(holder);
        let retry_after = over.then(|| self.retry_after(now, need - count));
        let credit = Credit {
            sequence: ask.sequence,
            count,
            expires_in: LIFETIME,
            retry_after,
        };

        let account = Account {
            holder: holder.clone(),
            credit,
            short,
            last_request_at: now,
        };
        match place {
            Ok(index) => self.accounts[index] = account,
            Err(index) => self.accounts.insert(index, account),
        }
        self.accounts
            .retain(|account| now.saturating_since(account.last_request_at) < ACCOUNT_IDLE_TIMEOUT);
        self.check_invariant();
        credit
    }

    /// Returns the whole credits that can be issued now.
    pub fn level(&mut self, now: Instant) -> u32 {
        self.advance(now);
        u32::try_from(self.level_parts / PARTS_PER_CREDIT).unwrap_or(u32::MAX)
    }

    /// Returns the credits that credit caches may still spend.
    #[must_use]
    pub fn outstanding(&self) -> u32 {
        self.outstanding
    }

    /// Lets credits accrue and batches expire in the order of time.
    ///
    /// Each expiry is handled at its own instant: credits that accrue up to it see the room that the batch still takes.
    fn advance(&mut self, now: Instant) {
        while let Some(batch) = self.batches.front() {
            if batch.expires_at > now {
                break;
            }
            let until = batch.expires_at;
            self.accrue(until);
            if let Some(batch) = self.batches.pop_front() {
                self.outstanding -= batch.remaining();
            }
        }
        self.accrue(now);
        self.check_invariant();
    }

    fn accrue(&mut self, now: Instant) {
        if now <= self.accrued_until {
            return;
        }
        let micros = now.as_micros() - self.accrued_until.as_micros();
        let gain = micros.saturating_mul(u64::from(self.rate));
        self.level_parts = self
            .level_parts
            .saturating_add(gain)
            .min(self.max_level_parts());
        self.accrued_until = now;
    }

    /// Returns the highest level that leaves the invariant intact.
    fn max_level_parts(&self) -> u64 {
        u64::from(self.burst.saturating_sub(self.outstanding)) * PARTS_PER_CREDIT
    }

    fn apply_report(&mut self, holder: &Holder, report: &Report) {
        let Some(index) = self.batches.iter().position(|batch| {
            batch.sequence == report.batch && batch.holder.as_ref() == Some(holder)
        }) else {
            return;
        };
        let batch = &mut self.batches[index];
        let before = batch.remaining();
        batch.spent = report
            .spent
            .clamp(batch.spent, batch.count - batch.returned);
        let returned = report
            .returned
            .clamp(batch.returned, batch.count - batch.spent);
        let back = returned - batch.returned;
        batch.returned = returned;
        self.outstanding -= before - batch.remaining();
        if batch.remaining() == 0 {
            self.batches.remove(index);
        }

        // The cap matters only after the burst has been lowered.
        self.level_parts =
            (self.level_parts + u64::from(back) * PARTS_PER_CREDIT).min(self.max_level_parts());
    }

    /// Returns whether another credit cache holds credits that it may give back: one whose latest ask left no
    /// request waiting.
    ///
    /// A credit cache that got too little spends what it holds at once, so its credits are as good as spent.
    fn others_may_return(&self, holder: &Holder) -> bool {
        self.accounts.iter().any(|account| {
            !account.short
                && account.holder != *holder
                && self
                    .batches
                    .iter()
                    .any(|batch| batch.holder.as_ref() == Some(&account.holder))
        })
    }

    fn retry_after(&self, now: Instant, missing: u32) -> Duration {
        if self.rate == 0 {
            return MAX_RETRY_AFTER;
        }
        let parts = (u64::from(missing) * PARTS_PER_CREDIT).saturating_sub(self.level_parts);
        let micros = parts.div_ceil(u64::from(self.rate));
        (now.until(self.accrued_until) + Duration::from_micros(micros)).min(MAX_RETRY_AFTER)
    }

    fn check_invariant(&self) {
        debug_assert!(
            self.level_parts <= self.max_level_parts(),
            "level {} parts and {} outstanding credits exceed the burst of {}",
            self.level_parts,
            self.outstanding,
            self.burst
        );
    }
}

impl Batch {
    fn remaining(&self) -> u32 {
        self.count - self.spent - self.returned
    }
}
