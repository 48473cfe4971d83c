//! The `net` module provides the HTTP listener of the stand-ins, whose connections can be frozen, cut or garbled.
//!
//! A handler can't close its own connection through poem, so the faults are applied below HTTP.

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use poem::{Endpoint, Request, Server};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::Error;

/// Locks a mutex whose holder may have panicked; the stand-ins' state stays usable for the assertions of a test.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Switches that act on all connections of one stand-in.
#[derive(Clone, Default)]
pub struct Gate(Arc<Shared>);

#[derive(Default)]
struct Shared {
    frozen: AtomicBool,
    connections: Mutex<BTreeMap<SocketAddr, Weak<Switch>>>,
}

/// Switch of one connection.
#[derive(Default)]
struct Switch {
    cut: AtomicBool,
    garbled: AtomicBool,
    /// Cancelled when the connection has ended. Poem goes on with a handler after the caller has hung up.
    ended: CancellationToken,
    wakers: Mutex<(Option<Waker>, Option<Waker>)>,
}

impl Switch {
    fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
        self.ended.cancel();
        self.wake();
    }

    fn wake(&self) {
        let (read, write) = std::mem::take(&mut *lock(&self.wakers));
        if let Some(waker) = read {
            waker.wake();
        }
        if let Some(waker) = write {
            waker.wake();
        }
    }
}

impl fmt::Debug for Gate {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Gate")
            .field("frozen", &self.is_frozen())
            .finish_non_exhaustive()
    }
}

impl Gate {
    /// Stops all bytes in both directions while connections are still accepted.
    pub fn freeze(&self) {
        self.0.frozen.store(true, Ordering::SeqCst);
    }

    /// Lets bytes through again.
    pub fn unfreeze(&self) {
        self.0.frozen.store(false, Ordering::SeqCst);
        for switch in self.switches() {
            switch.wake();
        }
    }

    /// Returns whether the connections are frozen.
    #[must_use]
    pub fn is_frozen(&self) -> bool {
        self.0.frozen.load(Ordering::SeqCst)
    }

    /// Closes the connection from `peer` without writing anything more.
    pub fn cut(&self, peer: SocketAddr) {
        if let Some(switch) = self.switch(peer) {
            switch.cut();
        }
    }

    /// Closes all connections without writing anything more.
    pub fn cut_all(&self) {
        for switch in self.switches() {
            switch.cut();
        }
    }

    /// Replaces all bytes that the connection to `peer` writes from now on with bytes that are not HTTP.
    pub fn garble(&self, peer: SocketAddr) {
        if let Some(switch) = self.switch(peer) {
            switch.garbled.store(true, Ordering::SeqCst);
        }
    }

    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        lock(&self.0.connections).len()
    }

    fn switch(&self, peer: SocketAddr) -> Option<Arc<Switch>> {
        lock(&self.0.connections).get(&peer)?.upgrade()
    }

    fn switches(&self) -> Vec<Arc<Switch>> {
        lock(&self.0.connections)
            .values()
            .filter_map(Weak::upgrade)
            .collect()
    }
}

/// Returns the address of the caller.
pub(crate) fn peer(request: &Request) -> Option<SocketAddr> {
    request.remote_addr().as_socket_addr().copied()
}

/// A running HTTP listener.
#[derive(Debug)]
pub(crate) struct Running {
    pub(crate) address: SocketAddr,
    pub(crate) gate: Gate,
    stop: CancellationToken,
    task: JoinHandle<()>,
}

impl Running {
    /// Binds `address` and serves `endpoint` until [`Running::stop`].
    pub(crate) async fn bind<E>(address: SocketAddr, endpoint: E) -> Result<Self, Error>
    where
        E: FnOnce(&Gate) -> Box<dyn Fn(Request) -> Answer + Send + Sync>,
    {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| Error::bind(address, source))?;
        let address = listener
            .local_addr()
            .map_err(|source| Error::bind(address, source))?;
        let gate = Gate::default();
        let acceptor = GatedAcceptor {
            listener,
            address,
            gate: gate.clone(),
        };
        let endpoint = Handler {
            answer: endpoint(&gate),
            gate: gate.clone(),
        };
        let stop = CancellationToken::new();
        let signal = stop.clone().cancelled_owned();
        let task = tokio::spawn(async move {
            let run = Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(
                endpoint,
                signal,
                // A stopped stand-in behaves like a lost machine: it finishes nothing.
                Some(Duration::ZERO),
            );
            if let Err(error) = run.await {
                eprintln!("stand-in on {address} stopped: {error}");
            }
        });
        Ok(Self {
            address,
            gate,
            stop,
            task,
        })
    }

    /// Closes the listener and all connections.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.gate.cut_all();
        // A panic of the accept loop has already been printed.
        _ = self.task.await;
    }
}

/// Answer of a handler.
pub(crate) type Answer = Pin<Box<dyn Future<Output = poem::Response> + Send>>;

struct Handler {
    answer: Box<dyn Fn(Request) -> Answer + Send + Sync>,
    gate: Gate,
}

impl Endpoint for Handler {
    type Output = poem::Response;

    async fn call(&self, req: Request) -> poem::Result<Self::Output> {
        let switch = peer(&req).and_then(|peer| self.gate.switch(peer));
        let answer = (self.answer)(req);
        let Some(ended) = switch.map(|switch| switch.ended.clone()) else {
            return Ok(answer.await);
        };
        // Dropping the handler's future cancels its work.
        tokio::select! {
            biased;
            answer = answer => Ok(answer),
            () = ended.cancelled() => Ok(poem::Response::default()),
        }
    }
}

struct GatedAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    gate: Gate,
}

impl Acceptor for GatedAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Self::Io, LocalAddr, RemoteAddr, Scheme)> {
        let (stream, peer) = self.listener.accept().await?;
        stream.set_nodelay(true)?;
        let switch = Arc::new(Switch::default());
        lock(&self.gate.0.connections).insert(peer, Arc::downgrade(&switch));
        let connection = Connection {
            stream,
            peer,
            switch,
            gate: self.gate.clone(),
        };
        Ok((
            connection,
            LocalAddr(self.address.into()),
            RemoteAddr(peer.into()),
            Scheme::HTTP,
        ))
    }
}

/// A TCP connection under the control of a [`Gate`].
struct Connection {
    stream: TcpStream,
    peer: SocketAddr,
    switch: Arc<Switch>,
    gate: Gate,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.switch.ended.cancel();
        lock(&self.gate.0.connections).remove(&self.peer);
    }
}

impl Connection {
    /// Returns whether bytes may pass; the waker is stored before the switches are read, so no change is missed.
    fn poll_gate(&self, context: &Context<'_>, write: bool) -> Poll<io::Result<()>> {
        let mut wakers = lock(&self.switch.wakers);
        let place = if write { &mut wakers.1 } else { &mut wakers.0 };
        *place = Some(context.waker().clone());
        drop(wakers);
        if self.switch.cut.load(Ordering::SeqCst) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.gate.is_frozen() {
            return Poll::Pending;
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        std::task::ready!(self.poll_gate(cx, false))?;
        let result = std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, buf));
        if result.is_err() || (buf.filled().len() == before && buf.remaining() > 0) {
            self.switch.ended.cancel();
        }
        Poll::Ready(result)
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        std::task::ready!(self.poll_gate(cx, true))?;
        if self.switch.garbled.load(Ordering::SeqCst) {
            let garbage = vec![0xff; buf.len()];
            return Pin::new(&mut self.stream).poll_write(cx, &garbage);
        }
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        std::task::ready!(self.poll_gate(cx, true))?;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
