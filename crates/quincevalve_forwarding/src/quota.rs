//! Quotas of accounts over all entry VMs together.

mod bucket;
pub mod messages;
pub mod owner;
pub mod queries;
mod reserve;

use std::{collections::HashMap, time::Duration};

use quincevalve_names::{ClientAccountName, TimePoint, seconds};
use serde::{Deserialize, Serialize};

pub use self::bucket::{QuotaLimits, QuotaRequest};
use self::{
    bucket::{Bucket, BucketParameters, MAX_REPORT_GAP, REPORT_DELAY_S, SPENDING_TIME_CONSTANT},
    reserve::reserve,
};
use crate::{
    config::{ForwardingConfig, Quota, QuotaUnit},
    sums::Spending,
};

/// Returns the units that a request costs: the prompt plus the maximum number of generated tokens, for a quota in
/// tokens.
pub fn cost(quota: &Quota, tokens: Option<(u32, u32)>) -> f64 {
    match (quota.unit, tokens) {
        (QuotaUnit::Requests, _) => 1.0,
        (QuotaUnit::Tokens { .. }, Some((prompt, max_tokens))) => {
            f64::from(prompt) + f64::from(max_tokens)
        }
        (QuotaUnit::Tokens { default_tokens }, None) => f64::from(default_tokens),
    }
}

/// Rejection of a request because its account exceeds the quota.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct OverQuota {
    /// Time until the account's bucket has enough units again, at its rate.
    pub retry_after: Duration,
    /// Units in the bucket.
    pub level: f64,
    /// Units per second that other VMs admit, according to their latest reports.
    pub peer_spending: f64,
}

/// Token buckets of all accounts, shared by all entry VMs.
///
/// Each VM admits requests against the whole quota, less its own spending and the spending that the others report
/// several times per second. Reports contain rates instead of totals: rates can be added up on any path of aggregation,
/// and a lost or duplicated digest or a restart of a VM leaves no lasting error. VMs that can't reach each other each
/// use only the fraction of the rate for the VMs that they can reach, so the sum stays below the quota on both sides of
/// a partition.
#[derive(Clone, Debug)]
pub struct QuotaTable {
    limits: QuotaLimits,
    started_at: TimePoint,
    reachable_fraction: f64,
    /// Whether nearly all other VMs have been in contact since this VM started.
    has_peer_contact: bool,
    /// When the spending of other VMs was last applied.
    applied_at: Option<TimePoint>,
    /// When it was applied again after a gap.
    resumed_at: Option<TimePoint>,
    buckets: HashMap<ClientAccountName, Bucket>,
}

impl QuotaTable {
    /// Creates the table of a VM that starts at `now`. In any window, an account gets at most its rate, its burst and a
    /// fraction of the tolerance.
    pub fn new(limits: QuotaLimits, now: TimePoint) -> Self {
        Self {
            limits,
            started_at: now,
            reachable_fraction: 1.0,
            has_peer_contact: false,
            applied_at: None,
            resumed_at: None,
            buckets: HashMap::new(),
        }
    }

    /// Admits a request and charges its cost to the account's bucket, or rejects it.
    ///
    /// A request is admitted while the bucket is above zero and may make it negative; later requests pay the debt back.
    /// Near zero, `draw`, a random number from 0 to 1, decides: larger and less urgent requests are rejected earlier.
    pub fn try_spend(
        &mut self,
        account: &ClientAccountName,
        quota: &Quota,
        request: QuotaRequest,
        draw: f64,
        now: TimePoint,
    ) -> Result<(), OverQuota> {
        let reachable_fraction = self.reachable_fraction;
        let quota = &BucketParameters::new(quota, &self.limits);
        let bucket = self.refilled_bucket(account, quota, now);
        let level = bucket.level;
        let (bottom, top) = request.ramp_bounds(quota);
        if level <= (bottom + draw * (top - bottom)) * reachable_fraction {
            let rate = quota.per_second * reachable_fraction;
            let wait = (top - level) / rate.max(1.0);
            let retry_after = seconds(wait.max(0.05).min(10.0));
            return Err(OverQuota { retry_after, level, peer_spending: bucket.peer_spending });
        }
        bucket.spend(request.cost, now);
        Ok(())
    }

