//! The `sorted` module provides lookups in vectors of keys and values that are sorted by key.

use std::borrow::Borrow;

/// Returns the value of a key.
#[must_use]
pub fn get<'a, K, V, Q>(entries: &'a [(K, V)], key: &Q) -> Option<&'a V>
where
    K: Borrow<Q>,
    Q: Ord + ?Sized,
{
    let position = entries.binary_search_by(|(other, _)| other.borrow().cmp(key));
    position.ok().map(|position| &entries[position].1)
}

/// Returns the value of a key, which is added first if it is missing.
pub fn get_or_insert_with<'a, K, V, Q>(
    entries: &'a mut Vec<(K, V)>,
    key: &Q,
    add: impl FnOnce() -> (K, V),
) -> &'a mut V
where
    K: Borrow<Q>,
    Q: Ord + ?Sized,
{
    let position = entries.binary_search_by(|(other, _)| other.borrow().cmp(key));
    let position = position.unwrap_or_else(|position| {
        entries.insert(position, add());
        position
    });
    &mut entries[position].1
}
