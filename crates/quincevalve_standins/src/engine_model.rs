//! Simulates a model engine in virtual time: slots, a prefill queue with two priorities, and a prefix cache.

use std::{cmp::Reverse, collections::BinaryHeap, time::Duration};

use quincevalve_names::{RequestId, Sequence, TimePoint, seconds};
use rustc_hash::FxHashMap;

use crate::prefix_cache::PrefixCache;

/// Speed and capacity of an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Maximum number of requests that run concurrently.
    pub slots: u32,
    /// Prompt tokens that the prefill processes per second.
    pub prefill_tokens_per_s: u32,
    /// Time between two consecutive tokens of an answer.
    pub token_time: Duration,
    /// Capacity of the prefix cache in prompt tokens.
    pub cache_tokens: u32,
}

/// A request to be processed by an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Job {
    /// The request.
    pub id: RequestId,
    /// Hash of the prompt's prefix.
    pub prefix: u64,
    /// Tokens of the shared prefix.
    pub prefix_tokens: u32,
    /// Tokens of the prompt, and answer tokens that already exist.
    pub context_tokens: u32,
    /// Tokens of context whose KV cache was imported.
    pub imported_tokens: u32,
    /// The first token to generate.
    pub first_token: Sequence,
    /// Number of tokens in the complete answer.
    pub total_tokens: u32,
    /// Jobs with a higher priority start first; any priority above 0 precedes priority 0 in the prefill.
    pub priority: u8,
}

/// An event that an engine produced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ModelOutput {
    /// A token was generated.
    Token {
        /// The request.
        id: RequestId,
        /// The position of the token in the answer.
        seq: Sequence,
    },
    /// The answer is complete.
    End {
        /// The request.
        id: RequestId,
        /// Number of tokens in the complete answer.
        tokens: u32,
    },
    /// The prefix cache changed.
    Cache {
        /// Hash of the prefix.
        prefix: u64,
        /// Whether the cache now contains the prefix.
        holds: bool,
    },
    /// A job was scheduled for prefill.
    Prefilled {
        /// The request.
        id: RequestId,
        /// Context tokens that were not cached and have to be computed.
        computed: u32,
    },
}

#[derive(Clone, Copy, Debug)]
struct Running {
    job: Job,
    next: Sequence,
    /// For low priority: the time on the low-priority clock at which the prefill completes.
    prefilled_at: Option<TimePoint>,
}

/// Deterministic model of an engine. Callers pass the time with each event and receive the outputs.
#[derive(Clone, Debug)]
pub struct EngineModel {
    speed: EngineSpeed,
    waiting: BinaryHeap<(u8, Reverse<u64>)>,
    waiting_jobs: FxHashMap<u64, Job>,
    arrivals: u64,
    running: FxHashMap<RequestId, Running>,
    due: BinaryHeap<Reverse<(TimePoint, RequestId)>>,
    /// Time at which the queued high-priority prefill completes.
    high_done_at: TimePoint,
    /// Total duration of all high-priority prefill submitted so far.
    high_total: Duration,
    /// Time on the low-priority clock at which the queued low-priority prefill completes.
    low_done_at: TimePoint,
    cache: PrefixCache,
    computed_tokens: u64,
}

impl EngineModel {
    /// Creates an idle engine.
    pub fn new(speed: EngineSpeed) -> Self {
        Self {
            speed,
            waiting: BinaryHeap::new(),
            waiting_jobs: FxHashMap::default(),
            arrivals: 0,
            running: FxHashMap::default(),
            due: BinaryHeap::new(),
            high_done_at: TimePoint::ZERO,
            high_total: Duration::ZERO,
            low_done_at: TimePoint::ZERO,
            cache: PrefixCache::new(speed.cache_tokens),
            computed_tokens: 0,
        }
    }

    /// Queues a job and starts it if a slot is free.
    pub fn submit(&mut self, now: TimePoint, job: Job, outputs: &mut Vec<ModelOutput>) {
        self.arrivals += 1;
        self.waiting.push((job.priority, Reverse(self.arrivals)));
        self.waiting_jobs.insert(self.arrivals, job);
        self.start_waiting(now, outputs);
    }

    /// Cancels a running or waiting job.
    pub fn cancel(&mut self, now: TimePoint, id: RequestId, outputs: &mut Vec<ModelOutput>) {
        self.waiting_jobs.retain(|_, it| it.id != id);
        self.running.remove(&id);
        self.start_waiting(now, outputs);
    }

    /// Returns the time of the next event.
    pub fn next_event(&self) -> Option<TimePoint> {
        self.due.peek().map(|it| it.0.0)
    }

    /// Processes all events that are due.
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
            // High-priority work delayed the prefill: waits for the remaining time.
            if low_clock < until {
                self.due.push(Reverse((at + (until - low_clock), id)));
                return;
            }
            running.prefilled_at = None;
        }
        let seq = running.next;
        let total = running.job.total_tokens;
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
            // Cancelled jobs stay in the heap and are skipped here.
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
        let took = seconds(f64::from(computed) / f64::from(self.speed.prefill_tokens_per_s));
        let (done, prefilled_at) = self.prefill(now, job.priority, took);
        for evicted in self.cache.insert(job.prefix, job.prefix_tokens) {
            outputs.push(ModelOutput::Cache { prefix: evicted, holds: false });
        }
        outputs.push(ModelOutput::Cache { prefix: job.prefix, holds: true });
        self.running.insert(job.id, Running { job, next: job.first_token, prefilled_at });
        self.due.push(Reverse((done + self.speed.token_time, job.id)));
    }

    /// Returns the total time up to `now` in which the prefill was available to low-priority work.
    fn low_clock(&self, now: TimePoint) -> TimePoint {
        let done = self.high_total.saturating_sub(self.high_done_at - now);
        TimePoint(now.as_micros().saturating_sub(done.as_micros() as u64))
    }

    /// Queues prefill work and returns its estimated completion time; for low priority, also that time on the
    /// low-priority clock, because later high-priority work delays it.
    fn prefill(
        &mut self,
        now: TimePoint,
        priority: u8,
        work: Duration,
    ) -> (TimePoint, Option<TimePoint>) {
        if priority > 0 {
            self.high_done_at = self.high_done_at.max(now) + work;
            self.high_total += work;
            return (self.high_done_at, None);
        }
        let low_clock = self.low_clock(now);
        self.low_done_at = self.low_done_at.max(low_clock) + work;
        let wait = (self.high_done_at - now) + (self.low_done_at - low_clock);
        (now + wait, Some(self.low_done_at))
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running.len() as u32
    }

    /// Returns the number of context tokens that wait for prefill or are being processed.
    pub fn queued_tokens(&self, now: TimePoint) -> u32 {
        let waiting: u32 = self.waiting_jobs.values().map(|it| it.context_tokens).sum();
        let low = self.low_done_at - self.low_clock(now);
        let seconds = ((self.high_done_at - now) + low).as_secs_f64();
        waiting + (seconds * f64::from(self.speed.prefill_tokens_per_s)) as u32
    }

    /// Returns the number of jobs that wait for a slot.
    pub fn waiting(&self) -> u32 {
        self.waiting_jobs.len() as u32
    }

    /// Returns the number of context tokens computed since the engine was created.
    pub const fn computed_tokens(&self) -> u64 {
        self.computed_tokens
    }
}
