//! The settings that operators' commands need.
//!
//! Operators can use a daemon's settings file, or a file with only the sections that [`parse`] reads. All keys are
//! optional, because each command needs only some of them.

use std::path::Path;
use std::time::Duration;

use crate::known::{SECRETS, SIGNERS, STORE};
use crate::read::Reader;
use crate::{BaseUrl, Problem, SecretSource, Signers, value};

/// Settings of the operators' command line tool; a field is `None` if its key or section is absent.
#[derive(Clone, Debug, Default)]
pub struct OperatorSettings {
    /// Base URL of the platform's key-value store.
    pub store_url: Option<BaseUrl>,
    /// Timeout of one call to the store, at least 1 ms.
    pub store_timeout: Option<Duration>,
    /// Signers whose signatures on bundles are accepted.
    pub signers: Option<Signers>,
    /// Location of the key for the keyed hash of caller keys.
    ///
    /// [`parse`] does not read the file, because few commands need the key.
    pub digest_key: Option<SecretSource>,
}

/// Reads the sections `[store]`, `[signers]` and `[secrets]` of the text of a settings file that is at `path`.
///
/// Other sections are ignored apart from their names, and so is the secret `cell`, which operators need not know.
///
/// # Errors
///
/// Returns all problems of these sections, unknown and repeated sections, and keys before the first section.
pub fn parse(text: &str, path: &Path) -> Result<OperatorSettings, Vec<Problem>> {
    let mut reader = Reader::new(text, path)?;
    reader.check_keys_in(|section| [STORE, SIGNERS, SECRETS].contains(&section));

    let store_url = reader.optional_value(STORE, "url", value::BASE_URL);
    let store_timeout = reader.optional_value(STORE, "timeout", value::DURATION);
    let signers = if reader.section_entries(SIGNERS).is_empty() {
        Some(None)
    } else {
        crate::read_signers(&mut reader).map(Some)
    };
    let digest_key = if reader.raw_value(SECRETS, "digest").is_some() {
        reader.secret_source("digest").map(Some)
    } else {
        Some(None)
    };
    let settings = (|| {
        Some(OperatorSettings {
            store_url: store_url?,
            store_timeout: store_timeout?,
            signers: signers?,
            digest_key: digest_key?,
        })
    })();
    reader.finish(settings)
}
