//! The clock of the control process.

use std::time::{Duration, SystemTime};

use quincevalve_names::TimePoint;
use quincevalve_timer::Timer;

/// Time since 1970 that never goes back within a process.
///
/// Summaries of one data centre are made by several VMs and the newest stands, so their times must be
/// comparable. The wall clock is read once, at the start.
#[derive(Clone, Debug)]
pub(crate) struct Clock {
    timer: Timer,
    origin: Duration,
}

impl Clock {
    pub(crate) fn new(timer: Timer) -> Self {
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        Self { timer, origin: since.unwrap_or_default() }
    }

    pub(crate) fn now(&self) -> TimePoint {
        TimePoint(self.origin.as_micros() as u64) + (self.timer.now() - TimePoint::ZERO)
    }

    pub(crate) const fn timer(&self) -> &Timer {
        &self.timer
    }

    /// Seconds since 1970.
    pub(crate) fn unix_seconds(&self) -> u64 {
        self.now().as_micros() / 1_000_000
    }
}
