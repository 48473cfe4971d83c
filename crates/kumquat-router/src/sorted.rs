//! The `sorted` module provides lookups in vectors of key-value pairs that are sorted by key.

use std::borrow::Borrow;

/// Returns the value of a key, if `entries` contains it.
#[must_use]
pub fn get<'a, K, V, Q>(entries: &'a [(K, V)], key: &Q) -> Option<&'a V>
where
    K: Borrow<Q>,
    Q: Ord + ?Sized,
{
    let position = entries.binary_search_by(|(entry_key, _)| entry_key.borrow().cmp(key));
    position.ok().map(|position| &entries[position].1)
}

/// Returns the value of a key for changes, if `entries` contains it.
#[must_use]
pub fn get_mut<'a, K, V, Q>(entries: &'a mut [(K, V)], key: &Q) -> Option<&'a mut V>
where
    K: Borrow<Q>,
    Q: Ord + ?Sized,
{
    let position = entries.binary_search_by(|(entry_key, _)| entry_key.borrow().cmp(key));
    position.ok().map(|position| &mut entries[position].1)
}

/// Returns the value of a key; inserts the pair that `create` returns if the key is missing.
///
/// The key of the created pair must be equal to `key`, or `entries` is no longer sorted.
pub fn get_or_insert_with<'a, K, V, Q>(
    entries: &'a mut Vec<(K, V)>,
    key: &Q,
    create: impl FnOnce() -> (K, V),
) -> &'a mut V
where
    K: Borrow<Q>,
    Q: Ord + ?Sized,
{
    let position = entries.binary_search_by(|(entry_key, _)| entry_key.borrow().cmp(key));
    let position = position.unwrap_or_else(|position| {
        entries.insert(position, create());
        position
    });
    &mut entries[position].1
}
