//! Wrapper for secrets that keeps them out of logs.

use std::fmt;
use std::path::PathBuf;
use std::sync::Arc;

use secrecy::{ExposeSecret, SecretBox};

/// A 32-byte secret whose `Debug` form is redacted.
///
/// Clones share one allocation, which is zeroed when the last clone is dropped.
#[derive(Clone)]
pub struct Secret(Arc<SecretBox<[u8; 32]>>);

/// Location of a secret, as given in the settings.
#[derive(Clone, Debug)]
pub enum SecretSource {
    /// Written in the settings file itself as 64 hexadecimal digits.
    Inline(Secret),
    /// Path of a file that holds the 64 hexadecimal digits.
    File(PathBuf),
}

impl Secret {
    /// Wraps the secret; the caller's copy of `bytes` is not erased.
    #[must_use]
    pub fn new(bytes: [u8; 32]) -> Self {
        Self(Arc::new(SecretBox::new(Box::new(bytes))))
    }

    /// Returns the bytes in the clear; callers must not log or copy them beyond their use.
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
