//! The `envelope` module provides the signed form in which a bundle is stored and passed on.
//!
//! Every VM verifies the signatures itself, so that neither the store nor a peer can bring a bundle into force. See
//! `docs/design.md`, sections 2.1 and 6.

use std::fmt;
use std::str::FromStr;

use ed25519_dalek::{Signer as _, VerifyingKey};
use rand::CryptoRng;
use serde::{Deserialize, Serialize};

use crate::bundle::{Bundle, Problem, parse};
use crate::codec;
use crate::document;
use crate::ident;

/// Separates these signatures from all other uses of the same keys.
const DOMAIN: &str = "kumquatpond 2026 bundle envelope v1";

/// Longest reason, in bytes.
pub const REASON_LIMIT: usize = 1_024;

/// Most signatures of an envelope.
pub const SIGNATURE_LIMIT: usize = 64;

/// First word of the text form of a private key.
const PRIVATE: &str = "kumquat-signing-key-v1";

/// First word of the text form of a public key.
const PUBLIC: &str = "kumquat-public-key-v1";

/// Errors of envelopes, keys and trust lists.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The envelope is longer than a document may be, or one of its fields is too long.
    #[error("{what} has length {length}, at most {limit} is possible")]
    TooLong {
        /// What is too long.
        what: &'static str,
        /// Length that was found.
        length: usize,
        /// Greatest permitted length.
        limit: usize,
    },
    /// The bytes are no envelope.
    #[error("not an envelope: {0}")]
    Decode(String),
    /// The envelope can't be encoded.
    #[error("envelope can't be encoded: {0}")]
    Encode(String),
    /// Too few trusted signers have signed.
    #[error("{valid} valid signatures by trusted signers, {needed} are needed")]
    Threshold {
        /// Number of distinct trusted signers with a valid signature.
        valid: usize,
        /// Number that is needed.
        needed: usize,
    },
    /// The version is not the previous one plus one, or differs from the one in the text.
    #[error("envelope has version {version} after {previous}, its text has version {text}")]
    Version {
        /// Version of the envelope.
        version: ident::Version,
        /// Version that it replaces.
        previous: ident::Version,
        /// Version in the text.
        text: ident::Version,
    },
    /// The text is no bundle.
    #[error("the text has {} problems, the first: {}", .0.len(), first(.0))]
    Text(Vec<Problem>),
    /// The text is no key; the message does not repeat it.
    #[error("not a key file: expected one line of the form {0} NAME HEX")]
    Key(&'static str),
    /// The trust list can't be met, or counts someone twice.
    #[error("invalid trust list: {0}")]
    Trust(String),
}

impl Error {
    fn too_long(what: &'static str, length: usize, limit: usize) -> Self {
        Self::TooLong {
            what,
            length,
            limit,
        }
    }

    fn trust(reason: impl Into<String>) -> Self {
        Self::Trust(reason.into())
    }
}

fn first(problems: &[Problem]) -> String {
    problems
        .first()
        .map_or_else(|| "none".to_owned(), Problem::to_string)
}

/// A private key with the name of its owner.
pub struct SigningKey {
    signer: ident::Signer,
    key: ed25519_dalek::SigningKey,
}

impl SigningKey {
    /// Draws a new key.
    #[must_use]
    pub fn generate<R: CryptoRng + ?Sized>(signer: ident::Signer, random: &mut R) -> Self {
        let key = ed25519_dalek::SigningKey::generate(random);
        Self { signer, key }
    }

    /// Returns the name of the owner.
    #[must_use]
    pub fn signer(&self) -> &ident::Signer {
        &self.signer
    }

    /// Returns the public key.
    #[must_use]
    pub fn public(&self) -> PublicKey {
        PublicKey {
            signer: self.signer.clone(),
            key: self.key.verifying_key(),
        }
    }

    /// Returns the text of a private key file; it has to be readable by its owner only.
    #[must_use]
    pub fn expose(&self) -> String {
        let hex = codec::to_hex(self.key.as_bytes());
        format!("{PRIVATE} {} {hex}\n", self.signer)
    }
}

