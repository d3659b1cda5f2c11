//! A model engine in virtual time: slots, a prefill that higher priorities go through first, a prefix
//! cache.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use quincevalve_names::{RequestId, Sequence, TimePoint};
use rustc_hash::FxHashMap;

use crate::lru::PrefixCache;

/// How fast an engine is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Prompt tokens that it processes in a second.
    pub prefill_tokens_per_s: u32,
    /// Time between two tokens of one answer.
    pub token_time: Duration,
    /// Prompt tokens that the prefix cache holds.
    pub cache_tokens: u32,
}

/// Work for an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// The prompt's prefix.
    pub prefix: u64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Tokens of the prompt and of the part of the answer that exists already.
    pub context_tokens: u32,
    /// Tokens of context whose KV cache was imported.
    pub imported_tokens: u32,
    /// The first token to generate.
    pub from: Sequence,
    /// Tokens of the whole answer.
    pub total: u32,
    /// Higher goes first.
    pub priority: u8,
}

/// What an engine did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelOutput {
    /// A token was generated.
    Token {
        /// The request.
        id: RequestId,
        /// The position.
        seq: Sequence,
    },
    /// The answer is whole.
    End {
        /// The request.
        id: RequestId,
        /// Tokens of the whole answer.
        tokens: u32,
    },
    /// The prefix cache changed.
    Cache {
        /// The prefix.
        prefix: u64,
        /// Whether it is held now.
        holds: bool,
    },
    /// A job's context went through the prefill.
    Prefilled {
        /// The request.
        id: RequestId,
        /// Tokens that had to be computed.
        computed: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    next: Sequence,
    /// For low priority: the time on the low clock at which the prefill is done.
    prefilled_at: Option<TimePoint>,
}

/// The model. `(now, event) -> outputs`, no clock of its own.
#[derive(Clone, Debug)]
pub struct EngineModel {
    speed: EngineSpeed,
    waiting: BinaryHeap<(u8, Reverse<u64>)>,
    waiting_jobs: FxHashMap<u64, Job>,
    arrivals: u64,
    running: FxHashMap<RequestId, Running>,
    due: BinaryHeap<Reverse<(TimePoint, RequestId)>>,
    /// When the prefill has no more work of high priority.
    high_free: TimePoint,
    /// All prefill work of high priority so far.
    high_work: Duration,
    /// When the prefill has no more work of low priority, on the low clock.
    low_free: TimePoint,
    cache: PrefixCache,
    computed_tokens: u64,
}

