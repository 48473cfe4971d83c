//! The `target` module provides the check that a path reaches the upstream as the caller wrote it.

/// Path of the router's own orders to upstreams, which no caller may reach whatever the routes say.
const GRANT: &str = "/grant";

/// Returns whether a target reaches no other path than the one it states, and not that of the router's orders.
///
/// URL parsers resolve dot segments, also encoded ones and those between backslashes. A target with such segments would
/// pass the check of its route and then reach another path of the upstream.
#[must_use]
pub fn is_plain(target: &str) -> bool {
    let path = target.split_once('?').map_or(target, |(path, _)| path);
    let decoded = decode(path);
    let is_dots = |segment: &[u8]| matches!(segment, b"." | b"..");
    let has_dots = decoded
        .split(|byte| matches!(byte, b'/' | b'\\'))
        .any(is_dots);
    !has_dots && decoded.strip_suffix(b"/").unwrap_or(&decoded) != GRANT.as_bytes()
}

/// Decodes the percent signs of a path; one that is followed by no two digits stands for itself.
fn decode(path: &str) -> Vec<u8> {
    let mut decoded = Vec::with_capacity(path.len());
    let mut rest = path.as_bytes();
    while let [first, tail @ ..] = rest {
        let code = (*first == b'%').then(|| tail.get(..2)).flatten();
        let code = code
            .filter(|digits| digits.iter().all(u8::is_ascii_hexdigit))
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(code.unwrap_or(*first));
        rest = if code.is_some() { &tail[2..] } else { tail };
    }
    decoded
}
