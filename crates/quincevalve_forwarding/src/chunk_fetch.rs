//! Fetches a large value from other VMs, a few chunks at a time.
//!
//! Hundreds of VMs may start together and request the state of a few others, hundreds of kilobytes each. Sent to all
//! requesters at once, it would saturate links for longer than requesters wait, and one lost datagram would cost the
//! whole value. A requester therefore names the chunks that it lacks, a few at a time, and stays with a source as long
//! as chunks arrive from it. A source serves as many requesters at once as its link can carry and redirects the others;
//! a VM that has the whole value is a source for them.

#![expect(
    clippy::indexing_slicing,
    reason = "the source is one of the sources, of which there is one at least when it is used"
)]

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use quincevalve_names::{Scaled, TimePoint};
use serde::{Deserialize, Serialize};

use crate::chunks::{Assembly, Chunk};

/// Maximum number of chunks in flight: a hundred kilobytes, 40 ms on a link of 20 Mbit/s.
pub const WINDOW: usize = 4;
/// Time after which an unanswered request is sent again: the chunks take 40 ms to arrive, and as long again where the
/// source's link is saturated.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Maximum number of unanswered requests to a source that has sent chunks, before the next source is tried.
const MAX_UNANSWERED_WITH_CHUNKS: u32 = 3;
/// How long a source that didn't answer is skipped.
const SOURCE_SKIP_TIME: Duration = Duration::from_millis(500);
/// Delay before the next source is tried after a redirect.
const REDIRECT_DELAY: Duration = Duration::from_millis(25);
/// How long a requester occupies a slot of a source after its last request.
const SLOT_TTL: Duration = Duration::from_millis(200);
/// Bytes per second that a source reserves for each requester: the slowest link of a VM.
const BYTES_PER_SECOND_EACH: u64 = 2_500_000;
/// Maximum number of requesters that a source serves at once.
const MAX_SERVED: u64 = 16;

/// A request for chunks.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// Version of the value; `None` for the first chunks of the newest.
    pub version: Option<u64>,
    /// Indices of the chunks.
    pub chunks: Vec<u32>,
}

/// The next step of a fetch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Send a request to a source.
    Send {
        /// Address of the source.
        source: SocketAddr,
        /// The requested chunks.
        request: ChunkRequest,
    },
    /// Check again after this time.
    Wait(Duration),
    /// There was no progress for too long.
    GiveUp,
}

/// The fetch of one value from other VMs.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::{chunk_fetch::{FetchStep, ChunkFetch}, chunks::split_into_chunks};
/// use quincevalve_names::TimePoint;
/// let (source, now) = (([10, 0, 0, 1], 7600).into(), TimePoint::ZERO);
/// let mut fetch = ChunkFetch::new(vec![source], Duration::from_secs(1), now);
/// assert!(matches!(fetch.next(now), FetchStep::Send { .. }));
/// let value = vec![7; 40_000];
/// let whole = split_into_chunks(1, &value).into_iter().find_map(|it| fetch.receive(source, it, now));
/// assert_eq!(whole, Some(value));
/// ```
#[derive(Clone, Debug)]
pub struct ChunkFetch {
    sources: Vec<SocketAddr>,
    /// Index of the current source.
    source: usize,
    /// When the next request is sent, unless chunks arrive before.
    next_request_at: TimePoint,
    /// Number of unanswered requests to the current source.
    unanswered: u32,
    /// Sources that didn't answer, and when that was detected.
    unresponsive: HashMap<SocketAddr, TimePoint>,
    /// Number of requested chunks that haven't arrived.
    in_flight: usize,
    /// When the last chunk arrived or the fetch began.
    progress_at: TimePoint,
    timeout: Duration,
    assembly: Assembly,
}

impl ChunkFetch {
    /// Starts a fetch at `now` that tries `sources` in order and gives up after `timeout` without progress.
    pub fn new(sources: Vec<SocketAddr>, timeout: Duration, now: TimePoint) -> Self {
        Self {
            sources,
            source: 0,
            next_request_at: now,
            unanswered: 0,
            unresponsive: HashMap::new(),
            in_flight: 0,
            progress_at: now,
            timeout,
            assembly: Assembly::default(),
        }
    }

    /// Returns the next step at `now`.
    pub fn next(&mut self, now: TimePoint) -> FetchStep {
        if self.sources.is_empty() || now.since(self.progress_at) >= self.timeout {
            return FetchStep::GiveUp;
        }
        if now < self.next_request_at {
            return FetchStep::Wait(self.next_request_at.since(now));
        }
        let has_chunks = self.assembly.missing(1).is_some();
        let max_unanswered = if has_chunks { MAX_UNANSWERED_WITH_CHUNKS } else { 1 };
        if self.unanswered >= max_unanswered {
            self.unresponsive.insert(self.sources[self.source], now);
            self.switch_source(now);
        }
        self.unanswered += 1;
        self.next_request_at = now + RETRY_INTERVAL;
        let request = match self.assembly.missing(WINDOW) {
            Some((version, chunks)) => ChunkRequest { version: Some(version), chunks },
            None => ChunkRequest::default(),
        };
        self.in_flight = request.chunks.len().max(1);
        FetchStep::Send { source: self.sources[self.source], request }
    }

