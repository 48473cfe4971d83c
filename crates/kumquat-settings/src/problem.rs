//! The `problem` module provides the problems of a settings file in the form in which operators see them.

use std::fmt;
use std::path::{Path, PathBuf};

/// A problem of a settings file.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub struct Problem {
    /// File.
    pub file: PathBuf,
    /// Section, empty if the problem is outside of all sections.
    pub section: String,
    /// Key, empty if the problem concerns the section or the file.
    pub key: String,
    /// Value, empty if there is none; secret values are replaced.
    pub value: String,
    /// What was expected.
    pub expected: String,
}

impl Problem {
    pub(crate) fn unreadable(path: &Path, error: &std::io::Error) -> Self {
        Self::file(path, &format!("a readable text file ({error})"))
    }

    /// Creates a problem of the file as a whole.
    pub(crate) fn file(path: &Path, expected: &str) -> Self {
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
