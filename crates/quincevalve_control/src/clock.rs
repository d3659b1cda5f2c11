//! Clock of the control process.

use std::time::{Duration, SystemTime};

use quincevalve_names::TimePoint;
use quincevalve_timer::Timer;

/// Monotonic clock that returns the time since the Unix epoch.
///
/// Several VMs create summaries of the same data centre and the newest one wins, so their times must be comparable
/// between VMs. Wall-clock time is read once, at the start of the process.
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

    /// Returns the seconds since the Unix epoch.
    pub(crate) fn unix_seconds(&self) -> u64 {
        self.now().as_micros() / 1_000_000
    }
}
