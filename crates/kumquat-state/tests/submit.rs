//! Tests of submissions: they guard against operators who overwrite each other, and against wrong reports of what
//! happened when answers of the store are lost.

use kumquat_state::bundle::envelope::Envelope;
use kumquat_state::bundle::submit::{Action, Answer, Call, HEAD_KEY, Options, Outcome, Submission};
use kumquat_state::document::Head;
use kumquat_state::ident::{Operation, Version};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 41;

/// A store in memory: sorted keys with revision and value.
#[derive(Default)]
struct Store {
    entries: Vec<(String, u64, Vec<u8>)>,
    answers: u64,
    lose_every: Option<u64>,
}

impl Store {
    /// Makes the call and then loses every n-th answer.
    fn call(&mut self, call: Call) -> Answer {
        let answer = self.apply(call);
        self.answers += 1;
        match self.lose_every {
            Some(every) if self.answers.is_multiple_of(every) => Answer::Lost,
            _ => answer,
        }
    }

    fn apply(&mut self, call: Call) -> Answer {
        let find = |entries: &[(String, u64, Vec<u8>)], key: &str| {
            entries.binary_search_by(|entry| entry.0.as_str().cmp(key))
        };
        match call {
            Call::Get { key } => match find(&self.entries, &key) {
                Ok(index) => Answer::Found {
                    revision: self.entries[index].1,
                    value: self.entries[index].2.clone(),
                },
                Err(_) => Answer::Missing,
            },
            Call::Put {
                key,
                expected,
                value,
            } => match find(&self.entries, &key) {
                Ok(index) if self.entries[index].1 == expected => {
                    self.entries[index].1 += 1;
                    self.entries[index].2 = value;
                    Answer::Stored
                }
                Err(index) if expected == 0 => {
                    self.entries.insert(index, (key, 1, value));
                    Answer::Stored
                }
                _ => Answer::Conflict,
            },
        }
    }

    fn head(&mut self) -> Head {
        match self.apply(Call::Get {
            key: HEAD_KEY.to_owned(),
        }) {
            Answer::Found { value, .. } => Head::decode(&value).unwrap(),
            answer => panic!("no head: {answer:?}"),
        }
    }

    /// Returns the operations of all versions, latest first.
    fn history(&mut self) -> Vec<Operation> {
        let mut head = self.head();
        let mut operations = vec![head.operation];
        while let Some(address) = head.previous {
            let key = address.store_key();
            let Answer::Found { value, .. } = self.apply(Call::Get { key }) else {
                panic!("an earlier head is missing");
            };
            head = Head::decode(&value).unwrap();
            operations.push(head.operation);
        }
        operations
    }
}

fn submission(version: u64, operation: u128) -> Submission {
    let envelope = Envelope {
        version: Version(version),
        previous: Version(version - 1),
        text: format!("text of operation {operation}"),
        author: "asha".parse().unwrap(),
        reason: String::new(),
        operation: Operation(operation),
        signatures: Vec::new(),
    };
    Submission::new(&envelope, Options::default()).unwrap()
}

/// Makes one call; returns the outcome if the submission has ended.
fn step(submission: &mut Submission, store: &mut Store) -> Option<Outcome> {
    match submission.action() {
        Action::Finish(outcome) => Some(outcome),
        Action::Call(call) => {
            submission.answer(store.call(call));
            None
        }
    }
}

fn run(submission: &mut Submission, store: &mut Store) -> Outcome {
    loop {
        if let Some(outcome) = step(submission, store) {
            return outcome;
        }
    }
}

/// Makes calls until the next one is the swap of the head.
fn run_to_swap(submission: &mut Submission, store: &mut Store) {
    while !matches!(submission.action(), Action::Call(Call::Put { key, .. }) if key == HEAD_KEY) {
        assert_eq!(step(submission, store), None);
    }
}

