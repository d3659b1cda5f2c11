//! Queue of requests that wait for a server, where capacity is found by trying to place them.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{TimePoint, seconds};
use rand::{Rng, RngExt};

use crate::{
    AccountIndex, Ticket, Urgency,
    admission::request_cost,
    fair_queue::{Class, FairQueue, QueuedRequest},
    start_rate::StartRate,
};

/// Number of waiting requests that are tried in a pass after the first that found no server. A prompt that fits on no
/// server would otherwise keep smaller ones from being placed.
const FURTHER_TRIES: usize = 3;
/// Minimum and maximum time in seconds after which a refused caller should retry.
const RETRY_AFTER_SECONDS: (f64, f64) = (0.2, 5.0);
/// Maximum relative deviation of a retry time, so that callers refused together don't return together.
const RETRY_SPREAD: f64 = 0.25;

/// Requests that an engine may hold for each of its slots, when the most urgent ones are sent to full engines. Those beyond
/// the slots wait for about half of the time that a request holds a slot, at most.
const MAX_REQUESTS_PER_SLOT: f64 = 1.5;

/// Settings of a [`WaitingQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitingSettings {
    /// Maximum time between two passes while requests wait.
    pub tick: Duration,
    /// Maximum number of waiting requests.
    pub max_waiting: usize,
}

impl Default for WaitingSettings {
    fn default() -> Self {
        Self { tick: Duration::from_millis(12), max_waiting: 512 }
    }
}

/// A request that found no server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingRequest {
    /// Identifier of the request.
    pub ticket: Ticket,
    /// Account that the request belongs to.
    pub account: AccountIndex,
    /// Urgency of the request.
    pub urgency: Urgency,
    /// Time by which the first answer meets the latency objective.
    pub objective_end: TimePoint,
    /// Time by which the caller or the route gives up.
    pub deadline: TimePoint,
    /// Predicted time from the start of the request until its first answer.
    pub required_time: Duration,
    /// Number of prompt tokens; 0 for a request without a prompt.
    pub prompt_tokens: u32,
}

impl WaitingRequest {
    /// Latest time at which the request can start.
    fn latest_start(&self) -> TimePoint {
        self.deadline.saturating_sub(self.required_time)
    }

    fn on_time_until(&self) -> TimePoint {
        self.objective_end.saturating_sub(self.required_time)
    }
}

/// Why a waiting request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitRefusalCause {
    /// It can't be placed before its latest start.
    Busy,
    /// It could, without the more urgent requests that arrived after it.
    Displaced,
}

/// A request that is refused without having run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitRefusal {
    /// The refused request.
    pub ticket: Ticket,
    /// Reason for the refusal.
    pub cause: WaitRefusalCause,
    /// Time after which the caller should retry.
    pub retry_after: Duration,
}

/// A waiting request that should be placed next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The request.
    pub ticket: Ticket,
    /// Whether it can only miss its latency objective.
    pub is_late: bool,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    request: WaitingRequest,
    /// Position in the order of arrival.
    arrival: u64,
    /// Number of more urgent requests that arrived later and started earlier.
    overtaken_by: usize,
    /// Number of the pass in which it was last tried.
    tried_in_pass: u64,
}

/// Attempts of the current pass that found no server.
#[derive(Clone, Debug, Default)]
struct Pass {
    number: u64,
    failed: Vec<WaitingRequest>,
}

impl Pass {
    /// Returns whether a request of the same account that is no larger found no server in this pass. A failure says
    /// nothing of more urgent requests, which may go to fuller engines.
    fn has_failed_like(&self, request: &WaitingRequest) -> bool {
        self.failed.iter().any(|it| {
            it.account == request.account
                && it.prompt_tokens <= request.prompt_tokens
                && it.urgency <= request.urgency
        })
    }
}

/// State machine of the waiting requests of one service: `(now, event) -> actions`.
///
/// The capacity of the servers isn't known as a number. The owner of the queue calls [`Self::begin_pass`] when capacity
/// may have become free, then tries to place each [`Self::next_candidate`] and reports the result.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_admission::*;
/// use quincevalve_names::TimePoint;
/// use rand::SeedableRng;
///
/// let mut rng = rand_pcg::Pcg64Mcg::seed_from_u64(1);
/// let mut queue = WaitingQueue::new(WaitingSettings::default());
/// let request = |ticket, urgency| WaitingRequest {
///     ticket: Ticket(ticket),
///     account: AccountIndex(0),
///     urgency: Urgency(urgency),
///     objective_end: TimePoint::from_millis(500),
///     deadline: TimePoint::from_millis(2_000),
///     required_time: Duration::from_millis(100),
///     prompt_tokens: 800,
/// };
/// assert_eq!(queue.arrive(TimePoint::ZERO, &request(1, 2), &mut rng), None);
/// assert_eq!(queue.arrive(TimePoint::ZERO, &request(2, 0), &mut rng), None);
/// let now = TimePoint::from_millis(12);
/// assert!(queue.begin_pass(now, &mut rng).is_empty());
/// let first = queue.next_candidate().map(|it| it.ticket);
/// assert_eq!(first, Some(Ticket(2)));
/// queue.record_placed(now, Ticket(2));
/// assert_eq!(queue.len(), 1);
/// ```
#[derive(Clone, Debug)]
pub struct WaitingQueue {
    settings: WaitingSettings,
    queue: FairQueue,
    entries: IndexMap<Ticket, Entry>,
    rate: StartRate,
    arrivals: u64,
    pass: Pass,
    /// When the feasibility of all requests was last checked.
    checked_at: TimePoint,
}

