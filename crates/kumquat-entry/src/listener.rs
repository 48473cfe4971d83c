//! The `listener` module provides the connections of callers: their number, the time and size of their heads, and the
//! moment at which they end.
//!
//! Poem polls a failed connection again, so that the handler of a caller that has hung up would run on. Each connection
//! therefore signals its end, and the gateway drops the handler then. Limits on heads are kept here as well, because
//! poem does not hand hyper's own limits on.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::pin::Pin;
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use futures_util::FutureExt;
use poem::http::uri::Scheme;
use poem::listener::Acceptor;
use poem::web::{LocalAddr, RemoteAddr};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, Interest, ReadBuf, Ready};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::metrics::Metrics;

mod timer;

use timer::Timer;

/// Time between two looks at whether a caller has hung up behind unread bytes.
const LOOK: Duration = Duration::from_millis(100);

/// Wait after a failed accept; the usual cause is too many open files, which needs time to pass.
const ACCEPT_RETRY: Duration = Duration::from_millis(10);

/// Longest time for which input is read and dropped after the entry has closed its side.
///
/// Closing a socket with unread input resets the connection, and the caller would lose the answer.
const LINGER: Duration = Duration::from_secs(1);

/// Most bytes that are read and dropped after the entry has closed its side.
const LINGER_BYTES: usize = 1024 * 1024;

/// Most connections that linger at once; further ones are closed at once.
const LINGERING: usize = 256;

/// Parts of the table of connections, each with its own lock, so that requests seldom wait for each other.
const SHARDS: usize = 64;

/// Beginning of the HTTP/2 preface, which is no method of HTTP/1.1.
const HTTP2: &[u8] = b"PRI";

const BUSY: &str = "503 Service Unavailable";
const HEAD_SIZE: &str = "431 Request Header Fields Too Large";
const HEAD_TIME: &str = "408 Request Timeout";
const VERSION: &str = "505 HTTP Version Not Supported";

/// Bounds on the connections of one listener.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Most connections that are open at once.
    pub connections: usize,
    /// Most bytes of a head.
    pub head: usize,
    /// Longest time that a head may take from its first byte on.
    pub head_time: Duration,
    /// Longest time between two requests on a connection.
    pub idle_time: Duration,
    /// Longest time for which a caller may read nothing of an answer.
    pub write_time: Duration,
}

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum Phase {
    /// No byte of the next request has come.
    Idle,
    /// A head is coming.
    Head,
    /// The gateway has the request.
    Running,
    /// The answer is complete but may not have been sent yet.
    Answered,
}

/// A connection as the gateway sees it.
#[derive(Debug)]
pub struct Caller {
    peer: SocketAddr,
    stream: Weak<TcpStream>,
    phase: AtomicU8,
    ended: CancellationToken,
}

/// Marks the answer of a request as complete when it is dropped.
#[derive(Debug)]
pub struct Answering(Arc<Caller>);

impl Drop for Answering {
    fn drop(&mut self) {
        self.0.set(Phase::Answered);
    }
}

impl Caller {
    /// Returns the address of the caller.
    #[must_use]
    pub const fn ip(&self) -> IpAddr {
        self.peer.ip()
    }

    /// Waits until the caller has hung up.
    pub async fn ended(&self) {
        // While a body is held up or a further request has come, nothing is read, and the end stays behind the unread
        // bytes.
        while timeout(LOOK, self.ended.cancelled()).await.is_err() {
            if self.is_closed() {
                self.ended.cancel();
            }
        }
    }

    /// Returns whether the system has seen the caller close its side.
    fn is_closed(&self) -> bool {
        let Some(stream) = self.stream.upgrade() else {
            return true;
        };
        let ready = stream.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(Ready::is_read_closed))
    }

    /// Lets nothing more be sent.
    ///
    /// Poem polls a connection whose body has failed once more, and hyper then ends a chunked body as if it were whole.
    pub fn cut(&self) {
        self.ended.cancel();
    }

    /// Notes that the gateway has a request, until the returned value is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> Answering {
        self.set(Phase::Running);
        Answering(Arc::clone(self))
    }

    fn set(&self, phase: Phase) {
        self.phase.store(phase as u8, Ordering::Release);
    }

    fn phase(&self) -> Phase {
        match self.phase.load(Ordering::Acquire) {
            0 => Phase::Idle,
            1 => Phase::Head,
            2 => Phase::Running,
            _ => Phase::Answered,
        }
    }
}

