//! The `unavailable` module takes owners, dispatching VMs and the store away and measures how long keys wait.

use std::sync::Arc;
use std::time::Duration;

use eyre::{Result, eyre};
use kumquat_local::{Deployment, Shape};
use kumquat_state::bundle::UpstreamState;
use kumquat_state::ledger::RoleName;
use rand::RngExt;
use slog::{Discard, Logger, o};
use tokio::runtime::Handle;
use tokio::time::{Instant, sleep, sleep_until};

use super::probe::longest_wait;
use crate::load::{Load, Samples, Shot, client, micros};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{collect, curve, float, float_len, millis};

/// Keys that are probed at most, and their requests per second.
const PROBED: usize = 20;
const RATE: f64 = 25.0;

/// Keys among which those of one owner are searched.
const SEARCHED: usize = 600;

/// Prefix of the keyed service; it is the first of the shape.
const PREFIX: &str = "/repairs/";

/// Time for which probes go on after an event.
const AFTER: Duration = Duration::from_secs(6);

/// Time for which probes run before an event.
const BEFORE: Duration = Duration::from_secs(1);

/// What happens to the owner or around it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Event {
    /// Nothing happens: shows the resolution of the measurement.
    Nothing,
    OwnerDies,
    OwnerFreezes,
    VmDies,
    PlannedMove,
    StoreOutage,
}

/// What the rounds of one event showed.
#[derive(Debug, Default)]
struct Outcome {
    /// Longest wait of each key.
    waits: Vec<Duration>,
    /// Keys that were not served again.
    lost: u64,
    /// Requests that were not answered.
    failed: u64,
}

struct Cell {
    deployment: Deployment,
    settings: Settings,
    outage: Duration,
}

/// Runs all events on one deployment.
pub async fn run(settings: &Settings, outage: Duration, report: &mut Report) -> Result<()> {
    let mut shape = Shape::port_louis();
    // All probes go to one upstream, which must not be the bottleneck.
    shape.services[0].service_time = Duration::ZERO;
    let deployment = Deployment::open(&shape, &Logger::root(Discard, o!())).await?;
    let mut cell = Cell {
        deployment,
        settings: settings.clone(),
        outage,
    };
    let rounds = settings.count(4, 1);
    let events = [
        (Event::Nothing, "no event", 1, None),
        (Event::PlannedMove, "planned move", rounds, Some(50.0)),
        (Event::VmDies, "dispatching VM dies", rounds, Some(2_000.0)),
        (Event::StoreOutage, "store outage", 1, None),
        (Event::OwnerFreezes, "owner freezes", 1, Some(2_000.0)),
        (Event::OwnerDies, "owner dies", rounds, Some(2_000.0)),
    ];
    for (event, name, rounds, aim) in events {
        let mut outcome = Outcome::default();
        for _ in 0..rounds {
            cell.round(event, &mut outcome).await?;
        }
        add(name, &outcome, aim, report);
        if event == Event::StoreOutage {
            let place = (name, "router");
            let bound = Some(Bound::AtMost(0.0));
            let failed = float(outcome.failed);
            report.add(place, "requests not answered", (failed, "req"), bound);
        }
    }
    let seen = cell.deployment.observations.report();
    let violations = seen.wrong_owner + seen.ran_twice + seen.false_not_run + seen.over_rate;
    let bound = Some(Bound::AtMost(0.0));
    let place = ("all events", "router");
    report.add(place, "violations", (float(violations), "req"), bound);
    for detail in &seen.details {
        report.note(detail.clone());
    }
    cell.deployment.stop().await;
    Ok(())
}

