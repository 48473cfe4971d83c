//! Runs one stand-in of an outside system until it is interrupted.

use std::net::SocketAddr;
use std::time::Duration;

use clap::{Args, Parser, Subcommand};
use eyre::{Result, WrapErr, eyre};
use kumquat_standins::list::{self, State, Vm};
use kumquat_standins::observation::Ledger;
use kumquat_standins::store;
use kumquat_standins::upstream::{self, ServiceTime};

#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Stand-ins of the outside systems that kumquatpond talks to.
#[derive(Debug, Parser)]
#[command(version)]
struct Arguments {
    #[command(subcommand)]
    system: System,
}

#[derive(Debug, Subcommand)]
enum System {
    /// The platform's key-value store.
    Store {
        /// Address to bind.
        #[arg(long)]
        listen: SocketAddr,
    },
    /// The platform's list of VMs.
    List {
        /// Address to bind.
        #[arg(long)]
        listen: SocketAddr,
        /// A live VM, as NAME,ADDRESS,DATA-CENTRE; may be repeated.
        #[arg(long, value_parser = parse_vm)]
        vm: Vec<Vm>,
        /// Time in milliseconds after which changes show.
        #[arg(long, default_value_t = 0)]
        lag_ms: u64,
    },
    /// A server that owns keys.
    Upstream(Upstream),
}

#[derive(Debug, Args)]
struct Upstream {
    /// Address to bind.
    #[arg(long)]
    listen: SocketAddr,
    /// Name of the upstream.
    #[arg(long)]
    name: String,
    /// Service that it answers.
    #[arg(long)]
    service: String,
    /// Requests that it runs at once.
    #[arg(long, default_value_t = 2)]
    slots: u32,
    /// Mean service time in milliseconds, exponentially distributed.
    #[arg(long, default_value_t = 5)]
    service_ms: u64,
    /// Slots of the key space; 0 for pool services.
    #[arg(long, default_value_t = 0)]
    key_slots: u32,
    /// Checks fencing tokens, boot ids and grants.
    #[arg(long)]
    checks_grants: bool,
    /// Starts cold.
    #[arg(long)]
    cold: bool,
    /// Seed of the service times and boot ids.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

#[tokio::main]
async fn main() -> Result<()> {
    match Arguments::parse().system {
        System::Store { listen } => {
            let store = store::bind(listen, store::Options::default()).await?;
            interrupted(store.address()).await?;
            store.stop().await;
        }
        System::List { listen, vm, lag_ms } => {
            let list = list::bind(listen, vm, Duration::from_millis(lag_ms)).await?;
            interrupted(list.address()).await?;
            list.stop().await;
        }
        System::Upstream(upstream) => run(upstream).await?,
    }
    Ok(())
}

async fn run(arguments: Upstream) -> Result<()> {
    let mean = Duration::from_millis(arguments.service_ms);
    let options = upstream::Options {
        name: arguments.name,
        service: arguments.service,
        slots: arguments.slots,
        key_slots: arguments.key_slots,
        checks_grants: arguments.checks_grants,
        starts_cold: arguments.cold,
        service_time: ServiceTime::Exponential(mean),
        seed: arguments.seed,
        ..upstream::Options::default()
    };
    let ledger = Ledger::default();
    let upstream = upstream::bind(arguments.listen, options, ledger.clone()).await?;
    interrupted(upstream.address()).await?;
    upstream.stop().await;
    println!("{:#?}", ledger.report());
    Ok(())
}

/// Tells the bound address and waits for an interrupt.
async fn interrupted(address: SocketAddr) -> Result<()> {
    println!("listening on {address}");
    tokio::signal::ctrl_c()
        .await
        .wrap_err("cannot wait for an interrupt")
}

fn parse_vm(text: &str) -> Result<Vm> {
    let mut parts = text.split(',');
    let (Some(vm), Some(address), Some(data_centre), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(eyre!("expected NAME,ADDRESS,DATA-CENTRE"));
    };
    Ok(Vm {
        vm: vm.parse()?,
        address: address.parse()?,
        data_centre: data_centre.parse()?,
        state: State::Live,
    })
}