/// The open connections of one listener.
#[derive(Debug)]
pub struct Connections {
    // Sorted by address within each part.
    shards: [Mutex<Vec<Arc<Caller>>>; SHARDS],
    limits: Limits,
    permits: Arc<Semaphore>,
    lingering: Arc<Semaphore>,
    metrics: Metrics,
}

impl Connections {
    fn new(limits: Limits, metrics: Metrics) -> Self {
        let permits = limits.connections.clamp(1, Semaphore::MAX_PERMITS);
        Self {
            shards: std::array::from_fn(|_| Mutex::default()),
            limits,
            permits: Arc::new(Semaphore::new(permits)),
            lingering: Arc::new(Semaphore::new(LINGERING)),
            metrics,
        }
    }

    /// Finds the connection from an address.
    #[must_use]
    pub fn find(&self, peer: SocketAddr) -> Option<Arc<Caller>> {
        let shard = self.shard(peer);
        let index = shard
            .binary_search_by_key(&peer, |caller| caller.peer)
            .ok()?;
        Some(Arc::clone(&shard[index]))
    }

    fn insert(&self, caller: &Arc<Caller>) {
        let mut shard = self.shard(caller.peer);
        let index = shard.partition_point(|other| other.peer < caller.peer);
        shard.insert(index, Arc::clone(caller));
        drop(shard);
        self.metrics.connections.inc();
    }

    fn remove(&self, caller: &Arc<Caller>) {
        let mut shard = self.shard(caller.peer);
        // A new connection from the same port may have come before the old one was dropped.
        shard.retain(|other| !Arc::ptr_eq(other, caller));
        drop(shard);
        self.metrics.connections.dec();
    }

    fn shard(&self, peer: SocketAddr) -> MutexGuard<'_, Vec<Arc<Caller>>> {
        self.shards[usize::from(peer.port()) % SHARDS]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn count(&self, kind: &str) {
        let closed = &self.metrics.closed_connections;
        closed.with_label_values(&[kind]).inc();
    }

    /// Sends a last answer, if any, and drops what the caller still sends.
    fn linger(
        &self,
        stream: TcpStream,
        status: Option<&'static str>,
        permit: Option<OwnedSemaphorePermit>,
    ) {
        let Ok(lingering) = Arc::clone(&self.lingering).try_acquire_owned() else {
            return;
        };
        // Outside a runtime, which is the end of the process, nobody waits for the answer.
        let Ok(runtime) = tokio::runtime::Handle::try_current() else {
            return;
        };
        runtime.spawn(async move {
            // The caller may be gone or not read, which the time limit covers.
            drop(timeout(LINGER, close(stream, status)).await);
            drop((permit, lingering));
        });
    }
}

/// Sends a last answer, closes the own side and waits until the caller closes the other one.
async fn close(mut stream: TcpStream, status: Option<&'static str>) -> io::Result<()> {
    if let Some(status) = status {
        let (_, text) = status.split_once(' ').unwrap_or(("", status));
        let body = format!(
            "{{\"error\":\"connection\",\"message\":\"{text}\",\"outcome\":\"not-run\"}}\n"
        );
        let head = format!(
            "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {}\r\nkumquat-outcome: not-run\r\n\
             retry-after: 1\r\nconnection: close\r\n\r\n",
            body.len(),
        );
        stream.write_all(head.as_bytes()).await?;
        stream.write_all(body.as_bytes()).await?;
    }
    stream.shutdown().await?;
    let mut scratch = vec![0; 8 * 1024];
    let mut left = LINGER_BYTES;
    while left > 0 {
        match stream.read(&mut scratch).await? {
            0 => break,
            count => left = left.saturating_sub(count),
        }
    }
    Ok(())
}

