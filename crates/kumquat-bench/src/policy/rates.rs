//! The `rates` module measures refusals within rate, and requests above the rate, for traffic that moves.

use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;
use tokio::runtime::Handle;

use super::buckets::{self, Tally};
use super::live::{Live, weighted};
use crate::load::{Load, Shot, Verdict};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{float, ratio};

/// Aim for requests that are refused although the team is within its rate.
const REFUSED: f64 = 0.001;

/// Time after which the traffic moves to other entries.
const MOVES_EVERY: Duration = Duration::from_secs(1);

/// Offered load of each measured team relative to its rate; the teams are numbers of the shape.
const TEAMS: [(usize, f64); 2] = [(3, 0.9), (5, 1.5)];

/// Compares shares that move with demand against static shares and asking for each request.
pub fn in_virtual_time(settings: &Settings, report: &mut Report) {
    let length = settings.length(60, 10);
    for (name, load) in buckets::loads() {
        let arrivals = buckets::arrivals(load, settings.seed, length);
        let runs = [
            ("router", buckets::run_leased(load, &arrivals)),
            ("static shares", buckets::run_static(load, &arrivals)),
            ("ask each time", buckets::run_central(load, &arrivals)),
        ];
        for (policy, tally) in runs {
            add((name, load.factor), policy, &tally, report);
        }
    }
}

fn add((name, factor): (&str, f64), policy: &str, tally: &Tally, report: &mut Report) {
    let scenario = format!("virtual, {name}");
    let place = (scenario.as_str(), policy);
    // Above its rate, a team may lose other requests than with the exact bucket, as long as as many are admitted.
    let product = policy == "router" && factor <= 1.0;
    let refused = ratio(float(tally.refused_within), float(tally.within));
    let bound = product.then_some(Bound::AtMost(REFUSED));
    report.add(place, "refused within rate", (refused, "part"), bound);
    let admitted = ratio(float(tally.admitted), float(tally.within));
    report.add(
        place,
        "admitted of those within rate",
        (admitted, "part"),
        None,
    );
    let messages = float(tally.messages) / tally.seconds;
    report.add(place, "messages", (messages, "per s"), None);
    let waited = ratio(float(tally.waited), float(tally.offered));
    report.add(place, "waited for the home", (waited, "part"), None);
}

/// Sends for one team below and one above its rate; most of the traffic of each comes to two entries, which change.
pub async fn run(settings: &Settings, live: &mut Live, report: &mut Report) {
    let length = settings.length(30, 6);
    let loads: Vec<Load> = TEAMS
        .iter()
        .map(|(team, factor)| skewed(live, *team, *factor, length))
        .collect();
    for (load, (team, factor)) in loads.into_iter().zip(TEAMS) {
        let samples = load.finish().await;
        let over = |verdict: Verdict| matches!(verdict, Verdict::Refused(429, _));
        let refused = samples.count(|sample| over(sample.verdict));
        let all = samples.count(|_| true);
        let name = live.shape.teams[team].name;
        let scenario = format!("{} {name} at {factor} of its rate", live.firm);
        let place = (scenario.as_str(), "router");
        let share = ratio(float(refused), float(all));
        let bound = (factor < 1.0).then_some(Bound::AtMost(REFUSED));
        report.add(place, "refused as above the rate", (share, "part"), bound);
        report.note(format!("{scenario}: {}", samples.failures()));
    }
}

fn skewed(live: &Live, team: usize, factor: f64, length: Duration) -> Load {
    let entries = live.entries();
    let key = Arc::clone(&live.keys()[team]);
    let prefix = live.shape.services[1].prefix;
    let rate = f64::from(live.shape.teams[team].rate) * factor;
    let mut weights = vec![1.0; entries.len()];
    let mut next = Duration::ZERO;
    let handle = Handle::current();
    let observations = Some(live.deployment.observations.clone());
    let seed = live.seed + team as u64;
    Load::spawn(
        handle,
        seed,
        rate,
        length,
        observations,
        move |random, due| {
            if due >= next {
                next += MOVES_EVERY;
                weights.fill(0.1);
                weights[random.random_range(0..entries.len())] += 4.0;
                weights[random.random_range(0..entries.len())] += 2.0;
            }
            Shot {
                to: Some(entries[weighted(random, &weights)]),
                path: format!("{prefix}rate?service-ms=1"),
                key: Some(Arc::clone(&key)),
                team,
                ..Shot::default()
            }
        },
    )
}
