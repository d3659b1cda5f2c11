//! Which connections of callers yield when a VM runs out of memory or descriptors.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// Time without progress after which a connection counts as stalled.
pub const STALL_TIME: Duration = Duration::from_millis(500);
/// The same while more memory is held than may be.
pub const EXCEEDED_STALL_TIME: Duration = Duration::from_millis(100);
/// Bytes of a body that count as progress. A byte now and then is none.
pub const PROGRESS_BYTES: u64 = 8 << 10;

/// What a connection waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Its caller's next request.
    Idle,
    /// The rest of a request's head.
    Head,
    /// The rest of a request's body.
    Body,
    /// Memory for the rest of a request's body.
    Memory,
    /// This process or a server.
    Processing,
    /// The rest of a body that is dropped, since the request was refused.
    Discarding,
}

/// The activity of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerActivity {
    /// What it waits for.
    pub phase: Phase,
    /// When that began, or when its caller last made progress.
    pub since: TimePoint,
    /// Whether its caller doesn't read what was sent.
    pub is_unread: bool,
    /// Bytes of a body or an answer that are held for it.
    pub bytes: u64,
    /// Number of requests that were answered on it.
    pub answered: u64,
}

impl CallerActivity {
    /// Returns the activity of a connection that was just opened.
    pub fn opened(now: TimePoint) -> Self {
        Self { phase: Phase::Idle, since: now, is_unread: false, bytes: 0, answered: 0 }
    }

    fn has_stalled(&self, stall_time: Duration, now: TimePoint) -> bool {
        let waits_for_caller =
            self.is_unread || matches!(self.phase, Phase::Head | Phase::Body | Phase::Discarding);
        waits_for_caller && now.since(self.since) >= stall_time
    }

    fn is_idle(&self) -> bool {
        self.phase == Phase::Idle && !self.is_unread
    }
}

/// How a connection yields to others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Yield<K> {
    /// It is closed, or its request refused.
    Now(K),
    /// It is closed after the answer to its request.
    AfterAnswer(K),
}

/// Returns the connection that yields so that another one can be opened: the one that has been idle for longest, else the one
/// whose caller has stalled for longest, else the newest that waits for memory, else the one on which the most requests
/// were answered.
pub fn connection_to_close<K, I>(connections: I, now: TimePoint) -> Option<Yield<K>>
where
    I: Iterator<Item = (K, CallerActivity)> + Clone,
{
    let longest = |is_candidate: &dyn Fn(&CallerActivity) -> bool| {
        let candidates = connections.clone().filter(|(_, it)| is_candidate(it));
        candidates.min_by_key(|(_, it)| it.since).map(|(key, _)| key)
    };
    let now_yielding = longest(&CallerActivity::is_idle)
        .or_else(|| longest(&|it| it.has_stalled(STALL_TIME, now)))
        .or_else(|| newest_waiting(connections.clone()));
    now_yielding.map(Yield::Now).or_else(|| {
        let busy = connections.filter(|(_, it)| it.phase == Phase::Processing);
        busy.max_by_key(|(_, it)| it.answered).map(|(key, _)| Yield::AfterAnswer(key))
    })
}

/// Returns the connection that yields so that others find memory: of those whose callers have stalled for `stall_time`, the
/// one that has held the most bytes for the longest.
pub fn stalled_holder<K>(
    connections: impl Iterator<Item = (K, CallerActivity)>,
    stall_time: Duration,
    now: TimePoint,
) -> Option<K> {
    let stalled = connections.filter(|(_, it)| it.bytes > 0 && it.has_stalled(stall_time, now));
    let waste =
        |it: &CallerActivity| u128::from(it.bytes).saturating_mul(now.since(it.since).as_millis());
    stalled.max_by_key(|(_, it)| waste(it)).map(|(key, _)| key)
}

/// Returns the connection that was the last to begin to wait for memory. It would wait for longest.
pub fn newest_waiting<K>(connections: impl Iterator<Item = (K, CallerActivity)>) -> Option<K> {
    let waiting = connections.filter(|(_, it)| it.phase == Phase::Memory);
    waiting.max_by_key(|(_, it)| it.since).map(|(key, _)| key)
}

/// Numbers of sockets that a process may have for each purpose. The others are left to the store, the cloud, readiness
/// checks and metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of callers beyond these, while others are about to be closed.
    pub callers_in_exchange: usize,
    /// Connections to servers.
    pub servers: usize,
    /// Connections of other VMs, and as many to other VMs.
    pub peers: usize,
}

impl SocketLimits {
    /// Divides the sockets that a process may have.
    ///
    /// # Examples
    ///
    /// ```
    /// use quincevalve_forwarding::caller_activity::SocketLimits;
    /// let limits = SocketLimits::new(4_000);
    /// let callers = limits.callers + limits.callers_in_exchange;
    /// assert!(callers + limits.servers + 2 * limits.peers < 4_000);
    /// ```
    pub fn new(sockets: usize) -> Self {
        Self {
            callers: (sockets / 2).max(1),
            callers_in_exchange: (sockets / 16).max(1),
            servers: (sockets / 16 * 5).max(1),
            peers: (sockets / 32).max(1),
        }
    }
}