/// Accepts callers.
#[derive(Debug)]
pub struct CallerAcceptor {
    listener: TcpListener,
    address: SocketAddr,
    connections: Arc<Connections>,
}

impl CallerAcceptor {
    /// Binds the address for callers.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(address: SocketAddr, limits: Limits, metrics: Metrics) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self {
            listener,
            address,
            connections: Arc::new(Connections::new(limits, metrics)),
        })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the open connections.
    #[must_use]
    pub const fn connections(&self) -> &Arc<Connections> {
        &self.connections
    }
}

impl Acceptor for CallerAcceptor {
    type Io = Connection;

    fn local_addr(&self) -> Vec<LocalAddr> {
        vec![LocalAddr(self.address.into())]
    }

    async fn accept(&mut self) -> io::Result<(Connection, LocalAddr, RemoteAddr, Scheme)> {
        loop {
            let accepted = self.listener.accept().await;
            let Ok((stream, peer)) = accepted else {
                sleep(ACCEPT_RETRY).await;
                continue;
            };
            let connections = &self.connections;
            let Ok(permit) = Arc::clone(&connections.permits).try_acquire_owned() else {
                connections.count("limit");
                connections.linger(stream, Some(BUSY), None);
                continue;
            };
            // The option only saves time, so a socket that can't have it still works.
            drop(stream.set_nodelay(true));
            let connection = Connection::new(stream, peer, connections, permit);
            let local = LocalAddr(self.address.into());
            return Ok((connection, local, RemoteAddr(peer.into()), Scheme::HTTP));
        }
    }
}

/// The connection of one caller.
#[derive(Debug)]
pub struct Connection {
    // None once a last answer has been handed to a task of its own.
    stream: Option<Arc<TcpStream>>,
    caller: Arc<Caller>,
    connections: Arc<Connections>,
    permit: Option<OwnedSemaphorePermit>,
    reading: Timer,
    writing: Timer,
    head_bytes: usize,
    is_first_read: bool,
    is_rejected: bool,
}

impl Drop for Connection {
    fn drop(&mut self) {
        let hung_up = self.caller.ended.is_cancelled();
        self.caller.ended.cancel();
        self.connections.remove(&self.caller);
        if !hung_up && let Some(stream) = self.stream.take().and_then(Arc::into_inner) {
            let permit = self.permit.take();
            self.connections.linger(stream, None, permit);
        }
    }
}

impl Connection {
    fn new(
        stream: TcpStream,
        peer: SocketAddr,
        connections: &Arc<Connections>,
        permit: OwnedSemaphorePermit,
    ) -> Self {
        let stream = Arc::new(stream);
        let caller = Arc::new(Caller {
            peer,
            stream: Arc::downgrade(&stream),
            phase: AtomicU8::new(Phase::Idle as u8),
            ended: CancellationToken::new(),
        });
        connections.insert(&caller);
        let mut reading = Timer::default();
        reading.start(Instant::now() + connections.limits.idle_time);
        Self {
            stream: Some(stream),
            caller,
            connections: Arc::clone(connections),
            permit: Some(permit),
            reading,
            writing: Timer::default(),
            head_bytes: 0,
            is_first_read: true,
            is_rejected: false,
        }
    }

    /// Ends the connection with a last answer; hyper sees the end of the input.
    fn reject(&mut self, kind: &str, status: &'static str) {
        self.connections.count(kind);
        if let Some(stream) = self.stream.take().and_then(Arc::into_inner) {
            let permit = self.permit.take();
            self.connections.linger(stream, Some(status), permit);
        }
        self.caller.ended.cancel();
    }

    /// Ends the connection if the caller has used up its time or size.
    fn enforce(&mut self, context: &mut Context<'_>) {
        match self.caller.phase() {
            Phase::Idle => {
                if self.reading.poll_due(context) {
                    self.connections.count("idle");
                    self.stream = None;
                    self.caller.ended.cancel();
                }
            }
            Phase::Head if self.head_bytes > self.connections.limits.head => {
                self.reject("head-size", HEAD_SIZE);
            }
            Phase::Head => {
                if self.reading.poll_due(context) {
                    self.reject("head-slow", HEAD_TIME);
                }
            }
            Phase::Running | Phase::Answered => {}
        }
    }

