//! The `codec` module provides the bounded CBOR encoding that all stored values share.

use serde::Serialize;
use serde::de::DeserializeOwned;

/// Deepest nesting that a stored value may have; the types of this crate stay below 16.
const DEPTH_LIMIT: usize = 32;

/// Encodes a value.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, String> {
    let mut bytes = Vec::new();
    ciborium::into_writer(value, &mut bytes).map_err(|error| error.to_string())?;
    Ok(bytes)
}

/// Decodes a value that has to fill `bytes` to the end.
///
/// The caller bounds the length of `bytes`; the decoder reserves no memory on the word of a length field.
pub(crate) fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    let mut rest = bytes;
    let value = ciborium::de::from_reader_with_recursion_limit(&mut rest, DEPTH_LIMIT)
        .map_err(|error| error.to_string())?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(format!("{} bytes follow the value", rest.len()))
    }
}

/// Returns `bytes` as lower-case hexadecimal digits.
pub(crate) fn to_hex(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut text = String::with_capacity(bytes.len() * 2);
    for byte in bytes {
        text.push(char::from(DIGITS[usize::from(byte >> 4)]));
        text.push(char::from(DIGITS[usize::from(byte & 0x0f)]));
    }
    text
}

/// Reads exactly `N` bytes from lower-case hexadecimal digits.
pub(crate) fn from_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    let digits = text.as_bytes();
    if digits.len() != N * 2 {
        return None;
    }
    let mut bytes = [0; N];
    for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
        *byte = (nibble(pair[0])? << 4) | nibble(pair[1])?;
    }
    Some(bytes)
}

fn nibble(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}
