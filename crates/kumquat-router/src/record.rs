//! The `record` module provides the CBOR encoding of the records that VMs keep in the store.
//!
//! The names of serialized fields and the order of tuple fields are part of the stored format.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use kumquat_coordination::fleet::rollout::{Phase, Record};
use kumquat_coordination::fleet::{Holder, OwnedRange, OwnershipMap};
use serde::{Deserialize, Serialize};

/// The reason for which a record can't be decoded.
#[derive(Debug, thiserror::Error)]
pub enum RecordError {
    /// The bytes are not CBOR of the expected type; holds the decoder's message.
    #[error("not a record: {0}")]
    Cbor(String),
    /// The ranges of the ownership map don't cover every key exactly once.
    #[error("the owners do not cover all keys once")]
    InvalidOwnershipMap,
    /// The state of a rollout is none that this version knows.
    #[error("{0:?} is not a state of a rollout")]
    UnknownPhase(String),
}

/// The record with which a VM registers itself as a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VmRegistration {
    /// Address at which the VM receives the reports of its peers.
    pub address: SocketAddr,
    /// Incarnation of the VM's process.
    pub incarnation: u64,
    /// Data centre of the VM; empty in records of earlier versions, which have no such field.
    #[serde(default)]
    pub data_centre: String,
}

/// The record of a quarantine, whose key holds the fingerprint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineRecord {
    /// Number of successive quarantines of the content, this one included.
    #[serde(rename = "r")]
    pub round: u32,
    /// Time of day of its end, in milliseconds since 1970.
    #[serde(rename = "e")]
    pub ends_at_ms: u64,
}

/// The state of a rollout, whose key holds the service.
#[derive(Debug, Serialize, Deserialize)]
struct RolloutRecord {
    /// Revision of the order.
    #[serde(rename = "o")]
    order: u64,
    #[serde(rename = "t")]
    target: String,
    /// `running`, `completed` or `rolled_back`.
    #[serde(rename = "p")]
    phase: String,
    /// Share in thousandths.
    #[serde(rename = "s")]
    share: u32,
    /// Milliseconds from the order to the step.
    #[serde(rename = "e")]
    elapsed_ms: u64,
    /// Versions that get no requests.
    #[serde(rename = "b", default)]
    barred: Vec<String>,
}

#[derive(Debug, Serialize, Deserialize)]
struct OwnershipMapRecord {
    #[serde(rename = "n")]
    next_fencing_token: u64,
    #[serde(rename = "r")]
    ranges: Vec<RangeRecord>,
}

/// First and last key, fencing token, owner, previous owners.
#[derive(Debug, Serialize, Deserialize)]
struct RangeRecord(u16, u16, u64, HolderRecord, Vec<HolderRecord>);

/// Name and incarnation.
#[derive(Debug, Serialize, Deserialize)]
struct HolderRecord(String, u64);

impl From<&Holder> for HolderRecord {
    fn from(holder: &Holder) -> Self {
        Self(holder.name.to_string(), holder.incarnation)
    }
}

impl From<HolderRecord> for Holder {
    fn from(record: HolderRecord) -> Self {
        Self {
            name: Arc::from(record.0),
            incarnation: record.1,
        }
    }
}

impl From<&OwnershipMap> for OwnershipMapRecord {
    fn from(map: &OwnershipMap) -> Self {
        let ranges = map.ranges.iter().map(|range| {
            let previous = range
                .previous_owners
                .iter()
                .map(HolderRecord::from)
                .collect();
            let owner = HolderRecord::from(&range.owner);
            RangeRecord(
                range.first,
                range.last,
                range.fencing_token,
                owner,
                previous,
            )
        });
        Self {
            next_fencing_token: map.next_fencing_token,
            ranges: ranges.collect(),
        }
    }
}

impl TryFrom<OwnershipMapRecord> for OwnershipMap {
    type Error = RecordError;

    fn try_from(record: OwnershipMapRecord) -> Result<Self, RecordError> {
        let ranges = record.ranges.into_iter().map(|range| OwnedRange {
            first: range.0,
            last: range.1,
            fencing_token: range.2,
            owner: range.3.into(),
            previous_owners: range.4.into_iter().map(Holder::from).collect(),
        });
        let map = Self {
            next_fencing_token: record.next_fencing_token,
            ranges: ranges.collect(),
        };
        if map.is_valid() {
            Ok(map)
        } else {
            Err(RecordError::InvalidOwnershipMap)
        }
    }
}

/// Encodes an ownership map.
#[must_use]
pub fn encode_ownership_map(map: &OwnershipMap) -> Vec<u8> {
    encode(&OwnershipMapRecord::from(map))
}

/// Decodes an ownership map.
///
/// # Errors
///
/// Returns an error if the bytes are not the expected CBOR or the ranges don't cover every key exactly once.
pub fn decode_ownership_map(bytes: &[u8]) -> Result<OwnershipMap, RecordError> {
    decode::<OwnershipMapRecord>(bytes)?.try_into()
}

/// Encodes a quarantine.
#[must_use]
pub fn encode_quarantine(record: &QuarantineRecord) -> Vec<u8> {
    encode(record)
}

/// Decodes a quarantine.
///
/// # Errors
///
/// Returns an error if the bytes are not the expected CBOR.
pub fn decode_quarantine(bytes: &[u8]) -> Result<QuarantineRecord, RecordError> {
    decode(bytes)
}

/// Encodes the state of a rollout.
#[must_use]
pub fn encode_rollout(record: &Record) -> Vec<u8> {
    let barred = record.barred.iter();
    encode(&RolloutRecord {
        order: record.order,
        target: record.target.to_string(),
        phase: record.phase.to_string(),
        share: record.share,
        elapsed_ms: u64::try_from(record.elapsed.as_millis()).unwrap_or(u64::MAX),
        barred: barred.map(ToString::to_string).collect(),
    })
}

/// Decodes the state of a rollout.
///
/// # Errors
///
/// Returns an error if the bytes are not the expected CBOR or the phase is unknown.
pub fn decode_rollout(bytes: &[u8]) -> Result<Record, RecordError> {
    let record: RolloutRecord = decode(bytes)?;
    let phases = [Phase::Running, Phase::Completed, Phase::RolledBack];
    let phase = phases
        .into_iter()
        .find(|phase| phase.to_string() == record.phase);
    Ok(Record {
        order: record.order,
        target: Arc::from(record.target),
        phase: phase.ok_or(RecordError::UnknownPhase(record.phase))?,
        share: record.share,
        elapsed: Duration::from_millis(record.elapsed_ms),
        barred: record.barred.into_iter().map(Arc::from).collect(),
    })
}

/// Encodes the registration of a VM.
#[must_use]
pub fn encode_vm_registration(registration: &VmRegistration) -> Vec<u8> {
    encode(registration)
}

/// Decodes the registration of a VM.
///
/// # Errors
///
/// Returns an error if the bytes are not the expected CBOR.
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
