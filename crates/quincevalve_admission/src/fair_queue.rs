//! Start-time fair queueing (SFQ) over client accounts, with two urgency classes.

use std::collections::VecDeque;

use quincevalve_names::TimePoint;

use crate::{AccountIndex, Ticket, Urgency};

/// One in this many starts prefers waiting bulk work over interactive work.
///
/// Interactive work alone can fill the servers for hours, which would starve bulk work entirely. One start
/// in eight is enough for bulk work to complete, at little cost to interactive work.
const BULK_START_PERIOD: u32 = 8;

/// A request in the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedRequest {
    pub(crate) ticket: Ticket,
    /// Time at which the request expires because it could no longer meet its deadline.
    pub(crate) latest_start: TimePoint,
    pub(crate) cost: u32,
}

#[derive(Clone, Debug, Default)]
struct AccountQueue {
    weight: u32,
    /// Virtual start time of the account's next request.
    start_tag: u64,
    interactive: VecDeque<QueuedRequest>,
    bulk: VecDeque<QueuedRequest>,
}

impl AccountQueue {
    fn queue(&mut self, urgency: Urgency) -> &mut VecDeque<QueuedRequest> {
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

/// Virtual time that one unit of cost takes at weight 1.
const VIRTUAL_TIME_PER_COST: u64 = 1 << 16;

impl FairQueue {
    pub(crate) fn set_weight(&mut self, account: AccountIndex, weight: u32) {
        let index = account.0 as usize;
        if self.accounts.len() <= index {
            self.accounts.resize_with(index + 1, AccountQueue::default);
        }
        self.accounts[index].weight = weight.max(1);
    }

    pub(crate) fn push(&mut self, account: AccountIndex, urgency: Urgency, queued: QueuedRequest) {
        let entry = &mut self.accounts[account.0 as usize];
        // An account that was idle resumes at the current virtual time: idle time earns no credit.
        entry.start_tag = entry.start_tag.max(self.virtual_time);
        entry.queue(urgency).push_back(queued);
    }

    /// Charges a started request to the account's fair share, whether or not the request was queued.
    pub(crate) fn charge(&mut self, account: AccountIndex, cost: u32) {
        let entry = &mut self.accounts[account.0 as usize];
        entry.start_tag = entry.start_tag.max(self.virtual_time);
        self.virtual_time = entry.start_tag;
        entry.start_tag += u64::from(cost.max(1)) * VIRTUAL_TIME_PER_COST / u64::from(entry.weight);
    }

    /// Removes the next request to start from the accounts that `may_run` accepts.
    pub(crate) fn pop(
        &mut self,
        may_run: impl Fn(AccountIndex) -> bool,
    ) -> Option<(AccountIndex, QueuedRequest)> {
        self.starts = self.starts.wrapping_add(1);
        let order = if self.starts.is_multiple_of(BULK_START_PERIOD) {
            [Urgency::Bulk, Urgency::Interactive]
        } else {
            [Urgency::Interactive, Urgency::Bulk]
        };
        order.into_iter().find_map(|it| self.pop_class(it, &may_run))
    }

    fn pop_class(
        &mut self,
        urgency: Urgency,
        may_run: impl Fn(AccountIndex) -> bool,
    ) -> Option<(AccountIndex, QueuedRequest)> {
        let indices = (0..self.accounts.len()).map(|it| AccountIndex(it as u32));
        let account = indices
            .filter(|it| self.accounts[it.0 as usize].len(urgency) > 0 && may_run(*it))
            .min_by_key(|it| self.accounts[it.0 as usize].start_tag)?;
        let queued = self.accounts[account.0 as usize].queue(urgency).pop_front()?;
        Some((account, queued))
    }

    /// Removes all requests whose latest start time has passed and returns their tickets.
    pub(crate) fn expire(&mut self, now: TimePoint) -> Vec<Ticket> {
        let mut expired = Vec::new();
        for account in &mut self.accounts {
            for queue in [&mut account.interactive, &mut account.bulk] {
                queue.retain(|it| {
                    let keep = it.latest_start > now;
                    if !keep {
                        expired.push(it.ticket);
                    }
                    keep
                });
            }
        }
        expired
    }

    /// Removes a request; returns `false` if it isn't queued.
    pub(crate) fn cancel(&mut self, ticket: Ticket) -> bool {
        for account in &mut self.accounts {
            for queue in [&mut account.interactive, &mut account.bulk] {
                if let Some(index) = queue.iter().position(|it| it.ticket == ticket) {
                    queue.remove(index);
                    return true;
                }
            }
        }
        false
    }

    pub(crate) fn queued_in_class(&self, account: AccountIndex, urgency: Urgency) -> u32 {
        self.accounts[account.0 as usize].len(urgency) as u32
    }

    pub(crate) fn queued(&self) -> u32 {
        let urgencies = [Urgency::Interactive, Urgency::Bulk];
        let count =
            |it: &AccountQueue| urgencies.iter().map(|urgency| it.len(*urgency)).sum::<usize>();
        self.accounts.iter().map(count).sum::<usize>() as u32
    }

    /// Returns the weight of `account` as a fraction of the weights of all active accounts and itself.
    pub(crate) fn weight_share(
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
