//! What VMs tell each other of their work and of quotas, summed up without counting anything twice.

use std::{collections::HashMap, time::Duration};

use indexmap::IndexMap;
use quincevalve_names::{ClientAccountName, TimePoint};
use serde::{Deserialize, Serialize};

use crate::load::WorkSum;

/// What was told counts for this long: several periods, so that a lost datagram or two change nothing.
const FRESH: Duration = Duration::from_millis(800);

/// Work at servers, by a hash of their names.
pub type Works = IndexMap<u64, WorkSum>;

/// Units of quota spent since some start, by account.
pub type Spent = IndexMap<ClientAccountName, f64>;

/// What one VM, or a collector for its members, tells.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Share {
    /// VMs that it stands for.
    pub vms: u32,
    /// Their work at servers.
    pub works: Works,
    /// What they have spent since the teller began to count.
    pub spent: Spent,
}

#[derive(Clone, Debug)]
struct Told {
    at: TimePoint,
    share: Share,
}

/// What was told by each teller, and the sums of it.
#[derive(Clone, Debug, Default)]
pub struct Sums {
    told: HashMap<String, Told>,
    /// By teller, what its spending grew by since it was first heard here.
    grown: HashMap<String, Spent>,
}

impl Sums {
    /// Takes a share and returns by how much its teller's spending has grown.
    ///
    /// A teller's first share only sets the mark: what it spent before was counted by whoever heard it then.
    /// A restarted teller counts from zero again, which is no growth either.
    pub fn take(&mut self, teller: &str, share: Share, now: TimePoint) -> Spent {
        let before = self.told.get(teller).map(|it| &it.share.spent);
        let growth: Spent = match before {
            None => Spent::new(),
            Some(before) => share
                .spent
                .iter()
                .map(|(account, spent)| {
                    let before = before.get(account).copied().unwrap_or_default();
                    (account.clone(), (spent - before).max(0.0))
                })
                .filter(|(_, growth)| *growth > 0.0)
                .collect(),
        };
        let grown = self.grown.entry(teller.to_owned()).or_default();
        add_spent(grown, &growth);
        self.told.insert(teller.to_owned(), Told { at: now, share });
        growth
    }

    /// Whether anyone told something lately.
    pub fn is_fresh(&self, now: TimePoint) -> bool {
        self.fresh(now).next().is_some()
    }

    /// The tellers that told something lately.
    pub fn fresh_tellers(&self, now: TimePoint) -> impl Iterator<Item = &String> {
        self.fresh(now).map(|(teller, _)| teller)
    }

    /// Adds all fresh shares but that of `except` to `sum`. Spending counts from when each teller was first
    /// heard here, so that a teller that moves here brings nothing that was counted before.
    pub fn add_to(&self, sum: &mut Share, except: Option<&str>, now: TimePoint) {
        for (teller, told) in self.fresh(now) {
            if Some(teller.as_str()) == except {
                continue;
            }
            sum.vms += told.share.vms;
            for (server, work) in &told.share.works {
                let known = sum.works.entry(*server).or_default();
                *known = known.plus(*work);
            }
        }
        for (teller, grown) in &self.grown {
            if Some(teller.as_str()) != except {
                add_spent(&mut sum.spent, grown);
            }
        }
    }

    fn fresh(&self, now: TimePoint) -> impl Iterator<Item = (&String, &Told)> {
        self.told.iter().filter(move |(_, it)| now.since(it.at) <= FRESH)
    }
}

fn add_spent(sum: &mut Spent, more: &Spent) {
    for (account, spent) in more {
        *sum.entry(account.clone()).or_default() += spent;
    }
}
