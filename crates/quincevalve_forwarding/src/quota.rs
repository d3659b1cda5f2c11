//! Quotas that hold over all entry VMs together.

use std::{collections::HashMap, time::Duration};

use quincevalve_names::{ClientAccountName, TimePoint};

use crate::{
    config::{ForwardingConfig, Quota, QuotaUnit},
    rate::Rate,
    sums::Spending,
};

/// The units that a request counts.
pub fn cost(quota: &Quota, tokens: Option<(u32, u32)>) -> f64 {
    match (quota.unit, tokens) {
        (QuotaUnit::Requests, _) => 1.0,
        (QuotaUnit::Tokens { .. }, Some((prompt, most))) => f64::from(prompt) + f64::from(most),
        (QuotaUnit::Tokens { default_tokens }, None) => f64::from(default_tokens),
    }
}

/// Over the quota: when there will be room again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// The time until the account's bucket is above zero, at its rate.
    pub retry_after: Duration,
    /// The units in the bucket.
    pub level: f64,
    /// Units a second that others let in, as they told last.
    pub others: f64,
}

/// From a request that another VM lets in to its being heard here, in seconds: three digests of a large
/// system, and the time over which spending is taken.
const UNHEARD_TIME: f64 = 0.45;
/// Time over which a VM's own spending is taken before it is told: two digests, so that a lost one changes
/// little, and short against the windows over which quotas are counted.
const SPENDING_TIME: Duration = Duration::from_millis(250);
/// Bursts that an account can owe at most, so that one spell of spending elsewhere doesn't lock it out.
const MOST_DEBT: f64 = 3.0;
/// Part of the burst over which requests are let in by chance, the fewer the less is left. With a sharp edge all VMs open
/// and close together, one digest time late, and let in twice the quota by turns. It lies over the burst alone: over what
/// is tolerated, too, it would refuse accounts that keep to their quotas.
const RAMP: f64 = 0.5;
/// How many times as wide the ramp is for large requests.
///
/// Load: an account asks several times its quota for some seconds. One long prompt costs as much as dozens of short calls;
/// where all are let in by the same chance, most of the account's callers are refused for a few of them. Large requests
/// are held back first, so that what is left serves the many that cost little; the wider ramp also lets VMs that hear each
/// other late come to the edge slowly.
const LARGE_RAMP: f64 = 1.3;
/// Part of the burst from which on a request counts as large.
const LARGE_PART: f64 = 0.002;
/// How many times as wide it is for the most urgent requests, against others of their size.
const URGENT_RAMP: f64 = 0.5;
/// Part of the ramp up to which the smallest requests are let in beyond an empty bucket. They cost next to nothing, and
/// larger ones pay for them.
const SMALL_DEBT: f64 = 0.5;

/// What a request asks of its account's quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAsk {
    /// The units that it counts.
    pub cost: f64,
    /// Its urgency, 0 first.
    pub urgency: u8,
}

impl QuotaAsk {
    /// The levels of a bucket between which the request is let in by chance: never below, always above.
    fn ramp(self, quota: &Allowance) -> (f64, f64) {
        let Some(large) = quota.large else { return (0.0, quota.ramp) };
        let size = (self.cost / large).min(1.0);
        let urgency = if self.urgency == 0 { URGENT_RAMP } else { 1.0 };
        let from = -SMALL_DEBT * quota.ramp * (1.0 - size);
        // A VM that has just started lets in whatever keeps to its quota.
        let most = (FIRST_PART * quota.burst).max(quota.ramp);
        (from, (quota.ramp * LARGE_RAMP).min(most) * size * urgency)
    }
}

/// Part of the burst with which a VM begins. Failure: many VMs restart, and each has the whole burst to give
/// out. Symptom: an account that asks many times its quota gets a burst more at each restart. The ramp's
/// top lets an account that keeps to its quota in at once, and the rate fills the rest.
const FIRST_PART: f64 = RAMP;

/// Part of the burst that is given out as a higher rate, spread over the window in which quotas are counted.
///
/// Failure: an account asks half more than its rate all the time. Symptom: a third of its requests is refused,
/// though no window holds more than its rate and its burst: a plain bucket gives the burst out once and never
/// again. Both parts together stay below the burst, so no window holds more than rate and burst allow.
const SPREAD_PART: f64 = 0.5;
/// Part of the burst that may still come at once. What is left to the whole covers what is not heard in time.
const KEPT_PART: f64 = 0.5;

/// How quotas are counted, over all entry VMs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct QuotaLimits {
    /// The span over which they are counted; zero where only the rate counts.
    pub window: Duration,
    /// Part of what a window allows that may come beyond it.
    pub overage: f64,
    /// Units that may come beyond both in a window.
    pub slack: f64,
}

