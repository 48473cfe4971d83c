//! The `caller` module provides the connections of callers.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use kumquat_state::clock;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::errors::Result;
use crate::http::HttpConnection;
use crate::vm::Vm;

mod admin;
mod connection;
mod render;

pub use admin::{AdminPages, serve_admin};

/// Connections that wait to be accepted; when the queue is full, callers lose a second.
const BACKLOG: u32 = 1_024;

/// Pause after a connection could not be accepted, as when no descriptor is left.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Part of the time for a graceful shutdown in which requests are still taken.
///
/// The load balancer needs two checks to notice that the VM is not ready, and the requests that are taken last need the
/// rest of the time to be answered.
const TAKING_PART_OF_GRACE: f64 = 0.5;

/// Part of the time for a graceful shutdown after which connections are closed in any case.
///
/// The process needs the rest of the time to give its lease back.
const LAST_PART_OF_GRACE: f64 = 0.9;

/// Interval at which a stopping VM looks whether it is done.
const DRAIN_PAUSE: Duration = Duration::from_millis(20);

/// Time for which bytes of a caller are read after an answer that closes its connection.
///
/// A close with unread bytes resets the connection and may destroy the answer on its way.
const LINGER: Duration = Duration::from_millis(200);

/// Opens a listener.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn bind(address: SocketAddr) -> Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket.listen(BACKLOG)?)
}

/// Serves callers until the process is told to stop and all connections have ended.
pub async fn serve(vm: Rc<Vm>, listener: TcpListener) {
    let open = Rc::new(());
    while !vm.is_shutting_down() {
        tokio::select! {
            accepted = listener.accept() => accept(&vm, accepted, &open).await,
            () = vm.shutdown.notified() => {}
        }
    }

    let stopped = clock::now();
    let taking = stopped + vm.bounds.shutdown_grace.mul_f64(TAKING_PART_OF_GRACE);
    while clock::now() < taking {
        if let Ok(accepted) = timeout(DRAIN_PAUSE, listener.accept()).await {
            accept(&vm, accepted, &open).await;
        }
    }
    // Callers whose connections were not accepted yet get a reset, which tells them that nothing was read.
    drop(listener);
    let last = stopped + vm.bounds.shutdown_grace.mul_f64(LAST_PART_OF_GRACE);
    while clock::now() < last && Rc::strong_count(&open) > 1 {
        tokio::time::sleep(DRAIN_PAUSE).await;
    }
    info!(vm.log, "callers' connections ended"; "left_open" => Rc::strong_count(&open) - 1);
}

async fn accept(vm: &Rc<Vm>, accepted: std::io::Result<(TcpStream, SocketAddr)>, open: &Rc<()>) {
    match accepted {
        Ok((stream, _)) => {
            let (vm, open) = (Rc::clone(vm), Rc::clone(open));
            tokio::task::spawn_local(async move {
                vm.metrics.caller_connections.inc();
                if let Err(error) = connection::serve(&vm, HttpConnection::new(stream)).await {
                    slog::debug!(vm.log, "caller's connection ended"; "error" => %error);
                }
                vm.metrics.caller_connections.dec();
                drop(open);
            });
        }
        Err(error) => {
            warn!(vm.log, "connection not accepted"; "error" => %error);
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}
