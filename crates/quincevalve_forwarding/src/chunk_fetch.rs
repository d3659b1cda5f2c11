//! How a VM gets a large value from others, a few parts at a time.
//!
//! Load: hundreds of VMs start together and ask a few for what they know, hundreds of kilobytes each. Sent at once to all
//! who ask, it fills links for longer than anyone waits, and one datagram that is lost costs all of it. Who asks therefore
//! names the parts that it lacks, a few at a time, and stays with a source for as long as parts come from it. A source
//! serves as many at once as its link bears and sends the others on; who has got all is a source for them.

use std::{collections::HashMap, net::SocketAddr, time::Duration};

use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

use crate::chunks::{Assembly, Chunk};

/// Parts that are asked for at once: a hundred kilobytes, 40 ms of a link of 20 Mbit/s.
pub const WINDOW: usize = 4;
/// Time after which a question without an answer is asked again: the parts take 40 ms on the way, and as long again where
/// the source's link is full.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(150);
/// Questions without an answer to a source that gave parts, before the next one is asked.
const QUESTIONS_WITH_PARTS: u32 = 3;
/// For so long a source that didn't answer is left out.
const SILENT_FOR: Duration = Duration::from_millis(500);
/// Pause before the next source is asked after one that sent this VM on.
const NEXT_PAUSE: Duration = Duration::from_millis(25);
/// For so long a source counts one that asked among those that it serves.
const SERVED_FOR: Duration = Duration::from_millis(200);
/// Bytes a second that a source keeps for each that it serves: the slowest link of a VM.
const BYTES_EACH: u64 = 2_500_000;
/// Others that a source serves at once at most.
const MOST_SERVED: u64 = 16;

/// The parts that are asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ChunkRequest {
    /// The version that they belong to; `None` for the first parts of the newest.
    pub version: Option<u64>,
    /// Their places.
    pub chunks: Vec<u32>,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FetchStep {
    /// Ask a source for some parts.
    Send {
        /// The source.
        source: SocketAddr,
        /// The parts.
        request: ChunkRequest,
    },
    /// Look again after so long.
    Wait(Duration),
    /// Nothing came for too long.
    GiveUp,
}

/// One value on its way from others.
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
    /// The place of the source that is asked at present.
    source: usize,
    /// When it is asked next, unless parts come before.
    ask_at: TimePoint,
    /// Questions to it that it hasn't answered.
    unanswered: u32,
    /// Sources that didn't answer, and when that was noticed.
    silent: HashMap<SocketAddr, TimePoint>,
    /// Parts that were asked for and haven't come.
    awaited: usize,
    /// When the last part came, or the fetch began.
    progress_at: TimePoint,
    patience: Duration,
    assembly: Assembly,
}

impl ChunkFetch {
    /// Begins at `now` to ask `sources` in turn, and gives up once nothing came for `patience`.
    pub fn new(sources: Vec<SocketAddr>, patience: Duration, now: TimePoint) -> Self {
        Self {
            sources,
            source: 0,
            ask_at: now,
            unanswered: 0,
            silent: HashMap::new(),
            awaited: 0,
            progress_at: now,
            patience,
            assembly: Assembly::default(),
        }
    }

    /// The next step at this moment.
    pub fn next(&mut self, now: TimePoint) -> FetchStep {
        if self.sources.is_empty() || now.since(self.progress_at) >= self.patience {
            return FetchStep::GiveUp;
        }
        if now < self.ask_at {
            return FetchStep::Wait(self.ask_at.since(now));
        }
        let has_parts = self.assembly.missing(1).is_some();
        let most = if has_parts { QUESTIONS_WITH_PARTS } else { 1 };
        if self.unanswered >= most {
            self.silent.insert(self.sources[self.source], now);
            self.turn_to_next(now);
        }
        self.unanswered += 1;
        self.ask_at = now + RETRY_INTERVAL;
        let request = match self.assembly.missing(WINDOW) {
            Some((version, chunks)) => ChunkRequest { version: Some(version), chunks },
            None => ChunkRequest::default(),
        };
        self.awaited = request.chunks.len().max(1);
        FetchStep::Send { source: self.sources[self.source], request }
    }

    fn turn_to_next(&mut self, now: TimePoint) {
        let is_silent = |it: &SocketAddr| {
            self.silent.get(it).is_some_and(|since| now.since(*since) < SILENT_FOR)
        };
        let following = (1..=self.sources.len()).map(|it| (self.source + it) % self.sources.len());
        let next = following.clone().find(|it| !is_silent(&self.sources[*it]));
        self.source = next.or_else(|| following.clone().next()).unwrap_or_default();
        self.unanswered = 0;
        // Versions are each source's own.
        self.assembly = Assembly::default();
    }

    /// Takes it that a source sends this VM on. `is_serving_others` says whether it has what is asked for.
    pub fn redirected(&mut self, from: SocketAddr, is_serving_others: bool, now: TimePoint) {
        if self.sources.get(self.source) != Some(&from) {
            return;
        }
        self.turn_to_next(now);
        self.ask_at = now + NEXT_PAUSE;
        if is_serving_others {
            self.progress_at = now;
        }
    }

    /// Takes a part; the whole value once it is the last that was missing. Parts of two sources make no whole.
    pub fn receive(&mut self, from: SocketAddr, part: Chunk, now: TimePoint) -> Option<Vec<u8>> {
        if self.sources.get(self.source) != Some(&from) {
            return None;
        }
        let is_first = self.assembly.missing(1).is_none();
        let of = part.of as usize;
        let whole = self.assembly.take(part);
        self.progress_at = now;
        if is_first {
            self.awaited = of.min(WINDOW);
        }
        self.awaited = self.awaited.saturating_sub(1);
        self.unanswered = 0;
        self.ask_at = if self.awaited == 0 { now } else { now + RETRY_INTERVAL };
        whole
    }
}

/// Whom a source serves at present.
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
    asked: HashMap<String, TimePoint>,
}

impl ServeSlots {
    /// Whether a VM with a link of so many bytes a second serves one that asks now.
    pub fn admit(&mut self, asker: &str, link: u64, now: TimePoint) -> bool {
        self.asked.retain(|_, at| now.since(*at) < SERVED_FOR);
        let most = (link / BYTES_EACH).clamp(1, MOST_SERVED) as usize;
        if !self.asked.contains_key(asker) && self.asked.len() >= most {
            return false;
        }
        self.asked.insert(asker.to_owned(), now);
        true
    }

    /// Takes it that one has got all.
    pub fn release(&mut self, asker: &str) {
        self.asked.remove(asker);
    }
}

/// What each VM before this one in the order of its data centre adds to its patience, and the most that is added.
const PATIENCE_EACH: Duration = Duration::from_millis(30);
const MOST_PATIENCE: Duration = Duration::from_millis(2_500);

/// For how long a VM waits for others, where so many of its data centre come before it: where nobody has the value, the
/// first of them read it from the store, and are sources for the rest.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::chunk_fetch::fetch_timeout;
/// let least = Duration::from_millis(600);
/// assert!(fetch_timeout(least, 3) < fetch_timeout(least, 40));
/// assert!(fetch_timeout(least, 400) < Duration::from_secs(4));
/// ```
pub fn fetch_timeout(least: Duration, before: usize) -> Duration {
    least + PATIENCE_EACH.mul_f64(before as f64).min(MOST_PATIENCE)
}

/// The order in which a VM asks: the `first`, who know most and soonest, then by turns one of the `others`, who may have
/// got it meanwhile, and one of the first again.
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
