//! Guards the rate limit: a team must never exceed its burst and rate over all VMs, whatever happens to messages.

use std::time::Duration;

use kumquat_coordination::limit::{
    Action, Ask, Credit, CreditCache, Issuer, Options, Report, Verdict,
};
use kumquat_state::clock::{self, Instant};
use kumquat_state::ident::Incarnation;
use kumquat_state::ledger::Holder;
use quickcheck::{Gen, QuickCheck};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const STARTED: Instant = Instant::from_millis(100_000);

fn holder(number: usize) -> Holder {
    Holder {
        vm: format!("vm-{number}").parse().expect("a valid name"),
        incarnation: Incarnation(1),
    }
}

fn after(millis: u64) -> Instant {
    STARTED + Duration::from_millis(millis)
}

fn ask(sequence: u64, need: u32, reports: Vec<Report>) -> Ask {
    Ask {
        sequence,
        need,
        want: need,
        reports,
    }
}

/// An issuer that has had time to fill up.
fn full_issuer(rate: u32, burst: u32) -> Issuer {
    Issuer::new(rate, burst, Instant::ORIGIN)
}

fn only_ask(actions: &[Action]) -> Ask {
    match actions {
        [Action::Ask(ask)] => ask.clone(),
        other => panic!("expected one ask, got {other:?}"),
    }
}

/// Guards against double issue and double return when the network duplicates or reorders asks.
#[test]
fn duplicated_and_late_asks_change_nothing() {
    let mut issuer = full_issuer(10, 10);
    let report = Report {
        batch: 1,
        spent: 1,
        returned: 3,
    };
    let first = issuer.request(after(0), &holder(0), &ask(1, 6, vec![]));
    let again = issuer.request(after(1), &holder(0), &ask(1, 6, vec![]));
    let third = issuer.request(after(2), &holder(0), &ask(3, 0, vec![report]));
    let level = issuer.level(after(2));

    let repeated = issuer.request(after(2), &holder(0), &ask(3, 0, vec![report]));
    let late = issuer.request(after(2), &holder(0), &ask(2, 5, vec![report]));

    assert_eq!((first.count, first), (6, again));
    assert_eq!((third, late.count), (repeated, 0));
    assert_eq!((issuer.level(after(2)), issuer.outstanding()), (level, 2));
}

/// Guards against credits that come back to the bucket although they may have been spent.
#[test]
fn unreported_credits_count_as_spent_when_they_expire() {
    let mut issuer = full_issuer(1, 10);
    issuer.request(after(0), &holder(0), &ask(1, 10, vec![]));

    let before = (issuer.level(after(302)), issuer.outstanding());
    let expired = (issuer.level(after(303)), issuer.outstanding());

    assert_eq!(before, (0, 10));
    assert_eq!(expired, (0, 0));
    assert_eq!(issuer.level(after(1_302)), 0);
    assert_eq!(issuer.level(after(1_303)), 1);
}

/// Guards against an answer that is delayed by the network and lengthens the life of its credits.
#[test]
fn late_answer_does_not_extend_credits() {
    let mut share = CreditCache::new(
        Options {
            request_timeout: Duration::from_secs(1),
            max_wait: Duration::from_secs(1),
            ..Options::default()
        },
        after(0),
    );
    share.spend(after(0));
    let ask = only_ask(&share.tick(after(0)));
    let credit = Credit {
        sequence: ask.sequence,
        count: 5,
        expires_in: Duration::from_millis(300),
        retry_after: None,
    };

    let actions = share.on_credit(after(297), &credit);

    assert_eq!(actions, vec![]);
    assert_eq!(share.available(after(297)), 0);
}

/// Guards against credits that are used although the share told the home that they were given back.
#[test]
fn answer_to_a_given_up_ask_is_returned_not_used() {
    let mut issuer = full_issuer(10, 10);
    let mut share = CreditCache::new(Options::default(), after(0));
    share.spend(after(0));
    let lost = only_ask(&share.tick(after(0)));
    let late = issuer.request(after(1), &holder(0), &lost);

    let next = only_ask(&share.tick(after(60)));
    let ignored = share.on_credit(after(61), &late);
    let credit = issuer.request(after(62), &holder(0), &next);

    assert_eq!(ignored, vec![]);
    assert_eq!((credit.count, issuer.outstanding()), (1, 1));
}

