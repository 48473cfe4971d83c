//! The `known` module lists the sections and keys of a settings file.

/// Keys of a section.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keys {
    /// These keys only.
    Fixed(&'static [&'static str]),
    /// Names chosen by the operators.
    Free,
}

/// Sections and their keys.
pub(crate) const SECTIONS: [(&str, Keys); 9] = [
    ("vm", Keys::Fixed(&["name", "data-centre"])),
    (
        "entry",
        Keys::Fixed(&[
            "listen",
            "internal",
            "admin",
            "header-limit",
            "body-limit",
            "connections",
        ]),
    ),
    ("dispatch", Keys::Fixed(&["listen", "advertise", "admin"])),
    ("peers", Keys::Free),
    (STORE, Keys::Fixed(&["url", "timeout"])),
    ("list", Keys::Fixed(&["url"])),
    (SECRETS, Keys::Fixed(&["cell", "digest"])),
    (SIGNERS, Keys::Free),
    ("log", Keys::Fixed(&["level"])),
];

/// Section of the platform's key-value store.
pub(crate) const STORE: &str = "store";
/// Section of the trusted signers of bundles.
pub(crate) const SIGNERS: &str = "signers";
/// Section whose values are never shown.
pub(crate) const SECRETS: &str = "secrets";

/// Returns the keys of a section.
pub(crate) fn keys(section: &str) -> Option<Keys> {
    SECTIONS
        .iter()
        .find_map(|(name, keys)| (*name == section).then_some(*keys))
}

/// Most edits between a misspelt name and the one that is suggested.
const HINT_DISTANCE: usize = 3;

/// Returns the name that is nearest to `given`, if it is near enough to be meant.
pub(crate) fn nearest<'a>(
    given: &str,
    names: impl IntoIterator<Item = &'a str>,
) -> Option<&'a str> {
    names
        .into_iter()
        .map(|name| (strsim::damerau_levenshtein(given, name), name))
        .filter(|(distance, name)| *distance <= HINT_DISTANCE.min(name.len() - 1))
        .min()
        .map(|(_, name)| name)
}
