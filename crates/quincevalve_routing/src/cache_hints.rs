//! Where a prompt prefix is believed to be cached.

use quincevalve_names::TimePoint;

use crate::ServerIndex;

/// Slots of the table; a power of two. At 40 bytes each the table is 2.5 MiB per router.
const SLOTS: usize = 1 << 16;

#[derive(Clone, Copy, Debug)]
struct Hint {
    prefix: u64,
    /// Where it is believed to be cached, the newest first.
    servers: [ServerIndex; HOLDERS],
    at_seconds: u32,
    /// Uses, halved every [`HALF_LIFE_S`].
    heat: f32,
}

/// Servers that are remembered for one prefix: a hot one is cached in many places.
const HOLDERS: usize = 6;
const NOBODY: ServerIndex = ServerIndex(u32::MAX);
const EMPTY: Hint = Hint { prefix: 0, servers: [NOBODY; HOLDERS], at_seconds: 0, heat: 0.0 };
const HALF_LIFE_S: f32 = 10.0;

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
    /// Notes that a server holds a prefix.
    pub(crate) fn learn(&mut self, prefix: u64, server: ServerIndex) {
        let slot = self.slot(prefix);
        let held = slot.servers.iter().position(|it| *it == server).unwrap_or(HOLDERS - 1);
        slot.servers[..=held].rotate_right(1);
        slot.servers[0] = server;
    }

    /// Notes that a prefix was asked for.
    pub(crate) fn used(&mut self, prefix: u64, now: TimePoint) {
        let at_seconds = seconds(now);
        let slot = self.slot(prefix);
        let passed = at_seconds.saturating_sub(slot.at_seconds) as f32;
        slot.heat = slot.heat * (-passed / HALF_LIFE_S).exp2() + 1.0;
        slot.at_seconds = at_seconds;
    }

    fn slot(&mut self, prefix: u64) -> &mut Hint {
        let slot = &mut self.slots[slot_of(prefix)];
        if slot.prefix != prefix {
            *slot = Hint { prefix, ..EMPTY };
        }
        slot
    }

    pub(crate) fn forget(&mut self, prefix: u64, server: ServerIndex) {
        let slot = &mut self.slots[slot_of(prefix)];
        if slot.prefix == prefix
            && let Some(held) = slot.servers.iter().position(|it| *it == server)
        {
            slot.servers[held..].rotate_left(1);
            slot.servers[HOLDERS - 1] = NOBODY;
        }
    }

    /// Where a prefix is believed to be cached, the newest first.
    pub(crate) fn holders(&self, prefix: u64) -> impl Iterator<Item = ServerIndex> {
        let hint = &self.slots[slot_of(prefix)];
        let known = if hint.prefix == prefix { &hint.servers[..] } else { &[] };
        known.iter().copied().filter(|it| *it != NOBODY)
    }

    /// Uses of a prefix in a second, as this router sees them.
    pub(crate) fn rate(&self, prefix: u64) -> f32 {
        let hint = &self.slots[slot_of(prefix)];
        if hint.prefix == prefix { hint.heat * std::f32::consts::LN_2 / HALF_LIFE_S } else { 0.0 }
    }
}

fn slot_of(prefix: u64) -> usize {
    (prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48) as usize & (SLOTS - 1)
}

fn seconds(now: TimePoint) -> u32 {
    (now.as_micros() / 1_000_000) as u32
}
