//! The `path` module measures what one VM adds to a request, bears per core and needs in memory.
//!
//! The VM, the stand-ins and the load have runtimes of their own, so that the CPU time of the VM's threads, which run
//! both the entry and the dispatch process, can be told from the rest.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use eyre::{Result, eyre};
use kumquat_local::vm::{Vm, loopback};
use kumquat_local::{Deployment, Shape};
use kumquat_standins::observation::Ledger;
use kumquat_standins::upstream::{self, ServiceTime, Upstream};
use kumquat_state::bundle::{self, PriorityClass, RouteAccess, ServiceKind};
use kumquat_state::ledger::RoleName;
use slog::{Discard, Logger, o};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::runtime::{Builder, Runtime};

use crate::cpu;
use crate::load::{Load, Sample, Samples, Shot, micros};
use crate::report::{Bound, Report};
use crate::settings::Settings;
use crate::stats::{curve, float, float_len, millis};

/// Threads of the VM's runtime.
const VM_THREADS: usize = 2;

/// Upstreams of the measured service, and slots of each; far more than the VM can use.
const UPSTREAMS: usize = 4;
const SLOTS: u32 = 256;

/// Open caller connections for the measurement of memory.
const CONNECTIONS: usize = 10_000;

/// Share of requests that have to be answered in time for a rate to count as below saturation.
const ANSWERED: f64 = 0.99;

/// Median latency above which a rate counts as above saturation: the queue of the VM grows.
const SATURATED: f64 = 50.0;

/// Quantiles of the added latency, with the aim for each in milliseconds.
const AIMS: [(f64, &str, f64); 2] = [(0.5, "median", 0.3), (0.99, "p99", 1.0)];

/// Prefix of the measured route.
const PREFIX: &str = "/path/";

struct Bench {
    vm: Runtime,
    load: Runtime,
    /// Keeps the stand-ins running.
    _standins: Runtime,
    upstreams: Vec<Upstream>,
    deployment: Deployment,
    key: Arc<str>,
    role: RoleName,
    seed: u64,
}

/// Runs the measurement.
///
/// # Errors
///
/// Returns an error if the VM can't be started.
pub fn run(settings: &Settings) -> Result<Report> {
    let mut report = Report::new("path", settings, ["percentile", "latency in ms"]);
    let files = cpu::raise_open_files();
    report.note(format!("soft limit of open files: {files}"));
    report.note(format!(
        "all requests enter and are dispatched at one VM; its runtime of {VM_THREADS} threads also runs the store and two \
         idle VMs, which complete the cell, so that the CPU time per request is an upper bound; stand-ins of upstreams \
         and load have other threads"
    ));
    let bench = Bench::open(settings.seed)?;

    let idle = cpu::resident();
    let place = ("one VM", "router");
    report.add(place, "resident memory idle", (mib(idle), "MiB"), None);
    report.note("resident memory is that of the whole process: VM, store, upstreams and load");

    let saturation = saturation(&bench, settings, &mut report);
    added_latency(&bench, settings, saturation / 2.0, &mut report);
    memory(&bench, idle, files, &mut report)?;
    bench.close();
    Ok(report)
}

/// Raises the rate by a tenth each time until answers come late, and returns the highest rate that was served.
fn saturation(bench: &Bench, settings: &Settings, report: &mut Report) -> f64 {
    let length = settings.length(5, 2);
    let mut rate = 2_000.0;
    let mut best = (0.0, 0.0);
    let mut points = Vec::new();
    while rate < 400_000.0 {
        let before = cpu::time_of("vm");
        let begun = Instant::now();
        let samples = bench.load(bench.entry(), rate, length);
        let served = float(samples.count(Sample::is_answered));
        let elapsed = begun.elapsed().as_secs_f64();
        let busy = (cpu::time_of("vm").saturating_sub(before)).as_secs_f64();
        let median = millis(&samples.latencies(|_| true), 0.5);
        let share = served / (float_len(samples.all.len()) + float(samples.overrun));
        let goodput = served / elapsed;
        eprintln!(
            "rate {rate:.0}: served {goodput:.0}/s, share {share:.4}, median {median:.3} ms, {:.2} cores; {}",
            busy / elapsed,
            samples.failures()
        );
        points.push((rate, median));
        if goodput > best.0 {
            best = (goodput, served / busy);
        }
        if share < ANSWERED || median > SATURATED {
            break;
        }
        rate *= if settings.quick { 1.5 } else { 1.1 };
    }
    let place = ("one VM", "router");
    report.add(place, "saturation", (best.0, "req/s"), None);
    let bound = Some(Bound::AtLeast(20_000.0));
    report.add(
        place,
        "requests per second per core",
        (best.1, "req/s"),
        bound,
    );
    for (rate, median) in points {
        let measure = format!("median latency at {rate:.0} req/s");
        report.add(place, &measure, (median, "ms"), None);
    }
    best.0
}

