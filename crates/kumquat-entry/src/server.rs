//! The `server` module provides the life cycle of an entry: running, draining, stopped.

use std::convert::Infallible;
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use poem::Server;
use poem::listener::{Acceptor, Listener, TcpAcceptor, TcpListener};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use kumquat_coordination::routing::RetryBudget;
use kumquat_state::bundle::envelope::TrustList;
use kumquat_state::ident;
use kumquat_state::secret::Pepper;
use kumquat_transport::link;

use crate::admin::Admin;
use crate::admission::{Admission, Context};
use crate::balance::Choice;
use crate::caller::Side;
use crate::config::Config;
use crate::documents::{self, Source};
use crate::failures::Failures;
use crate::gateway::{Gateway, Limits, Shared};
use crate::links::Pool;
use crate::listener::CallerAcceptor;
use crate::metrics::Metrics;
use crate::router::Router;
use crate::target::Memory;

/// Time after which an idle connection of an operator is closed.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);

/// What an entry needs to start.
#[derive(Debug)]
pub struct Options {
    /// Data centre of the VM.
    pub data_centre: ident::DataCentre,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for callers from the firm's own network, if internal routes are served.
    pub internal: Option<SocketAddr>,
    /// Address for operators and the balancer.
    pub admin: SocketAddr,
    /// Address of the VM's dispatch process.
    pub dispatch: SocketAddr,
    /// Identity and secret towards other processes.
    pub link: link::Options,
    /// Keys by which bundles have to be signed.
    pub trust: TrustList,
    /// Digests caller keys.
    pub pepper: Pepper,
    /// Bounds on callers.
    pub limits: Limits,
    /// Longest time for which a shutdown waits for running requests.
    pub drain: Duration,
    /// Time for which a draining entry still takes connections, so that the balancer can notice.
    pub notice: Duration,
}

/// Why an entry can't start.
#[derive(Debug, thiserror::Error)]
#[error("can't listen on {address}: {source}")]
pub struct BindError {
    address: SocketAddr,
    source: std::io::Error,
}

/// State of an entry that takes requests.
#[derive(Debug)]
pub struct Running(());

/// State of an entry that finishes its requests.
#[derive(Debug)]
pub struct Draining(());

/// A started entry; its type tells its state.
#[derive(Debug)]
pub struct Entry<State> {
    address: SocketAddr,
    internal: Option<SocketAddr>,
    admin: SocketAddr,
    config: Arc<Config>,
    metrics: Metrics,
    draining: CancellationToken,
    closing: CancellationToken,
    ended: CancellationToken,
    servers: Vec<JoinHandle<()>>,
    notice: Duration,
    state: PhantomData<State>,
}

impl Entry<Running> {
    /// Binds the listeners and starts the entry.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn bind(options: Options) -> Result<Self, BindError> {
        let metrics = Metrics::new();
        let public = callers(options.listen, &options.limits, &metrics).await?;
        let internal = match options.internal {
            Some(address) => Some(callers(address, &options.limits, &metrics).await?),
            None => None,
        };
        let admin = acceptor(options.admin).await?;
        let addresses = (
            public.address(),
            internal.as_ref().map(CallerAcceptor::address),
            local(&admin, options.admin),
        );

        let config = Arc::new(Config::default());
        let draining = CancellationToken::new();
        let closing = CancellationToken::new();
        // Background tasks outlive the listeners, because running requests still need them.
        let ended = CancellationToken::new();
        let notice = options.notice;
        let drain = options.drain;
        let source = Source {
            address: options.dispatch,
            options: options.link.clone(),
            trust: Arc::new(options.trust.clone()),
        };
        tokio::spawn(documents::follow(
            source,
            Arc::clone(&config),
            ended.clone(),
        ));
        let shared = Arc::new(share(options, &config, &metrics, &ended));

        let connections = Arc::clone(public.connections());
        let gateway = Gateway::new(Arc::clone(&shared), Side::Public, connections);
        let mut servers = vec![serve(
            Server::new_with_acceptor(public),
            gateway,
            &closing,
            drain,
        )];
        if let Some(internal) = internal {
            let connections = Arc::clone(internal.connections());
            let gateway = Gateway::new(shared, Side::Internal, connections);
            let server = Server::new_with_acceptor(internal);
            servers.push(serve(server, gateway, &closing, drain));
        }
        let endpoint = Admin {
            config: Arc::clone(&config),
            metrics: metrics.clone(),
            draining: draining.clone(),
        };
        let server = Server::new_with_acceptor(admin).idle_timeout(IDLE_TIMEOUT);
        servers.push(serve(server, endpoint, &closing, Duration::ZERO));

