//! The `ident` module provides the identifiers that all layers share.
//!
//! Names are checked once, where they enter the system, so that later layers and the metrics can use them unchecked.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Longest name, in bytes; it keeps metric labels and heartbeats small.
pub const NAME_LIMIT: usize = 40;

/// A name that breaks the rules for names.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{value:?} is not a name: expected 1 to {NAME_LIMIT} characters of a-z, 0-9 and '-'")]
pub struct NameError {
    value: String,
}

fn check(text: &str) -> Result<Arc<str>, NameError> {
    let valid = (1..=NAME_LIMIT).contains(&text.len())
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-');
    if valid {
        Ok(Arc::from(text))
    } else {
        // The value is cut so that a hostile input does not fill the logs.
        let value = text.chars().take(NAME_LIMIT).collect();
        Err(NameError { value })
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                check(text).map(Self)
            }
        }

        impl TryFrom<String> for $name {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                check(&text).map(Self)
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

name! {
    /// Name of a team: a party with caller keys, a rate and a burst.
    Team
}
name! {
    /// Name of a VM of the system.
    Vm
}
name! {
    /// Name of a data centre.
    DataCentre
}
name! {
    /// Name of a routed service.
    Service
}
name! {
    /// Name of an upstream.
    Upstream
}
name! {
    /// Name of a key with which an operator signs bundles.
    Signer
}
name! {
    /// Public name of a caller key; the secret part is known only by its digest.
    CallerKey
}

macro_rules! number {
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

number! {
    /// One run of a dispatch process: a restarted or replaced VM has another incarnation.
    Incarnation(u64)
}
number! {
    /// Counter that grows with each change of a holder, coordinator or owner.
    Epoch(u64)
}
number! {
    /// Version of the bundle or of the cell membership.
    Version(u64)
}
number! {
    /// Revision of a document in the store.
    Revision(u64)
}
number! {
    /// Token that an upstream compares to reject orders of an earlier holder.
    Fence(u64)
}
number! {
    /// Unique id of a request, the same over all its tries.
    Request(u128)
}
number! {
    /// Unique id of a write to the store, by which a lost answer is resolved.
    Operation(u128)
}
number! {
    /// Slot of a service's key space.
    Slot(u32)
}
