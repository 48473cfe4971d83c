//! The `settings` module provides the command line.

use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};

use crate::policy::Scenario;

/// Measures kumquatpond on loopback.
#[derive(Debug, Parser)]
#[command(version)]
pub struct Arguments {
    /// What is measured.
    #[command(subcommand)]
    pub command: Command,
    /// Settings of all measurements.
    #[command(flatten)]
    pub settings: Settings,
}

/// Settings of all measurements.
#[derive(Clone, Debug, Args)]
pub struct Settings {
    /// Folder for the JSON file and the plot.
    #[arg(long, global = true, default_value = "docs/measurements")]
    pub out: PathBuf,
    /// Shortens the runs; the figures are then trials only.
    #[arg(long, global = true)]
    pub quick: bool,
    /// Seed of all randomness of the load and the models.
    #[arg(long, global = true, default_value_t = 7)]
    pub seed: u64,
}

impl Settings {
    /// Returns the length of a run: `full` seconds, or `quick` seconds with `--quick`.
    #[must_use]
    pub const fn length(&self, full: u64, quick: u64) -> Duration {
        Duration::from_secs(if self.quick { quick } else { full })
    }

    /// Returns a count: `full`, or `quick` with `--quick`.
    #[must_use]
    pub const fn count(&self, full: usize, quick: usize) -> usize {
        if self.quick { quick } else { full }
    }
}

/// The measurements.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Added latency, throughput per core and memory of one VM.
    Path,
    /// Tail latency, fairness, rates, cold start and overload, against simpler policies.
    Policy {
        /// Scenarios to run; all without any.
        scenarios: Vec<Scenario>,
    },
    /// Costs of control and of decisions by the number of VMs, with slopes.
    Scale,
    /// Time until configuration is in force everywhere, and its cost to the store.
    Rollout,
    /// Unavailable time of keys, churn, imbalance and lookup cost, against simpler tables.
    Ownership {
        /// Length of the store outage.
        #[arg(long, default_value_t = 30)]
        outage_seconds: u64,
    },
}

/// Prints what a run depends on.
pub fn print(settings: &Settings) {
    println!("seed {}, quick {}", settings.seed, settings.quick);
}
