//! The `args` module provides the command line.

use std::path::PathBuf;

use clap::{Args as Group, Parser, Subcommand};
use kumquat_state::ident;

/// Checks, signs and submits bundles, and shows what is in force.
///
/// Exit statuses: 0 done, 1 refused or lost the race, 2 bad input, 3 store unreachable, 4 outcome unknown.
#[derive(Debug, Parser)]
#[command(name = "kumquatctl", version)]
pub struct Args {
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// URL of the store, such as <http://127.0.0.1:7400>; it replaces the one in the settings.
    #[arg(long, global = true, value_name = "URL")]
    pub store: Option<String>,
    /// Settings with the store, the trusted signers and the digest secret, such as those of a daemon.
    #[arg(long, global = true, value_name = "FILE")]
    pub settings: Option<PathBuf>,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(Debug, Subcommand)]
pub enum Command {
    /// Check the text of a bundle and list all of its problems.
    Check {
        /// Text of the bundle, or an envelope.
        file: PathBuf,
        /// Also list what an operator would have to confirm if the text replaced this one.
        #[arg(long, value_name = "FILE")]
        previous: Option<PathBuf>,
    },
    /// Show the differences between two bundles, or between the accepted one and a text.
    Diff {
        /// Earlier text or envelope; if it is the only one, the accepted bundle is compared with it.
        file: PathBuf,
        /// Later text or envelope.
        later: Option<PathBuf>,
    },
    /// Generate a key.
    Keygen {
        /// Kind of key.
        #[command(subcommand)]
        kind: Keygen,
    },
    /// Sign the text of a bundle, or add a signature to an envelope.
    Sign {
        /// Text of a bundle, or an envelope.
        file: PathBuf,
        /// Keys, author and reason.
        #[command(flatten)]
        signing: Signing,
        /// File to which the envelope is written.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Submit a signed envelope to the store.
    Submit {
        /// Envelope.
        envelope: PathBuf,
        /// Confirm changes that are more often mistakes than intended.
        #[arg(long)]
        accept_surprises: bool,
    },
    /// Show the accepted bundle and what each VM has in force.
    Status,
    /// Show what became of a request and what its VM believed, from log lines of `kumquat-vm`.
    Explain {
        /// Id of the request, as callers send it.
        id: String,
        /// Files with log lines of one or several VMs; standard input if there are none.
        files: Vec<PathBuf>,
    },
    /// Show the accepted versions, latest first.
    History {
        /// Most versions to show.
        #[arg(long, default_value_t = 20)]
        limit: usize,
    },
    /// Take a data centre out of service, or put it back.
    DataCentre {
        /// Direction.
        #[command(subcommand)]
        direction: Direction,
    },
    /// Give an upstream no new work.
    Drain {
        /// Name of the upstream.
        upstream: ident::Upstream,
        /// Keys, reason and confirmation.
        #[command(flatten)]
        change: Change,
    },
    /// Give an upstream work again.
    Undrain {
        /// Name of the upstream.
        upstream: ident::Upstream,
        /// Keys, reason and confirmation.
        #[command(flatten)]
        change: Change,
    },
    /// Withdraw a caller key.
    Withdraw {
        /// Public name of the caller key.
        caller_key: ident::CallerKey,
        /// Keys, reason and confirmation.
        #[command(flatten)]
        change: Change,
    },
    /// Place a key of a keyed service on an upstream.
    Place {
        /// Service.
        service: ident::Service,
        /// Key, as it stands in requests.
        key: String,
        /// Upstream that has to own the key.
        upstream: ident::Upstream,
        /// Keys, reason and confirmation.
        #[command(flatten)]
        change: Change,
    },
    /// Remove the placement of a key.
    Unplace {
        /// Service.
        service: ident::Service,
        /// Key, as it stands in requests.
        key: String,
        /// Keys, reason and confirmation.
        #[command(flatten)]
        change: Change,
    },
    /// Show the audit trail.
    Audit {
        /// Verify that the trail is complete and unaltered from its first segment on.
        #[arg(long)]
        follow_chain: bool,
        /// Most entries to show, latest last.
        #[arg(long, default_value_t = 100)]
        limit: usize,
    },
    /// Print the completions for a shell.
    Completions {
        /// Shell.
        shell: clap_complete::Shell,
    },
}

/// Kinds of keys.
#[derive(Debug, Subcommand)]
pub enum Keygen {
    /// Generate a key pair for signing bundles; the public key is written beside the private one, with suffix `.pub`.
    Signer {
        /// Name of the signer.
        name: ident::Signer,
        /// File to which the private key is written.
        #[arg(long, value_name = "FILE")]
        out: PathBuf,
    },
    /// Generate a caller key and print it, once, with the section for the bundle.
    CallerKey {
        /// Public name of the caller key.
        name: ident::CallerKey,
        /// Team for which requests with the key run.
        #[arg(long)]
        team: ident::Team,
    },
}

/// Directions of a data centre.
#[derive(Debug, Subcommand)]
pub enum Direction {
    /// Take it out of service.
    Out {
        /// Name of the data centre.
        name: ident::DataCentre,
        /// Keys, reason and confirmation.
        #[command(flatten)]
        change: Change,
    },
    /// Put it back into service.
    Back {
        /// Name of the data centre.
        name: ident::DataCentre,
        /// Keys, reason and confirmation.
        #[command(flatten)]
        change: Change,
    },
}

/// Who signs, and why.
#[derive(Debug, Group)]
pub struct Signing {
    /// Private key to sign with; repeat the option to sign with several. The first one names the author.
    #[arg(long = "key", value_name = "FILE", required = true)]
    pub keys: Vec<PathBuf>,
    /// Why the change is made; everyone who sees the bundle can read it.
    #[arg(long, default_value = "")]
    pub reason: String,
}

/// Options of the commands that change one thing.
#[derive(Debug, Group)]
pub struct Change {
    /// Keys, author and reason.
    #[command(flatten)]
    pub signing: Signing,
    /// Confirm changes that are more often mistakes than intended.
    #[arg(long)]
    pub accept_surprises: bool,
    /// Write the envelope to a file for others to sign, instead of submitting it.
    #[arg(long, value_name = "FILE")]
    pub out: Option<PathBuf>,
}
