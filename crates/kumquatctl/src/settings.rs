//! The `settings` module provides the operator's settings, read from a daemon's settings file or a part of one.
//!
//! Paths in the file are relative to its folder.

use std::path::{Path, PathBuf};
use std::time::Duration;

use eyre::{WrapErr as _, eyre};
use kumquat_settings::{SecretSource, Signers, operator};
use kumquat_state::bundle::TrustList;
use kumquat_state::bundle::envelope::PublicKey;
use kumquat_state::secret::Pepper;

use crate::files;
use crate::output::Failure;

/// Settings of an operator.
#[derive(Debug, Default)]
pub struct Settings {
    path: PathBuf,
    store: Option<String>,
    timeout: Option<Duration>,
    trust: Option<TrustList>,
    digest: Option<SecretSource>,
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

    /// Returns the longest time of a call to the store, if the settings say one.
    pub fn timeout(&self) -> Option<Duration> {
        self.timeout
    }

    /// Returns the trusted signers.
    pub fn trust(&self) -> Result<&TrustList, Failure> {
        self.trust.as_ref().ok_or_else(|| {
            Failure::input(eyre!(
                "no trusted signers are given; use --settings FILE with a section [signers] that has a threshold and \
                 public keys"
            ))
        })
    }

    /// Reads the digest secret, from a file that only its owner may read.
    pub fn pepper(&self) -> Result<Pepper, Failure> {
        match &self.digest {
            Some(SecretSource::File(path)) => files::read_secret(path)?
                .parse()
                .wrap_err_with(|| format!("can't use {}", path.display()))
                .map_err(Failure::input),
            Some(SecretSource::Inline(secret)) => {
                // The settings themselves hold the secret, so that their permissions count.
                files::read_secret(&self.path)?;
                Ok(Pepper::new(*secret.expose()))
            }
            None => Err(Failure::input(eyre!(
                "no digest secret is given; use --settings FILE with a section [secrets] that has a digest"
            ))),
        }
    }
}

fn read(path: &Path) -> Result<Settings, Failure> {
    let text = files::read_small(path)?;
    let settings = operator::parse(&text, path).map_err(|problems| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        Failure::input(eyre!("{}", lines.join("\n")))
    })?;
    Ok(Settings {
        path: path.to_owned(),
        store: settings.store_url.map(|url| url.to_string()),
        timeout: settings.store_timeout,
        trust: settings.signers.as_ref().map(trust).transpose()?,
        digest: settings.digest_key,
    })
}

fn trust(signers: &Signers) -> Result<TrustList, Failure> {
    let keys = signers.keys.iter().map(|signer| {
        PublicKey::from_bytes(signer.name.clone(), &signer.key)
            .wrap_err_with(|| format!("can't use the public key of signer {}", signer.name))
            .map_err(Failure::input)
    });
    let keys = keys.collect::<Result<Vec<_>, _>>()?;
    TrustList::new(keys, signers.threshold).map_err(Failure::input)
}