impl fmt::Debug for SigningKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "SigningKey({}, ..)", self.signer)
    }
}

impl FromStr for SigningKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (signer, bytes) = read_key(text, PRIVATE)?;
        let key = ed25519_dalek::SigningKey::from_bytes(&bytes);
        Ok(Self { signer, key })
    }
}

/// A public key with the name of its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublicKey {
    /// Name of the owner.
    pub signer: ident::Signer,
    key: VerifyingKey,
}

impl PublicKey {
    /// Creates a public key from its bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no key, or a weak one, which verifies signatures that nobody made.
    pub fn from_bytes(signer: ident::Signer, bytes: &[u8; 32]) -> Result<Self, Error> {
        let key = VerifyingKey::from_bytes(bytes)
            .ok()
            .filter(|key| !key.is_weak())
            .ok_or(Error::Key(PUBLIC))?;
        Ok(Self { signer, key })
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{PUBLIC} {} {}",
            self.signer,
            codec::to_hex(self.key.as_bytes())
        )
    }
}

impl FromStr for PublicKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (signer, bytes) = read_key(text, PUBLIC)?;
        Self::from_bytes(signer, &bytes)
    }
}

fn read_key(text: &str, kind: &'static str) -> Result<(ident::Signer, [u8; 32]), Error> {
    let mut words = text.split_whitespace();
    let (first, name, hex, rest) = (words.next(), words.next(), words.next(), words.next());
    if first != Some(kind) || rest.is_some() {
        return Err(Error::Key(kind));
    }
    let signer = name.and_then(|name| name.parse().ok());
    let bytes = hex.and_then(codec::from_hex);
    signer.zip(bytes).ok_or(Error::Key(kind))
}

/// The signers whose signatures count, and how many of them have to sign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trust {
    signers: Vec<(ident::Signer, VerifyingKey)>,
    threshold: usize,
}

impl Trust {
    /// Creates a trust list.
    ///
    /// # Errors
    ///
    /// Returns an error if a name or a key is there twice, or if the threshold is zero or above the number of signers.
    pub fn new(keys: Vec<PublicKey>, threshold: usize) -> Result<Self, Error> {
        let mut signers: Vec<_> = keys.into_iter().map(|key| (key.signer, key.key)).collect();
        signers.sort_by(|a, b| a.0.cmp(&b.0));
        if let Some(pair) = signers.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            return Err(Error::trust(format!("signer {} is there twice", pair[0].0)));
        }
        // One person with two names could sign twice.
        let mut bytes: Vec<&[u8; 32]> = signers.iter().map(|(_, key)| key.as_bytes()).collect();
        bytes.sort_unstable();
        if bytes.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(Error::trust("two signers have the same public key"));
        }
        if !(1..=signers.len()).contains(&threshold) {
            return Err(Error::trust(format!(
                "{threshold} of {} signers are needed, expected 1 to {}",
                signers.len(),
                signers.len()
            )));
        }
        Ok(Self { signers, threshold })
    }

    /// Returns the number of distinct signers that have to sign.
    #[must_use]
    pub fn threshold(&self) -> usize {
        self.threshold
    }

    /// Returns the names of the signers, sorted.
    pub fn signers(&self) -> impl Iterator<Item = &ident::Signer> {
        self.signers.iter().map(|(signer, _)| signer)
    }

    fn key(&self, signer: &ident::Signer) -> Option<&VerifyingKey> {
        let index = self
            .signers
            .binary_search_by(|(name, _)| name.cmp(signer))
            .ok()?;
        Some(&self.signers[index].1)
    }
}

/// A signature with the name of its signer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// Who claims to have signed.
    pub signer: ident::Signer,
    /// The ed25519 signature.
    #[serde(with = "serde_bytes")]
    pub bytes: [u8; 64],
}

/// A bundle's text with everything that was signed along with it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the bundle.
    pub version: ident::Version,
    /// Version that it replaces; exactly one less.
    pub previous: ident::Version,
    /// Text form of the bundle.
    pub text: String,
    /// Operator who wrote the bundle.
    pub author: ident::Signer,
    /// Why the bundle was written.
    pub reason: String,
    /// Id of the change, by which a lost answer of the store is resolved.
    pub operation: ident::Operation,
    /// Signatures over everything above.
    pub signatures: Vec<Signature>,
}

