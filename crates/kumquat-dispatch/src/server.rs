//! The `server` module provides the life cycle of a dispatch process: running, draining, stopped.
//!
//! One *run* has one incarnation. When the cell fences a run, for example after a pause, the process starts another one
//! within itself. See `docs/design.md`, section 3.

use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use poem::Server;
use poem::listener::{Acceptor, Listener, TcpAcceptor, TcpListener};
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinHandle;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use kumquat_protocol::handshake::{Identity, Program, Secret};
use kumquat_state::bundle::envelope::TrustList;
use kumquat_state::ident::{DataCentre, Vm};
use kumquat_state::ledger::Holder;
use kumquat_transport::link::{self, Fault};

use crate::admin::{Admin, View};
use crate::audit::Trail;
use crate::control::{self, Control, Event, Shared};
use crate::entries::{self, Context, Directory};
use crate::handshakes::Handshakes;
use crate::home::Homes;
use crate::metrics::Metrics;
use crate::platform;

/// Time between two checks whether all roles have been handed over.
const HANDOVER_POLL: Duration = Duration::from_millis(20);

/// What a dispatch process needs to start.
#[derive(Debug)]
pub struct Options {
    /// Name of the VM.
    pub vm: Vm,
    /// Data centre of the VM.
    pub data_centre: DataCentre,
    /// Address on which peers and entries connect.
    pub listen: SocketAddr,
    /// Address under which peers reach this process; the bound one if none is given.
    pub advertise: Option<SocketAddr>,
    /// Address for operators.
    pub admin: SocketAddr,
    /// Other VMs and their addresses.
    pub peers: Vec<(Vm, SocketAddr)>,
    /// Secret of the cell.
    pub secret: Secret,
    /// Keys by which bundles have to be signed.
    pub trust: TrustList,
    /// The platform's store.
    pub store: platform::Options,
    /// Longest time for which a shutdown waits until others have taken over the roles.
    pub handover: Duration,
    /// Log.
    pub log: Logger,
}

