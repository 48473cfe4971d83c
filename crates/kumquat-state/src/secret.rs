//! The `secret` module provides caller keys and their keyed digests.
//!
//! Bundles contain only digests, keyed with a secret from the settings (the pepper), so that read access to the store or
//! to a bundle is not enough to use a caller key or to find it by brute force. See `docs/design.md`, sections 2.1 and 5.

use std::fmt;
use std::str::FromStr;

use rand::CryptoRng;
use secrecy::{ExposeSecret, SecretBox};
use subtle::ConstantTimeEq;

use crate::bundle::{Bundle, CallerKey, Digest};
use crate::codec;

/// Prefix of every caller key, by which secret scanners can detect a leaked one.
pub const PREFIX: &str = "kqp_";

/// Number of random bytes in a caller key.
const KEY_BYTES: usize = 32;

/// Length of a caller key's text form, in bytes: the prefix and two hexadecimal digits per byte.
pub const TEXT_LENGTH_BYTES: usize = PREFIX.len() + KEY_BYTES * 2;

/// Domain separator, so that no other use of BLAKE3 produces the same digests.
const DIGEST_DOMAIN: &[u8] = b"kumquatpond caller key v1\0";

/// Errors of parsing secrets; the messages contain no part of the input.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The text is not a caller key.
    #[error("not a caller key: expected {PREFIX} and 64 lower-case hexadecimal digits")]
    InvalidKey,
    /// The text is not a pepper.
    #[error("not a digest secret: expected 64 lower-case hexadecimal digits")]
    InvalidPepper,
}

/// Secret key of the caller key digests; all VMs of a deployment have to be configured with the same one.
pub struct Pepper(SecretBox<[u8; 32]>);

impl Pepper {
    /// Creates a pepper from 32 bytes, which have to be random and secret.
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

    /// Looks up a presented caller key in a bundle; returns none if the text is malformed or the key unknown.
    ///
    /// The binary search compares digests in variable time, which leaks nothing useful: without the pepper, a caller
    /// can't construct keys whose digests approach a stored one. The final comparison takes constant time.
    #[must_use]
    pub fn find<'a>(&self, bundle: &'a Bundle, presented: &str) -> Option<&'a CallerKey> {
        let key: Key = presented.parse().ok()?;
        let digest = self.digest(&key);
        let index = bundle
            .caller_keys
            .partition_point(|candidate| candidate.digest < digest);
        let candidate = bundle.caller_keys.get(index)?;
        digests_equal(&candidate.digest, &digest).then_some(candidate)
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
            .ok_or(Error::InvalidPepper)
    }
}

/// A caller key: the bearer token with which a caller authenticates its requests.
pub struct Key(SecretBox<[u8; KEY_BYTES]>);

impl Key {
    /// Generates a random key.
    #[must_use]
    pub fn generate<R: CryptoRng + ?Sized>(rng: &mut R) -> Self {
        let mut bytes = Box::new([0; KEY_BYTES]);
        rng.fill_bytes(bytes.as_mut_slice());
        Self(SecretBox::new(bytes))
    }

    /// Returns the secret in text form; it is shown to the operator once and never stored.
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
        let digits = text.strip_prefix(PREFIX).ok_or(Error::InvalidKey)?;
        let bytes = codec::from_hex(digits).ok_or(Error::InvalidKey)?;
        Ok(Self(SecretBox::new(Box::new(bytes))))
    }
}

/// Compares two digests in constant time, so that response times don't reveal how many bytes agree.
#[must_use]
pub fn digests_equal(a: &Digest, b: &Digest) -> bool {
    a.0.ct_eq(&b.0).into()
}