impl EngineModel {
    /// Makes an idle engine.
    pub fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            waiting: BinaryHeap::new(),
            waiting_jobs: FxHashMap::default(),
            arrivals: 0,
            running: FxHashMap::default(),
            due: BinaryHeap::new(),
            high_free: TimePoint::ZERO,
            high_work: Duration::ZERO,
            low_free: TimePoint::ZERO,
            cache: PrefixCache::new(speed.cache_tokens),
            computed_tokens: 0,
        }
    }

    /// Takes a job.
    pub fn submit(&mut self, now: TimePoint, job: Job, outputs: &mut Vec<ModelOutput>) {
        self.arrivals += 1;
        self.waiting.push((job.priority, Reverse(self.arrivals)));
        self.waiting_jobs.insert(self.arrivals, job);
        self.start_waiting(now, outputs);
    }

    /// Drops a job, running or waiting.
    pub fn cancel(&mut self, now: TimePoint, id: RequestId, outputs: &mut Vec<ModelOutput>) {
        self.waiting_jobs.retain(|_, it| it.id != id);
        self.running.remove(&id);
        self.start_waiting(now, outputs);
    }

    /// When something happens next.
    pub fn next_event(&self) -> Option<TimePoint> {
        self.due.peek().map(|it| it.0.0)
    }

    /// Does all that is due.
    pub fn advance(&mut self, now: TimePoint, outputs: &mut Vec<ModelOutput>) {
        while let Some(Reverse((at, id))) = self.due.peek().copied() {
            if at > now {
                return;
            }
            self.due.pop();
            self.step(at, id, outputs);
        }
    }

    fn step(&mut self, at: TimePoint, id: RequestId, outputs: &mut Vec<ModelOutput>) {
        let low_clock = self.low_clock(at);
        let Some(running) = self.running.get_mut(&id) else { return };
        if let Some(until) = running.prefilled_at {
            // Work of high priority came in between; the rest of the prefill is still to be done.
            if low_clock < until {
                self.due.push(Reverse((at + (until - low_clock), id)));
                return;
            }
            running.prefilled_at = None;
        }
        let seq = running.next;
        let total = running.job.total;
        if seq.0 < total {
            outputs.push(ModelOutput::Token { id, seq });
            running.next = seq.next();
        }
        if running.next.0 < total {
            self.due.push(Reverse((at + self.speed.token_time, id)));
            return;
        }
        outputs.push(ModelOutput::End { id, tokens: total });
        self.running.remove(&id);
        self.start_waiting(at, outputs);
    }

    fn start_waiting(&mut self, now: TimePoint, outputs: &mut Vec<ModelOutput>) {
        while self.running.len() < self.speed.slots as usize {
            let Some((_, Reverse(arrival))) = self.waiting.pop() else { return };
            // A cancelled job leaves its place in the heap behind.
            if let Some(job) = self.waiting_jobs.remove(&arrival) {
                self.start(now, job, outputs);
            }
        }
    }

    fn start(&mut self, now: TimePoint, job: Job, outputs: &mut Vec<ModelOutput>) {
        let cached = self.cache.tokens(job.prefix).min(job.prefix_tokens).max(job.imported_tokens);
        let computed = job.context_tokens.saturating_sub(cached);
        self.computed_tokens += u64::from(computed);
        outputs.push(ModelOutput::Prefilled { id: job.id, computed });
        let seconds = f64::from(computed) / f64::from(self.speed.prefill_tokens_per_s);
        let (done, prefilled_at) =
            self.prefill(now, job.priority, Duration::from_secs_f64(seconds));
        for evicted in self.cache.insert(job.prefix, job.prefix_tokens) {
            outputs.push(ModelOutput::Cache { prefix: evicted, holds: false });
        }
        outputs.push(ModelOutput::Cache { prefix: job.prefix, holds: true });
        self.running.insert(job.id, Running { job, next: job.from, prefilled_at });
        self.due.push(Reverse((done + self.speed.token_time, job.id)));
    }

    /// Time in which the prefill was free for work of low priority.
    fn low_clock(&self, now: TimePoint) -> TimePoint {
        let done = self.high_work.saturating_sub(self.high_free - now);
        TimePoint(now.as_micros().saturating_sub(done.as_micros() as u64))
    }

    /// Puts work into the prefill; returns when it is done, as far as is known now.
    fn prefill(
        &mut self,
        now: TimePoint,
        priority: u8,
        work: Duration,
    ) -> (TimePoint, Option<TimePoint>) {
        if priority > 0 {
            self.high_free = self.high_free.max(now) + work;
            self.high_work += work;
            return (self.high_free, None);
        }
        let low_clock = self.low_clock(now);
        self.low_free = self.low_free.max(low_clock) + work;
        let wait = (self.high_free - now) + (self.low_free - low_clock);
        (now + wait, Some(self.low_free))
    }

    /// Requests running.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Context tokens that wait for the prefill or are in it.
    pub fn queued_tokens(&self, now: TimePoint) -> u32 {
        let waiting: u32 = self.waiting_jobs.values().map(|it| it.context_tokens).sum();
        let low = self.low_free - self.low_clock(now);
        let seconds = ((self.high_free - now) + low).as_secs_f64();
        waiting + (seconds * f64::from(self.speed.prefill_tokens_per_s)) as u32
    }

    /// Jobs that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting_jobs.len() as u32
    }

    /// Tokens that went through the prefill since the start.
    pub const fn computed_tokens(&self) -> u64 {
        self.computed_tokens
    }
}
