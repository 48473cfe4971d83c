//! The `data_centre` module takes a data centre out of service under load and returns it.

use std::time::Duration;

use eyre::Result;
use tokio::time::{Instant, sleep_until};

use super::live::{LIMIT, Live};
use crate::load::{Sample, Samples};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{float, float_len, millis, ratio};

const LOAD: f64 = 0.7;

/// Runs a third of the time with all data centres, a third without the first one, and a third with all again.
pub async fn run(settings: &Settings, live: &mut Live, report: &mut Report) -> Result<()> {
    let length = settings.length(60, 12);
    let load = live.load(LOAD, length);
    let begun = Instant::from_std(load.begun);
    sleep_until(begun + length / 3).await;
    let out = set_active(live, false).await?;
    sleep_until(begun + length * 2 / 3).await;
    let back = set_active(live, true).await?;
    let samples = load.finish().await;

    let scenario = format!("{} data centre out and back", live.firm);
    let place = (scenario.as_str(), "router");
    report.add(place, "out in force after", (seconds(out), "s"), None);
    report.add(place, "back in force after", (seconds(back), "s"), None);
    let windows = [
        ("before", Duration::ZERO, length / 3),
        ("out", length / 3, length * 2 / 3),
        ("back", length * 2 / 3, length),
    ];
    let urgent = live.urgent();
    let p99 = |from: Duration, to: Duration| {
        let chosen = samples
            .latencies(|sample| (from..to).contains(&sample.at) && urgent.contains(&sample.tag));
        millis(&chosen, 0.99)
    };
    let quiet = p99(length / 20, length / 3);
    for (name, from, to) in windows {
        let failed = samples.count(|one| (from..to).contains(&one.at) && !one.is_answered());
        let measure = format!("failed, {name}");
        report.add(place, &measure, (float(failed), "req"), None);
        let measure = format!("urgent p99 against before, {name}");
        let value = ratio(p99(from, to), quiet);
        report.add(place, &measure, (value, "x"), Some(Bound::AtMost(2.0)));
    }
    // Requests that wait when the data centre returns may still fail for the capacity that was missing before, so the
    // failures are judged over the whole run.
    let impossible = impossible(live, &samples, length / 3, length * 2 / 3);
    report.add(
        place,
        "more than the rest could bear",
        (impossible, "req"),
        None,
    );
    let failed = float(samples.count(|one| !one.is_answered()));
    let beyond = (failed - impossible).max(0.0);
    let measure = "failed beyond the lost capacity";
    let bound = Some(Bound::AtMost(0.0));
    report.add(place, measure, (beyond, "req"), bound);
    report.note(format!("{scenario}: {}", samples.failures()));
    Ok(())
}

async fn set_active(live: &mut Live, active: bool) -> Result<Duration> {
    let begun = Instant::now();
    let deployment = &mut live.deployment;
    let version = deployment
        .publish(|bundle| bundle.data_centres[0].active = active)
        .await?;
    deployment.wait_until_in_force(version, LIMIT).await?;
    Ok(begun.elapsed())
}

/// Returns the requests of a window without the first data centre for which the capacity did not suffice.
fn impossible(live: &Live, samples: &Samples, from: Duration, to: Duration) -> f64 {
    let window = to.saturating_sub(from).as_secs_f64();
    let in_window =
        |sample: &Sample, service: usize| sample.tag == service && (from..to).contains(&sample.at);
    (0..live.shape.services.len())
        .map(|service| {
            let offered = samples.count(|sample| in_window(sample, service));
            (float(offered) - remaining(live, service) * window).max(0.0)
        })
        .sum()
}

/// Returns the capacity of a service without the first data centre.
fn remaining(live: &Live, service: usize) -> f64 {
    let upstreams = live.shape.services[service].upstreams;
    let lost = upstreams.div_ceil(live.shape.data_centres.len());
    live.capacity(service) * float_len(upstreams - lost) / float_len(upstreams)
}

fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}
