//! The `cold` module restarts upstreams under full load, so that they start cold.

use std::time::Duration;

use eyre::Result;
use kumquat_standins::upstream::Upstream;
use tokio::time::{Instant, sleep, sleep_until};

use super::live::Live;
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::float;

const LOAD: f64 = 0.9;

/// Restarts one upstream of the first pool, then all upstreams of the first data centre.
pub async fn run(settings: &Settings, live: &mut Live, report: &mut Report) -> Result<()> {
    let centres = live.shape.data_centres.len();
    let pool = format!("{}-01", live.shape.services[1].name);
    let one = move |upstream: &Upstream| upstream.name() == pool;
    restart(settings, live, ("one upstream", &one), report).await?;
    let of_centre = move |upstream: &Upstream| {
        let number = upstream.name().rsplit('-').next();
        let number = number.and_then(|number| number.parse::<usize>().ok());
        number.is_some_and(|number| (number - 1) % centres == 0)
    };
    restart(settings, live, ("a data centre", &of_centre), report).await
}

async fn restart(
    settings: &Settings,
    live: &mut Live,
    (name, chosen): (&str, &dyn Fn(&Upstream) -> bool),
    report: &mut Report,
) -> Result<()> {
    let length = settings.length(30, 8);
    let before = live.deployment.observations.report();
    let load = live.load(LOAD, length);
    let begun = Instant::from_std(load.begun);
    sleep_until(begun + length / 4).await;
    let upstreams: Vec<&Upstream> = live
        .deployment
        .upstreams
        .iter()
        .filter(|upstream| chosen(upstream))
        .collect();
    for upstream in &upstreams {
        upstream.restart();
    }
    let warm = wait_until_warm(&upstreams, begun + length).await;
    let samples = load.finish().await;
    let after = live.deployment.observations.report();

    let scenario = format!("{} cold start of {name}", live.firm);
    let place = (scenario.as_str(), "router");
    let measure = "above what the cold upstreams bear";
    let bound = Some(Bound::AtMost(0.0));
    let above = after.cold_overload - before.cold_overload;
    report.add(place, measure, (float(above), "req"), bound);
    let unshown = after.cold_overload_unshown - before.cold_overload_unshown;
    let measure = "of these, before any answer showed it";
    report.add(place, measure, (float(unshown), "req"), None);
    let time = warm.map_or(f64::NAN, |time| time.as_secs_f64());
    report.add(place, "time to full service", (time, "s"), None);
    report.note(format!("{scenario}: {}", samples.failures()));
    Ok(())
}

/// Waits until no upstream is cold; none if that takes until `end`.
async fn wait_until_warm(upstreams: &[&Upstream], end: Instant) -> Option<Duration> {
    let begun = Instant::now();
    while upstreams.iter().any(|upstream| upstream.counts().cold) {
        if Instant::now() > end {
            return None;
        }
        sleep(Duration::from_millis(2)).await;
    }
    Some(begun.elapsed())
}
