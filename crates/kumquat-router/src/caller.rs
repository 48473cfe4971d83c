//! The `caller` module provides the listener for callers' connections and the one for admin pages.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kumquat_coordination::fleet::intake::Listener;
use kumquat_state::clock::{self, Instant};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::errors::Result;
use crate::http::HttpConnection;
use crate::vm::Vm;

mod admin;
mod connection;
mod render;

pub use admin::{AdminPages, quarantine_page, serve_admin};

/// Delay after a failed accept, for example when no file descriptor is left.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Fraction of the shutdown grace period during which connections and requests are still accepted.
///
/// The load balancer needs two readiness checks to notice that the VM is not ready, and the requests that are accepted
/// last need the rest of the period to complete.
const ACCEPT_GRACE_FRACTION: f64 = 0.5;

/// Fraction of the shutdown grace period after which connections are closed even if requests are in flight.
///
/// The process needs the rest of the period to release its lease.
const DRAIN_GRACE_FRACTION: f64 = 0.9;

/// Interval at which a VM that shuts down checks the time and its open connections.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time for which input is still read and discarded after the last response on a connection.
///
/// Closing a socket with unread input resets the connection, and the caller may lose the response.
const LINGER_TIMEOUT: Duration = Duration::from_millis(200);

/// Opens a listener on an IPv4 address, at which up to `backlog` connections wait to be accepted.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr, backlog: usize) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))?)
}

/// Who opens connections to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Callers.
    Caller,
    /// Other VMs, which forward requests of their callers while they have no path to the upstreams.
    Peer,
}

impl Origin {
    const fn listener(self) -> Listener {
        match self {
            Self::Caller => Listener::Callers,
            Self::Peer => Listener::Peers,
        }
    }
}

/// Serves callers until the VM shuts down and all connections have ended, or the time to drain them has passed.
pub async fn serve(vm: Rc<Vm>, listener: TcpListener, origin: Origin) {
    // Each connection holds a clone, so that the reference count tells how many are open.
    let open_connections = Rc::new(());
    let shutdown_started = loop {
        tokio::select! {
            accepted = listener.accept() => accept(&vm, accepted, &open_connections, origin).await,
            started_at = vm.shutdown_started() => break started_at,
        }
    };

    while clock::now() < accept_until(&vm, shutdown_started) {
        if let Ok(accepted) = timeout(DRAIN_POLL_INTERVAL, listener.accept()).await {
            accept(&vm, accepted, &open_connections, origin).await;
        }
    }
    // Connections that were not accepted yet get a reset, from which callers know that no request was read.
    drop(listener);
    let drain_until = shutdown_started + vm.bounds.shutdown_grace.mul_f64(DRAIN_GRACE_FRACTION);
    while clock::now() < drain_until && Rc::strong_count(&open_connections) > 1 {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    info!(vm.log, "callers' connections ended"; "left_open" => Rc::strong_count(&open_connections) - 1,
        "of_peers" => origin == Origin::Peer);
}

/// Returns the time until which a VM accepts connections and requests whose shutdown started at `shutdown_started`.
fn accept_until(vm: &Vm, shutdown_started: Instant) -> Instant {
    shutdown_started + vm.bounds.shutdown_grace.mul_f64(ACCEPT_GRACE_FRACTION)
}

/// Serves an accepted connection in a task of its own.
async fn accept(
    vm: &Rc<Vm>,
    accepted: std::io::Result<(TcpStream, SocketAddr)>,
    open_connections: &Rc<()>,
    origin: Origin,
) {
    match accepted {
        Ok((stream, _)) => {
            // A connection that is dropped here has not been read, so that its caller may try again at once.
            let Some(account) = vm.intake.get(origin.listener()).open() else {
                return;
            };
            let (vm, open_connections) = (Rc::clone(vm), Rc::clone(open_connections));
            tokio::task::spawn_local(async move {
                vm.metrics.caller_connections.inc();
                if let Err(error) =
                    connection::serve(&vm, HttpConnection::new(stream), origin, account).await
                {
                    slog::debug!(vm.log, "caller's connection ended"; "error" => %error);
                }
                vm.metrics.caller_connections.dec();
                drop(open_connections);
            });
            // Connections that were evicted for this one close before the next one is accepted.
            tokio::task::yield_now().await;
        }
        Err(error) => {
            warn!(vm.log, "connection not accepted"; "error" => %error);
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
        }
    }
}
