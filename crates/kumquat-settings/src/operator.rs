//! The `operator` module provides the part of the settings that operators need.
//!
//! Operators can use a daemon's settings file, or a file with only the sections of this part. All keys are optional, as
//! each command needs only some of them.

use std::path::Path;
use std::time::Duration;

use crate::known::{SECRETS, SIGNERS, STORE};
use crate::read::Reader;
use crate::{Problem, SecretSource, Signers, Url, value};

/// Settings of an operator.
#[derive(Clone, Debug, Default)]
pub struct Operator {
    /// Base URL of the platform's key-value store.
    pub store: Option<Url>,
    /// Longest time of a call to the store.
    pub timeout: Option<Duration>,
    /// Trusted signers of bundles.
    pub signers: Option<Signers>,
    /// Where the key of the digests of caller keys is found; the file is not read, as few commands need it.
    pub digest: Option<SecretSource>,
}

/// Reads the sections `[store]`, `[signers]` and `[secrets]` of the text of a settings file that is at `path`.
///
/// The values of other sections are not looked at, and neither is the secret `cell`, which operators need not know.
///
/// # Errors
///
/// Returns all problems of these sections, and sections that no settings file has.
pub fn parse(text: &str, path: &Path) -> Result<Operator, Vec<Problem>> {
    let mut reader = Reader::new(text, path)?;
    reader.check_keys_in(|section| [STORE, SIGNERS, SECRETS].contains(&section));

    let store = reader.optional_value(STORE, "url", value::BASE_URL);
    let timeout = reader.optional_value(STORE, "timeout", value::DURATION);
    let signers = if reader.section_entries(SIGNERS).is_empty() {
        Some(None)
    } else {
        crate::signers(&mut reader).map(Some)
    };
    let digest = if reader.raw_value(SECRETS, "digest").is_some() {
        reader.secret_source("digest").map(Some)
    } else {
        Some(None)
    };
    let settings = (|| {
        Some(Operator {
            store: store?,
            timeout: timeout?,
            signers: signers?,
            digest: digest?,
        })
    })();
    reader.finish(settings)
}
