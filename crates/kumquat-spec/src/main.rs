//! Explores the specifications of the core protocol and reports the first counterexample of each.

use std::process::ExitCode;

use clap::Parser;
use eyre::eyre;
use kumquat_spec::mutation::Mutation;
use kumquat_spec::suite::{Extent, suite};

/// Explores the specifications of the core protocol exhaustively.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    /// Explore the bounds of continuous integration, which is the default.
    #[arg(long, conflicts_with = "large")]
    bounded: bool,
    /// Explore larger bounds.
    #[arg(long)]
    large: bool,
    /// Explore only the specification with this name.
    #[arg(long)]
    only: Option<String>,
    /// Leave out one rule of the protocol, which must lead to a counterexample.
    #[arg(long)]
    mutation: Option<Mutation>,
}

fn main() -> eyre::Result<ExitCode> {
    let arguments = Arguments::parse();
    let extent = if arguments.large {
        Extent::Large
    } else {
        Extent::Bounded
    };

    // Each specification has a thread of its own, since they differ much in size.
    let mut threads = Vec::new();
    for explore in suite(extent, arguments.mutation) {
        if arguments
            .only
            .as_ref()
            .is_none_or(|name| name == explore.name)
        {
            threads.push(std::thread::spawn(explore.run));
        }
    }
    if threads.is_empty() {
        return Err(eyre!("no specification has this name"));
    }

    let mut code = ExitCode::SUCCESS;
    for thread in threads {
        let Ok(report) = thread.join() else {
            return Err(eyre!("an exploration stopped early"));
        };
        let verdict = if report.counterexample.is_some() {
            "violated"
        } else {
            "holds"
        };
        println!(
            "{}: {}; {} states; {verdict}",
            report.name, report.bounds, report.states
        );
        if let Some(counterexample) = report.counterexample {
            println!(
                "{:?} is broken:\n{}",
                counterexample.rule, counterexample.trace
            );
            code = ExitCode::FAILURE;
        }
    }
    Ok(code)
}
