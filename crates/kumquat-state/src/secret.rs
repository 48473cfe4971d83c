//! The `secret` module provides caller keys and their keyed digests.
//!
//! A bundle holds only digests that are keyed with a secret from the settings (the pepper), so that whoever reads the
//! store or a bundle can neither use nor guess a caller key. See `docs/design.md`, sections 2.1 and 5.

use std::fmt;
use std::str::FromStr;

use rand::CryptoRng;
use secrecy::{ExposeSecret, SecretBox};
use subtle::ConstantTimeEq;

use crate::bundle::{Bundle, CallerKey, Digest};
use crate::codec;

/// Start of every caller key, by which scanners for leaked secrets can find it.
pub const PREFIX: &str = "kqp_";

/// Random bytes of a caller key.
const KEY_BYTES: usize = 32;

/// Length of a caller key's text: the prefix and two digits per byte.
pub const TEXT_LENGTH: usize = PREFIX.len() + KEY_BYTES * 2;

/// Separates this use of blake3 from the others.
const DIGEST_DOMAIN: &[u8] = b"kumquatpond caller key v1\0";

/// Errors of secrets; no message repeats any part of the value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The text is no caller key.
    #[error("not a caller key: expected {PREFIX} and 64 lower-case hexadecimal digits")]
    Key,
    /// The text is no pepper.
    #[error("not a digest secret: expected 64 lower-case hexadecimal digits")]
    Pepper,
}

/// The secret with which caller keys are digested; all VMs of a deployment have the same one.
pub struct Pepper(SecretBox<[u8; 32]>);

impl Pepper {
    /// Creates a pepper from its bytes.
    #[must_use]
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(SecretBox::new(Box::new(bytes)))
    }

    /// Returns the keyed digest of a caller key.
    #[must_use]
    pub fn digest(&self, key: &Key) -> Digest {
        let mut hasher = blake3::Hasher::new_keyed(self.0.expose_secret());
        hasher.update(DIGEST_DOMAIN);
        hasher.update(key.0.expose_secret());
        Digest(*hasher.finalize().as_bytes())
    }

    /// Finds the caller key of a bundle that the presented text belongs to.
    ///
    /// The binary search compares digests in variable time. That shows nothing useful: without the pepper, a caller
    /// can't choose a digest that it approaches step by step. The deciding comparison takes constant time.
    #[must_use]
    pub fn find<'a>(&self, bundle: &'a Bundle, presented: &str) -> Option<&'a CallerKey> {
        let key: Key = presented.parse().ok()?;
        let digest = self.digest(&key);
        let index = bundle
            .caller_keys
            .partition_point(|entry| entry.digest < digest);
        let entry = bundle.caller_keys.get(index)?;
        equal(&entry.digest, &digest).then_some(entry)
    }
}

impl fmt::Debug for Pepper {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Pepper(..)")
    }
}

impl FromStr for Pepper {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        codec::from_hex(text.trim())
            .map(Self::new)
            .ok_or(Error::Pepper)
    }
}

/// A caller key: the secret that a caller sends along with its requests.
pub struct Key(SecretBox<[u8; KEY_BYTES]>);

impl Key {
    /// Draws a new key.
    #[must_use]
    pub fn generate<R: CryptoRng + ?Sized>(random: &mut R) -> Self {
        let mut bytes = Box::new([0; KEY_BYTES]);
        random.fill_bytes(bytes.as_mut_slice());
        Self(SecretBox::new(bytes))
    }

    /// Returns the text form, which is handed to the caller once and kept nowhere.
    #[must_use]
    pub fn expose(&self) -> String {
        format!("{PREFIX}{}", codec::to_hex(self.0.expose_secret()))
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.strip_prefix(PREFIX).ok_or(Error::Key)?;
        let bytes = codec::from_hex(digits).ok_or(Error::Key)?;
        Ok(Self(SecretBox::new(Box::new(bytes))))
    }
}

/// Compares two digests in constant time.
#[must_use]
pub fn equal(a: &Digest, b: &Digest) -> bool {
    a.0.ct_eq(&b.0).into()
}
