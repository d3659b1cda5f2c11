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

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: TimePoint,
    spent: f64,
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
    /// waits no longer than a small one, and what it took too much is paid back by those that follow.
    pub fn take(
        &mut self,
        account: &ClientAccountName,
        quota: &Quota,
        cost: f64,
        reachable_part: f64,
        now: TimePoint,
    ) -> Result<(), OverQuota> {
        let rate = quota.per_second * reachable_part;
        let bucket = self.buckets.entry(account.clone()).or_insert(Bucket {
            level: quota.burst,
            at: now,
            spent: 0.0,
        });
        bucket.level = (bucket.level + rate * now.since(bucket.at).as_secs_f64()).min(quota.burst);
        bucket.at = now;
        if bucket.level <= 0.0 {
            let seconds = (-bucket.level + 1.0) / rate.max(1.0);
            return Err(OverQuota { retry_after: Duration::from_secs_f64(seconds.min(10.0)) });
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
            let bucket = self.buckets.entry(account.clone()).or_insert(Bucket {
                level: quota.burst,
                at: now,
                spent: 0.0,
            });
            // Debt is bounded, so that one telling after a long silence can't lock an account out.
            bucket.level = (bucket.level - growth).max(-quota.burst);
        }
    }
}
