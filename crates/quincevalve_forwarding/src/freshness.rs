//! Age of the newest freshness confirmation: the proof that nothing newer than the known configuration exists.

use std::time::Duration;

use quincevalve_names::{Scaled, TimePoint};

/// Fraction of a limit for which a confirmation is used; the rest covers the time that a request takes from its caller
/// to this VM.
const USABLE_FRACTION: f64 = 0.85;
/// Fraction of a limit within which a new confirmation arrives in normal operation: confirmations are renewed twice a
/// second, and a VM that receives no reports reads the store at two fifths of the limit. Between this age and the end
/// of their use, the platform has two seconds to route callers to other VMs.
const FRESH_FRACTION: f64 = 0.45;

/// What the age of the newest freshness confirmation allows a VM to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FreshnessState {
    /// The confirmation is recent.
    Fresh,
    /// The VM still serves requests, but will soon have to reject them.
    ///
    /// The platform takes two seconds to notice that a VM isn't ready. A VM that loses contact with the store and its
    /// peers would get requests until it must reject them and for two seconds more. It therefore reports that it isn't
    /// ready while it can still serve.
    Expiring,
    /// The known configuration may have been replaced too long ago.
    Expired,
}

/// Tracks when the configuration was last confirmed to be the newest.
///
/// An entry VM that is cut off from the store while an operator revokes an API key would continue to accept that key. A
/// confirmation's age counts from when its request was *sent*, on a clock that also advances while the machine is
/// suspended, so the age is never underestimated; past the limit, requests with API keys are rejected.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::freshness::Freshness;
/// use quincevalve_names::TimePoint;
/// let mut freshness = Freshness::default();
/// assert!(!freshness.is_within(Duration::from_secs(4), TimePoint::ZERO));
/// freshness.record_confirmation(TimePoint::from_millis(100), TimePoint::from_millis(104));
/// assert!(freshness.is_within(Duration::from_secs(4), TimePoint::from_millis(4_100)));
/// assert!(!freshness.is_within(Duration::from_secs(4), TimePoint::from_millis(4_101)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    newest: Option<TimePoint>,
}

impl Freshness {
    /// Records the answer to a request that was sent at `sent_at`. Ignores it if `sent_at` is in the future.
    ///
    /// After a restart, a VM's clock starts anew, and a peer may echo a time that the previous incarnation sent. Such a
    /// confirmation would lie in the future and stay fresh for minutes, while the VM serves an outdated configuration.
    pub fn record_confirmation(&mut self, sent_at: TimePoint, now: TimePoint) {
        if sent_at <= now {
            self.newest = self.newest.max(Some(sent_at));
        }
    }

    /// Returns the time of the newest confirmation, or `None` if there never was one.
    pub fn confirmed_at(&self) -> Option<TimePoint> {
        self.newest
    }

    /// Returns the age of the newest confirmation, or `None` if there never was one.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.newest.map(|it| now.since(it))
    }

    /// Returns the state for a limit: nothing may be served later than `limit` after it was replaced.
    pub fn state(&self, limit: Duration, now: TimePoint) -> FreshnessState {
        if self.is_within(limit.scaled(FRESH_FRACTION), now) {
            FreshnessState::Fresh
        } else if self.is_within(limit.scaled(USABLE_FRACTION), now) {
            FreshnessState::Expiring
        } else {
            FreshnessState::Expired
        }
    }

    /// Returns whether the newest confirmation is at most `limit` old.
    pub fn is_within(&self, limit: Duration, now: TimePoint) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
