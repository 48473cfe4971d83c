//! The `ident` module provides the identifier types that all layers share.
//!
//! Names are validated when they are parsed or deserialised, so that all later code, such as metric labels, can rely on
//! their character set and length.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, in bytes; it keeps metric labels and heartbeats small.
pub const NAME_LIMIT_BYTES: usize = 40;

/// A text that is not a valid name: it is empty, too long, or has a character other than a-z, 0-9 and '-'.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{value:?} is not a name: expected 1 to {NAME_LIMIT_BYTES} characters of a-z, 0-9 and '-'")]
pub struct NameError {
    value: String,
}

fn validate_name(text: &str) -> Result<Arc<str>, NameError> {
    let valid = (1..=NAME_LIMIT_BYTES).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
    if valid {
        Ok(Arc::from(text))
    } else {
        // Truncates the value so that malicious input can't flood the logs.
        let value = text.chars().take(NAME_LIMIT_BYTES).collect();
        Err(NameError { value })
    }
}

macro_rules! define_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as a string slice of 1 to [`NAME_LIMIT_BYTES`] bytes.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                validate_name(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                validate_name(&text).map(Self)
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> Self {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

define_name! {
    /// Name of a team: a tenant with caller keys and a rate limit.
    Team
}
define_name! {
    /// Name of a VM; it stays the same when the VM restarts.
    Vm
}
define_name! {
    /// Name of a data centre, by which VMs and upstreams are located.
    DataCentre
}
define_name! {
    /// Name of a service, to which routes map path prefixes.
    Service
}
define_name! {
    /// Name of an upstream, unique across services.
    Upstream
}
define_name! {
    /// Name of an operator's signing key for bundles.
    Signer
}
define_name! {
    /// Public name of a caller key; of the secret itself, only a keyed digest is stored.
    CallerKey
}

macro_rules! define_number {
    ($(#[$doc:meta])* $name:ident($inner:ty)) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }
    };
}

define_number! {
    /// Identifies one run of a VM's dispatch process; a restarted or replaced VM gets another incarnation.
    Incarnation(u64)
}
define_number! {
    /// Counter that increases with each change of a role's holders, of the coordinator or of an owner.
    Epoch(u64)
}
define_number! {
    /// Version number of the bundle or of the cell membership.
    Version(u64)
}
define_number! {
    /// Revision number of a document in the store.
    Revision(u64)
}
define_number! {
    /// Fencing token: an upstream that checks it rejects requests with a lower token than it has seen before.
    FencingToken(u64)
}
define_number! {
    /// Unique id of a request, shared by all its attempts.
    Request(u128)
}
define_number! {
    /// Unique id of a write to the store; it shows whether a write whose response was lost took effect.
    Operation(u128)
}
define_number! {
    /// Index of a slot in the key space of a keyed service, counted from 0.
    Slot(u32)
}
