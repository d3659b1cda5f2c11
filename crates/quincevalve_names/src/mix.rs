//! Hash functions with the same results on every node and in every build.
//!
//! Nodes must agree on rendezvous hashing, so it can't use a hasher whose seed or algorithm may differ between two
//! versions of the program.

use sha2::{Digest, Sha256};

/// Returns the first 64 bits of a text's SHA-256 hash. The result is stable across versions.
///
/// ```
/// assert_ne!(quincevalve_names::hash_text("erding"), quincevalve_names::hash_text("freising"));
/// ```
pub fn hash_text(text: &str) -> u64 {
    first_u64(Sha256::digest(text.as_bytes()))
}

/// Hashes several byte strings into one number. The boundaries between the strings affect the result.
///
/// ```
/// use quincevalve_names::hash_parts;
/// assert_ne!(hash_parts([b"ab".as_slice(), b"c"]), hash_parts([b"a".as_slice(), b"bc"]));
/// ```
pub fn hash_parts<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> u64 {
    first_u64(parts_hasher(parts).finalize())
}

/// Hashes like [`hash_parts`], with a last byte string that is given in pieces. Their boundaries don't affect the result.
///
/// ```
/// use quincevalve_names::{hash_parts, hash_parts_and_pieces};
/// let whole = hash_parts([b"a".as_slice(), b"bc"]);
/// assert_eq!(hash_parts_and_pieces([b"a".as_slice()], [b"b".as_slice(), b"c"].into_iter()), whole);
/// ```
pub fn hash_parts_and_pieces<'a>(
    parts: impl IntoIterator<Item = &'a [u8]>,
    last: impl Iterator<Item = &'a [u8]> + Clone,
) -> u64 {
    let mut hasher = parts_hasher(parts);
    let len: usize = last.clone().map(<[u8]>::len).sum();
    hasher.update((len as u64).to_be_bytes());
    last.for_each(|it| hasher.update(it));
    first_u64(hasher.finalize())
}

fn parts_hasher<'a>(parts: impl IntoIterator<Item = &'a [u8]>) -> Sha256 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher
}

fn first_u64(digest: impl AsRef<[u8]>) -> u64 {
    let first = digest.as_ref().first_chunk().copied();
    u64::from_be_bytes(first.unwrap_or_default())
}

/// Mixes two 64-bit values into one, each bit of which depends on both.
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

/// Returns the rendezvous hashing score of `member` for `key`: the member with the highest score owns the key.
///
/// When a member is removed, only its own keys move, each to the member with the second-highest score.
pub const fn rendezvous_score(key: u64, member: u64) -> u64 {
    mix(key, member)
}
