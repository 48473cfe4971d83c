//! The credits that one entry holds for one team.

use std::collections::VecDeque;
use std::time::Duration;

use kumquat_state::clock::{self, Instant};

use super::{Ask, Credit, LIFETIME, Report};

/// Width of the windows in which demand is counted.
const WINDOW: Duration = Duration::from_millis(50);

/// Windows of demand that a share asks for at once: it sets how often a share with steady traffic has to ask.
const HORIZON: u32 = 2;

/// Time after which a share asks again when other shares may give credits back.
const ASK_AGAIN: Duration = Duration::from_millis(5);

/// Longest time for which a share refuses at once on the strength of one answer.
const REFUSE_PERIOD: Duration = Duration::from_millis(20);

/// Time before expiry at which unused credits are given back; it leaves time for a lost message to be repeated.
const RETURN_BEFORE: Duration = Duration::from_millis(150);

/// Shortest time between two asks that only give back surplus credits.
const RETURN_EVERY: Duration = Duration::from_millis(20);

/// Bounds of a share.
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

/// Names a request that waits for a credit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Ticket(pub u64);

/// What a request gets at once.
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

/// What the entry has to do.
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
/// At most one ask is under way at any time. Call [`CreditCache::tick`] after each [`CreditCache::spend`] that answers
/// [`Verdict::Wait`] and at least every few milliseconds.
#[derive(Clone, Debug)]
pub struct CreditCache {
    options: Options,
    lots: VecDeque<Lot>,
    waiters: VecDeque<(Ticket, Instant)>,
    next_ticket: u64,
    next_sequence: u64,
    flight: Option<Flight>,
    demand: Demand,
    /// Earliest time of the next ask.
    ask_from: Instant,
    /// Time of the latest ask.
    asked: Instant,
    /// While this lies ahead, the team is known to be over its rate.
    over_until: Instant,
    /// Time at which the home expects to have credits again.
    retry_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Lot {
    sequence: u64,
    count: u32,
    spent: u32,
    returned: u32,
    until: Instant,
    /// The spent and returned figures that the home has confirmed.
    confirmed: (u32, u32),
}

#[derive(Clone, Debug)]
struct Flight {
    sequence: u64,
    sent: Instant,
    reports: Vec<Report>,
}

impl CreditCache {
    /// Creates a share without credits.
    ///
    /// Sequence numbers start at the time in microseconds, so that an entry that restarts within the life of its VM goes
    /// on above the numbers that the home has seen.
    #[must_use]
    pub fn new(options: Options, now: Instant) -> Self {
        Self {
            options,
            lots: VecDeque::new(),
            waiters: VecDeque::new(),
            next_ticket: 0,
            next_sequence: now.as_micros(),
            flight: None,
            demand: Demand::new(now),
            ask_from: now,
            asked: now,
            over_until: now,
            retry_at: now,
        }
    }

