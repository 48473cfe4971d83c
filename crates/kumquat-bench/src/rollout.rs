//! The `rollout` module measures how fast configuration is in force on all VMs, and what it costs the store.

use std::time::Duration;

use eyre::{Result, eyre};
use kumquat_local::vm::{PEPPER, Vm};
use kumquat_local::{Deployment, Shape};
use kumquat_state::bundle::CallerKey;
use kumquat_state::ident::Version;
use kumquat_state::secret::{Key, Pepper};
use reqwest::StatusCode;
use slog::{Discard, Logger, o};
use tokio::time::{Instant, sleep};

use crate::load::{client, micros};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{collect, curve, float, float_len, millis};

/// Longest time that a change may take before the measurement is given up.
const LIMIT: Duration = Duration::from_secs(30);

/// Configuration changes of a day at the expected size.
const CHANGES: usize = 4_700;

/// Number of the VM that is restarted.
const RESTARTED: usize = 4;

/// Runs the measurement on the VMs of Port Louis.
///
/// # Errors
///
/// Returns an error if the deployment can't be started, or a change is not accepted or not in force in time.
pub fn run(settings: &Settings) -> Result<Report> {
    let mut report = Report::new("rollout", settings, ["percentile", "ms"]);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(measure(settings, &mut report))?;
    Ok(report)
}

async fn measure(settings: &Settings, report: &mut Report) -> Result<()> {
    let shape = Shape::port_louis();
    let mut deployment = Deployment::open(&shape, &Logger::root(Discard, o!())).await?;
    // Membership and roles settle first.
    sleep(Duration::from_secs(2)).await;
    changes(settings, &mut deployment, report).await?;
    withdrawals(settings, &mut deployment, report).await?;
    day(settings, &mut deployment, report).await?;
    let seen = deployment.observations.report();
    let bound = Some(Bound::AtMost(0.0));
    let leaks = float(seen.key_leaks);
    report.add(("all", "router"), "key leaks", (leaks, "req"), bound);
    deployment.stop().await;
    Ok(())
}

/// Changes the bundle again and again; a VM is restarted in the middle, while a change is on its way.
async fn changes(
    settings: &Settings,
    deployment: &mut Deployment,
    report: &mut Report,
) -> Result<()> {
    let rounds = settings.count(100, 20);
    let mut times = Vec::new();
    let mut restarted = None;
    for round in 0..rounds {
        if round == rounds / 2 {
            restarted = Some(change_with_restart(deployment, round, &mut times).await?);
        } else {
            change(deployment, round, &mut times).await?;
        }
        sleep(Duration::from_millis(50)).await;
    }
    let histogram = collect(times.iter().map(|time| micros(*time)));
    let place = ("change on 9 VMs", "router");
    let samples = float_len(times.len());
    report.add(place, "VMs times changes", (samples, "samples"), None);
    let p50 = millis(&histogram, 0.5);
    report.add(place, "acceptance to in force, median", (p50, "ms"), None);
    let p99 = millis(&histogram, 0.99);
    let bound = Some(Bound::AtMost(2_000.0));
    report.add(place, "acceptance to in force, p99", (p99, "ms"), bound);
    let most = millis(&histogram, 1.0);
    report.add(place, "acceptance to in force, maximum", (most, "ms"), None);
    let restarted = restarted.map_or(f64::NAN, |time| float(micros(time)) / 1_000.0);
    report.add(
        place,
        "restarted VM, from its start",
        (restarted, "ms"),
        None,
    );
    report.note("each VM counts once per change; the restarted VM counts from the acceptance too");
    report.curve("acceptance to in force", curve(&histogram));
    Ok(())
}

async fn change(
    deployment: &mut Deployment,
    round: usize,
    times: &mut Vec<Duration>,
) -> Result<Version> {
    let version = publish(deployment, round).await?;
    let accepted = Instant::now();
    follow(deployment, version, accepted, times).await?;
    Ok(version)
}

/// Stops a VM at once, changes the bundle and starts the VM again; returns the time from its start to in force.
async fn change_with_restart(
    deployment: &mut Deployment,
    round: usize,
    times: &mut Vec<Duration>,
) -> Result<Duration> {
    let vm = &mut deployment.vms[RESTARTED];
    vm.kill_dispatch();
    vm.stop_entry().await;
    let version = publish(deployment, round).await?;
    let accepted = Instant::now();
    deployment.vms[RESTARTED].start().await?;
    let started = Instant::now();
    follow(deployment, version, accepted, times).await?;
    Ok(started.elapsed())
}

async fn publish(deployment: &mut Deployment, round: usize) -> Result<Version> {
    let weight = u32::try_from(round % 10 + 1)?;
    deployment
        .publish(|bundle| bundle.teams[0].weight = weight)
        .await
}

