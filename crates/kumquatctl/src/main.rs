//! Operators' command of kumquatpond.
//!
//! Every change of state is a new signed version of the bundle. See `docs/design.md`, sections 2.1, 6 and 7.

mod args;
mod bundles;
mod commands;
mod files;
mod output;
mod settings;
mod store;
mod submission;
mod trail;

use std::process::ExitCode;

use clap::Parser as _;

use crate::args::Args;
use crate::output::Failure;

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

fn main() -> ExitCode {
    let args = Args::parse();
    let json = args.json;
    let result = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Failure::input)
        .and_then(|runtime| runtime.block_on(commands::run(args)));
    output::print(result, json)
}
