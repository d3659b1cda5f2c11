//! The work that a server has, as far as this entry VM knows, and how well it does it.

use std::time::Duration;

use quincevalve_names::TimePoint;
use serde::{Deserialize, Serialize};

/// What a request asks of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Work {
    /// Prompt tokens that the server has to read before the first token.
    pub prefill: u32,
    /// Tokens that it holds in memory at most.
    pub memory: u32,
    /// Tokens that it is expected to generate.
    pub output: u32,
    /// Urgency, 0 first.
    pub urgency: u8,
}

/// Prompt tokens that an engine reads in a millisecond; each server's slowness corrects it.
pub(crate) const PREFILL_PER_MS: f64 = 95.0;
/// Milliseconds of a step of an engine's batch, and what each request in it adds. Each step makes one token
/// of each request.
const STEP_MS: f64 = 3.5;
pub(crate) const STEP_MS_PER_REQUEST: f64 = 0.1;
/// Requests in a batch beyond which objectives are missed whatever the slots are: tokens come too slowly.
const FULL_BATCH: u32 = 40;

/// Milliseconds between two tokens of a request on an engine that runs so many.
pub fn step_ms(requests: u32) -> f64 {
    STEP_MS + STEP_MS_PER_REQUEST * f64::from(requests)
}

impl Work {
    /// Seconds for which the work would keep an engine busy whose batch is full with such work.
    pub fn busy_seconds(self, slots: u32) -> f64 {
        let batch = f64::from(slots.clamp(1, FULL_BATCH));
        let reading = f64::from(self.prefill) / PREFILL_PER_MS;
        let generating = f64::from(self.output) * (STEP_MS / batch + STEP_MS_PER_REQUEST);
        (reading + generating) / 1_000.0
    }
}

/// The part of a refused request's work that counts as demand. Its caller comes back once in most cases, and is
/// counted again then; who doesn't come back asked for it, too.
const REFUSED_PART: f64 = 0.4;

/// The demand that a request is counted for, of work that would keep a server busy for `busy_seconds`.
///
/// Failure: servers are lacking, and those who are refused come back. Symptom: they are counted twice, twice the
/// servers that are needed are ordered, on demand and dear, and stay until the measured demand has faded.
pub fn demand(busy_seconds: f64, was_placed: bool) -> f64 {
    if was_placed { busy_seconds } else { busy_seconds * REFUSED_PART }
}

/// Work that several requests ask together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkSum {
    /// Requests.
    pub requests: u32,
    /// Prompt tokens that still have to be read.
    pub prefill: u64,
    /// Prompt tokens of the most urgent requests only.
    pub urgent_prefill: u64,
    /// Tokens held in memory at most.
    pub memory: u64,
    /// Prompt tokens that were sent lately: each counts less the longer ago it was, a third after a second.
    pub recent: u64,
}

/// The time in which a server that starts has read two thirds of the prompts with affinity to it: shared prompts
/// that are worth keeping are asked for again within a few seconds.
const WARM_TIME: Duration = Duration::from_secs(3);

/// The time in which what was sent lately fades to a third. An engine's queue of prompts is about that long
/// at most, and one large prompt doesn't fill it.
const RECENT: Duration = Duration::from_secs(1);

/// Whether a prompt is read before all that are less urgent: engines admit in the order of urgency.
pub(crate) const fn is_urgent(urgency: u8) -> bool {
    urgency == 0
}

/// Prompt tokens whose reading keeps an engine about as busy as a running request does meanwhile.
const REQUEST_WEIGHT: u64 = 1_000;
/// Prompt tokens below which what was sent lately isn't told when nothing else is: an engine reads them in some 5 ms.
///
/// Load: what was sent fades, but is never quite gone. Told for as long as it isn't zero, each server that had a prompt in
/// the last nine seconds is named in each digest, which in a large system is nearly all servers.
const LEAST_RECENT: u64 = 512;

impl WorkSum {
    /// Whether it is so much that other VMs place by it.
    pub fn matters(&self) -> bool {
        self.requests > 0 || self.recent >= LEAST_RECENT
    }

