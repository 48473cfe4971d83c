//! The `record` module provides the form in which the VMs' own values lie in the store.

use std::net::SocketAddr;
use std::sync::Arc;

use kumquat_coordination::fleet::{Holder, OwnedRange, OwnershipMap};
use serde::{Deserialize, Serialize};

/// A value that can't be used.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// It is not the expected CBOR.
    #[error("not a record: {0}")]
    Cbor(String),
    /// The owners don't cover all keys.
    #[error("the owners do not cover all keys once")]
    InvalidOwnershipMap,
}

/// A VM as it registers itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRegistration {
    /// Where it takes reports.
    pub address: SocketAddr,
    /// Number of the process.
    pub incarnation: u64,
    /// Data centre of the VM; empty in records of earlier versions.
    #[serde(default)]
    pub data_centre: String,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireMap {
    #[serde(rename = "n")]
    next_fence: u64,
    #[serde(rename = "r")]
    ranges: Vec<WireRange>,
}

#[derive(Debug, Serialize, Deserialize)]
struct WireRange(u16, u16, u64, WireHolder, Vec<WireHolder>);

#[derive(Debug, Serialize, Deserialize)]
struct WireHolder(String, u64);

impl From<&Holder> for WireHolder {
    fn from(holder: &Holder) -> Self {
        Self(holder.name.to_string(), holder.incarnation)
    }
}

impl From<WireHolder> for Holder {
    fn from(wire: WireHolder) -> Self {
        Self {
            name: Arc::from(wire.0),
            incarnation: wire.1,
        }
    }
}

impl From<&OwnershipMap> for WireMap {
    fn from(map: &OwnershipMap) -> Self {
        let ranges = map.ranges.iter().map(|range| {
            let previous = range.previous_owners.iter().map(WireHolder::from).collect();
            let owner = WireHolder::from(&range.owner);
            WireRange(
                range.first,
                range.last,
                range.fencing_token,
                owner,
                previous,
            )
        });
        Self {
            next_fence: map.next_fencing_token,
            ranges: ranges.collect(),
        }
    }
}

impl TryFrom<WireMap> for OwnershipMap {
    type Error = RecordError;

    fn try_from(wire: WireMap) -> Result<Self, RecordError> {
        let ranges = wire.ranges.into_iter().map(|range| OwnedRange {
            first: range.0,
            last: range.1,
            fencing_token: range.2,
            owner: range.3.into(),
            previous_owners: range.4.into_iter().map(Holder::from).collect(),
        });
        let map = Self {
            next_fencing_token: wire.next_fence,
            ranges: ranges.collect(),
        };
        if map.is_valid() {
            Ok(map)
        } else {
            Err(RecordError::InvalidOwnershipMap)
        }
    }
}

/// Encodes owners.
#[must_use]
pub fn encode_ownership_map(map: &OwnershipMap) -> Vec<u8> {
    encode(&WireMap::from(map))
}

/// Decodes owners.
///
/// # Errors
///
/// Returns an error if the bytes are no record or the owners don't cover all keys once.
pub fn decode_ownership_map(bytes: &[u8]) -> Result<OwnershipMap, RecordError> {
    decode::<WireMap>(bytes)?.try_into()
}

/// Encodes a VM's own entry.
#[must_use]
pub fn encode_vm_registration(member: &VmRegistration) -> Vec<u8> {
    encode(member)
}

/// Decodes a VM's entry.
///
/// # Errors
///
/// Returns an error if the bytes are no record.
pub fn decode_vm_registration(bytes: &[u8]) -> Result<VmRegistration, RecordError> {
    decode(bytes)
}

fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    match ciborium::into_writer(value, &mut bytes) {
        Ok(()) => bytes,
        Err(error) => unreachable!("a record can be written to memory: {error}"),
    }
}

fn decode<T: for<'a> Deserialize<'a>>(bytes: &[u8]) -> Result<T, RecordError> {
    ciborium::from_reader(bytes).map_err(|error| RecordError::Cbor(error.to_string()))
}
