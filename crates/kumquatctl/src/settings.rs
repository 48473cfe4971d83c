//! The `settings` module provides the operator's settings, read from an INI file.
//!
//! Paths in the file are relative to its folder.

use std::path::{Path, PathBuf};

use eyre::{WrapErr as _, eyre};
use ini::{Ini, ParseOption};
use kumquat_state::bundle::Trust;
use kumquat_state::secret::Pepper;

use crate::files;
use crate::output::Failure;

/// Keys by section.
const KNOWN: [(&str, &[&str]); 3] = [
    ("store", &["url"]),
    ("trust", &["threshold", "signers"]),
    ("caller-keys", &["pepper-file"]),
];

/// Settings of an operator.
#[derive(Debug, Default)]
pub struct Settings {
    store: Option<String>,
    trust: Option<Trust>,
    pepper: Option<PathBuf>,
}

impl Settings {
    /// Reads the settings file, if there is one; `store` replaces the URL in it.
    pub fn open(path: Option<&Path>, store: Option<String>) -> Result<Self, Failure> {
        let mut settings = match path {
            Some(path) => read(path).map_err(|failure| {
                failure.context(format!("can't use the settings {}", path.display()))
            })?,
            None => Self::default(),
        };
        settings.store = store.or(settings.store);
        Ok(settings)
    }

    /// Returns the URL of the store.
    pub fn store(&self) -> Result<&str, Failure> {
        self.store.as_deref().ok_or_else(|| {
            Failure::input(eyre!(
                "no store is given; use --store URL, or --settings FILE with a section [store] that has a url"
            ))
        })
    }

    /// Returns the trusted signers.
    pub fn trust(&self) -> Result<&Trust, Failure> {
        self.trust.as_ref().ok_or_else(|| {
            Failure::input(eyre!(
                "no trusted signers are given; use --settings FILE with a section [trust] that has a threshold and \
                 signers"
            ))
        })
    }

    /// Reads the digest secret.
    pub fn pepper(&self) -> Result<Pepper, Failure> {
        let path = self.pepper.as_ref().ok_or_else(|| {
            Failure::input(eyre!(
                "no digest secret is given; use --settings FILE with a section [caller-keys] that has a pepper-file"
            ))
        })?;
        files::read_secret(path)?
            .parse()
            .wrap_err_with(|| format!("can't use {}", path.display()))
            .map_err(Failure::input)
    }
}

fn read(path: &Path) -> Result<Settings, Failure> {
    let text = files::read_small(path)?;
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let ini = Ini::load_from_str_opt(&text, options).map_err(Failure::input)?;

    // A misspelt key would silently leave a default in force.
    for (section, properties) in &ini {
        let known = KNOWN.iter().find(|(name, _)| Some(*name) == section);
        for (key, _) in properties {
            if !known.is_some_and(|(_, keys)| keys.contains(&key)) {
                return Err(Failure::input(eyre!(
                    "unknown key {key:?} in section {:?}",
                    section.unwrap_or_default()
                )));
            }
        }
    }

    let folder = path.parent().unwrap_or(Path::new("."));
    let trust = match (
        ini.get_from(Some("trust"), "threshold"),
        ini.get_from(Some("trust"), "signers"),
    ) {
        (None, None) => None,
        (Some(threshold), Some(signers)) => Some(read_trust(folder, threshold, signers)?),
        _ => {
            return Err(Failure::input(eyre!(
                "section [trust] needs both a threshold and signers"
            )));
        }
    };
    Ok(Settings {
        store: ini.get_from(Some("store"), "url").map(str::to_owned),
        trust,
        pepper: ini
            .get_from(Some("caller-keys"), "pepper-file")
            .map(|file| folder.join(file)),
    })
}

fn read_trust(folder: &Path, threshold: &str, signers: &str) -> Result<Trust, Failure> {
    let threshold = threshold
        .parse()
        .wrap_err_with(|| format!("the threshold {threshold:?} is not a number"))
        .map_err(Failure::input)?;
    let keys = signers
        .split(',')
        .map(|file| {
            let path = folder.join(file.trim());
            files::read_small(&path)?
                .parse()
                .wrap_err_with(|| format!("can't use {}", path.display()))
                .map_err(Failure::input)
        })
        .collect::<Result<Vec<_>, _>>()?;
    Trust::new(keys, threshold).map_err(Failure::input)
}