        Ok(Self {
            address: addresses.0,
            internal: addresses.1,
            admin: addresses.2,
            config,
            metrics,
            draining,
            closing,
            ended,
            servers,
            notice,
            state: PhantomData,
        })
    }

    /// Starts the graceful shutdown: the ready endpoint turns negative, requests are still taken.
    #[must_use]
    pub fn drain(self) -> Entry<Draining> {
        self.draining.cancel();
        Entry {
            address: self.address,
            internal: self.internal,
            admin: self.admin,
            config: self.config,
            metrics: self.metrics,
            draining: self.draining,
            closing: self.closing,
            ended: self.ended,
            servers: self.servers,
            notice: self.notice,
            state: PhantomData,
        }
    }
}

impl Entry<Draining> {
    /// Waits until the balancer has had time to notice and all running requests are answered.
    pub async fn stop(self) {
        tokio::time::sleep(self.notice).await;
        self.closing.cancel();
        for server in self.servers {
            // A server that panicked has nothing left to wait for.
            drop(server.await);
        }
        self.ended.cancel();
    }
}

impl<State> Entry<State> {
    /// Returns the address for callers.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address for internal callers.
    #[must_use]
    pub const fn internal(&self) -> Option<SocketAddr> {
        self.internal
    }

    /// Returns the address for operators.
    #[must_use]
    pub const fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &Config {
        &self.config
    }

    /// Returns the counters.
    #[must_use]
    pub const fn metrics(&self) -> &Metrics {
        &self.metrics
    }
}

fn share(
    options: Options,
    config: &Arc<Config>,
    metrics: &Metrics,
    ended: &CancellationToken,
) -> Shared {
    let pool = Arc::new(Pool::new(options.link, metrics.clone()));
    let memory = Arc::new(Memory::default());
    let context = Context {
        config: Arc::clone(config),
        pool: Arc::clone(&pool),
        memory: Arc::clone(&memory),
        ended: ended.clone(),
    };
    let router = Router {
        config: Arc::clone(config),
        pool,
        memory,
        balance: Choice::new(options.data_centre),
        budget: Mutex::new(RetryBudget::default()),
        metrics: metrics.clone(),
        pause: options.limits.body_pause,
    };
    Shared {
        config: Arc::clone(config),
        admission: Admission::new(context),
        router,
        pepper: options.pepper,
        limits: options.limits,
        failures: Failures::default(),
        metrics: metrics.clone(),
        running: std::sync::atomic::AtomicI64::new(0),
    }
}

async fn callers(
    address: SocketAddr,
    limits: &Limits,
    metrics: &Metrics,
) -> Result<CallerAcceptor, BindError> {
    CallerAcceptor::bind(address, limits.connections(), metrics.clone())
        .await
        .map_err(|source| BindError { address, source })
}

async fn acceptor(address: SocketAddr) -> Result<TcpAcceptor, BindError> {
    TcpListener::bind(address)
        .into_acceptor()
        .await
        .map_err(|source| BindError { address, source })
}

/// Returns the bound address, which differs from the asked one if its port was 0.
fn local(acceptor: &TcpAcceptor, asked: SocketAddr) -> SocketAddr {
    acceptor
        .local_addr()
        .first()
        .and_then(|address| address.as_socket_addr().copied())
        .unwrap_or(asked)
}

fn serve<A, E>(
    server: Server<Infallible, A>,
    endpoint: E,
    closing: &CancellationToken,
    drain: Duration,
) -> JoinHandle<()>
where
    A: Acceptor + 'static,
    E: poem::Endpoint + 'static,
{
    let closing = closing.clone();
    tokio::spawn(async move {
        let signal = closing.cancelled_owned();
        // The acceptor is bound already, and later failures concern single connections.
        drop(
            server
                .run_with_graceful_shutdown(endpoint, signal, Some(drain))
                .await,
        );
    })
}
