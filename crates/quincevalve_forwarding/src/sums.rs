//! What VMs tell each other of their work and of quotas, summed up without counting anything twice.

use std::{cmp::Reverse, collections::HashMap, hash::Hash, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{ClientAccountName, ServiceName, TimePoint};
use serde::{Deserialize, Serialize};

use crate::{
    config::ForwardingConfig,
    load::WorkSum,
    rollout::partial_sum::{RolloutPartialSums, add_partial_sums, partial_sums_without},
};

/// What was told counts for this long: several periods, so that a lost datagram or two change nothing.
const FRESH: Duration = Duration::from_millis(800);

/// Work at servers, by a hash of their names.
pub type Works = IndexMap<u64, WorkSum>;

/// Units of quota that are let in a second, by account.
pub type Spending = IndexMap<ClientAccountName, f64>;

/// Work that is taken on, in servers that it would keep busy, by service.
pub type Demand = IndexMap<ServiceName, f64>;

/// What one VM, or a collector for its members, tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// VMs that it stands for.
    pub vms: u32,
    /// Their work at servers.
    pub works: Works,
    /// What they let in.
    pub spending: Spending,
    /// The work that they take on, in busy servers, by service.
    pub demand: Demand,
    /// What they saw of roll-outs, by service.
    pub rollouts: RolloutPartialSums,
}

/// Servers that a collector names to each of its members, and to each other collector.
///
/// Load: a digest goes to each VM of a data centre several times a second, so what it holds must not grow with the servers.
/// The busiest are named; a server that isn't is taken for one that has only the receiver's own work, and every VM looks at
/// several servers for each request.
pub const NAMED_TO_MEMBER: usize = 300;
/// The same for a collector, which adds such digests up: the busiest of all are among the busiest of a data centre.
pub const NAMED_TO_COLLECTOR: usize = 900;
/// Part of its quota below which what an account spends isn't told to members: it can't be refused anything for it.
const LEAST_SPENT_PART: f64 = 0.25;

/// What is left of a rate after a subtraction and is below this, in units or busy servers a second, is a rounding error.
const ROUNDING: f64 = 1e-6;

impl Share {
    /// Adds another share.
    pub fn add(&mut self, other: &Self) {
        self.vms += other.vms;
        for (server, work) in &other.works {
            let known = self.works.entry(*server).or_default();
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

    /// Names no more than so many servers, the busiest.
    pub fn name_busiest(&mut self, servers: usize) {
        if self.works.len() <= servers {
            return;
        }
        let place = |server: &u64, work: &WorkSum| (Reverse(work.weight()), *server);
        let mut places: Vec<_> = self.works.iter().map(|(server, it)| place(server, it)).collect();
        let first_left_out = *places.select_nth_unstable(servers).1;
        self.works.retain(|server, it| place(server, it) < first_left_out);
    }

    /// Leaves out the accounts that are far below their quotas.
    pub fn drop_light_spending(&mut self, config: &ForwardingConfig) {
        self.spending.retain(|account, spent| {
            let quota = config.accounts.get(account).and_then(|it| it.quota);
            quota.is_none_or(|it| *spent >= it.per_second * LEAST_SPENT_PART)
        });
    }

    /// Whether a VM has taken on or ended anything since it told `before`. That what was sent lately fades is no news.
    pub fn has_news_since(&self, before: &Self) -> bool {
        let is_same = |(server, work): (&u64, &WorkSum)| {
            before.works.get(server).is_some_and(|it| it.is_same_but_faded(*work))
        };
        let has_ended = |(server, work): (&u64, &WorkSum)| {
            work.requests > 0 && !self.works.contains_key(server)
        };
        !self.works.iter().all(is_same)
            || before.works.iter().any(has_ended)
            || self.rollouts != before.rollouts
    }

    /// What is left of this sum without one share that was added to it.
    ///
    /// Load: a collector tells each of its members the sum of all others. Adding that up for each anew costs the square
    /// of the members; taking one share off the sum of all costs each member once.
    pub fn without(&self, part: &Self) -> Self {
        let work = |(server, sum): (&u64, &WorkSum)| {
            let rest = part.works.get(server).map_or(*sum, |it| sum.minus(*it));
            (rest != WorkSum::default()).then_some((*server, rest))
        };
        Self {
            vms: self.vms.saturating_sub(part.vms),
            works: self.works.iter().filter_map(work).collect(),
            spending: rates_without(&self.spending, &part.spending),
            demand: rates_without(&self.demand, &part.demand),
            rollouts: partial_sums_without(&self.rollouts, &part.rollouts),
        }
    }
}

fn rates_without<K>(sum: &IndexMap<K, f64>, part: &IndexMap<K, f64>) -> IndexMap<K, f64>
where
    K: Clone + Eq + Hash,
{
    let rest = sum.iter().map(|(key, rate)| (key, rate - part.get(key).copied().unwrap_or(0.0)));
    rest.filter(|(_, rate)| rate.abs() >= ROUNDING).map(|(key, rate)| (key.clone(), rate)).collect()
}

#[derive(Clone, Debug)]
struct Told {
    at: TimePoint,
    share: Share,
}

/// What was told by each sender, and the sums of it.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    told: HashMap<String, Told>,
}

impl Sums {
    /// Takes a sender's newest share; shares that are long past are forgotten.
    pub fn take(&mut self, sender: &str, share: Share, now: TimePoint) {
        self.told.retain(|_, it| now.since(it.at) <= FRESH);
        self.told.insert(sender.to_owned(), Told { at: now, share });
    }

    /// Whether anyone told something lately.
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.fresh(now).next().is_some()
    }

    /// The senders that told something lately.
    pub fn fresh_senders(&self, now: TimePoint) -> impl Iterator<Item = &String> {
        self.fresh(now).map(|(sender, _)| sender)
    }

    /// Adds all fresh shares but that of `except` to `sum`.
    pub fn add_to(&self, sum: &mut Share, except: Option<&str>, now: TimePoint) {
        let others = self.fresh(now).filter(|(sender, _)| Some(sender.as_str()) != except);
        others.for_each(|(_, it)| sum.add(&it.share));
    }

    /// What a sender told, if it is fresh.
    pub fn told(&self, sender: &str, now: TimePoint) -> Option<&Share> {
        let told = self.told.get(sender).filter(|it| now.since(it.at) <= FRESH)?;
        Some(&told.share)
    }

    fn fresh(&self, now: TimePoint) -> impl Iterator<Item = (&String, &Told)> {
        self.told.iter().filter(move |(_, it)| now.since(it.at) <= FRESH)
    }
}
