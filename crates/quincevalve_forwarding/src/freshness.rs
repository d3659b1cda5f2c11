//! How old the newest proof is that nothing has changed unseen.

use std::time::Duration;

use quincevalve_names::TimePoint;

/// Part of a limit within which a proof is used: the rest is for the way of the request from its caller to here.
const USED_PART: f64 = 0.85;
/// Part of a limit within which there is a new proof as long as all is well: proofs are renewed twice a second, and a VM
/// that is told nothing reads the store at two fifths of it. From here to the end of their use the platform has
/// two seconds to send callers elsewhere.
const LOSING_PART: f64 = 0.45;

/// How far a VM is in touch with what changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Touch {
    /// It has a new proof.
    Kept,
    /// It can still serve, and will have to refuse soon.
    ///
    /// Failure: a VM loses touch with the store and its peers. Symptom: callers go on being sent to it until it must
    /// refuse them, and for the two seconds that the platform takes to notice. It says that it isn't ready
    /// while it can still serve.
    Losing,
    /// What it knows may have changed too long ago.
    Lost,
}

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

    /// What a proof of that age lets a VM do, where nothing may be served `limit` after it has changed.
    pub fn touch(&self, limit: Duration, now: TimePoint) -> Touch {
        if self.is_within(limit.mul_f64(LOSING_PART), now) {
            Touch::Kept
        } else if self.is_within(limit.mul_f64(USED_PART), now) {
            Touch::Losing
        } else {
            Touch::Lost
        }
    }

    /// Whether the newest proof is at most `limit` old.
    pub fn is_within(&self, limit: Duration, now: TimePoint) -> bool {
        self.age(now).is_some_and(|age| age <= limit)
    }
}
