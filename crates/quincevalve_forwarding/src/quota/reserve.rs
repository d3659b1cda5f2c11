//! Order in which a quota owner admits requests: by urgency and size, without chance.

use std::time::Duration;

use quincevalve_names::{TimePoint, seconds};

use super::bucket::{BucketParameters, QuotaRequest, SMALL_REQUEST_DEBT_FRACTION};
use crate::rate::Rate;

/// Fraction of the tolerance, overage and slack together, that an owner grants. The remainder covers spending that
/// other VMs decided and the owner doesn't know of yet.
pub(super) const OWNER_TOLERANCE_FRACTION: f64 = 0.7;
/// Fraction of the bucket's burst below which the largest and least urgent requests are rejected.
const MAX_RESERVE_FRACTION: f64 = 0.5;
/// Fraction of the bucket's burst from which on a request counts as large.
const LARGE_REQUEST_FRACTION: f64 = 0.025;
/// Time for which a rejected request counts as waiting: its caller is expected to return within it.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Number of urgencies for which rejected requests are counted separately; less urgent ones count as the last.
const URGENCIES: usize = 4;
/// Range of the times after which callers are told to retry, in seconds. Callers honour no longer times.
const RETRY_AFTER_RANGE: (f64, f64) = (0.05, 10.0);
/// Fraction by which the time to retry varies in either direction, so that rejected callers don't return together.
const RETRY_AFTER_JITTER: f64 = 0.25;

/// Exponent by which the debt of small requests falls with their size, so that it favours only the smallest.
const SMALL_DEBT_EXPONENT: i32 = 4;

/// Returns the level above which an owner admits a request. It rises with the size and with lower urgency, so that
/// large requests that are not urgent are rejected first and leave the remainder to the others.
pub(super) fn reserve(request: QuotaRequest, quota: &BucketParameters) -> f64 {
    let size = (request.cost / (LARGE_REQUEST_FRACTION * quota.burst).max(1.0)).min(1.0);
    let urgency = f64::from(request.urgency);
    let weight = urgency / (1.0 + urgency);
    let bottom = -quota.owner_debt;
    let small_debt =
        SMALL_REQUEST_DEBT_FRACTION * quota.ramp_width * (1.0 - size).powi(SMALL_DEBT_EXPONENT);
    bottom + (MAX_RESERVE_FRACTION * quota.burst - bottom) * weight * size - small_debt
}

/// Requests that an owner rejected recently and whose callers are expected to return.
#[derive(Clone, Copy, Debug)]
pub(super) struct RejectedRequests {
    by_urgency: [Rate; URGENCIES],
}

impl RejectedRequests {
    pub(super) fn new(now: TimePoint) -> Self {
        Self { by_urgency: [Rate::new(RETURN_TIME, now); URGENCIES] }
    }

    /// Records a rejected request and returns when its caller should retry: once `missing` units and the cost of the
    /// rejected requests that are at least as urgent have been refilled at `per_second`. `draw` is a random number from
    /// 0 to 1.
    pub(super) fn retry_after(
        &mut self,
        request: QuotaRequest,
        missing: f64,
        per_second: f64,
        draw: f64,
        now: TimePoint,
    ) -> Duration {
        let urgency = usize::from(request.urgency).min(URGENCIES - 1);
        let waiting = |it: &Rate| it.per_second(now) * RETURN_TIME.as_secs_f64();
        let ahead: f64 = self.by_urgency.iter().take(urgency + 1).map(waiting).sum();
        if let Some(rate) = self.by_urgency.get_mut(urgency) {
            rate.add(request.cost, now);
        }
        let wait = (missing + ahead) / per_second.max(1.0);
        let jitter = 1.0 + RETRY_AFTER_JITTER * (2.0 * draw - 1.0);
        let (min, max) = RETRY_AFTER_RANGE;
        seconds((wait * jitter).max(min).min(max))
    }
}
