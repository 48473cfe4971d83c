//! Extraction of values from a parsed INI file; problems are collected instead of ending the extraction.

use std::path::Path;
use std::str::FromStr;

use ini::Ini;

use crate::known::{self, AllowedKeys, SECRETS, SECTIONS};
use crate::value::{self, ValueParser};
use crate::{Problem, Secret, SecretSource};

/// Replaces the value in a problem if it may be a secret.
const REDACTED: &str = "(hidden)";
/// Number of characters after which a value is cut off in a problem.
const MAX_SHOWN_CHARS: usize = 80;

/// A parsed settings file with the problems found so far.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    path: &'a Path,
    /// Section, key and value of each entry, in the order of the file; the section is empty before the first header.
    entries: Vec<(String, String, String)>,
    problems: Vec<Problem>,
}

impl<'a> Reader<'a> {
    /// Parses the INI text and checks the section names; fails only if the text is not INI.
    pub(crate) fn new(text: &str, path: &'a Path) -> Result<Self, Vec<Problem>> {
        // No escape sequences: a backslash has no special meaning in the addresses, names and paths of these files.
        let ini = Ini::load_from_str_noescape(text).map_err(|error| {
            let expected = format!("an INI file ({error})");
            vec![Problem::for_file(path, &expected)]
        })?;
        let mut entries = Vec::new();
        for (section, properties) in &ini {
            let section = section.unwrap_or_default();
            for (key, value) in properties {
                entries.push((section.to_owned(), key.to_owned(), value.trim().to_owned()));
            }
        }
        let mut reader = Self {
            path,
            entries,
            problems: Vec::new(),
        };
        reader.check_sections(&ini);
        Ok(reader)
    }

    /// Returns the settings, or all problems if there are any.
    pub(crate) fn finish<T>(self, settings: Option<T>) -> Result<T, Vec<Problem>> {
        match settings {
            Some(settings) if self.problems.is_empty() => Ok(settings),
            _ => Err(self.problems),
        }
    }

    /// Records a problem; the value is redacted in the secrets section and in unknown sections.
    pub(crate) fn add_problem(&mut self, section: &str, key: &str, value: &str, expected: &str) {
        // An unknown section may be a misspelt secrets section.
        let is_public = section != SECRETS && known::allowed_keys(section).is_some();
        let shown = if value.is_empty() || is_public {
            value.chars().take(MAX_SHOWN_CHARS).collect()
        } else {
            REDACTED.to_owned()
        };
        self.problems.push(Problem {
            file: self.path.to_owned(),
            section: section.to_owned(),
            key: key.to_owned(),
            value: shown,
            expected: expected.to_owned(),
        });
    }

    /// Reports unknown and repeated sections.
    fn check_sections(&mut self, ini: &Ini) {
        let mut seen = Vec::new();
        for section in ini.iter().filter_map(|(section, _)| section) {
            if known::allowed_keys(section).is_none() {
                let names = SECTIONS.iter().map(|(name, _)| *name);
                let expected = expected_name("a known section", section, names);
                self.add_problem(section, "", "", &expected);
            } else if seen.contains(&section) {
                self.add_problem(section, "", "", "each section once");
            }
            seen.push(section);
        }
    }

    /// Reports unknown keys, keys before the first section and repeated keys.
    pub(crate) fn check_keys(&mut self) {
        self.check_keys_in(|_section| true);
    }

    /// Like [`Self::check_keys`], but ignores the sections for which `is_checked` returns false.
    pub(crate) fn check_keys_in(&mut self, is_checked: impl Fn(&str) -> bool) {
        let entries: Vec<_> = self
            .entries
            .iter()
            .filter(|(section, _, _)| section.is_empty() || is_checked(section))
            .cloned()
            .collect();
        for (index, (section, key, value)) in entries.iter().enumerate() {
            if section.is_empty() {
                self.add_problem("", key, value, "each key within a section");
                continue;
            }
            let earlier = &entries[..index];
            if earlier
                .iter()
                .any(|(other, name, _)| other == section && name == key)
            {
                self.add_problem(section, key, value, "each key once in its section");
            }
            if let Some(AllowedKeys::Fixed(names)) = known::allowed_keys(section)
                && !names.contains(&key.as_str())
            {
                let expected = expected_name("a known key", key, names.iter().copied());
                self.add_problem(section, key, value, &expected);
            }
        }
    }