    /// Spends one credit for a request, lets it wait, or refuses it.
    pub fn spend(&mut self, now: Instant) -> Verdict {
        self.demand.count(now);
        self.expire(now);

        // A request must not overtake those that already wait.
        if self.waiters.is_empty() && self.take() {
            return Verdict::Spent;
        }
        if now < self.over_until {
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

    /// Handles the passing of time: refuses requests that waited too long and asks the home when it should.
    pub fn tick(&mut self, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        self.expire(now);
        if let Some(flight) = &self.flight
            && now.saturating_since(flight.sent) >= self.options.request_timeout
        {
            self.give_up();
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

    /// Takes the home's answer; only the first answer to the ask under way counts.
    pub fn on_credit(&mut self, now: Instant, credit: &Credit) -> Vec<Action> {
        let mut actions = Vec::new();
        let Some(flight) = self
            .flight
            .take_if(|flight| flight.sequence == credit.sequence)
        else {
            return actions;
        };
        for report in &flight.reports {
            if let Some(lot) = self
                .lots
                .iter_mut()
                .find(|lot| lot.sequence == report.batch)
            {
                lot.confirmed = (report.spent, report.returned);
            }
        }

        // Counted from the send time, so that a late answer can't extend the credits beyond the home's own count.
        self.lots.push_back(Lot {
            sequence: credit.sequence,
            count: credit.count,
            spent: 0,
            returned: 0,
            until: flight.sent + clock::shortened(credit.expires_in),
            confirmed: (0, 0),
        });
        self.expire(now);
        self.admit(&mut actions);

        if let Some(retry_after) = credit.retry_after {
            // The home has no credits left and no other share will give any back, so waiting would be in vain.
            self.retry_at = now + retry_after;
            self.over_until = now + retry_after.min(REFUSE_PERIOD);
            self.ask_from = self.over_until;
            while let Some((ticket, _)) = self.waiters.pop_front() {
                actions.push(Action::Refuse {
                    ticket,
                    retry_after,
                });
            }
        } else {
            self.over_until = now;
            self.retry_at = now;
            self.ask_from = if self.waiters.is_empty() {
                now
            } else {
                now + ASK_AGAIN
            };
        }
        actions
    }

    /// Takes note that the ask with this sequence number could not be sent or answered.
    pub fn on_failure(&mut self, now: Instant, sequence: u64) {
        if self
            .flight
            .as_ref()
            .is_some_and(|flight| flight.sequence == sequence)
        {
            self.give_up();
            self.ask_from = now + ASK_AGAIN;
        }
    }

    /// Returns the credits that can be spent now.
    pub fn available(&mut self, now: Instant) -> u32 {
        self.expire(now);
        self.unspent()
    }

    fn unspent(&self) -> u32 {
        self.lots.iter().map(Lot::left).sum()
    }

    fn take(&mut self) -> bool {
        // Lots are in the order of their expiry, so the credits that expire first are spent first.
        let lot = self.lots.iter_mut().find(|lot| lot.left() > 0);
        lot.is_some_and(|lot| {
            lot.spent += 1;
            true
        })
    }

    fn admit(&mut self, actions: &mut Vec<Action>) {
        while !self.waiters.is_empty() && self.take() {
            if let Some((ticket, _)) = self.waiters.pop_front() {
                actions.push(Action::Admit(ticket));
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        self.lots.retain(|lot| now < lot.until && !lot.is_done());
    }

    /// Stops waiting for an answer. The credits of a late answer are never used, so the next ask returns all of them.
    fn give_up(&mut self) {
        if let Some(flight) = self.flight.take() {
            self.lots.push_back(Lot {
                sequence: flight.sequence,
                count: u32::MAX,
                spent: 0,
                returned: u32::MAX,
                until: flight.sent + clock::shortened(LIFETIME),
                confirmed: (0, 0),
            });
        }
    }

    fn ask(&mut self, now: Instant) -> Option<Ask> {
        if self.flight.is_some() || now < self.ask_from {
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
            .lots
            .iter()
            .filter(|lot| now.until(lot.until) <= RETURN_BEFORE)
            .map(Lot::left)
            .sum();
        let excess = held.saturating_sub(target);
        let is_due = now.saturating_since(self.asked) >= RETURN_EVERY;
        let is_unreported = self.lots.iter().any(|lot| lot.confirmed.1 != lot.returned);
        let has_surplus = excess > 0 && (expiring > 0 || held > target + target / 2);
        let returns = is_due && (has_surplus || is_unreported);
        if want == 0 && !returns {
            return None;
        }
        if want == 0 {
            self.give_back(excess);
        }

        let reports: Vec<Report> = self
            .lots
            .iter()
            .filter(|lot| lot.confirmed != (lot.spent, lot.returned))
            .map(|lot| Report {
                batch: lot.sequence,
                spent: lot.spent,
                returned: lot.returned,
            })
            .collect();
        self.next_sequence += 1;
        self.flight = Some(Flight {
            sequence: self.next_sequence,
            sent: now,
            reports: reports.clone(),
        });
        self.asked = now;
        Some(Ask {
            sequence: self.next_sequence,
            need: waiting,
            want,
            reports,
        })
    }

    fn give_back(&mut self, mut excess: u32) {
        for lot in &mut self.lots {
            let part = lot.left().min(excess);
            lot.returned += part;
            excess -= part;
        }
    }

    fn retry_after(&self, now: Instant) -> Duration {
        now.until(self.retry_at).max(ASK_AGAIN)
    }
}

impl Lot {
    fn left(&self) -> u32 {
        self.count - self.spent - self.returned
    }

    /// Returns whether nothing is left to spend or to report.
    fn is_done(&self) -> bool {
        self.left() == 0 && self.confirmed == (self.spent, self.returned)
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
        if passed >= WINDOW * 2 {
            *self = Self::new(now);
        } else if passed >= WINDOW {
            self.start = self.start + WINDOW;
            self.previous = self.current;
            self.current = 0;
        }
    }

    /// Returns the demand expected over [`HORIZON`] windows.
    ///
    /// One request is left out of the estimate: a single request says nothing about the next one, and credits for
    /// requests that don't come are missing elsewhere.
    fn forecast(&mut self, now: Instant) -> u32 {
        self.roll(now);
        let passed = now.saturating_since(self.start).as_micros();
        let window = WINDOW.as_micros();
        let left = u128::from(self.previous) * window.saturating_sub(passed) / window;
        let estimate = u32::try_from(left).unwrap_or(u32::MAX) + self.current;
        estimate.saturating_sub(1) * HORIZON
    }
}
