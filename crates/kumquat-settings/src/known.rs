//! Schema of a settings file: its sections and their keys, and suggestions for misspelt names.

/// Keys that a section may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AllowedKeys {
    /// Only the listed keys.
    Fixed(&'static [&'static str]),
    /// Any name: operators choose the keys of the section.
    Any,
}

/// All sections of a settings file, with the keys that each may hold.
pub(crate) const SECTIONS: [(&str, AllowedKeys); 9] = [
    ("vm", AllowedKeys::Fixed(&["name", "data-centre"])),
    (
        "entry",
        AllowedKeys::Fixed(&[
            "listen",
            "internal",
            "admin",
            "header-limit",
            "body-limit",
            "connections",
        ]),
    ),
    (
        "dispatch",
        AllowedKeys::Fixed(&["listen", "advertise", "admin"]),
    ),
    ("peers", AllowedKeys::Any),
    (STORE, AllowedKeys::Fixed(&["url", "timeout"])),
    ("list", AllowedKeys::Fixed(&["url"])),
    (SECRETS, AllowedKeys::Fixed(&["cell", "digest"])),
    (SIGNERS, AllowedKeys::Any),
    ("log", AllowedKeys::Fixed(&["level"])),
];

/// Section with the connection to the platform's key-value store.
pub(crate) const STORE: &str = "store";
/// Section with the public keys that are trusted to sign bundles, and the signature threshold.
pub(crate) const SIGNERS: &str = "signers";
/// Section of shared secrets; its values are redacted in problems.
pub(crate) const SECRETS: &str = "secrets";

/// Returns the keys that `section` may hold, or `None` for an unknown section.
pub(crate) fn allowed_keys(section: &str) -> Option<AllowedKeys> {
    SECTIONS
        .iter()
        .find_map(|(name, keys)| (*name == section).then_some(*keys))
}

/// Maximum edit distance between an unknown name and a suggested one.
const MAX_SUGGESTION_EDITS: usize = 3;

/// Returns the name in `names` with the smallest edit distance to `given`.
///
/// Returns `None` if no name is within [`MAX_SUGGESTION_EDITS`], or if only a replacement of a whole name would match.
pub(crate) fn closest_name<'a>(
    given: &str,
    names: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    names
        .into_iter()
        .map(|name| (strsim::damerau_levenshtein(given, name), name))
        .filter(|(distance, name)| *distance <= MAX_SUGGESTION_EDITS.min(name.len() - 1))
        .min()
        .map(|(_, name)| name)
}