/// Notes when each VM has the version in force.
async fn follow(
    deployment: &Deployment,
    version: Version,
    accepted: Instant,
    times: &mut Vec<Duration>,
) -> Result<()> {
    let mut missing: Vec<&Vm> = deployment.vms.iter().collect();
    while !missing.is_empty() {
        missing.retain(|vm| {
            let is_in_force = has(vm, version);
            if is_in_force {
                times.push(accepted.elapsed());
            }
            !is_in_force
        });
        if accepted.elapsed() > LIMIT {
            let names: Vec<_> = missing.iter().map(|vm| vm.name().as_str()).collect();
            return Err(eyre!(
                "{version} is not in force on {names:?} after {LIMIT:?}"
            ));
        }
        sleep(Duration::from_millis(1)).await;
    }
    Ok(())
}

fn has(vm: &Vm, version: Version) -> bool {
    let bundle = vm.entry.as_ref().and_then(|entry| entry.config().bundle());
    bundle.is_some_and(|bundle| bundle.version >= version)
}

/// Grants a key, withdraws it and asks every entry until all refuse it.
async fn withdrawals(
    settings: &Settings,
    deployment: &mut Deployment,
    report: &mut Report,
) -> Result<()> {
    let mut times = Vec::new();
    for _ in 0..settings.count(30, 5) {
        times.push(withdraw(deployment).await?);
    }
    let histogram = collect(times.iter().map(|time| micros(*time)));
    let place = ("withdrawn key", "router");
    let p50 = millis(&histogram, 0.5);
    report.add(place, "refused everywhere, median", (p50, "ms"), None);
    let most = millis(&histogram, 1.0);
    let bound = Some(Bound::AtMost(3_000.0));
    report.add(place, "refused everywhere, maximum", (most, "ms"), bound);
    report.curve("withdrawn key refused everywhere", curve(&histogram));
    Ok(())
}

async fn withdraw(deployment: &mut Deployment) -> Result<Duration> {
    let key = Key::generate(&mut rand::rng());
    let digest = Pepper::new(PEPPER).digest(&key);
    let name: kumquat_state::ident::CallerKey = "key-extra".parse()?;
    let granted = name.clone();
    let version = deployment
        .publish(|bundle| {
            let team = bundle.teams[0].name.clone();
            let name = granted;
            bundle.caller_keys.push(CallerKey { digest, name, team });
        })
        .await?;
    deployment.wait_until_in_force(version, LIMIT).await?;
    deployment
        .publish(|bundle| bundle.caller_keys.retain(|key| key.name != name))
        .await?;
    let accepted = Instant::now();
    let client = client();
    let prefix = &deployment.bundle.routes[1].prefix;
    let key = key.expose();
    for vm in &deployment.vms {
        let Some(entry) = vm.address() else { continue };
        loop {
            let request = client.get(format!("http://{entry}{prefix}withdrawn?service-ms=0"));
            let response = request.bearer_auth(&key).send().await?;
            if response.status() == StatusCode::UNAUTHORIZED {
                break;
            }
            if accepted.elapsed() > LIMIT {
                return Err(eyre!("{} still accepts the withdrawn key", vm.name()));
            }
        }
    }
    Ok(accepted.elapsed())
}

/// Replays the changes of a day one after another and counts the calls to the store.
async fn day(settings: &Settings, deployment: &mut Deployment, report: &mut Report) -> Result<()> {
    let changes = settings.count(CHANGES, 200);
    let before = deployment.store.calls();
    let begun = Instant::now();
    let mut version = Version(0);
    for round in 0..changes {
        version = publish(deployment, round).await?;
    }
    let submitted = begun.elapsed();
    let in_force = deployment.wait_until_in_force(version, LIMIT).await?;
    let after = deployment.store.calls();
    let place = ("changes of a day", "router");
    let count = float_len(changes);
    report.add(place, "changes", (count, "changes"), None);
    let rate = count / submitted.as_secs_f64();
    report.add(place, "changes accepted", (rate, "per s"), None);
    let last = float(micros(in_force)) / 1_000.0;
    report.add(place, "last one in force after", (last, "ms"), None);
    let each = |calls: u64| float(calls) / count;
    let reads = each(after.reads - before.reads);
    report.add(place, "store reads per change", (reads, "calls"), None);
    let writes = each(after.writes - before.writes);
    report.add(place, "store writes per change", (writes, "calls"), None);
    let refused = float(after.refused - before.refused);
    report.add(
        place,
        "store calls refused for the rate",
        (refused, "calls"),
        None,
    );
    let seconds = 86_400.0;
    let daily = float_len(CHANGES) / seconds;
    report.add(
        place,
        "reads at the pace of a day",
        (reads * daily, "per s"),
        None,
    );
    report.add(
        place,
        "writes at the pace of a day",
        (writes * daily, "per s"),
        None,
    );
    report.note(
        "the calls of a day's changes include those that the cell makes anyway while the replay lasts, and those of the \
         operator",
    );
    Ok(())
}
