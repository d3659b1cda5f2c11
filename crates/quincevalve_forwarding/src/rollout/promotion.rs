//! How a good version takes the traffic over, and how long that takes.

use std::time::Duration;

/// The part of an order's time that the promotion may take, and its bounds: the longer it is, the more streams end
/// where they run, and the shorter the canary.
const PART: f64 = 0.17;
const OF_ENGINES: (Duration, Duration) = (Duration::from_secs(2), Duration::from_millis(3_600));
/// Requests of plain services take milliseconds.
const OF_PLAIN: (Duration, Duration) = (Duration::from_millis(1_200), Duration::from_millis(1_700));
/// The part of a promotion in which the share rises to all.
const RAMP_PART: f64 = 0.45;
/// The part after which old servers are expected to stop.
const OLD_SERVERS_PART: f64 = 0.95;
/// The part of an order's time that is kept for a slow store and a change of holder, and its bounds.
const RESERVE_PART: f64 = 0.05;
const RESERVE: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(3));
/// The part of a promotion in which it can still succeed.
const LEAST_PART: f64 = 0.8;

/// The times of one promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promotion {
    /// From its beginning to the word that the old servers may stop.
    pub total: Duration,
    /// From its beginning until the new version gets all requests.
    pub ramp: Duration,
    /// From its beginning until old servers are expected to stop; streams are moved shortly before.
    pub old_servers_stay: Duration,
    /// What is kept at the end of the order's time.
    pub reserve: Duration,
}

impl Promotion {
    /// The times for an order of that duration.
    ///
    /// # Examples
    ///
    /// ```
    /// use std::time::Duration;
    /// use quincevalve_forwarding::rollout::promotion::Promotion;
    /// let promotion = Promotion::of(Duration::from_secs(60), true);
    /// assert!(promotion.ramp < promotion.old_servers_stay);
    /// assert!(promotion.old_servers_stay < promotion.total);
    /// ```
    pub fn of(duration: Duration, has_engines: bool) -> Self {
        let (least, most) = if has_engines { OF_ENGINES } else { OF_PLAIN };
        let total = duration.mul_f64(PART).clamp(least, most);
        let (least_reserve, most_reserve) = RESERVE;
        Self {
            total,
            ramp: total.mul_f64(RAMP_PART),
            old_servers_stay: total.mul_f64(OLD_SERVERS_PART),
            reserve: duration.mul_f64(RESERVE_PART).clamp(least_reserve, most_reserve),
        }
    }

    /// How long before the deadline a good version is promoted.
    pub fn begins_before(&self) -> Duration {
        self.total + self.reserve
    }

    /// How long before the deadline it is too late for it.
    pub fn too_late_before(&self) -> Duration {
        self.total.mul_f64(LEAST_PART)
    }
}
