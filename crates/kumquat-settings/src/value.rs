//! Parsers of single values, each with a description of the accepted syntax for problem reports.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::{BaseUrl, LogLevel};

/// Parser of one type of value.
#[derive(Debug)]
pub(crate) struct ValueParser<T> {
    /// Returns `None` if the text is not a valid value.
    pub(crate) parse: fn(&str) -> Option<T>,
    /// Description of valid values, printed after "expected" in a problem.
    pub(crate) expected: &'static str,
}

impl<T> Clone for ValueParser<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for ValueParser<T> {}

/// Address to listen on; with port 0 the operating system assigns a free port.
pub(crate) const LISTEN_ADDRESS: ValueParser<SocketAddr> = ValueParser {
    parse: |text| text.parse().ok(),
    expected: "IP:port, such as 10.0.0.1:8080",
};

/// Address that other hosts connect to, so neither port 0 nor an unspecified IP address.
pub(crate) const ENDPOINT: ValueParser<SocketAddr> = ValueParser {
    parse: parse_endpoint,
    expected: "IP:port that others can connect to, such as 10.0.0.1:8080",
};

/// Base URL of a platform service, without a path.
pub(crate) const BASE_URL: ValueParser<BaseUrl> = ValueParser {
    parse: |text| parse_endpoint(text.strip_prefix("http://")?.trim_end_matches('/')).map(BaseUrl),
    expected: "http://IP:port, such as http://10.0.0.1:8080",
};

/// Positive size in bytes; the suffixes `k` and `m` stand for KiB and MiB.
pub(crate) const BYTE_SIZE: ValueParser<usize> = ValueParser {
    parse: parse_byte_size,
    expected: "bytes above 0, such as 65536, 64k or 8m",
};

/// Positive integer.
pub(crate) const POSITIVE_COUNT: ValueParser<usize> = ValueParser {
    parse: |text| text.parse().ok().filter(|count| *count > 0),
    expected: "a whole number above 0",
};

/// Positive duration in whole seconds or milliseconds.
pub(crate) const DURATION: ValueParser<Duration> = ValueParser {
    parse: parse_duration,
    expected: "a time above 0, such as 500ms or 2s",
};

/// Name of a log level, in lower case.
pub(crate) const LOG_LEVEL: ValueParser<LogLevel> = ValueParser {
    parse: parse_log_level,
    expected: "one of critical, error, warning, info, debug, trace",
};

/// Public ed25519 key of a signer.
pub(crate) const PUBLIC_KEY: ValueParser<[u8; 32]> = ValueParser {
    parse: parse_hex_bytes,
    expected: "an ed25519 public key in 64 hexadecimal digits",
};

/// Returns the parser for the name of a VM, data centre or signer.
pub(crate) const fn name_parser<T: FromStr>() -> ValueParser<T> {
    ValueParser {
        parse: |text| text.parse().ok(),
        expected: "a name of 1 to 40 characters of a-z, 0-9 and '-'",
    }
}

fn parse_endpoint(text: &str) -> Option<SocketAddr> {
    let address = text.parse::<SocketAddr>().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

fn parse_byte_size(text: &str) -> Option<usize> {
    let (number, unit) = match text.as_bytes().last()? {
        b'k' => (&text[..text.len() - 1], 1 << 10),
        b'm' => (&text[..text.len() - 1], 1 << 20),
        _ => (text, 1),
    };
    let size = number.parse::<usize>().ok()?.checked_mul(unit)?;
    (size > 0).then_some(size)
}

fn parse_duration(text: &str) -> Option<Duration> {
    let duration = match text.strip_suffix("ms") {
        Some(millis) => Duration::from_millis(millis.parse().ok()?),
        None => Duration::from_secs(text.strip_suffix('s')?.parse().ok()?),
    };
    (!duration.is_zero()).then_some(duration)
}

fn parse_log_level(text: &str) -> Option<LogLevel> {
    Some(match text {
        "critical" => LogLevel::Critical,
        "error" => LogLevel::Error,
        "warning" => LogLevel::Warning,
        "info" => LogLevel::Info,
        "debug" => LogLevel::Debug,
        "trace" => LogLevel::Trace,
        _ => return None,
    })
}

/// Parses 32 bytes written as 64 hexadecimal digits of either case.
pub(crate) fn parse_hex_bytes(text: &str) -> Option<[u8; 32]> {
    // Checked here because `from_str_radix` also accepts a leading sign.
    if text.len() != 64 || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
