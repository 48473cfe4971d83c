//! The `http` module provides HTTP/1.1 messages and the connection that carries them.
//!
//! Parsing is `httparse`'s; this module adds framing.

use crate::errors::{Error, Result};

mod body;
mod connection;

pub use body::BodyReader;
pub use connection::{HttpConnection, PeekedRequest};

/// Headers that a message may have.
const HEADER_LIMIT: usize = 100;

/// Largest head of an upstream's or store's answer, in bytes.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name as it was received.
    pub name: String,
    /// Value without surrounding white space.
    pub value: Vec<u8>,
}

/// Header fields in order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Adds a field.
    pub fn append(&mut self, name: &str, value: &str) {
        self.0.push(Header {
            name: name.to_owned(),
            value: value.as_bytes().to_vec(),
        });
    }

    /// Returns the values of a field.
    pub fn get_all<'a, 'n>(
        &'a self,
        name: &'n str,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        let has_name = move |header: &&Header| header.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(has_name).map(|header| &*header.value)
    }

    /// Returns the first value of a field as text.
    #[must_use]
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get_all(name).next()?).ok()
    }

    /// Returns whether a field lists a token.
    #[must_use]
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| {
            let tokens = value.split(|byte| *byte == b',');
            let mut trimmed = tokens.map(<[u8]>::trim_ascii);
            trimmed.any(|value| value.eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns whether a field concerns only the connection that it came on.
    #[must_use]
    pub fn is_hop_by_hop(&self, name: &str) -> bool {
        const HOP_BY_HOP: [&str; 10] = [
            "connection",
            "content-length",
            "expect",
            "keep-alive",
            "proxy-authenticate",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
        ];
        HOP_BY_HOP
            .iter()
            .any(|other| other.eq_ignore_ascii_case(name))
            || self.contains_token("connection", name)
    }
}

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(usize),
    /// The body comes in chunks.
    Chunked,
    /// The body ends with the connection.
    UntilClose,
}

impl Framing {
    /// Returns the length of the body, if it is known before the body has been read.
    #[must_use]
    pub const fn known_length(self) -> Option<usize> {
        match self {
            Self::Empty => Some(0),
            Self::Length(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Whether the caller speaks HTTP/1.0.
    pub is_http_1_0: bool,
    /// Header fields.
    pub headers: Headers,
}

/// The head of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Whether the sender speaks HTTP/1.0.
    pub is_http_1_0: bool,
    /// Header fields.
    pub headers: Headers,
}

fn headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let fields = parsed.iter().map(|header| Header {
        name: header.name.to_owned(),
        value: header.value.trim_ascii().to_vec(),
    });
    Headers(fields.collect())
}

impl RequestHead {
    /// Returns how the end of the request's body is found.
    ///
    /// # Errors
    ///
    /// Returns an error if the fields contradict each other, which is how requests are smuggled past a router.
    pub fn framing(&self) -> Result<Framing> {
        let is_chunked = self.headers.get_all("transfer-encoding").next().is_some();
        let length = content_length(&self.headers)?;
        match (is_chunked, length) {
            (true, Some(_)) => Err(Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (true, None) => {
                let mut codings = self.headers.get_all("transfer-encoding");
                let is_plain = codings
                    .next()
                    .is_some_and(|value| value.eq_ignore_ascii_case(b"chunked"))
                    && codings.next().is_none();
                if is_plain && !self.is_http_1_0 {
                    Ok(Framing::Chunked)
                } else {
                    Err(Error::Malformed("Transfer-Encoding"))
                }
            }
            (false, Some(0) | None) => Ok(Framing::Empty),
            (false, Some(length)) => Ok(Framing::Length(length)),
        }
    }

    /// Returns the path of the target.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }

    /// Returns whether the connection stays open after the request.
    #[must_use]
    pub fn keeps_alive(&self) -> bool {
        if self.is_http_1_0 {
            self.headers.contains_token("connection", "keep-alive")
        } else {
            !self.headers.contains_token("connection", "close")
        }
    }
}

impl ResponseHead {
    /// Returns how the end of the answer's body is found, for a request with the given method.
    ///
    /// # Errors
    ///
    /// Returns an error if the fields contradict each other.
    pub fn framing(&self, method: &str) -> Result<Framing> {
        if method == "HEAD" || self.status == 204 || self.status == 304 {
            return Ok(Framing::Empty);
        }
        let length = content_length(&self.headers)?;
        match (
            self.headers.contains_token("transfer-encoding", "chunked"),
            length,
        ) {
            (true, Some(_)) => Err(Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(0)) => Ok(Framing::Empty),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }

    /// Returns whether the connection stays open after the answer.
    #[must_use]
    pub fn keeps_alive(&self, framing: Framing) -> bool {
        framing != Framing::UntilClose
            && !self.is_http_1_0
            && !self.headers.contains_token("connection", "close")
    }
}

fn content_length(headers: &Headers) -> Result<Option<usize>> {
    let mut values = headers.get_all("content-length");
    let Some(first) = values.next() else {
        return Ok(None);
    };
    let is_number = !first.is_empty() && first.iter().all(u8::is_ascii_digit);
    if values.next().is_some() || !is_number {
        return Err(Error::Malformed("Content-Length"));
    }
    let text = std::str::from_utf8(first).map_err(|_invalid| Error::Malformed("Content-Length"))?;
    let length = text.parse().map_err(|_overflow| Error::TooLarge("body"))?;
    Ok(Some(length))
}
