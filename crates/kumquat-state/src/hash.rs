//! The `hash` module maps keys to slots.
//!
//! The hash function and its seed are part of the stored format: changing them would move every key.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::ident::Slot;

/// Hashes a key for slot lookup and placements.
#[must_use]
pub fn key(key: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(0x6b75_6d71_7561_7400, 0x736c_6f74_0000_0001);
    hasher.write(key);
    hasher.finish()
}

/// Returns the slot of a key hash among `slots` slots.
///
/// The multiplication spreads hashes evenly for any slot count, not only for powers of two.
#[must_use]
pub fn slot(hash: u64, slots: u32) -> Slot {
    let slot = (u128::from(hash) * u128::from(slots)) >> 64;
    Slot(u32::try_from(slot).unwrap_or(u32::MAX))
}
