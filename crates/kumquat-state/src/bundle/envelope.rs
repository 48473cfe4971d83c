//! The `envelope` module provides the signed envelope in which a bundle is stored and distributed.
//!
//! Each VM verifies the signatures itself, so that a compromised store or peer can't deploy a bundle. See
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

/// Context of the BLAKE3 key derivation, which separates these signatures from other uses of the same keys.
const DIGEST_CONTEXT: &str = "kumquatpond 2026 bundle envelope v1";

/// Maximum length of the reason, in bytes.
pub const REASON_LIMIT_BYTES: usize = 1_024;

/// Maximum number of signatures of an envelope, which bounds the cost of verification.
pub const SIGNATURE_LIMIT: usize = 64;

/// First word of a private key file, which identifies its format.
const PRIVATE_KEY_FORMAT: &str = "kumquat-signing-key-v1";

/// First word of a public key file, which identifies its format.
const PUBLIC_KEY_FORMAT: &str = "kumquat-public-key-v1";

/// Errors of envelopes, key files and trust lists.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The envelope exceeds the maximum length of a document, or one of its fields exceeds its limit.
    #[error("{field} has length {length}, at most {limit} is possible")]
    TooLong {
        /// The envelope or the field.
        field: &'static str,
        /// Actual length, in bytes or elements.
        length: usize,
        /// Maximum length, in bytes or elements.
        limit: usize,
    },
    /// The bytes are not the CBOR encoding of an envelope.
    #[error("not an envelope: {0}")]
    Decode(String),
    /// The envelope can't be encoded as CBOR.
    #[error("envelope can't be encoded: {0}")]
    Encode(String),
    /// The envelope has too few valid signatures by distinct trusted signers.
    #[error("{valid} valid signatures by trusted signers, {needed} are needed")]
    TooFewSignatures {
        /// Number of distinct trusted signers with a valid signature.
        valid: usize,
        /// Number of signers that the trust list requires.
        needed: usize,
    },
    /// The version is not the successor of the previous one, or differs from the version in the text.
    #[error("envelope has version {version} after {previous}, its text has version {text}")]
    VersionMismatch {
        /// Version in the envelope.
        version: ident::Version,
        /// Previous version in the envelope.
        previous: ident::Version,
        /// Version in the bundle text.
        text: ident::Version,
    },
    /// The text is not a valid bundle.
    #[error("the text has {} problems, the first: {}", .0.len(), first_problem(.0))]
    InvalidText(Vec<Problem>),
    /// The text is not a key file of this format; the message contains no part of the text, which may be secret.
    #[error("not a key file: expected one line of the form {0} NAME HEX")]
    InvalidKey(&'static str),
    /// The threshold of the trust list can't be reached, or a signer or key is listed twice.
    #[error("invalid trust list: {0}")]
    InvalidTrust(String),
}

impl Error {
    fn too_long(field: &'static str, length: usize, limit: usize) -> Self {
        Self::TooLong {
            field,
            length,
            limit,
        }
    }

    fn invalid_trust(reason: impl Into<String>) -> Self {
        Self::InvalidTrust(reason.into())
    }
}

fn first_problem(problems: &[Problem]) -> String {
    problems
        .first()
        .map_or_else(|| "none".to_owned(), Problem::to_string)
}

/// A private key for signing bundles, with the name of its owner.
pub struct SigningKey {
    signer: ident::Signer,
    key: ed25519_dalek::SigningKey,
}

impl SigningKey {
    /// Generates a random key.
    #[must_use]
    pub fn generate<R: CryptoRng + ?Sized>(signer: ident::Signer, rng: &mut R) -> Self {
        let key = ed25519_dalek::SigningKey::generate(rng);
        Self { signer, key }
    }

    /// Returns the name under which signatures by this key are made.
    #[must_use]
    pub fn signer(&self) -> &ident::Signer {
        &self.signer
    }

    /// Returns the public key, for the trust lists of the VMs.
    #[must_use]
    pub fn public(&self) -> PublicKey {
        PublicKey {
            signer: self.signer.clone(),
            key: self.key.verifying_key(),
        }
    }

    /// Returns the secret text of the private key file, which only its owner may be able to read.
    #[must_use]
    pub fn expose(&self) -> String {
        let hex = codec::to_hex(self.key.as_bytes());
        format!("{PRIVATE_KEY_FORMAT} {} {hex}\n", self.signer)
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
        let (signer, bytes) = parse_key_file(text, PRIVATE_KEY_FORMAT)?;
        let key = ed25519_dalek::SigningKey::from_bytes(&bytes);
        Ok(Self { signer, key })
    }
}

