//! The token bucket of one account at one VM, and the level to which requests are admitted from it.

use std::time::Duration;

use quincevalve_names::TimePoint;

use super::reserve::{OWNER_TOLERANCE_FRACTION, RejectedRequests};
use crate::{
    config::{Quota, QuotaUnit},
    rate::Rate,
};

/// Fraction of its rate above which the known spending of all VMs makes an account contended.
const CONTENDED_RATE_FRACTION: f64 = 0.8;
/// Fraction of the bucket's burst below which the level makes an account contended.
const CONTENDED_LEVEL_FRACTION: f64 = 0.5;
/// Time for which an account stays contended, so that its decisions don't move between VMs with each digest.
const CONTENTION_HOLD: Duration = Duration::from_secs(2);
/// Longest time between two applications of reports in normal operation; they are applied several times a second.
pub(super) const MAX_REPORT_GAP: Duration = Duration::from_millis(500);
/// Delay from the admission of a request on another VM to its report here, in seconds: three digest intervals of a
/// large system, plus the averaging time of the rate.
pub(super) const REPORT_DELAY_S: f64 = 0.45;
/// Time constant of a VM's own spending rate. Two digest intervals, so that a lost digest changes little, and short
/// compared with the windows over which quotas are counted.
pub(super) const SPENDING_TIME_CONSTANT: Duration = Duration::from_millis(250);
/// Maximum debt of an account, in bursts. The bound keeps a short period of spending on other VMs from locking the
/// account out.
const MAX_DEBT_BURSTS: f64 = 3.0;
/// Fraction of the burst over which requests are admitted by chance, with lower probability the less is left.
///
/// With a sharp threshold, all VMs would open and close together, one digest interval late, and alternately admit twice
/// the quota. The ramp covers a fraction of the burst alone: if it also covered the tolerance, it would reject requests
/// of accounts that keep to their quotas.
const RAMP_FRACTION: f64 = 0.5;
/// Factor by which the ramp is wider for large requests.
///
/// If an account exceeds its quota several times over for some seconds and all requests had the same probability, most
/// of its callers would be rejected because of a few long prompts, each of which costs as much as dozens of short
/// calls. Large requests are rejected first, so that the remaining units serve the many small ones. The wider ramp also
/// makes VMs whose reports arrive late approach the threshold slowly.
const LARGE_RAMP_FACTOR: f64 = 1.3;
/// Fraction of the burst from which on a request counts as large.
const LARGE_REQUEST_FRACTION: f64 = 0.002;
/// Factor on the ramp for the most urgent requests, relative to others of the same size.
const URGENT_RAMP_FACTOR: f64 = 0.5;
/// Fraction of the ramp by which the bucket may be below empty when the smallest requests are admitted. They cost next
/// to nothing, and the larger requests compensate for them.
pub(super) const SMALL_REQUEST_DEBT_FRACTION: f64 = 0.5;

/// A request's demand on its account's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRequest {
    /// Units that the request costs.
    pub cost: f64,
    /// Urgency; 0 is the most urgent.
    pub urgency: u8,
}

impl QuotaRequest {
    /// Returns the bucket levels between which the request is admitted by chance: below them never, above them always.
    pub(super) fn ramp_bounds(self, quota: &BucketParameters) -> (f64, f64) {
        let Some(large_cost) = quota.large_cost else { return (0.0, quota.ramp_width) };
        let size = (self.cost / large_cost).min(1.0);
        let urgency = if self.urgency == 0 { URGENT_RAMP_FACTOR } else { 1.0 };
        let bottom = -SMALL_REQUEST_DEBT_FRACTION * quota.ramp_width * (1.0 - size);
        // A VM that has just started admits any request of an account that keeps to its quota.
        let max_top = (INITIAL_FRACTION * quota.burst).max(quota.ramp_width);
        (bottom, (quota.ramp_width * LARGE_RAMP_FACTOR).min(max_top) * size * urgency)
    }
}

/// Fraction of the burst with which a VM starts.
///
/// If VMs started with the whole burst, an account that exceeds its quota many times over would get an additional burst
/// at each restart of a VM. The top of the ramp admits accounts that keep to their quota immediately, and the rate
/// fills the rest.
const INITIAL_FRACTION: f64 = RAMP_FRACTION;

