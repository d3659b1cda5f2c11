//! Requests that completed recently.

use std::{
    collections::{HashMap, VecDeque},
    time::Duration,
};

use quincevalve_names::TimePoint;

use crate::request_digest::RequestDigest;

/// How long a completion protects a request from being suspected. A popular request completes many times within it,
/// while a request that only the previous version of the servers could run isn't protected for long.
pub(super) const COMPLETION_TTL: Duration = Duration::from_secs(120);
/// Maximum number of completions kept; the oldest is dropped first. Covers the requests of one VM in two minutes at ten
/// times its usual rate, in half a megabyte.
const MAX_COMPLETIONS: usize = 8_192;

/// The requests of one VM that completed recently.
#[derive(Debug, Default)]
pub(super) struct CompletedRuns {
    newest: HashMap<RequestDigest, TimePoint>,
    order: VecDeque<(RequestDigest, TimePoint)>,
}

impl CompletedRuns {
    pub(super) fn record(&mut self, digest: RequestDigest, now: TimePoint) {
        self.newest.insert(digest, now);
        self.order.push_back((digest, now));
        let is_expired = |(_, at): &(RequestDigest, TimePoint)| now.since(*at) > COMPLETION_TTL;
        while self.order.len() > MAX_COMPLETIONS || self.order.front().is_some_and(is_expired) {
            let Some((digest, at)) = self.order.pop_front() else { break };
            if self.newest.get(&digest) == Some(&at) {
                self.newest.remove(&digest);
            }
        }
    }

    pub(super) fn contains(&self, digest: RequestDigest, now: TimePoint) -> bool {
        self.newest.get(&digest).is_some_and(|at| now.since(*at) <= COMPLETION_TTL)
    }
}