/// A public key for verifying bundles, with the name of its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PublicKey {
    /// Name of the owner, by which signatures refer to the key.
    pub signer: ident::Signer,
    key: VerifyingKey,
}

impl PublicKey {
    /// Creates a public key from the encoding of an Ed25519 key.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a key, or a weak key, for which signatures can be forged.
    pub fn from_bytes(signer: ident::Signer, bytes: &[u8; 32]) -> Result<Self, Error> {
        let key = VerifyingKey::from_bytes(bytes)
            .ok()
            .filter(|key| !key.is_weak())
            .ok_or(Error::InvalidKey(PUBLIC_KEY_FORMAT))?;
        Ok(Self { signer, key })
    }
}

impl fmt::Display for PublicKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{PUBLIC_KEY_FORMAT} {} {}",
            self.signer,
            codec::to_hex(self.key.as_bytes())
        )
    }
}

impl FromStr for PublicKey {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (signer, bytes) = parse_key_file(text, PUBLIC_KEY_FORMAT)?;
        Self::from_bytes(signer, &bytes)
    }
}

fn parse_key_file(text: &str, format: &'static str) -> Result<(ident::Signer, [u8; 32]), Error> {
    let mut words = text.split_whitespace();
    let (first, name, hex, rest) = (words.next(), words.next(), words.next(), words.next());
    if first != Some(format) || rest.is_some() {
        return Err(Error::InvalidKey(format));
    }
    let signer = name.and_then(|name| name.parse().ok());
    let bytes = hex.and_then(codec::from_hex);
    signer.zip(bytes).ok_or(Error::InvalidKey(format))
}

/// The trust list: the signers whose signatures are accepted, and how many of them have to sign.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TrustList {
    signers: Vec<(ident::Signer, VerifyingKey)>,
    threshold: usize,
}

impl TrustList {
    /// Creates a trust list of which `threshold` distinct signers have to sign.
    ///
    /// # Errors
    ///
    /// Returns an error if a name or a key occurs twice, or if the threshold is zero or above the number of signers.
    pub fn new(keys: Vec<PublicKey>, threshold: usize) -> Result<Self, Error> {
        let mut signers: Vec<_> = keys.into_iter().map(|key| (key.signer, key.key)).collect();
        signers.sort_by(|a, b| a.0.cmp(&b.0));
        if let Some(pair) = signers.windows(2).find(|pair| pair[0].0 == pair[1].0) {
            return Err(Error::invalid_trust(format!(
                "signer {} is there twice",
                pair[0].0
            )));
        }
        // Under two names, one person could provide two signatures.
        let mut bytes: Vec<&[u8; 32]> = signers.iter().map(|(_, key)| key.as_bytes()).collect();
        bytes.sort_unstable();
        if bytes.windows(2).any(|pair| pair[0] == pair[1]) {
            return Err(Error::invalid_trust("two signers have the same public key"));
        }
        if !(1..=signers.len()).contains(&threshold) {
            return Err(Error::invalid_trust(format!(
                "{threshold} of {} signers are needed, expected 1 to {}",
                signers.len(),
                signers.len()
            )));
        }
        Ok(Self { signers, threshold })
    }

    /// Returns the number of distinct signers that have to sign, from 1 to the number of signers.
    #[must_use]
    pub fn threshold(&self) -> usize {
        self.threshold
    }

    /// Returns the names of the signers, sorted.
    pub fn signers(&self) -> impl Iterator<Item = &ident::Signer> {
        self.signers.iter().map(|(signer, _)| signer)
    }

    fn public_key(&self, signer: &ident::Signer) -> Option<&VerifyingKey> {
        let index = self
            .signers
            .binary_search_by(|(name, _)| name.cmp(signer))
            .ok()?;
        Some(&self.signers[index].1)
    }
}

/// A signature of an envelope's digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Signature {
    /// Claimed signer; not trustworthy until the signature has been verified with the signer's public key.
    pub signer: ident::Signer,
    /// Ed25519 signature of [`Envelope::digest`].
    #[serde(with = "serde_bytes")]
    pub bytes: [u8; 64],
}

