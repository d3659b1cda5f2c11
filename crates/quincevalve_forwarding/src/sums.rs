//! Partial sums of work, quota usage and demand that VMs report to each other, added up without counting anything
//! twice.

use std::{cmp::Reverse, collections::HashMap, hash::Hash, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{ClientAccountName, ServiceName, TimePoint};
use serde::{Deserialize, Serialize};

use crate::{
    config::ForwardingConfig,
    load::WorkSum,
    rollout::partial_sum::{RolloutPartialSums, add_partial_sums, partial_sums_without},
};

/// Lifetime of a received partial sum: several digest periods, so that one or two lost datagrams change nothing.
const PARTIAL_SUM_TTL: Duration = Duration::from_millis(800);

/// Work at servers, by a hash of the server's name.
pub type ServerWork = IndexMap<u64, WorkSum>;

/// Quota units admitted per second, by account.
pub type Spending = IndexMap<ClientAccountName, f64>;

/// Admitted work by service, as the number of servers that it keeps busy.
pub type Demand = IndexMap<ServiceName, f64>;

/// The load sums that one VM, or a collector on behalf of its members, reports.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct PartialSum {
    /// Number of VMs that this sum covers.
    pub vms: u32,
    /// Their work at each server.
    pub server_work: ServerWork,
    /// Quota units that they admit per second, by account.
    pub spending: Spending,
    /// Their admitted work in busy servers, by service.
    pub demand: Demand,
    /// Their observations of roll-outs, by service.
    pub rollouts: RolloutPartialSums,
}

/// Maximum number of servers in a digest from a collector to one of its members.
///
/// A digest is sent to each VM of a data centre several times a second, so its size must not grow with the number of
/// servers. It lists the busiest servers. The receiver assumes that an unlisted server has only the receiver's own
/// work; this is tolerable because every VM compares several servers for each request.
pub const MAX_SERVERS_TO_MEMBER: usize = 300;
/// Maximum number of servers in a digest from a collector to another collector, which adds up such digests: the overall
/// busiest servers are among the busiest of a data centre.
pub const MAX_SERVERS_TO_COLLECTOR: usize = 900;
/// Fraction of its quota below which an account's spending isn't reported to members: at such a rate, no request is
/// rejected for exceeding the quota.
const MIN_REPORTED_QUOTA_FRACTION: f64 = 0.25;

/// Remainders of a subtraction below this value, in quota units per second or in busy servers, are rounding errors.
const ROUNDING_TOLERANCE: f64 = 1e-6;

impl PartialSum {
    /// Adds another partial sum to this one.
    pub fn add(&mut self, other: &Self) {
        self.vms = self.vms.saturating_add(other.vms);
        for (server, work) in &other.server_work {
            let known = self.server_work.entry(*server).or_default();
            *known = known.plus(*work);
        }
        for (account, spending) in &other.spending {
            *self.spending.entry(account.clone()).or_default() += spending;
        }
        for (service, busy) in &other.demand {
            *self.demand.entry(service.clone()).or_default() += busy;
        }
        add_partial_sums(&mut self.rollouts, &other.rollouts);
    }

    /// Keeps the `servers` busiest servers and drops all others.
    pub fn keep_busiest_servers(&mut self, servers: usize) {
        if self.server_work.len() <= servers {
            return;
        }
        let sort_key = |server: &u64, work: &WorkSum| (Reverse(work.weight()), *server);
        let mut sort_keys: Vec<_> =
            self.server_work.iter().map(|(server, it)| sort_key(server, it)).collect();
        let first_dropped = *sort_keys.select_nth_unstable(servers).1;
        self.server_work.retain(|server, it| sort_key(server, it) < first_dropped);
    }

    /// Drops the accounts that are far below their quotas.
    pub fn drop_low_spending(&mut self, config: &ForwardingConfig) {
        self.spending.retain(|account, spent| {
            let quota = config.accounts.get(account).and_then(|it| it.quota);
            quota.is_none_or(|it| *spent >= it.per_second * MIN_REPORTED_QUOTA_FRACTION)
        });
    }

