//! The `codec` module encodes and decodes the stored form of the ledger, and validates it in both directions.

use crate::codec;
use crate::document;
use crate::ident::Slot;
use crate::ledger::{FORMAT_VERSION, HOLDER_LIMIT, Ledger};
use crate::slots::SlotTable;

/// Errors of encoding and decoding the ledger.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The encoded ledger, of this length in bytes, exceeds [`document::DOCUMENT_LIMIT_BYTES`].
    #[error("ledger of {0} bytes is above the limit of {limit} bytes", limit = document::DOCUMENT_LIMIT_BYTES)]
    TooLong(usize),
    /// The ledger has a format version other than [`FORMAT_VERSION`].
    #[error("ledger has format {0}, expected {FORMAT_VERSION}")]
    UnsupportedFormat(u16),
    /// The bytes are not the CBOR encoding of a ledger.
    #[error("not a ledger: {0}")]
    Decode(String),
    /// The ledger can't be encoded as CBOR.
    #[error("ledger can't be encoded: {0}")]
    Encode(String),
    /// The ledger violates an invariant, such as the order of its lists.
    #[error("invalid ledger: {0}")]
    Invalid(String),
}

impl Error {
    fn invalid(reason: impl Into<String>) -> Self {
        Self::Invalid(reason.into())
    }
}

impl Ledger {
    /// Encodes the ledger after the same validation as in [`Ledger::decode`].
    ///
    /// # Errors
    ///
    /// Returns an error if the ledger violates an invariant or exceeds a limit.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        self.validate()?;
        let bytes = codec::encode(self).map_err(Error::Encode)?;
        check_length(bytes.len())?;
        Ok(bytes)
    }

    /// Decodes a ledger and validates the invariants on which lookups and fencing tokens rely.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are not a ledger, or if it violates an invariant or exceeds a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        check_length(bytes.len())?;
        let ledger: Self = codec::decode(bytes).map_err(Error::Decode)?;
        ledger.validate()?;
        Ok(ledger)
    }

    fn validate(&self) -> Result<(), Error> {
        if self.format != FORMAT_VERSION {
            return Err(Error::UnsupportedFormat(self.format));
        }
        // In unsorted lists, binary searches miss entries, so that VMs could disagree about the content.
        if !self.membership.members.is_sorted_by(|a, b| a.vm < b.vm) {
            return Err(Error::invalid("members are not sorted by VM"));
        }
        if !self.roles.is_sorted_by(|a, b| a.name < b.name) {
            return Err(Error::invalid("roles are not sorted by name"));
        }
        if !self.tables.is_sorted_by(|a, b| a.service < b.service) {
            return Err(Error::invalid("slot tables are not sorted by service"));
        }
        // In a longer list, two ranks would have the same fencing token.
        if let Some(role) = self
            .roles
            .iter()
            .find(|role| role.holders.len() > HOLDER_LIMIT)
        {
            return Err(Error::invalid(format!(
                "role {:?} has {} holders, at most {HOLDER_LIMIT} are possible",
                role.name,
                role.holders.len()
            )));
        }
        self.tables.iter().try_for_each(validate_table)
    }
}

fn check_length(length: usize) -> Result<(), Error> {
    if length > document::DOCUMENT_LIMIT_BYTES {
        Err(Error::TooLong(length))
    } else {
        Ok(())
    }
}

fn validate_table(table: &SlotTable) -> Result<(), Error> {
    let service = &table.service;
    if table.ranges.first().map(|range| range.first) != Some(Slot(0)) {
        return Err(Error::invalid(format!(
            "the slot table of {service} does not start at slot 0"
        )));
    }
    if !table.ranges.is_sorted_by(|a, b| a.first < b.first) {
        return Err(Error::invalid(format!(
            "the slot ranges of {service} are not sorted"
        )));
    }
    if table
        .ranges
        .last()
        .is_some_and(|range| range.first.0 >= table.slots)
    {
        return Err(Error::invalid(format!(
            "the slot table of {service} has a range beyond its {} slots",
            table.slots
        )));
    }
    if !table.placements.is_sorted_by(|a, b| a.key < b.key) {
        return Err(Error::invalid(format!(
            "the placements of {service} are not sorted"
        )));
    }
    Ok(())
}
