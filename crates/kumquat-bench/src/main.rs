//! Measurements of kumquatpond.

use std::time::Duration;

use clap::Parser;
use eyre::Result;
use kumquat_bench::settings::{Arguments, Command};
use kumquat_bench::{ownership, path, policy, rollout, scale, settings};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let settings = &arguments.settings;
    settings::print(settings);
    let report = match &arguments.command {
        Command::Path => path::run(settings)?,
        Command::Policy { scenarios } => policy::run(settings, scenarios)?,
        Command::Scale => scale::run(settings)?,
        Command::Rollout => rollout::run(settings)?,
        Command::Ownership { outage_seconds } => {
            ownership::run(settings, Duration::from_secs(*outage_seconds))?
        }
    };
    report.publish(&settings.out)
}