fn add(name: &str, outcome: &Outcome, aim: Option<f64>, report: &mut Report) {
    let Outcome { waits, lost, .. } = outcome;
    let histogram = collect(waits.iter().map(|wait| micros(*wait)));
    let place = (name, "router");
    let bound = aim.map(Bound::AtMost);
    report.add(place, "keys", (float_len(waits.len()), "keys"), None);
    let p50 = millis(&histogram, 0.5);
    report.add(place, "unavailable median", (p50, "ms"), None);
    let p99 = millis(&histogram, 0.99);
    report.add(place, "unavailable p99", (p99, "ms"), bound);
    report.add(
        place,
        "unavailable maximum",
        (millis(&histogram, 1.0), "ms"),
        None,
    );
    let bound = Some(Bound::AtMost(0.0));
    report.add(
        place,
        "keys not served again",
        (float(*lost), "keys"),
        bound,
    );
    report.curve(name, curve(&histogram));
}

impl Cell {
    /// Probes the keys of one owner while the event happens.
    async fn round(&mut self, event: Event, outcome: &mut Outcome) -> Result<()> {
        let (owner, keys) = self.keys_of_one_owner().await?;
        let vm = self.dispatching_vm(&owner)?;
        let during = if event == Event::StoreOutage {
            self.outage
        } else {
            Duration::ZERO
        };
        let length = BEFORE + during + AFTER;
        let load = self.probe(&keys, (event == Event::VmDies).then_some(vm), length);
        let begun = Instant::from_std(load.begun);
        sleep_until(begun + BEFORE).await;
        self.cause(event, &owner, vm).await?;
        let samples = load.finish().await;
        self.recover(event, &owner, vm).await?;
        eprintln!("{event:?} of {owner}: {}", samples.failures());
        outcome.failed += samples.count(|sample| !sample.is_answered());
        for key in 0..keys.len() {
            match longest_wait(&before_end(&samples, length), key, BEFORE / 2) {
                Some(wait) => outcome.waits.push(wait),
                None => outcome.lost += 1,
            }
        }
        Ok(())
    }

    async fn cause(&mut self, event: Event, owner: &str, vm: usize) -> Result<()> {
        match event {
            Event::Nothing => {}
            Event::OwnerDies => {
                let upstreams = &mut self.deployment.upstreams;
                let place = upstreams
                    .iter()
                    .position(|upstream| upstream.name() == owner);
                let place = place.ok_or_else(|| eyre!("no upstream {owner}"))?;
                upstreams.remove(place).stop().await;
            }
            Event::OwnerFreezes => {
                if let Some(upstream) = self.deployment.upstream(owner) {
                    upstream.freeze();
                }
            }
            Event::VmDies => self.deployment.vms[vm].kill_dispatch(),
            Event::PlannedMove => self.set_state(owner, UpstreamState::Draining).await?,
            Event::StoreOutage => {
                let store = &self.deployment.store;
                store.set_faults(|faults| faults.outage = true);
                sleep(self.outage).await;
                store.set_faults(|faults| faults.outage = false);
            }
        }
        Ok(())
    }

    async fn recover(&mut self, event: Event, owner: &str, vm: usize) -> Result<()> {
        match event {
            Event::OwnerFreezes => {
                if let Some(upstream) = self.deployment.upstream(owner) {
                    upstream.unfreeze();
                }
            }
            Event::VmDies => {
                // The entry is replaced too, as on a VM that is replaced as a whole.
                self.deployment.vms[vm].stop_entry().await;
                self.deployment.vms[vm].start().await?;
            }
            Event::PlannedMove => self.set_state(owner, UpstreamState::Active).await?,
            Event::Nothing | Event::OwnerDies | Event::StoreOutage => {}
        }
        // The cell needs time to take back a VM or an upstream.
        sleep(AFTER).await;
        Ok(())
    }

    async fn set_state(&mut self, owner: &str, state: UpstreamState) -> Result<()> {
        self.deployment
            .publish(|bundle| {
                let mut upstreams = bundle.upstreams.iter_mut();
                if let Some(upstream) = upstreams.find(|one| one.name.as_str() == owner) {
                    upstream.state = state;
                }
            })
            .await?;
        Ok(())
    }

