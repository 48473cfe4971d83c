//! Caches the credits of one team at one entry.

use std::collections::VecDeque;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};

use super::{Ask, Credit, LIFETIME, Report};

/// Width of the windows in which demand is counted.
const DEMAND_WINDOW: Duration = Duration::from_millis(50);

/// Windows of demand that a credit cache asks for at once: it sets how often it has to ask under steady traffic.
const FORECAST_WINDOWS: u32 = 2;

/// Time after which a credit cache asks again when other credit caches may give credits back.
const ASK_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Longest time for which a credit cache refuses at once because of one answer.
const MAX_REFUSE_PERIOD: Duration = Duration::from_millis(20);

/// Time before expiry at which unused credits are given back; it leaves time for a lost message to be repeated.
const RETURN_BEFORE_EXPIRY: Duration = Duration::from_millis(150);

/// Shortest time between two asks that only give back surplus credits.
const MIN_RETURN_INTERVAL: Duration = Duration::from_millis(20);

/// Bounds of a credit cache.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Most requests that wait for credits at once.
    pub max_waiters: usize,
    /// Longest time for which a request waits.
    pub max_wait: Duration,
    /// Time after which an unanswered ask counts as lost.
    pub request_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            max_waiters: 256,
            max_wait: Duration::from_millis(100),
            request_timeout: Duration::from_millis(50),
        }
    }
}

/// Identifies a request that waits for a credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// Immediate result of [`CreditCache::spend`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// A credit was spent; the request may run.
    Spent,
    /// The request waits until an [`Action`] names its ticket.
    Wait(Ticket),
    /// The request is refused.
    Refuse {
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Step that the entry carries out for the credit cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send this to the acting home of the team.
    Ask(Ask),
    /// A credit was spent for this waiting request; it may run.
    Admit(Ticket),
    /// Refuse this waiting request.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
}

/// Credits of one team at one entry.
///
/// At most one ask is in flight at any time. Call [`CreditCache::tick`] after each [`CreditCache::spend`] that answers
/// [`Verdict::Wait`] and at least every few milliseconds.
#[derive(Clone, Debug)]
pub struct CreditCache {
    options: Options,
    batches: VecDeque<Batch>,
    waiters: VecDeque<(Ticket, Instant)>,
    next_ticket: u64,
    next_sequence: u64,
    in_flight: Option<InFlightAsk>,
    demand: Demand,
    /// Earliest time of the next ask.
    next_ask_at: Instant,
    /// Time of the latest ask.
    last_ask_at: Instant,
    /// While this lies ahead, the team is known to be over its rate.
    refuse_until: Instant,
    /// Time at which the home expects to have credits again.
    credits_expected_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Batch {
    sequence: u64,
    count: u32,
    spent: u32,
    returned: u32,
    expires_at: Instant,
    /// The spent and returned figures that the home has confirmed.
    confirmed: (u32, u32),
}

#[derive(Clone, Debug)]
struct InFlightAsk {
    sequence: u64,
    sent_at: Instant,
    reports: Vec<Report>,
}

impl CreditCache {
    /// Creates a credit cache without credits.
    ///
    /// Sequence numbers start at the time in microseconds, so that an entry that restarts within the life of its VM goes
    /// on above the numbers that the home has seen.
    #[must_use]
    pub fn new(options: Options, now: Instant) -> Self {
        Self {
            options,
            batches: VecDeque::new(),
            waiters: VecDeque::new(),
            next_ticket: 0,
            next_sequence: now.as_micros(),
            in_flight: None,
            demand: Demand::new(now),
            next_ask_at: now,
            last_ask_at: now,
            refuse_until: now,
            credits_expected_at: now,
        }
    }

    /// Spends one credit for a request, lets it wait, or refuses it.
    pub fn spend(&mut self, now: Instant) -> Verdict {
        self.demand.count(now);
        self.expire(now);

        // A request must not overtake those that already wait.
        if self.waiters.is_empty() && self.take_credit() {
            return Verdict::Spent;
        }
        if now < self.refuse_until {
            return Verdict::Refuse {
                retry_after: self.retry_after(now),
            };
        }
        if self.waiters.len() >= self.options.max_waiters {
            return Verdict::Refuse {
                retry_after: self.retry_after(now),
            };
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiters
            .push_back((ticket, now + self.options.max_wait));
        Verdict::Wait(ticket)
    }

    /// Withdraws a waiting request, for instance because its caller has gone.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.waiters.retain(|(waiting, _)| *waiting != ticket);
    }

