//! Large values split over several datagrams.

use serde::{Deserialize, Serialize};

/// Size of one chunk in bytes: two hundred of them hold a value of the largest size that the platform's store accepts,
/// and one is less than half of the largest datagram.
const CHUNK_BYTES: usize = 24 << 10;
/// Maximum number of chunks per value; a value that claims more is rejected.
const MAX_CHUNKS: u32 = 256;

/// One chunk of a version of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Chunk {
    /// Version of the value.
    pub version: u64,
    /// Index of the chunk, from 0.
    pub index: u32,
    /// Number of chunks of the version.
    pub count: u32,
    /// Content of the chunk.
    pub bytes: Vec<u8>,
}

/// Splits a value into chunks.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::chunks::{Assembly, split_into_chunks};
/// let value = vec![7; 60_000];
/// let mut assembly = Assembly::default();
/// let whole = split_into_chunks(3, &value).into_iter().find_map(|it| assembly.add(it));
/// assert_eq!(whole, Some(value));
/// ```
pub fn split_into_chunks(version: u64, value: &[u8]) -> Vec<Chunk> {
    let count = value.len().div_ceil(CHUNK_BYTES) as u32;
    let chunks = value.chunks(CHUNK_BYTES).zip(0..);
    chunks.map(|(bytes, index)| Chunk { version, index, count, bytes: bytes.to_vec() }).collect()
}

/// Assembles the newest version of a value from chunks that arrive in any order.
#[derive(Clone, Debug, Default)]
pub struct Assembly {
    version: u64,
    chunks: Vec<Option<Vec<u8>>>,
}

impl Assembly {
    /// Returns the version being assembled and the indices of its first `max` missing chunks; `None` before any
    /// arrived.
    pub fn missing(&self, max: usize) -> Option<(u64, Vec<u32>)> {
        let missing =
            (0..).zip(&self.chunks).filter(|(_, it)| it.is_none()).map(|(index, _)| index);
        (!self.chunks.is_empty()).then(|| (self.version, missing.take(max).collect()))
    }

    /// Adds a chunk. Returns the whole value if it was the last missing one. Chunks of an older version are ignored.
    pub fn add(&mut self, chunk: Chunk) -> Option<Vec<u8>> {
        if chunk.index >= chunk.count || chunk.count > MAX_CHUNKS || chunk.version < self.version {
            return None;
        }
        if chunk.version > self.version || self.chunks.len() != chunk.count as usize {
            self.version = chunk.version;
            self.chunks = vec![None; chunk.count as usize];
        }
        *self.chunks.get_mut(chunk.index as usize)? = Some(chunk.bytes);
        if self.chunks.iter().any(Option::is_none) {
            return None;
        }
        Some(std::mem::take(&mut self.chunks).into_iter().flatten().flatten().collect())
    }
}
