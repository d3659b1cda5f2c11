//! Tracks the load and recent performance of backend servers, as known to this entry VM.

use std::time::Duration;

use quincevalve_names::{TimePoint, seconds};
use serde::{Deserialize, Serialize};

/// The resources that a request needs on a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens that the server has to process before the first output token.
    pub prefill: u32,
    /// Maximum number of tokens that the request holds in the KV cache.
    pub memory: u32,
    /// Expected number of output tokens.
    pub output: u32,
    /// Urgency class; 0 is the most urgent.
    pub urgency: u8,
}

/// Prefill throughput of an engine, in prompt tokens per millisecond; scaled by each server's measured slowness.
pub(crate) const PREFILL_PER_MS: f64 = 95.0;
/// Maximum fraction of an engine's KV cache for running requests; the rest caches shared prompts.
pub(crate) const MAX_KV_FRACTION: f64 = 0.85;
/// Base duration of one step of an engine's batch, in milliseconds. A step generates one token for each request in
/// the batch.
const STEP_MS: f64 = 3.5;
/// Milliseconds that each request in the batch adds to a step.
pub(crate) const STEP_MS_PER_REQUEST: f64 = 0.1;
/// Maximum batch size that meets latency objectives, regardless of the number of slots: in larger batches, tokens are
/// generated too slowly.
const MAX_EFFECTIVE_BATCH: u32 = 40;

/// Returns the milliseconds between two tokens of a request on an engine that runs `requests` requests.
pub fn step_ms(requests: u32) -> f64 {
    STEP_MS + STEP_MS_PER_REQUEST * f64::from(requests)
}

/// Returns the time in which an engine processes a prompt of `tokens` that it doesn't have cached.
pub fn recompute_time(tokens: u32) -> Duration {
    seconds(f64::from(tokens) / PREFILL_PER_MS / 1_000.0)
}

impl Work {
    /// Returns the seconds of engine time that the work takes when the engine's batch is full of such work.
    pub fn busy_seconds(self, slots: u32) -> f64 {
        let batch = f64::from(slots.max(1).min(MAX_EFFECTIVE_BATCH));
        let prefill_ms = f64::from(self.prefill) / PREFILL_PER_MS;
        let generation_ms = f64::from(self.output) * (STEP_MS / batch + STEP_MS_PER_REQUEST);
        (prefill_ms + generation_ms) / 1_000.0
    }
}

/// Weight of a rejected request's work in the demand. Most callers retry once and are counted again then; the demand
/// of those that don't retry counts as well.
const REJECTED_DEMAND_WEIGHT: f64 = 0.4;

/// Returns the demand to record for a request whose work keeps a server busy for `busy_seconds`.
///
/// Rejected requests count only partly. When servers are lacking, rejected callers retry and would be counted twice:
/// twice the needed servers would be ordered, as expensive on-demand ones, and would stay until the measured demand
/// has decayed.
pub fn demand(busy_seconds: f64, was_placed: bool) -> f64 {
    if was_placed { busy_seconds } else { busy_seconds * REJECTED_DEMAND_WEIGHT }
}

/// The combined work of several requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkSum {
    /// Number of requests.
    pub requests: u32,
    /// Prompt tokens that still have to be processed.
    pub prefill: u64,
    /// The share of `prefill` that belongs to the most urgent requests.
    pub urgent_prefill: u64,
    /// Maximum number of tokens held in the KV cache.
    pub memory: u64,
    /// Prompt tokens that were sent recently. Their weight decays exponentially, to about a third after one second.
    pub recent_prefill: u64,
}

/// Time constant with which a new server's prompt cache fills: after it, the cache holds about two thirds of the
/// prompts with affinity to the server. Shared prompts that are worth caching recur within a few seconds.
const CACHE_WARMUP_TIME: Duration = Duration::from_secs(3);

/// Time constant of the decay of recently sent prompt tokens; after it, a third of them still counts. An engine's
/// prefill queue is about that long at most, and a single large prompt doesn't fill it.
const RECENT_DECAY_TIME: Duration = Duration::from_secs(1);

/// Returns whether a prompt is processed before all less urgent ones. Engines admit requests in order of urgency.
pub(crate) const fn is_urgent(urgency: u8) -> bool {
    urgency == 0
}

/// Number of prompt tokens whose prefill loads an engine about as much as one running request does in the meantime.
const REQUEST_WEIGHT_TOKENS: u64 = 1_000;
/// Minimum number of recently sent prompt tokens to report for a server without running requests. An engine processes
/// that many in about 5 ms.
///
/// The decayed sum reaches zero only after about nine seconds. Reporting each nonzero sum would put every server that
/// received a prompt in that time into each digest, which in a large system is nearly all servers.
const MIN_REPORTED_RECENT: u64 = 512;

