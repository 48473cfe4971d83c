//! Dispatch daemon of kumquatpond: takes part in the cell, dispatches requests to upstreams and issues rate credits.

use std::process::ExitCode;
use std::time::Duration;

use eyre::Result;
use kumquat_dispatch::platform;
use kumquat_dispatch::server::{Dispatch, Options};
use kumquat_protocol::handshake::Secret;
use kumquat_settings::Settings;
use slog::{Logger, info};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Longest time for which a planned stop waits until other VMs have taken over the roles.
const HANDOVER: Duration = Duration::from_secs(10);

fn main() -> Result<ExitCode> {
    kumquat_daemon::run_daemon("kumquat-dispatch", run)
}

async fn run(settings: Settings, log: Logger) -> Result<()> {
    let dispatch = Dispatch::bind(options(&settings, &log)?).await?;
    info!(log, "dispatch started"; "address" => %dispatch.address(), "admin" => %dispatch.admin());
    kumquat_daemon::shutdown_signal().await?;
    info!(log, "dispatch draining");
    dispatch.drain().stop().await;
    info!(log, "dispatch stopped");
    Ok(())
}

fn options(settings: &Settings, log: &Logger) -> Result<Options> {
    let peers = settings
        .peers
        .iter()
        .filter(|peer| peer.vm != settings.vm.name)
        .map(|peer| (peer.vm.clone(), peer.address));
    Ok(Options {
        vm: settings.vm.name.clone(),
        data_centre: settings.vm.data_centre.clone(),
        listen: settings.dispatch.listen,
        advertise: Some(settings.dispatch.advertise),
        admin: settings.dispatch.admin,
        peers: peers.collect(),
        secret: Secret::new(*settings.secrets.cell.expose()),
        trust: kumquat_daemon::trusted_signers(settings)?,
        store: platform::Options {
            url: settings.store.url.to_string(),
            list: Some(settings.vm_list.to_string()),
            client: settings.vm.name.clone(),
            timeout: settings.store.timeout,
        },
        handover: HANDOVER,
        log: log.clone(),
    })
}
