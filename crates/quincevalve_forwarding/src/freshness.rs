//! How old the newest proof is that nothing has changed unseen.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// Knows when the configuration was last proved to be the newest.
///
/// Failure: an entry VM is cut off from the store while an operator takes a key away. Symptom: the key
/// goes on working there. A proof counts from when its question was *sent*, on a clock that counts
/// suspension, so its age is never understated; past the limit requests with keys are refused.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use quincevalve_forwarding::freshness::Freshness;
/// use quincevalve_names::TimePoint;
/// let mut freshness = Freshness::default();
/// assert!(!freshness.is_within(Duration::from_secs(4), TimePoint::ZERO));
/// freshness.proved(TimePoint::from_millis(100), TimePoint::from_millis(104));
/// assert!(freshness.is_within(Duration::from_secs(4), TimePoint::from_millis(4_100)));
/// assert!(!freshness.is_within(Duration::from_secs(4), TimePoint::from_millis(4_101)));
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Freshness {
    newest: Option<TimePoint>,
}

impl Freshness {
    /// Takes the answer to a question that was sent at `asked`.
    ///
    /// Failure: a VM starts again, its clock begins anew, and a peer echoes what its last start had sent.
    /// Symptom: the proof lies in the future and stays fresh for minutes, while the VM serves what has long
    /// changed. A question that was not sent yet proves nothing.
    pub fn proved(&mut self, asked: TimePoint, now: TimePoint) {
        if asked <= now {
            self.newest = self.newest.max(Some(asked));
        }
    }

    /// The age of the newest proof; `None` if there never was one.
    pub fn age(&self, now: TimePoint) -> Option<Duration> {
        self.newest.map(|it| now.since(it))
    }

    /// Whether the newest proof is at most `limit` old.
    pub fn is_within(&self, limit: Duration, now: TimePoint) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