impl Envelope {
    /// Returns the digest that is signed.
    #[must_use]
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_derive_key(DOMAIN);
        hasher.update(&self.version.0.to_be_bytes());
        hasher.update(&self.previous.0.to_be_bytes());
        hasher.update(&self.operation.0.to_be_bytes());
        // Lengths keep one field from continuing in the next.
        for field in [
            self.text.as_str(),
            self.author.as_str(),
            self.reason.as_str(),
        ] {
            hasher.update(&(field.len() as u64).to_be_bytes());
            hasher.update(field.as_bytes());
        }
        *hasher.finalize().as_bytes()
    }

    /// Adds a signature, or replaces the one by the same signer.
    pub fn sign(&mut self, key: &SigningKey) {
        let bytes = key.key.sign(&self.digest()).to_bytes();
        self.signatures
            .retain(|signature| signature.signer != key.signer);
        self.signatures.push(Signature {
            signer: key.signer.clone(),
            bytes,
        });
    }

    /// Checks that enough distinct trusted signers have signed this content.
    ///
    /// Signatures by unknown signers, repeated ones and wrong ones don't count.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too few valid signatures, or a field is beyond its limit.
    pub fn verify(&self, trust: &Trust) -> Result<(), Error> {
        self.check_limits()?;
        let digest = self.digest();
        let mut valid: Vec<&ident::Signer> = self
            .signatures
            .iter()
            .filter(|signature| {
                let bytes = ed25519_dalek::Signature::from_bytes(&signature.bytes);
                trust
                    .key(&signature.signer)
                    .is_some_and(|key| key.verify_strict(&digest, &bytes).is_ok())
            })
            .map(|signature| &signature.signer)
            .collect();
        valid.sort();
        valid.dedup();
        if valid.len() >= trust.threshold {
            Ok(())
        } else {
            Err(Error::Threshold {
                valid: valid.len(),
                needed: trust.threshold,
            })
        }
    }

    /// Reads the bundle without looking at the signatures, and checks its version.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has problems, or the versions contradict each other.
    pub fn bundle(&self) -> Result<Bundle, Error> {
        self.check_limits()?;
        let bundle = parse(&self.text).map_err(Error::Text)?;
        let successor = self.previous.0.checked_add(1) == Some(self.version.0);
        if successor && bundle.version == self.version {
            Ok(bundle)
        } else {
            Err(Error::Version {
                version: self.version,
                previous: self.previous,
                text: bundle.version,
            })
        }
    }

    /// Verifies the signatures and returns the bundle.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Envelope::verify`] and [`Envelope::bundle`].
    pub fn open(&self, trust: &Trust) -> Result<Bundle, Error> {
        // Unsigned text is not even parsed.
        self.verify(trust)?;
        self.bundle()
    }

    /// Encodes the envelope.
    ///
    /// # Errors
    ///
    /// Returns an error if a field or the whole is beyond its limit.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        self.check_limits()?;
        let bytes = codec::encode(self).map_err(Error::Encode)?;
        check_length("envelope", bytes.len(), document::DOCUMENT_LIMIT_BYTES)?;
        Ok(bytes)
    }

    /// Decodes an envelope; the signatures are not verified.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no envelope, or one beyond the limits.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        check_length("envelope", bytes.len(), document::DOCUMENT_LIMIT_BYTES)?;
        let envelope: Self = codec::decode(bytes).map_err(Error::Decode)?;
        envelope.check_limits()?;
        Ok(envelope)
    }

    fn check_limits(&self) -> Result<(), Error> {
        check_length("reason", self.reason.len(), REASON_LIMIT)?;
        check_length("list of signatures", self.signatures.len(), SIGNATURE_LIMIT)
    }
}

fn check_length(what: &'static str, length: usize, limit: usize) -> Result<(), Error> {
    if length > limit {
        Err(Error::too_long(what, length, limit))
    } else {
        Ok(())
    }
}
