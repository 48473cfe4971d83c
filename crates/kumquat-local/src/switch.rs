//! The `switch` module provides forwarders between processes, through which a network can be partitioned.

use std::net::SocketAddr;

use eyre::Result;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::vm::loopback;

/// Bytes that are forwarded at once.
const BUFFER: usize = 64 * 1024;

/// What becomes of bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// They pass.
    #[default]
    Open,
    /// They are held back, and neither side notices.
    Held,
    /// Connections are closed, and new ones are closed at once.
    Closed,
}

/// A forwarder to one address.
#[derive(Debug)]
pub struct Switch {
    address: SocketAddr,
    mode: watch::Sender<Mode>,
}

impl Switch {
    /// Starts a forwarder to `target`; it ends with the returned handle.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub async fn open(target: SocketAddr) -> Result<Self> {
        let listener = TcpListener::bind(loopback()).await?;
        let address = listener.local_addr()?;
        let mode = watch::Sender::new(Mode::Open);
        tokio::spawn(accept(listener, target, mode.subscribe()));
        Ok(Self { address, mode })
    }

    /// Returns the address that leads to the target.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what becomes of bytes.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            changed = mode.changed() => match changed {
                Ok(()) => continue,
                Err(_) => return,
            },
        };
        if let Ok((stream, _)) = accepted {
            tokio::spawn(forward(stream, target, mode.clone()));
        }
    }
}

async fn forward(near: TcpStream, target: SocketAddr, mut mode: watch::Receiver<Mode>) {
    // A connection that is opened while bytes are held back is established later or never, as over a real network.
    let passable = mode.wait_for(|mode| *mode != Mode::Held).await;
    if !passable.is_ok_and(|mode| *mode == Mode::Open) {
        return;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return;
    };
    if near.set_nodelay(true).is_err() || far.set_nodelay(true).is_err() {
        return;
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let mut closed = mode.clone();
    tokio::select! {
        () = pump(near_read, far_write, mode.clone()) => {}
        () = pump(far_read, near_write, mode) => {}
        _ = closed.wait_for(|mode| *mode == Mode::Closed) => {}
    }
}

async fn pump(mut from: OwnedReadHalf, mut to: OwnedWriteHalf, mut mode: watch::Receiver<Mode>) {
    let mut buffer = vec![0; BUFFER];
    loop {
        let Ok(length) = from.read(&mut buffer).await else {
            return;
        };
        if mode.wait_for(|mode| *mode == Mode::Open).await.is_err() {
            return;
        }
        if length == 0 || to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
