//! Compares three ways to enforce a team's rate over 9 VMs, in virtual time with fixed seeds.
//!
//! Run with `cargo run --release -p kumquat-coordination --example limit_compare`. A request counts as refused within
//! rate if an exact bucket that sees all requests without delay would have admitted it.

mod model;

use std::time::Duration;

use model::Tally;

const LENGTH: Duration = Duration::from_mins(1);

#[expect(
    clippy::cast_precision_loss,
    reason = "the counts of a run are far below 2^52"
)]
fn print(name: &str, tally: &Tally) {
    let per_thousand = |part: u64, whole: u64| part as f64 * 1_000.0 / whole.max(1) as f64;
    let waits = if tally.waited > 0 {
        let waited = per_thousand(tally.waited, tally.offered);
        format!(", waiting for the home {waited:.0} per 1,000")
    } else {
        String::new()
    };
    println!(
        "  {name:<8} refused within rate {:>8.3} per 1,000, admitted {:>7} of {:>7} within rate, {:>7.0} messages/s{waits}",
        per_thousand(tally.refused_within, tally.within),
        tally.admitted,
        tally.within,
        tally.messages as f64 / tally.seconds,
    );
}

fn main() {
    for (seed, (name, load)) in (0..).zip(model::loads()) {
        println!(
            "{name}: rate {}/s, burst {}, seed {seed}",
            load.rate, load.burst
        );
        let arrivals = model::arrivals(load, seed, LENGTH);
        print("static", &model::run_static(load, &arrivals));
        print("leased", &model::run_leased(load, &arrivals));
        print("central", &model::run_central(load, &arrivals));
    }
}