/// Guards against a refusal that is delayed although the share knows that the team is over its rate.
#[test]
fn refusal_is_immediate_while_the_team_is_over_its_rate() {
    let mut share = CreditCache::new(Options::default(), after(0));
    share.spend(after(0));
    let ask = only_ask(&share.tick(after(0)));
    let retry_after = Duration::from_millis(400);
    let credit = Credit {
        sequence: ask.sequence,
        count: 0,
        expires_in: Duration::from_millis(300),
        retry_after: Some(retry_after),
    };

    let actions = share.on_credit(after(1), &credit);
    let verdict = share.spend(after(2));
    let later = share.spend(after(30));

    assert!(
        matches!(actions[..], [Action::Refuse { retry_after: told, .. }] if told == retry_after)
    );
    assert!(matches!(verdict, Verdict::Refuse { retry_after } if retry_after.as_millis() == 399));
    assert!(matches!(later, Verdict::Wait(_)));
}

/// Guards against a queue that grows without bound while the home does not answer.
#[test]
fn waiters_are_bounded_in_number_and_time() {
    let options = Options {
        max_waiters: 2,
        ..Options::default()
    };
    let mut share = CreditCache::new(options, after(0));

    let verdicts: Vec<Verdict> = (0..3).map(|_| share.spend(after(0))).collect();
    let refused = share
        .tick(after(100))
        .into_iter()
        .filter(|action| matches!(action, Action::Refuse { .. }))
        .count();

    assert!(matches!(
        verdicts[..],
        [Verdict::Wait(_), Verdict::Wait(_), Verdict::Refuse { .. }]
    ));
    assert_eq!(refused, 2);
}

/// What the network and the VMs of one random run do.
struct World {
    rng: StdRng,
    rate: u32,
    burst: u32,
    issuer: Issuer,
    home_rate: u64,
    home_paused: u64,
    shares: Vec<Entry>,
    /// Messages under way: due time, VM, content.
    network: Vec<(u64, usize, Message)>,
    /// Spent requests beyond what has drained at the rate, in millionths; its peak is the worst window of the run.
    backlog: u64,
    spent_at: u64,
}

struct Entry {
    share: CreditCache,
    /// Clock rate in hundredths of a percent of true time.
    rate: u64,
    paused: u64,
}

