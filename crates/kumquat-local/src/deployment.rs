//! The `deployment` module provides a running local deployment.

use std::net::SocketAddr;
use std::ops::Range;
use std::time::Duration;

use eyre::{Result, bail, eyre};
use slog::Logger;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use kumquat_standins::observation::{Ledger as Observations, Rate};
use kumquat_standins::store::{self, Store};
use kumquat_standins::upstream::{self, ServiceTime, Upstream};
use kumquat_state::bundle::{self, Bundle};
use kumquat_state::clock;
use kumquat_state::ident::{self, Version};
use kumquat_state::secret::{Key, Pepper};

use crate::network::Network;
use crate::operator::Operator;
use crate::shape::{self, Shape};
use crate::vm::{Options, PEPPER, Vm, loopback};

/// Slots of the key space of a keyed service.
const KEY_SLOTS: u32 = 1_024;

/// Ports of dispatch processes, below those that systems hand out for outgoing connections.
const RESERVED_PORTS: Range<u16> = 10_000..30_000;

/// Attempts to find a free port.
const RESERVE_TRIES: u32 = 100;

/// Means of a deployment to make its processes fail.
#[derive(Clone, Copy, Debug, Default)]
pub struct Setup {
    /// Whether each process has a runtime of its own, so that it can be paused and killed.
    pub separate: bool,
    /// Whether the links between VMs lead through forwarders, so that they can be cut.
    pub switched: bool,
    /// Number of VMs, the last ones, that are known to the others but do not run yet.
    pub late: usize,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The upstreams, in the order of the shape.
    pub upstreams: Vec<Upstream>,
    /// What the upstreams saw.
    pub observations: Observations,
    /// The VMs.
    pub vms: Vec<Vm>,
    /// The links between the VMs, if the setup asks for them.
    pub network: Network,
    /// The operator.
    pub operator: Operator,
    /// The bundle that was submitted last.
    pub bundle: Bundle,
    /// Caller keys, one per team, in the order of the teams.
    pub keys: Vec<(String, String)>,
}

impl Deployment {
    /// Starts all processes and waits until they serve.
    ///
    /// # Errors
    ///
    /// Returns an error if something can't be started or does not serve in time.
    pub async fn open(shape: &Shape, log: &Logger) -> Result<Self> {
        Self::open_with(shape, Setup::default(), log).await
    }

    /// Starts all processes with the means of this setup to make them fail, and waits until they serve.
    ///
    /// # Errors
    ///
    /// Returns an error if something can't be started or does not serve in time.
    pub async fn open_with(shape: &Shape, setup: Setup, log: &Logger) -> Result<Self> {
        let store = store::bind(loopback(), store::Options::default()).await?;
        let observations = Observations::new(clock::now());
        let mut bundle = skeleton(shape)?;
        let keys = grant_keys(shape, &mut bundle)?;
        let mut upstreams = Vec::new();
        for service in &shape.services {
            for number in 0..service.upstreams {
                let upstream = start_upstream(shape, service, number, &observations).await?;
                bundle
                    .upstreams
                    .push(describe(shape, service, number, &upstream)?);
                upstreams.push(upstream);
            }
        }
        bundle.sort();
        let rates: Vec<Rate> = shape
            .teams
            .iter()
            .map(|team| Rate {
                team: team.name.to_owned(),
                rate: team.rate,
                burst: team.burst,
            })
            .collect();
        observations.set_rates(&rates, clock::now());
        for (_, key) in &keys {
            observations.register_secret(key);
        }

        let operator = Operator::open(&store.url())?;
        operator.submit(&bundle).await?;
        let (vms, network) = start_vms(shape, setup, &store, &operator, log).await?;
        let deployment = Self {
            store,
            upstreams,
            observations,
            vms,
            network,
            operator,
            bundle,
            keys,
        };
        deployment
            .wait_until_serving(Duration::from_secs(20))
            .await?;
        Ok(deployment)
    }