    /// Returns an account's bucket with its level at `now`.
    ///
    /// The burst is divided like the rate: if each side of a partition granted the whole burst, an account that exceeds
    /// its quota many times over would get most of it there.
    fn refilled_bucket(
        &mut self,
        account: &ClientAccountName,
        quota: &BucketParameters,
        now: TimePoint,
    ) -> &mut Bucket {
        let since = self.started_at;
        let bucket = self.buckets.entry(account.clone()).or_insert(Bucket::new(quota, since));
        bucket.apply_quota_change(quota);
        bucket.refill(quota, self.reachable_fraction, now);
        bucket
    }

    /// Returns whether the quota can be decided by one VM for all: quotas in tokens that are counted over a window.
    pub fn is_coordinated(&self, quota: &Quota) -> bool {
        matches!(quota.unit, QuotaUnit::Tokens { .. }) && !self.limits.window.is_zero()
    }

    /// Returns whether an account is near its limit, so that one VM should decide on its requests for all VMs.
    ///
    /// An account without spending isn't contended, and this changes nothing of it.
    pub fn is_contended(
        &mut self,
        account: &ClientAccountName,
        quota: &Quota,
        now: TimePoint,
    ) -> bool {
        if !self.is_coordinated(quota) {
            return false;
        }
        let Some(bucket) = self.buckets.get_mut(account) else { return false };
        let parameters = &BucketParameters::new(quota, &self.limits);
        bucket.update_contention(quota.per_second, parameters, self.reachable_fraction, now);
        bucket.was_contended_at(now)
    }

    /// Returns whether this VM knows enough of the other VMs' spending to decide for them. A VM that has just started,
    /// was frozen, or has just received its first configuration, has received no reports yet.
    pub fn can_own(&self, now: TimePoint) -> bool {
        let is_current = self.applied_at.is_some_and(|it| now.since(it) <= MAX_REPORT_GAP);
        let has_resumed = self.resumed_at.is_none_or(|it| now.since(it) >= RESUME_DELAY);
        let has_started = self.has_peer_contact || now.since(self.started_at) >= OWNER_START_DELAY;
        is_current && has_resumed && has_started
    }

    /// Decides on a request of any VM as the account's owner, and charges its cost to this VM's bucket.
    ///
    /// All requests of the account come here, so the level is exact and no chance is needed: a request is admitted
    /// while the level is above a reserve that rises with its size and with lower urgency. `draw`, a random number from
    /// 0 to 1, varies the time to retry.
    pub fn try_spend_as_owner(
        &mut self,
        account: &ClientAccountName,
        quota: &Quota,
        request: QuotaRequest,
        draw: f64,
        now: TimePoint,
    ) -> Result<(), OverQuota> {
        let reachable_fraction = self.reachable_fraction;
        let quota = &BucketParameters::new(quota, &self.limits);
        let bucket = self.refilled_bucket(account, quota, now);
        // The other VMs query the owner instead of spending, so what they report is spending that decays. Its remainder
        // is less than what was subtracted in advance for unreported spending.
        let unspent =
            bucket.peer_spending * (REPORT_DELAY_S - SPENDING_TIME_CONSTANT.as_secs_f64()).max(0.0);
        let level = bucket.level + unspent;
        let reserve = reserve(request, quota) * reachable_fraction;
        if level <= reserve {
            let rate = quota.per_second * reachable_fraction;
            let retry_after =
                bucket.rejected.retry_after(request, reserve - level, rate, draw, now);
            return Err(OverQuota { retry_after, level, peer_spending: bucket.peer_spending });
        }
        bucket.spend(request.cost, now);
        Ok(())
    }

