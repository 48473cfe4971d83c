//! The `vm` module provides one VM of a local deployment: an entry and a dispatch process.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::Result;
use slog::Logger;
use tokio::time::{Instant, sleep};

use kumquat_dispatch::platform;
use kumquat_dispatch::server::{self as dispatch, Dispatch};
use kumquat_entry::gateway::Limits;
use kumquat_entry::server::{self as entry, Entry};
use kumquat_protocol::handshake::{Identity, Program, Secret};
use kumquat_state::bundle::envelope::TrustList;
use kumquat_state::ident::{DataCentre, Incarnation, Vm as Name};
use kumquat_state::secret::Pepper;
use kumquat_transport::link;

use crate::host::Host;

/// Secret of the cell of a local deployment.
pub const CELL: [u8; 32] = [7; 32];

/// Digest secret of a local deployment.
pub const PEPPER: [u8; 32] = [9; 32];

/// Longest time for which a planned stop waits.
const DRAIN: Duration = Duration::from_secs(5);

/// Time within which the address of a killed process has to be free again.
const REBIND: Duration = Duration::from_secs(5);

/// Time between two attempts to bind an address.
const REBIND_POLL: Duration = Duration::from_millis(20);

/// What the processes of a VM need to start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Name of the VM.
    pub name: Name,
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address of its dispatch process.
    pub dispatch: SocketAddr,
    /// Address under which others reach the dispatch process, if it differs.
    pub advertise: Option<SocketAddr>,
    /// Whether each process has a runtime of its own, so that it can be paused and killed.
    pub separate: bool,
    /// All VMs with the addresses of their dispatch processes.
    pub peers: Vec<(Name, SocketAddr)>,
    /// Base URL of the store.
    pub store: String,
    /// Base URL of the list of VMs, if there is one.
    pub list: Option<String>,
    /// Keys by which bundles have to be signed.
    pub trust: TrustList,
    /// Log.
    pub log: Logger,
}

/// A VM with its processes, as far as they run.
#[derive(Debug)]
pub struct Vm {
    options: Options,
    entry_host: Host,
    dispatch_host: Host,
    /// The entry process.
    pub entry: Option<Entry<entry::Running>>,
    /// The dispatch process.
    pub dispatch: Option<Dispatch<dispatch::Running>>,
}

impl Vm {
    /// Starts both processes.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn open(options: Options) -> Result<Self> {
        let mut vm = Self::new(options);
        vm.start().await?;
        Ok(vm)
    }

    /// Creates a VM whose processes do not run yet.
    #[must_use]
    pub const fn new(options: Options) -> Self {
        Self {
            options,
            entry_host: Host::shared(),
            dispatch_host: Host::shared(),
            entry: None,
            dispatch: None,
        }
    }

    /// Starts the processes that do not run.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn start(&mut self) -> Result<()> {
        if self.dispatch.is_none() {
            self.dispatch_host = self.host("dispatch")?;
            self.dispatch = Some(self.bind_dispatch().await?);
        }
        if self.entry.is_none() {
            self.entry_host = self.host("entry")?;
            let options = self.entry_options();
            self.entry = Some(self.entry_host.run(Entry::bind(options)).await??);
        }
        Ok(())
    }

    fn host(&self, name: &str) -> Result<Host> {
        if self.options.separate {
            Host::separate(name)
        } else {
            Ok(Host::shared())
        }
    }

    async fn bind_dispatch(&self) -> Result<Dispatch<dispatch::Running>> {
        let begun = Instant::now();
        loop {
            let bound = self
                .dispatch_host
                .run(Dispatch::bind(self.dispatch_options()))
                .await?;
            match bound {
                Ok(dispatch) => return Ok(dispatch),
                // A process that was killed just before keeps its address until its worker has ended.
                Err(_) if begun.elapsed() < REBIND => sleep(REBIND_POLL).await,
                Err(error) => return Err(error.into()),
            }
        }
    }

    /// Stops both processes gracefully, the entry first.
    pub async fn stop(&mut self) {
        self.stop_entry().await;
        if let Some(dispatch) = self.dispatch.take() {
            dispatch.drain().stop().await;
            self.dispatch_host.end();
        }
    }

    /// Stops the entry gracefully.
    pub async fn stop_entry(&mut self) {
        if let Some(entry) = self.entry.take() {
            entry.drain().stop().await;
            self.entry_host.end();
        }
    }

    /// Ends the dispatch process at once, as a crash would.
    pub fn kill_dispatch(&mut self) {
        if let Some(dispatch) = self.dispatch.take() {
            // The end of a separate runtime closes all connections, without a word to the peers.
            if !self.dispatch_host.is_separate() {
                dispatch.kill();
            }
            self.dispatch_host.end();
        }
    }

    /// Ends the entry process at once, as a crash would; without a runtime of its own it is only forgotten.
    pub fn kill_entry(&mut self) {
        self.entry = None;
        self.entry_host.end();
    }

    /// Ends both processes at once, as the loss of the VM would.
    pub fn kill(&mut self) {
        self.kill_entry();
        self.kill_dispatch();
    }

    /// Stops both processes without their knowledge until [`Vm::resume`]; needs separate runtimes.
    pub async fn pause(&mut self) {
        self.dispatch_host.pause().await;
        self.entry_host.pause().await;
    }

    /// Stops the dispatch process without its knowledge until [`Vm::resume`]; needs separate runtimes.
    pub async fn pause_dispatch(&mut self) {
        self.dispatch_host.pause().await;
    }

    /// Lets paused processes go on.
    pub fn resume(&mut self) {
        self.dispatch_host.resume();
        self.entry_host.resume();
    }

    /// Returns the name of the VM.
    #[must_use]
    pub const fn name(&self) -> &Name {
        &self.options.name
    }

    /// Returns the data centre of the VM.
    #[must_use]
    pub const fn data_centre(&self) -> &DataCentre {
        &self.options.data_centre
    }

    /// Returns the address for callers, if the entry runs.
    #[must_use]
    pub fn address(&self) -> Option<SocketAddr> {
        self.entry.as_ref().map(Entry::address)
    }

    fn dispatch_options(&self) -> dispatch::Options {
        let options = &self.options;
        let others = options
            .peers
            .iter()
            .filter(|(name, _)| *name != options.name);
        dispatch::Options {
            vm: options.name.clone(),
            data_centre: options.data_centre.clone(),
            listen: options.dispatch,
            advertise: options.advertise,
            admin: loopback(),
            peers: others.cloned().collect(),
            secret: Secret::new(CELL),
            trust: options.trust.clone(),
            store: platform::Options {
                url: options.store.clone(),
                list: options.list.clone(),
                client: options.name.clone(),
                timeout: Duration::from_secs(1),
            },
            handover: DRAIN,
            log: options.log.clone(),
        }
    }

    fn entry_options(&self) -> entry::Options {
        let options = &self.options;
        entry::Options {
            data_centre: options.data_centre.clone(),
            listen: loopback(),
            internal: Some(loopback()),
            admin: loopback(),
            dispatch: options.dispatch,
            link: link::Options {
                identity: Identity {
                    vm: options.name.clone(),
                    incarnation: Incarnation(rand::random()),
                    program: Program::Entry,
                    data_centre: options.data_centre.clone(),
                    address: options.dispatch,
                },
                secret: Secret::new(CELL),
            },
            trust: options.trust.clone(),
            pepper: Pepper::new(PEPPER),
            limits: Limits::default(),
            drain: DRAIN,
            notice: Duration::ZERO,
        }
    }
}

/// Returns a loopback address whose port the system chooses.
#[must_use]
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
