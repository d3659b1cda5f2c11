//! Timing of a promotion, in which a good version takes over the traffic.

use std::time::Duration;

use quincevalve_names::Scaled;

/// Fraction of an order's duration that the promotion may take. A longer promotion lets more streams end at the servers
/// where they run, but shortens the canary.
const PROMOTION_FRACTION: f64 = 0.17;
/// Minimum and maximum length of a promotion of model engines.
const ENGINE_PROMOTION_BOUNDS: (Duration, Duration) =
    (Duration::from_secs(2), Duration::from_millis(3_600));
/// Minimum and maximum length of a promotion of plain services, whose requests take only milliseconds.
const PLAIN_PROMOTION_BOUNDS: (Duration, Duration) =
    (Duration::from_millis(1_200), Duration::from_millis(1_700));
/// Fraction of a promotion in which the new version's share rises to all requests.
const RAMP_FRACTION: f64 = 0.45;
/// Fraction of a promotion after which old servers are expected to stop.
const OLD_SERVERS_STAY_FRACTION: f64 = 0.95;
/// Fraction of an order's duration that is reserved for a slow store and a change of holder.
const RESERVE_FRACTION: f64 = 0.05;
/// Minimum and maximum reserve.
const RESERVE_BOUNDS: (Duration, Duration) = (Duration::from_millis(300), Duration::from_secs(3));
/// Minimum fraction of a promotion's length that must remain for it to succeed.
const MIN_PROMOTION_FRACTION: f64 = 0.8;

/// The times of one promotion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promotion {
    /// Time from the beginning of the promotion to its completion, when old servers may stop.
    pub total: Duration,
    /// Time from the beginning of the promotion until the new version gets all requests.
    pub ramp: Duration,
    /// Time from the beginning of the promotion until old servers are expected to stop. Streams are migrated shortly
    /// before.
    pub old_servers_stay: Duration,
    /// Time reserved at the end of the order's duration.
    pub reserve: Duration,
}

impl Promotion {
    /// Returns the times for an order of that duration.
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
        let (min, max) = if has_engines { ENGINE_PROMOTION_BOUNDS } else { PLAIN_PROMOTION_BOUNDS };
        let total = duration.scaled(PROMOTION_FRACTION).max(min).min(max);
        let (min_reserve, max_reserve) = RESERVE_BOUNDS;
        Self {
            total,
            ramp: total.scaled(RAMP_FRACTION),
            old_servers_stay: total.scaled(OLD_SERVERS_STAY_FRACTION),
            reserve: duration.scaled(RESERVE_FRACTION).max(min_reserve).min(max_reserve),
        }
    }

    /// Returns how long before the deadline the promotion of a good version begins.
    pub fn lead_time(&self) -> Duration {
        self.total + self.reserve
    }

    /// Returns how long before the deadline a promotion may begin at the latest.
    pub fn min_lead_time(&self) -> Duration {
        self.total.scaled(MIN_PROMOTION_FRACTION)
    }
}