/// Part of the tolerance, overage and slack together, that is given out.
///
/// Failure: VMs hear of each other's spending late, and none knows an account's bucket exactly. Symptom: accounts that
/// keep to their quota are refused in a wave of their callers, by the ramp, while there is something left in the bucket.
/// The operators tolerate an error; a half of it goes to the callers' side, the rest covers what is not heard in time.
const TOLERANCE_USED: f64 = 0.5;

/// The rate and the burst of a bucket that lets in at most what a quota allows in any window.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    per_second: f64,
    burst: f64,
    /// The level up to which requests are let in by chance.
    ramp: f64,
    /// The cost of a large request; `None` where all cost the same.
    large: Option<f64>,
}

impl Allowance {
    fn new(quota: &Quota, limits: &QuotaLimits) -> Self {
        let window = limits.window.as_secs_f64();
        let large = match quota.unit {
            QuotaUnit::Requests => None,
            QuotaUnit::Tokens { .. } => Some(LARGE_PART * quota.burst),
        };
        if limits.window.is_zero() {
            let ramp = RAMP * quota.burst;
            return Self { per_second: quota.per_second, burst: quota.burst, ramp, large };
        }
        let spread = SPREAD_PART * quota.burst / window;
        let in_a_window = quota.per_second * window + quota.burst;
        let tolerated = TOLERANCE_USED * (limits.overage * in_a_window + limits.slack);
        let kept = KEPT_PART * quota.burst;
        let ramp = RAMP * kept;
        Self { per_second: quota.per_second + spread, burst: kept + tolerated, ramp, large }
    }
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: TimePoint,
    /// Units that were let in here lately.
    own: Rate,
    /// Units a second that others let in, as they told last.
    others: f64,
    /// The burst of the quota that the level was reckoned by.
    burst: f64,
}

impl Bucket {
    fn new(quota: &Allowance, since: TimePoint) -> Self {
        let burst = quota.burst;
        let own = Rate::new(SPENDING_TIME, since);
        Self { level: FIRST_PART * burst, at: since, own, others: 0.0, burst }
    }

    /// Takes over a changed quota: what was spent under the old one is no debt under the new one.
    fn adapt(&mut self, quota: &Allowance) {
        if quota.burst.total_cmp(&self.burst).is_ne() {
            self.burst = quota.burst;
            self.level = self.level.clamp(0.0, quota.burst.max(0.0));
        }
    }

    /// Reckons the level at `now`: what the rate brought, less what others spent as far as told.
    ///
    /// Failure: a collector restarts, and for a second nobody hears what its members spend. Symptom: an account
    /// gets up to a second of its whole rate more from each VM. What others were spending goes on counting
    /// until they tell otherwise or are given up, and then only a part of the rate is used.
    fn reckon(&mut self, quota: &Allowance, reachable_part: f64, now: TimePoint) {
        let seconds = now.since(self.at).as_secs_f64();
        let gain = quota.per_second * reachable_part - self.others;
        let most = quota.burst * reachable_part;
        // A large request of this VM's own may owe more.
        let least = self.level.min(-quota.burst * MOST_DEBT);
        self.level = (self.level + gain * seconds).min(most).max(least);
        self.at = now;
    }

    /// Takes the level with which a VM begins once it hears the others, who spend so much at present.
    ///
    /// Failure: all VMs restart together, and until they hear of each other each gives out its own part of the quota, which
    /// its first request uses up. Symptom: accounts well below their quotas are refused for a second. What this start
    /// could not give out by itself it has once it is one of many; of an account that spends its whole rate already
    /// there is nothing left.
    fn heard_first(&mut self, quota: &Allowance, others: f64) {
        let unspent = (1.0 - others / quota.per_second.max(1.0)).max(0.0);
        self.level = self.level.max(FIRST_PART * quota.burst * unspent);
    }

    /// Takes what others spend at present.
    ///
    /// Failure: an account begins to ask many times its quota of many VMs. Symptom: all of them let it in until
    /// they hear of each other, and again whenever the bucket fills. What others spend more than they told
    /// before they have spent for a while already, unheard.
    fn told(&mut self, others: f64, most: f64) {
        self.level = (self.level - (others - self.others) * UNHEARD_TIME).min(most);
        self.others = others;
    }

    fn spend(&mut self, cost: f64, now: TimePoint) {
        self.level -= cost;
        self.own.add(cost, now);
    }
}

