//! A large value in several datagrams.

use serde::{Deserialize, Serialize};

/// Bytes of one part: two hundred of them are a value of the largest size that the platform's store takes, and one is
/// less than half of the largest datagram.
const PART_BYTES: usize = 24 << 10;
/// Parts of one value at most; a value that claims more is not taken.
const MOST_PARTS: u32 = 256;

/// One part of a version of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// The version that it belongs to.
    pub version: u64,
    /// Its place, from 0.
    pub at: u32,
    /// All parts of the version.
    pub of: u32,
    /// Its bytes.
    pub bytes: Vec<u8>,
}

/// Cuts a value into parts.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::chunks::{Assembly, split_into_chunks};
/// let value = vec![7; 60_000];
/// let mut assembly = Assembly::default();
/// let whole = split_into_chunks(3, &value).into_iter().find_map(|it| assembly.take(it));
/// assert_eq!(whole, Some(value));
/// ```
pub fn split_into_chunks(version: u64, value: &[u8]) -> Vec<Chunk> {
    let of = value.len().div_ceil(PART_BYTES) as u32;
    let chunks = value.chunks(PART_BYTES).zip(0..);
    chunks.map(|(bytes, at)| Chunk { version, at, of, bytes: bytes.to_vec() }).collect()
}

/// Parts of the newest version that have come so far, in whatever order.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    version: u64,
    parts: Vec<Option<Vec<u8>>>,
}

impl Assembly {
    /// The version whose parts have come, and the first `most` that are missing; `None` before any came.
    pub fn missing(&self, most: usize) -> Option<(u64, Vec<u32>)> {
        let missing = (0..).zip(&self.parts).filter(|(_, it)| it.is_none()).map(|(at, _)| at);
        (!self.parts.is_empty()).then(|| (self.version, missing.take(most).collect()))
    }

    /// Takes a part; the whole value once it is the last that was missing. Parts of an older version are left out.
    pub fn take(&mut self, part: Chunk) -> Option<Vec<u8>> {
        if part.at >= part.of || part.of > MOST_PARTS || part.version < self.version {
            return None;
        }
        if part.version > self.version || self.parts.len() != part.of as usize {
            self.version = part.version;
            self.parts = vec![None; part.of as usize];
        }
        self.parts[part.at as usize] = Some(part.bytes);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        Some(std::mem::take(&mut self.parts).into_iter().flatten().flatten().collect())
    }
}
