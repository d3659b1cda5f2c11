//! A prefix cache in limited memory.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

/// Prefixes by last use, bounded by the tokens that they hold.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    capacity: u32,
    used: u32,
    entries: IndexMap<u64, u32, FxBuildHasher>,
}

impl PrefixCache {
    pub(crate) fn new(capacity: u32) -> Self {
        Self { capacity, used: 0, entries: IndexMap::default() }
    }

    /// Tokens of the prefix that are cached.
    pub(crate) fn tokens(&self, prefix: u64) -> u32 {
        self.entries.get(&prefix).copied().unwrap_or(0)
    }

    /// Marks a prefix as used and holding `tokens`; returns what was evicted.
    pub(crate) fn insert(&mut self, prefix: u64, tokens: u32) -> Vec<u64> {
        let known = self.entries.shift_remove(&prefix).unwrap_or(0);
        let tokens = tokens.max(known).min(self.capacity);
        self.used = self.used - known + tokens;
        self.entries.insert(prefix, tokens);
        let mut evicted = Vec::new();
        while self.used > self.capacity {
            let Some((oldest, held)) = self.entries.shift_remove_index(0) else { break };
            self.used -= held;
            evicted.push(oldest);
        }
        evicted
    }
}
