//! The `explain` module provides the page that tells where a request would go now and why, without sending it.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::gateway;
use crate::vm::Vm;

/// Path of the page.
const PATH: &str = "/explain";

/// A request that is not sent.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Question {
    /// Value of the `Host` field.
    pub host: String,
    /// Request target: a path with an optional query.
    pub path: String,
    /// Request method.
    pub method: String,
    /// Further header fields; an attempt id is added if there is none.
    pub headers: Vec<(String, String)>,
    /// Length of the body.
    pub body_bytes: usize,
}

impl Question {
    /// Returns the target of the page for this request.
    #[must_use]
    pub fn target(&self) -> String {
        let mut target = format!(
            "{PATH}?host={}&path={}&method={}&body_bytes={}",
            encode(&self.host),
            encode(&self.path),
            encode(&self.method),
            self.body_bytes
        );
        for (name, value) in &self.headers {
            target.push_str("&header=");
            target.push_str(&encode(&format!("{name}: {value}")));
        }
        target
    }

    /// Parses the query of the page's target.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with it.
    pub fn parse(query: &str) -> Result<Self, String> {
        let mut question = Self {
            method: "GET".to_owned(),
            ..Self::default()
        };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (name, value) = pair.split_once('=').unwrap_or((pair, ""));
            let value = decode(value).ok_or_else(|| format!("{name}: not percent-encoded text"))?;
            match name {
                "host" => question.host = value,
                "path" => question.path = value,
                "method" => question.method = value,
                "header" => question.headers.push(parse_header(&value)?),
                "body_bytes" => {
                    question.body_bytes = value
                        .parse()
                        .map_err(|_invalid| "body_bytes: not a number of bytes".to_owned())?;
                }
                _ => return Err(format!("{name}: no such parameter")),
            }
        }
        if question.host.is_empty() {
            return Err("host: missing".to_owned());
        }
        if !question.path.starts_with('/') {
            return Err("path: does not start with a slash".to_owned());
        }
        Ok(question)
    }
}

/// Parses a header field as `Name: value`.
///
/// # Errors
///
/// Returns what is wrong with it.
pub fn parse_header(field: &str) -> Result<(String, String), String> {
    let (name, value) = field
        .split_once(':')
        .ok_or_else(|| "header: not in the form \"Name: value\"".to_owned())?;
    let is_token = |byte: u8| byte.is_ascii_graphic() && !b"()<>@,;:\\\"/[]?={}".contains(&byte);
    if name.is_empty() || !name.bytes().all(is_token) {
        return Err("header: not a field name".to_owned());
    }
    Ok((name.to_owned(), value.trim().to_owned()))
}

/// Where a request would go now.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Explanation {
    /// Name of the VM that was asked.
    pub vm: String,
    /// Version of the desired state in force there; zero if there is none.
    pub desired_state_version: u64,
    /// Whether the request would be sent, at once or after the expected wait.
    pub is_sent: bool,
    /// The response if it would not be sent.
    pub rejection: Option<Rejection>,
    /// Route, if one matches.
    pub route: Option<String>,
    /// Team, if the request has a valid caller key.
    pub team: Option<String>,
    /// Service.
    pub service: Option<String>,
    /// Key, if the service is keyed.
    pub key: Option<u16>,
    /// Owner of the key, if it is known.
    pub owner: Option<Owner>,
    /// Upstream to which the request would be sent at once.
    pub selected: Option<String>,
    /// VM to which it would be forwarded, if this one has no path to the upstreams.
    pub forwarded_to: Option<SocketAddr>,
    /// Requests in this VM's queue ahead of it.
    pub queued_ahead: usize,
    /// Expected wait in the queue.
    pub expected_wait_ms: f64,
    /// Expected work, if it is learned.
    pub expected_work_ms: Option<f64>,
    /// Whether the service is routed by expected cost rather than by the number of requests in flight.
    pub is_routed_by_cost: bool,
    /// All upstreams of the service, by name.
    pub upstreams: Vec<Upstream>,
    /// What was not considered.
    pub notes: Vec<String>,
}

/// A response that is sent without an upstream.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Rejection {
    /// HTTP status code.
    pub status: u16,
    /// Reason, as in the access log.
    pub reason: String,
    /// Value of the `Retry-After` field, if there is one.
    pub retry_after_s: Option<f64>,
}

/// The owner of a key in the ownership map.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// Name of the upstream.
    pub name: String,
    /// Its incarnation.
    pub incarnation: u64,
    /// Fencing token of its grants.
    pub fencing_token: u64,
    /// Whether it can have been granted the key; otherwise a previous owner may still hold it.
    pub has_grant: bool,
    /// Names of previous owners that may still hold the key.
    pub previous_owners: Vec<String>,
}

/// An upstream of the service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Upstream {
    /// Name.
    pub name: String,
    /// Version; empty if it states none.
    pub version: String,
    /// Data centre.
    pub data_centre: String,
    /// Requests that it processes concurrently.
    pub slots: u32,
    /// Requests of all VMs in flight there, as far as the VM knows.
    pub in_flight: u32,
    /// Expected response time relative to the usual one; lower is better.
    pub cost: f64,
    /// Why it can't take the request now, if it can't.
    pub obstacle: Option<String>,
    /// Time until the obstacle ends by itself, if that is known.
    pub obstacle_ms: Option<f64>,
}

/// Returns the status and body of the page for a method and request target; `None` if it is another page's.
///
/// The platform adapter serves it at an address that callers can't reach.
#[must_use]
pub fn page(vm: &Rc<Vm>, method: &str, target: &str) -> Option<(u16, Vec<u8>)> {
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if (method, path) != ("GET", PATH) {
        return None;
    }
    let question = match Question::parse(query) {
        Ok(question) => question,
        Err(problem) => return Some((400, format!("{problem}\n").into_bytes())),
    };
    let explanation = gateway::explain(vm, &question);
    match serde_json::to_vec(&explanation) {
        Ok(body) => Some((200, body)),
        Err(error) => Some((500, format!("{error}\n").into_bytes())),
    }
}

/// Encodes text as the value of a query parameter.
fn encode(text: &str) -> String {
    let mut encoded = String::with_capacity(text.len());
    for byte in text.bytes() {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            encoded.push(char::from(byte));
        } else {
            // Writing to a string does not fail.
            let _ = write!(encoded, "%{byte:02X}");
        }
    }
    encoded
}

/// Decodes the value of a query parameter; `None` if it is malformed.
fn decode(value: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(value.len());
    let mut rest = value.as_bytes();
    while let Some((byte, after)) = rest.split_first() {
        if *byte == b'%' {
            let digits = std::str::from_utf8(after.get(..2)?).ok()?;
            if !digits.bytes().all(|digit| digit.is_ascii_hexdigit()) {
                return None;
            }
            bytes.push(u8::from_str_radix(digits, 16).ok()?);
            rest = &after[2..];
        } else {
            bytes.push(*byte);
            rest = after;
        }
    }
    String::from_utf8(bytes).ok()
}
