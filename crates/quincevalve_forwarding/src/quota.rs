//! Quotas that hold over all entry VMs together.

use std::{collections::HashMap, time::Duration};

use quincevalve_names::{ClientAccountName, TimePoint};

use crate::{
    config::{ForwardingConfig, Quota, QuotaUnit},
    sums::Spent,
};

/// The units that a request counts.
pub fn cost(quota: &Quota, tokens: Option<(u32, u32)>) -> f64 {
    match (quota.unit, tokens) {
        (QuotaUnit::Requests, _) => 1.0,
        (QuotaUnit::Tokens { .. }, Some((prompt, most))) => f64::from(prompt) + f64::from(most),
        (QuotaUnit::Tokens { unsized_request }, None) => f64::from(unsized_request),
    }
}

/// Over the quota: when there will be room again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// The time until the account's bucket is above zero, at its rate.
    pub retry_after: Duration,
}

/// What others spent is known after three tellings of a large system at most, and after two mostly.
const TELLING_TIME: f64 = 0.25;
/// Time over which the rate of others' spending is taken, in seconds.
const RATE_TIME: f64 = 1.0;
/// Bursts that an account can owe at most, so that one telling after a long silence doesn't lock it out.
const MOST_DEBT: f64 = 3.0;
/// Part of the burst over which requests are let in by chance, the fewer the less is left. With a sharp edge
/// all VMs open and close together, one telling time late, and let in twice the quota by turns.
const RAMP: f64 = 0.15;

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: TimePoint,
    spent: f64,
    /// Units a second that others spent lately.
    others: f64,
    others_at: TimePoint,
    /// The burst of the quota that the level was reckoned by.
    burst: f64,
}

impl Bucket {
    fn full(quota: &Quota, now: TimePoint) -> Self {
        let (level, burst) = (quota.burst, quota.burst);
        Self { level, at: now, spent: 0.0, others: 0.0, others_at: now, burst }
    }

    /// Takes over a changed quota: what was spent under the old one is no debt under the new one.
    fn adapt(&mut self, quota: &Quota) {
        if quota.burst.total_cmp(&self.burst).is_ne() {
            self.burst = quota.burst;
            self.level = self.level.clamp(0.0, quota.burst.max(0.0));
            self.others = 0.0;
        }
    }

    /// Units a second that others spend.
    fn others_rate(&self, now: TimePoint) -> f64 {
        self.others * (-now.since(self.others_at).as_secs_f64() / RATE_TIME).exp()
    }
}

/// One token bucket for each account, drawn on by all entry VMs.
///
/// Each VM admits against the whole quota less what it and the others have spent, as they tell several
/// times a second. VMs that are out of reach of each other each use only the part of the rate that stands
/// for those they hear, so that the sum stays below the quota on both sides of a partition.
#[derive(Clone, Debug, Default)]
pub struct QuotaBook {
    buckets: HashMap<ClientAccountName, Bucket>,
}

impl QuotaBook {
    /// Takes `cost` units of an account's quota. `reachable_part` is the part of the entry VMs whose spending
    /// is known here.
    ///
    /// A request is let in as long as the bucket is above zero, and may take it below: a large prompt then
    /// waits no longer than a small one, and what it took too much is paid back by those that follow. Near
    /// zero `draw`, a random number from 0 to 1, decides.
    pub fn take(
        &mut self,
        account: &ClientAccountName,
        quota: &Quota,
        cost: f64,
        draw: f64,
        reachable_part: f64,
        now: TimePoint,
    ) -> Result<(), OverQuota> {
        let rate = quota.per_second * reachable_part;
        let bucket = self.buckets.entry(account.clone()).or_insert(Bucket::full(quota, now));
        bucket.adapt(quota);
        // Failure: VMs that are cut off each let in the whole burst. Symptom: an account that asks many times its
        // quota gets most of it there. The burst is shared out like the rate.
        let most = quota.burst * reachable_part;
        bucket.level = (bucket.level + rate * now.since(bucket.at).as_secs_f64()).min(most);
        bucket.at = now;
        // Failure: an account asks many times its quota of many VMs. Symptom: all of them let it in until they
        // hear of each other, and again whenever the bucket fills. What others are spending right now, unheard
        // yet, counts as spent.
        let unheard = bucket.others_rate(now) * TELLING_TIME;
        let level = bucket.level - unheard;
        if level <= draw * RAMP * most {
            let seconds = (RAMP * quota.burst - level) / rate.max(1.0);
            return Err(OverQuota {
                retry_after: Duration::from_secs_f64(seconds.clamp(0.05, 10.0)),
            });
        }
        bucket.level -= cost;
        bucket.spent += cost;
        Ok(())
    }

    /// Gives back what a request took that was refused later and has not run.
    pub fn give_back(&mut self, account: &ClientAccountName, cost: f64) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.level += cost;
            bucket.spent -= cost;
        }
    }

    /// What this VM has spent in all, by account, for its peers.
    pub fn spent(&self) -> impl Iterator<Item = (&ClientAccountName, f64)> {
        self.buckets.iter().map(|(account, it)| (account, it.spent))
    }

    /// Takes what other VMs have spent beyond what was told before.
    pub fn others_spent(&mut self, growth: &Spent, config: &ForwardingConfig, now: TimePoint) {
        for (account, growth) in growth {
            let quota = config.accounts.get(account).and_then(|it| it.quota);
            let Some(quota) = quota else { continue };
            let bucket = self.buckets.entry(account.clone()).or_insert(Bucket::full(&quota, now));
            bucket.adapt(&quota);
            bucket.level = (bucket.level - growth).max(-quota.burst * MOST_DEBT);
            bucket.others = bucket.others_rate(now) + growth / RATE_TIME;
            bucket.others_at = now;
        }
    }
}