impl WaitingQueue {
    /// Creates an empty queue.
    pub fn new(settings: WaitingSettings) -> Self {
        Self {
            settings,
            queue: FairQueue::default(),
            entries: IndexMap::new(),
            rate: StartRate::default(),
            arrivals: 0,
            pass: Pass::default(),
            checked_at: TimePoint::ZERO,
        }
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a request waits.
    pub fn is_waiting(&self, ticket: Ticket) -> bool {
        self.entries.contains_key(&ticket)
    }

    /// Returns whether an arriving request may be placed at once: no request waits that would start before it.
    pub fn may_start_at_once(&self, urgency: Urgency) -> bool {
        let goes_first = |it: Class| it.urgency < urgency || (it.urgency == urgency && !it.is_late);
        !self.queue.classes().any(goes_first)
    }

    /// Returns the number of slots to assume of an engine when a request is placed.
    ///
    /// Engines admit requests in order of urgency, so a most urgent request gets the next slot of a full engine while less
    /// urgent ones wait. Loads that other VMs report are old by several starts. If urgent requests were sent only where a
    /// slot seems free, all VMs would send them to the same few engines, and bulk work would take most free slots first.
    /// Less urgent work never finds a slot while engines are kept full, so this stops while a start is overdue to it.
    pub fn usable_slots(&self, slots: u32, urgency: Urgency) -> u32 {
        if urgency == Urgency(0)
            && self.queue.has_less_urgent(urgency)
            && !self.queue.is_less_urgent_overdue()
        {
            return (f64::from(slots) * MAX_REQUESTS_PER_SLOT) as u32;
        }
        slots
    }

    /// Records that an arriving request was placed without waiting.
    pub fn record_immediate_start(
        &mut self,
        now: TimePoint,
        account: AccountIndex,
        urgency: Urgency,
        prompt_tokens: u32,
    ) {
        self.rate.advance(now, !self.is_empty());
        self.queue.set_weight(account, 1);
        self.queue.count_start(urgency);
        self.record_start(account, urgency, prompt_tokens, self.arrivals);
    }

    fn record_start(
        &mut self,
        account: AccountIndex,
        urgency: Urgency,
        prompt_tokens: u32,
        arrival: u64,
    ) {
        self.queue.charge(account, request_cost(prompt_tokens));
        self.rate.record_start();
        for entry in self.entries.values_mut() {
            if entry.request.urgency > urgency && entry.arrival < arrival {
                entry.overtaken_by += 1;
            }
        }
    }

    /// Lets an arriving request wait, or refuses it if its wait is predicted to be too long.
    pub fn arrive<R>(
        &mut self,
        now: TimePoint,
        request: &WaitingRequest,
        rng: &mut R,
    ) -> Option<WaitRefusal>
    where
        R: Rng,
    {
        self.rate.advance(now, !self.is_empty());
        self.queue.demote_late(now);
        self.queue.set_weight(request.account, 1);
        let queued = QueuedRequest {
            ticket: request.ticket,
            latest_start: request.latest_start(),
            on_time_until: request.on_time_until(),
            cost: request_cost(request.prompt_tokens),
        };
        self.queue.push(request.account, request.urgency, queued);
        self.queue.demote_late(now);
        let order = self.queue.start_order();
        let ahead = order.iter().position(|it| *it == request.ticket).unwrap_or(order.len());
        if !self.is_feasible(now, request, ahead) {
            self.queue.cancel(request.ticket);
            return Some(self.refusal(request, ahead, WaitRefusalCause::Busy, rng));
        }
        let entry =
            Entry { request: *request, arrival: self.arrivals, overtaken_by: 0, tried_in_pass: 0 };
        self.arrivals += 1;
        self.entries.insert(request.ticket, entry);
        None
    }

    fn is_feasible(&self, now: TimePoint, request: &WaitingRequest, ahead: usize) -> bool {
        let wait = self.rate.wait_for(ahead) + self.settings.tick;
        ahead < self.settings.max_waiting && now + wait <= request.latest_start()
    }

    fn refusal<R>(
        &self,
        request: &WaitingRequest,
        ahead: usize,
        cause: WaitRefusalCause,
        rng: &mut R,
    ) -> WaitRefusal
    where
        R: Rng,
    {
        let (min, max) = RETRY_AFTER_SECONDS;
        let drained = self.rate.wait_for(ahead).as_secs_f64();
        let center = drained.max(min / (1.0 - RETRY_SPREAD)).min(max / (1.0 + RETRY_SPREAD));
        let spread = rng.random_range(1.0 - RETRY_SPREAD..1.0 + RETRY_SPREAD);
        let retry_after = seconds(center * spread);
        WaitRefusal { ticket: request.ticket, cause, retry_after }
    }

    /// Starts a pass over the waiting requests, and refuses those that can't be placed in time.
    pub fn begin_pass<R>(&mut self, now: TimePoint, rng: &mut R) -> Vec<WaitRefusal>
    where
        R: Rng,
    {
        self.rate.advance(now, !self.is_empty());
        self.pass.number += 1;
        self.pass.failed.clear();
        self.queue.demote_late(now);
        if now.since(self.checked_at) < self.settings.tick / 2 {
            return Vec::new();
        }
        self.checked_at = now;
        self.refuse_infeasible(now, rng)
    }

    fn refuse_infeasible<R>(&mut self, now: TimePoint, rng: &mut R) -> Vec<WaitRefusal>
    where
        R: Rng,
    {
        let mut refused = Vec::new();
        let mut ahead: Vec<Entry> = Vec::new();
        for ticket in self.queue.start_order() {
            let Some(entry) = self.entries.get(&ticket) else { continue };
            if self.is_feasible(now, &entry.request, ahead.len()) {
                ahead.push(*entry);
                continue;
            }
            let cause = if self.was_displaced(now, entry, &ahead) {
                WaitRefusalCause::Displaced
            } else {
                WaitRefusalCause::Busy
            };
            refused.push(self.refusal(&entry.request, ahead.len(), cause, rng));
        }
        for it in &refused {
            self.remove(it.ticket);
        }
        refused
    }

    /// Returns whether a request would be feasible without the more urgent ones that arrived after it.
    fn was_displaced(&self, now: TimePoint, entry: &Entry, ahead: &[Entry]) -> bool {
        let is_later =
            |it: &&Entry| it.request.urgency < entry.request.urgency && it.arrival > entry.arrival;
        let later = ahead.iter().filter(is_later).count();
        if later + entry.overtaken_by == 0 {
            return false;
        }
        // The starts of the later requests would have been left to this one and those before it.
        let lost = self.rate.wait_for(entry.overtaken_by);
        let wait = self.rate.wait_for(ahead.len() - later) + self.settings.tick;
        now.saturating_sub(lost) + wait <= entry.request.latest_start()
    }

    /// Returns the waiting request that should be placed next in this pass, if any.
    ///
    /// After the first failure these are requests of other accounts, smaller or more urgent ones, by urgency: the start that
    /// is due to less urgent work doesn't hold up urgent work if it finds no server. The last one, or each if there are no
    /// such requests, is the one that has not been tried for the longest time, so that each is tried eventually whatever
    /// waits before it.
    pub fn next_candidate(&self) -> Option<Candidate> {
        let failures = self.pass.failed.len();
        if failures > FURTHER_TRIES {
            return None;
        }
        let is_untried = |it: &Entry| it.tried_in_pass < self.pass.number;
        let accepts = |it: &QueuedRequest| {
            self.entries
                .get(&it.ticket)
                .is_some_and(|it| is_untried(it) && !self.pass.has_failed_like(&it.request))
        };
        let next = || {
            let position = if failures == 0 {
                self.queue.next(accepts)
            } else {
                self.queue.next_by_urgency(accepts)
            };
            position.and_then(|it| self.queue.get(it)).map(|it| it.ticket)
        };
        let longest_untried = || {
            let untried = self.entries.values().filter(|it| is_untried(it));
            untried.min_by_key(|it| (it.tried_in_pass, it.arrival)).map(|it| it.request.ticket)
        };
        let next = if failures < FURTHER_TRIES { next() } else { None };
        let ticket = next.or_else(longest_untried)?;
        let is_late = self.queue.find(ticket).is_some_and(|it| it.class.is_late);
        Some(Candidate { ticket, is_late })
    }

    /// Records that a waiting request was placed, and removes it.
    pub fn record_placed(&mut self, now: TimePoint, ticket: Ticket) {
        self.rate.advance(now, true);
        let Some(entry) = self.entries.swap_remove(&ticket) else { return };
        if let Some(position) = self.queue.find(ticket) {
            self.queue.start_at(position);
        }
        let WaitingRequest { account, urgency, prompt_tokens, .. } = entry.request;
        self.record_start(account, urgency, prompt_tokens, entry.arrival);
    }

    /// Records that no server could take a waiting request, and the predicted time until its first answer.
    pub fn record_not_placed(&mut self, ticket: Ticket, predicted: Duration) {
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        entry.request.required_time = predicted;
        self.queue.set_on_time_until(ticket, entry.request.on_time_until());
        self.record_deferred(ticket);
    }

    /// Records that a waiting request was not placed in this pass, without a new prediction.
    pub fn record_deferred(&mut self, ticket: Ticket) {
        let Some(entry) = self.entries.get_mut(&ticket) else { return };
        entry.tried_in_pass = self.pass.number;
        self.pass.failed.push(entry.request);
    }

    /// Removes a waiting request whose caller disconnected or that needn't wait; returns `false` if it doesn't wait.
    pub fn remove(&mut self, ticket: Ticket) -> bool {
        self.queue.cancel(ticket);
        self.entries.swap_remove(&ticket).is_some()
    }
}
