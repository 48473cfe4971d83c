//! Entry daemon of kumquatpond: takes callers' HTTP requests and sends them to the acting dispatch processes.

use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use kumquat_entry::gateway::Limits;
use kumquat_entry::server::{Entry, Options};
use kumquat_protocol::handshake::{Identity, Program, Secret};
use kumquat_settings::Settings;
use kumquat_state::ident::Incarnation;
use kumquat_state::secret::Pepper;
use kumquat_transport::link;
use slog::{Logger, info};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Longest time for which a planned stop waits for running requests.
const DRAIN: Duration = Duration::from_secs(30);

/// Time for which a draining entry still takes connections, so that the balancer can notice its ready endpoint.
const NOTICE: Duration = Duration::from_secs(5);

fn main() -> Result<ExitCode> {
    kumquat_daemon::run_daemon("kumquat-entry", run)
}

async fn run(settings: Settings, log: Logger) -> Result<()> {
    let entry = Entry::bind(options(&settings)?).await?;
    info!(log, "entry started"; "address" => %entry.address(), "admin" => %entry.admin());
    kumquat_daemon::shutdown_signal().await?;
    info!(log, "entry draining");
    entry.drain().stop().await;
    info!(log, "entry stopped");
    Ok(())
}

fn options(settings: &Settings) -> Result<Options> {
    let entry = &settings.entry;
    Ok(Options {
        data_centre: settings.vm.data_centre.clone(),
        listen: entry.listen,
        internal: entry.internal,
        admin: entry.admin,
        dispatch: settings.dispatch.advertise,
        link: link::Options {
            identity: Identity {
                vm: settings.vm.name.clone(),
                incarnation: Incarnation(rand::random()),
                program: Program::Entry,
                data_centre: settings.vm.data_centre.clone(),
                address: settings.dispatch.advertise,
            },
            secret: Secret::new(*settings.secrets.cell.expose()),
        },
        trust: kumquat_daemon::trusted_signers(settings)?,
        pepper: Pepper::new(*settings.secrets.digest_key.expose()),
        limits: Limits {
            body: entry.max_body_bytes,
            headers: entry.max_head_bytes,
            connections: entry.max_connections,
            running: i64::try_from(entry.max_connections).unwrap_or(i64::MAX),
            ..Limits::default()
        },
        drain: DRAIN,
        notice: NOTICE,
    })
}
