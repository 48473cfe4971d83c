//! Two entries share the rate limit of one team, which sends three times its rate through each of them.
//!
//! Time is simulated, so that each run prints the same. Run it by
//! `cargo run -p kumquatpond --example rate_limit`; docs/embedding.md quotes it.

use std::time::Duration;

use kumquatpond::coordination::limit::{Action, CreditCache, Issuer, Options, Verdict};
use kumquatpond::state::clock::Instant;
use kumquatpond::state::ident::Incarnation;
use kumquatpond::state::ledger::Holder;

/// Requests per second that the team may send over all entries together.
const RATE: u32 = 100;

/// Requests that the team may send at once.
const BURST: u32 = 20;

/// Interval between two requests at each entry: three times the team's rate at each of the two.
const INTERVAL: Duration = Duration::from_micros(3_333);

/// Interval at which the shares are called.
const STEP: Duration = Duration::from_micros(1_111);

/// Length of the run.
const LENGTH: Duration = Duration::from_secs(10);

/// Requests of the team at all entries.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests that may run.
    pub admitted: u32,
    /// Requests that were refused.
    pub refused: u32,
}

/// One entry: it holds a share of the team's credits.
struct Entry {
    holder: Holder,
    share: CreditCache,
    next: Instant,
}

impl Entry {
    fn new(number: u8, now: Instant) -> Self {
        Self {
            holder: Holder {
                vm: format!("vm-{number}").parse().expect("a valid name"),
                incarnation: Incarnation(1),
            },
            share: CreditCache::new(Options::default(), now),
            next: now,
        }
    }

    // quote: entry
    /// Handles what is due at `now`; asks for credits go straight to the team's home.
    fn step(&mut self, now: Instant, home: &mut Issuer, totals: &mut Totals) {
        if now >= self.next {
            self.next = self.next + INTERVAL;
            match self.share.spend(now) {
                Verdict::Spent => totals.admitted += 1,
                Verdict::Refuse { .. } => totals.refused += 1,
                // An action names the ticket later.
                Verdict::Wait(_) => {}
            }
        }
        let mut actions = self.share.tick(now);
        while let Some(action) = actions.pop() {
            match action {
                Action::Ask(ask) => {
                    let credit = home.request(now, &self.holder, &ask);
                    actions.extend(self.share.on_credit(now, &credit));
                }
                Action::Admit(_) => totals.admitted += 1,
                Action::Refuse { .. } => totals.refused += 1,
            }
        }
    }
    // end of quote
}

/// Runs both entries and returns how many requests were admitted and refused.
#[must_use]
pub fn run() -> Totals {
    let start = Instant::ORIGIN;
    let mut home = Issuer::new(RATE, BURST, start);
    let mut entries = [Entry::new(1, start), Entry::new(2, start)];
    let mut totals = Totals::default();
    let mut now = start;
    while now < start + LENGTH {
        for entry in &mut entries {
            entry.step(now, &mut home, &mut totals);
        }
        now = now + STEP;
    }
    totals
}

/// Most requests that the rate limit allows over the whole run.
#[must_use]
pub fn allowed() -> u32 {
    BURST + RATE * u32::try_from(LENGTH.as_secs()).unwrap_or(u32::MAX)
}

fn main() {
    let totals = run();
    println!("admitted {} of at most {}", totals.admitted, allowed());
    println!("refused  {}", totals.refused);
}