    /// Changes the bundle and submits the next version.
    ///
    /// # Errors
    ///
    /// Returns an error if the bundle was not accepted.
    pub async fn publish(&mut self, change: impl FnOnce(&mut Bundle)) -> Result<Version> {
        let mut next = self.bundle.clone();
        change(&mut next);
        next.version = Version(next.version.0 + 1);
        next.sort();
        self.operator.submit(&next).await?;
        self.bundle = next;
        Ok(self.bundle.version)
    }

    /// Waits until all running entries have a bundle version in force.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes longer than `limit`.
    pub async fn wait_until_in_force(&self, version: Version, limit: Duration) -> Result<Duration> {
        let begun = Instant::now();
        loop {
            let in_force = self.vms.iter().all(|vm| {
                vm.entry.as_ref().is_none_or(|entry| {
                    entry
                        .config()
                        .bundle()
                        .is_some_and(|bundle| bundle.version >= version)
                })
            });
            if in_force {
                return Ok(begun.elapsed());
            }
            if begun.elapsed() > limit {
                bail!("bundle {version} is not in force after {limit:?}");
            }
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// Returns the addresses of all entries that run.
    #[must_use]
    pub fn entries(&self) -> Vec<SocketAddr> {
        self.vms.iter().filter_map(Vm::address).collect()
    }

    /// Returns the address of the entry of a VM that serves callers.
    #[must_use]
    pub fn entry(&self, number: usize) -> Option<SocketAddr> {
        let running = self.entries();
        running.get(number % running.len().max(1)).copied()
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn upstream(&self, name: &str) -> Option<&Upstream> {
        self.upstreams
            .iter()
            .find(|upstream| upstream.name() == name)
    }

    /// Stops everything; requests that are running are still answered.
    ///
    /// There is nobody left to hand roles over to, so the dispatch processes end at once.
    pub async fn stop(mut self) {
        for vm in &mut self.vms {
            vm.stop_entry().await;
        }
        for vm in &mut self.vms {
            vm.kill_dispatch();
        }
        for upstream in self.upstreams {
            upstream.stop().await;
        }
        self.store.stop().await;
    }

    /// Waits until every service answers through every entry.
    async fn wait_until_serving(&self, limit: Duration) -> Result<()> {
        let begun = Instant::now();
        let client = reqwest::Client::builder().no_proxy().build()?;
        let Some((_, key)) = self.keys.first() else {
            return Ok(());
        };
        for vm in &self.vms {
            let Some(address) = vm.address() else {
                continue;
            };
            for route in &self.bundle.routes {
                let url = format!("http://{address}{}probe", route.prefix);
                loop {
                    let response = client.get(&url).bearer_auth(key).send().await?;
                    if response.status().is_success() {
                        break;
                    }
                    if begun.elapsed() > limit {
                        let status = response.status();
                        bail!("{url} answers {status}: {}", response.text().await?);
                    }
                    sleep(Duration::from_millis(20)).await;
                }
            }
        }
        Ok(())
    }
}

fn skeleton(shape: &Shape) -> Result<Bundle> {
    let mut bundle = Bundle {
        version: Version(1),
        ..Bundle::default()
    };
    for name in &shape.data_centres {
        bundle.data_centres.push(bundle::DataCentre {
            name: name.parse()?,
            active: true,
        });
    }
    for team in &shape.teams {
        bundle.teams.push(bundle::Team {
            name: team.name.parse()?,
            rate: team.rate,
            burst: team.burst,
            weight: 1,
        });
    }
    for service in &shape.services {
        let data_centres = shape.data_centres.iter().map(|name| name.parse());
        bundle.services.push(bundle::Service {
            name: service.name.parse()?,
            kind: service.kind,
            slots: match service.kind {
                bundle::ServiceKind::Keyed => KEY_SLOTS,
                bundle::ServiceKind::Pool => 0,
            },
            deadline: service.deadline,
            data_centres: data_centres.collect::<Result<_, _>>()?,
        });
        bundle.routes.push(bundle::Route {
            prefix: service.prefix.to_owned(),
            service: service.name.parse()?,
            class: service.class,
            access: service.access,
            idempotent: service.idempotent,
        });
    }
    Ok(bundle)
}

fn grant_keys(shape: &Shape, bundle: &mut Bundle) -> Result<Vec<(String, String)>> {
    let pepper = Pepper::new(PEPPER);
    let mut keys = Vec::new();
    for team in &shape.teams {
        let key = Key::generate(&mut rand::rng());
        bundle.caller_keys.push(bundle::CallerKey {
            digest: pepper.digest(&key),
            name: format!("key-{}", team.name).parse()?,
            team: team.name.parse()?,
        });
        keys.push((team.name.to_owned(), key.expose()));
    }
    Ok(keys)
}

async fn start_upstream(
    shape: &Shape,
    service: &shape::Service,
    number: usize,
    observations: &Observations,
) -> Result<Upstream> {
    let keyed = service.kind == bundle::ServiceKind::Keyed;
    let options = upstream::Options {
        name: upstream_name(service, number),
        service: service.name.to_owned(),
        slots: service.slots,
        backlog: 2,
        service_time: ServiceTime::Exponential(service.service_time),
        seed: number as u64 + 1,
        key_slots: if keyed { KEY_SLOTS } else { 0 },
        checks_grants: keyed && service.checks_grants,
        starts_cold: shape.starts_cold,
        ..upstream::Options::default()
    };
    Ok(upstream::bind(loopback(), options, observations.clone()).await?)
}

fn describe(
    shape: &Shape,
    service: &shape::Service,
    number: usize,
    upstream: &Upstream,
) -> Result<bundle::Upstream> {
    Ok(bundle::Upstream {
        name: upstream_name(service, number).parse()?,
        address: upstream.address(),
        service: service.name.parse()?,
        data_centre: shape.data_centres[number % shape.data_centres.len()].parse()?,
        slots: service.slots,
        cold_slots: 1,
        cold_step: 8,
        connections: service.connections,
        checks_grants: service.kind == bundle::ServiceKind::Keyed && service.checks_grants,
        state: bundle::UpstreamState::Active,
    })
}

fn upstream_name(service: &shape::Service, number: usize) -> String {
    format!("{}-{:02}", service.name, number + 1)
}

/// Binds a port that the system gives to nobody else, so that it is still free when a killed process starts again.
async fn reserve() -> Result<TcpListener> {
    let mut bound = Err(eyre!("no port was tried"));
    for _ in 0..RESERVE_TRIES {
        let port = rand::random_range(RESERVED_PORTS);
        match TcpListener::bind((loopback().ip(), port)).await {
            Ok(listener) => return Ok(listener),
            Err(error) => bound = Err(error.into()),
        }
    }
    bound
}

async fn start_vms(
    shape: &Shape,
    setup: Setup,
    store: &Store,
    operator: &Operator,
    log: &Logger,
) -> Result<(Vec<Vm>, Network)> {
    // The peers have to be known before any of them starts, so the ports are found first.
    let mut peers: Vec<(ident::Vm, SocketAddr)> = Vec::new();
    let mut reserved = Vec::new();
    for number in 0..shape.vms {
        let listener = reserve().await?;
        peers.push((
            format!("vm-{}", number + 1).parse()?,
            listener.local_addr()?,
        ));
        reserved.push(listener);
    }
    let network = if setup.switched {
        Network::open(&peers).await?
    } else {
        Network::default()
    };
    drop(reserved);
    let mut vms = Vec::new();
    for (number, (name, dispatch)) in peers.iter().enumerate() {
        let centre = shape.data_centres[number % shape.data_centres.len()];
        let options = Options {
            name: name.clone(),
            data_centre: centre.parse()?,
            dispatch: *dispatch,
            advertise: network.advertised(number),
            separate: setup.separate,
            peers: network.peers(number, &peers),
            store: store.url(),
            list: None,
            trust: operator.trust()?,
            log: log.new(slog::o!("vm" => name.as_str().to_owned())),
        };
        let mut vm = Vm::new(options);
        if number + setup.late < shape.vms {
            vm.start().await?;
        }
        vms.push(vm);
    }
    Ok((vms, network))
}
