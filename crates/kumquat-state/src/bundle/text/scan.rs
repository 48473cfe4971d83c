//! The `scan` module finds the sections of a text and reads them one at a time.
//!
//! The INI parser stops at its first error, accepts a key that spans lines, and does not report lines. Therefore each
//! line is checked first, faulty lines are reported and left out, and the parser reads only what is well-formed. It
//! takes about ten times the memory of its text, so it is given one section at a time.

use std::borrow::Cow;
use std::fmt::Write as _;

use ini::{Ini, ParseOption};

use super::problem::{Problem, Problems};

/// Longest line, in bytes; a service that lists 256 data centres takes 11 KB.
const LINE_LIMIT: usize = 16 * 1024;

/// The sections of a text, by their places.
#[derive(Debug)]
pub(super) struct Outline<'t> {
    text: &'t str,
    /// Sections in the order of the text.
    pub(super) spans: Vec<Span<'t>>,
}

/// Place of a section in the text.
#[derive(Debug)]
pub(super) struct Span<'t> {
    /// Line of the header.
    pub(super) line: usize,
    /// Header without brackets, words separated by single spaces.
    pub(super) header: Cow<'t, str>,
    /// Where the lines below the header start.
    start: usize,
    /// Where they end.
    end: usize,
}

/// A section with its content.
#[derive(Debug)]
pub(super) struct Section<'o> {
    /// Place and header.
    pub(super) span: &'o Span<'o>,
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

impl Span<'_> {
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
            section: self.header.clone().into_owned(),
            ..Problem::of_file(expectation, remedy)
        }
    }
}

impl Section<'_> {
    /// Creates a problem of the value of `key`.
    pub(super) fn value_problem(
        &self,
        key: &str,
        expectation: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Problem {
        let property = self.properties.iter().find(|property| property.key == key);
        Problem {
            line: Some(property.map_or(self.span.line, |property| property.line)),
            key: Some(key.to_owned()),
            value: property.map(|property| property.value.clone()),
            ..self.span.problem(expectation, remedy)
        }
    }
}

impl<'t> Outline<'t> {
    /// Finds the sections of a text and reports every line that can't be read.
    pub(super) fn new(text: &'t str, problems: &mut Problems) -> Self {
        let mut spans: Vec<Span<'t>> = Vec::new();
        let mut place = Place::Start;
        let mut offset = 0;
        for (index, raw) in text.split('\n').enumerate() {
            let line = index + 1;
            let start = offset;
            offset = (start + raw.len() + 1).min(text.len());
            let faulty = match classify(raw) {
                Line::Blank => continue,
                Line::Header(header) => {
                    place = Place::Section;
                    spans.push(Span {
                        line,
                        header,
                        start: offset,
                        end: offset,
                    });
                    continue;
                }
                Line::Property(..) => match place {
                    Place::Section => None,
                    // Only the header is reported, not each key below it.
                    Place::Unknown => continue,
                    Place::Start => Some(Fault {
                        expectation: "a section header before the first key",
                        remedy: "move the line into a section",
                    }),
                },
                Line::FaultyHeader(fault) => {
                    place = Place::Unknown;
                    Some(fault)
                }
                Line::Faulty(fault) => Some(fault),
            };
            let section = spans.last_mut().filter(|_| place == Place::Section);
            if let Some(fault) = faulty {
                problems.push(Problem {
                    line: Some(line),
                    section: section
                        .as_ref()
                        .map_or_else(String::new, |span| span.header.clone().into_owned()),
                    value: Some(raw.trim().to_owned()),
                    ..Problem::of_file(fault.expectation, fault.remedy)
                });
            }
            if let Some(section) = section {
                section.end = offset;
            }
        }
        Self { text, spans }
    }

    /// Reads the content of a section; faulty lines, which were reported before, are left out.
    pub(super) fn section(&self, index: usize, problems: &mut Problems) -> Section<'_> {
        let span = &self.spans[index];
        let mut clean = String::new();
        let mut lines = Vec::new();
        for (index, raw) in self.text[span.start..span.end].split('\n').enumerate() {
            if let Line::Property(key, value) = classify(raw) {
                // Writing to a string can't fail.
                _ = writeln!(clean, "{key} = {value}");
                lines.push(span.line + 1 + index);
            }
        }
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let properties = match Ini::load_from_str_opt(&clean, options) {
            // The parser keeps the order of the text, so that the lines can be assigned in the same order.
            Ok(parsed) => parsed
                .into_iter()
                .flat_map(|(_, properties)| properties)
                .zip(lines)
                .map(|((key, value), line)| Property { line, key, value })
                .collect(),
            Err(error) => {
                problems.push(span.problem(
                    "INI keys and values",
                    format!("correct the section: {}", error.msg),
                ));
                Vec::new()
            }
        };
        Section { span, properties }
    }
}

/// Where in the text a line stands.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    /// Before the first header.
    Start,
    /// Below a header.
    Section,
    /// Below a faulty header.
    Unknown,
}

/// What a line is.
enum Line<'t> {
    /// Empty or a comment.
    Blank,
    /// Header of a section.
    Header(Cow<'t, str>),
    /// Key and value.
    Property(&'t str, &'t str),
    /// Header that can't be read.
    FaultyHeader(Fault),
    /// Other line that can't be read.
    Faulty(Fault),
}

/// What is wrong with a line.
struct Fault {
    expectation: &'static str,
    remedy: &'static str,
}

fn classify(raw: &str) -> Line<'_> {
    let line = raw.trim();
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Line::Blank;
    }
    // Checks of lists within a line may take quadratic time.
    if line.len() > LINE_LIMIT {
        return Line::Faulty(Fault {
            expectation: "a line of at most 16 KB",
            remedy: "shorten the line",
        });
    }
    // A backslash would join lines, and control characters would hide what an operator signs.
    if line.chars().any(|char| char.is_control() || char == '\\') {
        return Line::Faulty(Fault {
            expectation: "a line without backslashes and control characters",
            remedy: "remove these characters",
        });
    }
    if let Some(rest) = line.strip_prefix('[') {
        return match rest.strip_suffix(']') {
            Some(header) if !header.contains(['[', ']']) => Line::Header(normalise(header)),
            _ => Line::FaultyHeader(Fault {
                expectation: "a section header such as [team pilots]",
                remedy: "write the header in one pair of brackets",
            }),
        };
    }
    match line.split_once('=') {
        Some((key, value)) if is_key(key.trim()) => Line::Property(key.trim(), value.trim()),
        _ => Line::Faulty(Fault {
            expectation: "a line of the form key = value, with a key of a-z and '-'",
            remedy: "correct the line, or start it with '#' if it is a comment",
        }),
    }
}

/// Separates the words of a header by single spaces.
fn normalise(header: &str) -> Cow<'_, str> {
    let words = header.split_whitespace();
    // Most headers are in this form already and need no memory of their own.
    if words.clone().eq(header.split(' ')) {
        Cow::Borrowed(header)
    } else {
        Cow::Owned(words.collect::<Vec<_>>().join(" "))
    }
}

fn is_key(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'-')
}