/// Compares requests through the VM with direct calls to the same upstreams at the same rate.
///
/// Rounds of both alternate, and the aim is judged by the median of the differences, so that a disturbance of the machine
/// that falls into one of them decides nothing.
fn added_latency(bench: &Bench, settings: &Settings, rate: f64, report: &mut Report) {
    let length = settings.length(6, 2);
    let warm_up = length / 3;
    let mut all_direct = Samples::default();
    let mut all_routed = Samples::default();
    let mut added = [Vec::new(), Vec::new()];
    for _ in 0..settings.count(9, 3) {
        let direct = bench.load(bench.direct(), rate, length).after(warm_up);
        let routed = bench.load(bench.entry(), rate, length).after(warm_up);
        for ((quantile, _, _), added) in AIMS.into_iter().zip(&mut added) {
            let of = |samples: &Samples| millis(&samples.latencies(|_| true), quantile);
            added.push(of(&routed) - of(&direct));
        }
        all_direct.all.extend(direct.all);
        all_routed.all.extend(routed.all);
    }
    let (direct, routed) = (
        all_direct.latencies(|_| true),
        all_routed.latencies(|_| true),
    );
    let scenario = "half of saturation";
    let place = (scenario, "router");
    for ((quantile, name, aim), mut added) in AIMS.into_iter().zip(added) {
        let low = millis(&direct, quantile);
        report.add((scenario, "direct"), name, (low, "ms"), None);
        report.add(place, name, (millis(&routed, quantile), "ms"), None);
        added.sort_by(f64::total_cmp);
        let measure = format!("added {name}, median of the rounds");
        let bound = Some(Bound::AtMost(aim));
        report.add(place, &measure, (added[added.len() / 2], "ms"), bound);
        let measure = format!("added {name}, highest of the rounds");
        report.add(place, &measure, (added[added.len() - 1], "ms"), None);
    }
    report.add(place, "rate", (rate, "req/s"), None);
    report.curve("direct", curve(&direct));
    report.curve("router", curve(&routed));
}

/// Opens caller connections, sends a request on each and keeps them open.
fn memory(bench: &Bench, idle: u64, files: u64, report: &mut Report) -> Result<()> {
    let before = cpu::resident();
    // Both ends of each connection are in this process.
    let room = usize::try_from(files.saturating_sub(2_000) / 2).unwrap_or(usize::MAX);
    let wanted = CONNECTIONS.min(room);
    let connections = bench.load.block_on(open(bench, wanted))?;
    let after = cpu::resident();
    let place = ("one VM", "router");
    let reached = float_len(connections.len());
    report.add(
        place,
        "open caller connections reached",
        (reached, "conns"),
        None,
    );
    report.add(
        place,
        "resident memory at that number",
        (mib(after), "MiB"),
        None,
    );
    let each = float(after.saturating_sub(before)) / reached.max(1.0) / 1_024.0;
    report.add(place, "memory per connection", (each, "KiB"), None);
    let grown = mib(before.saturating_sub(idle));
    report.add(
        place,
        "memory grown in the load before",
        (grown, "MiB"),
        None,
    );
    report
        .note("the growth in the load holds the observations of the stand-ins and all samples too");
    Ok(())
}

async fn open(bench: &Bench, wanted: usize) -> Result<Vec<TcpStream>> {
    let address = bench.entry();
    let mut connections = Vec::with_capacity(wanted);
    let request = format!(
        "GET {PREFIX}open HTTP/1.1\r\nhost: {address}\r\nauthorization: Bearer {}\r\n\r\n",
        bench.key
    );
    for _ in 0..wanted {
        let Ok(mut stream) = TcpStream::connect(address).await else {
            break;
        };
        stream.write_all(request.as_bytes()).await?;
        let mut begin = [0; 64];
        let length = stream.read(&mut begin).await?;
        if !begin[..length].starts_with(b"HTTP/1.1 200") {
            return Err(eyre!(
                "unexpected answer: {}",
                String::from_utf8_lossy(&begin)
            ));
        }
        connections.push(stream);
    }
    Ok(connections)
}

