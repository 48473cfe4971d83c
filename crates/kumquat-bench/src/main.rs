//! Measurements of kumquatpond.

use clap::Parser;
use eyre::Result;
use kumquat_bench::settings::{Arguments, Command};
use kumquat_bench::{path, settings};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> Result<()> {
    let arguments = Arguments::parse();
    let settings = &arguments.settings;
    settings::print(settings);
    let report = match &arguments.command {
        Command::Path => path::run(settings)?,
    };
    report.publish(&settings.out)
}
