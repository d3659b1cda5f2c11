//! Hashing that is the same on every node and in every build.
//!
//! Rendezvous choices must agree between nodes, so they can't use a hasher whose seed or algorithm
//! may differ between two versions of the program.

use sha2::{Digest, Sha256};

/// A 64-bit hash of a text, from SHA-256, stable across versions.
///
/// ```
/// assert_ne!(quincevalve_names::hash_text("erding"), quincevalve_names::hash_text("freising"));
/// ```
pub fn hash_text(text: &str) -> u64 {
    first_bytes(Sha256::digest(text.as_bytes()))
}

/// Hashes several byte strings into one number; where one ends and the next begins counts too.
///
/// ```
/// use quincevalve_names::hash_parts;
/// assert_ne!(hash_parts([b"ab".as_slice(), b"c"]), hash_parts([b"a".as_slice(), b"bc"]));
/// ```
pub fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    first_bytes(hasher.finalize())
}

fn first_bytes(digest: impl AsRef<[u8]>) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&digest.as_ref()[..8]);
    u64::from_be_bytes(first)
}

/// Mixes two 64-bit values into one whose bits all depend on both.
///
/// ```
/// assert_ne!(quincevalve_names::mix(1, 2), quincevalve_names::mix(2, 1));
/// ```
pub const fn mix(left: u64, right: u64) -> u64 {
    let mut value = left ^ right.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(29);
    value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The rendezvous score of `member` for `key`: the member with the highest score holds the key.
///
/// When a member goes, only its own keys move, and each to the member that was second for it.
pub const fn rendezvous_score(key: u64, member: u64) -> u64 {
    mix(key, member)
}
