//! The `dialect` module provides the header field names and upstream requests that differ between platforms.
//!
//! A platform adapter fills in a [`Dialect`], so that the router itself contains no platform's names.

use std::time::Duration;

use kumquat_coordination::fleet::{Announcement, KeyRange, UpstreamLoad};

use crate::http::Headers;

/// A grant or release order to an upstream, encoded for its platform and sent as a POST request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderRequest {
    /// Request path, starting with a slash.
    pub path: &'static str,
    /// JSON body.
    pub body: Vec<u8>,
}

/// A range of keys that the coordinator grants to an upstream.
#[derive(Clone, Copy, Debug)]
pub struct KeyGrant<'a> {
    /// Granted key numbers, both ends included.
    pub keys: &'a KeyRange,
    /// Orders this grant among all grants of the service; upstreams reject an order with a lower token.
    pub fencing_token: u64,
    /// How long the upstream holds the keys, counted from the arrival of the order.
    pub duration: Duration,
    /// State that the previous owner returned when it released the keys, if any.
    pub handover_state: Option<&'a str>,
}

/// Header field names, paths and encodings of one platform.
#[derive(Clone, Copy, Debug)]
pub struct Dialect {
    /// Header field with the id that a caller gives to an attempt; upstreams echo it in their responses.
    pub attempt_id_header: &'static str,
    /// Header field with the milliseconds that the sender waits for the response.
    pub deadline_header: &'static str,
    /// Header field with the name of the upstream that a request is meant for.
    pub expected_upstream_header: &'static str,
    /// Header field with the name of the team that a request belongs to.
    pub team_header: &'static str,
    /// Response header field that marks a response as written by the upstream itself.
    pub signature_header: &'static str,
    /// Response header field that is present if the upstream did not execute the request.
    pub not_executed_header: &'static str,
    /// Header field with the value 1 in all responses of an upstream that is about to stop.
    pub leaving_header: &'static str,
    /// Header field with the key number of a request to a keyed service.
    pub key_number_header: &'static str,
    /// Response header field of a release with the state for the next owner of the keys.
    pub handover_header: &'static str,
    /// Authentication scheme that precedes the caller key in the `Authorization` field.
    pub auth_scheme: &'static str,
    /// Path of the readiness check.
    pub readiness_path: &'static str,
    /// Parses the load that an upstream reports in its response headers; `None` if it is absent or malformed.
    pub parse_load: fn(&Headers) -> Option<UpstreamLoad>,
    /// Parses the limit that an upstream announces in its response headers for the requests from all VMs together.
    pub parse_request_limit: fn(&Headers) -> Announcement,
    /// Encodes the order that grants keys.
    pub encode_grant: fn(&KeyGrant<'_>) -> OrderRequest,
    /// Encodes the order that releases a range of keys, with the fencing token of their next owner.
    pub encode_release: fn(&KeyRange, u64) -> OrderRequest,
}