#[derive(Clone)]
enum Message {
    Ask(Ask),
    Credit(Credit),
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let rate = rng.random_range(1..2_000);
        let burst = rng.random_range(1..300);
        let shares = (0..5)
            .map(|_| Entry {
                share: CreditCache::new(Options::default(), Instant::ORIGIN),
                rate: rng.random_range(9_950..10_050),
                paused: 0,
            })
            .collect();
        Self {
            issuer: Issuer::new(rate, burst, Instant::ORIGIN),
            home_rate: rng.random_range(9_950..10_050),
            home_paused: 0,
            rng,
            rate,
            burst,
            shares,
            network: Vec::new(),
            backlog: 0,
            spent_at: 0,
        }
    }

    fn send(&mut self, micros: u64, vm: usize, message: &Message) {
        // Lost, duplicated, in time or late by more than a credit lives.
        let copies = [0, 1, 1, 1, 1, 1, 1, 2][self.rng.random_range(0..8)];
        for _ in 0..copies {
            let delay = match self.rng.random_range(0..10) {
                0 => self.rng.random_range(0..700_000),
                1 => self.rng.random_range(0..60_000),
                _ => self.rng.random_range(200..2_000),
            };
            self.network.push((micros + delay, vm, message.clone()));
        }
    }

    fn count_spent(&mut self, micros: u64) {
        // The home's clock may run fast by the drift bound.
        let drained = (micros - self.spent_at) * u64::from(self.rate) * 101 / 100;
        self.backlog = self.backlog.saturating_sub(drained) + 1_000_000;
        self.spent_at = micros;
        assert!(
            self.backlog <= u64::from(self.burst) * 1_000_000,
            "a window that ends at {micros} us exceeds burst {} + rate {} * time",
            self.burst,
            self.rate
        );
    }

    fn step(&mut self, micros: u64, step: u64) {
        if self.rng.random_range(0..400) == 0 {
            self.home_paused = micros + self.rng.random_range(0..800_000);
        }
        if self.rng.random_range(0..200) == 0 {
            // The old home has lost its permission to act at this instant; the new one starts with another clock.
            self.home_rate = self.rng.random_range(9_950..10_050);
            self.home_paused = 0;
            self.issuer = Issuer::new(
                self.rate,
                self.burst,
                Instant::from_micros(micros * self.home_rate / 10_000),
            );
        }
        if self.rng.random_range(0..150) == 0 && micros >= self.home_paused {
            // A planned move: the old home hands its bucket over, and nothing is issued until the new one has it.
            let old = Instant::from_micros(micros * self.home_rate / 10_000);
            let handover = self.issuer.clone().hand_over(old);
            self.home_rate = self.rng.random_range(9_950..10_050);
            self.home_paused = micros + self.rng.random_range(0..50_000);
            let taken_over = Instant::from_micros(self.home_paused * self.home_rate / 10_000);
            self.issuer = Issuer::resume(self.rate, self.burst, taken_over, handover);
        }
        let vm = self.rng.random_range(0..self.shares.len());
        if self.rng.random_range(0..50) == 0 {
            self.shares[vm].paused = micros + self.rng.random_range(0..400_000);
        }

        self.deliver(micros);
        // Peaks and silence alternate, so that credits are left over at a pause and demand is high after it.
        let peak = if (step / 60).is_multiple_of(2) {
            self.burst
        } else {
            0
        };
        let mean = self.rate / 250 + peak / 8;
        for _ in 0..self.rng.random_range(0..=mean + 1) {
            // Most requests come to three VMs, which change over time.
            let shift = usize::try_from(step / 300).unwrap_or(0);
            let vm = (self.rng.random_range(0..3) + shift) % self.shares.len();
            if micros >= self.shares[vm].paused {
                let now = self.clock(micros, vm);
                if self.shares[vm].share.spend(now) == Verdict::Spent {
                    self.count_spent(micros);
                }
            }
        }
        for vm in 0..self.shares.len() {
            if micros >= self.shares[vm].paused {
                let now = self.clock(micros, vm);
                let actions = self.shares[vm].share.tick(now);
                self.apply(micros, vm, actions);
            }
        }
    }

    fn clock(&self, micros: u64, vm: usize) -> Instant {
        Instant::from_micros(micros * self.shares[vm].rate / 10_000)
    }

    fn deliver(&mut self, micros: u64) {
        let (due, later) = std::mem::take(&mut self.network)
            .into_iter()
            .partition(|(at, ..)| *at <= micros);
        self.network = later;
        for (at, vm, message) in due {
            match &message {
                Message::Ask(_) if micros < self.home_paused => {
                    self.network.push((at, vm, message));
                }
                Message::Credit(_) if micros < self.shares[vm].paused => {
                    self.network.push((at, vm, message));
                }
                Message::Ask(ask) => {
                    let now = Instant::from_micros(micros * self.home_rate / 10_000);
                    let credit = self.issuer.request(now, &holder(vm), ask);
                    self.send(micros, vm, &Message::Credit(credit));
                }
                Message::Credit(credit) => {
                    let now = self.clock(micros, vm);
                    let actions = self.shares[vm].share.on_credit(now, credit);
                    self.apply(micros, vm, actions);
                }
            }
        }
    }

    fn apply(&mut self, micros: u64, vm: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Ask(ask) => self.send(micros, vm, &Message::Ask(ask)),
                Action::Admit(_) => self.count_spent(micros),
                Action::Refuse { .. } => {}
            }
        }
    }
}

/// Guards against a team that exceeds burst + rate * time in any window, through pauses, clock drift, messages that are
/// lost, late or duplicated, and replacement of the home with or without a handover.
#[test]
fn no_window_exceeds_burst_and_rate() {
    fn property(seed: u64) -> bool {
        println!("seed {seed}");
        let mut world = World::new(seed);
        for step in 0..6_000 {
            world.step(step * 2_000, step);
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 7))
        .tests(60)
        .quickcheck(property as fn(u64) -> bool);
}

/// Guards against a new home that issues while credits of the earlier home can still be spent.
#[test]
fn new_home_issues_nothing_while_old_credits_live() {
    let mut issuer = Issuer::new(1_000, 100, STARTED);
    let end = STARTED + clock::lengthened(Duration::from_millis(300));

    let credit = issuer.request(after(300), &holder(0), &ask(1, 5, vec![]));

    assert_eq!((credit.count, credit.retry_after), (0, None));
    assert_eq!(issuer.level(end), 0);
    assert_eq!(issuer.level(end + Duration::from_millis(50)), 50);
}

/// Guards against refusals of a team within its rate while its home has just moved, and against a team over its rate
/// that is never refused afterwards.
#[test]
fn new_home_refuses_only_after_it_has_settled() {
    let mut issuer = Issuer::new(1_000, 100, STARTED);

    let early = issuer.request(after(999), &holder(0), &ask(1, 4_000, vec![]));
    let late = issuer.request(after(1_100), &holder(0), &ask(2, 4_000, vec![]));

    assert_eq!(early.retry_after, None);
    assert!(late.retry_after.is_some(), "{late:?}");
}