    /// Whether it is the same requests, however much of what was sent has faded meanwhile.
    pub fn is_same_but_faded(&self, later: Self) -> bool {
        later.recent <= self.recent && Self { recent: later.recent, ..*self } == later
    }

    /// How much a server is kept busy by it, to compare servers.
    pub fn weight(&self) -> u64 {
        self.prefill + self.recent + u64::from(self.requests) * REQUEST_WEIGHT
    }

    fn add(&mut self, work: Work) {
        self.requests += 1;
        self.prefill += u64::from(work.prefill);
        self.urgent_prefill += urgent_part(work);
        self.memory += u64::from(work.memory);
    }

    fn prefilled(&mut self, work: Work) {
        self.prefill = self.prefill.saturating_sub(u64::from(work.prefill));
        self.urgent_prefill = self.urgent_prefill.saturating_sub(urgent_part(work));
    }

    fn remove(&mut self, work: Work) {
        self.requests = self.requests.saturating_sub(1);
        self.memory = self.memory.saturating_sub(u64::from(work.memory));
    }

    /// What is left of it without a part.
    pub fn minus(self, part: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(part.requests),
            prefill: self.prefill.saturating_sub(part.prefill),
            urgent_prefill: self.urgent_prefill.saturating_sub(part.urgent_prefill),
            memory: self.memory.saturating_sub(part.memory),
            recent: self.recent.saturating_sub(part.recent),
        }
    }

    /// The sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            prefill: self.prefill + other.prefill,
            urgent_prefill: self.urgent_prefill + other.urgent_prefill,
            memory: self.memory + other.memory,
            recent: self.recent + other.recent,
        }
    }
}

fn urgent_part(work: Work) -> u64 {
    if is_urgent(work.urgency) { u64::from(work.prefill) } else { 0 }
}

/// Tokens that were sent so long ago, as they count now.
fn faded(tokens: u64, age: Duration) -> u64 {
    (tokens as f64 * (-age.as_secs_f64() / RECENT.as_secs_f64()).exp()) as u64
}

/// Weight of a new observation in the running means.
const NEW: f64 = 0.15;
/// What others told counts for this long; it is renewed several times a second.
const OTHERS_AGE: Duration = Duration::from_millis(1_500);
/// First pause after a failed connection or a silent server, doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(400);
/// The longest pause: a server that is back is noticed within this time.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// The load and the record of one server.
#[derive(Clone, Debug)]
pub struct ServerLoad {
    own: WorkSum,
    /// When the fading of `own.recent` was last reckoned.
    recent_at: TimePoint,
    /// The work of all other entry VMs, and when they told it.
    others: (TimePoint, WorkSum),
    /// Measured first answers against predicted ones; 1 is as predicted.
    slowness: f64,
    /// Share of failed answers lately.
    failing: f64,
    /// Milliseconds to an answer lately, of plain services.
    answer_ms: f64,
    failures_in_a_row: u32,
    paused_until: TimePoint,
    /// When it first had a request, as far as known.
    used_since: Option<TimePoint>,
}

impl Default for ServerLoad {
    fn default() -> Self {
        Self {
            own: WorkSum::default(),
            recent_at: TimePoint::ZERO,
            others: (TimePoint::ZERO, WorkSum::default()),
            slowness: 1.0,
            failing: 0.0,
            answer_ms: 0.0,
            failures_in_a_row: 0,
            paused_until: TimePoint::ZERO,
            used_since: None,
        }
    }
}

impl ServerLoad {
    /// Notes a request that is sent.
    pub fn begin(&mut self, work: Work, now: TimePoint) {
        self.own.recent =
            faded(self.own.recent, now.since(self.recent_at)) + u64::from(work.prefill);
        self.recent_at = now;
        self.own.add(work);
        self.used_since.get_or_insert(now);
    }

