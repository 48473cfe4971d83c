//! The `stragglers` module makes upstreams of a pool ten times slower while their load endpoints claim that all is well.

use kumquat_standins::upstream::{Status, Upstream};
use kumquat_state::bundle::ServiceKind;

use super::live::Live;
use crate::load::Samples;
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{curve, millis, ratio};

const LOAD: f64 = 0.5;
const SLOWNESS: f64 = 10.0;

/// Runs each pool with one and with two stragglers against a run without.
pub async fn run(settings: &Settings, live: &mut Live, report: &mut Report) {
    let length = settings.length(30, 5);
    let quiet = live.load(LOAD, length).finish().await.after(length / 10);
    add_quantiles(
        live,
        (&format!("{} quiet", live.firm), &quiet),
        None,
        report,
    );
    let services = live.shape.services.iter();
    let pools: Vec<&'static str> = services
        .filter(|service| service.kind == ServiceKind::Pool)
        .map(|service| service.name)
        .collect();
    for pool in pools {
        for number in 1..=2 {
            set_slow(live, pool, number, true);
            let slow = live.load(LOAD, length).finish().await.after(length / 10);
            set_slow(live, pool, number, false);
            let scenario = format!("{} {number} slow of {pool}", live.firm);
            add_quantiles(live, (&scenario, &slow), Some(&quiet), report);
        }
    }
}

fn set_slow(live: &Live, pool: &str, number: usize, slow: bool) {
    for index in 1..=number {
        let name = format!("{pool}-{index:02}");
        let Some(upstream) = live.deployment.upstream(&name) else {
            continue;
        };
        set_slow_one(upstream, slow);
    }
}

fn set_slow_one(upstream: &Upstream, slow: bool) {
    upstream.set_slow_factor(if slow { SLOWNESS } else { 1.0 });
    upstream.set_reported(slow.then(Status::default));
}

fn add_quantiles(
    live: &Live,
    (scenario, samples): (&str, &Samples),
    quiet: Option<&Samples>,
    report: &mut Report,
) {
    let urgent = live.urgent();
    let p99 = |samples: &Samples, urgent_only: bool| {
        let chosen = samples.latencies(|sample| !urgent_only || urgent.contains(&sample.tag));
        millis(&chosen, 0.99)
    };
    let aims = [("urgent p99", true, 1.5), ("p99", false, 2.0)];
    let place = (scenario, "router");
    for (name, urgent_only, aim) in aims {
        let value = p99(samples, urgent_only);
        report.add(place, name, (value, "ms"), None);
        if let Some(quiet) = quiet {
            let value = ratio(value, p99(quiet, urgent_only));
            let measure = format!("{name} against quiet");
            let bound = Some(Bound::AtMost(aim));
            report.add(place, &measure, (value, "x"), bound);
        }
    }
    let failed = 1.0 - super::live::answered(samples);
    report.add(place, "failed", (failed, "part"), None);
    report.curve(scenario, curve(&samples.latencies(|_| true)));
}
