//! The `secret` module holds secrets so that they can't be logged by accident.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use secrecy::{ExposeSecret, SecretBox};

/// A secret of 32 bytes, which is erased from memory with its last clone.
#[derive(Clone)]
pub struct Secret(Arc<SecretBox<[u8; 32]>>);

/// Where a secret is found.
#[derive(Clone, Debug)]
pub enum Source {
    /// In the settings themselves.
    Digits(Secret),
    /// In a file that holds its 64 hexadecimal digits.
    File(PathBuf),
}

impl Secret {
    /// Takes a secret.
    #[must_use]
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(Arc::new(SecretBox::new(Box::new(bytes))))
    }

    /// Returns the bytes of the secret.
    #[must_use]
    pub fn expose(&self) -> &[u8; 32] {
        self.0.expose_secret()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(hidden)")
    }
}
