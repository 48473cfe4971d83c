//! The `policy` module measures the policies of the router against their aims and against simpler policies.

use std::time::{Duration, Instant};

use clap::ValueEnum;
use eyre::Result;

use crate::report::Report;
use crate::settings::Settings;

#[path = "../../kumquat-coordination/examples/limit_compare/model.rs"]
mod buckets;
mod cold;
mod data_centre;
mod flood;
mod harness;
pub mod live;
mod overload;
mod rates;
mod stragglers;
mod virtual_time;

use live::Live;

/// What is done to the deployments.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub enum Scenario {
    /// One and two upstreams of a pool become ten times slower.
    Stragglers,
    /// A data centre leaves and returns.
    DataCentre,
    /// One team sends five times its rate.
    Flood,
    /// Traffic of teams near and above their rates moves between the entries.
    Rates,
    /// One upstream, then all of a data centre, start cold.
    Cold,
    /// A pool gets one and a half times what it bears.
    Overload,
}

/// Runs the scenarios, all of them if none is named.
///
/// # Errors
///
/// Returns an error if a deployment can't be started or changed.
pub fn run(settings: &Settings, scenarios: &[Scenario]) -> Result<Report> {
    let mut report = Report::new("policy", settings, ["percentile", "latency in ms"]);
    report.note(
        "all processes are in one process on loopback, without distance between data centres",
    );
    report.note("virtual runs use the state machines alone and model the distances");
    let all = Scenario::value_variants();
    let chosen = if scenarios.is_empty() { all } else { scenarios };
    for scenario in chosen {
        in_virtual_time(*scenario, settings, &mut report);
    }
    let runtime = tokio::runtime::Runtime::new()?;
    for (firm, shape) in live::firms() {
        let mut live = runtime.block_on(Live::open(firm, shape, settings))?;
        for scenario in chosen {
            let begun = Instant::now();
            let before = live.deployment.observations.report();
            runtime.block_on(on_deployment(*scenario, settings, &mut live, &mut report))?;
            let name = format!("{firm} {scenario:?}");
            live.add_violations(&name, &before, &mut report);
            eprintln!("{name} took {:?}", begun.elapsed());
        }
        runtime.block_on(live.stop());
    }
    Ok(report)
}

fn in_virtual_time(scenario: Scenario, settings: &Settings, report: &mut Report) {
    match scenario {
        Scenario::Stragglers => virtual_time::stragglers(settings, report),
        Scenario::Overload => virtual_time::overload(settings, report),
        Scenario::Cold => virtual_time::cold(settings, report),
        Scenario::Flood => virtual_time::flood(settings, report),
        Scenario::Rates => rates::in_virtual_time(settings, report),
        Scenario::DataCentre => {}
    }
}

async fn on_deployment(
    scenario: Scenario,
    settings: &Settings,
    live: &mut Live,
    report: &mut Report,
) -> Result<()> {
    match scenario {
        Scenario::Stragglers => stragglers::run(settings, live, report).await,
        Scenario::DataCentre => data_centre::run(settings, live, report).await?,
        Scenario::Flood => flood::run(settings, live, report).await,
        Scenario::Rates => rates::run(settings, live, report).await,
        Scenario::Cold => cold::run(settings, live, report).await?,
        Scenario::Overload => overload::run(settings, live, report).await?,
    }
    // The queues and the outlier ejection of one scenario must not reach into the next one.
    tokio::time::sleep(Duration::from_secs(3)).await;
    Ok(())
}
