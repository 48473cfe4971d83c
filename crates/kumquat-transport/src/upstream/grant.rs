//! The `grant` module provides the grant call in its wire form.

use kumquat_coordination::grant::{BootId, Order, Rejection, Reply, Target};
use kumquat_state::clock::Instant;
use kumquat_state::{hash, ident};
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
    pub fence: ident::FencingToken,
    /// Boot id that the granter knows; none in a first call, which a checking upstream rejects with its boot id.
    pub boot: Option<u64>,
    /// Grows with each order under one fencing token; only whole orders have one.
    pub sequence: u64,
    /// Whether the order names everything that the upstream owns.
    pub whole: bool,
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
    pub fence: ident::FencingToken,
    /// Slots that it holds.
    pub held: Vec<Span>,
    /// Why the grant was rejected, if it was.
    #[serde(default)]
    pub rejection: Option<Refused>,
    /// Keys of requests that still run although their slot or key is being given up.
    #[serde(default)]
    pub finishing: Vec<Key>,
}

/// Why an upstream rejected a grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refused {
    /// The grant is meant for another run of the upstream.
    ForeignBoot,
    /// A higher fencing token has been seen.
    LowerFence,
    /// A later order under the same fencing token has arrived before.
    Overtaken,
}

impl From<&Order> for Grant {
    fn from(order: &Order) -> Self {
        let key = |hash: &u64| Key::new(*hash, ident::Epoch::default());
        Self {
            fence: order.fencing_token,
            boot: order.boot_id.map(|boot| boot.0),
            sequence: order.sequence,
            whole: true,
            // The upstream's clock counts whole milliseconds; rounding down only shortens the grant.
            until_ms: order.expires.as_micros() / 1_000,
            spans: order
                .grants
                .slot_ranges
                .iter()
                .map(|span| Span {
                    first: span.first,
                    last: span.last,
                    epoch: span.epoch,
                })
                .collect(),
            release: Vec::new(),
            keys: order
                .grants
                .keys
                .iter()
                .map(|key| Key::new(key.hash, key.epoch))
                .collect(),
            release_keys: Vec::new(),
            without: Some(order.grants.excluded_keys.iter().map(key).collect()),
        }
    }
}

impl Granted {
    /// Returns the reply to the order with this sequence number; `slots` is the size of the service's key space.
    pub(super) fn into_reply(self, sequence: u64, slots: u32) -> Reply {
        let finishing = self.finishing.iter().filter_map(|key| {
            let key = u64::from_str_radix(&key.key, 16).ok()?;
            Some(Target {
                slot: hash::slot(key, slots),
                key,
            })
        });
        let mut finishing: Vec<Target> = finishing.collect();
        finishing.sort_unstable();
        Reply {
            sequence,
            boot_id: BootId(self.boot),
            clock: Instant::from_millis(self.clock_ms),
            fencing_token: self.fence,
            rejection: self.rejection.map(|refused| match refused {
                Refused::ForeignBoot => Rejection::ForeignBoot,
                Refused::LowerFence => Rejection::LowerFence,
                Refused::Overtaken => Rejection::Overtaken,
            }),
            finishing,
        }
    }
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
