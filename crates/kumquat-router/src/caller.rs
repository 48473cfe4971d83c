//! The `caller` module provides the connections of callers.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use kumquat_state::clock;
use slog::{info, warn};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::config::Limits;
use crate::errors::{Error, Result};
use crate::gateway::{self, Incoming, Reply, Signals};
use crate::http::{RequestHead, Wire};
use crate::vm::Vm;

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
pub async fn run(vm: Rc<Vm>, listener: TcpListener) {
    let open = Rc::new(());
    while !vm.is_stopping() {
        tokio::select! {
            accepted = listener.accept() => accept(&vm, accepted, &open).await,
            () = vm.stopping.notified() => {}
        }
    }

    let stopped = clock::now();
    let taking = stopped + vm.bounds.grace.mul_f64(TAKING_PART_OF_GRACE);
    while clock::now() < taking {
        if let Ok(accepted) = timeout(DRAIN_PAUSE, listener.accept()).await {
            accept(&vm, accepted, &open).await;
        }
    }
    // Callers whose connections were not accepted yet get a reset, which tells them that nothing was read.
    drop(listener);
    let last = stopped + vm.bounds.grace.mul_f64(LAST_PART_OF_GRACE);
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
                vm.metrics.connections.inc();
                let mut wire = Wire::new(stream);
                if let Err(error) = serve_connection(&vm, &mut wire).await {
                    slog::debug!(vm.log, "caller's connection ended"; "error" => %error);
                }
                vm.metrics.connections.dec();
                drop(open);
            });
        }
        Err(error) => {
            warn!(vm.log, "connection not accepted"; "error" => %error);
            tokio::time::sleep(ACCEPT_PAUSE).await;
        }
    }
}

/// Serves the requests of one connection.
async fn serve_connection(vm: &Rc<Vm>, wire: &mut Wire) -> Result<()> {
    loop {
        let limits = vm.config().map(|config| config.limits).unwrap_or_default();
        if !wait_for_request(vm, wire, &limits).await? {
            return Ok(());
        }
        let (incoming, keeps_alive) = match timeout(limits.head_timeout, read(wire, &limits)).await
        {
            Ok(Ok(read)) => read,
            Ok(Err(error)) => return reject(wire, &error).await,
            Err(_elapsed) => {
                let reply = Reply::own(408, "the request did not arrive in time");
                return finish(wire, &reply).await;
            }
        };

        let signals = Signals::default();
        let is_head = incoming.head.method == "HEAD";
        let Some(reply) = serve_until_left(vm, wire, &incoming, &signals).await else {
            return Ok(());
        };
        let stays = keeps_alive && !vm.is_stopping();
        let bytes = render(&reply, stays, is_head, limits.idle_timeout);
        wire.write(&bytes).await?;
        if !stays {
            return linger(wire).await;
        }
    }
}

/// Waits for the first bytes of a request; returns whether there are any.
async fn wait_for_request(vm: &Vm, wire: &mut Wire, limits: &Limits) -> Result<bool> {
    let mut idle_until = clock::now() + limits.idle_timeout;
    let mut is_noted = false;
    loop {
        let left = clock::now().until(idle_until);
        if left.is_zero() {
            return Ok(false);
        }
        tokio::select! {
            biased;
            readable = wire.readable() => return readable.map(|()| true),
            () = vm.stopping.notified(), if !is_noted => {
                is_noted = true;
                let last = clock::now() + vm.bounds.grace.mul_f64(TAKING_PART_OF_GRACE);
                idle_until = idle_until.min(last);
            }
            () = tokio::time::sleep(left) => {}
        }
    }
}

async fn read(wire: &mut Wire, limits: &Limits) -> Result<(Incoming, bool)> {
    let head = wire.request(limits.head).await?;
    let arrived = clock::now();
    check(&head)?;
    let framing = head.framing()?;
    if head.headers.lists("expect", "100-continue") && !wire.has_rest() {
        wire.write(b"HTTP/1.1 100 Continue\r\n\r\n").await?;
    }
    let body = wire.body(framing, limits.body).await?;
    let keeps_alive = head.keeps_alive();
    let incoming = Incoming {
        head,
        body,
        arrived,
    };
    Ok((incoming, keeps_alive))
}

/// Checks what has to hold for any request before anything else is judged.
fn check(head: &RequestHead) -> Result<()> {
    let hosts = head.headers.all("host").count();
    if hosts != 1 {
        return Err(Error::Malformed("not exactly one Host"));
    }
    if !head.target.starts_with('/') {
        return Err(Error::Malformed("the target is not a path"));
    }
    Ok(())
}

