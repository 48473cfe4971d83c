//! The `commands` module provides the subcommands.

mod change;
mod check;
mod explain;
mod keygen;
mod show;
mod sign;

use clap::CommandFactory as _;
use serde_json::json;

use crate::args::{Args, Command, Keygen};
use crate::output::{Failure, Report};
use crate::settings::Settings;
use crate::store::Store;

/// Runs the subcommand.
pub async fn run(args: Args) -> Result<Report, Failure> {
    let settings = Settings::open(args.settings.as_deref(), args.store)?;
    let store = || Store::open(settings.store()?, settings.timeout());
    match args.command {
        Command::Check { file, previous } => check::check(&file, previous.as_deref()),
        Command::Diff { file, later } => match later {
            Some(later) => check::diff(&file, &later),
            None => check::diff_accepted(&store()?, &file).await,
        },
        Command::Keygen { kind } => match kind {
            Keygen::Signer { name, out } => keygen::signer(name, &out),
            Keygen::CallerKey { name, team } => keygen::caller_key(&settings, &name, &team),
        },
        Command::Sign { file, signing, out } => sign::sign(&file, &signing, &out),
        Command::Submit {
            envelope,
            accept_surprises,
        } => sign::submit(&settings, &store()?, &envelope, accept_surprises).await,
        Command::Status => show::status(&store()?).await,
        Command::History { limit } => show::history(&store()?, limit).await,
        Command::Audit {
            follow_chain,
            limit,
        } => show::audit(&store()?, follow_chain, limit).await,
        Command::Explain { id, files } => explain::explain(&id, &files),
        Command::Completions { shell } => Ok(completions(shell)),
        command => {
            let (edit, change) = change::Edit::from_command(command)?;
            change::run(&settings, &store()?, &edit, &change).await
        }
    }
}

fn completions(shell: clap_complete::Shell) -> Report {
    let mut command = Args::command();
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut command, "kumquatctl", &mut script);
    let text = String::from_utf8_lossy(&script).into_owned();
    let json = json!({ "script": text });
    Report::done(text, json)
}
