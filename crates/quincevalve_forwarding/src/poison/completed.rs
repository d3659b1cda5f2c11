//! Requests and parts of prompts that completed recently.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
    time::Duration,
};

use quincevalve_names::TimePoint;

/// How long a completion protects a request or a part from being suspected. A popular one completes many times within
/// it, while one that only the previous version of the servers could run isn't protected for long.
pub(super) const COMPLETION_TTL: Duration = Duration::from_secs(120);

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
