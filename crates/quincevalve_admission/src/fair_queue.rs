//! Start-time fair queueing over client accounts, two classes of urgency.

use std::collections::VecDeque;

use quincevalve_names::TimePoint;

use crate::{AccountIndex, Ticket, Urgency};

/// Of so many starts, one goes to waiting bulk work even while interactive work waits.
///
/// Failure: interactive work alone fills the servers for hours. Symptom: a dossier never starts. One
/// start in this many is enough for bulk work to end, and costs the others little.
const BULK_TURN: u32 = 8;

#[derive(Clone, Copy, Debug)]
pub(crate) struct Waiting {
    pub(crate) ticket: Ticket,
    pub(crate) deadline: TimePoint,
    pub(crate) cost: u32,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    weight: u32,
    tag: u64,
    interactive: VecDeque<Waiting>,
    bulk: VecDeque<Waiting>,
}

impl AccountQueue {
    fn queue(&mut self, urgency: Urgency) -> &mut VecDeque<Waiting> {
        match urgency {
            Urgency::Interactive => &mut self.interactive,
            Urgency::Bulk => &mut self.bulk,
        }
    }

    fn len(&self, urgency: Urgency) -> usize {
        match urgency {
            Urgency::Interactive => self.interactive.len(),
            Urgency::Bulk => self.bulk.len(),
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct FairQueue {
    accounts: Vec<AccountQueue>,
    virtual_time: u64,
    starts: u32,
}

/// One unit of cost at weight 1, in virtual time.
const TAG_SCALE: u64 = 1 << 16;

impl FairQueue {
    pub(crate) fn set_weight(&mut self, account: AccountIndex, weight: u32) {
        let at = account.0 as usize;
        if self.accounts.len() <= at {
            self.accounts.resize_with(at + 1, AccountQueue::default);
        }
        self.accounts[at].weight = weight.max(1);
    }

    pub(crate) fn push(&mut self, account: AccountIndex, urgency: Urgency, waiting: Waiting) {
        let entry = &mut self.accounts[account.0 as usize];
        // An account that was idle starts at the present, and can't claim the past.
        entry.tag = entry.tag.max(self.virtual_time);
        entry.queue(urgency).push_back(waiting);
    }

    /// Notes a start, whether it waited or not, against the account's share.
    pub(crate) fn charge(&mut self, account: AccountIndex, cost: u32) {
        let entry = &mut self.accounts[account.0 as usize];
        entry.tag = entry.tag.max(self.virtual_time);
        self.virtual_time = entry.tag;
        entry.tag += u64::from(cost.max(1)) * TAG_SCALE / u64::from(entry.weight);
    }

    pub(crate) fn pop(
        &mut self,
        may_run: impl Fn(AccountIndex) -> bool,
    ) -> Option<(AccountIndex, Waiting)> {
        self.starts = self.starts.wrapping_add(1);
        let order = if self.starts.is_multiple_of(BULK_TURN) {
            [Urgency::Bulk, Urgency::Interactive]
        } else {
            [Urgency::Interactive, Urgency::Bulk]
        };
        order.into_iter().find_map(|it| self.pop_of(it, &may_run))
    }

    fn pop_of(
        &mut self,
        urgency: Urgency,
        may_run: impl Fn(AccountIndex) -> bool,
    ) -> Option<(AccountIndex, Waiting)> {
        let indices = (0..self.accounts.len()).map(|it| AccountIndex(it as u32));
        let account = indices
            .filter(|it| self.accounts[it.0 as usize].len(urgency) > 0 && may_run(*it))
            .min_by_key(|it| self.accounts[it.0 as usize].tag)?;
        let waiting = self.accounts[account.0 as usize].queue(urgency).pop_front()?;
        Some((account, waiting))
    }

    /// Takes out everything whose deadline has passed.
    pub(crate) fn expire(&mut self, now: TimePoint) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for account in &mut self.accounts {
            for queue in [&mut account.interactive, &mut account.bulk] {
                queue.retain(|it| {
                    let keep = it.deadline > now;
                    if !keep {
                        expired.push(it.ticket);
                    }
                    keep
                });
            }
        }
        expired
    }

    pub(crate) fn withdraw(&mut self, ticket: Ticket) -> bool {
        for account in &mut self.accounts {
            for queue in [&mut account.interactive, &mut account.bulk] {
                if let Some(at) = queue.iter().position(|it| it.ticket == ticket) {
                    queue.remove(at);
                    return true;
                }
            }
        }
        false
    }

    pub(crate) fn waiting_of(&self, account: AccountIndex, urgency: Urgency) -> u32 {
        self.accounts[account.0 as usize].len(urgency) as u32
    }

    pub(crate) fn waiting(&self) -> u32 {
        let urgencies = [Urgency::Interactive, Urgency::Bulk];
        let count =
            |it: &AccountQueue| urgencies.iter().map(|urgency| it.len(*urgency)).sum::<usize>();
        self.accounts.iter().map(count).sum::<usize>() as u32
    }

    /// The weight of `account` and of all accounts that have work waiting, itself included.
    pub(crate) fn share_of(
        &self,
        account: AccountIndex,
        is_active: impl Fn(AccountIndex) -> bool,
    ) -> f64 {
        let own = self.accounts[account.0 as usize].weight;
        let indices = (0..self.accounts.len()).map(|it| AccountIndex(it as u32));
        let others = indices.filter(|it| *it != account && is_active(*it));
        let total: u32 = others.map(|it| self.accounts[it.0 as usize].weight).sum();
        f64::from(own) / f64::from(own + total)
    }
}