    /// Returns the unparsed value of a key; the first one if the key is repeated.
    pub(crate) fn raw_value(&self, section: &str, key: &str) -> Option<String> {
        self.entries
            .iter()
            .find(|(other, name, _)| other == section && name == key)
            .map(|(_, _, value)| value.clone())
    }

    /// Returns the keys and unparsed values of a section, in the order of the file.
    pub(crate) fn section_entries(&self, section: &str) -> Vec<(String, String)> {
        self.entries
            .iter()
            .filter(|(other, _, _)| other == section)
            .map(|(_, key, value)| (key.clone(), value.clone()))
            .collect()
    }

    /// Parses a mandatory value; a missing key is a problem.
    pub(crate) fn required_value<T>(
        &mut self,
        section: &str,
        key: &str,
        parser: ValueParser<T>,
    ) -> Option<T> {
        if let Some(text) = self.raw_value(section, key) {
            return self.parse_value(section, key, &text, parser);
        }
        let expected = format!("{}, but the key is missing", parser.expected);
        self.add_problem(section, key, "", &expected);
        None
    }

    /// Parses a value, or returns `default` if the key is missing.
    pub(crate) fn value_or_default<T>(
        &mut self,
        section: &str,
        key: &str,
        parser: ValueParser<T>,
        default: T,
    ) -> Option<T> {
        match self.raw_value(section, key) {
            Some(text) => self.parse_value(section, key, &text, parser),
            None => Some(default),
        }
    }

    /// Parses an optional value.
    ///
    /// The outer option is `None` if the value is invalid, the inner one if the key is missing.
    #[expect(
        clippy::option_option,
        reason = "a missing key and an invalid value are different results"
    )]
    pub(crate) fn optional_value<T>(
        &mut self,
        section: &str,
        key: &str,
        parser: ValueParser<T>,
    ) -> Option<Option<T>> {
        match self.raw_value(section, key) {
            Some(text) => self.parse_value(section, key, &text, parser).map(Some),
            None => Some(None),
        }
    }

    /// Parses `text`, the value of `key`, and records a problem if it is invalid.
    pub(crate) fn parse_value<T>(
        &mut self,
        section: &str,
        key: &str,
        text: &str,
        parser: ValueParser<T>,
    ) -> Option<T> {
        let value = (parser.parse)(text);
        if value.is_none() {
            self.add_problem(section, key, text, parser.expected);
        }
        value
    }

    /// Parses a key that is itself a name, such as that of a peer or signer.
    pub(crate) fn parse_key<T: FromStr>(
        &mut self,
        section: &str,
        key: &str,
        value: &str,
    ) -> Option<T> {
        let parser = value::name_parser::<T>();
        let name = (parser.parse)(key);
        if name.is_none() {
            let expected = format!("as key {}", parser.expected);
            self.add_problem(section, key, value, &expected);
        }
        name
    }

    /// Returns where a secret is stored, without reading the file.
    ///
    /// A relative path is resolved against the directory of the settings file.
    pub(crate) fn secret_source(&mut self, key: &str) -> Option<SecretSource> {
        let parser = ValueParser {
            parse: parse_secret_source,
            expected: "32 bytes in 64 hexadecimal digits, or the path of a file with them",
        };
        match self.required_value(SECRETS, key, parser)? {
            SecretSource::File(path) => {
                let directory = self.path.parent().unwrap_or(Path::new(""));
                Some(SecretSource::File(directory.join(path)))
            }
            inline @ SecretSource::Inline(_) => Some(inline),
        }
    }

    /// Reads a secret from the settings or from the file that they name.
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
        let text = self.raw_value(SECRETS, key).unwrap_or_default();
        self.add_problem(SECRETS, key, &text, &expected);
        None
    }
}

fn parse_secret_source(text: &str) -> Option<SecretSource> {
    // Only a value with a slash is a path, because a bare file name can't be told from mistyped digits.
    if text.contains('/') {
        Some(SecretSource::File(text.into()))
    } else {
        value::parse_hex_bytes(text)
            .map(Secret::new)
            .map(SecretSource::Inline)
    }
}

/// Returns `what`, with a suggestion if one of `names` is close to `given`.
fn expected_name(what: &str, given: &str, names: impl IntoIterator<Item = &'static str>) -> String {
    match known::closest_name(given, names) {
        Some(nearest) => format!("{what}; did you mean {nearest:?}?"),
        None => what.to_owned(),
    }
}
