//! Conversions to durations that never panic.

use std::time::Duration;

/// Longest duration that a number becomes, in seconds: about 30 years, which every clock can add to the present.
const MAX_SECONDS: f64 = 1e9;

/// Returns the duration of a number of seconds.
///
/// A negative number, or none, is no time; one that is too large is the longest time. The numbers come from outside, or
/// from sums and quotients of such numbers.
///
/// ```
/// use std::time::Duration;
/// use quincevalve_names::seconds;
/// assert_eq!(seconds(1.5), Duration::from_millis(1_500));
/// assert_eq!(seconds(f64::NAN), Duration::ZERO);
/// assert_eq!(seconds(f64::INFINITY), Duration::from_secs(1_000_000_000));
/// ```
pub fn seconds(number: f64) -> Duration {
    Duration::try_from_secs_f64(number.max(0.0).min(MAX_SECONDS)).unwrap_or_default()
}

/// Products of durations and fractions.
pub trait Scaled {
    /// Returns the duration times `factor`, bounded as by [`seconds`].
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_names::Scaled;
    /// assert_eq!(Duration::from_secs(3).scaled(0.5), Duration::from_millis(1_500));
    /// ```
    fn scaled(self, factor: f64) -> Duration;
}

impl Scaled for Duration {
    fn scaled(self, factor: f64) -> Duration {
        seconds(self.as_secs_f64() * factor)
    }
}
