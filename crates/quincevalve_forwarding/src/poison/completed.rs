//! Requests and parts of prompts that completed recently.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
    time::Duration,
};

use indexmap::IndexSet;
use quincevalve_names::TimePoint;

use crate::{prompt_parts::PartDigest, stream_versions::VersionTag};

/// How long a completion protects a request or a part from being suspected. A popular one completes many times within
/// it, while one that only the previous version of the servers could run isn't protected for long.
pub(super) const COMPLETION_TTL: Duration = Duration::from_secs(120);

/// Maximum number of completed parts kept: those of the same requests, most of which share their parts, in a megabyte.
const MAX_COMPLETED_PARTS: usize = 16_384;
/// Interval at which completions of the same part are recorded.
const PART_COMPLETION_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of versions at which completions of parts are known.
const MAX_VERSIONS: usize = 64;

/// The newest completions at one VM.
#[derive(Debug)]
pub(super) struct Completions<K> {
    newest: HashMap<K, TimePoint>,
    order: VecDeque<(K, TimePoint)>,
    /// Maximum number of completions kept; the oldest is dropped first.
    capacity: usize,
    /// Time after a completion in which another one of the same isn't recorded.
    min_interval: Duration,
}

impl<K> Completions<K>
where
    K: Copy + Eq + Hash,
{
    pub(super) fn new(capacity: usize, min_interval: Duration) -> Self {
        Self { newest: HashMap::new(), order: VecDeque::new(), capacity, min_interval }
    }

    pub(super) fn record(&mut self, key: K, now: TimePoint) {
        if self.newest.get(&key).is_some_and(|at| now.since(*at) < self.min_interval) {
            return;
        }
        self.newest.insert(key, now);
        self.order.push_back((key, now));
        let is_expired = |(_, at): &(K, TimePoint)| now.since(*at) > COMPLETION_TTL;
        while self.order.len() > self.capacity || self.order.front().is_some_and(is_expired) {
            let Some((key, at)) = self.order.pop_front() else { break };
            if self.newest.get(&key) == Some(&at) {
                self.newest.remove(&key);
            }
        }
    }

    pub(super) fn contains(&self, key: K, now: TimePoint) -> bool {
        self.newest.get(&key).is_some_and(|at| now.since(*at) <= COMPLETION_TTL)
    }
}

/// The parts that completed at one VM lately, and at which versions.
#[derive(Debug)]
pub(super) struct CompletedParts {
    completions: Completions<(PartDigest, VersionTag)>,
    /// All versions at which parts completed.
    versions: IndexSet<VersionTag>,
}

impl Default for CompletedParts {
    fn default() -> Self {
        let completions = Completions::new(MAX_COMPLETED_PARTS, PART_COMPLETION_INTERVAL);
        Self { completions, versions: IndexSet::new() }
    }
}

impl CompletedParts {
    pub(super) fn record(&mut self, part: PartDigest, version: VersionTag, now: TimePoint) {
        if self.versions.len() < MAX_VERSIONS {
            self.versions.insert(version);
        }
        self.completions.record((part, version), now);
    }

    pub(super) fn contains(&self, part: PartDigest, version: VersionTag, now: TimePoint) -> bool {
        self.completions.contains((part, version), now)
    }

    /// Returns the versions at which requests with a part completed.
    pub(super) fn versions(&self, part: PartDigest, now: TimePoint) -> Vec<VersionTag> {
        let versions = self.versions.iter().copied();
        versions.filter(|it| self.contains(part, *it, now)).collect()
    }
}