    /// Takes note of bytes that have come in.
    fn arrived(&mut self, bytes: &[u8]) {
        if self.is_first_read {
            self.is_first_read = false;
            // One connection of HTTP/2 could hold any number of requests, past the limit on connections.
            if bytes.starts_with(HTTP2) {
                return self.reject("version", VERSION);
            }
        }
        match self.caller.phase() {
            Phase::Idle => {
                self.caller.set(Phase::Head);
                self.head_bytes = bytes.len();
                let limit = self.connections.limits.head_time;
                self.reading.start(Instant::now() + limit);
            }
            Phase::Head => self.head_bytes += bytes.len(),
            Phase::Running | Phase::Answered => {}
        }
    }

    /// Counts an answer that hyper itself gives to a head that it can't use.
    fn note_rejection(&mut self, bytes: &[u8]) {
        let unasked = matches!(self.caller.phase(), Phase::Idle | Phase::Head);
        if !unasked || self.is_rejected {
            return;
        }
        self.is_rejected = true;
        let kind = match bytes.get(9..12) {
            Some(b"431" | b"414") => "head-size",
            _ => "malformed",
        };
        self.connections.count(kind);
    }

    fn poll_write_with(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        // The handler of a caller that has hung up ends with an empty answer, which must not be sent.
        let open = !self.caller.ended.is_cancelled();
        let Some(stream) = self.stream.as_ref().filter(|_| open) else {
            return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into()));
        };
        let result = retry(context, TcpStream::poll_write_ready, write, stream);
        if result.is_ready() {
            self.writing.stop();
            if !matches!(result, Poll::Ready(Ok(_))) {
                self.caller.ended.cancel();
            }
            return result;
        }
        if !self.writing.is_started() {
            let limit = self.connections.limits.write_time;
            self.writing.start(Instant::now() + limit);
        }
        if !self.writing.poll_due(context) {
            return Poll::Pending;
        }
        self.connections.count("stalled");
        self.stream = None;
        self.caller.ended.cancel();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Repeats an operation of a shared socket until it does something or has to wait.
fn retry(
    context: &mut Context<'_>,
    poll_ready: impl Fn(&TcpStream, &mut Context<'_>) -> Poll<io::Result<()>>,
    mut operate: impl FnMut(&TcpStream) -> io::Result<usize>,
    stream: &TcpStream,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(poll_ready(stream, context))?;
        match operate(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}

impl AsyncRead for Connection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.enforce(cx);
        let before = buf.filled().len();
        let Some(stream) = self.stream.as_ref() else {
            return Poll::Ready(Ok(()));
        };
        let read = |stream: &TcpStream| stream.try_read_buf(buf);
        let result = ready!(retry(cx, TcpStream::poll_read_ready, read, stream));
        let count = buf.filled().len() - before;
        if result.is_err() || (count == 0 && buf.remaining() > 0) {
            self.caller.ended.cancel();
        } else if count > 0 {
            self.arrived(&buf.filled()[before..]);
            if self.stream.is_none() {
                buf.set_filled(before);
            }
        }
        Poll::Ready(result.map(|_| ()))
    }
}

impl AsyncWrite for Connection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.note_rejection(buf);
        self.poll_write_with(cx, |stream| stream.try_write(buf))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        if let Some(first) = bufs.first() {
            self.note_rejection(first);
        }
        self.poll_write_with(cx, |stream| stream.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Hyper flushes only after it has written all that it has of the answer.
        if self.caller.phase() == Phase::Answered {
            self.caller.set(Phase::Idle);
            let limit = self.connections.limits.idle_time;
            self.reading.start(Instant::now() + limit);
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // The connection is dropped next, which closes it without a reset.
        Poll::Ready(Ok(()))
    }
}
