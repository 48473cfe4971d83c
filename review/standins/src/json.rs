//! A JSON reader for the bodies that the VMs send to the store, and the base64 coding of values.

use std::collections::BTreeMap;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut reader = Reader { text, at: 0 };
        reader.value()
    }

    pub fn get(&self, name: &str) -> &Self {
        match self {
            Self::Table(fields) => fields.get(name).unwrap_or(&Self::Null),
            _ => &Self::Null,
        }
    }

    pub fn list(&self) -> &[Self] {
        match self {
            Self::List(items) => items,
            _ => &[],
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Self::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn integer(&self) -> u64 {
        self.number() as u64
    }
}

struct Reader<'a> {
    text: &'a str,
    at: usize,
}

impl Reader<'_> {
    fn skip_space(&mut self) {
        let rest = &self.text[self.at..];
        self.at += rest.len() - rest.trim_start().len();
    }

    fn eat(&mut self, expected: char) -> Option<()> {
        self.skip_space();
        let found = self.text[self.at..].starts_with(expected);
        found.then(|| self.at += expected.len_utf8())
    }

    fn word(&mut self, word: &str, value: Json) -> Option<Json> {
        let found = self.text[self.at..].starts_with(word);
        found.then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.text[self.at..].chars().next()? {
            '{' => self.table(),
            '[' => self.list(),
            '"' => self.string().map(Json::Text),
            't' => self.word("true", Json::Bool(true)),
            'f' => self.word("false", Json::Bool(false)),
            'n' => self.word("null", Json::Null),
            _ => {
                let rest = &self.text[self.at..];
                let end = rest
                    .find(|c: char| !(c.is_ascii_digit() || "+-.eE".contains(c)))
                    .unwrap_or(rest.len());
                self.at += end;
                rest[..end].parse().ok().map(Json::Number)
            }
        }
    }

    fn table(&mut self) -> Option<Json> {
        self.eat('{')?;
        let mut fields = BTreeMap::new();
        if self.eat('}').is_some() {
            return Some(Json::Table(fields));
        }
        loop {
            self.skip_space();
            let name = self.string()?;
            self.eat(':')?;
            fields.insert(name, self.value()?);
            if self.eat(',').is_none() {
                self.eat('}')?;
                return Some(Json::Table(fields));
            }
        }
    }

    fn list(&mut self) -> Option<Json> {
        self.eat('[')?;
        let mut items = Vec::new();
        if self.eat(']').is_some() {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.eat(',').is_none() {
                self.eat(']')?;
                return Some(Json::List(items));
            }
        }
    }

    fn string(&mut self) -> Option<String> {
        self.eat('"')?;
        let mut text = String::new();
        let mut escaped = false;
        for (offset, c) in self.text[self.at..].char_indices() {
            match (escaped, c) {
                (true, 'n') => text.push('\n'),
                (true, 't') => text.push('\t'),
                (true, other) => text.push(other),
                (false, '\\') => {
                    escaped = true;
                    continue;
                }
                (false, '"') => {
                    self.at += offset + 1;
                    return Some(text);
                }
                (false, other) => text.push(other),
            }
            escaped = false;
        }
        None
    }
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

/// Encodes bytes as standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut bits = 0_u32;
        for position in 0..3 {
            bits = (bits << 8) | u32::from(*group.get(position).unwrap_or(&0));
        }
        for position in 0..4 {
            if position <= group.len() {
                let index = (bits >> (18 - 6 * position)) & 63;
                text.push(char::from(ALPHABET[index as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
