//! The `documents` module provides the task that follows the bundle and the ledger of the VM's dispatch process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use kumquat_protocol::document::Assembly;
use kumquat_protocol::wire::{Kind, Message, Pull};
use kumquat_state::bundle::envelope::{Envelope, TrustList};
use kumquat_state::ledger::Ledger;
use kumquat_transport::{Error, Result, link};

use crate::config::Config;

/// Wait before the link to the dispatch process is opened again.
const RECONNECT: Duration = Duration::from_millis(100);

/// Where the documents come from.
#[derive(Clone, Debug)]
pub struct Source {
    /// Address of the VM's dispatch process.
    pub address: SocketAddr,
    /// Identity and secret.
    pub options: link::Options,
    /// Keys by which bundles have to be signed.
    pub trust: Arc<TrustList>,
}

/// Follows the documents until the entry shuts down.
pub async fn follow(source: Source, config: Arc<Config>, closing: CancellationToken) {
    while !closing.is_cancelled() {
        tokio::select! {
            () = closing.cancelled() => return,
            // The end of the link leads to a new one; the freshness of the bundle bounds how long that may take.
            _ = follow_link(&source, &config) => {}
        }
        sleep(RECONNECT).await;
    }
}

async fn follow_link(source: &Source, config: &Config) -> Result<()> {
    let mut link = link::open(source.address, &source.options).await?;
    let known_bundle = config.bundle().map_or(0, |bundle| bundle.version.0);
    let known_ledger = config.ledger().map_or(0, |ledger| ledger.revision.0);
    for (kind, known) in [(Kind::Bundle, known_bundle), (Kind::Ledger, known_ledger)] {
        link.sender
            .send(Message::Pull(Pull { kind, known }))
            .await?;
    }

    let mut bundle = Assembly::default();
    let mut ledger = Assembly::default();
    loop {
        match link.receiver.next().await? {
            Message::Document(document) => {
                let assembly = match document.kind {
                    Kind::Bundle => &mut bundle,
                    Kind::Ledger => &mut ledger,
                };
                if let Some(bytes) = assembly.push(&document)? {
                    apply(document.kind, &bytes, source, config)?;
                }
            }
            Message::Freshness(freshness) => {
                config.set_fresh(Duration::from_millis(u64::from(freshness.valid_ms)));
            }
            Message::Ping => link.sender.send(Message::Pong).await?,
            _ => {}
        }
    }
}

fn apply(kind: Kind, bytes: &[u8], source: &Source, config: &Config) -> Result<()> {
    match kind {
        Kind::Bundle => {
            let bundle = Envelope::decode(bytes)
                .and_then(|envelope| envelope.verify_and_parse(&source.trust))
                .map_err(|error| malformed(&error))?;
            config.set_bundle(bundle);
        }
        Kind::Ledger => {
            let ledger = Ledger::decode(bytes).map_err(|error| malformed(&error))?;
            config.set_ledger(ledger);
        }
    }
    Ok(())
}

fn malformed(error: &dyn std::fmt::Display) -> Error {
    kumquat_protocol::Error::malformed(error.to_string()).into()
}
