//! The `value` module reads single values and says what was expected of them.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use crate::{Level, Url};

/// A kind of value: how to read it and what to expect.
#[derive(Debug)]
pub(crate) struct Kind<T> {
    pub(crate) read: fn(&str) -> Option<T>,
    pub(crate) expected: &'static str,
}

impl<T> Clone for Kind<T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Kind<T> {}

/// Address of a listener; port 0 stands for any free port.
pub(crate) const LISTEN: Kind<SocketAddr> = Kind {
    read: |text| text.parse().ok(),
    expected: "IP:port, such as 10.0.0.1:8080",
};

/// Address that others connect to.
pub(crate) const ADDRESS: Kind<SocketAddr> = Kind {
    read: connectable,
    expected: "IP:port that others can connect to, such as 10.0.0.1:8080",
};

/// Base URL of a platform system.
pub(crate) const URL: Kind<Url> = Kind {
    read: |text| connectable(text.strip_prefix("http://")?.trim_end_matches('/')).map(Url),
    expected: "http://IP:port, such as http://10.0.0.1:8080",
};

/// Number of bytes.
pub(crate) const SIZE: Kind<usize> = Kind {
    read: size,
    expected: "bytes above 0, such as 65536, 64k or 8m",
};

/// Number above 0.
pub(crate) const COUNT: Kind<usize> = Kind {
    read: |text| text.parse().ok().filter(|count| *count > 0),
    expected: "a whole number above 0",
};

/// Time above 0.
pub(crate) const TIME: Kind<Duration> = Kind {
    read: time,
    expected: "a time above 0, such as 500ms or 2s",
};

/// Severity of log lines.
pub(crate) const LEVEL: Kind<Level> = Kind {
    read: level,
    expected: "one of critical, error, warning, info, debug, trace",
};

/// Public key of a signer.
pub(crate) const PUBLIC_KEY: Kind<[u8; 32]> = Kind {
    read: bytes,
    expected: "an ed25519 public key in 64 hexadecimal digits",
};

/// Name of a VM, data centre or signer.
pub(crate) const fn name<T: FromStr>() -> Kind<T> {
    Kind {
        read: |text| text.parse().ok(),
        expected: "a name of 1 to 40 characters of a-z, 0-9 and '-'",
    }
}

fn connectable(text: &str) -> Option<SocketAddr> {
    let address = text.parse::<SocketAddr>().ok()?;
    (address.port() != 0 && !address.ip().is_unspecified()).then_some(address)
}

fn size(text: &str) -> Option<usize> {
    let (number, unit) = match text.as_bytes().last()? {
        b'k' => (&text[..text.len() - 1], 1 << 10),
        b'm' => (&text[..text.len() - 1], 1 << 20),
        _ => (text, 1),
    };
    let size = number.parse::<usize>().ok()?.checked_mul(unit)?;
    (size > 0).then_some(size)
}

fn time(text: &str) -> Option<Duration> {
    let time = match text.strip_suffix("ms") {
        Some(millis) => Duration::from_millis(millis.parse().ok()?),
        None => Duration::from_secs(text.strip_suffix('s')?.parse().ok()?),
    };
    (!time.is_zero()).then_some(time)
}

fn level(text: &str) -> Option<Level> {
    Some(match text {
        "critical" => Level::Critical,
        "error" => Level::Error,
        "warning" => Level::Warning,
        "info" => Level::Info,
        "debug" => Level::Debug,
        "trace" => Level::Trace,
        _ => return None,
    })
}

/// Reads 32 bytes in hexadecimal digits.
pub(crate) fn bytes(text: &str) -> Option<[u8; 32]> {
    // Digits only: `from_str_radix` would also take a sign.
    if text.len() != 64 || !text.bytes().all(|digit| digit.is_ascii_hexdigit()) {
        return None;
    }
    let mut bytes = [0; 32];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
