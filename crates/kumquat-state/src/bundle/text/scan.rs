//! The `scan` module splits a text into sections and parses them one at a time.
//!
//! The INI parser stops at the first error, accepts keys that span several lines, and does not report line numbers.
//! Therefore each line is classified first: malformed lines are reported and omitted, and only well-formed ones are
//! passed to the parser. The parser needs about ten times the memory of its input, so it parses one section at a time.

use std::borrow::Cow;
use std::fmt::Write as _;

use ini::{Ini, ParseOption};

use super::problem::{Problem, Problems};

/// Maximum length of a line, in bytes; a service that lists 256 data centres has a line of 11 KB.
const LINE_LIMIT_BYTES: usize = 16 * 1024;

/// The sections of a text, without their content.
#[derive(Debug)]
pub(super) struct Outline<'t> {
    text: &'t str,
    /// Sections, in the order of the text.
    pub(super) spans: Vec<Span<'t>>,
}

/// The position of a section in the text.
#[derive(Debug)]
pub(super) struct Span<'t> {
    /// Line number of the header, starting with 1.
    pub(super) line: usize,
    /// Header without brackets, with words separated by single spaces.
    pub(super) header: Cow<'t, str>,
    /// Byte offset of the line after the header.
    content_start: usize,
    /// Byte offset of the end of the section's content.
    content_end: usize,
}

/// A section with its parsed content.
#[derive(Debug)]
pub(super) struct Section<'o> {
    /// Position and header.
    pub(super) span: &'o Span<'o>,
    /// Keys and values, in the order of the text.
    pub(super) properties: Vec<Property>,
}

/// A key-value pair of a section.
#[derive(Debug)]
pub(super) struct Property {
    /// Line number, starting with 1.
    pub(super) line: usize,
    /// Key, of lower-case letters and `-`.
    pub(super) key: String,
    /// Value without surrounding whitespace.
    pub(super) value: String,
}

impl Span<'_> {
    /// Returns the first word of the header, which is the kind of the described item.
    pub(super) fn kind(&self) -> &str {
        self.header.split(' ').next().unwrap_or_default()
    }

    /// Returns the words after the first, such as the name of the described item.
    pub(super) fn arguments(&self) -> impl Iterator<Item = &str> {
        self.header.split(' ').skip(1)
    }

    /// Creates a problem located at the header of this section.
    pub(super) fn problem(
        &self,
        expectation: impl Into<String>,
        remedy: impl Into<String>,
    ) -> Problem {
        Problem {
            line: Some(self.line),
            section: self.header.clone().into_owned(),
            ..Problem::in_file(expectation, remedy)
        }
    }
}

