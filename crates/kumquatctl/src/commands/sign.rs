//! The `sign` module provides the commands that create, sign and submit envelopes.

use std::path::Path;

use eyre::{WrapErr as _, eyre};
use kumquat_state::bundle::envelope::SigningKey;
use kumquat_state::bundle::{Bundle, Envelope, render};
use kumquat_state::ident::{Operation, Signer, Version};
use serde_json::json;

use crate::args::Signing;
use crate::files;
use crate::output::{Failure, Report};
use crate::settings::Settings;
use crate::store::Store;
use crate::submission;

/// Signs a text, or adds signatures to an envelope.
pub fn sign(file: &Path, signing: &Signing, out: &Path) -> Result<Report, Failure> {
    let keys = files::read_signing_keys(&signing.keys)?;
    let bytes = files::read(file)?;
    let mut envelope = if let Ok(envelope) = Envelope::decode(&bytes) {
        // What one signs has to be readable as a bundle, whoever wrote it.
        envelope.parse_bundle().map_err(Failure::input)?;
        envelope
    } else {
        let bundle = files::read_valid_bundle(file)?;
        let text = String::from_utf8(bytes).map_err(Failure::input)?;
        enclose(&bundle, text, signing, keys.first().map(SigningKey::signer))?
    };
    for key in &keys {
        envelope.sign(key);
    }
    write(&envelope, out)
}

/// Submits an envelope from a file.
pub async fn submit(
    settings: &Settings,
    store: &Store,
    file: &Path,
    accept_surprises: bool,
) -> Result<Report, Failure> {
    let envelope = Envelope::decode(&files::read(file)?)
        .wrap_err_with(|| format!("{} is not an envelope", file.display()))
        .map_err(Failure::input)?;
    submission::submit(settings, store, &envelope, accept_surprises).await
}

/// Creates the signed envelope of a bundle.
pub fn seal(bundle: &Bundle, signing: &Signing) -> Result<Envelope, Failure> {
    let keys = files::read_signing_keys(&signing.keys)?;
    let author = keys.first().map(SigningKey::signer);
    let mut envelope = enclose(bundle, render(bundle), signing, author)?;
    for key in &keys {
        envelope.sign(key);
    }
    Ok(envelope)
}

/// Writes an envelope to a new file.
pub fn write(envelope: &Envelope, out: &Path) -> Result<Report, Failure> {
    files::write(out, &envelope.encode().map_err(Failure::input)?)?;
    let signers: Vec<&str> = envelope
        .signatures
        .iter()
        .map(|signature| signature.signer.as_str())
        .collect();
    let text = format!(
        "{} holds version {}, signed by {}",
        out.display(),
        envelope.version,
        signers.join(", ")
    );
    let json = json!({
        "envelope": out,
        "version": envelope.version,
        "signers": signers,
        "operation": format!("{:032x}", envelope.operation.0),
    });
    Ok(Report::done(text, json))
}

fn enclose(
    bundle: &Bundle,
    text: String,
    signing: &Signing,
    author: Option<&Signer>,
) -> Result<Envelope, Failure> {
    let author = author.ok_or_else(|| Failure::input(eyre!("no key to sign with is given")))?;
    Ok(Envelope {
        version: bundle.version,
        previous: Version(bundle.version.0.saturating_sub(1)),
        text,
        author: author.clone(),
        reason: signing.reason.clone(),
        operation: Operation(rand::random()),
        signatures: Vec::new(),
    })
}
