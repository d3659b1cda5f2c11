//! Amounts a second, measured as they come.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// The rate at which something happens lately: each amount counts less the longer ago it was.
///
/// Rates of many VMs can be added up whichever way they came. Totals can't: who hears a VM for the first time
/// can't tell what of its total is new.
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
    at: TimePoint,
    over: Duration,
}

impl Rate {
    /// A rate of zero, which will be taken over about the time `over`.
    pub const fn new(over: Duration, now: TimePoint) -> Self {
        Self { per_second: 0.0, at: now, over }
    }

    /// Takes an amount that came now; one below zero takes back what was counted before.
    pub fn add(&mut self, amount: f64, now: TimePoint) {
        self.per_second = self.per_second(now) + amount / self.over.as_secs_f64();
        self.at = now;
    }

    /// The amount a second, as of now.
    pub fn per_second(&self, now: TimePoint) -> f64 {
        self.per_second * (-now.since(self.at).as_secs_f64() / self.over.as_secs_f64()).exp()
    }
}
