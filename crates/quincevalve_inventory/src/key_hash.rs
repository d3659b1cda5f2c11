//! API keys, stored only as hashes.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;
use subtle::ConstantTimeEq;

const HASH_BYTES: usize = 32;

/// The SHA-256 hash of an API key.
///
/// Keys are long and random, so a fast hash is sufficient; a slow hash is needed only for secrets that can be guessed.
/// A reader of the inventory can't make requests with the hashes in it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct KeyHash([u8; HASH_BYTES]);

impl KeyHash {
    /// Hashes a key in the form that a caller sends.
    ///
    /// ```
    /// use quincevalve_inventory::KeyHash;
    /// assert!(KeyHash::of("k-1").matches(&KeyHash::of("k-1")));
    /// assert!(!KeyHash::of("k-1").matches(&KeyHash::of("k-2")));
    /// ```
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key.as_bytes()).into())
    }

    /// Compares two hashes in constant time, so that response times reveal nothing about a stored hash.
    pub fn matches(&self, other: &Self) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|it| write!(f, "{it:02x}"))
    }
}

impl fmt::Debug for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// The error for a text that is not a hexadecimal SHA-256 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("a key hash is 64 hexadecimal digits (the SHA-256 of the key)"))]
pub struct InvalidKeyHash;

impl TryFrom<String> for KeyHash {
    type Error = InvalidKeyHash;

    fn try_from(text: String) -> Result<Self, InvalidKeyHash> {
        if text.len() != 2 * HASH_BYTES || !text.is_ascii() {
            return Err(InvalidKeyHash);
        }
        let mut bytes = [0; HASH_BYTES];
        for (byte, start) in bytes.iter_mut().zip((0..text.len()).step_by(2)) {
            *byte = u8::from_str_radix(&text[start..start + 2], 16).map_err(|_| InvalidKeyHash)?;
        }
        Ok(Self(bytes))
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}
