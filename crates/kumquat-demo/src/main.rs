//! Demonstration of kumquatpond: a whole deployment on loopback under a mixed load, with operators' changes while it runs.

mod load;
mod report;
mod script;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, ValueEnum};
use eyre::Result;
use kumquat_local::{Deployment, Shape};
use slog::{Discard, Drain, Logger, o};

use load::Load;
use report::Report;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Demonstrates kumquatpond on loopback with embedded stand-ins.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Length of the load in seconds.
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(5..=600))]
    seconds: u64,
    /// Deployment whose sizes are used.
    #[arg(long, value_enum, default_value_t = Size::PortLouis)]
    deployment: Size,
    /// Shows the daemons' logs on standard error.
    #[arg(long)]
    log: bool,
    /// Requests per second.
    #[arg(long, default_value_t = 400, value_parser = clap::value_parser!(u32).range(1..=5_000))]
    rate: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Size {
    PortLouis,
    DarEsSalaam,
}

#[tokio::main]
async fn main() -> Result<ExitCode> {
    let arguments = Arguments::parse();
    let shape = match arguments.deployment {
        Size::PortLouis => Shape::port_louis(),
        Size::DarEsSalaam => Shape::dar_es_salaam(),
    };
    let log = if arguments.log {
        let json = slog_json::Json::default(std::io::stderr()).fuse();
        Logger::root(slog_async::Async::default(json).fuse(), o!())
    } else {
        Logger::root(Discard, o!())
    };

    println!("starting {} VMs on loopback ...", shape.vms);
    let mut deployment = Deployment::open(&shape, &log).await?;
    println!("every service answers through every entry");

    let length = Duration::from_secs(arguments.seconds);
    let load = Load::spawn(&deployment, arguments.rate, length);
    let script = script::run(&mut deployment, &load, length).await?;
    let tally = load.finish().await;
    let report = Report::new(&tally, &deployment.observations.report(), &script);
    deployment.stop().await;

    report.print()?;
    Ok(if report.is_clean() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    })
}
