//! Hints about which servers probably cache a prompt prefix.

use quincevalve_names::TimePoint;

use crate::ServerIndex;

/// Number of table entries, a power of two. At 40 bytes each the table takes 2.5 MiB per router.
const TABLE_SIZE: usize = 1 << 16;

#[derive(Clone, Copy, Debug)]
struct Hint {
    prefix: u64,
    /// Servers that probably cache the prefix, most recent first.
    servers: [ServerIndex; MAX_SERVERS_PER_PREFIX],
    /// Time of the last use.
    last_used_seconds: u32,
    /// Exponentially decayed number of uses, halved every [`HALF_LIFE_SECONDS`].
    decayed_uses: f32,
}

/// Maximum number of servers remembered per prefix. A frequently used prefix is cached on many servers.
const MAX_SERVERS_PER_PREFIX: usize = 6;
/// Marks an unused position in the list of servers.
const NO_SERVER: ServerIndex = ServerIndex(u32::MAX);
const EMPTY: Hint = Hint {
    prefix: 0,
    servers: [NO_SERVER; MAX_SERVERS_PER_PREFIX],
    last_used_seconds: 0,
    decayed_uses: 0.0,
};
/// Half-life of the use count, in seconds.
const HALF_LIFE_SECONDS: f32 = 10.0;

/// Fixed-size hash table of cache hints in which a newer prefix overwrites a colliding one.
///
/// Cache events arrive late and incompletely, so hints only bias the choice: a wrong hint costs one prefill.
/// Losing hints to collisions is therefore safe, and the table can have a fixed size.
#[derive(Clone, Debug)]
pub(crate) struct CacheHints {
    entries: Vec<Hint>,
}

impl Default for CacheHints {
    fn default() -> Self {
        Self { entries: vec![EMPTY; TABLE_SIZE] }
    }
}

impl CacheHints {
    /// Records that a server caches a prefix.
    pub(crate) fn insert(&mut self, prefix: u64, server: ServerIndex) {
        let entry = self.entry(prefix);
        let position =
            entry.servers.iter().position(|it| *it == server).unwrap_or(MAX_SERVERS_PER_PREFIX - 1);
        entry.servers[..=position].rotate_right(1);
        entry.servers[0] = server;
    }

    /// Records the use of a prefix by a request.
    pub(crate) fn record_use(&mut self, prefix: u64, now: TimePoint) {
        let last_used_seconds = seconds(now);
        let entry = self.entry(prefix);
        let elapsed = last_used_seconds.saturating_sub(entry.last_used_seconds) as f32;
        entry.decayed_uses = entry.decayed_uses * (-elapsed / HALF_LIFE_SECONDS).exp2() + 1.0;
        entry.last_used_seconds = last_used_seconds;
    }

    /// Returns the entry of a prefix, after replacing the entry of a colliding prefix.
    fn entry(&mut self, prefix: u64) -> &mut Hint {
        let entry = &mut self.entries[entry_index(prefix)];
        if entry.prefix != prefix {
            *entry = Hint { prefix, ..EMPTY };
        }
        entry
    }

    /// Records that a server no longer caches a prefix.
    pub(crate) fn remove(&mut self, prefix: u64, server: ServerIndex) {
        let entry = &mut self.entries[entry_index(prefix)];
        if entry.prefix == prefix
            && let Some(position) = entry.servers.iter().position(|it| *it == server)
        {
            entry.servers[position..].rotate_left(1);
            entry.servers[MAX_SERVERS_PER_PREFIX - 1] = NO_SERVER;
        }
    }

    /// Returns the servers that probably cache a prefix, most recent first.
    pub(crate) fn holders(&self, prefix: u64) -> impl Iterator<Item = ServerIndex> {
        let hint = &self.entries[entry_index(prefix)];
        let servers = if hint.prefix == prefix { &hint.servers[..] } else { &[] };
        servers.iter().copied().filter(|it| *it != NO_SERVER)
    }

    /// Returns the rate at which this router's requests use a prefix, per second.
    pub(crate) fn rate(&self, prefix: u64) -> f32 {
        let hint = &self.entries[entry_index(prefix)];
        if hint.prefix == prefix {
            hint.decayed_uses * std::f32::consts::LN_2 / HALF_LIFE_SECONDS
        } else {
            0.0
        }
    }
}

fn entry_index(prefix: u64) -> usize {
    (prefix.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 48) as usize & (TABLE_SIZE - 1)
}

fn seconds(now: TimePoint) -> u32 {
    (now.as_micros() / 1_000_000) as u32
}