impl Section<'_> {
    /// Creates a problem located at the value of `key`, or at the header if the key is missing.
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
    /// Finds the sections of a text and reports malformed lines.
    pub(super) fn new(text: &'t str, problems: &mut Problems) -> Self {
        let mut spans: Vec<Span<'t>> = Vec::new();
        let mut position = Position::Preamble;
        let mut offset = 0;
        for (index, raw) in text.split('\n').enumerate() {
            let line = index + 1;
            let start = offset;
            offset = (start + raw.len() + 1).min(text.len());
            let syntax_error = match classify_line(raw) {
                Line::Blank => continue,
                Line::Header(header) => {
                    position = Position::InSection;
                    spans.push(Span {
                        line,
                        header,
                        content_start: offset,
                        content_end: offset,
                    });
                    continue;
                }
                Line::Property(..) => match position {
                    Position::InSection => None,
                    // Only the malformed header is reported, not each key below it.
                    Position::UnknownSection => continue,
                    Position::Preamble => Some(SyntaxError {
                        expectation: "a section header before the first key",
                        remedy: "move the line into a section",
                    }),
                },
                Line::MalformedHeader(error) => {
                    position = Position::UnknownSection;
                    Some(error)
                }
                Line::Malformed(error) => Some(error),
            };
            let section = spans.last_mut().filter(|_| position == Position::InSection);
            if let Some(error) = syntax_error {
                problems.push(Problem {
                    line: Some(line),
                    section: section
                        .as_ref()
                        .map_or_else(String::new, |span| span.header.clone().into_owned()),
                    value: Some(raw.trim().to_owned()),
                    ..Problem::in_file(error.expectation, error.remedy)
                });
            }
            if let Some(section) = section {
                section.content_end = offset;
            }
        }
        Self { text, spans }
    }

    /// Parses the content of a section without its malformed lines, which [`Outline::new`] has reported.
    pub(super) fn section(&self, index: usize, problems: &mut Problems) -> Section<'_> {
        let span = &self.spans[index];
        let mut well_formed = String::new();
        let mut line_numbers = Vec::new();
        for (index, raw) in self.text[span.content_start..span.content_end]
            .split('\n')
            .enumerate()
        {
            if let Line::Property(key, value) = classify_line(raw) {
                // Writing to a `String` can't fail.
                _ = writeln!(well_formed, "{key} = {value}");
                line_numbers.push(span.line + 1 + index);
            }
        }
        let options = ParseOption {
            enabled_quote: false,
            enabled_escape: false,
            ..ParseOption::default()
        };
        let properties = match Ini::load_from_str_opt(&well_formed, options) {
            // The parser preserves the order, so that each property can be paired with its line number.
            Ok(parsed) => parsed
                .into_iter()
                .flat_map(|(_, properties)| properties)
                .zip(line_numbers)
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

/// The position of a line relative to sections.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Position {
    /// Before the first header.
    Preamble,
    /// Below a well-formed header.
    InSection,
    /// Below a malformed header.
    UnknownSection,
}

/// A classified line.
enum Line<'t> {
    /// Empty or a comment.
    Blank,
    /// Header of a section, without brackets.
    Header(Cow<'t, str>),
    /// Key and value of a property.
    Property(&'t str, &'t str),
    /// Malformed header of a section.
    MalformedHeader(SyntaxError),
    /// Other malformed line.
    Malformed(SyntaxError),
}

/// The reason why a line is malformed.
struct SyntaxError {
    expectation: &'static str,
    remedy: &'static str,
}

fn classify_line(raw: &str) -> Line<'_> {
    let line = raw.trim();
    if line.is_empty() || line.starts_with(['#', ';']) {
        return Line::Blank;
    }
    // Validation of a list takes quadratic time in the length of its line.
    if line.len() > LINE_LIMIT_BYTES {
        return Line::Malformed(SyntaxError {
            expectation: "a line of at most 16 KB",
            remedy: "shorten the line",
        });
    }
    // The INI parser joins lines at backslashes, and control characters could hide text from an operator who signs it.
    if line.chars().any(|char| char.is_control() || char == '\\') {
        return Line::Malformed(SyntaxError {
            expectation: "a line without backslashes and control characters",
            remedy: "remove these characters",
        });
    }
    if let Some(rest) = line.strip_prefix('[') {
        return match rest.strip_suffix(']') {
            Some(header) if !header.contains(['[', ']']) => Line::Header(normalise_spaces(header)),
            _ => Line::MalformedHeader(SyntaxError {
                expectation: "a section header such as [team pilots]",
                remedy: "write the header in one pair of brackets",
            }),
        };
    }
    match line.split_once('=') {
        Some((key, value)) if is_valid_key(key.trim()) => Line::Property(key.trim(), value.trim()),
        _ => Line::Malformed(SyntaxError {
            expectation: "a line of the form key = value, with a key of a-z and '-'",
            remedy: "correct the line, or start it with '#' if it is a comment",
        }),
    }
}

/// Separates the words of a header by single spaces.
fn normalise_spaces(header: &str) -> Cow<'_, str> {
    let words = header.split_whitespace();
    // Most headers have this form already and need no allocation.
    if words.clone().eq(header.split(' ')) {
        Cow::Borrowed(header)
    } else {
        Cow::Owned(words.collect::<Vec<_>>().join(" "))
    }
}

fn is_valid_key(text: &str) -> bool {
    !text.is_empty()
        && text
            .bytes()
            .all(|byte| byte.is_ascii_lowercase() || byte == b'-')
}
