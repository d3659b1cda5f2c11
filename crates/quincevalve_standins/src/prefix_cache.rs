//! A prefix cache with a token limit and least-recently-used eviction.

use indexmap::IndexMap;
use rustc_hash::FxBuildHasher;

/// Cached prefixes from least to most recently used, limited by their total number of tokens.
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

    /// Returns the number of cached tokens of a prefix.
    pub(crate) fn tokens(&self, prefix: u64) -> u32 {
        self.entries.get(&prefix).copied().unwrap_or(0)
    }

    /// Marks a prefix as most recently used with at least `tokens` cached, and returns the prefixes that were evicted.
    pub(crate) fn insert(&mut self, prefix: u64, tokens: u32) -> Vec<u64> {
        let previous = self.entries.shift_remove(&prefix).unwrap_or(0);
        let tokens = tokens.max(previous).min(self.capacity);
        self.used = self.used - previous + tokens;
        self.entries.insert(prefix, tokens);
        let mut evicted = Vec::new();
        while self.used > self.capacity {
            let Some((oldest, evicted_tokens)) = self.entries.shift_remove_index(0) else { break };
            self.used -= evicted_tokens;
            evicted.push(oldest);
        }
        evicted
    }
}