/// Fraction of the burst that is granted as a higher rate, spread over the window in which quotas are counted.
///
/// A plain bucket grants the burst only once: of an account that permanently sends half more than its rate, a third of
/// the requests would be rejected although no window holds more than rate and burst allow. This fraction and
/// [`INSTANT_BURST_FRACTION`] together don't exceed the burst, so no window holds more than rate and burst allow.
const SPREAD_FRACTION: f64 = 0.5;
/// Fraction of the burst that may be used at once. The remainder covers spending that is reported late.
const INSTANT_BURST_FRACTION: f64 = 0.5;

/// How quotas are counted over all entry VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaLimits {
    /// Window over which quotas are counted; zero if only the rate counts.
    pub window: Duration,
    /// Tolerated excess, as a fraction of what a window allows.
    pub overage: f64,
    /// Tolerated excess per window beyond that, in units.
    pub slack: f64,
}

/// Fraction of the tolerance, overage and slack together, that is granted to callers.
///
/// Reports of spending arrive late, so no VM knows an account's bucket exactly. Without the tolerance, the ramp would
/// reject bursts of requests of accounts that keep to their quota while there are units left in the bucket. The other
/// half covers spending that is reported late.
const USED_TOLERANCE_FRACTION: f64 = 0.5;

/// Rate and burst of a bucket that admits at most what a quota allows in any window.
#[derive(Clone, Copy, Debug)]
pub(super) struct BucketParameters {
    pub(super) per_second: f64,
    pub(super) burst: f64,
    /// Level up to which requests are admitted by chance.
    pub(super) ramp_width: f64,
    /// Cost of a large request; `None` if all requests cost the same.
    pub(super) large_cost: Option<f64>,
    /// Units below zero down to which an owner admits requests: the part of the tolerance that only owners grant.
    pub(super) owner_debt: f64,
}

impl BucketParameters {
    pub(super) fn new(quota: &Quota, limits: &QuotaLimits) -> Self {
        let window = limits.window.as_secs_f64();
        let large_cost = match quota.unit {
            QuotaUnit::Requests => None,
            QuotaUnit::Tokens { .. } => Some(LARGE_REQUEST_FRACTION * quota.burst),
        };
        if limits.window.is_zero() {
            let ramp_width = RAMP_FRACTION * quota.burst;
            return Self {
                per_second: quota.per_second,
                burst: quota.burst,
                ramp_width,
                large_cost,
                owner_debt: 0.0,
            };
        }
        let spread_rate = SPREAD_FRACTION * quota.burst / window;
        let window_total = quota.per_second * window + quota.burst;
        let tolerance = limits.overage * window_total + limits.slack;
        let tolerated = USED_TOLERANCE_FRACTION * tolerance;
        let instant_burst = INSTANT_BURST_FRACTION * quota.burst;
        let ramp_width = RAMP_FRACTION * instant_burst;
        Self {
            per_second: quota.per_second + spread_rate,
            burst: instant_burst + tolerated,
            ramp_width,
            large_cost,
            owner_debt: (OWNER_TOLERANCE_FRACTION - USED_TOLERANCE_FRACTION) * tolerance,
        }
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    pub(super) level: f64,
    pub(super) updated_at: TimePoint,
    /// Units that this VM admitted recently.
    pub(super) own_rate: Rate,
    /// Units per second that other VMs admit, according to their latest reports.
    pub(super) peer_spending: f64,
    /// Burst of the quota for which `level` was computed.
    pub(super) burst: f64,
    /// Time until which the account counts as contended.
    pub(super) contended_until: Option<TimePoint>,
    /// Requests that this VM rejected as the account's owner.
    pub(super) rejected: RejectedRequests,
}

impl Bucket {
    pub(super) fn new(quota: &BucketParameters, since: TimePoint) -> Self {
        let burst = quota.burst;
        let own_rate = Rate::new(SPENDING_TIME_CONSTANT, since);
        Self {
            level: INITIAL_FRACTION * burst,
            updated_at: since,
            own_rate,
            peer_spending: 0.0,
            burst,
            contended_until: None,
            rejected: RejectedRequests::new(since),
        }
    }

    /// Applies a changed quota. Spending under the old quota is no debt under the new one.
    pub(super) fn apply_quota_change(&mut self, quota: &BucketParameters) {
        if quota.burst.total_cmp(&self.burst).is_ne() {
            self.burst = quota.burst;
            self.level = self.level.max(0.0).min(quota.burst.max(0.0));
        }
    }