    /// Decides on a request of a contended account whose owner doesn't answer: as [`Self::try_spend`], except that
    /// urgent and small requests may use the part of the tolerance that is kept for this.
    pub fn try_spend_without_owner(
        &mut self,
        account: &ClientAccountName,
        quota: &Quota,
        request: QuotaRequest,
        draw: f64,
        now: TimePoint,
    ) -> Result<(), OverQuota> {
        let refused = match self.try_spend(account, quota, request, draw, now) {
            Ok(()) => return Ok(()),
            Err(over) => over,
        };
        let parameters = &BucketParameters::new(quota, &self.limits);
        let reserve = reserve(request, parameters);
        let Some(bucket) = self.buckets.get_mut(account) else { return Err(refused) };
        if reserve >= 0.0 || bucket.level <= reserve * self.reachable_fraction {
            return Err(refused);
        }
        bucket.spend(request.cost, now);
        Ok(())
    }

    /// Refunds the cost of a request that was rejected later and has not run.
    pub fn refund(&mut self, account: &ClientAccountName, cost: f64, now: TimePoint) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.spend(-cost, now);
        }
    }

    /// Returns the units per second that this VM admits, by account, to report them to its peers.
    pub fn spending(&self, now: TimePoint) -> impl Iterator<Item = (ClientAccountName, f64)> {
        let own_rate = move |it: &Bucket| it.own_rate.per_second(now);
        let all = self.buckets.iter().map(move |(account, it)| (account.clone(), own_rate(it)));
        all.filter(|(_, spending)| spending.abs() >= MIN_REPORTED_SPENDING)
    }

    /// Applies the current spending of all other VMs, in units per second. `reachable_fraction` is the fraction of the
    /// entry VMs that the report covers, including this one.
    pub fn set_peer_spending(
        &mut self,
        spending: &Spending,
        reachable_fraction: f64,
        config: &ForwardingConfig,
        now: TimePoint,
    ) {
        if self.applied_at.is_some_and(|it| now.since(it) > MAX_REPORT_GAP) {
            self.resumed_at = Some(now);
        }
        self.applied_at = Some(now);
        let is_first_contact = !self.has_peer_contact && reachable_fraction >= MIN_CONTACT_FRACTION;
        self.has_peer_contact |= is_first_contact;
        for (account, it) in &config.accounts {
            let Some(quota) = it.quota else { continue };
            let rate = quota.per_second;
            let quota = BucketParameters::new(&quota, &self.limits);
            let peer_spending = spending.get(account).copied().unwrap_or_default().max(0.0);
            if peer_spending > 0.0 && !self.buckets.contains_key(account) {
                self.buckets.insert(account.clone(), Bucket::new(&quota, self.started_at));
            }
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            bucket.apply_quota_change(&quota);
            bucket.refill(&quota, self.reachable_fraction, now);
            if is_first_contact {
                bucket.raise_initial_level(&quota, peer_spending);
            }
            let max_level = quota.burst
                * if is_first_contact { reachable_fraction } else { self.reachable_fraction };
            let level_before = bucket.level;
            bucket.apply_peer_spending(peer_spending, max_level);
            // Contention is tracked from the first request that could be decided by an owner.
            if bucket.contended_until.is_some() {
                if bucket.was_contended_at(now) && reachable_fraction < self.reachable_fraction {
                    let share = reachable_fraction / self.reachable_fraction;
                    bucket.keep_share(level_before, share);
                }
                bucket.update_contention(rate, &quota, reachable_fraction, now);
            }
        }
        self.reachable_fraction = reachable_fraction;
    }
}

/// Fraction of the entry VMs with which a VM must be in contact to start as one of many. The VMs without contact hold
/// the remainder.
const MIN_CONTACT_FRACTION: f64 = 0.8;
/// Minimum spending of an account that is reported, in units per second. Less has no influence on any decision.
const MIN_REPORTED_SPENDING: f64 = 0.05;
/// Time after its start from which a VM decides for others without contact to nearly all of them: in a partition it may
/// never have that, and the fraction that it reaches is known by then.
const OWNER_START_DELAY: Duration = Duration::from_secs(2);
/// Time after a gap between two applications of reports in which new reports arrive.
const RESUME_DELAY: Duration = Duration::from_millis(500);
