//! The `link` module provides authenticated message links between processes over WebSocket.
//!
//! A link has a bounded queue towards the peer; a writer task seals what is queued and flushes once the queue is empty, so
//! that many small messages share a segment. See `docs/design.md`, section 8.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use futures_util::stream::{SplitSink, SplitStream};
use futures_util::{SinkExt, StreamExt};
use socket2::{SockRef, TcpKeepalive};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_tungstenite::tungstenite::{self, Message as Packet};
use tokio_util::sync::CancellationToken;

use kumquat_protocol::frame::{LIMIT, Opener, Sealer};
use kumquat_protocol::handshake::{self, Identity, Initiator, Secret, Session};
use kumquat_protocol::wire::Message;

use crate::errors::{Error, Result};

/// Time within which a peer has to finish connecting and the handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Messages that wait for the writer of a link.
const QUEUE: usize = 1_024;

/// Longest time that a write may wait for the peer to read.
///
/// A peer that reads nothing for this long is taken for lost; its streams end and can be retried elsewhere.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Silence after which the system asks whether the peer is still there.
const KEEPALIVE_TIME: Duration = Duration::from_secs(10);

/// Time between two such questions.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);

/// Questions without an answer after which the connection ends.
const KEEPALIVE_RETRIES: u32 = 3;

/// What a process needs to open or accept links.
#[derive(Clone, Debug)]
pub struct Options {
    /// Who this process is.
    pub identity: Identity,
    /// Secret of the cell.
    pub secret: Secret,
}

/// An open link.
#[derive(Debug)]
pub struct Link {
    /// Who is at the other end.
    pub peer: Identity,
    /// Sending half.
    pub sender: Sender,
    /// Receiving half.
    pub receiver: Receiver,
}

/// Sending half of a link; clones share the queue.
#[derive(Clone, Debug)]
pub struct Sender {
    queue: mpsc::Sender<Message>,
    closed: CancellationToken,
    fault: Arc<OnceLock<Fault>>,
    sent: Arc<AtomicU64>,
}

/// What a peer did wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It speaks another version of the protocol.
    Version,
    /// It sent more at once than is allowed.
    Oversized,
    /// It does not know the secret, or a frame was altered or replayed.
    Authentication,
    /// It sent something that does not decode.
    Malformed,
    /// It did not finish the handshake in time.
    Timeout,
}

impl Fault {
    /// Returns the name used in metrics.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Version => "version",
            Self::Oversized => "oversized",
            Self::Authentication => "authentication",
            Self::Malformed => "malformed",
            Self::Timeout => "handshake-timeout",
        }
    }

    /// Returns what an error says about the peer; none if the connection merely ended.
    #[must_use]
    pub const fn of(error: &Error) -> Option<Self> {
        Some(match error {
            Error::Protocol(kumquat_protocol::Error::Version { .. }) => Self::Version,
            Error::Protocol(kumquat_protocol::Error::Oversized { .. }) => Self::Oversized,
            Error::Protocol(kumquat_protocol::Error::Authentication(_)) => Self::Authentication,
            Error::Protocol(kumquat_protocol::Error::Malformed(_)) => Self::Malformed,
            Error::HandshakeTimeout => Self::Timeout,
            _ => return None,
        })
    }
}

/// Receiving half of a link.
#[derive(Debug)]
pub struct Receiver {
    packets: SplitStream<WebSocketStream<TcpStream>>,
    opener: Opener,
    closed: CancellationToken,
    fault: Arc<OnceLock<Fault>>,
}

/// Accepts links.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    options: Options,
}

/// A TCP connection whose handshake is still to come.
#[derive(Debug)]
pub struct Pending {
    stream: TcpStream,
    address: IpAddr,
    options: Options,
}

impl Listener {
    /// Binds the address on which peers connect.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Bind`] if the address can't be bound.
    pub async fn bind(address: SocketAddr, options: Options) -> Result<Self> {
        let listener = TcpListener::bind(address)
            .await
            .map_err(|source| Error::bind(address, source))?;
        Ok(Self { listener, options })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the system can't tell the address.
    pub fn address(&self) -> Result<SocketAddr> {
        self.listener.local_addr().map_err(Error::connect)
    }

    /// Returns who this process says it is.
    #[must_use]
    pub const fn identity(&self) -> &Identity {
        &self.options.identity
    }

    /// Sets the address that the identity states, which may be known only after binding.
    pub const fn set_address(&mut self, address: SocketAddr) {
        self.options.identity.address = address;
    }

    /// Waits for the next connection; its handshake is run by [`Pending::open`], so that a slow peer holds up no other.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Connect`] if the system can't accept a connection.
    pub async fn accept(&self) -> Result<Pending> {
        let (stream, peer) = self.listener.accept().await.map_err(Error::connect)?;
        Ok(Pending {
            stream,
            address: peer.ip(),
            options: self.options.clone(),
        })
    }
}

impl Pending {
    /// Returns the address from which the peer connects.
    #[must_use]
    pub const fn address(&self) -> IpAddr {
        self.address
    }

