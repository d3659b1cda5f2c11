//! Exponentially decaying rates.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// A rate with exponential decay: an amount counts less the longer ago it was.
///
/// Rates of many VMs can be added up on any path of aggregation. Totals can't: on the first report of a VM, it is
/// unknown how much of its total is new.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::rate::Rate;
/// use quincevalve_names::TimePoint;
/// let mut rate = Rate::new(Duration::from_secs(1), TimePoint::ZERO);
/// for step in 0..100 {
///     rate.add(5.0, TimePoint::from_millis(step * 100));
/// }
/// assert!((rate.per_second(TimePoint::from_millis(9_950)) - 50.0).abs() < 1.0);
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    per_second: f64,
    updated_at: TimePoint,
    time_constant: Duration,
}

impl Rate {
    /// Creates a rate of zero with an exponential time constant.
    pub const fn new(time_constant: Duration, now: TimePoint) -> Self {
        Self { per_second: 0.0, updated_at: now, time_constant }
    }

    /// Adds an amount at `now`. A negative amount reverses an earlier one.
    pub fn add(&mut self, amount: f64, now: TimePoint) {
        self.per_second = self.per_second(now) + amount / self.time_constant.as_secs_f64();
        self.updated_at = now;
    }

    /// Returns the amount per second at `now`.
    pub fn per_second(&self, now: TimePoint) -> f64 {
        self.per_second
            * (-now.since(self.updated_at).as_secs_f64() / self.time_constant.as_secs_f64()).exp()
    }
}
