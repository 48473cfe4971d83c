//! The `caller` module provides the checks on what a caller sends: who it is and which headers go on.

use bytes::Bytes;
use poem::http::header::{AUTHORIZATION, CONNECTION, HOST, HeaderMap, HeaderName};

use kumquat_protocol::wire::Header;
use kumquat_state::bundle::{Bundle, Route, RouteAccess};
use kumquat_state::ident;
use kumquat_state::secret::{PREFIX, Pepper, TEXT_LENGTH_BYTES};

/// Header that names the team on internal routes.
pub const TEAM_HEADER: &str = "kumquat-team";

/// Header that names the routing key; without it the path segment after the route's prefix is the key.
pub const ROUTING_KEY_HEADER: &str = "kumquat-routing-key";

/// Headers of one connection, which must not go on to the next.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Why a caller is turned away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The caller key is missing, malformed, unknown or withdrawn.
    Key,
    /// The caller key stands in a place from which it could reach an upstream.
    Exposed,
    /// The team is missing or unknown.
    Team,
    /// The route is for the internal listener only.
    Hidden,
}

/// Which listener a request came in on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// Reachable for anyone.
    Public,
    /// Reachable from the firm's own network only.
    Internal,
}

/// Finds the team for which a request runs.
///
/// # Errors
///
/// Returns why the caller is turned away; the cases of unknown, withdrawn and malformed keys are not told apart, so that
/// guessing learns nothing.
pub fn team(
    bundle: &Bundle,
    pepper: &Pepper,
    route: &Route,
    side: Side,
    headers: &HeaderMap,
    target: &str,
) -> Result<ident::Team, Rejection> {
    match (route.access, side) {
        (RouteAccess::Open, _) => {
            let key = bearer(headers).ok_or(Rejection::Key)?;
            let entry = pepper.find(bundle, key).ok_or(Rejection::Key)?;
            if is_exposed(key, headers, target) {
                return Err(Rejection::Exposed);
            }
            Ok(entry.team.clone())
        }
        (RouteAccess::Internal, Side::Public) => Err(Rejection::Hidden),
        (RouteAccess::Internal, Side::Internal) => {
            let name = headers
                .get(TEAM_HEADER)
                .and_then(|value| value.to_str().ok());
            let name: ident::Team = name
                .and_then(|name| name.parse().ok())
                .ok_or(Rejection::Team)?;
            if bundle.team(&name).is_none() {
                return Err(Rejection::Team);
            }
            Ok(name)
        }
    }
}

/// Returns the routing key of a request, if it has exactly one and that is not empty.
#[must_use]
pub fn routing_key<'a>(route: &Route, headers: &'a HeaderMap, path: &'a str) -> Option<&'a [u8]> {
    let mut stated = headers.get_all(ROUTING_KEY_HEADER).iter();
    if let Some(value) = stated.next() {
        // Of two keys it would be unclear which owner the request is for.
        let is_only = stated.next().is_none() && !value.is_empty();
        return is_only.then_some(value.as_bytes());
    }
    let rest = path.strip_prefix(route.prefix.as_str())?;
    let segment = rest.trim_start_matches('/').split('/').next()?;
    (!segment.is_empty()).then_some(segment.as_bytes())
}

/// Returns the headers that go on to the upstream: without the caller key, hop-by-hop headers and the router's own.
#[must_use]
pub fn forwarded(headers: &HeaderMap) -> Vec<Header> {
    let named = connection_headers(headers);
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name) && !named.iter().any(|other| other == name.as_str()))
        .map(|(name, value)| {
            (
                name.as_str().to_owned(),
                Bytes::copy_from_slice(value.as_bytes()),
            )
        })
        .collect()
}

/// Returns whether an answer's header goes on to the caller.
#[must_use]
pub fn is_returned(name: &str) -> bool {
    !HOP_BY_HOP.contains(&name)
}

fn is_forwarded(name: &HeaderName) -> bool {
    // Headers with this prefix are the router's word to upstreams; a caller must not be able to forge them.
    name != AUTHORIZATION
        && name != HOST
        && !name.as_str().starts_with("kumquat-")
        && !HOP_BY_HOP.contains(&name.as_str())
}

/// Returns the further hop-by-hop headers that the `Connection` header names.
fn connection_headers(headers: &HeaderMap) -> Vec<String> {
    headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect()
}

fn bearer(headers: &HeaderMap) -> Option<&str> {
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next()?.to_str().ok()?;
    // Of two keys it would be unclear for which team the request runs.
    if values.next().is_some() {
        return None;
    }
    value.strip_prefix("Bearer ").map(str::trim)
}

/// Returns whether the key, or anything of the form of a caller key, also stands in the target or in another header.
fn is_exposed(key: &str, headers: &HeaderMap, target: &str) -> bool {
    let digits = key.strip_prefix(PREFIX).unwrap_or(key).as_bytes();
    let contains = |bytes: &[u8]| {
        let own = bytes.windows(digits.len()).any(|part| part == digits);
        own || bytes.windows(TEXT_LENGTH_BYTES).any(is_key)
    };
    contains(target.as_bytes())
        || headers
            .iter()
            .any(|(name, value)| name != AUTHORIZATION && contains(value.as_bytes()))
}

/// Returns whether the bytes have the form of a caller key, which may be that of another team.
fn is_key(bytes: &[u8]) -> bool {
    bytes
        .strip_prefix(PREFIX.as_bytes())
        .is_some_and(|digits| digits.iter().all(u8::is_ascii_hexdigit))
}
