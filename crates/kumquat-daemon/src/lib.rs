//! The `kumquat-daemon` crate holds what the daemons share: the command line, structured logs, signals and admin
//! endpoints.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::{Result, WrapErr};
use kumquat_settings::{Level, Settings};
use kumquat_state::bundle::envelope::{PublicKey, TrustList};
use slog::{Drain, Logger, o};
use tokio::signal::unix::{SignalKind, signal};

pub mod admin;

/// Exit status for settings that can't be used.
pub const INVALID_SETTINGS: u8 = 2;

/// Log lines that wait for the writer; more are dropped and counted, so that logging never holds up a request.
const LOG_QUEUE: usize = 4_096;

/// Arguments of a daemon.
#[derive(Clone, Debug, Parser)]
struct Arguments {
    /// Settings file of this VM.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// Checks the settings and exits.
    #[arg(long)]
    check: bool,
}

/// Runs a daemon's program: reads the command line and the settings, and then runs `run` with the settings and the log.
///
/// # Errors
///
/// Returns an error if the runtime can't be started or `run` fails.
pub fn start<F>(program: &'static str, run: impl FnOnce(Settings, Logger) -> F) -> Result<ExitCode>
where
    F: Future<Output = Result<()>>,
{
    let arguments = Arguments::parse();
    let settings = match read_settings(&arguments) {
        Ok(settings) => settings,
        Err(status) => return Ok(status),
    };
    let (log, _guard) = log(&settings, program);
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(settings, log))?;
    Ok(ExitCode::SUCCESS)
}

/// Reads the settings that the arguments name, or ends with the status to exit with.
///
/// # Errors
///
/// Returns the exit status after the problems have been printed, or after a check that found none.
fn read_settings(arguments: &Arguments) -> Result<Settings, ExitCode> {
    match kumquat_settings::open(&arguments.settings) {
        Ok(_) if arguments.check => Err(ExitCode::SUCCESS),
        Ok(settings) => Ok(settings),
        Err(problems) => {
            for problem in &problems {
                eprintln!("{problem}");
            }
            Err(ExitCode::from(INVALID_SETTINGS))
        }
    }
}

/// Returns the signers that the settings trust.
///
/// # Errors
///
/// Returns an error if a key can't be used.
pub fn trust(settings: &Settings) -> Result<TrustList> {
    let keys = settings.signers.keys.iter().map(|signer| {
        PublicKey::from_bytes(signer.name.clone(), &signer.key)
            .wrap_err_with(|| format!("signer {}", signer.name))
    });
    let keys = keys.collect::<Result<Vec<_>>>()?;
    Ok(TrustList::new(keys, settings.signers.threshold)?)
}

/// Creates the log of a daemon on standard error.
///
/// Dropping the returned guard flushes the log.
fn log(settings: &Settings, program: &'static str) -> (Logger, slog_async::AsyncGuard) {
    let level = match settings.log {
        Level::Critical => slog::Level::Critical,
        Level::Error => slog::Level::Error,
        Level::Warning => slog::Level::Warning,
        Level::Info => slog::Level::Info,
        Level::Debug => slog::Level::Debug,
        Level::Trace => slog::Level::Trace,
    };
    let vm = settings.vm.name.as_str();
    let data_centre = settings.vm.data_centre.as_str();
    open_log(
        std::io::stderr(),
        LOG_QUEUE,
        level,
        program,
        vm,
        data_centre,
    )
}

/// Creates a log that writes one JSON object per line to `output`, with at most `queue` lines waiting for it.
///
/// Dropping the returned guard flushes the log.
pub fn open_log(
    output: impl std::io::Write + Send + 'static,
    queue: usize,
    level: slog::Level,
    program: &'static str,
    vm: &str,
    data_centre: &str,
) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(output).fuse();
    let (drain, guard) = slog_async::Async::new(json)
        .chan_size(queue)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    let (vm, data_centre) = (vm.to_owned(), data_centre.to_owned());
    let log = Logger::root(
        drain,
        o!("program" => program, "vm" => vm, "data_centre" => data_centre),
    );
    (log, guard)
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Returns an error if the signals can't be handled.
pub async fn stop_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("can't handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't handle SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
