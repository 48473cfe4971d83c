//! The `script` module provides the operators' changes during the demonstration.

use std::time::Duration;

use eyre::{Result, eyre};
use kumquat_local::Deployment;
use kumquat_local::vm::PEPPER;
use kumquat_state::bundle::{CallerKey, Placement};
use kumquat_state::hash;
use kumquat_state::secret::{Key, Pepper};
use reqwest::{Client, StatusCode};
use tokio::time::{Instant, sleep, sleep_until};

use crate::load::{HOT_KEY, Load};

/// Longest time that a change may take until it is in force everywhere.
const LIMIT: Duration = Duration::from_secs(10);

/// What the changes took.
#[derive(Clone, Copy, Debug, Default)]
pub struct Times {
    /// Bundle that takes a data centre out: until in force on every VM.
    pub centre_out: Duration,
    /// Bundle that returns the data centre: until in force on every VM.
    pub centre_back: Duration,
    /// Hot key: from the submission until its new owner answers.
    pub key_moved: Duration,
    /// Withdrawn caller key: from the submission until every entry refuses it.
    pub key_withdrawn: Duration,
}

/// Makes the changes while the load runs and shows the progress.
pub async fn run(deployment: &mut Deployment, load: &Load, length: Duration) -> Result<Times> {
    let begun = Instant::now();
    let at = |percent: u32| begun + length * percent / 100;
    let mut times = Times::default();
    let extra = grant_extra_key(deployment).await?;
    progress(load, "load runs");

    sleep_until(at(20)).await;
    times.centre_out = set_data_centre(deployment, false).await?;
    progress(
        load,
        &format!("data centre out, in force after {:?}", times.centre_out),
    );

    sleep_until(at(45)).await;
    times.centre_back = set_data_centre(deployment, true).await?;
    progress(
        load,
        &format!("data centre back, in force after {:?}", times.centre_back),
    );

    sleep_until(at(65)).await;
    times.key_moved = move_hot_key(deployment).await?;
    progress(load, &format!("hot key moved after {:?}", times.key_moved));

    sleep_until(at(80)).await;
    times.key_withdrawn = withdraw(deployment, &extra).await?;
    progress(
        load,
        &format!(
            "caller key refused everywhere after {:?}",
            times.key_withdrawn
        ),
    );

    sleep_until(at(100)).await;
    progress(load, "load ends");
    Ok(times)
}

fn progress(load: &Load, what: &str) {
    let tally = load.tally();
    println!(
        "{:>8} requests, {:>8} answered, {:>5} refused | {what}",
        tally.requests, tally.answered, tally.refused
    );
}

async fn set_data_centre(deployment: &mut Deployment, active: bool) -> Result<Duration> {
    let begun = Instant::now();
    let version = deployment
        .publish(|bundle| bundle.data_centres[0].active = active)
        .await?;
    deployment.wait_until_in_force(version, LIMIT).await?;
    Ok(begun.elapsed())
}

async fn move_hot_key(deployment: &mut Deployment) -> Result<Duration> {
    let service = deployment
        .bundle
        .services
        .iter()
        .find(|service| service.slots > 0);
    let service = service
        .ok_or_else(|| eyre!("no keyed service"))?
        .name
        .clone();
    let prefix = deployment
        .bundle
        .routes
        .iter()
        .find(|route| route.service == service)
        .map(|route| route.prefix.clone())
        .ok_or_else(|| eyre!("no route to {service}"))?;
    let owner = owner(deployment, &prefix).await?;
    let target = deployment
        .bundle
        .upstreams
        .iter()
        .find(|upstream| {
            upstream.service == service && Some(upstream.name.as_str()) != owner.as_deref()
        })
        .ok_or_else(|| eyre!("{service} has one upstream only"))?
        .name
        .clone();

    let begun = Instant::now();
    let placed = target.clone();
    deployment
        .publish(|bundle| {
            bundle.placements.push(Placement {
                service,
                key: hash::key(HOT_KEY.as_bytes()),
                upstream: placed,
            });
        })
        .await?;
    while begun.elapsed() < LIMIT {
        if self::owner(deployment, &prefix).await?.as_deref() == Some(target.as_str()) {
            return Ok(begun.elapsed());
        }
        sleep(Duration::from_millis(5)).await;
    }
    Err(eyre!(
        "the hot key did not move to {target} within {LIMIT:?}"
    ))
}

/// Returns the upstream that answers for the hot key.
async fn owner(deployment: &Deployment, prefix: &str) -> Result<Option<String>> {
    let entry = deployment.entry(0).ok_or_else(|| eyre!("no entry runs"))?;
    let key = &deployment.keys[0].1;
    let response = Client::builder()
        .no_proxy()
        .build()?
        .get(format!("http://{entry}{prefix}{HOT_KEY}"))
        .bearer_auth(key)
        .send()
        .await?;
    if response.status() != StatusCode::OK {
        return Ok(None);
    }
    let body: serde_json::Value = response.json().await?;
    Ok(body["upstream"].as_str().map(str::to_owned))
}

async fn grant_extra_key(deployment: &mut Deployment) -> Result<String> {
    let key = Key::generate(&mut rand::rng());
    let digest = Pepper::new(PEPPER).digest(&key);
    let version = deployment
        .publish(|bundle| {
            let team = bundle.teams[0].name.clone();
            let name = "key-extra".parse().expect("a valid name");
            bundle.caller_keys.push(CallerKey { digest, name, team });
        })
        .await?;
    deployment.wait_until_in_force(version, LIMIT).await?;
    Ok(key.expose())
}

async fn withdraw(deployment: &mut Deployment, key: &str) -> Result<Duration> {
    let begun = Instant::now();
    deployment
        .publish(|bundle| {
            bundle
                .caller_keys
                .retain(|key| key.name.as_str() != "key-extra");
        })
        .await?;
    let client = Client::builder().no_proxy().build()?;
    let prefix = deployment.bundle.routes[0].prefix.clone();
    for vm in &deployment.vms {
        let Some(entry) = vm.address() else { continue };
        loop {
            let request = client.get(format!("http://{entry}{prefix}withdrawn"));
            let response = request.bearer_auth(key).send().await?;
            if response.status() == StatusCode::UNAUTHORIZED {
                break;
            }
            if begun.elapsed() > LIMIT {
                return Err(eyre!("{} still accepts the withdrawn key", vm.name()));
            }
            sleep(Duration::from_millis(5)).await;
        }
    }
    Ok(begun.elapsed())
}
