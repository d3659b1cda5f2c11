//! Measures how many requests a second find a server.

use std::time::Duration;

use quincevalve_names::{TimePoint, seconds};

/// Time constant of the measurement. After a failure of servers, most of the old rate is forgotten within it, which is
/// short compared with callers' deadlines.
const MEMORY_SECONDS: f64 = 2.0;
/// Maximum time that counts between two starts while no request waits: a gap between arrivals says nothing about the
/// servers' capacity. Until a rate is measured, one start in this time is assumed.
const MAX_IDLE_SECONDS: f64 = 0.1;
/// Maximum predicted wait, longer than any deadline.
const MAX_WAIT_SECONDS: f64 = 3_600.0;

/// Decayed number of starts, and the decayed time in which they were counted.
#[derive(Clone, Debug)]
pub(crate) struct StartRate {
    updated_at: TimePoint,
    counted_seconds: f64,
    starts: f64,
}

impl Default for StartRate {
    fn default() -> Self {
        Self { updated_at: TimePoint::ZERO, counted_seconds: MAX_IDLE_SECONDS, starts: 1.0 }
    }
}

impl StartRate {
    /// Counts the time since the last call, during which requests were waiting or not.
    pub(crate) fn advance(&mut self, now: TimePoint, is_waiting: bool) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let counted = if is_waiting { elapsed } else { elapsed.min(MAX_IDLE_SECONDS) };
        let kept = (-counted / MEMORY_SECONDS).exp();
        self.counted_seconds = self.counted_seconds * kept + MEMORY_SECONDS * (1.0 - kept);
        self.starts *= kept;
    }

    pub(crate) fn record_start(&mut self) {
        self.starts += 1.0;
    }

    /// Returns the predicted time until a request starts that has `ahead` requests before it.
    pub(crate) fn wait_for(&self, ahead: usize) -> Duration {
        if ahead == 0 {
            return Duration::ZERO;
        }
        let wait = ahead as f64 * self.counted_seconds / self.starts;
        seconds(wait.min(MAX_WAIT_SECONDS))
    }
}