/// One token bucket for each account, drawn on by all entry VMs.
///
/// Each VM admits against the whole quota less what it and the others spend, as they tell several times a
/// second. They tell rates, not totals: a rate can be added up over any way that it came, and a digest that
/// is lost or doubled, or a VM that restarts, leaves no error behind. VMs that are out of reach of each other
/// each use only the part of the rate that stands for those they hear, so that the sum stays below the quota
/// on both sides of a partition.
#[derive(Clone, Debug)]
pub struct QuotaBook {
    limits: QuotaLimits,
    since: TimePoint,
    reachable_part: f64,
    /// Whether nearly all others were heard since this VM began.
    has_heard: bool,
    buckets: HashMap<ClientAccountName, Bucket>,
}

impl QuotaBook {
    /// A book of a VM that starts at `now`. In any window an account gets at most its rate, its burst and a part of
    /// what is tolerated beyond them.
    pub fn new(limits: QuotaLimits, now: TimePoint) -> Self {
        Self { limits, since: now, reachable_part: 1.0, has_heard: false, buckets: HashMap::new() }
    }

    /// Takes what a request asks of an account's quota.
    ///
    /// A request is let in as long as the bucket is above zero, and may take it below: what it took too much is paid
    /// back by those that follow. Near zero `draw`, a random number from 0 to 1, decides: the larger the request is, and
    /// the less urgent, the sooner it is held back.
    pub fn take(
        &mut self,
        account: &ClientAccountName,
        quota: &Quota,
        ask: QuotaAsk,
        draw: f64,
        now: TimePoint,
    ) -> Result<(), OverQuota> {
        let reachable_part = self.reachable_part;
        let quota = &Allowance::new(quota, &self.limits);
        let since = self.since;
        let bucket = self.buckets.entry(account.clone()).or_insert(Bucket::new(quota, since));
        bucket.adapt(quota);
        // Failure: VMs that are cut off each let in the whole burst. Symptom: an account that asks many times its
        // quota gets most of it there. The burst is shared out like the rate.
        bucket.reckon(quota, reachable_part, now);
        let level = bucket.level;
        let (from, to) = ask.ramp(quota);
        if level <= (from + draw * (to - from)) * reachable_part {
            let rate = quota.per_second * reachable_part;
            let seconds = (to - level) / rate.max(1.0);
            let retry_after = Duration::from_secs_f64(seconds.clamp(0.05, 10.0));
            return Err(OverQuota { retry_after, level, others: bucket.others });
        }
        bucket.spend(ask.cost, now);
        Ok(())
    }

    /// Gives back what a request took that was refused later and has not run.
    pub fn give_back(&mut self, account: &ClientAccountName, cost: f64, now: TimePoint) {
        if let Some(bucket) = self.buckets.get_mut(account) {
            bucket.spend(-cost, now);
        }
    }

    /// Units a second that this VM lets in, by account, for its peers.
    pub fn spending(&self, now: TimePoint) -> impl Iterator<Item = (ClientAccountName, f64)> {
        let own = move |it: &Bucket| it.own.per_second(now);
        let all = self.buckets.iter().map(move |(account, it)| (account.clone(), own(it)));
        all.filter(|(_, spending)| spending.abs() >= LEAST_TOLD)
    }

    /// Takes what all other VMs let in at present, in units a second. `reachable_part` is the part of the entry
    /// VMs for which that stands, this one included.
    pub fn set_others(
        &mut self,
        spending: &Spending,
        reachable_part: f64,
        config: &ForwardingConfig,
        now: TimePoint,
    ) {
        let hears_first = !self.has_heard && reachable_part >= NEARLY_ALL;
        self.has_heard |= hears_first;
        for (account, it) in &config.accounts {
            let Some(quota) = it.quota else { continue };
            let quota = Allowance::new(&quota, &self.limits);
            let others = spending.get(account).copied().unwrap_or_default().max(0.0);
            if others > 0.0 && !self.buckets.contains_key(account) {
                self.buckets.insert(account.clone(), Bucket::new(&quota, self.since));
            }
            let Some(bucket) = self.buckets.get_mut(account) else { continue };
            bucket.adapt(&quota);
            bucket.reckon(&quota, self.reachable_part, now);
            if hears_first {
                bucket.heard_first(&quota, others);
            }
            let most = quota.burst * if hears_first { reachable_part } else { self.reachable_part };
            bucket.told(others, most);
        }
        self.reachable_part = reachable_part;
    }
}

/// The part of the entry VMs that a VM must hear to begin as one of many: those that it lacks have the rest.
const NEARLY_ALL: f64 = 0.8;
/// Units a second below which an account's spending isn't told: it changes nobody's decision.
const LEAST_TOLD: f64 = 0.05;