/// The text of a bundle with its metadata and signatures.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Version of the bundle; equal to the version in the text.
    pub version: ident::Version,
    /// Version of the bundle that it replaces; exactly one less.
    pub previous: ident::Version,
    /// Text form of the bundle, see [`crate::bundle::text`].
    pub text: String,
    /// Operator who wrote the bundle; need not be one of the signers.
    pub author: ident::Signer,
    /// Reason for the change, of at most [`REASON_LIMIT_BYTES`].
    pub reason: String,
    /// Id of the submission, which shows whether a write whose response was lost took effect.
    pub operation: ident::Operation,
    /// Signatures of the other fields, at most [`SIGNATURE_LIMIT`].
    pub signatures: Vec<Signature>,
}

impl Envelope {
    /// Returns the digest of all fields except the signatures, which signers sign.
    #[must_use]
    pub fn digest(&self) -> [u8; 32] {
        let mut hasher = blake3::Hasher::new_derive_key(DIGEST_CONTEXT);
        hasher.update(&self.version.0.to_be_bytes());
        hasher.update(&self.previous.0.to_be_bytes());
        hasher.update(&self.operation.0.to_be_bytes());
        // Length prefixes prevent moving characters from one field to the next.
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

    /// Signs the envelope; replaces an existing signature by the same signer.
    pub fn sign(&mut self, key: &SigningKey) {
        let bytes = key.key.sign(&self.digest()).to_bytes();
        self.signatures
            .retain(|signature| signature.signer != key.signer);
        self.signatures.push(Signature {
            signer: key.signer.clone(),
            bytes,
        });
    }

    /// Verifies that enough distinct trusted signers have signed the envelope.
    ///
    /// Signatures by unknown signers, duplicates and invalid signatures are ignored.
    ///
    /// # Errors
    ///
    /// Returns an error if there are too few valid signatures, or if a field exceeds its limit.
    pub fn verify(&self, trust: &TrustList) -> Result<(), Error> {
        self.check_limits()?;
        let digest = self.digest();
        let mut valid: Vec<&ident::Signer> = self
            .signatures
            .iter()
            .filter(|signature| {
                let bytes = ed25519_dalek::Signature::from_bytes(&signature.bytes);
                trust
                    .public_key(&signature.signer)
                    .is_some_and(|key| key.verify_strict(&digest, &bytes).is_ok())
            })
            .map(|signature| &signature.signer)
            .collect();
        valid.sort();
        valid.dedup();
        if valid.len() >= trust.threshold {
            Ok(())
        } else {
            Err(Error::TooFewSignatures {
                valid: valid.len(),
                needed: trust.threshold,
            })
        }
    }

    /// Parses the bundle and checks its version, without verifying the signatures.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is invalid, the versions are inconsistent, or a field exceeds its limit.
    pub fn parse_bundle(&self) -> Result<Bundle, Error> {
        self.check_limits()?;
        let bundle = parse(&self.text).map_err(Error::InvalidText)?;
        let successor = self.previous.0.checked_add(1) == Some(self.version.0);
        if successor && bundle.version == self.version {
            Ok(bundle)
        } else {
            Err(Error::VersionMismatch {
                version: self.version,
                previous: self.previous,
                text: bundle.version,
            })
        }
    }

    /// Verifies the signatures and parses the bundle.
    ///
    /// # Errors
    ///
    /// Returns the errors of [`Envelope::verify`] and [`Envelope::parse_bundle`].
    pub fn verify_and_parse(&self, trust: &TrustList) -> Result<Bundle, Error> {
        // Verifies first, so that the parser never processes text that is not signed.
        self.verify(trust)?;
        self.parse_bundle()
    }

    /// Encodes the envelope as CBOR.
    ///
    /// # Errors
    ///
    /// Returns an error if a field or the encoding exceeds its limit.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        self.check_limits()?;
        let bytes = codec::encode(self).map_err(Error::Encode)?;
        check_length("envelope", bytes.len(), document::DOCUMENT_LIMIT_BYTES)?;
        Ok(bytes)
    }

    /// Decodes an envelope without verifying its signatures.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not an envelope or exceed a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        check_length("envelope", bytes.len(), document::DOCUMENT_LIMIT_BYTES)?;
        let envelope: Self = codec::decode(bytes).map_err(Error::Decode)?;
        envelope.check_limits()?;
        Ok(envelope)
    }

    fn check_limits(&self) -> Result<(), Error> {
        check_length("reason", self.reason.len(), REASON_LIMIT_BYTES)?;
        check_length("list of signatures", self.signatures.len(), SIGNATURE_LIMIT)
    }
}

fn check_length(field: &'static str, length: usize, limit: usize) -> Result<(), Error> {
    if length > limit {
        Err(Error::too_long(field, length, limit))
    } else {
        Ok(())
    }
}
