//! The `codec` module provides the stored form of the ledger.

use crate::codec;
use crate::document;
use crate::ident::Slot;
use crate::ledger::{FORMAT, HOLDER_LIMIT, Ledger};
use crate::slots::Table;

/// Errors of the stored form of the ledger.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The ledger is longer than a document may be.
    #[error("ledger of {0} bytes is above the limit of {limit} bytes", limit = document::DOCUMENT_LIMIT_BYTES)]
    TooLong(usize),
    /// The ledger has a format that this build does not know.
    #[error("ledger has format {0}, expected {FORMAT}")]
    Format(u16),
    /// The bytes are no ledger.
    #[error("not a ledger: {0}")]
    Decode(String),
    /// The ledger can't be encoded.
    #[error("ledger can't be encoded: {0}")]
    Encode(String),
    /// The content breaks a rule on which lookups rely.
    #[error("invalid ledger: {0}")]
    Invalid(String),
}

impl Error {
    fn invalid(reason: impl Into<String>) -> Self {
        Self::Invalid(reason.into())
    }
}

impl Ledger {
    /// Encodes the ledger, after the same checks as [`Ledger::decode`].
    ///
    /// # Errors
    ///
    /// Returns an error if the ledger breaks a rule or a limit.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        self.check()?;
        let bytes = codec::encode(self).map_err(Error::Encode)?;
        check_length(bytes.len())?;
        Ok(bytes)
    }

    /// Decodes a ledger and checks everything that lookups rely on.
    ///
    /// # Errors
    ///
    /// Returns an error if the bytes are no ledger or it breaks a rule or a limit.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        check_length(bytes.len())?;
        let ledger: Self = codec::decode(bytes).map_err(Error::Decode)?;
        ledger.check()?;
        Ok(ledger)
    }

    fn check(&self) -> Result<(), Error> {
        if self.format != FORMAT {
            return Err(Error::Format(self.format));
        }
        // Unsorted lists would make binary searches miss entries, which two VMs could then see differently.
        if !self.membership.members.is_sorted_by(|a, b| a.vm < b.vm) {
            return Err(Error::invalid("members are not sorted by VM"));
        }
        if !self.roles.is_sorted_by(|a, b| a.name < b.name) {
            return Err(Error::invalid("roles are not sorted by name"));
        }
        if !self.tables.is_sorted_by(|a, b| a.service < b.service) {
            return Err(Error::invalid("slot tables are not sorted by service"));
        }
        // A longer list would make two ranks share a fencing token.
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
        self.tables.iter().try_for_each(check_table)
    }
}

fn check_length(length: usize) -> Result<(), Error> {
    if length > document::DOCUMENT_LIMIT_BYTES {
        Err(Error::TooLong(length))
    } else {
        Ok(())
    }
}

fn check_table(table: &Table) -> Result<(), Error> {
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