impl WorkSum {
    /// Returns whether the work is large enough to affect the placement decisions of other VMs.
    pub fn is_significant(&self) -> bool {
        self.requests > 0 || self.memory > 0 || self.recent_prefill >= MIN_REPORTED_RECENT
    }

    /// Returns whether `later` differs from this sum only by the decay of `recent_prefill`.
    pub fn differs_only_by_decay(&self, later: Self) -> bool {
        later.recent_prefill <= self.recent_prefill
            && Self { recent_prefill: later.recent_prefill, ..*self } == later
    }

    /// Returns the load that the work puts on a server, in equivalent prompt tokens, for comparing servers.
    pub fn weight(&self) -> u64 {
        let requests = u64::from(self.requests).saturating_mul(REQUEST_WEIGHT_TOKENS);
        self.prefill.saturating_add(self.recent_prefill).saturating_add(requests)
    }

    fn add(&mut self, work: Work) {
        self.requests += 1;
        self.prefill += u64::from(work.prefill);
        self.urgent_prefill += urgent_tokens(work);
        self.memory += u64::from(work.memory);
    }

    fn complete_prefill(&mut self, work: Work) {
        self.prefill = self.prefill.saturating_sub(u64::from(work.prefill));
        self.urgent_prefill = self.urgent_prefill.saturating_sub(urgent_tokens(work));
    }

    fn remove(&mut self, work: Work) {
        self.requests = self.requests.saturating_sub(1);
        self.memory = self.memory.saturating_sub(u64::from(work.memory));
    }

    /// Returns the sum without `removed`, field by field, saturating at zero.
    pub fn minus(self, removed: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(removed.requests),
            prefill: self.prefill.saturating_sub(removed.prefill),
            urgent_prefill: self.urgent_prefill.saturating_sub(removed.urgent_prefill),
            memory: self.memory.saturating_sub(removed.memory),
            recent_prefill: self.recent_prefill.saturating_sub(removed.recent_prefill),
        }
    }

    /// Returns the field-by-field sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_add(other.requests),
            prefill: self.prefill.saturating_add(other.prefill),
            urgent_prefill: self.urgent_prefill.saturating_add(other.urgent_prefill),
            memory: self.memory.saturating_add(other.memory),
            recent_prefill: self.recent_prefill.saturating_add(other.recent_prefill),
        }
    }
}

fn urgent_tokens(work: Work) -> u64 {
    if is_urgent(work.urgency) { u64::from(work.prefill) } else { 0 }
}

/// Returns the decayed number of `tokens` that were sent `age` ago.
fn decayed(tokens: u64, age: Duration) -> u64 {
    (tokens as f64 * (-age.as_secs_f64() / RECENT_DECAY_TIME.as_secs_f64()).exp()) as u64
}

/// Weight of a new observation in the exponential moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// Time after which load reported by peers expires. Peers renew it several times a second.
const PEER_REPORT_TTL: Duration = Duration::from_millis(1_500);
/// Pause after the first failed connection or unresponsive server; doubles with each consecutive failure.
const MIN_PAUSE: Duration = Duration::from_millis(400);
/// Maximum pause. A server that recovers is used again within this time.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// The load of one server and its recent latency and failures.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    own: WorkSum,
    /// When the decay of `own.recent_prefill` was last computed.
    recent_updated_at: TimePoint,
    /// The work of all other entry VMs, and when it was received.
    peer_work: (TimePoint, WorkSum),
    /// Moving average of the ratio of measured to predicted first-answer latency; 1 means as predicted.
    slowness: f64,
    /// Moving average of the fraction of failed answers.
    failure_rate: f64,
    /// Moving average of the time to the first answer, in milliseconds; used for plain services.
    mean_answer_ms: f64,
    consecutive_failures: u32,
    paused_until: TimePoint,
    /// When the server first received a request, as far as known.
    first_used_at: Option<TimePoint>,
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            own: WorkSum::default(),
            recent_updated_at: TimePoint::ZERO,
            peer_work: (TimePoint::ZERO, WorkSum::default()),
            slowness: 1.0,
            failure_rate: 0.0,
            mean_answer_ms: 0.0,
            consecutive_failures: 0,
            paused_until: TimePoint::ZERO,
            first_used_at: None,
        }
    }
}

impl ServerLoad {
    /// Adds the work of a request that is sent to the server.
    pub fn add_request(&mut self, work: Work, now: TimePoint) {
        self.own.recent_prefill =
            decayed(self.own.recent_prefill, now.since(self.recent_updated_at))
                + u64::from(work.prefill);
        self.recent_updated_at = now;
        self.own.add(work);
        self.first_used_at.get_or_insert(now);
    }