/// Why a dispatch process can't start.
#[derive(Debug, thiserror::Error)]
pub enum BindError {
    /// The admin address can't be bound.
    #[error("can't listen on {address}: {source}")]
    Admin {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The address for links can't be bound.
    #[error(transparent)]
    Link(#[from] kumquat_transport::Error),
    /// The store client can't be opened.
    #[error("can't open the store client: {0}")]
    Store(String),
}

/// State of a process that takes part in the cell.
#[derive(Debug)]
pub struct Running(());

/// State of a process that hands its roles over.
#[derive(Debug)]
pub struct Draining(());

/// A started dispatch process; its type tells its state.
#[derive(Debug)]
pub struct Dispatch<State> {
    address: SocketAddr,
    admin: SocketAddr,
    view: Arc<View>,
    metrics: Metrics,
    trail: Trail,
    leave: Option<oneshot::Sender<()>>,
    closing: CancellationToken,
    task: JoinHandle<()>,
    handover: Duration,
    state: PhantomData<State>,
}

/// What all runs of the process share.
#[derive(Clone, Debug)]
struct Process {
    vm: Vm,
    data_centre: DataCentre,
    listen: SocketAddr,
    advertise: SocketAddr,
    peers: Vec<(Vm, SocketAddr)>,
    secret: Secret,
    trust: Arc<TrustList>,
    store: platform::Options,
    view: Arc<View>,
    trail: Trail,
    metrics: Metrics,
    connections: Arc<AtomicU64>,
    log: Logger,
}

impl Dispatch<Running> {
    /// Binds the listeners and starts the first run.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the store client can't be opened.
    pub async fn bind(options: Options) -> Result<Self, BindError> {
        let acceptor = TcpListener::bind(options.admin)
            .into_acceptor()
            .await
            .map_err(|source| BindError::Admin {
                address: options.admin,
                source,
            })?;
        let admin = local(&acceptor, options.admin);
        let metrics = Metrics::new();
        let view = Arc::new(View::default());
        let trail = Trail::new(options.vm.clone());
        let closing = CancellationToken::new();

        // The listener of the first run tells the address that all later runs bind again.
        let secret = options.secret;
        let first = listener(
            &options.vm,
            &options.data_centre,
            options.listen,
            options.advertise,
            &secret,
        )
        .await?;
        let address = first.1;
        let process = Process {
            vm: options.vm,
            data_centre: options.data_centre,
            listen: address,
            advertise: options.advertise.unwrap_or(address),
            peers: options.peers,
            secret,
            trust: Arc::new(options.trust),
            store: options.store,
            view: Arc::clone(&view),
            trail: trail.clone(),
            metrics: metrics.clone(),
            connections: Arc::new(AtomicU64::new(0)),
            log: options.log,
        };
        platform::check(&process.store).map_err(BindError::Store)?;

        let endpoint = Admin {
            view: Arc::clone(&view),
            metrics: metrics.clone(),
            trail: trail.clone(),
        };
        let stop = closing.clone();
        tokio::spawn(async move {
            let server = Server::new_with_acceptor(acceptor);
            let signal = stop.cancelled_owned();
            // The acceptor is bound already, and later failures concern single connections.
            drop(
                server
                    .run_with_graceful_shutdown(endpoint, signal, Some(Duration::ZERO))
                    .await,
            );
        });
        let (leave, left) = oneshot::channel();
        let task = tokio::spawn(process.run(first.0, left, closing.clone()));
        Ok(Self {
            address,
            admin,
            view,
            metrics,
            trail,
            leave: Some(leave),
            closing,
            task,
            handover: options.handover,
            state: PhantomData,
        })
    }

    /// Starts the graceful shutdown: other VMs take over this one's roles.
    #[must_use]
    pub fn drain(mut self) -> Dispatch<Draining> {
        if let Some(leave) = self.leave.take() {
            // A process whose task has ended has no roles left.
            let _task_ended = leave.send(());
        }
        Dispatch {
            address: self.address,
            admin: self.admin,
            view: self.view,
            metrics: self.metrics,
            trail: self.trail,
            leave: None,
            closing: self.closing,
            task: self.task,
            handover: self.handover,
            state: PhantomData,
        }
    }

    /// Ends the process at once, as a crash would; for tests and demonstrations of failures.
    pub fn kill(self) {
        self.closing.cancel();
        self.task.abort();
    }
}

impl Dispatch<Draining> {
    /// Waits until the roles are handed over and the running requests answered, then stops.
    pub async fn stop(self) {
        let handed_over = async {
            while self.metrics.acting.get() > 0 {
                sleep(HANDOVER_POLL).await;
            }
        };
        // Without a coordinator nobody takes the roles over; the cell then fences this VM after it has stopped.
        drop(timeout(self.handover, handed_over).await);
        self.closing.cancel();
        drop(self.task.await);
    }
}

impl<State> Dispatch<State> {
    /// Returns the address on which peers and entries connect.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for operators.
    #[must_use]
    pub const fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns what is in force.
    #[must_use]
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the counters.
    #[must_use]
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the audit trail of this VM.
    #[must_use]
    pub const fn trail(&self) -> &Trail {
        &self.trail
    }
}

impl Process {
    /// Starts one run after the other until the process is closed.
    async fn run(
        self,
        first: link::Listener,
        mut leave: oneshot::Receiver<()>,
        closing: CancellationToken,
    ) {
        let mut next = Some(first);
        while !closing.is_cancelled() {
            let listener = match next.take() {
                Some(listener) => listener,
                None => match self.listener().await {
                    Ok(listener) => listener,
                    Err(error) => {
                        warn!(self.log, "can't bind again"; "error" => %error);
                        sleep(Duration::from_millis(100)).await;
                        continue;
                    }
                },
            };
            self.run_once(listener, &mut leave, &closing).await;
        }
    }

    async fn run_once(
        &self,
        listener: link::Listener,
        leave: &mut oneshot::Receiver<()>,
        closing: &CancellationToken,
    ) {
        let identity = listener.identity().clone();
        let me = Holder {
            vm: identity.vm.clone(),
            incarnation: identity.incarnation,
        };
        info!(self.log, "run started"; "incarnation" => me.incarnation.0);
        let ended = closing.child_token();
        let evicted = CancellationToken::new();
        let (events, receiver) = mpsc::channel(control::QUEUE);
        let link = link::Options {
            identity,
            secret: self.secret.clone(),
        };
        let shared = Shared {
            directory: Arc::new(Directory::default()),
            homes: Arc::new(Homes::default()),
            trail: self.trail.clone(),
            evicted: evicted.clone(),
            view: Arc::clone(&self.view),
            platform: platform::spawn(
                &self.store,
                &me,
                events.clone(),
                self.trail.clone(),
                self.metrics.clone(),
                ended.clone(),
            ),
        };
        let control = Control::new(
            control::Options {
                me,
                data_centre: self.data_centre.clone(),
                address: self.advertise,
                peers: self.peers.clone(),
                trust: Arc::clone(&self.trust),
                link,
                log: self.log.clone(),
                metrics: self.metrics.clone(),
            },
            &shared,
            &events,
        );
        let context = Context {
            directory: Arc::clone(&shared.directory),
            homes: Arc::clone(&shared.homes),
            events: events.clone(),
            metrics: self.metrics.clone(),
            connections: Arc::clone(&self.connections),
        };
        let accepting = tokio::spawn(accept(listener, context, events.clone(), ended.clone()));
        let mut running = tokio::spawn(control.run(receiver, ended.clone()));

        tokio::select! {
            () = closing.cancelled() => {}
            () = evicted.cancelled() => {}
            // The control loop ends by itself only after a fault in it.
            _ = &mut running => {}
            _ = &mut *leave => {
                drop(events.send(Event::Leave).await);
                tokio::select! {
                    () = closing.cancelled() => {}
                    () = evicted.cancelled() => {}
                }
            }
        }
        ended.cancel();
        self.metrics.authority.set(0);
        self.metrics.acting.set(0);
        self.metrics.coordinator.set(0);
        if !running.is_finished() {
            drop(running.await);
        }
        drop(accepting.await);
    }

    async fn listener(&self) -> Result<link::Listener, kumquat_transport::Error> {
        let bound = listener(
            &self.vm,
            &self.data_centre,
            self.listen,
            Some(self.advertise),
            &self.secret,
        );
        Ok(bound.await?.0)
    }
}

async fn listener(
    vm: &Vm,
    data_centre: &DataCentre,
    listen: SocketAddr,
    advertise: Option<SocketAddr>,
    secret: &Secret,
) -> Result<(link::Listener, SocketAddr), kumquat_transport::Error> {
    let options = link::Options {
        identity: Identity {
            vm: vm.clone(),
            incarnation: control::new_incarnation(),
            program: Program::Dispatch,
            data_centre: data_centre.clone(),
            address: advertise.unwrap_or(listen),
        },
        secret: secret.clone(),
    };
    let mut listener = link::Listener::bind(listen, options).await?;
    let address = listener.address()?;
    listener.set_address(advertise.unwrap_or(address));
    Ok((listener, address))
}

/// Accepts links from peers and entries until the run ends.
async fn accept(
    listener: link::Listener,
    context: Context,
    events: mpsc::Sender<Event>,
    ended: CancellationToken,
) {
    let handshakes = Handshakes::default();
    loop {
        let pending = tokio::select! {
            () = ended.cancelled() => return,
            pending = listener.accept() => pending,
        };
        let Ok(pending) = pending else {
            // Typically too many open files; a short wait lets some of them close.
            sleep(Duration::from_millis(10)).await;
            continue;
        };
        let (context, events, ended) = (context.clone(), events.clone(), ended.clone());
        let rejected = context.metrics.rejected_messages.clone();
        let reject = move |kind| rejected.with_label_values(&[kind]).inc();
        let Some(running) = handshakes.begin(pending.address()) else {
            reject("too-many-handshakes");
            continue;
        };
        tokio::spawn(async move {
            let link = match pending.open().await {
                Ok(link) => link,
                Err(error) => {
                    return reject(Fault::of(&error).map_or("handshake", Fault::as_str));
                }
            };
            drop(running);
            let sender = link.sender.clone();
            let serving = async {
                match link.peer.program {
                    Program::Entry => entries::serve(context, link).await,
                    Program::Dispatch => control::read(link, events).await,
                }
            };
            tokio::select! {
                () = ended.cancelled() => sender.close(),
                () = serving => {}
            }
            if let Some(fault) = sender.fault() {
                reject(fault.as_str());
            }
        });
    }
}

/// Returns the bound address, which differs from the asked one if its port was 0.
fn local(acceptor: &TcpAcceptor, asked: SocketAddr) -> SocketAddr {
    acceptor
        .local_addr()
        .first()
        .and_then(|address| address.as_socket_addr().copied())
        .unwrap_or(asked)
}
