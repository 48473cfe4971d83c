//! The `grant` module provides the grant call in its wire form.

use kumquat_state::ident;
use serde::{Deserialize, Serialize};

use super::Failure;

/// A range of slots with the epoch at which their ownership began.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// First slot.
    pub first: ident::Slot,
    /// Last slot.
    pub last: ident::Slot,
    /// Epoch; not used in a release.
    #[serde(default)]
    pub epoch: ident::Epoch,
}

/// A single key with the epoch at which its ownership began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Key {
    /// Hash of the key in 16 hexadecimal digits.
    pub key: String,
    /// Epoch; not used in a release.
    #[serde(default)]
    pub epoch: ident::Epoch,
}

impl Key {
    /// Creates the wire form of a key's hash.
    #[must_use]
    pub fn new(hash: u64, epoch: ident::Epoch) -> Self {
        Self {
            key: format!("{hash:016x}"),
            epoch,
        }
    }
}

/// Grants and releases for one upstream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Grant {
    /// Fencing token of the granter.
    pub fence: ident::Fence,
    /// Boot id that the granter knows; none in a first call, which a checking upstream rejects with its boot id.
    pub boot: Option<u64>,
    /// Expiry in the clock of the upstream.
    pub until_ms: u64,
    /// Granted slots; slots that are not listed keep their expiry.
    pub spans: Vec<Span>,
    /// Slots to give up; the upstream answers after their requests have finished.
    pub release: Vec<Span>,
    /// Granted keys, whatever the owner of their slots.
    pub keys: Vec<Key>,
    /// Keys to give up.
    pub release_keys: Vec<Key>,
    /// Keys in granted slots that other upstreams own; the list replaces the earlier one, and none keeps it.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub without: Option<Vec<Key>>,
}

/// State of an upstream after a grant.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Granted {
    /// Boot id of the upstream.
    pub boot: u64,
    /// Clock of the upstream in milliseconds.
    pub clock_ms: u64,
    /// Highest fencing token that it has accepted.
    pub fence: ident::Fence,
    /// Slots that it holds.
    pub held: Vec<Span>,
}

/// Failure of a grant.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GrantError {
    /// The upstream rejected the grant because of the fencing token or the boot id.
    #[error("rejected: the upstream has boot id {} and fencing token {}", .0.boot, .0.fence)]
    Rejected(Granted),
    /// There was no proper answer; the grant may have taken effect.
    #[error("grant failed: {0}")]
    Failed(#[from] Failure),
}
