//! The `http` module provides HTTP/1.1 messages and the connections that carry them.
//!
//! Heads and chunk sizes are parsed by `httparse`; this module adds message framing.

use crate::errors::{Error, Result};

mod body;
mod buffer;
mod connection;
mod segments;

pub use body::BodyReader;
pub use connection::{HttpConnection, PeekedRequest};
pub use segments::Body;

/// Largest number of header fields in a message.
const MAX_HEADERS: usize = 100;

/// Largest head, or trailer section, of a response from an upstream or the store.
pub const MAX_RESPONSE_HEAD_BYTES: usize = 32 * 1024;

/// A header field.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// Name in the case in which it was received; compare it without regard to case.
    pub name: String,
    /// Value without surrounding white space, not necessarily UTF-8.
    pub value: Vec<u8>,
}

/// Header fields in the order in which they were received.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Headers(pub Vec<Header>);

impl Headers {
    /// Appends a field; fields of the same name are kept.
    pub fn append(&mut self, name: &str, value: &str) {
        self.0.push(Header {
            name: name.to_owned(),
            value: value.as_bytes().to_vec(),
        });
    }

    /// Returns the values of all fields with a name, compared without regard to case.
    pub fn get_all<'a, 'n>(
        &'a self,
        name: &'n str,
    ) -> impl Iterator<Item = &'a [u8]> + use<'a, 'n> {
        let has_name = move |header: &&Header| header.name.eq_ignore_ascii_case(name);
        self.0.iter().filter(has_name).map(|header| &*header.value)
    }

    /// Returns the value of the first field with a name, or `None` if there is none or it is not UTF-8.
    #[must_use]
    pub fn get_str(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get_all(name).next()?).ok()
    }

    /// Returns whether a comma-separated list field contains a token, compared without regard to case.
    #[must_use]
    pub fn contains_token(&self, name: &str, token: &str) -> bool {
        self.get_all(name).any(|value| {
            let tokens = value.split(|byte| *byte == b',');
            let mut trimmed = tokens.map(<[u8]>::trim_ascii);
            trimmed.any(|listed| listed.eq_ignore_ascii_case(token.as_bytes()))
        })
    }

    /// Returns whether a field must not be forwarded, either by its name or because `Connection` lists it.
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

/// How the length of a message body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The message has no body.
    Empty,
    /// The body has this many bytes, from `Content-Length`; never 0 if parsed from a head.
    Length(usize),
    /// The body uses the chunked transfer coding.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

impl Framing {
    /// Returns the length of the body in bytes, or `None` if it is only known at the end of the body.
    #[must_use]
    pub const fn known_length(self) -> Option<usize> {
        match self {
            Self::Empty => Some(0),
            Self::Length(length) => Some(length),
            Self::Chunked | Self::UntilClose => None,
        }
    }
}

/// The request line and header fields of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Request method, in the case in which it was received.
    pub method: String,
    /// Request target; a valid request's is a path with an optional query.
    pub target: String,
    /// Whether the request's version is HTTP/1.0, which has no chunked coding and closes connections by default.
    pub is_http_1_0: bool,
    /// Header fields.
    pub headers: Headers,
}

/// The status line and header fields of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code as received, any three digits.
    pub status: u16,
    /// Whether the response's version is HTTP/1.0, after which the connection is not reused.
    pub is_http_1_0: bool,
    /// Header fields.
    pub headers: Headers,
}

fn to_headers(parsed: &[httparse::Header<'_>]) -> Headers {
    let fields = parsed.iter().map(|header| Header {
        name: header.name.to_owned(),
        value: header.value.trim_ascii().to_vec(),
    });
    Headers(fields.collect())
}

impl RequestHead {
    /// Returns how the length of the request's body is determined.
    ///
    /// # Errors
    ///
    /// Returns an error if `Content-Length` or `Transfer-Encoding` is malformed, or both are present: a proxy and an
    /// upstream that disagree about the end of a request allow request smuggling.
    pub fn framing(&self) -> Result<Framing> {
        let is_chunked = is_chunked(&self.headers)?;
        let length = content_length(&self.headers)?;
        match (is_chunked, length) {
            (true, Some(_)) => Err(Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (true, None) if self.is_http_1_0 => Err(Error::Malformed("Transfer-Encoding")),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(0) | None) => Ok(Framing::Empty),
            (false, Some(length)) => Ok(Framing::Length(length)),
        }
    }

    /// Returns the approximate memory of the head.
    #[must_use]
    pub fn memory_bytes(&self) -> usize {
        let fields = self.headers.0.iter();
        let texts: usize = fields
            .map(|field| field.name.len() + field.value.len() + size_of::<Header>())
            .sum();
        texts + self.method.len() + self.target.len()
    }

    /// Returns the request target without its query.
    #[must_use]
    pub fn path(&self) -> &str {
        self.target.split(['?', '#']).next().unwrap_or_default()
    }

    /// Returns whether the caller allows the connection to stay open after the response.
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
    /// Returns how the length of the response's body is determined; `method` is the request's.
    ///
    /// # Errors
    ///
    /// Returns an error if `Content-Length` is malformed or present together with `Transfer-Encoding`, or the latter is
    /// another one than chunked.
    pub fn framing(&self, method: &str) -> Result<Framing> {
        if method == "HEAD" || self.status == 204 || self.status == 304 {
            return Ok(Framing::Empty);
        }
        let length = content_length(&self.headers)?;
        match (is_chunked(&self.headers)?, length) {
            (true, Some(_)) => Err(Error::Malformed(
                "both Content-Length and Transfer-Encoding",
            )),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(0)) => Ok(Framing::Empty),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::UntilClose),
        }
    }

    /// Returns whether the sender keeps the connection open after the response.
    #[must_use]
    pub fn keeps_alive(&self, framing: Framing) -> bool {
        framing != Framing::UntilClose
            && !self.is_http_1_0
            && !self.headers.contains_token("connection", "close")
    }
}

/// Returns whether the body uses the chunked transfer coding; any other coding is an error.
fn is_chunked(headers: &Headers) -> Result<bool> {
    let mut values = headers.get_all("transfer-encoding");
    match (values.next(), values.next()) {
        (None, _) => Ok(false),
        (Some(value), None) if value.eq_ignore_ascii_case(b"chunked") => Ok(true),
        _ => Err(Error::Malformed("Transfer-Encoding")),
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
