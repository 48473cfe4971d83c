//! The `flood` module lets one team send five times its fleet-wide rate.

use super::live::{Live, answered};
use crate::load::{Sample, Samples};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{curve, float, millis, ratio};

const LOAD: f64 = 0.5;
const FACTOR: f64 = 5.0;

/// Number of the team that floods; one of the small ones.
const TEAM: usize = 1;

/// Runs the mixed load without and with the flood on top of it.
pub async fn run(settings: &Settings, live: &mut Live, report: &mut Report) {
    let length = settings.length(30, 5);
    let quiet = live.load(LOAD, length).finish().await.after(length / 10);
    let load = live.load(LOAD, length);
    let mut teams = vec![0.0; live.shape.teams.len()];
    teams[TEAM] = 1.0;
    let rates = live.rates(1.0);
    let excess = f64::from(live.shape.teams[TEAM].rate) * FACTOR;
    let total: f64 = rates.iter().sum();
    let rates: Vec<f64> = rates.iter().map(|rate| rate / total * excess).collect();
    let flood = live.load_of(&rates, teams, length);
    let (disturbed, flood) = tokio::join!(load.finish(), flood.finish());
    let (disturbed, flood) = (disturbed.after(length / 10), flood.after(length / 10));
    add(settings, live, (&quiet, &disturbed, &flood), report);
}

fn add(
    settings: &Settings,
    live: &Live,
    (quiet, disturbed, flood): (&Samples, &Samples, &Samples),
    report: &mut Report,
) {
    let length = settings.length(30, 5) * 9 / 10;
    let scenario = format!("{} one team at five times its rate", live.firm);
    let place = (scenario.as_str(), "router");
    let others = |sample: &Sample| sample.team != TEAM;
    let p99 = |samples: &Samples| millis(&samples.latencies(others), 0.99);
    report.add(place, "others' p99, quiet", (p99(quiet), "ms"), None);
    report.add(place, "others' p99", (p99(disturbed), "ms"), None);
    let value = ratio(p99(disturbed), p99(quiet));
    let bound = Some(Bound::AtMost(1.2));
    report.add(place, "others' p99 against quiet", (value, "x"), bound);
    let goodput = |samples: &Samples| {
        let good = samples.count(|sample| others(sample) && sample.is_answered());
        ratio(float(good), float(samples.count(others)))
    };
    let value = ratio(goodput(disturbed), goodput(quiet));
    let bound = Some(Bound::AtLeast(0.98));
    report.add(place, "others' goodput against quiet", (value, "x"), bound);

    // All other teams send less than their fair share, so the fair share of each is all that it asks for.
    let worst = (0..live.shape.teams.len())
        .filter(|team| *team != TEAM)
        .map(|team| {
            let good = disturbed.count(|sample| sample.team == team && sample.is_answered());
            ratio(
                float(good),
                float(disturbed.count(|sample| sample.team == team)),
            )
        })
        .fold(f64::INFINITY, f64::min);
    report.add(
        place,
        "worst team's share of its fair share",
        (worst, "part"),
        None,
    );
    let admitted = answered(flood) * crate::stats::float_len(flood.all.len());
    let own = disturbed.count(|sample| sample.team == TEAM && sample.is_answered());
    let served = (admitted + float(own)) / length.as_secs_f64();
    report.add(place, "flooding team served", (served, "req/s"), None);
    let rate = f64::from(live.shape.teams[TEAM].rate);
    report.add(place, "its rate", (rate, "req/s"), None);
    report.curve(
        format!("{} quiet, others", live.firm),
        curve(&quiet.latencies(others)),
    );
    report.curve(
        format!("{scenario}, others"),
        curve(&disturbed.latencies(others)),
    );
}