    /// Expires credits, refuses requests that waited too long and asks the home when it should.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now);
        if let Some(in_flight) = &self.in_flight
            && now.saturating_since(in_flight.sent_at) >= self.options.request_timeout
        {
            self.abandon_ask();
        }
        self.admit(&mut actions);
        while let Some(&(ticket, until)) = self.waiters.front()
            && until <= now
        {
            self.waiters.pop_front();
            let retry_after = self.retry_after(now);
            actions.push(Action::Refuse {
                ticket,
                retry_after,
            });
        }
        actions.extend(self.ask(now).map(Action::Ask));
        actions
    }

    /// Takes the home's answer; only the first answer to the ask in flight counts.
    pub fn on_credit(&mut self, now: Instant, credit: &Credit) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(in_flight) = self
            .in_flight
            .take_if(|in_flight| in_flight.sequence == credit.sequence)
        else {
            return actions;
        };
        for report in &in_flight.reports {
            if let Some(batch) = self
                .batches
                .iter_mut()
                .find(|batch| batch.sequence == report.batch)
            {
                batch.confirmed = (report.spent, report.returned);
            }
        }

        // Counted from the send time, so that a late answer can't extend the credits beyond the home's own count.
        self.batches.push_back(Batch {
            sequence: credit.sequence,
            count: credit.count,
            spent: 0,
            returned: 0,
            expires_at: in_flight.sent_at + clock::shortened(credit.expires_in),
            confirmed: (0, 0),
        });
        self.expire(now);
        self.admit(&mut actions);