    /// Runs the handshake and returns the link.
    ///
    /// # Errors
    ///
    /// Returns an error if the peer is slow, speaks another version or does not know the secret.
    pub async fn open(self) -> Result<Link> {
        timeout(HANDSHAKE_TIMEOUT, self.negotiate())
            .await
            .unwrap_or(Err(Error::HandshakeTimeout))
    }

    async fn negotiate(self) -> Result<Link> {
        set_options(&self.stream)?;
        let mut socket = tokio_tungstenite::accept_async_with_config(self.stream, Some(limits()))
            .await
            .map_err(packet_error)?;

        let hello = read_packet(&mut socket).await?;
        let (verifying, own) = handshake::respond(
            &self.options.secret,
            &self.options.identity,
            rand::random(),
            &hello,
        )?;
        write_packet(&mut socket, own).await?;

        let proof = read_packet(&mut socket).await?;
        let (session, own) = verifying.finish(&proof)?;
        write_packet(&mut socket, own).await?;
        Ok(start(socket, session))
    }
}

/// Opens a link to a peer.
///
/// # Errors
///
/// Returns an error if the peer can't be reached, is slow, speaks another version or does not know the secret.
pub async fn open(address: SocketAddr, options: &Options) -> Result<Link> {
    timeout(HANDSHAKE_TIMEOUT, connect(address, options))
        .await
        .unwrap_or(Err(Error::HandshakeTimeout))
}

async fn connect(address: SocketAddr, options: &Options) -> Result<Link> {
    let stream = TcpStream::connect(address).await.map_err(Error::connect)?;
    set_options(&stream)?;
    let (mut socket, _) = tokio_tungstenite::client_async_with_config(
        format!("ws://{address}/peer"),
        stream,
        Some(limits()),
    )
    .await
    .map_err(Error::connect)?;

    let (initiator, hello) = Initiator::start(&options.secret, &options.identity, rand::random())?;
    write_packet(&mut socket, hello).await?;
    let peer_hello = read_packet(&mut socket).await?;
    let (proving, proof) = initiator.prove(&peer_hello)?;
    write_packet(&mut socket, proof).await?;
    let peer_proof = read_packet(&mut socket).await?;
    let session = proving.finish(&peer_proof)?;
    Ok(start(socket, session))
}

/// Sends small messages at once, and has the system notice a peer that is gone without a word.
///
/// A link on which nothing is expected may be silent for long. Without keepalive, the side that only answers would keep
/// the links of lost VMs for ever.
fn set_options(stream: &TcpStream) -> Result<()> {
    stream.set_nodelay(true).map_err(Error::connect)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_RETRIES);
    SockRef::from(stream)
        .set_tcp_keepalive(&keepalive)
        .map_err(Error::connect)
}

fn limits() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(LIMIT))
        .max_frame_size(Some(LIMIT))
}

async fn read_packet<S>(socket: &mut WebSocketStream<S>) -> Result<Vec<u8>>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    match socket.next().await {
        Some(Ok(Packet::Binary(bytes))) => Ok(bytes.to_vec()),
        Some(Ok(_)) => Err(kumquat_protocol::Error::malformed("expected a binary packet").into()),
        Some(Err(error)) => Err(packet_error(error)),
        None => Err(Error::Closed),
    }
}

/// Tells packets that break the limits or the rules of WebSocket from connections that ended.
fn packet_error(error: tungstenite::Error) -> Error {
    match error {
        tungstenite::Error::Capacity(_) => {
            kumquat_protocol::Error::oversized(LIMIT + 1, LIMIT).into()
        }
        tungstenite::Error::Protocol(
            tungstenite::error::ProtocolError::ResetWithoutClosingHandshake,
        ) => Error::Closed,
        tungstenite::Error::Protocol(_)
        | tungstenite::Error::Utf8(_)
        | tungstenite::Error::Http(_)
        | tungstenite::Error::HttpFormat(_)
        | tungstenite::Error::AttackAttempt => {
            kumquat_protocol::Error::malformed(error.to_string()).into()
        }
        error => Error::connect(error),
    }
}

async fn write_packet<S>(socket: &mut WebSocketStream<S>, bytes: Vec<u8>) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    socket
        .send(Packet::Binary(bytes.into()))
        .await
        .map_err(Error::connect)
}

