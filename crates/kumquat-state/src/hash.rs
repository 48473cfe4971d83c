//! The `hash` module maps the keys of keyed services to slots.
//!
//! The hash function and its seed are part of the stored format: a change of either would assign every key to another
//! slot.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::ident::Slot;

/// Returns the SipHash-1-3 of a key, which selects the key's slot and identifies the key in placements.
#[must_use]
pub fn key(key: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6b75_6d71_7561_7400, 0x736c_6f74_0000_0001);
    hasher.write(key);
    hasher.finish()
}

/// Maps a key hash to one of `slot_count` slots.
///
/// Multiplying and shifting distributes hashes evenly for any slot count, not only for powers of two.
#[must_use]
pub fn slot(hash: u64, slot_count: u32) -> Slot {
    let index = (u128::from(hash) * u128::from(slot_count)) >> 64;
    Slot(u32::try_from(index).unwrap_or(u32::MAX))
}