    /// Returns the estimated fraction (0 to 1) of the shared prompts with affinity to the server that it has cached.
    ///
    /// A server's cache fills only as prompts are requested, one after the other. If servers that start during a
    /// reclaim wave were assumed to have cached all prompts with affinity to them, all VMs would send them long
    /// prompts as if most tokens were cached: first tokens would come four times later than predicted, and the
    /// prefill queue would be several times longer than any VM estimates.
    pub fn cache_warmth(&self, now: TimePoint) -> f64 {
        let used = self.first_used_at.map_or(0.0, |it| now.since(it).as_secs_f64());
        1.0 - (-used / CACHE_WARMUP_TIME.as_secs_f64()).exp()
    }

    /// Removes a request's prompt from the pending prefill, after its first token or its end.
    pub fn complete_prefill(&mut self, work: Work) {
        self.own.complete_prefill(work);
    }

    /// Removes the work of a request that ended.
    pub fn remove_request(&mut self, work: Work) {
        self.own.remove(work);
    }

    /// Adds the copy of a run of another server. It takes memory, but no slot.
    pub fn add_copy(&mut self, tokens: u32) {
        self.own.memory += u64::from(tokens);
    }

    /// Removes the copy of a run that ended.
    pub fn remove_copy(&mut self, tokens: u32) {
        self.own.memory = self.own.memory.saturating_sub(u64::from(tokens));
    }

    /// Returns whether this VM has work at the server or recently sent it some.
    pub fn has_work(&self) -> bool {
        self.own.requests > 0 || self.own.memory > 0 || self.own.recent_prefill > 0
    }

    /// Returns the number of this VM's requests at the server.
    pub fn own_requests(&self) -> u32 {
        self.own.requests
    }

    /// Returns this VM's own work at the server, as reported to its peers.
    pub fn own_work(&self, now: TimePoint) -> WorkSum {
        WorkSum {
            recent_prefill: decayed(self.own.recent_prefill, now.since(self.recent_updated_at)),
            ..self.own
        }
    }

    /// Replaces the work of all other entry VMs at the server.
    pub fn set_peer_work(&mut self, work: WorkSum, now: TimePoint) {
        self.peer_work = (now, work);
        if work.requests > 0 {
            self.first_used_at.get_or_insert(now);
        }
    }

    /// Returns the time since the work of the other entry VMs was received.
    pub fn peer_report_age(&self, now: TimePoint) -> Duration {
        now.since(self.peer_work.0)
    }

    /// Returns the work of all entry VMs at the server, as far as known.
    pub fn total_work(&self, now: TimePoint) -> WorkSum {
        let (at, peer_work) = self.peer_work;
        let age = now.since(at);
        if age > PEER_REPORT_TTL {
            return self.own_work(now);
        }
        self.own_work(now)
            .plus(WorkSum { recent_prefill: decayed(peer_work.recent_prefill, age), ..peer_work })
    }

    /// Returns the fraction of the server's time spent on prefill, estimated from the recently sent prompt tokens.
    pub fn prefill_utilization(&self, total: &WorkSum) -> f64 {
        total.recent_prefill as f64 / (PREFILL_PER_MS * RECENT_DECAY_TIME.as_secs_f64() * 1_000.0)
            * self.slowness
    }

    /// Records a first answer that came after `measured`, where `predicted` was expected.
    pub fn record_answer(&mut self, measured: Duration, predicted: Duration) {
        let ratio = measured.as_secs_f64() / predicted.as_secs_f64().max(0.001);
        self.slowness += EWMA_WEIGHT * (ratio.max(0.2).min(10.0) - self.slowness);
        self.mean_answer_ms +=
            EWMA_WEIGHT * (measured.as_secs_f64() * 1_000.0 - self.mean_answer_ms);
        self.failure_rate -= EWMA_WEIGHT * self.failure_rate;
        self.consecutive_failures = 0;
    }

    /// Records an answer that was a failure.
    pub fn record_failure(&mut self) {
        self.failure_rate += EWMA_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records a failed connection or an unresponsive server, and pauses the server with exponential backoff.
    pub fn record_unreachable(&mut self, now: TimePoint) {
        self.record_failure();
        let backoff = MIN_PAUSE * 2_u32.pow(self.consecutive_failures.min(4));
        self.consecutive_failures += 1;
        self.paused_until = now + backoff.min(MAX_PAUSE);
    }

    /// Pauses a server that reported to be full, for at least `pause`.
    pub fn pause(&mut self, pause: Duration, now: TimePoint) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Ends a pause: the server is reachable again.
    pub fn resume(&mut self, now: TimePoint) {
        self.consecutive_failures = 0;
        self.paused_until = self.paused_until.min(now);
    }

    /// Returns whether the server is paused.
    pub fn is_paused(&self, now: TimePoint) -> bool {
        now < self.paused_until
    }

    /// Returns the average ratio of measured to predicted first-answer latency.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// Returns the recent fraction of failed answers.
    pub fn failure_rate(&self) -> f64 {
        self.failure_rate
    }

    /// Returns the average time to the first answer, in milliseconds.
    pub fn mean_answer_ms(&self) -> f64 {
        self.mean_answer_ms
    }
}
