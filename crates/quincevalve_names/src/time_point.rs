//! Points in time, as passed to the decision cores.

use std::{
    ops::{Add, Sub},
    time::Duration,
};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since an origin defined by the clock's owner.
///
/// Decision cores never read a clock. They take `now` as an argument, so that tests and measurements can run them
/// deterministically in virtual time.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TimePoint(pub u64);

impl TimePoint {
    /// The origin of the clock.
    pub const ZERO: Self = Self(0);

    /// Returns the point `millis` milliseconds after the origin.
    ///
    /// ```
    /// use quincevalve_names::TimePoint;
    /// assert_eq!(TimePoint::from_millis(2).as_micros(), 2_000);
    /// ```
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the origin.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the point `duration` before `self`, or the origin if that is later.
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_names::TimePoint;
    /// let at = TimePoint::from_millis(5);
    /// assert_eq!(at.saturating_sub(Duration::from_millis(2)), TimePoint::from_millis(3));
    /// assert_eq!(at.saturating_sub(Duration::from_millis(9)), TimePoint::ZERO);
    /// ```
    #[must_use]
    pub const fn saturating_sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(micros(duration)))
    }
}

/// Returns the microseconds of a duration, or the largest number if there are more.
const fn micros(duration: Duration) -> u64 {
    let micros = duration.as_micros();
    if micros > u64::MAX as u128 { u64::MAX } else { micros as u64 }
}

impl Add<Duration> for TimePoint {
    type Output = Self;

    fn add(self, delay: Duration) -> Self {
        Self(self.0.saturating_add(micros(delay)))
    }
}

impl Sub for TimePoint {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.since(earlier)
    }
}
