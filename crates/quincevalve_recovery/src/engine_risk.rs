//! The risk that an engine loses a run, and which runs are copied to another engine because of it.

use std::time::Duration;

use indexmap::IndexMap;
use quincevalve_names::{Scaled, TimePoint};

/// One start of an engine, identified by a hash that is equal on all entry VMs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct EngineId(pub u64);

/// Time constants in seconds of the two averages of interruptions. The short one detects a wave of failures within a
/// fraction of an answer's duration; the long one bridges its random gaps. The higher estimate counts.
const AVERAGING_SECONDS: [f64; 2] = [0.3, 2.0];
/// Weight of the service's rate in an engine's rate, in interruptions.
const PRIOR_WEIGHT: f64 = 1.0;
/// Quantile, in standard deviations, of the estimate that counts: a lost answer costs as much as ten copies, so a
/// rate that is exceeded in 1 of 100 cases counts rather than the mean.
const QUANTILE_Z: f64 = 2.33;
/// Stream-seconds added to those of a service, so that old interruptions lose their weight while no stream runs.
const EXTRA_STREAM_SECONDS: f64 = 2.0;
/// Factor of the rate of an engine that is cold, paused or nearly full.
const STRAIN_FACTOR: f64 = 2.0;
/// Fraction of an engine's slots from which on it is nearly full.
const NEARLY_FULL: f64 = 0.85;
/// Loss probability from which on a non-resumable stream is copied: a lost answer weighs as much as ten transfers.
const MIN_LOSS_PROBABILITY: f64 = 0.1;
/// Loss probability from which on a resumable stream is copied whose prompt takes longer to process again than its route
/// promises to pause. Only that time is lost.
const MIN_RECOMPUTE_PROBABILITY: f64 = 0.25;
/// Maximum fraction of the answer's expected duration that the transfer of the prompt's memory may take. A copy that is
/// complete only near the end protects nothing.
const MAX_TRANSFER_FRACTION: f64 = 0.5;
/// Time after which an engine without streams is forgotten; several times the longer time constant.
const IDLE_ENGINE_TTL: Duration = Duration::from_secs(10);

/// Interruptions and stream-seconds, averaged with exponential decay.
#[derive(Clone, Copy, Debug)]
struct DecayedRate {
    /// Interruptions and stream-seconds for each of [`AVERAGING_SECONDS`].
    averages: [(f64, f64); AVERAGING_SECONDS.len()],
    /// Number of running streams.
    streams: u32,
    updated_at: TimePoint,
}

impl DecayedRate {
    fn new(now: TimePoint) -> Self {
        Self { averages: Default::default(), streams: 0, updated_at: now }
    }

    /// Returns the averages at `now`.
    fn at(&self, now: TimePoint) -> [(f64, f64); AVERAGING_SECONDS.len()] {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        let mut averages = self.averages;
        for ((interruptions, stream_seconds), seconds) in averages.iter_mut().zip(AVERAGING_SECONDS)
        {
            let decay = (-elapsed / seconds).exp();
            *interruptions *= decay;
            *stream_seconds *= decay;
            *stream_seconds += f64::from(self.streams) * seconds * (1.0 - decay);
        }
        averages
    }

    fn advance(&mut self, now: TimePoint) {
        self.averages = self.at(now);
        self.updated_at = self.updated_at.max(now);
    }

    fn record_interruption(&mut self, now: TimePoint) {
        self.advance(now);
        self.averages.iter_mut().for_each(|it| it.0 += 1.0);
    }

    fn set_streams(&mut self, streams: u32, now: TimePoint) {
        self.advance(now);
        self.streams = streams;
    }
}

/// The current condition of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EngineCondition {
    /// Whether the engine is warming up after its start.
    pub is_cold: bool,
    /// Whether this VM sends the engine no requests for the moment, since it failed or was full.
    pub is_paused: bool,
    /// Fraction of the engine's slots that are taken.
    pub slot_utilization: f64,
}

impl EngineCondition {
    fn is_strained(self) -> bool {
        self.is_cold || self.is_paused || self.slot_utilization > NEARLY_FULL
    }
}

/// How often the streams of a service's engines were interrupted recently, as observed by this VM.
///
/// Engines without streams are forgotten after 10 s, and a new start of an engine has an [`EngineId`] of its own.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_names::TimePoint;
/// use quincevalve_recovery::{EngineCondition, EngineId, RiskTable};
///
/// let mut table = RiskTable::default();
/// let now = TimePoint::ZERO;
/// table.record_start(EngineId(1), now);
/// let condition = EngineCondition::default();
/// let time = Duration::from_secs(3);
/// assert_eq!(table.loss_probability(EngineId(1), condition, time, now), 0.0);
/// table.record_interruption(EngineId(1), now);
/// assert!(table.loss_probability(EngineId(1), condition, time, now) > 0.1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct RiskTable {
    service: Option<DecayedRate>,
    engines: IndexMap<EngineId, DecayedRate>,
    evicted_at: TimePoint,
}

impl RiskTable {
    /// Records that a stream started at an engine.
    pub fn record_start(&mut self, engine: EngineId, now: TimePoint) {
        self.evict_idle(now);
        self.change_streams(engine, now, |it| it + 1);
    }