    /// Returns whether requests began or ended, or roll-out observations changed, since the VM reported `before`. The
    /// decay of recently sent work over time doesn't count as a change.
    pub fn has_changed_since(&self, before: &Self) -> bool {
        let is_unchanged = |(server, work): (&u64, &WorkSum)| {
            before.server_work.get(server).is_some_and(|it| it.differs_only_by_decay(*work))
        };
        let has_ended = |(server, work): (&u64, &WorkSum)| {
            (work.requests > 0 || work.memory > 0) && !self.server_work.contains_key(server)
        };
        !self.server_work.iter().all(is_unchanged)
            || before.server_work.iter().any(has_ended)
            || self.rollouts != before.rollouts
    }

    /// Returns this sum without `subtrahend`, a partial sum that was added to it.
    ///
    /// A collector sends each of its members the sum of all others. Adding those up for each member takes time
    /// quadratic in the number of members; subtracting each member's partial sum from the total takes linear time.
    pub fn without(&self, subtrahend: &Self) -> Self {
        let work = |(server, sum): (&u64, &WorkSum)| {
            let rest = subtrahend.server_work.get(server).map_or(*sum, |it| sum.minus(*it));
            (rest != WorkSum::default()).then_some((*server, rest))
        };
        Self {
            vms: self.vms.saturating_sub(subtrahend.vms),
            server_work: self.server_work.iter().filter_map(work).collect(),
            spending: subtract_rates(&self.spending, &subtrahend.spending),
            demand: subtract_rates(&self.demand, &subtrahend.demand),
            rollouts: partial_sums_without(&self.rollouts, &subtrahend.rollouts),
        }
    }
}

fn subtract_rates<K>(sum: &IndexMap<K, f64>, subtrahend: &IndexMap<K, f64>) -> IndexMap<K, f64>
where
    K: Clone + Eq + Hash,
{
    let rest =
        sum.iter().map(|(key, rate)| (key, rate - subtrahend.get(key).copied().unwrap_or(0.0)));
    rest.filter(|(_, rate)| rate.abs() >= ROUNDING_TOLERANCE)
        .map(|(key, rate)| (key.clone(), rate))
        .collect()
}

#[derive(Clone, Debug)]
struct Received {
    at: TimePoint,
    partial_sum: PartialSum,
}

/// The newest partial sum of each sender.
#[derive(Clone, Debug, Default)]
pub struct PartialSums {
    received: HashMap<String, Received>,
}

impl PartialSums {
    /// Stores a sender's newest partial sum and drops expired ones.
    pub fn insert(&mut self, sender: &str, partial_sum: PartialSum, now: TimePoint) {
        self.received.retain(|_, it| now.since(it.at) <= PARTIAL_SUM_TTL);
        self.received.insert(sender.to_owned(), Received { at: now, partial_sum });
    }

    /// Returns whether any sender's partial sum is fresh.
    pub fn has_fresh(&self, now: TimePoint) -> bool {
        self.fresh(now).next().is_some()
    }

    /// Returns the senders whose partial sums are fresh.
    pub fn fresh_senders(&self, now: TimePoint) -> impl Iterator<Item = &String> {
        self.fresh(now).map(|(sender, _)| sender)
    }

    /// Adds all fresh partial sums except that of `except` to `sum`.
    pub fn add_to(&self, sum: &mut PartialSum, except: Option<&str>, now: TimePoint) {
        let others = self.fresh(now).filter(|(sender, _)| Some(sender.as_str()) != except);
        others.for_each(|(_, it)| sum.add(&it.partial_sum));
    }

    /// Returns a sender's partial sum if it is fresh.
    pub fn get(&self, sender: &str, now: TimePoint) -> Option<&PartialSum> {
        let received =
            self.received.get(sender).filter(|it| now.since(it.at) <= PARTIAL_SUM_TTL)?;
        Some(&received.partial_sum)
    }

    fn fresh(&self, now: TimePoint) -> impl Iterator<Item = (&String, &Received)> {
        self.received.iter().filter(move |(_, it)| now.since(it.at) <= PARTIAL_SUM_TTL)
    }
}
