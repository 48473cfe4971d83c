//! The `files` module provides reading and writing of texts, keys and envelopes.

use std::fs::{File, OpenOptions};
use std::io::{Read as _, Write as _};
use std::os::unix::fs::{MetadataExt as _, OpenOptionsExt as _};
use std::path::Path;

use eyre::{WrapErr as _, eyre};
use kumquat_state::bundle::envelope::SigningKey;
use kumquat_state::bundle::{Bundle, Envelope, Problem, parse};
use kumquat_state::document;

use crate::output::Failure;

/// Most bytes of a key or settings file.
const SMALL_LIMIT: u64 = 64 * 1024;

/// Permission bits of group and others.
const OTHERS: u32 = 0o077;

/// Reads a file of up to the size of a document.
pub fn read(path: &Path) -> Result<Vec<u8>, Failure> {
    let file = open(path)?;
    read_up_to(file, path, document::DOCUMENT_LIMIT_BYTES as u64)
}

/// Reads the text of a small file.
pub fn read_small(path: &Path) -> Result<String, Failure> {
    let file = open(path)?;
    text(read_up_to(file, path, SMALL_LIMIT)?, path)
}

/// Reads a small file that only its owner may read.
pub fn read_secret(path: &Path) -> Result<String, Failure> {
    // The permissions are those of the opened file, which can't be exchanged after the check.
    let file = open(path)?;
    let metadata = file
        .metadata()
        .wrap_err_with(|| format!("can't read the permissions of {}", path.display()))
        .map_err(Failure::input)?;
    let mode = metadata.mode() & 0o777;
    if mode & OTHERS != 0 {
        return Err(Failure::input(eyre!(
            "{} has mode {mode:03o}, so that others can read the secret in it; run `chmod 600` on it, and replace the \
             secret if others may have read it",
            path.display()
        )));
    }
    text(read_up_to(file, path, SMALL_LIMIT)?, path)
}

/// Reads the keys to sign with.
pub fn read_signing_keys(paths: &[impl AsRef<Path>]) -> Result<Vec<SigningKey>, Failure> {
    paths
        .iter()
        .map(|path| {
            let path = path.as_ref();
            let text = read_secret(path)?;
            text.parse()
                .wrap_err_with(|| format!("can't use {}", path.display()))
                .map_err(Failure::input)
        })
        .collect()
}

/// Reads a bundle's text, or the text in an envelope; the inner result has the problems of the text.
pub fn read_bundle(path: &Path) -> Result<Result<Bundle, Vec<Problem>>, Failure> {
    let bytes = read(path)?;
    // Signers look at envelopes that others pass on to them.
    if let Ok(envelope) = Envelope::decode(&bytes) {
        return Ok(parse(&envelope.text));
    }
    Ok(parse(&text(bytes, path)?))
}

/// Reads a bundle's text and fails with its first problem.
pub fn read_valid_bundle(path: &Path) -> Result<Bundle, Failure> {
    read_bundle(path)?.map_err(|problems| {
        let first = problems
            .first()
            .map_or_else(String::new, Problem::to_string);
        Failure::input(eyre!(
            "{} has {} problems, the first: {first}; `kumquatctl check` lists all",
            path.display(),
            problems.len()
        ))
    })
}

/// Writes a new file that others may read.
pub fn write(path: &Path, content: &[u8]) -> Result<(), Failure> {
    create(path, 0o644, content)
}

/// Writes a new file that only its owner may read.
pub fn write_secret(path: &Path, content: &str) -> Result<(), Failure> {
    create(path, 0o600, content.as_bytes())
}

fn create(path: &Path, mode: u32, content: &[u8]) -> Result<(), Failure> {
    // An existing key or envelope is never replaced, since it may be the only copy.
    OpenOptions::new()
        .write(true)
        .create_new(true)
        .mode(mode)
        .open(path)
        .and_then(|mut file| file.write_all(content))
        .wrap_err_with(|| format!("can't write {}", path.display()))
        .map_err(Failure::input)
}

fn open(path: &Path) -> Result<File, Failure> {
    File::open(path)
        .wrap_err_with(|| format!("can't open {}", path.display()))
        .map_err(Failure::input)
}

fn read_up_to(file: File, path: &Path, limit: u64) -> Result<Vec<u8>, Failure> {
    let mut bytes = Vec::new();
    file.take(limit + 1)
        .read_to_end(&mut bytes)
        .wrap_err_with(|| format!("can't read {}", path.display()))
        .map_err(Failure::input)?;
    if bytes.len() as u64 > limit {
        return Err(Failure::input(eyre!(
            "{} has more than {limit} bytes",
            path.display()
        )));
    }
    Ok(bytes)
}

fn text(bytes: Vec<u8>, path: &Path) -> Result<String, Failure> {
    String::from_utf8(bytes)
        .wrap_err_with(|| format!("{} is not UTF-8 text", path.display()))
        .map_err(Failure::input)
}
