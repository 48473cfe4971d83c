//! Explores the specifications of the core protocol and reports the first counterexample of each.

use std::collections::VecDeque;
use std::process::ExitCode;
use std::thread;

use clap::Parser;
use eyre::eyre;
use kumquat_spec::mutation::Mutation;
use kumquat_spec::suite::{Exploration, Extent, suite};

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

    // Each specification has a thread of its own, since they differ much in size. The large ones run one by one, because
    // together they would need too much memory.
    let width = if arguments.large { 1 } else { usize::MAX };
    let selected = |name: &str| arguments.only.as_ref().is_none_or(|only| only == name);
    let mut explorations: VecDeque<Exploration> = suite(extent, arguments.mutation)
        .into_iter()
        .filter(|exploration| selected(exploration.name))
        .collect();
    if explorations.is_empty() {
        return Err(eyre!("no specification has this name"));
    }
    let mut threads = VecDeque::new();
    let mut code = ExitCode::SUCCESS;
    loop {
        while threads.len() < width
            && let Some(exploration) = explorations.pop_front()
        {
            threads.push_back(thread::spawn(exploration.run));
        }
        let Some(thread) = threads.pop_front() else {
            return Ok(code);
        };
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
}
