//! The `read` module takes values out of a parsed file and collects the problems.

use std::path::Path;
use std::str::FromStr;

use ini::Ini;

use crate::known::{self, AllowedKeys, SECRETS, SECTIONS};
use crate::value::{self, ValueParser};
use crate::{Problem, Secret, SecretSource};

/// What a problem shows in place of a secret.
const HIDDEN: &str = "(hidden)";
/// Longest value that a problem shows.
const SHOWN: usize = 80;

/// A parsed file with the problems found so far.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    path: &'a Path,
    /// Section, key and value of each line, in the order of the file.
    lines: Vec<(String, String, String)>,
    problems: Vec<Problem>,
}

impl<'a> Reader<'a> {
    pub(crate) fn new(text: &str, path: &'a Path) -> Result<Self, Vec<Problem>> {
        // Values are taken as they stand, since a backslash has no meaning in addresses, names and paths here.
        let ini = Ini::load_from_str_noescape(text).map_err(|error| {
            let expected = format!("an INI file ({error})");
            vec![Problem::for_file(path, &expected)]
        })?;
        let mut lines = Vec::new();
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            for (key, value) in properties {
                lines.push((section.to_owned(), key.to_owned(), value.trim().to_owned()));
            }
        }
        let mut reader = Self {
            path,
            lines,
            problems: Vec::new(),
        };
        reader.check_sections(&ini);
        Ok(reader)
    }

    /// Returns the settings, unless there are problems.
    pub(crate) fn finish<T>(self, settings: Option<T>) -> Result<T, Vec<Problem>> {
        match settings {
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(self.problems),
        }
    }

    pub(crate) fn problem(&mut self, section: &str, key: &str, value: &str, expected: &str) {
        // Unknown sections may hold secrets under a misspelt name.
        let is_public = section != SECRETS && known::allowed_keys(section).is_some();
        let shown = if value.is_empty() || is_public {
            value.chars().take(SHOWN).collect()
        } else {
            HIDDEN.to_owned()
        };
        self.problems.push(Problem {
            file: self.path.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            value: shown,
            expected: expected.to_owned(),
        });
    }

    fn check_sections(&mut self, ini: &Ini) {
        let mut seen = Vec::new();
        for section in ini.iter().filter_map(|(section, _)| section) {
            if known::allowed_keys(section).is_none() {
                let names = SECTIONS.iter().map(|(name, _)| *name);
                let expected = expected_name("a known section", section, names);
                self.problem(section, "", "", &expected);
            } else if seen.contains(&section) {
                self.problem(section, "", "", "each section once");
            }
            seen.push(section);
        }
    }

    /// Reports unknown keys, keys outside of sections and keys that appear twice.
    pub(crate) fn check_names(&mut self) {
        self.check_names_of(|_section| true);
    }

    /// Does the same, but passes over the keys of sections that are not `needed`.
    pub(crate) fn check_names_of(&mut self, needed: impl Fn(&str) -> bool) {
        let lines: Vec<_> = self
            .lines
            .iter()
            .filter(|(section, _, _)| section.is_empty() || needed(section))
            .cloned()
            .collect();
        for (index, (section, key, value)) in lines.iter().enumerate() {
            if section.is_empty() {
                self.problem("", key, value, "each key within a section");
                continue;
            }
            let earlier = &lines[..index];
            if earlier
                .iter()
                .any(|(other, name, _)| other == section && name == key)
            {
                self.problem(section, key, value, "each key once in its section");
            }
            if let Some(AllowedKeys::Fixed(names)) = known::allowed_keys(section)
                && !names.contains(&key.as_str())
            {
                let expected = expected_name("a known key", key, names.iter().copied());
                self.problem(section, key, value, &expected);
            }
        }
    }

    /// Returns the text of a value.
    pub(crate) fn text(&self, section: &str, key: &str) -> Option<String> {
        self.lines
            .iter()
            .find(|(other, name, _)| other == section && name == key)
            .map(|(_, _, value)| value.clone())
    }

    /// Returns all keys and values of a section.
    pub(crate) fn entries(&self, section: &str) -> Vec<(String, String)> {
        self.lines
            .iter()
            .filter(|(other, _, _)| other == section)
            .map(|(_, key, value)| (key.clone(), value.clone()))
            .collect()
    }

    /// Reads a value that has to be there.
    pub(crate) fn required<T>(
        &mut self,
        section: &str,
        key: &str,
        parser: ValueParser<T>,
    ) -> Option<T> {
        if let Some(text) = self.text(section, key) {
            return self.check(section, key, &text, parser);
        }
        let expected = format!("{}, but the key is missing", parser.expected);
        self.problem(section, key, "", &expected);
        None
    }

    /// Reads a value that has a default.
    pub(crate) fn optional<T>(
        &mut self,
        section: &str,
        key: &str,
        parser: ValueParser<T>,
        default: T,
    ) -> Option<T> {
        match self.text(section, key) {
            Some(text) => self.check(section, key, &text, parser),
            None => Some(default),
        }
    }

    /// Reads a value that may be missing; the outer option tells whether the reading went well.
    #[expect(
        clippy::option_option,
        reason = "a missing key and a wrong value are different results"
    )]
    pub(crate) fn missing_or<T>(
        &mut self,
        section: &str,
        key: &str,
        parser: ValueParser<T>,
    ) -> Option<Option<T>> {
        match self.text(section, key) {
            Some(text) => self.check(section, key, &text, parser).map(Some),
            None => Some(None),
        }
    }

    /// Reads a given text as a value.
    pub(crate) fn check<T>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        parser: ValueParser<T>,
    ) -> Option<T> {
        let value = (parser.parse)(text);
        if value.is_none() {
            self.problem(section, key, text, parser.expected);
        }
        value
    }

    /// Reads a key that is a name chosen by the operators.
    pub(crate) fn key_name<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
    ) -> Option<T> {
        let parser = value::name_parser::<T>();
        let name = (parser.parse)(key);
        if name.is_none() {
            let expected = format!("as key {}", parser.expected);
            self.problem(section, key, value, &expected);
        }
        name
    }

    /// Reads where a secret is found: its digits, or the path of a file that holds the digits.
    pub(crate) fn secret_source(&mut self, key: &str) -> Option<SecretSource> {
        let parser = ValueParser {
            parse: source,
            expected: "32 bytes in 64 hexadecimal digits, or the path of a file with them",
        };
        match self.required(SECRETS, key, parser)? {
            SecretSource::File(path) => {
                let folder = self.path.parent().unwrap_or(Path::new(""));
                Some(SecretSource::File(folder.join(path)))
            }
            inline @ SecretSource::Inline(_) => Some(inline),
        }
    }

    /// Reads a secret, which is given in digits or as the path of a file that holds the digits.
    pub(crate) fn secret(&mut self, key: &str) -> Option<Secret> {
        let path = match self.secret_source(key)? {
            SecretSource::Inline(secret) => return Some(secret),
            SecretSource::File(path) => path,
        };
        let expected = match std::fs::read_to_string(path) {
            Ok(content) => match value::parse_hex_bytes(content.trim()) {
                Some(secret) => return Some(Secret::new(secret)),
                None => "a file with 64 hexadecimal digits".to_owned(),
            },
            Err(error) => format!("a readable file with 64 hexadecimal digits ({error})"),
        };
        let text = self.text(SECRETS, key).unwrap_or_default();
        self.problem(SECRETS, key, &text, &expected);
        None
    }
}

fn source(text: &str) -> Option<SecretSource> {
    // A value with a slash is a path; a path without one could be taken for mistyped digits.
    if text.contains('/') {
        Some(SecretSource::File(text.into()))
    } else {
        value::parse_hex_bytes(text)
            .map(Secret::new)
            .map(SecretSource::Inline)
    }
}

fn expected_name(what: &str, given: &str, names: impl IntoIterator<Item = &'static str>) -> String {
    match known::closest_name(given, names) {
        Some(nearest) => format!("{what}; did you mean {nearest:?}?"),
        None => what.to_owned(),
    }
}
