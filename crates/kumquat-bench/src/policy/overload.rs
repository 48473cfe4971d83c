//! The `overload` module offers a pool one and a half times what it bears, a part of it urgent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::Result;
use kumquat_state::bundle::{PriorityClass, Route, RouteAccess};
use rand::RngExt;
use tokio::runtime::Handle;
use tokio::task::JoinSet;

use super::live::{LIMIT, Live};
use crate::load::{Load, Shot, client};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{curve, float, millis, ratio};

const FACTOR: f64 = 1.5;

/// Share of urgent requests.
const URGENT: f64 = 0.3;

/// Route to the pool for urgent requests.
const PREFIX: &str = "/overload-urgent/";

/// Number of the service: the first pool.
const SERVICE: usize = 1;

/// Measures the capacity with direct calls that keep all slots busy, then the overload through the router.
pub async fn run(settings: &Settings, live: &mut Live, report: &mut Report) -> Result<()> {
    add_route(live).await?;
    let length = settings.length(30, 6);
    let scenario = format!("{} {FACTOR} of capacity", live.firm);
    let capacity = capacity(live, length / 2).await;
    report.add((&scenario, "direct"), "capacity", (capacity, "req/s"), None);

    let warm_up = length / 5;
    let samples = overload(live, capacity * FACTOR, length).finish().await;
    // Requests that were planned in time but ended after the load would count for a longer time than was measured.
    let window = |at: Duration| (warm_up..length).contains(&at);
    let good = samples.count(|one| one.is_answered() && window(one.at + one.latency));
    let goodput = float(good) / length.saturating_sub(warm_up).as_secs_f64() / capacity;
    let samples = samples.after(warm_up);
    let urgent = samples.count(|one| one.tag == 1);
    let in_time = samples.count(|one| one.tag == 1 && one.is_answered());
    let place = (scenario.as_str(), "router");
    let bound = Some(Bound::AtLeast(0.95));
    report.add(place, "goodput of capacity", (goodput, "part"), bound);
    let value = ratio(float(in_time), float(urgent));
    let bound = Some(Bound::AtLeast(0.999));
    report.add(place, "urgent in time", (value, "part"), bound);
    for (name, tag) in [("urgent", 1), ("ordinary", 0)] {
        let latencies = samples.latencies(|one| one.tag == tag);
        let p99 = millis(&latencies, 0.99);
        report.add(place, &format!("{name} p99"), (p99, "ms"), None);
        report.curve(format!("{scenario}, {name}"), curve(&latencies));
    }
    report.note(format!("{scenario}: {}", samples.failures()));
    Ok(())
}

async fn add_route(live: &mut Live) -> Result<()> {
    let service = live.shape.services[SERVICE].name.parse()?;
    let deployment = &mut live.deployment;
    let version = deployment
        .publish(|bundle| {
            bundle.routes.push(Route {
                prefix: PREFIX.to_owned(),
                service,
                class: PriorityClass::Urgent,
                access: RouteAccess::Open,
                idempotent: true,
            });
        })
        .await?;
    deployment.wait_until_in_force(version, LIMIT).await?;
    Ok(())
}

/// Keeps as many direct calls running as the pool has slots, and returns the answers per second.
async fn capacity(live: &Live, length: Duration) -> f64 {
    let name = live.shape.services[SERVICE].name;
    let slots = live.shape.services[SERVICE].slots;
    let upstreams = live.deployment.upstreams.iter();
    let mut running = JoinSet::new();
    for upstream in upstreams.filter(|upstream| upstream.name().starts_with(name)) {
        for _ in 0..slots {
            running.spawn(call_until(upstream.address(), Instant::now() + length));
        }
    }
    let answered: u64 = running.join_all().await.into_iter().sum();
    float(answered) / length.as_secs_f64()
}

async fn call_until(address: SocketAddr, end: Instant) -> u64 {
    let client = client();
    let mut answered = 0;
    while Instant::now() < end {
        let request = client.get(format!("http://{address}/direct"));
        // Direct calls carry no id, so the stand-ins must not take them for one request that runs again and again.
        let request = request.header("kumquat-idempotent", "true");
        if let Ok(response) = request.send().await {
            answered += u64::from(response.status().is_success());
        }
    }
    answered
}

fn overload(live: &Live, rate: f64, length: Duration) -> Load {
    let entries = live.entries();
    let keys = live.keys();
    let ordinary = live.shape.services[SERVICE].prefix;
    let observations = Some(live.deployment.observations.clone());
    let handle = Handle::current();
    Load::spawn(
        handle,
        live.seed,
        rate,
        length,
        observations,
        move |random, _| {
            let is_urgent = random.random_bool(URGENT);
            let team = random.random_range(0..keys.len());
            Shot {
                to: Some(entries[random.random_range(0..entries.len())]),
                path: format!("{}work", if is_urgent { PREFIX } else { ordinary }),
                key: Some(Arc::clone(&keys[team])),
                post: false,
                tag: usize::from(is_urgent),
                team,
            }
        },
    )
}