    fn switch_source(&mut self, now: TimePoint) {
        let is_unresponsive = |it: &SocketAddr| {
            self.unresponsive.get(it).is_some_and(|since| now.since(*since) < SOURCE_SKIP_TIME)
        };
        let following = (1..=self.sources.len()).map(|it| (self.source + it) % self.sources.len());
        let next = following.clone().find(|it| !is_unresponsive(&self.sources[*it]));
        self.source = next.or_else(|| following.clone().next()).unwrap_or_default();
        self.unanswered = 0;
        // Each source has version numbers of its own.
        self.assembly = Assembly::default();
    }

    /// Handles a redirect by a source. `is_serving_others` says whether the source has the value but no free slot.
    pub fn redirected(&mut self, from: SocketAddr, is_serving_others: bool, now: TimePoint) {
        if self.sources.get(self.source) != Some(&from) {
            return;
        }
        self.switch_source(now);
        self.next_request_at = now + REDIRECT_DELAY;
        if is_serving_others {
            self.progress_at = now;
        }
    }

    /// Adds a chunk. Returns the whole value if it was the last missing one. Chunks of different sources aren't
    /// combined.
    pub fn receive(&mut self, from: SocketAddr, chunk: Chunk, now: TimePoint) -> Option<Vec<u8>> {
        if self.sources.get(self.source) != Some(&from) {
            return None;
        }
        let is_first = self.assembly.missing(1).is_none();
        let count = chunk.count as usize;
        let whole = self.assembly.add(chunk);
        self.progress_at = now;
        if is_first {
            self.in_flight = count.min(WINDOW);
        }
        self.in_flight = self.in_flight.saturating_sub(1);
        self.unanswered = 0;
        self.next_request_at = if self.in_flight == 0 { now } else { now + RETRY_INTERVAL };
        whole
    }
}

/// The requesters that a source currently serves.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::chunk_fetch::ServeSlots;
/// use quincevalve_names::TimePoint;
/// let mut served = ServeSlots::default();
/// let link = 2_500_000;
/// assert!(served.admit("vm-1", link, TimePoint::ZERO));
/// assert!(!served.admit("vm-2", link, TimePoint::ZERO));
/// assert!(served.admit("vm-1", link, TimePoint::from_millis(150)));
/// assert!(served.admit("vm-2", link, TimePoint::from_millis(360)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServeSlots {
    last_requests: HashMap<String, TimePoint>,
}

impl ServeSlots {
    /// Returns whether a source with a link of `link` bytes per second serves `requester`, and reserves a slot if so.
    pub fn admit(&mut self, requester: &str, link: u64, now: TimePoint) -> bool {
        self.last_requests.retain(|_, at| now.since(*at) < SLOT_TTL);
        let max_served = (link / BYTES_PER_SECOND_EACH).max(1).min(MAX_SERVED) as usize;
        if !self.last_requests.contains_key(requester) && self.last_requests.len() >= max_served {
            return false;
        }
        self.last_requests.insert(requester.to_owned(), now);
        true
    }

    /// Frees the slot of a requester that has the whole value.
    pub fn release(&mut self, requester: &str) {
        self.last_requests.remove(requester);
    }
}

/// Extension of the timeout for each VM of the data centre that ranks before this one.
const TIMEOUT_PER_VM: Duration = Duration::from_millis(30);
/// Maximum extension of the timeout.
const MAX_TIMEOUT_EXTENSION: Duration = Duration::from_millis(2_500);

/// Returns how long a VM waits for progress of a fetch if `before` VMs of its data centre rank before it. Where no VM
/// has the value, the first ones read it from the store and become sources for the rest.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::chunk_fetch::fetch_timeout;
/// let base = Duration::from_millis(600);
/// assert!(fetch_timeout(base, 3) < fetch_timeout(base, 40));
/// assert!(fetch_timeout(base, 400) < Duration::from_secs(4));
/// ```
pub fn fetch_timeout(base: Duration, before: usize) -> Duration {
    base + TIMEOUT_PER_VM.scaled(before as f64).min(MAX_TIMEOUT_EXTENSION)
}

/// Returns the order in which a VM tries sources: `first`, which have the value soonest, then alternately one of
/// `others`, which may have received it meanwhile, and one of `first` again.
///
/// # Examples
///
/// ```
/// use quincevalve_forwarding::chunk_fetch::source_order;
/// let at = |it: u8| ([10, 0, 0, it], 7600).into();
/// assert_eq!(source_order(&[at(1), at(2)], &[at(8), at(9)]), [at(1), at(2), at(8), at(1), at(9), at(2)]);
/// ```
pub fn source_order(first: &[SocketAddr], others: &[SocketAddr]) -> Vec<SocketAddr> {
    let again = others.iter().zip(first.iter().cycle());
    first.iter().copied().chain(again.flat_map(|(other, first)| [*other, *first])).collect()
}
