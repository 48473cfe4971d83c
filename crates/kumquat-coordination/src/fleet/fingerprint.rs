//! The `fingerprint` module provides the identity of a request's content in logs, reports and decisions.

use std::fmt;

/// Digest of what makes two requests the same: their team, method, host, target and body.
///
/// It has to be a prefix of a cryptographic digest, because callers choose the content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Fingerprint(pub u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}
