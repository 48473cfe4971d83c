//! The `problem` module provides the description of a mistake in a bundle's text.

use std::fmt;

use serde::Serialize;

use crate::secret;

/// Most problems that are listed one by one, so that a hostile text can't use up the memory.
pub const PROBLEM_LIMIT: usize = 10_000;

/// Longest part of a value that is repeated in a problem, in characters.
const VALUE_LIMIT: usize = 80;

/// A mistake in the text, where it is, and what to do about it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// Line of the mistake, counted from 1, if it is in one line.
    pub line: Option<usize>,
    /// Section, without brackets; empty if the problem is outside of sections.
    pub section: String,
    /// Key within the section, if the problem has one.
    pub key: Option<String>,
    /// Value that was found, if there is one.
    pub value: Option<String>,
    /// What is permitted.
    pub expectation: String,
    /// What the operator can do.
    pub remedy: String,
}

impl Problem {
    /// Creates a problem of the whole file.
    pub(super) fn of_file(expectation: impl Into<String>, remedy: impl Into<String>) -> Self {
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

/// Collects problems up to the limit.
#[derive(Debug, Default)]
pub(super) struct Problems {
    list: Vec<Problem>,
    omitted: usize,
}

impl Problems {
    /// Adds a problem; long values are cut, and pasted caller keys are hidden.
    pub(super) fn push(&mut self, mut problem: Problem) {
        if self.list.len() >= PROBLEM_LIMIT {
            self.omitted += 1;
            return;
        }
        problem.section = shown(&problem.section);
        problem.key = problem.key.as_deref().map(shown);
        problem.value = problem.value.as_deref().map(shown);
        self.list.push(problem);
    }

    /// Returns whether there are none.
    pub(super) fn is_empty(&self) -> bool {
        self.list.is_empty()
    }

    /// Returns the problems sorted by line, followed by the count of those that were left out.
    pub(super) fn into_sorted(mut self) -> Vec<Problem> {
        self.list
            .sort_by(|a, b| (a.line, &a.section, &a.key).cmp(&(b.line, &b.section, &b.key)));
        if self.omitted > 0 {
            self.list.push(Problem {
                value: Some(format!("{} more problems", self.omitted)),
                ..Problem::of_file(
                    format!("at most {PROBLEM_LIMIT} problems to list"),
                    "correct these first and check again",
                )
            });
        }
        self.list
    }
}

/// Returns the part of a text that a message may repeat.
fn shown(text: &str) -> String {
    // An operator who pastes a caller key in place of its digest must not find it in a terminal log afterwards.
    if text.contains(secret::PREFIX) {
        return "a hidden caller key".to_owned();
    }
    let mut shown: String = text.chars().take(VALUE_LIMIT).collect();
    if shown.len() < text.len() {
        shown.push_str("..");
    }
    shown
}
