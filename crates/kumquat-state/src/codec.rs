//! The `codec` module provides the CBOR encoding of all stored values, and lower-case hexadecimal text.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum nesting depth of a stored value; the types of this crate nest less than 16 levels deep.
const NESTING_LIMIT: usize = 32;

/// Encodes a value as CBOR.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| error.to_string())?;
    Ok(bytes)
}

/// Decodes a CBOR value that spans all of `bytes`; trailing bytes are an error.
///
/// The caller limits the length of `bytes`. The decoder does not preallocate memory according to length fields, so that
/// a forged length can't exhaust memory.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let mut unread = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut unread, NESTING_LIMIT)
        .map_err(|error| error.to_string())?;
    if unread.is_empty() {
        Ok(value)
    } else {
        Err(format!("{} bytes follow the value", unread.len()))
    }
}

/// Formats bytes as lower-case hexadecimal digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 0x0f)]));
    }
    text
}

/// Parses exactly `N` bytes from lower-case hexadecimal digits, or returns none for any other text.
pub(crate) fn from_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let digits = text.as_bytes();
    if digits.len() != N * 2 {
        return None;
    }
    let mut bytes = [0; N];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = (parse_digit(pair[0])? << 4) | parse_digit(pair[1])?;
    }
    Some(bytes)
}

fn parse_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