fn start(socket: WebSocketStream<TcpStream>, session: Session) -> Link {
    let (sink, packets) = socket.split();
    let (queue, messages) = mpsc::channel(QUEUE);
    let closed = CancellationToken::new();
    let fault = Arc::default();
    let sent = Arc::new(AtomicU64::new(0));
    let writer = Writer {
        sink,
        sealer: session.sealer,
        sent: Arc::clone(&sent),
    };
    tokio::spawn(write(writer, messages, closed.clone()));
    Link {
        peer: session.peer,
        sender: Sender {
            queue,
            closed: closed.clone(),
            fault: Arc::clone(&fault),
            sent,
        },
        receiver: Receiver {
            packets,
            opener: session.opener,
            closed,
            fault,
        },
    }
}

/// Writing half of a connection.
struct Writer {
    sink: SplitSink<WebSocketStream<TcpStream>, Packet>,
    sealer: Sealer,
    sent: Arc<AtomicU64>,
}

/// Writes queued messages until the link is closed or the peer stops reading.
async fn write(
    mut writer: Writer,
    mut messages: mpsc::Receiver<Message>,
    closed: CancellationToken,
) {
    loop {
        if closed.is_cancelled() {
            break;
        }
        let message = tokio::select! {
            biased;
            message = messages.recv() => message,
            () = closed.cancelled() => break,
        };
        let Some(message) = message else { break };
        let batch = writer.write_batch(message, &mut messages);
        if !matches!(timeout(WRITE_TIMEOUT, batch).await, Ok(Ok(()))) {
            break;
        }
    }
    closed.cancel();
    // The peer notices the end from the closed connection as well, so a failure here changes nothing.
    drop(timeout(HANDSHAKE_TIMEOUT, writer.sink.close()).await);
}

impl Writer {
    async fn write_batch(
        &mut self,
        first: Message,
        messages: &mut mpsc::Receiver<Message>,
    ) -> Result<()> {
        let mut next = Some(first);
        while let Some(message) = next {
            let frame = self.sealer.seal(&message)?;
            let size = u64::try_from(frame.len()).unwrap_or(u64::MAX);
            self.sent.fetch_add(size, Ordering::Relaxed);
            self.sink
                .feed(Packet::Binary(frame.into()))
                .await
                .map_err(Error::connect)?;
            next = messages.try_recv().ok();
        }
        self.sink.flush().await.map_err(Error::connect)
    }
}

impl Sender {
    /// Queues a message and waits while the queue is full.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the link has ended.
    pub async fn send(&self, message: Message) -> Result<()> {
        if self.closed.is_cancelled() {
            return Err(Error::Closed);
        }
        // The queue comes first: waiting for the end registers with a lock that all users of the link share.
        tokio::select! {
            biased;
            sent = self.queue.send(message) => sent.or(Err(Error::Closed)),
            () = self.closed.cancelled() => Err(Error::Closed),
        }
    }

    /// Queues a message unless the queue is full.
    ///
    /// Heartbeats use it: one that would wait behind a full queue is worth nothing.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] if the link has ended or the queue is full.
    pub fn try_send(&self, message: Message) -> Result<()> {
        if self.closed.is_cancelled() {
            return Err(Error::Closed);
        }
        self.queue.try_send(message).or(Err(Error::Closed))
    }

    /// Returns the bytes of all frames sent so far, without the overhead of WebSocket and TCP.
    #[must_use]
    pub fn sent_bytes(&self) -> u64 {
        self.sent.load(Ordering::Relaxed)
    }

    /// Ends the link in both directions.
    pub fn close(&self) {
        self.closed.cancel();
    }

    /// Returns whether the link has ended.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns what the peer did wrong if the link has ended for that.
    #[must_use]
    pub fn fault(&self) -> Option<Fault> {
        self.fault.get().copied()
    }

    /// Waits until the link has ended.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }
}

impl Receiver {
    /// Waits for the next message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Closed`] or [`Error::Connect`] when the link has ended, or a protocol error, after which the link
    /// is closed.
    pub async fn next(&mut self) -> Result<Message> {
        loop {
            let packet = if self.closed.is_cancelled() {
                None
            } else {
                tokio::select! {
                    biased;
                    packet = self.packets.next() => packet,
                    () = self.closed.cancelled() => None,
                }
            };
            let result = match packet {
                Some(Ok(Packet::Binary(frame))) => self.opener.open(&frame).map_err(Error::from),
                // The library answers pings by itself.
                Some(Ok(Packet::Ping(_) | Packet::Pong(_))) => continue,
                Some(Ok(Packet::Text(_))) => {
                    Err(kumquat_protocol::Error::malformed("expected a binary packet").into())
                }
                Some(Ok(_)) | None => Err(Error::Closed),
                Some(Err(error)) => Err(packet_error(error)),
            };
            if let Err(error) = &result {
                if let Some(fault) = Fault::of(error) {
                    // Only the first fault counts, after which the link is closed.
                    let _later = self.fault.set(fault);
                }
                self.closed.cancel();
            }
            return result;
        }
    }
}