/// Guards against two winners, no winner, or a winner whose change is undone, while every second answer is lost.
#[test]
fn racing_operators_have_one_winner_each() {
    println!("seed {SEED}");
    let mut random = StdRng::seed_from_u64(SEED);
    let mut store = Store {
        lose_every: Some(2),
        ..Store::default()
    };
    let mut winners = Vec::new();

    for pair in 0..100 {
        let operations = [pair * 2 + 1, pair * 2 + 2];
        let version = u64::try_from(pair + 1).unwrap();
        let mut pair = operations.map(|operation| submission(version, operation));
        let mut outcomes = [None, None];
        while outcomes.iter().any(Option::is_none) {
            let turn = random.random_range(0..2);
            outcomes[turn] = step(&mut pair[turn], &mut store);
        }

        let won = usize::from(outcomes[0] != Some(Outcome::Accepted));
        assert_eq!(outcomes[won], Some(Outcome::Accepted), "{outcomes:?}");
        let Some(Outcome::Raced { winner }) = &outcomes[1 - won] else {
            panic!("the loser is not told: {outcomes:?}");
        };
        assert_eq!(winner.operation, Operation(operations[won]));
        winners.insert(0, Operation(operations[won]));
        assert_eq!(store.history(), winners);
    }
}

/// Guards against a winner that takes itself for a loser because others wrote on top of it before it could look.
#[test]
fn a_buried_write_is_found() {
    let mut store = Store::default();
    let mut first = submission(1, 11);
    run_to_swap(&mut first, &mut store);
    store.lose_every = Some(1);
    step(&mut first, &mut store);
    store.lose_every = None;
    for version in 2..30 {
        let operation = u128::from(version) + 100;
        let outcome = run(&mut submission(version, operation), &mut store);
        assert_eq!(outcome, Outcome::Accepted);
    }
    assert_eq!(run(&mut first, &mut store), Outcome::Accepted);
    // The same envelope again, for example after the command was interrupted.
    assert_eq!(run(&mut submission(1, 11), &mut store), Outcome::Accepted);
}

/// Guards against a write that is reported as lost and takes effect later.
#[test]
fn a_late_write_does_not_win_twice() {
    let mut store = Store::default();
    let mut late = submission(1, 11);
    run_to_swap(&mut late, &mut store);
    let Action::Call(delayed) = late.action() else {
        panic!("the swap comes next");
    };
    late.answer(Answer::Lost);

    // The retried swap wins; the delayed one arrives afterwards and must fail.
    assert_eq!(run(&mut late, &mut store), Outcome::Accepted);
    assert_eq!(store.apply(delayed), Answer::Conflict);
    assert_eq!(store.history(), [Operation(11)]);
}

/// Guards against "nothing happened" when the decisive write may have happened, and the reverse.
#[test]
fn silence_is_reported_as_what_it_is() {
    let mut store = Store::default();
    let mut before = submission(1, 11);
    while !matches!(before.action(), Action::Finish(_)) {
        before.answer(Answer::Lost);
    }
    assert_eq!(before.action(), Action::Finish(Outcome::Unreachable));

    let mut refused = submission(1, 11);
    run_to_swap(&mut refused, &mut store);
    while !matches!(refused.action(), Action::Finish(_)) {
        refused.answer(Answer::Refused);
    }
    assert_eq!(refused.action(), Action::Finish(Outcome::Unreachable));

    let mut after = submission(1, 11);
    run_to_swap(&mut after, &mut store);
    while !matches!(after.action(), Action::Finish(_)) {
        after.answer(Answer::Lost);
    }
    assert_eq!(after.action(), Action::Finish(Outcome::Unknown));
}

/// Guards against versions that skip one, and against a store whose content is damaged.
#[test]
fn gaps_and_damage_are_refused() {
    let mut store = Store::default();
    assert_eq!(
        run(&mut submission(3, 11), &mut store),
        Outcome::Gap { latest: Version(0) }
    );
    run(&mut submission(1, 11), &mut store);
    assert_eq!(
        run(&mut submission(3, 12), &mut store),
        Outcome::Gap { latest: Version(1) }
    );
    store.entries[0].2 = b"damaged".to_vec();
    let outcome = run(&mut submission(2, 13), &mut store);
    assert!(matches!(outcome, Outcome::Corrupt(_)), "{outcome:?}");
}
