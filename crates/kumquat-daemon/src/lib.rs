//! Code shared by the daemons: command line, structured logging, shutdown signals and admin endpoints.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use eyre::{Result, WrapErr};
use kumquat_settings::{LogLevel, Settings};
use kumquat_state::bundle::envelope::{PublicKey, TrustList};
use slog::{Drain, Logger, o};
use tokio::signal::unix::{SignalKind, signal};

pub mod admin;

/// Exit status of a daemon whose settings file has problems.
pub const INVALID_SETTINGS: u8 = 2;

/// Capacity of the log queue in lines.
///
/// Lines beyond it are dropped and counted, so that logging never blocks a request.
const LOG_QUEUE_LINES: usize = 4_096;

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

/// Parses the command line, loads the settings and blocks on `run` in a multi-threaded Tokio runtime.
///
/// Returns the exit status: [`INVALID_SETTINGS`] after the problems of the settings have been printed to standard
/// error, and success after `--check` or when `run` has ended. Invalid arguments end the process.
///
/// # Errors
///
/// Returns an error if the runtime can't be started or `run` fails.
pub fn run_daemon<F>(
    program: &'static str,
    run: impl FnOnce(Settings, Logger) -> F,
) -> Result<ExitCode>
where
    F: Future<Output = Result<()>>,
{
    let arguments = Arguments::parse();
    let settings = match load_settings(&arguments) {
        Ok(settings) => settings,
        Err(status) => return Ok(status),
    };
    let (log, _guard) = create_logger(&settings, program);
    tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()?
        .block_on(run(settings, log))?;
    Ok(ExitCode::SUCCESS)
}

/// Reads the settings file named on the command line.
///
/// # Errors
///
/// Returns the status to exit with: failure after the problems have been printed, or success if `--check` found none.
fn load_settings(arguments: &Arguments) -> Result<Settings, ExitCode> {
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

/// Converts the signers of the settings into the form that verifies bundles.
///
/// # Errors
///
/// Returns an error if a public key is not a valid ed25519 key or [`TrustList::new`] refuses the signers.
pub fn trusted_signers(settings: &Settings) -> Result<TrustList> {
    let keys = settings.signers.keys.iter().map(|signer| {
        PublicKey::from_bytes(signer.name.clone(), &signer.key)
            .wrap_err_with(|| format!("signer {}", signer.name))
    });
    let keys = keys.collect::<Result<Vec<_>>>()?;
    Ok(TrustList::new(keys, settings.signers.threshold)?)
}

/// Creates the logger of a daemon, which writes to standard error at the level of the settings.
///
/// Dropping the returned guard flushes the log.
fn create_logger(settings: &Settings, program: &'static str) -> (Logger, slog_async::AsyncGuard) {
    let level = match settings.log_level {
        LogLevel::Critical => slog::Level::Critical,
        LogLevel::Error => slog::Level::Error,
        LogLevel::Warning => slog::Level::Warning,
        LogLevel::Info => slog::Level::Info,
        LogLevel::Debug => slog::Level::Debug,
        LogLevel::Trace => slog::Level::Trace,
    };
    let vm = settings.vm.name.as_str();
    let data_centre = settings.vm.data_centre.as_str();
    create_json_logger(
        std::io::stderr(),
        LOG_QUEUE_LINES,
        level,
        program,
        vm,
        data_centre,
    )
}

/// Creates a logger that writes one JSON object per line to `output` from a thread of its own.
///
/// At most `queue_lines` lines wait for the thread; lines beyond that are dropped and counted in the log.
///
/// Dropping the returned guard flushes the log.
pub fn create_json_logger(
    output: impl std::io::Write + Send + 'static,
    queue_lines: usize,
    level: slog::Level,
    program: &'static str,
    vm: &str,
    data_centre: &str,
) -> (Logger, slog_async::AsyncGuard) {
    let json = slog_json::Json::default(output).fuse();
    let (drain, guard) = slog_async::Async::new(json)
        .chan_size(queue_lines)
        .build_with_guard();
    let drain = drain.filter_level(level).fuse();
    let (vm, data_centre) = (vm.to_owned(), data_centre.to_owned());
    let log = Logger::root(
        drain,
        o!("program" => program, "vm" => vm, "data_centre" => data_centre),
    );
    (log, guard)
}

/// Completes when the process receives SIGTERM or SIGINT.
///
/// From the first poll on, neither signal has its default action of ending the process.
///
/// # Errors
///
/// Returns an error if a signal handler can't be installed.
pub async fn shutdown_signal() -> Result<()> {
    let mut terminate = signal(SignalKind::terminate()).wrap_err("can't handle SIGTERM")?;
    let mut interrupt = signal(SignalKind::interrupt()).wrap_err("can't handle SIGINT")?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