impl Bench {
    fn open(seed: u64) -> Result<Self> {
        let vm = runtime("vm", VM_THREADS)?;
        let standins = runtime("standins", 3)?;
        let load = runtime("load", 3)?;
        let upstreams = standins.block_on(start_upstreams())?;
        let shape = Shape::small();
        let described: Vec<bundle::Upstream> = upstreams
            .iter()
            .map(|upstream| describe(&shape, upstream))
            .collect::<Result<_>>()?;
        let deployment = vm.block_on(start_vm(&shape, described))?;
        let key = Arc::from(deployment.keys[0].1.as_str());
        let bench = Self {
            vm,
            load,
            _standins: standins,
            upstreams,
            deployment,
            key,
            role: RoleName::Group {
                service: "path".parse()?,
                data_centre: shape.data_centres[0].parse()?,
            },
            seed,
        };
        bench.wait()?;
        Ok(bench)
    }

    /// Returns the entry of the VM that dispatches the measured service, so that one VM does all the work.
    fn entry(&self) -> SocketAddr {
        let ledger = self.deployment.vms[0].entry.as_ref();
        let ledger = ledger.and_then(|entry| entry.config().ledger());
        let vms = self.deployment.vms.iter();
        let holder = ledger.and_then(|ledger| {
            let role = ledger.role(&self.role)?;
            Some(role.holders.first()?.vm.clone())
        });
        let acting = vms
            .filter(|vm| Some(vm.name()) == holder.as_ref())
            .find_map(Vm::address);
        acting.unwrap_or_else(loopback)
    }

    fn direct(&self) -> SocketAddr {
        self.upstreams[0].address()
    }

    /// Waits until the upstreams are warm.
    fn wait(&self) -> Result<()> {
        for _ in 0..50 {
            let samples = self.load(self.entry(), 2_000.0, Duration::from_millis(200));
            if samples.all.iter().all(Sample::is_answered) {
                return Ok(());
            }
        }
        Err(eyre!("the measured service does not answer"))
    }

    fn load(&self, to: SocketAddr, rate: f64, length: Duration) -> Samples {
        let key = Arc::clone(&self.key);
        let handle = self.load.handle().clone();
        let load = Load::spawn(handle, self.seed, rate, length, None, move |_, due| Shot {
            to: Some(to),
            path: format!("{PREFIX}{}", micros(due)),
            key: Some(Arc::clone(&key)),
            ..Shot::default()
        });
        self.load.block_on(load.finish())
    }

    fn close(self) {
        let deployment = self.deployment;
        self.vm.block_on(deployment.stop());
    }
}

fn runtime(name: &str, threads: usize) -> Result<Runtime> {
    Ok(Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()?)
}

async fn start_upstreams() -> Result<Vec<Upstream>> {
    let observations = Ledger::default();
    let mut upstreams = Vec::new();
    for number in 0..UPSTREAMS {
        let options = upstream::Options {
            name: format!("path-{number}"),
            service: "path".to_owned(),
            slots: SLOTS,
            backlog: SLOTS,
            service_time: ServiceTime::Fixed(Duration::ZERO),
            ..upstream::Options::default()
        };
        upstreams.push(upstream::bind(loopback(), options, observations.clone()).await?);
    }
    Ok(upstreams)
}

fn describe(shape: &Shape, upstream: &Upstream) -> Result<bundle::Upstream> {
    Ok(bundle::Upstream {
        name: upstream.name().parse()?,
        address: upstream.address(),
        service: "path".parse()?,
        data_centre: shape.data_centres[0].parse()?,
        slots: SLOTS,
        cold_slots: SLOTS,
        cold_step: 1,
        connections: SLOTS,
        checks_grants: false,
        state: bundle::UpstreamState::Active,
    })
}

async fn start_vm(shape: &Shape, upstreams: Vec<bundle::Upstream>) -> Result<Deployment> {
    let log = Logger::root(Discard, o!());
    let mut deployment = Deployment::open(shape, &log).await?;
    let service: kumquat_state::ident::Service = "path".parse()?;
    let data_centre = shape.data_centres[0].parse()?;
    let version = deployment
        .publish(|bundle| {
            bundle.services.push(bundle::Service {
                name: service.clone(),
                kind: ServiceKind::Pool,
                slots: 0,
                deadline: Duration::from_secs(2),
                data_centres: vec![data_centre],
            });
            bundle.routes.push(bundle::Route {
                prefix: PREFIX.to_owned(),
                service,
                class: PriorityClass::Ordinary,
                access: RouteAccess::Open,
                idempotent: true,
            });
            bundle.upstreams.extend(upstreams);
            for team in &mut bundle.teams {
                team.rate = 1_000_000;
                team.burst = 1_000_000;
            }
        })
        .await?;
    deployment
        .wait_until_in_force(version, Duration::from_secs(10))
        .await?;
    Ok(deployment)
}

fn mib(bytes: u64) -> f64 {
    float(bytes) / f64::from(1 << 20)
}
