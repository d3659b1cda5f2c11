//! Memory for the bodies of requests that arrive or wait.

use std::sync::Arc;

use bytes::Bytes;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Unit in which memory is counted, in bytes.
const UNIT_BYTES: usize = 1 << 10;
/// Fraction of the memory that is left to small bodies.
const SMALL_FRACTION: usize = 8;
/// Size of a small body, in bytes.
const SMALL_BYTES: usize = 16 << 10;

/// There is no memory for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoRoom;

/// Bounds the memory of all bodies together.
#[derive(Debug)]
pub struct BodyRoom {
    units: Arc<Semaphore>,
    max_units: usize,
    /// Units that only small bodies may use.
    for_small: usize,
}

impl BodyRoom {
    /// Divides so many bytes.
    pub fn new(bytes: usize) -> Self {
        let units = (bytes / UNIT_BYTES).min(Semaphore::MAX_PERMITS);
        let for_small = units / SMALL_FRACTION;
        Self { units: Arc::new(Semaphore::new(units)), max_units: units, for_small }
    }

    /// Returns the bytes that are held.
    pub fn held_bytes(&self) -> usize {
        (self.max_units - self.units.available_permits()) * UNIT_BYTES
    }

    fn take(&self, bytes: usize, is_small: bool) -> Result<OwnedSemaphorePermit, NoRoom> {
        let units = bytes.div_ceil(UNIT_BYTES);
        let reserved = if is_small { 0 } else { self.for_small };
        if self.units.available_permits() < units.saturating_add(reserved) {
            return Err(NoRoom);
        }
        let units = u32::try_from(units).map_err(|_| NoRoom)?;
        Arc::clone(&self.units).try_acquire_many_owned(units).map_err(|_| NoRoom)
    }
}

/// A body that arrives. What it holds is counted until the whole body and all its clones are dropped.
#[derive(Debug, Default)]
pub struct HeldBody {
    data: Vec<u8>,
    permit: Option<OwnedSemaphorePermit>,
}

impl HeldBody {
    /// Returns the number of bytes that have arrived.
    pub fn len(&self) -> usize {
        self.data.len()
    }

    /// Returns whether no byte has arrived.
    pub fn is_empty(&self) -> bool {
        self.data.is_empty()
    }

    /// Adds bytes, if there is room for them.
    pub fn append(&mut self, room: &BodyRoom, bytes: &[u8]) -> Result<(), NoRoom> {
        let len = self.data.len() + bytes.len();
        let capacity = self.data.capacity();
        if len > capacity {
            let grown = len.max(2 * capacity).next_multiple_of(UNIT_BYTES);
            let permit = room.take(grown - capacity, grown <= SMALL_BYTES)?;
            match &mut self.permit {
                Some(held) => held.merge(permit),
                none => *none = Some(permit),
            }
            self.data.reserve_exact(grown - self.data.len());
        }
        self.data.extend_from_slice(bytes);
        Ok(())
    }
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.data
    }
}

impl From<HeldBody> for Bytes {
    fn from(body: HeldBody) -> Self {
        if body.data.is_empty() { Self::new() } else { Self::from_owner(body) }
    }
}

#[cfg(test)]
mod tests;