        if let Some(retry_after) = credit.retry_after {
            // The home has no credits left and no other credit cache will return any, so waiting would only delay
            // the refusal.
            self.credits_expected_at = now + retry_after;
            self.refuse_until = now + retry_after.min(MAX_REFUSE_PERIOD);
            self.next_ask_at = self.refuse_until;
            while let Some((ticket, _)) = self.waiters.pop_front() {
                actions.push(Action::Refuse {
                    ticket,
                    retry_after,
                });
            }
        } else {
            self.refuse_until = now;
            self.credits_expected_at = now;
            self.next_ask_at = if self.waiters.is_empty() {
                now
            } else {
                now + ASK_RETRY_DELAY
            };
        }
        actions
    }

    /// Records that the ask with this sequence number could not be sent or answered.
    pub fn on_failure(&mut self, now: Instant, sequence: u64) {
        if self
            .in_flight
            .as_ref()
            .is_some_and(|in_flight| in_flight.sequence == sequence)
        {
            self.abandon_ask();
            self.next_ask_at = now + ASK_RETRY_DELAY;
        }
    }

    /// Returns the credits that can be spent now.
    pub fn available(&mut self, now: Instant) -> u32 {
        self.expire(now);
        self.unspent()
    }

    fn unspent(&self) -> u32 {
        self.batches.iter().map(Batch::remaining).sum()
    }

    fn take_credit(&mut self) -> bool {
        // Batches are in the order of their expiry, so the credits that expire first are spent first.
        let batch = self.batches.iter_mut().find(|batch| batch.remaining() > 0);
        batch.is_some_and(|batch| {
            batch.spent += 1;
            true
        })
    }

    fn admit(&mut self, actions: &mut Vec<Action>) {
        while !self.waiters.is_empty() && self.take_credit() {
            if let Some((ticket, _)) = self.waiters.pop_front() {
                actions.push(Action::Admit(ticket));
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        self.batches
            .retain(|batch| now < batch.expires_at && !batch.is_settled());
    }

    /// Stops waiting for an answer. The credits of a late answer are never used, so the next ask returns all of them.
    fn abandon_ask(&mut self) {
        if let Some(in_flight) = self.in_flight.take() {
            self.batches.push_back(Batch {
                sequence: in_flight.sequence,
                count: u32::MAX,
                spent: 0,
                returned: u32::MAX,
                expires_at: in_flight.sent_at + clock::shortened(LIFETIME),
                confirmed: (0, 0),
            });
        }
    }

    fn ask(&mut self, now: Instant) -> Option<Ask> {
        if self.in_flight.is_some() || now < self.next_ask_at {
            return None;
        }
        let held = self.unspent();
        let waiting = u32::try_from(self.waiters.len()).unwrap_or(u32::MAX);
        let target = self.demand.forecast(now);
        let want = if waiting > 0 || held < target / 2 {
            (waiting + target).saturating_sub(held)
        } else {
            0
        };

        // Unused credits go back when demand has fallen or when they would expire unused.
        let expiring: u32 = self
            .batches
            .iter()
            .filter(|batch| now.until(batch.expires_at) <= RETURN_BEFORE_EXPIRY)
            .map(Batch::remaining)
            .sum();
        let excess = held.saturating_sub(target);
        let is_due = now.saturating_since(self.last_ask_at) >= MIN_RETURN_INTERVAL;
        let is_unreported = self
            .batches
            .iter()
            .any(|batch| batch.confirmed.1 != batch.returned);
        let has_surplus = excess > 0 && (expiring > 0 || held > target + target / 2);
        let returns = is_due && (has_surplus || is_unreported);
        if want == 0 && !returns {
            return None;
        }
        if want == 0 {
            self.give_back(excess);
        }

        let reports: Vec<Report> = self
            .batches
            .iter()
            .filter(|batch| batch.confirmed != (batch.spent, batch.returned))
            .map(|batch| Report {
                batch: batch.sequence,
                spent: batch.spent,
                returned: batch.returned,
            })
            .collect();
        self.next_sequence += 1;
        self.in_flight = Some(InFlightAsk {
            sequence: self.next_sequence,
            sent_at: now,
            reports: reports.clone(),
        });
        self.last_ask_at = now;
        Some(Ask {
            sequence: self.next_sequence,
            need: waiting,
            want,
            reports,
        })
    }

    fn give_back(&mut self, mut excess: u32) {
        for batch in &mut self.batches {
            let part = batch.remaining().min(excess);
            batch.returned += part;
            excess -= part;
        }
    }

    fn retry_after(&self, now: Instant) -> Duration {
        now.until(self.credits_expected_at).max(ASK_RETRY_DELAY)
    }
}

impl Batch {
    fn remaining(&self) -> u32 {
        self.count - self.spent - self.returned
    }

    /// Returns whether nothing is left to spend or to report.
    fn is_settled(&self) -> bool {
        self.remaining() == 0 && self.confirmed == (self.spent, self.returned)
    }
}

/// Requests counted in two adjoining windows.
#[derive(Clone, Debug)]
struct Demand {
    start: Instant,
    current: u32,
    previous: u32,
}

impl Demand {
    fn new(now: Instant) -> Self {
        Self {
            start: now,
            current: 0,
            previous: 0,
        }
    }

    fn count(&mut self, now: Instant) {
        self.roll(now);
        self.current += 1;
    }

    fn roll(&mut self, now: Instant) {
        let passed = now.saturating_since(self.start);
        if passed >= DEMAND_WINDOW * 2 {
            *self = Self::new(now);
        } else if passed >= DEMAND_WINDOW {
            self.start = self.start + DEMAND_WINDOW;
            self.previous = self.current;
            self.current = 0;
        }
    }

    /// Returns the demand expected over [`FORECAST_WINDOWS`] windows.
    ///
    /// One request is left out of the estimate: a single request says nothing about the next one, and credits for
    /// requests that don't come are missing elsewhere.
    fn forecast(&mut self, now: Instant) -> u32 {
        self.roll(now);
        let passed = now.saturating_since(self.start).as_micros();
        let window = DEMAND_WINDOW.as_micros();
        let left = u128::from(self.previous) * window.saturating_sub(passed) / window;
        let estimate = u32::try_from(left).unwrap_or(u32::MAX) + self.current;
        estimate.saturating_sub(1) * FORECAST_WINDOWS
    }
}
