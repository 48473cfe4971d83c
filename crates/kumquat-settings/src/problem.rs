//! Errors in a settings file, in the form in which operators see them.

use std::fmt;
use std::path::{Path, PathBuf};

/// An error in a settings file, displayed as `file: [section] key = "value": expected ...`.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problem {
    /// Path of the settings file, also if the problem is in a file that it refers to.
    pub file: PathBuf,
    /// Section name; empty for a key before the first section and for a problem of the file as a whole.
    pub section: String,
    /// Key; empty if the problem concerns the whole section or file.
    pub key: String,
    /// Value as written, cut after 80 characters; empty if there is none, and redacted if it may be a secret.
    pub value: String,
    /// Description of valid input.
    pub expected: String,
}

impl Problem {
    /// Creates a problem for a settings file that can't be read as UTF-8 text.
    pub(crate) fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        Self::for_file(path, &format!("a readable text file ({error})"))
    }

    /// Creates a problem that concerns the file as a whole.
    pub(crate) fn for_file(path: &Path, expected: &str) -> Self {
        Self {
            file: path.to_owned(),
            section: String::new(),
            key: String::new(),
            value: String::new(),
            expected: expected.to_owned(),
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:", self.file.display())?;
        if !self.section.is_empty() {
            write!(f, " [{}]", self.section)?;
        }
        if !self.key.is_empty() {
            write!(f, " {}", self.key)?;
        }
        if !self.value.is_empty() {
            write!(f, " = {:?}", self.value)?;
        }
        write!(f, ": expected {}", self.expected)
    }
}
