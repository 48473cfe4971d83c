//! Tests of submissions: concurrent operators must not overwrite each other, and the reported outcome has to be correct
//! even if responses of the store are lost.

use kumquat_state::bundle::envelope::Envelope;
use kumquat_state::bundle::submit::{
    Action, Call, HEAD_KEY, Options, Outcome, Response, Submission,
};
use kumquat_state::document::Head;
use kumquat_state::ident::{Operation, Version};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

const SEED: u64 = 41;

/// An in-memory store that can lose responses.
#[derive(Default)]
struct Store {
    /// Key, revision and value, sorted by key.
    entries: Vec<(String, u64, Vec<u8>)>,
    responses: u64,
    lose_every: Option<u64>,
}

impl Store {
    /// Performs the call, but loses every `lose_every`-th response.
    fn call(&mut self, call: Call) -> Response {
        let response = self.apply(call);
        self.responses += 1;
        match self.lose_every {
            Some(every) if self.responses.is_multiple_of(every) => Response::Lost,
            _ => response,
        }
    }

    fn apply(&mut self, call: Call) -> Response {
        let find = |entries: &[(String, u64, Vec<u8>)], key: &str| {
            entries.binary_search_by(|entry| entry.0.as_str().cmp(key))
        };
        match call {
            Call::Get { key } => match find(&self.entries, &key) {
                Ok(index) => Response::Found {
                    revision: self.entries[index].1,
                    value: self.entries[index].2.clone(),
                },
                Err(_) => Response::Missing,
            },
            Call::Put {
                key,
                expected_revision,
                value,
            } => match find(&self.entries, &key) {
                Ok(index) if self.entries[index].1 == expected_revision => {
                    self.entries[index].1 += 1;
                    self.entries[index].2 = value;
                    Response::Stored
                }
                Err(index) if expected_revision == 0 => {
                    self.entries.insert(index, (key, 1, value));
                    Response::Stored
                }
                _ => Response::Conflict,
            },
        }
    }

    fn head(&mut self) -> Head {
        match self.apply(Call::Get {
            key: HEAD_KEY.to_owned(),
        }) {
            Response::Found { value, .. } => Head::decode(&value).unwrap(),
            response => panic!("no head: {response:?}"),
        }
    }

    /// Returns the operations of all versions in the chain of heads, latest first.
    fn history(&mut self) -> Vec<Operation> {
        let mut head = self.head();
        let mut operations = vec![head.operation];
        while let Some(address) = head.previous {
            let key = address.store_key();
            let Response::Found { value, .. } = self.apply(Call::Get { key }) else {
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

/// Performs one call, or returns the outcome if the submission has ended.
fn step(submission: &mut Submission, store: &mut Store) -> Option<Outcome> {
    match submission.action() {
        Action::Finish(outcome) => Some(outcome),
        Action::Call(call) => {
            submission.handle_response(store.call(call));
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

/// Performs calls until the next one is the swap of the head.
fn run_to_swap(submission: &mut Submission, store: &mut Store) {
    while !matches!(submission.action(), Action::Call(Call::Put { key, .. }) if key == HEAD_KEY) {
        assert_eq!(step(submission, store), None);
    }
}

/// Guards against versions with two winners or none, and against a winner whose change is overwritten, while every
/// second response is lost.
#[test]
fn concurrent_submissions_have_one_winner_per_version() {
    println!("seed {SEED}");
    let mut rng = StdRng::seed_from_u64(SEED);
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
            let turn = rng.random_range(0..2);
            outcomes[turn] = step(&mut pair[turn], &mut store);
        }

        let won = usize::from(outcomes[0] != Some(Outcome::Accepted));
        assert_eq!(outcomes[won], Some(Outcome::Accepted), "{outcomes:?}");
        let Some(Outcome::VersionTaken { winner }) = &outcomes[1 - won] else {
            panic!("the other submission has a different outcome: {outcomes:?}");
        };
        assert_eq!(winner.operation, Operation(operations[won]));
        winners.insert(0, Operation(operations[won]));
        assert_eq!(store.history(), winners);
    }
}

/// Guards against reporting a conflict to the winner if later versions were written before it could read the head.
#[test]
fn accepted_submission_is_found_in_the_history() {
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
    // The same envelope is submitted again, for example after the command was interrupted.
    assert_eq!(run(&mut submission(1, 11), &mut store), Outcome::Accepted);
}

/// Guards against a write that takes effect again when its delayed request arrives after the retry.
#[test]
fn delayed_swap_fails_after_its_retry_succeeded() {
    let mut store = Store::default();
    let mut submission = submission(1, 11);
    run_to_swap(&mut submission, &mut store);
    let Action::Call(delayed) = submission.action() else {
        panic!("the swap comes next");
    };
    submission.handle_response(Response::Lost);

    // The retried swap succeeds; the delayed one arrives later and has to fail.
    assert_eq!(run(&mut submission, &mut store), Outcome::Accepted);
    assert_eq!(store.apply(delayed), Response::Conflict);
    assert_eq!(store.history(), [Operation(11)]);
}

/// Guards against reporting that a submission had no effect although the head may have been written, and the reverse.
#[test]
fn unreachable_store_is_reported_as_unknown_only_after_the_swap() {
    let mut store = Store::default();
    let mut lost_before_swap = submission(1, 11);
    while !matches!(lost_before_swap.action(), Action::Finish(_)) {
        lost_before_swap.handle_response(Response::Lost);
    }
    assert_eq!(
        lost_before_swap.action(),
        Action::Finish(Outcome::Unreachable)
    );

    let mut failed_swap = submission(1, 11);
    run_to_swap(&mut failed_swap, &mut store);
    while !matches!(failed_swap.action(), Action::Finish(_)) {
        failed_swap.handle_response(Response::NoEffect);
    }
    assert_eq!(failed_swap.action(), Action::Finish(Outcome::Unreachable));

    let mut lost_after_swap = submission(1, 11);
    run_to_swap(&mut lost_after_swap, &mut store);
    while !matches!(lost_after_swap.action(), Action::Finish(_)) {
        lost_after_swap.handle_response(Response::Lost);
    }
    assert_eq!(lost_after_swap.action(), Action::Finish(Outcome::Unknown));
}

/// Guards against skipped versions, and against writing to a store whose head is corrupt.
#[test]
fn version_gaps_and_corrupt_heads_are_rejected() {
    let mut store = Store::default();
    assert_eq!(
        run(&mut submission(3, 11), &mut store),
        Outcome::VersionGap { latest: Version(0) }
    );
    run(&mut submission(1, 11), &mut store);
    assert_eq!(
        run(&mut submission(3, 12), &mut store),
        Outcome::VersionGap { latest: Version(1) }
    );
    store.entries[0].2 = b"damaged".to_vec();
    let outcome = run(&mut submission(2, 13), &mut store);
    assert!(matches!(outcome, Outcome::Corrupt(_)), "{outcome:?}");
}
