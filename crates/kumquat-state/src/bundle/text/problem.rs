//! The `problem` module provides the diagnostics for invalid bundle texts.

use std::fmt;

use serde::Serialize;

use crate::secret;

/// Maximum number of problems that are returned individually, so that a malicious text can't exhaust memory.
pub const PROBLEM_LIMIT: usize = 10_000;

/// Maximum length of the text that a problem quotes, in characters.
const QUOTE_LIMIT_CHARS: usize = 80;

/// A diagnostic: the location of an error in the text, what was expected and how to correct it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line of the error, starting with 1, or none if it concerns the whole file.
    pub line: Option<usize>,
    /// Section header without brackets; empty if the error is not in a section.
    pub section: String,
    /// Key within the section, or none if the error does not concern a single key.
    pub key: Option<String>,
    /// Value that was found, or none if a key or section is missing; truncated, with caller keys redacted.
    pub value: Option<String>,
    /// What the value, line or file has to be.
    pub expectation: String,
    /// How the operator can correct the error.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem without a location.
    pub(super) fn in_file(expectation: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            expectation: expectation.into(),
            remedy: remedy.into(),
            ..Self::default()
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(line) = self.line {
            write!(f, "line {line}: ")?;
        }
        if !self.section.is_empty() {
            write!(f, "[{}] ", self.section)?;
        }
        if let Some(key) = &self.key {
            write!(f, "{key}: ")?;
        }
        match &self.value {
            Some(value) => write!(f, "found {value:?}, expected {}", self.expectation)?,
            None => write!(f, "expected {}", self.expectation)?,
        }
        write!(f, "; {}", self.remedy)
    }
}

/// Collects up to [`PROBLEM_LIMIT`] problems and counts the others.
#[derive(Debug, Default)]
pub(super) struct Problems {
    problems: Vec<Problem>,
    omitted: usize,
}

impl Problems {
    /// Adds a problem, truncating long texts and redacting caller keys in it.
    pub(super) fn push(&mut self, mut problem: Problem) {
        if self.problems.len() >= PROBLEM_LIMIT {
            self.omitted += 1;
            return;
        }
        problem.section = quotable(&problem.section);
        problem.key = problem.key.as_deref().map(quotable);
        problem.value = problem.value.as_deref().map(quotable);
        self.problems.push(problem);
    }

    /// Returns whether no problem was added.
    pub(super) fn is_empty(&self) -> bool {
        self.problems.is_empty()
    }

    /// Returns the problems sorted by line, followed by one with the number of omitted ones.
    pub(super) fn into_sorted(mut self) -> Vec<Problem> {
        self.problems
            .sort_by(|a, b| (a.line, &a.section, &a.key).cmp(&(b.line, &b.section, &b.key)));
        if self.omitted > 0 {
            self.problems.push(Problem {
                value: Some(format!("{} more problems", self.omitted)),
                ..Problem::in_file(
                    format!("at most {PROBLEM_LIMIT} problems to list"),
                    "correct these first and check again",
                )
            });
        }
        self.problems
    }
}

/// Returns the text as it may be quoted in a message: truncated, and without caller keys.
fn quotable(text: &str) -> String {
    // If an operator pastes a caller key instead of its digest, the secret must not end up in a terminal log.
    if text.contains(secret::PREFIX) {
        return "a hidden caller key".to_owned();
    }
    let mut quoted: String = text.chars().take(QUOTE_LIMIT_CHARS).collect();
    if quoted.len() < text.len() {
        quoted.push_str("..");
    }
    quoted
}
