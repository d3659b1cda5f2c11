//! Where a prompt prefix is believed to be cached.

use quincevalve_names::TimePoint;

use crate::ServerIndex;

/// Slots of the table; a power of two. At 16 bytes each the table is 1 MiB per router.
const SLOTS: usize = 1 << 16;

#[derive(Clone, Copy, Debug)]
struct Hint {
    prefix: u64,
    server: ServerIndex,
    at_seconds: u32,
}

const EMPTY: Hint = Hint { prefix: 0, server: ServerIndex(u32::MAX), at_seconds: 0 };

/// A bounded table of hints, newest wins.
///
/// Cache events come late and with gaps, so a hint is never more than a bias: a wrong one costs a
/// prefill. That is why losing hints to a collision is sound, and the table can have a fixed size.
#[derive(Clone, Debug)]
pub(crate) struct CacheHints {
    slots: Vec<Hint>,
}

impl Default for CacheHints {
    fn default() -> Self {
        Self { slots: vec![EMPTY; SLOTS] }
    }
}

impl CacheHints {
    pub(crate) fn learn(&mut self, prefix: u64, server: ServerIndex, now: TimePoint) {
        let at_seconds = seconds(now);
        let slot = &mut self.slots[slot_of(prefix)];
        if slot.prefix != prefix || slot.at_seconds <= at_seconds {
            *slot = Hint { prefix, server, at_seconds };
        }
    }

    pub(crate) fn forget(&mut self, prefix: u64, server: ServerIndex) {
        let slot = &mut self.slots[slot_of(prefix)];
        if slot.prefix == prefix && slot.server == server {
            *slot = EMPTY;
        }
    }

    pub(crate) fn holder(&self, prefix: u64) -> Option<ServerIndex> {
        let hint = self.slots[slot_of(prefix)];
        (hint.prefix == prefix && hint.server != EMPTY.server).then_some(hint.server)
    }
}

fn slot_of(prefix: u64) -> usize {
    (prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48) as usize & (SLOTS - 1)
}

fn seconds(now: TimePoint) -> u32 {
    (now.as_micros() / 1_000_000) as u32
}