    /// Records that a stream no longer runs at an engine, for whichever reason.
    pub fn record_end(&mut self, engine: EngineId, now: TimePoint) {
        if self.engines.contains_key(&engine) {
            self.change_streams(engine, now, |it| it.saturating_sub(1));
        }
    }

    /// Records that an engine interrupted a stream and remained in service.
    pub fn record_interruption(&mut self, engine: EngineId, now: TimePoint) {
        self.service.get_or_insert(DecayedRate::new(now)).record_interruption(now);
        self.engines
            .entry(engine)
            .or_insert_with(|| DecayedRate::new(now))
            .record_interruption(now);
    }

    /// Returns the probability that an engine interrupts a stream within `time`.
    pub fn loss_probability(
        &self,
        engine: EngineId,
        condition: EngineCondition,
        time: Duration,
        now: TimePoint,
    ) -> f64 {
        let rate = self.interruptions_per_second(engine, now);
        let factor = if condition.is_strained() { STRAIN_FACTOR } else { 1.0 };
        1.0 - (-rate * factor * time.as_secs_f64()).exp()
    }

    /// Returns whether an engine interrupted streams recently.
    pub fn is_suspect(&self, engine: EngineId, now: TimePoint) -> bool {
        let averages = self.engines.get(&engine).map(|it| it.at(now));
        averages.is_some_and(|it| it.iter().any(|(interruptions, _)| *interruptions > 0.5))
    }

    /// Returns the number of engines that are kept.
    pub fn engine_count(&self) -> usize {
        self.engines.len()
    }

    fn interruptions_per_second(&self, engine: EngineId, now: TimePoint) -> f64 {
        let Some(service) = self.service else { return 0.0 };
        let own = self.engines.get(&engine).map(|it| it.at(now)).unwrap_or_default();
        let rates = service.at(now).into_iter().zip(own).map(|(service, own)| {
            let (all_interruptions, all_seconds) = service;
            let (interruptions, seconds) = own;
            if all_interruptions <= 0.0 {
                return 0.0;
            }
            let all_seconds = all_seconds + EXTRA_STREAM_SECONDS;
            // Posterior of a rate with a gamma prior around the service's rate.
            let shape = PRIOR_WEIGHT + interruptions;
            let scale_seconds = PRIOR_WEIGHT * all_seconds / all_interruptions + seconds;
            gamma_quantile(shape) / scale_seconds
        });
        rates.fold(0.0, f64::max)
    }

    fn change_streams(&mut self, engine: EngineId, now: TimePoint, change: impl Fn(u32) -> u32) {
        let service = self.service.get_or_insert(DecayedRate::new(now));
        service.set_streams(change(service.streams), now);
        let own = self.engines.entry(engine).or_insert_with(|| DecayedRate::new(now));
        own.set_streams(change(own.streams), now);
    }

    fn evict_idle(&mut self, now: TimePoint) {
        if now.since(self.evicted_at) < IDLE_ENGINE_TTL {
            return;
        }
        self.evicted_at = now;
        self.engines.retain(|_, it| it.streams > 0 || now.since(it.updated_at) < IDLE_ENGINE_TTL);
    }
}

/// Returns the quantile at [`QUANTILE_Z`] of a gamma distribution with scale 1 (Wilson and Hilferty's approximation).
fn gamma_quantile(shape: f64) -> f64 {
    shape * (1.0 - 1.0 / (9.0 * shape) + QUANTILE_Z / (3.0 * shape.sqrt())).powi(3)
}

/// A run that may be copied to another engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunAtRisk {
    /// Whether another server can continue the stream without the run's memory.
    pub is_resumable: bool,
    /// Time to process the prompt again.
    pub recompute: Duration,
    /// Longest pause between events that the route promises, if any.
    pub longest_pause: Option<Duration>,
    /// Expected time until the answer is complete.
    pub duration: Duration,
    /// Time to transfer the prompt's memory.
    pub transfer: Duration,
    /// Probability that the engine interrupts the stream before the answer is complete.
    pub loss_probability: f64,
}

/// Returns whether a run should be copied to another engine while it runs.
///
/// ```
/// use std::time::Duration;
/// use quincevalve_recovery::{RunAtRisk, is_copy_due};
///
/// let run = RunAtRisk {
///     is_resumable: false,
///     recompute: Duration::from_millis(130),
///     longest_pause: Some(Duration::from_millis(500)),
///     duration: Duration::from_secs(3),
///     transfer: Duration::from_millis(30),
///     loss_probability: 0.2,
/// };
/// assert!(is_copy_due(&run));
/// assert!(!is_copy_due(&RunAtRisk { is_resumable: true, ..run }));
/// ```
pub fn is_copy_due(run: &RunAtRisk) -> bool {
    let is_likely_lost = if run.is_resumable {
        run.longest_pause.is_some_and(|it| run.recompute > it)
            && run.loss_probability >= MIN_RECOMPUTE_PROBABILITY
    } else {
        run.loss_probability >= MIN_LOSS_PROBABILITY
    };
    is_likely_lost && run.transfer <= run.duration.scaled(MAX_TRANSFER_FRACTION)
}