    /// Asks for the owners of many keys and returns the one with the most, and its keys.
    async fn keys_of_one_owner(&self) -> Result<(String, Vec<String>)> {
        let client = client();
        let entry = self.deployment.entry(0).ok_or_else(|| eyre!("no entry"))?;
        let mut owners: Vec<(String, Vec<String>)> = Vec::new();
        for number in 0..SEARCHED {
            let key = format!("k{number}");
            let url = format!("http://{entry}{PREFIX}{key}");
            let request = client.get(url).bearer_auth(&self.deployment.keys[0].1);
            let Ok(body) = request.send().await?.json::<serde_json::Value>().await else {
                continue;
            };
            let Some(owner) = body["upstream"].as_str() else {
                continue;
            };
            match owners.iter_mut().find(|(name, _)| name == owner) {
                Some((_, keys)) => keys.push(key),
                None => owners.push((owner.to_owned(), vec![key])),
            }
        }
        let most = owners.into_iter().max_by_key(|(_, keys)| keys.len());
        let (owner, mut keys) = most.ok_or_else(|| eyre!("no key has an owner"))?;
        keys.truncate(PROBED);
        Ok((owner, keys))
    }

    /// Returns the number of the VM that dispatches to the upstream.
    fn dispatching_vm(&self, owner: &str) -> Result<usize> {
        let bundle = &self.deployment.bundle;
        let upstream = bundle
            .upstreams
            .iter()
            .find(|one| one.name.as_str() == owner);
        let upstream = upstream.ok_or_else(|| eyre!("no upstream {owner}"))?;
        let entries = self
            .deployment
            .vms
            .iter()
            .filter_map(|vm| vm.entry.as_ref());
        let ledgers = entries.filter_map(|entry| entry.config().ledger());
        let ledger = ledgers.max_by_key(|ledger| ledger.revision);
        let ledger = ledger.ok_or_else(|| eyre!("no ledger"))?;
        let role = ledger.role(&RoleName::Group {
            service: upstream.service.clone(),
            data_centre: upstream.data_centre.clone(),
        });
        let holder = role.and_then(|role| role.holders.first());
        let holder = holder.ok_or_else(|| eyre!("no holder"))?;
        let place = self
            .deployment
            .vms
            .iter()
            .position(|vm| *vm.name() == holder.vm);
        place.ok_or_else(|| eyre!("{} does not run", holder.vm))
    }

    /// Probes the keys through all entries but that of a VM that is about to die.
    fn probe(&self, keys: &[String], without: Option<usize>, length: Duration) -> Load {
        let vms = self.deployment.vms.iter().enumerate();
        let entries: Vec<_> = vms
            .filter(|(number, _)| Some(*number) != without)
            .filter_map(|(_, vm)| vm.address())
            .collect();
        let keys = keys.to_vec();
        let caller: Arc<str> = Arc::from(self.deployment.keys[0].1.as_str());
        let rate = RATE * float_len(keys.len());
        let observations = Some(self.deployment.observations.clone());
        let seed = self.settings.seed;
        let handle = Handle::current();
        Load::spawn(
            handle,
            seed,
            rate,
            length,
            observations,
            move |random, _| {
                let tag = random.random_range(0..keys.len());
                Shot {
                    to: Some(entries[random.random_range(0..entries.len())]),
                    path: format!("{PREFIX}{}", keys[tag]),
                    key: Some(Arc::clone(&caller)),
                    tag,
                    ..Shot::default()
                }
            },
        )
    }
}

/// Drops the probes of the last second, after which nothing may have been answered for want of probes.
fn before_end(samples: &Samples, length: Duration) -> Samples {
    let end = length.saturating_sub(Duration::from_secs(1));
    let mut samples = samples.clone();
    samples
        .all
        .retain(|sample| sample.at < end || sample.is_answered());
    samples
}
