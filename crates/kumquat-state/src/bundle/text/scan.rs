//! The `scan` module splits the text into sections whose lines are known.
//!
//! The INI parser stops at its first error, accepts a key that spans lines, and does not report lines. Therefore each
//! line is checked first, faulty lines are reported and left out, and the parser reads only what is well-formed.

use std::fmt::Write as _;

use ini::{Ini, ParseOption};

use super::problem::{Problem, Problems};

/// Longest line, in bytes; a service that lists 256 data centres takes 11 KB.
const LINE_LIMIT: usize = 16 * 1024;

/// A section of the text.
#[derive(Debug)]
pub(super) struct Section {
    /// Line of the header.
    pub(super) line: usize,
    /// Header without brackets, words separated by single spaces.
    pub(super) header: String,
    /// Keys and values in the order of the text.
    pub(super) properties: Vec<Property>,
}

/// A key with its value.
#[derive(Debug)]
pub(super) struct Property {
    /// Line of the key.
    pub(super) line: usize,
    /// Key.
    pub(super) key: String,
    /// Value without surrounding space.
    pub(super) value: String,
}

impl Section {
    /// Returns the first word of the header, which says what the section describes.
    pub(super) fn kind(&self) -> &str {
        self.header.split(' ').next().unwrap_or_default()
    }

    /// Returns the words that follow the first.
    pub(super) fn arguments(&self) -> impl Iterator<Item = &str> {
        self.header.split(' ').skip(1)
    }

    /// Creates a problem of this section, at its header.
    pub(super) fn problem(
        &self,
        expectation: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Problem {
        Problem {
            line: Some(self.line),
            section: self.header.clone(),
            ..Problem::of_file(expectation, remedy)
        }
    }

    /// Creates a problem of the value of `key`.
    pub(super) fn value_problem(
        &self,
        key: &str,
        expectation: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Problem {
        let property = self.properties.iter().find(|property| property.key == key);
        Problem {
            line: Some(property.map_or(self.line, |property| property.line)),
            key: Some(key.to_owned()),
            value: property.map(|property| property.value.clone()),
            ..self.problem(expectation, remedy)
        }
    }
}

/// Splits a text into sections and reports every line that can't be read.
pub(super) fn scan(text: &str, problems: &mut Problems) -> Vec<Section> {
    let mut reader = Reader::default();
    clean(text, &mut reader, problems);
    reader.flush(problems);
    reader.sections
}

/// Reads one section at a time, because the parser takes about ten times the memory of the text.
#[derive(Debug, Default)]
struct Reader {
    /// Well-formed lines of the present section.
    text: String,
    /// Numbers of these lines.
    lines: Vec<usize>,
    sections: Vec<Section>,
}

impl Reader {
    fn add(&mut self, number: usize, line: std::fmt::Arguments<'_>) {
        // Writing to a string can't fail.
        _ = writeln!(self.text, "{line}");
        self.lines.push(number);
    }

    /// Reads the lines of the present section.
    fn flush(&mut self, problems: &mut Problems) {
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        // The parser keeps the order of the text, so that the lines can be assigned in the same order.
        let mut lines = self.lines.drain(..);
        let mut next_line = || lines.next().unwrap_or_default();
        match Ini::load_from_str_opt(&self.text, options) {
            Ok(parsed) => {
                for (header, properties) in parsed {
                    let Some(header) = header else { continue };
                    self.sections.push(Section {
                        line: next_line(),
                        header,
                        properties: properties
                            .into_iter()
                            .map(|(key, value)| Property {
                                line: next_line(),
                                key,
                                value,
                            })
                            .collect(),
                    });
                }
            }
            Err(error) => problems.push(Problem {
                line: Some(next_line()),
                ..Problem::of_file(
                    "INI sections and keys",
                    format!("correct the section: {}", error.msg),
                )
            }),
        }
        self.text.clear();
    }
}

/// Passes the well-formed lines of the text to the reader and reports the others.
fn clean(text: &str, reader: &mut Reader, problems: &mut Problems) {
    let mut in_section = false;
    let report = |problems: &mut Problems,
                  line,
                  section: &str,
                  value: &str,
                  expectation: &str,
                  remedy: &str| {
        problems.push(Problem {
            line: Some(line),
            section: section.to_owned(),
            value: Some(value.to_owned()),
            ..Problem::of_file(expectation, remedy)
        });
    };

    let mut section = String::new();
    for (index, raw) in text.split('\n').enumerate() {
        let number = index + 1;
        let line = raw.trim();
        if line.is_empty() || line.starts_with(['#', ';']) {
            continue;
        }
        // Checks of lists within a line may take quadratic time.
        if line.len() > LINE_LIMIT {
            report(
                problems,
                number,
                &section,
                line,
                "a line of at most 16 KB",
                "shorten the line",
            );
            continue;
        }
        // A backslash would join lines, and control characters would hide what an operator signs.
        if line.chars().any(|char| char.is_control() || char == '\\') {
            report(
                problems,
                number,
                &section,
                line,
                "a line without backslashes and control characters",
                "remove these characters",
            );
            continue;
        }
        if let Some(header) = line.strip_prefix('[') {
            let header = header
                .strip_suffix(']')
                .filter(|rest| !rest.contains([']', '[']));
            let Some(header) = header else {
                report(
                    problems,
                    number,
                    "",
                    line,
                    "a section header such as [team pilots]",
                    "write the header in one pair of brackets",
                );
                // The keys that follow belong to a section that is not known.
                in_section = false;
                section.clear();
                section.push('?');
                continue;
            };
            section = header.split_whitespace().collect::<Vec<_>>().join(" ");
            in_section = true;
            reader.flush(problems);
            reader.add(number, format_args!("[{section}]"));
            continue;
        }
        let property = line
            .split_once('=')
            .map(|(key, value)| (key.trim(), value.trim()))
            .filter(|(key, _)| is_key(key));
        match property {
            Some((key, value)) if in_section => {
                reader.add(number, format_args!("{key} = {value}"));
            }
            // Only the header is reported, not each key below it.
            Some(_) if section == "?" => {}
            Some(_) => report(
                problems,
                number,
                "",
                line,
                "a section header before the first key",
                "move the line into a section",
            ),
            None => report(
                problems,
                number,
                &section,
                line,
                "a line of the form key = value, with a key of a-z and '-'",
                "correct the line, or start it with '#' if it is a comment",
            ),
        }
    }
}

fn is_key(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'-')
}