    /// Computes the level at `now` from the rate and the reported spending of other VMs.
    ///
    /// When a collector restarts, nobody receives reports of its members' spending for a second, and an account could
    /// get up to a second of its whole rate more from each VM. The last reported spending therefore counts until a new
    /// report arrives or the spending VM counts as unreachable; after that, only a fraction of the rate is used.
    pub(super) fn refill(
        &mut self,
        quota: &BucketParameters,
        reachable_fraction: f64,
        now: TimePoint,
    ) {
        self.level = self.level_at(quota, reachable_fraction, now);
        self.updated_at = now;
    }

    /// Returns the level at `now`.
    pub(super) fn level_at(
        &self,
        quota: &BucketParameters,
        reachable_fraction: f64,
        now: TimePoint,
    ) -> f64 {
        let mut elapsed = now.since(self.updated_at);
        if self.was_contended_at(self.updated_at) {
            // A VM that was frozen doesn't know what the others spent meanwhile.
            elapsed = elapsed.min(MAX_REPORT_GAP);
        }
        let seconds = elapsed.as_secs_f64();
        let gain = quota.per_second * reachable_fraction - self.peer_spending;
        let max_level = quota.burst * reachable_fraction;
        // A large request of this VM may have caused a larger debt.
        let min_level = self.level.min(-quota.burst * MAX_DEBT_BURSTS);
        (self.level + gain * seconds).min(max_level).max(min_level)
    }

    pub(super) fn was_contended_at(&self, at: TimePoint) -> bool {
        self.contended_until.is_some_and(|it| at < it)
    }

    /// Keeps this side's share of a contended account's level when contact to other VMs is lost.
    ///
    /// Both sides of a partition know the same level, and the lost VMs' spending, which no longer arrives, continues
    /// within their share. If each side kept the whole level and added all that was subtracted in advance for that
    /// spending, the account would get both twice.
    pub(super) fn keep_share(&mut self, level_before: f64, share: f64) {
        self.level = self.level.min(level_before + (self.level - level_before).max(0.0) * share);
        if self.level > 0.0 {
            self.level *= share;
        }
    }

    /// Records whether the account is near its limit: by the spending of all VMs, at `rate` units per second, or by the
    /// level.
    pub(super) fn update_contention(
        &mut self,
        rate: f64,
        quota: &BucketParameters,
        reachable_fraction: f64,
        now: TimePoint,
    ) {
        let spending = self.peer_spending + self.own_rate.per_second(now);
        let level = self.level_at(quota, reachable_fraction, now);
        if spending > CONTENDED_RATE_FRACTION * rate * reachable_fraction
            || level < CONTENDED_LEVEL_FRACTION * quota.burst * reachable_fraction
        {
            self.contended_until = Some(now + CONTENTION_HOLD);
        }
    }

    /// Raises the level when a VM first receives the reports of the others, which currently spend `peer_spending`.
    ///
    /// When all VMs restart together, each grants only its own share of the quota until the first reports arrive. The
    /// first request uses that share up, and accounts well below their quotas would be rejected for a second. The
    /// initial units that this VM couldn't grant alone are therefore added once it is one of many; for an account that
    /// already spends its whole rate, none are.
    pub(super) fn raise_initial_level(&mut self, quota: &BucketParameters, peer_spending: f64) {
        let unspent = (1.0 - peer_spending / quota.per_second.max(1.0)).max(0.0);
        self.level = self.level.max(INITIAL_FRACTION * quota.burst * unspent);
    }

    /// Applies the current spending of the other VMs.
    ///
    /// When an account starts to exceed its quota many times over on many VMs, all of them admit its requests until the
    /// first reports arrive, and again whenever the bucket fills. An increase of the others' spending therefore also
    /// counts for the time in which it was not yet reported.
    pub(super) fn apply_peer_spending(&mut self, peer_spending: f64, max_level: f64) {
        self.level =
            (self.level - (peer_spending - self.peer_spending) * REPORT_DELAY_S).min(max_level);
        self.peer_spending = peer_spending;
    }

    pub(super) fn spend(&mut self, cost: f64, now: TimePoint) {
        self.level -= cost;
        self.own_rate.add(cost, now);
    }
}