/// Serves a request while watching whether its caller leaves; returns nothing if it has left.
async fn serve_until_left(
    vm: &Rc<Vm>,
    wire: &mut Wire,
    incoming: &Incoming,
    signals: &Signals,
) -> Option<Reply> {
    let mut serving = pin!(gateway::serve(vm, incoming, signals));
    tokio::select! {
        biased;
        reply = &mut serving => return Some(reply),
        () = wire.closed() => {}
    }
    signals.has_left.set(true);
    // Work that must not run twice is left to finish, because breaking it off would leave its effect unknown.
    if signals.must_finish.get() {
        serving.await;
    }
    None
}

async fn reject(wire: &mut Wire, error: &Error) -> Result<()> {
    let (status, reason) = match error {
        Error::Malformed(reason) => (400, *reason),
        Error::TooLarge("request head") => (431, "the head is too large"),
        Error::TooLarge(_) => (413, "the body is too large"),
        Error::Closed | Error::Truncated | Error::Io(_) => return Ok(()),
    };
    finish(wire, &Reply::own(status, reason)).await
}

/// Writes a last answer and closes the connection.
async fn finish(wire: &mut Wire, reply: &Reply) -> Result<()> {
    let bytes = render(reply, false, false, Duration::ZERO);
    wire.write(&bytes).await?;
    linger(wire).await
}

async fn linger(wire: &mut Wire) -> Result<()> {
    wire.shut().await?;
    // A caller that does not close in time gets a reset.
    let _closed = timeout(LINGER, wire.closed()).await;
    Ok(())
}

/// Returns an answer as it goes to the caller.
#[must_use]
pub fn render(reply: &Reply, keeps_alive: bool, is_head: bool, idle: Duration) -> Vec<u8> {
    let mut bytes = Vec::with_capacity(256 + reply.body.len());
    let line = format!("HTTP/1.1 {} {}\r\n", reply.status, phrase(reply.status));
    bytes.extend_from_slice(line.as_bytes());
    for header in &reply.headers.0 {
        bytes.extend_from_slice(header.name.as_bytes());
        bytes.extend_from_slice(b": ");
        bytes.extend_from_slice(&header.value);
        bytes.extend_from_slice(b"\r\n");
    }
    if !matches!(reply.status, 204 | 304) && !is_head {
        bytes.extend_from_slice(format!("Content-Length: {}\r\n", reply.body.len()).as_bytes());
    }
    if keeps_alive {
        let line = format!("Keep-Alive: timeout={}\r\n", idle.as_secs());
        bytes.extend_from_slice(line.as_bytes());
    } else {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    if !is_head {
        bytes.extend_from_slice(&reply.body);
    }
    bytes
}

const fn phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        202 => "Accepted",
        204 => "No Content",
        304 => "Not Modified",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Answer",
    }
}

/// Answers questions about readiness and metrics for as long as the process runs.
pub async fn run_admin<P: Pages + 'static>(vm: Rc<Vm>, listener: TcpListener, pages: Rc<P>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let vm = Rc::clone(&vm);
        let pages = Rc::clone(&pages);
        tokio::task::spawn_local(async move {
            let mut wire = Wire::new(stream);
            if let Err(error) = answer_admin(&vm, &mut wire, &*pages).await {
                slog::debug!(vm.log, "admin connection ended"; "error" => %error);
            }
        });
    }
}

/// Pages besides those for metrics and readiness.
pub trait Pages {
    /// Returns status and body of a page, if there is one of this target.
    fn answer(&self, target: &str) -> impl Future<Output = Option<(u16, Vec<u8>)>>;
}

impl Pages for () {
    async fn answer(&self, _target: &str) -> Option<(u16, Vec<u8>)> {
        None
    }
}

async fn answer_admin(vm: &Vm, wire: &mut Wire, pages: &impl Pages) -> Result<()> {
    let limits = Limits::default();
    loop {
        match timeout(limits.idle_timeout, wire.readable()).await {
            Ok(readable) => readable?,
            Err(_elapsed) => return Ok(()),
        }
        let request = timeout(limits.head_timeout, read(wire, &limits)).await;
        let Ok(Ok((incoming, keeps_alive))) = request else {
            return Ok(());
        };
        let reply = match incoming.head.target.as_str() {
            "/metrics" => Reply {
                body: vm.metrics.render(),
                ..Reply::own(200, "")
            },
            path if path == vm.dialect.ready_path && vm.is_ready() => Reply::own(200, "ready"),
            path if path == vm.dialect.ready_path => Reply::own(503, "not ready"),
            target => match pages.answer(target).await {
                Some((status, body)) => Reply {
                    body,
                    ..Reply::own(status, "")
                },
                None => Reply::own(404, "no such page"),
            },
        };
        let bytes = render(&reply, keeps_alive, false, limits.idle_timeout);
        wire.write(&bytes).await?;
        if !keeps_alive {
            return linger(wire).await;
        }
    }
}
