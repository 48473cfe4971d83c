//! Measures the time and memory that a process needs for a bundle: `bundle_cost [TEAMS [CALLER_KEYS]]`.
//!
//! Runs each step several times and prints the median time, and the largest increase of resident memory during a run.

use std::fmt::Write as _;
use std::hint::black_box;
use std::time::{Duration, Instant};

use kumquat_state::bundle::envelope::SigningKey;
use kumquat_state::bundle::{Envelope, TrustList, check_change, diff, parse};
use kumquat_state::document::{join, split};
use kumquat_state::ident::{Operation, Revision, Version};
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Number of runs of each step.
const RUNS: usize = 5;

/// Default number of teams.
const DEFAULT_TEAMS: usize = 10_000;

/// Number of upstreams, equal to the number of nodes expected in two years.
const UPSTREAMS: usize = 1_700;

/// Seed of the signing keys.
const SEED: u64 = 1;

fn main() {
    let mut args = std::env::args().skip(1);
    let mut number = |default| {
        args.next()
            .map_or(default, |text| text.parse().expect("a number"))
    };
    let teams = number(DEFAULT_TEAMS);
    let caller_keys = number(teams);
    let text = bundle_text(teams, caller_keys);
    println!(
        "{teams} teams, {caller_keys} caller keys, {UPSTREAMS} upstreams: {} KB, {RUNS} runs, seed {SEED}",
        text.len() / 1024
    );

    let mut rng = StdRng::seed_from_u64(SEED);
    let keys = ["asha", "bruno", "chitra"]
        .map(|name| SigningKey::generate(name.parse().expect("a name"), &mut rng));
    let public = keys.iter().map(SigningKey::public).collect();
    let trust = TrustList::new(public, 2).expect("a trust list");
    let bundle = parse(&text).expect("a valid text");
    let mut changed = bundle.clone();
    changed.teams[0].rate += 1;
    let mut envelope = Envelope {
        version: bundle.version,
        previous: Version(bundle.version.0 - 1),
        text,
        author: "asha".parse().expect("a name"),
        reason: String::new(),
        operation: Operation(1),
        signatures: Vec::new(),
    };
    keys[..2].iter().for_each(|key| envelope.sign(key));
    let bytes = envelope.encode().expect("a valid envelope");
    let (head, chunks) = split(&bytes, Revision(1), Operation(1), None).expect("a valid document");

    measure("parse", || parse(&envelope.text));
    measure("verify 2 of 3 signatures", || envelope.verify(&trust));
    measure("open (verify and parse)", || {
        envelope.verify_and_parse(&trust)
    });
    measure("encode envelope", || envelope.encode());
    measure("decode envelope", || Envelope::decode(&bytes));
    measure("split into chunks", || {
        split(&bytes, Revision(1), Operation(1), None)
    });
    measure("join chunks", || join(&head, &chunks));
    measure("diff", || diff(&bundle, &changed));
    measure("check change", || check_change(&bundle, &changed));
}

fn measure<T>(step: &str, mut run: impl FnMut() -> T) {
    let mut times: Vec<Duration> = Vec::new();
    let mut peak_kb = 0;
    for _ in 0..RUNS {
        // Resets the peak resident set size to the current one.
        let reset = std::fs::write("/proc/self/clear_refs", "5").is_ok();
        let before = memory_kb("VmRSS");
        let start = Instant::now();
        black_box(run());
        times.push(start.elapsed());
        if reset {
            peak_kb = peak_kb.max(memory_kb("VmHWM").saturating_sub(before));
        }
    }
    times.sort();
    println!(
        "{step:28} {:9.2} ms {peak_kb:8} KB",
        times[RUNS / 2].as_secs_f64() * 1_000.0
    );
}

/// Returns a memory size in KB from `/proc/self/status`, or zero if it is not available.
fn memory_kb(name: &str) -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':'))
        .and_then(|rest| rest.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

fn bundle_text(teams: usize, caller_keys: usize) -> String {
    let mut text = "[bundle]\nversion = 2\n[data-centre a]\n".to_owned();
    // Writing to a `String` can't fail.
    _ = writeln!(
        text,
        "[service keyed]\nkind = keyed\nslots = 1024\ndeadline-ms = 900\ndata-centres = a"
    );
    for index in 0..UPSTREAMS {
        _ = writeln!(
            text,
            "[upstream u{index}]\naddress = 127.0.{}.{}:9000\nservice = keyed\ndata-centre = a\nslots = 2\n\
             connections = 100\nchecks-grants = yes",
            index / 256,
            index % 256
        );
    }
    for index in 0..teams {
        _ = writeln!(text, "[team t{index}]\nrate = 100\nburst = 20");
    }
    for index in 0..caller_keys {
        _ = writeln!(
            text,
            "[caller-key k{index}]\ndigest = {index:064x}\nteam = t{}",
            index % teams
        );
    }
    text
}
