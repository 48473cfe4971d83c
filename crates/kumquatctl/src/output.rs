//! The `output` module provides results, failures and how they are printed.

use std::fmt::Display;
use std::io::Write as _;
use std::process::ExitCode;

use serde_json::{Value, json};

/// Exit status of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The command did what it was asked.
    Done = 0,
    /// The change was refused or lost a race.
    Refused = 1,
    /// A file, an argument or a setting is wrong.
    Input = 2,
    /// The store could not be reached, and nothing has changed.
    Unreachable = 3,
    /// The store did not answer, and the change may have taken effect.
    Unknown = 4,
}

/// What a command found or did.
#[derive(Debug)]
pub struct Report {
    /// For humans.
    pub text: String,
    /// For programs.
    pub json: Value,
    /// Exit status.
    pub status: Status,
}

impl Report {
    /// Creates the report of a command that did what it was asked.
    pub fn done(text: impl Into<String>, json: Value) -> Self {
        Self {
            text: text.into(),
            json,
            status: Status::Done,
        }
    }

    /// Replaces the exit status.
    pub fn with_status(self, status: Status) -> Self {
        Self { status, ..self }
    }
}

/// Why a command could not do what it was asked.
#[derive(Debug)]
pub struct Failure {
    /// Exit status.
    pub status: Status,
    /// Cause, with its context.
    pub cause: eyre::Report,
}

impl Failure {
    /// Creates a failure because of a refusal.
    pub fn refused(cause: impl Into<eyre::Report>) -> Self {
        Self::new(Status::Refused, cause)
    }

    /// Creates a failure because of a wrong file, argument or setting.
    pub fn input(cause: impl Into<eyre::Report>) -> Self {
        Self::new(Status::Input, cause)
    }

    /// Creates a failure because the store could not be reached.
    pub fn unreachable(cause: impl Into<eyre::Report>) -> Self {
        Self::new(Status::Unreachable, cause)
    }

    fn new(status: Status, cause: impl Into<eyre::Report>) -> Self {
        Self {
            status,
            cause: cause.into(),
        }
    }

    /// Adds what was being done.
    pub fn context(mut self, context: impl Display + Send + Sync + 'static) -> Self {
        self.cause = self.cause.wrap_err(context);
        self
    }
}

/// Prints the result and returns the exit status.
pub fn print(result: Result<Report, Failure>, json: bool) -> ExitCode {
    let (text, status, is_error) = match result {
        Ok(report) if json => (format!("{:#}", report.json), report.status, false),
        Ok(report) => (report.text, report.status, false),
        Err(failure) if json => (
            json!({ "error": format!("{:#}", failure.cause), "status": failure.status as u8 })
                .to_string(),
            failure.status,
            true,
        ),
        Err(failure) => (
            format!("kumquatctl: {:#}", failure.cause),
            failure.status,
            true,
        ),
    };
    // A reader that closed the pipe early has seen what it wanted.
    let text = text.trim_end();
    _ = if is_error {
        writeln!(std::io::stderr(), "{text}")
    } else if text.is_empty() {
        Ok(())
    } else {
        writeln!(std::io::stdout(), "{text}")
    };
    ExitCode::from(status as u8)
}

/// Lays out rows in aligned columns under a title row.
pub fn table(titles: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = titles.iter().map(|title| title.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let line = |cells: &mut dyn Iterator<Item = &str>| {
        let cells: Vec<String> = cells
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("{}\n", cells.join("  ").trim_end())
    };
    let mut text = line(&mut titles.iter().map(|title| &**title));
    for row in rows {
        text.push_str(&line(&mut row.iter().map(String::as_str)));
    }
    text
}