    /// The part of the shared prompts with affinity to the server that it has read by now, from 0 to 1.
    ///
    /// Failure: servers start in a wave of reclaims, and each is taken to keep the prompts with affinity to it.
    /// Symptom: all VMs send it long prompts as if most of them were read, first tokens come four times later than
    /// expected, and its queue of prompts is several times what anyone believes. A server reads its prompts one
    /// after the other as they are asked for.
    pub fn warmth(&self, now: TimePoint) -> f64 {
        let used = self.used_since.map_or(0.0, |it| now.since(it).as_secs_f64());
        1.0 - (-used / WARM_TIME.as_secs_f64()).exp()
    }

    /// Notes that a request's prompt has been read: its first token came, or it ended.
    pub fn prefilled(&mut self, work: Work) {
        self.own.prefilled(work);
    }

    /// Notes that a request has ended.
    pub fn end(&mut self, work: Work) {
        self.own.remove(work);
    }

    /// Whether this VM has or lately had work there.
    pub fn has_work(&self) -> bool {
        self.own.requests > 0 || self.own.recent > 0
    }

    /// This VM's own work at the server, for its peers.
    pub fn own(&self, now: TimePoint) -> WorkSum {
        WorkSum { recent: faded(self.own.recent, now.since(self.recent_at)), ..self.own }
    }

    /// Takes the work of all other entry VMs at the server.
    pub fn set_others(&mut self, work: WorkSum, now: TimePoint) {
        self.others = (now, work);
        if work.requests > 0 {
            self.used_since.get_or_insert(now);
        }
    }

    /// How long ago the others told their work.
    pub fn told_age(&self, now: TimePoint) -> Duration {
        now.since(self.others.0)
    }

    /// The work of all entry VMs, as far as known.
    pub fn total(&self, now: TimePoint) -> WorkSum {
        let (at, others) = self.others;
        let age = now.since(at);
        if age > OTHERS_AGE {
            return self.own(now);
        }
        self.own(now).plus(WorkSum { recent: faded(others.recent, age), ..others })
    }

    /// The part of its time that the server reads prompts, from what it was sent lately.
    pub fn reading_part(&self, total: &WorkSum) -> f64 {
        total.recent as f64 / (PREFILL_PER_MS * RECENT.as_secs_f64() * 1_000.0) * self.slowness
    }

    /// Takes a first answer that came after `measured` where `predicted` was expected.
    pub fn answered(&mut self, measured: Duration, predicted: Duration) {
        let ratio = measured.as_secs_f64() / predicted.as_secs_f64().max(0.001);
        self.slowness += NEW * (ratio.clamp(0.2, 10.0) - self.slowness);
        self.answer_ms += NEW * (measured.as_secs_f64() * 1_000.0 - self.answer_ms);
        self.failing -= NEW * self.failing;
        self.failures_in_a_row = 0;
    }

    /// Takes an answer that was a failure.
    pub fn failed(&mut self) {
        self.failing += NEW * (1.0 - self.failing);
    }

    /// Takes a connection that failed or a server that fell silent, and leaves it alone for a while.
    pub fn unreachable(&mut self, now: TimePoint) {
        self.failed();
        let doubled = FIRST_PAUSE * 2_u32.pow(self.failures_in_a_row.min(4));
        self.failures_in_a_row += 1;
        self.paused_until = now + doubled.min(LONGEST_PAUSE);
    }

    /// Leaves a server that said it is full alone for `pause`.
    pub fn full(&mut self, pause: Duration, now: TimePoint) {
        self.paused_until = self.paused_until.max(now + pause);
    }

    /// Whether the server is left alone at present.
    pub fn is_paused(&self, now: TimePoint) -> bool {
        now < self.paused_until
    }

    /// Measured first answers against predicted ones.
    pub fn slowness(&self) -> f64 {
        self.slowness
    }

    /// The share of failed answers lately.
    pub fn failing(&self) -> f64 {
        self.failing
    }

    /// Milliseconds to an answer lately.
    pub fn answer_ms(&self) -> f64 {
        self.answer_ms
    }
}
