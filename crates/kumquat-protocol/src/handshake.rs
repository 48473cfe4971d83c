//! The `handshake` module provides the mutual authentication at the start of a connection.
//!
//! Both sides send a hello with a fresh nonce, then prove that they know the cell's secret by a keyed digest over both
//! hellos. The types follow the order of the steps, so that no step can be left out:
//! [`Initiator`] -> [`Proving`] -> [`Session`] on the connecting side, [`respond`] -> [`Verifying`] -> [`Session`] on the
//! accepting side.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use kumquat_state::ident;

use crate::errors::{Error, Result};
use crate::frame::{Key, Opener, Sealer};

/// Version of the protocol; peers of another version are refused.
pub const VERSION: u16 = 1;

/// Largest handshake message in bytes.
pub const LIMIT: usize = 512;

/// Which program is at an end of the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Program {
    /// The entry daemon.
    Entry,
    /// The dispatch daemon.
    Dispatch,
}

/// Who is at an end of the connection.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// Name of the VM.
    pub vm: ident::Vm,
    /// Incarnation of the process.
    pub incarnation: ident::Incarnation,
    /// Program that runs there.
    pub program: Program,
    /// Data centre of the VM.
    pub data_centre: ident::DataCentre,
    /// Address on which the VM's dispatch process takes links.
    pub address: SocketAddr,
}

/// Secret that all processes of a cell share.
#[derive(Clone)]
pub struct Secret([u8; 32]);

impl Secret {
    /// Wraps the secret's bytes.
    #[must_use]
    pub const fn new(bytes: [u8; 32]) -> Self {
        Self(bytes)
    }
}

impl std::fmt::Debug for Secret {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// First message of each side.
#[derive(Debug, Serialize, Deserialize)]
struct Hello {
    version: u16,
    identity: Identity,
    nonce: [u8; 16],
}

/// An authenticated connection, ready for messages.
#[derive(Debug)]
pub struct Session {
    /// Who is at the other end.
    pub peer: Identity,
    /// Seals outgoing messages.
    pub sealer: Sealer,
    /// Opens incoming messages.
    pub opener: Opener,
}

/// Connecting side that has sent its hello.
#[derive(Debug)]
pub struct Initiator {
    secret: Secret,
    hello: Vec<u8>,
}

/// Connecting side that has sent its proof and waits for the other one.
#[derive(Debug)]
pub struct Proving {
    secret: Secret,
    peer: Identity,
    transcript: Vec<u8>,
}

/// Accepting side that waits for the connecting side's proof.
#[derive(Debug)]
pub struct Verifying {
    secret: Secret,
    peer: Identity,
    transcript: Vec<u8>,
}

impl Initiator {
    /// Starts a handshake and returns the hello to send.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the hello can't be encoded.
    pub fn start(secret: &Secret, identity: &Identity, nonce: [u8; 16]) -> Result<(Self, Vec<u8>)> {
        let hello = hello(identity, nonce)?;
        let initiator = Self {
            secret: secret.clone(),
            hello: hello.clone(),
        };
        Ok((initiator, hello))
    }

    /// Takes the other side's hello and returns the proof to send.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Version`] or [`Error::Malformed`] for a hello that can't be used.
    pub fn prove(self, peer_hello: &[u8]) -> Result<(Proving, Vec<u8>)> {
        let peer = parse_hello(peer_hello)?;
        let transcript = transcript(&self.hello, peer_hello);
        let proof = digest(&self.secret, "initiator", &transcript);
        let proving = Proving {
            secret: self.secret,
            peer,
            transcript,
        };
        Ok((proving, proof.to_vec()))
    }
}

impl Proving {
    /// Checks the other side's proof.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Authentication`] if the other side does not know the secret.
    pub fn finish(self, proof: &[u8]) -> Result<Session> {
        check(&digest(&self.secret, "responder", &self.transcript), proof)?;
        Ok(Session {
            peer: self.peer,
            sealer: Sealer::new(key(&self.secret, "from initiator", &self.transcript)),
            opener: Opener::new(key(&self.secret, "from responder", &self.transcript)),
        })
    }
}

/// Answers a hello on the accepting side and returns the hello to send back.
///
/// # Errors
///
/// Returns [`Error::Version`] or [`Error::Malformed`] for a hello that can't be used.
pub fn respond(
    secret: &Secret,
    identity: &Identity,
    nonce: [u8; 16],
    peer_hello: &[u8],
) -> Result<(Verifying, Vec<u8>)> {
    let peer = parse_hello(peer_hello)?;
    let hello = hello(identity, nonce)?;
    let verifying = Verifying {
        secret: secret.clone(),
        peer,
        transcript: transcript(peer_hello, &hello),
    };
    Ok((verifying, hello))
}

impl Verifying {
    /// Checks the connecting side's proof and returns the proof to send back.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Authentication`] if the other side does not know the secret.
    pub fn finish(self, proof: &[u8]) -> Result<(Session, Vec<u8>)> {
        check(&digest(&self.secret, "initiator", &self.transcript), proof)?;
        let own = digest(&self.secret, "responder", &self.transcript);
        let session = Session {
            peer: self.peer,
            sealer: Sealer::new(key(&self.secret, "from responder", &self.transcript)),
            opener: Opener::new(key(&self.secret, "from initiator", &self.transcript)),
        };
        Ok((session, own.to_vec()))
    }
}

fn hello(identity: &Identity, nonce: [u8; 16]) -> Result<Vec<u8>> {
    let hello = Hello {
        version: VERSION,
        identity: identity.clone(),
        nonce,
    };
    let mut bytes = Vec::new();
    ciborium::into_writer(&hello, &mut bytes)
        .map_err(|error| Error::malformed(error.to_string()))?;
    Ok(bytes)
}

fn parse_hello(bytes: &[u8]) -> Result<Identity> {
    if bytes.len() > LIMIT {
        return Err(Error::oversized(bytes.len(), LIMIT));
    }
    let hello: Hello =
        ciborium::from_reader(bytes).map_err(|error| Error::malformed(error.to_string()))?;
    if hello.version == VERSION {
        Ok(hello.identity)
    } else {
        Err(Error::Version {
            peer: hello.version,
            expected: VERSION,
        })
    }
}

fn transcript(initiator: &[u8], responder: &[u8]) -> Vec<u8> {
    // The length in front keeps the boundary between the two hellos unambiguous.
    let length = u64::try_from(initiator.len()).unwrap_or(u64::MAX);
    [&length.to_le_bytes(), initiator, responder].concat()
}

fn digest(secret: &Secret, label: &str, transcript: &[u8]) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new_keyed(&secret.0);
    hasher.update(b"kumquat handshake proof, ");
    hasher.update(label.as_bytes());
    hasher.update(transcript);
    *hasher.finalize().as_bytes()
}

fn key(secret: &Secret, label: &str, transcript: &[u8]) -> Key {
    let mut hasher = blake3::Hasher::new_keyed(&secret.0);
    hasher.update(b"kumquat session key, ");
    hasher.update(label.as_bytes());
    hasher.update(transcript);
    Key(*hasher.finalize().as_bytes())
}

fn check(expected: &[u8; 32], proof: &[u8]) -> Result<()> {
    if bool::from(expected.ct_eq(proof)) {
        Ok(())
    } else {
        Err(Error::authentication(
            "peer does not know the cell's secret",
        ))
    }
}
